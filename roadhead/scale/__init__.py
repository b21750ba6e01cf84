"""Scale runs: a cluster of real processes on one machine, whose hollow workers only simulate tasks."""
