"""Tenants: records, rates and fair sharing in isolation, then all of it through gateways and controllers."""

import json
import math
import random

import cbor2
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from job_specs import job_spec
from openapi_spec_validator import validate

from roadhead.gateway.watch import PREFIX as WATCHED_PREFIX
from roadhead.jobs.job import Binding, Job
from roadhead.jobs.recorder import Recorder
from roadhead.jobs.teams import Account, Accounts
from roadhead.jobs.write_queue import URGENT
from roadhead.local.expectations import tenants_told
from roadhead.local.sim import Sim
from roadhead.local.world import World
from roadhead.runtime.rate import Bucket
from roadhead.settings import SettingsError
from roadhead.telemetry import Counters
from roadhead.tenants import admission, ids, records
from roadhead.tenants import settings as hosted_settings
from roadhead.tenants.admission_controller import TenantAdmissionController
from roadhead.tenants.keys import Secrets, split_key
from roadhead.tenants.preemption import Preemption
from roadhead.tenants.removal import Removal
from roadhead.tenants.table import TenantTable
from roadhead.tenants.teams import FairShare, TenantTeams, dominant_share
from roadhead.wire import frames
from roadhead.wire.http import HttpClient

fixed = settings(derandomize=True, database=None, max_examples=100, deadline=None)
tenant_job_ids = st.text(ids.ALPHABET, min_size=1, max_size=ids.LONGEST)


@fixed
@given(st.integers(0, ids.MOST_TENANTS), tenant_job_ids, tenant_job_ids)
def test_tenant_job_ids_map_one_to_one_to_service_ids(number, first, second):
    job = ids.to_job(number, first)
    assert ids.from_job(job) == (number, first)
    assert len(job) == 34 and job[4:].isdigit()
    assert (ids.to_job(number, second) == job) == (first == second)


@pytest.mark.parametrize("bad", ["", "A", "a b", "a" * 16, "req/1", "ä"])
def test_invalid_ids_are_rejected(bad):
    with pytest.raises(ValueError):
        ids.to_job(1, bad)
    assert ids.from_job("req-000412") is None


def tenant(**fields):
    return records.Tenant(1, "kestrel", **fields)


@pytest.mark.parametrize(
    "change",
    [
        {"teams": [records.Team("a"), records.Team("a")]},
        {"teams": [records.Team("Ä")]},
        {"teams": [records.Team("a", cpus=4, cpus_max=2)]},
        {"weight": 0.0},
        {"weight": float("nan")},
        {"teams": [records.Team("a", cpus=4), records.Team("b", cpus=4)], "limits": records.Limits(cpus=6)},
        {"limits": records.Limits(submissions=0)},
        {"limits": records.Limits(cpus=-1)},
        {"name": "-x"},
    ],
)
def test_inconsistent_tenant_records_are_rejected(change):
    with pytest.raises(records.InvalidTenantError):
        records.Tenant(**{"number": 1, "name": "kestrel", **change}).check()


def test_transitions():
    active = tenant(keys=[records.Key(1, "d", ["read"])])
    suspended = records.transition(active, "suspend", "k", running="stop")
    assert (suspended.state, suspended.running, suspended.version) == ("suspended", "stop", 2)
    assert records.transition(suspended, "suspend", running="stop") is suspended
    removing = records.transition(suspended, "remove")
    assert removing.state == "removing" and removing.keys == []
    assert records.transition(removing, "resume") is None and records.transition(active, "bury") is None
    removed = records.transition(removing, "bury")
    assert removed.to_record() == {
        "number": 1,
        "name": "kestrel",
        "state": "removed",
        "version": 4,
        "limits": {},
    }
    assert records.from_record(removed.to_record()) == removed
    assert records.from_record({**active.to_record(), "colour": "red"}) == active


def test_keys_are_stored_as_digests_and_signatures_expire():
    keys = Secrets(b"m" * 32)
    text, digest = keys.new_key(7, 3, "again")
    assert keys.new_key(7, 3, "again") == (text, digest) != keys.new_key(7, 4, "again")
    assert split_key(text) == (7, 3) and split_key("rh-7-3-xyz") is None
    assert digest not in text and text.rpartition("-")[2] not in digest
    assert keys.matches(text, records.Key(3, digest, []))
    assert not keys.matches(text, None) and not Secrets(b"n" * 32).matches(text, records.Key(3, digest, []))
    signature = keys.sign("POST", "/v1/jobs", b"body", 1000.0)
    assert keys.is_signature_valid(signature, "POST", "/v1/jobs", b"body", 1050.0)
    for now, body, value in (
        (1200.0, b"body", signature),
        (1000.0, b"other", signature),
        (1000.0, b"body", None),
        (1000.0, b"body", "x:y"),
        (1000.0, b"body", "nan:"),
    ):
        assert not keys.is_signature_valid(value, "POST", "/v1/jobs", body, now)


def test_submission_rates_are_limited_with_a_retry_time():
    sim = Sim(1)
    rates = admission.SubmissionRates(sim)
    slow = tenant(limits=records.Limits(submissions=0.5))
    assert [rates.take(slow) for _ in range(5)] == [None] * 5
    refusal = rates.take(slow)
    assert (refusal.status, refusal.retry_after) == (429, 3)
    sim.time += 2.5
    assert rates.take(slow) is None and rates.take(slow).status == 429
    for number in range(admission.MAX_BUCKETS + 10):
        rates.take(records.Tenant(number + 10, "t"))
    assert len(rates._buckets) == admission.MAX_BUCKETS


def test_one_tenant_cannot_use_all_creations():
    assert [admission.creation_refusal(count, 8, False) is None for count in (0, 1, 2)] == [True, True, False]
    assert [admission.creation_refusal(count, 8, True) is None for count in (2, 3, 4)] == [True, True, False]
    assert (
        admission.creation_refusal(0, 1, False) is None
        and admission.creation_refusal(1, 1, True).status == 429
    )


def test_creations_within_a_guarantee_are_written_first():
    sim = Sim(1)
    member = type("Member", (), {"term": None})
    state = type(
        "State",
        (),
        {
            "limits": type("L", (), {"txn_ops": 16}),
            "batch": 2,
            "writes": Bucket(sim, 6.0, 6.0),
            "answers": None,
        },
    )
    guards = type("Guards", (), {"exceeds_guarantee": staticmethod(lambda job: job.spec.team == "1/b")})
    recorder = Recorder(sim, state, 1.0, None, None, None, None, member, guards, Counters())
    jobs = [
        Job(
            job_spec(f"req-{number}", team=team, estimate_s=1.0),
            ("here", 1),
            0.0,
        )
        for number, team in enumerate(("1/b", "1/b", "1/a", "1/b", "1/a"))
    ]
    for job in jobs:
        recorder.schedule_write(job, URGENT)
    assert [job.spec.team for job in recorder._batch()] == ["1/a", "1/a"]


HOSTED = """
secret_file = "secret"
[gateway]
tenants = "127.0.0.1:8090"
administration = "127.0.0.1:8091"
[cluster]
state = "127.0.0.1:2379"
rps = 100
write_rps = 20
value_kb = 8
txn_ops = 16
[cluster.controllers]
a = "127.0.0.1:8080"
"""


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("[gateway]", "colour = 1\n[gateway]"),
        ("[gateway]", "slots = 0\n[gateway]"),
        ("8091", "8090"),
        ("127.0.0.1:8080", "here"),
        ("rps = 100", "rps = -1"),
        ("rps = 100", "rps = nan"),
        ("[cluster.controllers]", '[cluster.controllers]\nb = "127.0.0.1:8080"'),
        ("state =", "store ="),
        ('secret_file = "secret"', 'secret_file = "secret"\nsecret_file = "other"'),
    ],
)
def test_invalid_hosted_files_give_one_line_per_fault(old, new, tmp_path):
    with pytest.raises(SettingsError) as error:
        hosted_settings.parse(HOSTED.replace(old, new, 1).encode())
    assert all("\n" not in fault for fault in error.value.faults)
    file = tmp_path / "hosted.toml"
    file.write_text(HOSTED)
    (tmp_path / "secret").write_text("short")
    with pytest.raises(SettingsError, match="32 bytes"):
        hosted_settings.load(str(file))


# Fair sharing between tenants and teams


class WaitingJob:
    """Stub of a waiting job: what `FairShare` reads and sets."""

    def __init__(self, team, count, need=(1.0, 0.0, 2.0)):
        self.spec = self
        self.team, self.resources, self.count, self.queue_position = team, need, count, 5.0
        self.within_guarantee = self.round_allowance = 0
        self.borrowed_position = 0.0

    def startable(self):
        return self.count


def make_fair_share(teams, held):
    """Returns a FairShare and its accounts.

    `teams`: {tenant: (weight, {team: guaranteed CPUs})}; `held`: {service-wide team name: CPUs in use}.
    """
    table = TenantTable()
    for number, (weight, own) in teams.items():
        record = records.Tenant(
            number,
            f"t{number}",
            weight=weight,
            teams=[records.Team(name, cpus=cpus) for name, cpus in own.items()],
        )
        table.take(records.tenant_key(number), record.to_record(), number)
    accounts = Accounts(TenantTeams(table))
    for name, cpus in held.items():
        account = accounts._accounts[name] = Account()
        account.held, account.tasks = (cpus, 0.0, 2 * cpus), 1
    return FairShare(TenantTeams(table), accounts, lambda: (100.0, 0.0, 400.0), 1e6, 1e7), accounts


def test_work_within_a_guarantee_precedes_borrowing_work():
    fair_share, _ = make_fair_share({1: (1.0, {"a": 10}), 2: (1.0, {"b": 0})}, {"1/a": 7.0})
    guaranteed, borrowing = WaitingJob("1/a", 8), WaitingJob("2/b", 8)
    fair_share.assign_positions([borrowing, guaranteed])
    assert (guaranteed.within_guarantee, guaranteed.round_allowance, guaranteed.queue_position) == (
        3,
        3,
        5.0,
    ) and guaranteed.borrowed_position >= 1e6
    assert (borrowing.within_guarantee, borrowing.queue_position) == (0, 1e6)


@fixed
@given(
    st.dictionaries(st.integers(1, 6), st.sampled_from([0.5, 1.0, 2.0, 4.0]), min_size=2, max_size=6),
    st.integers(20, 300),
    st.integers(0, 1000),
)
def test_borrowed_capacity_converges_to_weighted_shares(weights, capacity, seed):
    """Progressive filling: a tenant exceeds its share by a quantum at most, so it ends within one of it."""
    held = dict.fromkeys((f"{number}/x" for number in weights), 0.0)
    rng = random.Random(seed)
    capacity = min(capacity, 100)
    for _ in range(capacity * 2):
        teams = {number: (weight, {"x": 0}) for number, weight in weights.items()}
        fair_share, _ = make_fair_share(teams, held)
        jobs = [WaitingJob(name, 10_000) for name in held]
        rng.shuffle(jobs)
        fair_share.assign_positions(jobs)
        first = min(jobs, key=lambda job: job.queue_position)
        count = min(first.round_allowance, capacity - int(sum(held.values())))
        if count <= 0:
            break
        held[first.team] += count
    assert sum(held.values()) == capacity
    total = sum(weights.values())
    for number, weight in weights.items():
        assert abs(held[f"{number}/x"] - capacity * weight / total) <= 1.6 * weight + 2


def test_dominant_share():
    assert dominant_share((10.0, 0.0, 100.0), (100.0, 0.0, 400.0)) == 0.25
    assert dominant_share((1.0, 1.0, 0.0), (100.0, 0.0, 400.0)) == 1.0


# Through gateways and controllers in virtual time


class GatewayClient:
    """Sends requests to a gateway of a simulated deployment, one after another."""

    def __init__(self, text="", seed=1):
        self.world = World(f"gateways 2\nseed {seed}\n{text}\nuntil 100000")
        self.world.sim.run_until(8.0)
        self.tenancy = self.world.tenancy

    def __call__(self, kind, method, path, body=None, key=None, headers=()):
        return self.finish(
            self.tenancy.ask(
                kind, method, path, body, self.tenancy.root if key is None else key, headers=headers
            )
        )

    def finish(self, coroutine):
        routine = self.world.user_loop.spawn(coroutine, "call")
        for _ in range(4000):
            if routine.done.done:
                return routine.done.result()
            self.world.sim.run_until(self.world.sim.time + 0.01)
        raise AssertionError("the request did not finish within 40 s of virtual time")

    def admin(self, method, path, body=None, key=None, **headers):
        headers = [(name.replace("_", "-"), value) for name, value in headers.items()]
        return self("administration", method, f"/admin/v1/{path}", body, key, headers)

    def wait(self, seconds):
        self.world.sim.run_until(self.world.sim.time + seconds)


def test_administration_from_creation_to_removal():
    call = GatewayClient()
    new = {"name": "kestrel", "teams": [{"name": "crew", "cpus": 2}], "limits": {"cpus": 8}}
    status, made = call.admin("POST", "tenants", new, Idempotency_Key="one")
    assert (status, made["state"], made["number"], made["version"]) == (201, "active", 1, 1)
    assert call.admin("POST", "tenants", new, Idempotency_Key="one") == (201, made)
    assert call.admin("POST", "tenants", new)[0] == 409
    assert call.admin("POST", "tenants", {"name": "kestrel2", "limits": {"cpus": -1}})[0] == 422
    status, problem = call.admin("POST", "tenants", {**new, "name": "other", "limits": {"cpus": 1}})
    assert status == 422 and "guarantees" in problem["faults"][0]
    assert call.admin("POST", "tenants", {"nmae": "x"})[0] == 400
    assert call.admin("GET", "tenants/nobody")[0] == 404
    change = {"limits": {"cpus": 10}}
    assert call.admin("PATCH", "tenants/kestrel", change)[0] == 428
    assert call.admin("PATCH", "tenants/kestrel", change, If_Match='"7"')[0] == 412
    status, changed = call.admin("PATCH", "tenants/kestrel", change, If_Match='"1"', Idempotency_Key="two")
    assert status == 200 and changed["limits"]["cpus"] == 10 and changed["version"] == 2
    again = call.admin("PATCH", "tenants/kestrel", change, If_Match='"1"', Idempotency_Key="two")
    assert again == (200, changed)
    assert call.admin("POST", "tenants/kestrel/suspend", {"running": "stop"})[1]["state"] == "suspended"
    assert call.admin("POST", "tenants/kestrel/resume")[1]["state"] == "active"
    for number in range(3):
        assert call.admin("POST", "tenants", {"name": f"more{number}"})[0] == 201
    call.wait(2)
    status, page = call.admin("GET", "tenants?limit=2")
    assert [row["name"] for row in page["tenants"]] == ["kestrel", "more0"] and page["next"] == "2"
    assert len(call.admin("GET", "tenants?limit=2&after=2")[1]["tenants"]) == 2
    assert call.admin("DELETE", "tenants/kestrel")[0] == 202
    assert call.admin("PATCH", "tenants/kestrel", change, If_Match='"5"')[0] == 410
    call.wait(80)
    assert call.admin("GET", "tenants/kestrel")[0] == 410
    status, again = call.admin("POST", "tenants", new, Idempotency_Key="three")
    assert (status, again["number"]) == (201, 5)
    for document in (
        call.admin("GET", "openapi.json", key=""),
        call("tenants", "GET", "/v1/openapi.json", key=""),
    ):
        validate(document[1])


def test_keys_are_created_rotated_and_revoked_on_all_gateways():
    call = GatewayClient()
    call.admin("POST", "tenants", {"name": "kestrel", "teams": [{"name": "crew"}]})
    status, first = call.admin("POST", "tenants/kestrel/keys", {"scopes": ["read"]}, Idempotency_Key="a")
    assert status == 201
    again = call.admin("POST", "tenants/kestrel/keys", {"scopes": ["read"]}, Idempotency_Key="a")
    assert again == (201, first)
    assert call.admin("POST", "tenants/kestrel/keys", {"scopes": ["everything"]})[0] == 422
    call.wait(2)
    assert call("tenants", "GET", "/v1/jobs", key=first["key"]) == (200, {"jobs": [], "next": None})
    job = {"id": "a", "team": "crew", "class": "c"}
    assert call("tenants", "POST", "/v1/jobs", job, first["key"])[0] == 403
    status, second = call.admin("POST", f"tenants/kestrel/keys/{first['id']}/rotate", {"overlap_s": 20})
    assert status == 201 and second["key"] != first["key"] and second["scopes"] == ["read"]
    call.wait(2)
    assert all(call("tenants", "GET", "/v1/jobs", key=key["key"])[0] == 200 for key in (first, second))
    call.wait(20)
    over = call("tenants", "GET", "/v1/jobs", key=first["key"])
    assert call.admin("DELETE", f"tenants/kestrel/keys/{second['id']}")[0] == 204
    call.wait(2)
    revoked = call("tenants", "GET", "/v1/jobs", key=second["key"])
    unknown = call("tenants", "GET", "/v1/jobs", key="rh-4711-1-" + "0" * 48)
    assert over == revoked == unknown == call("tenants", "GET", "/v1/jobs", key="") and over[0] == 401
    # A tenant's key is invalid for the administration API, and an administrator's key for the tenants' API.
    assert call.admin("GET", "tenants", key=first["key"])[0] == 401
    status, admin = call.admin("POST", "administrators/keys", {"scopes": ["tenants:read"]})
    assert status == 201
    call.wait(2)
    assert call.admin("GET", "tenants", key=admin["key"])[0] == 200
    assert call.admin("POST", "tenants", {"name": "xx"}, key=admin["key"])[0] == 403
    assert call("tenants", "GET", "/v1/jobs", key=admin["key"])[0] == 401
    stored = json.dumps(call.world.state.data, default=str)
    assert not any(key["key"].rpartition("-")[2] in stored for key in (first, second, admin))


def test_a_gateway_with_stale_tenant_records_answers_503():
    call = GatewayClient()
    call.finish(call.tenancy.do("tenant", "kestrel", "team=crew"))
    call.wait(2)
    key = call.tenancy.keys["kestrel"]
    for host in ("10.3.0.1", "10.3.0.2"):
        call.world.state.refuse(host, 1e9)
    # The tenant records are still fresh enough, and the controllers answer.
    assert call("tenants", "GET", "/v1/jobs/x", key=key)[0] == 404
    call.wait(25)
    assert call("tenants", "GET", "/v1/jobs/x", key=key)[0] == 503
    call.world.state.refused_until.clear()
    call.wait(12)  # a watch opened during the refusal must time out first
    assert call("tenants", "GET", "/v1/jobs/x", key=key)[0] == 404


REFUSED_GATEWAY = 1
NEW_JOB = {"id": "a", "team": "letters", "class": "c", "expected_s": 500.0}


class TwoGateways(GatewayClient):
    """Sends requests to one gateway or the other; the state service refuses the second on request."""

    def __init__(self, *teams):
        super().__init__("capacity 4")
        self.finish(self.tenancy.do("tenant", "kestrel", *(f"team={team}" for team in teams)))
        self.wait(2)
        self.key = self.tenancy.keys["kestrel"]

    def refuse(self):
        """From now on the state service refuses the second gateway alone."""
        self.world.state.refuse(f"10.3.0.{REFUSED_GATEWAY + 1}", 1e9)

    def via(self, number, *request, **options):
        """Returns the answer of one gateway."""
        gateways = self.tenancy.gateways
        self.tenancy.gateways = {number: gateways[number]}
        try:
            return self(*request, **options)
        finally:
            self.tenancy.gateways = gateways

    def administrate(self, action, body=None):
        """Does something to the tenant through the first gateway."""
        version = self.via(0, "administration", "GET", "/admin/v1/tenants/kestrel")[1]["version"]
        headers = [("If-Match", f'"{version}"')]
        method, path = ("PATCH", "") if action == "teams" else ("POST", f"/{action}")
        path = f"/admin/v1/tenants/kestrel{path}"
        assert self.via(0, "administration", method, path, body, headers=headers)[0] == 200
        self.wait(1)

    def set_teams(self, *teams):
        """Gives the tenant these teams in place of those that it has."""
        self.administrate("teams", {"teams": [{"name": team} for team in teams]})

    def submit(self, number, job=NEW_JOB):
        """Returns the status of a submission through one gateway."""
        return self.via(number, "tenants", "POST", "/v1/jobs", job, self.key)[0]


def test_a_refused_gateway_answers_the_repeat_of_an_accepted_submission():
    """It answered 422 for a team that was added meanwhile, by its own table (review/6, rule forgotten)."""
    call = TwoGateways("crew")
    call.refuse()
    call.set_teams("crew", "letters")
    assert call.submit(0) == 201
    assert call.submit(REFUSED_GATEWAY) == 200


@pytest.mark.parametrize("refused", [False, True])
def test_the_repeat_of_a_job_is_answered_though_its_team_is_gone(refused):
    call = TwoGateways("crew", "letters")
    assert call.submit(0) == 201
    if refused:
        call.refuse()
    call.set_teams("crew")
    assert [call.submit(number) for number in (0, REFUSED_GATEWAY)] == [200, 200]
    assert call.submit(0, {**NEW_JOB, "id": "b"}) == 422
    assert call.submit(REFUSED_GATEWAY, {**NEW_JOB, "id": "b"}) == 422
    call.set_teams("crew", "letters")
    assert [call.submit(number) for number in (0, REFUSED_GATEWAY)] == [200, 200]


@pytest.mark.parametrize("refused", [False, True])
def test_the_repeat_of_a_job_is_answered_though_its_tenant_is_suspended(refused):
    call = TwoGateways("letters")
    assert call.submit(0) == 201
    if refused:
        call.refuse()
    call.administrate("suspend", {})
    assert [call.submit(number) for number in (0, REFUSED_GATEWAY)] == [200, 200]
    assert call.submit(REFUSED_GATEWAY, {**NEW_JOB, "id": "b"}) == 403
    call.administrate("resume")
    assert [call.submit(number) for number in (0, REFUSED_GATEWAY)] == [200, 200]


CONDITIONS = {
    "the state service refuses a gateway": lambda call: call.refuse(),
    "the state service is slow": lambda call: call.world.do(["slow-state", "0.8", "1e9"]),
    "a gateway is cut off from the state service": lambda call: call.world.network.cut(
        f"10.3.0.{REFUSED_GATEWAY + 1}", "10.2.0.1", "hold"
    ),
    "a controller ends after each change": lambda call: None,
}


@pytest.mark.parametrize("condition", CONDITIONS)
def test_the_repeat_of_a_job_is_never_refused_whatever_changes(condition):
    """After each change of its tenant; 503 is allowed for a while, but no answer that users take as final."""
    call = TwoGateways("crew", "letters")
    assert call.submit(0) == 201
    CONDITIONS[condition](call)
    changes = [
        lambda: call.set_teams("crew", "letters", "post"),
        lambda: call.set_teams("crew"),
        lambda: call.set_teams("crew", "letters"),
        lambda: call.set_teams("crew", "mail"),  # the team was renamed
        lambda: call.administrate("suspend", {}),
        lambda: call.administrate("resume"),
    ]
    for number, change in enumerate(changes):
        change()
        if "controller" in condition:
            call.world.crash(number % 3)
        for gateway in (0, REFUSED_GATEWAY):
            answers = []
            while not answers or (answers[-1] == 503 and len(answers) < 30):
                answers.append(call.submit(gateway))
                call.wait(1)
            assert answers[-1] == 200 and set(answers) <= {200, 503}, (number, gateway, answers)


def test_a_gateway_that_lags_behind_accepts_a_job_of_a_new_team():
    call = TwoGateways("crew")
    call.refuse()
    call.set_teams("crew", "letters")
    assert call.submit(REFUSED_GATEWAY) == 201


def test_controllers_accept_requests_of_gateways_only():
    call = GatewayClient()
    for path in ("/v1/jobs/req-000001", "/v1/summary", "/v1/tenants/1"):
        status, _data, _headers = call.finish(_unsigned_request(call.world, path))
        assert status == 401


async def _unsigned_request(world, path):
    return await HttpClient(world.user_loop, world.user_net, world.fronts[0], 0).request("GET", path)


# Isolation: a tenant's answers do not depend on other tenants

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["submit", "submit", "status", "cancel", "list", "summary", "bad", "wrong"]),
        st.sampled_from(["a", "b", "c-1"]),
        st.integers(1, 3),
    ),
    min_size=6,
    max_size=14,
)


def first_tenant_answers(steps, others):
    """The first tenant's answers at each of its steps.

    `others`: the steps of a second tenant, or None without one.
    """
    call = GatewayClient("capacity 12\nboot_s 3")
    call.finish(call.tenancy.do("tenant", "kestrel", "team=crew:cpus=8"))
    if others is not None:
        call.finish(call.tenancy.do("tenant", "laenuvara", "team=crew", "team=secretteam"))
    call.wait(3)
    answers = []
    for number, step in enumerate(steps):
        if others is not None:
            _run_step(call, "laenuvara", others[number % len(others)], "secretteam")
        answers.append(_run_step(call, "kestrel", step, "crew"))
        # The same times in both worlds, however long the second tenant's requests took.
        call.world.sim.run_until(20.0 + 3 * (number + 1))
    return answers


def _run_step(call, name, step, team):
    verb, own, tasks = step
    key = call.tenancy.keys[name]
    if verb == "submit":
        return call(
            "tenants",
            "POST",
            "/v1/jobs",
            {"id": own, "team": team, "class": "c", "tasks": tasks, "expected_s": 1000.0},
            key,
        )
    if verb == "bad":
        return call("tenants", "POST", "/v1/jobs", {"id": own, "team": "nobody", "class": "c"}, key)
    if verb == "wrong":
        return call("tenants", "GET", f"/v1/jobs/{own}", None, key[:-1] + "x")
    if verb == "cancel":
        return call("tenants", "POST", f"/v1/jobs/{own}/cancel", None, key)
    path = {"status": f"/v1/jobs/{own}", "list": "/v1/jobs", "summary": "/v1/summary"}[verb]
    return call("tenants", "GET", path, None, key)


def _without_timing(answer):
    """The answer without what depends on when machines boot, which varies between the two worlds."""
    text = json.dumps(answer)
    assert "secretteam" not in text and "laenuvara" not in text
    status, body = answer
    body = json.loads(json.dumps(body))
    for part in (body, *body.get("jobs", ()), *body.get("teams", ())):
        for name in ("running", "cpus", "memory_gb", "tasks", "waiting_tasks"):
            part.pop(name, None)
        if part.get("status") == "running":
            part["status"] = "pending"
    return status, body


@settings(
    derandomize=True, database=None, max_examples=6, deadline=None, suppress_health_check=list(HealthCheck)
)
@given(STEPS, STEPS)
def test_a_tenant_gets_the_same_answers_whether_or_not_another_exists(steps, others):
    alone = [_without_timing(answer) for answer in first_tenant_answers(steps, None)]
    beside = [_without_timing(answer) for answer in first_tenant_answers(steps, others)]
    assert alone == beside


# Removal of a tenant survives the end of the controller that carries it out

REMOVAL = """
capacity 6
at 2 tenant kestrel team=crew
at 2 tenant laenuvara team=crew
at 6 submit tenant=laenuvara id=a count=24 legs=1 runS=300
at 6 submit tenant=kestrel id=a count=3 legs=2 runS=10
at 9 submit tenant=laenuvara id=short count=12 legs=1 runS=2
at 30 remove laenuvara
until 300
gateways 1
"""


@pytest.mark.parametrize("step", range(1, 8))
def test_a_removal_is_finished_by_another_controller(step):
    """The controller that runs the removal crashes right after its nth step; another one must finish it."""
    world = World(REMOVAL)
    taken = 0
    with pytest.MonkeyPatch.context() as patch:
        for name in ("_cancel", "_drop", "_bury"):
            real = getattr(Removal, name)

            async def crash_after_step(self, *args, real=real):
                nonlocal taken
                spent = await real(self, *args)
                taken += 1
                if taken == step:
                    number = next(n for n, node in world.nodes.items() if node is self._node)
                    world.sim.call_soon(world.crash, number, 12.0)
                return spent

            patch.setattr(Removal, name, crash_after_step)
        world.run()
    assert taken >= step
    assert world.violations == []
    assert world.state.data[records.tenant_key(world.tenancy.numbers["laenuvara"])][0]["state"] == "removed"
    assert world.tenancy.stored_keys(world.tenancy.numbers["laenuvara"]) == []
    assert tenants_told(world, "kestrel", "done") == []


LATE = """
gateways 1
capacity 6
at 2 tenant laenuvara team=crew
at 6 submit tenant=laenuvara id=a count=3 legs=2 runS=200
at 29.5 late-write 70
at 29.6 submit tenant=laenuvara id=b count=4 legs=2 runS=200
at 30.2 remove laenuvara
until 200
"""


@pytest.mark.parametrize("guarded", [True, False])
def test_no_job_is_created_after_its_tenant_was_removed_by_a_late_write(guarded):
    """A creation is conditional on the revision of the tenant's record. Without that condition a creation
    that is applied late leaves a job behind after its tenant was removed."""
    left = []
    for seed in range(1, 9):
        world = World(f"{LATE}\nseed {seed}")
        with pytest.MonkeyPatch.context() as patch:
            if not guarded:
                patch.setattr(TenantAdmissionController, "condition_for", lambda self, job: None)
            world.run()
        number = world.tenancy.numbers["laenuvara"]
        state = world.state.data[records.tenant_key(number)][0]["state"]
        left.append(bool(world.tenancy.stored_keys(number)) or state != "removed" or bool(world.violations))
    assert any(left) != guarded


def test_a_suspended_tenant_starts_nothing_and_its_work_resumes_later():
    world = World("""
gateways 1
capacity 6
at 2 tenant kestrel team=crew
at 6 submit tenant=kestrel id=a count=4 legs=3 runS=40
at 25 suspend kestrel stop
at 60 resume kestrel
until 200
expect tenants_told kestrel done
""")
    at = []
    world.sim.call_at(32.0, lambda: at.append(len(world.running)))
    world.sim.call_at(59.0, lambda: at.append(len(world.running)))
    world.run()
    assert world.check() == [] and at == [0, 0]
    started = [when for when in world.started.values() if 26.5 < when < 60]
    assert started == []


# A flood of one tenant does not delay another

QUIET = """
gateways 2
capacity 14
boot_s 6
at 2 tenant quiet team=crew:cpus=60
at 2 tenant loud team=crew:cpus=4 submissions=2 open_jobs=120
at 4 submit tenant=quiet id=d count=40 every=2 legs=8 runS=9 expectS=36 dueS=40
until 90
"""
FLOOD = """
at 5 submit tenant=loud id=array count=2 every=2 legs=60000 runS=9 expectS=9 urgency=critical
at 8 submit tenant=loud id=swarm count=500 every=0.01 legs=1 runS=9 expectS=9 urgency=critical
"""


def measure_quiet_tenant(text, seed):
    """Of the quiet tenant: the p95 of its tasks' start delays and the share of its jobs accepted within 1 s;
    of the loud one: how many tasks started."""
    world = World(f"{text}\nseed {seed}").run()
    assert world.violations == []
    quiet = [user for user in world.users.values() if user.tenant == "quiet"]
    starts = sorted(
        world.started.get(f"{user.id}/{index}", 1e9) - user.submitted_at
        for user in quiet
        if user.submitted_at > 35
        for index in range(user.job["legs"])
    )
    accepted = sum(
        user.first_accepted_at is not None and user.first_accepted_at - user.submitted_at < 1.0
        for user in quiet
    )
    loud = sum(world.job_of(task)["tenant"] == "loud" for task in world.started)
    return starts[int(0.95 * len(starts))], accepted / len(quiet), loud


def test_a_flood_does_not_delay_another_tenant():
    alone = [measure_quiet_tenant(QUIET, seed) for seed in (1, 2)]
    beside = [measure_quiet_tenant(QUIET + FLOOD, seed) for seed in (1, 2)]
    assert all(
        loud > 200 for _start, _accepted, loud in beside
    )  # the flood does run, in the capacity that is left
    assert all(accepted >= 0.99 for _start, accepted, _loud in beside)
    assert sum(start for start, *_ in beside) <= 1.15 * sum(start for start, *_ in alone)


def test_without_fair_sharing_a_flood_delays_another_tenant():
    """Counter-test of the one above: without fair sharing, the critical flood runs first."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            FairShare,
            "assign_positions",
            lambda self, jobs: [
                setattr(job, "round_allowance", 1 << 30) or setattr(job, "within_guarantee", job.startable())
                for job in jobs
            ],
        )
        assert measure_quiet_tenant(QUIET + FLOOD, 1)[0] > 1.5 * measure_quiet_tenant(QUIET, 1)[0]


# Preemption in isolation


class SentFrames:
    def __init__(self):
        self.sent = []

    def __call__(self, label, frame):
        self.sent.append((label, frame))
        return True


def make_preemption(teams, running, patience=1.0):
    """Returns a Preemption, its job store, the frames it sends and its clock.

    `running`: [(team, machine, cpus, seconds since its start, save_s or None)], one job each.
    """
    table = TenantTable()
    for number, own in teams.items():
        record = records.Tenant(
            number, f"t{number}", teams=[records.Team(name, cpus=cpus) for name, cpus in own.items()]
        )
        table.take(records.tenant_key(number), record.to_record(), number)
    hosted = TenantTeams(table)
    accounts = Accounts(hosted)
    sim = Sim(1)
    sim.time = 100.0
    for number, (team, machine, cpus, ran_s, save_s) in enumerate(running):
        job = Job(
            job_spec(
                f"req-{number}",
                team=team,
                cpus=cpus,
                memory=cpus,
                checkpoint_s=5.0 if save_s is not None else 0.0,
                save_s=save_s or 0.0,
            ),
            ("here", 1),
            0.0,
        )
        accounts.enter(job)
        binding = job.bound[job.unstarted.pop()] = Binding(machine, "a", number, "running", 100.0 - ran_s)
        accounts.hold(job, binding)

    class Quota:
        def is_limited(self, team):
            return False

    class JobStore:
        stopped, quota = [], Quota()

        def stop(self, job, _index, binding, _grace_s):
            self.stopped.append((job.spec.team, binding.machine))

    job_store, send = JobStore(), SentFrames()
    job_store.stopped, job_store.accounts = [], accounts
    fair_share = FairShare(hosted, accounts, lambda: (100.0, 0.0, 400.0), 1e6, 1e7)
    member = type("Member", (), {"term": type("Term", (), {"members": ("here", "there")})})
    counters = Counters()
    scheduled_passes = []
    preemption = Preemption(
        sim,
        member,
        job_store,
        fair_share,
        send,
        counters,
        lambda: scheduled_passes.append(sim.time),
        patience,
        5.0,
    )
    return preemption, job_store, send, sim


def reclaim(preemption, *rows):
    preemption.on_reclaim(
        frames.ReclaimResources([(cpus, 0.0, cpus, count, True, zone, []) for cpus, count, zone in rows])
    )


def test_the_cheapest_task_of_the_largest_borrower_is_stopped():
    preemption, job_store, _send, _sim = make_preemption(
        {1: {"a": 0}, 2: {"b": 0}},
        [
            ("1/a", "m1", 1, 50, None),
            ("1/a", "m2", 1, 5, None),
            ("1/a", "m3", 1, 90, 2.0),
            ("2/b", "m4", 1, 1, None),
        ],
    )
    reclaim(preemption, (1.0, 1, ""))
    assert job_store.stopped == [("1/a", "m3")]  # it saves its progress, so the least work is lost
    reclaim(preemption, (1.0, 1, ""))
    assert job_store.stopped[1:] == [("1/a", "m2")]  # the same task is not stopped twice
    reclaim(preemption, (1.0, 9, ""))
    assert sorted(job_store.stopped[2:]) == [("1/a", "m1"), ("2/b", "m4")]


def test_no_guaranteed_task_is_stopped_and_none_without_freeing_enough():
    preemption, job_store, _send, _sim = make_preemption(
        {1: {"a": 3, "b": 0}},
        [
            ("1/a", "m1", 1, 5, None),
            ("1/a", "m1", 1, 5, None),
            ("1/a", "m1", 1, 5, None),
            ("1/a", "m2", 1, 5, None),
            ("1/b", "m3", 1, 5, None),
        ],
    )
    reclaim(preemption, (2.0, 1, ""))  # needs two CPUs of one machine: no machine has more than one borrowed
    assert job_store.stopped == []
    reclaim(preemption, (1.0, 5, "elsewhere"))
    assert job_store.stopped == []
    reclaim(preemption, (1.0, 5, "a"))
    assert len(job_store.stopped) == 2 and ("1/b", "m3") in job_store.stopped


def test_capacity_is_reclaimed_once_after_the_patience_from_the_largest_borrowers():
    preemption, _job_store, send, sim = make_preemption({1: {"a": 8}}, [])
    preemption.on_borrowed("here", frames.BorrowedResources(2.0, 0.0, 8.0))
    preemption.on_borrowed("there", frames.BorrowedResources(3.0, 0.0, 9.0))
    waiting = Job(
        job_spec("req-1", team="1/a", tasks=4),
        ("here", 1),
        0.0,
    )
    waiting.within_guarantee = 4
    preemption.on_waiting_within_guarantee([waiting])
    assert send.sent == []
    sim.time += 1.5
    preemption.on_waiting_within_guarantee([waiting])
    assert [(label, frame.rows[0][3]) for label, frame in send.sent] == [("there", 3), ("here", 1)]
    preemption.on_waiting_within_guarantee([waiting])
    assert len(send.sent) == 2  # the first request is still pending
    sim.time += 6.0
    preemption.on_waiting_within_guarantee([waiting])
    assert len(send.sent) == 4


RECLAIMED_GUARANTEE = """
gateways 1
capacity 4
at 2 tenant borrower team=crew
at 2 tenant owner team=crew:cpus=16
at 6 submit tenant=borrower id=a count=10 legs=6 runS=60 musterS=10 stowS=1
at 40 submit tenant=owner id=a count=2 legs=8 runS=20 dueS=40
until 75
"""


@pytest.mark.parametrize("preempt", [True, False])
def test_a_guarantee_is_restored_by_preempting_borrowing_work(preempt):
    world = World(RECLAIMED_GUARANTEE + f"preempt {int(preempt)}\n").run()
    assert world.violations == [] and world.failures.texts == []
    started = sorted(
        when - 40 for task, when in world.started.items() if world.job_of(task)["tenant"] == "owner"
    )
    assert len(started) == 16 if preempt else len(started) < 16
    if preempt:
        assert started[-1] < 4  # time to save, exit and fetch the image
        stopped = world.counter("tasks_preempted")
        assert 8 <= stopped <= 20  # about once per task: no task is stopped and restarted repeatedly


def test_a_failover_of_one_tenants_quota_leader_does_not_stall_another_tenant():
    """The quota leader of tenant `one` crashes while half of the machines are silent, so its successor must
    wait for them. The quota leader of tenant `two` knows all of that tenant's tasks and goes on starting."""
    world = World("""
gateways 1
slots 3
capacity 6
    seed 2
at 2 tenant one team=crew:cpus_max=8
at 2 tenant two team=crew:cpus_max=8
at 30 submit tenant=one id=a count=30 every=2 legs=2 runS=4
at 30 submit tenant=two id=a count=30 every=2 legs=2 runS=4
until 110
""")
    quota_leaders = []

    def end_one():
        term = next(iter(world.nodes.values())).member.term
        quota_leaders.extend(term.quota_leader(str(world.tenancy.numbers[name])) for name in ("one", "two"))
        world.crash(world.labels.index(quota_leaders[0]), 40.0)
        world.do(["cut", "odd-workers", "peers", "9", "hold"])

    world.sim.call_at(50.0, end_one)
    world.run()
    assert world.violations == [] and quota_leaders[0] != quota_leaders[1]
    started = {
        name: [
            when
            for task, when in world.started.items()
            if world.job_of(task)["tenant"] == name and 53 < when < 62
        ]
        for name in ("one", "two")
    }
    assert started["one"] == [] and len(started["two"]) > 5


# The tenants' API: encodings and bounds


def test_lists_are_paged_and_filtered_in_json_and_cbor(caplog):
    caplog.set_level("DEBUG")
    call = GatewayClient("capacity 6")
    call.finish(call.tenancy.do("tenant", "kestrel", "team=crew", "team=other"))
    call.wait(2)
    key = call.tenancy.keys["kestrel"]
    for number in range(7):
        body = {
            "id": f"j{number}",
            "team": "crew" if number % 2 else "other",
            "class": f"c{number % 3}",
            "expected_s": 1000.0,
            "zone": "north",
        }
        assert call("tenants", "POST", "/v1/jobs", body, key)[0] == 201
    answer = call("tenants", "POST", "/v1/jobs/j1/cancel", None, key)
    assert answer == (200, {"id": "j1", "status": "cancelled"})
    call.wait(30)
    found, after = [], ""
    while after is not None:
        status, page = call("tenants", "GET", f"/v1/jobs?limit=2&after={after}", None, key)
        assert status == 200 and len(page["jobs"]) <= 2
        found += [row["id"] for row in page["jobs"]]
        after = page["next"]
    assert sorted(found) == [f"j{number}" for number in range(7)]
    rows = call("tenants", "GET", "/v1/jobs?state=cancelled", None, key)[1]["jobs"]
    assert rows == [{"id": "j1", "status": "cancelled", "done": 0, "tasks": 1}]
    rows = call("tenants", "GET", "/v1/jobs?state=open&team=other&class=c0", None, key)[1]["jobs"]
    assert [row["id"] for row in rows] == ["j0", "j6"]
    for bad in ("limit=0", "limit=x", "after=x", "after=j.A", "state=lost"):
        assert call("tenants", "GET", f"/v1/jobs?{bad}", None, key)[0] == 400
    body = {"id": "k", "team": "crew", "class": "c", "image": None}
    status, data, headers = call.finish(_cbor(call, "/v1/jobs", body, key))
    assert (status, cbor2.loads(data), headers["content-type"]) == (
        201,
        {"id": "k", "status": "pending"},
        "application/cbor",
    )
    status, data, headers = call.finish(_cbor(call, "/v1/jobs", {"id": "k", "kind": key}, key))
    assert status == 400 and headers["content-type"] == "application/problem+cbor"
    assert key.encode() not in data
    for secret in (key, call.tenancy.root):
        assert secret.rpartition("-")[2] not in caplog.text


def pipeline_of(call, jobs):
    """Creates a tenant with a chain of so many jobs, each of which needs the one before; returns its key."""
    call.finish(call.tenancy.do("tenant", "kestrel", "team=crew"))
    call.wait(2)
    key = call.tenancy.keys["kestrel"]
    for number in range(jobs):
        upstream = {"upstream": [f"j{number - 1}"]} if number else {}
        body = {"id": f"j{number}", "team": "crew", "class": "c", "expected_s": 1000.0, **upstream}
        for _ in range(40):  # pipelines are taken on once all controllers were seen to be new
            if call("tenants", "POST", "/v1/jobs", body, key)[0] == 201:
                break
            call.wait(1)
        else:
            raise AssertionError("the pipeline is not accepted")
    return key


def stored_jobs(world):
    """Returns the stored records of all jobs that were not archived."""
    return [entry[0] for name, entry in world.state.data.items() if name.startswith("j/")]


def listed_states(call, key, query=""):
    """Returns {job: state} of one page of the tenant's list."""
    status, page = call("tenants", "GET", f"/v1/jobs{query}", None, key)
    assert status == 200
    return {row["id"]: row["status"] for row in page["jobs"]}


def test_a_list_calls_a_job_cancelled_with_the_one_that_it_needs_while_its_owner_is_away():
    """The list was built from stored records alone, so that it called a job pending that a poll had called
    cancelled (review/8, rule went_back)."""
    call = GatewayClient("capacity 6")
    key = pipeline_of(call, 3)
    call.wait(2)
    owners = {record["o"][0] for record in stored_jobs(call.world)}
    assert len(owners) == 1
    call.world.crash(call.world.labels.index(owners.pop()), 30.0)
    assert call("tenants", "POST", "/v1/jobs/j0/cancel", None, key)[0] == 200
    assert call("tenants", "GET", "/v1/jobs/j2", None, key)[1]["status"] == "cancelled"
    assert "open" in [record["s"] for record in stored_jobs(call.world)], "the records tell of it already"
    assert listed_states(call, key) == dict.fromkeys(["j0", "j1", "j2"], "cancelled")
    assert listed_states(call, key, "?state=open") == {}


@pytest.mark.parametrize(("ancestors", "further"), [(0, 0), (10, 1), (60, 1)])
def test_a_list_costs_a_page_of_each_kind_and_one_look_at_the_cancellations(ancestors, further):
    """All jobs of the list share what is read for them. `further`: requests besides the two pages, once what
    the jobs need was read."""
    call = GatewayClient("capacity 6")
    key = pipeline_of(call, ancestors + 1)
    for _ in range(10):  # through both gateways, drawn at random
        listed_states(call, key)
    requests = count_requests(call)
    assert len(listed_states(call, key)) == ancestors + 1
    assert len(requests) == 2 + further, requests


def count_requests(call):
    """Returns a list to which the targets of the gateways' requests to the state service will be added."""
    requests = []
    for gateway in call.tenancy.gateways.values():

        def counted(method, target, body, timeout, real=gateway.state._send):
            if f"under={WATCHED_PREFIX}&" not in target:  # the gateway's own watch goes on meanwhile
                requests.append(target)
            return real(method, target, body, timeout)

        gateway.state._send = counted
    return requests


READS_OF_A_CHAIN = 1 + 20  # ceil(jobs / 1,000), and a constant, as for a poll


def test_a_gateway_that_knows_nothing_lists_a_pipeline_of_a_thousand_jobs():
    """Each job of the page was walked by itself, so that the list was not answered within 5 s."""
    call = GatewayClient("capacity 6")
    key = pipeline_of(call, 1000)
    requests = count_requests(call)
    gateways = list(call.tenancy.gateways.items())
    begin, page, look = 1, 1, 1
    bounds = [("", begin + page + look), ("&after=j.j499", begin + page + look + READS_OF_A_CHAIN)]
    for (number, gateway), (after, bound) in zip(gateways, bounds, strict=True):
        call.tenancy.gateways = {number: gateway}
        for most in (bound, page + look):
            requests.clear()
            assert len(listed_states(call, key, f"?limit=500{after}")) == 500
            assert len(requests) <= most


async def _cbor(call, path, body, key):
    address = call.tenancy._hosted[0].gateway.tenants
    client = HttpClient(call.world.user_loop, call.world.user_net, address, 0)
    return await client.request("POST", path, cbor2.dumps(body), 5.0, [("Authorization", f"Bearer {key}")])


SUBMISSION = {
    "id": "a",
    "team": "crew",
    "class": "c",
    "tasks": 2,
    "cpus": 1.0,
    "gpus": 0.0,
    "memory_gb": 1.0,
    "image": "img",
    "image_gb": 1.0,
    "same_zone": False,
    "spread": False,
    "spot": True,
    "expected_s": 5.0,
    "checkpoint_s": 0.0,
    "save_s": 0.0,
}
AMOUNTS = ("cpus", "gpus", "memory_gb", "image_gb", "expected_s", "checkpoint_s", "save_s")
WRONG_TYPES = {str: 1, bool: "yes", int: "2", float: "1"}


def invalid_submissions():
    """Yields (field, value) of each field in each form that no submission may have; `...` leaves it out."""
    for name in ("id", "team", "class"):
        yield name, ...
    for name, value in SUBMISSION.items():
        yield name, WRONG_TYPES[type(value)]
        if name != "image":
            yield name, None
    for name in AMOUNTS:
        for amount in (-1.0, math.nan, math.inf, -math.inf, 2.0**63, 10**400):
            yield name, amount
    for count in (0, -1, 100_001, 2**70, 1.5):
        yield "tasks", count
    yield from (("id", name) for name in ("", "A", "x" * 16, "a/b"))
    yield from (("image", "x" * 201), ("nmae", "x"))


def test_no_field_of_a_submission_may_have_an_invalid_form():
    call = GatewayClient("capacity 2")
    call.finish(call.tenancy.do("tenant", "kestrel", "team=crew"))
    call.wait(2)
    key = call.tenancy.keys["kestrel"]
    for name, value in invalid_submissions():
        body = {field: kept for field, kept in {**SUBMISSION, name: value}.items() if kept is not ...}
        status, _data, _headers = call.finish(_cbor(call, "/v1/jobs", body, key))
        assert status == 400, (name, value)
    for name, value in (("image", None), ("image", ...), *((amount, 5e-324) for amount in AMOUNTS)):
        body = {field: kept for field, kept in {**SUBMISSION, name: value}.items() if kept is not ...}
        assert call.finish(_cbor(call, "/v1/jobs", body, key))[0] in (200, 201), (name, value)


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("PUT", "/v1/jobs", {}, 405),
        ("GET", "/v2/jobs", None, 404),
        ("GET", "/v1/jobs/UPPER", None, 404),
        ("POST", "/v1/jobs", [], 400),
        ("POST", "/v1/jobs", {"id": "a", "team": "crew"}, 400),
        ("POST", "/v1/jobs", {"id": "a", "team": "crew", "class": "c", "tasks": 100_001}, 400),
        ("POST", "/v1/jobs", {"id": "a", "team": "crew", "class": "c", "cpus": -1}, 400),
        ("POST", "/v1/jobs", {"id": "a", "team": "crew", "class": "c", "cpus": 64}, 422),
        ("POST", "/v1/jobs", {"id": "a", "team": "none", "class": "c"}, 422),
    ],
)
def test_invalid_requests_are_refused_at_once(method, path, body, status):
    call = GatewayClient()
    call.finish(call.tenancy.do("tenant", "kestrel", "team=crew"))
    call.wait(2)
    answer = call("tenants", method, path, body, call.tenancy.keys["kestrel"])
    assert answer[0] == status and answer[1]["status"] == status


def test_the_summary_says_that_a_tenant_is_suspended():
    """It must not say that the limit is reached: an operator would raise the limit, which does not help."""
    world = World("""
gateways 1
at 2 tenant one team=crew:cpus_max=4
at 8 submit tenant=one id=a count=3 legs=8 runS=6
at 14 suspend one finish
until 45
""")
    world.run()
    assert world.violations == []
    behind = [line for node in world.nodes.values() for line in node.summary()["behind"]]
    assert any("nothing of its tenant or team may start now" in line for line in behind), behind
    assert not any("limit is reached" in line for line in behind)
