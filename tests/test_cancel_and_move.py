"""Work changes hands: cancellations in those seconds, and who may hear a machine first."""

import itertools

import handovers
import mutation
import pytest
from test_safety import treat_handed_over_machines_as_heard

from roadhead.jobs.job_store import CANCEL, JobStore
from roadhead.local.world import World
from roadhead.machines.relieved_controllers import RelievedControllers
from roadhead.membership.member import TERM
from roadhead.node import Node

SAMPLE = 24  # of the cases of handovers.py


@pytest.mark.parametrize("step", handovers.STEPS)
def test_each_change_of_hands_is_brought_about(step):
    """A change that did not come about would have no case, and nobody would notice."""
    assert sum(commit.key == TERM for commit in handovers.commits(step)) >= 1


@pytest.mark.parametrize("number", range(SAMPLE))
def test_cancelled_while_work_changes_hands_in_a_sample(number):
    """Safety 4; `tests/handovers.py` plays all."""
    outcome = handovers.played(next(itertools.islice(handovers.cases(), 197 * number + 5, None)))
    assert (outcome.faults, outcome.unended) == ([], 0), outcome.case


def test_what_is_left_of_cancelled_jobs_is_seen_in_a_case():
    """Machines that are deaf keep tasks of cancelled jobs for a while: else the cases would check nothing."""
    case = next(case for case in handovers.cases() if case.fault == "deaf" and case.offset == 1.0)
    assert 1 < handovers.played(case).longest_gone < handovers.CANCEL_S


def cancel_news_is_not_told(patch):
    """4: a cancellation is told to no link; whoever took work over has only the state service's watch."""
    patch.setattr(Node, "_tell_cancelled", lambda self, label, jobs: None)


def marks_are_dropped_at_once(patch):
    """4: the owner drops a cancellation's mark as it hears of it, though tasks may be somewhere."""
    real = JobStore.cancelled

    def cancelled(self, job_id, record=None):
        real(self, job_id, record)
        self.recorder.schedule_delete(CANCEL + job_id)

    patch.setattr(JobStore, "cancelled", cancelled)


@pytest.mark.parametrize(
    ("mutate", "scenario"),
    [
        (cancel_news_is_not_told, "move-news"),
        (marks_are_dropped_at_once, "move-marks"),
        (treat_handed_over_machines_as_heard, "move-back-all-end"),
    ],
)
def test_a_missing_guard_is_noticed(mutate, scenario):
    mutation.assert_noticed(mutate, scenario)


RELIEF = """
until 70
capacity 7
boot_s 1
at 5 submit count=25 legs=20 runS=4 expectS=4 urgency=low
at 34 cut 0 workers 30
at 38.8 submit count=9 legs=8 runS=40 urgency=high
"""


class ReliefWorld(World):
    """Controller 0 is relieved since workers can't reach it. At that moment they reach it again, and it loses
    the state service and the others, so that it does not know; jobs come, and then machines. `then`: what
    happens so many seconds after."""

    def __init__(self, seed, then=()):
        super().__init__(f"seed {seed}{RELIEF}")
        self.relieved_at = None
        commit = self.state.multi

        def multi(body):
            status, answer = commit(body)
            terms = [write["data"] for write in body["writes"] if write.get("put") == TERM]
            if status == 200 and self.relieved_at is None and any(term["relieved"] for term in terms):
                self._relieved(then)
            return status, answer

        self.state.multi = multi

    def _relieved(self, then):
        self.relieved_at = self.sim.time
        for host in [worker.host for worker in self.cloud.rented.values()]:
            self.network.heal("10.0.0.1", host)
        self.do(["cut", "0", "state", "40"])
        self.do(["cut", "0", "peers", "40"])
        self.cloud.capacity = 60
        for after, words in then:
            self.sim.call_later(after, self.do, words.split())
        for after in (2.5, 3.2, 3.9, 4.4):
            self.sim.call_later(after, self.cloud.rent, "box", "north", True, 3)


HEIRS_RESTART = ((1.5, "crash 1 0.1"), (1.5, "crash 2 0.1"))


@pytest.mark.parametrize(
    ("seed", "then"),
    [(7, ()), (12, ()), (2, HEIRS_RESTART), (12, HEIRS_RESTART)],
    ids=["dropped-7", "dropped-12", "heirs-restart-2", "heirs-restart-12"],
)
def test_machines_that_a_relieved_controller_hears_first_are_waited_for(seed, then):
    """Safety 3: until it knows, or is dropped, its heirs do not say that they know what runs."""
    world = ReliefWorld(seed, then).run()
    assert world.relieved_at is not None
    assert world.check() == []


@pytest.mark.parametrize("then", [(), HEIRS_RESTART], ids=["dropped", "heirs-restart"])
def test_taking_relieved_controllers_for_aware_is_noticed(then, monkeypatch):
    """3: a relieved controller is taken for one that knows."""
    monkeypatch.setattr(RelievedControllers, "labels", lambda self: [])
    monkeypatch.setattr(RelievedControllers, "__bool__", lambda self: False)
    assert any(ReliefWorld(seed, then).run().violations for seed in range(1, 13))
