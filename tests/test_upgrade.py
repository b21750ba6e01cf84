"""Rolling upgrades from the version in production to this one, while both serve on the same records."""

import os
import random
import sys
import time

import production
import pytest

from roadhead.gateway.types import Submission
from roadhead.local import cluster as local
from roadhead.local.worker import EmulatedWorker
from roadhead.local.world import World
from roadhead.machines.command_fence import FIRST_COUNTED_TOKEN
from roadhead.membership import format_gate
from roadhead.membership.format_gate import FIRST_FORMAT, FormatGate, next_record


class UpgradeWorld(World):
    """A world in which controllers in `old` run the version in production from their next start on."""

    def __init__(self, text):
        self.old = {0, 1, 2}
        self.serves_old = {}
        super().__init__(text)

    def node_class(self, number):
        return production.load() if number in self.old else super().node_class(number)

    def start(self, number):
        if number not in self.nodes:
            self.serves_old[number] = number in self.old
        super().start(number)

    def fronts_for(self, job):
        """Returns the controllers to which a user may submit a job.

        A job with `upstream` goes to none of the old version, which would ignore the field.
        """
        return [
            front
            for number, front in enumerate(self.fronts)
            if not (job.get("upstream") and self.serves_old[number])
        ]

    def do(self, words):
        if words[0] == "upgrade":
            self.old.discard(int(words[1]))
            words = ["crash", *words[1:]]
        elif words[0] == "downgrade":
            self.old.add(int(words[1]))
            words = ["crash", *words[1:]]
        super().do(words)

    def gate(self):
        """Returns the format in force."""
        record = self.state.data.get(format_gate.GATE)
        return record[0]["format"] if record is not None else FIRST_FORMAT


LIMITS = "next_value_kb 2\nnext_txn_ops 5\nnext_write_rps 15\nwrite_rps 20\nrps 150\nvalue_kb 8\n"
PIPELINES = """
at {at} submit legs=2 runS=4 expectS=4 urgency=low
at {at} submit legs=6 runS=6 expectS=6 urgency=low upstream={first}
at {at} submit legs=2 runS=6 expectS=6 upstream={first}
at {at} submit legs=2 runS=4 expectS=4 urgency=high upstream={second},{third} dueS=90
"""


def pipelines(at, first):
    """Returns the lines of a pipeline submitted at `at`, whose first job has the number `first`."""
    return PIPELINES.format(at=at, first=first, second=first + 1, third=first + 2)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_rolling_upgrade_and_then_pipelines(seed):
    """Both versions serve side by side; the new format is in force only once all are upgraded."""
    world = UpgradeWorld(f"""{LIMITS}
    seed {seed}
    capacity 8
    at 1 submit count=10 legs=10 runS=15
    at 15 upgrade 0
    at 25 upgrade 1
    at 35 upgrade 2
    at 40 submit count=10 legs=10 runS=10
    {pipelines(44, 21)}
    at 60 lower
    at 62 submit count=6 legs=10 runS=10
    {pipelines(70, 31)}
    until 300
    """)
    gates = []
    for at in (14.0, 24.0, 34.0, 43.0):
        world.sim.call_at(at, lambda: gates.append(world.gate()))
    world.run()
    assert world.violations == [] and world.failures.texts == []
    assert {user.last_state for user in world.users.values()} == {"done"}
    assert gates == [FIRST_FORMAT, FIRST_FORMAT, FIRST_FORMAT, 4]
    assert world.state.oversized == 0 and world.counter("duties_failed") == 0


COMPARISON_FRAMES = ("AttemptDigests", "ShardAttempts", "PendingRequests", "UnknownRequests")
GATED_FRAMES = {*COMPARISON_FRAMES, "GrantWithSlots"}


@pytest.mark.parametrize("seed", [1, 2])
def test_zone_rules_and_small_tasks_during_an_upgrade(seed):
    """Rows of a demand have the old form; grants with slots and digests wait for the last old controller."""
    work = "\n".join(
        f"at {at} submit legs=6 vcpus=2 scatter=True runS=9\n"
        f"at {at + 1} submit legs=4 vcpus=2 together=True runS=9\n"
        f"at {at + 2} submit legs=300 vcpus=0.01 ramGb=0.01 runS=4"
        for at in (1, 17, 32, 48)
    )
    world = UpgradeWorld(f"""{LIMITS}
    seed {seed}
    capacity 14
    boot_s 3
    {work}
    at 15 upgrade 0
    at 30 upgrade 1
    at 45 upgrade 2
    until 200
    expect told done all
    """)
    too_early = []

    def watch_frames():
        for node in world.nodes.values():
            peers = node.peers

            def send(label, frame, real=peers.send):
                if type(frame).__name__ in GATED_FRAMES and world.gate() == FIRST_FORMAT:
                    too_early.append(frame)
                return real(label, frame)

            peers.send = send

    for at in (16.0, 19.0, 31.0, 34.0):
        world.sim.call_at(at, watch_frames)
    world.run()
    assert world.check() == [] and too_early == [] and world.gate() == 4


@pytest.mark.parametrize("seed", [1, 2])
def test_upgrades_and_downgrades_with_several_quota_partitions(seed):
    """Each version leads quota partitions that the other has created."""
    crews = ("crew", "crew-2", "crew-3", "crew-4")
    work = "\n".join(
        f"at {at + number / 8} submit crew={crew} legs=14 runS=6"
        for at in (2, 18, 34, 50, 66)
        for number, crew in enumerate(crews)
    )
    world = UpgradeWorld(f"""{LIMITS}
    seed {seed}
    partitions 12
    teams 4
    cpus_max 6
    capacity 8
    boot_s 1
    {work}
    at 19 upgrade 0
    at 35 upgrade 1
    at 51 upgrade 2
    at 67 downgrade 0
    at 80 upgrade 0
    until 220
    expect told done all
    """).run()
    assert world.check() == []
    assert len(world.nodes[1].member.term.quota_leaders) == 12


def test_while_versions_lead_machines_in_turn_tokens_never_fall_and_new_ones_launch_nothing_directly(
    monkeypatch,
):
    """No worker could refuse a copy of a direct launch under an uncounted token."""
    commands = []  # (worker, whether the sender is new, token, launches something), as they arrive
    real = EmulatedWorker.handle

    async def handle(worker, method, path, args, body, host):
        if path == "/commands":
            launches = any(order["verb"] == "launch" for order in body["orders"])
            is_new = not world.serves_old[int(host.rpartition(".")[2]) - 1]
            commands.append((worker.name, is_new, body["brand"], launches, world.gate()))
        return await real(worker, method, path, args, body, host)

    monkeypatch.setattr(EmulatedWorker, "handle", handle)
    lines = [f"at {at} submit count=2 legs=3 runS=3 expectS=3" for at in range(15, 110, 3)]
    world = UpgradeWorld(f"""{LIMITS}
    capacity 4
    boot_s 3
    at 1 submit count=6 legs=1 vcpus=2 runS=200 expectS=200
    at 20 upgrade 0
    at 40 upgrade 1
    at 55 downgrade 0
    at 70 upgrade 0
    at 80 upgrade 2
    {chr(10).join(lines)}
    until 320
    """)
    tokens, led_by = {}, {}  # worker -> its tokens, sampled; worker -> in turn, whether its leader is new

    def sample():
        terms = [
            node.member.term
            for number, node in world.nodes.items()
            if not world.serves_old[number] and node.member.joined
        ]
        for worker in world.cloud.rented.values():
            tokens.setdefault(worker.name, []).append(worker.token)
            if terms:
                leader = world.labels.index(max(terms, key=lambda term: term.number).leader_of(worker.name))
                turns = led_by.setdefault(worker.name, [])
                if turns[-1:] != [not world.serves_old[leader]]:
                    turns.append(not world.serves_old[leader])

    for at in range(10, 130):
        world.sim.call_at(float(at), sample)
    world.run()
    assert world.check() == [] and world.gate() == 4
    assert all(seen == sorted(seen) for seen in tokens.values())
    mixed = [row for row in commands if row[4] == FIRST_FORMAT]
    assert all(token < FIRST_COUNTED_TOKEN for _worker, _new, token, _launches, _gate in mixed)
    assert not any(launches for _worker, new, _token, launches, _gate in mixed if new)
    assert any(launches for _worker, new, _token, launches, _gate in mixed if not new)
    assert any(len(turns) >= 3 for turns in led_by.values())
    assert any(
        launches and token >= FIRST_COUNTED_TOKEN for _worker, _new, token, launches, _gate in commands
    )


def test_new_fields_are_refused_and_not_written_until_all_configured_members_are_upgraded():
    """The last one is down, not old, but may come back old, so upgrading the live ones doesn't suffice."""
    world = UpgradeWorld(f"""{LIMITS}
    seed 2
    capacity 6
    at 1 submit count=4 legs=6 runS=10
    at 10 upgrade 0
    at 20 upgrade 1
    at 29 crash 2 25
    {pipelines(40, 5)}
    at 80 upgrade 2
    until 250
    """)
    observed = []

    def sample():
        observed.append(
            (world.gate(), sum("upstream" in str(value) for value, *_ in world.state.data.values()))
        )

    for at in (35.0, 50.0, 70.0):
        world.sim.call_at(at, sample)
    world.run()
    assert observed == [(FIRST_FORMAT, 0)] * 3
    assert world.violations == [] and world.failures.texts == []
    assert {user.last_state for user in world.users.values()} == {"done"}
    assert world.counter("refused_submission_format_gate") > 0 and world.gate() == 4


def random_upgrade(seed):
    """Returns a random scenario: a rolling upgrade in any order under faults of all kinds, then pipelines."""
    rng = random.Random(seed)
    lines = [
        LIMITS,
        f"seed {seed}",
        f"capacity {rng.choice((4, 8))}",
        "until 400",
        f"at 1 submit count={rng.randrange(6, 14)} legs=8 runS={rng.choice((6, 20))}",
    ]
    order = rng.sample(range(3), 3)
    gap_s = rng.choice((0.2, 4, 10, 15))
    downtime_s = rng.choice((0.1, 0.4, 3))
    for position, number in enumerate(order):
        lines.append(f"at {20 + position * gap_s} upgrade {number} {downtime_s}")
        if rng.random() < 0.4:
            lines.append(
                f"at {20 + position * gap_s + rng.choice((0.3, 2, 5))} crash {rng.randrange(3)} {downtime_s}"
            )
        if rng.random() < 0.2 and position < 2:
            lines.append(f"at {20 + position * gap_s + 2} downgrade {number} {downtime_s}")
            lines.append(f"at {22 + 3 * gap_s + 8} upgrade {number} {downtime_s}")
    for _ in range(rng.randrange(1, 4)):
        at, node, length = rng.uniform(15, 60), rng.randrange(3), rng.choice((3, 8, 14))
        lines.append(
            f"at {at:.1f} "
            + rng.choice(
                (
                    f"cut {node} state {length} hold",
                    f"cut {node} {(node + 1) % 3} {length} hold",
                    f"stall {node} {length}",
                    f"outage {length}",
                    f"cut {node} workers {length} hold",
                    f"lose state {rng.randrange(1, 4)}",
                    f"late-write {length}",
                    f"crash {node} 0.1",
                    "die 1",
                    f"leave {node} {downtime_s}",
                )
            )
        )
    lines.append(f"at {rng.uniform(70, 90):.1f} lower")
    number = int(lines[4].split("count=")[1].split()[0])
    for position, at in enumerate(sorted(rng.choice((30, 66, 80, 100)) for _ in range(3))):
        lines.append(pipelines(at + position, number + 1 + 4 * position))
    lines.append(f"at {rng.uniform(104, 125):.1f} cancel {number + 1 + 4 * rng.randrange(3)}")
    for _ in range(2):
        lines.append(f"at {rng.uniform(80, 140):.1f} crash {rng.randrange(3)} {downtime_s}")
    return "\n".join(lines)


def played(seed):
    """Plays a random upgrade and returns what went wrong."""
    world = UpgradeWorld(random_upgrade(seed)).run()
    faults = [*world.violations, *world.failures.texts[:2]]
    if world.gate() != 4:
        faults.append(f"format {world.gate()} is in force")
    if world.counter("duties_failed"):
        faults.append("a duty failed")
    if world.state.oversized:
        faults.append(f"{world.state.oversized} writes were too large")
    return faults + [
        f"{job}: {user.last_state}"
        for job, user in world.users.items()
        if user.accepted and user.last_state not in ("done", "cancelled")
    ]


@pytest.mark.parametrize("seed", range(1, 13))
def test_a_rolling_upgrade_in_any_order_under_any_faults(seed):
    assert played(seed) == []


def test_a_rolling_upgrade_of_real_processes(tmp_path, monkeypatch):
    """Processes of the production version are killed one by one and restarted as this version.

    The jobs they accepted finish, and a pipeline is accepted once all are upgraded. The time is
    only bounded."""
    monkeypatch.setenv("PYTHONPATH", os.pathsep.join([str(production.ROOT), *sys.path]))
    cluster = local.Cluster(tmp_path, [str(production.ROOT / "run.py")])
    ours = list(cluster.plan["program"])
    deadline = time.monotonic() + 90

    def until(check):
        while not check():
            assert time.monotonic() < deadline, "not within the bound"
            time.sleep(0.1)

    def submit(job_id, command="true", **fields):
        cluster.submit(Submission(id=job_id, team=local.TEAM, klass="c", **fields), ["sh", "-c", command])

    def done(job_id):
        status, answer = cluster.ask("GET", f"/v1/jobs/{job_id}")
        return status == 200 and answer["status"] == "done"

    start = cluster._start

    def start_as(name):
        cluster.plan["program"] = ours if name not in old else [str(production.source() / "run.py")]
        start(name)

    cluster._start, old = start_as, set(cluster.plan["labels"])
    try:
        cluster.start()
        cluster.tenant()
        for number in range(6):
            submit(f"before{number}", "sleep 2", tasks=2)
        for label in cluster.plan["labels"]:
            cluster.crash(label)
            old.discard(label)
            until(lambda: cluster.restart_ended())
            cluster._wait_ready()
        assert not old
        submit("first", "sleep 1")
        submit("second", upstream=["first"])
        submit("third", upstream=["first", "second"], due_s=60.0)
        until(lambda: all(done(job_id) for job_id in ("third", *(f"before{number}" for number in range(6)))))
        with pytest.raises(local.ClusterError, match=r"upstream: nowhere was never accepted"):
            submit("fourth", upstream=["nowhere"])
    finally:
        cluster.stop()


def test_the_format_gate_opens_once_every_configured_member_was_seen_upgraded():
    labels = ["a", "b", "c"]
    record = next_record(None, labels, {"a": 4, "b": 3}, 4, 10.0)
    assert record == {"format": FIRST_FORMAT, "seen": {"a": [4, 10.0], "b": [3, 10.0]}}
    assert next_record(record, labels, {"a": 4, "b": 3}, 4, 11.0) is None
    record = next_record(record, labels, {"a": 4, "b": 4}, 4, 12.0)
    assert record["format"] == FIRST_FORMAT  # c was never seen, so it may still run the old version
    old = next_record(record, labels, {"a": 4, "b": 4, "c": 3}, 4, 13.0)
    assert old["seen"]["c"] == [3, 13.0] and old["format"] == FIRST_FORMAT
    # a was seen upgraded and is down: it counts as last seen. A downgraded member counts as old again.
    assert next_record(old, labels, {"b": 4, "c": 4}, 4, 14.0)["format"] == 4
    assert next_record(old, labels, {"a": 3, "b": 4, "c": 4}, 4, 14.0)["format"] == FIRST_FORMAT
    # An old member that the settings don't name counts too.
    assert next_record(old, labels, {"a": 4, "b": 4, "c": 4, "d": 3}, 4, 14.0)["format"] == FIRST_FORMAT
    assert next_record({"format": 4, "seen": {}}, labels, {}, 4, 15.0) is None


def test_a_version_older_than_the_format_in_force_changes_nothing():
    """It neither joins nor answers, and logs that once."""
    world = World("""
    at 1 submit count=2 legs=2 runS=5
    at 40 crash 0
    at 60 submit legs=2 runS=5
    until 120
    """)
    world.sim.call_at(39.0, lambda: world.state.put(format_gate.GATE, {"format": 5, "seen": {}}))
    before = []
    world.sim.call_at(39.9, lambda: before.append(dict(world.state.data)))
    world.run()
    assert world.violations == []
    node = world.nodes[0]
    assert not node.member.joined and not node.ready()
    assert {key: entry for key, entry in world.state.data.items() if key.startswith("j/")} == {
        key: entry for key, entry in before[0].items() if key.startswith("j/")
    }


def test_the_format_gate_describes_its_state_to_operators():
    known = FormatGate(4, ["a", "b"])
    known.take({"format": FIRST_FORMAT, "seen": {"a": [4, 100.0]}}, 7)
    known.take({"format": 4, "seen": {}}, 6)  # an older revision changes nothing
    assert known.describe(130.0) == {
        "format": FIRST_FORMAT,
        "open": False,
        "knows": 4,
        "members": [
            {"label": "a", "format": 4, "sinceS": 30.0},
            {"label": "b", "format": None, "sinceS": None},
        ],
    }


def test_a_record_of_a_newer_format_is_left_unchanged():
    """No controller takes it over, answers for it, cancels it or archives it; other jobs are served."""
    world = World("""
    at 1 submit count=2 legs=2 runS=5
    at 20 crash 0
    until 60
    """)
    record = {"s": "open", "v": 5, "o": ["ctl-9", 1], "at": 1e9, "spec": {"id": "req-000777"}, "done": [0, 1]}
    world.sim.call_at(10.0, lambda: world.state.put("j/req-000777", record))
    answers = []

    async def ask():
        user = world.users["req-000001"]
        for method, path in (("GET", ""), ("POST", "/cancel")):
            answers.append((await user._request(method, f"/v1/jobs/req-000777{path}", None, 2.0))[0])

    world.sim.call_at(40.0, lambda: world.user_loop.spawn(ask(), "ask"))
    world.run()
    assert answers == [503, 503] and world.state.data["j/req-000777"][0] == record
    assert world.violations == [] and world.counter("duties_failed") == 0
    assert {user.last_state for user in world.users.values()} == {"done"}


def test_an_empty_upstream_counts_as_none_even_before_the_format_gate_opens():
    world = UpgradeWorld("""
    at 1 submit count=2 legs=1 runS=3
    at 8 upgrade 0
    until 60
    """)
    for job in ("req-000001", "req-000002"):
        world.sim.call_at(1.0, lambda job=job: world.jobs[job].update(upstream=[]))
    world.sim.call_at(14.0, lambda: world.submit(["legs=1", "runS=2"]))
    world.sim.call_at(14.0, lambda: world.jobs["req-000003"].update(upstream=[]))
    world.fronts_for = lambda _job: world.fronts[:1]
    world.run()
    assert world.violations == [] and world.gate() == FIRST_FORMAT
    assert {user.last_state for user in world.users.values()} == {"done"}
    assert world.nodes[0].counters.counts.get("refused_submission_format_gate", 0) == 0
