"""The process that tenants and administrators talk to. It keeps no state: any number may run."""
