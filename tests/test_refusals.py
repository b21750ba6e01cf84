"""Refusals (503): each has a documented and counted cause, and requests wait where waiting avoids one."""

from pathlib import Path

import pytest
from test_odd_requests import ControllerClient, encode_submission

from roadhead.api.answers import TEXTS, Cause, RequestKind, counter_name, to_refusal
from roadhead.local.world import World
from roadhead.node import Node
from roadhead.runtime.loop import Timeout
from roadhead.state.client import ConflictError, StateClient, UnavailableError, UnknownOutcomeError
from roadhead.state.record_reader import RESERVED_SHARE

OPERATIONS = Path(__file__).parent.parent / "docs" / "operations.md"


class FirstControllerClient(ControllerClient):
    """A client of a world, which sends submissions to controller 0 at a given time."""

    def submit_at(self, second, fields=None):
        """Submits a job to controller 0 at `second` and returns (status, body, headers)."""
        self.world.sim.run_until(second)
        return self.ask(0, "POST", "/v1/jobs", encode_submission(**(fields or {})))

    def count(self, request_kind, cause):
        """Returns how many requests of a kind controller 0 refused for a cause."""
        return self.world.nodes[0].counters.counts.get(counter_name(request_kind, cause), 0)


def test_each_cause_is_documented_for_operators():
    page = OPERATIONS.read_text()
    assert set(TEXTS) == set(Cause)
    assert [cause.value for cause in Cause if f"| `{cause.value}` |" not in page] == []


@pytest.mark.parametrize(
    ("error", "cause"),
    [
        (Timeout(), Cause.READ_SLOW),
        (UnknownOutcomeError("closed"), Cause.STATE_UNSURE),
        (ConflictError(["j/req-1"]), Cause.CONFLICTS),
        (UnavailableError("503"), Cause.STATE_UNAVAILABLE),
        (UnavailableError("busy"), Cause.READS_CROWDED),
        (UnavailableError("read too long ago"), Cause.READ_STALE),
    ],
)
def test_errors_of_reads_and_writes_have_a_cause(error, cause):
    assert to_refusal(error).cause is cause


def test_refusals_are_counted_and_listed_in_the_summary():
    client = FirstControllerClient("at 14 outage 20")
    assert client.ask(0, "GET", "/v1/jobs/req-000001")[0] == 503
    assert client.ask(0, "POST", "/v1/jobs/req-000001/cancel")[0] == 503
    assert client.ask(0, "POST", "/v1/jobs", encode_submission())[0] == 503
    lines = client.world.nodes[0].summary()["troubles"]
    for request_kind in RequestKind:
        assert any(f"{request_kind.value}s answered 503" in line for line in lines)
        assert any(client.count(request_kind, cause) for cause in Cause)


def client_of_restarted_controller(text=""):
    """Returns a client; its controller 0 restarts at 20 s and needs some tenths of a second to join."""
    return FirstControllerClient(f"at 15 crash 0 5\nat 19.9 slow-state 0.1 1\n{text}")


def test_a_submission_waits_while_its_controller_joins():
    client = client_of_restarted_controller()
    status, answer, _ = client.submit_at(20.01)
    assert (status, answer["status"]) == (201, "pending")
    assert client.took_s < 1.0


def test_a_submission_waits_for_the_machine_types():
    client = client_of_restarted_controller("at 19.9 cloud-outage 0.4")
    status, _, _ = client.submit_at(20.8)
    assert status == 201 and client.took_s < 1.5


def test_a_controller_that_cannot_join_refuses_soon():
    client = client_of_restarted_controller("at 19 cut 0 state 20 reset")
    status, _, headers = client.submit_at(22.0)
    assert status == 503 and "retry-after" in headers and client.took_s < 0.6
    assert client.count(RequestKind.SUBMISSION, Cause.NOT_A_MEMBER) == 1


def test_a_controller_that_is_not_ready_closes_connections():
    """The load balancer directs only new connections to other controllers."""
    client = FirstControllerClient("at 5 cut 0 state 30 reset")
    assert not client.world.nodes[0].ready()
    assert client.ask(0, "GET", "/v1/jobs/req-000001")[2].get("connection") == "close"
    assert "connection" not in client.ask(1, "GET", "/v1/jobs/req-000001")[2]


@pytest.mark.parametrize(
    ("faults", "ready"),
    [
        ("at 5 cut 0 state 30 lose\nat 5 cut 0 peers 30 lose", [False, True, True]),
        ("at 5 outage 30", [True, True, True]),
        ("at 5 outage 30\nat 7 crash 0 0.1\nat 7 crash 1 0.1\nat 7 crash 2 0.1", [True, True, True]),
        ("controllers 1\nat 5 outage 30", [True]),
    ],
    ids=["cut off alone", "down for all", "down for all that start anew", "one controller"],
)
def test_an_isolated_controller_is_not_ready_while_the_state_service_does_not_answer(faults, ready):
    """It refuses at once, so a load balancer would prefer it. In an outage for all, all remain ready."""
    world = World(f"at 1 submit legs=2 runS=30\n{faults}\nuntil 20").run()
    assert [world.nodes[number].ready() for number in sorted(world.nodes)] == ready


def test_a_submission_repeated_while_its_creation_is_under_way_joins_it(monkeypatch):
    """Even if the creation queue is full, since it adds no creation."""
    client = FirstControllerClient("at 14 slow-state 3 10")
    world, answers = client.world, []
    data = encode_submission()

    async def submit():
        answers.append(await world.nodes[0].api._submit(data))

    world.sim.spawn(submit(), "first")
    world.sim.run_until(15.2)
    monkeypatch.setattr(Node, "max_creations", -1)
    monkeypatch.setattr("roadhead.jobs.recorder.Recorder.backlog", lambda _self: 1)
    world.sim.spawn(submit(), "repeated")
    world.sim.run_until(26)
    assert [answer.status for answer in answers] in ([201, 201], [201, 200])


def test_creations_of_a_dropped_incarnation_fail_at_once():
    client = FirstControllerClient("")
    node, answers = client.world.nodes[0], []

    async def submit():
        answers.append((await node.api._submit(encode_submission()), client.world.sim.time))

    client.world.state.down = True
    client.world.sim.spawn(submit(), "submit")
    client.world.sim.run_until(15.5)
    node.member._end_incarnation()
    client.world.sim.run_until(15.6)
    assert [answer.status for answer, _ in answers] == [503]
    assert client.count(RequestKind.SUBMISSION, Cause.NOT_A_MEMBER) == 1


def test_a_poll_waits_while_leases_and_starts_need_the_requests(monkeypatch):
    client, real, has_spare_requests = FirstControllerClient("until 30"), StateClient.get, []
    client.world.sim.run_until(30)
    requests = client.world.nodes[0].state.requests

    async def get(self, key):
        has_spare_requests.append(requests.spare(RESERVED_SHARE))
        return await real(self, key)

    monkeypatch.setattr(StateClient, "get", get)
    requests.empty()
    assert client.ask(0, "GET", "/v1/jobs/req-000001")[0] == 200
    assert has_spare_requests and all(has_spare_requests)
    assert client.took_s < 0.5


def test_a_poll_that_times_out_is_refused_and_its_read_dropped(monkeypatch):
    client = FirstControllerClient("until 30")
    client.world.sim.run_until(30)
    node = client.world.nodes[0]
    monkeypatch.setattr(node.state.requests, "spare", lambda share: False)
    job_of_nobody = "req-700001"  # no user queries it
    assert client.ask(0, "GET", f"/v1/jobs/{job_of_nobody}")[0] == 503
    assert client.count(RequestKind.POLL, Cause.READ_SLOW) >= 1
    assert job_of_nobody not in node.record_reader._waiting


def test_a_cancellation_reads_the_outcome_after_a_lost_answer(monkeypatch):
    """The answer to its first read of the record is lost."""
    client, real, lost = FirstControllerClient(""), StateClient.get, []

    async def get(self, key):
        if key == "j/req-000001" and not lost:
            lost.append(key)
            raise UnknownOutcomeError("closed")
        return await real(self, key)

    monkeypatch.setattr(StateClient, "get", get)
    status, answer, _ = client.ask(0, "POST", "/v1/jobs/req-000001/cancel")
    assert lost and (status, answer["status"]) == (200, "cancelled")


def test_a_cancellation_of_a_record_that_keeps_changing_is_refused(monkeypatch):
    client = FirstControllerClient("")

    async def multi(self, conditions, writes):
        raise ConflictError([conditions[0][0]])

    monkeypatch.setattr(StateClient, "multi", multi)
    assert client.ask(0, "POST", "/v1/jobs/req-000001/cancel")[0] == 503
    assert client.count(RequestKind.CANCELLATION, Cause.CONFLICTS) == 1


def test_world_counts_refusals_by_cause():
    world = World("until 30\nat 1 submit count=2 legs=1 runS=500\nat 10 outage 10\nat 12 cancel 1").run()
    assert world.counter(counter_name(RequestKind.CANCELLATION, Cause.STATE_UNAVAILABLE)) > 0


def test_concurrent_cancellations_share_writes_and_do_not_delay_creations():
    """90 cancellations arrive at three controllers at once, followed by a submission."""
    client = FirstControllerClient("write_rps 30\nat 2 submit count=90 legs=1 runS=500\nuntil 40")
    world, users = client.world, list(client.world.users.values())
    for user in users[3:]:
        world.user_loop.spawn(user.cancel(), "cancel")
    world.sim.run_until(40.1)
    assert client.submit_at(40.1)[0] == 201
    assert client.took_s < 0.5
    world.sim.run_until(80)
    assert {user.last_state for user in users[3:]} == {"cancelled"}
    assert world.violations == []


def test_one_changed_record_does_not_delay_the_others_cancelled_with_it(monkeypatch):
    client = FirstControllerClient("at 2 submit count=6 legs=1 runS=500\nuntil 30")
    world, real, conditions_sent = client.world, StateClient.multi, []

    async def multi(self, conditions, writes):
        conditions_sent.append([key for key, _stamp in conditions])
        if len(conditions) > 1 and conditions[0][0].startswith("j/") and len(conditions_sent) == 1:
            raise ConflictError([conditions[0][0]])
        return await real(self, conditions, writes)

    node = world.nodes[0]
    monkeypatch.setattr(StateClient, "multi", multi)
    answers = []

    async def cancel(job_id):
        answers.append(await node.api._cancel(job_id))

    for number in range(4, 10):
        world.sim.spawn(cancel(f"req-{number:06d}"), "cancel")
    world.sim.run_until(34)
    assert [answer.status for answer in answers] == [200] * 6
    assert len(conditions_sent[0]) > 1  # they were written in one transaction
