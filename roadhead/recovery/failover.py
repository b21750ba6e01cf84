"""Jobs of owners that the term no longer names fall to their heirs.

Three ways lead there: the scan after every change of the term, the word of a controller that
accepted a job for its warden, and a poll that finds an open record whose owner does not serve.
"""

import logging

from roadhead.jobs.job import FINAL, FORMAT, KEY
from roadhead.jobs.records import find
from roadhead.membership.member import DRIFT
from roadhead.pipelines.upstream_parts import whole
from roadhead.state.client import UnavailableError, UnknownOutcomeError
from roadhead.wire import frames

log = logging.getLogger("roadhead.recovery")


class JobFailover:
    """`changed()` is called once a scan is through: what waited for it may be placed."""

    def __init__(self, loop, state, member, teams, send, changed, retry_s, cancel_s):
        self._loop = loop
        self._state = state
        self._member = member
        self._teams = teams
        self._send = send
        self._changed = changed
        self._retry_s = retry_s
        self._cancel_s = cancel_s
        self._job_store = self._shelf = None
        self._roster = None  # of the term: who serves, and who the wardens are
        self._said_newer = False
        self._orphans = {}  # jobs accepted for a warden that has yet to be told -> their group

    def begin(self, job_store, archiver):
        """A new incarnation owns nothing yet; what it accepted for others is still to be told."""
        self._job_store, self._shelf = job_store, archiver

    def on_term(self, old, new):
        """Only if others own jobs than before is there anything to inherit."""
        # Between two terms that are alike a quota partition may have gone to another and come back.
        doubtful = old is not None and new.number > old.number + 1 and self._job_store.quota.inherits_limits()
        if old is not None and old.roster() == new.roster() and not doubtful:
            if self._job_store.quota.scanned == old.number:
                self._job_store.quota.scanned = new.number
            return
        self._roster = new.roster()
        self._job_store.dependency_queue.on_owners_changed()
        self.scan()

    def scan(self):
        """Reads all open records under the term as it is now."""
        self._loop.spawn(self._scan(self._roster), "scan")

    async def _scan(self, roster):
        """Takes over what falls to this controller, page by page.

        Final records are only seen, and moved to the shelf in time, so that a takeover costs
        what is open and memory holds a page. A record lies in its place until it is final, so
        none that was there when the scan began is missed between two pages.
        """
        member, after = self._member, ""
        while member.joined and self._roster is roster:
            try:
                items, more, _revision = await self._state.page(KEY, after)
            except (UnavailableError, UnknownOutcomeError):
                await self._loop.sleep(self._retry_s)
                continue
            if not member.joined or self._roster is not roster:
                return
            mine = []
            for key, record, stamp in items:
                job_id = key[len(KEY) :]
                if record.get("v", 0) > FORMAT:
                    if not self._said_newer:
                        self._said_newer = True
                        log.error("%s, and perhaps others, is of format %s: left alone", job_id, record["v"])
                elif record["s"] in FINAL:
                    self._job_store.remember_final(job_id, record)
                    self._shelf.add_if_responsible(job_id, record, stamp)
                elif not member.term.serves(*record["o"]) and self._heir(job_id, record) == member.label:
                    mine.append((record, stamp))
            try:
                mine = [
                    (await whole(self._state, record["spec"]["id"], record), stamp) for record, stamp in mine
                ]
            except (UnavailableError, UnknownOutcomeError):
                await self._loop.sleep(self._retry_s)
                continue  # the same page again
            if not member.joined or self._roster is not roster:
                return
            if mine:
                log.info("inheriting %d jobs", len(mine))
                self._job_store.take_over(mine)
            if more:
                after = items[-1][0]
                continue
            gone_at = None
            if self._job_store.quota.inherits_limits():
                # What was cancelled before this scan saw it is nobody's, but may run, and counts.
                try:
                    newest = await member.newest_cancellation_at()
                except (UnavailableError, UnknownOutcomeError):
                    await self._loop.sleep(self._retry_s)
                    continue
                if not member.joined or self._roster is not roster:
                    return
                if newest is not None:
                    gone_at = newest + self._cancel_s * (1 + DRIFT)
                    self._loop.call_later(max(0.0, gone_at - self._loop.now()), self._changed)
            self._job_store.quota.all_read(member.term.number, gone_at)
            self._changed()
            return

    def _heir(self, job_id, record):
        group = self._teams.group(record["spec"]["crew"])
        return self._member.term.successor(job_id, record["o"][0], group)

    # Jobs found without an owner

    def on_accepted(self, job):
        """A job of a limited team was accepted here: its warden shall take it over."""
        self._orphans[job.id] = self._teams.group(job.spec.team)
        self.notify_quota_leaders()

    def notify_quota_leaders(self):
        """Links may not be up yet, as right after the start: tried again with every beat."""
        unreached = set()
        for job, group in list(self._orphans.items()):
            quota_leader = self._member.term.quota_leader(group)
            if (
                quota_leader is None
                or quota_leader in unreached
                or not self._send(quota_leader, frames.OrphanedJob(job))
            ):
                unreached.add(quota_leader)
                continue
            del self._orphans[job]

    def on_record_read(self, job_id, record):
        """A record was read for a user. If its owner is gone, its heir shall take it over.

        The scan after a change of the term finds nearly all such jobs; a write of a dropped
        owner can take effect after it.
        """
        member = self._member
        if record["s"] not in FINAL and member.joined and not member.term.serves(*record["o"]):
            self._send(self._heir(job_id, record), frames.OrphanedJob(job_id))

    def on_orphan(self, job_id):
        self._loop.spawn(self._adopt_one(job_id), "adopt")

    async def _adopt_one(self, job_id):
        if self._job_store.knows(job_id):
            self._job_store.reassert_ownership(job_id)
            return
        try:
            record, stamp = await find(self._state, job_id)
        except (UnavailableError, UnknownOutcomeError):
            return  # the next scan or poll finds it
        member = self._member
        if record is None or record["s"] in FINAL or not member.joined:
            return
        if not member.term.serves(*record["o"]) and self._heir(job_id, record) == member.label:
            if record["o"][0]:  # else it was accepted for us, as the warden
                log.info("taking over %s, found without an owner", job_id)
            self._job_store.take_over([(record, stamp)])
