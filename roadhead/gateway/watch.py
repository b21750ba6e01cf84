"""What a gateway knows: the tenants and the term, by one watch on the state service."""

import logging

from roadhead.membership.member import TERM
from roadhead.membership.term import Term
from roadhead.state.client import CompactedError, UnavailableError, UnknownOutcomeError
from roadhead.tenants.records import TENANT

log = logging.getLogger("roadhead.watch")

PREFIX = "c/t"  # of the term and of all tenants


class Watch:
    """`fresh()` is false once nothing was heard for `stale_s`: then the gateway refuses everything
    rather than take a key that may be revoked."""

    def __init__(self, loop, state, table, stale_s):
        self._loop = loop
        self._state = state
        self._table = table
        self._stale_s = stale_s
        self._heard_at = -1e9  # send time of the newest listing or watch that was answered
        self._seen = None
        self.term = Term()
        self._term_stamp = 0

    def fresh(self):
        return self._loop.now() - self._heard_at < self._stale_s

    def _take(self, key, record, stamp):
        if key == TERM:
            if stamp > self._term_stamp:
                self.term, self._term_stamp = Term.from_record(record), stamp
        elif key.startswith(TENANT):
            self._table.take(key, record, stamp)

    async def run(self):
        """The duty."""
        while True:
            sent_at = self._loop.now()
            try:
                if self._seen is None:
                    items, self._seen = await self._state.list(PREFIX)
                    for key, record, stamp in items:
                        self._take(key, record, stamp)
                else:
                    events, revision = await self._state.changes(PREFIX, self._seen, self._stale_s / 3)
                    for event in events:
                        if "put" in event:
                            self._take(event["put"], event["data"], event["stamp"])
                    self._seen = max(self._seen, revision)
                self._heard_at = max(self._heard_at, sent_at)
            except CompactedError:
                self._seen = None
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("watch: %r", error)
                await self._loop.sleep(self._stale_s / 40)
