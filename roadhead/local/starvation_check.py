"""Whether a job waits for long, once all troubles are over, while a machine that fits it has room."""

LEFT_WAITING_S = 90.0
LOOK_EVERY_S = 5.0


class StarvationCheck:
    """Looks now and then at what really runs where, and breaks the rule `left_waiting`."""

    def __init__(self, world):
        self._world = world
        self._since = {}  # job -> since when it has been seen to wait beside room for it

    async def watch(self):
        settled = self._world.options["settled"]
        while settled:
            await self._world.sim.sleep(LOOK_EVERY_S)
            if self._world.sim.time > settled:
                self._look()

    def _look(self):
        now = self._world.sim.time
        waiting = self._waiting_beside_room()
        for job_id in [job_id for job_id in self._since if job_id not in waiting]:
            del self._since[job_id]
        for job_id in waiting:
            since = self._since.setdefault(job_id, now)
            if now - since > LEFT_WAITING_S:
                self._world.record_violation("left_waiting", f"{job_id} since {since:.1f}, with room for it")
                self._since[job_id] = now

    def _waiting_beside_room(self):
        """The jobs with a task that is nowhere, though one could run."""
        machines = [worker for worker in self._world.cloud.rented.values() if self._serves(worker)]
        present = {
            item.task: self._world.job_of(item.task)["vcpus"]
            for worker in self._world.cloud.rented.values()
            for item in worker.tasks.values()
            if item.status != "exited"
        }
        most = self._world.options["cpus_max"] or float("inf")
        return {
            job["id"]
            for job in self._world.jobs.values()
            if self._may_run(job)
            and sum(present.values()) + job["vcpus"] <= most
            and self._has_absent_task(job, present)
            and any(self._fits(job, worker) for worker in machines)
        }

    @staticmethod
    def _serves(worker):
        return worker.up and not (worker.dead or worker.sick or worker.loop.hung) and worker.notice_at is None

    def _may_run(self, job):
        """Whether nothing but room keeps it from running; jobs whose places depend on others are left out."""
        user = self._world.users[job["id"]]
        bound = job["together"] or job["scatter"] or job["faulty"] or job["shape"] != "batch"
        above = [self._world.jobs[name] for name in job["upstream"] or () if name in self._world.jobs]
        return (
            user.accepted
            and not bound
            and not user.asked_to_cancel
            and not any(other.asked_to_cancel for other in self._world.upstream_users(job["id"]))
            and all(self._world.all_completed(one) for one in above)
        )

    def _has_absent_task(self, job, present):
        names = (f"{job['id']}/{index}" for index in range(job["legs"]))
        return any(name not in present and name not in self._world.completed for name in names)

    def _fits(self, job, worker):
        if (worker.spot and not job["loaners"]) or job["paddock"] not in (None, worker.zone):
            return False
        others = [self._world.job_of(item.task) for item in worker.tasks.values() if item.status != "exited"]
        return all(
            sum(other[name] for other in others) + job[name] <= worker.kind[name]
            for name in ("vcpus", "gpus", "ramGb")
        )
