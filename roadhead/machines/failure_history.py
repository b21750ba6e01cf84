"""Which machines fail their tasks, and which failures are their jobs' own."""

import logging

log = logging.getLogger("roadhead.home")

DOUBT_REPORTS = 2  # report intervals in which an owner learns where else a job fails
JOBS_FAILING = 4  # on one machine, with no success between, that can't all be to blame


class FailureHistory:
    """`drain(machine)` gives a machine up. `report_s`: a worker's report interval."""

    def __init__(self, loop, registry, capacity_granter, report_s, drain, counters):
        self._loop = loop
        self._registry = registry
        self._capacity_granter = capacity_granter
        self._report_s = report_s
        self._drain = drain
        self._count = counters.add
        self._doubted = {}  # machines in doubt, in order as a set

    def on_task_exited(self, machine, task):
        """A task of the machine has ended."""
        registry, now = self._registry, self._loop.now()
        if not machine.is_busy():
            machine.idle_since = now
        if task.cause == "done":
            machine.tasks_done += 1
            machine.errors.clear()
            machine.quarantine_count = 0
            registry.proven[task.job] = now
            registry.faulty.pop(task.job, None)
            self._acquit(machine)
        elif task.cause == "error":
            machine.errors[task.job] = machine.errors.get(task.job, 0) + 1
            if not machine.draining and not machine.quarantined_until and sum(self._blame(machine)) > 1:
                # Its owner, who knows of other machines too, may find the fault with the job.
                machine.quarantined_until = now + DOUBT_REPORTS * self._report_s * 2 ** min(
                    machine.quarantine_count, 6
                )
                machine.quarantine_count += 1
                self._doubted[machine] = True
                self._capacity_granter.on_capacity_changed(machine)

    def _blame(self, machine, proven=False):
        """How often tasks of each job failed there, those left out that fail everywhere."""
        registry = self._registry
        return [
            count
            for job, count in machine.errors.items()
            if job not in registry.faulty and (not proven or job in registry.proven)
        ]

    def _acquit(self, machine):
        if machine.quarantined_until:
            machine.quarantined_until = 0.0
            self._doubted.pop(machine, None)
            self._capacity_granter.on_capacity_changed(machine)

    def evaluate(self, machine):
        """What speaks against a machine: two failures in a row of jobs that succeed elsewhere, or
        as many jobs failing as are not all faulty. Else it is tried again, ever more slowly.
        """
        if sum(self._blame(machine, True)) > 1 or len(self._blame(machine)) >= JOBS_FAILING:
            log.info("machine %s fails its tasks: %s", machine.id, sorted(machine.errors))
            self._count("machines_faulty")
            self._doubted.pop(machine, None)
            self._drain(machine)
        else:
            self._acquit(machine)

    def on_job_fails(self, job):
        self._registry.faulty[job] = self._loop.now()
        for machine in list(self._doubted):
            if sum(self._blame(machine)) < 2:
                self._acquit(machine)

    def forget_machine(self, machine):
        """The machine is this home's no longer."""
        self._doubted.pop(machine, None)
