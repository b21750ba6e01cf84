"""A machine as its shard leader knows it, and the tasks on it."""

from roadhead.decision_log import Decision
from roadhead.machines.command_fence import CommandFence
from roadhead.machines.fitting import NO_RESOURCES
from roadhead.machines.machine_grant import MachineGrant
from roadhead.machines.pending_commands import next_commands
from roadhead.machines.task import EXITED, LAUNCHING
from roadhead.machines.worker_lease import WorkerLease
from roadhead.wire import messages
from roadhead.wire.worker_limits import MAX_TASKS_PER_MACHINE


def decision_subject(machine, task=None):
    """The subject of a decision about a machine, or about an attempt on it (decision_log.py)."""
    subject = {"machine": machine.id, "shard": machine.shard, "token": machine.token}
    if task is not None:
        subject |= {"task": messages.task_name(task.job, task.index), "attempt": task.attempt}
    return subject


def note_sent(decisions, machine, commands, **evidence):
    """Records PendingCommands that are about to be sent to a machine; `evidence`: by which path."""
    if not commands.orders:
        return
    evidence = {"session": machine.session, "command_token": machine.command_token, **evidence}
    for decision, tasks in (
        (Decision.LAUNCH_SENT, commands.launches),
        (Decision.STOP_SENT, commands.stops),
        (Decision.FORGET_SENT, commands.forgets),
    ):
        for task in tasks:
            decisions.note(decision, decision_subject(machine, task), **evidence)


class Machine:
    """State of one machine, its tasks and the commands still to be carried out there.

    Free capacity, the number of active tasks and the tasks with pending commands are updated with each change
    instead of being computed anew. So tasks must be added, removed and changed through these methods only.
    """

    __slots__ = (
        "_active_without_requirements",
        "_cpus",
        "_free_capacity",
        "_gpus",
        "_locations",
        "_memory",
        "active",
        "address",
        "attempts",
        "born_at",
        "by_name",
        "command_fence",
        "confirmed_at",
        "confirmed_token",
        "draining",
        "errors",
        "grant",
        "has_been_up",
        "heard_at",
        "id",
        "idle_since",
        "images",
        "kind",
        "lease",
        "listed_at",
        "notice_at",
        "pending_commands",
        "quarantine_count",
        "quarantined_until",
        "reported",
        "reports_read",
        "request_again",
        "request_in_flight",
        "sequence",
        "session",
        "shard",
        "spot",
        "tasks",
        "token",
        "type",
        "zone",
    )

    def __init__(self, name, address, kind_name, zone, spot, kind, now, locations, shard, token, format_gate):
        self._locations = locations  # job -> {Task: its machine}, of all machines of the leader
        self.id = name
        self.address = address
        self.type = kind_name
        self.kind = kind  # MachineType, None while unknown
        self.zone = zone
        self.spot = spot
        self.session = 0
        self.sequence = -1
        self.shard = shard
        self.token = token  # its shard's token
        self.command_fence = CommandFence(format_gate)
        self.confirmed_token = 0  # shard's token that its newest report carried, 0 if none of this leader
        self.confirmed_at = 0.0
        self.heard_at = None
        self.lease = WorkerLease(now)
        self.listed_at = None
        self.has_been_up = False  # seen running, by a list or a report, when nobody else can have led it
        self.born_at = 0.0  # it was rented, or came up, no earlier than this
        self.notice_at = None  # when the cloud ends it, by its notice
        self.tasks = {}
        self.attempts = {}  # (job, index) -> how many of them are here
        self.by_name = {}  # (task's name, attempt) as reported -> Task
        self.reported = None  # newest confirmed task list, None once tasks were dropped since
        self.reports_read = 0  # task lists compared with `tasks` so far
        self.pending_commands = {}  # tasks that may have commands to be carried out
        self.active = 0  # tasks not exited
        self._active_without_requirements = 0  # active tasks whose requirements are unknown
        self._cpus = self._gpus = self._memory = 0.0  # held by active tasks
        self._free_capacity = None
        self.images = {}  # image -> GB: seen in use there, newest last, bounded by the machine's cache
        self.grant = MachineGrant()
        self.idle_since = now
        self.draining = False
        self.errors = {}  # job -> its tasks failed here since the last success
        self.quarantine_count = 0  # quarantines since the last success
        self.quarantined_until = 0.0  # nothing new starts before this, while its failures are examined
        self.request_in_flight = False  # a direct request is queued or under way
        self.request_again = False  # another one is to follow it

    def free_capacity(self):
        """Free (cpus, gpus, memory); none while the requirements of a task are unknown."""
        capacity = self._free_capacity
        if capacity is None:
            kind = self.kind
            if kind is None or self._active_without_requirements:
                capacity = NO_RESOURCES
            else:
                capacity = (kind.cpus - self._cpus, kind.gpus - self._gpus, kind.memory - self._memory)
            self._free_capacity = capacity
        return capacity

    def free_slots(self):
        """How many further tasks its report has room for."""
        return max(0, MAX_TASKS_PER_MACHINE - len(self.tasks))

    def set_type(self, kind):
        """Sets the machine's type once the cloud's types are known."""
        self.kind = kind
        self._free_capacity = None

    def _adjust_held(self, task, sign):
        """Adds an active task's requirements to what is held (`sign` 1), or takes them off (-1)."""
        self._free_capacity = None
        self.active += sign
        if task.requirements is None:
            self._active_without_requirements += sign
        elif self.active == self._active_without_requirements:
            self._cpus = self._gpus = self._memory = 0.0  # so that rounding errors don't add up
        else:
            cpus, gpus, memory = task.requirements.resources
            self._cpus += sign * cpus
            self._gpus += sign * gpus
            self._memory += sign * memory

    def add_task(self, task):
        """Adds a task to the machine."""
        self.tasks[task.key] = task
        name = task.job, task.index
        self.attempts[name] = self.attempts.get(name, 0) + 1
        self._locations.setdefault(task.job, {})[task] = self
        if task.status == LAUNCHING:
            self.pending_commands[task.key] = task
        if task.status != EXITED:
            self._adjust_held(task, 1)

    def remove_task(self, task):
        """Removes a task from the machine, if it is there."""
        if self.tasks.pop(task.key, None) is None:
            return
        self._remove_location(task)
        name = task.job, task.index
        self.attempts[name] -= 1
        if not self.attempts[name]:
            del self.attempts[name]
        self.pending_commands.pop(task.key, None)
        if task.name is not None:
            self.by_name.pop((task.name, task.attempt), None)
        self.reported = None
        if task.status != EXITED:
            self._adjust_held(task, -1)

    def _remove_location(self, task):
        places = self._locations[task.job]
        del places[task]
        if not places:
            del self._locations[task.job]

    def detach(self):
        """Removes all tasks, also from the leader's lookup by job."""
        for task in self.tasks.values():
            self._remove_location(task)
        self.tasks = {}
        self.attempts = {}

    def set_status(self, task, status):
        """Changes a task's status, and the held capacity with it."""
        old_status, task.status = task.status, status
        if (old_status == EXITED) != (status == EXITED):
            self._adjust_held(task, -1 if status == EXITED else 1)

    def note_image(self, requirements):
        """Notes that a task uses the image; the machine evicts the images unused for longest."""
        if not requirements.image:
            return
        self.images.pop(requirements.image, None)
        self.images[requirements.image] = requirements.image_gb
        size = sum(self.images.values())
        limit_gb = self.kind.cache_gb if self.kind is not None else 0.0
        while size > limit_gb and len(self.images) > 1:
            size -= self.images.pop(next(iter(self.images)))

    def set_requirements(self, task, requirements):
        """Sets the requirements of a task, unknown until now."""
        is_active = task.status != EXITED
        if is_active:
            self._adjust_held(task, -1)
        task.requirements = requirements
        if is_active:
            self._adjust_held(task, 1)

    def stop(self, task, grace):
        """Has the worker stop a task, with `grace` seconds to save."""
        task.stop_grace = grace
        self.pending_commands[task.key] = task

    def forget(self, task):
        """Has the worker forget an attempt once it has exited."""
        task.forget = True
        self.pending_commands[task.key] = task

    def is_busy(self):
        """Whether tasks are active there."""
        return self.active > 0

    def is_empty(self):
        """Whether nothing runs there and no success there is still to be recorded."""
        return not self.active and all(task.forget or task.cause != "done" for task in self.tasks.values())

    @property
    def command_token(self):
        """The fencing token of the commands to be sent now."""
        return self.command_fence.token(self.token)

    def direct_commands(self):
        """The PendingCommands to be sent directly, no more than one message holds."""
        return next_commands(
            self.pending_commands, may_launch=self.command_fence.is_counted, may_forget=False
        )

    def commands_for_answer(self):
        """The PendingCommands for the answer to the worker's newest report; what it forgets is fenced off."""
        commands = next_commands(self.pending_commands, may_launch=True, may_forget=True)
        if commands.forgets:
            self.command_fence.raise_count()
        return commands
