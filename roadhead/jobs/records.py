"""Where a job's record is stored, and the archive of final records, which a takeover does not read.

The record of an open job is stored under `j/ID`. Its final record is first written there too, in one write,
and later moved to the archive under `f/ID`; if there are plenty of writes left, both happen in one
transaction. A record only moves in that direction, so a reader that does not find it under `j/` looks under
`f/` next, never the other way round. A job is created only while neither key exists.
"""

import logging

from roadhead.jobs.job import ARCHIVE, FINAL, RECORD_FORMAT, RECORD_PREFIX
from roadhead.pipelines.upstream_parts import with_upstream
from roadhead.runtime.loop import Signal
from roadhead.shards.hashing import rendezvous_choice
from roadhead.state.client import IDLE_SHARE, ConflictError, UnavailableError, UnknownOutcomeError

log = logging.getLogger("roadhead.records")

MAX_QUEUED = 2000  # maximum length of the queue; further records are found again by reading pages
SPARE_FRACTION = 0.75  # fraction of the burst of writes that must be left over


async def find(state, job_id):
    """Returns (record, stamp) of a job, wherever it is stored, or (None, 0).

    The stamp is that of the key under `j/`; it is 0 for an archived record, which is never written again.
    Raises UnavailableError or UnknownOutcomeError.
    """
    record, stamp = await state.get(RECORD_PREFIX + job_id)
    if record is None:
        record, _stamp = await state.get(ARCHIVE + job_id)
        stamp = 0
    return await complete(state, job_id, record), stamp


async def complete(state, job_id, record):
    """Returns a stored record together with what is stored apart from it.

    Raises UnavailableError or UnknownOutcomeError. A record of a newer format also raises UnavailableError,
    and is left alone.
    """
    if record is not None and record.get("v", 0) > RECORD_FORMAT:
        raise UnavailableError(f"record of job {job_id} has format {record['v']}, newer than {RECORD_FORMAT}")
    return await with_upstream(state, job_id, record)


class RecordArchiver:
    """Moves final records to the archive in small batches, with writes that other duties leave over.

    Each batch is one transaction under the stamps last known: repeating it, or coming second, changes
    nothing.
    """

    def __init__(self, loop, state, member, counters):
        self._loop = loop
        self._state = state
        self._member = member
        self._count = counters.add
        self._queue = {}  # job id -> (record, stamp)
        self._after = None  # key after which pages are read for more records; None if there are none
        self._wake = Signal()

    def add(self, job_id, record, stamp):
        """Queues a final record that is stored under `j/` with this stamp."""
        if len(self._queue) >= MAX_QUEUED:
            if self._after is None:
                self._after = ""
        elif stamp:
            self._queue[job_id] = (record, stamp)
        self._wake.set()

    def add_if_responsible(self, job_id, record, stamp):
        """Queues a final record that every controller reads, on the one controller responsible for it."""
        if rendezvous_choice(self._member.term.members, job_id) == self._member.label:
            self.add(job_id, record, stamp)

    async def run(self):
        """Duty: moves the queued records."""
        writes = self._state.writes
        while True:
            if not self._queue and self._after is None:
                await self._wake.wait()
            # No more than what every controller is always left: nobody else's share shrinks by it.
            most = max(1, self._state.batch // 4)
            await self._loop.sleep(2 * most / (IDLE_SHARE * writes.rate))
            if not self._member.joined or not writes.spare(SPARE_FRACTION):
                continue
            try:
                if self._queue:
                    await self._move(
                        [(job_id, *self._queue.pop(job_id)) for job_id in list(self._queue)[:most]]
                    )
                elif self._after is not None:
                    await self._read_on()
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("final records were not moved to the archive: %r", error)

    async def _move(self, moves):
        conditions = [(RECORD_PREFIX + job_id, stamp) for job_id, _record, stamp in moves]
        writes = []
        for job_id, record, _stamp in moves:
            writes += [{"put": ARCHIVE + job_id, "data": record}, {"drop": RECORD_PREFIX + job_id}]
        try:
            await self._state.multi(conditions, writes)
            self._count("records_shelved", len(moves))
        except ConflictError as conflict:
            # The others were moved by another controller, or by a write of ours whose answer was lost.
            self._put_back([move for move in moves if RECORD_PREFIX + move[0] not in conflict.failed])
        except UnknownOutcomeError:
            # A comparison costs no writes, and records that were moved are not moved again.
            await self._compare(moves, conditions)
        except UnavailableError:
            self._put_back(moves)
            raise

    async def _compare(self, moves, conditions):
        try:
            await self._state.check_conditions(conditions)
        except ConflictError as conflict:
            moves = [move for move in moves if RECORD_PREFIX + move[0] not in conflict.failed]
        finally:
            self._put_back(moves)

    def _put_back(self, moves):
        for job_id, record, stamp in moves:
            self._queue[job_id] = (record, stamp)

    async def _read_on(self):
        items, more, _revision = await self._state.page(RECORD_PREFIX, self._after)
        for key, record, stamp in items:
            if record["s"] in FINAL:
                self.add_if_responsible(key[len(RECORD_PREFIX) :], record, stamp)
        if self._after is not None:
            self._after = items[-1][0] if more else None
