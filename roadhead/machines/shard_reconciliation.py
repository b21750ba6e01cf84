"""What a home has yet to learn of its shards: which machines it has heard under its tokens, and when it may
tell owners that it knows all that runs there (safety 3)."""

import logging
import math
from typing import NamedTuple

from roadhead.decision_log import Decision
from roadhead.machines.relieved_controllers import RelievedControllers
from roadhead.machines.worker_lease import DRIFT
from roadhead.wire import frames

log = logging.getLogger("roadhead.home")

ANSWER_S = 4.0  # a worker drops responses that took longer (PROTOCOL)


class PendingSync(NamedTuple):
    """An owner's request to be told once all that is here of these jobs is known."""

    label: str
    incarnation: int
    term: int  # its number
    number: int  # of the request
    jobs: list


class ShardFence:
    """Of one share, since it is this home's under its token. Times are the loop's; `since`: nobody else heard
    a machine of it that was not up by then.

    `at`: by then every lease that another home renewed has ended. `cover_from`: a machine list must
    have been asked for after this. `unheard`: machines not heard under the token; `awaited`: those
    of them that a sync waits for before the fence, which only become fewer. In order as sets.
    """

    __slots__ = ("at", "awaited", "cover_from", "covered", "short", "since", "unheard")

    def __init__(self, since, at, short, cover_from, machines):
        self.since = since
        self.at = at
        self.short = short
        self.cover_from = cover_from
        self.covered = False
        self.unheard = dict.fromkeys(machines, True)
        self.awaited = dict(self.unheard)


class ShardReconciliation:
    """What this home has yet to learn of its shards, and who waits for that.

    `lease_s`, `cancel_s` of the workers and `lag_s` of the machine list, in seconds."""

    def __init__(self, loop, member, registry, notifier, lease_s, cancel_s, lag_s, decisions):
        self._loop = loop
        self._member = member
        self._registry = registry
        self._notifier = notifier
        self._lease_s = lease_s
        self._cancel_s = cancel_s
        self._lag_s = lag_s
        self._decisions = decisions
        self._claims = {}  # machine -> {(job, index, attempt): owner}
        self._syncs = []  # PendingSync, in order
        self._fences = {}  # share -> Fence, of the shares homed here
        self._unsure = {}  # shares that may not be clean, in order as a set
        self._relief = RelievedControllers(member.label)

    def begin(self, term):
        """A new incarnation's first term."""
        self._relief.begin(term)

    def unaware_controllers(self):
        """Labels of relieved controllers that are not known to know."""
        return self._relief.labels()

    def on_relieved_changed(self, old, new):
        """The term changed; to be called before shares of it are fenced."""
        self._relief.on_term(old, new)
        self._bound_relieved()

    def on_peer_term(self, label, number):
        """Another controller, in its incarnation of now, serves the term of that number."""
        self._relief.on_peer_term(label, number)
        self._bound_relieved()

    def _bound_relieved(self):
        """Once no relieved controller hears machines any more: what it heard was up by now, and a list that
        shows a later moment names it."""
        if self._relief:
            return
        now = self._loop.now()
        for shard, fence in self._fences.items():
            if fence.since == math.inf and now < fence.at:
                fence.since, fence.covered = now, False
                fence.cover_from = now + 2 * self._lag_s * (1 + DRIFT)
                self._unsure[shard] = True

    def fence_shards(self, shards, short):
        """These shares are this home's from now on, or under a new token: what was known of them may be
        old. `short`: nobody else was their home since this one's last incarnation.

        While a relieved controller may not know, all machines are waited for, whoever was their home right
        before: it may have got them from that one."""
        now = self._loop.now()
        # A process that ended renews nothing; a member that was dropped but lives stops
        # renewing before cancel_s - lease_s is up (guide, safety 4). Then the lease itself.
        at = now + self._bound_s(short)
        cover_from = now + 2 * self._lag_s * (1 + DRIFT)
        machines = {shard: [] for shard in shards}
        for machine in self._registry.machines.values():
            if machine.shard in machines:
                machines[machine.shard].append(machine.id)
        for shard, names in machines.items():
            since = math.inf if self._relief else now
            self._fences[shard] = ShardFence(since, at, short, cover_from, names)
            self._unsure[shard] = True
            self._note_held(shard, names, short, at - now)

    def _note_held(self, shard, names, short, fence_s):
        member = self._member
        self._decisions.note(
            Decision.SHARD_HELD,
            {"shard": shard, "token": member.term.shards_of(member.label).get(shard)},
            term=member.term.number,
            revision=member.revision,
            in_force_before_s=self._loop.now() - member.term_at,
            fence="short" if short else "long",
            fence_s=fence_s,
            relieved_may_not_know=bool(self._relief),
            machines=len(names),
        )

    def _bound_s(self, short):
        bound = self._lease_s if short else self._cancel_s
        return (bound + ANSWER_S) * (1 + 2 * DRIFT) + 0.5

    def extend_fences(self):
        """A member is gone from the term that may live on, and have given away one of these shares right
        before without knowing that it did: a short fence that is not over yet was too short."""
        now = self._loop.now()
        for shard, fence in self._fences.items():
            if fence.short and now < fence.at:
                fence.at, fence.short = now + self._bound_s(False), False
                self._decisions.note(Decision.FENCE_LENGTHENED, {"shard": shard}, fence_s=fence.at - now)

    def drop_shards(self, shards):
        """These shares have another home."""
        for shard in shards:
            self._fences.pop(shard, None)
            self._unsure.pop(shard, None)
            self._decisions.note(Decision.SHARD_LOST, {"shard": shard}, term=self._member.term.number)

    def fence_ends_at(self, shard):
        """By then every lease in the share that another home renewed has ended."""
        return self._fences[shard].at

    def mark_unheard(self, machine):
        """The machine is new here, or its lease ran out."""
        fence = self._fences[machine.shard]
        fence.unheard[machine.id] = fence.awaited[machine.id] = True
        self._unsure[machine.shard] = True

    def mark_heard(self, machine):
        """The machine was heard under the token."""
        fence = self._fences[machine.shard]
        fence.unheard.pop(machine.id, None)
        fence.awaited.pop(machine.id, None)

    def next_list_at(self):
        """When the next list that covers something should be asked for; None if that is not ahead."""
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
        """No earlier than this is the moment that a list shows, up to twice its lag before it was
        asked for."""
        return asked_at - 2 * self._lag_s * (1 + DRIFT)

    def apply_list(self, asked_at, left):
        """A machine list asked for at `asked_at` was taken in, but for machines of the shares in `left`."""
        covered = [
            shard
            for shard, fence in self._fences.items()
            if not fence.covered and asked_at >= fence.cover_from and shard not in left
        ]
        for shard in covered:
            self._fences[shard].covered = True
        if covered:
            log.info("covered: %d shares, %d machines", len(covered), len(self._registry.machines))

    def is_reconciled(self):
        """Every machine of this home was heard under its token or is gone (safety 3)."""
        while self._unsure:
            shard = next(iter(self._unsure))
            if not self._clean(self._fences[shard]):
                return False
            del self._unsure[shard]
        return True

    def is_idle(self):
        """Nothing is unsure here, and no owner waits for that."""
        return not self._syncs and self.is_reconciled()

    def _clean(self, fence):
        if not fence.covered:
            return False
        machines = self._registry.machines
        if self._loop.now() >= fence.at:
            return not any(name in machines and machines[name].tasks for name in fence.unheard)
        if fence.since == math.inf:
            return False  # what is rented now may be heard by a relieved controller first
        # A machine rented, or still booting, after the old member's end, or lapse, can't have been
        # heard by it.
        while fence.awaited:
            name = next(iter(fence.awaited))
            machine = machines.get(name)
            if machine is not None and machine.born_at <= fence.since:
                return False
            del fence.awaited[name]
        return True

    # Claims of owners on tasks of machines not heard yet

    def claim(self, name, key, owner):
        self._claims.setdefault(name, {})[key] = owner

    def claimed(self, name):
        return name in self._claims

    def awaited_jobs(self):
        """Jobs of which tasks may be found here yet: owners claim some, or named them and wait. Their
        records may name an owner of before still, so whose they are is known from those alone."""
        jobs = {key[0] for claims in self._claims.values() for key in claims}
        return jobs.union(*(sync.jobs for sync in self._syncs))

    def take_claims(self, name):
        """[((job, index, attempt), owner)] claimed on the machine, which was heard now."""
        return list(self._claims.pop(name, {}).items())

    def free_claims(self, name, cause):
        for key, owner in self.take_claims(name):
            self._notifier.notify(owner, frames.AttemptGone(name, *key, cause))

    def _missing(self):
        """(name, its Fence) of machines that owners claim tasks on and that are not known here."""
        term = self._member.term
        return [
            (name, fence)
            for name in self._claims
            if name not in self._registry.machines
            and (fence := self._fences.get(term.shard_of(name))) is not None
        ]

    def missing_machines(self, listed, asked_at):
        """Machines that owners claim tasks on, never heard here nor in this list, late enough.

        They ran before this home served the term, so a list that shows a later moment would
        name them if they were not gone; a release that the cloud answers makes it sure.
        """
        return [
            name for name, fence in self._missing() if asked_at >= fence.cover_from and name not in listed
        ]

    def expire_claims(self, term_confirmed_at):
        """Nobody but this home has renewed anything since: what was not heard has ended. Whether there is
        more that can't be said as of `term_confirmed_at` (ShardLeader.judge_leases)."""
        now = self._loop.now()
        undecided = False
        for name, fence in self._missing():
            if term_confirmed_at > fence.at:
                self.free_claims(name, "lease ended")
            undecided = undecided or now > fence.at >= term_confirmed_at
        return undecided

    # Syncs

    def on_term(self, new):
        """Claims and syncs that the new term has no use for go."""
        self._claims = {n: c for n, c in self._claims.items() if new.leader_of(n) == self._member.label}
        self._syncs = [s for s in self._syncs if new.serves(s.label, s.incarnation)]

    def sync(self, label, incarnation, frame):
        """An owner wants to be told once all is known here."""
        self._syncs.append(PendingSync(label, incarnation, frame.term, frame.number, frame.jobs))
        self.answer_syncs()

    def answer_syncs(self):
        """Answers syncs once this home knows all there is to know."""
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
