"""A machine as its home knows it, and the tasks on it."""

from typing import NamedTuple

from roadhead.machines.worker_lease import WorkerLease
from roadhead.wire import messages

LAUNCHING = "launching"
EXITED = "exited"


class TaskRequirements(NamedTuple):
    """What a home must know of a job to run its tasks. `room` is (cpus, gpus, memory)."""

    resources: tuple
    image: str
    image_gb: float
    save_s: float
    saves: bool


class Task:
    """One attempt on a machine. `requirements` are None while unknown."""

    __slots__ = (
        "attempt",
        "cause",
        "forget",
        "index",
        "job",
        "mark",
        "name",
        "owner",
        "requirements",
        "saved",
        "seen",
        "sent_state",
        "status",
        "stop_grace",
        "unacked_launch_token",
    )

    def __init__(self, job, index, attempt, status, owner=None):
        self.job = job
        self.index = index
        self.attempt = attempt
        self.status = status
        self.owner = owner  # (label, incarnation)
        self.cause = None
        self.saved = False
        self.requirements = None
        self.seen = False
        self.mark = 0  # the last reading of a report that showed it
        self.name = None  # as the machine reports it, once it did
        self.sent_state = None
        self.stop_grace = None
        self.forget = False
        # Token of a direct launch that went unanswered: it may still arrive, as long as
        # the worker knows neither a higher token nor a later session.
        self.unacked_launch_token = 0

    @property
    def key(self):
        return self.job, self.index, self.attempt


NO_RESOURCES = (0.0, 0.0, 0.0)


def decision_subject(machine, task=None):
    """What a decision on a machine, or on an attempt there, is about (decision_log.py)."""
    subject = {"machine": machine.id, "shard": machine.shard, "token": machine.token}
    if task is not None:
        subject |= {"task": messages.task_name(task.job, task.index), "attempt": task.attempt}
    return subject


class Machine:
    """What is kept up to date here rather than summed anew: the room that is free, how many
    tasks are active, and which have commands to carry out. So tasks come, go and change
    status through this class only.
    """

    __slots__ = (
        "_cpus",
        "_gpus",
        "_memory",
        "_room",
        "_vague",
        "_where",
        "active",
        "address",
        "attempts",
        "born_at",
        "by_name",
        "confirmed_at",
        "confirmed_token",
        "declined_demands",
        "direct_at",
        "draining",
        "errors",
        "grant_holder",
        "grant_lapse_at",
        "grant_sent",
        "grant_serial",
        "grant_taken",
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
        "taken_on",
        "tasks",
        "tasks_done",
        "token",
        "type",
        "up",
        "zone",
    )

    def __init__(self, name, address, kind_name, zone, spot, kind, now, where, shard, token):
        self._where = where  # job -> {Task: its machine}, of all machines of the home
        self.id = name
        self.address = address
        self.type = kind_name
        self.kind = kind  # MachineType, None while unknown
        self.zone = zone
        self.spot = spot
        self.session = 0
        self.sequence = -1
        self.shard = shard
        self.token = token  # under which it is commanded
        self.confirmed_token = 0  # token under which it was last heard, if it is ours
        self.confirmed_at = 0.0
        self.heard_at = None
        self.lease = WorkerLease(now)
        self.listed_at = None
        self.up = False  # it was, by a list or its own word, while surely nobody else was its home
        self.born_at = 0.0  # not before this it was rented, or up
        self.notice_at = None  # when the cloud takes it away
        self.tasks = {}
        self.attempts = {}  # (job, index) -> how many of them are here
        self.by_name = {}  # (task's name, attempt) as reported -> Task
        self.reported = None  # the newest confirmed list of tasks, None if it may not hold any more
        self.reports_read = 0
        self.pending_commands = {}  # tasks that may have commands to be carried out
        self.active = 0  # tasks not exited
        self._vague = 0  # active tasks whose needs are unknown
        self._cpus = self._gpus = self._memory = 0.0  # held by active tasks
        self._room = None
        self.images = {}  # image -> GB: seen in use there, the latest last, as many as its cache holds
        self.grant_holder = None
        self.grant_serial = 0
        self.grant_taken = 0
        self.grant_sent = None
        self.grant_lapse_at = 0.0
        self.declined_demands = {}  # label -> serial of its demand that had no use for the room
        self.idle_since = now
        self.draining = False
        self.taken_on = False
        self.errors = {}  # job -> tasks failed here since the last one done
        self.quarantine_count = 0  # how often that came about since a task was last done
        self.quarantined_until = 0.0  # its failures are looked into: nothing new starts before
        self.tasks_done = 0
        self.request_in_flight = False  # a direct request is on its way
        self.request_again = False  # another one is wanted after it
        self.direct_at = 0.0

    def free_capacity(self):
        """Free (cpus, gpus, memory); nothing while a task's needs are unknown."""
        room = self._room
        if room is None:
            kind = self.kind
            if kind is None or self._vague:
                room = NO_RESOURCES
            else:
                room = (kind.cpus - self._cpus, kind.gpus - self._gpus, kind.memory - self._memory)
            self._room = room
        return room

    def set_type(self, kind):
        self.kind = kind
        self._room = None

    def _hold(self, task, by):
        self._room = None
        self.active += by
        if task.requirements is None:
            self._vague += by
        elif self.active == self._vague:
            self._cpus = self._gpus = self._memory = 0.0  # no rounding is carried on
        else:
            cpus, gpus, memory = task.requirements.resources
            self._cpus += by * cpus
            self._gpus += by * gpus
            self._memory += by * memory

    def add_task(self, task):
        self.tasks[task.key] = task
        name = task.job, task.index
        self.attempts[name] = self.attempts.get(name, 0) + 1
        self._where.setdefault(task.job, {})[task] = self
        if task.status == LAUNCHING:
            self.pending_commands[task.key] = task
        if task.status != EXITED:
            self._hold(task, 1)

    def remove_task(self, task):
        if self.tasks.pop(task.key, None) is None:
            return
        self._nowhere(task)
        name = task.job, task.index
        self.attempts[name] -= 1
        if not self.attempts[name]:
            del self.attempts[name]
        self.pending_commands.pop(task.key, None)
        if task.name is not None:
            self.by_name.pop((task.name, task.attempt), None)
        self.reported = None
        if task.status != EXITED:
            self._hold(task, -1)

    def _nowhere(self, task):
        places = self._where[task.job]
        del places[task]
        if not places:
            del self._where[task.job]

    def detach(self):
        """Its home looks for nothing on it any more."""
        for task in self.tasks.values():
            self._nowhere(task)
        self.tasks = {}
        self.attempts = {}

    def set_status(self, task, status):
        was, task.status = task.status, status
        if (was == EXITED) != (status == EXITED):
            self._hold(task, -1 if status == EXITED else 1)

    def note_image(self, requirements):
        """The image is in use there; the machine drops those used longest ago."""
        if not requirements.image:
            return
        self.images.pop(requirements.image, None)
        self.images[requirements.image] = requirements.image_gb
        size = sum(self.images.values())
        most = self.kind.cache_gb if self.kind is not None else 0.0
        while size > most and len(self.images) > 1:
            size -= self.images.pop(next(iter(self.images)))

    def set_requirements(self, task, requirements):
        """The task's needs became known."""
        held = task.status != EXITED
        if held:
            self._hold(task, -1)
        task.requirements = requirements
        if held:
            self._hold(task, 1)

    def stop(self, task, grace):
        task.stop_grace = grace
        self.pending_commands[task.key] = task

    def forget(self, task):
        task.forget = True
        self.pending_commands[task.key] = task

    def is_busy(self):
        return self.active > 0

    def is_empty(self):
        """Nothing runs there, and no result there has yet to be recorded."""
        return not self.active and all(task.forget or task.cause != "done" for task in self.tasks.values())

    def orders(self):
        """All commands that the worker has yet to carry out, and the launches among them.

        A launch is repeated with the same attempt until a report shows it, and is never
        given up before: then nothing that arrives late can start something unknown.
        """
        orders = []
        launches = []
        for task in list(self.pending_commands.values()):
            wanted = False
            if task.status == LAUNCHING:
                wanted = True
                orders.append(messages.launch(*task.key))
                launches.append(task)
            if task.stop_grace is not None and task.status != EXITED:
                wanted = True
                if task.status != "saving" or not task.stop_grace:
                    orders.append(messages.stop(*task.key, task.stop_grace))
            elif task.forget:
                wanted = True
                if task.status == EXITED and not task.unacked_launch_token:
                    orders.append(messages.forget(*task.key))
            if not wanted:
                del self.pending_commands[task.key]
        return orders, launches


def fitting_count(need, room):
    """How many tasks of `need` fit in `room`; where it names fewer amounts, those count."""
    most = 1 << 30
    for part, free in zip(need, room, strict=False):
        if part > 0:
            most = min(most, int((free + 1e-6) / part))
    return max(0, most)


def fits(need, room):
    return need[0] <= room[0] + 1e-6 and need[1] <= room[1] + 1e-6 and need[2] <= room[2] + 1e-6
