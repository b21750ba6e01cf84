"""The emulated cloud: rents machines, and lists them late."""

from roadhead.local.server import EmulatedServer
from roadhead.local.worker import EmulatedWorker


class CloudEmulator(EmulatedServer):
    def __init__(self, world, kinds, capacity, address="10.2.0.2:8443"):
        super().__init__(world, address.rpartition(":")[0], address)
        self.kinds = kinds
        self.capacity = capacity
        self.rented = {}  # name -> Worker
        self.hires = {}
        self.names = 0
        self.history = []  # (when, listing)
        self.down = False
        self.loop.spawn(self._record(), "history")

    async def _record(self):
        while True:
            self.history.append((self.sim.time, self._now()))
            del self.history[:-200]
            await self.loop.sleep(0.25)

    def _now(self):
        return [
            {
                "id": w.name,
                "endpoint": w.address,
                "rig": w.kind["name"],
                "paddock": w.zone,
                "loaners": w.spot,
                "status": w.listed(),
                "ageS": self.sim.time - w.born,
            }
            for w in sorted(self.rented.values(), key=lambda w: w.name)
        ]

    async def handle(self, method, path, args, body, host):
        await self.loop.sleep(0.05)
        if self.down:
            return 503, {"error": "trouble"}
        if path == "/catalog":
            return 200, {"rigs": self.kinds}
        if path == "/hosts" and method == "POST":
            if body["hire"] in self.hires:
                return 200, {"drovers": self.hires[body["hire"]]}
            names = self.rent(body["rig"], body["paddock"], body["loaners"], body["count"])
            if not names:
                return 503, {"error": "no capacity"}
            self.hires[body["hire"]] = names
            return 200, {"drovers": names}
        if path == "/hosts":
            # At times twice as late as usual, so that a list can be older than the one before.
            lag = self.world.settings["cloud"]["list_lag_s"] * self.sim.random.choice((0.5, 1, 1, 2))
            before = [listing for when, listing in self.history if when <= self.sim.time - lag]
            after = args.get("after", "")
            listing = [m for m in (before[-1] if before else []) if m["id"] > after]
            return 200, {"drovers": listing[:500], "hasNext": len(listing) > 500}
        if path == "/hosts/release":
            for name in body["drovers"]:
                worker = self.rented.pop(name, None)
                if worker is not None:
                    self.world.given_back += sum(item.status != "exited" for item in worker.tasks.values())
                    worker.end()
            return 200, {}
        return 400, {}

    def rent(self, kind_name, zone, spot, count):
        names = []
        for _ in range(count):
            here = sum(w.kind["name"] == kind_name and w.zone == zone for w in self.rented.values())
            if here >= self.capacity:
                break
            self.names += 1
            name = f"n-{self.names:06d}"
            kind = next(k for k in self.kinds if k["name"] == kind_name)
            self.rented[name] = self.new_worker(name, self.names, kind, zone, spot)
            names.append(name)
        return names

    def new_worker(self, name, number, kind, zone, spot):
        return EmulatedWorker(self.world, name, number, kind, zone, spot)
