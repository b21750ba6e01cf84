"""What a home tells the owners of tasks."""

from roadhead.decision_log import Decision
from roadhead.machines.machine import EXITED, LAUNCHING, decision_subject
from roadhead.wire import frames


class OwnerNotifier:
    def __init__(self, member, registry, send, counters, decisions):
        self._member = member
        self._registry = registry
        self._send = send
        self._count = counters.add
        self._decisions = decisions

    def notify(self, owner, frame):
        """`owner`: (label, incarnation), or None; only one that the term names is told."""
        if owner is not None and self._member.term.serves(*owner):
            self._send(owner[0], frame)

    def _owner(self, task):
        return task.owner or self._registry.owners.get(task.job)

    def attempt_gone(self, machine, task, cause):
        """The attempt is surely nowhere."""
        machine.remove_task(task)
        self._count(f"freed_{cause.replace(' ', '_')}")
        self._decisions.note(
            Decision.TASK_FREED,
            decision_subject(machine, task),
            cause=cause.replace(" ", "_"),
            status=task.status,
            newest=f"{machine.session}.{machine.sequence}",
            unanswered_launch=task.unacked_launch_token,
        )
        cancelled = task.job in self._registry.cancelled
        if task.status not in (EXITED, LAUNCHING) and not cancelled:
            self._count("tasks_lost")
        if not task.forget or cancelled:
            self.notify(self._owner(task), frames.AttemptGone(machine.id, *task.key, cause))

    def send_existing(self, owner, jobs):
        """Tasks of these jobs here, to an heir that all is known for now, if another was told of them.

        Two heirs of different terms may name the same jobs, until a write of their records decides; the one
        that named them last is told what is found since (ran_twice on a day at 1.5 times).
        """
        for machine, tasks in self._registry.tasks_by_machine(jobs).items():
            rows = [
                (task.job, task.index, task.attempt, task.status, task.cause or "")
                for task in tasks
                if self._owner(task) != owner and not task.forget
            ]
            if rows:
                self.notify(owner, frames.TaskStates(machine.id, machine.zone, rows))

    def send_states(self, machine, tasks, again=False):
        """What became of tasks, one frame an owner. `again`: also what was told before, and launches
        that no report has shown: whoever inherits the job has not heard of those."""
        rows = {}
        for task in tasks:
            state = (task.status, task.cause, task.owner)
            if (not again and (state == task.sent_state or task.status == LAUNCHING)) or task.forget:
                continue
            task.sent_state = state
            owner = self._owner(task)
            if owner is not None and self._member.term.serves(*owner):
                rows.setdefault(owner[0], []).append(
                    (task.job, task.index, task.attempt, task.status, task.cause or "")
                )
        for label, told in rows.items():
            self._send(label, frames.TaskStates(machine.id, machine.zone, told))
