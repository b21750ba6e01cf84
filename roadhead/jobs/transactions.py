"""Transactions that write job records, and how many of them may be under way at once."""

from dataclasses import dataclass, field

from roadhead.jobs.job import ARCHIVE, KEY, Job
from roadhead.jobs.ranges import Ranges
from roadhead.jobs.records import SPARE
from roadhead.runtime.loop import Signal

DROPS_KEPT = 1000
DROPS_MOST = 2  # in a transaction
LANES = 8  # transactions under way at once, with those whose outcome is being looked up


@dataclass(eq=False, slots=True)
class RecordWrite:
    """One job's record in a transaction under way."""

    job: Job
    urgency: int
    record: dict
    recorded: Ranges  # tasks that the record says are done, as it was sent
    state: str
    again: int | None = None  # urgency with which the job was marked since, if it was
    over: bool = False  # unmarked since: it need not be written again
    archived: bool = False  # the record goes to where final ones lie at once

    @property
    def keys(self):
        """Where the job's record may lie."""
        return KEY + self.job.id, ARCHIVE + self.job.id

    def is_stored_as(self, record):
        """Whether that record is the one sent: nobody else writes an open one with this owner's name."""
        return self.state == "open" and record == self.record


@dataclass(eq=False, slots=True)
class Transaction:
    """What is sent to the state service: all of it takes effect, under one revision, or nothing."""

    entries: list[RecordWrite] = field(default_factory=list)
    conditions: list[tuple[str, int]] = field(default_factory=list)
    writes: list[dict] = field(default_factory=list)
    drops: list[str] = field(default_factory=list)

    def require(self, condition):
        """`condition`, a (key, stamp) or None, has to hold."""
        if condition is not None and condition not in self.conditions:
            self.conditions.append(condition)

    def put(self, job_id, record, archived):
        """Writes the job's record, under `j/`, or from there to where final ones lie."""
        if archived:
            self.writes += [{"put": ARCHIVE + job_id, "data": record}, {"drop": KEY + job_id}]
        else:
            self.writes.append({"put": KEY + job_id, "data": record})

    def may_archive(self, job, left, state):
        """Whether the job's final record goes to the shelf at once, two writes instead of one now and two
        later: only while there are plenty, since users wait for the ends of other jobs. `left`: jobs that
        may still be added to this transaction."""
        planned = len(self.writes) + left
        return (
            job.state == "done"
            and job.stamp != 0
            and planned + 2 <= state.limits.txn_ops
            and state.writes.level() - planned >= SPARE * state.writes.burst
        )

    @property
    def creates(self):
        """Whether it creates a key."""
        return any(not stamp for _key, stamp in self.conditions)


class PendingDeletes:
    """Keys that are no longer needed. They go along with records, a few at a time, and by themselves once
    none was to be written for `progress_s`."""

    def __init__(self, loop, progress_s):
        self._loop = loop
        self._progress_s = progress_s
        self._keys = []
        self._waiting_since = 0.0

    def __len__(self):
        return len(self._keys)

    def add(self, key):
        """The key is no longer needed."""
        if not self._keys:
            self._waiting_since = self._loop.now()
        if len(self._keys) < DROPS_KEPT and key not in self._keys:
            self._keys.append(key)

    def give_back(self, keys):
        """They may not have been dropped."""
        for key in keys:
            self.add(key)

    def take(self, most):
        """Up to so many keys, for a transaction."""
        most = min(most, DROPS_MOST)
        taken, self._keys = self._keys[:most], self._keys[most:]
        return taken

    def due(self):
        """Whether they have waited long enough to go by themselves."""
        return bool(self._keys) and self._loop.now() - self._waiting_since >= self._progress_s


class TransactionPacer:
    """Paces transactions. As long as answers come in their usual time one is under way at a time, so that
    what is marked meanwhile goes into one batch; an answer that is late no longer holds up the next."""

    def __init__(self, loop, answers):
        self._loop = loop
        self._answers = answers  # state.latency.AnswerTimes
        self._under_way = {}  # routines, in the order in which they began, as a set
        self._newest = None
        self._began_at = 0.0
        self._paused_until = 0.0
        self._ended = Signal()

    def __len__(self):
        return len(self._under_way)

    async def turn(self):
        """Waits until the next transaction may begin."""
        while (left := self._left()) != 0.0:
            await self._ended.wait(self._loop, left)

    def _left(self):
        """Seconds until the next may begin if none ends; None: not before one ends."""
        now = self._loop.now()
        if now < self._paused_until:
            return self._paused_until - now
        if len(self._under_way) >= LANES:
            return None
        if self._newest not in self._under_way:
            return 0.0
        return max(0.0, self._began_at + self._answers.late_s - now)

    def pause(self, seconds):
        """The state service executes nothing at present: the next transaction waits that long."""
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
        """Nobody waits for their outcome any more."""
        for routine in list(self._under_way):
            routine.cancel()
