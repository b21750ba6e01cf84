"""How teams' limits bear on renting and returning machines: pure functions and state, no I/O.

The owner of a limited team's jobs marks each row of its demand with the state of the limit
(`dispatch/headroom.py`). The mark is encoded in the row's urgency, so that the frame's layout is the same as
in the previous version.
"""

from collections import Counter
from enum import IntEnum

URGENCY_STEP = 10  # above every urgency, also that of work that borrows


class QuotaMark(IntEnum):
    """The state of a team's limit for a row of waiting tasks."""

    PLAIN = 0  # no limit keeps any of the team's waiting tasks from starting
    WITHIN = 1  # the limit admits these tasks, but not all of the team's waiting tasks
    BEYOND = 2  # the limit doesn't admit these tasks: no machine is rented or granted for them
    PENDING = 3  # within the limit, but not all of the team's running tasks are known yet


def encode_urgency(rank, mark):
    """Returns the urgency field of a Demand row: the urgency of the job combined with the mark."""
    return rank + URGENCY_STEP * mark


def decode_urgency(urgency):
    """Returns (urgency of the job, mark) from the urgency field of a Demand row."""
    mark, rank = divmod(urgency, URGENCY_STEP)
    return rank, QuotaMark(mark)


def returnable_count(idle, demand, fleet, types):
    """Returns how many of `idle` machines may be returned to the cloud.

    Machines are kept for pending tasks, which start once their team's running tasks are known. Every
    shard leader keeps the same part of its idle machines.

    `demand`: {label: rows of its Demand}, `fleet`: {label: rows of its MachineCounts}, `types`: the
    catalogue.
    """
    rows = [row for rows in demand.values() for row in rows]
    pending = sum(row[1] * row[4] for row in rows if decode_urgency(row[0])[1] is QuotaMark.PENDING)
    if not pending:
        return idle
    rows = [row for rows in fleet.values() for row in rows if row[0] in types]
    empty = sum(count * types[name].cpus for name, _zone, _spot, _all, count, *_free in rows)
    return int(idle * max(0.0, 1.0 - pending / empty)) if empty > 0 else 0


class RecentlyBooted:
    """Machines that came up within the last `window_s`.

    Tasks that start on them may still be counted as waiting in the demand last received.
    """

    def __init__(self, window_s):
        self._window_s = window_s
        self._machines = {}  # machine -> (offer key, until)

    def add(self, machine, key, now):
        """Records that a machine of the offer with this key came up."""
        self._machines[machine] = (key, now + self._window_s)

    def counts(self, now):
        """Returns {offer key: number of machines}."""
        self._machines = {name: entry for name, entry in self._machines.items() if entry[1] > now}
        return dict(Counter(key for key, _until in self._machines.values()))


def size(cpus, gpus):
    """Returns the size of a task: its CPUs, or its GPUs if it needs no CPU."""
    return cpus or gpus or 1.0


class SustainedHeadroom:
    """The headroom under limits that lasted throughout the last `window_s`, for each controller.

    Machines are rented only for that. Between the end of a task and the next start on its machine there is
    headroom for a moment, but also room on that machine, so nothing need be rented. The same holds for tasks
    that were pending a moment ago.
    """

    def __init__(self, window_s):
        self._window_s = window_s
        self._history = {}  # label -> [(when, CPUs demanded within limits)], oldest first

    def rentable(self, demand, now):
        """Returns the rows that machines may be rented for, each as (urgency, mark, *the rest of the row).

        `demand`: {label: rows of its Demand}.
        """
        needed = []
        for label, rows in demand.items():
            rows = [(*decode_urgency(row[0]), *row[1:]) for row in rows]
            if any(row[1] is not QuotaMark.PLAIN for row in rows):
                rows = self._limit_to_sustained(label, rows, now)
            else:
                self._history.pop(label, None)
            needed += [row for row in rows if row[1] is not QuotaMark.PENDING]
        return needed

    def _limit_to_sustained(self, label, rows, now):
        """Returns the rows, with the tasks marked WITHIN cut to the sustained headroom."""
        cpus = sum(size(*row[2:4]) * row[5] for row in rows if row[1] is QuotaMark.WITHIN)
        left = self._lowest_in_window(label, cpus, now)
        remaining = []
        for row in rows:
            if row[1] is QuotaMark.WITHIN:
                count = min(row[5], int(left / size(*row[2:4]) + 1e-6))
                left -= count * size(*row[2:4])
                row = (*row[:5], count, *row[6:])
            if row[5]:
                remaining.append(row)
        return remaining

    def _lowest_in_window(self, label, cpus, now):
        """Adds `cpus` to the controller's history, and returns the lowest value within the window."""
        history = [entry for entry in self._history.get(label, ()) if entry[0] >= now - self._window_s]
        history.append((now, cpus))
        self._history[label] = history
        return min(cpus for _when, cpus in history)
