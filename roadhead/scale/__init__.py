"""Scale runs: a real cluster of processes on one machine, with workers that only pretend to run tasks."""
