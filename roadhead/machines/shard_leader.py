"""The leader of shards: the only controller that commands their machines and grants their free capacity.

No sockets here: reports, frames and answers come in as calls; frames go out through `send(label, frame)`, and
`ask(machine)` requests a direct command request to a machine's worker.
"""

import logging
from itertools import chain

from roadhead.decision_log import Decision
from roadhead.machines.capacity_grants import CapacityGranter
from roadhead.machines.failure_history import FailureHistory
from roadhead.machines.handover import handover
from roadhead.machines.machine import decision_subject
from roadhead.machines.machine_registry import MachineRegistry
from roadhead.machines.owner_notifier import OwnerNotifier
from roadhead.machines.report_processor import ReportProcessor
from roadhead.machines.shard_reconciliation import ShardReconciliation
from roadhead.machines.task import EXITED, TaskRequirements
from roadhead.machines.task_commands import TaskCommands
from roadhead.machines.worker_lease import CLOCK_DRIFT

log = logging.getLogger("roadhead.home")

SILENT_REPORT_INTERVALS = 2.25  # report intervals without a report; a healthy worker's are at most 1.25 apart
MAX_JOBS_LOOKED_UP = 10  # in a comparison, of jobs whose owner ended; each is a request to the state service
MIN_MACHINES_HEARD = 3  # with fewer machines heard, their silence says nothing about the network
SPARE_RATIO = 0.25  # free CPUs beside those in use above which idle machines are released sooner


class ShardLeader:
    """Leads the machines of this controller's shards during one incarnation.

    `capacity_granter` grants free capacity, `report_processor` takes in reports, `task_commands` handles
    owners' frames, `reconciliation` tracks what is not known yet after a shard came here. `grant_lifetime_s`
    is how long a grant lasts unused; `need_spec(job)` is called for a job found on a machine but not known
    here.
    """

    def __init__(
        self,
        loop,
        label,
        member,
        deployment,
        grant_lifetime_s,
        random,
        send,
        ask,
        need_spec,
        counters,
        decisions,
    ):
        self._loop = loop
        self.label = label
        self._member = member
        self._workers = workers = deployment.workers
        self._ask = ask
        self._need_spec = need_spec
        self._count = counters.add
        self._decisions = decisions
        self.running_since = 0.0  # end of this process's last stall, in loop time
        self.has_undecided_leases = False
        lag_s = deployment.cloud.list_lag_s
        self.registry = registry = MachineRegistry(member, workers.lease_s, workers.cancel_s, lag_s)
        self.machines = registry.machines
        self.notifier = OwnerNotifier(member, registry, send, counters, decisions)
        self.reconciliation = ShardReconciliation(
            loop, member, registry, self.notifier, workers.lease_s, workers.cancel_s, lag_s, decisions
        )
        self.capacity_granter = CapacityGranter(
            loop, label, self.machines, grant_lifetime_s, random, send, counters
        )
        self.failure_history = FailureHistory(
            loop, registry, self.capacity_granter, workers, self._drain, counters
        )
        self.report_processor = ReportProcessor(
            loop,
            member,
            registry,
            self.notifier,
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
            self.notifier,
            self.reconciliation,
            self.capacity_granter,
            grant_lifetime_s,
            send,
            ask,
            counters,
        )

    # Terms

    def begin(self, short):
        """Starts an incarnation: takes over the shards that the term gives to this controller.

        `short`: this incarnation directly replaced its predecessor, and nobody else led its machines between.
        """
        term = self._member.term
        self.reconciliation.begin(term)
        self.reconciliation.fence_shards(term.shards_of(self.label), short)

    def on_term(self, old, new):
        """Applies a new term: drops shards that moved away, and starts over with those that came or got a new
        token. Other shards are not touched.

        Returns {label: [frames]} that hand the dropped machines over to their new leaders.
        """
        old_tokens, new_tokens = old.shards_of(self.label), new.shards_of(self.label)
        lost = old_tokens.keys() - new_tokens.keys()
        renewed = [shard for shard, token in new_tokens.items() if old_tokens.get(shard) != token]
        moved, handovers = {}, {}  # new leader -> its machines, and the frames for it
        self.reconciliation.on_relieved_changed(old, new)
        if lost or renewed:
            for machine in list(self.machines.values()):
                shard, (leader, token) = new.shard_of(machine.id), new.leader_and_token(machine.id)
                if leader != self.label:
                    moved.setdefault(leader, []).append(machine)
                elif (shard, token) != (machine.shard, machine.token):
                    machine.shard, machine.token, machine.confirmed_token = shard, token, 0
                    self.capacity_granter.revoke(machine)
                    if machine.heard_at is not None:
                        self._ask(machine)
            handovers = {label: handover(machines, self.registry) for label, machines in moved.items()}
            for machine in chain.from_iterable(moved.values()):
                self.capacity_granter.revoke(machine)
                self._remove_machine(machine)
            self.reconciliation.drop_shards(lost)
            self.reconciliation.fence_shards(renewed, False)
        if old.members.keys() - new.members.keys() or new.relieved - old.relieved:
            self.reconciliation.extend_fences()
        for label in list(self.capacity_granter.demand):
            if old.incarnation(label) != new.incarnation(label):
                self.capacity_granter.forget_controller(label)
        self.reconciliation.on_term(new)
        return handovers

    def most_workers_silent(self):
        """Whether most machines heard here are silent: all died at once, or this controller is cut off."""
        limit = self._loop.now() - SILENT_REPORT_INTERVALS * self._workers.report_s
        if self.running_since > limit:
            return False
        heard = silent = 0
        for machine in self.machines.values():
            if machine.heard_at is not None:
                heard += 1
                silent += machine.heard_at < limit
        return heard >= MIN_MACHINES_HEARD and 2 * silent > heard

    def on_handover(self, frame):
        """Takes on machines that another leader handed over.

        The frame is only a hint: each machine is asked under this leader's token, and nothing counts as known
        of it before it answers.
        """
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
            machine.has_been_up = True
            machine.images = dict.fromkeys(images, 0.0)
            self.reconciliation.mark_unheard(machine)
            self._ask(machine)

    def on_handover_jobs(self, frame):
        """Records owners and requirements of jobs with tasks on machines that are about to be handed over."""
        registry = self.registry
        for job, label, incarnation, cpus, gpus, memory, image, image_gb, save_s, saves in frame.rows:
            if self._member.term.serves(label, incarnation):
                registry.owners.setdefault(job, (label, incarnation))
            registry.job_requirements.setdefault(
                job, TaskRequirements((cpus, gpus, memory), image, image_gb, save_s, saves)
            )

    # Machines

    def apply_machine_list(self, listed, asked_at):
        """Takes in a list of machines of this controller's shards, requested at `asked_at`.

        Returns the ids of machines that the cloud lists as failed.
        """
        now = self._loop.now()
        registry, reconciliation = self.registry, self.reconciliation
        shown_at = reconciliation.shown_at(asked_at)
        failed, skipped_shards = [], set()
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
                    # It is not heard, so what runs there stays unknown, and the list covers less.
                    skipped_shards.add(shard)
                    continue
                machine = registry.register(item.id, item.address, item.type, item.zone, item.spot, now)
                reconciliation.mark_unheard(machine)
            if machine.listed_at is None:
                machine.born_at = shown_at - item.age_s * (1 + CLOCK_DRIFT)
            machine.listed_at = asked_at
            if item.status == "running" and taken_on:
                machine.has_been_up = True
            if item.status == "starting":
                # The list shows it not up at that moment, so nobody can have commanded it before.
                machine.born_at = max(machine.born_at, shown_at)
            if machine.confirmed_token != machine.token and item.status == "running":
                self._ask(machine)
        reconciliation.apply_list(asked_at, skipped_shards)
        reconciliation.answer_syncs()
        return failed

    def machine_gone(self, machine, cause):
        """Removes a machine that certainly no longer runs, and frees its tasks."""
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
            self.notifier.attempt_gone(machine, task, cause)
        self._remove_machine(machine)
        self.reconciliation.free_claims(machine.id, cause)

    def _remove_machine(self, machine):
        """Stops tracking a machine that is gone or has another leader."""
        self.registry.remove(machine)
        self.failure_history.forget_machine(machine)

    def unregistered_machine_gone(self, name):
        """Records that a machine never heard here certainly no longer runs."""
        self.registry.gone[name] = self._loop.now()
        self.reconciliation.free_claims(name, "gone")

    def _drain(self, machine):
        """Starts nothing more on the machine; running tasks may finish.

        If the cloud has announced its end, tasks that can save are told to stop by then.
        """
        machine.draining = True
        self.capacity_granter.revoke(machine)
        if machine.notice_at is not None:
            left_s = machine.notice_at - self._loop.now()
            for task in machine.tasks.values():
                if (
                    task.status != EXITED
                    and task.requirements is not None
                    and task.requirements.saves
                    and task.stop_grace is None
                ):
                    machine.stop(task, max(0.0, left_s))
            self._ask(machine)

    def tick(self, term_confirmed_at):
        """Handles ended leases, expired grants and quarantined machines; returns machines to release.

        `term_confirmed_at`: as for `judge_leases`.
        """
        now = self._loop.now()
        lease_s = self._workers.lease_s
        self.judge_leases(term_confirmed_at)
        release = []
        for machine in list(self.machines.values()):
            if machine.grant.holder is not None and now >= machine.grant.lapses_at:
                self._count("grants_lapsed")
                self.capacity_granter.revoke(machine)
                self.capacity_granter.grant(machine)
            if machine.quarantined_until and now >= machine.quarantined_until and not machine.draining:
                self.failure_history.evaluate(machine)
            is_confirmed = machine.confirmed_token == machine.token
            heard_at = machine.heard_at if machine.heard_at is not None else now
            silent_s = now - max(heard_at, self.running_since)
            is_past_notice = machine.notice_at is not None and now > machine.notice_at + 1
            is_drained = (
                machine.draining and machine.notice_at is None and is_confirmed and machine.is_empty()
            )
            if (
                is_drained
                or silent_s > 4 * lease_s
                or (is_past_notice and silent_s > 2 * self._workers.report_s)
            ):
                release.append(machine)
        self.registry.prune(now, self.reconciliation.awaited_jobs)
        return release

    def look_up_jobs_of_ended_owners(self):
        """Has the records read of jobs with attempts here whose owner ended.

        A job that was over by then has no successor that would have its attempts forgotten.
        """
        term, owner_of = self._member.term, self.notifier.owner_of
        jobs = {}
        for machine in self.machines.values():
            for task in machine.tasks.values():
                owner = owner_of(task)
                if not task.forget and (owner is None or not term.serves(*owner)):
                    jobs[task.job] = True
        for job in list(jobs)[:MAX_JOBS_LOOKED_UP]:
            self._need_spec(job)

    def judge_leases(self, term_confirmed_at):
        """Frees the tasks of machines whose lease has ended, and claims on machines never heard.

        `term_confirmed_at`: until then, by the term in force, no other controller led these machines. So a
        lease that was not renewed here and ended before `term_confirmed_at` has certainly ended. Sets
        `has_undecided_leases` if other leases ended after it.
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
                self.notifier.attempt_gone(machine, task, "lease ended")
            reconciliation.free_claims(machine.id, "lease ended")
            machine.confirmed_token = 0
            reconciliation.mark_unheard(machine)
        self.has_undecided_leases = reconciliation.expire_claims(term_confirmed_at) or undecided
        reconciliation.answer_syncs()

    def _note_lease_ended(self, machine, term_confirmed_at):
        """Records the evidence for an ended lease; `term_confirmed_at`: as for `judge_leases`."""
        now = self._loop.now()
        self._decisions.note(
            Decision.LEASE_ENDED,
            decision_subject(machine),
            answered=str(machine.lease.answered),
            answered_before_s=now - machine.lease.renewed_at,
            newest=f"{machine.session}.{machine.sequence}",
            heard_before_s=now - (machine.heard_at or now),
            in_force_before_s=now - term_confirmed_at,
            heard_under_token=machine.confirmed_token == machine.token,
            tasks=len(machine.tasks),
        )

    def idle(self, idle_s):
        """Machines without tasks or grants for longer than `idle_s(machine)` seconds."""
        now = self._loop.now()
        return [
            machine
            for machine in self.machines.values()
            if machine.confirmed_token == machine.token
            and machine.grant.holder is None
            and machine.is_empty()
            and now - max(machine.idle_since, machine.confirmed_at) > idle_s(machine)
        ]

    def has_spare_capacity(self):
        """Whether the machines in use have much free capacity that nobody wants."""
        used = spare = 0.0
        for machine in self.machines.values():
            if machine.active and machine.kind is not None:
                free = machine.free_capacity()[0]
                used += machine.kind.cpus - free
                if machine.grant.holder is None and self.capacity_granter.can_grant(machine):
                    spare += free
        return spare > SPARE_RATIO * used

    def machines_by_shard(self):
        """{shard: number of its machines}."""
        counts = {}
        for machine in self.machines.values():
            counts[machine.shard] = counts.get(machine.shard, 0) + 1
        return counts

    def usage(self):
        """CPUs of the machines heard: (all, of running tasks, of other tasks, free, free and granted)."""
        total = running = other = parked = granted = 0.0
        for machine in self.machines.values():
            if machine.kind is None or not machine.confirmed_token:
                continue
            total += machine.kind.cpus
            free = machine.free_capacity()[0]
            if machine.grant.holder is None:
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
        """MachineCounts rows for the fleet planner: machines by type, zone and spot, with free capacity."""
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
