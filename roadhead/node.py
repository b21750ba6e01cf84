"""One controller: puts the parts together and passes what happens from one to another."""

import logging
import random
import time
from functools import partial

from roadhead.admission.feasibility import infeasibility
from roadhead.admission.socket_budget import SocketBudget
from roadhead.api.answers import Cause, RefusedError, refusal_events
from roadhead.api.server import Api
from roadhead.cloud.client import CloudClient
from roadhead.decision_log import DecisionLog
from roadhead.dispatch.dispatcher import Dispatcher
from roadhead.dispatch.targets import class_targets, shortest_targets
from roadhead.fleet.fleet import Fleet
from roadhead.frame_router import FrameRouter
from roadhead.jobs.creation_guards import NO_GUARDS
from roadhead.jobs.deadline_risk import DeadlineTracker
from roadhead.jobs.job import ARCHIVE, FORMAT, KEY, awaited_ids, cancelled_with_ancestor_record, for_polls
from roadhead.jobs.job_store import JobStore
from roadhead.jobs.quota_balancer import QuotaBalancer
from roadhead.jobs.recorder import Recorder
from roadhead.jobs.records import RecordArchiver, complete, find
from roadhead.jobs.teams import FixedTeams
from roadhead.machines.shard_leader import SILENT_REPORTS, ShardLeader
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
from roadhead.shards.balancer import ShardBalancer
from roadhead.state.client import StateClient, UnavailableError
from roadhead.state.record_reader import RecordReader
from roadhead.summary import Summary
from roadhead.telemetry import EVENTS, Counters, TroubleLog
from roadhead.wire import frames
from roadhead.wire.messages import JOB_ID

log = logging.getLogger("roadhead.node")

POLL_S = 2.0  # users wait that long for the answer to a poll (PROTOCOL)
SUBMIT_S = 5.0  # and that long for one to a submission
POLL_PART = 0.85  # of that passes at the most before they are told that it is not known
ANSWER_PART = 0.9  # of that may pass before they are told that it is not known
NEWS_MOST = 500  # jobs in a frame
CANCELLED_MOST = 20_000  # jobs passed on: beyond that none is told of that was not known before


class Node:
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
        self.tenant_admission = hosted  # tenants/admission_controller.py, where tenants are served
        state_limits = deployment.state if hosted is None else hosted.left_of(deployment.state)
        self.state = StateClient(
            loop, net, settings.external.state, state_limits, deployment.nodes, self._on_lowered
        )
        self.ancestry = Ancestry(
            loop,
            self.state,
            lambda job: (record := self.job_store.final_records.get(job)) and record["s"],
            lambda job, record: self.job_store.remember_final(job, record),
            partial(find, self.state),
            partial(complete, self.state),
            awaited_ids,
            cancelled_with_ancestor_record,
            (KEY, ARCHIVE),
        )
        self.record_reader = RecordReader(
            loop,
            self.state,
            POLL_PART * POLL_S,
            (KEY, ARCHIVE),
            partial(complete, self.state),
            for_polls,
            self.ancestry.derive,
        )
        self.cloud = CloudClient(loop, net, settings.external.cloud, deployment.cloud, deployment.nodes)
        self.cancellations = KnownCancellations(CANCELLATION_KEPT_FACTOR * workers.cancel_s)
        self._heartbeat_s = workers.lease_s / 12
        self._partitions = tuning.membership.quota_partitions if hosted is None else hosted.partitions
        self.member = Member(
            loop,
            self.state,
            self.label,
            lease_s=max(0.1, min(600.0, tuning.membership.lease_ratio * workers.lease_s)),
            watch_s=max_staleness_s(workers) / 4,
            on_term=self._on_term,
            on_lost=self._on_lost,
            on_cancel=self.on_cancelled,
            format_gate=FormatGate(FORMAT, [self.label, *(member.label for member in settings.members)]),
            partitions=self._partitions,
            on_tenant=None if hosted is None else hosted.table.take,
            time_of_day=time_of_day,
        )
        self._switchboard = FrameRouter(
            self.member, self.send, self.on_cancelled, self.state.apply_lower_limits
        )
        self.peers = Peers(
            loop,
            net,
            settings,
            self._heartbeat_s,
            me=lambda: self.member.incarnation,
            speaks=self._speaks,
            heartbeat=self._heartbeat,
            on_frame=self._switchboard.on_frame,
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
        self._default_aim_s = 15 * workers.lease_s
        self.aims = shortest_targets(deployment.objectives)
        self._class_aims = class_targets(deployment.objectives)
        self._sockets = SocketBudget(deployment.quota.fd_limit, self.counters.add)
        create_s = min(workers.lease_s / 3, ANSWER_PART * SUBMIT_S)
        self._create_s = create_s
        self.teams = FixedTeams(deployment.teams) if hosted is None else hosted.teams
        self.api = Api(
            loop,
            self,
            sockets=self._sockets,
            create_s=create_s,
            patience_s=workers.lease_s / 1.2,
        )
        self.deadline_tracker = DeadlineTracker(
            self.aims, sorted({objective.klass for objective in deployment.objectives})
        )
        self._began_at = self._outside_since = loop.now()
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
            self._state_ok,
            self.deadline_tracker,
            self.troubles,
            self.counters,
            time_of_day,
            lambda: self.shard_balancer.changes,
        )
        self._leaving = False
        self._periodic = PeriodicDuties(loop, self, self._heartbeat_s, workers.cancel_s, self._random)
        self.workers = None
        self._duties = []
        self._spec_lookup = SpecLookup(loop, self.state, self._heartbeat_s)
        self._reset()

    def _reset(self):
        """Everything that an incarnation knows starts from nothing."""
        loop, deployment = self._loop, self._deployment
        for duty in self._duties:
            duty.cancel()
        if hasattr(self, "job_store"):
            for creation in self.job_store.pending().values():
                creation.fail(RefusedError(Cause.NOT_A_MEMBER))  # nobody here would learn of its outcome
        workers = deployment.workers
        if self.workers is not None:
            self.workers.close()
        self.workers = WorkerClient(
            loop,
            self._net,
            self.member,
            timeout_s=workers.lease_s / 4,
            may_command=self.authority.can_renew_leases,
            silent_s=SILENT_REPORTS * workers.report_s,
            sockets=self._sockets,
            decisions=self.decisions,
        )
        types = self.fleet.types if hasattr(self, "fleet") else {}
        self.shard_leader = ShardLeader(
            loop,
            self.label,
            self.member,
            deployment,
            lapse_s=self._tuning.grants.lapse_ratio * workers.lease_s,
            random=self._random,
            send=self.send,
            ask=self.workers.ask,
            need_spec=self._spec_lookup.need,
            counters=self.counters,
            decisions=self.decisions,
        )
        self.shard_leader.registry.types = types
        self.workers.shard_leader = self.shard_leader

        self.archiver = RecordArchiver(loop, self.state, self.member, self.counters)

        def recorder_of(*told):
            return Recorder(
                loop,
                self.state,
                workers.report_s * 2,
                *told,
                self.member,
                self.tenant_admission or NO_GUARDS,
                self.counters,
            )

        parts = UpstreamParts(loop, self.state, self.member, self._time_of_day, workers.lease_s)

        def make_dependency_queue(job_store):
            times = {name: aims.times for name, aims in self._class_aims.items()}
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
            recorder_of,
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
            self._class_aims,
            self._random,
            self.send,
            self.counters,
            gap_s=workers.report_s / 8,
            window_s=workers.lease_s,
            default_aim_s=self._default_aim_s,
        )
        self.shard_leader.capacity_granter.window_s = workers.lease_s
        self.dispatcher.queue.time_of_day = self._time_of_day
        self.fleet = Fleet(
            loop,
            self.cloud,
            self.member,
            self.shard_leader,
            deployment,
            self._tuning.fleet,
            self.aims,
            self._default_aim_s,
            self._random,
            self.counters,
        )
        self.fleet.types = types
        self.fleet.on_types = self.api.readiness.changed
        self.dispatcher.queue.capacity = self.fleet.capacity
        if self.tenant_admission is not None:
            self.tenant_admission.share(self)
        self._spec_lookup.begin(self.shard_leader)
        self.failover.begin(self.job_store, self.archiver)
        self._summary.begin(self.job_store, self.shard_leader, self.dispatcher, self.fleet)
        self._switchboard.begin(
            self.shard_leader,
            self.job_store,
            self.dispatcher,
            self.fleet,
            self.failover,
            self._summary,
            self.tenant_admission.handlers() if self.tenant_admission is not None else {},
        )
        recorder = self.job_store.recorder
        duties = [
            recorder.run,
            recorder.check,
            self.archiver.run,
            self.job_store.dependency_queue.poll_upstream,
            parts.collect,
            self._periodic.run,
            *self.fleet.duties(),
        ]
        if self._partitions > 1:
            duties.append(QuotaBalancer(loop, self.member, self.job_store, workers.lease_s / 4).run)
        if self.tenant_admission is not None:
            duties += self.tenant_admission.begin(self)
        self._duties = [loop.spawn(self._keep(duty), duty.__name__) for duty in duties]

    async def _keep(self, duty):
        """A long-lived duty goes on after a fault in it: the service must not lose it."""
        while True:
            try:
                await duty()
            except Exception:
                log.exception("duty %s failed", duty.__name__)
                self.counters.add("duties_failed")
            await self._loop.sleep(self._heartbeat_s)

    def _stalled(self, seconds):
        """The process stood still: whoever relied on us may have gone on without us.

        Leases, the term and what we may command are looked at by the clock wherever they are
        used, so nothing is done on an authority that ran out meanwhile.
        """
        log.warning(
            "stood still for %.1f s%s",
            seconds,
            "; the lease may have ended" if self.member.lease_may_have_expired() else "",
        )
        self.counters.add("stalls")
        self.troubles.note("stood still", seconds)
        self.peers.reset_silence()
        self.shard_leader.running_since = self._loop.now()

    def start(self):
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
                log.warning("team %s: the guarantee is above the limit; the limit holds", team.name)
        self._loop.stall_s, self._loop.on_stall = self._heartbeat_s, self._stalled
        self._net.listen(self.settings.front, self.api.accept)
        self.peers.start()
        self._loop.spawn(self.member.run(), "member")

    def leave(self, done):
        """An orderly end: no new work is taken on, what is held goes to others, then `done()` is called,
        after half a workers' lease at the latest."""
        if not self._leaving:
            self._leaving = True
            self._loop.spawn(self._leave(done), "leave")

    async def _leave(self, done):
        lease_s = self._deployment.workers.lease_s
        log.info("ending in order")
        until = self._loop.now() + lease_s / 8
        while self.job_store.recorder.backlog() and self._loop.now() < until:
            await self._loop.sleep(self._heartbeat_s / 8)
        try:
            await self._loop.within(lease_s / 4, self._loop.spawn(self.member.leave(), "give up").done)
        except Timeout:
            log.warning("not all could be given away; the others take it when the lease ends")
        await self._loop.sleep(self._heartbeat_s / 4)  # what was handed over leaves the sockets
        done()

    # What the parts ask of one another

    def _changed(self):
        self.dispatcher.schedule_placement()

    def send(self, label, frame):
        if label == self.label:
            self._loop.call_soon(self._switchboard.on_frame, label, self.member.incarnation, frame)
            return True
        return self.peers.send(label, frame)

    def _heartbeat(self):
        term = self.member.term
        return frames.Heartbeat(
            term.number if term else 0,
            self._state_ok(),
            self.shard_leader.most_workers_silent(),
            *self._periodic.used,
        )

    def leader_for(self, report):
        """The home's label for a worker that asks here, or None if it would not get through.

        A worker sent to a controller that is silent waits there for 4 s, a third of a
        lease; without a name it asks the next one after 1 s. If its home is well but hears
        hardly any worker, the network between them is cut: then others shall be their homes.
        """
        home = self.member.term.leader_of(report.machine)
        if home == self.label:
            return home
        link = self.peers.links.get(home)
        if link is None:
            return None
        if link.workers_silent:
            if report.token:  # it was in touch with its home before
                self.member.relieve(home)
            return None
        return home

    def _state_ok(self):
        return self._loop.now() - self.state.ok_at < self.member._lease_s / 2

    def _speaks(self):
        """Whether others may hear this controller: a member, or one that surely is none for a while yet, and
        knows what those before it under its label have told."""
        if self.member.joined:
            return True
        since_s = self._loop.now() - self._outside_since
        return self.member.watched_at >= self._began_at and since_s > 2 * self._heartbeat_s

    def ready(self):
        """Ready unless others can do better: the state service answers them and not us, or the
        cloud has had time to name its machines and has not.

        Joining takes less time than the balancer takes to trust a node again, and each further
        removal doubles that: a `/ready` that waits, or flaps while a member joins anew, costs
        more than the few submissions that are answered 503 meanwhile. Polls need no member.
        """
        since_s = self._loop.now() - self._began_at
        if self._leaving or self.member.format_gate.is_outdated:
            return False
        if not self.shard_leader.registry.types and since_s > self._deployment.cloud.list_lag_s:
            return False
        return self._state_ok() or not self._others_do_better()

    def _others_do_better(self):
        """Whether the state service, which does not answer here, seems to answer others.

        While it is down for all, controllers hear one another, but for those that have not reached it since
        they started. One that did, and hears nobody, member or not, is cut off itself. A load balancer would
        favour it as long as it is ready, since it refuses users at once.
        """
        if self.peers.links or self.peers.outside or not self.settings.members:
            return any(link.state_ok for link in self.peers.links.values())
        return self.state.ok_at >= self._began_at

    def infeasibility_of(self, spec):
        """Why no machine can ever run the job, or None."""
        return infeasibility(
            spec, self.teams, self.shard_leader.registry.types, self.state.limits.value_bytes
        )

    def visibility_check(self, spec):
        """Whether whoever submits the job may know of another: a tenant knows of its own alone."""
        return (
            (lambda _job: True)
            if self.tenant_admission is None
            else self.tenant_admission.neighbours(spec.id)
        )

    @property
    def leaving(self):
        """Whether this process ends in order, and takes on nothing new."""
        return self._leaving

    @property
    def max_creations(self):
        """Creations that can be written while their users wait; more are turned away at once."""
        if self._leaving:
            return -1
        return max(1, int(self._create_s * self.state.writes.rate))

    async def read(self, job_id):
        """A job's record for a user, or None; turned away if duties need the state service more.

        A final record that became known here while it was read is newer than what the read found.
        """
        record = await self.record_reader.read(job_id)
        return self.job_store.final_records.get(job_id) or record

    def announce_cancelled(self, jobs):
        """Jobs that a user is about to be told to be cancelled: every home that can be reached has word of
        it first, and those that can't will not hear from us before they have
        (membership/cancellation_freshness.py)."""
        if not self.member.joined:
            # Nobody counts on hearing from us, so somebody's tasks might run on without our telling.
            raise UnavailableError("no member: what is told here would not be known")
        if len(self.cancellations) >= CANCELLED_MOST and not all(map(self.cancellations.contains, jobs)):
            raise UnavailableError("more old cancellations are asked for than can be passed on")
        self._learn_cancelled(jobs)
        self.shard_leader.task_commands.cancel(jobs)

    def on_cancelled(self, jobs):
        """Jobs cancelled through another controller, by its word or by the record."""
        jobs = [job for job in jobs if JOB_ID.match(job)]
        self._learn_cancelled(jobs)
        self.shard_leader.task_commands.cancel(jobs)
        for job in jobs:
            self.job_store.cancelled(job)
        self.job_store.dependency_queue.on_cancelled(jobs)

    def _learn_cancelled(self, jobs):
        fresh = self.cancellations.add_new(jobs, self._loop.now())
        for label in list(self.peers.links) if fresh else ():
            self._tell_cancelled(label, fresh)

    def _tell_cancelled(self, label, jobs):
        for at in range(0, len(jobs), NEWS_MOST):
            self.send(label, frames.JobsCancelled(jobs[at : at + NEWS_MOST]))

    def summary(self):
        return self._summary.merged()

    def summary_part(self):
        """This controller's part of the summary, for the others."""
        return self._summary.local_part()

    def check_connectivity(self):
        """Notes what this controller is out of touch with."""
        self._summary.check_connectivity(self.member.lease_may_have_expired())

    def shares(self):
        return self._summary.shares()

    # Terms

    def _on_lost(self):
        log.info("starting over as a new incarnation")
        self._outside_since = self._loop.now()
        self.troubles.note("dropped by the others, and back as a new incarnation")
        self.peers.reset()
        self._reset()

    def _on_term(self, old, new):
        for label in list(self.peers.links):
            self._switchboard.send_term(label)
        if old is None:
            self.api.readiness.changed()
            # Who is not in the term may live on, and have been home to what is held now until shortly before
            # the last end here; so may one that is relieved.
            all_here = all(other.label in new.members for other in self.settings.members)
            self.shard_leader.begin(self.member.replaced and all_here and not new.relieved)
            self.peers.reset()
        else:
            for label in new.members:
                if label != self.label and old.incarnation(label) not in (None, new.incarnation(label)):
                    self.troubles.note(f"{label} ended and was back")
            for label, told in self.shard_leader.on_term(old, new).items():
                for frame in told:
                    self.send(label, frame)
        self.job_store.quota.on_term(old, new)
        if self.tenant_admission is not None:
            self.tenant_admission.on_term()
        self.dispatcher.on_term(old, new)
        self.job_store.reconciliation.on_term(old, new)
        self.dispatcher.rebroadcast_demand()
        self.failover.on_term(old, new)
        self.shard_balancer.on_term(old, new)

    # Links and frames

    def _on_up(self, label):
        self._tell_cancelled(label, self.cancellations.all())
        if not self.member.joined or label not in self.peers.links:
            return
        self._switchboard.send_term(label)
        self.job_store.reconciliation.ask(label)
        self.dispatcher.rebroadcast_demand()
        self.job_store.dependency_queue.recheck_upstream()
        if self.state.lowered and self.member.format_gate.is_open:
            self.send(label, frames.StateLimitsLowered(True))

    def _on_down(self, label):
        self.dispatcher.leader_down(label)
        self.shard_leader.capacity_granter.forget_controller(label)

    # Limits of the state service

    def _on_lowered(self):
        """The service refused what it took before: the others need not find out one by one."""
        self.troubles.note("the state service's limits are lower")
        for label in list(self.peers.links) if self.member.format_gate.is_open else ():
            self.send(label, frames.StateLimitsLowered(True))
