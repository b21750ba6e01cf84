"""How many machines of which kind to rent: pure decisions."""

from roadhead.fleet.quota_limits import QuotaMark

DOUBTFUL = 4  # urgency of jobs that fail wherever they run, after those of the protocol


class InstanceOffer:
    """One kind of machine on offer: a type in a zone, spot or ordinary."""

    __slots__ = ("kind", "price", "spot", "zone")

    def __init__(self, kind, zone, spot):
        self.kind = kind
        self.zone = zone
        self.spot = spot
        self.price = kind.spot_price if spot else kind.price

    @property
    def key(self):
        return self.kind.name, self.zone, self.spot


def instance_offers(types, zones):
    """Every shape that the catalogue offers, in the zones it names."""
    return [
        InstanceOffer(kind, zone, spot)
        for kind in types.values()
        for zone in kind.zones or zones
        for spot in (True, False)
        if not spot or kind.spot_price is not None
    ]


class ResourceRequest:
    """Waiting tasks of one shape, summed over controllers. `stuck`: none of it started for long; `mark`: how
    a limit of its team bears on it."""

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

    def slots(self, shape):
        """How many of these tasks a machine of this shape holds; 0 if it may not run them."""
        if (
            (shape.spot and not self.spot)
            or (self.zone and self.zone != shape.zone)
            or (self.types and shape.kind.name not in self.types)
        ):
            return 0
        most = 1 << 30
        for need, size in (
            (self.cpus, shape.kind.cpus),
            (self.gpus, shape.kind.gpus),
            (self.memory, shape.kind.memory),
        ):
            if need > 0:
                most = min(most, int((size + 1e-6) / need))
        return most


def plan_machines(wants, shapes, machines, idle, busy, coming, refused, largest, patience, fresh=None):
    """[(shape, count)] to rent, so that waiting work drains in time.

    `machines`: {shape key: machines up}; `idle`: {shape key: those of them with nothing on them};
    `busy`: the part of them in use; `coming`: {shape key: machines rented, not yet up}; `refused`:
    keys lately without capacity. A shape dearer than the cheapest is rented only for work that would
    otherwise take `patience` times as long as it should. `fresh`: machines that came up a moment ago, so that
    what starts on them may still be told of as waiting.

    For work at its team's limit, what waits beyond the limit says how much of the room within it is
    needed in time; room that machines up and on their way have is not rented again.
    """
    by_key = {shape.key: shape for shape in shapes}
    rented = {}
    spare = {key: float(count) for key, count in coming.items() if key in by_key}
    unused = {key: float(count) for key, count in idle.items() if key in by_key}
    total = sum(machines.values())
    just_up = {key: float(count) for key, count in (fresh or {}).items() if key in by_key}
    backlog = 0.0  # of what comes first, in seconds of a machine of the cheapest shape
    beyond = 0.0  # the same of what waits beyond limits
    for want in sorted(wants, key=lambda want: (want.rank, want.mark is not QuotaMark.BEYOND, want.wait_s)):
        usable = sorted(
            ((shape.price / slots, shape.key, slots) for shape in shapes if (slots := want.slots(shape))),
        )
        if not usable:
            continue
        if want.rank == DOUBTFUL and any(
            count and want.slots(by_key[key])
            for pool in (machines, coming)
            for key, count in pool.items()
            if key in by_key
        ):
            continue  # it is tried on what there is
        cheapest, _key, per_machine = usable[0]
        if want.mark is QuotaMark.BEYOND:
            beyond += want.count * want.estimate_s / per_machine
            continue
        # Machines on their way serve what comes first.
        left = _served(want, float(want.count), spare, by_key)
        if want.mark is QuotaMark.WITHIN:
            left = _served(want, _served(want, left, just_up, by_key), unused, by_key)
        backlog += want.count * want.estimate_s / per_machine
        up = sum(count * want.slots(by_key[key]) for key, count in machines.items() if key in by_key)
        arriving = sum(
            count * want.slots(by_key[key])
            for pool in (coming, rented)
            for key, count in pool.items()
            if key in by_key
        )
        running = busy / total * want.estimate_s / 2 if total else 0.0  # of each slot
        for price, key, slots in _by_turns(usable, rented):
            if key in refused:
                continue
            wait_s = want.wait_s * (patience if price > 1.2 * cheapest else 1.0)
            short = left
            if not want.estimate_s and not want.stuck:
                # It will not drain, but nothing need be rented for what empty machines take.
                short = _served(want, left, unused, by_key)
            elif want.estimate_s > 0:
                first = backlog + beyond if want.mark is QuotaMark.WITHIN else backlog
                needed = first * per_machine / max(1e-3, wait_s)
                short = min(left, needed - arriving - up * max(0.0, 1 - running / wait_s))
            count = min(-int(-max(0.0, short - 1e-6) // slots), largest)
            if count > 0:
                rented[key] = rented.get(key, 0) + count
                spare[key] = spare.get(key, 0.0) + max(0.0, count - left / slots)
                largest -= count
            break
    return [(by_key[key], count) for key, count in rented.items()]


def _served(want, left, pool, by_key):
    """What is left of a want's tasks once the machines of a pool have taken some, which use them up."""
    for key, count in pool.items():
        slots = want.slots(by_key[key])
        if slots and left > 0:
            used = min(count, left / slots)
            pool[key] -= used
            left -= used * slots
    return left


def _by_turns(usable, rented):
    """Offers by price; those of about the same price take turns, since a zone may fail."""
    return sorted(usable, key=lambda offer: (round(offer[0] * 1e6), rented.get(offer[1], 0)))
