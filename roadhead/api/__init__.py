"""The HTTP interface to users and workers."""
