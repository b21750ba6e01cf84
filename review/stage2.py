"""Stand-ins for the second review's cases, as the pages have them: state service, cloud, workers and users.

Everything runs in one asyncio process on loopback addresses; the controllers are separate processes, started
with the deploy file's command. Each controller has addresses of its own for the state service and the cloud,
so that a case can treat one of them differently. `Stage` puts the parts together.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from bisect import bisect_right, insort

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "target", "deps"))

import cbor2  # noqa: E402

MAX_BODY = 64 * 1024  # bytes of a body in its JSON form (PROTOCOL)
HANG, RESET = "hang", "reset"  # in place of an answer: none at all, or a broken connection


def json_size(value):
    """Bytes of the JSON form, by which the protocol counts its size limits."""
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


def free_port():
    """A free port of the loopback address, outside the range that outgoing connections take theirs from."""
    while True:
        port = random.randrange(10_000, 32_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


# HTTP


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, OSError):
        return None


class Server:
    """An HTTP server on one port. `handle(method, target, value)` returns (status, value), HANG or RESET."""

    def __init__(self, handle):
        self._handle = handle
        self._writers = set()
        self.port = 0

    async def start(self):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        """HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, _headers, body = message
                method, target, _version = first.split(" ", 2)
                try:
                    value = cbor2.loads(body) if body else {}
                except Exception:  # the decoder raises exceptions of many types
                    value = None
                answer = await self._handle(method, target, value)
                if answer is HANG:
                    await asyncio.sleep(3600)
                if answer is RESET:
                    writer.transport.abort()
                    return
                status, value = answer
                data = cbor2.dumps(value) if value is not None else b""
                writer.write(
                    f"HTTP/1.1 {status} S\r\nContent-Type: application/cbor\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self):
        """Stops listening and breaks all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Client:
    """Sends requests to one address over one connection that is kept open."""

    def __init__(self, address):
        self.address = address
        self._streams = None

    async def request(self, method, target, value=None, timeout=4.0, headers=()):
        """Returns (status, value, headers). Raises OSError or TimeoutError if there is no answer."""
        try:
            return await asyncio.wait_for(self._request(method, target, value, headers), timeout)
        except BaseException:
            self.close()
            raise

    async def _request(self, method, target, value, headers):
        if self._streams is None:
            host, _, port = self.address.rpartition(":")
            self._streams = await asyncio.open_connection(host, int(port), limit=1 << 22)
        reader, writer = self._streams
        data = cbor2.dumps(value) if value is not None else b""
        more = "".join(f"{name}: {text}\r\n" for name, text in headers)
        writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: {self.address}\r\nContent-Type: application/cbor\r\n"
            f"{more}Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise ConnectionError("closed without an answer")
        first, headers, body = message
        if "close" in headers.get("connection", "").lower():
            self.close()
        return int(first.split(" ")[1]), cbor2.loads(body) if body else {}, headers

    def close(self):
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


# The state service


class Bucket:
    """A rate limit that allows bursts of one second's worth."""

    def __init__(self, rate):
        self._rate = self._level = rate
        self._at = time.monotonic()

    def take(self, count):
        """Returns whether `count` more are within the limit."""
        now = time.monotonic()
        self._level = min(self._rate, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < count:
            return False
        self._level -= count
        return True


class State:
    """The key-value state service. `fault(node, method, target, value)` may return an answer of its own,
    HANG, RESET, ("lost", seconds): carried out after that time and never answered, or ("slow", seconds).
    """

    def __init__(self, limits, latency_s=0.005):
        self._limits = limits
        self._latency_s = latency_s
        self._requests, self._changes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.epoch = 1
        self.data = {}  # key -> (value, stamp, lease id or 0)
        self._keys = []
        self._log = []  # (revision, event)
        self._leases = {}  # id -> [seconds, end]
        self._lease_count = 0
        self._changed = asyncio.Event()
        self.outage = False
        self.fault = lambda node, method, target, value: None
        self.refused = 0

    def handler(self, node):
        """The request handler for one controller."""

        async def handle(method, target, value):
            await asyncio.sleep(self._latency_s)
            fault = None if self.outage else self.fault(node, method, target, value)
            if fault in (HANG, RESET):
                return fault
            if fault is not None and fault[0] == "lost":
                asyncio.get_running_loop().call_later(fault[1], self._run, method, target, value)
                return HANG
            if fault is not None and fault[0] == "slow":
                await asyncio.sleep(fault[1])
            elif fault is not None:
                return fault
            if self.outage:
                return 503, {"error": "out"}
            if target.startswith("/changes"):
                return await self._watch(target, node)
            return self._run(method, target, value)

        return handle

    async def tick(self):
        """Ends leases."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.outage:
                for lease in self._leases.values():
                    lease[1] = now + lease[0]
            for number, (_seconds, end) in list(self._leases.items()):
                if end < now:
                    del self._leases[number]
                    self._apply([{"drop": k} for k, entry in list(self.data.items()) if entry[2] == number])

    def _run(self, method, target, value):
        if not self._requests.take(1):
            self.refused += 1
            return 429, {}
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if part)
        if path == "/multi":
            return self._multi(value)
        if path == "/leases":
            self._lease_count += 1
            seconds = value["lifeMs"] / 1000
            self._leases[self._lease_count] = [seconds, time.monotonic() + seconds]
            return 200, {"permit": self._lease_count}
        if path.startswith("/leases/"):
            number = int(path.split("/")[2])
            if number not in self._leases:
                return 404, {}
            if method == "DELETE":
                self._leases[number][1] = 0.0
            else:
                self._leases[number][1] = time.monotonic() + self._leases[number][0]
            return 200, {}
        if path == "/store":
            return self._list(fields)
        key = path.removeprefix("/store/")
        if key not in self.data:
            return 404, {"epoch": self.epoch}
        data, stamp, lease = self.data[key]
        return 200, {"k": key, "data": data, "stamp": stamp, **({"permit": lease} if lease else {})}

    def _list(self, fields):
        prefix, limit = fields.get("under", ""), min(1000, int(fields.get("limit", 1000)))
        start = bisect_right(self._keys, fields["after"]) if "after" in fields else 0
        items, size, more = [], 0, False
        for key in self._keys[start:]:
            if not key.startswith(prefix):
                continue
            item = {"k": key, "data": self.data[key][0], "stamp": self.data[key][1]}
            size += json_size(item)
            if len(items) == limit or (items and size > 512 * 1024):
                more = True
                break
            items.append(item)
        return 200, {"items": items, "hasNext": more, "epoch": self.epoch}

    def _multi(self, value):
        writes, conditions = value.get("writes", []), value.get("if", [])
        limits = self._limits
        if (
            len(writes) > limits["txn_ops"]
            or len(conditions) > 4 * limits["txn_ops"]
            or json_size(value) > MAX_BODY
            or any(json_size(w.get("data")) > limits["value_kb"] * 1024 for w in writes)
        ):
            return 400, {"error": "too large"}
        if writes and not self._changes.take(len(writes)):
            self.refused += 1
            return 429, {}
        if any(w.get("permit") and w["permit"] not in self._leases for w in writes):
            return 400, {"error": "no such lease"}
        failed = [c["k"] for c in conditions if self.data.get(c["k"], (None, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        self._apply(writes)
        return 200, {"epoch": self.epoch}

    def _apply(self, writes):
        if not writes:
            return
        self.epoch += 1
        for write in writes:
            if "put" in write:
                key = write["put"]
                if key not in self.data:
                    insort(self._keys, key)
                self.data[key] = (write["data"], self.epoch, write.get("permit", 0))
                event = {"put": key, "data": write["data"], "stamp": self.epoch}
            else:
                key = write["drop"]
                if self.data.pop(key, None) is None:
                    continue
                self._keys.remove(key)
                event = {"drop": key, "stamp": self.epoch}
            self._log.append((self.epoch, event))
        del self._log[:-10_000]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _watch(self, target, node):
        if not self._requests.take(1):
            return 429, {}
        fields = dict(part.split("=", 1) for part in target.partition("?")[2].split("&"))
        prefix, after = fields["under"], int(fields["after"])
        end = time.monotonic() + min(60_000, int(fields.get("waitMs", 0))) / 1000
        while True:
            blocked = self.outage or self.fault(node, "GET", target, None) is not None
            if not blocked:
                if len(self._log) == 10_000 and after < self._log[0][0] - 1:
                    return 410, {}
                events = [
                    event
                    for revision, event in self._log
                    if revision > after and (event.get("put") or event.get("drop")).startswith(prefix)
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"epoch": self.epoch, "log": events}
            try:
                await asyncio.wait_for(self._changed.wait(), 0.1 if blocked else min(left, 1.0))
            except TimeoutError:
                pass


# The cloud


class Cloud:
    """Rents machines. Lists lag by `lag_s`; `fault(node, method, target)` may return an answer of its own."""

    def __init__(self, stage, types, lag_s, boot_s=None):
        self._stage = stage
        self._types = types
        self._lag_s = lag_s
        self._boot_s = boot_s
        self._hires = {}
        self._count = 0
        self.machines = {}  # name -> Worker, in the order of creation; deleted ones are left out
        self._history = []  # (time, [rows])
        self.capacity = {}  # (type, zone, spot) -> machines at most; no limit if not named
        self.fault = lambda node, method, target: None
        self.refused = False  # whether every rental is refused for lack of capacity

    def handler(self, node):
        """The request handler for one controller."""

        async def handle(method, target, value):
            await asyncio.sleep(0.02)
            fault = self.fault(node, method, target)
            if fault is not None:
                return fault
            path, _, query = target.partition("?")
            if path == "/catalog":
                return 200, {"rigs": self._types}
            if path == "/hosts/release":
                for name in value["drovers"]:
                    await self.delete(name)
                return 200, {}
            if path == "/hosts" and method == "POST":
                return await self._rent(value)
            return self._listed(dict(part.split("=", 1) for part in query.split("&") if part))

        return handle

    async def delete(self, name):
        """Ends a machine with everything on it."""
        worker = self.machines.pop(name, None)
        if worker is not None:
            self._stage.log("cloud", f"{name} is deleted, with {len(worker.live())} tasks")
            worker.end()

    async def _rent(self, value):
        if value["hire"] in self._hires:
            return 200, {"drovers": self._hires[value["hire"]]}
        key = value["rig"], value["paddock"], value["loaners"]
        used = sum((w.rig, w.zone, w.spot) == key for w in self.machines.values())
        count = min(value["count"], 50, self.capacity.get(key, 1 << 30) - used)
        if count <= 0 or self.refused:
            return 503, {"error": "no capacity"}
        names = [await self.add(*key) for _ in range(count)]
        self._hires[value["hire"]] = names
        return 200, {"drovers": names}

    async def add(self, rig, zone, spot, boot_s=None):
        """Creates a machine, which boots in `boot_s` seconds. Returns its name."""
        self._count += 1
        name = f"n-{self._count:06d}"
        kind = next(kind for kind in self._types if kind["name"] == rig)
        if boot_s is None:
            boot_s = (self._boot_s or kind["startupS"]) * random.uniform(0.6, 1.5)
        worker = Worker(self._stage, name, kind, zone, spot, boot_s)
        await worker.start()
        self.machines[name] = worker
        return name

    async def tick(self):
        """Keeps what lists show, which is up to `lag_s` old."""
        while True:
            now = time.monotonic()
            rows = [
                {
                    "id": w.name,
                    "endpoint": w.server.address,
                    "rig": w.rig,
                    "paddock": w.zone,
                    "loaners": w.spot,
                    "status": "running" if w.up else "starting",
                    "born": w.born,
                }
                for w in self.machines.values()
            ]
            self._history.append((now, rows))
            self._history = [entry for entry in self._history if entry[0] > now - self._lag_s - 1]
            await asyncio.sleep(0.1)

    def _listed(self, fields):
        now = time.monotonic()
        at, rows = max(
            (entry for entry in self._history if entry[0] <= now - self._lag_s),
            default=self._history[0],
            key=lambda entry: entry[0],
        )
        after, limit = fields.get("after", ""), int(fields.get("limit", 500))
        page = [row for row in rows if row["id"] > after]
        drovers = [
            {**{k: v for k, v in row.items() if k != "born"}, "ageS": at - row["born"]}
            for row in page[:limit]
        ]
        return 200, {"drovers": drovers, "hasNext": len(page) > limit}


# Workers


class Attempt:
    """One attempt of a task on a worker."""

    def __init__(self, leg, number):
        self.leg, self.number = leg, number
        self.status, self.cause, self.saved = "pulling", None, None
        self.timer = None

    def row(self):
        """The attempt as reports name it."""
        row = {"leg": self.leg, "try": self.number, "status": self.status}
        if self.cause:
            row["cause"] = self.cause
        return row


class Worker:
    """A machine's worker, by PROTOCOL: reports, leases, tokens, commands, and tasks that run by timers."""

    def __init__(self, stage, name, kind, zone, spot, boot_s):
        self.stage, self.name, self.kind, self.zone, self.spot = stage, name, kind, zone, spot
        self.rig = kind["name"]
        self.boot_s = boot_s
        self.born = time.monotonic()
        self.up = self.dead = False
        self.session, self.sequence, self.token = 1, 0, 0
        self.tasks = {}  # (leg, try) -> Attempt
        self.images = set()
        self.lease_from = 0.0
        self.notice_at = None
        self._wake = asyncio.Event()
        self._node = None
        self._clients = {}
        self.deaf = False  # answers and commands to it are lost
        self.mute = False  # it opens no connection to a controller
        self.server = Server(self._handle)

    async def start(self):
        """Boots in the background."""
        await self.server.start()
        self._routine = asyncio.create_task(self._run())

    def live(self):
        """The attempts that have not exited."""
        return [attempt for attempt in self.tasks.values() if attempt.status != "exited"]

    def end(self):
        """Ends the machine and everything on it."""
        self.dead = True
        self._drop_all()
        self._routine.cancel()
        self.server.close()
        for client in self._clients.values():
            client.close()

    def _drop_all(self):
        for attempt in list(self.tasks.values()):
            self._leave(attempt)
        self.tasks.clear()

    def _leave(self, attempt):
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        if attempt.status in ("running", "saving"):
            self.stage.left(self, attempt)

    async def _run(self):
        await asyncio.sleep(self.boot_s)
        self.up = True
        self.lease_from = time.monotonic()
        self.stage.log(self.name, "is up")
        lease = asyncio.create_task(self._watch_lease())
        try:
            while True:
                await self._report()
        finally:
            lease.cancel()

    async def _watch_lease(self):
        lease_s = self.stage.workers["lease_s"]
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.lease_from > lease_s:
                self.stage.log(self.name, f"lease of session {self.session} ends, {len(self.live())} tasks")
                self._drop_all()
                self.session += 1
                self.lease_from = time.monotonic()
                self._wake.set()

    def body(self):
        """A report."""
        self.sequence += 1
        return {
            "drover": self.name,
            "endpoint": self.server.address,
            "rig": self.rig,
            "paddock": self.zone,
            "loaners": self.spot,
            "stint": self.session,
            "tally": self.sequence,
            "brand": self.token,
            "recallS": None if self.notice_at is None else max(0.0, self.notice_at - time.monotonic()),
            "legs": [attempt.row() for attempt in self.tasks.values()],
        }

    def _address_of(self, label):
        nodes = self.stage.nodes
        if label not in nodes:
            label = random.choice(list(nodes))
        self._node = label
        return nodes[label].worker_front

    async def _report(self):
        report_s = self.stage.workers["report_s"]
        began = time.monotonic()
        self._wake.clear()
        next_node, pause = self._node, None
        while self.mute:
            await asyncio.sleep(0.1)
        address = self._address_of(self._node)
        client = self._clients.setdefault(address, Client(address))
        session, sent_at = self.session, time.monotonic()
        try:
            status, answer, _headers = await client.request("POST", "/v1/report", self.body(), 4.0)
            if self.deaf:
                await asyncio.sleep(max(0.0, sent_at + 4.0 - time.monotonic()))
                status = 0
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status, answer = 0, {}
        if status == 200 and json_size(answer) > MAX_BODY:
            self.stage.log(self.name, f"answer to a report has {json_size(answer)} bytes: over the limit")
            self.stage.oversized.append((self.name, "answer", json_size(answer)))
            status = 0
        if status == 200:
            if session == self.session and self._accept(answer.get("brand")):
                self.lease_from = max(self.lease_from, sent_at)
                for order in answer.get("orders", []):
                    self._execute(order)
        elif status == 421 and answer.get("boss") in self.stage.nodes and answer["boss"] != self._node:
            next_node, pause = answer["boss"], random.uniform(0.0, 0.5)
        else:
            labels = list(self.stage.nodes)
            next_node, pause = labels[(labels.index(self._node) + 1) % len(labels)], 1.0
        if pause is not None:
            client.close()
            self._node = next_node
            await asyncio.sleep(pause)
            return
        wait = began + report_s * random.uniform(0.75, 1.25) - time.monotonic()
        try:
            await asyncio.wait_for(self._wake.wait(), max(0.0, wait))
            await asyncio.sleep(max(0.0, began + 0.5 - time.monotonic()))
        except TimeoutError:
            pass

    def _accept(self, token):
        if token is None or token < self.token:
            return False
        if token > self.token:
            self.token = token
            self._wake.set()
        return True

    async def _handle(self, method, target, value):
        if self.dead or not self.up or self.deaf:
            return HANG
        if target == "/inspect":
            return 200, self.body()
        if value is None or "brand" not in value or "stint" not in value:
            return 400, {"error": "brand or stint is missing"}
        size = json_size(value)
        if size > MAX_BODY:
            self.stage.log(self.name, f"commands of {size} bytes are refused: over the limit")
            self.stage.oversized.append((self.name, "commands", size))
            return 413, {"error": "the body is over 64 KiB"}
        if value["stint"] != self.session or not self._accept(value["brand"]):
            return 409, self.body()
        for order in value.get("orders", []):
            self._execute(order)
        return 200, self.body()

    # Commands

    def _execute(self, order):
        key = order["leg"], order["try"]
        attempt = self.tasks.get(key)
        if order["verb"] == "launch":
            if attempt is None:
                self._launch(*key)
        elif order["verb"] == "stop" and attempt is not None and attempt.status != "exited":
            job = self.stage.spec_of(attempt.leg)
            if attempt.status == "running" and job["musterS"] > 0 and order["letgoS"] >= job["stowS"] > 0:
                attempt.timer.cancel()
                attempt.status = "saving"
                attempt.timer = asyncio.get_running_loop().call_later(
                    job["stowS"], self._exit, attempt, "stopped"
                )
            elif attempt.status != "saving" or not order["letgoS"]:
                self._exit(attempt, "stopped")
            self._wake.set()
        elif order["verb"] == "forget" and attempt is not None and attempt.status == "exited":
            del self.tasks[key]

    def _launch(self, leg, number):
        attempt = self.tasks[leg, number] = Attempt(leg, number)
        job = self.stage.spec_of(leg)
        self.stage.launched(self, attempt)
        self._wake.set()
        if job is None:
            self._exit(attempt, "no_such")
            return
        if any(a.leg == leg and a is not attempt for a in self.live()):
            self._exit(attempt, "in_use")
            return
        for field in ("vcpus", "gpus", "ramGb"):
            held = sum(self.stage.spec_of(a.leg)[field] for a in self.live())
            if held > self.kind.get(field, 0.0) + 1e-6:
                self._exit(attempt, "no_room")
                return
        wait = 0.0 if job["kit"] in (None, *self.images) else job["sizeGb"] / self.kind["fetchGbPerS"]
        attempt.timer = asyncio.get_running_loop().call_later(wait, self._begin, attempt, job)

    def _begin(self, attempt, job):
        self.images.add(job["kit"])
        if attempt.leg in self.stage.results:
            self._exit(attempt, "done")
            return
        attempt.status = "running"
        self.stage.started(self, attempt)
        self._wake.set()
        if job["id"] in self.stage.faulty:
            self.stage.failures[self.name] = self.stage.failures.get(self.name, 0) + 1
            attempt.timer = asyncio.get_running_loop().call_later(0.1, self._exit, attempt, "error")
        elif job["shape"] != "daemon":
            attempt.timer = asyncio.get_running_loop().call_later(
                self.stage.run_s(attempt.leg), self._exit, attempt, "done"
            )

    def _exit(self, attempt, cause):
        self._leave(attempt)
        attempt.status, attempt.cause = "exited", cause
        if cause == "done":
            self.stage.results[attempt.leg] = time.monotonic()
        self._wake.set()


# A proxy


class Proxy:
    """Passes TCP connections on to an address; `mode` is "pass", "hold" (delivers later), or "refuse"."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.answers = []  # (when, bytes) of what came back from the address
        self._writers = set()

    async def start(self):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        try:
            await self._pass_on(reader, writer)
        except asyncio.CancelledError:
            writer.transport.abort()

    async def _pass_on(self, reader, writer):
        self._writers.add(writer)
        if self.mode == "refuse":
            writer.transport.abort()
            return
        await self._gate()
        try:
            host, _, port = self.target.rpartition(":")
            there_reader, there_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(there_writer)
        await asyncio.gather(self._pump(reader, there_writer, False), self._pump(there_reader, writer, True))
        self._writers.difference_update((writer, there_writer))

    async def _gate(self):
        while self.mode == "hold":
            await asyncio.sleep(0.02)

    async def _pump(self, reader, writer, answering):
        try:
            while data := await reader.read(65536):
                await self._gate()
                if answering:
                    self.answers.append((time.monotonic(), len(data)))
                writer.write(data)
                await writer.drain()
            await self._gate()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def reset(self):
        """Breaks all connections."""
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()


# Controllers


class Node:
    """One controller process."""

    def __init__(self, stage, label, zone):
        self.stage, self.label, self.zone = stage, label, zone
        self.front = f"127.0.0.1:{free_port()}"
        self.internal = f"127.0.0.1:{free_port()}"
        self.worker_front = self.front
        self.process = None

    def start(self):
        """Starts the process with the deploy file's command."""
        command = [*shlex.split(self.stage.command), self.path]
        with open(self.path + ".log", "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": self.stage.log_level, **self.stage.environment},
            )
        self.stage.log(self.label, "is started")

    def signal(self, number):
        """Sends the process a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.stage.log(self.label, f"gets {signal.Signals(number).name}")

    def kill(self):
        """Kills the process and waits for its end."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
                self.stage.log(self.label, "is killed")
            self.process.wait()
            self.process = None

    async def request(self, method, target, value=None, timeout=5.0):
        """Asks this controller over a connection of its own. Returns (status, answer); 0: no answer."""
        client = Client(self.front)
        try:
            status, answer, _headers = await client.request(method, target, value, timeout)
            return status, answer
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, {}
        finally:
            client.close()


class Stage:
    """A small deployment: `deployment` is that part of the settings, `types` the catalogue."""

    def __init__(self, record, deployment, types, boot_s=None, log_level="info"):
        self._record = open(record, "w")  # noqa: SIM115
        self._began = time.monotonic()
        self.deployment = deployment
        self.workers = deployment["workers"]
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            self.command = tomllib.load(file)["run"]
        self.log_level = log_level
        self.environment = {}  # further variables of the controllers
        self.state = State(deployment["state"])
        self.cloud = Cloud(self, types, deployment["cloud"]["list_lag_s"], boot_s)
        self.nodes = {}
        self.specs = {}  # job -> description, as uploaded by its user
        self.results = {}  # leg -> when it was completed
        self.on_machine = {}  # leg -> {machine: since when}
        self.starts = {}  # leg -> number of starts
        self.twice = []  # what broke ran_twice
        self.oversized = []
        self.faulty = set()  # jobs submitted with a mistake: their tasks fail on every machine
        self.failures = {}  # machine -> tasks that failed there
        self._duties = []
        self._servers = []
        self.times = {}  # job -> run time of its tasks
        self.folder = tempfile.mkdtemp(prefix="stage2-")

    def log(self, who, text):
        """Writes a line to the record."""
        self._record.write(f"{time.monotonic() - self._began:8.3f} {who}: {text}\n")
        self._record.flush()

    async def start(self, link_proxies=False, worker_proxies=False, before=None):
        """Starts the stand-ins and one controller for each node; `before()` is awaited right before these."""
        zones = self.deployment["zones"]
        for number in range(self.deployment["nodes"]):
            node = Node(self, f"drover-{number}", zones[number % len(zones)])
            self.nodes[node.label] = node
        self.links = {}  # (from, to) -> Proxy
        for node in self.nodes.values():
            state = await Server(self.state.handler(node.label)).start()
            cloud = await Server(self.cloud.handler(node.label)).start()
            self._servers += [state, cloud]
            members = []
            for other in self.nodes.values():
                if other is node:
                    continue
                endpoint = other.internal
                if link_proxies:
                    proxy = self.links[node.label, other.label] = await Proxy(endpoint).start()
                    endpoint = proxy.address
                members.append({"label": other.label, "location": other.zone, "endpoint": endpoint})
            if worker_proxies:
                node.proxy = await Proxy(node.front).start()
                node.worker_front = node.proxy.address
            node.path = os.path.join(self.folder, node.label + ".json")
            with open(node.path, "w") as file:
                json.dump(
                    {
                        "label": node.label,
                        "location": node.zone,
                        "front": node.front,
                        "internal_addr": node.internal,
                        "members": members,
                        "external": {"cloud": cloud.address, "state": state.address},
                        "deployment": self.deployment,
                    },
                    file,
                )
        self._duties = [asyncio.create_task(duty) for duty in (self.state.tick(), self.cloud.tick())]
        if before is not None:
            await before()
        for node in self.nodes.values():
            node.start()

    async def ready(self, timeout=20.0):
        """Waits until all controllers say that they are ready."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            answers = [await node.request("GET", "/ready", timeout=1.0) for node in self.nodes.values()]
            if all(status == 200 for status, _answer in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    def stop(self):
        """Ends all processes and stand-ins."""
        for node in self.nodes.values():
            node.kill()
        for worker in list(self.cloud.machines.values()):
            worker.end()
        for duty in self._duties:
            duty.cancel()
        for server in self._servers:
            server.close()
        self._record.close()

    # What happens on machines

    def spec_of(self, leg):
        """The job's description, or None."""
        return self.specs.get(leg.rpartition("/")[0])

    def run_s(self, leg):
        """How long a task of that job runs."""
        return self.times[leg.rpartition("/")[0]]

    def launched(self, worker, attempt):
        """A launch was carried out."""

    def started(self, worker, attempt):
        """A task is on its machine from now on."""
        others = [name for name in self.on_machine.get(attempt.leg, {}) if name != worker.name]
        if others:
            self.twice.append((attempt.leg, worker.name, others))
            self.log(worker.name, f"BROKEN ran_twice: {attempt.leg} starts while it is on {others}")
        self.on_machine.setdefault(attempt.leg, {})[worker.name] = time.monotonic()
        self.starts[attempt.leg] = self.starts.get(attempt.leg, 0) + 1

    def left(self, worker, attempt):
        """A task is no longer on its machine."""
        self.on_machine.get(attempt.leg, {}).pop(worker.name, None)

    def running(self, job):
        """How many of the job's tasks are on machines."""
        return sum(bool(places) for leg, places in self.on_machine.items() if leg.startswith(job + "/"))

    def completed(self, job):
        """How many of the job's tasks are complete."""
        return sum(leg.startswith(job + "/") for leg in self.results)

    # Users

    async def submit(self, spec, run_s, nodes=None, tries=30):
        """Submits a job as a user does, until it is accepted or refused for good. Returns the status."""
        self.specs[spec["id"]] = spec
        self.times[spec["id"]] = run_s
        for number in range(tries):
            node = random.choice(nodes or list(self.nodes.values()))
            status, answer = await node.request("POST", "/v1/jobs", spec)
            self.log("user", f"submits {spec['id']} at {node.label}: {status} {answer}")
            if status in (200, 201, 400, 422):
                return status
            if number < tries - 1:
                await asyncio.sleep(1.0)
        return status

    async def poll(self, job, node=None):
        """Asks for a job's state. Returns (status, answer)."""
        node = node or random.choice(list(self.nodes.values()))
        status, answer = await node.request("GET", f"/v1/jobs/{job}", timeout=2.0)
        self.log("user", f"asks {node.label} about {job}: {status} {answer}")
        return status, answer

    async def cancel(self, job, node=None, tries=10):
        """Cancels a job until that is answered. Returns (status, answer)."""
        for number in range(tries):
            chosen = node or random.choice(list(self.nodes.values()))
            status, answer = await chosen.request("POST", f"/v1/jobs/{job}/cancel")
            self.log("user", f"cancels {job} at {chosen.label}: {status} {answer}")
            if status in (200, 404):
                return status, answer
            if number < tries - 1:
                await asyncio.sleep(1.0)
        return status, answer


def job(number, **fields):
    """A submission with the given fields."""
    return {
        "id": f"req-{number:06d}",
        "jobclass": "archive-sync",
        "crew": "servicing-core",
        "shape": "batch",
        "urgency": "standard",
        "legs": 1,
        "vcpus": 1.0,
        "gpus": 0.0,
        "ramGb": 2.0,
        "kit": "img-01",
        "sizeGb": 0.5,
        "rigs": None,
        "paddock": None,
        "together": False,
        "scatter": False,
        "loaners": True,
        "expectS": 5.0,
        "musterS": 0.0,
        "stowS": 0.0,
        "dueS": None,
        **fields,
    }


def tallinn(**more):
    """The deployment of `laenuvara-tallinn`."""
    return {
        "nodes": 3,
        "zones": ["tallinn-a"],
        "teams": [{"name": "servicing-core", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
        "objectives": [{"kind": "finished", "class": "archive-sync", "within_s": 250.0, "share": 0.97}],
        "workers": {
            "report_s": 1.5,
            "lease_s": 12.0,
            "gang_wait_s": 50.0,
            "gang_peer_s": 4.0,
            "cancel_s": 42.0,
        },
        "state": {"rps": 250.0, "write_rps": 25.0, "value_kb": 32.0, "txn_ops": 20},
        "cloud": {"rps": 5.0, "list_lag_s": 3.0},
        "quota": {"cpu": 0.54, "mem_mb": 186.0, "fd_limit": 1000},
        "time_bound_ms": 5.0,
        **more,
    }


TALLINN_TYPES = [
    {
        "name": "kuusk-32",
        "vcpus": 32,
        "gpus": 0,
        "ramGb": 256,
        "cacheGb": 60,
        "fetchGbPerS": 0.6,
        "price": 2.41,
        "marketPrice": 0.76,
        "startupS": 35,
        "paddocks": ["tallinn-a", "tartu-b"],
    },
    {
        "name": "tamm-64",
        "vcpus": 64,
        "gpus": 0,
        "ramGb": 256,
        "cacheGb": 40,
        "fetchGbPerS": 0.25,
        "price": 4.23,
        "marketPrice": 1.33,
        "startupS": 35,
        "paddocks": ["tallinn-a", "tartu-b"],
    },
]


BROKEN = 10  # exit code of a case's Python part that saw the rule broken; 1 is what Python itself ends with


def run_case(main):
    """Runs a case's `main()`, which returns whether the rule held, or None if the case couldn't run."""
    held = asyncio.run(main())
    sys.exit(2 if held is None else 0 if held else BROKEN)
