"""Takes in workers' reports and updates machines, tasks and leases from them."""

import logging
from typing import NamedTuple

from roadhead.decision_log import Decision
from roadhead.machines.command_fence import shard_token_of
from roadhead.machines.machine import decision_subject, note_sent
from roadhead.machines.task import EXITED, LAUNCHING, Task
from roadhead.machines.worker_lease import ReportNumber
from roadhead.wire import frames, messages

log = logging.getLogger("roadhead.home")


class Renewal(NamedTuple):
    """The answer to a report: the token of its commands, and the commands for its worker in order."""

    token: int
    orders: list


class ReportProcessor:
    """Processes reports and the answers to direct commands.

    `drain(machine)` is called when the cloud has announced the machine's end; `need_spec(job)` when a task is
    found whose job is not known here.
    """

    def __init__(
        self,
        loop,
        member,
        registry,
        notifier,
        reconciliation,
        capacity_granter,
        failure_history,
        drain,
        need_spec,
        decisions,
    ):
        self._loop = loop
        self._member = member
        self._registry = registry
        self._notifier = notifier
        self._reconciliation = reconciliation
        self._capacity_granter = capacity_granter
        self._failure_history = failure_history
        self._drain = drain
        self._need_spec = need_spec
        self._decisions = decisions

    def answer(self, report):
        """The Renewal for a worker's report, or None if the report must not be answered with 200.

        Any answer renews the worker's lease, also one to a report that the answer to a direct command has
        overtaken. So the lease is counted here, where the answer is decided on, and nowhere else: leaving out
        overtaken reports broke rule ran_twice at production size (docs/incidents/ran-twice.md).
        """
        machine = self._take_report(report)
        if machine is None:
            return None
        number = ReportNumber.of(report)
        if number < (machine.session, machine.sequence):
            self._note_overtaken(machine, number)
        is_newest = machine.lease.answer(number, self._loop.now())
        commands = machine.commands_for_answer() if is_newest else machine.direct_commands()
        note_sent(self._decisions, machine, commands, path="answer", report=str(number))
        return Renewal(machine.command_token, commands.orders)

    def _note_overtaken(self, machine, number):
        """Records that a report older than the worker's newest message is about to be answered."""
        is_repeated = number <= machine.lease.answered
        self._decisions.count("reports_again" if is_repeated else "reports_overtaken")
        self._decisions.note(
            Decision.REPORT_OVERTAKEN,
            decision_subject(machine),
            report=str(number),
            newest=f"{machine.session}.{machine.sequence}",
            again=is_repeated,
            renewed_before_s=self._loop.now() - machine.lease.renewed_at,
        )

    def _take_report(self, report):
        """Takes in a report; returns its machine, or None if this controller must not lead it."""
        registry = self._registry
        machine = registry.machines.get(report.machine)
        now = self._loop.now()
        if machine is None:
            if report.machine in registry.gone or report.type not in registry.types:
                return None
            if not self._member.may_take_on(self._member.term.shard_of(report.machine)):
                return None
            machine = registry.register(
                report.machine, report.address, report.type, report.zone, report.spot, now
            )
            self._reconciliation.mark_unheard(machine)
        if shard_token_of(report.token) > machine.token or self._may_be_led_elsewhere(machine):
            return None
        self.observe(machine, report)
        return machine

    def _may_be_led_elsewhere(self, machine):
        """Whether the machine may have started under another leader.

        That leader would not wait for it, and would not know of tasks started there by this one.
        """
        return not machine.has_been_up and not self._member.may_take_on(machine.shard)

    def observe(self, machine, report):
        """Takes in a report or the body of a direct answer; returns False if it is outdated."""
        reported_token = shard_token_of(report.token)
        if reported_token > machine.token or self._may_be_led_elsewhere(machine):
            return False
        machine.command_fence.on_token_seen(report.token)
        machine.has_been_up = True
        message_number = (report.session, report.sequence)
        if message_number <= (machine.session, machine.sequence):
            return False
        now = self._loop.now()
        if machine.kind is None:
            machine.set_type(self._registry.types.get(machine.type))
        if report.session > machine.session:
            # A worker kills all its tasks before it begins a session, and refuses commands for earlier
            # sessions.
            for task in list(machine.tasks.values()):
                self._notifier.attempt_gone(machine, task, "lease ended")
            machine.lease.begin(now)
        machine.session, machine.sequence = message_number
        machine.heard_at = now
        if report.notice_s is not None:
            machine.notice_at = now + report.notice_s
        confirmed = reported_token == machine.token
        first = confirmed and machine.confirmed_token != reported_token
        if first:
            machine.confirmed_token = reported_token
            machine.confirmed_at = now
            machine.lease.begin(now)
            self._reconciliation.mark_heard(machine)
        room_before = machine.free_capacity(), bool(machine.free_slots())
        self._take_tasks(machine, report.tasks, confirmed, all_launched_here=confirmed and not first)
        if confirmed:
            self._resolve_claims(machine)
        if first:
            self._reconciliation.answer_syncs()
        if (machine.free_capacity(), bool(machine.free_slots())) != room_before or first:
            machine.grant.declines.clear()
            self._capacity_granter.on_capacity_changed(machine)
        if machine.notice_at is not None and not machine.draining:
            self._drain(machine)
        return True

    def _resolve_claims(self, machine):
        for key, claimer in self._reconciliation.take_claims(machine.id):
            # A successor that did not know of the task may have named its job since.
            owner = self._registry.owners.get(key[0], claimer)
            task = machine.tasks.get(key)
            if task is None:
                self._notifier.notify(owner, frames.AttemptGone(machine.id, *key, "not there"))
            else:
                task.owner = owner
                self._notifier.send_states(machine, [task], True)

    def _take_tasks(self, machine, reported, confirmed, *, all_launched_here):
        """Takes in a report's task list.

        `confirmed`: the worker has seen this leader's token. `all_launched_here`: this is not the first such
        list, so that it can show only attempts that are known here.
        """
        if confirmed and reported == machine.reported:
            return  # the same list as last time
        machine.reports_read += 1
        read_number = machine.reports_read
        by_name = machine.by_name
        changed = []
        for item in reported:
            task = by_name.get((item.task, item.attempt))
            if task is None:
                task = self._add_found_task(machine, item)
                if task is None:
                    continue
                if all_launched_here and not task.was_reported and task.status != LAUNCHING:
                    self._stop_unexpected(machine, task)
            task.last_read = read_number
            old_status = task.status
            if old_status == item.status and task.cause == item.cause and task.was_reported:
                continue
            first, task.was_reported = not task.was_reported, True
            machine.set_status(task, item.status)
            task.cause = item.cause
            task.saved = bool(item.saved)
            if (
                item.status == "running"
                and (first or old_status != "running")
                and task.requirements is not None
            ):
                machine.note_image(task.requirements)
            if task.status == EXITED and old_status != EXITED:
                self._failure_history.on_task_exited(machine, task)
            if task.job in self._registry.cancelled:
                machine.stop(task, 0.0)
                if task.status == EXITED:
                    machine.forget(task)
            if old_status != LAUNCHING or item.status != "pulling":
                changed.append(task)  # the owner of a launched task expects it to pull its image first
        if changed:
            self._notifier.send_states(machine, changed)
        if confirmed:
            for task in [t for t in machine.tasks.values() if t.was_reported and t.last_read != read_number]:
                self._notifier.attempt_gone(machine, task, "not there")
            machine.reported = reported

    def _stop_unexpected(self, machine, task):
        """Stops an attempt that no command under way can have launched; its task may run elsewhere."""
        self._decisions.count("unexpected_attempts")
        self._decisions.note(
            Decision.UNEXPECTED_ATTEMPT,
            decision_subject(machine, task),
            status=task.status,
            newest=f"{machine.session}.{machine.sequence}",
        )
        machine.stop(task, 0.0)

    def _add_found_task(self, machine, item):
        """The task of a report's entry, added to the machine if it is new; None if its name is invalid."""
        try:
            job, index = messages.split_task(item.task)
        except messages.InvalidMessageError:
            log.error("machine %s reports a task with an invalid name: %r", machine.id, item.task)
            return None
        task = machine.tasks.get((job, index, item.attempt))
        if task is None:
            task = Task(job, index, item.attempt, item.status, self._registry.owners.get(job))
            task.requirements = self._registry.job_requirements.get(job)
            machine.add_task(task)
            if task.requirements is None:
                self._need_spec(job)
        task.name = item.task
        machine.by_name[item.task, item.attempt] = task
        return task
