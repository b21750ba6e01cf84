"""Each safety rule once broken on purpose: the scenario named must notice, or it guards nothing."""

import mutation
import pytest

from roadhead.api.answers import Answer
from roadhead.api.server import Api
from roadhead.frame_router import FrameRouter
from roadhead.jobs.job import Job, from_record
from roadhead.jobs.job_store import JobStore
from roadhead.jobs.quota import QuotaPartitions
from roadhead.jobs.teams import Accounts
from roadhead.local.world import World
from roadhead.machines.machine import Machine
from roadhead.machines.report_processor import ReportProcessor
from roadhead.machines.shard_leader import ShardLeader
from roadhead.machines.shard_reconciliation import ShardReconciliation
from roadhead.membership.authority import Authority
from roadhead.membership.cancellation_freshness import KnownCancellations
from roadhead.node import Node
from roadhead.shards.map import ShardMap
from roadhead.state.record_reader import RecordReader
from roadhead.wire import frames, messages


def never_fenced(patch):
    """1: shares that move, or whose home is a new incarnation, keep their tokens."""
    real = ShardMap.reassign
    patch.setattr(ShardMap, "reassign", lambda self, moves, _token: real(self, moves, self.tokens[0]))


def freed_when_silent(patch):
    """2: tasks of a machine that was silent for a while are taken for gone."""
    real = ShardLeader.tick

    def tick(self, term_confirmed_at):
        now = self._loop.now()
        for machine in list(self.machines.values()):
            if now - (machine.heard_at or now) > 0.4 * self._workers.lease_s:
                for task in machine.tasks.values():
                    self._notifier.notify(task.owner, frames.AttemptGone(machine.id, *task.key, "silent"))
        return real(self, term_confirmed_at)

    patch.setattr(ShardLeader, "tick", tick)


def started_unsynced(patch):
    """3: inherited jobs start at once."""
    real = Job.__init__

    def init(self, *args, **kwargs):
        real(self, *args, **{**kwargs, "inherited": False})

    patch.setattr(Job, "__init__", init)


def renews_blindly(patch):
    """4: a controller out of touch goes on renewing workers."""
    patch.setattr(Authority, "can_renew_leases", lambda self: True)


def told_before_durable(patch):
    """5: a job is called accepted before its record is written."""
    real = Api._submit

    async def submit(self, body):
        answer = await real(self, body)
        if answer.status == 503:
            return Answer(200, self._node_answer(body))
        return answer

    def node_answer(self, body):
        spec = messages.decode_as(body, messages.JobSpec)
        return messages.job_status(spec.id, "pending")

    patch.setattr(Api, "_submit", submit)
    patch.setattr(Api, "_node_answer", node_answer, raising=False)


def overtaken_answers_not_counted(patch):
    """2: of the reports answered only the newest message of its worker counts for the lease."""
    real = ReportProcessor.answer

    def answer(self, report):
        machine = self._registry.machines.get(report.machine)
        newest = machine and (machine.session, machine.sequence)
        renewed_at = machine and machine.lease.renewed_at
        renewal = real(self, report)
        if machine is not None and (report.session, report.sequence) <= newest:
            machine.lease.renewed_at = renewed_at
        return renewal

    patch.setattr(ReportProcessor, "answer", answer)


def forgets_loose_launches(patch):
    """2: an attempt is forgotten although an unanswered launch of it may still arrive."""
    real = Machine.orders

    def orders(self):
        for task in self.tasks.values():
            task.unacked_launch_token = 0
        return real(self)

    patch.setattr(Machine, "orders", orders)


def shared_limit(patch):
    """Limits: every controller starts tasks of a limited team, up to the whole limit each."""

    def level_rooms(self, team):
        account = self._accounts.get(team)
        jobs = account.jobs if account is not None else ()
        used = sum(len(job.bound) * job.spec.cpus for job in jobs)
        return {team: (self._teams.get(team).cpus_max - used, float("inf"))}

    patch.setattr(QuotaPartitions, "level_rooms", level_rooms)
    patch.setattr(QuotaPartitions, "counted", lambda self, team: True)
    patch.setattr(QuotaPartitions, "owns", lambda self, team: True)


def inherits_limits_unsure(patch):
    """Limits: a warden counts only what it has heard of, before its takeover is complete."""
    patch.setattr(Accounts, "unreconciled", lambda self, job: None)
    scanned = property(lambda self: 1 << 60, lambda self, number: None)
    patch.setattr(QuotaPartitions, "scanned", scanned, raising=False)


def frees_when_lapsed(patch):
    """2: a controller that may have been dropped judges leases that others may have renewed."""
    patch.setattr(Authority, "term_confirmed_at", lambda self: self._loop.now())


def created_without_a_look_at_the_shelf(patch):
    """5: a retry of a job that is over, and whose record has moved, makes it anew."""
    for module in ("recorder", "creation_check"):
        patch.setattr(f"roadhead.jobs.{module}.ARCHIVE", "nowhere/")


def polls_the_shelf_first(patch):
    """5: a record that moves between two reads is not found in either place."""
    real = RecordReader.__init__

    def init(self, loop, state, patience_s, places, *more):
        real(self, loop, state, patience_s, places[::-1], *more)

    patch.setattr(RecordReader, "__init__", init)


def up_taken_for_booting(patch):
    """3: machines that are up, too, count as never heard by the home of before."""
    real = ShardLeader.apply_machine_list

    def covered(self, listed, asked_at):
        failed = real(self, listed, asked_at)
        for machine in self.machines.values():
            machine.born_at = asked_at
        self.reconciliation.answer_syncs()
        return failed

    patch.setattr(ShardLeader, "apply_machine_list", covered)


def handed_over_taken_for_heard(patch):
    """2, 3: a machine given away counts as heard by its new home, since the old one had heard it."""
    real = ShardLeader.on_handover

    def on_handover(self, frame):
        before = set(self.machines)
        real(self, frame)
        for name in self.machines.keys() - before:
            machine = self.machines[name]
            machine.confirmed_token, machine.heard_at = machine.token, self._loop.now()
            self.reconciliation.mark_heard(machine)
            self.capacity_granter.on_capacity_changed(machine)

    patch.setattr(ShardLeader, "on_handover", on_handover)


def moved_without_a_fence(patch):
    """3: a share that comes to a home is taken for known at once."""
    real = ShardReconciliation.fence_shards

    def fence(self, shards, short):
        real(self, shards, short)
        for shard in shards:
            self._fences[shard].since = self._loop.now()
            self._fences[shard].covered = True
            self._fences[shard].awaited.clear()

    patch.setattr(ShardReconciliation, "fence_shards", fence)


def links_tell_only_what_is_new(patch):
    """4: a link that comes up brings no word of what was cancelled while it was down."""
    patch.setattr(KnownCancellations, "all", lambda self: [])


def members_alone_are_heard(patch):
    """4: whoever the term known here does not name is not asked for."""
    real = Authority.all_peers_heard_at

    def heard_at(self):
        named = [label for label in self._others if label in self._member.term.members]
        with pytest.MonkeyPatch.context() as within:
            within.setattr(self, "_others", named)
            return real(self)

    patch.setattr(Authority, "all_peers_heard_at", heard_at)


def non_members_are_silent(patch):
    """4: a dropped controller that can't join again says nothing, so that the others are out of touch."""
    patch.setattr(Node, "_speaks", lambda self: self.member.joined)


def cancelled_count_for_nothing(patch):
    """Limits: tasks of jobs that were cancelled before the heir read the records are not thought of."""
    real = QuotaPartitions.all_read
    patch.setattr(QuotaPartitions, "all_read", lambda self, number, _gone_at: real(self, number, None))


def covers_what_it_left(patch):
    """3: a list counts as taken in although machines of it were not taken on."""
    real = ShardReconciliation.apply_list
    patch.setattr(ShardReconciliation, "apply_list", lambda self, asked_at, _left: real(self, asked_at, ()))


def takes_on_what_boots_later(patch):
    """3: a home whose lease has ended hears machines that came up since."""
    patch.setattr(ReportProcessor, "_too_late", lambda self, machine: False)


def back_is_sure_soon(patch):
    """3: whoever is back in its own place takes the short fence, whoever else may have been home before."""
    real = ShardLeader.begin
    patch.setattr(ShardLeader, "begin", lambda self, _short: real(self, True))


def terms_are_not_told(patch):
    """4: a term is learned from the state service alone, and hearing the others counts as being in touch."""
    patch.setattr(FrameRouter, "send_term", lambda self, label: None)


@pytest.mark.parametrize(
    ("sabotage", "scenario"),
    [
        (terms_are_not_told, "refused-leader-told"),
        (back_is_sure_soon, "back-before-sure"),
        (takes_on_what_boots_later, "meeting-boots-at-the-cut"),
        (covers_what_it_left, "meeting-lapsed-heir"),
        (cancelled_count_for_nothing, "limit-cancelled"),
        (links_tell_only_what_is_new, "meeting-refused-then-down"),
        (members_alone_are_heard, "meeting-alone"),
        (handed_over_taken_for_heard, "cut-in-two"),
        (moved_without_a_fence, "stall-takeover"),
        (created_without_a_look_at_the_shelf, "shelf"),
        (polls_the_shelf_first, "shelf-polled"),
        (never_fenced, "takeover-room"),
        (freed_when_silent, "hung-machine"),
        (overtaken_answers_not_counted, "overtaken-reports"),
        (started_unsynced, "takeover-running"),
        (up_taken_for_booting, "takeover-running"),
        (renews_blindly, "cut-zone"),
        (told_before_durable, "crash-all-outage"),
        (shared_limit, "limit"),
        (inherits_limits_unsure, "limit-takeover"),
        (forgets_loose_launches, "late-launch-cancel"),
        (frees_when_lapsed, "cut-in-two"),
        (never_fenced, "back-takeover-room"),
        (started_unsynced, "back-late-copies"),
        (started_unsynced, "move-ten-leaders"),
    ],
)
def test_breaking_a_safety_rule_is_noticed(sabotage, scenario):
    mutation.assert_noticed(sabotage, scenario)


def test_results_that_an_heir_does_not_take_over_are_noticed():
    """5: an heir starts all tasks of a job, not those alone that no record calls done."""
    text = mutation.text_of("meeting-ends-apart")
    real = from_record
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            "roadhead.jobs.job_store.from_record",
            lambda record, owner, stamp: real({**record, "done": []}, owner, stamp),
        )
        assert any("ran anew" in fault for fault in World(text).run().check())


def test_jobs_that_nobody_takes_over_after_all_were_away_are_noticed():
    """All controllers were away for longer than a lease: what their owners had accepted stays as it was."""
    text = mutation.text_of("hang-all-away")
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(JobStore, "take_over", lambda self, items: None)
        assert any("was told" in fault for fault in World(text).run().check())


def test_silence_of_who_is_no_member_is_noticed():
    """No rule breaks, but the others let go of their machines: the scenario's bound on that notices."""
    text = mutation.text_of("meeting-dropped-then-down")
    with pytest.MonkeyPatch.context() as patch:
        non_members_are_silent(patch)
        assert any("killed by their lease" in fault for fault in World(text).run().check())
