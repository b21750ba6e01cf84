"""The plan of a scale run: a TOML file, its types and its validation."""

import math
from pathlib import Path
from typing import Literal

import msgspec

MAX_PROCESSES = 200
MAX_WORKERS_PER_HOST = 2000  # hollow workers in one process
PERCENT = 100
EVENT_KINDS = (
    "controllers_end",
    "controllers_stall",
    "workers_end",
    "workers_restart",
    "workers_cut",
    "reports_slow",
    "commands_copied",
    "zone_ends",
    "state_outage",
    "cloud_outage",
    "power_loss",
)
PERCENT_OF = {"reports_slow": "reports", "commands_copied": "direct commands"}  # whose `count` is a share


class PlanError(Exception):
    """Raised for a file that is not a valid plan. `faults`: one line per error."""

    def __init__(self, faults):
        super().__init__("; ".join(faults))
        self.faults = faults


class PlanTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the tables of a plan file. Unknown keys are errors."""


class ClusterSize(PlanTable, frozen=True):
    """Numbers of controllers, workers and zones. `hosts`: processes over which the workers are spread."""

    controllers: int = 3
    workers: int = 100
    hosts: int = 1
    zones: int = 3
    cpus_per_worker: float = 8.0


class Timing(PlanTable, frozen=True):
    """Times of the platform in seconds. `fetch_s`: how long a worker takes to fetch an image."""

    report_s: float = 2.5
    lease_s: float = 15.0
    cancel_s: float = 35.0
    list_lag_s: float = 3.0
    boot_s: float = 1.0
    fetch_s: float = 0.2


class StateLimits(PlanTable, frozen=True):
    """Limits of the emulated state service, under their names in the protocol."""

    rps: float = 200.0
    write_rps: float = 30.0
    value_kb: float = 8.0
    txn_ops: int = 16


class Teams(PlanTable, frozen=True):
    """`count` teams, each limited to `cpus_max` CPUs (0: no limit).

    Their quotas are divided into `partitions` among the controllers.
    """

    count: int = 1
    cpus_max: float = 0.0
    partitions: int = 1


class JobClass(PlanTable, frozen=True):
    """Jobs of one kind, arriving as a Poisson process with a constant rate."""

    name: str
    jobs_per_s: float
    tasks: int = 1
    run_s: float = 10.0
    cpus: float = 1.0
    urgency: Literal["critical", "high", "standard", "low"] = "standard"
    cancelled: float = 0.0  # share of the jobs that their users cancel while they run


class Event(PlanTable, frozen=True):
    """A failure `at_s` seconds after the load begins. `kind` decides which of the other fields it uses."""

    at_s: float
    kind: str
    count: int = 1
    for_s: float = 0.0
    zone: int = 0


class Plan(PlanTable, frozen=True):
    """A scale run.

    The load begins `settle_s` after all controllers are ready and lasts `warm_s` + `measured_s`; then users
    wait up to `drain_s` for their jobs to end.
    """

    seed: int = 1
    settle_s: float = 0.0
    warm_s: float = 10.0
    measured_s: float = 30.0
    drain_s: float = 60.0
    cluster: ClusterSize = ClusterSize()
    timing: Timing = Timing()
    state: StateLimits = StateLimits()
    cloud_rps: float = 10.0
    teams: Teams = Teams()
    classes: tuple[JobClass, ...] = msgspec.field(default=(), name="class")
    events: tuple[Event, ...] = msgspec.field(default=(), name="event")

    @property
    def load_s(self):
        """Seconds during which jobs arrive."""
        return self.warm_s + self.measured_s

    @property
    def processes(self):
        """Number of processes of the run: controllers, hosts of workers, state service, cloud, users."""
        return self.cluster.controllers + self.cluster.hosts + 3


def parse(data):
    """Returns the Plan in the bytes of a TOML file. Raises PlanError."""
    try:
        plan = msgspec.toml.decode(data, type=Plan)
    except (msgspec.DecodeError, ValueError) as error:
        raise PlanError([str(error)]) from None
    if faults := [*_size_faults(plan), *_class_faults(plan), *_event_faults(plan)]:
        raise PlanError(faults)
    return plan


def load(path):
    """Returns the Plan in the file at `path`. Raises PlanError, also if the file cannot be read."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise PlanError([f"{path}: {error.strerror}"]) from None
    try:
        return parse(data)
    except PlanError as error:
        raise PlanError([f"{path}: {fault}" for fault in error.faults]) from None


def _non_positive_faults(where, table, names):
    for name in names:
        value = getattr(table, name)
        if not 0 < value < math.inf:
            yield f"{where}{name}: must be above 0, is {value}"


def _size_faults(plan):
    cluster = plan.cluster
    yield from _non_positive_faults("", plan, ("measured_s", "cloud_rps"))
    yield from _non_positive_faults("cluster.", cluster, cluster.__struct_fields__)
    yield from _non_positive_faults("timing.", plan.timing, plan.timing.__struct_fields__)
    yield from _non_positive_faults("state.", plan.state, plan.state.__struct_fields__)
    yield from _non_positive_faults("teams.", plan.teams, ("count", "partitions"))
    for name in ("settle_s", "warm_s", "drain_s"):
        if not 0 <= getattr(plan, name) < math.inf:
            yield f"{name}: must not be negative, is {getattr(plan, name)}"
    if not 0 <= plan.teams.cpus_max < math.inf:
        yield f"teams.cpus_max: must not be negative, is {plan.teams.cpus_max}"
    if plan.timing.cancel_s <= plan.timing.lease_s:
        yield "timing.cancel_s: must be above lease_s"
    if plan.processes > MAX_PROCESSES:
        yield f"{plan.processes} processes, {MAX_PROCESSES} at most"
    if cluster.hosts > 0 and cluster.workers > MAX_WORKERS_PER_HOST * cluster.hosts:
        yield f"cluster.hosts: one takes {MAX_WORKERS_PER_HOST} workers at most"


def _class_faults(plan):
    if not plan.classes:
        yield "no [[class]]"
    names = [kind.name for kind in plan.classes]
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield f"class: {name!r} stands twice"
    for kind in plan.classes:
        yield from _non_positive_faults(
            f"class {kind.name!r}: ", kind, ("jobs_per_s", "tasks", "run_s", "cpus")
        )
        if not 0 <= kind.cancelled <= 1:
            yield f"class {kind.name!r}: cancelled: must be from 0 to 1, is {kind.cancelled}"
        if kind.cpus > plan.cluster.cpus_per_worker:
            yield f"class {kind.name!r}: cpus: no worker has {kind.cpus}"


def _event_faults(plan):
    for event in plan.events:
        if event.kind not in EVENT_KINDS:
            yield f"event: unknown kind {event.kind!r}, known are {', '.join(EVENT_KINDS)}"
        if not 0 <= event.at_s <= plan.load_s:
            yield f"event {event.kind!r}: at_s: must be from 0 to {plan.load_s:g}, is {event.at_s}"
        if event.count < 1 or not 0 <= event.for_s < math.inf:
            yield f"event {event.kind!r}: count must be 1 or more, for_s not negative"
        if event.kind in PERCENT_OF and event.count > PERCENT:
            yield f"event {event.kind!r}: count: percent of the {PERCENT_OF[event.kind]}, is {event.count}"
        if event.kind == "zone_ends" and not 0 <= event.zone < plan.cluster.zones:
            yield f"event {event.kind!r}: zone: must be from 0 to {plan.cluster.zones - 1}, is {event.zone}"
