"""Dependency handling of a job owner: holds jobs back, releases them, cancels them with their ancestors.

This module opens no sockets. Frames from other controllers arrive as method calls, and frames to them leave
through `send(label, frame)`. A job starts only once every upstream job is durably done. That is known from a
record written here, from a record read, or from the message of another owner, which is sent after its write
and stays true.
"""

import logging
from collections import deque

from roadhead.jobs.job import RANK
from roadhead.pipelines.dependency_index import CANCELLED, DependencyIndex
from roadhead.pipelines.inherited_priorities import InheritedPriorities, passed_priority
from roadhead.runtime.loop import Signal
from roadhead.state.client import UnavailableError, UnknownOutcomeError
from roadhead.wire import frames

log = logging.getLogger("roadhead.pipelines")

MAX_ROWS_PER_FRAME = 1000  # rows in one frame
MAX_REPEATS_PER_HEARTBEAT = 2000  # waiting jobs whose priorities are repeated in one heartbeat
MAX_CONCURRENT_READS = 6  # records read at the same time
SPARE = 0.3  # fraction of the burst of requests that must be left for reading a record
MAX_LATE_SHOWN = 5
PRIORITY_KEPT_LEASES = 4  # workers' leases after which a priority that is not repeated is forgotten


class DependencyQueue:
    """The jobs owned here that wait for others, and the priorities that jobs inherit from their dependents.

    Args:
        loop: the event loop.
        member: this controller's membership.
        state: the state service's client.
        job_store: the jobs owned here (jobs/job_store.py).
        send: `send(label, frame)` sends a frame to a controller.
        times: class -> factors of a job's deadline that the class's targets name.
        time_of_day: returns seconds since the epoch.
        lease_s: length of the workers' lease in seconds.
        heartbeat_s: seconds between two heartbeats.
        find: `find(id)` reads (record or None, stamp) of a job.
        counters: the process's event counters.
    """

    def __init__(
        self, loop, member, state, job_store, send, times, time_of_day, lease_s, heartbeat_s, find, counters
    ):
        self._loop = loop
        self._member = member
        self._state = state
        self._job_store = job_store
        self._send = send
        self._deadline_factors = times
        self._time_of_day = time_of_day
        self._lease_s = lease_s
        self._heartbeat_s = heartbeat_s
        self._find = find
        self._count = counters.add
        self.dependencies = DependencyIndex()
        self._priorities = InheritedPriorities(PRIORITY_KEPT_LEASES * lease_s)
        self._unapplied_ends = deque()  # (job id, final record) whose consequences are still to be applied
        self._applying_ends = False
        self._unannounced_ends = []  # rows to be announced
        self._unsent_priorities = {}  # waiting jobs whose priorities are to be sent now; an ordered set
        self._repeat_order = deque()  # waiting jobs in the order in which their priorities are repeated
        self._flushing = False
        self._read_now = {}  # upstream ids to be read now; an ordered set
        # Other upstream ids -> when they are read, the next first: the message of an end may be lost.
        self._read_at = {}
        self._wake = Signal()

    # Waiting jobs

    def add_waiting(self, job):
        """Takes over responsibility for a job whose record is stored.

        Returns whether it is held back or over; False if it may start now.
        """
        if not job.is_waiting:
            return False
        outcome = self.dependencies.add(job, self._final_state)
        if outcome is None:
            for name in self.dependencies.remaining(job):
                if job.owned_by_predecessor:
                    self._read_now[name] = True
                else:
                    self._schedule_read(name)
            self._update_priority(job.id)
            self._queue_priorities(job)
            self._repeat_order.append(job)
            self._wake.set()
            return True
        if outcome == CANCELLED:
            self._cancel(job)
            return True
        ends = [self._job_store.final_records[name].get("e", 0.0) for name in job.spec.upstream]
        job.release(max(job.accepted_at, *ends) if all(ends) else self._time_of_day())
        return False

    def _final_state(self, name):
        """Returns the final state of a job known to be over, or None."""
        record = self._job_store.final_records.get(name)
        return record and record["s"]

    def on_job_ended(self, job_id, record):
        """Handles a job that is over, by a durable record or because an ancestor is cancelled.

        All consequences are applied one after the other, so that a chain of any length needs no recursion.
        """
        self._unapplied_ends.append((job_id, record))
        if self._applying_ends:
            return
        self._applying_ends = True
        try:
            while self._unapplied_ends:
                self._apply_end(*self._unapplied_ends.popleft())
        finally:
            self._applying_ends = False

    def _apply_end(self, job_id, record):
        """Applies the consequences of one job's end to the jobs that wait for it."""
        free, cancelled = self.dependencies.on_job_ended(job_id, record["s"])
        for job in free:
            self._count("jobs_released")
            job.release(max(job.accepted_at, record.get("e") or self._time_of_day()))
            self._job_store.on_upstream_done(job)
        for job in cancelled:
            self._cancel(job)
        for name in self._priorities.remove_source(job_id):
            self._update_priority(name)
        self._priorities.remove_target(job_id)

    def _cancel(self, job):
        """Cancels a job because one of its dependencies is cancelled. None of its tasks was ever started."""
        self._count("jobs_cancelled_with_others")
        job.state = CANCELLED
        self._job_store.cancel_with_upstream(job)

    def cancel_with_ancestor(self, spec):
        """Cancels a job just accepted, because by the records it has a cancelled ancestor."""
        job = self.dependencies.jobs.get(spec.id)
        if job is not None:
            self.dependencies.remove(job)
            self._cancel(job)
        elif spec.id not in self._job_store.final_records:
            self._job_store.remember_final(spec.id, {"s": CANCELLED, "n": spec.tasks, "d": 0, "above": True})

    def on_cancelled(self, jobs):
        """Handles durable cancellations, announced by another controller or read from the state service."""
        for job_id in jobs:
            if job_id in self.dependencies.dependents:
                self.on_job_ended(job_id, {"s": CANCELLED})

    def on_owners_changed(self):
        """Forgets inherited waiting jobs, because the owners have changed.

        Others may now inherit the jobs whose records never named this owner. The scan that follows finds
        those that fall to this controller.
        """
        for job in list(self.dependencies.jobs.values()):
            if job.owned_by_predecessor:
                self.dependencies.remove(job)
                self._job_store.on_waiting_dropped(job)
        self.recheck_upstream()

    # Announcements of jobs that are over

    def announce_end(self, job_id, record):
        """Announces a final record that is durable, or follows from a durable one, to the others."""
        if self._member.format_gate.is_open:
            self._unannounced_ends.append(
                (job_id, record["n"], record["d"], record.get("e", 0.0), record["s"] == CANCELLED)
            )
            self._flush_soon()

    def on_jobs_ended(self, frame):
        """Handles another controller's announcement of jobs that are over."""
        for job_id, tasks, done, ended, cancelled in frame.rows:
            if job_id not in self._job_store.final_records:
                record = {"s": CANCELLED if cancelled else "done", "n": tasks, "d": done}
                # Only cancellations caused by another job are announced in this way.
                more = {**({"e": ended} if ended else {}), **({"above": True} if cancelled else {})}
                self._job_store.remember_final(job_id, {**record, **more})

    def _flush_soon(self):
        """Schedules the sending of announcements and priorities for the end of this turn of the loop."""
        if not self._flushing:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _flush(self):
        """Sends the announcements and priorities that were queued."""
        self._flushing = False
        ends, self._unannounced_ends = self._unannounced_ends, []
        for at in range(0, len(ends), MAX_ROWS_PER_FRAME):
            self._broadcast(frames.JobsEnded(ends[at : at + MAX_ROWS_PER_FRAME]), True)
        waiting_jobs, self._unsent_priorities = self._unsent_priorities, {}
        self._send_priorities([job for job in waiting_jobs if job.id in self.dependencies.jobs])

    def _broadcast(self, frame, others):
        """Sends a frame to all members; `others` leaves out this controller."""
        term = self._member.term
        for label in term.members if term is not None else ():
            if not others or label != self._member.label:
                self._send(label, frame)

    # Inherited priorities

    def _queue_priorities(self, job):
        """Queues the priorities that a waiting job passes to its dependencies."""
        self._unsent_priorities[job] = True
        self._flush_soon()

    def _send_priorities(self, jobs):
        """Sends the priorities that these waiting jobs pass to their dependencies."""
        if not self._member.format_gate.is_open:
            return
        rows = []
        for job in jobs:
            wanted = passed_priority(job, self._deadline_factors.get(job.spec.klass))
            own = job.spec.due_s is not None and job.accepted_at + job.spec.due_s <= job.due_by
            end = job.id if own else self._priorities.last_job(job.id) or job.id
            rows += [(name, job.id, *wanted, end) for name in self.dependencies.remaining(job)]
        for at in range(0, len(rows), MAX_ROWS_PER_FRAME):
            self._broadcast(frames.UpstreamPriorities(rows[at : at + MAX_ROWS_PER_FRAME]), False)

    def on_upstream_priorities(self, frame):
        """Handles the priorities that another owner's waiting jobs pass to jobs owned here."""
        now = self._loop.now()
        for name, by, *wanted in frame.rows:
            if self._job_store.knows(name) and self._priorities.set_priority(name, by, *wanted, now):
                self._update_priority(name)

    def _update_priority(self, job_id):
        """Applies the inherited priority of a job, which has changed or was known before the job was."""
        waiting = self.dependencies.jobs.get(job_id)
        job = waiting or self._job_store.jobs.get(job_id)
        if job is None:
            return
        rank, due_by, last_by = self._priorities.inherited(job_id)
        rank = min(rank, RANK[job.spec.urgency])
        if (rank, due_by, last_by) == (job.rank, job.due_by, job.last_by):
            return
        job.due_by, job.last_by, job.targets = due_by, last_by, None
        if waiting is not None:
            job.raise_urgency(rank)
            self._queue_priorities(job)
        else:
            self._job_store.raise_urgency(job, rank)

    def at_risk(self, is_at_risk):
        """Returns lines for operators about pipelines that are late or at risk.

        Each names the last job of the pipeline and the stage that is late. `is_at_risk(job)` tells by a job's
        estimate whether it is at risk.
        """
        late = [
            (job.due_by, name)
            for name in self._priorities.target_ids()
            if (job := self._job_store.jobs.get(name)) is not None and is_at_risk(job)
        ]
        late.sort()
        now = self._time_of_day()
        lines = [
            f"the pipeline of {self._priorities.last_job(name)}: {name} should be done "
            f"{'in' if due_by >= now else 'since'} {abs(due_by - now):.0f} s"
            for due_by, name in late[:MAX_LATE_SHOWN]
        ]
        if len(late) > MAX_LATE_SHOWN:
            lines.append(f"{len(late) - MAX_LATE_SHOWN} more jobs that others need are late or at risk")
        return lines

    # Periodic work

    def refresh_priorities(self):
        """Runs with each heartbeat: repeats some priorities, and forgets those that were not repeated."""
        for name in self._priorities.expire(self._loop.now()):
            self._update_priority(name)
        repeated = []
        for _ in range(min(len(self._repeat_order), MAX_REPEATS_PER_HEARTBEAT)):
            job = self._repeat_order.popleft()
            if self.dependencies.jobs.get(job.id) is job:
                repeated.append(job)
                self._repeat_order.append(job)
        if repeated:
            self._send_priorities(repeated)

    def recheck_upstream(self):
        """Reads all upstream jobs owned elsewhere again, as messages may have been lost.

        That is possible when a link is new or an owner has ended.
        """
        self._read_now.update(
            dict.fromkeys(name for name in self.dependencies.dependents if not self._job_store.knows(name))
        )
        self._wake.set()

    async def poll_upstream(self):
        """Duty: reads the records of upstream jobs that are owned elsewhere.

        A job of which no message has come yet is read at once, the others now and then, so that a lost
        message delays a job by seconds only.
        """
        while True:
            batch = self._due_reads()
            if not batch:
                await self._wake.wait(self._loop, self._heartbeat_s)
                continue
            while not self._state.requests.spare(SPARE):
                await self._loop.sleep(self._heartbeat_s / 8)
            reads = [self._loop.spawn(self._read_upstream(name), "look") for name in batch]
            for routine in reads:
                await routine.done

    def _due_reads(self):
        """Returns the jobs to be read now, and schedules their next read."""
        batch, now = [], self._loop.now()
        while self._read_now and len(batch) < MAX_CONCURRENT_READS:
            name = next(iter(self._read_now))
            del self._read_now[name]
            batch.append(name)
        while self._read_at and len(batch) < MAX_CONCURRENT_READS:
            name = next(iter(self._read_at))
            if self._read_at[name] > now:
                break
            del self._read_at[name]
            batch.append(name)
        wanted = []
        for name in batch:
            if name not in self.dependencies.dependents:
                continue
            self._schedule_read(name)
            if self._job_store.knows(name):
                self._not_done(name)
            else:
                wanted.append(name)
        return wanted

    def _not_done(self, name):
        """Notes that a job is not done: nobody can have started those that depend on it."""
        for job in self.dependencies.dependents.get(name, ()):
            self._job_store.never_started(job)

    def _schedule_read(self, name):
        """Schedules the next read of an upstream job."""
        self._read_at.pop(name, None)
        self._read_at[name] = self._loop.now() + self._lease_s

    async def _read_upstream(self, name):
        """Reads the record of an upstream job and applies it."""
        try:
            record, _stamp = await self._find(name)
        except (UnavailableError, UnknownOutcomeError) as error:
            log.debug("upstream job %s could not be read: %r", name, error)
            return
        if record is not None and record["s"] != "open":
            self._job_store.remember_final(name, record)
        else:
            self._not_done(name)
