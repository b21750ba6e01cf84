"""What limits of teams mean for renting and returning: pure decisions.

The owner of a limited team's jobs marks what it tells of them (`dispatch/headroom.py`). The mark
travels in the urgency of a Demand row, so that controllers of the version before read the same frames.
"""

from collections import Counter
from enum import IntEnum

URGENCIES = 10  # an urgency is below that, also of work that borrows


class QuotaMark(IntEnum):
    """How a limit bears on a row of waiting tasks."""

    PLAIN = 0  # no limit keeps any of the team's tasks from starting
    WITHIN = 1  # as many tasks as the limit leaves room for, of a team of which more wait
    BEYOND = 2  # those for which it leaves no room: they are a reason neither to rent nor to grant
    PENDING = 3  # within the limit, but it isn't known yet what else of the team still runs


def encode_urgency(rank, mark):
    """The urgency of a row in a Demand frame."""
    return rank + URGENCIES * mark


def decode_urgency(urgency):
    """(urgency of the job, mark) of a row in a Demand frame."""
    mark, rank = divmod(urgency, URGENCIES)
    return rank, QuotaMark(mark)


def returnable_count(idle, told, fleet, types):
    """How many of `idle` machines may go back: not those for tasks that start as soon as it is known
    what else of their team still runs. Every home keeps the same part of its own.

    `told`: {label: rows of a Demand}, `fleet`: {label: rows of a MachineCounts}, `types`: the catalogue.
    """
    rows = [row for rows in told.values() for row in rows]
    pending = sum(row[1] * row[4] for row in rows if decode_urgency(row[0])[1] is QuotaMark.PENDING)
    if not pending:
        return idle
    rows = [row for rows in fleet.values() for row in rows if row[0] in types]
    empty = sum(count * types[name].cpus for name, _zone, _spot, _all, count, *_free in rows)
    return int(idle * max(0.0, 1.0 - pending / empty)) if empty > 0 else 0


class RecentlyBooted:
    """Machines that came up within the last `window_s`: what starts there may still be told of as waiting."""

    def __init__(self, window_s):
        self._window_s = window_s
        self._machines = {}  # machine -> (shape key, until)

    def add(self, machine, key, now):
        """The machine of that shape came up."""
        self._machines[machine] = (key, now + self._window_s)

    def counts(self, now):
        """{shape key: machines}."""
        self._machines = {name: entry for name, entry in self._machines.items() if entry[1] > now}
        return dict(Counter(key for key, _until in self._machines.values()))


def size(cpus, gpus):
    """What a task counts for: its CPUs, or its GPUs where it takes no CPU."""
    return cpus or gpus or 1.0


class SustainedHeadroom:
    """The room that limits left throughout the last `window_s`, by controller.

    Between the end of a task and the next start on its machine there is room within the limit, and
    room on the machine as well: for that nothing need be rented. Nor for what was pending a moment ago.
    """

    def __init__(self, window_s):
        self._window_s = window_s
        self._seen = {}  # label -> [(when, CPUs told of within limits)], oldest first

    def rentable(self, told, now):
        """[(urgency, mark, the rest of its row)] of what machines are needed for. `told`: {label: rows}."""
        found = []
        for label, rows in told.items():
            rows = [(*decode_urgency(row[0]), *row[1:]) for row in rows]
            if any(row[1] is not QuotaMark.PLAIN for row in rows):
                rows = self._at_limit(label, rows, now)
            else:
                self._seen.pop(label, None)
            found += [row for row in rows if row[1] is not QuotaMark.PENDING]
        return found

    def _at_limit(self, label, rows, now):
        """The rows, with as much within limits as there was room for all the time."""
        cpus = sum(size(*row[2:4]) * row[5] for row in rows if row[1] is QuotaMark.WITHIN)
        left = self._least(label, cpus, now)
        kept = []
        for row in rows:
            if row[1] is QuotaMark.WITHIN:
                count = min(row[5], int(left / size(*row[2:4]) + 1e-6))
                left -= count * size(*row[2:4])
                row = (*row[:5], count, *row[6:])
            if row[5]:
                kept.append(row)
        return kept

    def _least(self, label, cpus, now):
        """The least that this controller told of within the window; `cpus` now."""
        seen = [entry for entry in self._seen.get(label, ()) if entry[0] >= now - self._window_s]
        seen.append((now, cpus))
        self._seen[label] = seen
        return min(cpus for _when, cpus in seen)
