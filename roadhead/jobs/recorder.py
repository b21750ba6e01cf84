"""Writes job records in batches, each guarded by the stamp last known.

A write without an answer is simply tried again under the same stamp: if the first one
went through, or does so late, exactly one of the two takes effect, and the conflict
makes us read what is there.
"""

import logging

from roadhead.jobs.job import KEY, SHELF
from roadhead.jobs.records import find
from roadhead.membership.member import TENANT, TERM
from roadhead.runtime.loop import Signal
from roadhead.state.client import Conflict, Unavailable, Unsure

log = logging.getLogger("roadhead.recorder")

MAX_BYTES = 60000
URGENT, SOON, LATER = range(3)
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
    `on_new(job)`: its creation waits for its turn, and there is no record of it; None: nobody can
    say of those that wait.
    """

    def __init__(self, loop, state, progress_s, on_written, on_conflict, on_refused, on_new, member, guards):
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
        self._drops = []
        self._wake = Signal()
        self._unchecked = Signal()
        self._checked = set()  # creations that wait and were found to be new
        self.unsure = False  # whether nobody can say at present which are
        self.failing_since = None

    def mark(self, job, urgency):
        """The job's record is to be written."""
        if self._dirty.get(job, LATER + 1) > urgency:
            self._dirty[job] = urgency
        self._wake.set()
        if not job.stamp:
            self._unchecked.set()

    def unmark(self, job):
        self._dirty.pop(job, None)
        self._checked.discard(job)

    def drop(self, key):
        """A key that is no longer needed."""
        if len(self._drops) < 1000:
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

    def backlog(self):
        return sum(urgency == URGENT for urgency in self._dirty.values())

    def _due(self, job, urgency):
        if urgency < LATER:
            return True
        return (
            self._loop.now() >= job.written_at + self._progress_s and self._state.writes.spare(0.5)
        )

    async def check(self):
        """Duty: of the creations that have to wait, which are new and which are late retries.

        Users may submit a job again at any later time, and whoever has not seen its end can't
        tell that from a new one. Many are compared in one request, which writes nothing.
        """
        while True:
            await self._unchecked.wait()
            await self._loop.sleep(self._progress_s / CHECK_PARTS)  # most are written by then
            batch = [job for job in self._dirty if not job.stamp and job not in self._checked]
            batch = batch[: 2 * int(self._state.limits.txn_ops)]
            if not batch:
                continue
            try:
                await self._state.unchanged(
                    [(place + job.id, 0) for job in batch for place in (KEY, SHELF)])
            except Conflict as error:
                self.unsure = False
                for job in batch:
                    if not {KEY + job.id, SHELF + job.id}.isdisjoint(error.failed):
                        await self._settle(job)
            except (Unavailable, Unsure) as error:
                log.debug("check of %d creations: %r", len(batch), error)
                self.unsure = True
                self._on_new(None)
                await self._loop.sleep(self._progress_s / 16)
            else:
                self.unsure = False
                for job in batch:
                    if job in self._dirty:
                        self._checked.add(job)
                        self._on_new(job)
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
        due = [job for job, urgency in self._dirty.items() if self._due(job, urgency)]
        due.sort(key=lambda job: (self._dirty[job], not job.stamp and self._guards.later(job)))
        # No more than this controller's share of a second's writes: else the transactions of
        # several controllers meet, and the store refuses what had been waited for.
        return due[: max(1, min(self._state.batch, int(self._state.writes.level())))]

    async def _write(self, batch):
        conditions = []
        writes = []
        written = []
        size = 0
        largest = int(self._state.limits.value_kb * 1024)
        for job in batch:
            record, recorded = job.record(largest)
            # JSON of a range edge takes up to 7 bytes; the rest of a record is its description.
            size += 1200 + 7 * len(record.get("done", ()))
            if written and size > MAX_BYTES:
                break
            count = recorded.count
            if written and len(conditions) + 4 > 4 * self._state.limits.txn_ops:
                break  # a creation takes three conditions, and the term's is to come
            conditions.append((KEY + job.id, job.stamp))
            if not job.stamp:
                conditions.append((SHELF + job.id, 0))  # it may be over long since
                guard = self._guards.of(job)
                if guard is not None and guard not in conditions:
                    conditions.append(guard)
            writes.append({"put": KEY + job.id, "data": record})
            written.append((job, self._dirty.pop(job), recorded, count, job.state))
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
            for job, urgency, *_rest in written:
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
                    if key.startswith(TENANT) and self._guards.changed(key, *await self._state.get(key)):
                        await self._refuse([job for job, *_rest in written if not job.stamp
                                            and job in self._dirty and self._guards.of(job)[0] == key])
                return
            raise
        now = self._loop.now()
        for job, _urgency, recorded, count, state in written:
            job.stamp = revision
            job.written_at = now
            self._checked.discard(job)
            job.saved_count = count
            self._on_written(job, recorded, state)
            if job.state == "open" and job.done.count > count and job not in self._dirty:
                self.mark(job, SOON if job.complete() else LATER)
