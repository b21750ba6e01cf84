"""How much fits into the messages between a shard leader and a worker.

"A request body may hold at most 64 KiB. The same limit applies to responses to workers and users", counted in
the JSON form (PROTOCOL). A worker drops what is larger, and its own report must not become larger either: so
the tasks on a machine are bounded, and commands are split over several messages.
"""

import sys

import msgspec

from roadhead.wire.messages import COUNT_LIMIT, MAX_TASKS, TaskReport, stop, task_name

MAX_MESSAGE_BYTES = 64 * 1024
ENVELOPE_BYTES = 2 * 1024  # all but tasks and commands: names of a machine, its type, zone and address

LONGEST_JOB_ID = "req-" + 30 * "9"
LONGEST_TASK_REPORT = TaskReport(
    task_name(LONGEST_JOB_ID, MAX_TASKS - 1), COUNT_LIMIT - 1, "exited", "stopped", saved=True
)
LONGEST_ORDER = stop(LONGEST_JOB_ID, MAX_TASKS - 1, COUNT_LIMIT - 1, sys.float_info.max)


def _max_entries(longest):
    """Returns how many entries of a list fit into one message, if all are as long as `longest`."""
    return (MAX_MESSAGE_BYTES - ENVELOPE_BYTES) // len(msgspec.json.encode(longest) + b",")


# Tasks on a machine, with those that have exited and were not forgotten yet: its report lists them all.
MAX_TASKS_PER_MACHINE = _max_entries(LONGEST_TASK_REPORT)
MAX_ORDERS_PER_MESSAGE = _max_entries(LONGEST_ORDER)
