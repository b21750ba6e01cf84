"""Settings: the platform's JSON file, and the operators' own TOML file. Both are checked before use."""

import os

import msgspec
from msgspec import Struct, field


class SettingsError(Exception):
    """One line per fault in `faults`."""

    def __init__(self, faults):
        super().__init__("; ".join(faults))
        self.faults = faults


class Member(Struct):
    label: str
    location: str
    endpoint: str


class External(Struct):
    cloud: str
    state: str


class Team(Struct):
    """What a team is guaranteed, and the most its tasks may use at once; 0 is no limit."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0

    @property
    def guarantee(self):
        """(cpus, gpus): a guarantee above the limit counts up to the limit."""
        return tuple(min(sure, most) if most else sure
                     for sure, most in ((self.cpus, self.cpus_max), (self.gpus, self.gpus_max)))


class Objective(Struct, rename={"klass": "class"}):
    kind: str
    klass: str = ""
    share: float = 0.0
    within_s: float | None = None
    times: float = 1.0


class Workers(Struct):
    report_s: float
    lease_s: float
    cancel_s: float


class StateLimits(Struct):
    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int


class CloudLimits(Struct):
    rps: float
    list_lag_s: float


class Quota(Struct):
    cpu: float = 1.0
    mem_mb: float = 512.0
    fd_limit: int = 1024


class Deployment(Struct):
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
    label: str
    location: str
    front: str
    internal_addr: str
    members: list[Member]
    external: External
    deployment: Deployment


class Membership(Struct, forbid_unknown_fields=True):
    """Ratios to the workers' lease."""

    lease_ratio: float = 0.5


class Grants(Struct, forbid_unknown_fields=True):
    """`lapse_ratio` of the workers' lease passes before an unused grant returns."""

    lapse_ratio: float = 10 / 12


class Fleet(Struct, forbid_unknown_fields=True):
    """`drain_ratio` of a class's time aim is what waiting work may take to drain;
    a machine idle for `idle_ratio` boot times is returned; `largest` machines at most, 0: as many
    as all controllers have sockets."""

    drain_ratio: float = 0.4
    idle_ratio: float = 1.0
    stuck_ratio: float = 4.0
    largest: int = 0


class Tuning(Struct, forbid_unknown_fields=True):
    membership: Membership = field(default_factory=Membership)
    grants: Grants = field(default_factory=Grants)
    fleet: Fleet = field(default_factory=Fleet)


def address_fault(name, address):
    """[fault] if `address` is not IPv4:port, else []."""
    host, colon, port = address.rpartition(":")
    parts = host.split(".")
    good = (
        colon
        and port.isdigit()
        and 0 < int(port) < 65536
        and len(parts) == 4
        and all(part.isdigit() and int(part) < 256 for part in parts)
    )
    return [] if good else [f"{name}: {address!r} is not IPv4:port"]


def parse(data):
    """Settings from the bytes of the platform's file. Raises SettingsError."""
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
        faults.append("members: a label stands twice")
    if not all(labels):
        faults.append("label: empty")
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
    names = [team.name for team in deployment.teams]
    for name in sorted({name for name in names if names.count(name) > 1}):
        faults.append(f"deployment.teams: {name!r} stands twice")
    for team in deployment.teams:
        for amount in ("cpus", "cpus_max", "gpus", "gpus_max"):
            value = getattr(team, amount)
            if not 0 <= value < float("inf"):
                faults.append(f"deployment.teams: {team.name!r}: {amount}: must not be negative, is {value}")
    if deployment.workers.cancel_s <= deployment.workers.lease_s:
        faults.append("deployment.workers.cancel_s: must be above lease_s")
    if faults:
        raise SettingsError(faults)
    return settings


def parse_tuning(data):
    """Tuning from the bytes of a TOML file. Raises SettingsError."""
    try:
        tuning = msgspec.toml.decode(data, type=Tuning)
    except (msgspec.DecodeError, ValueError) as error:
        raise SettingsError([str(error)]) from None
    faults = []
    for part in ("membership", "grants", "fleet"):
        table = getattr(tuning, part)
        for name in table.__struct_fields__:
            value = getattr(table, name)
            if not 0 < value < float("inf") and (name, value) != ("largest", 0):
                faults.append(f"{part}.{name}: must be above 0, is {value}")
    if tuning.membership.lease_ratio > 1:
        faults.append("membership.lease_ratio: must be at most 1")
    if faults:
        raise SettingsError(faults)
    return tuning


def load(path, tuning_path=None):
    """(Settings, Tuning) from files. Raises SettingsError."""
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
