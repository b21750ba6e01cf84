"""Handles what shard leaders report about task attempts, and decides what follows for each task."""

import logging
from typing import NamedTuple

from roadhead.jobs.job import Binding
from roadhead.jobs.write_queue import LATER, URGENT
from roadhead.machines.task import LAUNCHING
from roadhead.wire import frames

log = logging.getLogger("roadhead.jobs")

MAX_PAUSE_LEASES = 5  # in workers' leases, between two tries of a job that fails wherever it runs
FIRST_PAUSE_LEASES = 1 / 4
PAUSE_GROWTH = 1.5


class TaskReport(NamedTuple):
    """The state of one attempt of a task, as the shard leader of its machine reports it."""

    machine: str
    zone: str
    job: str
    index: int
    attempt: int
    status: str
    cause: str | None

    @property
    def exited(self):
        """Whether the attempt has ended."""
        return self.status == "exited"

    @property
    def completed(self):
        """Whether the attempt has ended with its task done."""
        return self.exited and self.cause == "done"


class TaskReports:
    """Applies the reports of shard leaders to the jobs of a store (jobs/job_store.py)."""

    def __init__(self, context, store):
        self._context = context
        self._send = context.send
        self._store = store

    def count_unconfirmed(self, age_s):
        """Returns how many tasks were bound more than `age_s` seconds ago and reported by nobody since."""
        latest = self._context.loop.now() - age_s
        return sum(
            binding.status == LAUNCHING and binding.bound_at < latest
            for job in self._store.jobs.values()
            for binding in job.bound.values()
        )

    def on_free(self, frame):
        """Handles an attempt that is surely on no machine."""
        job = self._store.jobs.get(frame.job)
        if job is None:
            return
        binding = job.bound.get(frame.index)
        if binding is None or binding.attempt != frame.attempt:
            return
        # Its task is done, but that is not durable yet
        if binding.status == "exited" and job.state == "open":
            return
        self._store.unbind(job, frame.index)

    def on_tasks(self, label, frame):
        """Handles a shard leader's report of the tasks on one machine."""
        for row in frame.rows:
            self._on_task(label, TaskReport(frame.machine, frame.zone, *row))

    def _on_task(self, label, report):
        """Handles one attempt of a report; `label` is the shard leader that sent it."""
        job = self._store.jobs.get(report.job)
        if job is None:
            if report.job in self._store.final_records:
                self._dismiss(label, report)
            return
        binding = job.bound.get(report.index)
        if binding is None and self._is_inherited(job, report):
            binding = self._bind_inherited(job, report)
        if binding is None or binding.attempt != report.attempt:
            if self._completes(job, binding, report):
                self._done(job, report.index)
            self._dismiss(label, report)
            return
        self._log_start(job, binding, report)
        self._progress(label, job, binding, report)

    @staticmethod
    def _is_inherited(job, report):
        """Returns whether this may be a task of an inherited job that the previous owner started."""
        if not job.unreconciled_leaders or report.index >= job.spec.tasks or report.index in job.done:
            return False
        if report.exited:
            return report.completed and job.state == "open"
        return job.state in ("open", "cancelled")

    def _bind_inherited(self, job, report):
        """Binds the attempt of an inherited job on the machine that reports it."""
        if report.index in job.unstarted:
            job.unstarted.remove(report.index)
        binding = Binding(report.machine, report.zone, report.attempt, "", self._context.loop.now())
        job.bound[report.index] = binding
        return binding

    @staticmethod
    def _completes(job, binding, report):
        """Returns whether an attempt other than the bound one shows that its task is done."""
        if not report.completed or job.state != "open" or report.index >= job.spec.tasks:
            return False
        return binding is not None or report.index not in job.done

    def _log_start(self, job, binding, report):
        """Logs that the bound attempt has started to run."""
        if report.status != "running" or binding.status == "running" or not log.isEnabledFor(logging.DEBUG):
            return
        log.debug(
            "task %s/%d of class %s runs %.2f s after submission, %.2f s of them on %s",
            job.id,
            report.index,
            job.spec.klass,
            self._context.time_of_day() - job.accepted_at,
            self._context.loop.now() - binding.bound_at,
            report.machine,
        )

    def _progress(self, label, job, binding, report):
        """Handles a new state of the attempt that is bound."""
        store = self._store
        binding.status = report.status
        binding.zone = report.zone
        if not report.exited:
            store.accounts.hold(job, binding)
            if job.state != "open":
                self._dismiss(label, report)
            return
        store.accounts.release_held(job, binding)
        if report.completed and job.state == "open":
            self._done(job, report.index)
            return
        store.forget(job.id, [(report.index, binding)])
        if report.cause in ("error", "no_such"):
            self._context.count("task_errors")
            self._failed(job, report.machine)
        store.unbind(job, report.index)

    def _failed(self, job, machine):
        """Handles a failed task. A job that fails everywhere is retried ever more slowly, on few machines."""
        context = self._context
        if job.failed(machine):
            log.info(
                "job %s of class %s fails wherever it runs: it is retried now and then until it is cancelled",
                job.id,
                job.spec.klass,
            )
            context.count("jobs_faulty")
            self._store.version += 1
            for label in context.member.term.members:
                self._send(label, frames.JobFaulty(job.id))
        now = context.loop.now()
        if job.suspected_faulty and job.not_before <= now:
            pause_s = context.lease_s * min(
                MAX_PAUSE_LEASES, FIRST_PAUSE_LEASES * PAUSE_GROWTH**job.retry_pauses
            )
            job.retry_pauses += 1
            job.not_before = now + pause_s
            context.loop.call_later(pause_s, context.changed)

    def _done(self, job, index):
        """Handles a task that is done: records it, and ends the job after its last one."""
        binding = job.bound.get(index)
        if job.spec.kind == "daemon":
            self._replica_ended(job, index, binding)
            return
        if job.failed_on:
            self._runs_after_all(job)
        if not job.done.add(index):
            return
        if binding is None and index in job.unstarted:
            job.unstarted.remove(index)
        if binding is not None and binding.status != "exited":
            self._store.stop(job, index, binding, 0.0)
        if job.complete():
            job.state, job.ended_at = "done", self._context.time_of_day()
            self._store.recorder.schedule_write(job, URGENT)
        else:
            self._store.recorder.schedule_write(job, LATER)

    def _replica_ended(self, job, index, binding):
        """Frees the task of a daemon's replica that ended, so that it is started again."""
        if binding is not None and binding.status == "exited":
            self._store.forget(job.id, [(index, binding)])
            self._store.unbind(job, index)

    def _runs_after_all(self, job):
        """Clears the doubt about a job after one of its tasks was done."""
        job.failed_on.clear()
        if job.suspected_faulty:
            log.info("job %s is no longer suspected faulty: one of its tasks is done", job.id)
            job.suspected_faulty, job.retry_pauses, job.not_before = False, 0, 0.0
            self._store.version += 1
            self._context.changed()

    def _dismiss(self, label, report):
        """Tells the shard leader that an attempt is not needed: to forget it, or to stop it if it runs."""
        key = (report.machine, report.job, report.index, report.attempt)
        if report.exited:
            self._store.leader_commands.forget_at(label, [key])
        else:
            self._send(label, frames.StopTask(*key, 0.0))
