"""The simulator's checks detect the faults for which they are made."""

from roadhead.local.world import World


def test_a_job_left_waiting_despite_free_machines_is_noticed():
    """All controllers crash and stay down while a job waits. The workers' leases expire and free machines,
    on which nobody starts the job."""
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


def test_waiting_without_free_machines_is_no_violation():
    world = World("""
    settled 10
    capacity 1
    at 1 submit legs=40 runS=60 loaners=False
    until 200
    """).run()
    assert world.violations == [] and world.users["req-000001"].last_state != "done"


def test_a_muted_worker_loses_its_lease_and_answers_commands():
    """A muted worker's reports are lost, so that its lease expires and its tasks are killed. Commands still
    reach it and it answers them."""
    world = World("""
    at 1 submit legs=4 runS=100
    at 30 mute 1 40
    until 69
    """).run()
    assert world.killed >= 4 and world.violations == []
    muted = [worker for worker in world.cloud.rented.values() if worker.outgoing_blocked_until > 69]
    assert muted and all(worker.session > 1 for worker in muted)
