"""A write is carried out and only its answer lost, or seconds late, while others read what it wrote."""

import itertools
from types import SimpleNamespace

import mutation
import pytest
from test_read_order import never_compared
from write_faults import Fault, Sender, play
from write_kinds import KINDS

from roadhead.api.answers import Answer
from roadhead.api.server import Api
from roadhead.gateway.tenants_api import TenantsApi, authenticate
from roadhead.jobs.job import ARCHIVE, KEY
from roadhead.jobs.job_store import JobStore
from roadhead.jobs.records import RecordArchiver
from roadhead.jobs.transactions import RecordWrite
from roadhead.local.state_service import StateServiceEmulator
from roadhead.membership.format_gate import GATE
from roadhead.membership.member import MEMBER, TERM
from roadhead.membership.term import Term
from roadhead.node import Node
from roadhead.pipelines import upstream_parts
from roadhead.runtime.loop import Future
from roadhead.state.client import StateClient, UnavailableError, UnknownOutcomeError
from roadhead.wire import messages

FATES = (
    {"late_s": 0.0},
    {"late_s": 0.0, "reset": True, "repeats": 2},
    {"late_s": 4.5},
    {"late_s": 7.0, "nth": 1},
)


def unmet_expectations(kind):
    """A sample of `write_faults.cases()`: each fate, each sender twice."""
    senders = itertools.cycle(Sender)
    for fate in FATES:
        yield Fault(kind, sender=next(senders), **fate)
        next(senders)
        yield Fault(kind, sender=next(senders), **fate)


@pytest.mark.parametrize("kind", KINDS)
def test_a_write_whose_answer_is_lost_or_that_comes_late(kind):
    outcomes = {fault: play(fault) for fault in unmet_expectations(kind)}
    assert {str(fault): outcome.faults for fault, outcome in outcomes.items() if outcome.faults} == {}
    assert sum(bool(outcome.struck) for outcome in outcomes.values()) >= len(outcomes) // 2


# Mutations, at the service: what the writers ask of it is taken out of their transactions.


def without_conditions(wanted):
    """Prepares a world whose service does not look at conditions that `wanted(key, stamp, writes)` names."""

    def prepare(world):
        real = world.state.handle

        async def handle(method, path, args, body, host):
            if path == "/multi":
                body = {
                    **body,
                    "if": [
                        condition
                        for condition in body["if"]
                        if not wanted(condition["k"], condition["stamp"], body["writes"])
                    ],
                }
            return await real(method, path, args, body, host)

        world.state.handle = handle

    return prepare


def stamps_of_records(key, stamp, _writes):
    """5: records are written whatever is there."""
    return key.startswith(KEY) and stamp != 0


def creations_need_no_term(key, _stamp, writes):
    """5: a creation takes effect although its owner was dropped meanwhile."""
    return key == TERM and not any(write.get("put") == TERM for write in writes)


def entry_without_its_own_stamp(key, _stamp, writes):
    """Membership: an earlier entry that comes late replaces the newer one."""
    return any(write.get("put") == key for write in writes) and key.startswith(MEMBER)


def term_without_its_stamp(key, _stamp, writes):
    """1: a term is written whatever term is there."""
    return key == TERM and any(write.get("put") == TERM for write in writes)


@pytest.mark.parametrize(
    ("missing", "kind", "late_s"),
    [
        (stamps_of_records, "progress", (4.5, 7.0, 12.0)),
        (stamps_of_records, "release", (7.0,)),
        (creations_need_no_term, "creation", (0.6, 0.9)),
        (term_without_its_stamp, "move", (2.0, 4.5)),
        (term_without_its_stamp, "join", (2.0, 4.5)),
    ],
)
def test_a_condition_that_is_missing_is_noticed(missing, kind, late_s):
    for nth, late, sender in itertools.product((0, 1, 2, 3), late_s, Sender):
        fault = Fault(kind, nth, late, sender)
        if play(fault, prepare=without_conditions(missing)).faults:
            assert play(fault).faults == ()
            return
    raise AssertionError(f"not noticed: {missing.__doc__}")


def test_an_entry_without_its_own_stamp_costs_a_living_member_its_place():
    fault = Fault("entry", late_s=2.0, reset=True)
    assert play(fault).joins == 3
    assert play(fault, prepare=without_conditions(entry_without_its_own_stamp)).joins > 3


def gate_without_conditions(_key, _stamp, writes):
    """The gate: whatever is there is replaced, also by an earlier record that comes late."""
    return any(write.get("put") == GATE for write in writes)


ONE_JOINS_LATER = """
capacity 6
at 0 crash 2 5
at 1 submit count=5 legs=4 runS=6
until 60
"""


def test_a_gate_without_conditions_is_noticed():
    fault = Fault("gate", late_s=12.0)
    outcome = play(fault, ONE_JOINS_LATER, prepare=without_conditions(gate_without_conditions))
    assert "the format in force falls to 3" in outcome.faults
    assert play(fault, ONE_JOINS_LATER).faults == ()


def leases_are_asked_for_once(patch):
    """Membership: whoever hears no answer to its lease waits for it for ever."""
    real = StateClient.lease

    async def lease(self, life_s):
        try:
            return await real(self, life_s)
        except UnknownOutcomeError:
            await Future()

    patch.setattr(StateClient, "lease", lease)


def test_a_lease_that_is_asked_for_once_costs_its_controller_its_place():
    fault = Fault("lease", reset=True)
    with pytest.MonkeyPatch.context() as patch:
        leases_are_asked_for_once(patch)
        joins = play(fault).joins
    assert joins < play(fault).joins


def failed_renewals_count_as_made(patch):
    """Membership: a lease is believed in although no renewal of it was answered."""
    real = StateClient.renew_lease

    async def touch(self, permit):
        try:
            await real(self, permit)
        except (UnknownOutcomeError, UnavailableError):
            pass

    patch.setattr(StateClient, "renew_lease", touch)


def test_a_renewal_that_failed_and_counts_as_made_is_noticed():
    mutation.assert_noticed(failed_renewals_count_as_made, "meeting-boots-at-the-cut")


def moves_in_two_transactions(patch):
    """5: a record leaves its place before it is where it is looked for next."""

    async def move(self, moves):
        await self._state.multi([], [{"drop": KEY + job_id} for job_id, _record, _stamp in moves])
        await self._state.multi(
            [], [{"put": ARCHIVE + job_id, "data": record} for job_id, record, _ in moves]
        )

    patch.setattr(RecordArchiver, "_move", move)


def parts_of_tries_mix(patch):
    """Pipelines: a part without an answer goes under another key next, and all tries have one nonce."""
    real = StateClient.multi
    patch.setattr(upstream_parts, "secrets", SimpleNamespace(token_hex=lambda _count: "0"))

    async def multi(self, conditions, writes, patient=False):
        try:
            return await real(self, conditions, writes, patient)
        except UnknownOutcomeError:
            if not writes or not writes[0].get("put", "").startswith(upstream_parts.PARTS):
                raise
            again = [{"put": f"{write['put']}-again", "data": write["data"]} for write in writes]
            return await real(self, conditions, again, patient)

    patch.setattr(StateClient, "multi", multi)


PARTS_READ_BY_HEIRS = """
capacity 10
value_kb 1
txn_ops 5
at 1 submit count=80 legs=1 runS=20
at 5 submit legs=1 runS=2 upstream=1-80
at 12 crash 0 0.3
at 12 crash 1 0.3
at 12 crash 2 0.3
until 120
"""


def incarnations_are_counted_from_the_members(patch):
    """1: a number that a member had that was dropped since is given again."""
    real = Term.join

    def join(self, label, nonce):
        newest = max((entry[0] for entry in self.members.values()), default=0)
        return real(
            Term(self.number, newest + 1, self.members, self.quota_leaders, self.relieved, self.shard_map),
            label,
            nonce,
        )

    patch.setattr(Term, "join", join)


def unknown_keys_are_refused_at_once(patch):
    """Tenants: a gateway whose watch lags answers 401 on a key that was made through another."""

    async def from_the_table(self, text):
        return authenticate(self._table, self._secrets, text, self._time_of_day())

    patch.setattr(TenantsApi, "_authenticate", from_the_table)


def own_creation_is_not_recognized(patch):
    """5: whoever finds its own record after a lost answer takes it for somebody else's."""
    real = JobStore._conflict

    def conflict(self, job, record, stamp):
        pending = self._settled(job)
        if pending is None:
            return real(self, job, record, stamp)
        self.recorder.cancel_write(job)
        pending.set((False, record))
        return None

    patch.setattr(RecordWrite, "is_stored_as", lambda _self, _record: False)
    patch.setattr(JobStore, "_conflict", conflict)


@pytest.mark.parametrize(
    ("mutate", "kind", "text"),
    [
        (incarnations_are_counted_from_the_members, "join", None),
        # No controller ends here: else the heirs of the one that does would find the job.
        (own_creation_is_not_recognized, "creation", "at 1 submit count=4 legs=2 runS=4\nuntil 90"),
        (parts_of_tries_mix, "parts", PARTS_READ_BY_HEIRS),
    ],
)
def test_a_guard_that_is_taken_out_is_noticed(mutate, kind, text):
    for nth, sender in itertools.product(range(5), Sender):
        fault = Fault(kind, nth, 0.0, sender, reset=True)
        with pytest.MonkeyPatch.context() as patch:
            mutate(patch)
            noticed = play(fault, text).faults
        if noticed:
            assert play(fault, text).faults == ()
            return
    raise AssertionError(f"not noticed: {mutate.__doc__}")


def test_a_move_to_the_archive_in_two_transactions_is_noticed():
    fault = Fault("archive", late_s=7.0, sender=Sender.ENDS)
    with pytest.MonkeyPatch.context() as patch:
        moves_in_two_transactions(patch)
        assert any("forgotten" in text for text in play(fault).faults)
    assert play(fault).faults == ()


NEW_TENANTS = """
gateways 2
at 2 tenant first team=crew:cpus=4 cpus=8
at 2 tenant second team=crew:cpus_max=6
at 8 submit tenant=first id=a count=4 legs=2 runS=8
at 14 limits second team=crew:cpus_max=4 cpus=4
at 30 remove second
until 120
"""


def test_a_new_key_is_good_at_a_gateway_that_the_service_refuses():
    fault = Fault("tenant", 4, 2.0, Sender.REFUSED)
    with pytest.MonkeyPatch.context() as patch:
        unknown_keys_are_refused_at_once(patch)
        assert any("gave up" in text for text in play(fault, NEW_TENANTS).faults)
    assert play(fault, NEW_TENANTS).faults == ()


def marks_are_dropped_early(patch):
    """4: the mark of a cancellation goes as soon as its job's owner has heard of it."""
    real = JobStore.cancelled

    def cancelled(self, job_id, record=None):
        if job_id in self.jobs:
            self.recorder.schedule_delete(f"c/x/{job_id}")
        return real(self, job_id, record)

    patch.setattr(JobStore, "cancelled", cancelled)


def test_a_mark_that_is_dropped_early_is_noticed():
    mutation.assert_noticed(marks_are_dropped_early, "late-transaction-mark")


def records_without_stamps(patch):
    """5: the service carries out writes of records whatever is there."""
    real = StateServiceEmulator.multi

    def multi(self, body):
        kept = [
            item for item in body["if"] if not stamps_of_records(item["k"], item["stamp"], body["writes"])
        ]
        return real(self, {**body, "if": kept})

    patch.setattr(StateServiceEmulator, "multi", multi)


def unsure_is_told_as_cancelled(patch):
    """5: a cancellation that is not known to be durable is confirmed all the same."""
    real = Api._cancel

    async def cancel(self, job_id):
        answer = await real(self, job_id)
        return answer if answer.status != 503 else Answer(200, messages.job_status(job_id, "cancelled"))

    patch.setattr(Api, "_cancel", cancel)


def cancellations_are_not_passed_on(patch):
    """4: who is refused by the service alone hears of cancellations from nobody."""
    patch.setattr(Node, "_tell_cancelled", lambda self, label, jobs: None)


@pytest.mark.parametrize(
    ("mutate", "scenario"),
    [
        (records_without_stamps, "late-transaction-many"),
        (unsure_is_told_as_cancelled, "lost-refused-cancelled"),
        (unsure_is_told_as_cancelled, "lost-slow-state"),
        (unsure_is_told_as_cancelled, "lost-slow-then-refused"),
        (cancellations_are_not_passed_on, "lost-refused-cancelled"),
        (never_compared, "read-lost-answers"),
    ],
)
def test_a_scenario_notices_a_guard_that_is_taken_out(mutate, scenario):
    mutation.assert_noticed(mutate, scenario)
