"""State service and cloud of a scale run: the emulators with request counters and failures on demand."""

from collections import Counter

import cbor2

from roadhead.local.cloud_api import CloudEmulator
from roadhead.local.processes import ProcessWorld
from roadhead.local.state_service import StateServiceEmulator
from roadhead.runtime.net import Net
from roadhead.scale.hollow import MACHINE_TYPE
from roadhead.scale.layout import Layout, worker_address, zone_name
from roadhead.scale.traffic import CountedNet, Traffic
from roadhead.wire.http import HttpClient, NoResponseError

COMMAND_TIMEOUT_S = 10.0  # timeout of a command to a process of workers
RAM_GB_PER_CPU = 4.0
PRICE, SPOT_PRICE = 0.2, 0.05
TOO_MANY_REQUESTS = 429  # HTTP status of requests above a rate limit


class ScaleWorld(ProcessWorld):
    """The environment of an emulator's process: its Layout, loop and network."""

    def __init__(self, directory):
        super().__init__(directory)
        self.layout = Layout(directory)
        self.traffic = Traffic()

    def host(self, _host, loop):
        """Returns the network of the emulator."""
        return CountedNet(loop, self.traffic)


def request_kind(method, path, args, body):
    """Returns the kind of a request to the state service, under which it is counted."""
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
    """A state service that counts requests by kind. `/scale/outage` with `on` starts or ends an outage."""

    def __init__(self, world):
        super().__init__(world, world.plan["state"])
        self._kinds = Counter()
        self._changes = 0  # requested puts and deletes, whether or not they were carried out
        self._throttled = Counter()  # kind -> requests refused with 429

    async def handle(self, method, path, args, body, host):
        """Serves the state service's protocol and the scale run's own requests under `/scale/`."""
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
        if status == TOO_MANY_REQUESTS:
            self._throttled[kind] += 1
        return status, answer

    def _figures(self):
        return {
            "requests": dict(self._kinds),
            "changes": self._changes,
            "busy": dict(self._throttled),
            "keys": len(self.data),
            "received": self.world.traffic.received,
            "sent": self.world.traffic.sent,
        }


class HollowMachine:
    """A rented machine as the cloud emulator knows it; its worker runs in one of the processes of workers."""

    def __init__(self, cloud, name, number, kind, zone, spot):
        self.name, self.number, self.kind, self.zone, self.spot = name, number, kind, zone, spot
        self.address = worker_address(cloud.network, number)
        self.created_at = cloud.sim.time
        self.boot_s = kind["startupS"] * cloud.sim.random.uniform(0.6, 1.5)
        self.tasks = {}  # read by CloudEmulator; empty, as only the worker's process knows its tasks
        self.failed = False
        self._cloud = cloud

    def listed(self):
        """Returns the machine's status in the cloud's list of machines."""
        if self.failed:
            return "failed"
        return "running" if self._cloud.sim.time > self.created_at + self.boot_s else "starting"

    def start_spec(self):
        """Returns the command with which a process of workers starts this machine's worker."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "spot": self.spot,
            "boot_s": self.boot_s,
        }

    def end(self):
        """Schedules the end of the worker: the machine was returned to the cloud."""
        self._cloud.ended.append(self)


class ScaleCloud(CloudEmulator):
    """A cloud that rents hollow workers. All workers of the plan are running when the controllers start."""

    def __init__(self, world):
        self._layout = world.layout
        plan = self._layout.plan
        zones = [zone_name(zone) for zone in range(plan.cluster.zones)]
        kind = {
            "name": MACHINE_TYPE,
            "vcpus": plan.cluster.cpus_per_worker,
            "gpus": 0,
            "ramGb": RAM_GB_PER_CPU * plan.cluster.cpus_per_worker,
            "cacheGb": 100,
            "fetchGbPerS": 1.0,
            "price": PRICE,
            "marketPrice": SPOT_PRICE,
            "startupS": plan.timing.boot_s,
            "paddocks": zones,
        }
        capacity = -(-plan.cluster.workers // len(zones))
        super().__init__(world, [kind], capacity, world.plan["cloud"])
        self._hosts = [HttpClient(self.loop, Net(self.loop), address) for address in world.plan["hosts"]]
        self.started, self.ended, self._restarted = [], [], []
        self._cut = []  # (machine, seconds)
        self.network = world.plan["network"]
        for number in range(plan.cluster.workers):
            self.rent(MACHINE_TYPE, zones[number % len(zones)], spot=True, count=1)
        self.loop.spawn(self._send_commands(), "first workers")

    def new_worker(self, name, number, kind, zone, spot):
        """Returns a HollowMachine, whose worker is started with the next commands."""
        machine = HollowMachine(self, name, number, kind, zone, spot)
        self.started.append(machine)
        return machine

    async def handle(self, method, path, args, body, host):
        """Serves the cloud's protocol and the scale run's own requests under `/scale/`."""
        if path == "/scale/outage":
            self.down = body["on"]
            return 200, {}
        if path == "/scale/workers":
            await self._fail_machines(body)
            return 200, {}
        if path == "/scale/fault-window":
            for client in self._hosts:
                await self._send_command(client, path, body)
            return 200, {}
        answer = await super().handle(method, path, args, body, host)
        await self._send_commands()
        return answer

    async def _fail_machines(self, request):
        """Ends, restarts or cuts off `count` random machines (0: all), of one zone if `zone` is given."""
        candidates = [
            machine
            for machine in self.rented.values()
            if not machine.failed and request["zone"] in (None, machine.zone)
        ]
        count = min(request["count"] or len(candidates), len(candidates))
        for machine in self.sim.random.sample(candidates, count):
            if request["cut_s"]:
                self._cut.append((machine, request["cut_s"]))
            elif request["restart"]:
                self._restarted.append(machine)
            else:
                machine.failed = True
                self.ended.append(machine)
        await self._send_commands()

    async def _send_commands(self):
        """Sends pending commands to the processes of workers and waits until they are carried out."""
        started, self.started = self.started, []
        ended, self.ended = self.ended, []
        restarted, self._restarted = self._restarted, []
        cut, self._cut = dict(self._cut), []
        if not (started or ended or restarted or cut):
            return
        for host, client in enumerate(self._hosts):
            on_host = lambda machines, host=host: [  # noqa: E731
                machine for machine in machines if self._layout.host_of(machine.number) == host
            ]
            await self._send_command(
                client,
                "/scale/workers",
                {
                    "start": [machine.start_spec() for machine in on_host(started)],
                    "end": [machine.name for machine in on_host(ended)],
                    "restart": [machine.name for machine in on_host(restarted)],
                    "cut": [(machine.name, cut[machine]) for machine in on_host(cut)],
                },
            )

    async def _send_command(self, client, path, commands):
        if not any(commands.values()):
            return
        body = cbor2.dumps(commands)
        while True:  # commands are idempotent, so they can be retried
            try:
                await client.request("POST", path, body, COMMAND_TIMEOUT_S)
                return
            except NoResponseError:
                await self.loop.sleep(0.1)


def main(part, directory):
    """Runs the process of the state service or of the cloud."""
    world = ScaleWorld(directory)
    (ScaleState if part == "state" else ScaleCloud)(world)
    world.loop.run()
