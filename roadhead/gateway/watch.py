"""Keeps a gateway's tenants and membership term up to date, with one watch on the state service."""

import logging

from roadhead.membership.member import TERM
from roadhead.membership.term import Term
from roadhead.state.client import CompactedError, UnavailableError, UnknownOutcomeError
from roadhead.tenants.records import TENANT

log = logging.getLogger("roadhead.watch")

PREFIX = "c/t"  # common prefix of the keys of the term and of all tenants


class Watch:
    """Watches the records of tenants and the term.

    Once nothing has been heard for `stale_s`, `is_fresh()` is false and the gateway refuses all requests:
    otherwise it might accept a revoked key.
    """

    def __init__(self, loop, state, table, stale_s):
        self._loop = loop
        self._state = state
        self._table = table
        self._stale_s = stale_s
        self._heard_at = -1e9  # send time of the newest list or watch request that was answered
        self._revision = None
        self.term = Term()
        self._term_stamp = 0

    def is_fresh(self):
        """Returns whether the state service has answered within `stale_s`."""
        return self._loop.now() - self._heard_at < self._stale_s

    def _take(self, key, record, stamp):
        if key == TERM:
            if stamp > self._term_stamp:
                self.term, self._term_stamp = Term.from_record(record), stamp
        elif key.startswith(TENANT):
            self._table.take(key, record, stamp)

    async def run(self):
        """Periodic duty: follows the changes."""
        while True:
            sent_at = self._loop.now()
            try:
                if self._revision is None:
                    items, self._revision = await self._state.list(PREFIX)
                    for key, record, stamp in items:
                        self._take(key, record, stamp)
                else:
                    events, revision = await self._state.changes(PREFIX, self._revision, self._stale_s / 3)
                    for event in events:
                        if "put" in event:
                            self._take(event["put"], event["data"], event["stamp"])
                    self._revision = max(self._revision, revision)
                self._heard_at = max(self._heard_at, sent_at)
            except CompactedError:
                self._revision = None
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("watch: %r", error)
                await self._loop.sleep(self._stale_s / 40)
