"""Transactions that write job records, and the pace at which they are sent."""

from dataclasses import dataclass, field

from roadhead.jobs.job import ARCHIVE, RECORD_PREFIX, Job
from roadhead.jobs.ranges import Ranges
from roadhead.jobs.records import SPARE_FRACTION
from roadhead.runtime.loop import Signal

MAX_PENDING_DELETES = 1000
MAX_DELETES_PER_TRANSACTION = 2  # deletions in one transaction
MAX_TRANSACTIONS = 8  # transactions under way at once, including those whose outcome is being looked up


@dataclass(eq=False, slots=True)
class RecordWrite:
    """One job's record in a transaction under way."""

    job: Job
    urgency: int
    record: dict
    recorded: Ranges  # tasks that the record says are done, as it was sent
    state: str
    rescheduled: int | None = None  # urgency with which the write was scheduled again meanwhile
    withdrawn: bool = False  # the scheduled write was cancelled meanwhile: no retry is needed
    archived: bool = False  # the record is moved to the archive by the same transaction

    @property
    def keys(self):
        """The keys under which the job's record may be stored."""
        return RECORD_PREFIX + self.job.id, ARCHIVE + self.job.id

    def is_stored_as(self, record):
        """Returns whether that record is the one sent: no other writer names this owner in an open record."""
        return self.state == "open" and record == self.record


@dataclass(eq=False, slots=True)
class Transaction:
    """Conditions and writes for the state service: all take effect under one revision, or none does."""

    entries: list[RecordWrite] = field(default_factory=list)
    conditions: list[tuple[str, int]] = field(default_factory=list)
    writes: list[dict] = field(default_factory=list)
    deletes: list[str] = field(default_factory=list)

    def require(self, condition):
        """Adds a condition, a (key, stamp), unless it is None or there already."""
        if condition is not None and condition not in self.conditions:
            self.conditions.append(condition)

    def put(self, job_id, record, archived):
        """Writes the job's record under `j/`, or, if it is `archived`, moves it from there to the archive."""
        if archived:
            self.writes += [{"put": ARCHIVE + job_id, "data": record}, {"drop": RECORD_PREFIX + job_id}]
        else:
            self.writes.append({"put": RECORD_PREFIX + job_id, "data": record})

    def may_archive(self, job, left, state):
        """Returns whether the job's final record is moved to the archive at once.

        That takes two writes now instead of one now and two later. It is done only while there are plenty of
        writes, since users wait for the ends of other jobs. `left` is the number of jobs that may still be
        added to this transaction.
        """
        planned = len(self.writes) + left
        return (
            job.state == "done"
            and job.stamp != 0
            and planned + 2 <= state.limits.txn_ops
            and state.writes.level() - planned >= SPARE_FRACTION * state.writes.burst
        )

    @property
    def creates(self):
        """Whether the transaction creates a key."""
        return any(not stamp for _key, stamp in self.conditions)


class PendingDeletes:
    """Keys that are no longer needed and wait to be deleted.

    They are deleted along with writes of records, a few at a time, or by themselves once no record was
    written for `progress_s` seconds.
    """

    def __init__(self, loop, progress_s):
        self._loop = loop
        self._progress_s = progress_s
        self._keys = []
        self._waiting_since = 0.0

    def __len__(self):
        return len(self._keys)

    def add(self, key):
        """Queues a key."""
        if not self._keys:
            self._waiting_since = self._loop.now()
        if len(self._keys) < MAX_PENDING_DELETES and key not in self._keys:
            self._keys.append(key)

    def requeue(self, keys):
        """Queues keys again that may not have been deleted."""
        for key in keys:
            self.add(key)

    def take(self, most):
        """Takes up to `most` keys for a transaction."""
        most = min(most, MAX_DELETES_PER_TRANSACTION)
        taken, self._keys = self._keys[:most], self._keys[most:]
        return taken

    def is_due(self):
        """Returns whether the keys have waited long enough to be deleted without a record."""
        return bool(self._keys) and self._loop.now() - self._waiting_since >= self._progress_s


class TransactionPacer:
    """Paces transactions.

    While answers arrive in their usual time, one transaction is under way at a time, so that records
    scheduled meanwhile go into one batch. An answer that is late does not hold up the next transaction.
    `answers` estimates the usual time (state/latency.py).
    """

    def __init__(self, loop, answers):
        self._loop = loop
        self._answers = answers  # a state.latency.ResponseTimeEstimator
        self._under_way = {}  # routines in their order of start; an ordered set
        self._newest = None
        self._began_at = 0.0
        self._paused_until = 0.0
        self._ended = Signal()

    def __len__(self):
        return len(self._under_way)

    async def wait_for_turn(self):
        """Waits until the next transaction may begin."""
        while (left := self._delay_s()) != 0.0:
            await self._ended.wait(self._loop, left)

    def _delay_s(self):
        """Returns the seconds until the next transaction may begin, or None if one has to end first."""
        now = self._loop.now()
        if now < self._paused_until:
            return self._paused_until - now
        if len(self._under_way) >= MAX_TRANSACTIONS:
            return None
        if self._newest not in self._under_way:
            return 0.0
        return max(0.0, self._began_at + self._answers.late_s - now)

    def pause(self, seconds):
        """Delays the next transaction, because the state service executes nothing at present."""
        self._paused_until = self._loop.now() + seconds

    def begin(self, work):
        """Runs the coroutine `work`, which carries out a transaction."""
        self._began_at = self._loop.now()
        routine = self._newest = self._loop.spawn(work, "transaction")
        self._under_way[routine] = True
        routine.done.on_done(lambda _done: self._end(routine))

    def _end(self, routine):
        self._under_way.pop(routine, None)
        self._ended.set()

    def cancel(self):
        """Cancels all transactions under way; nobody waits for their outcome any more."""
        for routine in list(self._under_way):
            routine.cancel()
