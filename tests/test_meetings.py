"""Two faults at once: how current a controller's knowledge of cancellations is, and samples of combinations.

"Safety" numbers are those of the rules in docs/design.md.
"""

import itertools

import hunt
import pytest

from roadhead.local.world import World
from roadhead.membership.cancellation_freshness import CancellationFreshness, KnownCancellations
from roadhead.state.client import UnavailableError

LATER = 1e9


@pytest.mark.parametrize("number", range(12))
def test_the_first_meeting_in_a_sample_of_its_orders(number):
    """Safety 4, for one order and spacing in 47; `tests/hunt.py --first-meeting` plays all."""
    case = next(itertools.islice(hunt.first_combinations(), 47 * number + 3, None))
    which, broken, _gone, _killed = hunt.run_first_combination(case)
    assert broken == 0, which


@pytest.mark.parametrize("number", range(12))
def test_a_leader_cut_off_from_all_but_its_workers_in_a_sample(number):
    """Safety 3 and 4, for one case in 187; `tests/hunt.py --leader` plays all."""
    case = next(itertools.islice(hunt.leader_cuts(), 187 * number + 9, None))
    which, faults, unended, _killed, _given_back = hunt.run_leader_cut(case)
    assert (faults, unended) == ([], 0), which


@pytest.mark.parametrize("seed", range(2000, 2006))
def test_random_fault_combinations(seed):
    assert World(hunt.random_combination_day(seed)).run().violations == []


def test_contact_with_peers_counts_only_while_it_is_unbroken():
    """Peers forward cancellations for `keep_s`; a controller without contact for longer has missed some."""
    freshness = CancellationFreshness(max_staleness_s=16, keep_s=256)
    freshness.refresh(watched_at=100, heard_at=None)
    assert freshness.is_within_staleness_bound(115) and not freshness.is_within_staleness_bound(117)
    freshness.refresh(100, heard_at=150)  # by then the peers have forwarded all of the last 50 s
    assert freshness.is_within_staleness_bound(160)
    freshness.refresh(100, heard_at=150 + 127)
    assert freshness.is_within_staleness_bound(280)
    freshness.refresh(100, heard_at=277 + 129)
    assert not freshness.is_within_staleness_bound(407)
    freshness.refresh(watched_at=420, heard_at=420)  # only the state service knows the missed ones
    assert freshness.is_within_staleness_bound(421)


def test_known_cancellations_are_reported_as_new_once_and_pruned():
    known = KnownCancellations(keep_s=100)
    assert known.add_new(["a", "b", "a"], 0) == ["a", "b"]
    assert known.add_new(["b", "c"], 50) == ["c"]
    known.prune(101)
    assert known.all() == ["c"] and known.add_new(["a"], 101) == ["a"]
    known.prune(LATER)
    assert len(known) == 0


def test_a_controller_that_is_no_member_confirms_no_cancellation():
    """No other controller requires contact with it, so tasks might run on although it confirmed their end."""
    world = World("at 1 submit legs=2 runS=100\nat 20 cancel 1 1\nuntil 30").run()
    node, user = world.nodes[0], world.users["req-000001"]
    assert user.last_state == "cancelled"
    statuses = []

    async def ask():
        statuses.append((await user._request("GET", f"/v1/jobs/{user.id}", None, 2.0, 0))[0])
        statuses.append((await user._request("POST", f"/v1/jobs/{user.id}/cancel", None, 2.0, 0))[0])

    for incarnation in (node.member.incarnation, 0):
        node.member.incarnation = incarnation
        world.user_loop.spawn(ask(), "ask")
        world.sim.run_until(world.sim.time + 2)
    assert statuses == [200, 200, 503, 503]


def test_the_number_of_announced_cancellations_is_bounded(monkeypatch):
    """Each announced one is kept and forwarded; beyond the bound a request is refused at once."""
    monkeypatch.setattr("roadhead.node.MAX_CANCELLATIONS", 3)
    node = World("at 1 submit legs=1\nuntil 15").run().nodes[0]
    for number in range(3):
        node.announce_cancelled([f"req-{number}"])
    node.announce_cancelled(["req-1"])
    with pytest.raises(UnavailableError):
        node.announce_cancelled(["req-3"])
    assert len(node.cancellations) == 3


def test_cancellation_marks_that_no_owner_deleted_are_deleted():
    """If their owner ended first, the first member, which read them when it joined, deletes them."""
    world = World(
        "cancel_s 14\nat 1 submit legs=4 runS=100\nat 20 crash 0 0.1\nat 20 crash 1 0.1\n"
        "at 20 crash 2 0.1\nat 20.4 cancel 1\nat 24 crash 0 0.1\n"
        "at 180 submit legs=1\nuntil 220"
    )
    # A leftover mark whose job no successor holds; other marks are deleted together with their job.
    world.sim.call_at(22, lambda: world.state.put("c/x/req-000009", True))
    world.sim.call_at(60, lambda: mark_present.append("c/x/req-000009" in world.state.data))
    mark_present = []
    world.run()
    assert mark_present == [True] and not any(key.startswith("c/x/") for key in world.state.data)
    assert world.violations == []


def test_invalid_cancellation_messages_are_harmless():
    """Unknown, malformed and duplicate ids make nothing fail; only well-formed job ids are forwarded."""
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
