"""Renting machines from the cloud and returning them, as the waiting work needs them."""
