"""The client for the cloud's API, which rents machines."""
