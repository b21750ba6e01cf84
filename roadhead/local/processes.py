"""Runs the emulators as processes on loopback: state service, cloud with uploads, workers that run commands.

python3 run.py local-part state|cloud|worker DIR [ARGUMENTS]
"""

import ctypes
import json
import math
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
from roadhead.local.fault_windows import FaultWindow, FaultWindows
from roadhead.local.state_service import StateServiceEmulator
from roadhead.local.worker import EmulatedWorker
from roadhead.runtime.loop import Loop
from roadhead.runtime.net import READ, Net
from roadhead.wire.http import HttpClient, NoResponseError

PR_SET_PDEATHSIG = 1  # from <linux/prctl.h>


def die_with_parent():
    """Makes the kernel kill this process when its parent ends; called in a child before it executes."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Clock:
    """Provides the time and random numbers of a simulation, on the real clock."""

    def __init__(self, loop):
        self._loop = loop
        self.random = random.Random()

    @property
    def time(self):
        return self._loop.now()


class ProcessWorld:
    """Provides to the emulators what a `World` does, on the real event loop and real sockets."""

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
        self.oversized = []
        copied_commands = FaultWindow(self.plan.get("late_copies", 0.0), math.inf)
        self.fault_windows = FaultWindows(copied_commands=copied_commands)
        self.completed, self.gangs = set(), {}

    def host_loop(self, _host):
        """Returns the process's event loop."""
        return self.loop

    def host(self, _host, loop):
        """Returns a real network interface."""
        return Net(loop)

    def kill(self, _host):
        """Does nothing: the cloud emulator kills the process."""

    def on_task_started(self, task, worker):
        """Does nothing: only the simulation checks what runs."""

    on_task_gone = on_task_started

    def task_done(self, task):
        """Does nothing: only the simulation checks what has completed."""

    state_changed = task_done


class RealCloud(CloudEmulator):
    """A cloud whose machines are worker processes; it also stores the uploads of the users' jobs."""

    def __init__(self, world):
        machine_types = [
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
        super().__init__(world, machine_types, capacity=3, address=world.plan["cloud"])
        self.machines_rented = int(time.time()) * 1000  # names stay unique across restarts
        self._uploads = world.directory / "uploads"
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
    """A rented machine, run as a worker process."""

    def __init__(self, world, name, kind, zone, spot):
        self.name, self.kind, self.zone, self.spot = name, kind, zone, spot
        self.created_at = world.sim.time
        self.tasks = {}  # always empty here: only the worker process knows its tasks
        self.address = free_address()
        self.process = subprocess.Popen(
            [
                sys.executable,
                *world.plan["program"],
                "local-part",
                "worker",
                str(world.directory),
                name,
                self.address,
                zone,
                str(int(spot)),
            ],
            preexec_fn=die_with_parent,
        )

    def listed(self):
        """Returns the machine's status in the cloud's list."""
        return "running" if self.process.poll() is None else "failed"

    def end(self):
        """Kills the process."""
        self.process.kill()
        self.process.wait()


class RealWorker(EmulatedWorker):
    """Runs each task's command as a process group of its own, with its output in a file."""

    def __init__(self, world, name, address, zone, spot):
        kind = {"name": "box", "vcpus": 4, "startupS": 0.05}
        self._cloud_client = HttpClient(world.loop, Net(world.loop), world.plan["cloud"])
        self._out = world.directory / "out"
        self._out.mkdir(exist_ok=True)
        self._jobs = {}  # job id -> the upload of its user
        world.job_of = lambda task: self._jobs.get(task.rpartition("/")[0])
        super().__init__(world, name, 0, kind, zone, spot, address)

    def _launch(self, task, attempt):
        if task.rpartition("/")[0] in self._jobs:
            super()._launch(task, attempt)
        else:
            self.loop.spawn(self._fetch_upload(task, attempt), "fetch")

    async def _fetch_upload(self, task, attempt):
        job, session = task.rpartition("/")[0], self.session
        try:
            status, data, _ = await self._cloud_client.request("GET", f"/uploads/{job}")
        except NoResponseError:
            return  # the controller repeats the launch until a report shows the task
        if status == 200:
            self._jobs[job] = cbor2.loads(data)
        if session == self.session and (task, attempt) not in self.tasks:
            super()._launch(task, attempt)

    def _start(self, task_attempt):
        task_attempt.status = "running"
        job, _, index = task_attempt.task.rpartition("/")
        upload = self._jobs[job]
        with open(self._out / f"{job}.{index}.log", "wb") as file:
            task_attempt.process = subprocess.Popen(
                upload["command"],
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=subprocess.STDOUT,
                start_new_session=True,
                preexec_fn=die_with_parent,
                env={**os.environ, "ROADHEAD_JOB": upload["name"], "ROADHEAD_TASK": index},
            )
        handle = os.pidfd_open(task_attempt.process.pid)

        def on_exit(_mask):
            self.loop.selector.unregister(handle)
            os.close(handle)
            code = task_attempt.process.wait()
            if task_attempt.status == "saving":
                task_attempt.saved = True
                self._exit(task_attempt, "stopped")
            elif task_attempt.status == "running":
                with open(self._out / f"{job}.{index}.exits", "a") as file:
                    print(code, file=file)
                self._exit(task_attempt, "error" if code else "done")

        self.loop.selector.register(handle, READ, on_exit)
        self.changed()

    def execute(self, orders):
        super().execute(orders)
        for task_attempt in self.tasks.values():
            if task_attempt.status == "saving" and not task_attempt.saved:
                self._signal(task_attempt, signal.SIGTERM)

    def _leave(self, task_attempt):
        super()._leave(task_attempt)
        self._signal(task_attempt, signal.SIGKILL)

    @staticmethod
    def _signal(task_attempt, number):
        process = getattr(task_attempt, "process", None)
        if process is not None and process.returncode is None:
            try:
                os.killpg(process.pid, number)
            except ProcessLookupError:
                pass


def free_address():
    """Returns a loopback address with a port that is not in use."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def main(part, directory, *arguments):
    """Runs one emulator until the process is killed."""
    world = ProcessWorld(directory)
    if part == "state":
        StateServiceEmulator(world, world.plan["state"], DiskStore(str(world.directory / "state")))
    elif part == "cloud":
        RealCloud(world)
    else:
        name, address, zone, spot = arguments
        RealWorker(world, name, address, zone, spot == "1")
    world.loop.run()
