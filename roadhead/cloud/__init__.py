"""The client of the cloud."""
