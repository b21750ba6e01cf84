"""The client of the state service."""
