"""Writes cancellations to the state service in batches that leave write rate for submissions."""

from itertools import islice
from typing import NamedTuple

from roadhead.jobs.job import FINAL, RECORD_PREFIX, cancelled_record
from roadhead.jobs.records import find
from roadhead.pipelines.cancellation_history import CANCELLATION_COUNTER, MARK_PREFIX
from roadhead.runtime.loop import Future
from roadhead.state.client import ConflictError, UnavailableError, UnknownOutcomeError

# the final record and the cancellation mark; all jobs share the write to CANCELLATION_COUNTER
WRITES_PER_JOB = 2
MIN_WAIT_S = 0.001  # shorter waits aren't worth a timer
FULL_BURST_FRACTION = 0.9  # fraction of the write burst; the bucket doesn't always fill up completely


class Outcome(NamedTuple):
    """The job's record after the cancellation, or None if the job doesn't exist.

    `revision` is that of the write if this controller made the record final, else 0.
    """

    record: dict | None
    revision: int = 0


class CancellationWriter:
    """Cancels jobs; requests that wait for the write rate share a transaction.

    Per job, a transaction writes the final record, on condition that the open one is unchanged, and the mark
    that all controllers watch. A record that changed fails the whole transaction: its caller gets the
    ConflictError, and the other jobs are retried. Records change all the time, so they are read only once the
    rate suffices for the write. Transactions don't wait for each other.

    `max_wait_s` limits the wait for the write rate: after it, a batch is sent with whatever rate is left.
    """

    def __init__(self, loop, state, max_wait_s):
        self._loop = loop
        self._state = state
        self._max_wait_s = max_wait_s
        self._waiting = {}  # job id -> Future of its Outcome
        self._is_sending = False
        self._reserved_writes = 0  # writes of batches whose records are being read

    def cancel(self, job_id):
        """Returns a Future of the Outcome.

        It fails with ConflictError, UnavailableError or UnknownOutcomeError.
        """
        future = self._waiting.setdefault(job_id, Future())
        self._wake()
        return future

    def _wake(self):
        if not self._is_sending:
            self._is_sending = True
            self._loop.spawn(self._send(), "cancellations")

    async def _send(self):
        try:
            while self._waiting:
                await self._wait_for_write_rate()
                batch = dict(islice(self._waiting.items(), self._max_jobs()))
                for job_id in batch:
                    del self._waiting[job_id]
                self._reserved_writes += self._count_writes(batch)
                self._loop.spawn(self._process_batch(batch), "cancel together")
        finally:
            self._is_sending = False

    async def _process_batch(self, batch):
        """Reads the records of a batch and writes those that are still open."""
        try:
            records = await self._read_records(batch)
        finally:
            self._reserved_writes -= self._count_writes(batch)
        if records:
            await self._write(batch, records)

    @staticmethod
    def _count_writes(jobs):
        """Returns the number of writes in a transaction for these jobs."""
        return 1 + WRITES_PER_JOB * len(jobs)

    def _available_writes(self):
        """Returns the writes that the rate allows now, less those reserved for batches in progress."""
        return self._state.writes.level() - self._reserved_writes

    async def _wait_for_write_rate(self):
        """Waits until the rate suffices for all waiting jobs, or for nearly a full burst."""
        writes, deadline = self._state.writes, self._loop.now() + self._max_wait_s
        while True:
            target = min(self._state.limits.txn_ops, FULL_BURST_FRACTION * writes.burst)
            missing = min(self._count_writes(self._waiting), target) - self._available_writes()
            left_s = deadline - self._loop.now()
            if missing <= 0 or left_s <= MIN_WAIT_S:
                return
            await self._loop.sleep(min(max(MIN_WAIT_S, missing / writes.rate), left_s))

    def _max_jobs(self):
        """Returns how many jobs fit the next transaction by its size and the rate, at least 1."""
        writes = min(self._state.limits.txn_ops, self._available_writes())
        return max(1, int((writes - 1) / WRITES_PER_JOB))

    async def _read_records(self, batch):
        """Returns {job id: (open record, its stamp)} of the jobs to write.

        The other jobs get their Outcome or error here.
        """
        records = {}
        reads = [
            self._loop.spawn(self._read_one(job_id, future, records), "read to cancel")
            for job_id, future in batch.items()
        ]
        for routine in reads:
            await routine.done
        return records

    async def _read_one(self, job_id, future, records):
        try:
            record, stamp = await find(self._state, job_id)
        except (UnavailableError, UnknownOutcomeError) as error:
            future.fail(error)
            return
        if record is None or record["s"] in FINAL:
            future.set(Outcome(record))
        else:
            records[job_id] = record, stamp

    async def _write(self, batch, records):
        final = {job_id: cancelled_record(record) for job_id, (record, _stamp) in records.items()}
        writes = [{"put": CANCELLATION_COUNTER, "data": next(iter(final))}]
        for job_id, record in final.items():
            writes += [
                {"put": RECORD_PREFIX + job_id, "data": record},
                {"put": MARK_PREFIX + job_id, "data": True},
            ]
        try:
            revision = await self._state.multi(
                [(RECORD_PREFIX + job_id, stamp) for job_id, (_record, stamp) in records.items()], writes
            )
        except ConflictError as conflict:
            self._handle_conflict({job_id: batch[job_id] for job_id in final}, conflict)
        except (UnavailableError, UnknownOutcomeError) as error:
            for job_id in final:
                batch[job_id].fail(error)
        else:
            for job_id, record in final.items():
                batch[job_id].set(Outcome(record, revision))

    def _handle_conflict(self, batch, conflict):
        """Nothing was written: fails the jobs whose record changed and retries the others."""
        changed = {job_id for job_id in batch if RECORD_PREFIX + job_id in conflict.failed} or batch.keys()
        for job_id, future in batch.items():
            if job_id in changed:
                future.fail(conflict)
            elif job_id in self._waiting:
                self._waiting[job_id].on_done(lambda again, future=future: copy_outcome(again, future))
            else:
                self._waiting[job_id] = future
        self._wake()


def copy_outcome(source, future):
    """Completes `future` with the result or error of `source`."""
    try:
        future.set(source.result())
    except (ConflictError, UnavailableError, UnknownOutcomeError) as error:
        future.fail(error)
