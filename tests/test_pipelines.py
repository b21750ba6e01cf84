"""Jobs with upstream jobs: the dependency index against a reference model, inherited priorities and
deadlines, the cost of waiting jobs, and mutations: each guard is disabled once and a check must notice it."""

import math
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from job_specs import job_spec
from test_cost import HostedNode, count_calls
from test_upgrade import UpgradeWorld, pipelines

from roadhead.jobs.job import Job
from roadhead.jobs.job_store import JobStore
from roadhead.local.sim import Sim
from roadhead.local.world import World
from roadhead.membership import format_gate
from roadhead.pipelines import upstream_parts
from roadhead.pipelines.ancestor_reader import AncestorReader
from roadhead.pipelines.ancestry import Ancestry
from roadhead.pipelines.cancellation_history import CancellationHistory
from roadhead.pipelines.dependency_index import CANCELLED, DONE, DependencyIndex
from roadhead.pipelines.dependency_queue import DependencyQueue
from roadhead.pipelines.inherited_priorities import NO_PRIORITY, InheritedPriorities, passed_priority
from roadhead.settings import LaterLimits, StateLimits
from roadhead.state.client import StateClient
from roadhead.tenants import records
from roadhead.wire import frames, messages

SCENARIOS = Path(__file__).parent / "scenarios"


def spec(number, upstream=None, due_s=None, urgency="standard", estimate_s=10.0):
    names = [f"req-{other}" for other in upstream] if upstream else None
    return job_spec(
        f"req-{number}",
        urgency=urgency,
        tasks=2,
        estimate_s=estimate_s,
        image="img",
        due_s=due_s,
        upstream=names,
    )


class Model:
    """Reference model: computes a job's state anew from how all its ancestors ended, without any cache."""

    def __init__(self):
        self.upstream, self.ends = {}, {}

    def cancelled(self, name):
        if self.ends.get(name) == DONE:
            return False
        return self.ends.get(name) == CANCELLED or any(self.cancelled(above) for above in self.upstream[name])

    def may_start(self, name):
        return not self.cancelled(name) and all(self.ends.get(above) == DONE for above in self.upstream[name])


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.lists(st.integers(1, 12), max_size=4), st.integers(0, 9)), min_size=1, max_size=40)
)
def test_the_dependency_index_agrees_with_a_reference_model(drawn):
    """Jobs arrive and end in any order; like an owner, the test feeds the cancellations that
    `DependencyIndex` returns back into it."""
    model, index, ended, startable, jobs = Model(), DependencyIndex(), {}, set(), []

    def end(name, state):
        todo = [(name, state)]
        while todo:
            name, state = todo.pop()
            ended[name] = state
            started, cancelled = index.on_job_ended(name, state)
            startable.update(job.id for job in started)
            todo += [(job.id, CANCELLED) for job in cancelled]

    for offsets, action in drawn:
        if action < 6 or not jobs:
            number = len(jobs) + 1
            job = Job(spec(number, {number - offset for offset in offsets if offset < number}), ("a", 1), 0.0)
            jobs.append(job)
            model.upstream[job.id] = job.spec.upstream or []
            outcome = index.add(job, ended.get) if job.is_waiting else DONE
            if outcome == DONE:
                startable.add(job.id)
            elif outcome == CANCELLED:
                end(job.id, CANCELLED)
        else:
            job = jobs[(sum(offsets) * 7 + action) % len(jobs)]
            if ended.get(job.id) is None:
                state = DONE if job.id in startable and action < 9 else CANCELLED
                model.ends[job.id] = state
                if index.jobs.get(job.id) is job:
                    index.remove(job)
                end(job.id, state)
        for job in jobs:
            assert (ended.get(job.id) == CANCELLED) == model.cancelled(job.id)
            if ended.get(job.id) is None:
                assert (job.id in startable) == model.may_start(job.id)
                assert (job.id in index.jobs) == (job.id not in startable)
    assert sum(index.by_class.values()) == len(index.jobs) == sum(index.by_team.values())


def test_a_stage_inherits_the_urgency_and_an_earlier_deadline_from_the_last():
    last = Job(spec(3, [2], due_s=100.0, urgency="high", estimate_s=8.0), ("a", 1), 1000.0)
    assert passed_priority(last, (1.0, 1.5)) == (1, 1092.0, 1142.0)
    middle = Job(spec(2, [1], urgency="low", estimate_s=20.0), ("a", 1), 1000.0)
    inherited = InheritedPriorities(48.0)
    assert inherited.set_priority(middle.id, last.id, *passed_priority(last, (1.0, 1.5)), last.id, 1001.0)
    rank, middle.due_by, middle.last_by = inherited.inherited(middle.id)
    middle.raise_urgency(rank)
    assert passed_priority(middle, None) == (1, 1072.0, 1122.0) and middle.shape[0] == 1


def test_an_inherited_priority_ends_with_its_job_or_when_not_repeated():
    inherited = InheritedPriorities(10.0)
    inherited.set_priority("req-1", "req-2", 0, 50.0, 60.0, "req-8", 0.0)
    inherited.set_priority("req-1", "req-3", 1, 40.0, 90.0, "req-9", 5.0)
    assert inherited.inherited("req-1") == (0, 40.0, 60.0) and inherited.last_job("req-1") == "req-9"
    assert inherited.remove_source("req-2") == ["req-1"] and inherited.inherited("req-1") == (1, 40.0, 90.0)
    assert not inherited.set_priority("req-1", "req-3", 1, 40.0, 90.0, "req-9", 9.0)
    assert (
        inherited.expire(15.0) == []
        and inherited.expire(20.0) == ["req-1"]
        and inherited.inherited("req-1") == NO_PRIORITY
    )
    inherited.set_priority("req-1", "req-3", 1, 40.0, 90.0, "req-9", 21.0)
    inherited.remove_target("req-1")
    assert inherited.remove_source("req-3") == [] and NO_PRIORITY[1] == math.inf


def test_upstream_parts_hold_all_ids_in_order_and_fit_a_value():
    names = [f"req-{number:030d}" for number in range(1600)]
    values = upstream_parts.split_names(names, 2048, 1e9)
    assert [name for value in values for name in value["ids"]] == names
    assert max(len(messages.msgspec.json.encode(value)) for value in values) <= 2048
    assert max(len(str(value).replace(" ", "  ")) for value in values) > 1500


def make_node_with_waiting(waiting, others=10):
    """A controller with `waiting` jobs that have upstream jobs and `others` that may run.

    Its attribute `sent` lists the frames that it sends.
    """
    node = HostedNode(1, others)
    node.sent = []
    node.job_store.dependency_queue._send = lambda _label, frame: node.sent.append(frame)
    node.job_store.dependency_queue.dependencies = DependencyIndex()
    for number in range(waiting):
        upstream = ["req-7"] if number < 2000 else [f"req-{number}"]
        spec = messages.msgspec.structs.replace(node.spec(number + 5000), upstream=upstream)
        job = Job(spec, ("here", 1), 0.0)
        assert node.job_store.dependency_queue.add_waiting(job)
    return node


def test_no_pass_iterates_over_waiting_jobs():
    few, many = make_node_with_waiting(1000), make_node_with_waiting(20000)
    for node in (few, many):
        assert (
            len(node.job_store.jobs) == 10 and len(node.job_store.dependency_queue.dependencies.jobs) >= 1000
        )
    assert count_calls(many.job_store.reconciliation.ask_all, []) == count_calls(
        few.job_store.reconciliation.ask_all, []
    )
    assert len(list(many.fair_share.candidates())) == len(list(few.fair_share.candidates())) == 10
    # A heartbeat repeats the inherited priorities of a bounded number of jobs.
    many.member.format_gate.record = {"format": many.member.format_gate.knows, "seen": {}}
    assert (
        0
        < count_calls(many.job_store.dependency_queue.refresh_priorities)
        <= 2.5 * count_calls(few.job_store.dependency_queue.refresh_priorities)
    )


def test_releasing_two_thousand_jobs_costs_in_proportion_to_them():
    many = make_node_with_waiting(20000)
    few = make_node_with_waiting(2000)
    cost = [
        count_calls(node.job_store.remember_final, "req-7", {"s": "done", "n": 1, "d": 1})
        for node in (few, many)
    ]
    assert (
        len(many.job_store.jobs) == 2010 and len(many.job_store.dependency_queue.dependencies.jobs) == 18000
    )
    assert cost[1] <= 1.05 * cost[0] and cost[0] < 2000 * 40


def test_writes_are_sized_for_announced_lower_limits_from_the_start():
    limits = StateLimits(150.0, 20.0, 8.0, 16, LaterLimits(write_rps=15.0, value_kb=2.0, txn_ops=5))
    notified = []
    client = StateClient(Sim(1), None, "10.2.0.1:2379", limits, 3, lambda: notified.append(True))
    assert (client.limits.value_kb, client.limits.txn_ops, client.limits.write_rps) == (2.0, 5, 20.0)
    assert client.batch == 5 and not client.lowered
    client.apply_lower_limits()
    client.apply_lower_limits()
    assert client.lowered and notified == [True] and client.limits.write_rps == 15.0
    assert client.writes.rate == pytest.approx(0.95 * 5.0)


def test_a_tenants_record_is_trimmed_to_the_limit_or_refused():
    tenant = records.Tenant(
        1,
        "kestrel",
        teams=[records.Team(f"team{n}", 1.0, 2.0) for n in range(8)],
        requests={f"a-request-of-somebody-{n}" * 6: n for n in range(8)},
    )
    assert tenant.fitting(8192) is tenant
    smaller = tenant.fitting(600)
    assert smaller.teams == tenant.teams and not smaller.requests
    with pytest.raises(records.InvalidTenantError, match=r"fewer teams or keys"):
        tenant.fitting(300)


# Mutations: each disables one guard


def starts_at_once(patch):
    """A job starts before its upstream jobs are done."""
    patch.setattr(
        DependencyQueue,
        "add_waiting",
        lambda self, job: bool(job.is_waiting and job.release(job.accepted_at)),
    )


def one_is_enough(patch):
    """A job starts once the first of its upstream jobs is done."""
    real = DependencyIndex.on_job_ended

    def on_first_ended(self, name, state):
        if state == DONE:
            for job in self.dependents.get(name, ()):
                for other in list(self._remaining[job]):
                    if other != name:
                        del self._remaining[job][other]
                        del self.dependents[other][job]
        return real(self, name, state)

    patch.setattr(DependencyIndex, "on_job_ended", on_first_ended)


def unknown_taken_for_done(patch):
    """After a failover, an upstream job whose end is unknown counts as done."""
    real = DependencyIndex.add
    patch.setattr(
        DependencyIndex,
        "add",
        lambda self, job, ended: real(
            self, job, (lambda name: ended(name) or DONE) if job.owned_by_predecessor else ended
        ),
    )


def released_without_the_homes(patch):
    """A job taken over in a failover starts once its upstream jobs are done, without asking the shard leaders
    whether its previous owner started it."""

    def released(self, job):
        job.unreconciled_leaders = set()
        self._add_owned(job)

    patch.setattr(JobStore, "on_upstream_done", released)


def never_derived(patch):
    """A job's state is read from its own record alone, not derived from its ancestors."""

    async def derive(self, record):
        return record, []

    patch.setattr(Ancestry, "derive", derive)
    patch.setattr(DependencyQueue, "_cancel", lambda self, job: None)


def only_the_next_above(patch):
    """Only a job's direct upstream jobs are read, not their ancestors."""
    for method in ("read", "read_ahead"):
        real = getattr(AncestorReader, method)

        async def read(self, *args, real=real):
            found = await real(self, *args)
            return {name: record and {**record, "rel": 1.0} for name, record in found.items()}

        patch.setattr(AncestorReader, method, read)
    patch.setattr(DependencyQueue, "_cancel", lambda self, job: None)


def facts_never_old(patch):
    """Cached records of ancestors stay valid after a cancellation."""
    patch.setattr(CancellationHistory, "_add", lambda self, _cancelled: None)
    patch.setattr(DependencyQueue, "_cancel", lambda self, job: None)


def cancellations_not_counted(patch):
    """A cancellation does not change the key that invalidates the cached ancestors."""
    patch.setattr("roadhead.api.cancellation_writer.CANCELLATION_COUNTER", "c/y")
    patch.setattr(DependencyQueue, "_cancel", lambda self, job: None)


def accepted_unseen(patch):
    """A submission whose upstream job was never accepted is accepted."""

    async def check_submission(self, _spec, _own):
        return None, False

    patch.setattr(Ancestry, "check_submission", check_submission)


def opened_by_those_alive(patch):
    """The format gate opens without the controllers that are absent."""
    real = format_gate.next_record
    patch.setattr(
        format_gate,
        "next_record",
        lambda record, labels, present, knows, now: real(
            record, [label for label in labels if label in present], present, knows, now
        ),
    )


def taken_before_the_gate(patch):
    """Submissions with upstream jobs are accepted while an older controller may still take them over."""
    patch.setattr(format_gate.FormatGate, "is_open", property(lambda self: True))


def sizes_of_today(patch):
    """Values and transactions are sized for the current limits, not for the announced ones."""
    patch.setattr(StateLimits, "planned", lambda self: self)


def chains(*more):
    return "\n".join(
        (
            "capacity 6",
            "at 1 submit legs=4 runS=60",
            "at 2 submit legs=1 upstream=1",
            "at 2 submit legs=1 upstream=2",
            "at 2 submit legs=1 upstream=2,3",
            "at 2 submit count=6 legs=1 upstream=4",
            *more,
            "until 140",
        )
    )


ROLL_WITH_FAILOVER = """
capacity 8
at 1 submit count=3 legs=4 runS=30
at 8 upgrade 0
at 14 upgrade 1
at 20 crash 2 12
{}
at 36 crash 0 40
at 36 crash 1 40
until 150
"""


@pytest.mark.parametrize(
    ("mutation", "world"),
    [
        (starts_at_once, "pipeline"),
        (one_is_enough, "pipeline"),
        (unknown_taken_for_done, "pipeline-takeover"),
        (released_without_the_homes, "pipeline-owner-away"),
        (never_derived, chains("at 20 cancel 1")),
        (only_the_next_above, chains("at 20 cancel 1")),
        (facts_never_old, chains("at 20 cancel 1")),
        (cancellations_not_counted, chains("at 20 cancel 1")),
        (accepted_unseen, "pipeline-refused"),
        (opened_by_those_alive, ROLL_WITH_FAILOVER.format(pipelines(25, 4))),
        (taken_before_the_gate, ROLL_WITH_FAILOVER.format(pipelines(25, 4))),
        (sizes_of_today, "pipeline-lowered"),
    ],
    ids=lambda value: value.__name__ if callable(value) else "",
)
def test_a_disabled_guard_is_noticed(mutation, world):
    """Which controller owns a job depends on the seed, so up to 30 are tried. The seed that shows the fault
    must pass without the mutation."""
    rolled = "upgrade" in world
    text = world if "\n" in world else (SCENARIOS / f"{world}.txt").read_text()

    def faults(seed):
        ended_world = (UpgradeWorld if rolled else World)(f"{text}\nseed {seed}\n").run()
        unmet = [] if rolled else ended_world.check()
        return ended_world.violations + unmet + ["too large"] * bool(ended_world.state.oversized)

    for seed in range(1, 31):
        with pytest.MonkeyPatch.context() as patch:
            mutation(patch)
            found = faults(seed)
        if found and not faults(seed):
            return
    raise AssertionError(f"not noticed: {mutation.__doc__}")


def test_an_ended_job_is_recorded_once_and_its_writer_overrides_others():
    node = make_node_with_waiting(3)
    dependency_queue = node.job_store.dependency_queue
    dependency_queue.on_jobs_ended(frames.JobsEnded([("req-7", 2, 2, 1e9, False)]))
    assert len(node.job_store.jobs) == 13 and node.job_store.final_records["req-7"]["e"] == 1e9
    assert all(job.released_at == 1e9 for job in list(node.job_store.jobs.values())[10:])
    dependency_queue.on_jobs_ended(frames.JobsEnded([("req-7", 2, 0, 0.0, True)]))
    assert node.job_store.final_records["req-7"]["s"] == "done"


def test_a_failover_writes_nothing_for_waiting_jobs():
    """A new owner writes a waiting job, and asks all shard leaders about it, only when it is released."""
    node = HostedNode(1, 0)
    job_store, written, sent = node.job_store, [], []
    job_store._send = job_store.reconciliation._send = lambda _label, frame: sent.append(frame)

    class RecorderStub:
        def schedule_write(self, job, _urgency):
            written.append(job)

    job_store.recorder = RecorderStub()
    specs = [
        messages.msgspec.structs.replace(node.spec(number), upstream=["req-7"] if number % 2 else None)
        for number in range(200)
    ]
    job_store.take_over([(Job(job_spec, ("gone", 1), 0.0).record(1 << 15)[0], 5) for job_spec in specs])
    assert (
        len(written) == len(job_store.jobs) == 100
        and len(job_store.dependency_queue.dependencies.jobs) == 100
    )
    assert [len(frame.jobs) for frame in sent] == [100, 100]  # one frame for each shard leader
    job_store.remember_final("req-7", {"s": "done", "n": 1, "d": 1})
    node.loop.run_until(0.1)
    assert len(written) == len(job_store.jobs) == 200
    assert all(
        job.unreconciled_leaders == {"here", "there"} and job.taking_over for job in job_store.jobs.values()
    )
    assert [len(frame.jobs) for frame in sent[2:]] == [100, 100]


def test_a_late_head_record_never_refers_to_collected_parts():
    """A long upstream list is written in parts before the job's head record. Here the head's transaction is
    delayed until the parts were garbage-collected: it must fail, and nothing may be created."""
    world = World("""
    value_kb 2
    txn_ops 5
    capacity 30
    at 1 submit count=130 legs=1 runS=2
    at 20 submit legs=1 runS=2 upstream=1-130
    until 400
    """)
    state, held = world.state, []
    real = state.handle

    async def handle(method, path, args, body, host):
        if path == "/multi" and any(write.get("put") == "j/req-000131" for write in body["writes"]):
            held.append((method, path, args, body, host))
            return 503, {"error": "trouble"}
        return await real(method, path, args, body, host)

    state.handle = handle
    world.run()
    assert held and world.violations == [] and not world.users["req-000131"].accepted
    assert not any(key.startswith(("u/", "j/")) for key in state.data)
    status, answer = state.multi(held[0][3])
    assert status == 409 and any(key.startswith("u/") for key in answer["failed"])


def test_a_job_larger_than_a_value_is_never_accepted():
    world = World(
        "at 1 submit count=2 legs=1\nat 2 submit legs=1 kit=" + "x" * 150 + "\nuntil 40\nexpect told done all"
    )
    world.run()
    assert world.check() == []
    node = world.nodes[0]
    large = spec(9)
    assert node.infeasibility_of(messages.msgspec.structs.replace(large, team="crew")) is None
    types = ["box", *("y" * 190 for _ in range(60))]
    many = messages.msgspec.structs.replace(large, team="crew", types=types)
    assert "larger than the state service takes" in node.infeasibility_of(many)


def test_lower_limits_found_by_one_controller_are_sent_to_all():
    """A controller that was down at that time learns them too, and the summary reports them."""
    world = World(
        "next_write_rps 30\nnext_value_kb 2\nnext_txn_ops 5\nat 1 submit legs=2 runS=4\n"
        "at 20.5 crash 2 6\nuntil 40"
    )
    lowered = []

    def record_lowered():
        lowered.append([node.state.lowered for _number, node in sorted(world.nodes.items())])

    world.sim.call_at(19.0, record_lowered)
    world.sim.call_at(20.0, lambda: world.nodes[0].state.apply_lower_limits())
    for at in (20.2, 36.0):
        world.sim.call_at(at, record_lowered)
    world.run()
    assert world.violations == [] and lowered == [[False] * 3, [True] * 3, [True] * 3]
    assert any("limits are lower" in line for line in world.nodes[0].summary()["troubles"])


def test_a_pipeline_at_risk_is_reported_early_for_its_last_job():
    """The first of three stages has another owner and is too late for the deadline of the last one."""
    world = World("""
    capacity 1
    at 1 submit legs=8 runS=60 expectS=60
    at 20 submit legs=6 runS=8 expectS=8 urgency=low
    at 20 submit legs=1 runS=5 expectS=5 upstream=2
    at 20 submit legs=1 runS=5 expectS=5 upstream=3 dueS=25
    until 45
    """)
    world.run()
    lines = [line for node in world.nodes.values() for line in node.summary()["behind"]]
    assert any("the pipeline of req-000004: req-000002 should be done" in line for line in lines), lines
