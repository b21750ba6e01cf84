"""A tenant's record, its keys, and the changes that may be made to it. Pure values.

One record a tenant, `c/t/NUMBER`: controllers and gateways learn of every change by the watch
they have on `c/`. `n/NAME` holds the number of the tenant that has the name, `n/` itself the next
number. Number 0 is that of the administrators, who have keys and nothing else.
"""

import math
import re

import msgspec
from msgspec import Struct, field

from roadhead.membership.member import TENANT

NAME = "n/"
NEXT = "n/"  # the key of the next number: no name is empty
ADMINISTRATORS = 0
ACTIVE, SUSPENDED, REMOVING, REMOVED = "active", "suspended", "removing", "removed"
FINISH, STOP = "finish", "stop"
TENANT_SCOPES = ("read", "submit", "cancel")
ADMIN_SCOPES = ("tenants:read", "tenants:write", "keys")
NAME_FORM = re.compile(r"[a-z][a-z0-9-]{0,38}[a-z0-9]\Z")
TEAM_FORM = re.compile(r"[a-z0-9][a-z0-9._-]{0,38}\Z")
KEYS_MOST = 16
TEAMS_MOST = 40
REQUESTS_KEPT = 8  # of the administrators' request keys, so that a repeated change is known


class InvalidTenantError(Exception):
    """A record that can't be; one line per fault in `faults`."""

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
    """An access key: only its keyed digest is kept. `until`: time of day, 0 for no end; `request`:
    the request key that made it, by which the same request finds it again."""

    id: int
    digest: str
    scopes: list[str]
    label: str = ""
    until: float = 0.0
    request: str = ""


class Tenant(Struct, omit_defaults=True):
    """`version` counts the changes; `running` says what becomes of running work while suspended;
    `requests` holds the request keys of the latest changes and the versions that they made."""

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
        return next((team for team in self.teams if team.name == name), None)

    def check(self):
        """Raises Contradiction."""
        faults = []
        if not NAME_FORM.match(self.name):
            faults.append("name: 2 to 40 characters of a-z, 0-9 and '-', a letter first")
        if len(self.teams) > TEAMS_MOST:
            faults.append(f"teams: at most {TEAMS_MOST}")
        amounts = [("weight", self.weight)] + [
            (f"limits.{name}", getattr(self.limits, name)) for name in Limits.__struct_fields__
        ]
        names = set()
        for team in self.teams:
            where = f"teams.{team.name[:40]}"
            if not TEAM_FORM.match(team.name):
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
        for kind in ("cpus", "gpus"):
            most = getattr(self.limits, kind)
            sure = 0.0
            for team in self.teams:
                own, own_most = getattr(team, kind), getattr(team, f"{kind}_max")
                sure += own
                if own_most and own > own_most:
                    yield f"teams.{team.name}.{kind}: the guarantee {own:g} is above the limit {own_most:g}"
            if most and sure > most:
                yield f"limits.{kind}: the teams' guarantees, {sure:g}, are above the limit {most:g}"
        if not self.limits.submissions:
            yield "limits.submissions: must be above 0"

    def to_record(self):
        return msgspec.to_builtins(self)

    def fitting(self, largest):
        """A version whose record takes at most `largest` bytes as JSON: itself, or without what is only
        remembered for repeated requests. Raises Contradiction."""
        for version in (self, msgspec.structs.replace(self, requests={})):
            size = len(msgspec.json.encode(version))
            if size <= largest:
                return version
        raise InvalidTenantError(
            [f"the record would take {size} bytes, the state service takes {largest}: fewer teams or keys"]
        )

    def changed(self, request=None, **fields):
        """The next version."""
        requests = dict(self.requests)
        if request:
            requests[request] = self.version + 1
            for old in list(requests)[:-REQUESTS_KEPT]:
                del requests[old]
        return msgspec.structs.replace(self, version=self.version + 1, requests=requests, **fields)

    # Keys

    def key(self, number, now):
        """The key of that id if it is good now."""
        for key in self.keys:
            if key.id == number and (not key.until or now < key.until):
                return key
        return None

    def with_key(self, digest, scopes, label, now, request=None):
        """(next version, key): keys whose time is over make room."""
        keys = [key for key in self.keys if not key.until or now < key.until]
        if len(keys) >= KEYS_MOST:
            raise InvalidTenantError([f"keys: at most {KEYS_MOST}"])
        key = Key(self.next_key, digest, scopes, label, request=request or "")
        return self.changed(request, keys=[*keys, key], next_key=self.next_key + 1), key

    def key_of_request(self, request):
        """The key that a request made, if it was made before."""
        return next((key for key in self.keys if request and key.request == request), None)

    def ending_key(self, number, until, request=None):
        """The next version, in which a key ends at `until` at the latest; 0 revokes it at once."""
        keys = []
        for key in self.keys:
            if key.id == number:
                if not until:
                    continue
                key = msgspec.structs.replace(key, until=min(key.until, until) if key.until else until)
            keys.append(key)
        return self.changed(request, keys=keys)


# What may follow what: a transition that is not named here is refused.
TRANSITIONS = {
    "suspend": ((ACTIVE, SUSPENDED), SUSPENDED),
    "resume": ((ACTIVE, SUSPENDED), ACTIVE),
    "remove": ((ACTIVE, SUSPENDED, REMOVING), REMOVING),
    "bury": ((REMOVING,), REMOVED),
}


def transition(tenant, verb, request=None, running=FINISH):
    """The tenant after `verb`, itself if it is there already; None if that may not follow."""
    allowed, state = TRANSITIONS[verb]
    if tenant.state not in allowed:
        return None
    if tenant.state == state and (verb != "suspend" or tenant.running == running):
        return tenant
    if verb == "suspend":
        return tenant.changed(request, state=state, running=running)
    if verb == "bury":
        # The tombstone: the number and the name stay, everything else goes.
        return Tenant(tenant.number, tenant.name, REMOVED, tenant.version + 1)
    if verb == "remove":
        return tenant.changed(request, state=state, keys=[])
    return tenant.changed(request, state=state)


def from_record(record):
    """A tenant from its stored record; fields that a newer version wrote are ignored."""
    teams = [
        {name: team[name] for name in Team.__struct_fields__ if name in team}
        for team in record.get("teams", ())
    ]
    limits = {
        name: value for name, value in record.get("limits", {}).items() if name in Limits.__struct_fields__
    }
    return msgspec.convert({**record, "teams": teams, "limits": limits}, Tenant)


def tenant_key(number):
    return f"{TENANT}{number:05d}"
