"""Starts, measures, kills and stops the processes of a scale run."""

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

READY_TIMEOUT_S = 60.0  # how long a process may take to become ready
DUMP_WAIT_S = 1.0  # time for the controllers to write their decision logs
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")


class StartError(Exception):
    """Raised if the cluster does not become ready in time."""


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of a process: CPU seconds since its start, resident bytes, open files."""

    cpu_s: float
    resident: int
    files: int


def usage_of(pid):
    """Returns the Usage of a process, or None if it has ended."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        files = len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return None
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
    return Usage(cpu_s, int(fields[21]) * PAGE_SIZE, files)


def request(address, method, path, body=None, timeout_s=20.0):
    """Returns the decoded answer of an emulator or a controller. Raises OSError, also if it is not a 200."""
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
    """The processes of a Layout. `roles`: process name -> role."""

    def __init__(self, layout):
        self._layout = layout
        self._running = {}  # name -> Popen
        self._arguments = {}
        self._ended_cpu_s = {}  # name -> CPU seconds of its killed predecessors
        self.roles = {}

    def start(self):
        """Starts the emulators, then the controllers, and waits until all are ready. Raises StartError."""
        (self._layout.directory / "logs").mkdir(exist_ok=True)
        for role, name, arguments in self._layout.processes():
            self.roles[name], self._arguments[name] = role, arguments
            if role == "controller":
                continue
            self.launch(name)
        document = self._layout.document
        for address in (document["state"], *document["hosts"]):
            self._wait_until_ready(address, "/scale/figures")
        self._wait_until_ready(document["cloud"], "/catalog")
        for label in document["labels"]:
            self.launch(label)
        for front in document["fronts"]:
            self._wait_until_ready(front, "/ready")

    def _wait_until_ready(self, address, path):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                request(address, "GET", path, timeout_s=2.0)
                return
            time.sleep(0.1)
        raise StartError(f"{address}{path}: no answer; logs are in {self._layout.directory / 'logs'}")

    def launch(self, name):
        """Starts a process unless it was already started."""
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

    def start_users(self):
        """Starts the process of the users."""
        self.roles["users"] = "users"
        self._arguments["users"] = ["scale-part", "users", str(self._layout.directory)]
        self.launch("users")

    def is_running(self, name):
        """Returns whether a process was started and has not ended."""
        return name in self._running and self._running[name].poll() is None

    def kill(self, name):
        """Kills a process. Its CPU time stays included in `usage`."""
        process = self._running.pop(name, None)
        if process is None:
            return
        if (used := usage_of(process.pid)) is not None:
            self._ended_cpu_s[name] = self._ended_cpu_s.get(name, 0.0) + used.cpu_s
        process.kill()
        process.wait()

    def set_stalled(self, name, *, stalled):
        """Suspends a process (SIGSTOP) or resumes it (SIGCONT)."""
        if name in self._running:
            self._running[name].send_signal(signal.SIGSTOP if stalled else signal.SIGCONT)

    def usage(self):
        """Returns {name: Usage} of all running processes, with the CPU time of their killed predecessors."""
        usage_by_name = {}
        for name, process in self._running.items():
            if (used := usage_of(process.pid)) is not None:
                cpu_s = used.cpu_s + self._ended_cpu_s.get(name, 0.0)
                usage_by_name[name] = Usage(cpu_s, used.resident, used.files)
        return usage_by_name

    def dump_decisions(self, labels):
        """Makes the controllers of these labels write their recorded decisions to their logs."""
        for label in labels:
            if self.is_running(label):
                self._running[label].send_signal(signal.SIGUSR1)
        time.sleep(DUMP_WAIT_S)

    def stop(self):
        """Kills all processes and waits for them."""
        for process in self._running.values():
            process.kill()
        for process in self._running.values():
            process.wait()
        self._running.clear()
