"""A machine that fails the tasks of faulty jobs is not kept from other jobs for long."""

import pytest

from roadhead.local.world import World

INNOCENT_FROM_S, INNOCENT_EVERY_S, INNOCENT_COUNT = 150, 23, 10
CHECK_S = 0.5


@pytest.mark.parametrize("seed", range(1, 7))
def test_an_innocent_job_waits_no_longer_than_a_lease_and_a_report(seed):
    """One machine is all there is, and three jobs fail on it again and again. Each quarantine was twice as
    long as the one before, up to 64 times the first; a job waited for up to 16 s here."""
    innocent = "\n".join(
        f"at {INNOCENT_FROM_S + INNOCENT_EVERY_S * number} submit legs=2 vcpus=1 runS=4 expectS=4"
        for number in range(INNOCENT_COUNT)
    )
    world = World(f"""
    seed {seed}
    capacity 1
    boot_s 3
    at 1 submit legs=1 vcpus=1 runS=1000 expectS=1000
    at 12 submit legs=1 vcpus=1 faulty=True
    at 19 submit legs=2 vcpus=1 faulty=True
    at 26 submit legs=3 vcpus=1 faulty=True
    {innocent}
    until 400
    """)
    first_seen = {}

    def look():
        for task in world.started:
            first_seen.setdefault(task.rpartition("/")[0], world.sim.time)
        world.sim.call_later(CHECK_S, look)

    world.sim.call_later(CHECK_S, look)
    world.run()
    bound = world.options["lease_s"] + world.options["report_s"]
    for number in range(INNOCENT_COUNT):
        submitted_at = INNOCENT_FROM_S + INNOCENT_EVERY_S * number
        assert first_seen[f"req-{5 + number:06d}"] - submitted_at <= bound
    assert world.counter("task_errors") < 100, "faulty tasks go round and round"
