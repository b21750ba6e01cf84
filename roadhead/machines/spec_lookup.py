"""Looks up the jobs of tasks that a shard leader found on machines, in the jobs' records."""

import logging

from roadhead.jobs.job import FINAL, spec_of
from roadhead.jobs.records import find
from roadhead.machines.task import TaskRequirements
from roadhead.state.client import UnavailableError, UnknownOutcomeError

log = logging.getLogger("roadhead.homes")


class SpecLookup:
    """Reads records of unknown jobs, one read per job at a time, until the state service answers.

    `retry_s`: seconds between two tries.
    """

    def __init__(self, loop, state, retry_s):
        self._loop = loop
        self._state = state
        self._retry_s = retry_s
        self._leader = None
        self._pending_jobs = set()  # ids of jobs that are being looked up

    def begin(self, leader):
        """Starts an incarnation with its ShardLeader; lookups for the previous one are dropped."""
        self._leader = leader
        self._pending_jobs.clear()

    def need(self, job_id):
        """Starts a lookup, after which the ShardLeader is told the requirements, or that the job is over."""
        if job_id not in self._pending_jobs:
            self._pending_jobs.add(job_id)
            self._loop.spawn(self._look_up(job_id, self._leader), f"look up {job_id}")

    async def _look_up(self, job_id, leader):
        while leader is self._leader:
            try:
                record, _stamp = await find(self._state, job_id)
            except (UnavailableError, UnknownOutcomeError):
                await self._loop.sleep(self._retry_s)
                continue
            self._tell(leader, job_id, record)
            break
        self._pending_jobs.discard(job_id)

    @staticmethod
    def _tell(leader, job_id, record):
        if record is None:
            log.error("found a task of job %s, which has no record", job_id)
        if record is None or record["s"] in FINAL:
            leader.task_commands.set_job_requirements(job_id, None, over=True)
            return
        spec = spec_of(record)
        leader.registry.owners.setdefault(job_id, tuple(record["o"]))
        requirements = TaskRequirements(
            (spec.cpus, spec.gpus, spec.memory),
            spec.image or "",
            spec.image_gb,
            spec.save_s,
            spec.checkpoint_s > 0,
        )
        leader.task_commands.set_job_requirements(job_id, requirements, over=False)
