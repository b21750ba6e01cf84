"""Which jobs were cancelled since a revision of the state service, without a gap.

Every cancellation writes a mark `c/x/ID` and the key `c/n` in one transaction. So the changes below `c/` name
the jobs, and while `c/n` has the same stamp there was no further cancellation.
"""

from itertools import islice

from roadhead.runtime.loop import Future
from roadhead.state.client import CompactedError, UnavailableError, UnknownOutcomeError

CANCELLATION_PREFIX = "c/"
CANCELLATION_COUNTER = "c/n"
MARK_PREFIX = "c/x/"
MAX_KEPT_CANCELLATIONS = 5000  # ids


class CancellationHistory:
    """All cancellations with revisions after `since` and up to `through`.

    `counter_stamp` is the stamp of `c/n` as of `through`. `on_cancelled(ids)` is called with the ids that
    become known, and `on_gap()` when cancellations may have been missed, so that nothing learned before may
    be relied on any more.
    """

    def __init__(self, loop, state, on_cancelled, on_gap):
        self._loop = loop
        self._state = state
        self._on_cancelled = on_cancelled
        self._on_gap = on_gap
        self._revisions = {}  # id of a cancelled job -> revision of its cancellation, oldest first
        self.since = self.through = -1
        self.counter_stamp = 0
        self._waiting = []  # Futures of callers that the next request answers
        self._is_reading = False

    @property
    def has_begun(self):
        """Whether any revision is known yet."""
        return self.through >= 0

    def is_cancelled(self, job_id):
        """Whether the job is known to be cancelled."""
        return job_id in self._revisions

    def covers(self, revision):
        """Whether all cancellations after this revision, up to `through`, are known."""
        return self.since <= revision

    async def refresh(self):
        """Takes in all cancellations up to some moment after this call.

        Callers that wait share a request; one sent before the call doesn't count. Raises UnavailableError or
        UnknownOutcomeError.
        """
        future = Future()
        self._waiting.append(future)
        if not self._is_reading:
            self._is_reading = True
            self._loop.spawn(self._serve_waiting(), "cancellations")
        await future

    def on_unchanged(self, stamp, revision):
        """Takes in that `c/n` still had this stamp at the revision."""
        if stamp == self.counter_stamp:
            self.through = max(self.through, revision)

    async def _serve_waiting(self):
        try:
            while self._waiting:
                waiting, self._waiting = self._waiting, []
                try:
                    await self._read_changes()
                except (UnavailableError, UnknownOutcomeError) as error:
                    for future in waiting:
                        future.fail(error)
                else:
                    for future in waiting:
                        future.set()
        finally:
            self._is_reading = False

    async def _read_changes(self):
        if not self.has_begun:
            await self._begin()
            return
        try:
            events, revision = await self._state.changes(CANCELLATION_PREFIX, self.through, 0.0)
        except CompactedError:
            await self._begin()
            return
        cancelled = {}
        for event in events:
            # A mark that was removed again in the meantime tells of a cancellation as well.
            key = event.get("put") or event.get("drop")
            if key == CANCELLATION_COUNTER:
                self.counter_stamp = max(self.counter_stamp, event["stamp"])
            elif key.startswith(MARK_PREFIX):
                cancelled[key[len(MARK_PREFIX) :]] = event["stamp"]
        self.through = max(self.through, revision)
        self._add(cancelled)

    def _add(self, cancelled):
        """Keeps {id: revision} and forgets the oldest beyond the limit."""
        self._revisions.update(cancelled)
        surplus = len(self._revisions) - MAX_KEPT_CANCELLATIONS
        for job_id in list(islice(self._revisions, max(0, surplus))):
            self.since = max(self.since, self._revisions.pop(job_id))
        if cancelled:
            self._on_cancelled(cancelled)

    async def _begin(self):
        """Starts anew from the present revision: what was cancelled before is not known."""
        items, _more, revision = await self._state.page(CANCELLATION_COUNTER)
        self.counter_stamp = next((stamp for key, _value, stamp in items if key == CANCELLATION_COUNTER), 0)
        self._revisions.clear()
        self.since = self.through = revision
        self._on_gap()
