"""Checks that no job waits for long beside a machine with room for it, once all faults have ended."""

LEFT_WAITING_S = 90.0
CHECK_EVERY_S = 5.0


class StarvationCheck:
    """Compares waiting jobs with the workers' free capacity, and records violations of `left_waiting`."""

    def __init__(self, world):
        self._world = world
        self._since = {}  # job id -> first time of the current wait beside a machine with room for it

    async def watch(self):
        """Checks repeatedly from the time `settled` on; returns at once if a scenario sets none."""
        settled = self._world.options["settled"]
        while settled:
            await self._world.sim.sleep(CHECK_EVERY_S)
            if self._world.sim.time > settled:
                self._check()

    def _check(self):
        now = self._world.sim.time
        waiting = self._waiting_beside_room()
        for job_id in [job_id for job_id in self._since if job_id not in waiting]:
            del self._since[job_id]
        for job_id in waiting:
            since = self._since.setdefault(job_id, now)
            if now - since > LEFT_WAITING_S:
                self._world.record_violation(
                    "left_waiting", f"{job_id} waits since {since:.1f}, though a machine has room for it"
                )
                self._since[job_id] = now

    def _waiting_beside_room(self):
        """Returns the ids of the jobs of which a task is on no machine, though a machine could run it."""
        machines = [worker for worker in self._world.cloud.rented.values() if self._can_serve(worker)]
        present = {
            task_attempt.task: self._world.job_of(task_attempt.task)["vcpus"]
            for worker in self._world.cloud.rented.values()
            for task_attempt in worker.tasks.values()
            if task_attempt.status != "exited"
        }
        max_cpus = self._world.options["cpus_max"] or float("inf")
        return {
            job["id"]
            for job in self._world.jobs.values()
            if self._may_run(job)
            and sum(present.values()) + job["vcpus"] <= max_cpus
            and self._has_absent_task(job, present)
            and any(self._fits(job, worker) for worker in machines)
        }

    @staticmethod
    def _can_serve(worker):
        return worker.up and not (worker.dead or worker.sick or worker.loop.hung) and worker.notice_at is None

    def _may_run(self, job):
        """Returns whether only a lack of room can keep a job waiting.

        Jobs whose placement depends on other tasks count as False.
        """
        user = self._world.users[job["id"]]
        is_restricted = job["together"] or job["scatter"] or job["faulty"] or job["shape"] != "batch"
        upstream = [self._world.jobs[name] for name in job["upstream"] or () if name in self._world.jobs]
        return (
            user.accepted
            and not is_restricted
            and not user.has_requested_cancel
            and not any(other.has_requested_cancel for other in self._world.upstream_users(job["id"]))
            and all(self._world.all_completed(upstream_job) for upstream_job in upstream)
        )

    def _has_absent_task(self, job, present):
        names = (f"{job['id']}/{index}" for index in range(job["legs"]))
        return any(name not in present and name not in self._world.completed for name in names)

    def _fits(self, job, worker):
        if (worker.spot and not job["loaners"]) or job["paddock"] not in (None, worker.zone):
            return False
        others = [
            self._world.job_of(task_attempt.task)
            for task_attempt in worker.tasks.values()
            if task_attempt.status != "exited"
        ]
        return all(
            sum(other[name] for other in others) + job[name] <= worker.kind[name]
            for name in ("vcpus", "gpus", "ramGb")
        )
