"""Free capacity is offered to a controller until it is offered a machine that its waiting tasks may use."""

import random
from types import SimpleNamespace

import pytest
from job_specs import job_spec

from roadhead.fleet.provisioning import InstanceOffer, ResourceRequest
from roadhead.jobs.job import Binding, Job
from roadhead.local.sim import Sim
from roadhead.local.world import World
from roadhead.machines.capacity_grants import CapacityGranter
from roadhead.machines.fitting import MAX_FITTING, fitting_count
from roadhead.machines.machine_grant import MachineGrant
from roadhead.machines.placement_rules import split_by_zone, zone_room
from roadhead.telemetry import Counters
from roadhead.wire import frames

OWNER = "ctl-1"
KIND = SimpleNamespace(cpus=4.0, gpus=0.0, memory=16.0, price=0.2, spot_price=0.05)


class FreeMachine:
    """A machine of this leader without tasks."""

    token = confirmed_token = 1
    draining = spot = False
    quarantined_until = 0.0
    notice_at = None
    kind, type = KIND, "box"

    def __init__(self, name, zone, images=()):
        self.id, self.zone, self.images = name, zone, images
        self.grant = MachineGrant()

    @staticmethod
    def free_capacity():
        return 4.0, 0.0, 16.0

    @staticmethod
    def free_slots():
        return 100


class Leader:
    """A leader of free machines, and an owner that uses those of one zone only and returns all others."""

    def __init__(self, machines, usable_zone):
        self.sim = Sim(1)
        self.usable_zone = usable_zone
        self.offered = []
        self.used = None
        self.machines = {machine.id: machine for machine in machines}
        self.granter = CapacityGranter(
            self.sim, "ctl-0", self.machines, 10.0, random.Random(1), self._take, Counters()
        )
        self.granter.window_s = 12.0
        self._returned = []

    def _take(self, _label, frame):
        self.offered.append(frame.machine)
        if frame.zone == self.usable_zone:
            self.used = frame.machine
        else:
            self._returned.append(frames.ReturnGrant(frame.machine, frame.serial, 0))

    def tell(self, count=1, run_s=60.0):
        """The owner's demand arrives, and then what it returns."""
        row = (1, 1.0, 0.0, 1.0, count, True, "", [], run_s, "c", 9.0, True, 5.0)
        self.granter.on_demand(OWNER, frames.Demand(0, [row], ["img"]))
        returned, self._returned = self._returned, []
        for frame in returned:
            self.granter.on_return(OWNER, frame)


def leader_of(useless):
    """Returns a Leader of so many useless machines, which have the image, and one that fits without it."""
    machines = [FreeMachine(f"n-{number:06d}", "south", ("img",)) for number in range(useless)]
    return Leader([*machines, FreeMachine("n-000099", "north")], "north")


@pytest.mark.parametrize("between_s", [0.2, 5.0])
def test_a_machine_that_fits_is_offered_after_all_useless_ones_at_the_latest(between_s):
    """The rows can't say all that an owner knows. Each new demand offered the same machines again, without an
    end, and the one that fits never (review/7)."""
    leader = leader_of(12)
    demands = 0
    while leader.used is None and demands < 50:
        leader.tell()
        demands += 1
        leader.sim.run_until(leader.sim.time + between_s)
    assert leader.used == "n-000099" and demands == 13
    assert len(set(leader.offered)) == len(leader.offered) == 13


def test_a_machine_is_not_offered_again_at_once_for_a_row_that_has_not_changed():
    leader = Leader([FreeMachine("n-000001", "south")], "north")
    for _ in range(5):
        leader.tell()
    assert leader.offered == ["n-000001"]
    leader.sim.run_until(leader.sim.time + 3.0)
    leader.tell()
    assert leader.offered == ["n-000001"] * 2


def test_a_row_that_changed_is_offered_what_was_returned():
    """Other tasks of the same shape may have come, and have a use for it."""
    leader = Leader([FreeMachine("n-000001", "south")], "north")
    leader.tell()
    leader.usable_zone = "south"
    leader.tell(count=2)
    assert leader.used == "n-000001"


def test_a_gang_is_offered_returned_machines_with_each_demand():
    """Whether it has a use for one depends on what else is free."""
    leader = Leader([FreeMachine("n-000001", "south")], "north")
    leader.tell(run_s=0.0)
    leader.tell(run_s=0.0)
    assert leader.offered == ["n-000001"] * 2


def job_with(tasks, zones, **rules):
    """Returns a job with tasks bound in these zones."""
    job = Job(job_spec("req-000001", tasks=tasks, **rules), ("here", 1), 0.0)
    for index, zone in enumerate(zones):
        job.unstarted.remove(index)
        job.bound[index] = Binding(f"n-{index}", zone, 1, "running", 0.0)
    return job


@pytest.mark.parametrize(
    ("rules", "bound", "expected"),
    [
        ({}, ["a"], [("", 3)]),
        ({"zone": "b"}, [], [("b", 4)]),
        ({"one_zone": True}, [], [("", 4)]),
        ({"one_zone": True}, ["b"], [("b", 3)]),
        ({"spread": True}, [], [("a", 2), ("b", 2)]),
        ({"spread": True}, ["a"], [("a", 1), ("b", 2)]),
        ({"spread": True}, ["a", "a"], [("b", 2)]),
        ({"spread": True, "zone": "a"}, ["a", "a"], [("a", 2)]),
    ],
)
def test_a_demand_says_how_many_tasks_each_zone_must_take(rules, bound, expected):
    job = job_with(4, bound, **rules)
    assert split_by_zone(job, 4 - len(bound), ["a", "b"]) == expected


def test_an_odd_task_of_a_scattered_job_may_go_to_any_zone():
    assert split_by_zone(job_with(5, [], spread=True), 5, ["a", "b"]) == [("a", 2), ("b", 2), ("", 1)]
    assert split_by_zone(job_with(5, ["a"], spread=True), 2, ["a", "b"]) == [("", 2)]


def test_with_three_zones_a_full_one_leaves_two():
    job = job_with(4, ["a", "a"], spread=True)
    assert split_by_zone(job, 2, ["a", "b", "c"]) == [("", 2)]
    assert [zone_room(job, zone) for zone in "abc"] == [0, 2, 2]


@pytest.mark.parametrize("seed", [1, 2])
def test_a_replica_starts_again_in_the_zone_that_scatter_leaves(seed):
    """The machines of the other zone have its image and room, but may not take it (review/7)."""
    world = World(f"""
    seed {seed}
    capacity 12
    boot_s 3
    at 1 submit legs=2 vcpus=1 shape=daemon scatter=True runS=100000 expectS=0
    at 12 submit legs=9 vcpus=3 paddock=south runS=200 expectS=200
    at 12 submit legs=2 vcpus=3 paddock=north kit=other runS=200 expectS=200
    until 120
    """)

    def lose_replica():
        for task, worker in list(world.running.items()):
            if task.startswith("req-000001/") and worker.zone == "north":
                worker.end()

    world.sim.call_later(40, lose_replica)
    world.run()
    assert world.violations == []
    assert {worker.zone for task, worker in world.running.items() if task.startswith("req-000001/")} == {
        "north",
        "south",
    }


LAYOUTS = {
    # The zone that the first tasks chose has room on one machine; the other zone's have the image.
    "together": """
    at 1 submit legs=3 vcpus=3 together=True runS=70 expectS=70 paddock=north kit=other
    at 1 submit legs=6 vcpus=2 paddock=south runS=90 expectS=90
    at 12 submit legs=8 vcpus=1 together=True runS=15 expectS=15""",
    # Two gangs need one zone each, and both zones have machines with tasks of other jobs.
    "gangs of one zone": """
    at 1 submit legs=4 vcpus=2 paddock=north runS=60 expectS=60
    at 1 submit legs=4 vcpus=2 paddock=south runS=60 expectS=60
    at 10 submit count=2 legs=4 vcpus=2 shape=group together=True runS=20 expectS=20""",
    # All machines are in one zone; half of the tasks must run in the other one.
    "a zone without machines": """
    at 1 submit legs=12 vcpus=2 paddock=south runS=25 expectS=25
    at 20 submit legs=6 vcpus=2 scatter=True runS=30 expectS=30""",
    # Machines of both zones have tasks of the job, and one zone has its half.
    "tasks in both zones": """
    at 1 submit legs=9 vcpus=2 scatter=True runS=30 expectS=30
    at 1 submit legs=5 vcpus=3 paddock=south runS=60 expectS=60
    at 30 die 1""",
    # The team is at its limit until the first job ends.
    "a team at its limit": """
    cpus_max 8
    at 1 submit legs=4 vcpus=2 paddock=south runS=40 expectS=40
    at 5 submit legs=4 vcpus=2 scatter=True runS=20 expectS=20""",
}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("layout", LAYOUTS)
def test_rules_on_zones_leave_nothing_waiting(layout, seed):
    """Three controllers lead parts of each zone's machines; no job waits beside room that it may use."""
    world = World(f"""
    seed {seed}
    capacity 14
    boot_s 3
    {LAYOUTS[layout]}
    until 200
    expect told done all
    """).run()
    assert world.check() == []


def test_a_machine_is_rented_in_the_zone_that_scatter_asks_for():
    """Free machines of the other zone must not count as the answer to all of what waits."""
    world = World("""
    capacity 14
    boot_s 3
    at 1 submit legs=4 vcpus=4 paddock=south runS=20 expectS=20
    at 18 submit legs=8 vcpus=2 scatter=True runS=100 expectS=100
    until 60
    """).run()
    zones = [worker.zone for task, worker in world.running.items() if task.startswith("req-000002/")]
    assert sorted(zones) == ["north"] * 4 + ["south"] * 4


VANISHING = [5e-324, 1e-310, 2.3e-308, 1e-300]  # amounts, the first ones subnormal


@pytest.mark.parametrize("amount", VANISHING)
@pytest.mark.parametrize("free", [-1e12, -1.0, 0.0, 4.0, 1e12])
def test_counting_what_fits_never_fails(amount, free):
    """`int(inf)` raised OverflowError wherever capacity was granted or machines were rented (review/5)."""
    assert fitting_count((amount, 0.0, 1.0), (free, 0.0, 16.0)) == (16 if free >= 0 else 0)
    assert fitting_count((amount,), (free,)) in (0, MAX_FITTING)


@pytest.mark.parametrize("amount", VANISHING)
def test_a_machine_is_rented_for_a_job_with_a_vanishing_amount(amount):
    kind = SimpleNamespace(name="box", cpus=4.0, gpus=0.0, memory=16.0, price=0.2, spot_price=0.05)
    request = ResourceRequest(1, amount, 0.0, 2.0, 4, True, "", (), 60.0, 60.0)
    assert request.slots(InstanceOffer(kind, "north", False)) == 8


def test_a_job_with_a_vanishing_amount_keeps_nobody_from_machines():
    """It ended all renting, for every job, until it was cancelled (review/5)."""
    world = World("""
    capacity 6
    at 1 submit legs=2 vcpus=1e-310
    at 1 submit legs=2 vcpus=1 paddock=south
    at 5 submit legs=4 vcpus=4
    until 90
    """).run()
    assert world.violations == [] and world.check() == []
    assert {user.last_state for user in world.users.values()} == {"done"}
