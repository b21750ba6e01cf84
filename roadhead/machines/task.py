"""An attempt of a job's task on a machine, as the shard leader tracks it."""

from typing import NamedTuple

LAUNCHING = "launching"  # status until a report shows the attempt
EXITED = "exited"


class TaskRequirements(NamedTuple):
    """What a shard leader must know of a job to run its tasks; `resources` is (cpus, gpus, memory)."""

    resources: tuple
    image: str
    image_gb: float
    save_s: float
    saves: bool  # whether its tasks can save their progress before they stop


class Task:
    """One attempt of a job's task on a machine. `requirements` is None while unknown."""

    __slots__ = (
        "attempt",
        "cause",
        "forget",
        "index",
        "job",
        "last_read",
        "name",
        "owner",
        "requirements",
        "saved",
        "sent_state",
        "status",
        "stop_grace",
        "was_reported",
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
        self.was_reported = False
        self.last_read = 0  # value of the machine's `reports_read` when a report last showed it
        self.name = None  # as the machine reports it, None before
        self.sent_state = None  # (status, cause, owner) as last sent to the owner
        self.stop_grace = None
        self.forget = False

    @property
    def key(self):
        """(job, index, attempt), unique among all tasks."""
        return self.job, self.index, self.attempt
