"""Finds out which of the waiting creations are new jobs and which are late retries of old ones."""

import logging
from itertools import islice

from roadhead.jobs.job import ARCHIVE, RECORD_PREFIX
from roadhead.runtime.loop import Signal
from roadhead.state.client import ConflictError, UnavailableError, UnknownOutcomeError

log = logging.getLogger("roadhead.newness")

# A waiting creation is checked after 1/CHECK_DELAY_DIVISOR of the time between two writes of progress.
CHECK_DELAY_DIVISOR = 64
MAX_ATTEMPTS = 3  # of one comparison, as long as its answers are lost
# After a comparison without a result the next one waits 1/RETRY_DELAY_DIVISOR of the same time.
RETRY_DELAY_DIVISOR = 16


class CreationChecker:
    """Compares waiting creations with the stored records.

    Args:
        loop: the event loop.
        state: the state service's client.
        progress_s: seconds between two writes of a job's progress.
        settle: `settle(job)` is awaited for each creation of which there is a record already.
        on_new: called when creations were found to have no record (`confirmed_new`), or when nobody can tell
            (`newness_unknown`).
    """

    def __init__(self, loop, state, progress_s, settle, on_new):
        self._loop = loop
        self._state = state
        self._progress_s = progress_s
        self._settle = settle
        self._on_new = on_new
        self._unchecked = Signal()
        self._to_check = {}  # an ordered set
        self.confirmed_new = {}  # waiting creations found to be new; an ordered set
        self.newness_unknown = False  # whether nobody can tell at present which creations are new

    def add(self, job):
        """Adds a creation that has to wait."""
        if job not in self.confirmed_new:
            self._to_check[job] = True
            self._unchecked.set()

    def being_written(self, job):
        """Skips a creation whose write is under way: the outcome shows whether it is new."""
        self._to_check.pop(job, None)

    def remove(self, job):
        """Removes a creation that does not wait any more."""
        self._to_check.pop(job, None)
        self.confirmed_new.pop(job, None)

    async def run(self):
        """Duty: checks the waiting creations.

        Users may submit a job again at any later time, and a controller that has not seen the job's end
        cannot tell the retry from a new job. Many creations are compared in one request, which writes
        nothing.
        """
        while True:
            await self._unchecked.wait()
            await self._loop.sleep(
                self._progress_s / CHECK_DELAY_DIVISOR
            )  # most creations are written by then
            batch = list(islice(self._to_check, 2 * int(self._state.limits.txn_ops)))
            if not batch:
                continue
            try:
                await self._compare(batch)
            except ConflictError as error:
                self.newness_unknown = False
                for job in batch:
                    if not {RECORD_PREFIX + job.id, ARCHIVE + job.id}.isdisjoint(error.failed):
                        await self._settle(job)
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("comparison of %d waiting creations got no result: %r", len(batch), error)
                self.newness_unknown = True
                self._on_new()
                await self._loop.sleep(self._progress_s / RETRY_DELAY_DIVISOR)
            else:
                self.newness_unknown = False
                for job in batch:
                    if self._to_check.pop(job, False):
                        self.confirmed_new[job] = True
                self._on_new()
            self._unchecked.set()

    async def _compare(self, batch):
        """Raises ConflictError unless none of these jobs has a record."""
        conditions = [(prefix + job.id, 0) for job in batch for prefix in (RECORD_PREFIX, ARCHIVE)]
        for left in reversed(range(MAX_ATTEMPTS)):
            try:
                return await self._state.check_conditions(conditions)
            except UnknownOutcomeError:
                if not left:
                    raise
