"""What an owner does for pipelines: holds jobs back, lets them go, ends them with those they need.

No sockets here: frames from other controllers come in as calls, frames to them go out through
`send(label, frame)`. A start needs every upstream job durably done: that is known from a record of our
own, a record read, or an owner's word, given after its write and true for ever.
"""

import logging
from collections import deque

from roadhead.jobs.job import RANK
from roadhead.pipelines.dependency_index import CANCELLED, DependencyIndex
from roadhead.pipelines.inherited_priorities import InheritedPriorities, wanted_of
from roadhead.runtime.loop import Signal
from roadhead.state.client import UnavailableError, UnknownOutcomeError
from roadhead.wire import frames

log = logging.getLogger("roadhead.pipelines")

ROWS_MOST = 1000  # of a frame
WISHES_MOST = 2000  # said again in a beat
LOOKS = 6  # records read side by side
SPARE = 0.3  # of the burst of requests must be left for a look
LATE_SHOWN = 5
KEPT_LEASES = 4  # for which a wish counts that is not said again


class DependencyQueue:
    """`times`: class -> factors of the deadline that its aims name; `find(id)` reads a record."""

    def __init__(
        self, loop, member, state, job_store, send, times, time_of_day, lease_s, heartbeat_s, find, counters
    ):
        self._loop = loop
        self._member = member
        self._state = state
        self._job_store = job_store
        self._send = send
        self._times = times
        self._time_of_day = time_of_day
        self._lease_s = lease_s
        self._heartbeat_s = heartbeat_s
        self._find = find
        self._count = counters.add
        self.dependencies = DependencyIndex()
        self._wishes = InheritedPriorities(KEPT_LEASES * lease_s)
        self._over = deque()  # (job id, final record) whose consequences are still to be drawn
        self._drawing = False
        self._ends = []  # rows to be told
        self._new_wishes = {}  # waiting jobs whose wishes are to be told now, in order as a set
        self._again = deque()  # waiting jobs in the order in which their wishes are said again
        self._flushing = False
        self._soon = {}  # upstream ids to be looked at, in order as a set
        self._later = {}  # others -> when they are looked at, the next first: word of an end may be lost
        self._wake = Signal()

    # What waits

    def add_waiting(self, job):
        """A job whose record stands, from now on in our care: whether it is held back, or over."""
        if not job.is_waiting:
            return False
        outcome = self.dependencies.add(job, self._ended)
        if outcome is None:
            for name in self.dependencies.remaining(job):
                if job.owned_by_predecessor:
                    self._soon[name] = True
                else:
                    self._look_later(name)
            self._inherit(job.id)
            self._wish(job)
            self._again.append(job)
            self._wake.set()
            return True
        if outcome == CANCELLED:
            self._cancel(job)
            return True
        ends = [self._job_store.final_records[name].get("e", 0.0) for name in job.spec.upstream]
        job.release(max(job.accepted_at, *ends) if all(ends) else self._time_of_day())
        return False

    def _ended(self, name):
        record = self._job_store.final_records.get(name)
        return record and record["s"]

    def on_job_ended(self, job_id, record):
        """A job is over, by a durable record or by derivation: draws all that follows from it, one after
        the other, however long a chain is."""
        self._over.append((job_id, record))
        if self._drawing:
            return
        self._drawing = True
        try:
            while self._over:
                self._draw(*self._over.popleft())
        finally:
            self._drawing = False

    def _draw(self, job_id, record):
        free, cancelled = self.dependencies.on_job_ended(job_id, record["s"])
        for job in free:
            self._count("jobs_released")
            job.release(max(job.accepted_at, record.get("e") or self._time_of_day()))
            self._job_store.on_upstream_done(job)
        for job in cancelled:
            self._cancel(job)
        for name in self._wishes.over(job_id):
            self._inherit(name)
        self._wishes.forget(job_id)

    def _cancel(self, job):
        """It needs a cancelled job, so it is cancelled; nothing of it was ever started."""
        self._count("jobs_cancelled_with_others")
        job.state = CANCELLED
        self._job_store.cancel_with_upstream(job)

    def cancel_with_ancestor(self, spec):
        """A job just accepted has a cancelled ancestor, by the records."""
        job = self.dependencies.jobs.get(spec.id)
        if job is not None:
            self.dependencies.remove(job)
            self._cancel(job)
        elif spec.id not in self._job_store.final_records:
            self._job_store.remember_final(spec.id, {"s": CANCELLED, "n": spec.tasks, "d": 0, "above": True})

    def on_cancelled(self, jobs):
        """These jobs are durably cancelled, by the word of another or by the watch."""
        for job_id in jobs:
            if job_id in self.dependencies.dependents:
                self.on_job_ended(job_id, {"s": CANCELLED})

    def on_owners_changed(self):
        """Others may be the heirs of what was never written as ours; the scan that follows tells."""
        for job in list(self.dependencies.jobs.values()):
            if job.owned_by_predecessor:
                self.dependencies.remove(job)
                self._job_store.on_waiting_dropped(job)
        self.recheck_upstream()

    # Word of what is over

    def announce_end(self, job_id, record):
        """A final record is durable, or follows from one that is: the others are to know."""
        if self._member.format_gate.is_open:
            self._ends.append(
                (job_id, record["n"], record["d"], record.get("e", 0.0), record["s"] == CANCELLED)
            )
            self._flush_soon()

    def on_over(self, frame):
        for job_id, tasks, done, ended, cancelled in frame.rows:
            if job_id not in self._job_store.final_records:
                record = {"s": CANCELLED if cancelled else "done", "n": tasks, "d": done}
                # Of cancellations only those with another job are told in this way.
                more = {**({"e": ended} if ended else {}), **({"above": True} if cancelled else {})}
                self._job_store.remember_final(job_id, {**record, **more})

    def _flush_soon(self):
        if not self._flushing:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _flush(self):
        self._flushing = False
        ends, self._ends = self._ends, []
        for at in range(0, len(ends), ROWS_MOST):
            self._tell(frames.JobsEnded(ends[at : at + ROWS_MOST]), True)
        wishing, self._new_wishes = self._new_wishes, {}
        self._tell_wishes([job for job in wishing if job.id in self.dependencies.jobs])

    def _tell(self, frame, others):
        term = self._member.term
        for label in term.members if term is not None else ():
            if not others or label != self._member.label:
                self._send(label, frame)

    # What is inherited

    def _wish(self, job):
        self._new_wishes[job] = True
        self._flush_soon()

    def _tell_wishes(self, jobs):
        if not self._member.format_gate.is_open:
            return
        rows = []
        for job in jobs:
            wanted = wanted_of(job, self._times.get(job.spec.klass))
            own = job.spec.due_s is not None and job.accepted_at + job.spec.due_s <= job.due_by
            end = job.id if own else self._wishes.end(job.id) or job.id
            rows += [(name, job.id, *wanted, end) for name in self.dependencies.remaining(job)]
        for at in range(0, len(rows), ROWS_MOST):
            self._tell(frames.UpstreamPriorities(rows[at : at + ROWS_MOST]), False)

    def on_wishes(self, frame):
        now = self._loop.now()
        for name, by, *wanted in frame.rows:
            if self._job_store.knows(name) and self._wishes.wish(name, by, *wanted, now):
                self._inherit(name)

    def _inherit(self, job_id):
        """What is wanted of the job has changed, or may have been known before the job was."""
        waiting = self.dependencies.jobs.get(job_id)
        job = waiting or self._job_store.jobs.get(job_id)
        if job is None:
            return
        rank, due_by, last_by = self._wishes.of(job_id)
        rank = min(rank, RANK[job.spec.urgency])
        if (rank, due_by, last_by) == (job.rank, job.due_by, job.last_by):
            return
        job.due_by, job.last_by, job.targets = due_by, last_by, None
        if waiting is not None:
            job.raise_urgency(rank)
            self._wish(job)
        else:
            self._job_store.raise_urgency(job, rank)

    def at_risk(self, endangered):
        """Lines for operators: pipelines late or at risk, by their last job, and the stage that is.
        `endangered(job)`: by its estimate."""
        late = [
            (job.due_by, name)
            for name in self._wishes.wanted()
            if (job := self._job_store.jobs.get(name)) is not None and endangered(job)
        ]
        late.sort()
        now = self._time_of_day()
        lines = [
            f"the pipeline of {self._wishes.end(name)}: {name} should be done "
            f"{'in' if due_by >= now else 'since'} {abs(due_by - now):.0f} s"
            for due_by, name in late[:LATE_SHOWN]
        ]
        if len(late) > LATE_SHOWN:
            lines.append(f"{len(late) - LATE_SHOWN} more jobs that others need are late or at risk")
        return lines

    # Time

    def refresh_priorities(self):
        """With each beat: wishes are said again, those not repeated are forgotten."""
        for name in self._wishes.expire(self._loop.now()):
            self._inherit(name)
        some = []
        for _ in range(min(len(self._again), WISHES_MOST)):
            job = self._again.popleft()
            if self.dependencies.jobs.get(job.id) is job:
                some.append(job)
                self._again.append(job)
        if some:
            self._tell_wishes(some)

    def recheck_upstream(self):
        """Word may have been lost: a link is new, or an owner has ended."""
        self._soon.update(
            dict.fromkeys(name for name in self.dependencies.dependents if not self._job_store.knows(name))
        )
        self._wake.set()

    async def poll_upstream(self):
        """Duty: upstream jobs owned elsewhere are read, at once where nobody has told of them yet, else
        now and then, so that lost word costs seconds."""
        while True:
            batch = self._due()
            if not batch:
                await self._wake.wait(self._loop, self._heartbeat_s)
                continue
            while not self._state.requests.spare(SPARE):
                await self._loop.sleep(self._heartbeat_s / 8)
            reads = [self._loop.spawn(self._look(name), "look") for name in batch]
            for routine in reads:
                await routine.done

    def _due(self):
        batch, now = [], self._loop.now()
        while self._soon and len(batch) < LOOKS:
            name = next(iter(self._soon))
            del self._soon[name]
            batch.append(name)
        while self._later and len(batch) < LOOKS:
            name = next(iter(self._later))
            if self._later[name] > now:
                break
            del self._later[name]
            batch.append(name)
        wanted = []
        for name in batch:
            if name not in self.dependencies.dependents:
                continue
            self._look_later(name)
            if self._job_store.knows(name):
                self._not_done(name)
            else:
                wanted.append(name)
        return wanted

    def _not_done(self, name):
        """A job is not done: nobody can have started those that need it."""
        for job in self.dependencies.dependents.get(name, ()):
            self._job_store.never_started(job)

    def _look_later(self, name):
        self._later.pop(name, None)
        self._later[name] = self._loop.now() + self._lease_s

    async def _look(self, name):
        try:
            record, _stamp = await self._find(name)
        except (UnavailableError, UnknownOutcomeError) as error:
            log.debug("look at %s: %r", name, error)
            return
        if record is not None and record["s"] != "open":
            self._job_store.remember_final(name, record)
        else:
            self._not_done(name)
