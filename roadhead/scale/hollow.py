"""Hollow workers, many to a process: they speak the whole protocol, and tasks end by the clock alone."""

from roadhead.local.fault_windows import FaultWindow
from roadhead.local.processes import ProcessWorld
from roadhead.local.server import EmulatedServer
from roadhead.local.worker import EmulatedWorker
from roadhead.scale.layout import Layout
from roadhead.scale.traffic import CountedNet, Traffic
from roadhead.scale.workload import Workload

CPUS_TYPE = "box"
FLUSH_S = 1.0


class EventLog:
    """What tasks did on workers, a line each: time (steady clock of this machine), sign, task, worker.

    The sign is `+` for a task that has its image there, `-` for one that is gone, `=` for completion.
    """

    def __init__(self, loop, path):
        self._loop = loop
        self._file = path.open("w")
        loop.spawn(self._flush(), "event log")

    def add(self, sign, task, worker):
        """Notes what became of a task."""
        self._file.write(f"{self._loop.now():.4f} {sign} {task} {worker}\n")

    async def _flush(self):
        while True:
            await self._loop.sleep(FLUSH_S)
            self._file.flush()


class HollowWorld(ProcessWorld):
    """The world of the hollow workers of one process."""

    def __init__(self, directory, number):
        super().__init__(directory)
        layout = Layout(directory)
        self.fetch_s = layout.plan.timing.fetch_s
        self._workload = Workload(layout.plan)
        self.log = EventLog(self.loop, layout.directory / f"tasks-{number}.log")
        self.traffic = Traffic()

    def host(self, _host, loop):
        """The network of a worker."""
        return CountedNet(loop, self.traffic)

    def job_of(self, task):
        """What the worker needs to know of a task's job, or None."""
        arrival = self._workload.get(task.rpartition("/")[0])
        return None if arrival is None else {**arrival.job, "runS": arrival.run_s}

    def on_machine(self, task, worker):
        """A task has its image."""
        self.log.add("+", task, worker.name)

    def off_machine(self, task, worker):
        """A task has ended, or was killed."""
        self.log.add("-", task, worker.name)

    def task_done(self, task):
        """A task is complete."""
        self.log.add("=", task, "")


class HollowWorker(EmulatedWorker):
    """A worker that sleeps until its lease ends in place of looking every moment, and that can be ended."""

    def __init__(self, world, kind, order):
        """`order`: what the cloud emulator says of the machine."""
        self._routines = []
        super().__init__(world, order["name"], 0, kind, order["zone"], order["spot"], order["address"])

    async def _live(self):
        self._routines.append(self.loop.spawn(super()._live(), self.name))

    async def _watch_lease(self):
        while not self.dead:
            left_s = self.renewed_at + self.lease_s - self.loop.now()
            if left_s > 0:
                await self.loop.sleep(left_s)
            else:
                self._end_session()
                self.changed()

    def end(self):
        """The machine is gone, with all that runs on it."""
        super().end()
        self.net.close()
        for routine in self._routines:
            routine.cancel()

    def cut(self, for_s):
        """Nothing reaches it, nor does it reach anybody; its tasks go on until its lease ends."""
        self.deaf_until = self.mute_until = self.sim.time + for_s

    def restart(self):
        """The machine comes back at once, in a new session, without its tasks."""
        self._end_session()
        self.token = 0
        self.changed()


class HostControl(EmulatedServer):
    """Takes the cloud's orders for the workers of this process, and tells what they have cost."""

    def __init__(self, ground, number):
        address = ground.plan["hosts"][number]
        super().__init__(ground, address.rpartition(":")[0], address)
        self._workers = {}  # name -> HollowWorker
        self._kind = {"name": CPUS_TYPE, "vcpus": ground.plan["plan"]["cluster"]["cpus_per_worker"]}

    async def handle(self, method, path, _args, body, _host):
        """Orders of the cloud emulator (`start`, `end`, `restart`, `cut` workers, slow reports); figures."""
        if path == "/scale/figures":
            return 200, self._figures()
        if (method, path) == ("POST", "/scale/slow-reports"):
            window = FaultWindow(body["share"], self.sim.time + body["for_s"])
            self.world.fault_windows.slow_reports = window
            return 200, {}
        if (method, path) != ("POST", "/scale/workers"):
            return 404, {}
        self._carry_out(body)
        return 200, {}

    def _carry_out(self, orders):
        for order in orders["start"]:
            self._start(order)
        workers = self._workers
        for name in orders["end"]:
            if name in workers:
                workers.pop(name).end()
        for name in orders["restart"]:
            if name in workers:
                workers[name].restart()
        for name, for_s in orders["cut"]:
            if name in workers:
                workers[name].cut(for_s)

    def _start(self, order):
        if order["name"] in self._workers:
            return  # the order was repeated
        kind = {**self._kind, "startupS": order["boot_s"]}
        self._workers[order["name"]] = HollowWorker(self.world, kind, order)

    def _figures(self):
        world = self.world
        return {
            "workers": len(self._workers),
            "tasks": sum(len(worker.tasks) for worker in self._workers.values()),
            "received": world.traffic.received,
            "sent": world.traffic.sent,
            "killed": world.killed,
            "no_rooms": world.no_rooms,
        }


def main(directory, number):
    """A process of hollow workers."""
    ground = HollowWorld(directory, int(number))
    HostControl(ground, int(number))
    ground.loop.run()
