"""Simulates a hosted deployment: gateways, an administrator, and the tenants' users."""

import json
import random

import msgspec

from roadhead.gateway.gateway import Gateway
from roadhead.local.user import EmulatedUser
from roadhead.runtime.loop import Timeout
from roadhead.tenants import ids
from roadhead.tenants.admission_controller import TenantAdmissionController
from roadhead.tenants.keys import Secrets
from roadhead.tenants.settings import Hosted
from roadhead.wire.http import HttpClient, NoResponseError

MASTER = b"a master secret of a virtual world"
LIMITS_SETTLE_S = 15.0  # time within which every start sent before a change of limits has arrived
TENANT_FIELDS = {  # fields of a scenario's job -> their names in the tenants' API
    "jobclass": "class",
    "crew": "team",
    "shape": "kind",
    "urgency": "priority",
    "legs": "tasks",
    "vcpus": "cpus",
    "gpus": "gpus",
    "ramGb": "memory_gb",
    "kit": "image",
    "sizeGb": "image_gb",
    "rigs": "types",
    "paddock": "zone",
    "together": "same_zone",
    "scatter": "spread",
    "loaners": "spot",
    "expectS": "expected_s",
    "musterS": "checkpoint_s",
    "stowS": "save_s",
    "dueS": "due_s",
}


class Tenancy:
    """The gateways of a world, and its administrator.

    `numbers` and `keys` are the tenants' numbers and API keys by name, `limits` their limits by number;
    `removed_at` and `changed_at` are the times, by number, at which a removal or new limits were confirmed.
    """

    def __init__(self, world, gateways):
        self.world = world
        state = world.settings["state"]
        self._hosted = [
            msgspec.convert(
                {
                    "secret_file": "",
                    "master": MASTER,
                    "gateways": gateways,
                    "slots": world.options["slots"],
                    "preempt": bool(world.options["preempt"]),
                    "gateway": {"tenants": f"10.3.0.{n + 1}:8090", "administration": f"10.3.0.{n + 1}:8091"},
                    "cluster": {
                        "state": "10.2.0.1:2379",
                        "controllers": dict(zip(world.labels, world.fronts, strict=True)),
                        **state,
                    },
                },
                Hosted,
            )
            for n in range(gateways)
        ]
        self.root = Secrets(MASTER).root_key()
        self.numbers, self.keys, self.limits, self.removed_at = {}, {}, {}, {}
        self._last_actions = {}  # tenant -> the routine of the last action on it
        self.changed_at = {}
        self.gateways = {}
        for number in range(gateways):
            self.start(number)

    def start(self, number):
        """Starts a gateway, unless it runs."""
        if number in self.gateways:
            return
        host = f"10.3.0.{number + 1}"
        loop = self.world.host_loop(host)
        self.gateways[number] = Gateway(
            loop,
            self.world.network.host(host, loop),
            self._hosted[number],
            random.Random(self.world.sim.random.random()),
            self.time_of_day,
        )
        self.gateways[number].start()

    def crash(self, number, back_after):
        """Kills a gateway and starts it again later."""
        self.world.network.kill(f"10.3.0.{number + 1}")
        self.gateways.pop(number, None)
        self.world.sim.call_later(back_after, self.start, number)

    def time_of_day(self):
        """Returns the simulated Unix time."""
        return 1e9 + self.world.sim.time

    def tenant_admission(self, loop):
        """Returns a controller's tenant admission."""
        return TenantAdmissionController(loop, self._hosted[0], self.time_of_day)

    async def ask(self, kind, method, path, body, key, timeout=5.0, headers=()):
        """Sends a request to a random live gateway; returns (status, body), or (0, None) without a response.

        `kind` is the API, `tenants` or `administration`.
        """
        world = self.world
        if not self.gateways:
            return 0, None
        gateway = self._hosted[world.sim.random.choice(list(self.gateways))].gateway
        client = HttpClient(world.user_loop, world.user_net, getattr(gateway, kind), 0)
        data = json.dumps(body).encode() if body is not None else b""
        try:
            status, data, _ = await client.request(
                method,
                path,
                data,
                timeout,
                [("Authorization", f"Bearer {key}"), ("Accept", "application/json"), *headers],
                "application/json",
            )
        except (NoResponseError, Timeout):
            return 0, None
        return status, (json.loads(data) if data else None)

    async def administrate(self, method, path, body=None, headers=()):
        """Repeats an administration request, with one idempotency key, until its response is final."""
        key = f"{self.world.sim.random.random():.12f}"
        while True:
            status, answer = await self.ask(
                "administration",
                method,
                f"/admin/v1/{path}",
                body,
                self.root,
                headers=[("Idempotency-Key", key), *headers],
            )
            if status not in (0, 503):
                return status, answer
            await self.world.user_loop.sleep(0.5)

    def in_turn(self, verb, name, *words):
        """Executes a scenario's action after all earlier ones on the same tenant."""
        before = self._last_actions.get(name)

        async def run_action():
            if before is not None:
                await before.done
            await self.do(verb, name, *words)

        self._last_actions[name] = self.world.user_loop.spawn(run_action(), verb)

    async def do(self, verb, name, *words):
        """Executes a scenario's action; verbs are `tenant`, `limits`, `suspend`, `resume` and `remove`."""
        if verb == "tenant":
            body = self._tenant_body(words)
            status, answer = await self.administrate("POST", "tenants", {"name": name, **body})
            assert status == 201, (status, answer)
            self.numbers[name] = answer["number"]
            self.limits[answer["number"]] = body
            status, answer = await self.administrate(
                "POST", f"tenants/{name}/keys", {"scopes": ["read", "submit", "cancel"]}
            )
            assert status == 201, (status, answer)
            self.keys[name] = answer["key"]
            return
        if verb == "limits":
            body, status = self._tenant_body(words), 412
            while status == 412:  # the tenant changed since it was read
                _status, answer = await self.administrate("GET", f"tenants/{name}")
                status, answer = await self.administrate(
                    "PATCH", f"tenants/{name}", body, [("If-Match", f'"{answer["version"]}"')]
                )
            self.limits[self.numbers[name]] = body
            self.changed_at[self.numbers[name]] = self.world.sim.time
        elif verb == "remove":
            for user in self.world.users.values():
                user.has_requested_cancel |= getattr(user, "tenant", None) == name
            status, answer = await self.administrate("DELETE", f"tenants/{name}")
            self.removed_at[self.numbers[name]] = self.world.sim.time
        else:
            body = {"running": words[0]} if words else {}
            status, answer = await self.administrate("POST", f"tenants/{name}/{verb}", body)
        assert status in (200, 202), (status, answer)

    @staticmethod
    def _tenant_body(words):
        """Returns the request body for words such as
        `cpus=8 weight=2 submissions=5 team=letters:cpus=4:cpus_max=6`.

        Without a team, the body has the team `crew`.
        """
        teams, limits, body = [], {}, {}
        for word in words:
            name, value = word.split("=", 1)
            if name == "team":
                own, *amounts = value.split(":")
                teams.append(
                    {"name": own, **{part.split("=")[0]: float(part.split("=")[1]) for part in amounts}}
                )
            elif name == "weight":
                body["weight"] = float(value)
            else:
                limits[name] = int(value) if name in ("open_jobs", "waiting_tasks") else float(value)
        return {"teams": teams or [{"name": "crew"}], "limits": limits, **body}

    def check_limits(self, started, running):
        """Returns the tenant or (tenant, team) that exceeds its limit now that a task has started, or None.

        Nothing is checked until `LIMITS_SETTLE_S` after a change of limits, as starts may still be under way.
        Tasks that ran before a limit was lowered may run to their end.
        """
        job = self.world.job_of(started)
        number = self.numbers.get(job.get("tenant"))
        if (
            number is None
            or self.world.sim.time < self.changed_at.get(number, -LIMITS_SETTLE_S) + LIMITS_SETTLE_S
        ):
            return None
        body = self.limits[number]
        tenant = team = 0.0
        for task in running:
            other = self.world.job_of(task)
            if other.get("tenant") == job["tenant"]:
                tenant += other["vcpus"]
                team += other["vcpus"] * (other["crew"] == job["crew"])
        if (max_cpus := body["limits"].get("cpus")) and tenant > max_cpus + 1e-6:
            return job["tenant"]
        max_cpus = next((own.get("cpus_max") for own in body["teams"] if own["name"] == job["crew"]), 0)
        return (job["tenant"], job["crew"]) if max_cpus and team > max_cpus + 1e-6 else None

    def stored_keys(self, number):
        """Returns the stored keys that belong to a tenant's jobs."""
        return [
            key
            for key in self.world.state.data
            if key.startswith(tuple(place + ids.prefix(number) for place in ("j/", "f/", "c/x/")))
        ]


class TenantUser(EmulatedUser):
    """A user of a tenant: submits and polls through the gateways, by the tenant's own job id."""

    def __init__(self, world, job, own):
        super().__init__(world, job)
        self.tenant, self.own = job["tenant"], own
        self.first_accepted_at = self.refused_with = None

    def _front(self, via):
        return "gateway"

    async def _send(self, method, path, body, timeout, front):
        path = path.replace(self.id, self.own)
        if body is not None:
            body = {
                "id": self.own,
                **{TENANT_FIELDS[name]: value for name, value in body.items() if name in TENANT_FIELDS},
            }
            body = {name: value for name, value in body.items() if value is not None}
        tenancy = self.world.tenancy
        status, answer = await tenancy.ask("tenants", method, path, body, tenancy.keys[self.tenant], timeout)
        if status in (200, 201):
            if answer["id"] != self.own:
                self.world.record_violation(
                    "invented", f"the response for job {self.own} has the id {answer['id']}"
                )
            self.first_accepted_at = self.first_accepted_at or self.world.sim.time
        elif status in (401, 403, 410):
            self.refused_with = status
            self.has_given_up = True
        return status, answer

    @property
    def may_be_removed(self):
        return bool(self.world.tenancy.removed_at)
