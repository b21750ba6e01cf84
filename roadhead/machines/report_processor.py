"""What workers report, and what it says of their tasks."""

import logging
from typing import NamedTuple

from roadhead.decision_log import Decision
from roadhead.machines.machine import EXITED, LAUNCHING, Task, decision_subject
from roadhead.machines.worker_lease import ReportNumber
from roadhead.wire import frames, messages

log = logging.getLogger("roadhead.home")


class Renewal(NamedTuple):
    """What a report is answered: the token, and the worker's commands in order."""

    token: int
    orders: list


class ReportProcessor:
    """`drain(machine)`: its notice came. `need_spec(job)`: a task was found of which nothing is known."""

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
        self._faults = failure_history
        self._drain = drain
        self._need_spec = need_spec
        self._decisions = decisions

    def answer(self, report):
        """The Renewal that answers a worker's own report, or None if it must not be answered 200.

        An answer renews the worker's lease whether the report brings news or not: one that the answer to a
        direct command overtook is answered, too. So it is counted here, where it is decided on, and nowhere
        else (ran_twice at production size: docs/incidents/ran-twice.md).
        """
        machine = self._take_report(report)
        if machine is None:
            return None
        number = ReportNumber.of(report)
        if number < (machine.session, machine.sequence):
            self._note_overtaken(machine, number)
        machine.lease.answer(number, self._loop.now())
        orders, launches = machine.orders()
        for task in launches:
            self._decisions.note(Decision.LAUNCH_SENT, decision_subject(machine, task), path="answer")
        return Renewal(machine.token, orders)

    def _note_overtaken(self, machine, number):
        """A report that is not the newest message of its worker is about to be answered."""
        again = number <= machine.lease.answered
        self._decisions.count("reports_again" if again else "reports_overtaken")
        self._decisions.note(
            Decision.REPORT_OVERTAKEN,
            decision_subject(machine),
            report=f"{number.session}.{number.sequence}",
            newest=f"{machine.session}.{machine.sequence}",
            again=again,
            renewed_before_s=self._loop.now() - machine.lease.renewed_at,
        )

    def _take_report(self, report):
        """The machine of a report, or None if this home has no say over it."""
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
        if report.token > machine.token or self._too_late(machine):
            return None
        self.observe(machine, report)
        return machine

    def _too_late(self, machine):
        """It may have come up since another is its home, which would not know what is started there."""
        return not machine.up and not self._member.may_take_on(machine.shard)

    def observe(self, machine, report):
        """Takes in a report or the body of a direct answer; False if it is an old one."""
        if report.token > machine.token or self._too_late(machine):
            return False
        machine.up = True
        at = (report.session, report.sequence)
        if at <= (machine.session, machine.sequence):
            return False
        now = self._loop.now()
        if machine.kind is None:
            machine.set_type(self._registry.types.get(machine.type))
        if report.session > machine.session:
            # The worker killed all it had before it began this session, and commands for
            # the old one are refused from now on.
            for task in list(machine.tasks.values()):
                self._notifier.attempt_gone(machine, task, "lease ended")
            machine.lease.begin(now)
        machine.session, machine.sequence = at
        machine.heard_at = now
        if report.notice_s is not None:
            machine.notice_at = now + report.notice_s
        confirmed = report.token == machine.token
        first = confirmed and machine.confirmed_token != report.token
        if first:
            machine.confirmed_token = report.token
            machine.confirmed_at = now
            machine.lease.begin(now)
            for task in machine.tasks.values():
                if task.unacked_launch_token < report.token:
                    task.unacked_launch_token = 0
            self._reconciliation.mark_heard(machine)
        before = machine.free_capacity()
        self._take_tasks(machine, report.tasks, confirmed)
        if confirmed:
            self._meet_claims(machine)
        if first:
            self._reconciliation.answer_syncs()
        if machine.free_capacity() != before or first:
            machine.declined_demands.clear()
            self._capacity_granter.on_capacity_changed(machine)
        if machine.notice_at is not None and not machine.draining:
            self._drain(machine)
        return True

    def _meet_claims(self, machine):
        for key, claimer in self._reconciliation.take_claims(machine.id):
            # An heir that did not know of the task may have named the job since.
            owner = self._registry.owners.get(key[0], claimer)
            task = machine.tasks.get(key)
            if task is None:
                self._notifier.notify(owner, frames.AttemptGone(machine.id, *key, "not there"))
            else:
                task.owner = owner
                self._notifier.send_states(machine, [task], True)

    def _take_tasks(self, machine, reported, confirmed):
        if confirmed and reported == machine.reported:
            return  # all of it is known
        machine.reports_read += 1
        reading = machine.reports_read
        by_name = machine.by_name
        changed = []
        for item in reported:
            task = by_name.get((item.task, item.attempt))
            if task is None:
                task = self._found(machine, item)
                if task is None:
                    continue
            task.mark = reading
            was = task.status
            if was == item.status and task.cause == item.cause and task.seen:
                continue
            first, task.seen = not task.seen, True
            machine.set_status(task, item.status)
            task.cause = item.cause
            task.saved = bool(item.saved)
            if item.status == "running" and (first or was != "running") and task.requirements is not None:
                machine.note_image(task.requirements)
            if task.status == EXITED and was != EXITED:
                self._faults.on_task_exited(machine, task)
            if task.job in self._registry.cancelled:
                machine.stop(task, 0.0)
                if task.status == EXITED:
                    machine.forget(task)
            if was != LAUNCHING or item.status != "pulling":
                changed.append(task)  # its owner knows that a task it started waits for its image
        if changed:
            self._notifier.send_states(machine, changed)
        if confirmed:
            for task in [t for t in machine.tasks.values() if t.seen and t.mark != reading]:
                self._notifier.attempt_gone(machine, task, "not there")
            machine.reported = reported

    def _found(self, machine, item):
        """The task of a report's entry that was not in the machine's reports before."""
        try:
            job, index = messages.split_task(item.task)
        except messages.InvalidMessageError:
            log.error("machine %s reports task %r", machine.id, item.task)
            return None
        task = machine.tasks.get((job, index, item.attempt))
        if task is None:
            task = Task(job, index, item.attempt, item.status, self._registry.owners.get(job))
            task.requirements = self._registry.specs.get(job)
            machine.add_task(task)
            if task.requirements is None:
                self._need_spec(job)
        task.name = item.task
        machine.by_name[item.task, item.attempt] = task
        return task
