"""Stand-ins for the outside systems, in virtual time and as processes on loopback, and a cluster of them."""
