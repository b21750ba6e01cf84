"""Parsers of HTTP, frames, messages and settings: any input is decoded or refused with the documented error.

Also covers the ranges of done tasks and the record of a job.
"""

import json

import cbor2
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from roadhead import cli
from roadhead.jobs.job import Job
from roadhead.jobs.ranges import Ranges, TaskPool
from roadhead.settings import SettingsError, parse, parse_tuning
from roadhead.wire import frame_codec, frames, messages
from roadhead.wire.http import MAX_BODY, MAX_HEAD, HttpMessageError, HttpParser, request_bytes

fixed = settings(derandomize=True, database=None, max_examples=150, deadline=None)

JOB = {
    "id": "req-000001",
    "jobclass": "c",
    "crew": "t",
    "shape": "batch",
    "urgency": "high",
    "legs": 3,
    "vcpus": 1,
    "gpus": 0,
    "ramGb": 2.5,
    "kit": "img",
    "sizeGb": 1,
    "together": False,
    "scatter": False,
    "loaners": True,
    "expectS": 10,
    "musterS": 0,
    "stowS": 0,
}

SETTINGS_DOCUMENT = {
    "label": "a",
    "location": "z",
    "front": "10.0.0.1:80",
    "internal_addr": "10.0.0.1:81",
    "members": [{"label": "b", "location": "z", "endpoint": "10.0.0.2:81"}],
    "external": {"cloud": "10.0.0.3:1", "state": "10.0.0.4:1"},
    "deployment": {
        "nodes": 2,
        "teams": [{"name": "t"}],
        "workers": {"report_s": 2, "lease_s": 12, "cancel_s": 30},
        "state": {"rps": 10, "write_rps": 5, "value_kb": 8, "txn_ops": 4},
        "cloud": {"rps": 4, "list_lag_s": 3},
    },
}


@fixed
@given(st.binary(max_size=300), st.integers(1, 40))
def test_random_http_input_is_refused_or_incomplete(data, step):
    parser = HttpParser()
    try:
        for at in range(0, len(data), step):
            parser.feed(data[at : at + step])
            parser.next()
    except HttpMessageError as bad:
        assert bad.status in (400, 413, 431)


@fixed
@given(st.binary(max_size=500), st.integers(1, 60))
def test_http_requests_are_parsed_from_any_chunks(body, step):
    data = request_bytes("POST", "/v1/jobs", "h", body) * 2
    parser = HttpParser()
    found = []
    for at in range(0, len(data), step):
        parser.feed(data[at : at + step])
        while (message := parser.next()) is not None:
            found.append((message.method, message.target, message.body))
    assert found == [("POST", "/v1/jobs", body)] * 2
    assert parser.empty


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * MAX_HEAD, 431),
        (b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY + 1), 413),
        (b"POST / HTTP/1.1\r\nContent-Length: 9999999999999999999999\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"GET /\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
    ],
)
def test_invalid_http_requests_are_refused(data, status):
    parser = HttpParser()
    parser.feed(data)
    with pytest.raises(HttpMessageError) as caught:
        parser.next()
    assert caught.value.status == status


counts = st.integers(0, 2**64 - 1)
texts = st.text(max_size=20)


@fixed
@given(st.lists(st.tuples(texts, texts, counts, counts), max_size=5), counts, st.integers(1, 30))
def test_frames_are_decoded_from_any_chunks(rows, number, step):
    sent = [
        frames.ReconcileRequest(number, 1, [row[0] for row in rows], rows),
        frames.StartTasks(1, "m", number, "j", [(1, number)], 0, 1.0, 0.0, 2.5, "img", 0.9, 0.0, True, False),
    ]
    data = b"".join(frame.encode() for frame in sent)
    decoder = frame_codec.FrameDecoder()
    found = []
    for at in range(0, len(data), step):
        decoder.feed(data[at : at + step])
        found += decoder.frames()
    assert found == sent


@fixed
@given(st.binary(min_size=1, max_size=200))
def test_random_frame_input_raises_frame_errors_only(data):
    decoder = frame_codec.FrameDecoder()
    decoder.feed(data)
    try:
        assert all(isinstance(frame, frame_codec.Frame) for frame in decoder.frames())
    except frame_codec.FrameError:
        pass


@fixed
@given(st.lists(st.integers(0, 60), max_size=80))
def test_ranges_behave_like_sets(numbers):
    ranges = Ranges()
    known = set()
    for number in numbers:
        assert ranges.add(number) is (number not in known)
        known.add(number)
    assert ranges.count == len(known)
    assert [n for n in range(61) if n in ranges] == sorted(known)
    pool = TaskPool(ranges, 61)
    unstarted = [n for n in range(61) if n not in known]
    assert [n for n in range(61) if n in pool] == unstarted
    taken = unstarted[::2]
    for number in taken:
        pool.remove(number)
    for number in taken[:3]:
        pool.append(number)
    assert len(pool) == len(unstarted) - len(taken[3:])
    assert [pool.pop() for _ in range(len(pool))] == [*taken[:3][::-1], *unstarted[1::2]]
    assert Ranges(ranges.flat()).flat() == ranges.flat()
    assert all(end < start for end, start in zip(ranges.ends, ranges.starts[1:], strict=False))


def test_the_record_of_scattered_done_tasks_fits_a_value():
    spec = messages.parse({**JOB, "legs": 100_000}, messages.JobSpec)
    job = Job(spec, ("a", 1), 0.0)
    for index in range(0, 100_000, 2):
        job.done.add(index)
    job.done.add(1)
    record, recorded = job.record(8192)
    assert len(msgspec.json.encode(record)) <= 8192
    assert 0 in recorded and 1 in recorded and 2 in recorded  # the record keeps the longest range
    assert all(index in job.done for index in range(0, 100_000) if index in recorded)


@pytest.mark.parametrize(
    "change",
    [
        {"id": "job-1"},
        {"id": 7},
        {"legs": 0},
        {"legs": 100_001},
        {"legs": 1.5},
        {"legs": True},
        {"vcpus": float("nan")},
        {"vcpus": -1},
        {"ramGb": 2**64},
        {"ramGb": "2"},
        {"urgency": "soon"},
        {"shape": "crowd"},
        {"rigs": "box"},
        {"together": 1},
        {"crew": None},
        {"dueS": float("inf")},
    ],
)
def test_jobs_with_invalid_fields_are_rejected(change):
    with pytest.raises(messages.InvalidMessageError):
        messages.decode_as(cbor2.dumps({**JOB, **change}), messages.JobSpec).check()


@pytest.mark.parametrize("name", sorted(JOB.keys() - {"kit"}))
def test_jobs_with_missing_fields_are_rejected(name):
    with pytest.raises(messages.InvalidMessageError):
        messages.decode_as(cbor2.dumps({k: v for k, v in JOB.items() if k != name}), messages.JobSpec)


def test_unknown_fields_are_ignored_and_optional_ones_default_to_none():
    spec = messages.decode_as(cbor2.dumps({**JOB, "colour": "red"}), messages.JobSpec)
    spec.check()
    assert (spec.types, spec.zone, spec.due_s, spec.cpus) == (None, None, None, 1.0)


@fixed
@given(st.binary(max_size=200))
def test_random_bytes_are_no_valid_report(data):
    try:
        messages.decode_as(data, messages.Report).check()
    except messages.InvalidMessageError:
        return
    raise AssertionError("random bytes were decoded as a valid report")


def test_settings_ignore_unknown_fields():
    assert parse(json.dumps({**SETTINGS_DOCUMENT, "colour": "red"}).encode()).label == "a"


@pytest.mark.parametrize(
    "change",
    [
        {"front": "10.0.0.1"},
        {"front": "10.0.0.999:80"},
        {"label": ""},
        {"label": "b"},
        {"label": 3},
        {"members": None},
        {"external": {}},
    ],
)
def test_invalid_settings_are_rejected(change):
    with pytest.raises(SettingsError):
        parse(json.dumps({**SETTINGS_DOCUMENT, **change}).encode())


def test_teams_are_checked():
    def teams(*teams):
        deployment = {**SETTINGS_DOCUMENT["deployment"], "teams": list(teams)}
        return parse(json.dumps({**SETTINGS_DOCUMENT, "deployment": deployment}).encode()).deployment.teams

    assert teams({"name": "guests"})[0].guarantee == (0, 0)
    assert teams({"name": "a", "cpus": 9, "cpus_max": 4, "gpus": 2})[0].guarantee == (4, 2)
    for bad in ([{"name": "a"}, {"name": "a"}], [{"name": "a", "cpus_max": -1}]):
        with pytest.raises(SettingsError) as error:
            teams(*bad)
        assert len(error.value.faults) == 1


@fixed
@given(
    st.recursive(
        st.none() | st.booleans() | st.floats() | st.integers() | texts,
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3),
        max_leaves=8,
    ),
    st.sampled_from(sorted(SETTINGS_DOCUMENT)),
)
def test_settings_of_any_type_load_or_raise_settings_errors(value, name):
    try:
        parse(json.dumps({**SETTINGS_DOCUMENT, name: value}).encode())
    except SettingsError as error:
        assert error.faults


@pytest.mark.parametrize(
    ("later", "message"),
    [
        ({"value_kb": "2"}, "Expected `float"),
        ({"txn_ops": 2.5}, "Expected `int"),
        ([], "Expected `object"),
        ({"txn_ops": 2}, "next.txn_ops: must be at least 3, is 2"),
        ({"value_kb": 0.5}, "next.value_kb: must be at least 0.78"),
        ({"write_rps": 0}, "next.write_rps: must be above"),
    ],
)
def test_announced_limits_are_checked_like_the_current_ones(later, message, tmp_path, capsys):
    deployment = {
        **SETTINGS_DOCUMENT["deployment"],
        "state": {**SETTINGS_DOCUMENT["deployment"]["state"], "next": later},
    }
    file = tmp_path / "settings.json"
    file.write_text(json.dumps({**SETTINGS_DOCUMENT, "deployment": deployment}))
    assert cli.main(["check", "--config", str(file)]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1 and message in lines[0]


def test_announced_limits_may_be_left_out():
    state = SETTINGS_DOCUMENT["deployment"]["state"]
    for later in (None, {}, {"rps": 3}):
        deployment = {**SETTINGS_DOCUMENT["deployment"], "state": {**state, "next": later}}
        limits = parse(json.dumps({**SETTINGS_DOCUMENT, "deployment": deployment}).encode()).deployment.state
        assert limits.planned().txn_ops == state["txn_ops"]
        assert limits.lowered().rps == (3 if later and later.get("rps") else state["rps"])


@pytest.mark.parametrize("upstream", ["req-1", [7], ["job"], ["req-"], [None], {"req-1": True}, ["req-1 "]])
def test_invalid_upstream_ids_are_rejected(upstream):
    body = messages.decode(messages.encode({**JOB, "upstream": upstream}))
    with pytest.raises(messages.InvalidMessageError):
        messages.parse(body, messages.JobSpec).check()


def test_an_empty_or_missing_upstream_is_falsy():
    for body in (JOB, {**JOB, "upstream": None}, {**JOB, "upstream": []}):
        spec = messages.parse(body, messages.JobSpec)
        spec.check()
        assert not spec.upstream and "upstream" not in messages.msgspec.to_builtins(
            messages.parse(JOB, messages.JobSpec)
        )


INVALID_PARTITION_COUNTS = [
    b"[membership]\nquota_partitions = " + count for count in (b"0", b"65", b"1.5", b"many")
]


def test_tuning_is_parsed_and_checked():
    assert parse_tuning(b"[fleet]\nidle_ratio = 2").fleet.idle_ratio == 2
    assert parse_tuning(b"[membership]\nquota_partitions = 24").membership.quota_partitions == 24
    for bad in (
        b"[fleet]\nidle = 2",
        b"[fleet]\nidle_ratio = -1",
        *INVALID_PARTITION_COUNTS,
        b"[other]",
        b"no toml",
    ):
        with pytest.raises(SettingsError):
            parse_tuning(bad)
