"""For a team with a limit, no more machines are rented than the limit can use (docs/fleet.md, Renting)."""

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
    """Stub of the quota partitions.

    Teams `crew` and `night` have a limit each and one for both together; team `free` has none; team `away`
    belongs to another quota leader. A limit leaves headroom as (CPUs, GPUs).
    """

    def __init__(self, crew, night, both, is_counted=True):
        self._headroom_by_team = {
            "crew": {"crew": crew, "both": both},
            "night": {"night": night, "both": both},
            "away": None,
        }
        self._is_counted = is_counted

    def is_limited(self, team):
        return team != "free"

    def is_counted(self, team):
        return self._is_counted

    def headroom_by_level(self, team):
        return self._headroom_by_team[team]


class Job(SimpleNamespace):
    __hash__ = object.__hash__


def waiting_tasks(team, count, cpus=1.0, gpus=0.0, gang=False):
    spec = SimpleNamespace(team=team, cpus=cpus, gpus=gpus)
    job = Job(spec=spec, resources=(cpus, gpus, 1.0), gang=gang, unstarted=range(count))
    return WaitingTasks(job, count, 2, 0.0, True)


def shared(quota, *parts):
    SharedHeadroom(quota).share(parts)
    return [(part.within, part.mark.name) for part in parts]


def test_headroom_is_divided_in_queue_order_over_all_levels():
    """A later job gets what is left of its team's own limit and of the limit that both teams share."""
    assert shared(
        Quota(crew=(6.0, 9.0), night=(20.0, 9.0), both=(10.0, 9.0)),
        waiting_tasks("crew", 4),
        waiting_tasks("free", 50),
        waiting_tasks("crew", 3),
        waiting_tasks("night", 9, cpus=2.0),
        waiting_tasks("crew", 5, gpus=1.0),
        waiting_tasks("night", 3),
    ) == [(4, "WITHIN"), (50, "PLAIN"), (2, "WITHIN"), (2, "WITHIN"), (0, "WITHIN"), (0, "WITHIN")]


def test_a_limit_that_holds_nothing_back_leaves_jobs_unmarked():
    assert shared(
        Quota((6.0, 9.0), (6.0, 9.0), (9.0, 9.0)), waiting_tasks("crew", 4), waiting_tasks("night", 5)
    ) == [
        (4, "PLAIN"),
        (5, "PLAIN"),
    ]


def test_a_gang_gets_headroom_for_all_its_tasks_or_none():
    assert shared(
        Quota((6.0, 9.0), (9.0, 9.0), (9.0, 9.0)),
        waiting_tasks("crew", 7, gang=True),
        waiting_tasks("crew", 8),
    ) == [
        (0, "WITHIN"),
        (6, "WITHIN"),
    ]


def test_work_is_pending_until_all_running_tasks_are_counted():
    """The tasks that would then start are reported as pending, so that their machines are kept. Nothing is
    reported for a team that belongs to another quota leader."""
    quota = Quota((6.0, 9.0), (9.0, 9.0), (9.0, 9.0), is_counted=False)
    assert shared(quota, waiting_tasks("crew", 8), waiting_tasks("away", 8)) == [
        (6, "PENDING"),
        (0, "PENDING"),
    ]


def row(mark, count, cpus=1.0):
    return (encode_urgency(2, mark), cpus, 0.0, 1.0, count, True, "", [], 9.0, "work", 50.0, True, 0.0)


def rentable_counts(headroom, now, *rows):
    return [(entry[1].name, entry[5]) for entry in headroom.rentable({"ctl-0": list(rows)}, now)]


def test_machines_are_rented_for_sustained_headroom_only():
    """The first report counts in full, later ones by the lowest headroom within the window. Pending work
    counts as no headroom."""
    headroom = SustainedHeadroom(6.0)
    beyond = row(QuotaMark.BEYOND, 99)
    assert rentable_counts(headroom, 0.0, row(QuotaMark.WITHIN, 30), beyond) == [
        ("WITHIN", 30),
        ("BEYOND", 99),
    ]
    assert rentable_counts(headroom, 2.0, row(QuotaMark.WITHIN, 4), beyond) == [("WITHIN", 4), ("BEYOND", 99)]
    assert rentable_counts(headroom, 4.0, row(QuotaMark.WITHIN, 3), row(QuotaMark.WITHIN, 9)) == [
        ("WITHIN", 3),
        ("WITHIN", 1),
    ]
    assert rentable_counts(headroom, 9.0, row(QuotaMark.WITHIN, 30), beyond) == [
        ("WITHIN", 12),
        ("BEYOND", 99),
    ]
    assert rentable_counts(headroom, 10.0, row(QuotaMark.PENDING, 30)) == []
    assert rentable_counts(headroom, 12.0, row(QuotaMark.WITHIN, 30), beyond) == [("BEYOND", 99)]
    assert rentable_counts(headroom, 13.0, row(QuotaMark.PLAIN, 30)) == [("PLAIN", 30)]


def test_quota_marks_are_encoded_in_the_urgency():
    assert [decode_urgency(encode_urgency(rank, mark)) for rank in (0, 4, 9) for mark in QuotaMark] == [
        (rank, mark) for rank in (0, 4, 9) for mark in QuotaMark
    ]


def rented(requests, idle=0, coming=0, fresh=0, up=0):
    kind = SimpleNamespace(name="box", cpus=4.0, gpus=0.0, memory=16.0, price=0.2, spot_price=0.05)
    orders = plan_machines(
        requests,
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


def request(mark, count, rank=2):
    return ResourceRequest(rank, 1.0, 0.0, 1.0, count, True, "", [], 10.0, 100.0, mark)


def test_work_beyond_the_limit_speeds_up_rental_within_it_only():
    """Within the limit, machines are rented so that all of the waiting work ends in time. Work beyond the
    limit does not displace that of others."""
    assert rented([request(QuotaMark.WITHIN, 40)]) == 1
    assert rented([request(QuotaMark.WITHIN, 40), request(QuotaMark.BEYOND, 160)]) == 5
    assert rented([request(QuotaMark.WITHIN, 40), request(QuotaMark.BEYOND, 10000)]) == 10
    assert rented([request(QuotaMark.BEYOND, 10000), request(QuotaMark.PLAIN, 40, rank=3)]) == 1


@pytest.mark.parametrize("there", [{"coming": 4}, {"fresh": 4, "up": 4}, {"idle": 4, "up": 4}])
def test_existing_and_booting_machines_are_not_rented_again(there):
    assert rented([request(QuotaMark.WITHIN, 40), request(QuotaMark.BEYOND, 10000)], **there) == 6


def test_machines_are_kept_for_pending_work():
    types = {"box": SimpleNamespace(cpus=4.0)}
    fleet = {"ctl-0": [("box", "north", True, 9, 6, 24.0, 0.0, 96.0)]}
    assert returnable_count(4, {"ctl-0": [row(QuotaMark.BEYOND, 50)]}, fleet, types) == 4
    assert returnable_count(4, {"ctl-0": [row(QuotaMark.PENDING, 12)]}, fleet, types) == 2
    assert returnable_count(4, {"ctl-0": [row(QuotaMark.PENDING, 50)]}, fleet, types) == 0
    assert returnable_count(4, {"ctl-0": [row(QuotaMark.PENDING, 50)]}, {}, types) == 0


def limits_unheeded(patch):
    """All waiting tasks are reported as if there were no limit."""
    patch.setattr(SharedHeadroom, "share", lambda self, parts: None)


def not_shared_out(patch):
    """Each job is reported as if it had its team's whole headroom for itself."""
    take = SharedHeadroom._take

    def take_undivided(self, job, wanted):
        self._free_by_level.clear()
        self._levels_by_team.clear()
        return take(self, job, wanted)

    patch.setattr(SharedHeadroom, "_take", take_undivided)


def any_room_counts(patch):
    """Machines are rented for headroom as soon as it appears, also the short-lived one between two tasks."""
    patch.setattr(SustainedHeadroom, "_lowest_in_window", lambda self, label, cpus, now: cpus)


def boots_forgotten(patch):
    """Machines that have booted are not counted until their shard leaders receive the first report."""
    patch.setattr(RecentlyBooted, "counts", lambda self, now: {})


def all_idle_returned(patch):
    """Idle machines are returned while the use of their team's limit is being recounted."""
    patch.setattr("roadhead.fleet.fleet.returnable_count", lambda idle, demand, fleet, types: idle)


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
def test_a_disabled_guard_is_noticed(mutate, scenario):
    for seed in range(1, SEEDS + 1):
        text = f"{text_of(scenario)}\nseed {seed}\n"
        with pytest.MonkeyPatch.context() as patch:
            mutate(patch)
            faults = World(text).run().check()
        if faults:
            assert World(text).run().check() == []
            return
    raise AssertionError(f"not noticed: {mutate.__doc__}")
