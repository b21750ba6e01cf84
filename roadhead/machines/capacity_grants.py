"""Free room: what controllers want, and the grants that put room on their idle lists.

No sockets here: frames from controllers come in as calls, frames go out through `send`.
"""

from roadhead.machines.machine import fits, fitting_count
from roadhead.wire import frames

PART_MARGIN = 1.2  # what others have parked was told a while ago
PLACE, CPUS, GPUS, MEMORY, COUNT, SPOT, ZONE, TYPES, STRICT = range(9)
HOLD_WINDOWS = 2.5  # for which room is kept back at the most
APART = 1e3  # windows: of a shape, what lies further ahead than that is not met as one with the rest
HELD_MOST = 1 / 8  # of the machines, kept back at once for tasks larger than what is free


def row_fits(row, machine, room):
    """Whether a task of a Demand row may run in `room` of the machine."""
    return (
        row[COUNT] > 0
        and row[CPUS] <= room[0] + 1e-6
        and row[MEMORY] <= room[2] + 1e-6
        and row[GPUS] <= room[1] + 1e-6
        and (row[SPOT] or not machine.spot)
        and (not row[ZONE] or row[ZONE] == machine.zone)
        and (not row[TYPES] or machine.type in row[TYPES])
    )


def row_could_fit(row, machine):
    """Whether a task of a Demand row could run on the machine if it were empty."""
    kind = machine.kind
    return (
        row[COUNT] > 0
        and fits((row[CPUS], row[GPUS], row[MEMORY]), (kind.cpus, kind.gpus, kind.memory))
        and (row[SPOT] or not machine.spot)
        and (not row[ZONE] or row[ZONE] == machine.zone)
        and (not row[TYPES] or machine.type in row[TYPES])
    )


class ControllerDemand:
    """What waits at a controller: rows in its queue order, and the length of its idle list."""

    __slots__ = ("left", "length", "rows", "serial")

    def __init__(self, serial, length, rows):
        self.serial = serial
        self.length = length
        self.rows = rows
        self.left = sum(row[COUNT] for row in rows)

    def serve(self, machine):
        """The machine's room is granted: what it will take no longer waits."""
        left = machine.free_capacity()
        for row in self.rows:
            if row_fits(row, machine, left):
                count = min(row[COUNT], fitting_count(row[CPUS : MEMORY + 1], left))
                row[COUNT] -= count
                self.left -= count
                left = (
                    left[0] - count * row[CPUS],
                    left[1] - count * row[GPUS],
                    left[2] - count * row[MEMORY],
                )


class CapacityGranter:
    def __init__(self, loop, label, machines, lapse_s, random, send, counters):
        self._loop = loop
        self.label = label
        self._machines = machines
        self._lapse_s = lapse_s
        self._random = random
        self._send = send
        self._count = counters.add
        self.demand = {}  # label -> Demand
        self.window_s = 0.0  # what is due within it of one another is equally urgent
        self.held = {}  # machine -> since when its room is kept back for a larger task
        self.free_cpus = {}  # label -> free CPUs that its home last told of
        self._serial = 0

    def can_grant(self, machine):
        return (
            machine.confirmed_token == machine.token
            and not machine.draining
            and not machine.quarantined_until
            and machine.notice_at is None
            and machine.kind is not None
        )

    def set_idle_length(self, label, length):
        """The length of a controller's idle list, told with what it sends (PAPER 3)."""
        demand = self.demand.get(label)
        if demand is not None:
            demand.length = length

    def forget_controller(self, label):
        """A controller's link is gone: what it holds comes back."""
        self.demand.pop(label, None)
        self.free_cpus.pop(label, None)
        for machine in self._machines.values():
            if machine.grant_holder == label:
                machine.grant_holder = None
                machine.declined_demands.clear()

    def revoke(self, machine):
        holder, machine.grant_holder = machine.grant_holder, None
        if holder is not None:
            self._send(holder, frames.RevokeGrant(machine.id, machine.grant_serial))

    def on_capacity_changed(self, machine):
        """The machine's room, or whether it may be offered, is not what it was."""
        if machine.grant_holder is None:
            self.grant(machine)
        elif self.can_grant(machine):
            self._send_grant(machine)
        else:
            self.revoke(machine)

    def _send_grant(self, machine):
        room = machine.free_capacity()
        state = (machine.grant_serial, machine.grant_taken, room)
        if state == machine.grant_sent:
            return
        machine.grant_sent = state
        machine.grant_lapse_at = self._loop.now() + self._lapse_s
        self._send(
            machine.grant_holder,
            frames.Grant(
                machine.id,
                machine.grant_serial,
                machine.grant_taken,
                machine.type,
                machine.zone,
                self.label,
                machine.spot,
                *(max(0.0, part) for part in room),
                list(machine.images),
                self._lapse_s,
            ),
        )

    @staticmethod
    def _standing(machine):
        """Parked room is granted from cheap and full machines first, so that others run empty."""
        kind = machine.kind
        price = kind.spot_price if machine.spot and kind.spot_price is not None else kind.price
        return (round(price / max(kind.cpus, 1e-6), 3), machine.free_capacity()[0])

    def grant(self, machine):
        """The joining rule: room goes to a random controller last heard empty, else to any.

        Only controllers with something waiting that fits are asked, and of them those whose
        first such row comes about earliest.
        """
        if machine.grant_holder is not None or not self.can_grant(machine):
            return
        room = machine.free_capacity()
        if room[0] <= 0 and room[2] <= 0:
            return
        found = []  # (place in queue, label, strict) of each controller's first row that fits
        larger = None  # the earliest row that the machine could run, had it more room free
        for label, demand in self.demand.items():
            if not demand.left or machine.declined_demands.get(label) == demand.serial:
                continue
            for row in demand.rows:  # in queue order
                if row_fits(row, machine, room):
                    found.append((row[PLACE], label, row[STRICT]))
                    break
                if (larger is None or row[PLACE] < larger[PLACE]) and row_could_fit(row, machine):
                    larger = row
        if not found:
            self.held.pop(machine.id, None)
            return
        first, foremost, strict = min(found)
        if larger is not None and larger[PLACE] < first and self._hold(machine, larger[COUNT]):
            return
        self.held.pop(machine.id, None)
        # What has to gather room (a gang) is not drawn for: two that share it would both go without.
        eligible = [
            label
            for place, label, _strict in found
            if label == foremost or (not strict and place <= first + self.window_s)
        ]
        empty = [label for label in eligible if self.demand[label].length == 0]
        label = self._random.choice(empty or eligible)
        self._count("grants")
        demand = self.demand[label]
        demand.length += 1
        demand.serve(machine)
        self._serial += 1
        machine.grant_holder = label
        machine.grant_serial = self._serial
        machine.grant_taken = 0
        machine.grant_sent = None
        self._send_grant(machine)

    def _hold(self, machine, count):
        """Keeps the machine's room back until a larger task fits; False if it shall not.

        Without that a large task starts only once nothing smaller waits: each piece of room
        is taken as it comes free. Few machines at once, and none for long.
        """
        now = self._loop.now()
        since = self.held.get(machine.id)
        if since is None:
            if len(self.held) >= min(count, HELD_MOST * len(self._machines)):
                for name, at in list(self.held.items()):
                    if name not in self._machines or now - at > 2 * HOLD_WINDOWS * self.window_s:
                        del self.held[name]
                return False
            self.held[machine.id] = now
            return True
        return now - since < HOLD_WINDOWS * self.window_s

    # Frames from controllers

    def on_demand(self, label, frame):
        rows = {}
        for row in frame.rows:
            urgency, cpus, gpus, memory, count, spot, zone, types, run_s, *_renting, startable, place = row
            if not startable:
                continue
            strict = not run_s
            ahead = self.window_s and place // (APART * self.window_s)
            key = (urgency, cpus, gpus, memory, spot, zone, tuple(types), strict, ahead)
            row = rows.get(key)
            if row is None:
                rows[key] = [place, cpus, gpus, memory, count, spot, zone, types, strict]
            else:
                row[COUNT] += count
        self._serial += 1
        demand = self.demand[label] = ControllerDemand(self._serial, frame.length, list(rows.values()))
        if not demand.left:
            return
        least = min(row[CPUS] for row in demand.rows), min(row[MEMORY] for row in demand.rows)
        machines = [
            machine
            for machine in self._machines.values()
            if machine.grant_holder is None
            and fits((least[0], 0.0, least[1]), machine.free_capacity())
            and self.can_grant(machine)
        ]
        wanted = set(frame.images)
        machines.sort(key=lambda m: (wanted.isdisjoint(m.images), *self._standing(m)))
        # Every home hears the whole demand. Where there is room for more than that, each meets
        # its part of it, so that the machines last in this order run empty and can go back.
        spare = demand.left * (1.0 - self.part(sum(m.free_capacity()[0] for m in machines)))
        for machine in machines:
            if demand.left <= spare:
                break
            self.grant(machine)

    def part(self, parked):
        """The part of a demand that this home meets, with `parked` CPUs that could serve it."""
        others = sum(free for label, free in self.free_cpus.items() if label != self.label)
        return min(1.0, PART_MARGIN * parked / (parked + others)) if parked > 0 else 1.0

    def on_return(self, label, frame):
        self.set_idle_length(label, frame.length)
        self.release_grant(label, self._machines.get(frame.machine), frame.serial)

    def release_grant(self, label, machine, serial):
        if machine is None or machine.grant_holder != label or machine.grant_serial != serial:
            return
        self._count("returns")
        machine.grant_holder = None
        demand = self.demand.get(label)
        if demand is not None:
            machine.declined_demands[label] = demand.serial
        self.grant(machine)
