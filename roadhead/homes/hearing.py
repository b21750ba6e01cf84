"""What workers report, and what it says of their tasks."""

import logging
from typing import NamedTuple

from roadhead.decision_log import Decision
from roadhead.homes.machine import EXITED, LAUNCHING, Task, about
from roadhead.homes.worker_lease import ReportNumber
from roadhead.wire import frames, messages

log = logging.getLogger("roadhead.home")


class Renewal(NamedTuple):
    """What a report is answered: the token, and the worker's commands in order."""

    token: int
    orders: list


class Hearing:
    """`drain(machine)`: its notice came. `need_spec(job)`: a task was found of which nothing is known."""

    def __init__(self, loop, member, known, news, reconciliation, rooms, faults, drain, need_spec, decisions):
        self._loop = loop
        self._member = member
        self._known = known
        self._news = news
        self._reconciliation = reconciliation
        self._rooms = rooms
        self._faults = faults
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
            self._decisions.note(Decision.LAUNCH_SENT, about(machine, task), path="answer")
        return Renewal(machine.token, orders)

    def _note_overtaken(self, machine, number):
        """A report that is not the newest message of its worker is about to be answered."""
        again = number <= machine.lease.answered
        self._decisions.count("reports_again" if again else "reports_overtaken")
        self._decisions.note(
            Decision.REPORT_OVERTAKEN,
            about(machine),
            report=f"{number.session}.{number.sequence}",
            newest=f"{machine.session}.{machine.sequence}",
            again=again,
            renewed_before_s=self._loop.now() - machine.lease.renewed_at,
        )

    def _take_report(self, report):
        """The machine of a report, or None if this home has no say over it."""
        known = self._known
        machine = known.machines.get(report.machine)
        now = self._loop.now()
        if machine is None:
            if report.machine in known.gone or report.type not in known.types:
                return None
            if not self._member.takes_on(self._member.term.share(report.machine)):
                return None
            machine = known.take_on(
                report.machine, report.address, report.type, report.zone, report.spot, now
            )
            self._reconciliation.unheard(machine)
        if report.token > machine.token or self._too_late(machine):
            return None
        self.observe(machine, report)
        return machine

    def _too_late(self, machine):
        """It may have come up since another is its home, which would not know what is started there."""
        return not machine.up and not self._member.takes_on(machine.share)

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
            machine.know_kind(self._known.types.get(machine.type))
        if report.session > machine.session:
            # The worker killed all it had before it began this session, and commands for
            # the old one are refused from now on.
            for task in list(machine.tasks.values()):
                self._news.freed(machine, task, "lease ended")
            machine.lease.begin(now)
        machine.session, machine.sequence = at
        machine.heard_at = now
        if report.notice_s is not None:
            machine.notice_at = now + report.notice_s
        confirmed = report.token == machine.token
        first = confirmed and machine.confirmed != report.token
        if first:
            machine.confirmed = report.token
            machine.confirmed_at = now
            machine.lease.begin(now)
            for task in machine.tasks.values():
                if task.loose_token < report.token:
                    task.loose_token = 0
            self._reconciliation.heard(machine)
        before = machine.room()
        self._take_tasks(machine, report.tasks, confirmed)
        if confirmed:
            self._meet_claims(machine)
        if first:
            self._reconciliation.settle()
        if machine.room() != before or first:
            machine.declined.clear()
            self._rooms.changed(machine)
        if machine.notice_at is not None and not machine.draining:
            self._drain(machine)
        return True

    def _meet_claims(self, machine):
        for key, claimer in self._reconciliation.take_claims(machine.id):
            # An heir that did not know of the task may have named the job since.
            owner = self._known.owners.get(key[0], claimer)
            task = machine.tasks.get(key)
            if task is None:
                self._news.tell(owner, frames.Free(machine.id, *key, "not there"))
            else:
                task.owner = owner
                self._news.states(machine, [task], True)

    def _take_tasks(self, machine, reported, confirmed):
        if confirmed and reported == machine.reported:
            return  # all of it is known
        machine.readings += 1
        reading = machine.readings
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
            machine.progress(task, item.status)
            task.cause = item.cause
            task.saved = bool(item.saved)
            if item.status == "running" and (first or was != "running") and task.needs is not None:
                machine.has_image(task.needs)
            if task.status == EXITED and was != EXITED:
                self._faults.exited(machine, task)
            if task.job in self._known.cancelled:
                machine.stop(task, 0.0)
                if task.status == EXITED:
                    machine.forget(task)
            if was != LAUNCHING or item.status != "pulling":
                changed.append(task)  # its owner knows that a task it started waits for its image
        if changed:
            self._news.states(machine, changed)
        if confirmed:
            for task in [t for t in machine.tasks.values() if t.seen and t.mark != reading]:
                self._news.freed(machine, task, "not there")
            machine.reported = reported

    def _found(self, machine, item):
        """The task of a report's entry that was not in the machine's reports before."""
        try:
            job, index = messages.split_task(item.task)
        except messages.Invalid:
            log.error("machine %s reports task %r", machine.id, item.task)
            return None
        task = machine.tasks.get((job, index, item.attempt))
        if task is None:
            task = Task(job, index, item.attempt, item.status, self._known.owners.get(job))
            task.needs = self._known.specs.get(job)
            machine.put(task)
            if task.needs is None:
                self._need_spec(job)
        task.name = item.task
        machine.by_name[item.task, item.attempt] = task
        return task
