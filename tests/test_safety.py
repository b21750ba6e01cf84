"""Mutation tests of the safety rules: each removes one guard, and the named scenario must detect it.

The numbers in the docstrings are those of the safety rules in docs/design.md; "Limits" are the quota limits
of teams.
"""

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
from roadhead.machines.command_fence import CommandFence
from roadhead.machines.machine import Machine
from roadhead.machines.pending_commands import next_commands
from roadhead.machines.report_processor import ReportProcessor
from roadhead.machines.shard_leader import ShardLeader
from roadhead.machines.shard_reconciliation import ShardReconciliation
from roadhead.membership.authority import Authority
from roadhead.membership.cancellation_freshness import KnownCancellations
from roadhead.node import Node
from roadhead.shards.map import ShardMap
from roadhead.state.record_reader import RecordReader
from roadhead.wire import frames, messages


def keep_old_tokens(patch):
    """1: shards that move, or whose leader is a new incarnation, keep their fencing tokens."""
    real = ShardMap.reassign
    patch.setattr(ShardMap, "reassign", lambda self, moves, _token: real(self, moves, self.tokens[0]))


def free_tasks_of_silent_machines(patch):
    """2: tasks of a machine that was silent for 0.4 of a lease are reported as gone."""
    real = ShardLeader.tick

    def tick(self, term_confirmed_at):
        now = self._loop.now()
        for machine in list(self.machines.values()):
            if now - (machine.heard_at or now) > 0.4 * self._workers.lease_s:
                for task in machine.tasks.values():
                    self.notifier.notify(task.owner, frames.AttemptGone(machine.id, *task.key, "silent"))
        return real(self, term_confirmed_at)

    patch.setattr(ShardLeader, "tick", tick)


def start_inherited_jobs_unreconciled(patch):
    """3: inherited jobs start before the shard leaders have reported their running tasks."""
    real = Job.__init__

    def init(self, *args, **kwargs):
        real(self, *args, **{**kwargs, "inherited": False})

    patch.setattr(Job, "__init__", init)


def renew_leases_without_contact(patch):
    """4: a controller that has lost contact goes on renewing worker leases."""
    patch.setattr(Authority, "can_renew_leases", lambda self: True)


def answer_submission_before_durable(patch):
    """5: a job is reported as accepted before its record is written."""
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


def ignore_renewals_by_overtaken_reports(patch):
    """2: an answered report does not renew the lease if a newer message of its worker was received first."""
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


def forget_under_the_same_token(patch):
    """2: an attempt is forgotten under the token of its direct launch, of which a copy may still arrive."""
    patch.setattr(CommandFence, "raise_count", lambda self: None)


def forget_answered_launches_under_the_same_token(patch):
    """2: a direct launch that was answered counts as arrived for good."""

    def commands_for_answer(machine):
        commands = next_commands(machine.pending_commands, may_launch=True, may_forget=True)
        if commands.forgets and machine.request_in_flight:
            machine.command_fence.raise_count()
        return commands

    patch.setattr(Machine, "commands_for_answer", commands_for_answer)


def forget_in_direct_commands(patch):
    """2: direct commands forget attempts, although the answer to a report may still launch them."""

    def direct_commands(machine):
        return next_commands(machine.pending_commands, may_launch=True, may_forget=True)

    patch.setattr(Machine, "direct_commands", direct_commands)


def apply_limit_per_controller(patch):
    """Limits: every controller starts tasks of a limited team, each up to the whole limit."""

    def headroom_by_level(self, team):
        account = self._accounts.get(team)
        jobs = account.jobs if account is not None else ()
        used = sum(len(job.bound) * job.spec.cpus for job in jobs)
        return {team: (self._teams.get(team).cpus_max - used, float("inf"))}

    patch.setattr(QuotaPartitions, "headroom_by_level", headroom_by_level)
    patch.setattr(QuotaPartitions, "is_counted", lambda self, team: True)
    patch.setattr(QuotaPartitions, "owns", lambda self, team: True)


def use_inherited_limits_unreconciled(patch):
    """Limits: a quota leader counts only the tasks it knows of, before its failover is complete."""
    patch.setattr(Accounts, "unreconciled", lambda self, job: None)
    scanned = property(lambda self: 1 << 60, lambda self, number: None)
    patch.setattr(QuotaPartitions, "scanned", scanned, raising=False)


def judge_leases_with_unconfirmed_term(patch):
    """2: a controller that may have been dropped ends leases that others may have renewed."""
    patch.setattr(Authority, "term_confirmed_at", lambda self: self._loop.now())


def create_without_archive_check(patch):
    """5: a retried submission of an ended job, whose record is in the archive, creates the job again."""
    for module in ("recorder", "creation_check"):
        patch.setattr(f"roadhead.jobs.{module}.ARCHIVE", "nowhere/")


def read_archive_first(patch):
    """5: a record that moves to the archive between two reads is found in neither place."""
    real = RecordReader.__init__

    def init(self, loop, state, patience_s, places, *more):
        real(self, loop, state, patience_s, places[::-1], *more)

    patch.setattr(RecordReader, "__init__", init)


def treat_running_machines_as_booting(patch):
    """3: running machines, too, count as ones that the previous shard leader never heard."""
    real = ShardLeader.apply_machine_list

    def apply_machine_list(self, listed, asked_at):
        failed = real(self, listed, asked_at)
        for machine in self.machines.values():
            machine.born_at = asked_at
        self.reconciliation.answer_syncs()
        return failed

    patch.setattr(ShardLeader, "apply_machine_list", apply_machine_list)


def treat_handed_over_machines_as_heard(patch):
    """2, 3: a machine that was handed over counts as heard by its new leader because the old one heard it."""
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


def move_shards_without_fence(patch):
    """3: a shard that moves to a leader counts as reconciled at once."""
    real = ShardReconciliation.fence_shards

    def fence_shards(self, shards, short):
        real(self, shards, short)
        for shard in shards:
            self._fences[shard].led_since = self._loop.now()
            self._fences[shard].covered = True
            self._fences[shard].awaited_machines.clear()

    patch.setattr(ShardReconciliation, "fence_shards", fence_shards)


def send_only_new_cancellations_on_connect(patch):
    """4: a peer that reconnects is not told of the cancellations made while the link was down."""
    patch.setattr(KnownCancellations, "all", lambda self: [])


def require_contact_with_members_only(patch):
    """4: contact is not required with controllers that the locally known term does not name."""
    real = Authority.all_peers_heard_at

    def all_peers_heard_at(self):
        named = [label for label in self._others if label in self._member.term.members]
        with pytest.MonkeyPatch.context() as inner_patch:
            inner_patch.setattr(self, "_others", named)
            return real(self)

    patch.setattr(Authority, "all_peers_heard_at", all_peers_heard_at)


def silence_non_members(patch):
    """4: a dropped controller that can't rejoin sends no heartbeats, so that the others lose contact."""
    patch.setattr(Node, "_may_send_heartbeats", lambda self: self.member.joined)


def ignore_cancelled_tasks_in_limits(patch):
    """Limits: tasks of jobs that were cancelled before the successor read the records are not counted."""
    real = QuotaPartitions.on_all_read
    patch.setattr(QuotaPartitions, "on_all_read", lambda self, number, _gone_at: real(self, number, None))


def treat_partly_applied_list_as_complete(patch):
    """3: a machine list counts as applied although some of its machines were not registered."""
    real = ShardReconciliation.apply_list
    patch.setattr(ShardReconciliation, "apply_list", lambda self, asked_at, _left: real(self, asked_at, ()))


def register_machines_after_lease_end(patch):
    """3: a shard leader whose lease has ended accepts reports of machines that booted since."""
    patch.setattr(ReportProcessor, "_may_be_led_elsewhere", lambda self, machine: False)


def always_use_short_fence(patch):
    """3: a controller that rejoins uses the short fence even if others led its shards in the meantime."""
    real = ShardLeader.begin
    patch.setattr(ShardLeader, "begin", lambda self, _short: real(self, True))


def do_not_send_terms_to_peers(patch):
    """4: terms are learned from the state service alone, yet heartbeats of the others count as contact."""
    patch.setattr(FrameRouter, "send_term", lambda self, label: None)


@pytest.mark.parametrize(
    ("mutate", "scenario"),
    [
        (do_not_send_terms_to_peers, "refused-leader-told"),
        (always_use_short_fence, "back-before-sure"),
        (register_machines_after_lease_end, "meeting-boots-at-the-cut"),
        (treat_partly_applied_list_as_complete, "meeting-lapsed-heir"),
        (ignore_cancelled_tasks_in_limits, "limit-cancelled"),
        (send_only_new_cancellations_on_connect, "meeting-refused-then-down"),
        (require_contact_with_members_only, "meeting-alone"),
        (treat_handed_over_machines_as_heard, "cut-in-two"),
        (move_shards_without_fence, "stall-takeover"),
        (create_without_archive_check, "shelf"),
        (read_archive_first, "shelf-polled"),
        (keep_old_tokens, "takeover-room"),
        (free_tasks_of_silent_machines, "hung-machine"),
        (ignore_renewals_by_overtaken_reports, "overtaken-reports"),
        (start_inherited_jobs_unreconciled, "takeover-running"),
        (treat_running_machines_as_booting, "takeover-running"),
        (renew_leases_without_contact, "cut-zone"),
        (answer_submission_before_durable, "crash-all-outage"),
        (apply_limit_per_controller, "limit"),
        (use_inherited_limits_unreconciled, "limit-takeover"),
        (forget_under_the_same_token, "late-launch-cancel"),
        (forget_under_the_same_token, "late-copies"),
        (forget_answered_launches_under_the_same_token, "late-copies"),
        (forget_in_direct_commands, "slow-answers"),
        (judge_leases_with_unconfirmed_term, "cut-in-two"),
        (keep_old_tokens, "back-takeover-room"),
        (start_inherited_jobs_unreconciled, "back-late-copies"),
        (start_inherited_jobs_unreconciled, "move-ten-leaders"),
    ],
)
def test_breaking_a_safety_rule_is_detected(mutate, scenario):
    mutation.assert_detected(mutate, scenario)


def test_a_successor_that_reruns_recorded_tasks_is_detected():
    """5: a successor that ignores the tasks recorded as done runs them again."""
    text = mutation.text_of("meeting-ends-apart")
    real = from_record
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            "roadhead.jobs.job_store.from_record",
            lambda record, owner, stamp: real({**record, "done": []}, owner, stamp),
        )
        assert any("ran anew" in fault for fault in World(text).run().check())


def test_jobs_left_unowned_after_all_controllers_were_down_are_detected():
    """All controllers are down for longer than a lease, and then nobody takes over the accepted jobs."""
    text = mutation.text_of("hang-all-away")
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(JobStore, "take_over", lambda self, items: None)
        assert any("was told" in fault for fault in World(text).run().check())


def test_silent_non_members_are_detected():
    """No rule breaks, but the others release their machines, which exceeds the scenario's bound on kills."""
    text = mutation.text_of("meeting-dropped-then-down")
    with pytest.MonkeyPatch.context() as patch:
        silence_non_members(patch)
        assert any("killed by their lease" in fault for fault in World(text).run().check())
