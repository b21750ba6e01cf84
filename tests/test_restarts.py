"""Controllers that restart within a fraction of a second, at each step of an event in progress."""

import pytest

from roadhead.jobs.job_store import MAX_FINAL_RECORDS
from roadhead.local.world import World
from roadhead.membership.member import MEMBER
from roadhead.membership.term import Term
from roadhead.state.client import CompactedError
from roadhead.state.record_reader import MAX_CACHED_RECORDS

# Scenario lines of an event that is in progress from second 20 on, and its duration in s.
EVENTS = {
    "joining": ("at 20 crash 0 1", 2.4),
    "dropped": ("at 20 crash 0 12", 9.0),
    "moving shares": ("at 8 crash 0 14", 16.0),
    "leaving": ("at 20 leave 0 3", 4.0),
    "state slow to come back": ("at 20 outage 6\nat 21 crash 2 0.1", 9.0),
}


def played(event, at, number, downtime_s=0.1):
    text, _duration_s = EVENTS[event]
    return World(f"""
    seed {int(at * 10)}
    capacity 6
    at 1 submit count=10 legs=6 runS=14
    {text}
    at {at:.2f} crash {number} {downtime_s}
    at {at + 0.35:.2f} crash {number} {downtime_s}
    at 45 submit count=2 legs=4 runS=4
    until 170
    """).run()


@pytest.mark.parametrize("event", EVENTS)
def test_a_quick_restart_during_an_event(event):
    """A controller that takes part in the event, and one that doesn't, restart twice at six points of it."""
    for step in range(6):
        for number in (0, 1):
            at = 20.05 + step * EVENTS[event][1] / 6
            world = played(event, at, number)
            assert world.violations == [] and world.failures.texts == [], (event, at, number)
            last_states = {user.last_state for user in world.users.values() if user.accepted}
            assert last_states == {"done"}, (event, at, number)
            assert all(user.accepted for user in world.users.values())
            assert world.counter("duties_failed") == 0


def test_only_the_new_incarnation_may_command_when_the_old_lease_has_not_ended():
    """Both hold a lease for a while; the term names the new one, and its shards get new fencing tokens."""
    term = Term().join("a", "1").join("b", "2")
    rejoined = term.join("a", "3")
    assert rejoined.incarnation("a") > term.incarnation("a") and not rejoined.serves(
        "a", term.incarnation("a")
    )
    for shard, token in rejoined.shards_of("a").items():
        assert token > term.shards_of("a").get(shard, 0)
    assert rejoined.shards_of("b") == term.shards_of("b")


def test_sockets_and_buffers_stay_within_the_settings_at_one_and_a_half_times_the_machines():
    """600 machines and 250 sockets per controller: further workers report over short-lived connections."""
    world = World("""
    sockets 250
    capacity 300
    boot_s 2
    write_rps 30
    at 1 submit count=60 legs=40 runS=20 ramGb=4 vcpus=4
    until 60
    """)
    max_open_sockets = {}

    def check_limits():
        for node in world.nodes.values():
            workers = node.workers
            assert sum(workers._in_flight) <= workers._sockets.max_command_requests
            assert len(workers._clients) <= workers._sockets.max_idle_command_connections
            assert (
                len(node.job_store.final_records) <= MAX_FINAL_RECORDS
                and len(node.record_reader._known) <= MAX_CACHED_RECORDS
            )
        for host in [f"10.0.0.{number + 1}" for number in range(3)]:
            open_now = sum(stream.host == host and not stream.closed for stream in world.network._streams)
            max_open_sockets[host] = max(max_open_sockets.get(host, 0), open_now)
        if world.sim.time < 58:
            world.sim.call_later(1.0, check_limits)

    world.sim.call_at(10.0, check_limits)
    world.run()
    assert world.violations == [] and world.failures.texts == []
    assert sum(worker.up for worker in world.cloud.rented.values()) >= 400
    assert max(max_open_sockets.values()) <= 250
    assert world.killed == 0
    assert all(link.stream is not None for node in world.nodes.values() for link in node.peers.links.values())


def test_a_member_that_ended_before_the_records_are_read_anew_is_dropped():
    """Its end was noticed by the watch alone: if just that was compacted away, it stayed in the term until
    the next member ended, and its machines had no leader."""
    world = World("until 100000")
    world.sim.run_until(20.0)
    world.crash(1, 1e6)
    for number in (0, 2):
        state = world.nodes[number].state

        async def changes(prefix, after, wait_s, real=state.changes):
            events, revision = await real(prefix, after, wait_s)
            if any(event.get("drop", "").startswith(MEMBER) for event in events):
                raise CompactedError
            return events, revision

        state.changes = changes
    world.sim.run_until(60.0)
    assert sorted(world.nodes[0].member.term.members) == ["ctl-0", "ctl-2"]
