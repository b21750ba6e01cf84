"""Measures arrays of many small tasks in virtual time, beside one of ordinary tasks.

    python3 tests/measure_small_tasks.py TASKS CPUS CAPACITY

Prints when an array of TASKS tasks of CPUS CPUs and 15 s each was done on up to CAPACITY machines of four
CPUs, the largest message from or to a worker in its JSON form, and the processor time and memory of the whole
simulation.
"""

import json
import resource
import sys
import time

import cbor2
import conftest  # noqa: F401  sets up sys.path

from roadhead.local.worker import EmulatedWorker
from roadhead.local.world import World

POLL_S = 1.0
LONGEST_S = 3000


def main():
    """Prints the figures."""
    tasks, cpus, capacity = sys.argv[1:]
    largest = 0

    def note_size(_worker, data):
        nonlocal largest
        if len(data) > largest / 4:
            largest = max(largest, len(json.dumps(cbor2.loads(data), separators=(",", ":"))))
        return False

    EmulatedWorker._is_too_large = note_size
    begun = time.process_time()
    world = World(f"""
    capacity {capacity}
    boot_s 3
    at 1 submit legs={tasks} vcpus={cpus} ramGb=0.005 runS=15 expectS=15
    until {LONGEST_S}
    """)
    world.sim.call_at(1, world.do, world.actions.pop()[1])
    while world.sim.time < LONGEST_S and len(world.completed) < int(tasks):
        world.sim.run_until(world.sim.time + POLL_S)
    memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(
        f"{len(world.completed)} of {tasks} tasks of {cpus} CPUs done after {world.sim.time - 1:.0f} s on "
        f"{len(world.cloud.rented)} machines; largest message {largest} bytes; "
        f"{time.process_time() - begun:.1f} s of processor time, {memory_mb:.0f} MB"
    )


if __name__ == "__main__":
    main()
