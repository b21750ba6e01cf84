"""Two troubles at once: what a controller knows when it hears others, and samples of drawn meetings."""

import itertools

import hunt
import pytest

from roadhead.local.world import World
from roadhead.membership.cancellation_freshness import CancellationFreshness, KnownCancellations
from roadhead.state.client import UnavailableError

LATER = 1e9


@pytest.mark.parametrize("number", range(12))
def test_the_first_meeting_in_a_sample_of_its_orders(number):
    """Safety 4, one order and spacing in 47; `tests/hunt.py --first-meeting` plays all."""
    case = next(itertools.islice(hunt.first_meetings(), 47 * number + 3, None))
    which, broken, _gone, _killed = hunt.played_first(case)
    assert broken == 0, which


@pytest.mark.parametrize("number", range(12))
def test_a_leader_cut_from_all_but_its_workers_in_a_sample(number):
    """Safety 3, 4, one case in 187; `tests/hunt.py --leader` plays all."""
    case = next(itertools.islice(hunt.leader_cuts(), 187 * number + 9, None))
    which, faults, unended, _killed, _given_back = hunt.played_leader(case)
    assert (faults, unended) == ([], 0), which


@pytest.mark.parametrize("seed", range(2000, 2006))
def test_meetings_drawn_by_chance(seed):
    assert World(hunt.drawn_meetings(seed)).run().violations == []


def test_hearing_counts_only_as_long_as_it_does_not_break_off():
    """Cancellations are passed on for `keep_s`: who was out of touch for longer has missed some for ever."""
    touch = CancellationFreshness(blind_s=16, keep_s=256)
    touch.refresh(watched_at=100, heard_at=None)
    assert touch.is_within_staleness_bound(115) and not touch.is_within_staleness_bound(117)
    touch.refresh(100, heard_at=150)  # all of the last 50 s was told by then
    assert touch.is_within_staleness_bound(160)
    touch.refresh(100, heard_at=150 + 127)
    assert touch.is_within_staleness_bound(280)
    touch.refresh(100, heard_at=277 + 129)
    assert not touch.is_within_staleness_bound(407)
    touch.refresh(watched_at=420, heard_at=420)  # only the state service knows
    assert touch.is_within_staleness_bound(421)


def test_news_of_cancellations_is_told_once_and_kept_for_a_bounded_time():
    known = KnownCancellations(keep_s=100)
    assert known.add_new(["a", "b", "a"], 0) == ["a", "b"]
    assert known.add_new(["b", "c"], 50) == ["c"]
    known.prune(101)
    assert known.all() == ["c"] and known.add_new(["a"], 101) == ["a"]
    known.prune(LATER)
    assert len(known) == 0


def test_who_is_no_member_tells_no_cancellation():
    """Nobody waits to hear from it, so that somebody's tasks might run on without its telling."""
    world = World("at 1 submit legs=2 runS=100\nat 20 cancel 1 1\nuntil 30").run()
    node, user = world.nodes[0], world.users["req-000001"]
    assert user.last_state == "cancelled"
    statuses = []

    async def ask():
        statuses.append((await user._ask("GET", f"/v1/jobs/{user.id}", None, 2.0, 0))[0])
        statuses.append((await user._ask("POST", f"/v1/jobs/{user.id}/cancel", None, 2.0, 0))[0])

    for incarnation in (node.member.incarnation, 0):
        node.member.incarnation = incarnation
        world.user_loop.spawn(ask(), "ask")
        world.sim.run_until(world.sim.time + 2)
    assert statuses == [200, 200, 503, 503]


def test_old_cancellations_asked_for_are_bounded(monkeypatch):
    """Each that is told is passed on: beyond the bound a user is told to come back, at once."""
    monkeypatch.setattr("roadhead.node.CANCELLED_MOST", 3)
    node = World("at 1 submit legs=1\nuntil 15").run().nodes[0]
    for number in range(3):
        node.announce_cancelled([f"req-{number}"])
    node.announce_cancelled(["req-1"])
    with pytest.raises(UnavailableError):
        node.announce_cancelled(["req-3"])
    assert len(node.cancellations) == 3


def test_marks_that_no_owner_dropped_go():
    """Their owner ended before it could: the first member, which read them as it joined, does in the end."""
    world = World(
        "cancel_s 14\nat 1 submit legs=4 runS=100\nat 20 crash 0 0.1\nat 20 crash 1 0.1\n"
        "at 20 crash 2 0.1\nat 20.4 cancel 1\nat 24 crash 0 0.1\n"
        "at 180 submit legs=1\nuntil 220"
    )
    # One left behind, of a job that no heir lets go of: the mark of such a one goes with the job.
    world.sim.call_at(22, lambda: world.state.put("c/x/req-000009", True))
    world.sim.call_at(60, lambda: marks.append("c/x/req-000009" in world.state.data))
    marks = []
    world.run()
    assert marks == [True] and not any(key.startswith("c/x/") for key in world.state.data)
    assert world.violations == []


def test_bad_news_of_cancellations_is_ignored_or_harmless():
    """Unknown, impossible, doubled: nothing fails, and only what can be a job's id is passed on."""
    world = World("at 1 submit legs=2 runS=30\nuntil 15").run()
    node = world.nodes[0]
    node.on_cancelled(["", "x" * 5000, "req-1x", "c/x/", "req-000077", "req-000077"])
    assert node.cancellations.all() == ["req-000077"]
    world.sim.run_until(60)
    assert (
        world.violations == []
        and world.failures.texts == []
        and world.users["req-000001"].last_state == "done"
    )
