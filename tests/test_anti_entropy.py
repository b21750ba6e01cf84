"""What one controller decided and another must do is done, though the frame that says so is lost."""

from types import SimpleNamespace

import pytest

from roadhead.anti_entropy.attempts import AttemptKey, attempt_state, digest, is_difference
from roadhead.anti_entropy.owner_comparison import OwnerComparison
from roadhead.dispatch.dispatcher import Dispatcher
from roadhead.jobs.job import Binding
from roadhead.local.world import REPAIRS, World
from roadhead.machines.task_commands import TaskCommands
from roadhead.membership.term import Term
from roadhead.telemetry import Counters
from roadhead.wire import frames

RUNNING = {AttemptKey("n-1", "req-1", index, 7): "running" for index in range(5)}


def test_a_digest_is_that_of_the_attempts_in_any_order():
    assert digest(RUNNING) == digest(dict(reversed(RUNNING.items())))
    assert digest({}) == 0 != digest(RUNNING)
    changed = {**RUNNING, AttemptKey("n-1", "req-1", 0, 7): attempt_state("running", stopping=True)}
    assert digest(changed) != digest(RUNNING) != digest(dict(list(RUNNING.items())[1:]))


@pytest.mark.parametrize(
    ("here", "there", "expected"),
    [
        ("running", "running", False),
        ("running", "pulling", True),
        ("launching", None, True),
        (None, "running", True),
        (None, "exited", True),
        ("exited", None, False),
        ("exited!", None, False),
        ("running!", "running", True),
        ("running", "running!", False),
        ("launching", "running!", True),
    ],
)
def test_what_counts_as_a_difference(here, there, expected):
    assert is_difference(here, there) == expected


LOST = {
    # kinds of frames, actions with losses of all such frames, counters of repairs that must not be 0
    "starts": ("StartTasks", "at 20 submit count=3 legs=12", ["attempts_repaired"]),
    "states": ("TaskStates", "at 20 submit count=3 legs=12", ["attempts_repaired"]),
    "attempts that are gone": (
        "AttemptGone",
        "at 8 submit legs=16 runS=60 expectS=60\nat 18 die 3",
        ["attempts_repaired"],
    ),
    "stops": ("StopTask", "at 12 submit count=3 legs=12 runS=300\nat 24 cancel 3,4,5", []),
    "forgotten attempts": ("ForgetAttempts", "at 14 submit count=3 legs=12 runS=6", ["attempts_repaired"]),
    "requests of successors": ("ReconcileRequest", "at 21 crash 0", ["requests_repaired"]),
    "answers to successors": ("ReconcileDone", "at 18 crash 0", ["requests_repaired"]),
    "demand": ("Demand", "at 20 submit count=2 legs=12", []),
    "grants": ("GrantWithSlots", "at 20 submit count=3 legs=12", []),
    "returned grants": ("ReturnGrant", "at 18 submit count=8 legs=7 runS=3", []),
    "revoked grants": (
        "RevokeGrant",
        "at 18 submit shape=group legs=60 runS=10\nat 19 submit legs=30 runS=3\nat 23 notice 5 20",
        [],
    ),
    "cancellations": ("JobsCancelled", "at 14 submit legs=8 runS=300\nat 24 cancel 3", []),
    "jobs that ended": ("JobsEnded", "at 10 submit legs=4 upstream=1,2", []),
    "handed over machines": ("HandoverMachines HandoverJobs", "at 21 leave 0", []),
}


def lossy_world(kinds, actions):
    """Returns a world that has run with these actions, and lost the frames of these kinds for a while."""
    return World(f"""
    seed 3
    capacity 16
    boot_s 3
    at 1 submit count=2 legs=8 runS=20 expectS=20
    {actions}
    at 20 lose-frames 1 24 {kinds}
    until 200
    expect struck lost_frames >= 1
    """).run()


@pytest.mark.parametrize("what", LOST)
def test_a_decision_is_carried_out_though_its_frames_are_lost(what):
    """For two leases all frames of the kind are lost on links that stay up, and no event makes up for it."""
    kinds, actions, repairs = LOST[what]
    world = lossy_world(kinds, actions)
    assert world.check() == []
    assert {user.last_state for user in world.users.values()} <= {"done", "cancelled"}
    for name in repairs:
        assert world.counter(name) > 0, name


def test_that_nothing_waits_any_more_is_told_though_the_frame_was_lost():
    """The renter would count the demand for ever: only a demand that is not empty was sent again."""
    world = lossy_world("Demand", "at 12 submit count=2 legs=24 runS=100\nat 26 cancel 3,4")
    assert world.check() == []
    assert not any(rows for node in world.nodes.values() for rows in node.fleet.demand.values())


def test_a_refused_start_is_made_again_though_the_refusal_is_lost(monkeypatch):
    real, refused = TaskCommands._start, []

    def refuse_some(commands, label, incarnation, frame, *rest):
        index, attempt = rest[-2:]
        if frame.job == "req-000003" and label != commands._capacity_granter.label and len(refused) < 6:
            refused.append(attempt)
            commands._send(label, frames.StartRefused(frame.machine, frame.job, index, attempt))
            return False
        return real(commands, label, incarnation, frame, *rest)

    monkeypatch.setattr(TaskCommands, "_start", refuse_some)
    world = lossy_world("StartRefused", "at 21 submit legs=24 runS=10")
    assert len(refused) == 6 and world.check() == []
    assert world.users["req-000003"].last_state == "done" and world.counter("attempts_repaired") > 0


def test_a_stop_that_the_shard_leader_lacks_is_sent_again():
    """It takes two comparisons that find the same, as a stop may be under way during one."""
    spec = SimpleNamespace(id="req-1", save_s=3.0)
    binding = Binding("n-1", "north", 7, "running", 0.0)
    binding.stop_grace_s = 3.0
    job = SimpleNamespace(id="req-1", spec=spec, bound={0: binding})
    stopped, sent, counters = [], [], Counters()
    store = SimpleNamespace(
        jobs={"req-1": job},
        stop=lambda *stop: stopped.append(stop),
        reconciliation=SimpleNamespace(unanswered_requests=dict),
    )
    term = Term().join("ctl-0", "nonce")
    shard = term.shard_of("n-1")
    owner = OwnerComparison(
        SimpleNamespace(term=term), store, lambda *message: sent.append(message), counters
    )
    answer = frames.ShardAttempts(term.number, shard, [("n-1", "req-1", 0, 7, "running")])
    for expected in ([], [(job, 0, binding, 3.0)]):
        owner.compare()
        owner.on_shard_attempts("ctl-0", answer)
        assert stopped == expected
    assert counters.counts == {"attempts_repaired": 1}


@pytest.mark.parametrize("seed", range(1, 9))
def test_one_in_a_hundred_frames_is_lost(seed):
    """Of every kind but heartbeats, for two minutes with a controller that ends and one that stalls."""
    world = World(f"""
    seed {seed}
    capacity 20
    boot_s 3
    at 1 submit count=6 legs=10
    at 3 submit count=3 legs=6 vcpus=2 scatter=True
    at 5 submit count=2 legs=8 shape=group
    at 20 submit count=6 legs=10 upstream=1,2
    at 30 cancel 3,4
    at 10 lose-frames 0.01 120
    at 45 crash 0
    at 60 submit count=4 legs=12
    at 80 stall 1 2
    at 90 submit count=4 legs=12
    until 260
    expect struck lost_frames >= 1
    """).run()
    assert world.check() == []
    assert {user.last_state for user in world.users.values()} <= {"done", "cancelled"}


def test_a_pass_that_fails_loses_no_starts(monkeypatch):
    """What a failed pass had decided is kept nowhere: its tasks stayed bound for ever (review/4)."""
    real, failed = Dispatcher._send_start, []

    def fail_once(dispatcher, job, *rest):
        if not failed and job.id == "req-000002":
            failed.append(job)
            raise KeyError("thrown by the test")
        real(dispatcher, job, *rest)

    monkeypatch.setattr(Dispatcher, "_send_start", fail_once)
    world = World("""
    capacity 16
    boot_s 3
    at 1 submit legs=8
    at 20 submit legs=24
    until 90
    """).run()
    assert failed and world.users["req-000002"].last_state == "done"
    assert any("thrown by the test" in fault for fault in world.check())
    assert any("attempts_repaired" in fault for fault in world.check())


COMPARISON_FRAMES = (
    frames.AttemptDigests,
    frames.ShardAttempts,
    frames.PendingRequests,
    frames.UnknownRequests,
)


def test_a_comparison_is_one_frame_a_pair_while_nothing_differs():
    """At most one frame from each controller to each other one in the length of a lease."""
    world = World("""
    capacity 16
    boot_s 3
    at 1 submit count=4 legs=10 runS=300
    until 200
    """)
    world.sim.run_until(60)
    sent = {}
    for node in world.nodes.values():

        def count(label, frame, node=node, send=node.peers.send):
            if type(frame) in COMPARISON_FRAMES:
                key = type(frame).__name__, node.label, label
                sent.setdefault(key, []).append(len(frame.encode()))
            return send(label, frame)

        node.peers.send = count
    world.run()
    leases = (200 - 60) / world.options["lease_s"]
    assert {name for name, *_ in sent} == {"AttemptDigests"} and len(sent) == 6
    assert all(len(sizes) <= leases + 1 for sizes in sent.values())
    assert max(max(sizes) for sizes in sent.values()) <= 21 + 16 * 64  # a header, and a row for each shard
    assert not any(world.counter(name) for name in REPAIRS)


def test_a_grant_of_a_controller_that_leads_the_machine_no_more_is_not_taken():
    """It is under way while the shard moves. Its starts were lost if that controller ended, as the owner asks
    the leader by its own term alone (drawn day 9026 of reports in any order)."""
    world = World("until 20")
    world.run()
    owner = world.nodes[0]
    machine = "n-000020"
    leader = owner.member.term.leader_of(machine)
    for label in world.labels:
        capacity = ("box", "north", label, False, 4.0, 0.0, 16.0, [], 10.0, 100)
        owner.dispatcher.on_grant(frames.GrantWithSlots(machine, 7, 0, *capacity))
        assert (machine in owner.dispatcher.idle) == (label == leader)
        owner.dispatcher.idle.clear()


def test_forgets_that_could_not_be_sent_go_out_with_the_next_link():
    """A new link names open jobs only, so that a machine with a success of a job that was over by then was
    never empty, and never returned (drawn day 9005 of reports in any order)."""
    world = World("""
    seed 2
    capacity 16
    boot_s 3
    at 1 submit count=3 legs=8 runS=12 expectS=12
    until 120
    expect machines 1
    """)
    world.sim.run_until(14)
    unsent = []
    for node in world.nodes.values():

        def send(label, frame, peers=node.peers, real=node.peers.send):
            if type(frame) is frames.ForgetAttempts and 14 < world.sim.time < 50:
                unsent.append(frame)
                if label in peers.links:
                    peers.links[label].stream.close()  # the link has ended, and the send says so
                return False
            return real(label, frame)

        node.peers.send = send
    world.run()
    assert unsent and world.check() == []


def test_an_attempt_whose_owner_ended_as_its_job_did_does_not_stay_on_its_machine():
    """A job that is over has no successor who would have the attempts forgotten."""
    world = World("""
    capacity 4
    boot_s 3
    at 1 submit count=4 legs=1 vcpus=3 runS=200 expectS=200
    at 20 submit count=6 legs=2 runS=3 expectS=3
    at 20 lose-frames 1 14 ForgetAttempts
    at 30 crash 0 0.1
    until 110
    """).run()
    assert all(user.last_state == "done" for user in list(world.users.values())[4:])
    left = [key for worker in world.cloud.rented.values() for key, task in worker.tasks.items() if task.cause]
    assert left == []
