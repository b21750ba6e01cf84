"""Writes job records in batches, each guarded by the stamp last known.

What became of a transaction without an answer is looked up in the state service; meanwhile
other jobs' go on. What did not take effect is sent again under the same stamps: should the
first one still be carried out late, exactly one of the two takes effect, and the conflict makes
us read what is there. A job is in one transaction at a time, so its writes keep their order.
"""

import logging

from roadhead.jobs.creation_check import CreationChecker
from roadhead.jobs.job import ARCHIVE, KEY, awaited_ids, size_of
from roadhead.jobs.ranges import Ranges
from roadhead.jobs.records import SPARE, complete, find
from roadhead.jobs.transactions import PendingDeletes, RecordWrite, Transaction, TransactionPacer
from roadhead.jobs.write_queue import LATER, SOON, WriteQueue
from roadhead.membership.member import TENANT, TERM
from roadhead.pipelines.upstream_parts import PARTS
from roadhead.runtime.loop import Cancelled, Signal
from roadhead.state.client import ConflictError, RequestTooLargeError, UnavailableError, UnknownOutcomeError

log = logging.getLogger("roadhead.recorder")

MAX_BYTES = 60000
PAUSE_S = 0.25  # after the state service refused a transaction, or what became of one can't be read
LEAST_PART = 1 / 16  # of the value limit: a record that does not fit that is set aside


class Recorder:
    """`on_written(job, recorded)`, `on_conflict(job, record, stamp)` tell the outcome.

    `guards.of(job)` is a (key, stamp) under which alone the job may be created, or None;
    `guards.changed(key, record, stamp)` is told what is there now once it does not hold, and
    says whether nothing of it may be created any more. Then `on_refused(job)` is called for jobs
    of which nothing was written. `guards.later(job)`: whether its creation comes after others'.
    `on_new()`: more is known of creations that wait for their turn (jobs/creation_check.py).
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
        self._member = member
        self._guards = guards
        self._queue = WriteQueue(loop, progress_s)
        self._in_flight = {}  # job -> Entry: no other transaction has it until its outcome is known
        self._lanes = TransactionPacer(loop, state.answers)
        self._drops = PendingDeletes(loop, progress_s)
        self._wake = Signal()
        self.newness = CreationChecker(loop, state, progress_s, self._settle, on_new)
        self.failing_since = None
        self._shrink = {}  # job -> part of the value limit that its record may take: more was refused
        self._single = False  # a batch was too large: one record at a time, until that goes through

    def schedule_write(self, job, urgency):
        """The job's record is to be written; once its write under way has an outcome, if there is one."""
        entry = self._in_flight.get(job)
        if entry is not None:
            entry.again = urgency if entry.again is None else min(urgency, entry.again)
            entry.over = False
            return
        self._queue.add(job, urgency)
        self._wake.set()
        if not job.stamp:
            self.newness.add(job)

    def cancel_write(self, job):
        """The job's record need not be written any more."""
        self._queue.take(job)
        entry = self._in_flight.get(job)
        if entry is not None:
            entry.again, entry.over = None, True
        self.newness.remove(job)

    def schedule_delete(self, key):
        """A key that is no longer needed."""
        self._drops.add(key)
        self._wake.set()

    async def _refuse(self, entries):
        """Their guard has closed: what a write without an answer has created stays, and is ours.

        No such write can take effect any more: it held under a stamp that is no longer there.
        """
        for entry in entries:
            record, stamp = await find(self._state, entry.job.id)
            if record is not None:
                self._changed(entry, record, stamp)
            else:
                self.cancel_write(entry.job)
                self._release(entry)
                self._on_refused(entry.job)

    def fits_record(self, job):
        """Whether a record of the job, with all that it needs, is small enough to be stored."""
        return size_of(job.spec) <= self._state.limits.value_bytes

    def backlog(self):
        return len(self._queue.urgent)

    @property
    def confirmed_new(self):
        """Creations that wait and were found to be new."""
        return self.newness.confirmed_new

    @property
    def newness_unknown(self):
        """Whether nobody can say at present which of those that wait are new."""
        return self.newness.newness_unknown

    async def check(self):
        """Duty: looks into creations that have to wait."""
        await self.newness.run()

    async def _settle(self, job):
        """Somebody else wrote the job's record, or a write of ours whose answer was lost."""
        try:
            record, stamp = await find(self._state, job.id)
        except (UnavailableError, UnknownOutcomeError):
            return  # its own write finds the same
        if record is not None and job in self._queue:
            self._on_conflict(job, record, stamp)

    async def run(self):
        """Duty: sends what is marked, in transactions of which several may be under way."""
        try:
            while True:
                await self._lanes.turn()
                batch = self._batch()
                if not batch and not (self._drops.due() and self._state.writes.spare(SPARE)):
                    waits = self._queue or self._drops
                    await self._wake.wait(self._loop, self._progress_s / 4 if waits else None)
                    continue
                transaction = Transaction()
                try:
                    self._compose(transaction, batch)
                    await self._state.writes.take(len(transaction.writes))
                except BaseException:
                    self._give_back(transaction)
                    raise
                self._lanes.begin(self._carry_out(transaction))
        except Cancelled:
            self._lanes.cancel()
            raise

    async def _carry_out(self, transaction):
        """Sends one transaction, and finds out what became of each of its jobs."""
        settled = False
        try:
            settled = await self._send(transaction)
        except (UnavailableError, UnknownOutcomeError) as error:
            log.debug("write of %d records: %r", len(transaction.entries), error)
            self._lanes.pause(PAUSE_S)
        finally:
            self._give_back(transaction)
        if settled:
            self.failing_since, self.newness.newness_unknown = None, False
        elif self.failing_since is None:
            self.failing_since = self._loop.now()

    def _give_back(self, transaction):
        """What has no outcome yet is written again."""
        for entry in transaction.entries:
            self._again(entry)

    async def _send(self, transaction):
        """False if nothing took effect as far as is known, though nothing else is in its way."""
        try:
            revision = await self._state.send(transaction.conditions, transaction.writes)
        except ConflictError as conflict:
            self._drops.give_back(transaction.drops)
            await self._resolve(transaction, conflict.failed)
        except UnknownOutcomeError:
            self._drops.give_back(transaction.drops)
            return await self._look_up(transaction)
        except UnavailableError as error:
            self._drops.give_back(transaction.drops)
            if isinstance(error, RequestTooLargeError):
                self._replan([entry.job for entry in transaction.entries])
            raise
        else:
            self._single = False
            for entry in transaction.entries:
                self._confirm(entry, revision)
        return True

    def _batch(self):
        """The records to be written next. Costs what it takes, not what waits."""
        # No more than this controller's share of a second's writes: else the transactions of
        # several controllers meet, and the store refuses what had been waited for.
        most = max(1, min(self._state.batch, int(self._state.writes.level()))) if not self._single else 1
        first, after = [], []
        for job in self._queue.urgent:
            if not job.stamp and self._guards.later(job):
                after.append(job)
                continue
            first.append(job)
            if len(first) == most:
                return first
        batch = [*first, *after, *self._queue.soon(most)][:most]
        if len(batch) < most and self._state.writes.spare(0.5):
            batch += self._queue.progress(most - len(batch))
        return batch

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
            self.cancel_write(job)
            self._count("records_too_large")
            if not job.stamp:
                self._shrink.pop(job)
                self._on_refused(job)

    def _compose(self, transaction, batch):
        """Adds as much of the batch as fits into one transaction, and what keys are to be dropped."""
        size = 0
        largest = self._state.limits.value_bytes
        for job in batch:
            record, recorded = job.record(int(largest * self._shrink.get(job, 1.0)))
            # JSON of a range edge takes up to 7 bytes; the rest of a record is its description.
            size += 1200 + 7 * len(record.get("done", ())) + 34 * len(awaited_ids(record))
            if transaction.entries and size > MAX_BYTES:
                break
            if transaction.entries and len(transaction.conditions) + 5 > 4 * self._state.limits.txn_ops:
                break  # a creation takes four conditions, and the term's is to come
            archived = transaction.may_archive(job, len(batch) - len(transaction.entries) - 1, self._state)
            self._add(transaction, job, record, recorded, archived)
        if transaction.creates:
            # A job is created only while the term names its owner: the scan that follows a
            # drop would miss a creation that takes effect later.
            transaction.require((TERM, self._member.revision))
        transaction.drops = self._drops.take(int(self._state.limits.txn_ops) - len(transaction.writes))
        transaction.writes += [{"drop": key} for key in transaction.drops]

    def _add(self, transaction, job, record, recorded, archived):
        transaction.require((KEY + job.id, job.stamp))
        if not job.stamp:
            transaction.require((ARCHIVE + job.id, 0))  # it may be over long since
            transaction.require(self._guards.of(job))
            transaction.require(job.creation_condition)
        transaction.put(job.id, record, archived)
        self.newness.being_written(job)
        if recorded is job.done:
            recorded = Ranges(job.done.flat())  # tasks done from now on are not in this record
        entry = RecordWrite(job, self._queue.take(job), record, recorded, job.state, archived=archived)
        transaction.entries.append(entry)
        self._in_flight[job] = entry

    # Outcomes

    def _release(self, entry):
        """Its outcome is known, or it is to be tried again. False if that was so already."""
        if self._in_flight.get(entry.job) is not entry:
            return False
        del self._in_flight[entry.job]
        return True

    def _again(self, entry):
        """The job is written again, under the same stamp unless another is known by then."""
        if not self._release(entry) or entry.over:
            return
        self.schedule_write(
            entry.job, entry.urgency if entry.again is None else min(entry.urgency, entry.again)
        )

    def _confirm(self, entry, revision):
        """The record as sent is stored since that revision."""
        job, recorded = entry.job, entry.recorded
        job.stamp = 0 if entry.archived else revision
        self._count("records_shelved", int(entry.archived))
        job.written_at = self._loop.now()
        job.saved_count = recorded.count
        self._shrink.pop(job, None)
        self.newness.remove(job)
        self._release(entry)
        if entry.again is not None:
            self.schedule_write(job, entry.again)
        self._on_written(job, recorded, entry.state)
        if job.state == "open" and job.done.count > recorded.count and job not in self._queue:
            self.schedule_write(job, SOON if job.complete() else LATER)

    def _changed(self, entry, record, stamp):
        """Something else than was sent last is stored."""
        self._again(entry)
        self._on_conflict(entry.job, record, stamp)

    async def _look_up(self, transaction):
        """The answer was lost: what is stored tells whether the transaction took effect. False if not.

        All of it did or nothing, so one record that is as it was before tells it for all: they are
        sent again under the same stamps. Should the first try be carried out late, or have been on its
        way only, exactly one of the two takes effect. Else each record is read by itself: an earlier
        try, with other jobs or other content, may be what was carried out. No job here is in another
        transaction meanwhile.
        """
        for entry in transaction.entries:
            job = entry.job
            record, stamp = await self._state.get(KEY + job.id)
            if stamp == job.stamp:
                return False
            if entry.is_stored_as(record):
                self._confirm(entry, stamp)
            elif record is None:
                self._changed(entry, *await find(self._state, job.id))
            else:
                self._changed(entry, await complete(self._state, job.id, record), stamp)
        return True

    async def _resolve(self, transaction, failed):
        """Conditions failed. One changed key must not hold up its neighbours: it is settled, and the rest
        written again."""
        if TERM in failed:
            record, stamp = await self._state.get(TERM)
            self._member.adopt(record, stamp)
        entries = transaction.entries
        guarded = [key for key in failed if key.startswith((PARTS, TENANT))]
        if not guarded:
            for entry in entries:
                if set(entry.keys).isdisjoint(failed):
                    self._again(entry)
        for entry in entries:
            if not set(entry.keys).isdisjoint(failed):
                self._changed(entry, *await find(self._state, entry.job.id))
        for key in guarded:
            left = [entry for entry in entries if self._in_flight.get(entry.job) is entry]
            if key.startswith(PARTS):
                await self._refuse(
                    [entry for entry in left if self._depends(entry, entry.job.creation_condition, key)]
                )
            elif self._guards.changed(key, *await self._state.get(key)):
                await self._refuse(
                    [entry for entry in left if self._depends(entry, self._guards.of(entry.job), key)]
                )

    @staticmethod
    def _depends(entry, guard, key):
        """Whether the job is created only under that guard, a (key, stamp) or None."""
        return not entry.job.stamp and guard is not None and guard[0] == key
