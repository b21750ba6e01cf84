"""An owner resends its claims on tasks until the shard leader of their machine has answered."""

from types import SimpleNamespace

import pytest

from roadhead.jobs.context import OwnerContext
from roadhead.jobs.job import Binding
from roadhead.jobs.reconciliation import MAX_ROWS_PER_REQUEST, Reconciliation
from roadhead.membership.term import Term
from roadhead.wire import frames
from roadhead.wire.frame_codec import MAX_FRAME_BYTES

MACHINE = "n-000020"


class BoundJob:
    """A job, not inherited, that has one task bound to MACHINE according to its owner."""

    id = "req-000001"

    def __init__(self):
        self.bound = {0: Binding(MACHINE, "a", 7, "running", 0.0)}
        self.unreconciled_leaders = set()


class Owner:
    """The controller ctl-0, which owns a BoundJob, and the frames it sends."""

    def __init__(self, term):
        self.member = SimpleNamespace(term=term)
        self.jobs = {BoundJob.id: BoundJob()}
        self.sent = []
        context = OwnerContext(None, self.member, self._send, lambda: None, None, None, 12.0)
        self.reconciliation = Reconciliation(context, self.jobs, lambda _job: None)

    def _send(self, label, frame):
        self.sent.append((label, frame))

    def adopt(self, new):
        """Adopts a term, and returns the (label, request) pairs with claims that are sent because of it."""
        old, self.member.term = self.member.term, new
        self.sent.clear()
        self.reconciliation.on_term(old, new)
        return [(label, frame) for label, frame in self.sent if frame.claims]


@pytest.fixture
def term():
    """Returns a term with three members in which ctl-0 leads all shards."""
    return Term().join("ctl-0", "a").join("ctl-1", "b").join("ctl-2", "c")


def move_machine_shard(term, label, machine=MACHINE):
    """Returns the next term, in which the machine's shard moves from ctl-0 to `label`."""
    return term.move({term.shard_of(machine): label}, "ctl-0")


def move_other_shard(term):
    """Returns the next term, in which a shard without the machine moves from ctl-0 to ctl-2."""
    shard = next(shard for shard in term.shards_of("ctl-0") if shard != term.shard_of(MACHINE))
    return term.move({shard: "ctl-2"}, "ctl-0")


def test_a_claim_that_a_newer_term_overtook_is_sent_again(term):
    """A leader that has adopted a later term than the claim names ignores the claim.

    If it were sent only once, the owner would believe forever that the task is there, and the job would never
    end (random day 130)."""
    owner = Owner(term)
    first_term = move_machine_shard(term, "ctl-1")
    [(label, _frame)] = owner.adopt(first_term)
    assert label == "ctl-1"
    second_term = move_other_shard(first_term)
    [(label, frame)] = owner.adopt(second_term)
    assert label == "ctl-1" and frame.term == second_term.number
    assert frame.claims == [(MACHINE, BoundJob.id, 0, 7)]


def test_many_claims_go_out_in_several_requests_that_are_answered_one_by_one(term):
    """One frame of more than 4 MiB ends the link, again and again."""
    owner = Owner(term)
    job = owner.jobs[BoundJob.id]
    job.bound = {
        index: Binding(MACHINE, "a", (1 << 40) + index, "running", 0.0)
        for index in range(2 * MAX_ROWS_PER_REQUEST + 5)
    }
    job.unreconciled_leaders = {"ctl-0"}
    owner.reconciliation.ask("ctl-0")
    sent = [frame for _label, frame in owner.sent]
    assert [frame.jobs for frame in sent] == [[job.id], [], []]
    claimed = [claim for frame in sent for claim in frame.claims]
    assert sorted(claim[2] for claim in claimed) == sorted(job.bound)
    assert max(len(frame.encode()) for frame in sent) < MAX_FRAME_BYTES / 2
    for frame in sent[1:]:
        owner.reconciliation.on_synced("ctl-0", frames.ReconcileDone(frame.term, frame.number))
    assert job.unreconciled_leaders
    assert owner.reconciliation.unanswered_requests() == {"ctl-0": [sent[0].number]}
    owner.sent.clear()
    assert owner.reconciliation.ask_again("ctl-0", [sent[0].number]) == 1
    assert [frame.jobs for _label, frame in owner.sent] == [[job.id], [], []]


def test_an_owner_without_jobs_still_asks(term):
    """The answer says that all tasks there are known."""
    owner = Owner(term)
    owner.jobs.clear()
    owner.reconciliation.ask("ctl-1")
    assert [(label, frame.jobs, frame.claims) for label, frame in owner.sent] == [("ctl-1", [], [])]


def test_an_answered_claim_is_not_sent_again(term):
    owner = Owner(term)
    first_term = move_machine_shard(term, "ctl-1")
    [(label, frame)] = owner.adopt(first_term)
    owner.reconciliation.on_synced(label, frames.ReconcileDone(frame.term, frame.number))
    assert owner.adopt(move_other_shard(first_term)) == []


def test_a_claim_of_an_ended_job_is_not_sent_again(term):
    owner = Owner(term)
    first_term = move_machine_shard(term, "ctl-1")
    assert owner.adopt(first_term)
    owner.jobs.clear()
    assert owner.adopt(move_other_shard(first_term)) == []


def test_an_answer_for_an_older_term_does_not_settle_a_claim_sent_again(term):
    """The leader may have given that answer before it adopted the shard."""
    owner = Owner(term)
    first_term = move_machine_shard(term, "ctl-1")
    [(label, early)] = owner.adopt(first_term)
    second_term = move_other_shard(first_term)
    assert owner.adopt(second_term)
    owner.reconciliation.on_synced(label, frames.ReconcileDone(early.term, early.number))
    assert owner.adopt(move_other_shard(second_term))
