"""What a home has yet to learn of its shards: which machines it has heard under its tokens, and when it may
tell owners that it knows all that runs there (safety 3)."""

import logging
import math
from typing import NamedTuple

from roadhead.decision_log import Decision
from roadhead.homes.relief import Relief
from roadhead.homes.worker_lease import DRIFT
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


class Fence:
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

    def __init__(self, loop, member, known, news, lease_s, cancel_s, lag_s, decisions):
        self._loop = loop
        self._member = member
        self._known = known
        self._news = news
        self._lease_s = lease_s
        self._cancel_s = cancel_s
        self._lag_s = lag_s
        self._decisions = decisions
        self._claims = {}  # machine -> {(job, index, attempt): owner}
        self._syncs = []  # PendingSync, in order
        self._fences = {}  # share -> Fence, of the shares homed here
        self._unsure = {}  # shares that may not be clean, in order as a set
        self._relief = Relief(member.label)

    def begin(self, term):
        """A new incarnation's first term."""
        self._relief.begin(term)

    def may_not_know(self):
        """Labels of relieved controllers that are not known to know."""
        return self._relief.labels()

    def on_relief(self, old, new):
        """The term changed; to be called before shares of it are fenced."""
        self._relief.on_term(old, new)
        self._bound_relieved()

    def hear_term(self, label, number):
        """Another controller, in its incarnation of now, serves the term of that number."""
        self._relief.hear_term(label, number)
        self._bound_relieved()

    def _bound_relieved(self):
        """Once no relieved controller hears machines any more: what it heard was up by now, and a list that
        shows a later moment names it."""
        if self._relief:
            return
        now = self._loop.now()
        for share, fence in self._fences.items():
            if fence.since == math.inf and now < fence.at:
                fence.since, fence.covered = now, False
                fence.cover_from = now + 2 * self._lag_s * (1 + DRIFT)
                self._unsure[share] = True

    def fence(self, shares, short):
        """These shares are this home's from now on, or under a new token: what was known of them may be
        old. `short`: nobody else was their home since this one's last incarnation.

        While a relieved controller may not know, all machines are waited for, whoever was their home right
        before: it may have got them from that one."""
        now = self._loop.now()
        # A process that ended renews nothing; a member that was dropped but lives stops
        # renewing before cancel_s - lease_s is up (guide, safety 4). Then the lease itself.
        at = now + self._bound_s(short)
        cover_from = now + 2 * self._lag_s * (1 + DRIFT)
        machines = {share: [] for share in shares}
        for machine in self._known.machines.values():
            if machine.share in machines:
                machines[machine.share].append(machine.id)
        for share, names in machines.items():
            since = math.inf if self._relief else now
            self._fences[share] = Fence(since, at, short, cover_from, names)
            self._unsure[share] = True
            self._note_held(share, names, short, at - now)

    def _note_held(self, share, names, short, fence_s):
        member = self._member
        self._decisions.note(
            Decision.SHARD_HELD,
            {"shard": share, "token": member.term.held(member.label).get(share)},
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

    def lengthen(self):
        """A member is gone from the term that may live on, and have given away one of these shares right
        before without knowing that it did: a short fence that is not over yet was too short."""
        now = self._loop.now()
        for share, fence in self._fences.items():
            if fence.short and now < fence.at:
                fence.at, fence.short = now + self._bound_s(False), False
                self._decisions.note(Decision.FENCE_LENGTHENED, {"shard": share}, fence_s=fence.at - now)

    def let_go(self, shares):
        """These shares have another home."""
        for share in shares:
            self._fences.pop(share, None)
            self._unsure.pop(share, None)
            self._decisions.note(Decision.SHARD_LOST, {"shard": share}, term=self._member.term.number)

    def fence_at(self, share):
        """By then every lease in the share that another home renewed has ended."""
        return self._fences[share].at

    def unheard(self, machine):
        """The machine is new here, or its lease ran out."""
        fence = self._fences[machine.share]
        fence.unheard[machine.id] = fence.awaited[machine.id] = True
        self._unsure[machine.share] = True

    def heard(self, machine):
        """The machine was heard under the token."""
        fence = self._fences[machine.share]
        fence.unheard.pop(machine.id, None)
        fence.awaited.pop(machine.id, None)

    def cover_at(self):
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

    def cover(self, asked_at, left):
        """A machine list asked for at `asked_at` was taken in, but for machines of the shares in `left`."""
        covered = [
            share
            for share, fence in self._fences.items()
            if not fence.covered and asked_at >= fence.cover_from and share not in left
        ]
        for share in covered:
            self._fences[share].covered = True
        if covered:
            log.info("covered: %d shares, %d machines", len(covered), len(self._known.machines))

    def clean(self):
        """Every machine of this home was heard under its token or is gone (safety 3)."""
        while self._unsure:
            share = next(iter(self._unsure))
            if not self._clean(self._fences[share]):
                return False
            del self._unsure[share]
        return True

    def settled(self):
        """Nothing is unsure here, and no owner waits for that."""
        return not self._syncs and self.clean()

    def _clean(self, fence):
        if not fence.covered:
            return False
        machines = self._known.machines
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
            self._news.tell(owner, frames.Free(name, *key, cause))

    def _missing(self):
        """(name, its Fence) of machines that owners claim tasks on and that are not known here."""
        term = self._member.term
        return [
            (name, fence)
            for name in self._claims
            if name not in self._known.machines and (fence := self._fences.get(term.share(name))) is not None
        ]

    def vanished(self, listed, asked_at):
        """Machines that owners claim tasks on, never heard here nor in this list, late enough.

        They ran before this home served the term, so a list that shows a later moment would
        name them if they were not gone; a release that the cloud answers makes it sure.
        """
        return [
            name for name, fence in self._missing() if asked_at >= fence.cover_from and name not in listed
        ]

    def past_fence(self, sure_at):
        """Nobody but this home has renewed anything since: what was not heard has ended. Whether there is
        more that can't be said as of `sure_at` (Home.judge_leases)."""
        now = self._loop.now()
        undecided = False
        for name, fence in self._missing():
            if sure_at > fence.at:
                self.free_claims(name, "lease ended")
            undecided = undecided or now > fence.at >= sure_at
        return undecided

    # Syncs

    def on_term(self, new):
        """Claims and syncs that the new term has no use for go."""
        self._claims = {n: c for n, c in self._claims.items() if new.home(n) == self._member.label}
        self._syncs = [s for s in self._syncs if new.serves(s.label, s.incarnation)]

    def sync(self, label, incarnation, frame):
        """An owner wants to be told once all is known here."""
        self._syncs.append(PendingSync(label, incarnation, frame.term, frame.number, frame.jobs))
        self.settle()

    def settle(self):
        """Answers syncs once this home knows all there is to know."""
        if not self._syncs or not self.clean():
            return
        syncs, self._syncs = self._syncs, []
        unheard = sum(len(fence.unheard) for fence in self._fences.values())
        for sync in syncs:
            owner = (sync.label, sync.incarnation)
            self._news.standing(owner, sync.jobs)
            self._news.tell(owner, frames.Synced(sync.term, sync.number))
            self._decisions.note(
                Decision.ALL_TOLD,
                {"owner": sync.label},
                incarnation=sync.incarnation,
                term=sync.term,
                request=sync.number,
                jobs=len(sync.jobs),
                machines_never_heard=unheard,
            )
