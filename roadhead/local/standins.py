"""Stand-ins for the state service, the cloud, the workers and the users.

They speak the real protocol over the virtual network, can fail in the ways a scenario
asks for, and check the Rules of the protocol at every step (`World.broken`).
"""

import json

import cbor2

from roadhead.local.troubles import LATE_COMMAND_S, QUICK_BOOT_S
from roadhead.runtime.loop import Future, Timeout
from roadhead.wire import http
from roadhead.wire.http import Client, NoAnswer

UNTOLD = ("runS", "apartS", "faulty")  # what a scenario says of a job and its user does not know


class Server:
    """An HTTP server on a host of its own. `lose` answers are executed but never sent."""

    def __init__(self, world, host, address):
        self.world = world
        self.sim = world.sim
        self.loop = world.host_loop(host)
        self.net = world.network.host(host, self.loop)
        self.host = host
        self.lose = 0
        self.late = []  # (matches(method, path, body), delay): executed that much later
        self.late_share = (0.0, 0.0)  # of transactions that come late, and until when
        self.net.listen(address, lambda stream: self.loop.spawn(self._serve(stream), host))

    async def _serve(self, stream):
        async def handle(request):
            path, _, query = request.target.partition("?")
            args = dict(part.split("=", 1) for part in query.split("&") if part)
            body = cbor2.loads(request.body) if request.body else None
            for matches, delay in list(self.late):
                if matches(request.method, path, body):
                    self.late.remove((matches, delay))
                    self.loop.spawn(self._later(delay, request.method, path, args, body, stream))
                    await Future()
            share, until = self.late_share
            if path == "/multi" and self.sim.time < until and self.sim.random.random() < share:
                delay = self.sim.random.uniform(2.0, 12.0)
                self.loop.spawn(self._later(delay, request.method, path, args, body, stream))
                await Future()
            host = getattr(stream, "peer_host", "")
            if path == "/commands" and self.world.spells.late_commands.strikes(self.sim):
                await self.loop.sleep(self.sim.random.uniform(*LATE_COMMAND_S))
                await self.handle(request.method, path, args, body, host)
                await Future()
            lost = path == "/multi" and body["writes"] and self.world.spells.lost_writes.strikes(self.sim)
            status, answer = await self.handle(request.method, path, args, body, host)
            if lost:
                await Future()  # silent until the sender gives up
            if self.lose > 0 and request.method == "POST":
                self.lose -= 1
                stream.close()
            return status, (cbor2.dumps(answer) if answer is not None else b""), None

        await http.serve(self.loop, stream, handle, 60.0)

    async def _later(self, delay, method, path, args, body, stream):
        """The sender gives up on it, and then it takes effect all the same."""
        await self.loop.sleep(min(delay, 5.0))
        stream.close()
        await self.loop.sleep(max(0.0, delay - 5.0))
        await self.handle(method, path, args, body, stream.peer_host)


KEPT = 10_000  # changes that a watch can ask for


class State(Server):
    """`keeper` saves every change before it is answered; without one nothing outlives the process."""

    def __init__(self, world, address="10.2.0.1:2379", keeper=None):
        super().__init__(world, address.rpartition(":")[0], address)
        self.keeper = keeper
        data, self.epoch, leases, self.permits = keeper.load() if keeper else ({}, 0, {}, 0)
        self.data = data  # key -> (value, stamp, permit)
        self.log = []
        self.log_from = self.epoch  # changes up to here are no longer kept
        # permit -> [life, ends]; as after an outage, all have their full time
        self.leases = {permit: [life, self.sim.time + life] for permit, life in leases.items()}
        self.down = False
        self.refused_until = {}  # host -> when it is served again
        self.slow_s = 0.0  # answers take up to so much longer
        self.requests = self.refused = self.oversized = 0
        self.listed = 0  # items of pages under j/
        self.levels = {name: (world.settings["state"][name], 0.0) for name in ("rps", "write_rps")}
        self.waiters = []
        self.loop.spawn(self._expire(), "leases")

    async def _expire(self):
        while True:
            await self.loop.sleep(0.05)
            if self.down:
                continue
            now = self.sim.time
            for permit in [p for p, (_, ends) in self.leases.items() if ends <= now]:
                self._end(permit)

    def _end(self, permit):
        del self.leases[permit]
        if self.keeper:
            self.keeper.lease(permit, None, self.permits)
        keys = [k for k, (_, _, p) in self.data.items() if p == permit]
        if keys:
            self.epoch += 1
            for key in keys:
                del self.data[key]
                self.log.append({"drop": key, "stamp": self.epoch})
            if self.keeper:
                self.keeper.save(self.epoch, {}, keys)
            self._wake()

    def _wake(self):
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter.set()

    def refuse(self, host, seconds):
        """503 for one controller, whose open watches wait as in an outage."""
        self.refused_until[host] = max(self.sim.time + seconds, self.refused_until.get(host, 0.0))

    def outage(self, on):
        self.down = on
        if not on:
            for lease in self.leases.values():
                lease[1] = self.sim.time + lease[0]
            self._wake()

    async def handle(self, method, path, args, body, host):
        self.requests += 1
        if not self._take("rps", 1):
            self.refused += 1
            return 429, {"error": "too much"}
        await self.loop.sleep(0.004 + (self.slow_s and self.sim.random.uniform(0.0, self.slow_s)))
        refused = lambda: self.down or self.sim.time < self.refused_until.get(host, 0.0)  # noqa: E731
        if refused():
            return 503, {"error": "trouble"}
        if path == "/store":
            prefix, after = args["under"], args.get("after", "")
            keys = sorted(k for k in self.data if k.startswith(prefix) and k > after)
            limit = int(args.get("limit", 1000))
            items = [{"k": k, "data": self.data[k][0], "stamp": self.data[k][1]} for k in keys[:limit]]
            self.listed += len(items) if prefix == "j/" else 0
            return 200, {"items": items, "hasNext": len(keys) > limit, "epoch": self.epoch}
        if path.startswith("/store/"):
            key = path[len("/store/") :]
            if key not in self.data:
                return 404, {"epoch": self.epoch}
            value, stamp, permit = self.data[key]
            return 200, {"k": key, "data": value, "stamp": stamp, "permit": permit}
        if path == "/multi":
            return self.multi(body)
        if path == "/leases":
            self.permits += 1
            life = body["lifeMs"] / 1000
            self.leases[self.permits] = [life, self.sim.time + life]
            if self.keeper:
                self.keeper.lease(self.permits, life, self.permits)
            return 200, {"permit": self.permits}
        if path.startswith("/leases/"):
            permit = int(path.split("/")[2])
            if permit not in self.leases:
                return 404, {}
            lease = self.leases[permit]
            lease[1] = self.sim.time + lease[0]
            return 200, {}
        if path == "/changes":
            after, prefix = int(args["after"]), args["under"]
            ends = self.sim.time + int(args.get("waitMs", 0)) / 1000
            while True:
                if after < self.log_from:
                    return 410, {}
                found = [
                    e
                    for e in self.log
                    if e["stamp"] > after and (e.get("put") or e.get("drop")).startswith(prefix)
                ]
                if not refused() and (found or self.sim.time >= ends):
                    return 200, {"epoch": self.epoch, "log": found}
                waiter = Future()
                self.waiters.append(waiter)
                timer = self.loop.call_later(max(0.05, ends - self.sim.time), waiter.set)
                await waiter
                timer.cancel()
        return 400, {}

    def put(self, key, value):
        self.epoch += 1
        self.data[key] = (value, self.epoch, None)

    def _too_much(self, body):
        """What is beyond the limits, by the size as JSON that the protocol counts; None if nothing is."""
        limits = self.world.settings["state"]
        writes = body["writes"]
        if len(writes) > limits["txn_ops"] or len(body["if"]) > 4 * limits["txn_ops"]:
            return "too many"
        for write in writes:
            if "put" in write and len(json.dumps(write["data"])) > limits["value_kb"] * 1024:
                return f"value too large: {write['put']}"
        return None

    def _take(self, name, count):
        """Whether so many are within that rate, with bursts of a second's worth."""
        rate, now = self.world.settings["state"][name], self.sim.time
        level, at = self.levels[name]
        level = min(rate, level + (now - at) * rate)
        taken = level >= count
        self.levels[name] = (level - count * taken, now)
        return taken

    def multi(self, body):
        if (text := self._too_much(body)) is not None:
            self.oversized += 1
            return 400, {"error": text}
        if not self._take("write_rps", len(body["writes"])):
            self.refused += 1
            return 429, {"error": "too much"}
        failed = [c["k"] for c in body["if"] if self.data.get(c["k"], (None, 0, None))[1] != c["stamp"]]
        for write in body["writes"]:
            if "put" in write and write.get("permit") and write["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if body["writes"]:
            if len(self.log) > 2 * KEPT:
                self.log_from = self.log[-KEPT - 1]["stamp"]
                self.log = [event for event in self.log if event["stamp"] > self.log_from]
            self.epoch += 1
            for write in body["writes"]:
                if "put" in write:
                    self.data[write["put"]] = (write["data"], self.epoch, write.get("permit"))
                    self.log.append({"put": write["put"], "data": write["data"], "stamp": self.epoch})
                elif self.data.pop(write["drop"], None) is not None:
                    self.log.append({"drop": write["drop"], "stamp": self.epoch})
            self.world.state_changed(body["writes"])
            if self.keeper:
                self.keeper.save(
                    self.epoch,
                    {w["put"]: self.data[w["put"]] for w in body["writes"] if "put" in w},
                    [w["drop"] for w in body["writes"] if "drop" in w],
                )
            self._wake()
        return 200, {"epoch": self.epoch}


class Cloud(Server):
    def __init__(self, world, kinds, capacity, address="10.2.0.2:8443"):
        super().__init__(world, address.rpartition(":")[0], address)
        self.kinds = kinds
        self.capacity = capacity
        self.rented = {}  # name -> Worker
        self.hires = {}
        self.names = 0
        self.history = []  # (when, listing)
        self.down = False
        self.loop.spawn(self._record(), "history")

    async def _record(self):
        while True:
            self.history.append((self.sim.time, self._now()))
            del self.history[:-200]
            await self.loop.sleep(0.25)

    def _now(self):
        return [
            {
                "id": w.name,
                "endpoint": w.address,
                "rig": w.kind["name"],
                "paddock": w.zone,
                "loaners": w.spot,
                "status": w.listed(),
                "ageS": self.sim.time - w.born,
            }
            for w in sorted(self.rented.values(), key=lambda w: w.name)
        ]

    async def handle(self, method, path, args, body, host):
        await self.loop.sleep(0.05)
        if self.down:
            return 503, {"error": "trouble"}
        if path == "/catalog":
            return 200, {"rigs": self.kinds}
        if path == "/hosts" and method == "POST":
            if body["hire"] in self.hires:
                return 200, {"drovers": self.hires[body["hire"]]}
            names = self.rent(body["rig"], body["paddock"], body["loaners"], body["count"])
            if not names:
                return 503, {"error": "no capacity"}
            self.hires[body["hire"]] = names
            return 200, {"drovers": names}
        if path == "/hosts":
            # At times twice as late as usual, so that a list can be older than the one before.
            lag = self.world.settings["cloud"]["list_lag_s"] * self.sim.random.choice((0.5, 1, 1, 2))
            before = [listing for when, listing in self.history if when <= self.sim.time - lag]
            after = args.get("after", "")
            listing = [m for m in (before[-1] if before else []) if m["id"] > after]
            return 200, {"drovers": listing[:500], "hasNext": len(listing) > 500}
        if path == "/hosts/release":
            for name in body["drovers"]:
                worker = self.rented.pop(name, None)
                if worker is not None:
                    self.world.given_back += sum(item.status != "exited" for item in worker.tasks.values())
                    worker.end()
            return 200, {}
        return 400, {}

    def rent(self, kind_name, zone, spot, count):
        names = []
        for _ in range(count):
            here = sum(w.kind["name"] == kind_name and w.zone == zone for w in self.rented.values())
            if here >= self.capacity:
                break
            self.names += 1
            name = f"n-{self.names:06d}"
            kind = next(k for k in self.kinds if k["name"] == kind_name)
            self.rented[name] = self.new_worker(name, self.names, kind, zone, spot)
            names.append(name)
        return names

    def new_worker(self, name, number, kind, zone, spot):
        return Worker(self.world, name, number, kind, zone, spot)


class OnMachine:
    """An attempt on a worker."""

    def __init__(self, task, attempt):
        self.task = task
        self.attempt = attempt
        self.status = "pulling"
        self.cause = None
        self.saved = False
        self.timer = None
        self.ends_at = 0.0  # when it will be done, if it runs


class Worker(Server):
    def __init__(self, world, name, number, kind, zone, spot, address=None):
        self.address = address or f"10.1.{number // 200}.{number % 200 + 1}:9000"
        super().__init__(world, self.address.rpartition(":")[0], self.address)
        self.name, self.kind, self.zone, self.spot = name, kind, zone, spot
        self.born = self.sim.time
        self.up = False
        self.dead = False
        self.sick = False
        self.stuck = world.stuck_boots > 0
        if self.stuck:
            world.stuck_boots -= 1
        self.session = 1
        self.sequence = 0
        self.token = 0
        self.notice_at = None
        self.deaf_until = 0.0  # until then answers and commands to it are lost
        self.mute_until = 0.0  # until then it opens no connection to a controller
        self.tasks = {}  # (task, attempt) -> OnMachine
        self.report_s = world.settings["workers"]["report_s"]
        self.lease_s = world.settings["workers"]["lease_s"]
        self.loop.spawn(self._live(), name)

    def listed(self):
        if self.dead:
            return "failed" if self.sim.time - self.dead_at > 30 else "running"
        return "running" if self.up else "starting"

    def end(self):
        self.dead = True
        self.dead_at = self.sim.time
        for item in list(self.tasks.values()):
            self._leave(item)
        self.tasks.clear()
        self.world.network.kill(self.host)

    async def _live(self):
        if self.world.spells.quick_boots.strikes(self.sim):
            boot_s = self.sim.random.uniform(*QUICK_BOOT_S)
        else:
            boot_s = self.kind["startupS"] * self.sim.random.uniform(0.6, 1.5)
        await self.loop.sleep(boot_s)
        if self.stuck:
            return
        self.up = True
        self.renewed_at = self.loop.now()
        self.loop.spawn(self._watch_lease(), "lease")
        nodes = self.world.fronts
        at = self.sim.random.randrange(len(nodes))
        self.wanted = None
        clients = {}
        while True:
            if self.sim.time < self.mute_until:
                for kept in clients.values():
                    kept.close()
                clients.clear()
                await self.loop.sleep(5.0)  # for an attempt to connect, and before the next one
                at += 1
                continue
            front = nodes[at % len(nodes)]
            client = clients.setdefault(front, Client(self.loop, self.net, front, 1))
            sent_at, session = self.loop.now(), self.session
            body = cbor2.dumps(self.report())
            if self.world.spells.late_reports.strikes(self.sim):
                self.loop.spawn(self._again(front, body), "late copy")
            if self.world.spells.reports_for_next.strikes(self.sim):
                self.world.troubles.keep_report(self, body)
            try:
                status, data, _ = await client.request("POST", "/v1/report", body, 4.0)
                if self.sim.time < self.deaf_until:
                    status, data = 0, b""
                    client.close()
                    await self.loop.sleep(max(0.0, sent_at + 4.0 - self.loop.now()))
            except NoAnswer:
                status, data = 0, b""
            if status == 200:
                answer = cbor2.loads(data)
                if answer.get("brand", -1) >= self.token and session == self.session:
                    self.token = answer["brand"]
                    self.renewed_at = max(self.renewed_at, sent_at)
                    self.execute(answer["orders"])
                self.wanted = Future()
                timer = self.loop.call_later(
                    self.report_s * self.sim.random.uniform(0.75, 1.25), self.wanted.set
                )
                await self.loop.sleep(0.5)
                await self.wanted
                timer.cancel()
                continue
            boss = cbor2.loads(data).get("boss") if status == 421 and data else None
            if boss in self.world.labels and self.world.labels.index(boss) != at % len(nodes):
                at = self.world.labels.index(boss)
                await self.loop.sleep(self.sim.random.uniform(0, 0.5))
            else:
                at += 1
                await self.loop.sleep(1.0)

    async def _again(self, front, body):
        """A copy of a report arrives late, and nobody hears the answer to it."""
        await self.loop.sleep(self.sim.random.uniform(2.0, 3 * self.lease_s))
        try:
            await Client(self.loop, self.net, front, 0).request("POST", "/v1/report", body, 4.0)
        except NoAnswer:
            pass

    async def _watch_lease(self):
        while True:
            await self.loop.sleep(0.1)
            if self.loop.now() - self.renewed_at > self.lease_s:
                self._end_session()
                self.changed()

    def changed(self):
        if getattr(self, "wanted", None) is not None:
            self.wanted.set()

    def report(self):
        self.sequence += 1
        notice = None if self.notice_at is None else max(0.0, self.notice_at - self.sim.time)
        return {
            "drover": self.name,
            "endpoint": self.address,
            "rig": self.kind["name"],
            "paddock": self.zone,
            "loaners": self.spot,
            "stint": self.session,
            "tally": self.sequence,
            "brand": self.token,
            "recallS": notice,
            "legs": [
                {"leg": i.task, "try": i.attempt, "status": i.status, "cause": i.cause, "saved": i.saved}
                for i in self.tasks.values()
            ],
        }

    async def handle(self, method, path, args, body, host):
        if self.sim.time < self.deaf_until:
            await Future()
        if path == "/inspect":
            return 200, self.report()
        if body["brand"] < self.token or body["stint"] != self.session:
            return 409, self.report()
        if body["brand"] > self.token:
            self.token = body["brand"]
            self.changed()
        self.execute(body["orders"])
        return 200, self.report()

    def execute(self, orders):
        for order in orders:
            key = (order["leg"], order["try"])
            item = self.tasks.get(key)
            if order["verb"] == "launch" and item is None:
                self._launch(*key)
            elif order["verb"] == "stop" and item is not None and item.status != "exited":
                job = self.world.job_of(item.task)
                if item.status == "running" and job["musterS"] > 0 and order["letgoS"] >= job["stowS"]:
                    item.status = "saving"
                    item.timer.cancel()
                    item.timer = self.loop.call_later(job["stowS"], self._saved, item)
                elif item.status != "saving" or order["letgoS"] == 0:
                    self._exit(item, "stopped")
            elif order["verb"] == "forget" and item is not None and item.status == "exited":
                del self.tasks[key]
                self.changed()

    def _launch(self, task, attempt):
        item = self.tasks[task, attempt] = OnMachine(task, attempt)
        job = self.world.job_of(task)
        others = [i for i in self.tasks.values() if i is not item and i.status != "exited"]
        used = sum(self.world.job_of(i.task)["vcpus"] for i in others)
        if job is None:
            self._exit(item, "no_such")
        elif any(i.task == task for i in others):
            self._exit(item, "in_use")
        elif used + job["vcpus"] > self.kind["vcpus"] + 1e-6:
            self.world.no_rooms += 1
            self._exit(item, "no_room")
        else:
            item.timer = self.loop.call_later(self.world.fetch_s, self._start, item)
            self.changed()

    def _start(self, item):
        self.world.on_machine(item.task, self)
        job = self.world.job_of(item.task)
        if job["shape"] == "group":
            item.status = "gathering"
            item.timer = self.loop.call_later(self.world.gang_wait_s, self._exit, item, "incomplete")
            self.world.gangs.setdefault((job["id"], item.attempt), Gang(job)).join(self, item)
            self.changed()
        else:
            self.run(item)

    def run(self, item):
        item.status = "running"
        job = self.world.job_of(item.task)
        run_s = job["runS"] * self.sim.random.uniform(0.9, 1.1) + (
            job.get("apartS", 0.0) * int(item.task.rpartition("/")[2])
        )
        if item.task in self.world.completed:
            run_s = 0.0
        if self.sick or job.get("faulty"):
            item.timer = self.loop.call_later(0.5, self._exit, item, "error")
        else:
            item.timer = self.loop.call_later(run_s, self._exit, item, "done")
            item.ends_at = self.sim.time + run_s
        self.changed()

    def left_of(self, task):
        """Seconds for which a task still runs here."""
        ends = [i.ends_at for i in self.tasks.values() if i.task == task and i.status == "running"]
        return max(ends, default=0.0) - self.sim.time

    def _saved(self, item):
        item.saved = True
        self._exit(item, "stopped")

    def hang(self, seconds):
        """Executes nothing for a while. If its lease ends meanwhile, its tasks are killed
        before it does anything else, so they count as gone from that moment on."""
        self.loop.hang()
        left = self.renewed_at + self.lease_s - self.loop.now()

        def lease_ends():
            if self.loop.hung and not self.dead:
                self._end_session()

        self.sim.call_later(left / self.loop.rate, lease_ends)
        self.sim.call_later(seconds, self.loop.wake)

    def _end_session(self):
        self.world.killed += sum(i.status != "exited" for i in self.tasks.values())
        for item in list(self.tasks.values()):
            self._leave(item)
        self.tasks.clear()
        self.session += 1
        self.renewed_at = self.loop.now()

    def _leave(self, item):
        if item.timer is not None:
            item.timer.cancel()
        if item.status in ("running", "saving", "gathering"):
            self.world.off_machine(item.task, self)
            gang = self.world.gangs.get((item.task.rpartition("/")[0], item.attempt))
            if gang is not None:
                gang.leave(item)

    def _exit(self, item, cause):
        self._leave(item)
        item.status, item.cause = "exited", cause
        if cause == "done":
            self.world.completed.add(item.task)
            self.world.task_done(item.task)
        self.changed()


class Gang:
    """Tasks started under one attempt: they run once all that are not done are there; one that
    is lost takes the others with it."""

    def __init__(self, job):
        self.job = job
        self.here = {}  # item -> its worker

    def join(self, worker, item):
        self.here[item] = worker
        world = worker.world
        tasks = {f"{self.job['id']}/{index}" for index in range(self.job["legs"])} - world.completed
        if tasks <= {item.task for item in self.here}:
            world.together.add(self.job["id"])
            for item, worker in self.here.items():
                item.timer.cancel()
                worker.run(item)

    def leave(self, item):
        worker = self.here.pop(item, None)
        if worker is not None and item.status != "gathering":

            def lost():
                if item.task not in worker.world.completed:
                    for peer, host in list(self.here.items()):
                        host._exit(peer, "incomplete")

            worker.sim.call_later(worker.world.gang_peer_s, lost)


class Storm:
    """Polls at a steady rate: of known jobs, and every fifth of one that nobody submitted."""

    def __init__(self, world, rate, seconds):
        self.world = world
        self.polls = self.answered = 0
        for number in range(int(rate * seconds)):
            world.sim.call_later(number / rate, self._start, number)

    def _start(self, number):
        self.world.user_loop.spawn(self._poll(number), "poll")

    async def _poll(self, number):
        users = [user for user in self.world.users.values() if user.accepted]
        if not users:
            return
        user = users[number % len(users)]
        self.polls += 1
        if number % 5:
            status, answer = await user._ask("GET", f"/v1/jobs/{user.id}", None, 2.0)
            final = answer is not None and answer.get("status") in ("done", "cancelled")
            if status == 404 or final:
                user._hear(status, answer)
        else:
            status, _ = await user._ask("GET", f"/v1/jobs/req-{900000 + number % 40}", None, 2.0)
            if status == 200:
                self.world.break_rule("invented", "req-9...")
        self.answered += status in (200, 404)


class User:
    """Submits a job and polls it until it is over, as the protocol says users do."""

    def __init__(self, world, job):
        self.world = world
        self.sim = world.sim
        self.job = job
        self.id = job["id"]
        self.accepted = False
        self.told = None
        self.told_at = 0.0
        self.gave_up = False
        self.asked_to_cancel = False
        self.answered_at = 0.0  # the last question about an accepted job
        self.told_cancelled_at = None
        self.asked_at = 0.0

    async def _ask(self, method, path, body, timeout, via=None):
        world = self.world
        fronts = [f for f in world.fronts_for(self.job) if f in world.network.listeners]
        if via is not None:
            fronts = [f for f in fronts if f == world.fronts[via]]
        if not fronts:
            return 0, None
        client = Client(world.user_loop, world.user_net, self.sim.random.choice(fronts), 0)
        self.asked_at = self.sim.time
        try:
            status, data, _ = await client.request(
                method, path, cbor2.dumps(body) if body is not None else b"", timeout
            )
        except (NoAnswer, Timeout):
            return 0, None
        return status, (cbor2.loads(data) if data else None)

    def _hear(self, status, answer):
        """Checks an answer of 200 or 201 against all that was said before."""
        world = self.world
        if status == 404 and self.accepted:
            world.break_rule("forgotten", self.id)
        if status not in (200, 201):
            return
        self.answered_at = self.sim.time
        state = answer["status"]
        if self.told in ("done", "cancelled") and state != self.told:
            world.break_rule("went_back", f"{self.id}: {self.told} then {state}")
        if (
            state == "cancelled"
            and not self.asked_to_cancel
            and not any(user.asked_to_cancel for user in world.above(self.id))
        ):
            world.break_rule("went_back", f"{self.id}: nobody cancelled it")
        if state == "done" and not world.all_completed(self.job):
            world.break_rule("not_done", self.id)
        if state == "cancelled" and self.told_cancelled_at is None:
            self.told_cancelled_at = self.sim.time
            world.cancelled_at[self.id] = self.sim.time
        if state in ("pending", "running") and any(
            self.asked_at > told + world.settings["workers"]["cancel_s"]
            for told in world.cancelled_above(self.id)
        ):
            world.break_rule("orphaned", f"{self.id} is called {state}")
        news = state != self.told and (state in ("done", "cancelled") or self.told is None)
        if self.told != state:
            self.told_at = self.sim.time
        self.told = state
        if news:
            world.troubles.heard_news(self)

    def described(self):
        """Its job as submitted."""
        return {k: v for k, v in self.job.items() if k not in UNTOLD}

    async def run(self):
        loop = self.world.user_loop
        public = self.described()
        # The jobs of a pipeline are submitted each as soon as those that it needs are accepted.
        while not all(
            self.world.users[name].accepted
            for name in public.get("upstream") or ()
            if name in self.world.users and name != self.id
        ):
            await loop.sleep(0.05)
        begun = self.sim.time
        while not self.accepted:
            status, answer = await self._ask("POST", "/v1/jobs", public, 5.0)
            if status in (200, 201):
                self.accepted = True
                self._hear(status, answer)
            elif status in (400, 422):
                self.world.refusals[self.id] = status
                return
            elif self.gave_up or self.sim.time - begun > 60:
                self.gave_up = True
                return
            else:
                await loop.sleep(1.0 + self.sim.random.random())
        while self.told not in ("done", "cancelled"):
            await loop.sleep(4.0 + 2 * self.sim.random.random())
            status, answer = await self._ask("GET", f"/v1/jobs/{self.id}", None, 2.0)
            self._hear(status, answer)
        # Long after the end, any controller must say the same.
        for _ in range(4):
            await loop.sleep(7.0)
            status, answer = await self._ask("GET", f"/v1/jobs/{self.id}", None, 2.0)
            self._hear(status, answer)

    async def submit_again(self):
        """A retry long after the job was accepted, until it is answered."""
        public = self.described()
        while not self.accepted:
            await self.world.user_loop.sleep(1.0)
        for _ in range(60):
            status, answer = await self._ask("POST", "/v1/jobs", public, 5.0)
            if status in (400, 404, 422):
                self.world.break_rule("forgotten", f"{self.id}: a retry was answered {status}")
            if status in (200, 201):
                self._hear(status, answer)
                return
            await self.world.user_loop.sleep(1.0)

    async def poll(self, via=None):
        """One question more, of the controller named."""
        self._hear(*await self._ask("GET", f"/v1/jobs/{self.id}", None, 2.0, via))

    async def cancel(self, via=None):
        self.asked_to_cancel = True
        begun = self.sim.time
        while self.sim.time - begun < 60:
            status, answer = await self._ask("POST", f"/v1/jobs/{self.id}/cancel", None, 5.0, via)
            if status == 200:
                self._hear(status, answer)
                return
            await self.world.user_loop.sleep(1.0)
