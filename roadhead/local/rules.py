"""Checks the Rules of the protocol at every step, against what really runs where."""

from roadhead.local.scenario import FREE

UNANSWERED_S = 75.0  # once all troubles are over, without an answer for that long a job counts as forgotten


class RuleChecker:
    """`violations`: the rules broken so far; the rest is what happened, as no controller knows it."""

    def __init__(self, world):
        self._world = world
        self.violations = []
        self.completed = set()
        self.running = {}  # task -> worker
        self.started = {}  # task -> when it first did
        self.cancelled_at = {}  # job -> when its user was told so
        self.recorded = set()  # tasks that some record called done once, where a scenario asks for it
        self.reruns = 0  # starts of those
        self.cancelled_starts = 0  # starts after a confirmed cancellation, also within `cancel_s`
        self.longest_gone = 0.0  # after its user was told of a cancellation, a task was still there

    def record_violation(self, rule, text):
        self.violations.append(f"{self._world.sim.time:.1f} {rule}: {text}")

    def all_completed(self, job):
        return all(f"{job['id']}/{index}" in self.completed for index in range(job["legs"]))

    def on_machine(self, task, worker):
        """A task starts there: checks whether it may, and notes it."""
        job = self._world.job_of(task)
        self._check_order(task, job)
        other = self.running.get(task)
        if other is not None and other is not worker:
            self.record_violation("ran_twice", f"{task} on {other.name} and {worker.name}")
            self._world.explain(("task", task), ("machine", other.name), ("machine", worker.name))
        told = self.cancelled_at.get(job["id"])
        self.cancelled_starts += told is not None
        if told is not None and self._world.sim.time > told + self._cancel_s:
            self.record_violation("ran_cancelled", f"{task} starts")
        self._check_place(task, job, worker)
        self.reruns += task in self.recorded
        self.running[task] = worker
        self.started.setdefault(task, self._world.sim.time)
        self._check_quota(task)

    def _check_order(self, task, job):
        for above in job.get("upstream") or ():
            if not self.all_completed(self._world.jobs[above]):
                self.record_violation("too_early", f"{task} starts before {above} is done")

    def _check_place(self, task, job, worker):
        if (worker.spot and not job["loaners"]) or job["paddock"] not in (None, worker.zone):
            self.record_violation("wrong_place", f"{task} on {worker.name}")
        zones = [w.zone for t, w in self.running.items() if self._world.job_of(t) is job and t != task]
        if job["together"] and any(zone != worker.zone for zone in zones):
            self.record_violation("wrong_place", f"{task} away from its job")
        if job["scatter"] and zones.count(worker.zone) + 1 > (job["legs"] + 1) // 2:
            self.record_violation("wrong_place", f"{task} too close to its job")

    def _check_quota(self, task):
        tenancy, most = self._world.tenancy, self._world.options["cpus_max"]
        if tenancy is not None and (over := tenancy.check_limits(task, self.running)):
            self.record_violation("quota", f"{over}: {task}")
        team = self._world.job_of(task)["crew"]
        ours = [job for t in self.running if (job := self._world.job_of(t))["crew"] == team]
        if most and team != FREE and sum(job["vcpus"] for job in ours) > most + 1e-6:
            self.record_violation("quota", task)

    def off_machine(self, task, worker):
        if self.running.get(task) is worker:
            del self.running[task]

    def upstream_users(self, job_id):
        """The users of the jobs that it needs, directly or through others."""
        todo, seen = [job_id], {}
        while todo:
            for name in self._world.jobs[todo.pop()].get("upstream") or ():
                if name not in seen and name in self._world.jobs:
                    seen[name] = self._world.users[name]
                    todo.append(name)
        return list(seen.values())

    def cancelled_above(self, job_id):
        """When users of jobs that it needs were told that those are cancelled, as they had asked."""
        return [
            user.told_cancelled_at
            for user in self.upstream_users(job_id)
            if user.asked_to_cancel and user.told_cancelled_at is not None
        ]

    async def watch(self):
        """Looks twice a second at what no single event shows."""
        while True:
            await self._world.sim.sleep(0.5)
            for task in self.running:
                self._check_gone(task)
            self._check_known()
            if any(words[0] == "reruns" for words in self._world.expectations):
                self._note_recorded()

    def _check_gone(self, task):
        now = self._world.sim.time
        told = self.cancelled_at.get(task.rpartition("/")[0])
        if told is not None:
            self.longest_gone = max(self.longest_gone, now - told)
            if now > told + self._cancel_s:
                self.record_violation("ran_cancelled", task)
        tenancy = self._world.tenancy
        if tenancy is not None:
            tenant = self._world.job_of(task).get("tenant")
            told = tenancy.removed_at.get(tenancy.numbers.get(tenant))
            if told is not None and now > told + 2 * self._cancel_s:
                self.record_violation("ran_cancelled", f"{task} of a tenant that is removed")

    @property
    def _cancel_s(self):
        return self._world.settings["workers"]["cancel_s"]

    def _note_recorded(self):
        for key, (record, *_rest) in self._world.state.data.items():
            if key.startswith("j/") and record["s"] == "open":
                edges = record["done"]
                self.recorded.update(
                    f"{key[2:]}/{index}"
                    for at in range(0, len(edges), 2)
                    for index in range(edges[at], edges[at + 1])
                )

    def _check_known(self):
        settled = self._world.options["settled"]
        if not settled or self._world.sim.time < settled + UNANSWERED_S:
            return
        for user in self._world.users.values():
            if (
                user.accepted
                and user.last_state not in ("done", "cancelled")
                and (self._world.sim.time > max(settled, user.answered_at) + UNANSWERED_S)
            ):
                self.record_violation(
                    "forgotten", f"{user.id}: no question answered since {user.answered_at:.1f}"
                )
