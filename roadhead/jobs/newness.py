"""Of the creations that have to wait: which are new, and which are late retries."""

import logging
from itertools import islice

from roadhead.jobs.job import KEY, SHELF
from roadhead.runtime.loop import Signal
from roadhead.state.client import Conflict, Unavailable, Unsure

log = logging.getLogger("roadhead.newness")

CHECK_PARTS = 64  # of the time between writes of progress, after which a creation is looked into
TRIES = 3  # of one comparison, as long as its answers are lost
PAUSE_PARTS = 16  # of the same time, after a comparison that told nothing


class Newness:
    """`settle(job)` is awaited for those of which there is a record. `on_new()`: it was found that there
    is no record (`fresh`), or that nobody can say (`unsure`)."""

    def __init__(self, loop, state, progress_s, settle, on_new):
        self._loop = loop
        self._state = state
        self._progress_s = progress_s
        self._settle = settle
        self._on_new = on_new
        self._unchecked = Signal()
        self._to_check = {}  # in order as a set
        self.fresh = {}  # those that were looked into and found to be new, in order as a set
        self.unsure = False  # whether nobody can say at present which are

    def add(self, job):
        """The creation has to wait."""
        if job not in self.fresh:
            self._to_check[job] = True
            self._unchecked.set()

    def being_written(self, job):
        """The creation's outcome will tell."""
        self._to_check.pop(job, None)

    def remove(self, job):
        """The creation does not wait any more."""
        self._to_check.pop(job, None)
        self.fresh.pop(job, None)

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
            except Conflict as error:
                self.unsure = False
                for job in batch:
                    if not {KEY + job.id, SHELF + job.id}.isdisjoint(error.failed):
                        await self._settle(job)
            except (Unavailable, Unsure) as error:
                log.debug("check of %d creations: %r", len(batch), error)
                self.unsure = True
                self._on_new()
                await self._loop.sleep(self._progress_s / PAUSE_PARTS)
            else:
                self.unsure = False
                for job in batch:
                    if self._to_check.pop(job, False):
                        self.fresh[job] = True
                self._on_new()
            self._unchecked.set()

    async def _compare(self, batch):
        """Raises Conflict unless there is no record of any of them."""
        conditions = [(place + job.id, 0) for job in batch for place in (KEY, SHELF)]
        for left in reversed(range(TRIES)):
            try:
                return await self._state.unchanged(conditions)
            except Unsure:
                if not left:
                    raise
