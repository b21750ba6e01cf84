"""An owner's claims on tasks stay under way until the home of their machine has answered."""

from types import SimpleNamespace

import pytest

from roadhead.jobs.context import OwnerContext
from roadhead.jobs.job import Binding
from roadhead.jobs.reconciliation import Reconciliation
from roadhead.membership.term import Term
from roadhead.wire import frames

MACHINE = "n-000020"


class BoundJob:
    """A job of which one task is on the machine, as far as its owner knows; not inherited."""

    id = "req-000001"

    def __init__(self):
        self.bound = {0: Binding(MACHINE, "a", 7, "running", 0.0)}
        self.unreconciled_leaders = set()


class Owner:
    """The controller ctl-0 with that job, and what it sends."""

    def __init__(self, term):
        self.member = SimpleNamespace(term=term)
        self.jobs = {BoundJob.id: BoundJob()}
        self.sent = []
        context = OwnerContext(None, self.member, self._send, lambda: None, None, None, 12.0)
        self.reconciliation = Reconciliation(context, self.jobs, lambda _job: None)

    def _send(self, label, frame):
        self.sent.append((label, frame))

    def adopt(self, new):
        """The term changes. Returns the requests with claims that are sent because of it."""
        old, self.member.term = self.member.term, new
        self.sent.clear()
        self.reconciliation.on_term(old, new)
        return [(label, frame) for label, frame in self.sent if frame.claims]


@pytest.fixture
def term():
    """Three members; ctl-0 is home to all shares."""
    return Term().join("ctl-0", "a").join("ctl-1", "b").join("ctl-2", "c")


def moved(term, label, machine=MACHINE):
    """The next term: the machine's share goes from ctl-0 to that label."""
    return term.move({term.shard_of(machine): label}, "ctl-0")


def other_move(term):
    """The next term: a share that the machine is not in goes from ctl-0 to ctl-2."""
    shard = next(shard for shard in term.shards_of("ctl-0") if shard != term.shard_of(MACHINE))
    return term.move({shard: "ctl-2"}, "ctl-0")


def test_a_claim_that_a_newer_term_overtook_is_told_again(term):
    """The new home has adopted the term after the one that the claim names, and drops it: told once only, the
    owner would believe for ever that the task is there (a job never done, drawn day 130)."""
    owner = Owner(term)
    first = moved(term, "ctl-1")
    [(label, _frame)] = owner.adopt(first)
    assert label == "ctl-1"
    second = other_move(first)
    [(label, frame)] = owner.adopt(second)
    assert label == "ctl-1" and frame.term == second.number
    assert frame.claims == [(MACHINE, BoundJob.id, 0, 7)]


def test_a_claim_that_was_answered_is_not_told_again(term):
    owner = Owner(term)
    first = moved(term, "ctl-1")
    [(label, frame)] = owner.adopt(first)
    owner.reconciliation.on_synced(label, frames.ReconcileDone(frame.term, frame.number))
    assert owner.adopt(other_move(first)) == []


def test_a_claim_on_a_job_that_is_over_is_not_told_again(term):
    owner = Owner(term)
    first = moved(term, "ctl-1")
    assert owner.adopt(first)
    owner.jobs.clear()
    assert owner.adopt(other_move(first)) == []


def test_an_answer_for_an_older_term_does_not_settle_a_claim_told_again(term):
    """It may come from before the home took the share."""
    owner = Owner(term)
    first = moved(term, "ctl-1")
    [(label, early)] = owner.adopt(first)
    second = other_move(first)
    assert owner.adopt(second)
    owner.reconciliation.on_synced(label, frames.ReconcileDone(early.term, early.number))
    assert owner.adopt(other_move(second))
