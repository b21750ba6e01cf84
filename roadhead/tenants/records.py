"""A tenant's record, its keys, and its allowed changes. Pure values.

Each tenant has one record, `c/t/NUMBER`: controllers and gateways notice every change through their watch of
`c/`. `n/NAME` holds the number of the tenant with that name, and `n/` itself the next free number. Number 0
belongs to the administrators, who have keys and nothing else.
"""

import math
import re

import msgspec
from msgspec import Struct, field

from roadhead.membership.member import TENANT

NAME_PREFIX = "n/"
NEXT_NUMBER_KEY = "n/"  # key of the next free number; it can't be a name's, as no name is empty
ADMINISTRATORS = 0
ACTIVE, SUSPENDED, REMOVING, REMOVED = "active", "suspended", "removing", "removed"
FINISH, STOP = "finish", "stop"
TENANT_SCOPES = ("read", "submit", "cancel")
ADMIN_SCOPES = ("tenants:read", "tenants:write", "keys")
NAME_PATTERN = re.compile(r"[a-z][a-z0-9-]{0,38}[a-z0-9]\Z")
TEAM_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,38}\Z")
MAX_KEYS = 16
MAX_TEAMS = 40
MAX_REQUESTS_KEPT = 8  # latest idempotency keys kept in a record to recognize repeated changes


class InvalidTenantError(Exception):
    """A record violates a constraint. `faults` has one line per violation; they are sent to the client."""

    def __init__(self, faults):
        super().__init__("; ".join(faults))
        self.faults = faults


class Team(Struct, forbid_unknown_fields=True, omit_defaults=True):
    """What a team is guaranteed, the most it may use at once (0: no limit), and its weight where
    room is borrowed."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0
    weight: float = 1.0


class Limits(Struct, forbid_unknown_fields=True, omit_defaults=True):
    """The most of a whole tenant; 0 is no limit. `submissions` are a second, with bursts of ten
    seconds' worth."""

    cpus: float = 0.0
    gpus: float = 0.0
    open_jobs: int = 1000
    waiting_tasks: int = 200_000
    submissions: float = 10.0


class Key(Struct, omit_defaults=True):
    """An access key; only its keyed digest is stored.

    `until`: time of day when it expires, 0 for never; `request`: the idempotency key of the request that made
    it, by which a repeated request finds it.
    """

    id: int
    digest: str
    scopes: list[str]
    label: str = ""
    until: float = 0.0
    request: str = ""


class Tenant(Struct, omit_defaults=True):
    """A tenant.

    `version` counts the changes; `running` says what happens to running work while suspended; `requests` maps
    the idempotency keys of the latest changes to the versions they made.
    """

    number: int
    name: str
    state: str = ACTIVE
    version: int = 1
    running: str = FINISH
    teams: list[Team] = field(default_factory=list)
    limits: Limits = field(default_factory=Limits)
    weight: float = 1.0
    keys: list[Key] = field(default_factory=list)
    next_key: int = 1
    requests: dict[str, int] = field(default_factory=dict)

    def team(self, name):
        """Returns the Team of that name, or None."""
        return next((team for team in self.teams if team.name == name), None)

    def check(self):
        """Raises InvalidTenantError if the record violates a constraint."""
        faults = []
        if not NAME_PATTERN.match(self.name):
            faults.append("name: 2 to 40 characters of a-z, 0-9 and '-', a letter first")
        if len(self.teams) > MAX_TEAMS:
            faults.append(f"teams: at most {MAX_TEAMS}")
        amounts = [("weight", self.weight)] + [
            (f"limits.{name}", getattr(self.limits, name)) for name in Limits.__struct_fields__
        ]
        names = set()
        for team in self.teams:
            where = f"teams.{team.name[:40]}"
            if not TEAM_PATTERN.match(team.name):
                faults.append(f"{where}: a name has 1 to 39 characters of a-z, 0-9, '.', '_' and '-'")
            if team.name in names:
                faults.append(f"{where}: stands twice")
            names.add(team.name)
            amounts += [(f"{where}.{name}", getattr(team, name)) for name in Team.__struct_fields__[1:]]
        for where, amount in amounts:
            if not (math.isfinite(amount) and 0 <= amount < 1e12):
                faults.append(f"{where}: must not be negative, is {amount}")
            elif where.endswith("weight") and amount == 0:
                faults.append(f"{where}: must be above 0")
        if not faults:
            faults += self._contradictions()
        if faults:
            raise InvalidTenantError(faults)

    def _contradictions(self):
        """Yields violations between fields that are valid on their own."""
        for kind in ("cpus", "gpus"):
            limit = getattr(self.limits, kind)
            guaranteed = 0.0
            for team in self.teams:
                own, own_limit = getattr(team, kind), getattr(team, f"{kind}_max")
                guaranteed += own
                if own_limit and own > own_limit:
                    yield f"teams.{team.name}.{kind}: the guarantee {own:g} is above the limit {own_limit:g}"
            if limit and guaranteed > limit:
                yield f"limits.{kind}: the teams' guarantees, {guaranteed:g}, are above the limit {limit:g}"
        if not self.limits.submissions:
            yield "limits.submissions: must be above 0"

    def to_record(self):
        """Returns the record as built-in types."""
        return msgspec.to_builtins(self)

    def fitting(self, largest):
        """Returns a version whose record takes at most `largest` bytes as JSON.

        That is this version, or one without the idempotency keys. Raises InvalidTenantError if neither fits.
        """
        for version in (self, msgspec.structs.replace(self, requests={})):
            size = len(msgspec.json.encode(version))
            if size <= largest:
                return version
        raise InvalidTenantError(
            [f"the record would take {size} bytes, the state service takes {largest}: fewer teams or keys"]
        )

    def changed(self, request=None, **fields):
        """Returns the next version, with `fields` replaced."""
        requests = dict(self.requests)
        if request:
            requests[request] = self.version + 1
            for old in list(requests)[:-MAX_REQUESTS_KEPT]:
                del requests[old]
        return msgspec.structs.replace(self, version=self.version + 1, requests=requests, **fields)

    # Keys

    def key(self, number, now):
        """Returns the key of that id if it is valid at `now`, else None."""
        for key in self.keys:
            if key.id == number and (not key.until or now < key.until):
                return key
        return None

    def with_key(self, digest, scopes, label, now, request=None):
        """Returns (next version, new Key).

        Expired keys are dropped. Raises InvalidTenantError if there are too many keys.
        """
        keys = [key for key in self.keys if not key.until or now < key.until]
        if len(keys) >= MAX_KEYS:
            raise InvalidTenantError([f"keys: at most {MAX_KEYS}"])
        key = Key(self.next_key, digest, scopes, label, request=request or "")
        return self.changed(request, keys=[*keys, key], next_key=self.next_key + 1), key

    def key_of_request(self, request):
        """Returns the key that a request with this idempotency key made earlier, or None."""
        return next((key for key in self.keys if request and key.request == request), None)

    def ending_key(self, number, until, request=None):
        """Returns the next version, in which a key expires at `until` at the latest; 0 revokes it at once."""
        keys = []
        for key in self.keys:
            if key.id == number:
                if not until:
                    continue
                key = msgspec.structs.replace(key, until=min(key.until, until) if key.until else until)
            keys.append(key)
        return self.changed(request, keys=keys)


# Allowed state transitions: action -> (states it starts from, resulting state). All others are refused.
TRANSITIONS = {
    "suspend": ((ACTIVE, SUSPENDED), SUSPENDED),
    "resume": ((ACTIVE, SUSPENDED), ACTIVE),
    "remove": ((ACTIVE, SUSPENDED, REMOVING), REMOVING),
    "bury": ((REMOVING,), REMOVED),
}


def transition(tenant, verb, request=None, running=FINISH):
    """Returns the tenant after `verb`, or `tenant` itself if nothing changes; None if it is not allowed."""
    allowed, state = TRANSITIONS[verb]
    if tenant.state not in allowed:
        return None
    if tenant.state == state and (verb != "suspend" or tenant.running == running):
        return tenant
    if verb == "suspend":
        return tenant.changed(request, state=state, running=running)
    if verb == "bury":
        # The tombstone keeps the number and the name; everything else is dropped.
        return Tenant(tenant.number, tenant.name, REMOVED, tenant.version + 1)
    if verb == "remove":
        return tenant.changed(request, state=state, keys=[])
    return tenant.changed(request, state=state)


def from_record(record):
    """Decodes a stored record; fields written by newer versions are ignored."""
    teams = [
        {name: team[name] for name in Team.__struct_fields__ if name in team}
        for team in record.get("teams", ())
    ]
    limits = {
        name: value for name, value in record.get("limits", {}).items() if name in Limits.__struct_fields__
    }
    return msgspec.convert({**record, "teams": teams, "limits": limits}, Tenant)


def tenant_key(number):
    """Returns the state service key of a tenant's record."""
    return f"{TENANT}{number:05d}"
