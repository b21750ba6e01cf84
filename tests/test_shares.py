"""The map of shares: what a change moves, how even it gets, and that moves come to an end."""

import json
import random

from hypothesis import given, settings
from hypothesis import strategies as st
from test_cost import HostedNode, Member, home_of, report

from roadhead.admission.socket_budget import SocketBudget
from roadhead.decision_log import DecisionLog
from roadhead.jobs.job import Job
from roadhead.local.sim import Sim
from roadhead.local.world import World
from roadhead.machines.machine import LAUNCHING, Task
from roadhead.machines.relieved_controllers import RelievedControllers
from roadhead.machines.worker_client import WorkerClient
from roadhead.membership.term import Term
from roadhead.settings import StateLimits, state_faults
from roadhead.shards.balance import plan_moves
from roadhead.shards.map import SHARD_COUNT, ShardMap
from roadhead.state.client import UnknownOutcomeError
from roadhead.telemetry import Counters
from roadhead.wire import frames, messages

NAMES = [f"n-{number:06d}" for number in range(400)]
LABELS = ["ctl-0", "ctl-1", "ctl-2", "ctl-3", "ctl-4"]


def settled(term, machines=None, most=1 / 8):
    """The term once every home has given away what it may; and the shares moved."""
    moved = 0
    for _ in range(1000):
        given_away = False
        for label in sorted(term.leaders):
            takers = [other for other in sorted(term.leaders) if other != label]
            moves = plan_moves(term.shard_map, label, takers, machines or {}, most)
            if moves:
                term, given_away, moved = term.move(moves, label), True, moved + len(moves)
        if not given_away:
            return term, moved
    raise AssertionError("shares go to and fro")


def joined(labels):
    term = Term()
    for label in labels:
        term = term.join(label, "nonce")
    return term


def test_a_record_reads_back_as_it_was():
    term, _ = settled(joined(LABELS))
    again = Term.from_record(term.to_record())
    assert all(again.leader_and_token(name) == term.leader_and_token(name) for name in NAMES)
    assert again.to_record() == term.to_record()


def test_a_drop_touches_only_what_was_the_dropped_ones():
    term, _ = settled(joined(LABELS))
    after = term.drop({"ctl-2"})
    assert {term.leader_of(name) for name in NAMES} == set(LABELS)
    for name in NAMES:
        if term.leader_of(name) == "ctl-2":
            assert after.leader_of(name) != "ctl-2" and after.leader_and_token(name)[1] == term.next
        else:
            assert after.leader_and_token(name) == term.leader_and_token(name)
    counts = after.shard_map.counts(after.leaders)
    assert max(counts.values()) - min(counts.values()) <= 1


def test_a_restart_renews_its_own_tokens_and_a_new_label_moves_nothing():
    term, _ = settled(joined(LABELS[:3]))
    back = term.join("ctl-1", "other")
    for name in NAMES:
        home, token = term.leader_and_token(name)
        assert back.leader_and_token(name) == (home, term.next if home == "ctl-1" else token)
    more = term.join("ctl-4", "nonce")
    assert all(more.leader_and_token(name) == term.leader_and_token(name) for name in NAMES)


def test_a_join_moves_no_more_than_the_shares_that_must():
    term, _ = settled(joined(LABELS[:4]))
    after, moved = settled(term.join("ctl-4", "nonce"))
    assert moved == SHARD_COUNT // 5 == after.shard_map.counts(after.leaders)["ctl-4"]


def test_no_step_moves_more_machines_than_it_may():
    term = joined(LABELS[:2])
    machines = dict.fromkeys(range(SHARD_COUNT), 10)
    moves = plan_moves(term.shard_map, "ctl-0", ["ctl-1"], machines)
    assert 0 < sum(machines[shard] for shard in moves) <= SHARD_COUNT * 10 / 8


def test_a_relieved_home_gets_nothing_until_it_is_restored():
    term, _ = settled(joined(LABELS[:3]))
    relieved, _ = settled(term.relieve("ctl-0"))
    assert "ctl-0" not in relieved.shard_map.leaders
    again, moved = settled(relieved.restore("ctl-0"))
    assert moved == again.shard_map.counts(again.leaders)["ctl-0"] >= SHARD_COUNT // 3


changes = st.lists(
    st.tuples(
        st.sampled_from(["join", "drop", "relieve", "restore", "step", "raise"]),
        st.integers(0, 4),
        st.integers(0, SHARD_COUNT - 1),
    ),
    max_size=40,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(changes, st.randoms(use_true_random=False))
def test_whatever_changes_each_share_has_a_home_and_tokens_only_grow(drawn, rng):
    machines = {shard: rng.randrange(0, 30) for shard in range(SHARD_COUNT)}
    term = Term().join("ctl-0", "nonce")
    for how, number, shard in drawn:
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
            term = term.raise_share(shard)
        elif label in term.leaders:
            takers = [other for other in sorted(term.leaders) if other != label]
            term = term.move(plan_moves(term.shard_map, label, takers, machines), label)
        assert set(term.shard_map.leaders) <= term.leaders
        for place, (old, new) in enumerate(zip(before.shard_map.tokens, term.shard_map.tokens, strict=True)):
            assert new == old or new >= before.next
            if new == old:  # who keeps its token keeps its home, and the same incarnation of it
                home = term.shard_map.leaders[place]
                assert home == before.shard_map.leaders[place]
                assert term.incarnation(home) == before.incarnation(home)
    even, _ = settled(term, machines, 1.0)
    counts = even.shard_map.counts(even.leaders)
    assert max(counts.values()) - min(counts.values()) <= 1


def test_machines_spread_over_shares():
    shards = ShardMap.even(["a"], 1)
    counts = [0] * SHARD_COUNT
    for number in range(6400):
        counts[shards.shard_of(f"n-{number:06d}")] += 1
    assert min(counts) > 60 and max(counts) < 145


def test_a_home_that_is_sure_tells_an_heir_of_launches_that_no_report_has_shown():
    """Safety 3. Its machines keep their tokens through the drop of another, so it answers at once: what
    it was told to launch just before, and the machine has yet to take, the heir would start elsewhere."""
    sent = []
    home = home_of(1, 0)
    home.apply_machine_list([], 100.0)
    home.task_commands._send = home._notifier._send = lambda label, frame: sent.append((label, frame))
    machine = home.machines["n-000000"]
    machine.grant_holder, machine.grant_serial = "there", 3
    home.task_commands.on_start(
        "there",
        1,
        frames.StartTasks(
            1, machine.id, 3, "req-9", [(0, 77)], 0, 1.0, 0.0, 3.0, "img", 1.0, 0.0, False, False
        ),
    )
    assert [task.status for task in machine.tasks.values()] == [LAUNCHING]
    home.task_commands.on_sync("heir", 2, frames.ReconcileRequest(1, 1, ["req-9"], []))
    told = [type(frame) for label, frame in sent if label == "heir"]
    rows = [row for _label, frame in sent if isinstance(frame, frames.TaskStates) for row in frame.rows]
    assert told == [frames.TaskStates, frames.ReconcileDone] and rows == [("req-9", 0, 77, LAUNCHING, "")]


def test_of_two_heirs_that_name_a_job_each_is_told_what_runs_before_that_all_is_known():
    """Safety 3. The heirs of two terms wait for writes of the record, of which one is refused late: the other
    must not start what a machine showed while this one had named the job last."""
    sent = []
    home = home_of(0, 0)
    home.task_commands._send = home._notifier._send = lambda label, frame: sent.append((label, frame))
    home.reconciliation.fence_shards([0], False)
    home.apply_machine_list([listed("n-000000", "running")], 6.5)  # up before the share came here
    home.task_commands.on_sync("heir", 2, frames.ReconcileRequest(1, 1, ["req-0"], []))
    home.task_commands.on_sync("other", 3, frames.ReconcileRequest(1, 1, ["req-0"], []))
    assert sent == []
    home.report_processor.answer(report(0, 2))
    for label in ("heir", "other"):
        told = [frame for to, frame in sent if to == label]
        assert [type(frame) for frame in told] == [frames.TaskStates, frames.ReconcileDone]
        assert [row[:4] for row in told[0].rows] == [("req-0", 0, 1, "running"), ("req-0", 1, 1, "running")]


def test_a_claim_of_an_owner_that_ended_does_not_take_a_task_from_its_heir():
    """An owner claims a task on a machine that is not heard yet, and ends; its heir names the job, and does
    not know of the task. What becomes of that is the heir's to be told, or the job is never done."""
    sent = []
    home = home_of(0, 0)
    home.task_commands._send = home._notifier._send = lambda label, frame: sent.append((label, frame))
    home.reconciliation.fence_shards([0], False)
    home.apply_machine_list([listed("n-000000", "running")], 6.5)
    claims = [("n-000000", "req-0", 0, 1)]
    home.task_commands.on_sync("ended", 1, frames.ReconcileRequest(1, 1, ["req-0"], claims))
    home.task_commands.on_sync("heir", 2, frames.ReconcileRequest(1, 1, ["req-0"], []))
    home.report_processor.answer(report(0, 1))
    assert [task.owner for task in home.machines["n-000000"].tasks.values()] == [("heir", 2)]
    assert frames.TaskStates in [type(frame) for label, frame in sent if label == "heir"]


def test_a_share_under_a_new_token_is_sure_once_its_own_machines_are_heard():
    home = home_of(40, 0)
    home.apply_machine_list([], 100.0)
    assert home.reconciliation.is_reconciled()
    other = next(iter(home.machines.values()))
    other.shard, other.token = 1, 9
    home.reconciliation.fence_shards([1], False)
    home.reconciliation.apply_list(200.0, set())
    assert not home.reconciliation.is_reconciled()
    answer = report(0, 0, sequence=2)
    answer.token = 9
    assert home.report_processor.observe(other, answer) and home.reconciliation.is_reconciled()


def test_the_order_of_a_roll_does_not_matter_for_evenness():
    rng = random.Random(5)
    term, _ = settled(joined(LABELS[:3]))
    for _ in range(30):
        label = rng.choice(LABELS[:3])
        term, _ = settled(term.drop({label}).join(label, str(rng.random())))
        counts = term.shard_map.counts(term.leaders)
        assert max(counts.values()) - min(counts.values()) <= 1


def test_only_who_was_a_home_until_it_joined_takes_the_short_fence():
    """Safety 3: of one that was dropped meanwhile, others have been the homes of its machines."""
    world = World("at 20 crash 0\nat 40 crash 1 30\nuntil 90")
    short = {}
    for at, number in ((30.0, 0), (80.0, 1)):
        world.sim.call_at(
            at, lambda number=number: short.update({number: world.nodes[number].member.replaced})
        )
    world.run()
    assert short == {0: True, 1: False}


def test_an_heir_names_its_jobs_once_more_when_their_records_name_it():
    """Between the two another heir, of a later term, may have asked the homes and be told in its place."""
    node = HostedNode(1, 0)
    job_store, sent = node.job_store, []
    job_store._send = job_store.reconciliation._send = lambda _label, frame: sent.append(frame)

    class Marked:
        encode_urgency = []

        def schedule_write(self, job, _urgency):
            self.encode_urgency.append(job)

    job_store.recorder = Marked()
    job = Job(node.spec(3), ("gone", 1), 0.0)
    job_store.take_over([(job.record(1 << 15)[0], 5)])
    heir = job_store.jobs[job.id]
    assert heir.taking_over and [frame.jobs for frame in sent] == [[job.id]] * 2  # a home each
    job_store._written(heir, heir.done, "open")
    node.loop.run_until(0.1)
    assert not heir.taking_over and [frame.jobs for frame in sent] == [[job.id]] * 4
    job_store.reassert_ownership(job.id)
    assert len(sent) == 6


def test_the_term_of_the_members_that_settings_allow_fits_the_least_limit():
    """Tokens of 999,999 changes; nine members, and three."""
    for count in (3, 9):
        labels = [f"drover-{number}" for number in range(count)]
        term, _ = settled(joined(labels))
        term.next = 999_900
        for _ in range(3):
            for shard in range(SHARD_COUNT):
                term = term.raise_share(shard)
        record = json.dumps(term.to_record(), separators=(",", ":"))
        limits = StateLimits(10.0, 5.0, 1.1 * len(record) / 1024, 3)
        assert state_faults(limits, labels) == []
        limits.value_kb *= 0.8
        assert len(state_faults(limits, labels)) == 1


def asked_directly(home, machine, client, counters=None, may_command=lambda: True):
    """The routine, run to its end, by which a machine is sent its commands over `client`."""
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
    )
    workers.shard_leader = home
    workers._clients[machine.id] = client
    routine = loop.spawn(workers._ask(machine, False), "ask")
    loop.run_until(1.0)
    return routine


def test_a_machine_given_away_while_it_is_asked_is_not_heard_any_more():
    """Its answer names another session, and comes after its share has another home: what is known of it is
    gone, and the home may not command it again. Seen on an own day as a routine that failed."""
    home = home_of(1, 0)
    machine = home.machines["n-000000"]
    machine.confirmed_token = 0
    asked = []

    class Asked:
        address = machine.address

        async def request(self, *_request):
            asked.append(machine.id)
            home.reconciliation.drop_shards([machine.shard])
            home.registry.remove(machine)
            answer = report(0, 0, sequence=5)
            answer.session = 3
            return 409, messages.write(answer), None

    routine = asked_directly(home, machine, Asked())
    assert routine.done.done and routine.done.result() is None and asked == [machine.id]


def test_authority_lost_while_a_command_is_under_way_starts_nothing_in_a_later_session():
    """Safety 2. The second request follows word of a later session, with which all of the one before is
    freed, launches too: it carries none, though it does not ask for authority again. The loss is counted."""
    home, counters = home_of(1, 0), Counters()
    machine = home.machines["n-000000"]
    machine.add_task(Task("req-0", 0, 1, LAUNCHING, ("here", 1)))
    sent, authority = [], [True]

    class Answering:
        address = machine.address

        async def request(self, _method, _path, body, *_rest):
            sent.append(messages.decode(body))
            authority[0] = False
            answer = report(0, 0, sequence=5)
            answer.session = 2
            return 409, messages.write(answer), None

    routine = asked_directly(home, machine, Answering(), counters, lambda: authority[0])
    assert routine.done.done and routine.done.result() is None
    assert [[order["verb"] for order in request["orders"]] for request in sent] == [["launch"]]
    assert not machine.tasks and machine.session == 2
    assert counters.counts["authority_lost"] == 1


def test_what_is_offered_to_others_is_not_taken_on_until_the_outcome_is_known():
    """Safety 3: the new home does not wait for machines that come up after the move, carried out or not as
    far as the giver can tell."""
    world = World("until 20").run()
    member = world.nodes[0].member
    mine = sorted(member.term.shards_of(member.label))
    other = next(label for label in member.term.leaders if label != member.label)

    class Silent:
        async def multi(self, *_transaction):
            raise UnknownOutcomeError("no answer")

    assert all(map(member.may_take_on, mine))
    real, member._state = member._state, Silent()
    world.sim.spawn(member.move({mine[0]: other}), "move")
    world.sim.run_until(20.1)
    assert [shard for shard in mine if not member.may_take_on(shard)] == mine[:1]
    member._state = real
    world.sim.spawn(member.move({mine[0]: other}), "move again")
    world.sim.run_until(22)
    assert mine[0] not in member.term.shards_of(member.label) and all(map(member.may_take_on, mine[1:]))


def test_a_machine_that_came_up_after_a_lapse_is_not_heard():
    """Safety 3; one that a list showed to be up before is: an heir waits for it."""
    home = home_of(0, 0)
    home.apply_machine_list([listed("n-000001", "starting"), listed("n-000002", "running")], 100.0)
    home._member.may_take_on = lambda _share: False
    home.apply_machine_list([listed("n-000001", "running")], 110.0)
    assert home.report_processor.answer(report(1, 0)) is None
    assert not home.report_processor.observe(home.machines["n-000001"], report(1, 0))
    assert home.report_processor.answer(report(2, 0)).token == home.machines["n-000002"].token
    home._member.may_take_on = lambda _share: True
    assert home.report_processor.answer(report(1, 0)).token == home.machines["n-000001"].token


def test_machines_of_a_relieved_home_are_waited_for_although_they_boot():
    """Safety 3: that one serves on, may not know, and may hear them first; so it is until a list asked for
    late enough after it knew."""
    term = Term().join("ctl-0", "a").join("ctl-1", "b")
    relieved = term.relieve("ctl-1")
    for unaware in (False, True):
        home = home_of(0, 0)
        home.reconciliation.on_relieved_changed(term, relieved if unaware else term)
        home.reconciliation.fence_shards([0], False)
        home.apply_machine_list([listed("n-000001", "starting")], 100.0)
        assert home.reconciliation.is_reconciled() == (not unaware)
    assert home.report_processor.answer(report(1, 0)) and not home.reconciliation.is_reconciled()
    home.reconciliation.on_peer_term("ctl-1", term.number)  # as it was before
    assert home.reconciliation.unaware_controllers() == ["ctl-1"]
    home.reconciliation.on_peer_term("ctl-1", relieved.number)
    assert home.reconciliation.unaware_controllers() == [] and not home.reconciliation.is_reconciled()
    home.apply_machine_list([listed("n-000001", "running")], 100.0)
    assert home.reconciliation.is_reconciled()


def test_who_may_not_know_that_it_is_relieved():
    """Safety 3: by each way in which another learns of the relief, and of its end."""
    term = Term().join("ctl-0", "a").join("ctl-1", "b").join("ctl-2", "c")
    relieved = term.relieve("ctl-1")
    relief = RelievedControllers("ctl-0")
    relief.on_term(term, relieved)
    assert relief.labels() == ["ctl-1"]
    relief.on_term(relieved, relieved.join("ctl-1", "d"))  # its process was replaced
    assert relief.labels() == []
    relief.begin(relieved)  # a restart: since when it is relieved is not known
    assert relief.labels() == ["ctl-1"]
    relief.on_term(relieved, relieved.drop({"ctl-1"}))
    assert relief.labels() == []
    relief.on_term(relieved, relieved.join("ctl-2", "e").drop({"ctl-2"}))  # two terms were not seen
    assert relief.labels() == ["ctl-1"]
    own = RelievedControllers("ctl-1")
    own.on_term(term, relieved)
    assert own.labels() == []


def test_a_short_fence_that_is_not_over_grows_long_once_a_member_is_dropped():
    """Safety 3: that one may have given a share away without knowing, and live on."""
    home = home_of(0, 0)
    short = home.reconciliation.fence_ends_at(0)
    home.reconciliation.extend_fences()
    long = home.reconciliation.fence_ends_at(0)
    assert long > short + 15
    home.reconciliation.extend_fences()
    assert home.reconciliation.fence_ends_at(0) == long


def listed(name, status):
    return messages.ListedMachine(name, "10.1.0.1:9000", "box", "a", True, status, 1.0)
