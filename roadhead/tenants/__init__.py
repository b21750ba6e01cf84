"""Multi-tenancy: the tenants' durable records, access keys, limits, fair shares, and their removal."""
