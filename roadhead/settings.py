"""Reads and checks the settings: the platform's JSON file and the operators' own TOML file.

The fields of the Structs are the keys of these files.
"""

import os

import msgspec
from msgspec import Struct, field


class SettingsError(Exception):
    """Settings can't be used; `faults` has one line for each problem found."""

    def __init__(self, faults):
        super().__init__("; ".join(faults))
        self.faults = faults


class Member(Struct):
    """Another controller of the deployment; `endpoint`: its address for other controllers."""

    label: str
    location: str
    endpoint: str


class External(Struct):
    """The addresses of the cloud's API and of the state service."""

    cloud: str
    state: str


class Team(Struct):
    """A team's guarantee (`cpus`, `gpus`) and the limit on what its tasks use at once; 0 is no limit."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0

    @property
    def guarantee(self):
        """(cpus, gpus) guaranteed; a guarantee above the limit is reduced to the limit."""
        return tuple(
            min(guaranteed, limit) if limit else guaranteed
            for guaranteed, limit in ((self.cpus, self.cpus_max), (self.gpus, self.gpus_max))
        )


class Objective(Struct, rename={"klass": "class"}):
    """A goal for a share of the jobs of a class.

    `kind`: "finished" or "wait" (started) within `within_s` seconds, or "deadline": finished within `times`
    the job's own due time.
    """

    kind: str
    klass: str = ""
    share: float = 0.0
    within_s: float | None = None
    times: float = 1.0


class Workers(Struct):
    """The workers' times in seconds: the report interval, the lease, and the limit to end cancelled tasks."""

    report_s: float
    lease_s: float
    cancel_s: float


class LaterLimits(Struct):
    """Limits that the state service will apply from some moment on, without notice; None: unchanged."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(Struct):
    """The state service's limits: requests and writes per second, KiB per value, writes per transaction."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: LaterLimits | None = None

    @property
    def value_bytes(self):
        """The size limit of a value in bytes."""
        return int(self.value_kb * 1024)

    def _apply_later(self, names):
        """Returns the limits, those of `names` reduced to the later ones where these are lower."""
        smaller = {
            name: min(getattr(self, name), later)
            for name in names
            if self.next is not None and (later := getattr(self.next, name)) is not None
        }
        return StateLimits(
            **{
                name: smaller.get(name, getattr(self, name))
                for name in ("rps", "write_rps", "value_kb", "txn_ops")
            }
        )

    def planned(self):
        """Returns the limits to plan for now: today's rates, and the sizes that fit both now and later."""
        return self._apply_later(("value_kb", "txn_ops"))

    def lowered(self):
        """Returns the limits once the state service has lowered them."""
        return self._apply_later(("rps", "write_rps", "value_kb", "txn_ops"))

    def scaled(self, share):
        """Returns the limits with both rates multiplied by `share`, now and later."""
        later = self.next and LaterLimits(
            self.next.rps and self.next.rps * share,
            self.next.write_rps and self.next.write_rps * share,
            self.next.value_kb,
            self.next.txn_ops,
        )
        return StateLimits(self.rps * share, self.write_rps * share, self.value_kb, self.txn_ops, later)


class CloudLimits(Struct):
    """Requests per second to the cloud, and the seconds by which its machine list may lag behind."""

    rps: float
    list_lag_s: float


class Quota(Struct):
    """What one controller process may use: CPUs, MiB of memory, and sockets."""

    cpu: float = 1.0
    mem_mb: float = 512.0
    fd_limit: int = 1024


class Deployment(Struct):
    """What all controllers of a deployment have in common; `nodes`: how many controllers there are."""

    nodes: int
    teams: list[Team]
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    zones: list[str] = field(default_factory=list)
    objectives: list[Objective] = field(default_factory=list)
    quota: Quota = field(default_factory=Quota)
    time_bound_ms: float = 0.0


class Settings(Struct):
    """The platform's settings of one controller.

    `front`: the address for users, probes and workers; `internal_addr`: that for other controllers;
    `members`: the other controllers.
    """

    label: str
    location: str
    front: str
    internal_addr: str
    members: list[Member]
    external: External
    deployment: Deployment


class Membership(Struct, forbid_unknown_fields=True):
    """The table `membership` of the operators' settings.

    `lease_ratio`: a controller's own lease as a multiple of the workers'; `quota_partitions`: the number of
    partitions of the teams with limits, each of which has its own quota leader.
    """

    lease_ratio: float = 0.5
    quota_partitions: int = 1


class Grants(Struct, forbid_unknown_fields=True):
    """The table `grants`. `lapse_ratio`: when an unused grant lapses, as a multiple of the workers' lease."""

    lapse_ratio: float = 10 / 12


class Fleet(Struct, forbid_unknown_fields=True):
    """The table `fleet`, which steers renting and returning machines.

    `drain_ratio`: how long waiting work may take to drain, as a multiple of its class's time target;
    `idle_ratio`: after how many boot times an idle machine is returned; `stuck_ratio`: after how many boot
    times a machine that never reported is released; `largest`: the most machines, 0 for as many as all
    controllers together have sockets.
    """

    drain_ratio: float = 0.4
    idle_ratio: float = 1.0
    stuck_ratio: float = 4.0
    largest: int = 0


class Tuning(Struct, forbid_unknown_fields=True):
    """The operators' own settings, one field per table of the TOML file."""

    membership: Membership = field(default_factory=Membership)
    grants: Grants = field(default_factory=Grants)
    fleet: Fleet = field(default_factory=Fleet)


def address_fault(name, address):
    """Returns [fault] if `address` is not IPv4:port, else []."""
    host, colon, port = address.rpartition(":")
    parts = host.split(".")
    is_valid = (
        colon
        and port.isdigit()
        and 0 < int(port) < 65536
        and len(parts) == 4
        and all(table_name.isdigit() and int(table_name) < 256 for table_name in parts)
    )
    return [] if is_valid else [f"{name}: {address!r} is not IPv4:port"]


MAX_PARTITIONS = 64  # each takes the label of its quota leader in the term's record
MIN_TXN_OPS = 3  # a cancellation writes the record, its mark, and the key that every cancellation changes


def state_faults(limits, labels):
    """Returns the faults of the state service's limits, now and later, for members with these labels.

    The smallest records and transactions of such a deployment must fit.
    """
    faults = []
    later = limits.next
    for name in later.__struct_fields__ if later is not None else ():
        value = getattr(later, name)
        if value is not None and not 0 < value < float("inf"):
            faults.append(f"deployment.state.next.{name}: must be above 0, is {value}")
    if faults:
        return faults
    # The size of the term record as JSON. A member takes its label twice, two counts, a nonce and the
    # punctuation; each of the 64 shards takes 9 bytes for its leader and token. A job record with a few
    # ranges is smaller.
    needed_kb = (160 + sum(2 * len(label) + 30 for label in labels) + 64 * 9) / 1024
    for prefix, checked in (("", limits), ("next.", later)):
        if checked is None:
            continue
        if checked.value_kb is not None and checked.value_kb < needed_kb:
            faults.append(
                f"deployment.state.{prefix}value_kb: must be at least {needed_kb:.2f} for the records "
                f"of {len(labels)} members, is {checked.value_kb:g}"
            )
        if checked.txn_ops is not None and checked.txn_ops < MIN_TXN_OPS:
            faults.append(
                f"deployment.state.{prefix}txn_ops: must be at least {MIN_TXN_OPS}, is {checked.txn_ops}"
            )
    return faults


def parse(data):
    """Returns the Settings from the bytes of the platform's file. Raises SettingsError."""
    try:
        settings = msgspec.json.decode(data, type=Settings)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError([str(error)]) from None
    faults = []
    for name, address in (
        ("front", settings.front),
        ("internal_addr", settings.internal_addr),
        ("external.cloud", settings.external.cloud),
        ("external.state", settings.external.state),
        *((f"members: {member.label}", member.endpoint) for member in settings.members),
    ):
        faults += address_fault(name, address)
    labels = [settings.label, *(member.label for member in settings.members)]
    if len(set(labels)) != len(labels):
        faults.append("members: a label is used more than once")
    if not all(labels):
        faults.append("label: must not be empty, here and in members")
    deployment = settings.deployment
    for name, value in (
        ("nodes", deployment.nodes),
        ("workers.report_s", deployment.workers.report_s),
        ("workers.lease_s", deployment.workers.lease_s),
        ("workers.cancel_s", deployment.workers.cancel_s),
        ("state.rps", deployment.state.rps),
        ("state.write_rps", deployment.state.write_rps),
        ("state.value_kb", deployment.state.value_kb),
        ("state.txn_ops", deployment.state.txn_ops),
        ("cloud.rps", deployment.cloud.rps),
        ("cloud.list_lag_s", deployment.cloud.list_lag_s),
        ("quota.cpu", deployment.quota.cpu),
        ("quota.mem_mb", deployment.quota.mem_mb),
        ("quota.fd_limit", deployment.quota.fd_limit),
    ):
        if not 0 < value < float("inf"):
            faults.append(f"deployment.{name}: must be above 0, is {value}")
    faults += state_faults(deployment.state, labels)
    names = [team.name for team in deployment.teams]
    for name in sorted({name for name in names if names.count(name) > 1}):
        faults.append(f"deployment.teams: the name {name!r} is used more than once")
    for team in deployment.teams:
        for field_name in ("cpus", "cpus_max", "gpus", "gpus_max"):
            value = getattr(team, field_name)
            if not 0 <= value < float("inf"):
                faults.append(
                    f"deployment.teams: {team.name!r}: {field_name}: must not be negative, is {value}"
                )
    if deployment.workers.cancel_s <= deployment.workers.lease_s:
        faults.append("deployment.workers.cancel_s: must be above deployment.workers.lease_s")
    if faults:
        raise SettingsError(faults)
    return settings


def parse_tuning(data):
    """Returns the Tuning from the bytes of a TOML file. Raises SettingsError."""
    try:
        tuning = msgspec.toml.decode(data, type=Tuning)
    except (msgspec.DecodeError, ValueError) as error:
        raise SettingsError([str(error)]) from None
    faults = []
    for table_name in ("membership", "grants", "fleet"):
        table = getattr(tuning, table_name)
        for name in table.__struct_fields__:
            value = getattr(table, name)
            if not 0 < value < float("inf") and (name, value) != ("largest", 0):
                faults.append(f"{table_name}.{name}: must be above 0, is {value}")
    if tuning.membership.lease_ratio > 1:
        faults.append("membership.lease_ratio: must be at most 1")
    if tuning.membership.quota_partitions > MAX_PARTITIONS:
        faults.append(f"membership.quota_partitions: must be at most {MAX_PARTITIONS}")
    if faults:
        raise SettingsError(faults)
    return tuning


def load(path, tuning_path=None):
    """Returns (Settings, Tuning) read from files. Raises SettingsError with the faults of both.

    Without `tuning_path` the file that `$ROADHEAD_TUNING` names is read, or the defaults are used.
    """
    faults = []
    settings = tuning = None
    try:
        with open(path, "rb") as file:
            settings = parse(file.read())
    except OSError as error:
        faults.append(f"{path}: {error.strerror}")
    except SettingsError as error:
        faults += [f"{path}: {fault}" for fault in error.faults]
    tuning_path = tuning_path or os.environ.get("ROADHEAD_TUNING")
    if tuning_path:
        try:
            with open(tuning_path, "rb") as file:
                tuning = parse_tuning(file.read())
        except OSError as error:
            faults.append(f"{tuning_path}: {error.strerror}")
        except SettingsError as error:
            faults += [f"{tuning_path}: {fault}" for fault in error.faults]
    else:
        tuning = Tuning()
    if faults:
        raise SettingsError(faults)
    return settings, tuning
