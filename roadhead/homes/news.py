"""What a shard leader tells the owners of tasks."""

from roadhead.decision_log import Decision
from roadhead.homes.machine import EXITED, LAUNCHING, about
from roadhead.wire import frames


class News:
    """Sends owners the states of their tasks on this leader's machines."""

    def __init__(self, member, known, send, counters, decisions):
        self._member = member
        self._known = known
        self._send = send
        self._count = counters.add
        self._decisions = decisions

    def tell(self, owner, frame):
        """Sends a frame to an owner, (label, incarnation) or None, if the term names that incarnation."""
        if owner is not None and self._member.term.serves(*owner):
            self._send(owner[0], frame)

    def _owner_of(self, task):
        return task.owner or self._known.owners.get(task.job)

    def freed(self, machine, task, cause):
        """Drops an attempt that certainly runs nowhere, and tells its owner."""
        machine.drop(task)
        self._count(f"freed_{cause.replace(' ', '_')}")
        self._decisions.note(
            Decision.TASK_FREED,
            about(machine, task),
            cause=cause.replace(" ", "_"),
            status=task.status,
            newest=f"{machine.session}.{machine.sequence}",
            unanswered_launch=task.loose_token,
        )
        cancelled = task.job in self._known.cancelled
        if task.status not in (EXITED, LAUNCHING) and not cancelled:
            self._count("tasks_lost")
        if not task.forget or cancelled:
            self.tell(self._owner_of(task), frames.Free(machine.id, *task.key, cause))

    def standing(self, owner, jobs):
        """Sends `owner` the tasks of these jobs that another owner was told of.

        Two successors from different terms may both name a job until a write of its record decides between
        them, and the one that named it last is told what is found meanwhile. Without this, the other one
        starts tasks that already run: rule ran_twice broke on a simulated day at 1.5 times the load.
        """
        for machine, tasks in self._known.on_machines(jobs).items():
            rows = [
                (task.job, task.index, task.attempt, task.status, task.cause or "")
                for task in tasks
                if self._owner_of(task) != owner and not task.forget
            ]
            if rows:
                self.tell(owner, frames.TaskStates(machine.id, machine.zone, rows))

    def states(self, machine, tasks, again=False):
        """Sends owners the states of tasks, one frame per owner.

        `again`: includes states sent before, and launches that no report has shown; a successor of the
        owner has heard of neither.
        """
        rows = {}
        for task in tasks:
            state = (task.status, task.cause, task.owner)
            if (not again and (state == task.told or task.status == LAUNCHING)) or task.forget:
                continue
            task.told = state
            owner = self._owner_of(task)
            if owner is not None and self._member.term.serves(*owner):
                rows.setdefault(owner[0], []).append(
                    (task.job, task.index, task.attempt, task.status, task.cause or "")
                )
        for label, label_rows in rows.items():
            self._send(label, frames.TaskStates(machine.id, machine.zone, label_rows))
