"""Cluster membership: the term record, the members' leases, and the links between controllers."""
