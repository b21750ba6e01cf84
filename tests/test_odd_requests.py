"""Invalid requests: every controller gives the protocol's answer at once and stores nothing."""

import io
import math

import cbor2
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from roadhead.api.submissions import parse
from roadhead.local.scenario import parse_job
from roadhead.local.world import World
from roadhead.runtime.loop import Timeout
from roadhead.wire import messages
from roadhead.wire.http import HttpClient, NoResponseError

NEW_JOB_ID = "req-900001"
AT_ONCE_S = 0.05
FAULTS = {  # scenario lines of the fault that is active at 15 s, when the requests are sent
    "quiet": "",
    "failover": "at 14.9 crash 0 60",
    "outage": "at 14 outage 60",
    "cut from the state service": "at 14 cut 0 state 60",
}


def described(**fields):
    """A complete submission with some fields replaced, or left out if `...`."""
    job = parse_job({})
    job = {name: value for name, value in job.items() if name not in ("runS", "apartS", "faulty", "upstream")}
    return {name: value for name, value in {"id": NEW_JOB_ID, **job, **fields}.items() if value is not ...}


def encode_submission(**fields):
    return cbor2.dumps(described(**fields))


def body_with_two_ids(*, indefinite):
    """The CBOR map of a submission that contains its id twice, of definite or indefinite length."""
    pairs = [*described().items(), ("id", NEW_JOB_ID)]
    head = b"\xbf" if indefinite else bytes((0xB8, len(pairs)))
    return head + b"".join(cbor2.dumps(part) for pair in pairs for part in pair) + b"\xff" * indefinite


NUMBERS = ("vcpus", "gpus", "ramGb", "sizeGb", "expectS", "musterS", "stowS")
FLAGS = ("together", "scatter", "loaners")
TEXTS = ("id", "jobclass", "crew", "shape", "urgency")
REQUIRED = (*NUMBERS, *FLAGS, *TEXTS, "legs")
BAD_IDS = ("", "req-", "REQ-1", "req-1\n", "req-1/0", "req-" + "1" * 31)
MALFORMED = {
    "empty": b"",
    "not CBOR": b"\xff\xff",
    "JSON": b'{"id":"req-900001"}',
    "cut off": encode_submission()[:-3],
    "a list": cbor2.dumps([described()]),
    "tagged": b"\xd9\xd9\xf7" + encode_submission(),
    "bytes behind": encode_submission() + b"\x00",
    "doubled": body_with_two_ids(indefinite=False),
    "doubled, endless": body_with_two_ids(indefinite=True),
    "nested deeply": b"\x81" * 60000 + b"\x00",
    "a list that is not there": b"\x9b" + b"\xff" * 8,
    **{f"no {name}": encode_submission(**{name: ...}) for name in REQUIRED},
    **{f"{name} null": encode_submission(**{name: None}) for name in REQUIRED},
    **{f"{name} a text": encode_submission(**{name: "1"}) for name in (*NUMBERS, *FLAGS, "legs", "dueS")},
    **{
        f"{name} a number": encode_submission(**{name: 1})
        for name in (*TEXTS, *FLAGS, "kit", "rigs", "paddock")
    },
    **{
        f"{name} {str(amount)[:9]}": encode_submission(**{name: amount})
        for name in (*NUMBERS, "dueS")
        for amount in (-1.0, math.nan, math.inf, 2.0**63, 10**400, True)
    },
    **{f"legs {count}": encode_submission(legs=count) for count in (0, -1, 100_001, 2**70, 4.5, True)},
    **{f"id {name!r}": encode_submission(id=name) for name in BAD_IDS},
    "a key that is no text": cbor2.dumps({**described(), 7: None}),
    "urgency unknown": encode_submission(urgency="soon"),
    "shape unknown": encode_submission(shape=""),
    "rigs of numbers": encode_submission(rigs=[1]),
    "crew too long": encode_submission(crew="x" * 201),
}
IMPOSSIBLE = {
    "too many CPUs": {"vcpus": 64.0},
    "GPUs": {"gpus": 1.0},
    "too much memory": {"ramGb": 1000.0},
    "team unknown": {"crew": "nobody"},
    "no team": {"crew": ""},
    "type unknown": {"rigs": ["none"]},
    "no type allowed": {"rigs": []},
    "zone unknown": {"paddock": "west"},
    "no zone allowed": {"paddock": ""},
    "replicas beyond the limit": {"shape": "daemon", "legs": 20, "vcpus": 4.0},
    "a task beyond the limit": {"vcpus": 4.0, "crew": "crew", "legs": 1, "ramGb": 17.0},
    "a description too large": {"rigs": ["box", *("x" * 150 for _ in range(90))]},
}


class ControllerClient:
    """A simulated deployment at 15 s, and requests to each of its controllers."""

    def __init__(self, text):
        self.world = World(f"cpus_max 32\nuntil 15\nat 1 submit count=3 legs=2 runS=500\n{text}")
        self.world.run()
        self.took_s = 0.0

    def ask(self, number, method, path, data=b""):
        """Returns (status, decoded body, headers) from controller `number`; None if it did not answer."""
        world, found = self.world, []

        async def request():
            client = HttpClient(world.user_loop, world.user_net, world.fronts[number], 0)
            begun = world.sim.time
            try:
                status, answer, headers = await client.request(method, path, data, 5.0)
                found.append((status, cbor2.loads(answer) if answer else None, headers))
            except (NoResponseError, Timeout):
                found.append(None)
            self.took_s = world.sim.time - begun

        world.user_loop.spawn(request(), "request")
        while not found:
            world.sim.run_until(world.sim.time + 0.1)
        return found[0]

    def ask_all(self, method, path, data=b""):
        """Returns the answers of all running controllers."""
        return [self.ask(number, method, path, data) for number in sorted(self.world.nodes)]

    def stored(self, job_id):
        return [key for key in self.world.state.data if key.rpartition("/")[2] == job_id]


@pytest.fixture(scope="module", params=FAULTS)
def fault_and_asked(request):
    return request.param, ControllerClient(FAULTS[request.param])


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_submissions_are_refused(fault_and_asked, name):
    _, asked = fault_and_asked
    for number in sorted(asked.world.nodes):
        status, _, _ = asked.ask(number, "POST", "/v1/jobs", MALFORMED[name])
        assert status == 400 and asked.took_s < AT_ONCE_S
    assert asked.stored(NEW_JOB_ID) == []


@pytest.mark.parametrize("name", IMPOSSIBLE)
def test_submissions_that_can_never_run_are_refused(fault_and_asked, name):
    """A controller that cannot read whether the job was accepted earlier must answer 503 in place of 422."""
    fault, asked = fault_and_asked
    for number in sorted(asked.world.nodes):
        status, _, headers = asked.ask(number, "POST", "/v1/jobs", encode_submission(**IMPOSSIBLE[name]))
        cannot_read = fault == "outage" or (fault.startswith("cut") and number == 0)
        assert status == (503 if cannot_read else 422)
        assert ("retry-after" in headers) == cannot_read
    assert asked.stored(NEW_JOB_ID) == []


@pytest.mark.parametrize("kit", [..., None])
def test_a_submission_without_an_image_is_refused(fault_and_asked, kit):
    """It lacks a field; was it accepted by an earlier version, its repeat must not be refused."""
    fault, asked = fault_and_asked
    for number in sorted(asked.world.nodes):
        status, answer, _ = asked.ask(number, "POST", "/v1/jobs", encode_submission(kit=kit))
        cannot_read = fault == "outage" or (fault.startswith("cut") and number == 0)
        assert status == (503 if cannot_read else 400)
        assert cannot_read or answer == {"error": "kit"}
    assert asked.stored(NEW_JOB_ID) == []


def test_vanishing_amounts_are_taken_and_their_jobs_done():
    """No page sets a lower bound, and the arithmetic never raises."""
    asked = ControllerClient("")
    forms = [(name, amount) for name in NUMBERS for amount in (0.0, 5e-324, 2.2e-308)]
    for number, (name, amount) in enumerate(forms):
        job = f"req-8{number:05d}"
        asked.world.jobs[job] = {**parse_job({}), "id": job, "legs": 2, name: amount}
        body = encode_submission(**{"id": job, "legs": 2, name: amount})
        assert asked.ask(0, "POST", "/v1/jobs", body)[0] == 201, (name, amount)
    asked.world.sim.run_until(150)
    for number, form in enumerate(forms):
        assert asked.ask(1, "GET", f"/v1/jobs/req-8{number:05d}")[1]["status"] == "done", form


def test_a_body_that_is_too_large_is_refused_before_it_is_read(fault_and_asked):
    _, asked = fault_and_asked
    assert {status for status, *_ in asked.ask_all("POST", "/v1/jobs", b"\xa0" * 65537)} == {413}


@pytest.mark.parametrize("path", ["req-1x", "", "req-", "%00", "req-1%2F", NEW_JOB_ID])
def test_a_job_that_was_never_submitted_is_not_found(path):
    asked = ControllerClient("")
    assert {status for status, *_ in asked.ask_all("GET", f"/v1/jobs/{path}")} == {404}
    assert {status for status, *_ in asked.ask_all("POST", f"/v1/jobs/{path}/cancel")} == {404}
    assert asked.stored(path) == []


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"legs": 7},
        {"vcpus": 64.0},
        {"crew": "nobody"},
        {"rigs": []},
        {"upstream": ["req-77"]},
        {"kit": None},
        {"kit": ...},
    ],
)
def test_a_resubmission_never_changes_an_accepted_job(fields):
    asked = ControllerClient("")
    before = asked.world.state.data["j/req-000001"][0]["spec"]
    answers = asked.ask_all("POST", "/v1/jobs", encode_submission(id="req-000001", **fields))
    assert {status for status, *_ in answers} == {200}
    # Only the job's owner knows which of the two it is.
    assert {answer["status"] for _, answer, _ in answers} <= {"pending", "running"}
    assert asked.world.state.data["j/req-000001"][0]["spec"] == before


def test_an_ended_job_keeps_its_state():
    asked = ControllerClient("at 2 submit legs=1 runS=1\nat 9 cancel 2\nuntil 45")
    for job, state in (("req-000004", "done"), ("req-000002", "cancelled")):
        for method, path, data in (
            ("GET", f"/v1/jobs/{job}", b""),
            ("POST", f"/v1/jobs/{job}/cancel", b""),
            ("POST", "/v1/jobs", encode_submission(id=job)),
            ("POST", "/v1/jobs", encode_submission(id=job, vcpus=64.0)),
        ):
            answers = asked.ask_all(method, path, data)
            assert {(status, answer["status"]) for status, answer, _ in answers} == {(200, state)}


def test_unknown_fields_are_ignored_and_null_means_left_out():
    asked = ControllerClient("")
    for number, fields in enumerate(
        (
            {"color": "red", "nested": {"id": "req-5"}, "": [1]},
            {"rigs": None, "paddock": None, "dueS": None},
            {"rigs": ..., "paddock": ..., "dueS": ...},
        )
    ):
        job = f"req-90001{number}"
        status, answer, _ = asked.ask(number, "POST", "/v1/jobs", encode_submission(**{"id": job, **fields}))
        assert (status, answer["status"]) == (201, "pending")
        assert asked.stored(job) and "color" not in asked.world.state.data[f"j/{job}"][0]["spec"]


# Examples are deterministic. The health check for slow data generation depends on the machine's load only.
fixed = settings(
    derandomize=True,
    database=None,
    max_examples=200,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)

JUNK = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8) | st.binary(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=6,
)


@fixed
@given(
    st.dictionaries(
        st.sampled_from((*REQUIRED, "dueS", "kit", "rigs", "paddock", "upstream")), JUNK, max_size=3
    )
)
def test_any_field_value_is_accepted_or_invalid(fields):
    try:
        spec = parse(encode_submission(**fields))
    except messages.InvalidMessageError:
        return
    assert messages.JOB_ID.match(spec.id) and 1 <= spec.tasks <= messages.MAX_TASKS


@fixed
@given(st.binary(max_size=40), st.integers(0, 400), st.integers(0, 8))
def test_any_bytes_are_accepted_or_invalid(junk, at, removed):
    whole = encode_submission()
    try:
        parse(whole[:at] + junk + whole[at + removed :])
    except messages.InvalidMessageError:
        pass


@fixed
@given(st.dictionaries(st.text(max_size=4), JUNK, max_size=30), st.booleans())
def test_maps_of_definite_and_indefinite_length_are_decoded_alike(value, indefinite):
    stream = io.BytesIO()
    cbor2.dump(value, stream)
    data = stream.getvalue()
    if indefinite:
        parts = b"".join(cbor2.dumps(part) for pair in value.items() for part in pair)
        data = b"\xbf" + parts + b"\xff"
    assert repr(messages.decode_strict_map(data)) == repr(messages.decode_map(data))
