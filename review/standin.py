"""Stand-ins for the review's cases: state service, cloud, workers and users, and the controllers' processes.

All stand-ins run in one asyncio loop and follow PROTOCOL. Each case scripts its disruption through the hooks
that are named in the classes. The controllers are started with the `run` command of deploy/service.toml.
"""

import asyncio
import ctypes
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "target" / "deps"))

import cbor2  # noqa: E402  (the build puts it under target/deps)

MAX_BODY = 64 * 1024
PR_SET_PDEATHSIG = 1  # from <linux/prctl.h>
RESPONSE_S = 4.0  # a worker drops a response that takes longer (PROTOCOL, reports)


class CaseError(Exception):
    """The case could not run."""


def end_with_parent():
    """Makes the kernel kill this process when its parent ends; called in a child before it executes."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def size_of(body):
    """Size of a message body as PROTOCOL counts it: as JSON, here in its shortest form."""
    return len(json.dumps(body, separators=(",", ":"), ensure_ascii=False).encode())


def free_addresses(count):
    """Loopback addresses with ports that are free now, below those that the system gives to connections."""
    addresses = []
    while len(addresses) < count:
        address = f"127.0.0.1:{random.randrange(12_000, 32_000)}"
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", int(address.rpartition(":")[2])))
            except OSError:
                continue
        if address not in addresses:
            addresses.append(address)
    return addresses


class Record:
    """The file record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w")  # noqa: SIM115  (kept open for the whole run)
        self._start = time.monotonic()

    def now(self):
        """Seconds since the start."""
        return time.monotonic() - self._start

    def write(self, text):
        """Writes one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


# HTTP


async def read_message(reader):
    """Reads a message; returns (first line, headers, body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


class Server:
    """An HTTP server; subclasses define `handle(method, path, args, body)` -> (status, body)."""

    address = ""

    async def listen(self, address):
        """Starts to serve."""
        self.address = address
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 22, backlog=512)

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _version = first.split(" ", 2)
                path, _, query = target.partition("?")
                args = dict(part.split("=", 1) for part in query.split("&") if part)
                answer = await self.handle(method, path, args, cbor2.loads(body) if body else None)
                if answer is None:
                    return  # no response: the connection is closed
                status, value = answer
                data = cbor2.dumps(value)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/cbor\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Client:
    """Sends requests to one address over one connection that is kept open."""

    def __init__(self, address):
        self.address = address
        self._streams = None

    async def _exchange(self, method, target, body):
        if self._streams is None:
            host, _, port = self.address.rpartition(":")
            self._streams = await asyncio.open_connection(host, int(port), limit=1 << 22)
        reader, writer = self._streams
        data = cbor2.dumps(body) if body is not None else b""
        writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: {self.address}\r\nContent-Type: application/cbor\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise ConnectionError("closed")
        first, headers, data = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split()[1]), cbor2.loads(data) if data else {}

    async def request(self, method, target, body=None, timeout=5.0):
        """Returns (status, body), or (0, {}) without a response in time."""
        try:
            return await asyncio.wait_for(self._exchange(method, target, body), timeout)
        except (TimeoutError, OSError):
            self.close()
            return 0, {}

    def close(self):
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


# State service


class Bucket:
    """A rate limit with a burst of `burst_s` seconds' worth."""

    def __init__(self, rate, burst_s=1.0):
        self._rate, self._burst = rate, rate * burst_s
        self._level, self._at = self._burst, time.monotonic()

    def take(self, count):
        """Takes tokens and returns True, or returns False if there are too few."""
        now = time.monotonic()
        self._level = min(self._burst, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < count:
            return False
        self._level -= count
        return True


class State(Server):
    """The state service. Hook: `before(method, path, body)` is awaited before a request is carried out."""

    def __init__(self, limits):
        self.limits = limits
        self.data = {}  # key -> (value, revision, lease or None)
        self.epoch = 0
        self.log = []
        self.leases = {}  # id -> [life, end]
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.refused = 0
        self.before = None
        asyncio.get_running_loop().create_task(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [key for key, (_life, end) in self.leases.items() if end <= now]:
                del self.leases[lease]
                keys = [key for key, entry in self.data.items() if entry[2] == lease]
                if keys:
                    self._apply([{"drop": key} for key in keys])

    def _apply(self, writes):
        self.epoch += 1
        for write in writes:
            if "put" in write:
                self.data[write["put"]] = (write["data"], self.epoch, write.get("permit"))
                self.log.append({"put": write["put"], "data": write["data"], "stamp": self.epoch})
            elif self.data.pop(write["drop"], None) is not None:
                self.log.append({"drop": write["drop"], "stamp": self.epoch})
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def handle(self, method, path, args, body):
        """Serves one request."""
        if not self.requests.take(1):
            self.refused += 1
            return 429, {"error": "rate"}
        await asyncio.sleep(0.005)  # answers usually take under 10 ms
        if self.before is not None and (answer := await self.before(method, path, body)) is not None:
            return answer
        if path == "/store":
            prefix, after = args["under"], args.get("after", "")
            keys = sorted(key for key in self.data if key.startswith(prefix) and key > after)
            limit = min(1000, int(args.get("limit", 1000)))
            items = [{"k": k, "data": self.data[k][0], "stamp": self.data[k][1]} for k in keys[:limit]]
            return 200, {"items": items, "hasNext": len(keys) > limit, "epoch": self.epoch}
        if path.startswith("/store/"):
            key = path[len("/store/") :]
            if key not in self.data:
                return 404, {"epoch": self.epoch}
            value, stamp, lease = self.data[key]
            return 200, {"k": key, "data": value, "stamp": stamp, "permit": lease}
        if path == "/multi":
            return self.multi(body)
        if path == "/changes":
            return await self._changes(args)
        return self._lease(method, path, body)

    def _lease(self, method, path, body):
        now = time.monotonic()
        if path == "/leases":
            self.last_lease += 1
            self.leases[self.last_lease] = [body["lifeMs"] / 1000, now + body["lifeMs"] / 1000]
            return 200, {"permit": self.last_lease}
        lease = self.leases.get(int(path.split("/")[2]))
        if lease is None:
            return 404, {}
        lease[1] = now + lease[0] if method == "POST" else now
        return 200, {}

    async def _changes(self, args):
        prefix, after = args["under"], int(args["after"])
        ends_at = time.monotonic() + int(args.get("waitMs", 0)) / 1000
        while True:
            found = [
                event
                for event in self.log
                if event["stamp"] > after and (event.get("put") or event.get("drop")).startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if found or left <= 0:
                return 200, {"epoch": self.epoch, "log": found}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def multi(self, body):
        """Carries out a transaction; returns (status, body)."""
        limits, writes = self.limits, body["writes"]
        too_large = (
            len(writes) > limits["txn_ops"]
            or len(body["if"]) > 4 * limits["txn_ops"]
            or size_of(body) > MAX_BODY
            or any("put" in w and size_of(w["data"]) > limits["value_kb"] * 1024 for w in writes)
        )
        if too_large:
            return 400, {"error": "too large"}
        if not self.writes.take(len(writes)):
            self.refused += 1
            return 429, {"error": "rate"}
        if any("put" in w and w.get("permit") and w["permit"] not in self.leases for w in writes):
            return 400, {"error": "no such lease"}
        failed = [c["k"] for c in body["if"] if self.data.get(c["k"], (None, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if writes:
            self._apply(writes)
        return 200, {"epoch": self.epoch}


# Cloud and workers


class Cloud(Server):
    """The cloud. `types` as in the catalogue; machines rented are up after `boot_s`."""

    def __init__(self, site, types, lag_s, boot_s, capacity):
        self.site = site
        self.types = {kind["name"]: kind for kind in types}
        self._lag_s, self._boot_s, self._capacity = lag_s, boot_s, capacity
        self.workers = {}  # name -> Worker
        self.hires = {}
        self._count = 0
        self._lists = []
        asyncio.get_running_loop().create_task(self._keep_lists())

    async def _keep_lists(self):
        while True:
            now = time.monotonic()
            rows = [
                {
                    "id": worker.name,
                    "endpoint": worker.address,
                    "rig": worker.kind["name"],
                    "paddock": worker.zone,
                    "loaners": worker.spot,
                    "status": "running" if worker.up else "starting",
                    "ageS": now - worker.rented_at,
                }
                for worker in self.workers.values()
            ]
            self._lists.append((now, rows))
            del self._lists[:-400]
            await asyncio.sleep(0.1)

    async def add(self, kind, zone, spot, boot_s):
        """Adds a machine; returns its worker."""
        self._count += 1
        worker = Worker(self.site, f"n-{self._count:06d}", self.types[kind], zone, spot)
        self.workers[worker.name] = worker
        await worker.start(free_addresses(1)[0], boot_s)
        return worker

    async def handle(self, method, path, args, body):
        """Serves one request."""
        await asyncio.sleep(0.05)
        if path == "/catalog":
            return 200, {"rigs": list(self.types.values())}
        if path == "/hosts" and method == "POST":
            if body["hire"] not in self.hires:
                count = min(body["count"], self._capacity - len(self.workers))
                if count <= 0:
                    return 503, {"error": "no capacity"}
                workers = [
                    await self.add(body["rig"], body["paddock"], body["loaners"], self._boot_s)
                    for _ in range(count)
                ]
                self.hires[body["hire"]] = [worker.name for worker in workers]
                self.site.record.write(f"cloud rents {self.hires[body['hire']]}")
            return 200, {"drovers": self.hires[body["hire"]]}
        if path == "/hosts":
            shown = [rows for at, rows in self._lists if at <= time.monotonic() - self._lag_s]
            rows = [row for row in (shown[-1] if shown else []) if row["id"] > args.get("after", "")]
            limit = int(args.get("limit", 500))
            return 200, {"drovers": rows[:limit], "hasNext": len(rows) > limit}
        if path == "/hosts/release":
            for name in body["drovers"]:
                worker = self.workers.pop(name, None)
                if worker is not None:
                    self.site.record.write(f"cloud ends {name}")
                    worker.end()
            return 200, {}
        return 400, {}


class Attempt:
    """One attempt of a task at a worker."""

    def __init__(self, leg, number):
        self.leg, self.number = leg, number
        self.status, self.cause = "pulling", None
        self.timer = None


class Worker(Server):
    """A worker. Hooks of a case, all off by default:

    `hold_answer_s`: for how long the answer to a report is held up on its way here; `hold_command_s`: the
    same for a direct command; `sick`: every task fails as soon as it starts.
    """

    def __init__(self, site, name, kind, zone, spot):
        self.site, self.name, self.kind, self.zone, self.spot = site, name, kind, zone, spot
        self.rented_at = time.monotonic()
        self.up = self.dead = self.sick = False
        self.hold_answer_s = self.hold_command_s = 0.0
        self.session, self.sequence, self.token = 1, 0, 0
        self.attempts = {}  # (leg, number) -> Attempt
        self.images = set()
        self.next_report_at = 0.0
        self.renewed_at = 0.0
        self.wanted = asyncio.Event()

    async def start(self, address, boot_s):
        """Boots and begins to report."""
        self.address = address
        asyncio.get_running_loop().create_task(self._run(boot_s))

    def end(self):
        """Ends the machine with all that is on it."""
        self.dead = True
        self._end_session("machine gone")
        self.server.close()

    def log(self, text):
        """Writes to the record."""
        self.site.record.write(f"{self.name} {text}")

    async def _run(self, boot_s):
        await asyncio.sleep(boot_s)
        await self.listen(self.address)
        self.up = True
        self.renewed_at = time.monotonic()
        asyncio.get_running_loop().create_task(self._watch_lease())
        labels, fronts = self.site.labels, self.site.fronts
        at = random.randrange(len(fronts))
        clients = [Client(front) for front in fronts]
        while not self.dead:
            sent_at, session = time.monotonic(), self.session
            self.wanted.clear()
            body = self.report()
            if size_of(body) > MAX_BODY:
                self.site.note_oversized(self, "report", size_of(body))
            status, answer = await clients[at].request("POST", "/v1/report", body, RESPONSE_S)
            if status and self.hold_answer_s:
                await asyncio.sleep(self.hold_answer_s)
            if status and time.monotonic() - sent_at > RESPONSE_S:
                status, answer = 0, {}
            if self.dead:
                return
            if status == 200:
                self._take_answer(answer, sent_at, session)
                pause_s = self.site.report_s * random.uniform(0.75, 1.25)
                self.next_report_at = time.monotonic() + pause_s
                await self._pause(sent_at)
                continue
            boss = answer.get("boss") if status == 421 else None
            if boss in labels and labels.index(boss) != at:
                at = labels.index(boss)
                await asyncio.sleep(random.uniform(0.0, 0.3))
            else:
                at = (at + 1) % len(fronts)
                await asyncio.sleep(1.0)

    async def _pause(self, sent_at):
        """Waits for the next report: its time, or a change, but no sooner than half a second."""
        await asyncio.sleep(max(0.0, sent_at + 0.5 - time.monotonic()))
        try:
            await asyncio.wait_for(self.wanted.wait(), max(0.0, self.next_report_at - time.monotonic()))
        except TimeoutError:
            pass

    def _take_answer(self, answer, sent_at, session):
        if answer.get("brand", -1) < self.token or session != self.session:
            return
        if size_of(answer) > MAX_BODY:
            self.site.note_oversized(self, "answer to a report", size_of(answer))
            return
        self.token = answer["brand"]
        self.renewed_at = max(self.renewed_at, sent_at)
        self.execute(answer["orders"], "answer to a report")

    async def _watch_lease(self):
        while not self.dead:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.renewed_at > self.site.lease_s:
                self.log(f"lease ended, session {self.session} is over")
                self._end_session("lease ended")

    def _end_session(self, why):
        for attempt in list(self.attempts.values()):
            self._leave(attempt, why)
        self.attempts.clear()
        self.session += 1
        self.renewed_at = time.monotonic()
        self.wanted.set()

    def report(self):
        """The next report."""
        self.sequence += 1
        return {
            "drover": self.name,
            "endpoint": self.address,
            "rig": self.kind["name"],
            "paddock": self.zone,
            "loaners": self.spot,
            "stint": self.session,
            "tally": self.sequence,
            "brand": self.token,
            "recallS": None,
            "legs": [
                {"leg": a.leg, "try": a.number, "status": a.status} | ({"cause": a.cause} if a.cause else {})
                for a in self.attempts.values()
            ],
        }

    async def handle(self, method, path, args, body):
        """Serves the controllers' direct requests."""
        if path == "/inspect":
            return 200, self.report()
        if "brand" not in body or "stint" not in body:
            return 400, {}
        if size_of(body) > MAX_BODY:
            self.site.note_oversized(self, "commands", size_of(body))
            return 413, {}
        if self.hold_command_s:
            await asyncio.sleep(self.hold_command_s)
        if self.dead:
            return None
        if body["brand"] < self.token or body["stint"] != self.session:
            return 409, self.report()
        if body["brand"] > self.token:
            self.token = body["brand"]
            self.wanted.set()
        self.execute(body["orders"], "direct command")
        return 200, self.report()

    def free_cpus(self):
        """CPUs that no task takes; 0 while the machine is not up."""
        if not self.up or self.dead:
            return 0.0
        active = [a for a in self.attempts.values() if a.status != "exited"]
        return self.kind["vcpus"] - sum(self.site.job_of(a.leg)["vcpus"] for a in active)

    def execute(self, orders, by):
        """Carries out commands in order; `by`: what brought them."""
        for order in orders:
            key = order["leg"], order["try"]
            attempt = self.attempts.get(key)
            self.site.on_order(self, order, by, attempt)
            if order["verb"] == "launch" and attempt is None:
                self._launch(*key)
            elif order["verb"] == "stop" and attempt is not None and attempt.status != "exited":
                self._exit(attempt, "stopped")
            elif order["verb"] == "forget" and attempt is not None and attempt.status == "exited":
                del self.attempts[key]
                self.wanted.set()

    def _launch(self, leg, number):
        on_it = [a.leg for a in self.attempts.values() if a.status != "exited"]
        free_cpus = self.free_cpus()
        attempt = self.attempts[leg, number] = Attempt(leg, number)
        self.wanted.set()
        job = self.site.jobs.get(leg.rpartition("/")[0])
        if job is None:
            self._exit(attempt, "no_such")
        elif leg in on_it:
            self._exit(attempt, "in_use")
        elif job["vcpus"] > free_cpus + 1e-6:
            self._exit(attempt, "no_room")
        elif job["kit"] in self.images:
            self._begin(attempt, job)
        else:
            attempt.timer = asyncio.get_running_loop().call_later(
                job["sizeGb"] / self.kind["fetchGbPerS"], self._begin, attempt, job
            )

    def _begin(self, attempt, job):
        self.images.add(job["kit"])
        attempt.status = "running"
        self.site.on_started(self, attempt)
        self.wanted.set()
        if self.sick:
            self._exit(attempt, "error")
            return
        run_s = self.site.run_s(job["id"])
        if attempt.leg in self.site.done:
            run_s = 0.0
        attempt.timer = asyncio.get_running_loop().call_later(run_s, self._exit, attempt, "done")

    def _leave(self, attempt, why):
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.status == "running":
            self.site.on_left(self, attempt, why)

    def _exit(self, attempt, cause):
        self._leave(attempt, cause)
        attempt.status, attempt.cause = "exited", cause
        if cause == "done":
            self.site.done.add(attempt.leg)
        self.wanted.set()


# The site


class Site:
    """One small deployment: the stand-ins, the controllers and the users.

    `deployment`: that part of the settings file; `types`: the cloud's catalogue; `capacity`: machines at
    most.
    `trouble` is false for a run without the disruption (TROUBLE=0).
    """

    def __init__(self, folder, deployment, types, *, controllers=3, boot_s=2.0, capacity=8):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(Path(folder) / "record.txt")
        self.deployment = deployment
        self.report_s = deployment["workers"]["report_s"]
        self.lease_s = deployment["workers"]["lease_s"]
        self.cancel_s = deployment["workers"]["cancel_s"]
        self.labels = [f"drover-{number}" for number in range(controllers)]
        self._types, self._boot_s, self._capacity = types, boot_s, capacity
        self.jobs = {}  # id -> description
        self.runs = {}  # id -> seconds that a task runs
        self.done = set()  # tasks that completed
        self.on_machine = {}  # task -> {(machine, attempt): since when}
        self.starts = {}  # task -> number of its starts
        self.cancelled_at = {}  # job -> when its user was told
        self.broken = []  # violations
        self.oversized = {}  # (machine, what) -> number
        self.processes = {}
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self._next_id = random.randrange(1000, 9000) * 1000

    # Start and end

    async def start(self):
        """Starts the services, then the controllers, and waits until all are ready."""
        count = len(self.labels)
        addresses = free_addresses(2 * count + 2)
        self.fronts, internal = addresses[:count], addresses[count : 2 * count]
        state, cloud = addresses[2 * count :]
        self.state = State(self.deployment["state"])
        await self.state.listen(state)
        self.cloud = Cloud(
            self, self._types, self.deployment["cloud"]["list_lag_s"], self._boot_s, self._capacity
        )
        await self.cloud.listen(cloud)
        zones = self.deployment["zones"]
        for number, label in enumerate(self.labels):
            members = [
                {"label": other, "location": zones[n % len(zones)], "endpoint": internal[n]}
                for n, other in enumerate(self.labels)
                if n != number
            ]
            settings = {
                "label": label,
                "location": zones[number % len(zones)],
                "front": self.fronts[number],
                "internal_addr": internal[number],
                "members": members,
                "external": {"cloud": cloud, "state": state},
                "deployment": self.deployment,
            }
            (self.directory / f"{label}.json").write_text(json.dumps(settings))
        for label in self.labels:
            self.start_controller(label)
        await self.until(self._all_ready, 20.0, "the controllers are ready")

    def start_controller(self, label):
        """Starts one controller's process with the `run` command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = [*shlex.split(deploy["run"]), str(self.directory / f"{label}.json")]
        command[0] = shutil.which(command[0]) or command[0]
        log = open(self.directory / f"{label}.log", "ab")  # noqa: SIM115  (the process keeps it open)
        self.processes[label] = subprocess.Popen(
            command,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            preexec_fn=end_with_parent,
        )
        log.close()
        self.record.write(f"{label} started")

    def signal(self, label, number):
        """Sends a signal to a controller's process."""
        self.record.write(f"{label} gets {signal.Signals(number).name}")
        self.processes[label].send_signal(number)

    async def _all_ready(self):
        for front in self.fronts:
            client = Client(front)
            status, _body = await client.request("GET", "/ready", timeout=1.0)
            client.close()
            if status != 200:
                return False
        return True

    async def until(self, holds, seconds, what, *, needed=True):
        """Waits until `holds()` is true; returns whether it is. Raises CaseError if it is needed."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            value = holds()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return True
            await asyncio.sleep(0.02)
        if needed:
            raise CaseError(f"not within {seconds} s: {what}")
        return False

    def stop(self):
        """Ends all processes that were started."""
        for label, process in self.processes.items():
            if process.poll() is not None:
                self.record.write(f"{label} had ended by itself with status {process.returncode}")
            process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    # What workers do

    def job_of(self, leg):
        """The description of a task's job."""
        return self.jobs[leg.rpartition("/")[0]]

    def run_s(self, job):
        """For how long a task of the job runs."""
        return self.runs[job]

    def on_order(self, worker, order, by, attempt):
        """Records a command that a worker carries out."""
        known = attempt.status if attempt is not None else "not known"
        self.record.write(
            f"{worker.name} {order['verb']} {order['leg']} try {order['try']} by {by}; attempt is {known}"
        )

    def on_started(self, worker, attempt):
        """A task starts: checks rule ran_twice, and ran_cancelled for its bound."""
        now = time.monotonic()
        others = self.on_machine.setdefault(attempt.leg, {})
        elsewhere = [key for key in others if key[0] != worker.name]
        self.record.write(f"{worker.name} STARTS {attempt.leg} try {attempt.number}")
        if elsewhere:
            self.violate(
                "ran_twice",
                f"{attempt.leg} starts on {worker.name} (try {attempt.number}) while it is on "
                + ", ".join(f"{name} (try {number})" for name, number in elsewhere),
            )
        told_at = self.cancelled_at.get(attempt.leg.rpartition("/")[0])
        if told_at is not None and now > told_at + self.cancel_s:
            self.violate(
                "ran_cancelled", f"{attempt.leg} starts {now - told_at:.1f} s after its user was told"
            )
        others[worker.name, attempt.number] = now
        self.starts[attempt.leg] = self.starts.get(attempt.leg, 0) + 1

    def on_left(self, worker, attempt, why):
        """A task is no longer on a machine."""
        self.record.write(f"{worker.name} leaves {attempt.leg} try {attempt.number}: {why}")
        self.on_machine.get(attempt.leg, {}).pop((worker.name, attempt.number), None)

    def note_oversized(self, worker, what, size):
        """A message to or from a worker is above the limit of PROTOCOL."""
        key = worker.name, what
        self.oversized[key] = self.oversized.get(key, 0) + 1
        if self.oversized[key] <= 3:
            self.record.write(f"{worker.name} {what} of {size} bytes, above {MAX_BODY}")

    def waits_beside_room(self, body):
        """Whether a task of the job is neither done nor on a machine, while a machine has room for it."""
        legs = [f"{body['id']}/{index}" for index in range(body["legs"])]
        if not any(leg not in self.done and not self.on_machine.get(leg) for leg in legs):
            return False
        return any(worker.free_cpus() >= body["vcpus"] for worker in self.cloud.workers.values())

    def violate(self, rule, text):
        """Records that a rule is broken."""
        self.broken.append((rule, text))
        self.record.write(f"BROKEN {rule}: {text}")

    # Users

    def describe(self, **fields):
        """A submission with a fresh id; `fields` replace the defaults."""
        self._next_id += 1
        return {
            "id": f"req-{self._next_id:06d}",
            "jobclass": "schedule-fix",
            "crew": self.deployment["teams"][0]["name"],
            "shape": "batch",
            "urgency": "high",
            "legs": 1,
            "vcpus": 1.0,
            "gpus": 0.0,
            "ramGb": 1.9,
            "kit": "img-01",
            "sizeGb": 0.05,
            "rigs": None,
            "paddock": None,
            "together": False,
            "scatter": False,
            "loaners": True,
            "expectS": 15.0,
            "musterS": 0.0,
            "stowS": 0.0,
            "dueS": None,
        } | fields

    async def submit(self, body, run_s, at=None):
        """A user submits a job, and repeats that as PROTOCOL says; returns the last status."""
        self.jobs[body["id"]], self.runs[body["id"]] = body, run_s
        return (await self.ask("POST", "/v1/jobs", body, at))[0]

    async def ask(self, method, path, body=None, at=None, patience_s=60.0):
        """A user's request, repeated until it is answered; returns (status, body)."""
        ends_at = time.monotonic() + patience_s
        while True:
            number = at if at is not None else random.randrange(len(self.fronts))
            client = Client(self.fronts[number])
            status, answer = await client.request(method, path, body, 5.0 if method == "POST" else 2.0)
            client.close()
            named = body["id"] if body and "id" in body else ""
            self.record.write(f"user {method} {path} {named} at {self.labels[number]}: {status} {answer}")
            if status in (200, 201, 400, 404, 422) or time.monotonic() > ends_at:
                return status, answer
            await asyncio.sleep(1.0)

    async def cancel(self, job, at=None):
        """A user cancels a job; returns the status in the answer."""
        status, answer = await self.ask("POST", f"/v1/jobs/{job}/cancel", {}, at)
        if status == 200 and answer["status"] == "cancelled":
            self.cancelled_at.setdefault(job, time.monotonic())
        return answer.get("status")

    async def poll(self, job, at=None):
        """A user asks for a job once; returns (status, body)."""
        return await self.ask("GET", f"/v1/jobs/{job}", None, at, 0.0)


BROKEN, HELD, NOT_RUN = 10, 0, 2  # exit statuses; run.sh turns BROKEN into 1, which Python uses for itself


def run(play, site_of, seconds=114.0):
    """Plays a case for at most that long, and ends with BROKEN, HELD or NOT_RUN."""

    async def main():
        site = site_of()
        problem = None
        ended = asyncio.get_running_loop().create_future()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number, lambda: ended.done() or ended.set_exception(CaseError("asked to end"))
            )

        async def whole():
            await site.start()
            await play(site)

        played = asyncio.ensure_future(whole())
        try:
            await asyncio.wait({played, ended}, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
            for future in (played, ended):
                if future.done():
                    future.result()
            if not played.done():
                raise CaseError(f"not over after {seconds} s")
        except Exception as error:  # whatever it is, it says nothing about the rule
            problem = f"the case could not run: {error!r}"
        finally:
            site.stop()
        lines = [f"broken {rule}: {text}" for rule, text in site.broken[:5]]
        lines = lines or [problem or "no rule was broken"]
        for line in lines:
            site.record.write(line)
            print(line, flush=True)
        # Ends at once: the stand-ins' own routines have nothing left to do.
        os._exit(BROKEN if site.broken else NOT_RUN if problem else HELD)

    asyncio.run(main())
