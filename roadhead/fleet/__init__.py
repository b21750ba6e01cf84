"""Renting and returning machines."""
