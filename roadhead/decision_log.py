"""A flight recorder of the decisions that prevent a task from running twice.

The newest entries are kept in memory in order, whatever the log level, so that they can be printed after a
safety violation. They can be filtered by machine, task, shard and token. docs/operations.md says how to read
them.
"""

import enum
import logging
from collections import deque
from dataclasses import dataclass

log = logging.getLogger("roadhead.decisions")

MAX_ENTRIES = 4000  # about 2 MB


class Decision(enum.Enum):
    """What was decided. The value is its name in the log."""

    SHARD_HELD = "shard_held"  # this controller leads a shard under a token; others may have until some time
    SHARD_LOST = "shard_lost"
    FENCE_LENGTHENED = "fence_lengthened"
    REPORT_OVERTAKEN = "report_overtaken"  # answered, though a newer message of the worker has arrived
    LEASE_ENDED = "lease_ended"
    LAUNCH_SENT = "launch_sent"
    STOP_SENT = "stop_sent"
    FORGET_SENT = "forget_sent"  # from then on a copy of the attempt's launch would start it again
    UNEXPECTED_ATTEMPT = "unexpected_attempt"  # a report shows an attempt that nothing can have launched
    TASK_FREED = "task_freed"  # the attempt surely runs nowhere any more
    ALL_TOLD = "all_told"  # an owner was sent everything known about its jobs
    AUTHORITY_LOST = "authority_lost"  # the right to command ended while a command waited to be sent


INFO_DECISIONS = frozenset(
    (
        Decision.SHARD_HELD,
        Decision.SHARD_LOST,
        Decision.FENCE_LENGTHENED,
        Decision.LEASE_ENDED,
        Decision.AUTHORITY_LOST,
        Decision.UNEXPECTED_ATTEMPT,
    )
)  # logged at info: their number doesn't grow with the work done


@dataclass(frozen=True, slots=True)
class DecisionEntry:
    """One decision.

    `at`: the time of day in seconds; `subject`: {kind: id} of what it is about, such as machine, task, shard
    and token; `evidence`: {name: value} of the facts that it is based on.
    """

    at: float
    decision: Decision
    subject: dict
    evidence: dict

    def line(self):
        """Returns the entry as one log line of name=value pairs."""
        fields = {"decision": self.decision.value, **self.subject, **self.evidence}
        return " ".join(f"{name}={_format_value(value)}" for name, value in fields.items())

    def is_about(self, wanted):
        """Whether the subject has any of the `wanted` (name, value) pairs, as ("machine", "n-000020")."""
        return any(self.subject.get(name) == value for name, value in wanted)


def _format_value(value):
    return f"{value:.2f}" if isinstance(value, float) else str(value)


class DecisionLog:
    """The newest decisions of this process.

    `time_of_day()` returns seconds; `counters`: the process's Counters (telemetry.py).
    """

    def __init__(self, time_of_day, counters):
        self._time_of_day = time_of_day
        self._count = counters.add
        self._ring = deque(maxlen=MAX_ENTRIES)

    def note(self, decision, subject, **evidence):
        """Records a decision on `subject`, {kind: id}, and the facts that it is based on."""
        entry = DecisionEntry(self._time_of_day(), decision, subject, evidence)
        self._ring.append(entry)
        level = logging.INFO if decision in INFO_DECISIONS else logging.DEBUG
        if log.isEnabledFor(level):
            log.log(level, "%s", entry.line())

    def count(self, name):
        """Increments one of the process's counters."""
        self._count(name)

    def entries(self, *wanted):
        """Returns the kept entries about any of the `wanted` (name, value) pairs; all without any."""
        return [entry for entry in self._ring if not wanted or entry.is_about(wanted)]

    def dump(self, write):
        """Calls `write` with one line for each kept entry, which starts with its time of day."""
        for entry in self._ring:
            write(f"at={entry.at:.3f} {entry.line()}")
