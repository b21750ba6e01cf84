"""Tells machines that fail their tasks from jobs that fail on every machine."""

import logging

log = logging.getLogger("roadhead.home")

QUARANTINE_REPORTS = 2  # report intervals given to owners to find out whether the job fails elsewhere too
MAX_DOUBLINGS = 16
MIN_FAILING_JOBS = 4  # so many jobs failing on one machine, with no success between, are not all at fault


class FailureHistory:
    """Counts failures by machine and job, and drains machines at fault.

    `drain(machine)` takes a machine out of use; `workers` are their settings, with the report interval and
    the lease in seconds.
    """

    def __init__(self, loop, registry, capacity_granter, workers, drain, counters):
        self._loop = loop
        self._registry = registry
        self._capacity_granter = capacity_granter
        self._workers = workers
        self._drain = drain
        self._count = counters.add
        self._quarantined = {}  # quarantined machines -> True; an ordered set

    def on_task_exited(self, machine, task):
        """Updates the failure counts after a task of the machine has exited."""
        registry, now = self._registry, self._loop.now()
        if not machine.is_busy():
            machine.idle_since = now
        if task.cause == "done":
            machine.errors.clear()
            machine.quarantine_count = 0
            registry.proven[task.job] = now
            registry.faulty.pop(task.job, None)
            self._end_quarantine(machine)
        elif task.cause == "error":
            machine.errors[task.job] = machine.errors.get(task.job, 0) + 1
            if (
                not machine.draining
                and not machine.quarantined_until
                and sum(self._failure_counts(machine)) > 1
            ):
                # Grant nothing for a while: the job's owner sees other machines too, and may find the job
                # at fault.
                machine.quarantined_until = now + self._quarantine_s(machine)
                machine.quarantine_count += 1
                self._quarantined[machine] = True
                self._capacity_granter.on_capacity_changed(machine)

    def _quarantine_s(self, machine):
        """How long the machine is quarantined now: other jobs that can run nowhere else wait meanwhile."""
        first_s = QUARANTINE_REPORTS * self._workers.report_s
        return min(self._workers.lease_s, first_s * 2 ** min(machine.quarantine_count, MAX_DOUBLINGS))

    def _failure_counts(self, machine, proven=False):
        """Failures of each job on the machine, without jobs known to fail everywhere.

        `proven`: only those of jobs that have succeeded on a machine of this leader.
        """
        registry = self._registry
        return [
            count
            for job, count in machine.errors.items()
            if job not in registry.faulty and (not proven or job in registry.proven)
        ]

    def _end_quarantine(self, machine):
        if machine.quarantined_until:
            machine.quarantined_until = 0.0
            self._quarantined.pop(machine, None)
            self._capacity_granter.on_capacity_changed(machine)

    def evaluate(self, machine):
        """Drains a quarantined machine if its failures are its own, else puts it back into use.

        They are its own after two failures in a row of jobs that succeed elsewhere, or when MIN_FAILING_JOBS
        different jobs fail there. Each quarantine is twice as long as the last, up to a lease.
        """
        if (
            sum(self._failure_counts(machine, True)) > 1
            or len(self._failure_counts(machine)) >= MIN_FAILING_JOBS
        ):
            log.info("machine %s drained: tasks of jobs %s failed there", machine.id, sorted(machine.errors))
            self._count("machines_faulty")
            self._quarantined.pop(machine, None)
            self._drain(machine)
        else:
            self._end_quarantine(machine)

    def on_job_fails(self, job):
        """Records that a job fails wherever it runs, and ends quarantines that rest on it."""
        self._registry.faulty[job] = self._loop.now()
        for machine in list(self._quarantined):
            if sum(self._failure_counts(machine)) < 2:
                self._end_quarantine(machine)

    def forget_machine(self, machine):
        """Forgets a machine that this controller no longer leads."""
        self._quarantined.pop(machine, None)
