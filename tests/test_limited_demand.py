"""A team with a limit rents no more than its limit can use (docs/fleet.md, Renting)."""

from types import SimpleNamespace

import pytest
from mutation import text_of

from roadhead.dispatch.headroom import SharedHeadroom, WaitingTasks
from roadhead.fleet.provisioning import InstanceOffer, ResourceRequest, plan_machines
from roadhead.fleet.quota_limits import (
    QuotaMark,
    RecentlyBooted,
    SustainedHeadroom,
    decode_urgency,
    encode_urgency,
    returnable_count,
)
from roadhead.local.world import World

SEEDS = 8
BOX = ("box", "north", True)


class Quota:
    """Teams `crew` and `night` under one limit, and each under its own; `unstarted` has none."""

    def __init__(self, crew, night, both, sure=True):
        self._capacity_granter = {
            "crew": {"crew": crew, "both": both},
            "night": {"night": night, "both": both},
            "away": None,
        }
        self._sure = sure

    def limited(self, team):
        return team != "free"

    def counted(self, team):
        return self._sure

    def level_rooms(self, team):
        return self._capacity_granter[team]


class Job(SimpleNamespace):
    __hash__ = object.__hash__


def part(team, count, cpus=1.0, gpus=0.0, gang=False):
    spec = SimpleNamespace(team=team, cpus=cpus, gpus=gpus)
    job = Job(spec=spec, resources=(cpus, gpus, 1.0), gang=gang, unstarted=range(count))
    return WaitingTasks(job, count, 2, 0.0, True)


def shared(quota, *parts):
    SharedHeadroom(quota).share(parts)
    return [(part.within, part.mark.name) for part in parts]


def test_what_a_limit_leaves_is_shared_in_queue_order_over_all_levels():
    """Whoever comes later gets what is left of its own limit and of the one that both count in."""
    assert shared(
        Quota(crew=(6.0, 9.0), night=(20.0, 9.0), both=(10.0, 9.0)),
        part("crew", 4),
        part("free", 50),
        part("crew", 3),
        part("night", 9, cpus=2.0),
        part("crew", 5, gpus=1.0),
        part("night", 3),
    ) == [(4, "WITHIN"), (50, "PLAIN"), (2, "WITHIN"), (2, "WITHIN"), (0, "WITHIN"), (0, "WITHIN")]


def test_a_limit_that_cuts_nothing_marks_nothing():
    assert shared(Quota((6.0, 9.0), (6.0, 9.0), (9.0, 9.0)), part("crew", 4), part("night", 5)) == [
        (4, "PLAIN"),
        (5, "PLAIN"),
    ]


def test_a_gang_gets_room_for_all_of_it_or_none():
    assert shared(Quota((6.0, 9.0), (9.0, 9.0), (9.0, 9.0)), part("crew", 7, gang=True), part("crew", 8)) == [
        (0, "WITHIN"),
        (6, "WITHIN"),
    ]


def test_until_all_that_runs_is_known_nothing_is_startable():
    """What would start then is told, so that its machines are kept; of a team owned elsewhere nothing is."""
    quota = Quota((6.0, 9.0), (9.0, 9.0), (9.0, 9.0), sure=False)
    assert shared(quota, part("crew", 8), part("away", 8)) == [(6, "PENDING"), (0, "PENDING")]


def row(mark, count, cpus=1.0):
    return (encode_urgency(2, mark), cpus, 0.0, 1.0, count, True, "", [], 9.0, "work", 50.0, True, 0.0)


def counts(steady, now, *rows):
    return [(entry[1].name, entry[5]) for entry in steady.rentable({"ctl-0": list(rows)}, now)]


def test_rented_is_for_room_that_stays():
    """At the first word all of it counts; then the least within the window; what is pending is no room."""
    steady = SustainedHeadroom(6.0)
    beyond = row(QuotaMark.BEYOND, 99)
    assert counts(steady, 0.0, row(QuotaMark.WITHIN, 30), beyond) == [("WITHIN", 30), ("BEYOND", 99)]
    assert counts(steady, 2.0, row(QuotaMark.WITHIN, 4), beyond) == [("WITHIN", 4), ("BEYOND", 99)]
    assert counts(steady, 4.0, row(QuotaMark.WITHIN, 3), row(QuotaMark.WITHIN, 9)) == [
        ("WITHIN", 3),
        ("WITHIN", 1),
    ]
    assert counts(steady, 9.0, row(QuotaMark.WITHIN, 30), beyond) == [("WITHIN", 12), ("BEYOND", 99)]
    assert counts(steady, 10.0, row(QuotaMark.PENDING, 30)) == []
    assert counts(steady, 12.0, row(QuotaMark.WITHIN, 30), beyond) == [("BEYOND", 99)]
    assert counts(steady, 13.0, row(QuotaMark.PLAIN, 30)) == [("PLAIN", 30)]


def test_marks_travel_in_the_urgency():
    assert [decode_urgency(encode_urgency(rank, mark)) for rank in (0, 4, 9) for mark in QuotaMark] == [
        (rank, mark) for rank in (0, 4, 9) for mark in QuotaMark
    ]


def rented(wants, idle=0, coming=0, fresh=0, up=0):
    kind = SimpleNamespace(name="box", cpus=4.0, gpus=0.0, memory=16.0, price=0.2, spot_price=0.05)
    orders = plan_machines(
        wants,
        [InstanceOffer(kind, "north", True)],
        {BOX: up},
        {BOX: idle},
        float(up - idle),
        {BOX: coming},
        set(),
        1000,
        2.0,
        {BOX: fresh},
    )
    return sum(count for _shape, count in orders)


def want(mark, count, rank=2):
    return ResourceRequest(rank, 1.0, 0.0, 1.0, count, True, "", [], 10.0, 100.0, mark)


def test_what_waits_beyond_the_limit_hastens_but_is_not_rented_for():
    """Within the limit as much is rented as all that waits needs in time; and it delays nobody else's."""
    assert rented([want(QuotaMark.WITHIN, 40)]) == 1
    assert rented([want(QuotaMark.WITHIN, 40), want(QuotaMark.BEYOND, 160)]) == 5
    assert rented([want(QuotaMark.WITHIN, 40), want(QuotaMark.BEYOND, 10000)]) == 10
    assert rented([want(QuotaMark.BEYOND, 10000), want(QuotaMark.PLAIN, 40, rank=3)]) == 1


@pytest.mark.parametrize("there", [{"coming": 4}, {"fresh": 4, "up": 4}, {"idle": 4, "up": 4}])
def test_room_that_is_there_or_on_its_way_is_not_rented_again(there):
    assert rented([want(QuotaMark.WITHIN, 40), want(QuotaMark.BEYOND, 10000)], **there) == 6


def test_machines_are_kept_for_what_is_pending():
    types = {"box": SimpleNamespace(cpus=4.0)}
    fleet = {"ctl-0": [("box", "north", True, 9, 6, 24.0, 0.0, 96.0)]}
    assert returnable_count(4, {"ctl-0": [row(QuotaMark.BEYOND, 50)]}, fleet, types) == 4
    assert returnable_count(4, {"ctl-0": [row(QuotaMark.PENDING, 12)]}, fleet, types) == 2
    assert returnable_count(4, {"ctl-0": [row(QuotaMark.PENDING, 50)]}, fleet, types) == 0
    assert returnable_count(4, {"ctl-0": [row(QuotaMark.PENDING, 50)]}, {}, types) == 0


def limits_unheeded(patch):
    """All that waits is told as if there were no limit."""
    patch.setattr(SharedHeadroom, "share", lambda self, parts: None)


def not_shared_out(patch):
    """Each job is told of as if it had its team's headroom for itself."""
    take = SharedHeadroom._take

    def alone(self, job, wanted):
        self._left.clear()
        self._levels.clear()
        return take(self, job, wanted)

    patch.setattr(SharedHeadroom, "_take", alone)


def any_room_counts(patch):
    """Room within a limit is rented for at its first sight, also between two tasks."""
    patch.setattr(SustainedHeadroom, "_least", lambda self, label, cpus, now: cpus)


def boots_forgotten(patch):
    """Machines count for nothing from when they are up until their homes have heard them."""
    patch.setattr(RecentlyBooted, "counts", lambda self, now: {})


def all_idle_returned(patch):
    """Machines idle while their team's limit is being counted anew are returned."""
    patch.setattr("roadhead.fleet.fleet.returnable_count", lambda idle, told, fleet, types: idle)


@pytest.mark.parametrize(
    "mutate, scenario",
    [
        (limits_unheeded, "limit-rents"),
        (limits_unheeded, "limit-rents-failover"),
        (limits_unheeded, "limit-rents-lowered"),
        (limits_unheeded, "limit-reclaims"),
        (not_shared_out, "limit-rents"),
        (any_room_counts, "limit-rents"),
        (boots_forgotten, "limit-rents"),
        (all_idle_returned, "limit-rents-failover"),
    ],
)
def test_noticed_without_its_guard(mutate, scenario):
    for seed in range(1, SEEDS + 1):
        text = f"{text_of(scenario)}\nseed {seed}\n"
        with pytest.MonkeyPatch.context() as patch:
            mutate(patch)
            faults = World(text).run().check()
        if faults:
            assert World(text).run().check() == []
            return
    raise AssertionError(f"not noticed: {mutate.__doc__}")
