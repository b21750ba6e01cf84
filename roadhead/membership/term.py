"""The term record: who is a member, and who leads which shard of the machines. Pure values and functions."""

from hashlib import blake2b

from roadhead.shards.hashing import rendezvous_choice
from roadhead.shards.map import ShardMap


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

    __slots__ = ("leaders", "members", "next_token", "number", "quota_leaders", "relieved", "shard_map")

    def __init__(
        self, number=0, next_token=1, members=None, quota_leaders=(None,), relieved=(), shard_map=None
    ):
        self.number = number
        self.next_token = next_token
        self.members = members or {}
        self.quota_leaders = tuple(quota_leaders)
        leaders = [label for label in self.members if label not in relieved]
        self.relieved = frozenset(self.members).intersection(relieved) if leaders else frozenset()
        self.leaders = frozenset(leaders or self.members)
        self.shard_map = shard_map

    @classmethod
    def from_record(cls, record):
        """The term of a stored record."""
        members = {label: tuple(entry) for label, entry in record["members"].items()}
        quota_leaders = record.get("wardens") or [record["warden"]]
        shard_map = record.get("shares")
        return cls(
            record["number"],
            record["next"],
            members,
            quota_leaders,
            record.get("relieved", ()),
            ShardMap.from_record(shard_map) if shard_map else None,
        )

    def to_record(self):
        """The record to be stored for this term."""
        return {
            "number": self.number,
            "next": self.next_token,
            "warden": self.quota_leaders[0],
            **({"wardens": list(self.quota_leaders)} if len(self.quota_leaders) > 1 else {}),
            "relieved": sorted(self.relieved),
            "members": {label: list(entry) for label, entry in self.members.items()},
            **({"shares": self.shard_map.to_record()} if self.shard_map is not None else {}),
        }

    def _next_term(self, members, relieved, moves):
        """The next term, with a new token for the shards of `moves` ({shard: label}).

        Shards of labels that lead none any more are redistributed.
        """
        token = self.next_token
        entries = dict(members)
        new = Term(self.number + 1, token + 1, entries, self._assign_quota_leaders(entries), relieved)
        if new.leaders:
            former_leaders = set(self.shard_map.leaders) - new.leaders
            new.shard_map = self.shard_map.reassign(
                {**self.shard_map.redistribute(former_leaders, new.leaders), **moves}, token
            )
        return new

    def _with_new_tokens(self, members, changed, relieved=None):
        """The next term with `members`; the shards of `changed` labels get a new token."""
        if relieved is None:
            relieved = self.relieved - changed
        # Those machines keep their leader, but its new incarnation knows nothing of them.
        return self._next_term(
            members, relieved, {shard: label for label in changed for shard in self.shard_map.of(label)}
        )

    def _assign_quota_leaders(self, entries):
        """The quota leaders of the next term; partitions without one go to the members with fewest."""
        quota_leaders = [
            label if label in entries and self.incarnation(label) == entries[label][0] else None
            for label in self.quota_leaders
        ]
        for partition, label in enumerate(quota_leaders):
            if label is None and entries:
                fewest = min(quota_leaders.count(member) for member in entries)
                quota_leaders[partition] = rendezvous_choice(
                    [member for member in entries if quota_leaders.count(member) == fewest],
                    f"warden {partition}" if partition else "warden",
                )
        return quota_leaders

    def with_partitions(self, partitions):
        """This term with at least that many quota partitions; added ones have no leader yet."""
        if len(self.quota_leaders) >= partitions:
            return self
        quota_leaders = [*self.quota_leaders, *[None] * (partitions - len(self.quota_leaders))]
        return Term(self.number, self.next_token, self.members, quota_leaders, self.relieved, self.shard_map)

    def assign_partitions(self, partitions):
        """The next term, in which each quota partition in `partitions` has the leader named there."""
        quota_leaders = [
            partitions.get(partition, label) for partition, label in enumerate(self.quota_leaders)
        ]
        return Term(
            self.number + 1, self.next_token, self.members, quota_leaders, self.relieved, self.shard_map
        )

    def quota_leader(self, group):
        """The label of the quota leader of a group of teams with a limit."""
        return self.quota_leaders[self.partition_of(group)]

    def partition_of(self, group):
        """The number of the quota partition of a group."""
        if len(self.quota_leaders) == 1:
            return 0
        number = int.from_bytes(blake2b(group.encode(), digest_size=4).digest(), "big")
        return number % len(self.quota_leaders)

    def join(self, label, nonce):
        """The next term, in which a new incarnation of the label serves.

        A label that is new leads no shard at first, unless it is the only one. It is given its part step by
        step (shards/balance.py).
        """
        members = dict(self.members)
        members[label] = (self.next_token, self.next_token, nonce)
        if not self.members:
            return Term(
                self.number + 1,
                self.next_token + 1,
                members,
                self._assign_quota_leaders(members),
                (),
                ShardMap.even([label], self.next_token),
            )
        return self._with_new_tokens(members, {label})

    def drop(self, labels):
        """The next term without the members of these labels."""
        members = {label: entry for label, entry in self.members.items() if label not in labels}
        return self._with_new_tokens(members, set())

    def move(self, moves, giver):
        """The next term, in which shards that `giver` still leads go to the leaders named in `moves`."""
        moves = {
            shard: label
            for shard, label in moves.items()
            if label in self.leaders and self.shard_map.leaders[shard] == giver
        }
        return self._next_term(self.members, self.relieved, moves) if moves else self

    def relieve(self, label):
        """The next term, in which others lead the label's shards; this term if there are no others."""
        if not self.leaders - {label} or label not in self.leaders:
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

    def shard_of(self, machine):
        """The number of the machine's shard."""
        return self.shard_map.shard_of(machine)

    def leader_of(self, machine):
        """The label of the machine's shard leader."""
        return self.shard_map.leaders[self.shard_map.shard_of(machine)]

    def leader_and_token(self, machine):
        """(label, token): who leads the machine, and the fencing token of its commands."""
        shard = self.shard_map.shard_of(machine)
        return self.shard_map.leaders[shard], self.shard_map.tokens[shard]

    def shards_of(self, label):
        """{shard: token} of the shards that a label leads."""
        return self.shard_map.of(label)

    def roster(self):
        """({label: incarnation}, quota leaders); while it is equal, no job changes its owner."""
        return ({label: entry[0] for label, entry in self.members.items()}, self.quota_leaders)

    def successor(self, job, label, group):
        """The label that takes over a job of a dropped incarnation of `label`; `group`: of a limited team."""
        if group is not None:
            return self.quota_leader(group)
        return label if label in self.members else rendezvous_choice(self.members, job)
