"""The emulators as processes on loopback: state service, cloud with uploads, workers that run commands.

python3 run.py local-part state|cloud|worker DIR [ARGUMENTS]
"""

import ctypes
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import cbor2

from roadhead.local.cloud_api import CloudEmulator
from roadhead.local.disk_store import DiskStore
from roadhead.local.fault_windows import FaultWindows
from roadhead.local.state_service import StateServiceEmulator
from roadhead.local.worker import EmulatedWorker
from roadhead.runtime.loop import Loop
from roadhead.runtime.net import READ, Net
from roadhead.wire.http import Client, NoResponseError


def die_with_parent():
    """In a child before it runs: the kernel ends it with its parent, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Clock:
    """Stands where the simulation does in virtual time."""

    def __init__(self, loop):
        self._loop = loop
        self.random = random.Random()

    @property
    def time(self):
        return self._loop.now()


class ProcessWorld:
    """What the emulators ask of their world, on the real loop and real sockets."""

    def __init__(self, directory):
        self.directory = Path(directory)
        self.plan = json.loads((self.directory / "cluster.json").read_text())
        self.settings = self.plan["settings"]
        self.labels, self.fronts = self.plan["labels"], self.plan["fronts"]
        self.loop = Loop()
        self.sim = Clock(self.loop)
        self.network = self
        self.fetch_s, self.stuck_boots, self.no_rooms, self.killed = 0.05, 0, 0, 0
        self.given_back = 0
        self.fault_windows = FaultWindows()
        self.completed, self.gangs = set(), {}

    def host_loop(self, _host):
        return self.loop

    def host(self, _host, loop):
        return Net(loop)

    def kill(self, _host):
        pass

    def on_machine(self, task, worker):
        pass

    off_machine = on_machine

    def task_done(self, task):
        pass

    state_changed = task_done


class RealCloud(CloudEmulator):
    """Its machines are worker processes; it also takes what users upload of their jobs."""

    def __init__(self, ground):
        kinds = [
            {
                "name": "box",
                "vcpus": 4,
                "gpus": 0,
                "ramGb": 16,
                "cacheGb": 20,
                "fetchGbPerS": 10,
                "price": 0.2,
                "marketPrice": 0.05,
                "startupS": 1.0,
                "paddocks": ["north", "south"],
            }
        ]
        super().__init__(ground, kinds, capacity=3, address=ground.plan["cloud"])
        self.names = int(time.time()) * 1000  # names are never given twice, whatever ended
        self._uploads = ground.directory / "uploads"
        self._uploads.mkdir(exist_ok=True)

    def new_worker(self, name, number, kind, zone, spot):
        return Machine(self.world, name, kind, zone, spot)

    async def handle(self, method, path, args, body, host):
        if path.startswith("/uploads/") and path.count("/") == 2:
            file = self._uploads / path.rpartition("/")[2]
            if method == "POST":
                new = file.with_suffix(".new")
                new.write_bytes(cbor2.dumps(body))
                new.rename(file)
                return 200, {}
            return (200, cbor2.loads(file.read_bytes())) if file.exists() else (404, {})
        return await super().handle(method, path, args, body, host)


class Machine:
    """A rented machine as the cloud sees it: a process."""

    def __init__(self, ground, name, kind, zone, spot):
        self.name, self.kind, self.zone, self.spot = name, kind, zone, spot
        self.born = ground.sim.time
        self.tasks = {}  # known to its worker alone
        self.address = free_address()
        self.process = subprocess.Popen(
            [
                sys.executable,
                *ground.plan["program"],
                "local-part",
                "worker",
                str(ground.directory),
                name,
                self.address,
                zone,
                str(int(spot)),
            ],
            preexec_fn=die_with_parent,
        )

    def listed(self):
        return "running" if self.process.poll() is None else "failed"

    def end(self):
        self.process.kill()
        self.process.wait()


class RealWorker(EmulatedWorker):
    """Runs each task's command as a process group of its own, its output into a file."""

    def __init__(self, ground, name, address, zone, spot):
        kind = {"name": "box", "vcpus": 4, "startupS": 0.05}
        self._net_of_cloud = Client(ground.loop, Net(ground.loop), ground.plan["cloud"])
        self._out = ground.directory / "out"
        self._out.mkdir(exist_ok=True)
        self._jobs = {}  # job -> what its user uploaded
        ground.job_of = lambda task: self._jobs.get(task.rpartition("/")[0])
        super().__init__(ground, name, 0, kind, zone, spot, address)

    def _launch(self, task, attempt):
        if task.rpartition("/")[0] in self._jobs:
            super()._launch(task, attempt)
        else:
            self.loop.spawn(self._fetch(task, attempt), "fetch")

    async def _fetch(self, task, attempt):
        job, session = task.rpartition("/")[0], self.session
        try:
            status, data, _ = await self._net_of_cloud.request("GET", f"/uploads/{job}")
        except NoResponseError:
            return  # the launch is repeated until a report shows it
        if status == 200:
            self._jobs[job] = cbor2.loads(data)
        if session == self.session and (task, attempt) not in self.tasks:
            super()._launch(task, attempt)

    def _start(self, item):
        item.status = "running"
        job, _, index = item.task.rpartition("/")
        described = self._jobs[job]
        with open(self._out / f"{job}.{index}.log", "wb") as file:
            item.process = subprocess.Popen(
                described["command"],
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=subprocess.STDOUT,
                start_new_session=True,
                preexec_fn=die_with_parent,
                env={**os.environ, "ROADHEAD_JOB": described["name"], "ROADHEAD_TASK": index},
            )
        handle = os.pidfd_open(item.process.pid)

        def ended(_mask):
            self.loop.selector.unregister(handle)
            os.close(handle)
            code = item.process.wait()
            if item.status == "saving":
                item.saved = True
                self._exit(item, "stopped")
            elif item.status == "running":
                with open(self._out / f"{job}.{index}.exits", "a") as file:
                    print(code, file=file)
                self._exit(item, "error" if code else "done")

        self.loop.selector.register(handle, READ, ended)
        self.changed()

    def execute(self, orders):
        super().execute(orders)
        for item in self.tasks.values():
            if item.status == "saving" and not item.saved:
                self._signal(item, signal.SIGTERM)

    def _leave(self, item):
        super()._leave(item)
        self._signal(item, signal.SIGKILL)

    @staticmethod
    def _signal(item, number):
        process = getattr(item, "process", None)
        if process is not None and process.returncode is None:
            try:
                os.killpg(process.pid, number)
            except ProcessLookupError:
                pass


def free_address():
    """A loopback address that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def main(part, directory, *arguments):
    ground = ProcessWorld(directory)
    if part == "state":
        StateServiceEmulator(ground, ground.plan["state"], DiskStore(str(ground.directory / "state")))
    elif part == "cloud":
        RealCloud(ground)
    else:
        name, address, zone, spot = arguments
        RealWorker(ground, name, address, zone, spot == "1")
    ground.loop.run()
