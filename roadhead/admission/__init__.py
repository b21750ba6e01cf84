"""Admission control: what a controller accepts, so that it can serve all that it has accepted."""
