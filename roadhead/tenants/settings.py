"""Settings of a multi-tenant ("hosted") deployment: a TOML file that is validated before use."""

import os

import msgspec
from msgspec import Struct, field

from roadhead.settings import LaterLimits, SettingsError, StateLimits, address_fault, state_faults

MIN_SECRET_BYTES = 32  # smallest size of the master secret in bytes


class Gateway(Struct, forbid_unknown_fields=True):
    """Addresses of a gateway's two APIs, and the largest number of connections to each."""

    tenants: str
    administration: str
    connections: int = 500


class Cluster(Struct, forbid_unknown_fields=True):
    """What a gateway must know about the deployment.

    That is the state service with its limits, and the controllers' HTTP addresses by label.
    """

    state: str
    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    controllers: dict[str, str]
    next: LaterLimits | None = None


class Hosted(Struct, forbid_unknown_fields=True):
    """Settings of a multi-tenant deployment.

    `slots`: quota partitions that tenants are spread over; `state_share`: fraction of the state service's
    limits reserved for all gateways, of which there are up to `gateways`; `stale_s`: how long a process
    relies on its last known tenant records without hearing of changes; `overlap_s`: how long a rotated key
    stays valid by default; `preempt`: whether borrowed work is stopped to give guarantees back, after a
    `patience` of so many report intervals.
    """

    secret_file: str
    gateway: Gateway
    cluster: Cluster
    slots: int = 24
    state_share: float = 0.15
    gateways: int = 2
    stale_s: float = 20.0
    overlap_s: float = 86400.0
    preempt: bool = True
    patience: float = 1 / 16
    master: bytes = field(default=b"")

    def left_of(self, limits):
        """Returns the part of the state service's limits that is left for the controllers."""
        return limits.scaled(1.0 - self.state_share)

    def gateway_limits(self):
        """Returns the part of the state service's limits for one gateway."""
        cluster = self.cluster
        limits = StateLimits(cluster.rps, cluster.write_rps, cluster.value_kb, cluster.txn_ops, cluster.next)
        return limits.scaled(self.state_share / self.gateways)


def parse(data):
    """Returns Hosted settings from the bytes of a TOML file, without the secret. Raises SettingsError."""
    try:
        hosted = msgspec.toml.decode(data, type=Hosted)
    except (msgspec.DecodeError, ValueError) as error:
        raise SettingsError([str(error)]) from None
    faults = []
    addresses = [
        ("gateway.tenants", hosted.gateway.tenants),
        ("gateway.administration", hosted.gateway.administration),
        ("cluster.state", hosted.cluster.state),
        *((f"cluster.controllers.{label}", address) for label, address in hosted.cluster.controllers.items()),
    ]
    for name, address in addresses:
        faults += address_fault(name, address)
    fronts = list(hosted.cluster.controllers.values())
    if not fronts:
        faults.append("cluster.controllers: at least one is required")
    if len(set(fronts)) != len(fronts):
        faults.append("cluster.controllers: addresses must be distinct")
    if hosted.gateway.tenants == hosted.gateway.administration:
        faults.append("gateway.administration: must differ from gateway.tenants")
    for name, value, most in (
        ("slots", hosted.slots, 200),
        ("state_share", hosted.state_share, 0.5),
        ("gateways", hosted.gateways, 100),
        ("stale_s", hosted.stale_s, 3600.0),
        ("overlap_s", hosted.overlap_s, 1e8),
        ("patience", hosted.patience, 1000.0),
        ("gateway.connections", hosted.gateway.connections, 1e6),
        ("cluster.rps", hosted.cluster.rps, 1e9),
        ("cluster.write_rps", hosted.cluster.write_rps, 1e9),
        ("cluster.value_kb", hosted.cluster.value_kb, 1e9),
        ("cluster.txn_ops", hosted.cluster.txn_ops, 1e9),
    ):
        if not 0 < value <= most:
            faults.append(f"{name}: must be above 0 and at most {most:g}, is {value:g}")
    cluster = hosted.cluster
    faults += [
        fault.replace("deployment.state.", "cluster.")
        for fault in state_faults(
            StateLimits(cluster.rps, cluster.write_rps, cluster.value_kb, cluster.txn_ops, cluster.next),
            list(cluster.controllers),
        )
    ]
    if hosted.master:
        faults.append("master: not allowed here, belongs in the file named by secret_file")
    if faults:
        raise SettingsError(faults)
    return hosted


def load(path):
    """Returns Hosted settings with their master secret. Raises SettingsError."""
    try:
        with open(path, "rb") as file:
            hosted = parse(file.read())
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from None
    except SettingsError as error:
        raise SettingsError([f"{path}: {fault}" for fault in error.faults]) from None
    secret = os.path.join(os.path.dirname(path), hosted.secret_file)
    try:
        with open(secret, "rb") as file:
            hosted.master = file.read().strip()
    except OSError as error:
        raise SettingsError([f"{path}: secret_file: {error.strerror}"]) from None
    if len(hosted.master) < MIN_SECRET_BYTES:
        raise SettingsError([f"{path}: secret_file: must contain at least {MIN_SECRET_BYTES} bytes"])
    return hosted
