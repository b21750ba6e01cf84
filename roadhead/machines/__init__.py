"""Leads machine shards: workers' reports, leases, commands and capacity grants."""
