"""A machine as its home knows it, and the tasks on it."""

from roadhead.wire import messages

LAUNCHING = "launching"
EXITED = "exited"


class Task:
    """One attempt on a machine. `need` is (cpus, gpus, memory), None while unknown."""

    __slots__ = ("attempt", "cause", "forget", "image", "index", "job", "loose_token", "need",
                 "owner", "save_s", "saved", "saves", "seen", "status", "stop_grace", "told")

    def __init__(self, job, index, attempt, status, owner=None):
        self.job = job
        self.index = index
        self.attempt = attempt
        self.status = status
        self.owner = owner  # (label, incarnation)
        self.cause = None
        self.saved = False
        self.need = None
        self.image = ""
        self.save_s = 0.0
        self.saves = False
        self.seen = False
        self.told = None
        self.stop_grace = None
        self.forget = False
        # Token of a direct launch that went unanswered: it may still arrive, as long as
        # the worker knows neither a higher token nor a later session.
        self.loose_token = 0

    @property
    def key(self):
        return self.job, self.index, self.attempt


class Machine:
    __slots__ = (
        "address",
        "asking", "born_at",
        "confirmed",
        "confirmed_at",
        "declined",
        "direct_at",
        "dones",
        "draining",
        "errors",
        "grant_lapse_at",
        "grant_sent",
        "grant_serial",
        "grant_taken",
        "heard_at",
        "holder",
        "id",
        "idle_since", "images",
        "kind",
        "listed_at",
        "notice_at",
        "renewed_at",
        "sequence",
        "session",
        "spot",
        "taken_on",
        "tasks",
        "type",
        "wanting",
        "zone",
    )

    def __init__(self, name, address, kind_name, zone, spot, kind, now):
        self.id = name
        self.address = address
        self.type = kind_name
        self.kind = kind  # MachineType, None while unknown
        self.zone = zone
        self.spot = spot
        self.session = 0
        self.sequence = -1
        self.confirmed = 0  # token under which it was last heard, if it is ours
        self.confirmed_at = 0.0
        self.heard_at = None
        self.renewed_at = now  # when a report was last answered
        self.listed_at = None
        self.born_at = 0.0  # not before this it was rented
        self.notice_at = None  # when the cloud takes it away
        self.tasks = {}
        self.images = {}  # seen in use there, the latest last; the machine may have dropped some
        self.holder = None
        self.grant_serial = 0
        self.grant_taken = 0
        self.grant_sent = None
        self.grant_lapse_at = 0.0
        self.declined = set()
        self.idle_since = now
        self.draining = False
        self.taken_on = False
        self.errors = {}
        self.dones = 0
        self.asking = False  # a direct request is on its way
        self.wanting = False  # another one is wanted after it
        self.direct_at = 0.0

    def room(self):
        """Free (cpus, gpus, memory); nothing while a task's needs are unknown."""
        if self.kind is None:
            return (0.0, 0.0, 0.0)
        cpus, gpus, memory = self.kind.cpus, self.kind.gpus, self.kind.memory
        for task in self.tasks.values():
            if task.status != EXITED:
                if task.need is None:
                    return (0.0, 0.0, 0.0)
                cpus -= task.need[0]
                gpus -= task.need[1]
                memory -= task.need[2]
        return (cpus, gpus, memory)

    def busy(self):
        return any(task.status != EXITED for task in self.tasks.values())

    def orders(self):
        """All commands that the worker has yet to carry out, and the launches among them.

        A launch is repeated with the same attempt until a report shows it, and is never
        given up before: then nothing that arrives late can start something unknown.
        """
        orders = []
        launches = []
        for task in self.tasks.values():
            if task.status == LAUNCHING:
                orders.append(messages.launch(*task.key))
                launches.append(task)
            if task.stop_grace is not None and task.status != EXITED:
                if task.status != "saving" or not task.stop_grace:
                    orders.append(messages.stop(*task.key, task.stop_grace))
            elif task.forget and task.status == EXITED and not task.loose_token:
                orders.append(messages.forget(*task.key))
        return orders, launches


def fits(need, room):
    return (
        need[0] <= room[0] + 1e-6 and need[1] <= room[1] + 1e-6 and need[2] <= room[2] + 1e-6
    )
