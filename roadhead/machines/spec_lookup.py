"""What a shard leader has to know of a job whose task it found on a machine: read from the job's record."""

import logging

from roadhead.jobs.job import FINAL, spec_of
from roadhead.jobs.records import find
from roadhead.machines.machine import TaskRequirements
from roadhead.state.client import UnavailableError, UnknownOutcomeError

log = logging.getLogger("roadhead.homes")


class SpecLookup:
    """Reads records of jobs that are not known here, each once at a time, until the state service answers."""

    def __init__(self, loop, state, retry_s):
        self._loop = loop
        self._state = state
        self._retry_s = retry_s
        self._shard_leader = None
        self._under_way = set()  # ids of jobs

    def begin(self, home):
        """Another incarnation's Home: what was asked for the one before is dropped."""
        self._shard_leader = home
        self._under_way.clear()

    def need(self, job_id):
        """A task of that job was found: its Home is told what the job needs, or that it is over."""
        if job_id not in self._under_way:
            self._under_way.add(job_id)
            self._loop.spawn(self._look_up(job_id, self._shard_leader), f"look up {job_id}")

    async def _look_up(self, job_id, home):
        while home is self._shard_leader:
            try:
                record, _stamp = await find(self._state, job_id)
            except (UnavailableError, UnknownOutcomeError):
                await self._loop.sleep(self._retry_s)
                continue
            self._tell(home, job_id, record)
            break
        self._under_way.discard(job_id)

    @staticmethod
    def _tell(home, job_id, record):
        if record is None:
            log.error("task of unknown job %s found", job_id)
        if record is None or record["s"] in FINAL:
            home.task_commands.set_job_requirements(job_id, None, over=True)
            return
        spec = spec_of(record)
        home.registry.owners.setdefault(job_id, tuple(record["o"]))
        requirements = TaskRequirements(
            (spec.cpus, spec.gpus, spec.memory),
            spec.image or "",
            spec.image_gb,
            spec.save_s,
            spec.checkpoint_s > 0,
        )
        home.task_commands.set_job_requirements(job_id, requirements, over=False)
