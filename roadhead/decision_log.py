"""The decisions on which it rests that no task runs twice, in order and bounded: a flight recorder.

Each entry can be filtered by machine, task, shard and token. The newest are kept in memory whatever the log
level, so that they can be printed after a broken rule; docs/operations.md says how to read them.
"""

import enum
import logging
from collections import deque
from dataclasses import dataclass

log = logging.getLogger("roadhead.decisions")

KEPT_MOST = 4000  # entries: some 2 MB


class Decision(enum.Enum):
    """What was decided. The value is its name in the log."""

    SHARD_HELD = "shard_held"  # this controller leads a shard under a token, and until when others may have
    SHARD_LOST = "shard_lost"
    FENCE_LENGTHENED = "fence_lengthened"
    REPORT_OVERTAKEN = "report_overtaken"  # answered, though the worker was heard by a newer message
    LEASE_ENDED = "lease_ended"
    LAUNCH_SENT = "launch_sent"
    TASK_FREED = "task_freed"  # the attempt is surely nowhere
    ALL_TOLD = "all_told"  # an owner was told all that is known of its jobs
    AUTHORITY_LOST = "authority_lost"  # while a command waited to be sent


AT_INFO = frozenset(
    (
        Decision.SHARD_HELD,
        Decision.SHARD_LOST,
        Decision.FENCE_LENGTHENED,
        Decision.LEASE_ENDED,
        Decision.AUTHORITY_LOST,
    )
)  # those that do not grow with the work done


@dataclass(frozen=True, slots=True)
class DecisionEntry:
    """One decision. `at`: the time of day in seconds; `subject`: the names of what it is about, such as
    machine, task, shard and token; `evidence`: what it rested on."""

    at: float
    decision: Decision
    subject: dict
    evidence: dict

    def line(self):
        """One line of the log, in the form name=value."""
        fields = {"decision": self.decision.value, **self.subject, **self.evidence}
        return " ".join(f"{name}={_text(value)}" for name, value in fields.items())

    def is_about(self, wanted):
        """Whether any of the wanted names and values, as in {"machine": "n-000020"}, is in its subject."""
        return any(self.subject.get(name) == value for name, value in wanted)


def _text(value):
    return f"{value:.2f}" if isinstance(value, float) else str(value)


class DecisionLog:
    """`time_of_day()` in seconds; `counters`: of this process (telemetry.py)."""

    def __init__(self, time_of_day, counters):
        self._time_of_day = time_of_day
        self._count = counters.add
        self._entries = deque(maxlen=KEPT_MOST)

    def note(self, decision, subject, **evidence):
        """Notes a decision on `subject`, a map of names, and what it rested on."""
        entry = DecisionEntry(self._time_of_day(), decision, subject, evidence)
        self._entries.append(entry)
        level = logging.INFO if decision in AT_INFO else logging.DEBUG
        if log.isEnabledFor(level):
            log.log(level, "%s", entry.line())

    def count(self, name):
        """Counts an event in this process's counters."""
        self._count(name)

    def entries(self, *wanted):
        """The entries kept that are about any of the wanted (name, value) pairs; all without any."""
        return [entry for entry in self._entries if not wanted or entry.is_about(wanted)]

    def dump(self, write):
        """Calls `write` with a line for each entry kept, its time of day first."""
        for entry in self._entries:
            write(f"at={entry.at:.3f} {entry.line()}")
