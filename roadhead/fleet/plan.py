"""How many machines of which kind to rent: pure decisions."""


class Shape:
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


def offers(types, zones):
    """Every shape that the catalogue offers, in the zones it names."""
    return [
        Shape(kind, zone, spot)
        for kind in types.values()
        for zone in kind.zones or zones
        for spot in (True, False)
        if not spot or kind.spot_price is not None
    ]


class Want:
    """Waiting tasks of one shape, summed over controllers."""

    __slots__ = ("count", "cpus", "estimate_s", "gpus", "memory", "rank", "spot", "types",
                 "wait_s", "zone")

    def __init__(self, rank, cpus, gpus, memory, count, spot, zone, types, estimate_s, wait_s):
        self.rank = rank
        self.cpus = cpus
        self.gpus = gpus
        self.memory = memory
        self.count = count
        self.spot = spot
        self.zone = zone
        self.types = types
        self.estimate_s = estimate_s
        self.wait_s = wait_s

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

    def at_once(self):
        """Tasks that should run side by side for the work to be under way in time."""
        if self.wait_s <= self.estimate_s or self.estimate_s <= 0:
            return self.count
        return min(self.count, max(1, -int(-self.count * self.estimate_s // self.wait_s)))


def plan(wants, shapes, coming, refused, largest):
    """[(shape, count)] to rent.

    `coming`: {shape key: machines rented, not yet up}; `refused`: keys lately without capacity.
    """
    spare = dict(coming)
    left_over = {}
    by_key = {shape.key: shape for shape in shapes}
    orders = {}
    for want in sorted(wants, key=lambda want: (want.rank, want.wait_s)):
        short = float(want.at_once())
        for pool in (left_over, spare):
            for key in pool:
                shape = by_key.get(key)
                slots = want.slots(shape) if shape is not None else 0
                if slots and pool[key] > 0 and short > 0:
                    used = min(pool[key], short / slots)
                    pool[key] -= used
                    short -= used * slots
        if short <= 1e-6:
            continue
        usable = [
            (shape.price / slots, shape.key, slots)
            for shape in shapes
            if shape.key not in refused and (slots := want.slots(shape))
        ]
        if not usable:
            continue
        cheapest = min(usable)[0]
        # Zones and types of about the same price share the load: a zone may fail.
        near = [entry for entry in usable if entry[0] <= cheapest * 1.02]
        _price, key, slots = min(near, key=lambda entry: (orders.get(entry[1], 0), entry[1]))
        count = -int(-short // slots)
        if sum(orders.values()) + count > largest:
            count = largest - sum(orders.values())
        if count > 0:
            orders[key] = orders.get(key, 0) + count
            left_over[key] = left_over.get(key, 0.0) + count - short / slots
    return [(by_key[key], count) for key, count in orders.items()]
