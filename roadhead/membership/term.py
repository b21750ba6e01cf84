"""The term record: who is a member, and who leads which shard of the machines. Pure values and functions."""

from hashlib import blake2b

from roadhead.shares.hashing import pick
from roadhead.shares.map import Shares


class Term:
    """One term of the cluster; every change of members or leaders makes the next one.

    `members` maps a label to (incarnation, token, nonce). An incarnation is the number that its process took
    when it joined; numbers are never given twice, and fencing tokens are such numbers too. The tokens of
    members are read by nobody any more.

    `shard_map` says who leads which machines under which token. A change renews the tokens of the shards that
    it moves, and no others. It is None only in a term without members.

    `quota_leaders` has the leader of each quota partition, who owns the jobs of the teams with a limit whose
    group hashes to that partition. When members change, a partition changes hands only if its leader's
    incarnation has ended, so that no other partition has to wait for a takeover. There is one partition, or
    as many as a hosted service spreads its tenants over.

    `relieved` members serve users and own jobs but lead no shard, since workers could not reach them.
    `leaders` are the labels of all others; at least one member is a leader.
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
        """The term of a stored record."""
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
        """The record to be stored for this term."""
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
        """The next term, with a new token for the shards of `moves` ({shard: label}).

        Shards of labels that lead none any more are redistributed.
        """
        token = self.next
        entries = dict(members)
        new = Term(self.number + 1, token + 1, entries, self._assign_quota_leaders(entries), relieved)
        if new.homes:
            former_leaders = set(self.shares.homes) - new.homes
            new.shares = self.shares.give({**self.shares.spread(former_leaders, new.homes), **moves}, token)
        return new

    def _with_new_tokens(self, members, changed, relieved=None):
        """The next term with `members`; the shards of `changed` labels get a new token."""
        if relieved is None:
            relieved = self.relieved - changed
        # Those machines keep their leader, but its new incarnation knows nothing of them.
        return self._next_term(
            members, relieved, {share: label for label in changed for share in self.shares.of(label)}
        )

    def _assign_quota_leaders(self, entries):
        """The quota leaders of the next term; partitions without one go to the members with fewest."""
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
        """This term with at least that many quota partitions; added ones have no leader yet."""
        if len(self.wardens) >= slots:
            return self
        wardens = [*self.wardens, *[None] * (slots - len(self.wardens))]
        return Term(self.number, self.next, self.members, wardens, self.relieved, self.shares)

    def give(self, slots):
        """The next term, in which each quota partition in `slots` has the leader named there."""
        wardens = [slots.get(slot, label) for slot, label in enumerate(self.wardens)]
        return Term(self.number + 1, self.next, self.members, wardens, self.relieved, self.shares)

    def warden(self, group):
        """The label of the quota leader of a group of teams with a limit."""
        return self.wardens[self.slot(group)]

    def slot(self, group):
        """The number of the quota partition of a group."""
        if len(self.wardens) == 1:
            return 0
        number = int.from_bytes(blake2b(group.encode(), digest_size=4).digest(), "big")
        return number % len(self.wardens)

    def join(self, label, nonce):
        """The next term, in which a new incarnation of the label serves.

        A label that is new leads no shard at first, unless it is the only one. It is given its part step by
        step (shards/balance.py).
        """
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
        """The next term without the members of these labels."""
        members = {label: entry for label, entry in self.members.items() if label not in labels}
        return self._with_new_tokens(members, set())

    def raise_share(self, share):
        """The next term, with a higher token for one shard."""
        return self._next_term(self.members, self.relieved, {share: self.shares.homes[share]})

    def move(self, moves, giver):
        """The next term, in which shards that `giver` still leads go to the leaders named in `moves`."""
        moves = {
            share: label
            for share, label in moves.items()
            if label in self.homes and self.shares.homes[share] == giver
        }
        return self._next_term(self.members, self.relieved, moves) if moves else self

    def relieve(self, label):
        """The next term, in which others lead the label's shards; this term if there are no others."""
        if not self.homes - {label} or label not in self.homes:
            return self
        return self._with_new_tokens(dict(self.members), set(), self.relieved | {label})

    def restore(self, label):
        """The next term, in which a relieved label may lead shards again; this term if it is not relieved."""
        if label not in self.relieved:
            return self
        return self._with_new_tokens(dict(self.members), set(), self.relieved - {label})

    def incarnation(self, label):
        """The label's incarnation, or None if it is no member."""
        entry = self.members.get(label)
        return entry[0] if entry else None

    def serves(self, label, incarnation):
        """Whether this incarnation of the label is a member."""
        return self.incarnation(label) == incarnation

    # Machines

    def share(self, machine):
        """The number of the machine's shard."""
        return self.shares.share(machine)

    def home(self, machine):
        """The label of the machine's shard leader."""
        return self.shares.homes[self.shares.share(machine)]

    def place(self, machine):
        """(label, token): who leads the machine, and the fencing token of its commands."""
        share = self.shares.share(machine)
        return self.shares.homes[share], self.shares.tokens[share]

    def held(self, label):
        """{shard: token} of the shards that a label leads."""
        return self.shares.of(label)

    def roster(self):
        """({label: incarnation}, quota leaders); while it is equal, no job changes its owner."""
        return ({label: entry[0] for label, entry in self.members.items()}, self.wardens)

    def heir(self, job, label, group):
        """The label that takes over a job of a dropped incarnation of `label`; `group`: of a limited team."""
        if group is not None:
            return self.warden(group)
        return label if label in self.members else pick(self.members, job)
