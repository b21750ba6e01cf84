"""Failover of jobs: successors take over the jobs of owners that the term no longer names.

They find them in three ways: by a scan of the records after a change of the term, by word of a controller
that accepted a job for its quota leader, and by a user's poll that reads an open record whose owner does not
serve.
"""

import logging

from roadhead.jobs.job import FINAL, RECORD_FORMAT, RECORD_PREFIX
from roadhead.jobs.records import find
from roadhead.membership.member import CLOCK_DRIFT
from roadhead.pipelines.upstream_parts import with_upstream
from roadhead.state.client import UnavailableError, UnknownOutcomeError
from roadhead.wire import frames

log = logging.getLogger("roadhead.recovery")


class JobFailover:
    """Takes over jobs that fall to this controller.

    `changed()` is called after each complete scan, since jobs that waited for it may be placed then.
    `retry_s`: seconds between two tries to read.
    """

    def __init__(self, loop, state, member, teams, send, changed, retry_s, cancel_s):
        self._loop = loop
        self._state = state
        self._member = member
        self._teams = teams
        self._send = send
        self._changed = changed
        self._retry_s = retry_s
        self._cancel_s = cancel_s
        self._job_store = self._archiver = None
        self._roster = None  # Term.roster() of the newest term
        self._logged_newer_format = False
        self._orphans = {}  # job accepted for a quota leader that is not told yet -> its team's group

    def begin(self, job_store, archiver):
        """Starts an incarnation, which owns nothing yet; jobs accepted for quota leaders are still told."""
        self._job_store, self._archiver = job_store, archiver

    def on_term(self, old, new):
        """Scans for jobs to take over if the new term has other owners than the old one."""
        # In terms skipped between two equal ones, a quota partition may have changed hands and come back.
        doubtful = old is not None and new.number > old.number + 1 and self._job_store.quota.inherits_limits()
        if old is not None and old.roster() == new.roster() and not doubtful:
            if self._job_store.quota.scanned == old.number:
                self._job_store.quota.scanned = new.number
            return
        self._roster = new.roster()
        self._job_store.dependency_queue.on_owners_changed()
        self.scan()

    def scan(self):
        """Starts a scan of all open records under the current term."""
        self._loop.spawn(self._scan(self._roster), "scan")

    async def _scan(self, roster):
        """Takes over the jobs whose successor this controller is, page by page.

        Final records are only remembered, and moved to the archive in time. So a takeover costs what is open,
        and memory holds one page. A record keeps its key until it is final, so none that was there when the
        scan began is missed between two pages.
        """
        member, after = self._member, ""
        while member.joined and self._roster is roster:
            try:
                items, more, _revision = await self._state.page(RECORD_PREFIX, after)
            except (UnavailableError, UnknownOutcomeError):
                await self._loop.sleep(self._retry_s)
                continue
            if not member.joined or self._roster is not roster:
                return
            mine = []
            for key, record, stamp in items:
                job_id = key[len(RECORD_PREFIX) :]
                if record.get("v", 0) > RECORD_FORMAT:
                    if not self._logged_newer_format:
                        self._logged_newer_format = True
                        log.error(
                            "record of job %s, and perhaps others, skipped: unknown format %s",
                            job_id,
                            record["v"],
                        )
                elif record["s"] in FINAL:
                    self._job_store.remember_final(job_id, record)
                    self._archiver.add_if_responsible(job_id, record, stamp)
                elif not member.term.serves(*record["o"]) and self._heir(job_id, record) == member.label:
                    mine.append((record, stamp))
            try:
                mine = [
                    (await with_upstream(self._state, record["spec"]["id"], record), stamp)
                    for record, stamp in mine
                ]
            except (UnavailableError, UnknownOutcomeError):
                await self._loop.sleep(self._retry_s)
                continue  # reads the same page again
            if not member.joined or self._roster is not roster:
                return
            if mine:
                log.info("taking over %d jobs", len(mine))
                self._job_store.take_over(mine)
            if more:
                after = items[-1][0]
                continue
            gone_at = None
            if self._job_store.quota.inherits_limits():
                # Jobs cancelled before this scan read them have no owner, but their tasks may still run and
                # count against the limits.
                try:
                    newest_cancelled_at = await member.newest_cancellation_at()
                except (UnavailableError, UnknownOutcomeError):
                    await self._loop.sleep(self._retry_s)
                    continue
                if not member.joined or self._roster is not roster:
                    return
                if newest_cancelled_at is not None:
                    gone_at = newest_cancelled_at + self._cancel_s * (1 + CLOCK_DRIFT)
                    self._loop.call_later(max(0.0, gone_at - self._loop.now()), self._changed)
            self._job_store.quota.on_all_read(member.term.number, gone_at)
            self._changed()
            return

    def _heir(self, job_id, record):
        group = self._teams.group(record["spec"]["crew"])
        return self._member.term.successor(job_id, record["o"][0], group)

    # Jobs found without an owner

    def on_accepted(self, job):
        """Tells the quota leader of a job of a limited team that was accepted here for it."""
        self._orphans[job.id] = self._teams.group(job.spec.team)
        self.notify_quota_leaders()

    def notify_quota_leaders(self):
        """Tells quota leaders of jobs accepted for them; called with each heartbeat, as links may be down."""
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
        """Tells the job's successor if a record read for a user has an owner that no longer serves.

        The scan after a change of the term finds nearly all such jobs, but a write of a dropped owner can
        take effect after it.
        """
        member = self._member
        if record["s"] not in FINAL and member.joined and not member.term.serves(*record["o"]):
            self._send(self._heir(job_id, record), frames.OrphanedJob(job_id))

    def on_orphan(self, job_id):
        """Takes over one job that another controller found without an owner."""
        self._loop.spawn(self._adopt_one(job_id), "adopt")

    async def _adopt_one(self, job_id):
        if self._job_store.knows(job_id):
            self._job_store.reassert_ownership(job_id)
            return
        try:
            record, stamp = await find(self._state, job_id)
        except (UnavailableError, UnknownOutcomeError):
            return  # the next scan or poll finds the job
        member = self._member
        if record is None or record["s"] in FINAL or not member.joined:
            return
        if not member.term.serves(*record["o"]) and self._heir(job_id, record) == member.label:
            if record["o"][0]:  # empty if it was accepted for this controller as the quota leader
                log.info("taking over job %s, whose owner no longer serves", job_id)
            self._job_store.take_over([(record, stamp)])
