"""How the cost of handlers grows with the fleet, the jobs and the tenants, counted in function calls, not in
seconds, so that the machine's load does not matter."""

import gc
import random
import sys
import tracemalloc
from functools import partial

import pytest
from job_specs import job_spec

from roadhead.decision_log import DecisionLog
from roadhead.dispatch.dispatcher import Dispatcher
from roadhead.jobs.job import Binding, Job
from roadhead.jobs.job_store import JobStore as RealJobStore
from roadhead.local.sim import Sim
from roadhead.local.world import World
from roadhead.machines.shard_leader import ShardLeader
from roadhead.machines.task import TaskRequirements
from roadhead.membership.format_gate import FormatGate
from roadhead.pipelines.dependency_queue import DependencyQueue
from roadhead.telemetry import Counters
from roadhead.tenants import ids, records
from roadhead.tenants.admission_controller import TenantAdmissionController
from roadhead.tenants.teams import FairShare
from roadhead.wire import frames, messages

MACHINE_TYPE = messages.MachineType("box", 4.0, 16.0, 0.2, ["a"], cache_gb=40.0, spot_price=0.05)
REQUIREMENTS = TaskRequirements((1.0, 0.0, 3.0), "img", 1.0, 0.0, False)


class Term:
    number = 1
    members = ("here", "there")
    relieved = frozenset()

    def serves(self, _label, _incarnation):
        return True

    def leader_of(self, _machine):
        return "here"

    def shard_of(self, _machine):
        return 0

    def leader_and_token(self, _machine):
        return "here", 7

    def shards_of(self, _label):
        return {0: 7}


OPEN_GATE = FormatGate(4, ["here"])
OPEN_GATE.take({"format": 4, "seen": {}}, 1)


class Member:
    label, incarnation, joined, term, format_gate = "here", 1, True, Term(), OPEN_GATE
    revision, term_at = 1, 0.0

    def lease_may_have_expired(self):
        return False

    def may_take_on(self, _shard):
        return True


class Workers:
    lease_s, report_s, cancel_s = 12.0, 2.0, 32.0


class Cloud:
    list_lag_s = 3.0


class Deployment:
    workers, cloud = Workers(), Cloud()


def count_calls(fn, *args):
    """Returns how many Python and C functions are called while `fn` runs.

    The garbage collector is off meanwhile: Hypothesis registers a callback on it, whose calls would count.
    """
    count = 0

    def profile(_frame, event, _arg):
        nonlocal count
        count += event in ("call", "c_call")

    gc.disable()
    sys.setprofile(profile)
    try:
        fn(*args)
    finally:
        sys.setprofile(None)
        gc.enable()
    return count


def make_report(number, tasks=(), sequence=1):
    return messages.Report(
        f"n-{number:06d}",
        "10.1.0.1:9000",
        "box",
        "a",
        True,
        1,
        sequence,
        7,
        [messages.TaskReport(f"req-{number}/{index}", 1, "running") for index in range(tasks)],
    )


def make_shard_leader(machines, tasks):
    """A shard leader with `machines` machines, each with `tasks` running tasks of one CPU."""
    counters = Counters()
    home = ShardLeader(
        Sim(1),
        "here",
        Member(),
        Deployment(),
        10.0,
        random.Random(1),
        lambda _label, _frame: True,
        lambda _machine: None,
        lambda _job: None,
        counters,
        DecisionLog(lambda: 0.0, counters),
    )
    home.registry.types = {"box": MACHINE_TYPE}
    home.begin(True)
    home.capacity_granter.window_s = 12.0
    for number in range(machines):
        machine = home.registry.register(f"n-{number:06d}", "10.1.0.1:9000", "box", "a", True, 0.0)
        home.report_processor.answer(make_report(number, tasks))
        for task in list(machine.tasks.values()):
            machine.set_requirements(task, REQUIREMENTS)
    return home


def demand(rows):
    return frames.Demand(
        0,
        [
            (2, 1.0 + number / 100, 0.0, 3.0, 50, True, "", [], 10.0, "c", 50.0, True, 100.0 + number)
            for number in range(rows)
        ],
        ["img"],
    )


@pytest.mark.parametrize("tasks", [4, 0])
def test_a_demand_costs_at_most_in_proportion_to_machines(tasks):
    """Full machines are only checked; free ones are granted until the demand is met."""
    small = count_calls(make_shard_leader(100, tasks).capacity_granter.on_demand, "there", demand(5))
    large = count_calls(make_shard_leader(400, tasks).capacity_granter.on_demand, "there", demand(5))
    assert small > 0
    assert large <= 4.6 * small


def test_a_demand_met_by_few_machines_grants_no_more():
    one = frames.Demand(0, [(2, 1.0, 0.0, 3.0, 4, True, "", [], 10.0, "c", 50.0, True, 1.0)], [])
    home = make_shard_leader(200, 0)
    home.capacity_granter.on_demand("there", one)
    assert sum(machine.grant.holder is not None for machine in home.machines.values()) == 1


def test_a_report_with_nothing_new_costs_the_same_for_any_number_of_tasks():
    few, many = make_shard_leader(1, 4), make_shard_leader(1, 64)
    first = count_calls(few.report_processor.answer, make_report(0, 4, sequence=2))
    second = count_calls(many.report_processor.answer, make_report(0, 64, sequence=2))
    assert 0 < second <= first + 2


def test_a_report_costs_the_same_in_any_fleet():
    first = count_calls(make_shard_leader(10, 4).report_processor.answer, make_report(0, 3, sequence=2))
    second = count_calls(make_shard_leader(400, 4).report_processor.answer, make_report(0, 3, sequence=2))
    assert 0 < second <= first + 2


def listed(machines):
    return [
        messages.ListedMachine(f"n-{number:06d}", "10.1.0.1:9000", "box", "a", True, "running", 60.0)
        for number in range(machines)
    ]


def costs(machines):
    """Calls made for a report, a machine list, a heartbeat and a reconciliation check at that fleet size."""
    home = make_shard_leader(machines, 0)
    return (
        count_calls(home.report_processor.answer, make_report(0, 0, sequence=2)),
        count_calls(home.apply_machine_list, listed(machines), 100.0),
        count_calls(home.tick, 0.0) + count_calls(home.machine_counts),
        count_calls(home.reconciliation.is_reconciled),
    )


def test_the_cost_per_machine_is_the_same_in_any_fleet():
    """A report and a reconciliation check cost the same in any fleet; a machine list and a heartbeat grow at
    most in proportion."""
    small, large = costs(500), costs(2000)
    for few, many in zip(small[::3], large[::3], strict=True):
        assert 0 < many <= few + 2
    for few, many in zip(small[1:3], large[1:3], strict=True):
        assert few > 0 and many <= 4.2 * few


def test_a_reconciliation_request_costs_in_proportion_to_its_entries():
    """After a failover there is one request for every few jobs that were taken over."""
    jobs = [f"req-{number}" for number in range(20)]
    frame = frames.ReconcileRequest(
        1, 1, jobs, [(f"n-{number:06d}", f"req-{number}", 0, 1) for number in range(20)]
    )
    few, many = make_shard_leader(100, 4), make_shard_leader(400, 4)
    assert (
        0
        < count_calls(many.task_commands.on_sync, "there", 1, frame)
        <= (count_calls(few.task_commands.on_sync, "there", 1, frame) + 2)
    )
    few, many = make_shard_leader(100, 4), make_shard_leader(400, 4)
    assert (
        0
        < count_calls(partial(many.task_commands.set_job_requirements, over=False), "req-7", REQUIREMENTS)
        <= (
            count_calls(partial(few.task_commands.set_job_requirements, over=False), "req-7", REQUIREMENTS)
            + 2
        )
    )
    assert (
        0
        < count_calls(many.task_commands.cancel, ["req-7"])
        <= count_calls(few.task_commands.cancel, ["req-7"]) + 2
    )


def test_reports_after_a_term_change_cost_in_proportion_while_requests_wait():
    """After a term change each report might be the last one that a reconciliation request waits for, so the
    check after each report must not iterate over all machines."""

    def hear_all(machines):
        home = make_shard_leader(machines, 0)
        for machine in home.machines.values():
            machine.confirmed_token = 0
        home.reconciliation.fence_shards([0], True)
        home.apply_machine_list(listed(machines), 7.0)  # a recent list of machines that were up before
        home.task_commands.on_sync("there", 1, frames.ReconcileRequest(1, 1, [], []))
        assert not home.reconciliation.is_reconciled()
        reports = [make_report(number, 0, sequence=2) for number in range(machines)]
        total = count_calls(lambda: [home.report_processor.answer(message) for message in reports])
        assert home.reconciliation.is_reconciled()
        return total

    assert 0 < hear_all(400) <= 4.2 * hear_all(100)


class Unlimited:
    """Stub of the quota partitions of a controller without limited teams."""

    has_limits = False

    def is_limited(self, _team):
        return False


class JobStore:
    def __init__(self, jobs):
        self.quota = Unlimited()
        self.jobs = {job.id: job for job in jobs}
        self.version = 1
        self.new_jobs = []
        self.jobs_seen = {}

    def arriving_jobs(self, _max_unconfirmed_cpus):
        return []

    def bind(self, job, machine, zone):
        index = job.unstarted.pop()
        job.bound[index] = Binding(machine, zone, 1, "launching", 0.0)
        return index, 1


def make_dispatcher(jobs, grants):
    def job(number):
        return Job(
            job_spec(f"req-{number}", tasks=50, memory=3.0, image=f"img-{number % 9}"),
            ("here", 1),
            0.0,
        )

    sim = Sim(1)
    dispatcher = Dispatcher(
        sim,
        "here",
        Member(),
        JobStore([job(number) for number in range(jobs)]),
        {"c": ([60.0], [], [])},
        random.Random(1),
        lambda _label, _frame: True,
        Counters(),
        gap_s=0.25,
        window_s=12.0,
        default_target_s=180.0,
    )
    dispatcher.queue.time_of_day = lambda: 10.0
    dispatcher.queue.capacity = lambda: 100.0
    for number in range(grants):
        dispatcher.on_grant(
            frames.Grant(f"n-{number:06d}", 1, 0, "box", "a", "here", True, 1.0, 0.0, 4.0, [], 10.0)
        )
    return dispatcher


class Hosted:
    master, slots, stale_s, patience, preempt = b"m" * 32, 24, 20.0, 0.1, True

    def left_of(self, limits):
        return limits


class HostedNode:
    """Stub of a controller with tenants and open jobs, as tenant admission needs it."""

    def __init__(self, tenants, jobs):
        self.loop = Sim(1)
        self.tenant_admission = TenantAdmissionController(self.loop, Hosted(), lambda: 1e9)
        for number in range(1, tenants + 1):
            record = records.Tenant(
                number,
                f"tenant-{number}",
                teams=[records.Team(f"team{team}", cpus=1.0) for team in range(10)],
            )
            self.tenant_admission.table.take(records.tenant_key(number), record.to_record(), number)
        self.member = Member()
        self.member.term = HostedTerm()
        self.member.watched_at = 0.0
        self.job_store = RealJobStore(
            self.loop,
            self.member,
            lambda *_: None,
            lambda _label, _frame: True,
            lambda: None,
            Counters(),
            lambda: 1e9,
            12.0,
            None,
            self.tenant_admission.teams,
            None,
            None,
            lambda job_store: DependencyQueue(
                self.loop,
                self.member,
                None,
                job_store,
                lambda _label, _frame: True,
                {},
                lambda: 1e9,
                12.0,
                1.0,
                None,
                Counters(),
            ),
            None,
        )
        self.job_store.quota.on_term(None, self.member.term)
        self.job_store.quota.scanned = 1
        self.tenant_admission._node = self
        for number in range(jobs):
            job = Job(self.spec(number), ("here", 1), 0.0)
            self.job_store._add_owned(job)
        self.fair_share = FairShare(
            self.tenant_admission.teams, self.job_store.accounts, lambda: (400.0, 0.0, 1600.0), 1e6, 1e7
        )

    def spec(self, number):
        return job_spec(
            ids.to_job(1 + number % 5, f"j{number}"),
            team=ids.to_team(1 + number % 5, f"team{number % 10}"),
            tasks=5,
            memory=3.0,
            image="img",
        )


class HostedTerm(Term):
    quota_leaders = ("here",) * 24
    incarnation = staticmethod(lambda _label: 1)

    def partition_of(self, group):
        return int(group) % 24

    def quota_leader(self, _group):
        return "here"


def test_idle_tenants_cost_nothing_when_jobs_are_accepted_and_placed():
    few, many = HostedNode(10, 200), HostedNode(1000, 200)
    for node in (few, many):
        node.jobs = list(node.job_store.jobs.values())
    spec = few.spec(900_000)
    assert (
        0
        < count_calls(many.tenant_admission.refusal, spec, 10)
        <= count_calls(few.tenant_admission.refusal, spec, 10) + 2
    )
    assert (
        0
        < count_calls(many.fair_share.assign_positions, many.jobs)
        <= 1.05 * count_calls(few.fair_share.assign_positions, few.jobs)
    )
    assert (
        count_calls(many.job_store.quota.headroom, "1/team3")
        <= count_calls(few.job_store.quota.headroom, "1/team3") + 2
    )
    record = records.Tenant(7, "tenant-7", version=2, teams=[records.Team("team1")]).to_record()
    few.dispatcher = many.dispatcher = Ignored()
    for node in (few, many):
        node.tenant_admission._removal = Ignored()
    change = (records.tenant_key(7), record, 10**6)
    # The persistent map is a tree, so only the depth of its paths may grow.
    assert (
        count_calls(many.tenant_admission.table.take, *change)
        <= count_calls(few.tenant_admission.table.take, *change) + 8
    )


def test_ordering_costs_the_same_however_many_jobs_wait():
    def order_cost(node):
        return count_calls(lambda: node.fair_share.assign_positions(list(node.fair_share.candidates())))

    few, many = HostedNode(10, 3000), HostedNode(10, 12_000)
    assert 0 < order_cost(many) <= 1.05 * order_cost(few)
    spec = few.spec(900_000)
    # Fills the cached task counts.
    few.tenant_admission.refusal(spec, 10), many.tenant_admission.refusal(spec, 10)
    assert (
        0
        < count_calls(many.tenant_admission.refusal, spec, 10)
        <= count_calls(few.tenant_admission.refusal, spec, 10) + 2
    )


class Ignored:
    def schedule_placement(self):
        pass

    def note(self, _tenant):
        pass


def test_memory_per_tenant_and_open_job_is_bounded():
    """Bounds the bytes per tenant and per open job; docs/tenants.md has the measured figures."""

    def traced_bytes(tenants, jobs):
        tracemalloc.start()
        node = HostedNode(tenants, jobs)
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        assert len(node.job_store.jobs) == jobs
        return size

    base, tenants, jobs = traced_bytes(10, 10), traced_bytes(510, 10), traced_bytes(10, 2010)
    assert (tenants - base) / 500 < 8_000
    assert (jobs - base) / 2000 < 6_000


def records_listed_at_failover(finals):
    """Records listed while a controller is removed from the term, with `finals` jobs that ended long ago."""
    world = World("at 1 submit legs=4 runS=200\nat 30 crash 0 60\nuntil 60")
    for number in range(finals):
        world.state.put(f"f/req-{500000 + number}", {"s": "done", "n": 1, "d": 1})
    world.sim.call_at(29.0, setattr, world.state, "listed", 0)
    world.run()
    assert not world.violations
    return world.state.listed


def test_a_failover_lists_open_jobs_only():
    few = records_listed_at_failover(100)
    assert 0 < few == records_listed_at_failover(5000)


def requests_at_failover(tenants):
    """Requests to the state service while a controller is removed from the term, with `tenants` idle ones."""
    world = World(
        "gateways 1\nat 5 tenant busy team=crew\nat 8 submit tenant=busy legs=4 runS=200 count=9\n"
        "at 30 crash 0 60\nuntil 50"
    )
    for number in range(10, 10 + tenants):
        record = records.Tenant(number, f"tenant-{number}", teams=[records.Team("team")]).to_record()
        world.state.put(records.tenant_key(number), record)
    counted = []
    for at in (29.0, 50.0):
        world.sim.call_at(at, lambda: counted.append(world.state.requests))
    world.run()
    assert not world.violations and len(world.running) >= 4
    return counted[1] - counted[0]


def test_idle_tenants_cost_no_requests_at_a_failover():
    few = requests_at_failover(10)
    assert 0 < requests_at_failover(900) <= 1.05 * few


def test_a_placement_pass_costs_in_proportion_to_jobs_plus_grants():
    plain = count_calls(make_dispatcher(50, 20)._run_placement)
    jobs = count_calls(make_dispatcher(200, 20)._run_placement)
    both = count_calls(make_dispatcher(200, 80)._run_placement)
    assert jobs <= 4.6 * plain
    assert both <= 4.6 * plain


def test_a_placement_pass_costs_the_same_however_many_jobs_wait_behind():
    def cost_of_one_more(jobs):
        dispatcher = make_dispatcher(jobs, 1)
        dispatcher._run_placement()
        dispatcher.on_grant(frames.Grant("n-000777", 2, 0, "box", "a", "here", True, 1.0, 0.0, 4.0, [], 10.0))
        return count_calls(dispatcher._run_placement)

    assert 0 < cost_of_one_more(500) <= cost_of_one_more(50) + 20
