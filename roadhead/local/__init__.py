"""Emulators of the external systems, in virtual time and as local processes, and a cluster that uses them."""
