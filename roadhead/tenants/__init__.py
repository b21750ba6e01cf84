"""Tenants: their durable records, what each is allowed, and how one comes, rests and goes."""
