"""An emulated worker: reports, executes commands, and kills its tasks when its lease ends."""

import cbor2

from roadhead.local.fault_windows import QUICK_BOOT_S, SLOW_REPORT_S
from roadhead.local.gang import Gang
from roadhead.local.server import EmulatedServer
from roadhead.runtime.loop import Future
from roadhead.wire.http import Client, NoResponseError

ANSWER_S = 4.0  # a worker drops the answer to a report that took longer (PROTOCOL)


class TaskAttempt:
    """An attempt on a worker."""

    def __init__(self, task, attempt):
        self.task = task
        self.attempt = attempt
        self.status = "pulling"
        self.cause = None
        self.saved = False
        self.timer = None
        self.ends_at = 0.0  # when it will be done, if it runs


class EmulatedWorker(EmulatedServer):
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
        self.tasks = {}  # (task, attempt) -> TaskAttempt
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
        if self.world.fault_windows.quick_boots.strikes(self.sim):
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
            if self.world.fault_windows.late_reports.strikes(self.sim):
                self.loop.spawn(self._again(front, body), "late copy")
            if self.world.fault_windows.reports_for_next.strikes(self.sim):
                self.world.injector.keep_report(self, body)
            if self.world.fault_windows.slow_reports.strikes(self.sim):
                await self.loop.sleep(self.sim.random.uniform(*SLOW_REPORT_S))
            try:
                left_s = sent_at + ANSWER_S - self.loop.now()
                status, data, _ = await client.request("POST", "/v1/report", body, left_s)
                if self.sim.time < self.deaf_until:
                    status, data = 0, b""
                    client.close()
                    await self.loop.sleep(max(0.0, sent_at + ANSWER_S - self.loop.now()))
            except NoResponseError:
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
        except NoResponseError:
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
        item = self.tasks[task, attempt] = TaskAttempt(task, attempt)
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
