"""The state service and the cloud of a scale run: the emulators, with counts and with failures on request."""

from collections import Counter

import cbor2

from roadhead.local.cloud_api import CloudEmulator
from roadhead.local.processes import ProcessWorld
from roadhead.local.state_service import StateServiceEmulator
from roadhead.runtime.net import Net
from roadhead.scale.hollow import CPUS_TYPE
from roadhead.scale.layout import Layout, worker_address, zone_name
from roadhead.scale.traffic import CountedNet, Traffic
from roadhead.wire.http import Client, NoResponseError

ORDER_S = 10.0  # a process of workers carries out an order in that time
RAM_A_CPU = 4.0
PRICE, SPOT_PRICE = 0.2, 0.05
TOO_MANY = 429  # HTTP status: above a rate


class ScaleWorld(ProcessWorld):
    """The world of a service's process."""

    def __init__(self, directory):
        super().__init__(directory)
        self.layout = Layout(directory)
        self.traffic = Traffic()

    def host(self, _host, loop):
        """The network of the service."""
        return CountedNet(loop, self.traffic)


def request_kind(method, path, args, body):
    """What a request to the state service is, for the table of counts."""
    if path == "/multi":
        prefixes = {(write.get("put") or write["drop"]).partition("/")[0] + "/" for write in body["writes"]}
        return f"write {' '.join(sorted(prefixes))}" if prefixes else "compare"
    if path == "/store":
        return f"list {args['under']}"
    if path.startswith("/store/"):
        return f"read {path.split('/')[2]}/"
    if path == "/changes":
        return "watch"
    return "lease" if path == "/leases" else f"{method.lower()} lease"


class ScaleState(StateServiceEmulator):
    """Counts requests by kind. `/scale/outage` with `on`: all are refused, or served again."""

    def __init__(self, ground):
        super().__init__(ground, ground.plan["state"])
        self._kinds = Counter()
        self._changes = 0  # puts and deletes asked for, whether or not they were carried out
        self._busy = Counter()  # refused with 429, by kind

    async def handle(self, method, path, args, body, host):
        """As the state service, and what the run asks."""
        if path == "/scale/outage":
            self.outage(body["on"])
            return 200, {}
        if path == "/scale/figures":
            return 200, self._figures()
        kind = request_kind(method, path, args, body)
        self._kinds[kind] += 1
        if path == "/multi":
            self._changes += len(body["writes"])
        status, answer = await super().handle(method, path, args, body, host)
        if status == TOO_MANY:
            self._busy[kind] += 1
        return status, answer

    def _figures(self):
        return {
            "requests": dict(self._kinds),
            "changes": self._changes,
            "busy": dict(self._busy),
            "keys": len(self.data),
            "received": self.world.traffic.received,
            "sent": self.world.traffic.sent,
        }


class HollowMachine:
    """A rented machine as the cloud knows it; its worker lives in one of the processes of workers."""

    def __init__(self, cloud, name, number, kind, zone, spot):
        self.name, self.number, self.kind, self.zone, self.spot = name, number, kind, zone, spot
        self.address = worker_address(cloud.network, number)
        self.born = cloud.sim.time
        self.boot_s = kind["startupS"] * cloud.sim.random.uniform(0.6, 1.5)
        self.tasks = {}  # known to its worker alone
        self.failed = False
        self._cloud = cloud

    def listed(self):
        """The status that the list of machines tells."""
        if self.failed:
            return "failed"
        return "running" if self._cloud.sim.time > self.born + self.boot_s else "starting"

    def order(self):
        """What the process of its worker has to know."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "spot": self.spot,
            "boot_s": self.boot_s,
        }

    def end(self):
        """Returned to the cloud."""
        self._cloud.ended.append(self)


class ScaleCloud(CloudEmulator):
    """Rents hollow workers. All that the plan asks for are up when the controllers start."""

    def __init__(self, ground):
        self._layout = ground.layout
        plan = self._layout.plan
        zones = [zone_name(zone) for zone in range(plan.cluster.zones)]
        kind = {
            "name": CPUS_TYPE,
            "vcpus": plan.cluster.cpus_per_worker,
            "gpus": 0,
            "ramGb": RAM_A_CPU * plan.cluster.cpus_per_worker,
            "cacheGb": 100,
            "fetchGbPerS": 1.0,
            "price": PRICE,
            "marketPrice": SPOT_PRICE,
            "startupS": plan.timing.boot_s,
            "paddocks": zones,
        }
        capacity = -(-plan.cluster.workers // len(zones))
        super().__init__(ground, [kind], capacity, ground.plan["cloud"])
        self._hosts = [Client(self.loop, Net(self.loop), address) for address in ground.plan["hosts"]]
        self.started, self.ended, self._restarted = [], [], []
        self._cut = []  # (machine, seconds)
        self.network = ground.plan["network"]
        for number in range(plan.cluster.workers):
            self.rent(CPUS_TYPE, zones[number % len(zones)], spot=True, count=1)
        self.loop.spawn(self._give_orders(), "first workers")

    def new_worker(self, name, number, kind, zone, spot):
        """A HollowMachine, whose worker is started with the next orders."""
        machine = HollowMachine(self, name, number, kind, zone, spot)
        self.started.append(machine)
        return machine

    async def handle(self, method, path, args, body, host):
        """As the cloud, and what the run asks."""
        if path == "/scale/outage":
            self.down = body["on"]
            return 200, {}
        if path == "/scale/workers":
            await self._fail(body)
            return 200, {}
        if path == "/scale/slow-reports":
            for client in self._hosts:
                await self._order(client, path, body)
            return 200, {}
        answer = await super().handle(method, path, args, body, host)
        await self._give_orders()
        return answer

    async def _fail(self, wanted):
        """Ends, restarts or cuts off `count` machines, at random or of a zone; 0: all of them."""
        there = [
            machine
            for machine in self.rented.values()
            if not machine.failed and wanted["zone"] in (None, machine.zone)
        ]
        count = min(wanted["count"] or len(there), len(there))
        for machine in self.sim.random.sample(there, count):
            if wanted["cut_s"]:
                self._cut.append((machine, wanted["cut_s"]))
            elif wanted["restart"]:
                self._restarted.append(machine)
            else:
                machine.failed = True
                self.ended.append(machine)
        await self._give_orders()

    async def _give_orders(self):
        """Tells the processes of workers what has changed, and waits until it is so."""
        started, self.started = self.started, []
        ended, self.ended = self.ended, []
        restarted, self._restarted = self._restarted, []
        cut, self._cut = dict(self._cut), []
        if not (started or ended or restarted or cut):
            return
        for host, client in enumerate(self._hosts):
            mine = lambda machines, host=host: [  # noqa: E731
                machine for machine in machines if self._layout.host_of(machine.number) == host
            ]
            await self._order(
                client,
                "/scale/workers",
                {
                    "start": [machine.order() for machine in mine(started)],
                    "end": [machine.name for machine in mine(ended)],
                    "restart": [machine.name for machine in mine(restarted)],
                    "cut": [(machine.name, cut[machine]) for machine in mine(cut)],
                },
            )

    async def _order(self, client, path, orders):
        if not any(orders.values()):
            return
        body = cbor2.dumps(orders)
        while True:  # an order repeated changes nothing
            try:
                await client.request("POST", path, body, ORDER_S)
                return
            except NoResponseError:
                await self.loop.sleep(0.1)


def main(part, directory):
    """The process of the state service or of the cloud."""
    ground = ScaleWorld(directory)
    (ScaleState if part == "state" else ScaleCloud)(ground)
    ground.loop.run()
