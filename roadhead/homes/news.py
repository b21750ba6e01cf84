"""What a home tells the owners of tasks."""

from roadhead.decision_log import Decision
from roadhead.homes.machine import EXITED, LAUNCHING, about
from roadhead.wire import frames


class News:
    def __init__(self, member, known, send, counters, decisions):
        self._member = member
        self._known = known
        self._send = send
        self._count = counters.add
        self._decisions = decisions

    def tell(self, owner, frame):
        """`owner`: (label, incarnation), or None; only one that the term names is told."""
        if owner is not None and self._member.term.serves(*owner):
            self._send(owner[0], frame)

    def _owner(self, task):
        return task.owner or self._known.owners.get(task.job)

    def freed(self, machine, task, cause):
        """The attempt is surely nowhere."""
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
            self.tell(self._owner(task), frames.Free(machine.id, *task.key, cause))

    def standing(self, owner, jobs):
        """Tasks of these jobs here, to an heir that all is known for now, if another was told of them.

        Two heirs of different terms may name the same jobs, until a write of their records decides; the one
        that named them last is told what is found since (ran_twice on a day at 1.5 times).
        """
        for machine, tasks in self._known.on_machines(jobs).items():
            rows = [
                (task.job, task.index, task.attempt, task.status, task.cause or "")
                for task in tasks
                if self._owner(task) != owner and not task.forget
            ]
            if rows:
                self.tell(owner, frames.TaskStates(machine.id, machine.zone, rows))

    def states(self, machine, tasks, again=False):
        """What became of tasks, one frame an owner. `again`: also what was told before, and launches
        that no report has shown: whoever inherits the job has not heard of those."""
        rows = {}
        for task in tasks:
            state = (task.status, task.cause, task.owner)
            if (not again and (state == task.told or task.status == LAUNCHING)) or task.forget:
                continue
            task.told = state
            owner = self._owner(task)
            if owner is not None and self._member.term.serves(*owner):
                rows.setdefault(owner[0], []).append(
                    (task.job, task.index, task.attempt, task.status, task.cause or "")
                )
        for label, told in rows.items():
            self._send(label, frames.TaskStates(machine.id, machine.zone, told))
