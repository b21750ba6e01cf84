"""Writes to the state service whose answer is lost, or that take effect seconds late while others read them.

The numbers in the docstrings of mutations are those of the safety rules in docs/design.md.
"""

import itertools
from types import SimpleNamespace

import mutation
import pytest
from test_read_order import skip_stamp_comparison
from write_faults import Fault, Sender, play
from write_kinds import KINDS

from roadhead.api.answers import Answer
from roadhead.api.server import Api
from roadhead.gateway.tenants_api import TenantsApi, authenticate
from roadhead.jobs.job import ARCHIVE, RECORD_PREFIX
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

ANSWER_FAULTS = (
    {"late_s": 0.0},
    {"late_s": 0.0, "reset": True, "repeats": 2},
    {"late_s": 4.5},
    {"late_s": 7.0, "nth": 1},
)


def sampled_faults(kind):
    """Yields a sample of `write_faults.cases()`: each of ANSWER_FAULTS with two of the senders."""
    senders = itertools.cycle(Sender)
    for answer_fault in ANSWER_FAULTS:
        yield Fault(kind, sender=next(senders), **answer_fault)
        next(senders)
        yield Fault(kind, sender=next(senders), **answer_fault)


@pytest.mark.parametrize("kind", KINDS)
def test_a_write_whose_answer_is_lost_or_that_comes_late(kind):
    outcomes = {fault: play(fault) for fault in sampled_faults(kind)}
    assert {str(fault): outcome.faults for fault, outcome in outcomes.items() if outcome.faults} == {}
    assert sum(bool(outcome.writes_hit) for outcome in outcomes.values()) >= len(outcomes) // 2


# Mutations of the state service: it ignores conditions of the transactions that writers send.


def without_conditions(is_removed):
    """Returns a function that makes a world's state service ignore conditions.

    Ignored are those for which `is_removed(key, stamp, writes)` is true.
    """

    def prepare(world):
        real = world.state.handle

        async def handle(method, path, args, body, host):
            if path == "/multi":
                body = {
                    **body,
                    "if": [
                        condition
                        for condition in body["if"]
                        if not is_removed(condition["k"], condition["stamp"], body["writes"])
                    ],
                }
            return await real(method, path, args, body, host)

        world.state.handle = handle

    return prepare


def is_record_stamp(key, stamp, _writes):
    """5: job records are overwritten whatever their stamp is."""
    return key.startswith(RECORD_PREFIX) and stamp != 0


def is_term_of_creation(key, _stamp, writes):
    """5: a creation takes effect although its owner was dropped in the meantime."""
    return key == TERM and not any(write.get("put") == TERM for write in writes)


def is_stamp_of_own_member_entry(key, _stamp, writes):
    """Membership: an earlier member entry that takes effect late replaces the newer one."""
    return any(write.get("put") == key for write in writes) and key.startswith(MEMBER)


def is_stamp_of_term(key, _stamp, writes):
    """1: a term is written whatever term is stored."""
    return key == TERM and any(write.get("put") == TERM for write in writes)


@pytest.mark.parametrize(
    ("is_removed", "kind", "late_s"),
    [
        (is_record_stamp, "progress", (4.5, 7.0, 12.0)),
        (is_record_stamp, "release", (7.0,)),
        (is_term_of_creation, "creation", (0.6, 0.9)),
        (is_stamp_of_term, "move", (2.0, 4.5)),
        (is_stamp_of_term, "join", (2.0, 4.5)),
    ],
)
def test_a_missing_condition_is_detected(is_removed, kind, late_s):
    for nth, late, sender in itertools.product((0, 1, 2, 3), late_s, Sender):
        fault = Fault(kind, nth, late, sender)
        if play(fault, prepare=without_conditions(is_removed)).faults:
            assert play(fault).faults == ()
            return
    raise AssertionError(f"not detected: {is_removed.__doc__}")


def test_a_member_entry_without_its_stamp_drops_a_live_member():
    fault = Fault("entry", late_s=2.0, reset=True)
    assert play(fault).joins == 3
    assert play(fault, prepare=without_conditions(is_stamp_of_own_member_entry)).joins > 3


def is_condition_of_format_gate(_key, _stamp, writes):
    """Format gate: its record is replaced whatever it is, also by an earlier one that takes effect late."""
    return any(write.get("put") == GATE for write in writes)


LATE_JOIN = """
capacity 6
at 0 crash 2 5
at 1 submit count=5 legs=4 runS=6
until 60
"""


def test_a_format_gate_without_conditions_is_detected():
    fault = Fault("gate", late_s=12.0)
    outcome = play(fault, LATE_JOIN, prepare=without_conditions(is_condition_of_format_gate))
    assert "the format in force falls to 3" in outcome.faults
    assert play(fault, LATE_JOIN).faults == ()


def request_lease_once(patch):
    """Membership: a controller whose lease request gets no answer waits for it forever."""
    real = StateClient.lease

    async def lease(self, life_s):
        try:
            return await real(self, life_s)
        except UnknownOutcomeError:
            await Future()

    patch.setattr(StateClient, "lease", lease)


def test_a_lease_request_that_is_not_repeated_keeps_its_controller_from_joining():
    fault = Fault("lease", reset=True)
    with pytest.MonkeyPatch.context() as patch:
        request_lease_once(patch)
        joins = play(fault).joins
    assert joins < play(fault).joins


def ignore_failed_lease_renewals(patch):
    """Membership: a lease counts as renewed although no renewal was answered."""
    real = StateClient.renew_lease

    async def renew_lease(self, permit):
        try:
            await real(self, permit)
        except (UnknownOutcomeError, UnavailableError):
            pass

    patch.setattr(StateClient, "renew_lease", renew_lease)


def test_counting_a_failed_renewal_as_made_is_detected():
    mutation.assert_detected(ignore_failed_lease_renewals, "meeting-boots-at-the-cut")


def archive_in_two_transactions(patch):
    """5: a record is deleted before it is written to the archive, where readers look next."""

    async def move(self, moves):
        await self._state.multi([], [{"drop": RECORD_PREFIX + job_id} for job_id, _record, _stamp in moves])
        await self._state.multi(
            [], [{"put": ARCHIVE + job_id, "data": record} for job_id, record, _ in moves]
        )

    patch.setattr(RecordArchiver, "_move", move)


def reuse_nonce_across_retries(patch):
    """Pipelines: a part whose write got no answer is retried under another key with the same nonce."""
    real = StateClient.multi
    patch.setattr(upstream_parts, "secrets", SimpleNamespace(token_hex=lambda _count: "0"))

    async def multi(self, conditions, writes, patient=False):
        try:
            return await real(self, conditions, writes, patient)
        except UnknownOutcomeError:
            if not writes or not writes[0].get("put", "").startswith(upstream_parts.PARTS_PREFIX):
                raise
            again = [{"put": f"{write['put']}-again", "data": write["data"]} for write in writes]
            return await real(self, conditions, again, patient)

    patch.setattr(StateClient, "multi", multi)


PARTS_READ_BY_SUCCESSORS = """
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


def reuse_incarnations_of_dropped_members(patch):
    """1: the incarnation number of a member that was dropped is assigned again."""
    real = Term.join

    def join(self, label, nonce):
        newest = max((entry[0] for entry in self.members.values()), default=0)
        return real(
            Term(self.number, newest + 1, self.members, self.quota_leaders, self.relieved, self.shard_map),
            label,
            nonce,
        )

    patch.setattr(Term, "join", join)


def refuse_unknown_keys_at_once(patch):
    """Tenants: a gateway whose watch lags answers 401 for a key that was created through another gateway."""

    async def authenticate_from_table(self, text):
        return authenticate(self._table, self._secrets, text, self._time_of_day())

    patch.setattr(TenantsApi, "_authenticate", authenticate_from_table)


def do_not_recognize_own_creation(patch):
    """5: a creator that finds its own record after a lost answer takes it for another creator's."""
    real = JobStore._on_conflict

    def on_conflict(self, job, record, stamp):
        pending = self._finish_creation(job)
        if pending is None:
            return real(self, job, record, stamp)
        self.recorder.cancel_write(job)
        pending.set((False, record))
        return None

    patch.setattr(RecordWrite, "is_stored_as", lambda _self, _record: False)
    patch.setattr(JobStore, "_on_conflict", on_conflict)


@pytest.mark.parametrize(
    ("mutate", "kind", "text"),
    [
        (reuse_incarnations_of_dropped_members, "join", None),
        # No controller ends in this scenario: the successors of one that ended would find the job.
        (do_not_recognize_own_creation, "creation", "at 1 submit count=4 legs=2 runS=4\nuntil 90"),
        (reuse_nonce_across_retries, "parts", PARTS_READ_BY_SUCCESSORS),
    ],
)
def test_a_removed_guard_is_detected_by_write_faults(mutate, kind, text):
    for nth, sender in itertools.product(range(5), Sender):
        fault = Fault(kind, nth, 0.0, sender, reset=True)
        with pytest.MonkeyPatch.context() as patch:
            mutate(patch)
            detected = play(fault, text).faults
        if detected:
            assert play(fault, text).faults == ()
            return
    raise AssertionError(f"not detected: {mutate.__doc__}")


def test_archiving_in_two_transactions_is_detected():
    fault = Fault("archive", late_s=7.0, sender=Sender.ENDS)
    with pytest.MonkeyPatch.context() as patch:
        archive_in_two_transactions(patch)
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


def test_a_gateway_that_the_state_service_refuses_accepts_a_new_key():
    fault = Fault("tenant", 4, 2.0, Sender.REFUSED)
    with pytest.MonkeyPatch.context() as patch:
        refuse_unknown_keys_at_once(patch)
        assert any("gave up" in text for text in play(fault, NEW_TENANTS).faults)
    assert play(fault, NEW_TENANTS).faults == ()


def delete_cancellation_mark_early(patch):
    """4: the mark of a cancellation is deleted as soon as the job's owner has learned of it."""
    real = JobStore.cancelled

    def cancelled(self, job_id, record=None):
        if job_id in self.jobs:
            self.recorder.schedule_delete(f"c/x/{job_id}")
        return real(self, job_id, record)

    patch.setattr(JobStore, "cancelled", cancelled)


def test_deleting_a_cancellation_mark_early_is_detected():
    mutation.assert_detected(delete_cancellation_mark_early, "late-transaction-mark")


def ignore_record_stamps(patch):
    """5: the state service carries out writes of job records whatever their stamp is."""
    real = StateServiceEmulator.multi

    def multi(self, body):
        kept = [item for item in body["if"] if not is_record_stamp(item["k"], item["stamp"], body["writes"])]
        return real(self, {**body, "if": kept})

    patch.setattr(StateServiceEmulator, "multi", multi)


def confirm_uncertain_cancellations(patch):
    """5: a cancellation is confirmed although it may not be durable."""
    real = Api._cancel

    async def cancel(self, job_id):
        answer = await real(self, job_id)
        return answer if answer.status != 503 else Answer(200, messages.job_status(job_id, "cancelled"))

    patch.setattr(Api, "_cancel", cancel)


def do_not_forward_cancellations(patch):
    """4: a controller that only the state service refuses learns of cancellations from nobody."""
    patch.setattr(Node, "_send_cancellations", lambda self, label, jobs: None)


@pytest.mark.parametrize(
    ("mutate", "scenario"),
    [
        (ignore_record_stamps, "late-transaction-many"),
        (confirm_uncertain_cancellations, "lost-refused-cancelled"),
        (confirm_uncertain_cancellations, "lost-slow-state"),
        (confirm_uncertain_cancellations, "lost-slow-then-refused"),
        (do_not_forward_cancellations, "lost-refused-cancelled"),
        (skip_stamp_comparison, "read-lost-answers"),
    ],
)
def test_a_removed_guard_is_detected_by_a_scenario(mutate, scenario):
    mutation.assert_detected(mutate, scenario)
