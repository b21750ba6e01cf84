"""The shard map: what a term change moves, how even it becomes, and that rebalancing ends.

Also how shard leaders reconcile moved shards; "safety" numbers are those of the rules in docs/design.md.
"""

import json
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_cost import HostedNode, Member, make_report, make_shard_leader

from roadhead.admission.socket_budget import SocketBudget
from roadhead.decision_log import DecisionLog
from roadhead.jobs.job import Job
from roadhead.local.sim import Sim
from roadhead.local.world import World
from roadhead.machines.relieved_controllers import RelievedControllers
from roadhead.machines.task import LAUNCHING, Task
from roadhead.machines.worker_client import WorkerClient
from roadhead.membership.term import Term
from roadhead.settings import StateLimits, state_faults
from roadhead.shards.balance import plan_moves
from roadhead.shards.map import SHARD_COUNT, ShardMap
from roadhead.state.client import UnknownOutcomeError
from roadhead.telemetry import Counters
from roadhead.wire import frames, messages

MACHINE_NAMES = [f"n-{number:06d}" for number in range(400)]
LABELS = ["ctl-0", "ctl-1", "ctl-2", "ctl-3", "ctl-4"]


def balanced(term, machines=None, max_fraction=1 / 8):
    """Returns the term once no shard leader has a move left to make, and the number of shards moved."""
    moved = 0
    for _ in range(1000):
        has_moved = False
        for label in sorted(term.leaders):
            takers = [other for other in sorted(term.leaders) if other != label]
            moves = plan_moves(term.shard_map, label, takers, machines or {}, max_fraction)
            if moves:
                term, has_moved, moved = term.move(moves, label), True, moved + len(moves)
        if not has_moved:
            return term, moved
    raise AssertionError("rebalancing does not end: shards keep moving")


def term_with_members(labels):
    term = Term()
    for label in labels:
        term = term.join(label, "nonce")
    return term


def test_a_term_record_decodes_to_an_equal_term():
    term, _ = balanced(term_with_members(LABELS))
    again = Term.from_record(term.to_record())
    assert all(again.leader_and_token(name) == term.leader_and_token(name) for name in MACHINE_NAMES)
    assert again.to_record() == term.to_record()


def test_a_drop_changes_only_the_shards_of_the_dropped_member():
    term, _ = balanced(term_with_members(LABELS))
    after = term.drop({"ctl-2"})
    assert {term.leader_of(name) for name in MACHINE_NAMES} == set(LABELS)
    for name in MACHINE_NAMES:
        if term.leader_of(name) == "ctl-2":
            assert after.leader_of(name) != "ctl-2" and after.leader_and_token(name)[1] == term.next_token
        else:
            assert after.leader_and_token(name) == term.leader_and_token(name)
    counts = after.shard_map.counts(after.leaders)
    assert max(counts.values()) - min(counts.values()) <= 1


def test_a_restart_renews_its_own_tokens_and_a_new_label_moves_nothing():
    term, _ = balanced(term_with_members(LABELS[:3]))
    back = term.join("ctl-1", "other")
    for name in MACHINE_NAMES:
        leader, token = term.leader_and_token(name)
        assert back.leader_and_token(name) == (leader, term.next_token if leader == "ctl-1" else token)
    more = term.join("ctl-4", "nonce")
    assert all(more.leader_and_token(name) == term.leader_and_token(name) for name in MACHINE_NAMES)


def test_a_join_moves_the_fewest_shards_possible():
    term, _ = balanced(term_with_members(LABELS[:4]))
    after, moved = balanced(term.join("ctl-4", "nonce"))
    assert moved == SHARD_COUNT // 5 == after.shard_map.counts(after.leaders)["ctl-4"]


def test_no_step_moves_more_than_an_eighth_of_the_machines():
    term = term_with_members(LABELS[:2])
    machines = dict.fromkeys(range(SHARD_COUNT), 10)
    moves = plan_moves(term.shard_map, "ctl-0", ["ctl-1"], machines)
    assert 0 < sum(machines[shard] for shard in moves) <= SHARD_COUNT * 10 / 8


def test_a_relieved_leader_gets_no_shards_until_it_is_restored():
    term, _ = balanced(term_with_members(LABELS[:3]))
    relieved, _ = balanced(term.relieve("ctl-0"))
    assert "ctl-0" not in relieved.shard_map.leaders
    again, moved = balanced(relieved.restore("ctl-0"))
    assert moved == again.shard_map.counts(again.leaders)["ctl-0"] >= SHARD_COUNT // 3


changes = st.lists(
    st.tuples(
        st.sampled_from(["join", "drop", "relieve", "restore", "step", "raise"]),
        st.integers(0, 4),
        st.integers(0, SHARD_COUNT - 1),
    ),
    max_size=40,
)


def renew_token(term, shard):
    """The next term, in which the shard has the same leader and a new token."""
    leader = term.shard_map.leaders[shard]
    return term.move({shard: leader}, leader)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(changes, st.randoms(use_true_random=False))
def test_each_shard_has_a_leader_and_tokens_only_grow_under_any_changes(steps, rng):
    machines = {shard: rng.randrange(0, 30) for shard in range(SHARD_COUNT)}
    term = Term().join("ctl-0", "nonce")
    for how, number, shard in steps:
        label, before = LABELS[number], term
        if how == "join":
            term = term.join(label, str(rng.random()))
        elif how == "drop" and set(term.members) - {label} and label in term.members:
            term = term.drop({label})
        elif how == "relieve":
            term = term.relieve(label)
        elif how == "restore":
            term = term.restore(label)
        elif how == "raise":
            term = renew_token(term, shard)
        elif label in term.leaders:
            takers = [other for other in sorted(term.leaders) if other != label]
            term = term.move(plan_moves(term.shard_map, label, takers, machines), label)
        assert set(term.shard_map.leaders) <= term.leaders
        for place, (old, new) in enumerate(zip(before.shard_map.tokens, term.shard_map.tokens, strict=True)):
            assert new == old or new >= before.next_token
            if new == old:  # a shard that keeps its token keeps its leader in the same incarnation
                leader = term.shard_map.leaders[place]
                assert leader == before.shard_map.leaders[place]
                assert term.incarnation(leader) == before.incarnation(leader)
    even, _ = balanced(term, machines, 1.0)
    counts = even.shard_map.counts(even.leaders)
    assert max(counts.values()) - min(counts.values()) <= 1


def test_machines_spread_over_shards():
    shards = ShardMap.even(["a"], 1)
    counts = [0] * SHARD_COUNT
    for number in range(6400):
        counts[shards.shard_of(f"n-{number:06d}")] += 1
    assert min(counts) > 60 and max(counts) < 145


def test_a_reconciled_leader_tells_a_successor_of_launches_that_no_report_has_shown():
    """Safety 3: a leader whose machines keep their tokens when another member is dropped answers at once.

    The answer must include tasks just launched that their machine hasn't received yet, or the successor would
    start them elsewhere."""
    sent = []
    leader = make_shard_leader(1, 0)
    leader.apply_machine_list([], 100.0)
    leader.task_commands._send = leader.notifier._send = lambda label, frame: sent.append((label, frame))
    machine = leader.machines["n-000000"]
    machine.grant.holder, machine.grant.serial = "there", 3
    leader.task_commands.on_start(
        "there",
        1,
        frames.StartTasks(
            1, machine.id, 3, "req-9", [(0, 77)], 0, 1.0, 0.0, 3.0, "img", 1.0, 0.0, False, False
        ),
    )
    assert [task.status for task in machine.tasks.values()] == [LAUNCHING]
    leader.task_commands.on_sync("heir", 2, frames.ReconcileRequest(1, 1, ["req-9"], []))
    sent_types = [type(frame) for label, frame in sent if label == "heir"]
    rows = [row for _label, frame in sent if isinstance(frame, frames.TaskStates) for row in frame.rows]
    assert sent_types == [frames.TaskStates, frames.ReconcileDone] and rows == [
        ("req-9", 0, 77, LAUNCHING, "")
    ]


def test_two_successors_that_request_a_job_are_each_sent_its_tasks_before_the_end_of_the_answer():
    """Safety 3: successors of two terms wait for their writes of a job's record; one is refused late.

    The other must not start again what a machine reported while the first had requested the job last."""
    sent = []
    leader = make_shard_leader(0, 0)
    leader.task_commands._send = leader.notifier._send = lambda label, frame: sent.append((label, frame))
    leader.reconciliation.fence_shards([0], False)
    leader.apply_machine_list([listed("n-000000", "running")], 6.5)  # running before the shard moved here
    leader.task_commands.on_sync("heir", 2, frames.ReconcileRequest(1, 1, ["req-0"], []))
    leader.task_commands.on_sync("other", 3, frames.ReconcileRequest(1, 1, ["req-0"], []))
    assert sent == []
    leader.report_processor.answer(make_report(0, 2))
    for label in ("heir", "other"):
        received = [frame for to, frame in sent if to == label]
        assert [type(frame) for frame in received] == [frames.TaskStates, frames.ReconcileDone]
        assert [row[:4] for row in received[0].rows] == [
            ("req-0", 0, 1, "running"),
            ("req-0", 1, 1, "running"),
        ]


def test_a_claim_of_an_owner_that_ended_does_not_take_a_task_from_its_successor():
    """An owner claims a task on a machine that has not reported yet, and ends. Its successor requests the job
    without knowing of the task, and must be told of it, or the job never ends."""
    sent = []
    leader = make_shard_leader(0, 0)
    leader.task_commands._send = leader.notifier._send = lambda label, frame: sent.append((label, frame))
    leader.reconciliation.fence_shards([0], False)
    leader.apply_machine_list([listed("n-000000", "running")], 6.5)
    claims = [("n-000000", "req-0", 0, 1)]
    leader.task_commands.on_sync("ended", 1, frames.ReconcileRequest(1, 1, ["req-0"], claims))
    leader.task_commands.on_sync("heir", 2, frames.ReconcileRequest(1, 1, ["req-0"], []))
    leader.report_processor.answer(make_report(0, 1))
    assert [task.owner for task in leader.machines["n-000000"].tasks.values()] == [("heir", 2)]
    assert frames.TaskStates in [type(frame) for label, frame in sent if label == "heir"]


def test_a_shard_under_a_new_token_is_reconciled_once_its_machines_have_reported():
    leader = make_shard_leader(40, 0)
    leader.apply_machine_list([], 100.0)
    assert leader.reconciliation.is_reconciled()
    other = next(iter(leader.machines.values()))
    other.shard, other.token = 1, 9
    leader.reconciliation.fence_shards([1], False)
    leader.reconciliation.apply_list(200.0, set())
    assert not leader.reconciliation.is_reconciled()
    answer = make_report(0, 0, sequence=2)
    answer.token = 9
    assert leader.report_processor.observe(other, answer) and leader.reconciliation.is_reconciled()


def test_repeated_drops_and_joins_keep_the_shard_map_even():
    rng = random.Random(5)
    term, _ = balanced(term_with_members(LABELS[:3]))
    for _ in range(30):
        label = rng.choice(LABELS[:3])
        term, _ = balanced(term.drop({label}).join(label, str(rng.random())))
        counts = term.shard_map.counts(term.leaders)
        assert max(counts.values()) - min(counts.values()) <= 1


def test_only_a_controller_that_led_until_it_rejoined_uses_the_short_fence():
    """Safety 3: if it was dropped in the meantime, others have led the shards of its machines."""
    world = World("at 20 crash 0\nat 40 crash 1 30\nuntil 90")
    short = {}
    for at, number in ((30.0, 0), (80.0, 1)):
        world.sim.call_at(
            at, lambda number=number: short.update({number: world.nodes[number].member.replaced})
        )
    world.run()
    assert short == {0: True, 1: False}


def test_a_successor_requests_its_jobs_again_once_their_records_name_it():
    """In between, a successor of a later term may have requested them, and would get the answers instead."""
    node = HostedNode(1, 0)
    job_store, sent = node.job_store, []
    job_store._send = job_store.reconciliation._send = lambda _label, frame: sent.append(frame)

    class FakeRecorder:
        scheduled = []

        def schedule_write(self, job, _urgency):
            self.scheduled.append(job)

    job_store.recorder = FakeRecorder()
    job = Job(node.spec(3), ("gone", 1), 0.0)
    job_store.take_over([(job.record(1 << 15)[0], 5)])
    successor = job_store.jobs[job.id]
    assert successor.taking_over and [frame.jobs for frame in sent] == [[job.id]] * 2  # one per shard leader
    job_store._on_written(successor, successor.done, "open")
    node.loop.run_until(0.1)
    assert not successor.taking_over and [frame.jobs for frame in sent] == [[job.id]] * 4
    job_store.reassert_ownership(job.id)
    assert len(sent) == 6


def test_the_largest_term_record_fits_the_smallest_allowed_value_limit():
    """With three and with nine members, and tokens of six digits (up to 999,999 changes)."""
    for count in (3, 9):
        labels = [f"drover-{number}" for number in range(count)]
        term, _ = balanced(term_with_members(labels))
        term.next_token = 999_900
        for _ in range(3):
            for shard in range(SHARD_COUNT):
                term = renew_token(term, shard)
        record = json.dumps(term.to_record(), separators=(",", ":"))
        limits = StateLimits(10.0, 5.0, 1.1 * len(record) / 1024, 3)
        assert state_faults(limits, labels) == []
        limits.value_kb *= 0.8
        assert len(state_faults(limits, labels)) == 1


def run_direct_command(leader, machine, client, counters=None, may_command=lambda: True):
    """Sends a machine its commands over `client`, and returns the routine after it ended."""
    loop = Sim(1)
    workers = WorkerClient(
        loop,
        None,
        Member(),
        timeout_s=3.0,
        may_command=may_command,
        silent_s=4.0,
        sockets=SocketBudget(200, lambda _name: None),
        decisions=DecisionLog(lambda: 0.0, counters or Counters()),
        counters=counters or Counters(),
    )
    workers.shard_leader = leader
    workers._clients[machine.id] = client
    routine = loop.spawn(workers._run_requests(machine, False), "ask")
    loop.run_until(1.0)
    return routine


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (200, messages.encode_struct(make_report(0, 1, sequence=5))),  # its token is lower than the one sent
        (409, b""),
        (200, b"\xff"),
    ],
)
def test_an_impossible_answer_to_a_command_is_counted_and_changes_nothing(status, body):
    leader, counters = make_shard_leader(1, 1), Counters()
    machine = leader.machines["n-000000"]
    machine.add_task(Task("req-9", 0, 1, LAUNCHING, ("here", 1)))
    before = machine.sequence, dict(machine.tasks)

    class Answering:
        address = machine.address

        async def request(self, *_request):
            return status, body, None

    routine = run_direct_command(leader, machine, Answering(), counters)
    assert routine.done.done and routine.done.result() is None
    assert counters.counts["worker_answers_invalid"] == 1
    assert (machine.sequence, machine.tasks) == before


def test_the_answer_of_a_machine_handed_over_during_a_command_is_ignored():
    """The answer names another session and arrives after the machine's shard has moved: the machine is no
    longer registered and must not be commanded again. A simulated day once made the
    routine fail here."""
    leader = make_shard_leader(1, 0)
    machine = leader.machines["n-000000"]
    machine.confirmed_token = 0
    asked = []

    class FakeClient:
        address = machine.address

        async def request(self, *_request):
            asked.append(machine.id)
            leader.reconciliation.drop_shards([machine.shard])
            leader.registry.remove(machine)
            answer = make_report(0, 0, sequence=5)
            answer.session = 3
            return 409, messages.encode_struct(answer), None

    routine = run_direct_command(leader, machine, FakeClient())
    assert routine.done.done and routine.done.result() is None and asked == [machine.id]


def test_authority_lost_during_a_command_starts_nothing_in_a_later_session():
    """Safety 2: an answer from a later session ends every task and launch of the previous session.

    A second request would carry no launch, though it doesn't check authority again. The loss is counted."""
    leader, counters = make_shard_leader(1, 0), Counters()
    machine = leader.machines["n-000000"]
    machine.add_task(Task("req-0", 0, 1, LAUNCHING, ("here", 1)))
    sent, authority = [], [True]

    class Answering:
        address = machine.address

        async def request(self, _method, _path, body, *_rest):
            sent.append(messages.decode(body))
            authority[0] = False
            answer = make_report(0, 0, sequence=5)
            answer.session = 2
            return 409, messages.encode_struct(answer), None

    routine = run_direct_command(leader, machine, Answering(), counters, lambda: authority[0])
    assert routine.done.done and routine.done.result() is None
    assert [[order["verb"] for order in request["orders"]] for request in sent] == [["launch"]]
    assert not machine.tasks and machine.session == 2
    assert counters.counts["authority_lost"] == 1


def test_no_machine_of_a_moving_shard_is_registered_until_the_outcome_is_known():
    """Safety 3: the new leader doesn't wait for machines that boot after the move.

    The old leader must therefore not register any while it can't tell whether the move was committed."""
    world = World("until 20").run()
    member = world.nodes[0].member
    mine = sorted(member.term.shards_of(member.label))
    other = next(label for label in member.term.leaders if label != member.label)

    class NoAnswer:
        async def multi(self, *_transaction):
            raise UnknownOutcomeError("no answer")

    assert all(map(member.may_take_on, mine))
    real, member._state = member._state, NoAnswer()
    world.sim.spawn(member.move({mine[0]: other}), "move")
    world.sim.run_until(20.1)
    assert [shard for shard in mine if not member.may_take_on(shard)] == mine[:1]
    member._state = real
    world.sim.spawn(member.move({mine[0]: other}), "move again")
    world.sim.run_until(22)
    assert mine[0] not in member.term.shards_of(member.label) and all(map(member.may_take_on, mine[1:]))


def test_reports_of_a_machine_that_booted_after_lease_expiry_are_ignored():
    """Safety 3: those of one that a list showed running before count, since a successor waits for it."""
    leader = make_shard_leader(0, 0)
    leader.apply_machine_list([listed("n-000001", "starting"), listed("n-000002", "running")], 100.0)
    leader._member.may_take_on = lambda _shard: False
    leader.apply_machine_list([listed("n-000001", "running")], 110.0)
    assert leader.report_processor.answer(make_report(1, 0)) is None
    assert not leader.report_processor.observe(leader.machines["n-000001"], make_report(1, 0))
    assert (
        leader.report_processor.answer(make_report(2, 0)).token == leader.machines["n-000002"].command_token
    )
    leader._member.may_take_on = lambda _shard: True
    assert (
        leader.report_processor.answer(make_report(1, 0)).token == leader.machines["n-000001"].command_token
    )


def test_booting_machines_of_a_relieved_leader_are_waited_for():
    """Safety 3: a relieved leader that doesn't know of it still serves, and may be the first to hear them.

    They are waited for until a machine list that was requested late enough after it learned
    that it is relieved."""
    term = Term().join("ctl-0", "a").join("ctl-1", "b")
    relieved = term.relieve("ctl-1")
    for unaware in (False, True):
        leader = make_shard_leader(0, 0)
        leader.reconciliation.on_relieved_changed(term, relieved if unaware else term)
        leader.reconciliation.fence_shards([0], False)
        leader.apply_machine_list([listed("n-000001", "starting")], 100.0)
        assert leader.reconciliation.is_reconciled() == (not unaware)
    assert leader.report_processor.answer(make_report(1, 0)) and not leader.reconciliation.is_reconciled()
    leader.reconciliation.on_peer_term("ctl-1", term.number)  # it still has the earlier term
    assert leader.reconciliation.unaware_controllers() == ["ctl-1"]
    leader.reconciliation.on_peer_term("ctl-1", relieved.number)
    assert leader.reconciliation.unaware_controllers() == [] and not leader.reconciliation.is_reconciled()
    leader.apply_machine_list([listed("n-000001", "running")], 100.0)
    assert leader.reconciliation.is_reconciled()


def test_which_controllers_may_not_know_that_they_are_relieved():
    """Safety 3: for each way in which another controller learns that one is or is no longer relieved."""
    term = Term().join("ctl-0", "a").join("ctl-1", "b").join("ctl-2", "c")
    relieved = term.relieve("ctl-1")
    relieved_controllers = RelievedControllers("ctl-0")
    relieved_controllers.on_term(term, relieved)
    assert relieved_controllers.labels() == ["ctl-1"]
    relieved_controllers.on_term(relieved, relieved.join("ctl-1", "d"))  # a new process replaced it
    assert relieved_controllers.labels() == []
    relieved_controllers.begin(relieved)  # after a restart it is unknown since when ctl-1 is relieved
    assert relieved_controllers.labels() == ["ctl-1"]
    relieved_controllers.on_term(relieved, relieved.drop({"ctl-1"}))
    assert relieved_controllers.labels() == []
    # Two terms were missed.
    relieved_controllers.on_term(relieved, relieved.join("ctl-2", "e").drop({"ctl-2"}))
    assert relieved_controllers.labels() == ["ctl-1"]
    own = RelievedControllers("ctl-1")
    own.on_term(term, relieved)
    assert own.labels() == []


def test_a_short_fence_that_has_not_ended_is_extended_when_a_member_is_dropped():
    """Safety 3: that member may have handed over a shard without knowing the outcome, and may still serve."""
    leader = make_shard_leader(0, 0)
    short = leader.reconciliation.fence_ends_at(0)
    leader.reconciliation.extend_fences()
    long = leader.reconciliation.fence_ends_at(0)
    assert long > short + 15
    leader.reconciliation.extend_fences()
    assert leader.reconciliation.fence_ends_at(0) == long


def listed(name, status):
    return messages.ListedMachine(name, "10.1.0.1:9000", "box", "a", True, status, 1.0)
