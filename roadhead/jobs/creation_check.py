"""Of the creations that have to wait: which are new, and which are late retries."""

import logging
from itertools import islice

from roadhead.jobs.job import ARCHIVE, KEY
from roadhead.runtime.loop import Signal
from roadhead.state.client import ConflictError, UnavailableError, UnknownOutcomeError

log = logging.getLogger("roadhead.newness")

CHECK_PARTS = 64  # of the time between writes of progress, after which a creation is looked into
TRIES = 3  # of one comparison, as long as its answers are lost
PAUSE_PARTS = 16  # of the same time, after a comparison that told nothing


class CreationChecker:
    """`settle(job)` is awaited for those of which there is a record. `on_new()`: it was found that there
    is no record (`confirmed_new`), or that nobody can say (`newness_unknown`)."""

    def __init__(self, loop, state, progress_s, settle, on_new):
        self._loop = loop
        self._state = state
        self._progress_s = progress_s
        self._settle = settle
        self._on_new = on_new
        self._unchecked = Signal()
        self._to_check = {}  # in order as a set
        self.confirmed_new = {}  # those that were looked into and found to be new, in order as a set
        self.newness_unknown = False  # whether nobody can say at present which are

    def add(self, job):
        """The creation has to wait."""
        if job not in self.confirmed_new:
            self._to_check[job] = True
            self._unchecked.set()

    def being_written(self, job):
        """The creation's outcome will tell."""
        self._to_check.pop(job, None)

    def remove(self, job):
        """The creation does not wait any more."""
        self._to_check.pop(job, None)
        self.confirmed_new.pop(job, None)

    async def run(self):
        """Duty. Users may submit a job again at any later time, and whoever has not seen its end can't
        tell that from a new one. Many are compared in one request, which writes nothing."""
        while True:
            await self._unchecked.wait()
            await self._loop.sleep(self._progress_s / CHECK_PARTS)  # most are written by then
            batch = list(islice(self._to_check, 2 * int(self._state.limits.txn_ops)))
            if not batch:
                continue
            try:
                await self._compare(batch)
            except ConflictError as error:
                self.newness_unknown = False
                for job in batch:
                    if not {KEY + job.id, ARCHIVE + job.id}.isdisjoint(error.failed):
                        await self._settle(job)
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("check of %d creations: %r", len(batch), error)
                self.newness_unknown = True
                self._on_new()
                await self._loop.sleep(self._progress_s / PAUSE_PARTS)
            else:
                self.newness_unknown = False
                for job in batch:
                    if self._to_check.pop(job, False):
                        self.confirmed_new[job] = True
                self._on_new()
            self._unchecked.set()

    async def _compare(self, batch):
        """Raises Conflict unless there is no record of any of them."""
        conditions = [(place + job.id, 0) for job in batch for place in (KEY, ARCHIVE)]
        for left in reversed(range(TRIES)):
            try:
                return await self._state.check_conditions(conditions)
            except UnknownOutcomeError:
                if not left:
                    raise
