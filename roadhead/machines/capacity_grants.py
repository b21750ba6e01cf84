"""Free capacity: what controllers want, and the grants that put capacity on their idle lists.

The scheme is JIQ-DIO, join-idle-queue (PAPER). No sockets here: frames from controllers come in as calls,
frames go out through `send`.
"""

from roadhead.machines.controller_demand import ControllerDemand
from roadhead.machines.fitting import fits
from roadhead.wire import frames

DEMAND_PART_MARGIN = 1.2  # the other leaders' free capacity may have shrunk since they told of it
MAX_HOLD_WINDOWS = 2.5  # for which a machine's capacity is held back at most
MAX_HELD_RATIO = 1 / 8  # of the machines may be held back at once for tasks larger than their free capacity
# After which a row is offered a machine again that its controller returned: a demand is sent anew so often.
DECLINE_PAUSE_WINDOWS = 1 / 6


class CapacityGranter:
    """Grants the free capacity of this leader's machines to controllers with waiting tasks.

    `machines`: name -> Machine; `grant_lifetime_s`: how long a grant lasts unused; `random`: a random.Random.
    """

    def __init__(self, loop, label, machines, grant_lifetime_s, random, send, counters):
        self._loop = loop
        self.label = label
        self._machines = machines
        self._grant_lifetime_s = grant_lifetime_s
        self._random = random
        self._send = send
        self._count = counters.add
        self.demand = {}  # label -> ControllerDemand
        self.window_s = 0.0  # rows due within this time of one another are equally urgent
        self.held = {}  # machine -> since when its capacity is held back for a larger task
        self.free_cpus = {}  # leader's label -> its free CPUs that are granted to nobody, as last told
        self._serial = 0
        self.tells_slots = lambda: True  # whether all controllers know GrantWithSlots

    def can_grant(self, machine):
        """Whether the machine's free capacity may be granted."""
        return (
            machine.confirmed_token == machine.token
            and not machine.draining
            and not machine.quarantined_until
            and machine.notice_at is None
            and machine.kind is not None
        )

    def set_idle_length(self, label, length):
        """Records the length of a controller's idle list, which its frames tell (PAPER 3)."""
        demand = self.demand.get(label)
        if demand is not None:
            demand.length = length

    def forget_controller(self, label):
        """Takes back all grants to a controller whose link is down, and drops its demand."""
        self.demand.pop(label, None)
        self.free_cpus.pop(label, None)
        for machine in self._machines.values():
            if machine.grant.holder == label:
                machine.grant.holder = None
                machine.grant.declines.clear()

    def revoke(self, machine):
        """Takes back the machine's grant, if it has one."""
        holder, machine.grant.holder = machine.grant.holder, None
        if holder is not None:
            self._send(holder, frames.RevokeGrant(machine.id, machine.grant.serial))

    def on_capacity_changed(self, machine):
        """Updates, offers or revokes the capacity of a machine after a change."""
        if machine.grant.holder is None:
            self.grant(machine)
        elif self.can_grant(machine):
            self._send_grant(machine)
        else:
            self.revoke(machine)

    def _send_grant(self, machine):
        """Tells the grant's holder if the free capacity has changed, and restarts the grant's expiry."""
        capacity = machine.free_capacity()
        state = (machine.grant.serial, machine.grant.taken, capacity)
        if state == machine.grant.sent:
            return
        machine.grant.sent = state
        machine.grant.lapses_at = self._loop.now() + self._grant_lifetime_s
        slots = [machine.free_slots()] if self.tells_slots() else []
        self._send(
            machine.grant.holder,
            (frames.GrantWithSlots if slots else frames.Grant)(
                machine.id,
                machine.grant.serial,
                machine.grant.taken,
                machine.type,
                machine.zone,
                self.label,
                machine.spot,
                *(max(0.0, part) for part in capacity),
                list(machine.images),
                self._grant_lifetime_s,
                *slots,
            ),
        )

    @staticmethod
    def _grant_order(machine):
        """Sort key of machines to grant: cheap and full ones first, so that others run empty."""
        kind = machine.kind
        price = kind.spot_price if machine.spot and kind.spot_price is not None else kind.price
        return (round(price / max(kind.cpus, 1e-6), 3), machine.free_capacity()[0])

    def grant(self, machine):
        """Grants the machine's capacity by the join rule of JIQ.

        It goes to a random controller whose idle list was empty when last heard of, else to any. Only
        controllers with a waiting row that fits take part, and of them those whose first such row comes
        earliest.
        """
        if machine.grant.holder is not None or not self.can_grant(machine):
            return
        capacity = machine.free_capacity()
        if (capacity[0] <= 0 and capacity[2] <= 0) or not machine.free_slots():
            return
        now = self._loop.now()
        candidates, larger = self._candidates(machine, capacity, now)
        if not candidates:
            self.held.pop(machine.id, None)
            return
        first_place, first_label, strict = min(candidates)
        if larger is not None and larger.place < first_place and self._hold_back(machine, larger.count):
            return
        self.held.pop(machine.id, None)
        # Capacity for a gang is not drawn at random: two gangs that share it would both be stuck.
        eligible = [
            label
            for place, label, _strict in candidates
            if label == first_label or (not strict and place <= first_place + self.window_s)
        ]
        empty = [label for label in eligible if self.demand[label].length == 0]
        label = self._random.choice(empty or eligible)
        self._count("grants")
        demand = self.demand[label]
        demand.length += 1
        demand.serve(machine, lambda row: not machine.grant.is_paused(label, row, now))
        self._serial += 1
        machine.grant.begin(label, self._serial)
        self._send_grant(machine)

    def _candidates(self, machine, capacity, now):
        """Returns (candidates, larger) for the free `capacity` of a machine.

        Candidates are (place in queue, label, strict) of each controller's first row that fits; `larger` is
        the earliest row before these that the machine could run if it had more capacity free, or None.
        """
        candidates = []
        larger = None
        for label, demand in self.demand.items():
            if not demand.left:
                continue
            for row in demand.rows:  # in queue order
                if not row.count or machine.grant.is_paused(label, row, now):
                    continue
                if row.fits(machine, capacity):
                    candidates.append((row.place, label, row.strict))
                    break
                if (larger is None or row.place < larger.place) and row.could_fit(machine):
                    larger = row
        return candidates, larger

    def _hold_back(self, machine, count):
        """Holds the machine's capacity back until a larger task fits; False if it must be granted now.

        Without this a large task would start only once nothing smaller waits, since each bit of capacity is
        taken as it becomes free. Few machines are held back at once, and none for long.
        """
        now = self._loop.now()
        since = self.held.get(machine.id)
        if since is None:
            if len(self.held) >= min(count, MAX_HELD_RATIO * len(self._machines)):
                for name, at in list(self.held.items()):
                    if name not in self._machines or now - at > 2 * MAX_HOLD_WINDOWS * self.window_s:
                        del self.held[name]
                return False
            self.held[machine.id] = now
            return True
        return now - since < MAX_HOLD_WINDOWS * self.window_s

    # Frames from controllers

    def on_demand(self, label, frame):
        """Takes in what waits at a controller, and grants it free capacity."""
        self._serial += 1
        previous = self.demand.get(label)
        demand = self.demand[label] = ControllerDemand(self._serial, frame, self.window_s, previous)
        if not demand.left:
            return
        smallest = demand.smallest_need()
        machines = [
            machine
            for machine in self._machines.values()
            if machine.grant.holder is None
            and machine.free_slots()
            and fits(smallest, machine.free_capacity())
            and self.can_grant(machine)
        ]
        wanted = set(frame.images)
        machines.sort(
            key=lambda m: (
                # Machines that the controller returned come last, so that each is offered in turn.
                m.grant.times_declined(label, demand.rows),
                wanted.isdisjoint(m.images),
                *self._grant_order(m),
            )
        )
        # Every leader hears the whole demand. Where there is more free capacity than that, each meets its
        # part, so that the machines last in this order run empty and can be released.
        left_to_others = demand.left * (1.0 - self.part(sum(m.free_capacity()[0] for m in machines)))
        for machine in machines:
            if demand.left <= left_to_others:
                break
            self.grant(machine)

    def part(self, suitable_cpus):
        """The fraction of a demand to be met here, where suitable machines have `suitable_cpus` free."""
        others = sum(cpus for label, cpus in self.free_cpus.items() if label != self.label)
        return (
            min(1.0, DEMAND_PART_MARGIN * suitable_cpus / (suitable_cpus + others))
            if suitable_cpus > 0
            else 1.0
        )

    def on_return(self, label, frame):
        """Takes a grant back that its holder returns."""
        self.set_idle_length(label, frame.length)
        self.release_grant(label, self._machines.get(frame.machine), frame.serial)

    def release_grant(self, label, machine, serial):
        """Ends the grant of that serial, and offers the capacity to controllers that have not declined it."""
        if machine is None or not machine.grant.is_held(label, serial):
            return
        self._count("returns")
        machine.grant.holder = None
        demand = self.demand.get(label)
        if demand is not None and machine.free_slots():
            capacity = machine.free_capacity()
            paused_until = self._loop.now() + DECLINE_PAUSE_WINDOWS * self.window_s
            machine.grant.decline(
                label, [row for row in demand.rows if row.fits(machine, capacity)], paused_until
            )
        self.grant(machine)
