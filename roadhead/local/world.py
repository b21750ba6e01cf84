"""A whole deployment in virtual time, driven by a scenario's text."""

import logging
import random
import shlex

import msgspec

from roadhead.local.sim import HostLoop, Network, Sim
from roadhead.local.standins import UNTOLD, Cloud, State, Storm, User
from roadhead.local.tenancy import Tenancy, TenantUser
from roadhead.local.troubles import Spells, Troubles
from roadhead.node import Node
from roadhead.settings import Tuning, parse
from roadhead.tenants.ids import to_job

DEFAULTS = {
    "controllers": 3,
    "seed": 1,
    "report_s": 2.0,
    "lease_s": 12.0,
    "cancel_s": 32.0,
    "list_lag_s": 3.0,
    "txn_ops": 16,
    "capacity": 8,
    "fetch_s": 1.0,
    "until": 200.0,
    "cpus_max": 0.0,
    "drift": 0.0005,
    "boot_s": 5.0,
    "gateways": 0,
    "slots": 24,
    "preempt": 1,
    "sockets": 0,
    "rps": 300.0,
    "write_rps": 60.0,
    "value_kb": 8.0,
    "next_write_rps": 0.0,
    "next_value_kb": 0.0,
    "next_txn_ops": 0,
    "settled": 0.0,  # when all troubles are over, for the rule that a job stays known
}
UNANSWERED_S = 75.0  # once they are, without an answer for that long a job counts as forgotten


class Failures(logging.Handler):
    """Callbacks and routines that failed: the loop goes on without them, a scenario does not."""

    def __init__(self):
        super().__init__(logging.ERROR)
        self.texts = []

    def emit(self, record):
        self.texts.append(f"{record.getMessage()[:200]}: {record.exc_info and record.exc_info[1]!r}")


class World:
    def __init__(self, text):
        self.failures = Failures()
        self.options = dict(DEFAULTS)
        self.actions = []  # (when, words)
        self.expectations = []
        self.broken = []
        for line in text.splitlines():
            words = shlex.split(line, comments=True)
            if not words:
                continue
            if words[0] == "at":
                self.actions.append((float(words[1]), words[2:]))
            elif words[0] == "expect":
                self.expectations.append(words[1:])
            elif words[0] in self.options:
                self.options[words[0]] = type(DEFAULTS[words[0]])(float(words[1]))
            else:
                raise ValueError(f"scenario: {line!r}")
        options = self.options
        self.sim = Sim(options["seed"])
        self.network = Network(self.sim)
        self.settings = {
            "workers": {key: options[key] for key in ("report_s", "lease_s", "cancel_s")},
            "state": {name: options[name] for name in ("rps", "write_rps", "value_kb", "txn_ops")},
            "cloud": {"rps": 9.0, "list_lag_s": options["list_lag_s"]},
        }
        self.fetch_s = options["fetch_s"]
        self.gang_wait_s, self.gang_peer_s = 3 * options["lease_s"], 0.7 * options["lease_s"]
        self.gangs = {}  # (job, attempt) -> Gang
        self.together = set()  # gangs that ran, all of them at once
        self.stuck_boots = 0
        self.no_rooms = 0
        self.killed = 0  # tasks, by their workers' leases
        self.given_back = 0  # tasks, with machines returned to the cloud
        self.jobs = {}
        self.users = {}
        self.storms = []
        self.named = {}  # tenant -> ids made for it
        self.completed = set()
        self.running = {}  # task -> worker
        self.started = {}  # task -> when it first did
        self.cancelled_at = {}
        self.refusals = {}
        self.spells = Spells()
        self.recorded = set()  # tasks that some record called done once, where a scenario asks for it
        self.reruns = 0  # starts of those
        self.longest_gone = 0.0  # after its user was told of a cancellation, a task was still there
        self.zones = ("north", "south")
        self.labels = [f"ctl-{number}" for number in range(options["controllers"])]
        self.fronts = [f"10.0.0.{number + 1}:8080" for number in range(options["controllers"])]
        self.troubles = Troubles(self)
        self.state = State(self)
        kinds = [
            {
                "name": "box",
                "vcpus": 4,
                "gpus": 0,
                "ramGb": 16,
                "cacheGb": 20,
                "fetchGbPerS": 1,
                "price": 0.2,
                "marketPrice": 0.05,
                "startupS": options["boot_s"],
                "paddocks": list(self.zones),
            }
        ]
        self.cloud = Cloud(self, kinds, options["capacity"])
        self.user_loop = self.host_loop("10.9.0.1")
        self.user_net = self.network.host("10.9.0.1", self.user_loop)
        self.nodes = {}
        self.tenancy = None
        if options["gateways"]:
            self.tenancy = Tenancy(self, options["gateways"])
        for number in range(options["controllers"]):
            self.start(number)
        self.sim.spawn(self._check(), "checks")

    def host_loop(self, _host):
        drift = self.options["drift"]
        rate = self.sim.random.choice((1 - drift / 2, 1.0, 1 + drift / 2))
        return HostLoop(self.sim, rate, self.sim.random.uniform(0, 1000))

    # Controllers

    def _settings_of(self, number):
        def member(n):
            endpoint = f"10.0.0.{n + 1}:8081"
            return {"label": self.labels[n], "location": self.zones[n % 2], "endpoint": endpoint}

        document = {
            "label": self.labels[number],
            "location": self.zones[number % 2],
            "front": self.fronts[number],
            "internal_addr": f"10.0.0.{number + 1}:8081",
            "members": [member(n) for n in range(len(self.labels)) if n != number],
            "external": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
            "deployment": {
                "nodes": len(self.labels),
                "zones": list(self.zones),
                "teams": [{"name": "crew", "cpus_max": self.options["cpus_max"]}],
                "objectives": [{"kind": "finished", "class": "c", "within_s": 60.0, "share": 0.9}],
                **({"quota": {"fd_limit": self.options["sockets"]}} if self.options["sockets"] else {}),
                **self.settings,
            },
        }
        if later := self.later_limits():
            limits = document["deployment"]["state"]
            document["deployment"]["state"] = {
                **limits,
                **{name: self.options[name] for name in limits},
                "next": later,
            }
        return msgspec.json.encode(document)

    def fronts_for(self, _job):
        """The controllers that a job's user may ask."""
        return self.fronts

    def later_limits(self):
        return {
            name: self.options[f"next_{name}"]
            for name in ("write_rps", "value_kb", "txn_ops")
            if self.options[f"next_{name}"]
        }

    def node_class(self, _number):
        """The version that a controller runs: (its Node, Tuning and parse)."""
        return Node, Tuning, parse

    def start(self, number):
        if number in self.nodes:
            return  # crashed twice, and back already
        host = f"10.0.0.{number + 1}"
        if self.options["sockets"]:
            self.network.limits[host] = self.options["sockets"]
        loop = self.host_loop(host)
        net = self.network.host(host, loop)
        node_kind, tuning, read = self.node_class(number)
        node = node_kind(
            loop,
            net,
            read(self._settings_of(number)),
            tuning(),
            random.Random(self.sim.random.random()),
            time_of_day=lambda: 1e9 + self.sim.time,
            hosted=self.tenancy.desk(loop) if self.tenancy is not None else None,
        )
        self.nodes[number] = node
        node.start()

    def crash(self, number, back_after=3.0):
        self.network.kill(f"10.0.0.{number + 1}")
        self.nodes.pop(number, None)
        self.sim.call_later(back_after, self.start, number)

    # The Rules

    def break_rule(self, rule, text):
        self.broken.append(f"{self.sim.time:.1f} {rule}: {text}")

    def job_of(self, task):
        return self.jobs.get(task.rpartition("/")[0])

    def all_completed(self, job):
        return all(f"{job['id']}/{index}" in self.completed for index in range(job["legs"]))

    def on_machine(self, task, worker):
        job = self.job_of(task)
        for above in job.get("upstream") or ():
            if not self.all_completed(self.jobs[above]):
                self.break_rule("too_early", f"{task} starts before {above} is done")
        other = self.running.get(task)
        if other is not None and other is not worker:
            self.break_rule("ran_twice", f"{task} on {other.name} and {worker.name}")
        told = self.cancelled_at.get(job["id"])
        if told is not None and self.sim.time > told + self.settings["workers"]["cancel_s"]:
            self.break_rule("ran_cancelled", f"{task} starts")
        if (worker.spot and not job["loaners"]) or job["paddock"] not in (None, worker.zone):
            self.break_rule("wrong_place", f"{task} on {worker.name}")
        zones = [w.zone for t, w in self.running.items() if self.job_of(t) is job and t != task]
        if job["together"] and any(zone != worker.zone for zone in zones):
            self.break_rule("wrong_place", f"{task} away from its job")
        if job["scatter"] and zones.count(worker.zone) + 1 > (job["legs"] + 1) // 2:
            self.break_rule("wrong_place", f"{task} too close to its job")
        self.reruns += task in self.recorded
        self.running[task] = worker
        self.started.setdefault(task, self.sim.time)
        most = self.options["cpus_max"]
        if self.tenancy is not None and (over := self.tenancy.check_limits(task, self.running)):
            self.break_rule("quota", f"{over}: {task}")
        if most and sum(self.job_of(t)["vcpus"] for t in self.running) > most + 1e-6:
            self.break_rule("quota", task)

    def above(self, job_id):
        """The users of the jobs that it needs, directly or through others."""
        todo, seen = [job_id], {}
        while todo:
            for name in self.jobs[todo.pop()].get("upstream") or ():
                if name not in seen and name in self.jobs:
                    seen[name] = self.users[name]
                    todo.append(name)
        return list(seen.values())

    def cancelled_above(self, job_id):
        """When users of jobs that it needs were told that those are cancelled, as they had asked."""
        return [
            user.told_cancelled_at
            for user in self.above(job_id)
            if user.asked_to_cancel and user.told_cancelled_at is not None
        ]

    def off_machine(self, task, worker):
        if self.running.get(task) is worker:
            del self.running[task]

    def task_done(self, task):
        job = self.job_of(task)
        if self.all_completed(job):
            self.troubles.job_ended(job)

    def state_changed(self, writes):
        self.troubles.state_changed(writes)

    async def _check(self):
        while True:
            await self.sim.sleep(0.5)
            for task in self.running:
                told = self.cancelled_at.get(task.rpartition("/")[0])
                if told is not None:
                    self.longest_gone = max(self.longest_gone, self.sim.time - told)
                if told is not None and self.sim.time > told + self.settings["workers"]["cancel_s"]:
                    self.break_rule("ran_cancelled", task)
                if self.tenancy is not None:
                    tenant = self.job_of(task).get("tenant")
                    told = self.tenancy.removed_at.get(self.tenancy.numbers.get(tenant))
                    if told is not None and self.sim.time > told + 2 * self.settings["workers"]["cancel_s"]:
                        self.break_rule("ran_cancelled", f"{task} of a tenant that is removed")

            self._check_known()
            if any(words[0] == "reruns" for words in self.expectations):
                self._note_recorded()

    def _note_recorded(self):
        for key, (record, *_rest) in self.state.data.items():
            if key.startswith("j/") and record["s"] == "open":
                edges = record["done"]
                self.recorded.update(
                    f"{key[2:]}/{index}"
                    for at in range(0, len(edges), 2)
                    for index in range(edges[at], edges[at + 1])
                )

    def _check_known(self):
        settled = self.options["settled"]
        if not settled or self.sim.time < settled + UNANSWERED_S:
            return
        for user in self.users.values():
            if (
                user.accepted
                and user.told not in ("done", "cancelled")
                and (self.sim.time > max(settled, user.answered_at) + UNANSWERED_S)
            ):
                self.break_rule("forgotten", f"{user.id}: no question answered since {user.answered_at:.1f}")

    # What a scenario can do

    @staticmethod
    def _job(given):
        job = {
            "jobclass": "c",
            "crew": "crew",
            "shape": "batch",
            "urgency": "standard",
            "legs": 4,
            "vcpus": 1.0,
            "gpus": 0.0,
            "ramGb": 1.0,
            "kit": "img",
            "sizeGb": 1.0,
            "rigs": None,
            "paddock": None,
            "together": False,
            "scatter": False,
            "loaners": True,
            "expectS": 10.0,
            "musterS": 0.0,
            "stowS": 0.0,
            "dueS": None,
            "runS": 10.0,
            "apartS": 0.0,
            "faulty": False,
            "upstream": None,
        }
        for name, text in given.items():
            kind = type(job[name])
            if name == "dueS":
                kind = float
            if name == "upstream":  # numbers of jobs of the scenario
                parts = [part.split("-") for part in text.split(",")]
                job[name] = [
                    f"req-{number:06d}" for part in parts for number in range(int(part[0]), int(part[-1]) + 1)
                ]
                continue
            job[name] = (
                text
                if kind is type(None)
                else kind(eval(text, {}) if kind is bool else (text if kind is str else float(text)))
            )
        return job

    def submit(self, words):
        given = dict(word.split("=", 1) for word in words)
        if "tenant" in given:
            self._submit_as_tenant(given)
            return
        number = len(self.jobs) + 1
        for _ in range(int(given.pop("count", 1))):
            job = {**self._job(given), "id": f"req-{number:06d}"}
            self.jobs[job["id"]] = job
            user = self.users[job["id"]] = self.new_user(job)
            self.user_loop.spawn(user.run(), job["id"])
            number += 1

    def new_user(self, job):
        return User(self, job)

    def _submit_as_tenant(self, given):
        """As `submit`, through a gateway; `id` is the first of the tenant's own ids."""
        tenant, own = given.pop("tenant"), given.pop("id", "")
        count, every = int(given.pop("count", 1)), float(given.pop("every", 0))
        for number in range(count):
            self.named[tenant] = self.named.get(tenant, 0) + 1
            name = f"{own}{self.named[tenant]}"  # tenants' ids are alike

            def begin(name=name):
                job = {**self._job(given), "id": to_job(self.tenancy.numbers[tenant], name), "tenant": tenant}
                self.jobs[job["id"]] = job
                user = self.users[job["id"]] = TenantUser(self, job, name)
                user.submitted_at = self.sim.time
                self.user_loop.spawn(user.run(), name)

            self.sim.call_later(number * every, begin)

    def _hosts(self, name):
        """Hosts by a scenario's names: a controller's number, state, cloud, workers, peers."""
        if name == "state":
            return ["10.2.0.1"]
        if name == "cloud":
            return ["10.2.0.2"]
        if name == "workers":
            return [worker.host for worker in self.cloud.rented.values()]
        if name in ("even-workers", "odd-workers"):
            return [worker.host for worker in self.cloud.rented.values()][name == "odd-workers" :: 2]
        if name == "peers":
            return [f"10.0.0.{n + 1}" for n in range(len(self.labels))]
        return [f"10.0.0.{int(name) + 1}"]

    def do(self, words):
        verb, *rest = words
        if verb in self.troubles.verbs:
            self.troubles.verbs[verb](*rest)
        elif verb == "submit":
            self.submit(rest)
        elif verb == "orphan":
            # The next job's record appears with an owner that is gone, after all scans.
            number = len(self.jobs) + 1
            self.submit(rest)
            job = self.jobs[f"req-{number:06d}"]
            public = {k: v for k, v in job.items() if k not in UNTOLD and v is not None}
            self.state.put(
                f"j/{job['id']}",
                {
                    "s": "open",
                    "o": [self.labels[0], 0],
                    "at": 1e9 + self.sim.time,
                    "spec": public,
                    "done": [],
                },
            )
        elif verb in ("tenant", "limits", "suspend", "resume", "remove"):
            self.tenancy.in_turn(verb, *rest)
        elif verb == "lower":
            # Without notice, the limits that the settings name as later ones.
            self.settings["state"].update(self.later_limits())
        elif verb == "crash-gateway":
            self.tenancy.crash(int(rest[0]), float(rest[1]))
        elif verb == "finals":
            # Jobs over long since, as an older version left them: final records under j/.
            for number in range(int(rest[0])):
                self.state.put(f"j/req-{500000 + number}", {"s": "done", "n": 1, "d": 1})
        elif verb == "resubmit":
            for number in rest[0].split(","):
                self.user_loop.spawn(self.users[f"req-{int(number):06d}"].submit_again(), "resubmit")
        elif verb == "crash":
            self.crash(int(rest[0]), float(rest[1]) if len(rest) > 1 else 3.0)
        elif verb == "leave":
            number, back_after = int(rest[0]), float(rest[1]) if len(rest) > 1 else 3.0
            if number in self.nodes:
                self.nodes[number].leave(lambda: self.crash(number, back_after))
        elif verb == "storm":
            self.storms.append(Storm(self, float(rest[0]), float(rest[1])))
        elif verb == "stall":
            loop = self.network.loops.get(f"10.0.0.{int(rest[0]) + 1}")
            if loop is not None and not loop.hung:
                loop.hang()
                self.sim.call_later(float(rest[1]), loop.wake)
        elif verb == "outage":
            self.state.outage(True)
            self.sim.call_later(float(rest[0]), self.state.outage, False)
        elif verb == "refuse":
            self.state.refuse(self._hosts(rest[0])[0], float(rest[1]))
        elif verb == "cut":
            mode = rest[3] if len(rest) > 3 else "lose"
            for a in self._hosts(rest[0]):
                for b in self._hosts(rest[1]):
                    if a != b:
                        self.network.cut(a, b, mode)
                        self.sim.call_later(float(rest[2]), self.network.heal, a, b)
        elif verb in ("cancel", "poll"):
            # Through any controller, or through the one named: "cancel 1,2 1".
            via = int(rest[1]) if len(rest) > 1 else None
            for number in rest[0].split(","):
                user = self.users[f"req-{int(number):06d}"]
                self.user_loop.spawn(getattr(user, verb)(via), verb)
        elif verb == "hang":
            up = sorted(
                (w for w in self.cloud.rented.values() if w.up and not w.dead),
                key=lambda w: (-len(w.tasks), w.name),
            )
            for worker in up[int(rest[0]) : int(rest[0]) + 1]:
                worker.hang(float(rest[1]))
        elif verb in ("die", "sick", "notice"):
            busy = sorted(
                (w for w in self.cloud.rented.values() if w.up and not w.dead),
                key=lambda w: (-len(w.tasks), w.name),
            )
            for worker in busy[: int(rest[0])]:
                if verb == "die":
                    worker.end()
                elif verb == "sick":
                    worker.sick = True
                else:
                    worker.notice_at = self.sim.time + float(rest[1])
                    worker.changed()
                    self.sim.call_later(float(rest[1]), self._take, worker)
        elif verb == "stuck":
            self.stuck_boots = int(rest[0])
        elif verb == "lose":
            {"state": self.state, "cloud": self.cloud}[rest[0]].lose += int(rest[1])
        elif verb == "lose-workers":
            for worker in self.cloud.rented.values():
                worker.lose += int(rest[0])
        elif verb == "late-launch":
            for worker in self.cloud.rented.values():
                worker.late.append(
                    (
                        lambda _m, path, body: (
                            path == "/commands" and any(order["verb"] == "launch" for order in body["orders"])
                        ),
                        float(rest[0]),
                    )
                )
        elif verb == "late-hire":
            self.cloud.late.append((lambda m, path, _b: (m, path) == ("POST", "/hosts"), float(rest[0])))
        elif verb == "late-write":
            self.state.late.append((lambda _m, path, _b: path == "/multi", float(rest[0])))
        elif verb == "late-writes":
            self.state.late_share = float(rest[0]), self.sim.time + float(rest[1])
        elif verb == "deaf":
            up = [worker for worker in self.cloud.rented.values() if worker.up and not worker.dead]
            for worker in self.sim.random.sample(up, round(float(rest[0]) * len(up))):
                worker.deaf_until = self.sim.time + float(rest[1])
        elif verb == "slow-state":
            self.state.slow_s = float(rest[0])
            self.sim.call_later(float(rest[1]), setattr, self.state, "slow_s", 0.0)
        elif verb == "cloud-outage":
            self.cloud.down = True
            self.sim.call_later(float(rest[0]), setattr, self.cloud, "down", False)
        else:
            raise ValueError(f"scenario: {words}")

    def _take(self, worker):
        self.cloud.rented.pop(worker.name, None)
        if not worker.dead:
            worker.end()

    def run(self):
        for when, words in self.actions:
            self.sim.call_at(when, self.do, words)
        logger = logging.getLogger("roadhead.loop")
        logger.addHandler(self.failures)
        try:
            self.sim.run_until(self.options["until"])
        finally:
            logger.removeHandler(self.failures)
        return self

    # What came of it

    def _untold(self, tenant, wanted):
        return [
            f"{user.own} of {tenant} was told {user.told}, not {wanted}"
            for user in self.users.values()
            if getattr(user, "tenant", None) == tenant and user.told != wanted
        ]

    def counter(self, name):
        return sum(node.counters.counts.get(name, 0) for node in self.nodes.values())

    def check(self):
        """Faults against the scenario's expectations."""
        for requests in self.troubles.odd_requests:
            requests.check()
        faults = [*self.broken, *self.failures.texts[:3]]
        if self.counter("duties_failed"):
            faults.append("a duty failed")
        for words in self.expectations:
            if words == ["rules"]:
                continue
            if words[0] == "told":
                wanted = {"done": "done", "cancelled": "cancelled"}[words[1]]
                ids = (
                    list(self.users)
                    if words[2] == "all"
                    else [f"req-{int(number):06d}" for number in words[2].split(",")]
                )
                for job_id in ids:
                    told = self.users[job_id].told
                    if told != wanted:
                        faults.append(f"{job_id} was told {told}, not {wanted}")
            elif words[0] == "refused":
                job_id = f"req-{int(words[2]):06d}"
                if self.refusals.get(job_id) != int(words[1]):
                    faults.append(f"{job_id} was not refused with {words[1]}")
            elif words[0] == "counter":
                value = self.counter(words[1])
                if not (value >= float(words[3]) if words[2] == ">=" else value <= float(words[3])):
                    faults.append(f"counter {words[1]} is {value}")
            elif words[0] == "keys":
                count = sum(key.startswith(words[1]) for key in self.state.data)
                if not (count >= int(words[3]) if words[2] == ">=" else count <= int(words[3])):
                    faults.append(f"{count} keys under {words[1]}")
            elif words[0] == "gone":
                number = self.tenancy.numbers[words[1]]
                record = self.state.data[f"c/t/{number:05d}"][0]
                left = self.tenancy.left_of(number)
                if record["state"] != "removed" or left:
                    faults.append(f"tenant {words[1]} is {record['state']}, {len(left)} keys are left")
            elif words[0] == "accepted_done":
                faults += [
                    f"{user.own} was accepted, and is {user.told}"
                    for user in self.users.values()
                    if user.tenant == words[1] and user.accepted and user.told != "done"
                ]
                # Whatever is stored was accepted, or would be if it were asked for.
                faults += [
                    f"{key} is open"
                    for key, (record, *_) in self.state.data.items()
                    if key.startswith("j/") and record["s"] == "open"
                ]
            elif words[0] == "tenants_told":
                faults += self._untold(words[1], words[2])
            elif words[0] == "refused_with":
                count = sum(
                    user.refused_with == int(words[1])
                    for user in self.users.values()
                    if user.job.get("tenant") == words[2]
                )
                if count < int(words[3]):
                    faults.append(f"{count} jobs of {words[2]} were refused with {words[1]}")
            elif words[0] == "odd_refused":
                refused = sum(requests.refused for requests in self.troubles.odd_requests)
                if refused < int(words[2]):
                    faults.append(f"{refused} odd requests were refused")
            elif words[0] == "running":
                if len(self.running) != int(words[1]):
                    faults.append(f"{len(self.running)} tasks run")
            elif words[0] == "machines":
                if len(self.cloud.rented) > int(words[1]):
                    faults.append(f"{len(self.cloud.rented)} machines are rented still")
            elif words[0] == "summary":
                lines = [line for node in self.nodes.values() for line in node.summary()["troubles"]]
                if not any(words[1] in line for line in lines):
                    faults.append(f"the summary does not say {words[1]!r}")
            elif words[0] == "done_before":
                later = self.users[f"req-{int(words[2]):06d}"].told_at
                for number in words[1].split(","):
                    if self.users[f"req-{int(number):06d}"].told_at > later:
                        faults.append(f"job {number} was done after {words[2]}")
            elif words[0] == "answered":
                for storm in self.storms:
                    if storm.answered < float(words[2]) * storm.polls:
                        faults.append(f"{storm.answered} of {storm.polls} polls were answered")
            elif words[0] == "state_requests":
                if self.state.requests > int(words[2]):
                    faults.append(f"{self.state.requests} requests to the state service")
            elif words[0] == "killed":
                if self.killed > int(words[2]):
                    faults.append(f"{self.killed} tasks were killed by their lease")
            elif words[0] == "given_back":
                if self.given_back > int(words[2]):
                    faults.append(f"{self.given_back} tasks were lost with machines returned")
            elif words[0] == "together":
                faults += [
                    f"the tasks of {job['id']} never ran together"
                    for job in self.jobs.values()
                    if job["shape"] == "group" and job["id"] not in self.together
                ]
            elif words[0] == "cancelled_gone":
                if self.longest_gone > float(words[2]):
                    faults.append(f"tasks of a cancelled job were there for {self.longest_gone:.1f} s")
            elif words[0] == "reruns":
                if self.reruns > int(words[2]):
                    faults.append(f"{self.reruns} tasks that were recorded as done ran anew")
            elif words[0] in ("begun", "mostly_done"):
                ids = [f"req-{int(number):06d}" for number in words[-1].split(",")]
                if words[0] == "begun":
                    begun = {
                        task.rpartition("/")[0] for task, at in self.started.items() if at < float(words[1])
                    }
                    faults += [f"{job} did not begin before {words[1]}" for job in ids if job not in begun]
                elif 2 * sum(self.users[job].told == "done" for job in ids) < len(ids):
                    faults.append(f"less than half of {words[-1]} is done")
            elif words[0] == "no_rooms":
                if self.no_rooms:
                    faults.append(f"{self.no_rooms} starts found no room")
            else:
                raise ValueError(f"scenario: {words}")
        return faults
