"""The gateway: the stateless process that tenants and administrators talk to. Any number of them may run."""
