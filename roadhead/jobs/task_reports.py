"""What homes tell of the attempts of tasks, and what becomes of each."""

import logging
from typing import NamedTuple

from roadhead.jobs.job import Binding
from roadhead.jobs.write_queue import LATER, URGENT
from roadhead.wire import frames

log = logging.getLogger("roadhead.jobs")

LONGEST_PAUSE = 5  # workers' leases between two tries of a job that fails wherever it runs
FIRST_PAUSE = 1 / 4
PAUSE_GROWTH = 1.5


class TaskReport(NamedTuple):
    """One attempt of a task, as the home of its machine tells of it."""

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
        """Whether it ended with its task done."""
        return self.exited and self.cause == "done"


class TaskReports:
    """Takes in what homes tell of the tasks of the jobs in a store (jobs/job_store.py)."""

    def __init__(self, context, store):
        self._context = context
        self._send = context.send
        self._store = store

    def on_free(self, frame):
        """The attempt is surely nowhere."""
        job = self._store.jobs.get(frame.job)
        if job is None:
            return
        binding = job.bound.get(frame.index)
        if binding is None or binding.attempt != frame.attempt:
            return
        if binding.status == "exited" and job.state == "open":  # done, only not durable yet
            return
        self._store.unbind(job, frame.index)

    def on_tasks(self, label, frame):
        """A home's news of the tasks on one machine."""
        for row in frame.rows:
            self._on_task(label, TaskReport(frame.machine, frame.zone, *row))

    def _on_task(self, label, report):
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
        """Whether this may be a task of an inherited job, found where the old owner had it started."""
        if not job.unreconciled_leaders or report.index >= job.spec.tasks or report.index in job.done:
            return False
        if report.exited:
            return report.completed and job.state == "open"
        return job.state in ("open", "cancelled")

    def _bind_inherited(self, job, report):
        if report.index in job.unstarted:
            job.unstarted.remove(report.index)
        binding = Binding(report.machine, report.zone, report.attempt, "", self._context.loop.now())
        job.bound[report.index] = binding
        return binding

    @staticmethod
    def _completes(job, binding, report):
        """Whether an attempt that is not the one bound tells that its task is done."""
        if not report.completed or job.state != "open" or report.index >= job.spec.tasks:
            return False
        return binding is not None or report.index not in job.done

    def _log_start(self, job, binding, report):
        if report.status != "running" or binding.status == "running" or not log.isEnabledFor(logging.DEBUG):
            return
        log.debug(
            "runs %s/%d of %s after %.2f s, of which %.2f s on %s",
            job.id,
            report.index,
            job.spec.klass,
            self._context.time_of_day() - job.accepted_at,
            self._context.loop.now() - binding.at,
            report.machine,
        )

    def _progress(self, label, job, binding, report):
        """News of the attempt that is bound."""
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
        """A job that fails everywhere is tried ever more slowly, on few machines at a time."""
        context = self._context
        if job.failed(machine):
            log.info(
                "job %s of %s fails wherever it runs: tried now and then until it is cancelled",
                job.id,
                job.spec.klass,
            )
            context.count("jobs_faulty")
            self._store.version += 1
            for label in context.member.term.members:
                self._send(label, frames.JobFaulty(job.id))
        now = context.loop.now()
        if job.suspected_faulty and job.not_before <= now:
            pause_s = context.lease_s * min(LONGEST_PAUSE, FIRST_PAUSE * PAUSE_GROWTH**job.retry_pauses)
            job.retry_pauses += 1
            job.not_before = now + pause_s
            context.loop.call_later(pause_s, context.changed)

    def _done(self, job, index):
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
            self._store.send_to_leader(
                binding, frames.StopTask(binding.machine, job.id, index, binding.attempt, 0.0)
            )
        if job.complete():
            job.state, job.ended_at = "done", self._context.time_of_day()
            self._store.recorder.schedule_write(job, URGENT)
        else:
            self._store.recorder.schedule_write(job, LATER)

    def _replica_ended(self, job, index, binding):
        """A replica that ends is started again."""
        if binding is not None and binding.status == "exited":
            self._store.forget(job.id, [(index, binding)])
            self._store.unbind(job, index)

    def _runs_after_all(self, job):
        job.failed_on.clear()
        if job.suspected_faulty:
            log.info("job %s runs after all", job.id)
            job.suspected_faulty, job.retry_pauses, job.not_before = False, 0, 0.0
            self._store.version += 1
            self._context.changed()

    def _dismiss(self, label, report):
        """An attempt that nobody needs."""
        key = (report.machine, report.job, report.index, report.attempt)
        if report.exited:
            self._send(label, frames.ForgetAttempts([key]))
        else:
            self._send(label, frames.StopTask(*key, 0.0))
