"""The term record: who serves, and who is home to which share of the machines. Pure values and functions."""

from hashlib import blake2b

from roadhead.shares.hashing import pick
from roadhead.shares.map import Shares


class Term:
    """`members` maps a label to (incarnation, token, nonce).

    An incarnation is the number that its process took when it joined; numbers are never
    given twice, and tokens are such numbers. `shares` says which machines are whose: a change
    renews the tokens of the shares that it moves, and no others. Only a term without members has none;
    the tokens of members are read by nobody any more.
    A warden owns the jobs of the teams with a limit that fall to one of its slots, by hash of their
    group; a slot changes hands only with its warden's incarnation, so that nothing else stands
    still for a takeover. There is one slot, or as many as a hosted service spreads its tenants over.
    `relieved` members go on serving users and owning jobs, but are home to no machine: workers
    could not reach them. One member at least is a home.
    """

    __slots__ = ("homes", "members", "next", "number", "relieved", "shares", "wardens")

    def __init__(self, number=0, next_token=1, members=None, wardens=(None,), relieved=(), shares=None):
        self.number = number
        self.next = next_token
        self.members = members or {}
        self.wardens = tuple(wardens)
        homes = [label for label in self.members if label not in relieved]
        self.relieved = frozenset(self.members).intersection(relieved) if homes else frozenset()
        self.homes = frozenset(homes or self.members)
        self.shares = shares

    @classmethod
    def from_record(cls, record):
        members = {label: tuple(entry) for label, entry in record["members"].items()}
        wardens = record.get("wardens") or [record["warden"]]
        shares = record.get("shares")
        return cls(
            record["number"],
            record["next"],
            members,
            wardens,
            record.get("relieved", ()),
            Shares.from_record(shares) if shares else None,
        )

    def to_record(self):
        return {
            "number": self.number,
            "next": self.next,
            "warden": self.wardens[0],
            **({"wardens": list(self.wardens)} if len(self.wardens) > 1 else {}),
            "relieved": sorted(self.relieved),
            "members": {label: list(entry) for label, entry in self.members.items()},
            **({"shares": self.shares.to_record()} if self.shares is not None else {}),
        }

    def _next_term(self, members, relieved, moves):
        """The next term: `moves` ({share: label}) take a new token, and the shares of those that are
        no home any more are spread."""
        token = self.next
        entries = dict(members)
        new = Term(self.number + 1, token + 1, entries, self._assign_quota_leaders(entries), relieved)
        if new.homes:
            lost = set(self.shares.homes) - new.homes
            new.shares = self.shares.give({**self.shares.spread(lost, new.homes), **moves}, token)
        return new

    def _with_new_tokens(self, members, changed, relieved=None):
        """The next term with `members`; the shares of `changed` labels take a new token."""
        if relieved is None:
            relieved = self.relieved - changed
        # Their machines have the same home under a new incarnation: it knows nothing of them.
        return self._next_term(
            members, relieved, {share: label for label in changed for share in self.shares.of(label)}
        )

    def _assign_quota_leaders(self, entries):
        """The wardens among the next term's members: slots of those gone go to who has fewest."""
        wardens = [
            label if label in entries and self.incarnation(label) == entries[label][0] else None
            for label in self.wardens
        ]
        for slot, label in enumerate(wardens):
            if label is None and entries:
                fewest = min(wardens.count(member) for member in entries)
                wardens[slot] = pick(
                    [member for member in entries if wardens.count(member) == fewest],
                    f"warden {slot}" if slot else "warden",
                )
        return wardens

    def spread(self, slots):
        """This term with that many slots, where it has fewer: those added have yet to be given out."""
        if len(self.wardens) >= slots:
            return self
        wardens = [*self.wardens, *[None] * (slots - len(self.wardens))]
        return Term(self.number, self.next, self.members, wardens, self.relieved, self.shares)

    def give(self, slots):
        """The next term, in which each slot of `slots` has the warden named there."""
        wardens = [slots.get(slot, label) for slot, label in enumerate(self.wardens)]
        return Term(self.number + 1, self.next, self.members, wardens, self.relieved, self.shares)

    def warden(self, group):
        """The label of the warden of a group of teams with a limit."""
        return self.wardens[self.slot(group)]

    def slot(self, group):
        if len(self.wardens) == 1:
            return 0
        number = int.from_bytes(blake2b(group.encode(), digest_size=4).digest(), "big")
        return number % len(self.wardens)

    def join(self, label, nonce):
        """The label's new incarnation serves. A label that is new is home to nothing at first, unless
        it is alone; its part is given to it a step at a time (shares/balance.py)."""
        members = dict(self.members)
        members[label] = (self.next, self.next, nonce)
        if not self.members:
            return Term(
                self.number + 1,
                self.next + 1,
                members,
                self._assign_quota_leaders(members),
                (),
                Shares.even([label], self.next),
            )
        return self._with_new_tokens(members, {label})

    def drop(self, labels):
        members = {label: entry for label, entry in self.members.items() if label not in labels}
        return self._with_new_tokens(members, set())

    def raise_share(self, share):
        """A higher token for the machines of a share."""
        return self._next_term(self.members, self.relieved, {share: self.shares.homes[share]})

    def move(self, moves, giver):
        """The next term, in which shares that are still the giver's have the homes named in `moves`."""
        moves = {
            share: label
            for share, label in moves.items()
            if label in self.homes and self.shares.homes[share] == giver
        }
        return self._next_term(self.members, self.relieved, moves) if moves else self

    def relieve(self, label):
        """The label's machines get other homes; this term if that can't be."""
        if not self.homes - {label} or label not in self.homes:
            return self
        return self._with_new_tokens(dict(self.members), set(), self.relieved | {label})

    def restore(self, label):
        if label not in self.relieved:
            return self
        return self._with_new_tokens(dict(self.members), set(), self.relieved - {label})

    def incarnation(self, label):
        entry = self.members.get(label)
        return entry[0] if entry else None

    def serves(self, label, incarnation):
        return self.incarnation(label) == incarnation

    # Machines

    def share(self, machine):
        return self.shares.share(machine)

    def home(self, machine):
        """The label of the machine's home."""
        return self.shares.homes[self.shares.share(machine)]

    def place(self, machine):
        """(home, token): who commands the machine, and by which right."""
        share = self.shares.share(machine)
        return self.shares.homes[share], self.shares.tokens[share]

    def held(self, label):
        """{share: token} of the shares that a label is home to."""
        return self.shares.of(label)

    def roster(self):
        """Whoever owns jobs: as long as it stays the same, nobody inherits any."""
        return ({label: entry[0] for label, entry in self.members.items()}, self.wardens)

    def heir(self, job, label, group):
        """Who takes over a job of a dropped incarnation of `label`; `group`: of a limited team."""
        if group is not None:
            return self.warden(group)
        return label if label in self.members else pick(self.members, job)
