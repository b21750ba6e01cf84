"""Emulates a worker: it reports, executes commands, and kills its tasks when its lease expires.

In messages, a worker is called `drover`, its machine type `rig`, its zone `paddock`, spot capacity `loaners`,
its session `stint`, a report's sequence number `tally`, a leader's fencing token `brand`, the leader itself
`boss`, and a task `leg`.
"""

import json

import cbor2

from roadhead.local.fault_windows import QUICK_BOOT_S, SLOW_ANSWER_S, SLOW_REPORT_S
from roadhead.local.gang import Gang
from roadhead.local.server import EmulatedServer
from roadhead.runtime.loop import Future
from roadhead.wire.http import HttpClient, NoResponseError
from roadhead.wire.worker_limits import MAX_MESSAGE_BYTES

REPORT_TIMEOUT_S = 4.0  # a worker ignores a response that takes longer, as the protocol requires
MIN_BYTES_TO_COUNT = MAX_MESSAGE_BYTES // 4  # of CBOR; the JSON form of a shorter message is below the limit


class TaskAttempt:
    """One attempt to run a task, on one worker."""

    def __init__(self, task, attempt):
        self.task = task
        self.attempt = attempt
        self.status = "pulling"
        self.cause = None
        self.saved = False
        self.timer = None
        self.ends_at = 0.0  # virtual time at which a running attempt will be done


class EmulatedWorker(EmulatedServer):
    """A worker machine: boots, reports to controllers, serves commands, and runs tasks by timers."""

    copies_window = "copied_commands"

    def __init__(self, world, name, number, kind, zone, spot, address=None):
        self.address = address or f"10.1.{number // 200}.{number % 200 + 1}:9000"
        super().__init__(world, self.address.rpartition(":")[0], self.address)
        self.name, self.kind, self.zone, self.spot = name, kind, zone, spot
        self.created_at = self.sim.time
        self.up = False
        self.dead = False
        self.sick = False  # every task fails
        self.stuck = world.stuck_boots > 0  # never finishes booting
        if self.stuck:
            world.stuck_boots -= 1
        self.session = 1
        self.sequence = 0
        self.token = 0  # the highest fencing token seen
        self.notice_at = None  # when the cloud reclaims the machine, once it has given notice
        self.incoming_lost_until = 0.0  # until then, responses and commands to it are lost
        self.outgoing_blocked_until = 0.0  # until then, it opens no connection to a controller
        self.tasks = {}  # (task, attempt) -> TaskAttempt
        self.report_s = world.settings["workers"]["report_s"]
        self.lease_s = world.settings["workers"]["lease_s"]
        self.loop.spawn(self._run(), name)

    def is_up(self):
        """Returns whether requests still reach the machine."""
        return not self.dead

    def listed(self):
        """Returns the machine's status in the cloud's list."""
        if self.dead:
            return "failed" if self.sim.time - self.died_at > 30 else "running"
        return "running" if self.up else "starting"

    def end(self):
        """Ends the machine with everything that runs on it."""
        self.dead = True
        self.died_at = self.sim.time
        for task_attempt in list(self.tasks.values()):
            self._leave(task_attempt)
        self.tasks.clear()
        self.world.network.kill(self.host)

    async def _run(self):
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
        fronts = self.world.fronts
        front_index = self.sim.random.randrange(len(fronts))
        self.wanted = None
        clients = {}
        while True:
            if self.sim.time < self.outgoing_blocked_until:
                for open_client in clients.values():
                    open_client.close()
                clients.clear()
                # The time of a failed connection attempt and of the pause before the next one.
                await self.loop.sleep(5.0)
                front_index += 1
                continue
            front = fronts[front_index % len(fronts)]
            client = clients.setdefault(front, HttpClient(self.loop, self.net, front, 1))
            sent_at, session = self.loop.now(), self.session
            body = cbor2.dumps(self.report())
            self._is_too_large(body)
            if self.world.fault_windows.late_reports.strikes(self.sim):
                self.loop.spawn(self._send_late_copy(front, body), "late copy")
            if self.world.fault_windows.reports_for_next.strikes(self.sim):
                self.world.injector.keep_report(self, body)
            if self.world.fault_windows.slow_reports.strikes(self.sim):
                await self.loop.sleep(self.sim.random.uniform(*SLOW_REPORT_S))
            try:
                left_s = sent_at + REPORT_TIMEOUT_S - self.loop.now()
                status, data, _ = await client.request("POST", "/v1/report", body, left_s)
                if self.sim.time < self.incoming_lost_until:
                    status, data = 0, b""
                    client.close()
                    await self.loop.sleep(max(0.0, sent_at + REPORT_TIMEOUT_S - self.loop.now()))
            except NoResponseError:
                status, data = 0, b""
            if self.world.fault_windows.slow_answers.strikes(self.sim):
                await self.loop.sleep(self.sim.random.uniform(*SLOW_ANSWER_S))
                if self.loop.now() - sent_at > REPORT_TIMEOUT_S:
                    status, data = 0, b""
            if status == 200 and self._is_too_large(data):
                status = 0  # dropped: it renews nothing and is not carried out
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
            leader = cbor2.loads(data).get("boss") if status == 421 and data else None
            if leader in self.world.labels and self.world.labels.index(leader) != front_index % len(fronts):
                front_index = self.world.labels.index(leader)
                await self.loop.sleep(self.sim.random.uniform(0, 0.5))
            else:
                front_index += 1
                await self.loop.sleep(1.0)

    async def _send_late_copy(self, front, body):
        """Delivers a second copy of a report late, whose response nobody reads."""
        await self.loop.sleep(self.sim.random.uniform(2.0, 3 * self.lease_s))
        try:
            await HttpClient(self.loop, self.net, front, 0).request("POST", "/v1/report", body, 4.0)
        except NoResponseError:
            pass

    async def _watch_lease(self):
        while True:
            await self.loop.sleep(0.1)
            if self.loop.now() - self.renewed_at > self.lease_s:
                self._end_session()
                self.changed()

    def changed(self):
        """Wakes the report loop, as a status change is reported at once."""
        if getattr(self, "wanted", None) is not None:
            self.wanted.set()

    def report(self):
        """Returns the next report, as sent to controllers."""
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
        if self.sim.time < self.incoming_lost_until:
            await Future()
        if path == "/inspect":
            return 200, self.report()
        if self._is_too_large(cbor2.dumps(body)):
            return 413, {"error": "larger than 64 KiB"}
        if body["brand"] < self.token or body["stint"] != self.session:
            return 409, self.report()
        if body["brand"] > self.token:
            self.token = body["brand"]
            self.changed()
        self.execute(body["orders"])
        return 200, self.report()

    def _is_too_large(self, data):
        """Whether a message, in CBOR, is larger than allowed in its JSON form, which is noted as a fault."""
        if len(data) < MIN_BYTES_TO_COUNT:
            return False
        size = len(json.dumps(cbor2.loads(data), separators=(",", ":")))
        if size <= MAX_MESSAGE_BYTES:
            return False
        self.world.oversized.append(f"a message of {size} bytes from or to {self.name}")
        return True

    def execute(self, orders):
        """Carries out the commands of a controller."""
        for order in orders:
            key = (order["leg"], order["try"])
            task_attempt = self.tasks.get(key)
            if order["verb"] == "launch" and task_attempt is None:
                self._launch(*key)
            elif order["verb"] == "stop" and task_attempt is not None and task_attempt.status != "exited":
                job = self.world.job_of(task_attempt.task)
                if (
                    task_attempt.status == "running"
                    and job["musterS"] > 0
                    and order["letgoS"] >= job["stowS"]
                ):
                    task_attempt.status = "saving"
                    task_attempt.timer.cancel()
                    task_attempt.timer = self.loop.call_later(job["stowS"], self._finish_saving, task_attempt)
                elif task_attempt.status != "saving" or order["letgoS"] == 0:
                    self._exit(task_attempt, "stopped")
            elif order["verb"] == "forget" and task_attempt is not None and task_attempt.status == "exited":
                del self.tasks[key]
                self.changed()

    def _launch(self, task, attempt):
        task_attempt = self.tasks[task, attempt] = TaskAttempt(task, attempt)
        job = self.world.job_of(task)
        others = [i for i in self.tasks.values() if i is not task_attempt and i.status != "exited"]
        used = sum(self.world.job_of(i.task)["vcpus"] for i in others)
        if job is None:
            self._exit(task_attempt, "no_such")
        elif any(i.task == task for i in others):
            self._exit(task_attempt, "in_use")
        elif used + job["vcpus"] > self.kind["vcpus"] + 1e-6:
            self.world.no_rooms += 1
            self._exit(task_attempt, "no_room")
        else:
            task_attempt.timer = self.loop.call_later(self.world.fetch_s, self._start, task_attempt)
            self.changed()

    def _start(self, task_attempt):
        self.world.on_task_started(task_attempt.task, self)
        job = self.world.job_of(task_attempt.task)
        if job["shape"] == "group":
            task_attempt.status = "gathering"
            task_attempt.timer = self.loop.call_later(
                self.world.gang_wait_s, self._exit, task_attempt, "incomplete"
            )
            self.world.gangs.setdefault((job["id"], task_attempt.attempt), Gang(job)).join(self, task_attempt)
            self.changed()
        else:
            self.run(task_attempt)

    def run(self, task_attempt):
        """Starts to run a task whose image is there and whose gang, if any, is complete."""
        task_attempt.status = "running"
        job = self.world.job_of(task_attempt.task)
        run_s = job["runS"] * self.sim.random.uniform(0.9, 1.1) + (
            job.get("apartS", 0.0) * int(task_attempt.task.rpartition("/")[2])
        )
        if task_attempt.task in self.world.completed:
            run_s = 0.0
        if self.sick or job.get("faulty"):
            task_attempt.timer = self.loop.call_later(
                self.world.options["fail_s"], self._exit, task_attempt, "error"
            )
        else:
            task_attempt.timer = self.loop.call_later(run_s, self._exit, task_attempt, "done")
            task_attempt.ends_at = self.sim.time + run_s
        self.changed()

    def remaining_s(self, task):
        """Returns for how many more seconds a task will run here."""
        ends = [i.ends_at for i in self.tasks.values() if i.task == task and i.status == "running"]
        return max(ends, default=0.0) - self.sim.time

    def _finish_saving(self, task_attempt):
        task_attempt.saved = True
        self._exit(task_attempt, "stopped")

    def hang(self, seconds):
        """Executes nothing for `seconds`.

        If its lease expires meanwhile, its tasks are killed before it does anything else, so they count as
        gone from that moment on.
        """
        self.loop.hang()
        lease_left_s = self.renewed_at + self.lease_s - self.loop.now()

        def expire_lease():
            if self.loop.hung and not self.dead:
                self._end_session()

        self.sim.call_later(lease_left_s / self.loop.rate, expire_lease)
        self.sim.call_later(seconds, self.loop.wake)

    def _end_session(self):
        self.world.killed += sum(i.status != "exited" for i in self.tasks.values())
        for task_attempt in list(self.tasks.values()):
            self._leave(task_attempt)
        self.tasks.clear()
        self.session += 1
        self.renewed_at = self.loop.now()

    def _leave(self, task_attempt):
        if task_attempt.timer is not None:
            task_attempt.timer.cancel()
        if task_attempt.status in ("running", "saving", "gathering"):
            self.world.on_task_gone(task_attempt.task, self)
            gang = self.world.gangs.get((task_attempt.task.rpartition("/")[0], task_attempt.attempt))
            if gang is not None:
                gang.leave(task_attempt)

    def _exit(self, task_attempt, cause):
        self._leave(task_attempt)
        task_attempt.status, task_attempt.cause = "exited", cause
        if cause == "done":
            self.world.completed.add(task_attempt.task)
            self.world.task_done(task_attempt.task)
        self.changed()
