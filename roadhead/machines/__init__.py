"""Machines homed at this controller: reports, leases, commands and grants."""
