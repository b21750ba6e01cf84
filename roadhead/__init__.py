"""roadhead, a cluster scheduler: several controllers share the placement of jobs on rented machines."""

__version__ = "0.2.0"
