"""What a shard leader tells the owners of tasks."""

from roadhead.decision_log import Decision
from roadhead.machines.machine import decision_subject
from roadhead.machines.task import EXITED, LAUNCHING
from roadhead.wire import frames


class OwnerNotifier:
    """Sends owners the states of their tasks on this leader's machines."""

    def __init__(self, member, registry, send, counters, decisions):
        self._member = member
        self._registry = registry
        self._send = send
        self._count = counters.add
        self._decisions = decisions

    def notify(self, owner, frame):
        """Sends a frame to an owner, (label, incarnation) or None, if the term names that incarnation."""
        if owner is not None and self._member.term.serves(*owner):
            self._send(owner[0], frame)

    def owner_of(self, task):
        """Returns the owner of a task, (label, incarnation), or None if it is not known."""
        return task.owner or self._registry.owners.get(task.job)

    def attempt_gone(self, machine, task, cause):
        """Drops an attempt that certainly runs nowhere, and tells its owner."""
        machine.remove_task(task)
        self._count(f"freed_{cause.replace(' ', '_')}")
        self._decisions.note(
            Decision.TASK_FREED,
            decision_subject(machine, task),
            cause=cause.replace(" ", "_"),
            status=task.status,
            newest=f"{machine.session}.{machine.sequence}",
        )
        cancelled = task.job in self._registry.cancelled
        if task.status not in (EXITED, LAUNCHING) and not cancelled:
            self._count("tasks_lost")
        if not task.forget or cancelled:
            self.notify(self.owner_of(task), frames.AttemptGone(machine.id, *task.key, cause))

    def send_existing(self, owner, jobs):
        """Sends `owner` the tasks of these jobs that another owner was told of.

        Two successors from different terms may both name a job until a write of its record decides between
        them, and the one that named it last is told what is found meanwhile. Without this, the other one
        starts tasks that already run: rule ran_twice broke on a simulated day at 1.5 times the load.
        """
        for machine, tasks in self._registry.tasks_by_machine(jobs).items():
            rows = [
                (task.job, task.index, task.attempt, task.status, task.cause or "")
                for task in tasks
                if self.owner_of(task) != owner and not task.forget
            ]
            if rows:
                self.notify(owner, frames.TaskStates(machine.id, machine.zone, rows))

    def _is_to_be_sent(self, task, state, again):
        """Whether the owner must be told a task's state; `again`: as for `send_states`."""
        if task.forget:
            # Of a cancelled job the owner has not had it forgotten, and waits for its end.
            return not again and task.job in self._registry.cancelled and state != task.sent_state
        return again or (state != task.sent_state and task.status != LAUNCHING)

    def send_states(self, machine, tasks, again=False):
        """Sends owners the states of tasks, one frame per owner.

        `again`: includes states sent before, and launches that no report has shown; a successor of the
        owner has heard of neither.
        """
        rows = {}
        for task in tasks:
            state = (task.status, task.cause, task.owner)
            if not self._is_to_be_sent(task, state, again):
                continue
            task.sent_state = state
            owner = self.owner_of(task)
            if owner is not None and self._member.term.serves(*owner):
                rows.setdefault(owner[0], []).append(
                    (task.job, task.index, task.attempt, task.status, task.cause or "")
                )
        for label, label_rows in rows.items():
            self._send(label, frames.TaskStates(machine.id, machine.zone, label_rows))
