"""Hollow workers, many per process: they speak the whole worker protocol but simulate tasks by timers."""

from roadhead.local.fault_windows import FaultWindow
from roadhead.local.processes import ProcessWorld
from roadhead.local.server import EmulatedServer
from roadhead.local.worker import EmulatedWorker
from roadhead.scale.layout import Layout
from roadhead.scale.traffic import CountedNet, Traffic
from roadhead.scale.workload import Workload

MACHINE_TYPE = "box"
FLUSH_S = 1.0  # how often the event log is flushed


class EventLog:
    """Log of task events, one per line: time (monotonic clock of this machine), sign, task, worker.

    Signs: `+` the task's image is on the worker, `-` the task is gone from it, `=` the task is complete.
    """

    def __init__(self, loop, path):
        self._loop = loop
        self._file = path.open("w")
        loop.spawn(self._flush(), "event log")

    def add(self, sign, task, worker):
        """Appends an event of a task."""
        self._file.write(f"{self._loop.now():.4f} {sign} {task} {worker}\n")

    async def _flush(self):
        while True:
            await self._loop.sleep(FLUSH_S)
            self._file.flush()


class HollowWorld(ProcessWorld):
    """The environment that the hollow workers of one process share: loop, network, workload, event log."""

    def __init__(self, directory, number):
        super().__init__(directory)
        layout = Layout(directory)
        self.fetch_s = layout.plan.timing.fetch_s
        self._workload = Workload(layout.plan)
        self.log = EventLog(self.loop, layout.directory / f"tasks-{number}.log")
        self.traffic = Traffic()

    def host(self, _host, loop):
        """Returns the network of a worker."""
        return CountedNet(loop, self.traffic)

    def job_of(self, task):
        """Returns the description of a task's job as the worker emulator needs it, or None if unknown."""
        arrival = self._workload.get(task.rpartition("/")[0])
        return None if arrival is None else {**arrival.job, "runS": arrival.run_s}

    def on_task_started(self, task, worker):
        """Logs that a task has its image on a worker."""
        self.log.add("+", task, worker.name)

    def on_task_gone(self, task, worker):
        """Logs that a task has ended or was killed."""
        self.log.add("-", task, worker.name)

    def task_done(self, task):
        """Logs that a task is complete."""
        self.log.add("=", task, "")


class HollowWorker(EmulatedWorker):
    """A worker that sleeps until its lease ends instead of polling it, and can be ended, cut or restarted."""

    def __init__(self, world, kind, spec):
        """`spec`: the machine's description from the cloud emulator, see HollowMachine.start_spec."""
        self._routines = []
        super().__init__(world, spec["name"], 0, kind, spec["zone"], spec["spot"], spec["address"])

    async def _run(self):
        self._routines.append(self.loop.spawn(super()._run(), self.name))

    async def _watch_lease(self):
        while not self.dead:
            left_s = self.renewed_at + self.lease_s - self.loop.now()
            if left_s > 0:
                await self.loop.sleep(left_s)
            else:
                self._end_session()
                self.changed()

    def end(self):
        """Ends the machine and all that runs on it."""
        super().end()
        self.net.close()
        for routine in self._routines:
            routine.cancel()

    def cut(self, for_s):
        """Drops its traffic in both directions for `for_s` seconds; tasks run on until the lease ends."""
        self.incoming_lost_until = self.outgoing_blocked_until = self.sim.time + for_s

    def restart(self):
        """Restarts the machine at once, in a new session and without its tasks."""
        self._end_session()
        self.token = 0
        self.changed()


class HostControl(EmulatedServer):
    """Carries out the cloud emulator's commands on the workers of this process and reports their figures."""

    def __init__(self, world, number):
        address = world.plan["hosts"][number]
        super().__init__(world, address.rpartition(":")[0], address)
        self._workers = {}  # name -> HollowWorker
        self._kind = {"name": MACHINE_TYPE, "vcpus": world.plan["plan"]["cluster"]["cpus_per_worker"]}

    async def handle(self, method, path, _args, body, _host):
        """Handles commands of the cloud emulator (start, end, restart, cut; fault windows), and figures."""
        if path == "/scale/figures":
            return 200, self._figures()
        if (method, path) == ("POST", "/scale/fault-window"):
            window = FaultWindow(body["share"], self.sim.time + body["for_s"])
            setattr(self.world.fault_windows, body["name"], window)
            return 200, {}
        if (method, path) != ("POST", "/scale/workers"):
            return 404, {}
        self._apply(body)
        return 200, {}

    def _apply(self, commands):
        for spec in commands["start"]:
            self._start(spec)
        workers = self._workers
        for name in commands["end"]:
            if name in workers:
                workers.pop(name).end()
        for name in commands["restart"]:
            if name in workers:
                workers[name].restart()
        for name, for_s in commands["cut"]:
            if name in workers:
                workers[name].cut(for_s)

    def _start(self, spec):
        if spec["name"] in self._workers:
            return  # the command was repeated
        kind = {**self._kind, "startupS": spec["boot_s"]}
        self._workers[spec["name"]] = HollowWorker(self.world, kind, spec)

    def _figures(self):
        world = self.world
        return {
            "workers": len(self._workers),
            "tasks": sum(len(worker.tasks) for worker in self._workers.values()),
            "received": world.traffic.received,
            "sent": world.traffic.sent,
            "killed": world.killed,
            "no_rooms": world.no_rooms,
            "copied_commands": world.fault_windows.copied_commands.struck,
        }


def main(directory, number):
    """Runs a process of hollow workers. `number`: its index among those processes."""
    world = HollowWorld(directory, int(number))
    HostControl(world, int(number))
    world.loop.run()
