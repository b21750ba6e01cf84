"""Processes that are back within a fraction of a second, at each step of whatever was under way."""

import pytest

from roadhead.jobs.job_store import MAX_FINALS
from roadhead.local.world import World
from roadhead.membership.term import Term
from roadhead.state.record_reader import KEPT_MOST

# What happens from second 20 on, and how long it takes.
COURSES = {
    "joining": ("at 20 crash 0 1", 2.4),
    "dropped": ("at 20 crash 0 12", 9.0),
    "moving shares": ("at 8 crash 0 14", 16.0),
    "leaving": ("at 20 leave 0 3", 4.0),
    "state slow to come back": ("at 20 outage 6\nat 21 crash 2 0.1", 9.0),
}


def played(course, at, number, back=0.1):
    text, _length = COURSES[course]
    return World(f"""
    seed {int(at * 10)}
    capacity 6
    at 1 submit count=10 legs=6 runS=14
    {text}
    at {at:.2f} crash {number} {back}
    at {at + 0.35:.2f} crash {number} {back}
    at 45 submit count=2 legs=4 runS=4
    until 170
    """).run()


@pytest.mark.parametrize("course", COURSES)
def test_back_at_once_in_the_middle(course):
    """One that is part of it, and one that is not, at steps of it."""
    for step in range(6):
        for number in (0, 1):
            at = 20.05 + step * COURSES[course][1] / 6
            world = played(course, at, number)
            assert world.violations == [] and world.failures.texts == [], (course, at, number)
            told = {user.last_state for user in world.users.values() if user.accepted}
            assert told == {"done"}, (course, at, number)
            assert all(user.accepted for user in world.users.values())
            assert world.counter("duties_failed") == 0


def test_an_incarnation_back_before_its_lease_ended_is_the_only_one_to_command():
    """Both keep a lease for a while; the term names the new one, and its shares take a new token."""
    term = Term().join("a", "1").join("b", "2")
    again = term.join("a", "3")
    assert again.incarnation("a") > term.incarnation("a") and not again.serves("a", term.incarnation("a"))
    for shard, token in again.shards_of("a").items():
        assert token > term.shards_of("a").get(shard, 0)
    assert again.shards_of("b") == term.shards_of("b")


def test_sockets_and_buffers_at_half_as_many_machines_again_keep_to_the_settings():
    """600 machines, controllers of 250 sockets each: workers beyond that report by connections that end."""
    world = World("""
    sockets 250
    capacity 300
    boot_s 2
    write_rps 30
    at 1 submit count=60 legs=40 runS=20 ramGb=4 vcpus=4
    until 60
    """)
    most = {}

    def look():
        for node in world.nodes.values():
            workers = node.workers
            assert sum(workers._asking) <= workers._sockets.max_command_requests
            assert len(workers._clients) <= workers._sockets.max_idle_command_connections
            assert (
                len(node.job_store.final_records) <= MAX_FINALS
                and len(node.record_reader._known) <= KEPT_MOST
            )
        for host in [f"10.0.0.{number + 1}" for number in range(3)]:
            open_now = sum(stream.host == host and not stream.closed for stream in world.network._streams)
            most[host] = max(most.get(host, 0), open_now)
        if world.sim.time < 58:
            world.sim.call_later(1.0, look)

    world.sim.call_at(10.0, look)
    world.run()
    assert world.violations == [] and world.failures.texts == []
    assert sum(worker.up for worker in world.cloud.rented.values()) >= 400
    assert max(most.values()) <= 250
    assert world.killed == 0
    assert all(link.stream is not None for node in world.nodes.values() for link in node.peers.links.values())
