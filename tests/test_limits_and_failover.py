"""Teams at their limit while a quota leader changes, and tasks of cancelled jobs may still run."""

from types import SimpleNamespace

import pytest
from limit_failovers import COURSES, combinations, hosted_combinations, partitioned_combinations, played
from mutation import assert_noticed

from roadhead.jobs.job import KEY, NOBODY
from roadhead.jobs.job_store import JobStore
from roadhead.jobs.quota import QuotaPartitions
from roadhead.jobs.teams import Accounts
from roadhead.local.user import EmulatedUser, Reply
from roadhead.local.world import World
from roadhead.membership.term import Term
from roadhead.pipelines.dependency_queue import DependencyQueue

MEMBERS = {"a": (1, 1, ""), "b": (2, 2, ""), "c": (3, 3, "")}


def hands_on_what_may_run_cancelled(patch):
    """A heir hands on a quota partition although tasks cancelled before it read the records may run."""
    real = QuotaPartitions.idle

    def idle(self, groups):
        with pytest.MonkeyPatch.context() as inner:
            inner.setattr(QuotaPartitions, "knows_partition", lambda _self, _place: True)
            return real(self, groups)

    patch.setattr(QuotaPartitions, "idle", idle)


def lets_go_what_is_cancelled(patch):
    """Tasks of a cancelled job count for nothing at once, whatever their machines still do."""
    real = JobStore.cancelled

    def cancelled(self, job_id, record=None):
        real(self, job_id, record)
        job = self.jobs.get(job_id)
        for binding in job.bound.values() if job is not None else ():
            self.accounts.release_held(job, binding)

    patch.setattr(JobStore, "cancelled", cancelled)


def second_heir_counts_nothing(patch):
    """Cancelled tasks are waited for by the first heir alone: at a second change of leader nobody does."""
    real, heirs = QuotaPartitions.all_read, []

    def all_read(self, number, gone_at):
        if gone_at is not None and self not in heirs:
            heirs.append(self)
        real(self, number, gone_at if heirs[:1] == [self] else None)

    patch.setattr(QuotaPartitions, "all_read", all_read)


def cancelled_count_for_nothing(patch):
    """Tasks of jobs that were cancelled before the heir read the records are not thought of."""
    real = QuotaPartitions.all_read
    patch.setattr(QuotaPartitions, "all_read", lambda self, number, _gone_at: real(self, number, None))


def starts_before_all_homes_told(patch):
    """An heir starts new work before every home has told of what it inherited."""
    patch.setattr(Accounts, "unreconciled", lambda self, job: None)


@pytest.mark.parametrize(
    ("mutation", "scenario"),
    [
        (hands_on_what_may_run_cancelled, "limit-slot-handed-on"),
        (lets_go_what_is_cancelled, "hang-cancelled"),
        (second_heir_counts_nothing, "hang-second-failover"),
        (starts_before_all_homes_told, "limit-takeover"),
        (cancelled_count_for_nothing, "limit-lowered"),
    ],
)
def test_a_guard_taken_out_is_noticed(mutation, scenario):
    assert_noticed(mutation, scenario)


# One in so many; `limit_failovers.py` plays all of them.
SAMPLE = [
    *list(combinations())[:: len(COURSES) * 4 + 1],
    *list(hosted_combinations())[:: len(COURSES) * 8 + 1],
    *list(partitioned_combinations())[:: len(COURSES) * 4 + 1],
]


@pytest.mark.parametrize("case", SAMPLE, ids=lambda case: "-".join(map(str, case[0])))
def test_a_team_at_its_limit_is_served_whatever_comes_together(case):
    _which, faults, undone, left_behind = played(case)
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
    records = [event["data"] for event in world.state.log if event.get("put", "").startswith(KEY)]
    owners = {tuple(record["o"]) for record in records} - {NOBODY}
    assert len(owners) == leaders
    assert len(set(world.nodes[0].member.term.quota_leaders)) == leaders


def test_partitions_are_taken_over_and_handed_on_while_teams_are_at_their_limit():
    text = f"partitions 12\n{SIX_TEAMS}at 15 crash 1 5\nat 24 crash 0 0.2\nat 30 leave 2 4\n"
    world = World(text.replace("until 60", "until 120")).run()
    assert world.check() == []
    assert all(user.last_state == "done" for user in world.users.values())


def test_a_job_cancelled_before_it_is_taken_over_is_let_go():
    """Nothing of it is to be written any more: it was kept as one being taken over for ever."""
    wanted = (2, "cut", "during", "back at once")
    case = next(case for case in combinations() if case[0] == wanted)
    assert played(case)[1:] == ([], [], [])


@pytest.mark.parametrize(
    ("old", "new", "closing", "unread"),
    [
        ((4, "b"), (5, "a"), set(), set()),  # given by one that lives on, and had nothing of it
        ((4, "b"), (6, "a"), set(), {0}),  # in between it may have been with one that ended
        ((4, "a"), (6, "a"), set(), set()),  # ours all along: we alone could have given it
        ((4, "a"), (6, "a"), {0}, {0}),  # we may have: it went, and came back when its leader ended
        ((4, "a"), (5, "a"), {0}, set()),  # the very next term shows that it did not go
    ],
)
def test_a_partition_that_may_have_changed_hands_unseen_is_read_anew(old, new, closing, unread):
    quota = QuotaPartitions(None, SimpleNamespace(label="a"), None, None)
    quota.closing = closing
    quota.held_since = {0: 2} if old[1] == "a" else {}
    old, new = (Term(number, 9, MEMBERS, (leader,)) for number, leader in (old, new))
    quota.on_term(old, new)
    assert quota.unread == unread
    assert (quota.held_since[0] == new.number) == (bool(unread) or old.quota_leaders != new.quota_leaders)


def counts_nothing_that_waits(patch):
    """Work that a quota leader let go before it ended counts for nothing until its heir lets it go too."""
    patch.setattr(Accounts, "unreconciled", lambda self, job: None)


def asks_for_nothing_cancelled(patch):
    """A job that waits at an heir is cancelled, and the homes are not asked for its tasks."""
    patch.setattr(JobStore, "_ask_for_tasks", lambda self, job: self._perhaps_started.pop(job, None))
    patch.setattr(Accounts, "unreconciled", lambda self, job: None)


def reads_upstream_late(patch, seconds):
    """What inherited jobs need is read that much later, as from a slow state service."""
    real = DependencyQueue._look

    async def look(self, name):
        await self._loop.sleep(seconds)
        await real(self, name)

    patch.setattr(DependencyQueue, "_look", look)


def nobody_asks(patch, begin, end):
    """Users ask nothing meanwhile: a question about a job would show the controller what that needs."""
    real = EmulatedUser._ask

    async def ask(self, method, *args):
        if method == "GET" and begin < self.sim.time < end:
            return Reply(0, None, self.sim.time)
        return await real(self, method, *args)

    patch.setattr(EmulatedUser, "_ask", ask)


LET_GO_BEFORE = """
# The heir started after the end of the first job, so it has to read of it, and finds the second waiting.
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
    ("mutation", "trouble"),
    [
        (counts_nothing_that_waits, ""),
        (asks_for_nothing_cancelled, "at 235.4 deaf 1 16\nat 235.5 cancel 2\n"),
    ],
)
def test_what_waits_at_an_heir_but_may_have_been_let_go_counts(monkeypatch, mutation, trouble):
    text = LET_GO_BEFORE + "".join(f"at {at / 4} submit legs=4 runS=12\n" for at in range(932, 960)) + trouble
    reads_upstream_late(monkeypatch, 8)
    nobody_asks(monkeypatch, 230, 245)
    for seed in range(1, 21):
        with pytest.MonkeyPatch.context() as patch:
            mutation(patch)
            noticed = World(f"{text}until 260\nseed {seed}\n").run().violations
        if any("quota" in broken for broken in noticed):
            world = World(f"{text}until 900\nseed {seed}\nexpect rules\n").run()
            assert world.check() == []
            assert all(user.last_state in ("done", "cancelled") for user in world.users.values())
            return
    raise AssertionError(f"not noticed: {mutation.__doc__}")
