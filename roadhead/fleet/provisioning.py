"""Decides how many machines of which kind to rent: pure functions, no I/O."""

from roadhead.fleet.quota_limits import QuotaMark
from roadhead.machines.fitting import tasks_per_machine
from roadhead.machines.placement_rules import may_use

SUSPECTED_FAULTY_URGENCY = 4  # urgency of jobs that fail wherever they run; the protocol's own are below


class InstanceOffer:
    """A machine that the cloud offers: a machine type in a zone, spot or on-demand, and its price."""

    __slots__ = ("kind", "price", "spot", "zone")

    def __init__(self, kind, zone, spot):
        self.kind = kind
        self.zone = zone
        self.spot = spot
        self.price = kind.spot_price if spot else kind.price

    @property
    def key(self):
        """(type name, zone, spot)."""
        return self.kind.name, self.zone, self.spot


def instance_offers(types, zones):
    """Returns every InstanceOffer of the catalogue; a type that names no zones is on offer in all `zones`."""
    return [
        InstanceOffer(kind, zone, spot)
        for kind in types.values()
        for zone in kind.zones or zones
        for spot in (True, False)
        if not spot or kind.spot_price is not None
    ]


class ResourceRequest:
    """Waiting tasks with the same needs, summed over all controllers.

    `estimate_s`: the mean run time of a task, 0 for gangs and stuck tasks; `wait_s`: the time in which they
    must start; `stuck`: whether none of them started for a long time; `mark`: their team's limit.
    """

    __slots__ = (
        "count",
        "cpus",
        "estimate_s",
        "gpus",
        "mark",
        "memory",
        "rank",
        "spot",
        "stuck",
        "types",
        "wait_s",
        "zone",
    )

    def __init__(
        self, rank, cpus, gpus, memory, count, spot, zone, types, estimate_s, wait_s, mark=QuotaMark.PLAIN
    ):
        self.rank = rank
        self.mark = mark
        self.cpus = cpus
        self.gpus = gpus
        self.memory = memory
        self.count = count
        self.spot = spot
        self.zone = zone
        self.types = types
        self.estimate_s = estimate_s
        self.wait_s = wait_s
        self.stuck = False

    def slots(self, offer):
        """Returns how many of these tasks a machine of this offer holds; 0 if it may not run them."""
        if not may_use(self, offer.kind.name, offer.zone, offer.spot):
            return 0
        kind = offer.kind
        return tasks_per_machine((self.cpus, self.gpus, self.memory), (kind.cpus, kind.gpus, kind.memory))


def plan_machines(requests, offers, machines, idle, busy, coming, refused, largest, patience, fresh=None):
    """Returns [(offer, count)] to rent, so that the waiting tasks start in time.

    `machines`: {offer key: running machines}; `idle`: {offer key: those of them without tasks}; `busy`: how
    many machines' worth of CPUs is in use; `coming`: {offer key: machines rented that are still booting};
    `refused`: keys of offers for which the cloud lately had no capacity; `largest`: the most machines to
    rent now; `patience`: an offer dearer than the cheapest is rented only for work that would otherwise take
    this many times its `wait_s`; `fresh`: {offer key: machines that came up a moment ago}, whose tasks may
    still be counted as waiting.

    For a team at its limit, the tasks beyond the limit count when deciding how soon the tasks within it need
    machines, but machines are rented for the latter only, less what fits on idle, fresh and booting machines.
    """
    by_key = {offer.key: offer for offer in offers}
    rented = {}
    spare_arriving = {key: float(count) for key, count in coming.items() if key in by_key}
    spare_idle = {key: float(count) for key, count in idle.items() if key in by_key}
    total = sum(machines.values())
    spare_fresh = {key: float(count) for key, count in (fresh or {}).items() if key in by_key}
    # Work of the requests seen so far, in seconds of one machine of the cheapest offer:
    backlog_s = 0.0  # within limits or without one
    beyond_limit_s = 0.0  # beyond limits
    for request in sorted(
        requests, key=lambda request: (request.rank, request.mark is not QuotaMark.BEYOND, request.wait_s)
    ):
        offers_by_price = sorted(
            ((offer.price / slots, offer.key, slots) for offer in offers if (slots := request.slots(offer))),
        )
        if not offers_by_price:
            continue
        if request.rank == SUSPECTED_FAULTY_URGENCY and any(
            count and request.slots(by_key[key])
            for pool in (machines, coming)
            for key, count in pool.items()
            if key in by_key
        ):
            continue  # it is only tried on the machines there are
        cheapest, _key, per_machine = offers_by_price[0]
        if request.mark is QuotaMark.BEYOND:
            beyond_limit_s += request.count * request.estimate_s / per_machine
            continue
        # Booting machines serve the most urgent tasks.
        left = _subtract_served(request, float(request.count), spare_arriving, by_key)
        if request.mark is QuotaMark.WITHIN:
            left = _subtract_served(
                request, _subtract_served(request, left, spare_fresh, by_key), spare_idle, by_key
            )
        backlog_s += request.count * request.estimate_s / per_machine
        running_slots = sum(
            count * request.slots(by_key[key]) for key, count in machines.items() if key in by_key
        )
        arriving_slots = sum(
            count * request.slots(by_key[key])
            for pool in (coming, rented)
            for key, count in pool.items()
            if key in by_key
        )
        # The expected time until a slot is free: on average half of a running task's time is left.
        busy_s = busy / total * request.estimate_s / 2 if total else 0.0
        for price, key, slots in _cheapest_first(offers_by_price, rented):
            if key in refused:
                continue
            wait_s = request.wait_s * (patience if price > 1.2 * cheapest else 1.0)
            shortage = left
            if not request.estimate_s and not request.stuck:
                # It has no run time by which it would drain, but idle machines take some of it.
                shortage = _subtract_served(request, left, spare_idle, by_key)
            elif request.estimate_s > 0:
                demand_s = backlog_s + beyond_limit_s if request.mark is QuotaMark.WITHIN else backlog_s
                needed_slots = demand_s * per_machine / max(1e-3, wait_s)
                shortage = min(
                    left, needed_slots - arriving_slots - running_slots * max(0.0, 1 - busy_s / wait_s)
                )
            count = min(-int(-max(0.0, shortage - 1e-6) // slots), largest)
            if count > 0:
                rented[key] = rented.get(key, 0) + count
                spare_arriving[key] = spare_arriving.get(key, 0.0) + max(0.0, count - left / slots)
                largest -= count
            break
    return [(by_key[key], count) for key, count in rented.items()]


def _subtract_served(request, left, pool, by_key):
    """Returns how many of `left` tasks remain after the machines of `pool` took some, and reduces `pool`."""
    for key, count in pool.items():
        slots = request.slots(by_key[key])
        if slots and left > 0:
            used = min(count, left / slots)
            pool[key] -= used
            left -= used * slots
    return left


def _cheapest_first(offers_by_price, rented):
    """Returns the offers by price, and at the same price the least rented first, since a zone may fail."""
    return sorted(offers_by_price, key=lambda offer: (round(offer[0] * 1e6), rented.get(offer[1], 0)))
