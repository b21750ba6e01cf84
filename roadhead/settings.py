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
        return tuple(
            min(sure, most) if most else sure
            for sure, most in ((self.cpus, self.cpus_max), (self.gpus, self.gpus_max))
        )


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


class LaterLimits(Struct):
    """Limits that the state service will have from some moment on, without notice; what is left out
    stays as it is."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(Struct):
    """Requests and changes a second, the size of a value in KiB, and changes in one transaction."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: LaterLimits | None = None

    @property
    def value_bytes(self):
        return int(self.value_kb * 1024)

    def _with_later(self, names):
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
        """What every value and transaction is planned for: sizes that are taken now and later."""
        return self._with_later(("value_kb", "txn_ops"))

    def lowered(self):
        """The limits once the state service has lowered them."""
        return self._with_later(("rps", "write_rps", "value_kb", "txn_ops"))

    def scaled(self, share):
        """The same with a part of the rates."""
        later = self.next and LaterLimits(
            self.next.rps and self.next.rps * share,
            self.next.write_rps and self.next.write_rps * share,
            self.next.value_kb,
            self.next.txn_ops,
        )
        return StateLimits(self.rps * share, self.write_rps * share, self.value_kb, self.txn_ops, later)


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
    """`lease_ratio`: a controller's own lease, to the workers'; `quota_partitions`: into how many parts the
    settings' teams with limits are divided, each with a quota leader of its own."""

    lease_ratio: float = 0.5
    quota_partitions: int = 1


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


PARTITIONS_MOST = 64  # quota partitions, each a label in the term's record
TXN_LEAST = 3  # a cancellation: the record, its mark, and the key that all of them change


def state_faults(limits, labels):
    """Faults of the state service's limits, now and later: what the smallest records and transactions of
    a deployment with these members need must fit."""
    faults = []
    later = limits.next
    for name in later.__struct_fields__ if later is not None else ():
        value = getattr(later, name)
        if value is not None and not 0 < value < float("inf"):
            faults.append(f"deployment.state.next.{name}: must be above 0, is {value}")
    if faults:
        return faults
    # The term as JSON: a member takes its label twice, two counts, a nonce and the marks between them, a
    # share its home and its token. A job of a few ranges takes less.
    needed = (160 + sum(2 * len(label) + 30 for label in labels) + 64 * 9) / 1024
    for where, given in (("", limits), ("next.", later)):
        if given is None:
            continue
        if given.value_kb is not None and given.value_kb < needed:
            faults.append(
                f"deployment.state.{where}value_kb: must be at least {needed:.2f} for the records "
                f"of {len(labels)} members, is {given.value_kb:g}"
            )
        if given.txn_ops is not None and given.txn_ops < TXN_LEAST:
            faults.append(
                f"deployment.state.{where}txn_ops: must be at least {TXN_LEAST}, is {given.txn_ops}"
            )
    return faults


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
    faults += state_faults(deployment.state, labels)
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
    if tuning.membership.quota_partitions > PARTITIONS_MOST:
        faults.append(f"membership.quota_partitions: must be at most {PARTITIONS_MOST}")
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
