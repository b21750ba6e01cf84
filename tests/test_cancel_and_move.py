"""Cancellations while work moves between controllers, and machines first heard by a relieved controller."""

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

SAMPLED_CASES = 24  # number of the cases of handovers.py that are played here


@pytest.mark.parametrize("step", handovers.STEPS)
def test_each_step_commits_a_term_change(step):
    """A step that commits none would silently contribute no case."""
    assert sum(commit.key == TERM for commit in handovers.commits(step)) >= 1


@pytest.mark.parametrize("number", range(SAMPLED_CASES))
def test_cancelling_while_work_moves_in_a_sample(number):
    """Safety 4 (docs/design.md): cancelled tasks end in time; `tests/handovers.py` plays all cases."""
    outcome = handovers.run_case(next(itertools.islice(handovers.cases(), 197 * number + 5, None)))
    assert (outcome.faults, outcome.unended) == ([], 0), outcome.case


def test_tasks_of_cancelled_jobs_outlive_the_cancellation_in_a_case():
    """Machines that receive nothing keep such tasks for a while; else the cases would check nothing."""
    case = next(case for case in handovers.cases() if case.fault == "deaf" and case.offset == 1.0)
    assert 1 < handovers.run_case(case).longest_gone < handovers.CANCEL_S


def do_not_send_cancellations_to_peers(patch):
    """4: cancellations are not sent to peers; a successor learns of them only from its watch."""
    patch.setattr(Node, "_send_cancellations", lambda self, label, jobs: None)


def delete_cancellation_marks_at_once(patch):
    """4: the owner deletes a cancellation's mark as soon as it learns of it, though tasks may still run."""
    real = JobStore.cancelled

    def cancelled(self, job_id, record=None):
        real(self, job_id, record)
        self.recorder.schedule_delete(CANCEL + job_id)

    patch.setattr(JobStore, "cancelled", cancelled)


@pytest.mark.parametrize(
    ("mutate", "scenario"),
    [
        (do_not_send_cancellations_to_peers, "move-news"),
        (delete_cancellation_marks_at_once, "move-marks"),
        (treat_handed_over_machines_as_heard, "move-back-all-end"),
    ],
)
def test_a_removed_guard_is_detected(mutate, scenario):
    mutation.assert_detected(mutate, scenario)


RELIEF_SCENARIO = """
until 70
capacity 7
boot_s 1
at 5 submit count=25 legs=20 runS=4 expectS=4 urgency=low
at 34 cut 0 workers 30
at 38.8 submit count=9 legs=8 runS=40 urgency=high
"""


class ReliefWorld(World):
    """A world in which controller 0 is relieved because workers can't reach it, and doesn't learn of it.

    When the term that relieves it is committed, workers reach it again, and it is cut off from the state
    service and its peers. Jobs are submitted, and then machines boot. `faults` lists further faults as
    (seconds after that commit, scenario line).
    """

    def __init__(self, seed, faults=()):
        super().__init__(f"seed {seed}{RELIEF_SCENARIO}")
        self.relieved_at = None
        commit = self.state.multi

        def multi(body):
            status, answer = commit(body)
            terms = [write["data"] for write in body["writes"] if write.get("put") == TERM]
            if status == 200 and self.relieved_at is None and any(term["relieved"] for term in terms):
                self._relieved(faults)
            return status, answer

        self.state.multi = multi

    def _relieved(self, faults):
        self.relieved_at = self.sim.time
        for host in [worker.host for worker in self.cloud.rented.values()]:
            self.network.heal("10.0.0.1", host)
        self.do(["cut", "0", "state", "40"])
        self.do(["cut", "0", "peers", "40"])
        self.cloud.capacity = 60
        for after, line in faults:
            self.sim.call_later(after, self.do, line.split())
        for after in (2.5, 3.2, 3.9, 4.4):
            self.sim.call_later(after, self.cloud.rent, "box", "north", True, 3)


SUCCESSORS_RESTART = ((1.5, "crash 1 0.1"), (1.5, "crash 2 0.1"))


@pytest.mark.parametrize(
    ("seed", "faults"),
    [(7, ()), (12, ()), (2, SUCCESSORS_RESTART), (12, SUCCESSORS_RESTART)],
    ids=["dropped-7", "dropped-12", "heirs-restart-2", "heirs-restart-12"],
)
def test_machines_that_a_relieved_controller_hears_first_are_waited_for(seed, faults):
    """Safety 3: until it learns that it is relieved or is dropped, its successors are not reconciled."""
    world = ReliefWorld(seed, faults).run()
    assert world.relieved_at is not None
    assert world.check() == []


@pytest.mark.parametrize("faults", [(), SUCCESSORS_RESTART], ids=["dropped", "heirs-restart"])
def test_treating_relieved_controllers_as_aware_is_detected(faults, monkeypatch):
    """3: every relieved controller counts as one that knows that it is relieved."""
    monkeypatch.setattr(RelievedControllers, "labels", lambda self: [])
    monkeypatch.setattr(RelievedControllers, "__bool__", lambda self: False)
    assert any(ReliefWorld(seed, faults).run().violations for seed in range(1, 13))
