"""Checks the protocol's rules continuously against what the emulated workers really run."""

from roadhead.local.scenario import FREE

UNANSWERED_S = 75.0  # after all faults have ended, a job without a response for so long counts as forgotten


class RuleChecker:
    """Collects violations of the rules in `violations`; the other attributes record what really happened."""

    def __init__(self, world):
        self._world = world
        self.violations = []
        self.completed = set()
        self.running = {}  # task -> worker
        self.started = {}  # task -> time of its first start
        self.cancelled_at = {}  # job id -> when its user first saw it cancelled
        self.recorded = set()  # tasks that a stored record has called done, if a scenario expects `reruns`
        self.reruns = 0  # starts of recorded tasks
        self.cancelled_starts = 0  # starts after a confirmed cancellation, even if within `cancel_s`
        self.longest_gone = 0.0  # longest time in s that a task ran on after its user saw its job cancelled

    def record_violation(self, rule, text):
        """Records a violation of a rule."""
        self.violations.append(f"{self._world.sim.time:.1f} {rule}: {text}")

    def all_completed(self, job):
        """Returns whether all tasks of a job have completed."""
        return all(f"{job['id']}/{index}" in self.completed for index in range(job["legs"]))

    def on_task_started(self, task, worker):
        """Records that a task starts on a worker, and checks whether it may."""
        job = self._world.job_of(task)
        self._check_order(task, job)
        other = self.running.get(task)
        if other is not None and other is not worker:
            self.record_violation("ran_twice", f"{task} on {other.name} and {worker.name}")
            self._world.explain(("task", task), ("machine", other.name), ("machine", worker.name))
        confirmed_at = self.cancelled_at.get(job["id"])
        self.cancelled_starts += confirmed_at is not None
        if confirmed_at is not None and self._world.sim.time > confirmed_at + self._cancel_s:
            self.record_violation("ran_cancelled", f"{task} starts, cancelled at {confirmed_at:.1f}")
        self._check_place(task, job, worker)
        self.reruns += task in self.recorded
        self.running[task] = worker
        self.started.setdefault(task, self._world.sim.time)
        self._check_quota(task)

    def _check_order(self, task, job):
        for upstream_id in job.get("upstream") or ():
            if not self.all_completed(self._world.jobs[upstream_id]):
                self.record_violation("too_early", f"{task} starts before {upstream_id} is done")

    def _check_place(self, task, job, worker):
        if (worker.spot and not job["loaners"]) or job["paddock"] not in (None, worker.zone):
            self.record_violation(
                "wrong_place", f"{task} on {worker.name} (zone {worker.zone}, spot {worker.spot})"
            )
        if not (job["together"] or job["scatter"]):
            return
        zones = [w.zone for t, w in self.running.items() if self._world.job_of(t) is job and t != task]
        if job["together"] and any(zone != worker.zone for zone in zones):
            self.record_violation(
                "wrong_place", f"{task} in {worker.zone}, not in the zone of its job's other tasks"
            )
        if job["scatter"] and zones.count(worker.zone) + 1 > (job["legs"] + 1) // 2:
            self.record_violation(
                "wrong_place", f"{task} in {worker.zone}, which has half of its job's tasks already"
            )

    def _check_quota(self, task):
        tenancy, max_cpus = self._world.tenancy, self._world.options["cpus_max"]
        if tenancy is not None and (over := tenancy.check_limits(task, self.running)):
            self.record_violation("quota", f"{task} exceeds the limit of {over}")
        team = self._world.job_of(task)["crew"]
        if not max_cpus or team == FREE:
            return
        team_jobs = [job for t in self.running if (job := self._world.job_of(t))["crew"] == team]
        if sum(job["vcpus"] for job in team_jobs) > max_cpus + 1e-6:
            self.record_violation("quota", f"{task} exceeds cpus_max of team {team}")

    def on_task_gone(self, task, worker):
        """Records that a task no longer runs on a worker."""
        if self.running.get(task) is worker:
            del self.running[task]

    def upstream_users(self, job_id):
        """Returns the users of all jobs upstream of a job, direct and indirect."""
        to_visit, seen = [job_id], {}
        while to_visit:
            for name in self._world.jobs[to_visit.pop()].get("upstream") or ():
                if name not in seen and name in self._world.jobs:
                    seen[name] = self._world.users[name]
                    to_visit.append(name)
        return list(seen.values())

    def upstream_cancelled_at(self, job_id):
        """Returns the times at which users of upstream jobs first saw the cancellation they had requested."""
        return [
            user.cancelled_seen_at
            for user in self.upstream_users(job_id)
            if user.has_requested_cancel and user.cancelled_seen_at is not None
        ]

    async def watch(self):
        """Checks twice a second for violations that no single event reveals."""
        while True:
            await self._world.sim.sleep(0.5)
            for task in self.running:
                self._check_cancelled(task)
            self._check_answered()
            if any(words[0] == "reruns" for words in self._world.expectations):
                self._record_done_tasks()

    def _check_cancelled(self, task):
        now = self._world.sim.time
        confirmed_at = self.cancelled_at.get(task.rpartition("/")[0])
        if confirmed_at is not None:
            self.longest_gone = max(self.longest_gone, now - confirmed_at)
            if now > confirmed_at + self._cancel_s:
                self.record_violation("ran_cancelled", f"{task} still runs, cancelled at {confirmed_at:.1f}")
        tenancy = self._world.tenancy
        if tenancy is not None:
            tenant = self._world.job_of(task).get("tenant")
            confirmed_at = tenancy.removed_at.get(tenancy.numbers.get(tenant))
            if confirmed_at is not None and now > confirmed_at + 2 * self._cancel_s:
                self.record_violation(
                    "ran_cancelled", f"{task} still runs, its tenant was removed at {confirmed_at:.1f}"
                )

    @property
    def _cancel_s(self):
        return self._world.settings["workers"]["cancel_s"]

    def _record_done_tasks(self):
        for key, (record, *_rest) in self._world.state.data.items():
            if key.startswith("j/") and record["s"] == "open":
                edges = record["done"]
                self.recorded.update(
                    f"{key[2:]}/{index}"
                    for at in range(0, len(edges), 2)
                    for index in range(edges[at], edges[at + 1])
                )

    def _check_answered(self):
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
                    "forgotten", f"{user.id}: no request answered since {user.answered_at:.1f}"
                )
