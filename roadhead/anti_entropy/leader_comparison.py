"""The shard leader's side of anti-entropy: compares owners' digests with what runs in its shards."""

from roadhead.anti_entropy.attempts import AttemptKey, attempt_state, digest
from roadhead.machines.task import LAUNCHING
from roadhead.wire import frames


class LeaderComparison:
    """Tells owners its own state of the shards in which they differ, and which requests it lacks.

    `send(label, frame)` sends a frame to a controller, this one included.
    """

    def __init__(self, member, shard_leader, send):
        self._member = member
        self._machines = shard_leader.machines
        self._notifier = shard_leader.notifier
        self._reconciliation = shard_leader.reconciliation
        self._send = send

    def on_digests(self, label, incarnation, frame):
        """Sends the owner the attempts of each shard in which its digest is another one.

        Shards whose tasks are not all known yet are left out: there, the owner waits for a ReconcileDone.
        """
        term = self._member.term
        if frame.term != term.number:
            return
        told = dict(frame.rows)
        known_here = self._attempts_of((label, incarnation))
        for shard in term.shards_of(self._member.label):
            states = known_here.get(shard, {})
            if digest(states) == told.get(shard, 0) or not self._reconciliation.is_shard_reconciled(shard):
                continue
            rows = [(*key, state) for key, state in states.items()]
            self._send(label, frames.ShardAttempts(term.number, shard, rows))

    def _attempts_of(self, owner):
        """Returns {shard: {AttemptKey: state}} of an owner's tasks on this leader's machines.

        Attempts that the worker was told to forget are of no interest to the owner any more.
        """
        by_shard = {}
        for machine in self._machines.values():
            for task in machine.tasks.values():
                if task.forget or self._notifier.owner_of(task) != owner:
                    continue
                status = task.sent_state[0] if task.sent_state is not None else LAUNCHING
                state = attempt_state(status, stopping=task.stop_grace is not None)
                by_shard.setdefault(machine.shard, {})[AttemptKey(machine.id, *task.key)] = state
        return by_shard

    def on_pending_requests(self, label, incarnation, frame):
        """Tells the owner which of its unanswered requests are not waited for here."""
        if frame.term != self._member.term.number:
            return
        pending = self._reconciliation.pending_requests((label, incarnation))
        unknown = [row for row in frame.rows if row[0] not in pending]
        if unknown:
            self._send(label, frames.UnknownRequests(frame.term, unknown))
