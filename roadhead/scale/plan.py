"""The file that describes a scale run (TOML), and what is wrong with one."""

import math
from pathlib import Path
from typing import Literal

import msgspec

PROCESSES_MOST = 200
HOST_WORKERS_MOST = 2000  # hollow workers in one process
PERCENT = 100
EVENT_KINDS = (
    "controllers_end",
    "controllers_stall",
    "workers_end",
    "workers_restart",
    "workers_cut",
    "reports_slow",
    "zone_ends",
    "state_outage",
    "cloud_outage",
    "power_loss",
)


class PlanError(Exception):
    """The file is not a valid plan. `faults`: a line each."""

    def __init__(self, faults):
        super().__init__("; ".join(faults))
        self.faults = faults


class PlanTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the file; a key that it does not know is a fault."""


class ClusterSize(PlanTable, frozen=True):
    """How many of what. `hosts`: processes over which the workers are spread."""

    controllers: int = 3
    workers: int = 100
    hosts: int = 1
    zones: int = 3
    cpus_per_worker: float = 8.0


class Timing(PlanTable, frozen=True):
    """The platform's times, in seconds; `fetch_s` is how long a worker fetches an image."""

    report_s: float = 2.5
    lease_s: float = 15.0
    cancel_s: float = 35.0
    list_lag_s: float = 3.0
    boot_s: float = 1.0
    fetch_s: float = 0.2


class StateLimits(PlanTable, frozen=True):
    """Limits of the emulated state service, as the protocol names them."""

    rps: float = 200.0
    write_rps: float = 30.0
    value_kb: float = 8.0
    txn_ops: int = 16


class Teams(PlanTable, frozen=True):
    """`count` teams with the same limit in CPUs each, 0 for none, divided into `partitions` among the
    controllers."""

    count: int = 1
    cpus_max: float = 0.0
    partitions: int = 1


class JobClass(PlanTable, frozen=True):
    """Jobs of one kind, arriving at random times at a steady rate."""

    name: str
    jobs_per_s: float
    tasks: int = 1
    run_s: float = 10.0
    cpus: float = 1.0
    urgency: Literal["critical", "high", "standard", "low"] = "standard"
    cancelled: float = 0.0  # share of the jobs that their users call off while they run


class Event(PlanTable, frozen=True):
    """A failure `at_s` after the load begins. What it takes of `count`, `for_s` and `zone` is its kind's."""

    at_s: float
    kind: str
    count: int = 1
    for_s: float = 0.0
    zone: int = 0


class Plan(PlanTable, frozen=True):
    """A scale run. The load begins `settle_s` after all controllers are ready, and lasts `warm_s` +
    `measured_s`; then users wait, for `drain_s` at the most."""

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
        """Seconds for which jobs arrive."""
        return self.warm_s + self.measured_s

    @property
    def processes(self):
        """How many processes the run needs: controllers, hosts of workers, state service, cloud, load."""
        return self.cluster.controllers + self.cluster.hosts + 3


def parse(data):
    """The Plan in the bytes of a TOML file. Raises PlanError."""
    try:
        plan = msgspec.toml.decode(data, type=Plan)
    except (msgspec.DecodeError, ValueError) as error:
        raise PlanError([str(error)]) from None
    if faults := [*_size_faults(plan), *_class_faults(plan), *_event_faults(plan)]:
        raise PlanError(faults)
    return plan


def load(path):
    """The Plan in a file. Raises PlanError."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise PlanError([f"{path}: {error.strerror}"]) from None
    try:
        return parse(data)
    except PlanError as error:
        raise PlanError([f"{path}: {fault}" for fault in error.faults]) from None


def _not_positive(where, table, names):
    for name in names:
        value = getattr(table, name)
        if not 0 < value < math.inf:
            yield f"{where}{name}: must be above 0, is {value}"


def _size_faults(plan):
    cluster = plan.cluster
    yield from _not_positive("", plan, ("measured_s", "cloud_rps"))
    yield from _not_positive("cluster.", cluster, cluster.__struct_fields__)
    yield from _not_positive("timing.", plan.timing, plan.timing.__struct_fields__)
    yield from _not_positive("state.", plan.state, plan.state.__struct_fields__)
    yield from _not_positive("teams.", plan.teams, ("count", "partitions"))
    for name in ("settle_s", "warm_s", "drain_s"):
        if not 0 <= getattr(plan, name) < math.inf:
            yield f"{name}: must not be negative, is {getattr(plan, name)}"
    if not 0 <= plan.teams.cpus_max < math.inf:
        yield f"teams.cpus_max: must not be negative, is {plan.teams.cpus_max}"
    if plan.timing.cancel_s <= plan.timing.lease_s:
        yield "timing.cancel_s: must be above lease_s"
    if plan.processes > PROCESSES_MOST:
        yield f"{plan.processes} processes, {PROCESSES_MOST} at most"
    if cluster.hosts > 0 and cluster.workers > HOST_WORKERS_MOST * cluster.hosts:
        yield f"cluster.hosts: one takes {HOST_WORKERS_MOST} workers at most"


def _class_faults(plan):
    if not plan.classes:
        yield "no [[class]]"
    names = [kind.name for kind in plan.classes]
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield f"class: {name!r} stands twice"
    for kind in plan.classes:
        yield from _not_positive(f"class {kind.name!r}: ", kind, ("jobs_per_s", "tasks", "run_s", "cpus"))
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
        if event.kind == "reports_slow" and event.count > PERCENT:
            yield f"event {event.kind!r}: count: percent of the reports, is {event.count}"
        if event.kind == "zone_ends" and not 0 <= event.zone < plan.cluster.zones:
            yield f"event {event.kind!r}: zone: must be from 0 to {plan.cluster.zones - 1}, is {event.zone}"
