"""Where a job's record lies, and the move of final ones to where a takeover does not read them.

An open job's record is `j/ID`. Its final record is first written there too, in one write, and
later moved to `f/ID`; or both at once, if there are plenty of writes. A record only moves that way,
so whoever does not find it under `j/` looks under `f/` next, never the other way round. A creation
holds only while neither key exists.
"""

import logging

from roadhead.jobs.job import ARCHIVE, FINAL, FORMAT, KEY
from roadhead.pipelines.upstream_parts import whole
from roadhead.runtime.loop import Signal
from roadhead.shards.hashing import rendezvous_choice
from roadhead.state.client import IDLE_PART, ConflictError, UnavailableError, UnknownOutcomeError

log = logging.getLogger("roadhead.records")

KEPT_MOST = 2000  # moves remembered; what is beyond is found again by reading pages
SPARE = 0.75  # of the burst of writes must be left


async def find(state, job_id):
    """(record, stamp) of a job, wherever it lies, or (None, 0). Raises Unavailable or Unsure.

    The stamp is that under `j/`; 0 for a record on the shelf, which nobody writes any more.
    """
    record, stamp = await state.get(KEY + job_id)
    if record is None:
        record, _stamp = await state.get(ARCHIVE + job_id)
        stamp = 0
    return await complete(state, job_id, record), stamp


async def complete(state, job_id, record):
    """A record read, with what is stored apart from it. Raises Unavailable or Unsure, also for one of a
    newer format, which is left alone."""
    if record is not None and record.get("v", 0) > FORMAT:
        raise UnavailableError(f"a record of format {record['v']}")
    return await whole(state, job_id, record)


class RecordArchiver:
    """Moves final records in bounded pieces, with writes that the other duties leave over.

    Each move is one transaction under the stamp last known: whoever repeats it, or comes
    second, changes nothing.
    """

    def __init__(self, loop, state, member, counters):
        self._loop = loop
        self._state = state
        self._member = member
        self._count = counters.add
        self._queue = {}  # job id -> (record, stamp)
        self._after = None  # key after which pages are to be read for more, None if there are none
        self._wake = Signal()

    def add(self, job_id, record, stamp):
        """A final record that lies under `j/` with this stamp."""
        if len(self._queue) >= KEPT_MOST:
            if self._after is None:
                self._after = ""
        elif stamp:
            self._queue[job_id] = (record, stamp)
        self._wake.set()

    def add_if_responsible(self, job_id, record, stamp):
        """As `add`, for a record that every controller sees: one of them moves it."""
        if rendezvous_choice(self._member.term.members, job_id) == self._member.label:
            self.add(job_id, record, stamp)

    async def run(self):
        """The duty."""
        writes = self._state.writes
        while True:
            if not self._queue and self._after is None:
                await self._wake.wait()
            # No more than what is always left to a controller: nobody else's part shrinks by it.
            most = max(1, self._state.batch // 4)
            await self._loop.sleep(2 * most / (IDLE_PART * writes.rate))
            if not self._member.joined or not writes.spare(SPARE):
                continue
            try:
                if self._queue:
                    await self._move(
                        [(job_id, *self._queue.pop(job_id)) for job_id in list(self._queue)[:most]]
                    )
                elif self._after is not None:
                    await self._read_on()
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("move: %r", error)

    async def _move(self, moves):
        conditions = [(KEY + job_id, stamp) for job_id, _record, stamp in moves]
        writes = []
        for job_id, record, _stamp in moves:
            writes += [{"put": ARCHIVE + job_id, "data": record}, {"drop": KEY + job_id}]
        try:
            await self._state.multi(conditions, writes)
            self._count("records_shelved", len(moves))
        except ConflictError as conflict:
            # Those were moved by another controller, or without our hearing of it.
            self._put_back([move for move in moves if KEY + move[0] not in conflict.failed])
        except UnknownOutcomeError:
            # A comparison costs no writes: those that have moved are not moved again.
            await self._compare(moves, conditions)
        except UnavailableError:
            self._put_back(moves)
            raise

    async def _compare(self, moves, conditions):
        try:
            await self._state.check_conditions(conditions)
        except ConflictError as conflict:
            moves = [move for move in moves if KEY + move[0] not in conflict.failed]
        finally:
            self._put_back(moves)

    def _put_back(self, moves):
        for job_id, record, stamp in moves:
            self._queue[job_id] = (record, stamp)

    async def _read_on(self):
        items, more, _revision = await self._state.page(KEY, self._after)
        for key, record, stamp in items:
            if record["s"] in FINAL:
                self.add_if_responsible(key[len(KEY) :], record, stamp)
        if self._after is not None:
            self._after = items[-1][0] if more else None
