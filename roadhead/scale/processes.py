"""Starts, watches, fails and ends the processes of a scale run."""

import contextlib
import http
import http.client
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass

import cbor2

from roadhead.local.processes import die_with_parent

READY_S = 60.0
DUMP_S = 1.0  # for the controllers to write what they decided
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


class StartError(Exception):
    """The cluster did not come up."""


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used: processor seconds since its start, resident bytes, open files."""

    cpu_s: float
    resident: int
    files: int


def usage_of(pid):
    """The Usage of a process, or None once it has ended."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        files = len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return None
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
    return Usage(cpu_s, int(fields[21]) * PAGE, files)


def ask(address, method, path, body=None, timeout_s=20.0):
    """The answer of an emulator or a controller. Raises OSError."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, cbor2.dumps(body) if body is not None else None)
        response = connection.getresponse()
        data = response.read()
    except http.client.HTTPException as error:
        raise OSError(repr(error)) from None
    finally:
        connection.close()
    if response.status != http.HTTPStatus.OK:
        raise OSError(f"{method} {path}: {response.status}")
    return cbor2.loads(data) if data else None


class Processes:
    """All processes of a Layout. `roles`: name -> role."""

    def __init__(self, layout):
        self._layout = layout
        self._running = {}  # name -> Popen
        self._arguments = {}
        self._ended_cpu_s = {}  # name -> processor seconds of those before it
        self.roles = {}

    def start(self):
        """Starts the services, then the controllers, and waits until all are ready. Raises StartError."""
        (self._layout.directory / "logs").mkdir(exist_ok=True)
        for role, name, arguments in self._layout.processes():
            self.roles[name], self._arguments[name] = role, arguments
            if role == "controller":
                continue
            self.begin(name)
        document = self._layout.document
        for address in (document["state"], *document["hosts"]):
            self._await(address, "/scale/figures")
        self._await(document["cloud"], "/catalog")
        for label in document["labels"]:
            self.begin(label)
        for front in document["fronts"]:
            self._await(front, "/ready")

    def _await(self, address, path):
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                ask(address, "GET", path, timeout_s=2.0)
                return
            time.sleep(0.1)
        raise StartError(f"{address}{path}: no answer; logs are in {self._layout.directory / 'logs'}")

    def begin(self, name):
        """Starts a process, if it does not run."""
        if name in self._running:
            return
        with open(self._layout.directory / "logs" / f"{name}.log", "ab") as log:
            self._running[name] = subprocess.Popen(
                [sys.executable, *self._layout.document["program"], *self._arguments[name]],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                preexec_fn=die_with_parent,
            )

    def begin_load(self):
        """Starts the users."""
        self.roles["users"] = "users"
        self._arguments["users"] = ["scale-part", "users", str(self._layout.directory)]
        self.begin("users")

    def running(self, name):
        """Whether a process was started and has not ended."""
        return name in self._running and self._running[name].poll() is None

    def kill(self, name):
        """Ends a process, whose processor time still counts."""
        process = self._running.pop(name, None)
        if process is None:
            return
        if (used := usage_of(process.pid)) is not None:
            self._ended_cpu_s[name] = self._ended_cpu_s.get(name, 0.0) + used.cpu_s
        process.kill()
        process.wait()

    def stall(self, name, *, stalled):
        """Stops a process for a while, or lets it go on."""
        if name in self._running:
            self._running[name].send_signal(signal.SIGSTOP if stalled else signal.SIGCONT)

    def usage(self):
        """{name: Usage} of all that run; the processor time of those that ended before is in it."""
        found = {}
        for name, process in self._running.items():
            if (used := usage_of(process.pid)) is not None:
                cpu_s = used.cpu_s + self._ended_cpu_s.get(name, 0.0)
                found[name] = Usage(cpu_s, used.resident, used.files)
        return found

    def dump_decisions(self, labels):
        """Has the controllers of these labels write the decisions that they kept to their logs."""
        for label in labels:
            if self.running(label):
                self._running[label].send_signal(signal.SIGUSR1)
        time.sleep(DUMP_S)

    def stop(self):
        """Ends all processes."""
        for process in self._running.values():
            process.kill()
        for process in self._running.values():
            process.wait()
        self._running.clear()
