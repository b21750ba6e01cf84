"""Writes job records to the state service in batches, each write guarded by the last known stamp.

If a transaction gets no answer, its outcome is looked up in the state service while other jobs' writes go on.
Records that were not written are sent again under the same stamps. If the first transaction is still carried
out late, exactly one of the two takes effect, and the conflict makes the recorder read what is stored. A job
is in one transaction at a time, so its writes keep their order.
"""

import logging

from roadhead.jobs.creation_check import CreationChecker
from roadhead.jobs.job import ARCHIVE, RECORD_PREFIX, awaited_ids, size_of
from roadhead.jobs.ranges import Ranges
from roadhead.jobs.records import SPARE_FRACTION, complete, find
from roadhead.jobs.transactions import PendingDeletes, RecordWrite, Transaction, TransactionPacer
from roadhead.jobs.write_queue import LATER, SOON, WriteQueue
from roadhead.membership.member import TENANT, TERM
from roadhead.pipelines.upstream_parts import PARTS_PREFIX
from roadhead.runtime.loop import Cancelled, Signal
from roadhead.state.client import ConflictError, RequestTooLargeError, UnavailableError, UnknownOutcomeError

log = logging.getLogger("roadhead.recorder")

MAX_TRANSACTION_BYTES = 60000
# Pause after the state service refused a transaction, or the outcome of one could not be read.
REFUSAL_PAUSE_S = 0.25
MIN_RECORD_FRACTION = 1 / 16  # fraction of the value limit; a record that does not fit into that is set aside


class Recorder:
    """Queues jobs whose records have to be written, sends them in transactions and reports the outcomes.

    Args:
        loop: the event loop.
        state: the state service's client.
        progress_s: seconds between two writes of a job's progress.
        on_written: `on_written(job, recorded, state)` is called once a record is stored.
        on_conflict: `on_conflict(job, record, stamp)` is called if something else is stored.
        on_refused: `on_refused(job)` is called if nothing of a creation was written and never will be.
        on_new: called when more is known about which waiting creations are new (jobs/creation_check.py).
        member: this controller's membership; creations depend on its term.
        guards: conditions of creations. `guards.condition_for(job)` returns the (key, stamp) under which
        alone the job may be created, or None. `guards.is_creation_forbidden(key, record, stamp)` is told what
        is stored under that key once the stamp has changed, and returns whether nothing may be created under
        it any more; `on_refused` is then called for the jobs concerned. `guards.exceeds_guarantee(job)`
        returns whether the creation is written after others.
        counters: the process's event counters.
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
        self._in_flight = {}  # job -> Entry; no other transaction has the job until its outcome is known
        self._pacer = TransactionPacer(loop, state.answers)
        self._pending_deletes = PendingDeletes(loop, progress_s)
        self._wake = Signal()
        self._creation_checker = CreationChecker(loop, state, progress_s, self._settle, on_new)
        self.failing_since = None
        # job -> fraction of the value limit that its record may take, after a larger one was refused
        self._record_fraction = {}
        self._one_at_a_time = False  # after a batch was too large: one record at a time until one is written

    def schedule_write(self, job, urgency):
        """Schedules the write of a job's record, after the outcome of its write under way if there is one."""
        entry = self._in_flight.get(job)
        if entry is not None:
            entry.rescheduled = urgency if entry.rescheduled is None else min(urgency, entry.rescheduled)
            entry.withdrawn = False
            return
        self._queue.add(job, urgency)
        self._wake.set()
        if not job.stamp:
            self._creation_checker.add(job)

    def cancel_write(self, job):
        """Cancels the scheduled write: the job's record need not be written any more."""
        self._queue.take(job)
        entry = self._in_flight.get(job)
        if entry is not None:
            entry.rescheduled, entry.withdrawn = None, True
        self._creation_checker.remove(job)

    def schedule_delete(self, key):
        """Queues a key that is no longer needed for deletion."""
        self._pending_deletes.add(key)
        self._wake.set()

    async def _refuse(self, entries):
        """Refuses creations whose guard does not hold any more.

        A write without an answer may have created a record before. That record stays,
        belongs to this controller, and is reported as a conflict. No such write can take effect later, since
        the stamp that it depends on is gone.
        """
        for entry in entries:
            record, stamp = await find(self._state, entry.job.id)
            if record is not None:
                self._report_conflict(entry, record, stamp)
            else:
                self.cancel_write(entry.job)
                self._release(entry)
                self._on_refused(entry.job)

    def fits_record(self, job):
        """Returns whether the job's record, with all of its dependencies, is small enough to be stored."""
        return size_of(job.spec) <= self._state.limits.value_bytes

    def backlog(self):
        """Returns how many urgent writes wait."""
        return len(self._queue.urgent)

    @property
    def confirmed_new(self):
        """Waiting creations that were found to be new."""
        return self._creation_checker.confirmed_new

    @property
    def newness_unknown(self):
        """Whether nobody can tell at present which waiting creations are new."""
        return self._creation_checker.newness_unknown

    async def check(self):
        """Duty: finds out which of the waiting creations are new."""
        await self._creation_checker.run()

    async def _settle(self, job):
        """Reports the stored record of a creation that waits and turned out not to be new.

        Either another controller wrote it, or a write of ours whose answer was lost.
        """
        try:
            record, stamp = await find(self._state, job.id)
        except (UnavailableError, UnknownOutcomeError):
            return  # the job's own write finds the record as well
        if record is not None and job in self._queue:
            self._on_conflict(job, record, stamp)

    async def run(self):
        """Duty: writes the scheduled records in transactions, several of which may be under way at once."""
        try:
            while True:
                await self._pacer.wait_for_turn()
                batch = self._batch()
                if not batch and not (
                    self._pending_deletes.is_due() and self._state.writes.spare(SPARE_FRACTION)
                ):
                    waits = self._queue or self._pending_deletes
                    await self._wake.wait(self._loop, self._progress_s / 4 if waits else None)
                    continue
                transaction = Transaction()
                try:
                    self._compose(transaction, batch)
                    await self._state.writes.take(len(transaction.writes))
                except BaseException:
                    self._requeue_unfinished(transaction)
                    raise
                self._pacer.begin(self._carry_out(transaction))
        except Cancelled:
            self._pacer.cancel()
            raise

    async def _carry_out(self, transaction):
        """Sends one transaction and finds out the outcome for each of its jobs."""
        settled = False
        try:
            settled = await self._send(transaction)
        except (UnavailableError, UnknownOutcomeError) as error:
            log.debug("transaction with %d records has no outcome yet: %r", len(transaction.entries), error)
            self._pacer.pause(REFUSAL_PAUSE_S)
        finally:
            self._requeue_unfinished(transaction)
        if settled:
            self.failing_since, self._creation_checker.newness_unknown = None, False
        elif self.failing_since is None:
            self.failing_since = self._loop.now()

    def _requeue_unfinished(self, transaction):
        """Schedules again the jobs of a transaction that have no outcome yet."""
        for entry in transaction.entries:
            self._requeue(entry)

    async def _send(self, transaction):
        """Sends a transaction and reports its outcome.

        Returns False if, as far as is known, nothing took effect although no condition failed.
        """
        try:
            revision = await self._state.send(transaction.conditions, transaction.writes)
        except ConflictError as conflict:
            self._pending_deletes.requeue(transaction.deletes)
            await self._resolve(transaction, conflict.failed)
        except UnknownOutcomeError:
            self._pending_deletes.requeue(transaction.deletes)
            return await self._read_outcome(transaction)
        except UnavailableError as error:
            self._pending_deletes.requeue(transaction.deletes)
            if isinstance(error, RequestTooLargeError):
                self._shrink([entry.job for entry in transaction.entries])
            raise
        else:
            self._one_at_a_time = False
            for entry in transaction.entries:
                self._confirm(entry, revision)
        return True

    def _batch(self):
        """Returns the jobs to be written next. The cost depends on their number, not on how many wait."""
        # No more than this controller's share of a second's writes. Otherwise transactions of several
        # controllers coincide, and the state service refuses writes that had already waited.
        max_jobs = (
            max(1, min(self._state.batch, int(self._state.writes.level()))) if not self._one_at_a_time else 1
        )
        ordinary, deferred = [], []
        for job in self._queue.urgent:
            if not job.stamp and self._guards.exceeds_guarantee(job):
                deferred.append(job)
                continue
            ordinary.append(job)
            if len(ordinary) == max_jobs:
                return ordinary
        batch = [*ordinary, *deferred, *self._queue.soon(max_jobs)][:max_jobs]
        if len(batch) < max_jobs and self._state.writes.spare(0.5):
            batch += self._queue.progress(max_jobs - len(batch))
        return batch

    def _shrink(self, jobs):
        """Shrinks what was refused for its size, which would be refused again as it is.

        First transactions become smaller, then records, which leave out tasks that machines remember
        (`Job.record`). A record that cannot shrink further is set aside.
        """
        if len(jobs) > 1:
            self._one_at_a_time = True
            return
        for job in jobs:
            part = self._record_fraction[job] = self._record_fraction.get(job, 1.0) / 2
            if part > MIN_RECORD_FRACTION:
                continue
            log.error("job %s: record is too large for the state service and is not written any more", job.id)
            self.cancel_write(job)
            self._count("records_too_large")
            if not job.stamp:
                self._record_fraction.pop(job)
                self._on_refused(job)

    def _compose(self, transaction, batch):
        """Adds as much of the batch as fits to a transaction, and the keys to be deleted."""
        size = 0
        largest = self._state.limits.value_bytes
        for job in batch:
            record, recorded = job.record(int(largest * self._record_fraction.get(job, 1.0)))
            # One edge of a range takes up to 7 bytes of JSON; the rest of a record is the description.
            size += 1200 + 7 * len(record.get("done", ())) + 34 * len(awaited_ids(record))
            if transaction.entries and size > MAX_TRANSACTION_BYTES:
                break
            if transaction.entries and len(transaction.conditions) + 5 > 4 * self._state.limits.txn_ops:
                break  # a creation takes four conditions, and that on the term is added below
            archived = transaction.may_archive(job, len(batch) - len(transaction.entries) - 1, self._state)
            self._add(transaction, job, record, recorded, archived)
        if transaction.creates:
            # A job is created only while the term names its owner: the scan that follows the removal of a
            # member would miss a creation that takes effect later.
            transaction.require((TERM, self._member.revision))
        transaction.deletes = self._pending_deletes.take(
            int(self._state.limits.txn_ops) - len(transaction.writes)
        )
        transaction.writes += [{"drop": key} for key in transaction.deletes]

    def _add(self, transaction, job, record, recorded, archived):
        """Adds one job's record and its conditions to a transaction."""
        transaction.require((RECORD_PREFIX + job.id, job.stamp))
        if not job.stamp:
            transaction.require((ARCHIVE + job.id, 0))  # the job may have ended long ago
            transaction.require(self._guards.condition_for(job))
            transaction.require(job.creation_condition)
        transaction.put(job.id, record, archived)
        self._creation_checker.being_written(job)
        if recorded is job.done:
            recorded = Ranges(job.done.flat())  # a copy: tasks done from now on are not in this record
        entry = RecordWrite(job, self._queue.take(job), record, recorded, job.state, archived=archived)
        transaction.entries.append(entry)
        self._in_flight[job] = entry

    # Outcomes

    def _release(self, entry):
        """Removes an entry from the writes under way. Returns False if it was removed before."""
        if self._in_flight.get(entry.job) is not entry:
            return False
        del self._in_flight[entry.job]
        return True

    def _requeue(self, entry):
        """Schedules the job's write again, unless it was cancelled meanwhile."""
        if not self._release(entry) or entry.withdrawn:
            return
        self.schedule_write(
            entry.job, entry.urgency if entry.rescheduled is None else min(entry.urgency, entry.rescheduled)
        )

    def _confirm(self, entry, revision):
        """Handles a record that is stored as it was sent, since that revision."""
        job, recorded = entry.job, entry.recorded
        job.stamp = 0 if entry.archived else revision
        self._count("records_shelved", int(entry.archived))
        job.written_at = self._loop.now()
        job.saved_count = recorded.count
        self._record_fraction.pop(job, None)
        self._creation_checker.remove(job)
        self._release(entry)
        if entry.rescheduled is not None:
            self.schedule_write(job, entry.rescheduled)
        self._on_written(job, recorded, entry.state)
        if job.state == "open" and job.done.count > recorded.count and job not in self._queue:
            self.schedule_write(job, SOON if job.complete() else LATER)

    def _report_conflict(self, entry, record, stamp):
        """Reports that something other than the last sent record is stored."""
        self._requeue(entry)
        self._on_conflict(entry.job, record, stamp)

    async def _read_outcome(self, transaction):
        """Reads what is stored after a lost answer. Returns False if the transaction did not take effect.

        A transaction takes effect as a whole or not at all, so one record with its old stamp shows that none
        was written. All are then sent again under the same stamps: if the first transaction is carried out
        late, exactly one of the two takes effect. Otherwise each record is read by itself, because an earlier
        try, with other jobs or other content, may be what was carried out. No job of the transaction is in
        another one meanwhile.
        """
        for entry in transaction.entries:
            job = entry.job
            record, stamp = await self._state.get(RECORD_PREFIX + job.id)
            if stamp == job.stamp:
                return False
            if entry.is_stored_as(record):
                self._confirm(entry, stamp)
            elif record is None:
                self._report_conflict(entry, *await find(self._state, job.id))
            else:
                self._report_conflict(entry, await complete(self._state, job.id, record), stamp)
        return True

    async def _resolve(self, transaction, failed):
        """Handles failed conditions: settles the jobs whose keys changed, and schedules the others again.

        One changed key must not hold up the other jobs of its transaction.
        """
        if TERM in failed:
            record, stamp = await self._state.get(TERM)
            self._member.adopt(record, stamp)
        entries = transaction.entries
        guarded = [key for key in failed if key.startswith((PARTS_PREFIX, TENANT))]
        if not guarded:
            for entry in entries:
                if set(entry.keys).isdisjoint(failed):
                    self._requeue(entry)
        for entry in entries:
            if not set(entry.keys).isdisjoint(failed):
                self._report_conflict(entry, *await find(self._state, entry.job.id))
        for key in guarded:
            left = [entry for entry in entries if self._in_flight.get(entry.job) is entry]
            if key.startswith(PARTS_PREFIX):
                await self._refuse(
                    [entry for entry in left if self._depends(entry, entry.job.creation_condition, key)]
                )
            elif self._guards.is_creation_forbidden(key, *await self._state.get(key)):
                await self._refuse(
                    [
                        entry
                        for entry in left
                        if self._depends(entry, self._guards.condition_for(entry.job), key)
                    ]
                )

    @staticmethod
    def _depends(entry, guard, key):
        """Returns whether the job is created only under `guard`, a (key, stamp) or None, with that key."""
        return not entry.job.stamp and guard is not None and guard[0] == key
