"""One controller: creates its components, connects them, and passes events from one to another."""

import logging
import random
import time
from functools import partial

from roadhead.admission.feasibility import infeasibility
from roadhead.admission.socket_budget import SocketBudget
from roadhead.anti_entropy.leader_comparison import LeaderComparison
from roadhead.anti_entropy.owner_comparison import OwnerComparison
from roadhead.api.answers import Cause, RefusedError, refusal_events
from roadhead.api.server import Api
from roadhead.cloud.client import CloudClient
from roadhead.decision_log import DecisionLog
from roadhead.dispatch.dispatcher import Dispatcher
from roadhead.dispatch.targets import class_targets, shortest_targets
from roadhead.fleet.fleet import Fleet
from roadhead.frame_router import FrameRouter
from roadhead.jobs.ancestor_records import ancestor_records
from roadhead.jobs.creation_guards import NO_GUARDS
from roadhead.jobs.deadline_risk import DeadlineTracker
from roadhead.jobs.job import (
    ARCHIVE,
    RECORD_FORMAT,
    RECORD_PREFIX,
    for_polls,
)
from roadhead.jobs.job_store import JobStore
from roadhead.jobs.quota_balancer import QuotaBalancer
from roadhead.jobs.recorder import Recorder
from roadhead.jobs.records import RecordArchiver, complete, find
from roadhead.jobs.teams import FixedTeams
from roadhead.machines.shard_leader import SILENT_REPORT_INTERVALS, ShardLeader
from roadhead.machines.spec_lookup import SpecLookup
from roadhead.machines.worker_client import WorkerClient
from roadhead.membership.authority import Authority, max_staleness_s
from roadhead.membership.cancellation_freshness import CANCELLATION_KEPT_FACTOR, KnownCancellations
from roadhead.membership.format_gate import FormatGate
from roadhead.membership.member import Member
from roadhead.membership.peers import Peers
from roadhead.periodic_duties import PeriodicDuties
from roadhead.pipelines.ancestry import Ancestry
from roadhead.pipelines.dependency_queue import DependencyQueue
from roadhead.pipelines.upstream_parts import UpstreamParts
from roadhead.recovery.failover import JobFailover
from roadhead.runtime.loop import Timeout
from roadhead.runtime.supervisor import Supervisor
from roadhead.shards.balancer import ShardBalancer
from roadhead.state.client import StateClient, UnavailableError
from roadhead.state.record_reader import RecordReader
from roadhead.summary import Summary
from roadhead.telemetry import EVENTS, Counters, TroubleLog
from roadhead.wire import frames
from roadhead.wire.messages import JOB_ID

log = logging.getLogger("roadhead.node")

POLL_TIMEOUT_S = 2.0  # how long users wait for the answer to a poll (PROTOCOL)
SUBMIT_TIMEOUT_S = 5.0  # how long users wait for the answer to a submission (PROTOCOL)
POLL_ANSWER_PART = 0.85  # of the poll's timeout, after which the answer is that the state is unknown
SUBMIT_ANSWER_PART = 0.9  # of the submission's timeout, after which the answer is that the outcome is unknown
GIVE_UP_LEASES = 10  # of workers, for which a routine may keep failing before the process gives up
JOBS_PER_FRAME = 500  # ids in one JobsCancelled frame
MAX_CANCELLATIONS = 20_000  # cancellations passed on; with more, users can't cancel or confirm older ones


class Node:
    """One controller process.

    It outlives its incarnations: when the other members drop it, it joins again as a new incarnation and
    rebuilds everything that depends on the membership.

    `hosted`: the TenantAdmissionController where tenants are served, else None.
    """

    def __init__(self, loop, net, settings, tuning, rng=None, time_of_day=time.time, hosted=None):
        self._loop = loop
        self._net = net
        self.settings = settings
        self._tuning = tuning
        self._random = rng or random.Random()
        self._time_of_day = time_of_day
        self.label = settings.label
        deployment = self._deployment = settings.deployment
        workers = deployment.workers
        self.counters = Counters({**EVENTS, **refusal_events()})
        self.decisions = DecisionLog(time_of_day, self.counters)
        self.troubles = TroubleLog(loop.now, time_of_day)
        self.tenant_admission = hosted  # None where no tenants are served
        state_limits = deployment.state if hosted is None else hosted.left_of(deployment.state)
        self.state = StateClient(
            loop, net, settings.external.state, state_limits, deployment.nodes, self._on_lowered
        )
        self.ancestry = Ancestry(
            loop,
            self.state,
            ancestor_records(
                self.state,
                final_state=lambda job: (record := self.job_store.final_records.get(job)) and record["s"],
                learn=lambda job, record: self.job_store.remember_final(job, record),
            ),
        )
        self.record_reader = RecordReader(
            loop,
            self.state,
            POLL_ANSWER_PART * POLL_TIMEOUT_S,
            (RECORD_PREFIX, ARCHIVE),
            partial(complete, self.state),
            for_polls,
            self.ancestry,
        )
        self.cloud = CloudClient(loop, net, settings.external.cloud, deployment.cloud, deployment.nodes)
        self.cancellations = KnownCancellations(CANCELLATION_KEPT_FACTOR * workers.cancel_s)
        self._heartbeat_s = workers.lease_s / 12
        self._partition_count = tuning.membership.quota_partitions if hosted is None else hosted.partitions
        self.on_hopeless = None  # called once this process has left after a routine kept failing
        self._supervisor = Supervisor(
            loop,
            restart_s=self._heartbeat_s,
            max_restart_s=workers.lease_s / 2,
            give_up_s=GIVE_UP_LEASES * workers.lease_s,
            on_failure=partial(self.counters.add, "duties_failed"),
            on_hopeless=self._on_hopeless,
        )
        self.member = Member(
            loop,
            self.state,
            self._supervisor,
            self.label,
            lease_s=max(0.1, min(600.0, tuning.membership.lease_ratio * workers.lease_s)),
            watch_s=max_staleness_s(workers) / 4,
            on_term=self._on_term,
            on_lost=self._on_lost,
            on_cancel=self.on_cancelled,
            format_gate=FormatGate(
                RECORD_FORMAT, [self.label, *(member.label for member in settings.members)]
            ),
            partitions=self._partition_count,
            on_tenant=None if hosted is None else hosted.table.take,
            time_of_day=time_of_day,
        )
        self._frame_router = FrameRouter(
            self.member, self.send, self.on_cancelled, self.state.apply_lower_limits
        )
        self.peers = Peers(
            loop,
            net,
            settings,
            self._heartbeat_s,
            self._supervisor,
            own_incarnation=lambda: self.member.incarnation,
            may_link=self._may_send_heartbeats,
            heartbeat=self._heartbeat,
            on_frame=self._frame_router.on_frame,
            on_up=self._on_up,
            on_down=self._on_down,
        )
        self.authority = Authority(
            loop,
            self.member,
            self.peers,
            [other.label for other in settings.members],
            workers,
            self._heartbeat_s,
        )
        self._default_target_s = 15 * workers.lease_s
        self.shortest_targets = shortest_targets(deployment.objectives)
        self._class_targets = class_targets(deployment.objectives)
        self._sockets = SocketBudget(deployment.quota.fd_limit, self.counters.add)
        creation_timeout_s = min(workers.lease_s / 3, SUBMIT_ANSWER_PART * SUBMIT_TIMEOUT_S)
        self._creation_timeout_s = creation_timeout_s
        self.teams = FixedTeams(deployment.teams) if hosted is None else hosted.teams
        self.api = Api(
            loop,
            self,
            sockets=self._sockets,
            create_s=creation_timeout_s,
            patience_s=workers.lease_s / 1.2,
        )
        self.deadline_tracker = DeadlineTracker(
            self.shortest_targets, sorted({objective.klass for objective in deployment.objectives})
        )
        self._started_at = self._not_member_since = loop.now()
        self.failover = JobFailover(
            loop,
            self.state,
            self.member,
            self.teams,
            self.send,
            self._changed,
            self._heartbeat_s,
            workers.cancel_s,
        )
        self.shard_balancer = ShardBalancer(
            loop,
            self.label,
            self.member,
            tuning.membership.lease_ratio * workers.lease_s,
            lambda: self.peers.links,
            self.counters,
        )
        self._summary = Summary(
            loop,
            settings,
            self._heartbeat_s,
            self.member,
            self.peers.links,
            self._is_state_ok,
            self.deadline_tracker,
            self.troubles,
            self.counters,
            time_of_day,
            lambda: self.shard_balancer.changes,
        )
        self._leaving = False
        self._periodic_duties = PeriodicDuties(loop, self, self._heartbeat_s, workers.cancel_s, self._random)
        self.workers = None
        self._duties = []
        self._spec_lookup = SpecLookup(loop, self.state, self._heartbeat_s)
        self._reset()

    def _reset(self):
        """Replaces all components whose state belongs to one incarnation by empty ones."""
        loop, deployment = self._loop, self._deployment
        for duty in self._duties:
            duty.cancel()
        if hasattr(self, "job_store"):
            for creation in self.job_store.pending().values():
                creation.fail(RefusedError(Cause.NOT_A_MEMBER))  # its outcome would not be noticed here
        workers = deployment.workers
        if self.workers is not None:
            self.workers.close()
        self.workers = WorkerClient(
            loop,
            self._net,
            self.member,
            timeout_s=workers.lease_s / 4,
            may_command=self.authority.can_renew_leases,
            silent_s=SILENT_REPORT_INTERVALS * workers.report_s,
            sockets=self._sockets,
            decisions=self.decisions,
            counters=self.counters,
        )
        types = self.fleet.types if hasattr(self, "fleet") else {}
        self.shard_leader = ShardLeader(
            loop,
            self.label,
            self.member,
            deployment,
            grant_lifetime_s=self._tuning.grants.lapse_ratio * workers.lease_s,
            random=self._random,
            send=self.send,
            ask=self.workers.queue_request,
            need_spec=self._spec_lookup.need,
            counters=self.counters,
            decisions=self.decisions,
        )
        self.shard_leader.registry.types = types
        self.workers.shard_leader = self.shard_leader

        self.archiver = RecordArchiver(loop, self.state, self.member, self.counters)

        def make_recorder(*frames_to_send):
            return Recorder(
                loop,
                self.state,
                workers.report_s * 2,
                *frames_to_send,
                self.member,
                self.tenant_admission or NO_GUARDS,
                self.counters,
            )

        parts = UpstreamParts(loop, self.state, self.member, self._time_of_day, workers.lease_s)

        def make_dependency_queue(job_store):
            times = {name: targets.deadline_factors for name, targets in self._class_targets.items()}
            return DependencyQueue(
                loop,
                self.member,
                self.state,
                job_store,
                self.send,
                times,
                self._time_of_day,
                workers.lease_s,
                self._heartbeat_s,
                partial(find, self.state),
                self.counters,
            )

        self.job_store = JobStore(
            loop,
            self.member,
            make_recorder,
            self.send,
            self._changed,
            self.counters,
            self._time_of_day,
            workers.lease_s,
            self.deadline_tracker.finished,
            self.teams,
            self.failover.on_accepted,
            self.archiver.add,
            make_dependency_queue,
            parts,
        )
        self.dispatcher = Dispatcher(
            loop,
            self.label,
            self.member,
            self.job_store,
            self._class_targets,
            self._random,
            self.send,
            self.counters,
            gap_s=workers.report_s / 8,
            window_s=workers.lease_s,
            default_target_s=self._default_target_s,
            zones=deployment.zones,
        )
        self.shard_leader.capacity_granter.window_s = workers.lease_s
        self.shard_leader.capacity_granter.tells_slots = lambda: self.member.format_gate.is_open
        self.dispatcher.queue.time_of_day = self._time_of_day
        self.fleet = Fleet(
            loop,
            self.cloud,
            self.member,
            self.shard_leader,
            deployment,
            self._tuning.fleet,
            self.shortest_targets,
            self._default_target_s,
            self._random,
            self.counters,
        )
        self.fleet.types = types
        self.fleet.on_types = self.api.readiness.wake_waiting
        self.dispatcher.queue.capacity = self.fleet.capacity
        if self.tenant_admission is not None:
            self.tenant_admission.begin_fair_sharing(self)
        self._spec_lookup.begin(self.shard_leader)
        self.failover.begin(self.job_store, self.archiver)
        self._summary.begin(self.job_store, self.shard_leader, self.dispatcher, self.fleet)
        self._frame_router.begin(
            self.shard_leader,
            self.job_store,
            self.dispatcher,
            self.fleet,
            self.failover,
            self._summary,
            {
                **self._comparison_handlers(),
                **(self.tenant_admission.handlers() if self.tenant_admission is not None else {}),
            },
        )
        recorder = self.job_store.recorder
        duties = [
            recorder.run,
            recorder.check,
            self.archiver.run,
            self.job_store.dependency_queue.poll_upstream,
            parts.collect,
            self._periodic_duties.run,
            *self.fleet.duties(),
        ]
        if self._partition_count > 1:
            duties.append(QuotaBalancer(loop, self.member, self.job_store, workers.lease_s / 4).run)
        if self.tenant_admission is not None:
            duties += self.tenant_admission.begin(self)
        self._duties = [self._supervisor.spawn(duty) for duty in duties]

    def _comparison_handlers(self):
        """Begins anti-entropy for a new incarnation. Returns {frame class: handler}."""
        owner = self.owner_comparison = OwnerComparison(self.member, self.job_store, self.send, self.counters)
        leader = LeaderComparison(self.member, self.shard_leader, self.send)
        return {
            frames.AttemptDigests: leader.on_digests,
            frames.PendingRequests: leader.on_pending_requests,
            frames.ShardAttempts: lambda label, _incarnation, frame: owner.on_shard_attempts(label, frame),
            frames.UnknownRequests: lambda label, _incarnation, frame: owner.on_unknown_requests(
                label, frame
            ),
        }

    def _on_hopeless(self, _name):
        """Leaves in good order, so that the others take over what this process can't do."""
        if self.on_hopeless is not None:
            self.leave(self.on_hopeless)

    def _on_stall(self, seconds):
        """Handles a pause of the process, during which its lease may have ended and others taken over.

        Leases, the term and the right to command workers are checked against the clock wherever they are
        used, so nothing is done here on an authority that expired meanwhile.
        """
        log.warning(
            "process stalled for %.1f s%s",
            seconds,
            "; the lease may have ended" if self.member.lease_may_have_expired() else "",
        )
        self.counters.add("stalls")
        self.troubles.note("stood still", seconds)
        self.peers.reset_silence()
        self.shard_leader.running_since = self._loop.now()

    def start(self):
        """Starts to listen, to connect to the other controllers and to join the membership."""
        for team in self._deployment.teams if self.tenant_admission is None else ():
            log.info(
                "team %s: cpus %g to %g, gpus %g to %g (0: no limit)",
                team.name,
                team.cpus,
                team.cpus_max,
                team.gpus,
                team.gpus_max,
            )
            if team.guarantee != (team.cpus, team.gpus):
                log.warning("team %s: the guarantee exceeds the limit; the limit applies", team.name)
        self._loop.stall_s, self._loop.on_stall = self._heartbeat_s, self._on_stall
        self._loop.on_failure = partial(self.counters.add, "callbacks_failed")
        self._net.listen(self.settings.front, self.api.accept)
        self.peers.start()
        self._supervisor.spawn(self.member.run, "member")

    def leave(self, done):
        """Shuts down gracefully: takes on no new work, hands over machines and jobs, then calls `done()`.

        This takes at most half a workers' lease.
        """
        if not self._leaving:
            self._leaving = True
            self._loop.spawn(self._leave(done), "leave")

    async def _leave(self, done):
        lease_s = self._deployment.workers.lease_s
        log.info("shutting down")
        until = self._loop.now() + lease_s / 8
        while self.job_store.recorder.backlog() and self._loop.now() < until:
            await self._loop.sleep(self._heartbeat_s / 8)
        try:
            await self._loop.within(lease_s / 4, self._loop.spawn(self.member.leave(), "give up").done)
        except Timeout:
            log.warning("handover incomplete; the other members take over the rest when the lease ends")
        await self._loop.sleep(self._heartbeat_s / 4)  # lets the frames of the handover leave the sockets
        done()

    # Calls between components

    def _changed(self):
        self.dispatcher.schedule_placement()

    def send(self, label, frame):
        """Sends a frame to a controller, this one included; returns False if it has no link."""
        if label == self.label:
            self._loop.call_soon(self._frame_router.on_frame, label, self.member.incarnation, frame)
            return True
        return self.peers.send(label, frame)

    def _heartbeat(self):
        term = self.member.term
        return frames.Heartbeat(
            term.number if term else 0,
            self._is_state_ok(),
            self.shard_leader.most_workers_silent(),
            *self._periodic_duties.used,
        )

    def leader_for(self, report):
        """Returns the label of the leader of a worker's shard, or None if the worker would not reach it.

        A worker sent to a silent controller waits there for 4 s, a third of a lease; without a label it asks
        the next controller after 1 s. If the leader is alive but hears hardly any worker, the network
        between it and the workers is cut, and it is relieved: others take over its shards.
        """
        leader = self.member.term.leader_of(report.machine)
        if leader == self.label:
            return leader
        link = self.peers.links.get(leader)
        if link is None:
            return None
        if link.workers_silent:
            if report.token:  # the worker has been in touch with its leader before
                self.member.relieve(leader)
            return None
        return leader

    def _is_state_ok(self):
        return self._loop.now() - self.state.ok_at < self.member._lease_s / 2

    def _may_send_heartbeats(self):
        """Whether this controller may send heartbeats.

        That holds for a member, and for a non-member that stays one for a while yet and that has read what
        earlier incarnations of its label have told users.
        """
        if self.member.joined:
            return True
        since_s = self._loop.now() - self._not_member_since
        return self.member.watched_at >= self._started_at and since_s > 2 * self._heartbeat_s

    def ready(self):
        """Whether this controller reports itself as ready.

        It is not while it ends or is too old for the stored records, while it has had no catalogue for longer
        than the cloud's list lag, and while the state service answers others but not this controller.

        It stays ready while it joins: joining takes less time than the load balancer takes to trust a node
        again, and each further removal doubles that time. A `/ready` that waits, or flaps when a member
        joins again, costs more than the few submissions that are answered 503 meanwhile. Polls are answered
        without membership.
        """
        since_s = self._loop.now() - self._started_at
        if self._leaving or self.member.format_gate.is_outdated:
            return False
        if not self.shard_leader.registry.types and since_s > self._deployment.cloud.list_lag_s:
            return False
        return self._is_state_ok() or not self._others_are_better_off()

    def _others_are_better_off(self):
        """Whether the state service, which does not answer here, seems to answer others.

        While it is down for all, the controllers still hear one another, except those that have not reached
        it since they started. A controller that has reached it and now hears nobody, member or not, is cut
        off itself. If it stayed ready, a load balancer would favour it, since it refuses users at once.
        """
        if self.peers.links or self.peers.non_member_links or not self.settings.members:
            return any(link.state_ok for link in self.peers.links.values())
        return self.state.ok_at >= self._started_at

    def infeasibility_of(self, spec):
        """Returns why no machine can ever run the job, or None if one can."""
        return infeasibility(
            spec,
            self.teams,
            self.shard_leader.registry.types,
            self._deployment.zones,
            self.state.limits.value_bytes,
        )

    def visibility_check(self, spec):
        """Returns a function of a job id: whether the submitter of `spec` may learn of that job.

        A tenant may learn of its own jobs only.
        """
        return (
            (lambda _job: True)
            if self.tenant_admission is None
            else self.tenant_admission.same_tenant_check(spec.id)
        )

    @property
    def leaving(self):
        """Whether this process is shutting down and takes on nothing new."""
        return self._leaving

    @property
    def max_creations(self):
        """How many creations can be written while their users wait; further ones are refused at once."""
        if self._leaving:
            return -1
        return max(1, int(self._creation_timeout_s * self.state.writes.rate))

    async def read(self, job_id):
        """Returns a job's record for a user, or None if there is none.

        Raises UnavailableError if the controller's own duties leave no requests to the state service for it.
        A final record that became known here during the read is newer than the one that the read found.
        """
        record = await self.record_reader.read(job_id)
        return self.job_store.final_records.get(job_id) or record

    def announce_cancelled(self, jobs):
        """Passes on cancellations of which a user is about to be told.

        Every shard leader that can be reached is told first. One that can't be reached gets no heartbeat from
        this controller before it has been told (membership/cancellation_freshness.py). Raises
        UnavailableError if that can't be ensured.
        """
        if not self.member.joined:
            # The others don't wait for heartbeats of a non-member, so tasks could run on without a warning.
            raise UnavailableError("not a member: the other controllers would not learn of the cancellation")
        if len(self.cancellations) >= MAX_CANCELLATIONS and not all(map(self.cancellations.contains, jobs)):
            raise UnavailableError(f"more than {MAX_CANCELLATIONS} recent cancellations to pass on")
        self._record_cancelled(jobs)
        self.shard_leader.task_commands.cancel(jobs)

    def on_cancelled(self, jobs):
        """Handles jobs cancelled through another controller, as a frame or a record says."""
        jobs = [job for job in jobs if JOB_ID.match(job)]
        self._record_cancelled(jobs)
        self.shard_leader.task_commands.cancel(jobs)
        for job in jobs:
            self.job_store.cancelled(job)
        self.job_store.dependency_queue.on_cancelled(jobs)

    def _record_cancelled(self, jobs):
        new_jobs = self.cancellations.add_new(jobs, self._loop.now())
        for label in list(self.peers.links) if new_jobs else ():
            self._send_cancellations(label, new_jobs)

    def _send_cancellations(self, label, jobs):
        for at in range(0, len(jobs), JOBS_PER_FRAME):
            self.send(label, frames.JobsCancelled(jobs[at : at + JOBS_PER_FRAME]))

    def summary(self):
        """Returns the summary of the whole cluster, for `/v1/summary`."""
        return self._summary.merged()

    def summary_part(self):
        """Returns this controller's part of the summary, for the others."""
        return self._summary.local_part()

    def check_connectivity(self):
        """Notes what this controller has lost contact with."""
        self._summary.check_connectivity(self.member.lease_may_have_expired())

    def shares(self):
        """Returns how many shards each leader has and their recent moves, for `/v1/shares`."""
        return self._summary.shares()

    # Terms

    def _on_lost(self):
        log.info("membership lost; rejoining as a new incarnation")
        self._not_member_since = self._loop.now()
        self.troubles.note("dropped by the others, and back as a new incarnation")
        self.peers.reset()
        self._reset()

    def _on_term(self, old, new):
        for label in list(self.peers.links):
            self._frame_router.send_term(label)
        if old is None:
            self.api.readiness.wake_waiting()
            # A controller that is not in the term may still run, and may have led shards held here now
            # until shortly before this one last ended. The same holds for a relieved one.
            all_members_joined = all(other.label in new.members for other in self.settings.members)
            self.shard_leader.begin(self.member.replaced and all_members_joined and not new.relieved)
            self.peers.reset()
        else:
            for label in new.members:
                if label != self.label and old.incarnation(label) not in (None, new.incarnation(label)):
                    self.troubles.note(f"{label} ended and was back")
            for label, frames_to_send in self.shard_leader.on_term(old, new).items():
                for frame in frames_to_send:
                    self.send(label, frame)
        self.job_store.quota.on_term(old, new)
        if self.tenant_admission is not None:
            self.tenant_admission.on_term()
        self.dispatcher.on_term(old, new)
        self.job_store.reconciliation.on_term(old, new)
        self.job_store.leader_commands.on_term(new)
        self.dispatcher.rebroadcast_demand()
        self.failover.on_term(old, new)
        self.shard_balancer.on_term(old, new)

    # Links and frames

    def _on_up(self, label):
        self._send_cancellations(label, self.cancellations.all())
        if not self.member.joined or label not in self.peers.links:
            return
        self._frame_router.send_term(label)
        self.job_store.reconciliation.ask(label)
        self.job_store.leader_commands.on_link(label)
        self.dispatcher.rebroadcast_demand()
        self.job_store.dependency_queue.recheck_upstream()
        if self.state.lowered and self.member.format_gate.is_open:
            self.send(label, frames.StateLimitsLowered(True))

    def _on_down(self, label):
        self.dispatcher.leader_down(label)
        self.shard_leader.capacity_granter.forget_controller(label)

    # Limits of the state service

    def _on_lowered(self):
        """The state service now applies its lower limits: tells the others, to spare them refusals."""
        self.troubles.note("the state service's limits are lower")
        for label in list(self.peers.links) if self.member.format_gate.is_open else ():
            self.send(label, frames.StateLimitsLowered(True))
