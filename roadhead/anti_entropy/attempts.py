"""The state of task attempts as an owner and a shard leader compare it, and digests of many of them."""

from hashlib import blake2b
from typing import NamedTuple

DIGEST_BYTES = 8
STOPPING = "!"  # ends the state of an attempt that is to stop


class AttemptKey(NamedTuple):
    """An attempt of a task on a machine, in the order of the rows of a ReconcileRequest."""

    machine: str
    job: str
    index: int
    attempt: int


def attempt_state(status, *, stopping):
    """Returns what is compared of an attempt: its status as last told to the owner, and a mark for a stop."""
    return status + STOPPING if stopping else status


def digest(states):
    """Returns a 64-bit digest of {AttemptKey: state}, whatever their order; 0 for none."""
    if not states:
        return 0
    lines = sorted(
        f"{key.machine} {key.job} {key.index} {key.attempt} {state}" for key, state in states.items()
    )
    return int.from_bytes(blake2b("\n".join(lines).encode(), digest_size=DIGEST_BYTES).digest(), "big")


def is_difference(here, there):
    """Whether the owner's state of an attempt and its shard leader's are at odds; None for no such attempt.

    An owner keeps an attempt that has exited until its task is recorded as done, also if its machine is gone.
    A shard leader stops attempts by itself on machines that are about to go, and of jobs that are over.
    """
    if here == there or (there is None and here.removesuffix(STOPPING) == "exited"):
        return False
    return here is None or there is None or here != there.removesuffix(STOPPING)
