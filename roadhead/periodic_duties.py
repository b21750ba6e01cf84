"""What a controller does with each heartbeat, and every few of them: leases, machines, news to the others."""

import logging

from roadhead.membership.cancellation_freshness import CANCELLATION_KEPT_FACTOR, SILENT_HEARTBEATS
from roadhead.state.client import UnavailableError, UnknownOutcomeError
from roadhead.wire import frames

log = logging.getLogger("roadhead.node")

# for so long a lapsed member goes by a term that others said is in force
IN_FORCE_BEATS = SILENT_HEARTBEATS + 1.5
MARKS_MOST = 20  # of cancellations, that nobody dropped, dropped at a time
SAMPLE_MOST = 3  # workers asked whether they are reached again


class PeriodicDuties:
    """`node`: the controller's Node; `heartbeat_s`: between two heartbeats, in seconds; `random`: a
    random.Random; `cancel_s`: of the settings."""

    def __init__(self, loop, node, heartbeat_s, cancel_s, random):
        self._loop = loop
        self._node = node
        self._heartbeat_s = heartbeat_s
        self._cancel_s = cancel_s
        self._random = random
        self._judging = False
        self.used = (0.0, 0.0)  # requests and writes of the state service a second, in the last beat
        self._rarer = (  # (each so many beats, what is done then), in that order
            (30, self._drop_stale_marks),
            (6, self._ask_workers_again),
            (2, self._tell_demand),
            (5, self._tell_summary),
            (30, self._scan_as_quota_leader),
            (10, self._log_line),
        )

    async def run(self):
        """Goes on for ever; an incarnation's duty."""
        node = self._node
        beats = 0
        while True:
            await self._loop.sleep(self._heartbeat_s)
            node.check_connectivity()
            node.cancellations.prune(self._loop.now())
            if not node.member.joined:
                continue
            self._look_after_machines()
            self._share_state()
            node.dispatcher.schedule_placement()
            node.failover.notify_quota_leaders()
            node.shard_balancer.tick(node.shard_leader)
            node.job_store.dependency_queue.refresh_priorities()
            node.member.advance_format_gate()
            beats += 1
            if node.tenant_admission is not None:
                node.tenant_admission.tick(beats)
            for every, duty in self._rarer:
                if beats % every == 0:
                    duty()

    # Machines

    def _look_after_machines(self):
        """Judges leases, and gives machines back that nobody uses."""
        node = self._node
        node.authority.can_renew_leases()  # hearing counts only as long as it does not break off
        term_confirmed_at = node.authority.term_confirmed_at()
        self._hear_terms()
        unused = node.shard_leader.tick(term_confirmed_at)
        if node.shard_leader.has_undecided_leases and not self._judging:
            self._judging = True
            self._loop.spawn(self._judge(), "judge leases")
        # Others may have been given these machines, and have work there, without our knowing.
        if (
            not node.member.lease_may_have_expired()
            or self._loop.now() - term_confirmed_at < IN_FORCE_BEATS * self._heartbeat_s
        ):
            node.fleet.release([machine.id for machine in unused])
            node.fleet.return_idle()

    async def _judge(self):
        """A worker's lease has run out since the term was last seen to be in force: is it still?"""
        node = self._node
        home = node.shard_leader
        try:
            await node.member.confirm_term()
        except (UnavailableError, UnknownOutcomeError) as error:
            log.debug("term in force: %r", error)
        if home is node.shard_leader and node.member.joined:
            home.judge_leases(node.authority.term_confirmed_at())
        self._judging = False

    def _hear_terms(self):
        """Relieved controllers that say that they serve a term by which they are."""
        node = self._node
        for label in node.shard_leader.reconciliation.unaware_controllers():
            link = node.peers.links.get(label)
            if link is not None and link.incarnation == node.member.term.incarnation(label):
                node.shard_leader.reconciliation.on_peer_term(label, link.term)

    def _ask_workers_again(self):
        if self._node.label in self._node.member.term.relieved:
            self._loop.spawn(self._try_workers(), "try workers")

    async def _try_workers(self):
        """Relieved of its machines, this controller is their home again once it reaches workers."""
        node = self._node
        running = node.fleet.running
        some = self._random.sample(running, min(SAMPLE_MOST, len(running)))
        if some and 2 * await node.workers.reached(some) > len(some):
            node.member.restore()

    # The state service

    def _share_state(self):
        """Uses of the state service's limits what the other controllers leave."""
        node = self._node
        self.used = node.state.requests.used(), node.state.writes.used()
        term, links = node.member.term, node.peers.links
        node.state.divide_limits(
            [
                links[label].used if label in links else (None if label in term.members else (0.0, 0.0))
                for label in (member.label for member in node.settings.members)
            ]
        )

    def _drop_stale_marks(self):
        stale = self._node.member.stale_cancellation_marks(CANCELLATION_KEPT_FACTOR * self._cancel_s)
        for mark in stale[:MARKS_MOST]:
            self._node.job_store.recorder.schedule_delete(mark)

    def _scan_as_quota_leader(self):
        """Word of a job accepted for the leader may have been lost."""
        node = self._node
        if node.job_store.quota.has_limits and node.label in node.member.term.quota_leaders:
            node.failover.scan()

    # News

    def _tell_demand(self):
        node = self._node
        node.dispatcher.refresh()
        self._tell_members(frames.MachineCounts(node.shard_leader.machine_counts()))

    def _tell_summary(self):
        self._tell_members(self._node.summary_part())

    def _tell_members(self, frame):
        for label in self._node.member.term.members:
            self._node.send(label, frame)

    def _log_line(self):
        node = self._node
        node.workers.trim()
        log.info(
            "jobs=%d machines=%d clean=%s cpus=%.0f running=%.0f preparing=%.0f parked=%.0f "
            "granted=%.0f waiting=%d %s",
            len(node.job_store.jobs),
            len(node.shard_leader.machines),
            node.shard_leader.reconciliation.is_reconciled(),
            *node.shard_leader.usage(),
            sum(len(job.unstarted) for job in node.job_store.jobs.values()),
            node.counters.line(),
        )
