"""The simulator's own checks: each is seen to notice what it is for."""

from roadhead.local.world import World


def test_a_job_left_waiting_beside_room_is_noticed():
    """All controllers end for good while a job waits for machines, which the lease of these then empties."""
    world = World("""
    settled 30
    capacity 1
    at 1 submit legs=2 vcpus=4 runS=60 loaners=False
    at 18 submit vcpus=4 loaners=False
    at 25 crash 0 500
    at 25 crash 1 500
    at 25 crash 2 500
    until 160
    """).run()
    assert any("left_waiting: req-000002" in fault for fault in world.violations)


def test_nothing_is_left_waiting_where_there_is_no_room():
    world = World("""
    settled 10
    capacity 1
    at 1 submit legs=40 runS=60 loaners=False
    until 200
    """).run()
    assert world.violations == [] and world.users["req-000001"].last_state != "done"


def test_a_mute_worker_keeps_no_lease_and_is_reached_by_commands():
    """Its tasks are killed by its lease, and asked about it still answers."""
    world = World("""
    at 1 submit legs=4 runS=100
    at 30 mute 1 40
    until 69
    """).run()
    assert world.killed >= 4 and world.violations == []
    muted = [worker for worker in world.cloud.rented.values() if worker.mute_until > 69]
    assert muted and all(worker.session > 1 for worker in muted)
