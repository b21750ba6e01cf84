"""The home of machines: the only one to command them, and the referee of their room.

No sockets here: reports, frames and answers come in as calls; frames go out through
`send(label, frame)`, and `ask(machine)` wants a direct request sent to a machine.
"""

import logging
from itertools import chain

from roadhead.decision_log import Decision
from roadhead.machines.capacity_grants import CapacityGranter
from roadhead.machines.failure_history import FailureHistory
from roadhead.machines.handover import handover
from roadhead.machines.machine import EXITED, TaskRequirements, decision_subject
from roadhead.machines.machine_registry import MachineRegistry
from roadhead.machines.owner_notifier import OwnerNotifier
from roadhead.machines.report_processor import ReportProcessor
from roadhead.machines.shard_reconciliation import ShardReconciliation
from roadhead.machines.task_commands import TaskCommands
from roadhead.machines.worker_lease import DRIFT

log = logging.getLogger("roadhead.home")

SILENT_REPORTS = 2.25  # reports come 1.25 intervals apart at the most
DEAF_LEAST = 3  # machines, below which their silence tells nothing of the network
PLENTY = 0.25  # of the CPUs in use that are free beside them: more, and idle machines go sooner


class ShardLeader:
    """Puts the package together: `capacity_granter` (granting), `report_processor`, `task_commands`,
    `reconciliation`."""

    def __init__(
        self, loop, label, member, deployment, lapse_s, random, send, ask, need_spec, counters, decisions
    ):
        self._loop = loop
        self.label = label
        self._member = member
        self._workers = workers = deployment.workers
        self._ask = ask
        self._count = counters.add
        self._decisions = decisions
        self.running_since = 0.0  # since when this process has been looking without a stall
        self.has_undecided_leases = False
        lag_s = deployment.cloud.list_lag_s
        self.registry = registry = MachineRegistry(member, workers.lease_s, workers.cancel_s, lag_s)
        self.machines = registry.machines
        self._notifier = OwnerNotifier(member, registry, send, counters, decisions)
        self.reconciliation = ShardReconciliation(
            loop, member, registry, self._notifier, workers.lease_s, workers.cancel_s, lag_s, decisions
        )
        self.capacity_granter = CapacityGranter(loop, label, self.machines, lapse_s, random, send, counters)
        self.failure_history = FailureHistory(
            loop, registry, self.capacity_granter, workers.report_s, self._drain, counters
        )
        self.report_processor = ReportProcessor(
            loop,
            member,
            registry,
            self._notifier,
            self.reconciliation,
            self.capacity_granter,
            self.failure_history,
            self._drain,
            need_spec,
            decisions,
        )
        self.task_commands = TaskCommands(
            loop,
            registry,
            self._notifier,
            self.reconciliation,
            self.capacity_granter,
            lapse_s,
            send,
            ask,
            counters,
            decisions,
        )

    # Terms

    def begin(self, short):
        """A new incarnation starts. `short`: it came in the place of the one before, without a gap in
        which others were home to its machines."""
        term = self._member.term
        self.reconciliation.begin(term)
        self.reconciliation.fence_shards(term.shards_of(self.label), short)

    def on_term(self, old, new):
        """The term changed while this incarnation serves: what moved is let go of, or begun anew; what
        stays goes on. Returns {label: [frames]} that tell the new homes what they need not find out."""
        had, has = old.shards_of(self.label), new.shards_of(self.label)
        lost = had.keys() - has.keys()
        begun = [shard for shard, token in has.items() if had.get(shard) != token]
        given, told = {}, {}  # home -> [machines], and what it is told of them
        self.reconciliation.on_relieved_changed(old, new)
        if lost or begun:
            for machine in list(self.machines.values()):
                shard, (home, token) = new.shard_of(machine.id), new.leader_and_token(machine.id)
                if home != self.label:
                    given.setdefault(home, []).append(machine)
                elif (shard, token) != (machine.shard, machine.token):
                    machine.shard, machine.token, machine.confirmed_token = shard, token, 0
                    self.capacity_granter.revoke(machine)
                    if machine.heard_at is not None:
                        self._ask(machine)
            told = {label: handover(machines, self.registry) for label, machines in given.items()}
            for machine in chain.from_iterable(given.values()):
                self.capacity_granter.revoke(machine)
                self._let_go(machine)
            self.reconciliation.drop_shards(lost)
            self.reconciliation.fence_shards(begun, False)
        if old.members.keys() - new.members.keys() or new.relieved - old.relieved:
            self.reconciliation.extend_fences()
        for label in list(self.capacity_granter.demand):
            if old.incarnation(label) != new.incarnation(label):
                self.capacity_granter.forget_controller(label)
        self.reconciliation.on_term(new)
        return told

    def most_workers_silent(self):
        """Most machines heard here have fallen silent: dead all at once, or cut off."""
        limit = self._loop.now() - SILENT_REPORTS * self._workers.report_s
        if self.running_since > limit:
            return False
        heard = silent = 0
        for machine in self.machines.values():
            if machine.heard_at is not None:
                heard += 1
                silent += machine.heard_at < limit
        return heard >= DEAF_LEAST and 2 * silent > heard

    def on_handover(self, frame):
        """Machines that another home gave away: a hint only. They are asked under this home's token, and
        nothing is known of them before they answer."""
        registry = self.registry
        for name, address, kind_name, zone, spot, draining, images in frame.rows:
            term = self._member.term
            if (
                term.leader_of(name) != self.label
                or name in self.machines
                or name in registry.gone
                or not self._member.may_take_on(term.shard_of(name))
            ):
                continue
            machine = registry.register(name, address, kind_name, zone, spot, self._loop.now())
            machine.draining = draining
            machine.up = True
            machine.images = dict.fromkeys(images, 0.0)
            self.reconciliation.mark_unheard(machine)
            self._ask(machine)

    def on_handover_jobs(self, frame):
        """Owners and needs of jobs with tasks on machines that are about to be handed over."""
        registry = self.registry
        for job, label, incarnation, cpus, gpus, memory, image, image_gb, save_s, saves in frame.rows:
            if self._member.term.serves(label, incarnation):
                registry.owners.setdefault(job, (label, incarnation))
            registry.specs.setdefault(
                job, TaskRequirements((cpus, gpus, memory), image, image_gb, save_s, saves)
            )

    # Machines

    def apply_machine_list(self, listed, asked_at):
        """A machine list: asked for at `asked_at`, all machines of it homed here."""
        now = self._loop.now()
        registry, reconciliation = self.registry, self.reconciliation
        shown_at = reconciliation.shown_at(asked_at)
        failed, left = [], set()
        for item in listed:
            if item.id in registry.gone:
                continue
            machine = self.machines.get(item.id)
            if item.status == "failed":
                if machine is not None:
                    self.machine_gone(machine, "failed")
                else:
                    self.unregistered_machine_gone(item.id)
                failed.append(item.id)
                continue
            shard = self._member.term.shard_of(item.id)
            taken_on = self._member.may_take_on(shard)
            if machine is None:
                if not taken_on:
                    # Not heard, then: what runs there is not known, and nothing covers it.
                    left.add(shard)
                    continue
                machine = registry.register(item.id, item.address, item.type, item.zone, item.spot, now)
                reconciliation.mark_unheard(machine)
            if machine.listed_at is None:
                machine.born_at = shown_at - item.age_s * (1 + DRIFT)
            machine.listed_at = asked_at
            if item.status == "running" and taken_on:
                machine.up = True
            if item.status == "starting":
                # It was not up at the moment that the list shows, so nobody had told it anything.
                machine.born_at = max(machine.born_at, shown_at)
            if machine.confirmed_token != machine.token and item.status == "running":
                self._ask(machine)
        reconciliation.apply_list(asked_at, left)
        reconciliation.answer_syncs()
        return failed

    def machine_gone(self, machine, cause):
        """Surely gone, with all that was on it."""
        now = self._loop.now()
        log.info(
            "machine %s gone: %s, with %d tasks; heard %.1f s ago%s",
            machine.id,
            cause,
            len(machine.tasks),
            now - (machine.heard_at or now),
            "" if machine.notice_at is None else f", notice {now - machine.notice_at:+.1f} s",
        )
        self.registry.gone[machine.id] = now
        self.capacity_granter.revoke(machine)
        for task in list(machine.tasks.values()):
            self._notifier.attempt_gone(machine, task, cause)
        self._let_go(machine)
        self.reconciliation.free_claims(machine.id, cause)

    def _let_go(self, machine):
        self.registry.remove(machine)
        self.failure_history.forget_machine(machine)

    def unregistered_machine_gone(self, name):
        """A machine never heard here is surely gone."""
        self.registry.gone[name] = self._loop.now()
        self.reconciliation.free_claims(name, "gone")

    def _drain(self, machine):
        """Nothing more starts there; tasks that can save are told to, the rest may finish."""
        machine.draining = True
        self.capacity_granter.revoke(machine)
        if machine.notice_at is not None:
            left = machine.notice_at - self._loop.now()
            for task in machine.tasks.values():
                if (
                    task.status != EXITED
                    and task.requirements is not None
                    and task.requirements.saves
                    and task.stop_grace is None
                ):
                    machine.stop(task, max(0.0, left))
            self._ask(machine)

    def tick(self, term_confirmed_at):
        """Once in a while: leases that ran out, grants that lapsed. Returns machines to release.

        `term_confirmed_at`: as for `judge_leases`.
        """
        now = self._loop.now()
        lease_s = self._workers.lease_s
        self.judge_leases(term_confirmed_at)
        release = []
        for machine in list(self.machines.values()):
            if machine.grant_holder is not None and now >= machine.grant_lapse_at:
                self._count("grants_lapsed")
                self.capacity_granter.revoke(machine)
                self.capacity_granter.grant(machine)
            if machine.quarantined_until and now >= machine.quarantined_until and not machine.draining:
                self.failure_history.evaluate(machine)
            if machine.pending_commands and any(
                task.forget and task.unacked_launch_token == machine.token
                for task in machine.pending_commands.values()
            ):
                # An unanswered launch could start the attempt again once it is forgotten;
                # under a higher token the worker refuses it.
                self._member.want_new_token(machine.shard)
            ours = machine.confirmed_token == machine.token
            heard_at = machine.heard_at if machine.heard_at is not None else now
            silent = now - max(heard_at, self.running_since)
            taken = machine.notice_at is not None and now > machine.notice_at + 1
            drained = machine.draining and machine.notice_at is None and ours and machine.is_empty()
            if drained or silent > 4 * lease_s or (taken and silent > 2 * self._workers.report_s):
                release.append(machine)
        self.registry.prune(now, self.reconciliation.awaited_jobs)
        return release

    def judge_leases(self, term_confirmed_at):
        """Frees what was on machines whose lease has run out, and what is claimed on those never heard.

        `term_confirmed_at`: until then nobody else was home to them by the term in force, so that a lease not
        renewed here, and over by then, is over. `undecided` says whether there are others that ended since.
        """
        now = self._loop.now()
        reconciliation = self.reconciliation
        undecided = False
        for machine in list(self.machines.values()):
            if not machine.tasks and not reconciliation.claimed(machine.id):
                continue
            end = machine.lease.ends_at(self._workers.lease_s)
            if machine.confirmed_token != machine.token:
                end = max(end, reconciliation.fence_ends_at(machine.shard))
            if now <= end:
                continue
            if term_confirmed_at <= end:
                undecided = True
                continue
            self._note_lease_ended(machine, term_confirmed_at)
            self._count("leases_out")
            self.capacity_granter.revoke(machine)
            for task in list(machine.tasks.values()):
                self._notifier.attempt_gone(machine, task, "lease ended")
            reconciliation.free_claims(machine.id, "lease ended")
            machine.confirmed_token = 0
            reconciliation.mark_unheard(machine)
        self.has_undecided_leases = reconciliation.expire_claims(term_confirmed_at) or undecided
        reconciliation.answer_syncs()

    def _note_lease_ended(self, machine, term_confirmed_at):
        """`term_confirmed_at`: as for `judge_leases`."""
        now, answered = self._loop.now(), machine.lease.answered
        self._decisions.note(
            Decision.LEASE_ENDED,
            decision_subject(machine),
            answered=f"{answered.session}.{answered.sequence}",
            answered_before_s=now - machine.lease.renewed_at,
            newest=f"{machine.session}.{machine.sequence}",
            heard_before_s=now - (machine.heard_at or now),
            in_force_before_s=now - term_confirmed_at,
            heard_under_token=machine.confirmed_token == machine.token,
            tasks=len(machine.tasks),
        )

    def idle(self, idle_s):
        """Machines with nothing on them and no use for that long."""
        now = self._loop.now()
        return [
            machine
            for machine in self.machines.values()
            if machine.confirmed_token == machine.token
            and machine.grant_holder is None
            and machine.is_empty()
            and now - max(machine.idle_since, machine.confirmed_at) > idle_s(machine)
        ]

    def has_spare_capacity(self):
        """Whether the machines in use have much room left that nobody wants."""
        held = spare = 0.0
        for machine in self.machines.values():
            if machine.active and machine.kind is not None:
                free = machine.free_capacity()[0]
                held += machine.kind.cpus - free
                if machine.grant_holder is None and self.capacity_granter.can_grant(machine):
                    spare += free
        return spare > PLENTY * held

    def machines_by_shard(self):
        """{share: machines there}."""
        counts = {}
        for machine in self.machines.values():
            counts[machine.shard] = counts.get(machine.shard, 0) + 1
        return counts

    def usage(self):
        """CPUs of the machines heard: (all, held by running tasks, by others, parked, granted)."""
        total = running = other = parked = granted = 0.0
        for machine in self.machines.values():
            if machine.kind is None or not machine.confirmed_token:
                continue
            total += machine.kind.cpus
            free = machine.free_capacity()[0]
            if machine.grant_holder is None:
                parked += free
            else:
                granted += free
            for task in machine.tasks.values():
                if task.requirements is not None and task.status != EXITED:
                    if task.status == "running":
                        running += task.requirements.resources[0]
                    else:
                        other += task.requirements.resources[0]
        return total, running, other, parked, granted

    def machine_counts(self):
        """Rows for the renter: machines by type, zone and kind, and their parked room."""
        rows = {}
        for machine in self.machines.values():
            row = rows.setdefault((machine.type, machine.zone, machine.spot), [0, 0, 0.0, 0.0, 0.0])
            row[0] += 1
            if self.capacity_granter.can_grant(machine):
                if not machine.is_busy():
                    row[1] += 1
                for place, free in enumerate(machine.free_capacity()):
                    row[2 + place] += max(0.0, free)
        return [(*key, *row) for key, row in rows.items()]
