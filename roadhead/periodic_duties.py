"""Runs a controller's periodic duties, each once per heartbeat or every few heartbeats.

They check leases and machines, divide the state service's limits, and tell the others demand and summaries.
"""

import logging

from roadhead.membership.cancellation_freshness import CANCELLATION_KEPT_FACTOR, SILENT_HEARTBEATS
from roadhead.state.client import UnavailableError, UnknownOutcomeError
from roadhead.wire import frames

log = logging.getLogger("roadhead.node")

# After its lease has lapsed, a member acts on a term for so long after the others showed it to be in force.
TERM_VALID_HEARTBEATS = SILENT_HEARTBEATS + 1.5
UNCONFIRMED_HEARTBEATS = 12  # a workers' lease, in which a launch is reported or its machine is given up
COMPARISON_HEARTBEATS = 12  # a workers' lease
MAX_MARKS_PER_RUN = 20  # stale cancellation marks deleted at a time
MAX_SAMPLE = 3  # workers probed by a relieved controller


class PeriodicDuties:
    """The duties of one Node.

    `heartbeat_s`: the seconds between two heartbeats; `cancel_s`: from the settings, the time by which a
    cancelled job's tasks have ended; `random`: a random.Random.
    """

    def __init__(self, loop, node, heartbeat_s, cancel_s, random):
        self._loop = loop
        self._node = node
        self._heartbeat_s = heartbeat_s
        self._cancel_s = cancel_s
        self._random = random
        self._is_judging = False
        self.used = (0.0, 0.0)  # requests and writes per second to the state service since the last heartbeat
        self._schedule = (  # (interval in heartbeats, duty), run in this order
            (30, self._drop_stale_marks),
            (6, self._restore_if_reachable),
            (2, self._send_demand),
            (5, self._send_summary),
            (COMPARISON_HEARTBEATS, self._compare),
            (30, self._scan_as_quota_leader),
            (10, self._log_status),
        )

    async def run(self):
        """Runs the duties until the incarnation ends and this coroutine is cancelled."""
        node = self._node
        heartbeats = 0
        while True:
            await self._loop.sleep(self._heartbeat_s)
            node.check_connectivity()
            node.cancellations.prune(self._loop.now())
            if not node.member.joined:
                continue
            self._check_machines()
            self._share_state_limits()
            node.dispatcher.schedule_placement()
            node.failover.notify_quota_leaders()
            node.shard_balancer.tick(node.shard_leader)
            node.job_store.dependency_queue.refresh_priorities()
            node.member.advance_format_gate()
            heartbeats += 1
            if node.tenant_admission is not None:
                node.tenant_admission.on_heartbeat(heartbeats)
            for interval_heartbeats, duty in self._schedule:
                if heartbeats % interval_heartbeats == 0:
                    duty()

    # Machines

    def _check_machines(self):
        """Checks the workers' leases, and returns unused machines to the cloud."""
        node = self._node
        # Called at every heartbeat: what was heard from the others counts only while there is no gap in it.
        node.authority.can_renew_leases()
        term_confirmed_at = node.authority.term_confirmed_at()
        self._check_relieved_controllers()
        unused = node.shard_leader.tick(term_confirmed_at)
        if node.shard_leader.has_undecided_leases and not self._is_judging:
            self._is_judging = True
            self._loop.spawn(self._judge_leases(), "judge leases")
        # Otherwise the machines may have a new shard leader by now, and tasks that are not known here.
        if (
            not node.member.lease_may_have_expired()
            or self._loop.now() - term_confirmed_at < TERM_VALID_HEARTBEATS * self._heartbeat_s
        ):
            node.fleet.release([machine.id for machine in unused])
            node.fleet.return_idle()

    async def _judge_leases(self):
        """Confirms that the term is in force, then judges the leases that ended since that was last known."""
        node = self._node
        leader = node.shard_leader
        try:
            await node.member.confirm_term()
        except (UnavailableError, UnknownOutcomeError) as error:
            log.debug("confirming the term failed: %r", error)
        if leader is node.shard_leader and node.member.joined:
            leader.judge_leases(node.authority.term_confirmed_at())
        self._is_judging = False

    def _check_relieved_controllers(self):
        """Records which relieved controllers are known, by their heartbeats, to have seen that they are."""
        node = self._node
        for label in node.shard_leader.reconciliation.unaware_controllers():
            link = node.peers.links.get(label)
            if link is not None and link.incarnation == node.member.term.incarnation(label):
                node.shard_leader.reconciliation.on_peer_term(label, link.term)

    def _restore_if_reachable(self):
        """Probes workers if this controller is relieved of its machines."""
        if self._node.label in self._node.member.term.relieved:
            self._loop.spawn(self._probe_workers(), "try workers")

    async def _probe_workers(self):
        """Ends the relief, so that this controller leads shards again, if it reaches most probed workers."""
        node = self._node
        running = node.fleet.running
        probed = self._random.sample(running, min(MAX_SAMPLE, len(running)))
        if probed and 2 * await node.workers.count_reachable(probed) > len(probed):
            node.member.restore()

    # The state service

    def _share_state_limits(self):
        """Sets this controller's part of the state service's limits by what the other controllers use."""
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
        """Deletes cancellation marks whose writers ended before they could delete them."""
        stale = self._node.member.stale_cancellation_marks(CANCELLATION_KEPT_FACTOR * self._cancel_s)
        for mark in stale[:MAX_MARKS_PER_RUN]:
            self._node.job_store.recorder.schedule_delete(mark)

    def _scan_as_quota_leader(self):
        """Scans for jobs of which a quota leader was not told, since that frame may have been lost."""
        node = self._node
        if node.job_store.quota.has_limits and node.label in node.member.term.quota_leaders:
            node.failover.scan()

    # Frames to the other members

    def _send_demand(self):
        node = self._node
        node.dispatcher.refresh()
        self._send_to_members(frames.MachineCounts(node.shard_leader.machine_counts()))

    def _compare(self):
        """Finds what a frame that was lost left different here and at another controller."""
        node = self._node
        node.dispatcher.drop_lapsed_grants()
        node.dispatcher.repeat_empty_demand()
        node.shard_leader.look_up_jobs_of_ended_owners()
        if node.member.format_gate.is_open:
            node.owner_comparison.compare()

    def _send_summary(self):
        self._send_to_members(self._node.summary_part())

    def _send_to_members(self, frame):
        for label in self._node.member.term.members:
            self._node.send(label, frame)

    def _log_status(self):
        """Logs one line of status."""
        node = self._node
        node.workers.trim()
        log.info(
            "jobs=%d machines=%d clean=%s cpus=%.0f running=%.0f preparing=%.0f parked=%.0f "
            "granted=%.0f waiting=%d unconfirmed=%d %s",
            len(node.job_store.jobs),
            len(node.shard_leader.machines),
            node.shard_leader.reconciliation.is_reconciled(),
            *node.shard_leader.usage(),
            sum(len(job.unstarted) for job in node.job_store.jobs.values()),
            node.job_store.task_reports.count_unconfirmed(UNCONFIRMED_HEARTBEATS * self._heartbeat_s),
            node.counters.line(),
        )
