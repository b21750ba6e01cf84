"""What waits at the controllers, as their Demand frames tell a shard leader."""

from dataclasses import dataclass

from roadhead.machines.fitting import fits, tasks_per_machine
from roadhead.machines.placement_rules import may_use

# Rows of one shape are merged only within a span of so many windows of the queue: those far behind must not
# take the place of the first ones.
MERGE_SPAN_WINDOWS = 1e3


@dataclass(slots=True)
class DemandRow:
    """Waiting tasks of one shape at one controller.

    Attributes:
        key: what distinguishes the row from the others of its controller.
        version: number of the demand in which the row last changed.
        place: place of the first task in its controller's queue, in seconds.
        need: (cpus, gpus, memory) of one task.
        count: how many tasks still wait for a grant.
        spot, zone, types: which machines they may use (placement_rules.py).
        strict: whether they are of a gang, whose tasks are useful only together.
    """

    key: tuple
    version: int
    place: float
    need: tuple
    count: int
    spot: bool
    zone: str
    types: tuple
    strict: bool

    def may_use(self, machine):
        """Whether the tasks may run on the machine, whatever room it has."""
        return may_use(self, machine.type, machine.zone, machine.spot)

    def fits(self, machine, capacity):
        """Whether a task may run in this free `capacity`, (cpus, gpus, memory), of the machine."""
        return fits(self.need, capacity) and self.may_use(machine)

    def could_fit(self, machine):
        """Whether a task could run on the machine if it were empty."""
        kind = machine.kind
        return fits(self.need, (kind.cpus, kind.gpus, kind.memory)) and self.may_use(machine)


class ControllerDemand:
    """What waits at a controller: rows in the order of its queue, and the length of its idle list.

    `number` is this demand's; `previous` the controller's demand before, or None. A row has changed if it is
    new, if its number of tasks is another, or if it is of a gang: whether that can use a machine depends on
    what else is free.
    """

    __slots__ = ("_told", "left", "length", "rows")

    def __init__(self, number, frame, window_s, previous):
        self.length = frame.length
        self.rows = list(_merge(number, frame.rows, window_s).values())
        self._told = {row.key: (row.count, row.version) for row in self.rows}
        self.left = sum(row.count for row in self.rows)
        for row in self.rows if previous is not None else ():
            count, version = previous._told.get(row.key, (0, number))
            if count == row.count and not row.strict:
                row.version = version
                self._told[row.key] = (count, version)

    def smallest_need(self):
        """Returns (cpus, gpus, memory): no waiting task needs less."""
        return min(row.need[0] for row in self.rows), 0.0, min(row.need[2] for row in self.rows)

    def serve(self, machine, is_offered):
        """Takes the tasks that a granted machine can run off what waits, of rows with `is_offered(row)`."""
        remaining, slots = machine.free_capacity(), machine.free_slots()
        for row in self.rows:
            if row.count and slots and row.fits(machine, remaining) and is_offered(row):
                count = min(row.count, tasks_per_machine(row.need, remaining, slots))
                row.count -= count
                self.left -= count
                slots -= count
                remaining = tuple(part - count * need for part, need in zip(remaining, row.need, strict=True))


def _merge(number, frame_rows, window_s):
    """Returns {key: DemandRow} of a frame's rows that could start now, those of one shape merged."""
    rows = {}
    for frame_row in frame_rows:
        urgency, cpus, gpus, memory, count, spot, zone, types, run_s, *_renting, startable, place = frame_row
        if not startable or not count:
            continue
        strict = not run_s
        span = window_s and place // (MERGE_SPAN_WINDOWS * window_s)
        key = (urgency, cpus, gpus, memory, spot, zone, tuple(types), strict, span)
        row = rows.get(key)
        if row is None:
            need = (cpus, gpus, memory)
            rows[key] = DemandRow(key, number, place, need, count, spot, zone, tuple(types), strict)
        else:
            row.count += count
    return rows
