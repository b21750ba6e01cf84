"""Writes of cancellations: those that wait for the write rate go together, and leave room for creations."""

from itertools import islice
from typing import NamedTuple

from roadhead.jobs.job import FINAL, KEY, cancelled_record
from roadhead.jobs.records import find
from roadhead.pipelines.ancestry import CANCELS
from roadhead.runtime.loop import Future
from roadhead.state.client import ConflictError, UnavailableError, UnknownOutcomeError

CANCEL = "c/x/"
WRITES_EACH = 2  # the record and the mark; the key that says that some job was cancelled is shared
LEAST_S = 0.001  # it is not worth waiting for less
AMPLE = 0.9  # of the burst of writes, which is not always quite reached


class Outcome(NamedTuple):
    """A job's record as it stands, None if there is none; `revision` if it was made final here, else 0."""

    record: dict | None
    revision: int = 0


class CancellationWriter:
    """A transaction has a part for each of its jobs: the final record under the stamp of the open one, and
    the mark that every controller watches. Records are read only once the rate leaves enough for the write:
    they change all the time, and one that changed fails the whole transaction. Then that one is left to its
    caller, and the others have another turn. Transactions don't wait for one another's answers.

    `most_s`: after that long a write goes out however few writes the rate leaves.
    """

    def __init__(self, loop, state, most_s):
        self._loop = loop
        self._state = state
        self._most_s = most_s
        self._waiting = {}  # job id -> Future of its Outcome
        self._sending = False
        self._reserved = 0

    def cancel(self, job_id):
        """A Future of the Outcome; fails with Conflict, Unavailable or Unsure."""
        future = self._waiting.setdefault(job_id, Future())
        self._wake()
        return future

    def _wake(self):
        if not self._sending:
            self._sending = True
            self._loop.spawn(self._send(), "cancellations")

    async def _send(self):
        try:
            while self._waiting:
                await self._until_affordable()
                batch = dict(islice(self._waiting.items(), self._most()))
                for job_id in batch:
                    del self._waiting[job_id]
                self._reserved += self._cost(batch)
                self._loop.spawn(self._carry_out(batch), "cancel together")
        finally:
            self._sending = False

    async def _carry_out(self, batch):
        """Reads the records of a batch and writes those that are open."""
        try:
            records = await self._read(batch)
        finally:
            self._reserved -= self._cost(batch)
        if records:
            await self._write(batch, records)

    @staticmethod
    def _cost(jobs):
        """Writes of a transaction for these jobs."""
        return 1 + WRITES_EACH * len(jobs)

    def _level(self):
        """Writes that the rate leaves now, beside those of batches that are being read."""
        return self._state.writes.level() - self._reserved

    async def _until_affordable(self):
        """Waits until the rate leaves enough for all that wait, or about as much as it ever does at once."""
        writes, until = self._state.writes, self._loop.now() + self._most_s
        while True:
            most = min(self._state.limits.txn_ops, AMPLE * writes.burst)
            missing = min(self._cost(self._waiting), most) - self._level()
            left_s = until - self._loop.now()
            if missing <= 0 or left_s <= LEAST_S:
                return
            await self._loop.sleep(min(max(LEAST_S, missing / writes.rate), left_s))

    def _most(self):
        """Jobs in the next transaction: what its size and the rate leave, one at the least."""
        writes = min(self._state.limits.txn_ops, self._level())
        return max(1, int((writes - 1) / WRITES_EACH))

    async def _read(self, batch):
        """{job id: (open record, its stamp)} of those to be written; the others have their outcome."""
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
        writes = [{"put": CANCELS, "data": next(iter(final))}]
        for job_id, record in final.items():
            writes += [{"put": KEY + job_id, "data": record}, {"put": CANCEL + job_id, "data": True}]
        try:
            revision = await self._state.multi(
                [(KEY + job_id, stamp) for job_id, (_record, stamp) in records.items()], writes
            )
        except ConflictError as conflict:
            self._settle_conflict({job_id: batch[job_id] for job_id in final}, conflict)
        except (UnavailableError, UnknownOutcomeError) as error:
            for job_id in final:
                batch[job_id].fail(error)
        else:
            for job_id, record in final.items():
                batch[job_id].set(Outcome(record, revision))

    def _settle_conflict(self, batch, conflict):
        """Nothing was written: those whose record changed fail, the others have another turn."""
        changed = {job_id for job_id in batch if KEY + job_id in conflict.failed} or batch.keys()
        for job_id, future in batch.items():
            if job_id in changed:
                future.fail(conflict)
            elif job_id in self._waiting:
                self._waiting[job_id].on_done(lambda again, future=future: pass_on(again, future))
            else:
                self._waiting[job_id] = future
        self._wake()


def pass_on(source, future):
    """The outcome of one Future becomes another's."""
    try:
        future.set(source.result())
    except (ConflictError, UnavailableError, UnknownOutcomeError) as error:
        future.fail(error)
