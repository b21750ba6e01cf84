"""The HTTP interface to users, workers and operators."""
