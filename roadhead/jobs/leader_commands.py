"""What an owner tells shard leaders of its attempts: to stop them, and to forget those that have ended."""

from roadhead.wire import frames

MAX_UNSENT_FORGETS = (
    20_000  # attempts for each leader; what is beyond is found by a comparison (anti_entropy/)
)


class LeaderCommands:
    """Sends stops and forgets to the leaders of the machines, and again with the next link if there was none.

    `jobs` are the open jobs owned here, by id. A new link makes the owner ask about the attempts of its open
    jobs (`Reconciliation.ask`), but says nothing of jobs that are over, nor of stops.
    """

    def __init__(self, member, send, jobs):
        self._member = member
        self._send = send
        self._jobs = jobs
        self._unsent_forgets = {}  # leader -> {(machine, job, index, attempt): True}, an ordered set

    def stop(self, job, index, binding, grace_s):
        """Stops a bound attempt, with `grace_s` seconds to save its state."""
        binding.stop_grace_s = grace_s
        leader = self._member.term.leader_of(binding.machine)
        if leader is not None:
            self._send_stop(leader, job, index, binding)

    def _send_stop(self, leader, job, index, binding):
        self._send(
            leader,
            frames.StopTask(binding.machine, job.id, index, binding.attempt, binding.stop_grace_s),
        )

    def forget(self, attempts):
        """Has ended attempts, (machine, job, index, attempt), forgotten by the leaders of their machines.

        Their results are recorded, or not needed.
        """
        by_leader = {}
        for attempt in attempts:
            by_leader.setdefault(self._member.term.leader_of(attempt[0]), []).append(attempt)
        by_leader.pop(None, None)
        for leader, rows in by_leader.items():
            self.forget_at(leader, rows)

    def forget_at(self, leader, rows):
        """Has one shard leader forget ended attempts, now or with the next link to it."""
        if self._send(leader, frames.ForgetAttempts(rows)):
            return
        unsent = self._unsent_forgets.setdefault(leader, {})
        unsent.update(dict.fromkeys(rows, True))
        while len(unsent) > MAX_UNSENT_FORGETS:
            del unsent[next(iter(unsent))]

    def on_link(self, label):
        """Sends a controller, to which there is a new link, what could not be sent over the one before."""
        if rows := self._unsent_forgets.pop(label, None):
            self.forget_at(label, list(rows))
        term = self._member.term
        for job in self._jobs.values():
            for index, binding in job.bound.items():
                if binding.stop_grace_s is not None and term.leader_of(binding.machine) == label:
                    self._send_stop(label, job, index, binding)

    def on_term(self, new):
        """Drops what is kept for controllers that are no members any more: others lead their machines."""
        self._unsent_forgets = {
            label: rows for label, rows in self._unsent_forgets.items() if label in new.members
        }
