"""What a shard leader has yet to learn of its shards after they came here.

It tells which machines were heard under its tokens, and when the leader may tell owners that it knows all
tasks that run there (safety 3 in docs/design.md).
"""

import logging
import math
from typing import NamedTuple

from roadhead.decision_log import Decision
from roadhead.machines.relieved_controllers import RelievedControllers
from roadhead.machines.worker_lease import CLOCK_DRIFT
from roadhead.wire import frames

log = logging.getLogger("roadhead.home")

MAX_RESPONSE_S = 4.0  # a worker drops responses that take longer (PROTOCOL)


class PendingSync(NamedTuple):
    """An owner's request to be told once all that runs here of these jobs is known."""

    label: str
    incarnation: int
    term: int  # number of the term it was sent in
    number: int  # of the request
    jobs: list


class ShardFence:
    """What limits the knowledge of one shard since this controller leads it under its token.

    Times are in seconds of the loop. `led_since`: machines of the shard that came up later were heard by no
    other leader; infinite while a relieved controller may still hear some. `ends_at`: by then every lease
    that another leader renewed has ended. `short`: whether `ends_at` assumes that no other leader came
    between. `cover_from`: only a machine list requested after this counts as complete, and `covered` is
    whether one was taken in. `unheard`: machines not heard under the token. `awaited_machines`: those of them
    that syncs wait for until `ends_at`. Both are ordered sets.
    """

    __slots__ = ("awaited_machines", "cover_from", "covered", "ends_at", "led_since", "short", "unheard")

    def __init__(self, led_since, ends_at, short, cover_from, machines):
        self.led_since = led_since
        self.ends_at = ends_at
        self.short = short
        self.cover_from = cover_from
        self.covered = False
        self.unheard = dict.fromkeys(machines, True)
        self.awaited_machines = dict(self.unheard)


class ShardReconciliation:
    """Decides when all tasks in this leader's shards are known, and answers the owners that wait for that.

    `lease_s` and `cancel_s` of the workers and `lag_s` of the machine list are in seconds.
    """

    def __init__(self, loop, member, registry, notifier, lease_s, cancel_s, lag_s, decisions):
        self._loop = loop
        self._member = member
        self._registry = registry
        self._notifier = notifier
        self._lease_s = lease_s
        self._cancel_s = cancel_s
        self._lag_s = lag_s
        self._decisions = decisions
        self._claims = {}  # name of a machine -> {(job, index, attempt): owner}
        self._syncs = []  # PendingSync, in order of arrival
        self._fences = {}  # shard led here -> ShardFence
        self._unverified = {}  # shards that may not be reconciled -> True; an ordered set
        self._relieved_controllers = RelievedControllers(member.label)

    def begin(self, term):
        """Starts an incarnation with its first term."""
        self._relieved_controllers.begin(term)

    def unaware_controllers(self):
        """Labels of relieved controllers that may not know of it yet."""
        return self._relieved_controllers.labels()

    def on_relieved_changed(self, old, new):
        """Applies a new term's relieved controllers; must be called before `fence` for that term."""
        self._relieved_controllers.on_term(old, new)
        self._end_wait_for_relieved()

    def on_peer_term(self, label, number):
        """Takes note that another controller's current incarnation serves the term of that number."""
        self._relieved_controllers.on_peer_term(label, number)
        self._end_wait_for_relieved()

    def _end_wait_for_relieved(self):
        """Ends the wait for relieved controllers once all of them know that they are relieved.

        What one of them heard is up by now, so a list that shows a later moment names it.
        """
        if self._relieved_controllers:
            return
        now = self._loop.now()
        for shard, fence in self._fences.items():
            if fence.led_since == math.inf and now < fence.ends_at:
                fence.led_since, fence.covered = now, False
                fence.cover_from = now + 2 * self._lag_s * (1 + CLOCK_DRIFT)
                self._unverified[shard] = True

    def fence_shards(self, shards, short):
        """Fences shards that came here or got a new token, as what is known of them may be outdated.

        `short`: nobody else led them since this controller's previous incarnation. While a relieved
        controller may not know that it is, all machines are waited for, whoever led them last: that leader
        may have got them from the relieved one.
        """
        now = self._loop.now()
        # A process that has ended renews no leases. A member that was dropped but lives on stops renewing
        # before cancel_s - lease_s is up (guide, safety 4). Then its last leases have to run out.
        ends_at = now + self._fence_length_s(short)
        cover_from = now + 2 * self._lag_s * (1 + CLOCK_DRIFT)
        machines = {shard: [] for shard in shards}
        for machine in self._registry.machines.values():
            if machine.shard in machines:
                machines[machine.shard].append(machine.id)
        for shard, names in machines.items():
            led_since = math.inf if self._relieved_controllers else now
            self._fences[shard] = ShardFence(led_since, ends_at, short, cover_from, names)
            self._unverified[shard] = True
            self._note_shard_held(shard, names, short, ends_at - now)

    def _note_shard_held(self, shard, names, short, fence_s):
        """Records the evidence for the new leadership of a shard."""
        member = self._member
        self._decisions.note(
            Decision.SHARD_HELD,
            {"shard": shard, "token": member.term.shards_of(member.label).get(shard)},
            term=member.term.number,
            revision=member.revision,
            in_force_before_s=self._loop.now() - member.term_at,
            fence="short" if short else "long",
            fence_s=fence_s,
            relieved_may_not_know=bool(self._relieved_controllers),
            machines=len(names),
        )

    def _fence_length_s(self, short):
        """Seconds until every lease that another leader renewed has ended."""
        bound = self._lease_s if short else self._cancel_s
        return (bound + MAX_RESPONSE_S) * (1 + 2 * CLOCK_DRIFT) + 0.5

    def extend_fences(self):
        """Extends short fences that have not ended, since a member was dropped or relieved.

        That member may live on, and may have given one of these shards away right before without knowing
        that the transaction succeeded.
        """
        now = self._loop.now()
        for shard, fence in self._fences.items():
            if fence.short and now < fence.ends_at:
                fence.ends_at, fence.short = now + self._fence_length_s(False), False
                self._decisions.note(Decision.FENCE_LENGTHENED, {"shard": shard}, fence_s=fence.ends_at - now)

    def drop_shards(self, shards):
        """Forgets shards that have another leader."""
        for shard in shards:
            self._fences.pop(shard, None)
            self._unverified.pop(shard, None)
            self._decisions.note(Decision.SHARD_LOST, {"shard": shard}, term=self._member.term.number)

    def fence_ends_at(self, shard):
        """When every lease that another leader renewed in the shard has ended."""
        return self._fences[shard].ends_at

    def mark_unheard(self, machine):
        """Waits for a machine that is new here, or whose lease has ended."""
        fence = self._fences[machine.shard]
        fence.unheard[machine.id] = fence.awaited_machines[machine.id] = True
        self._unverified[machine.shard] = True

    def mark_heard(self, machine):
        """Stops waiting for a machine that was heard under its token."""
        fence = self._fences[machine.shard]
        fence.unheard.pop(machine.id, None)
        fence.awaited_machines.pop(machine.id, None)

    def next_list_at(self):
        """The next time from which a machine list would cover a shard not covered yet; None if not ahead."""
        now = self._loop.now()
        return min(
            (
                fence.cover_from
                for fence in self._fences.values()
                if not fence.covered and fence.cover_from > now
            ),
            default=None,
        )

    def shown_at(self, asked_at):
        """The earliest moment that a machine list may show: up to twice its lag before the request."""
        return asked_at - 2 * self._lag_s * (1 + CLOCK_DRIFT)

    def apply_list(self, asked_at, skipped_shards):
        """Counts a list requested at `asked_at` as complete, except for the shards in `skipped_shards`."""
        covered = [
            shard
            for shard, fence in self._fences.items()
            if not fence.covered and asked_at >= fence.cover_from and shard not in skipped_shards
        ]
        for shard in covered:
            self._fences[shard].covered = True
        if covered:
            log.info(
                "machine list covers %d more shards; %d machines known",
                len(covered),
                len(self._registry.machines),
            )

    def is_reconciled(self):
        """Whether every machine of this leader was heard under its token or is gone (safety 3)."""
        while self._unverified:
            shard = next(iter(self._unverified))
            if not self._is_shard_reconciled(self._fences[shard]):
                return False
            del self._unverified[shard]
        return True

    def is_idle(self):
        """Whether all shards are reconciled and no owner waits for an answer."""
        return not self._syncs and self.is_reconciled()

    def _is_shard_reconciled(self, fence):
        """Whether all tasks of a fence's shard are known."""
        if not fence.covered:
            return False
        machines = self._registry.machines
        if self._loop.now() >= fence.ends_at:
            return not any(name in machines and machines[name].tasks for name in fence.unheard)
        if fence.led_since == math.inf:
            return False  # a relieved controller may hear a newly rented machine first
        # A machine that was rented, or still booting, after the previous leader ended or its lease ran out
        # can't have been heard by that leader.
        while fence.awaited_machines:
            name = next(iter(fence.awaited_machines))
            machine = machines.get(name)
            if machine is not None and machine.born_at <= fence.led_since:
                return False
            del fence.awaited_machines[name]
        return True

    def is_shard_reconciled(self, shard):
        """Whether all tasks of one of this leader's shards are known."""
        return shard not in self._unverified or self._is_shard_reconciled(self._fences[shard])

    # Owners' claims on attempts on machines that were not heard yet

    def claim(self, name, key, owner):
        """Records that `owner` believes the attempt `key` to be on the machine."""
        self._claims.setdefault(name, {})[key] = owner

    def claimed(self, name):
        """Whether owners claim attempts on the machine."""
        return name in self._claims

    def awaited_jobs(self):
        """Jobs whose tasks may still be found here: owners claim some, or have named the jobs and wait.

        The records of these jobs may still name a previous owner, so only the claims and syncs tell it.
        """
        jobs = {key[0] for claims in self._claims.values() for key in claims}
        return jobs.union(*(sync.jobs for sync in self._syncs))

    def take_claims(self, name):
        """Removes and returns [((job, index, attempt), owner)], the claims on a machine."""
        return list(self._claims.pop(name, {}).items())

    def free_claims(self, name, cause):
        """Tells the owners of all claims on a machine that the attempts are free."""
        for key, owner in self.take_claims(name):
            self._notifier.notify(owner, frames.AttemptGone(name, *key, cause))

    def _unknown_claimed_machines(self):
        """(name, ShardFence) of claimed machines that are not known here."""
        term = self._member.term
        return [
            (name, fence)
            for name in self._claims
            if name not in self._registry.machines
            and (fence := self._fences.get(term.shard_of(name))) is not None
        ]

    def missing_machines(self, listed, asked_at):
        """Names of claimed machines that were never heard here and that a late enough list does not show.

        They ran before this leader served the term, so a list that shows a later moment would name them if
        they still ran. They are certainly gone once the cloud has answered their release.
        """
        return [
            name
            for name, fence in self._unknown_claimed_machines()
            if asked_at >= fence.cover_from and name not in listed
        ]

    def expire_claims(self, term_confirmed_at):
        """Frees claims on unknown machines whose fence ended before `term_confirmed_at`.

        Nobody but this leader can have renewed their leases since. Returns whether other such fences have
        ended since then.
        """
        now = self._loop.now()
        undecided = False
        for name, fence in self._unknown_claimed_machines():
            if term_confirmed_at > fence.ends_at:
                self.free_claims(name, "lease ended")
            undecided = undecided or now > fence.ends_at >= term_confirmed_at
        return undecided

    # Syncs

    def on_term(self, new):
        """Drops claims on machines that moved away, and syncs of owners that the new term does not name."""
        self._claims = {n: c for n, c in self._claims.items() if new.leader_of(n) == self._member.label}
        self._syncs = [s for s in self._syncs if new.serves(s.label, s.incarnation)]

    def sync(self, label, incarnation, frame):
        """Accepts an owner's request to be told once all is known here."""
        self._syncs.append(PendingSync(label, incarnation, frame.term, frame.number, frame.jobs))
        self.answer_syncs()

    def pending_requests(self, owner):
        """Returns the numbers of the requests of an owner, (label, incarnation), that wait for an answer."""
        return {sync.number for sync in self._syncs if (sync.label, sync.incarnation) == owner}

    def answer_syncs(self):
        """Answers the pending syncs if all tasks here are known."""
        if not self._syncs or not self.is_reconciled():
            return
        syncs, self._syncs = self._syncs, []
        unheard = sum(len(fence.unheard) for fence in self._fences.values())
        for sync in syncs:
            owner = (sync.label, sync.incarnation)
            self._notifier.send_existing(owner, sync.jobs)
            self._notifier.notify(owner, frames.ReconcileDone(sync.term, sync.number))
            self._decisions.note(
                Decision.ALL_TOLD,
                {"owner": sync.label},
                incarnation=sync.incarnation,
                term=sync.term,
                request=sync.number,
                jobs=len(sync.jobs),
                machines_never_heard=unheard,
            )
