"""Quota limits while a quota leader changes and tasks of cancelled jobs may still run."""

from types import SimpleNamespace

import pytest
from limit_failovers import (
    FAULT_SEQUENCES,
    combinations,
    hosted_combinations,
    partitioned_combinations,
    run_case,
)
from mutation import assert_detected

from roadhead.jobs.job import NO_OWNER, RECORD_PREFIX
from roadhead.jobs.job_store import JobStore
from roadhead.jobs.quota import QuotaPartitions
from roadhead.jobs.teams import Accounts
from roadhead.local.user import EmulatedUser, Reply
from roadhead.local.world import World
from roadhead.membership.term import Term
from roadhead.pipelines.dependency_queue import DependencyQueue

MEMBERS = {"a": (1, 1, ""), "b": (2, 2, ""), "c": (3, 3, "")}


def hand_over_partitions_with_cancelled_tasks(patch):
    """A successor hands over a quota partition while tasks cancelled before it read the records may run."""
    real = QuotaPartitions.idle

    def idle(self, groups):
        with pytest.MonkeyPatch.context() as inner:
            inner.setattr(QuotaPartitions, "knows_partition", lambda _self, _place: True)
            return real(self, groups)

    patch.setattr(QuotaPartitions, "idle", idle)


def release_cancelled_tasks_at_once(patch):
    """Tasks of a cancelled job stop counting at once, even if they still run on their machines."""
    real = JobStore.cancelled

    def cancelled(self, job_id, record=None):
        real(self, job_id, record)
        job = self.jobs.get(job_id)
        for binding in job.bound.values() if job is not None else ():
            self.accounts.release_held(job, binding)

    patch.setattr(JobStore, "cancelled", cancelled)


def count_cancelled_tasks_at_first_successor_only(patch):
    """Only the first successor waits for cancelled tasks; after a second change of leader nobody does."""
    real, successors = QuotaPartitions.on_all_read, []

    def on_all_read(self, number, gone_at):
        if gone_at is not None and self not in successors:
            successors.append(self)
        real(self, number, gone_at if successors[:1] == [self] else None)

    patch.setattr(QuotaPartitions, "on_all_read", on_all_read)


def ignore_cancelled_tasks(patch):
    """Tasks of jobs that were cancelled before the successor read the records are not counted."""
    real = QuotaPartitions.on_all_read
    patch.setattr(QuotaPartitions, "on_all_read", lambda self, number, _gone_at: real(self, number, None))


def start_before_all_leaders_reported(patch):
    """A successor starts new tasks before every shard leader has reported the inherited ones."""
    patch.setattr(Accounts, "unreconciled", lambda self, job: None)


@pytest.mark.parametrize(
    ("mutate", "scenario"),
    [
        (hand_over_partitions_with_cancelled_tasks, "limit-slot-handed-on"),
        (release_cancelled_tasks_at_once, "hang-cancelled"),
        (count_cancelled_tasks_at_first_successor_only, "hang-second-failover"),
        (start_before_all_leaders_reported, "limit-takeover"),
        (ignore_cancelled_tasks, "limit-lowered"),
    ],
)
def test_a_removed_guard_is_detected(mutate, scenario):
    assert_detected(mutate, scenario)


# A sample at a fixed stride; `limit_failovers.py` plays all cases.
SAMPLE = [
    *list(combinations())[:: len(FAULT_SEQUENCES) * 4 + 1],
    *list(hosted_combinations())[:: len(FAULT_SEQUENCES) * 8 + 1],
    *list(partitioned_combinations())[:: len(FAULT_SEQUENCES) * 4 + 1],
]


@pytest.mark.parametrize("case", SAMPLE, ids=lambda case: "-".join(map(str, case[0])))
def test_a_team_at_its_limit_is_served_under_combined_faults(case):
    _which, faults, undone, left_behind = run_case(case)
    assert (faults, undone, left_behind) == ([], [], [])


SIX_TEAMS = "cpus_max 8\nteams 6\nboot_s 1\nuntil 60\n" + "".join(
    f"at {12 + number / 10} submit crew=crew{f'-{number}' if number > 1 else ''} legs=12 runS=8\n"
    for number in range(1, 7)
)


@pytest.mark.parametrize(("partitions", "leaders"), [(1, 1), (12, 3)])
def test_partitions_of_the_settings_teams_are_led_by_all_controllers(partitions, leaders):
    world = World(f"partitions {partitions}\n{SIX_TEAMS}").run()
    assert world.check() == []
    assert all(user.last_state == "done" for user in world.users.values())
    records = [event["data"] for event in world.state.log if event.get("put", "").startswith(RECORD_PREFIX)]
    owners = {tuple(record["o"]) for record in records} - {NO_OWNER}
    assert len(owners) == leaders
    assert len(set(world.nodes[0].member.term.quota_leaders)) == leaders


def test_partitions_are_taken_over_and_handed_on_while_teams_are_at_their_limit():
    text = f"partitions 12\n{SIX_TEAMS}at 15 crash 1 5\nat 24 crash 0 0.2\nat 30 leave 2 4\n"
    world = World(text.replace("until 60", "until 120")).run()
    assert world.check() == []
    assert all(user.last_state == "done" for user in world.users.values())


def test_a_job_cancelled_before_its_failover_ends_is_released():
    """Nothing of such a job is left to write, so it once stayed in the failover state forever."""
    wanted = (2, "cut", "during", "back at once")
    case = next(case for case in combinations() if case[0] == wanted)
    assert run_case(case)[1:] == ([], [], [])


@pytest.mark.parametrize(
    ("old", "new", "closing", "unread"),
    [
        ((4, "b"), (5, "a"), set(), set()),  # handed over by a live leader that had no tasks in it
        ((4, "b"), (6, "a"), set(), {0}),  # term 5 was not seen: its leader may have ended
        ((4, "a"), (6, "a"), set(), set()),  # still ours: only we could have handed it over
        ((4, "a"), (6, "a"), {0}, {0}),  # we may have handed it over, and it came back when its leader ended
        ((4, "a"), (5, "a"), {0}, set()),  # consecutive terms: it was not handed over
    ],
)
def test_a_partition_that_may_have_changed_leaders_unseen_is_read_again(old, new, closing, unread):
    quota = QuotaPartitions(None, SimpleNamespace(label="a"), None, None)
    quota.closing = closing
    quota.held_since = {0: 2} if old[1] == "a" else {}
    old, new = (Term(number, 9, MEMBERS, (leader,)) for number, leader in (old, new))
    quota.on_term(old, new)
    assert quota.unread == unread
    assert (quota.held_since[0] == new.number) == (bool(unread) or old.quota_leaders != new.quota_leaders)


def ignore_waiting_jobs(patch):
    """Jobs that the quota leader released before it ended don't count while they wait at its successor."""
    patch.setattr(Accounts, "unreconciled", lambda self, job: None)


def do_not_query_cancelled_waiting_jobs(patch):
    """Shard leaders are not asked for the tasks of a job that is cancelled while waiting at a successor."""
    patch.setattr(JobStore, "_ask_for_tasks", lambda self, job: self._perhaps_started.pop(job, None))
    patch.setattr(Accounts, "unreconciled", lambda self, job: None)


def delay_upstream_reads(patch, seconds):
    """Delays reads of the upstream of inherited jobs by `seconds`, as a slow state service would."""
    real = DependencyQueue._read_upstream

    async def read_upstream(self, name):
        await self._loop.sleep(seconds)
        await real(self, name)

    patch.setattr(DependencyQueue, "_read_upstream", read_upstream)


def suppress_job_queries(patch, begin, end):
    """Users query no job between `begin` and `end`, which would make the controller read its upstream."""
    real = EmulatedUser._request

    async def ask(self, method, *args):
        if method == "GET" and begin < self.sim.time < end:
            return Reply(0, None, self.sim.time)
        return await real(self, method, *args)

    patch.setattr(EmulatedUser, "_request", ask)


RELEASED_BEFORE_FAILOVER = """
# The successor started after job 1 ended, so it must read that job's record; until then job 2 waits for it.
controllers 2
cpus_max 8
teams 2
boot_s 1
at 1 submit legs=24 crew=free runS=8 expectS=90
at 1.5 submit legs=8 runS=400 expectS=400 upstream=1
at 220 submit legs=24 crew=free runS=15 expectS=90
at 231 crash 1 0.1
at 228 crash 0 40
"""


@pytest.mark.parametrize(
    ("mutate", "fault"),
    [
        (ignore_waiting_jobs, ""),
        (do_not_query_cancelled_waiting_jobs, "at 235.4 deaf 1 16\nat 235.5 cancel 2\n"),
    ],
)
def test_waiting_jobs_that_the_previous_leader_may_have_released_count(monkeypatch, mutate, fault):
    text = (
        RELEASED_BEFORE_FAILOVER
        + "".join(f"at {at / 4} submit legs=4 runS=12\n" for at in range(932, 960))
        + fault
    )
    delay_upstream_reads(monkeypatch, 8)
    suppress_job_queries(monkeypatch, 230, 245)
    for seed in range(1, 21):
        with pytest.MonkeyPatch.context() as patch:
            mutate(patch)
            detected = World(f"{text}until 260\nseed {seed}\n").run().violations
        if any("quota" in violation for violation in detected):
            world = World(f"{text}until 900\nseed {seed}\nexpect rules\n").run()
            assert world.check() == []
            assert all(user.last_state in ("done", "cancelled") for user in world.users.values())
            return
    raise AssertionError(f"not detected: {mutate.__doc__}")
