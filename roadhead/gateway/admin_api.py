"""The administration API for tenants and keys. Every change is a compare-and-set of one record."""

import re

from roadhead.gateway.answers import UNCERTAIN, UNKNOWN_KEY, ProblemError
from roadhead.gateway.routes import Route, Routes
from roadhead.gateway.tenants_api import authenticate
from roadhead.gateway.types import (
    KeyList,
    KeyView,
    NewKey,
    NewTenant,
    Rotation,
    Suspension,
    TenantChange,
    TenantPage,
    TenantView,
    Usage,
)
from roadhead.state.client import ConflictError, UnavailableError, UnknownOutcomeError
from roadhead.tenants.ids import MOST_TENANTS
from roadhead.tenants.records import (
    ADMIN_SCOPES,
    ADMINISTRATORS,
    NAME_PREFIX,
    NEXT_NUMBER_KEY,
    REMOVED,
    REMOVING,
    TENANT_SCOPES,
    InvalidTenantError,
    Tenant,
    from_record,
    tenant_key,
    transition,
)

READ, WRITE, KEYS = ADMIN_SCOPES
MAX_ATTEMPTS = 8  # compare-and-set attempts before 503
ETAG = re.compile(r'\s*(?:W/)?"([0-9]{1,18})"\s*\Z')
BASE = "/admin/v1"
TENANTS = f"{BASE}/tenants"
ONE = f"{TENANTS}/{{name}}"

ROUTES = Routes(
    [
        Route("POST", TENANTS, "create", WRITE, NewTenant, TenantView, 201, "Create a tenant"),
        Route(
            "GET", TENANTS, "list", READ, None, TenantPage, 200, "List tenants", ("state", "after", "limit")
        ),
        Route("GET", ONE, "show", READ, None, TenantView, 200, "A tenant"),
        Route("PATCH", ONE, "change", WRITE, TenantChange, TenantView, 200, "Change teams, limits or weight"),
        Route("POST", f"{ONE}/suspend", "suspend", WRITE, Suspension, TenantView, 200, "Suspend a tenant"),
        Route("POST", f"{ONE}/resume", "resume", WRITE, None, TenantView, 200, "Resume a tenant"),
        Route("DELETE", ONE, "remove", WRITE, None, TenantView, 202, "Remove a tenant and all it has"),
        Route("GET", f"{ONE}/usage", "usage", READ, None, Usage, 200, "What a tenant holds now"),
        Route("GET", f"{ONE}/keys", "keys", KEYS, None, KeyList, 200, "A tenant's keys"),
        Route("POST", f"{ONE}/keys", "new_key", KEYS, NewKey, KeyView, 201, "Make a key"),
        Route(
            "POST",
            f"{ONE}/keys/{{key}}/rotate",
            "rotate",
            KEYS,
            Rotation,
            KeyView,
            201,
            "A new key in place of an old one, which stays good for a while",
        ),
        Route("DELETE", f"{ONE}/keys/{{key}}", "revoke", KEYS, None, None, 204, "Revoke a key"),
        Route(
            "GET",
            f"{BASE}/administrators/keys",
            "admin_keys",
            KEYS,
            None,
            KeyList,
            200,
            "Administrators' keys",
        ),
        Route(
            "POST",
            f"{BASE}/administrators/keys",
            "new_admin_key",
            KEYS,
            NewKey,
            KeyView,
            201,
            "Make an administrator's key",
        ),
        Route(
            "DELETE",
            f"{BASE}/administrators/keys/{{key}}",
            "revoke_admin_key",
            KEYS,
            None,
            None,
            204,
            "Revoke an administrator's key",
        ),
        Route("GET", f"{BASE}/openapi.json", "document", None, None, None, 200, "This API as OpenAPI"),
    ]
)


class AdminApi:
    """Handles requests of administrators.

    `usage(entry)` returns what a tenant uses (gateway/tenants_api.py).
    """

    def __init__(self, table, secrets, state, time_of_day, usage, overlap_s):
        self._table = table
        self._secrets = secrets
        self._state = state
        self._time_of_day = time_of_day
        self._usage_of = usage
        self._overlap_s = overlap_s

    async def handle(self, request):
        """Returns (status, message, tenant version or None) for a request. Raises ProblemError."""
        route, values = ROUTES.find(request)
        if route.scope is None:
            return 200, ROUTES.document("roadhead administration"), None
        self._authorize(request.key(), route.scope)
        request_key = request.request_key()
        try:
            return await getattr(self, f"_{route.name}")(request, request_key, **values)
        except (UnavailableError, UnknownOutcomeError):
            raise UNCERTAIN from None
        except InvalidTenantError as error:
            raise ProblemError(422, "what is asked for contradicts itself", faults=error.faults) from None

    def _authorize(self, text, scope):
        """Raises ProblemError unless the key is the root key or an administrator's key with this scope."""
        if self._secrets.is_root(text):
            return
        entry, key = authenticate(self._table, self._secrets, text, self._time_of_day())
        if entry.tenant.number != ADMINISTRATORS:
            raise UNKNOWN_KEY  # tenants' keys aren't valid for the administration API
        if scope not in key.scopes:
            raise ProblemError(403, f"the key's scopes do not hold {scope!r}")

    # Reading

    async def _load(self, name):
        """Returns the stored (Tenant, stamp) by name. Raises ProblemError 404 or 410."""
        number, _stamp = (
            await self._state.get(NAME_PREFIX + name)
            if name.isascii() and name.replace("-", "").isalnum()
            else (None, 0)
        )
        if number is None:
            raise ProblemError(404, "no such tenant")
        tenant, stamp = await self._load_number(number)
        if tenant.state == REMOVED:
            raise ProblemError(410, "the tenant is removed")
        return tenant, stamp

    async def _load_number(self, number):
        """Returns the stored (Tenant, stamp) by number.

        Raises UNCERTAIN if there is none, as a name's record refers to it.
        """
        record, stamp = await self._state.get(tenant_key(number))
        if record is None:
            raise UNCERTAIN
        self._table.take(tenant_key(number), record, stamp)
        return from_record(record), stamp

    async def _show(self, _request, _key, name):
        tenant, _stamp = await self._load(name)
        return 200, view(tenant), tenant.version

    async def _list(self, request, _key):
        limit = request.count("limit", 100, 500)
        after = request.query.get("after", "0")
        if not after.isdigit():
            raise ProblemError(400, "after: what a page gave as next")
        state = request.query.get("state")
        found = []
        entries = self._table.entries  # an immutable snapshot
        for number in sorted(number for number in entries if number > int(after[:9])):
            tenant = entries[number].tenant
            if tenant.state != state if state else tenant.state == REMOVED:
                continue
            if len(found) == limit:
                return 200, TenantPage(found, str(found[-1].number)), None
            found.append(view(tenant))
        return 200, TenantPage(found, None), None

    async def _usage(self, _request, _key, name):
        tenant, _stamp = await self._load(name)
        return 200, await self._usage_of(self._table.entry(tenant.number)), None

    async def _keys_of(self, tenant):
        now = self._time_of_day()
        return (
            200,
            KeyList(
                [
                    KeyView(key.id, key.scopes, key.label, key.until)
                    for key in tenant.keys
                    if tenant.key(key.id, now)
                ]
            ),
            tenant.version,
        )

    # Changing

    async def _store(self, tenant, stamp, conditions=(), writes=()):
        """Writes a version on condition that the stored one has `stamp`.

        Raises InvalidTenantError for an invalid version, and ConflictError, UnknownOutcomeError or
        UnavailableError.
        """
        tenant.check()
        tenant = tenant.fitting(self._state.limits.value_bytes)
        key = tenant_key(tenant.number)
        revision = await self._state.multi(
            [(key, stamp), *conditions],
            [{"put": key, "data": tenant.to_record()}, *writes],
            patient=True,
        )
        self._table.take(key, tenant.to_record(), revision)

    async def _apply(self, load, request_key, change):
        """Loads, changes and stores a tenant, and retries on conflict. Returns the stored Tenant.

        `change(tenant)` returns the next version, or the same one if nothing is left to do. A repeated
        request finds its idempotency key in the record and changes nothing.
        """
        for _ in range(MAX_ATTEMPTS):
            tenant, stamp = await load()
            if request_key and request_key in tenant.requests:
                return tenant
            new = change(tenant)
            if new is tenant:
                return tenant
            try:
                await self._store(new, stamp)
                return new
            except ConflictError:
                continue
            except UnknownOutcomeError:
                if not request_key:
                    raise
        raise UNCERTAIN

    async def _create(self, request, request_key):
        wanted = request.read(NewTenant)
        Tenant(1, wanted.name, teams=wanted.teams, limits=wanted.limits, weight=wanted.weight).check()
        for _ in range(MAX_ATTEMPTS):
            named, name_stamp = await self._state.get(NAME_PREFIX + wanted.name)
            if named is not None:
                tenant, _stamp = await self._load_number(named)
                if request_key and request_key in tenant.requests:
                    return 201, view(tenant), tenant.version
                if tenant.state != REMOVED:
                    raise ProblemError(409, "the name is taken")
            number, number_stamp = await self._state.get(NEXT_NUMBER_KEY)
            number = number or 1
            if number > MOST_TENANTS:
                raise ProblemError(422, "no numbers are left: each is given once")
            tenant = Tenant(
                number,
                wanted.name,
                teams=wanted.teams,
                limits=wanted.limits,
                weight=wanted.weight,
                requests={request_key: 1} if request_key else {},
            )
            try:
                await self._store(
                    tenant,
                    0,
                    [(NAME_PREFIX + wanted.name, name_stamp), (NEXT_NUMBER_KEY, number_stamp)],
                    [
                        {"put": NAME_PREFIX + wanted.name, "data": number},
                        {"put": NEXT_NUMBER_KEY, "data": number + 1},
                    ],
                )
                return 201, view(tenant), tenant.version
            except (ConflictError, UnknownOutcomeError) as error:
                if isinstance(error, UnknownOutcomeError) and not request_key:
                    raise
        raise UNCERTAIN

    async def _change(self, request, request_key, name):
        match = ETAG.match(request.headers.get("if-match", ""))
        if match is None:
            raise ProblemError(428, 'If-Match: "VERSION" is needed, as the ETag of a tenant gives it')
        wanted = request.read(TenantChange)
        fields = {
            field: getattr(wanted, field)
            for field in wanted.__struct_fields__
            if getattr(wanted, field) is not None
        }

        def change(tenant):
            if tenant.version != int(match[1]):
                raise ProblemError(412, f"the version is {tenant.version} by now")
            if tenant.state == REMOVING:
                raise ProblemError(410, "the tenant is being removed")
            return tenant.changed(request_key, **fields)

        tenant = await self._apply(lambda: self._load(name), request_key, change)
        return 200, view(tenant), tenant.version

    async def _change_state(self, name, request_key, verb, **more):
        def change(tenant):
            new = transition(tenant, verb, request_key, **more)
            if new is None:
                raise ProblemError(410 if tenant.state == REMOVING else 409, f"the tenant is {tenant.state}")
            return new

        tenant = await self._apply(lambda: self._load(name), request_key, change)
        return view(tenant), tenant.version

    async def _suspend(self, request, request_key, name):
        wanted = request.read(Suspension)
        return 200, *await self._change_state(name, request_key, "suspend", running=wanted.running)

    async def _resume(self, _request, request_key, name):
        return 200, *await self._change_state(name, request_key, "resume")

    async def _remove(self, _request, request_key, name):
        return 202, *await self._change_state(name, request_key, "remove")

    # Keys

    async def _administrators(self):
        record, stamp = await self._state.get(tenant_key(ADMINISTRATORS))
        return (from_record(record) if record else Tenant(ADMINISTRATORS, "administrators"), stamp)

    async def _make_key(self, load, request, request_key, scopes):
        wanted = request.read(NewKey)
        unknown = sorted(set(wanted.scopes) - set(scopes))
        if unknown:
            raise ProblemError(422, f"scopes: of {', '.join(scopes)}")
        return await self._add_key(load, request_key, lambda tenant: (wanted.scopes, wanted.label, tenant))

    async def _add_key(self, load, request_key, prepare):
        """Adds a key. `prepare(tenant)` returns (scopes, label, the tenant to add it to)."""
        created = []

        def change(tenant):
            scopes, label, tenant = prepare(tenant)
            text, digest = self._secrets.new_key(tenant.number, tenant.next_key, request_key)
            new, key = tenant.with_key(digest, scopes, label, self._time_of_day(), request_key)
            created[:] = [text, key]
            return new

        tenant = await self._apply(load, request_key, change)
        made = tenant.key_of_request(request_key)
        if made is not None:
            text, _digest = self._secrets.new_key(tenant.number, made.id, request_key)
        elif created and tenant.keys and tenant.keys[-1] == created[1]:
            text, made = created
        else:
            raise ProblemError(409, "the request made another key, which is gone")
        return 201, KeyView(made.id, made.scopes, made.label, made.until, text), tenant.version

    async def _end_key(self, load, key, request_key, until):
        number = int(key) if key.isascii() and key.isdigit() and len(key) < 10 else -1

        def change(tenant):
            return (
                tenant.ending_key(number, until, request_key)
                if any(known.id == number for known in tenant.keys)
                else tenant
            )

        return await self._apply(load, request_key, change)

    async def _keys(self, _request, _key, name):
        tenant, _stamp = await self._load(name)
        return await self._keys_of(tenant)

    async def _new_key(self, request, request_key, name):
        return await self._make_key(lambda: self._load_living(name), request, request_key, TENANT_SCOPES)

    async def _load_living(self, name):
        tenant, stamp = await self._load(name)
        if tenant.state == REMOVING:
            raise ProblemError(410, "the tenant is being removed")
        return tenant, stamp

    async def _rotate(self, request, request_key, name, key):
        wanted = request.read(Rotation)
        overlap_s = self._overlap_s if wanted.overlap_s is None else wanted.overlap_s
        now = self._time_of_day()

        def prepare(tenant):
            old = tenant.key(int(key) if key.isascii() and key.isdigit() and len(key) < 10 else -1, now)
            if old is None:
                raise ProblemError(404, "no such key")
            # One version ends the old key and adds the new one, so that at no time both are missing.
            ending = tenant.ending_key(old.id, now + overlap_s) if overlap_s else tenant.ending_key(old.id, 0)
            return old.scopes, old.label, from_record({**ending.to_record(), "version": tenant.version})

        return await self._add_key(lambda: self._load_living(name), request_key, prepare)

    async def _revoke(self, _request, request_key, name, key):
        tenant = await self._end_key(lambda: self._load(name), key, request_key, 0)
        return 204, None, tenant.version

    async def _admin_keys(self, _request, _key):
        tenant, _stamp = await self._administrators()
        return await self._keys_of(tenant)

    async def _new_admin_key(self, request, request_key):
        return await self._make_key(self._administrators, request, request_key, ADMIN_SCOPES)

    async def _revoke_admin_key(self, _request, request_key, key):
        tenant = await self._end_key(self._administrators, key, request_key, 0)
        return 204, None, tenant.version


def view(tenant):
    """Returns the administrators' view of a tenant."""
    return TenantView(
        tenant.name,
        tenant.number,
        tenant.state,
        tenant.version,
        tenant.running,
        tenant.teams,
        tenant.limits,
        tenant.weight,
    )
