"""What a home is sure of: which machines it has heard, and when it may say that it knows all (safety 3)."""

import logging

from roadhead.wire import frames

log = logging.getLogger("roadhead.home")

DRIFT = 0.0005
ANSWER_S = 4.0  # a worker drops responses that took longer (PROTOCOL)


class Sureness:
    """`lease_s`, `cancel_s` of the workers and `lag_s` of the machine list, in seconds."""

    def __init__(self, loop, member, known, news, lease_s, cancel_s, lag_s):
        self._loop = loop
        self._member = member
        self._known = known
        self._news = news
        self._lease_s = lease_s
        self._cancel_s = cancel_s
        self._lag_s = lag_s
        self._claims = {}  # machine -> {(job, index, attempt): owner}
        self._syncs = []  # (label, incarnation, term, number)
        self._cover_from = 0.0  # a list must have been asked for after this
        self._covered = False
        self._fenced_at = 0.0
        self.fence_at = 0.0  # by then every lease that another home renewed has ended
        # Machines not heard under the token, in order as sets: all of them, and those that a sync
        # waits for before the fence. The second only shrinks while token and fence stay.
        self._unheard = {}
        self._awaited = {}

    def fence(self, short):
        """What was known before may be old. `short`: the members stayed the same labels."""
        now = self._loop.now()
        self._fenced_at = now
        self._cover_from = now + 2 * self._lag_s * (1 + DRIFT)
        self._covered = False
        # A process that ended renews nothing; a member that was dropped but lives stops
        # renewing before cancel_s - lease_s is up (guide, safety 4). Then the lease itself.
        bound = self._lease_s if short else self._cancel_s
        self.fence_at = now + (bound + ANSWER_S) * (1 + 2 * DRIFT) + 0.5
        self.start_over()

    def start_over(self):
        """No machine was heard since the token, or the fence, is what it is."""
        token = self._member.token
        self._unheard = {name: True for name, machine in self._known.machines.items()
                         if machine.confirmed != token}
        self._awaited = dict(self._unheard)

    def unheard(self, machine):
        """The machine is new here, or its lease ran out."""
        self._unheard[machine.id] = self._awaited[machine.id] = True

    def heard(self, machine):
        """The machine was heard under the token."""
        self._unheard.pop(machine.id, None)
        self._awaited.pop(machine.id, None)

    def cover_at(self):
        """When the list that covers should be asked for; None once one was taken in."""
        return None if self._covered else self._cover_from

    def shown_at(self, asked_at):
        """No earlier than this is the moment that a list shows, up to twice its lag before it was
        asked for."""
        return asked_at - 2 * self._lag_s * (1 + DRIFT)

    def cover(self, asked_at):
        """A machine list asked for at `asked_at` was taken in."""
        if asked_at >= self._cover_from and not self._covered:
            self._covered = True
            log.info("covered: %d machines", len(self._known.machines))

    def clean(self):
        """Every machine of this home was heard under its token or is gone (safety 3)."""
        if not self._covered:
            return False
        machines = self._known.machines
        if self._loop.now() >= self.fence_at:
            return not any(name in machines and machines[name].tasks for name in self._unheard)
        # A machine rented, or still booting, after the old member's end, or lapse, can't have been
        # heard by it.
        while self._awaited:
            name = next(iter(self._awaited))
            machine = machines.get(name)
            if machine is not None and machine.born_at <= self._fenced_at:
                return False
            del self._awaited[name]
        return True

    # Claims of owners on tasks of machines not heard yet

    def claim(self, name, key, owner):
        self._claims.setdefault(name, {})[key] = owner

    def claimed(self, name):
        return name in self._claims

    def claimed_jobs(self):
        return {key[0] for claims in self._claims.values() for key in claims}

    def take_claims(self, name):
        """[((job, index, attempt), owner)] claimed on the machine, which was heard now."""
        return list(self._claims.pop(name, {}).items())

    def free_claims(self, name, cause):
        for key, owner in self.take_claims(name):
            self._news.tell(owner, frames.Free(name, *key, cause))

    def vanished(self, listed, asked_at):
        """Machines that owners claim tasks on, never heard here nor in this list, late enough.

        They ran before this home served the term, so a list that shows a later moment would
        name them if they were not gone; a release that the cloud answers makes it sure.
        """
        if asked_at < self._cover_from:
            return []
        return [name for name in self._claims if name not in self._known.machines and name not in listed]

    def past_fence(self):
        """Nobody but this home has renewed anything since: what was not heard has ended."""
        if self._loop.now() > self.fence_at:
            for name in [name for name in self._claims if name not in self._known.machines]:
                self.free_claims(name, "lease ended")

    # Syncs

    def on_term(self, new):
        """Claims and syncs that the new term has no use for go."""
        self._claims = {n: c for n, c in self._claims.items() if new.home(n) == self._member.label}
        self._syncs = [s for s in self._syncs if new.serves(s[0], s[1])]

    def sync(self, label, incarnation, frame):
        """An owner wants to be told once all is known here."""
        self._syncs.append((label, incarnation, frame.term, frame.number))
        self.settle()

    def settle(self):
        """Answers syncs once this home knows all there is to know."""
        if not self._syncs or not self.clean():
            return
        syncs, self._syncs = self._syncs, []
        for label, incarnation, term, number in syncs:
            self._news.tell((label, incarnation), frames.Synced(term, number))
