"""Writes job records in batches, each guarded by the stamp last known.

A write without an answer is simply tried again under the same stamp: if the first one
went through, or does so late, exactly one of the two takes effect, and the conflict
makes us read what is there.
"""

import heapq
import itertools
import logging

from roadhead.jobs.job import KEY, SHELF, before, size_of
from roadhead.jobs.records import find
from roadhead.membership.member import TENANT, TERM
from roadhead.pipelines.parts import PARTS
from roadhead.runtime.loop import Signal
from roadhead.state.client import Conflict, TooLarge, Unavailable, Unsure

log = logging.getLogger("roadhead.recorder")

MAX_BYTES = 60000
URGENT, SOON, LATER = range(3)
LEAST_PART = 1 / 16  # of the value limit: a record that does not fit that is set aside
CHECK_PARTS = 64  # of the time between writes of progress, after which a creation is looked into


class NoGuards:
    """Where creations depend on nothing but the term."""

    @staticmethod
    def of(_job):
        return None

    @staticmethod
    def later(_job):
        return False


NO_GUARDS = NoGuards()


class Recorder:
    """`on_written(job, recorded)`, `on_conflict(job, record, stamp)` tell the outcome.

    `guards.of(job)` is a (key, stamp) under which alone the job may be created, or None;
    `guards.changed(key, record, stamp)` is told what is there now once it does not hold, and
    says whether nothing of it may be created any more. Then `on_refused(job)` is called for jobs
    of which nothing was written. `guards.later(job)`: whether its creation comes after others'.
    `on_new()`: of creations that wait for their turn it was found that there is no record (`fresh`), or
    that nobody can say (`unsure`).
    """

    def __init__(
        self, loop, state, progress_s, on_written, on_conflict, on_refused, on_new, member, guards, counters
    ):
        self._count = counters.add
        self._loop = loop
        self._state = state
        self._progress_s = progress_s
        self._on_written = on_written
        self._on_conflict = on_conflict
        self._on_refused = on_refused
        self._on_new = on_new
        self._member = member
        self._guards = guards
        self._dirty = {}  # job -> urgency
        self._waiting = ({}, {})  # the urgent of them and those due soon, in order as sets
        self._later = []  # heap of (when due, number, job) of the others; may name a job that is not
        self._numbers = itertools.count()
        self._drops = []
        self._wake = Signal()
        self._unchecked = Signal()
        self._to_check = {}  # creations that wait, in order as a set
        self.fresh = {}  # those that were looked into and found to be new
        self.unsure = False  # whether nobody can say at present which are
        self.failing_since = None
        self._shrink = {}  # job -> part of the value limit that its record may take: more was refused
        self._single = False  # a batch was too large: one record at a time, until that goes through

    def mark(self, job, urgency):
        """The job's record is to be written."""
        was = self._dirty.get(job, LATER + 1)
        if was > urgency:
            self._dirty[job] = urgency
            if was < LATER:
                self._waiting[was].pop(job, None)
            if urgency < LATER:
                self._waiting[urgency][job] = True
            else:
                heapq.heappush(self._later, (self._due_at(job), next(self._numbers), job))
        self._wake.set()
        if not job.stamp and job not in self.fresh:
            self._to_check[job] = True
            self._unchecked.set()

    def unmark(self, job):
        self._take(job)
        self._to_check.pop(job, None)
        self.fresh.pop(job, None)

    def _take(self, job):
        """The job is written, or need not be; returns how urgent that was."""
        urgency = self._dirty.pop(job, LATER)
        if urgency < LATER:
            del self._waiting[urgency][job]
        return urgency

    def drop(self, key):
        """A key that is no longer needed."""
        if len(self._drops) < 1000 and key not in self._drops:
            self._drops.append(key)

    async def _refuse(self, jobs):
        """Their guard has closed: what a write without an answer has created stays, and is ours.

        No such write can take effect any more: it held under a stamp that is no longer there.
        """
        for job in jobs:
            record, stamp = await find(self._state, job.id)
            if record is not None:
                self._on_conflict(job, record, stamp)
            else:
                self.unmark(job)
                self._on_refused(job)

    def holds(self, job):
        """Whether a record of the job, with all that it needs, is small enough to be stored."""
        return size_of(job.spec) <= self._state.limits.value_bytes

    def backlog(self):
        return len(self._waiting[URGENT])

    def _due_at(self, job):
        return job.written_at + self._progress_s

    async def check(self):
        """Duty: of the creations that have to wait, which are new and which are late retries.

        Users may submit a job again at any later time, and whoever has not seen its end can't
        tell that from a new one. Many are compared in one request, which writes nothing.
        """
        while True:
            await self._unchecked.wait()
            await self._loop.sleep(self._progress_s / CHECK_PARTS)  # most are written by then
            batch = list(itertools.islice(self._to_check, 2 * int(self._state.limits.txn_ops)))
            if not batch:
                continue
            try:
                await self._state.unchanged([(place + job.id, 0) for job in batch for place in (KEY, SHELF)])
            except Conflict as error:
                self.unsure = False
                for job in batch:
                    if not {KEY + job.id, SHELF + job.id}.isdisjoint(error.failed):
                        await self._settle(job)
            except (Unavailable, Unsure) as error:
                log.debug("check of %d creations: %r", len(batch), error)
                self.unsure = True
                self._on_new()
                await self._loop.sleep(self._progress_s / 16)
            else:
                self.unsure = False
                for job in batch:
                    if self._to_check.pop(job, False):
                        self.fresh[job] = True
                self._on_new()
            self._unchecked.set()

    async def _settle(self, job):
        """Somebody else wrote the job's record, or a write of ours whose answer was lost."""
        try:
            record, stamp = await find(self._state, job.id)
        except (Unavailable, Unsure):
            return  # its own write finds the same
        if record is not None and job in self._dirty:
            self._on_conflict(job, record, stamp)

    async def run(self):
        while True:
            batch = self._batch()
            if not batch:
                await self._wake.wait(self._loop, self._progress_s / 4 if self._dirty else None)
                continue
            try:
                await self._write(batch)
                self.failing_since, self.unsure = None, False
            except (Unavailable, Unsure) as error:
                log.debug("write of %d records: %r", len(batch), error)
                if self.failing_since is None:
                    self.failing_since = self._loop.now()
                await self._loop.sleep(0.25)

    def _batch(self):
        """The records to be written next. Costs what it takes, not what waits."""
        # No more than this controller's share of a second's writes: else the transactions of
        # several controllers meet, and the store refuses what had been waited for.
        most = max(1, min(self._state.batch, int(self._state.writes.level()))) if not self._single else 1
        first, after = [], []
        for job in self._waiting[URGENT]:
            if not job.stamp and self._guards.later(job):
                after.append(job)
                continue
            first.append(job)
            if len(first) == most:
                return first
        batch = [*first, *after, *itertools.islice(self._waiting[SOON], most)][:most]
        if len(batch) < most and self._state.writes.spare(0.5):
            batch += self._progress(most - len(batch))
        return batch

    def _progress(self, most):
        """Up to `most` jobs of which no end is to be told, those due longest first."""
        now = self._loop.now()
        due = {}
        while self._later and self._later[0][0] <= now and len(due) < most:
            entry = heapq.heappop(self._later)
            job = entry[2]
            if self._dirty.get(job) == LATER and entry[0] == self._due_at(job):
                due.setdefault(job, entry)
        for entry in due.values():
            heapq.heappush(self._later, entry)  # it stays due until it is written
        return list(due)

    def _replan(self, jobs):
        """What was refused for its size would be refused for ever: smaller transactions, then smaller
        records, which leave out what machines remember (Job.record). What can't be smaller is set aside."""
        if len(jobs) > 1:
            self._single = True
            return
        for job in jobs:
            part = self._shrink[job] = self._shrink.get(job, 1.0) / 2
            if part > LEAST_PART:
                continue
            log.error("the record of %s is too large for the state service; set aside", job.id)
            self.unmark(job)
            self._count("records_too_large")
            if not job.stamp:
                self._shrink.pop(job)
                self._on_refused(job)

    async def _write(self, batch):
        conditions = []
        writes = []
        written = []
        size = 0
        largest = self._state.limits.value_bytes
        for job in batch:
            record, recorded = job.record(int(largest * self._shrink.get(job, 1.0)))
            # JSON of a range edge takes up to 7 bytes; the rest of a record is its description.
            size += 1200 + 7 * len(record.get("done", ())) + 34 * len(before(record))
            if written and size > MAX_BYTES:
                break
            count = recorded.count
            if written and len(conditions) + 5 > 4 * self._state.limits.txn_ops:
                break  # a creation takes four conditions, and the term's is to come
            conditions.append((KEY + job.id, job.stamp))
            if not job.stamp:
                conditions.append((SHELF + job.id, 0))  # it may be over long since
                guard = self._guards.of(job)
                conditions += [
                    condition
                    for condition in (guard, job.head_if)
                    if condition is not None and condition not in conditions
                ]
            writes.append({"put": KEY + job.id, "data": record})
            self._to_check.pop(job, None)
            written.append((job, self._take(job), recorded, count, job.state))
        if any(not stamp for _key, stamp in conditions):
            # A job is created only while the term names its owner: the scan that follows a
            # drop would miss a creation that takes effect later.
            conditions.append((TERM, self._member.revision))
        drops = []
        while self._drops and len(writes) < self._state.limits.txn_ops and len(drops) < 2:
            drops.append(self._drops.pop())
            writes.append({"drop": drops[-1]})
        try:
            revision = await self._state.multi(conditions, writes)
        except (Unavailable, Unsure, Conflict) as error:
            self._drops += drops
            if isinstance(error, TooLarge):
                self._replan([job for job, *_rest in written])
            for job, urgency, *_rest in written:
                if self._shrink.get(job, 1.0) > LEAST_PART:
                    self.mark(job, urgency)
            if isinstance(error, Conflict):
                # One changed key must not hold up its neighbours: settle it, write the rest again.
                for key in error.failed:
                    if key == TERM:
                        record, stamp = await self._state.get(TERM)
                        self._member.adopt(record, stamp)
                    for job, *_rest in written:
                        if key in (KEY + job.id, SHELF + job.id):
                            record, stamp = await find(self._state, job.id)
                            self._on_conflict(job, record, stamp)
                for key in error.failed:
                    if key.startswith(PARTS):
                        await self._refuse(
                            [
                                job
                                for job, *_rest in written
                                if job.head_if is not None and job in self._dirty and job.head_if[0] == key
                            ]
                        )
                    if key.startswith(TENANT) and self._guards.changed(key, *await self._state.get(key)):
                        await self._refuse(
                            [
                                job
                                for job, *_rest in written
                                if not job.stamp and job in self._dirty and self._guards.of(job)[0] == key
                            ]
                        )
                return
            raise
        now = self._loop.now()
        self._single = False
        for job, _urgency, recorded, count, state in written:
            self._shrink.pop(job, None)
            job.stamp = revision
            job.written_at = now
            self.fresh.pop(job, None)
            job.saved_count = count
            self._on_written(job, recorded, state)
            if job.state == "open" and job.done.count > count and job not in self._dirty:
                self.mark(job, SOON if job.complete() else LATER)
