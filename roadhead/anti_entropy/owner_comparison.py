"""The owner's side of anti-entropy: tells shard leaders what it believes, and asks about differences."""

import logging

from roadhead.anti_entropy.attempts import STOPPING, AttemptKey, attempt_state, digest, is_difference
from roadhead.wire import frames

log = logging.getLogger("roadhead.anti_entropy")


class OwnerComparison:
    """Compares the attempts of the jobs owned here with the shard leaders' states of them.

    A difference may be a frame under way. So one counts only if the same one is found by two comparisons in a
    row. Then the attempt is claimed as after a new link (`Reconciliation.claim`), or the stop is sent again;
    nothing is freed or started here.
    """

    def __init__(self, member, job_store, send, counters):
        self._member = member
        self._job_store = job_store
        self._send = send
        self._count = counters.add
        self._differences = {}  # AttemptKey -> (state here, state there), found since the last comparison
        self._previous_differences = {}  # those found between the last two comparisons
        self._repaired = set()  # keys of lasting differences that were counted already

    def compare(self):
        """Begins a comparison with every shard leader of the term."""
        term = self._member.term
        lasting = self._previous_differences.keys() & self._differences.keys()
        self._repaired &= lasting
        self._previous_differences, self._differences = self._differences, {}
        by_leader = {label: {} for label in term.members}
        for shard, states in self._attempts_by_shard(term).items():
            by_leader[term.shard_map.leaders[shard]][shard] = digest(states)
        unanswered = self._job_store.reconciliation.unanswered_requests()
        for label, digests in by_leader.items():
            self._send(label, frames.AttemptDigests(term.number, list(digests.items())))
            if numbers := unanswered.get(label):
                self._send(label, frames.PendingRequests(term.number, [(number,) for number in numbers]))

    def _attempts_by_shard(self, term, only=None):
        """Returns {shard: {AttemptKey: state}} of the attempts bound here; `only`: those of that shard."""
        by_shard = {}
        for job in self._job_store.jobs.values():
            for index, binding in job.bound.items():
                shard = term.shard_of(binding.machine)
                if only is not None and shard != only:
                    continue
                key = AttemptKey(binding.machine, job.id, index, binding.attempt)
                state = attempt_state(binding.status, stopping=binding.stop_grace_s is not None)
                by_shard.setdefault(shard, {})[key] = state
        return by_shard

    def on_shard_attempts(self, label, frame):
        """Takes a shard leader's attempts of one shard, whose digest differs from the one sent."""
        term = self._member.term
        if frame.term != term.number or term.shards_of(label).get(frame.shard) is None:
            return
        here = self._attempts_by_shard(term, frame.shard).get(frame.shard, {})
        there = {AttemptKey(*key): state for *key, state in frame.rows}
        claims = []
        for key in sorted(here.keys() | there.keys()):
            difference = here.get(key), there.get(key)
            if not is_difference(*difference):
                continue
            self._differences[key] = difference
            if self._previous_differences.get(key) != difference:
                continue
            self._note_repair(label, key, *difference)
            if self._is_unknown_stop(*difference):
                self._stop_again(key)
            else:
                claims.append(key)
        if claims:
            self._job_store.reconciliation.claim(label, claims)

    @staticmethod
    def _is_unknown_stop(here, there):
        """Whether all that the shard leader does not know is that the attempt is to stop."""
        return here is not None and there is not None and here == there + STOPPING

    def _stop_again(self, key):
        job = self._job_store.jobs[key.job]
        binding = job.bound[key.index]
        self._job_store.stop(job, key.index, binding, binding.stop_grace_s)

    def _note_repair(self, label, key, here, there):
        """Counts and logs a lasting difference, once."""
        if key in self._repaired:
            return
        self._repaired.add(key)
        self._count("attempts_repaired")
        log.warning(
            "repair: attempt %s/%d.%d on %s is %s here and %s at %s",
            key.job,
            key.index,
            key.attempt,
            key.machine,
            here or "not known",
            there or "not known",
            label,
        )

    def on_unknown_requests(self, label, frame):
        """Sends requests again that a shard leader neither answered nor waits for."""
        if frame.term != self._member.term.number:
            return
        repeated = self._job_store.reconciliation.ask_again(label, [number for (number,) in frame.rows])
        if repeated:
            self._count("requests_repaired", repeated)
            log.warning("repair: %d requests to %s were lost and are sent again", repeated, label)
