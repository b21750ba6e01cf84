"""Emulates the cloud: it rents machines, and its list of them is out of date."""

from roadhead.local.server import EmulatedServer
from roadhead.local.worker import EmulatedWorker


class CloudEmulator(EmulatedServer):
    """Serves the cloud's HTTP API; rents at most `capacity` machines of each type in each zone."""

    copies_window = "copied_cloud_requests"

    def __init__(self, world, machine_types, capacity, address="10.2.0.2:8443"):
        super().__init__(world, address.rpartition(":")[0], address)
        self.machine_types = machine_types
        self.capacity = capacity
        self.rented = {}  # name -> EmulatedWorker
        self.hires = {}  # idempotency key of a request to rent -> names of the machines
        self.machines_rented = 0  # number of machines ever rented
        self.listings = []  # (time, list of machines)
        self.down = False
        self.loop.spawn(self._record_listings(), "history")

    async def _record_listings(self):
        while True:
            self.listings.append((self.sim.time, self._list_machines()))
            del self.listings[:-200]
            await self.loop.sleep(0.25)

    def _list_machines(self):
        return [
            {
                "id": w.name,
                "endpoint": w.address,
                "rig": w.kind["name"],
                "paddock": w.zone,
                "loaners": w.spot,
                "status": w.listed(),
                "ageS": self.sim.time - w.created_at,
            }
            for w in sorted(self.rented.values(), key=lambda w: w.name)
        ]

    async def handle(self, method, path, args, body, host):
        await self.loop.sleep(0.05)
        if self.down:
            return 503, {"error": "trouble"}
        if path == "/catalog":
            return 200, {"rigs": self.machine_types}
        if path == "/hosts" and method == "POST":
            if body["hire"] in self.hires:
                return 200, {"drovers": self.hires[body["hire"]]}
            names = self.rent(body["rig"], body["paddock"], body["loaners"], body["count"])
            if not names:
                return 503, {"error": "no capacity"}
            self.hires[body["hire"]] = names
            return 200, {"drovers": names}
        if path == "/hosts":
            # Sometimes twice the usual lag, so that a list can be older than the one before it.
            lag = self.world.settings["cloud"]["list_lag_s"] * self.sim.random.choice((0.5, 1, 1, 2))
            visible = [listing for when, listing in self.listings if when <= self.sim.time - lag]
            after = args.get("after", "")
            listing = [m for m in (visible[-1] if visible else []) if m["id"] > after]
            return 200, {"drovers": listing[:500], "hasNext": len(listing) > 500}
        if path == "/hosts/release":
            for name in body["drovers"]:
                worker = self.rented.pop(name, None)
                if worker is not None:
                    self.world.given_back += sum(
                        task_attempt.status != "exited" for task_attempt in worker.tasks.values()
                    )
                    worker.end()
            return 200, {}
        return 400, {}

    def rent(self, kind_name, zone, spot, count):
        """Rents up to `count` machines and returns their names."""
        names = []
        for _ in range(count):
            rented_here = sum(w.kind["name"] == kind_name and w.zone == zone for w in self.rented.values())
            if rented_here >= self.capacity:
                break
            self.machines_rented += 1
            name = f"n-{self.machines_rented:06d}"
            kind = next(k for k in self.machine_types if k["name"] == kind_name)
            self.rented[name] = self.new_worker(name, self.machines_rented, kind, zone, spot)
            names.append(name)
        return names

    def new_worker(self, name, number, kind, zone, spot):
        """Returns the worker on a new machine."""
        return EmulatedWorker(self.world, name, number, kind, zone, spot)
