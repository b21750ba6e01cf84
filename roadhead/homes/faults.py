"""Which machines fail their tasks, and which failures are their jobs' own."""

import logging

log = logging.getLogger("roadhead.home")

DOUBT_REPORTS = 2  # report intervals in which an owner learns where else a job fails
JOBS_FAILING = 4  # on one machine, with no success between, that can't all be to blame


class Faults:
    """`drain(machine)` gives a machine up. `report_s`: a worker's report interval."""

    def __init__(self, loop, known, rooms, report_s, drain, counters):
        self._loop = loop
        self._known = known
        self._rooms = rooms
        self._report_s = report_s
        self._drain = drain
        self._count = counters.add
        self._doubted = {}  # machines in doubt, in order as a set

    def exited(self, machine, task):
        """A task of the machine has ended."""
        known, now = self._known, self._loop.now()
        if not machine.busy():
            machine.idle_since = now
        if task.cause == "done":
            machine.dones += 1
            machine.errors.clear()
            machine.doubts = 0
            known.proven[task.job] = now
            known.faulty.pop(task.job, None)
            self._acquit(machine)
        elif task.cause == "error":
            machine.errors[task.job] = machine.errors.get(task.job, 0) + 1
            if not machine.draining and not machine.doubt_until and sum(self._blame(machine)) > 1:
                # Its owner, who knows of other machines too, may find the fault with the job.
                machine.doubt_until = now + DOUBT_REPORTS * self._report_s * 2 ** min(machine.doubts, 6)
                machine.doubts += 1
                self._doubted[machine] = True
                self._rooms.changed(machine)

    def _blame(self, machine, proven=False):
        """How often tasks of each job failed there, those left out that fail everywhere."""
        known = self._known
        return [
            count
            for job, count in machine.errors.items()
            if job not in known.faulty and (not proven or job in known.proven)
        ]

    def _acquit(self, machine):
        if machine.doubt_until:
            machine.doubt_until = 0.0
            self._doubted.pop(machine, None)
            self._rooms.changed(machine)

    def judge(self, machine):
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
        self._known.faulty[job] = self._loop.now()
        for machine in list(self._doubted):
            if sum(self._blame(machine)) < 2:
                self._acquit(machine)

    def let_go(self, machine):
        """The machine is this home's no longer."""
        self._doubted.pop(machine, None)
