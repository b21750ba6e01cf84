"""Messages of the tenants' and the administration API. The OpenAPI documents are generated from them.

Class docstrings are part of those documents, as the descriptions of the schemas.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from roadhead.tenants.ids import to_job, to_team
from roadhead.tenants.records import Limits, Team
from roadhead.wire.messages import MAX_TASKS

Amount = Annotated[float, Meta(ge=0, lt=2**63)]
Text = Annotated[str, Meta(max_length=200)]
OwnId = Annotated[str, Meta(pattern=r"^[a-z0-9._-]{1,15}$")]
Status = Literal["pending", "running", "done", "cancelled"]


class Submission(Struct, forbid_unknown_fields=True, rename={"klass": "class"}):
    """A job. `tasks` are numbered from 0; amounts are of each task. `spot`: may run on machines that
    can be taken back; `due_s`: when it should be done, from its submission; `upstream`: jobs that have to
    be done before any task of this one starts."""

    id: OwnId
    team: Text
    klass: Text
    tasks: Annotated[int, Meta(ge=1, le=MAX_TASKS)] = 1
    kind: Literal["batch", "daemon", "group"] = "batch"
    priority: Literal["critical", "high", "standard", "low"] = "standard"
    cpus: Amount = 1.0
    gpus: Amount = 0.0
    memory_gb: Amount = 1.0
    image: Text | None = None
    image_gb: Amount = 0.0
    types: Annotated[list[Text], Meta(max_length=100)] | None = None
    zone: Text | None = None
    same_zone: bool = False
    spread: bool = False
    spot: bool = True
    expected_s: Amount = 0.0
    checkpoint_s: Amount = 0.0
    save_s: Amount = 0.0
    due_s: Amount | None = None
    upstream: Annotated[list[OwnId], Meta(max_length=1000)] | None = None

    def to_protocol(self, job_id, number):
        """Returns the message for the controllers."""
        return {
            "id": job_id,
            "jobclass": self.klass,
            "crew": to_team(number, self.team),
            "shape": self.kind,
            "urgency": self.priority,
            "legs": self.tasks,
            "vcpus": self.cpus,
            "gpus": self.gpus,
            "ramGb": self.memory_gb,
            "kit": self.image or "",
            "sizeGb": self.image_gb,
            "rigs": self.types,
            "paddock": self.zone,
            "together": self.same_zone,
            "scatter": self.spread,
            "loaners": self.spot,
            "expectS": self.expected_s,
            "musterS": self.checkpoint_s,
            "stowS": self.save_s,
            "dueS": self.due_s,
            **({"upstream": [to_job(number, own) for own in self.upstream]} if self.upstream else {}),
        }


class Job(Struct, omit_defaults=True, rename={"klass": "class"}):
    """A job's state. `klass`, `team` and `running` are told of open jobs only."""

    id: str
    status: Status
    done: int | None = None
    running: int | None = None
    tasks: int | None = None
    klass: str | None = None
    team: str | None = None


class JobPage(Struct):
    """Jobs in order of their ids, the open ones first. A job that ends while pages are read may
    come twice, its end last."""

    jobs: list[Job]
    next: str | None


class TeamUse(Struct):
    team: str
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    tasks: int = 0
    open_jobs: int = 0
    waiting_tasks: int = 0


class ClassRow(Struct, rename={"klass": "class", "at_risk": "atRisk"}):
    klass: str
    open: int
    at_risk: int


class Usage(Struct):
    """What a tenant holds now. `complete` is false while it is not known to be all."""

    teams: list[TeamUse]
    classes: list[ClassRow]
    complete: bool


class NewTenant(Struct, forbid_unknown_fields=True):
    name: str
    teams: list[Team] = field(default_factory=list)
    limits: Limits = field(default_factory=Limits)
    weight: Amount = 1.0


class TenantChange(Struct, forbid_unknown_fields=True):
    """What is left out stays as it is."""

    teams: list[Team] | None = None
    limits: Limits | None = None
    weight: Amount | None = None


class Suspension(Struct, forbid_unknown_fields=True):
    """What becomes of running work: it may finish, or it is stopped, saved where it can be."""

    running: Literal["finish", "stop"] = "finish"


class TenantView(Struct):
    """A tenant as administrators see it."""

    name: str
    number: int
    state: Literal["active", "suspended", "removing", "removed"]
    version: int
    running: str
    teams: list[Team]
    limits: Limits
    weight: float


class TenantPage(Struct):
    tenants: list[TenantView]
    next: str | None


class NewKey(Struct, forbid_unknown_fields=True):
    scopes: Annotated[list[str], Meta(min_length=1, max_length=8)]
    label: Annotated[str, Meta(max_length=80)] = ""


class Rotation(Struct, forbid_unknown_fields=True):
    """`overlap_s`: for how long the old key stays good beside the new one."""

    overlap_s: Annotated[float, Meta(ge=0, le=1e8)] | None = None


class KeyView(Struct, omit_defaults=True):
    """`key` itself is told once, to whoever made it."""

    id: int
    scopes: list[str]
    label: str
    until: float = 0.0
    key: str | None = None


class KeyList(Struct):
    keys: list[KeyView]


class Problem(Struct, omit_defaults=True):
    """An error (RFC 9457, problem details)."""

    title: str
    status: int
    detail: str = ""
    faults: list[str] = field(default_factory=list)
