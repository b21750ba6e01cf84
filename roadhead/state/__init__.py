"""The client of the state service, which stores jobs, the term and the members' leases."""
