"""The term record: who serves, and who is home to which share of the machines. Pure values and functions."""

from hashlib import blake2b

from roadhead.shards.hashing import rendezvous_choice
from roadhead.shards.map import ShardMap


class Term:
    """`members` maps a label to (incarnation, token, nonce).

    An incarnation is the number that its process took when it joined; numbers are never
    given twice, and tokens are such numbers. `shard_map` says which machines are whose: a change
    renews the tokens of the shares that it moves, and no others. Only a term without members has none;
    the tokens of members are read by nobody any more.
    A warden owns the jobs of the teams with a limit that fall to one of its slots, by hash of their
    group; a slot changes hands only with its warden's incarnation, so that nothing else stands
    still for a takeover. There is one slot, or as many as a hosted service spreads its tenants over.
    `relieved` members go on serving users and owning jobs, but are home to no machine: workers
    could not reach them. One member at least is a home.
    """

    __slots__ = ("leaders", "members", "next", "number", "quota_leaders", "relieved", "shard_map")

    def __init__(
        self, number=0, next_token=1, members=None, quota_leaders=(None,), relieved=(), shard_map=None
    ):
        self.number = number
        self.next = next_token
        self.members = members or {}
        self.quota_leaders = tuple(quota_leaders)
        leaders = [label for label in self.members if label not in relieved]
        self.relieved = frozenset(self.members).intersection(relieved) if leaders else frozenset()
        self.leaders = frozenset(leaders or self.members)
        self.shard_map = shard_map

    @classmethod
    def from_record(cls, record):
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
        return {
            "number": self.number,
            "next": self.next,
            "warden": self.quota_leaders[0],
            **({"wardens": list(self.quota_leaders)} if len(self.quota_leaders) > 1 else {}),
            "relieved": sorted(self.relieved),
            "members": {label: list(entry) for label, entry in self.members.items()},
            **({"shares": self.shard_map.to_record()} if self.shard_map is not None else {}),
        }

    def _next(self, members, relieved, moves):
        """The next term: `moves` ({share: label}) take a new token, and the shares of those that are
        no home any more are spread."""
        token = self.next
        entries = dict(members)
        new = Term(self.number + 1, token + 1, entries, self._heirs(entries), relieved)
        if new.leaders:
            lost = set(self.shard_map.leaders) - new.leaders
            new.shard_map = self.shard_map.reassign(
                {**self.shard_map.redistribute(lost, new.leaders), **moves}, token
            )
        return new

    def _renewed(self, members, changed, relieved=None):
        """The next term with `members`; the shares of `changed` labels take a new token."""
        if relieved is None:
            relieved = self.relieved - changed
        # Their machines have the same home under a new incarnation: it knows nothing of them.
        return self._next(
            members, relieved, {shard: label for label in changed for shard in self.shard_map.of(label)}
        )

    def _heirs(self, entries):
        """The wardens among the next term's members: slots of those gone go to who has fewest."""
        quota_leaders = [
            label if label in entries and self.incarnation(label) == entries[label][0] else None
            for label in self.quota_leaders
        ]
        for slot, label in enumerate(quota_leaders):
            if label is None and entries:
                fewest = min(quota_leaders.count(member) for member in entries)
                quota_leaders[slot] = rendezvous_choice(
                    [member for member in entries if quota_leaders.count(member) == fewest],
                    f"warden {slot}" if slot else "warden",
                )
        return quota_leaders

    def with_partitions(self, partitions):
        """This term with that many slots, where it has fewer: those added have yet to be given out."""
        if len(self.quota_leaders) >= partitions:
            return self
        quota_leaders = [*self.quota_leaders, *[None] * (partitions - len(self.quota_leaders))]
        return Term(self.number, self.next, self.members, quota_leaders, self.relieved, self.shard_map)

    def assign_partitions(self, partitions):
        """The next term, in which each slot of `partitions` has the warden named there."""
        quota_leaders = [partitions.get(slot, label) for slot, label in enumerate(self.quota_leaders)]
        return Term(self.number + 1, self.next, self.members, quota_leaders, self.relieved, self.shard_map)

    def quota_leader(self, group):
        """The label of the warden of a group of teams with a limit."""
        return self.quota_leaders[self.partition_of(group)]

    def partition_of(self, group):
        if len(self.quota_leaders) == 1:
            return 0
        number = int.from_bytes(blake2b(group.encode(), digest_size=4).digest(), "big")
        return number % len(self.quota_leaders)

    def join(self, label, nonce):
        """The label's new incarnation serves. A label that is new is home to nothing at first, unless
        it is alone; its part is given to it a step at a time (shards/balance.py)."""
        members = dict(self.members)
        members[label] = (self.next, self.next, nonce)
        if not self.members:
            return Term(
                self.number + 1,
                self.next + 1,
                members,
                self._heirs(members),
                (),
                ShardMap.even([label], self.next),
            )
        return self._renewed(members, {label})

    def drop(self, labels):
        members = {label: entry for label, entry in self.members.items() if label not in labels}
        return self._renewed(members, set())

    def raise_share(self, shard):
        """A higher token for the machines of a share."""
        return self._next(self.members, self.relieved, {shard: self.shard_map.leaders[shard]})

    def move(self, moves, giver):
        """The next term, in which shares that are still the giver's have the homes named in `moves`."""
        moves = {
            shard: label
            for shard, label in moves.items()
            if label in self.leaders and self.shard_map.leaders[shard] == giver
        }
        return self._next(self.members, self.relieved, moves) if moves else self

    def relieve(self, label):
        """The label's machines get other homes; this term if that can't be."""
        if not self.leaders - {label} or label not in self.leaders:
            return self
        return self._renewed(dict(self.members), set(), self.relieved | {label})

    def restore(self, label):
        if label not in self.relieved:
            return self
        return self._renewed(dict(self.members), set(), self.relieved - {label})

    def incarnation(self, label):
        entry = self.members.get(label)
        return entry[0] if entry else None

    def serves(self, label, incarnation):
        return self.incarnation(label) == incarnation

    # Machines

    def shard_of(self, machine):
        return self.shard_map.shard_of(machine)

    def leader_of(self, machine):
        """The label of the machine's home."""
        return self.shard_map.leaders[self.shard_map.shard_of(machine)]

    def leader_and_token(self, machine):
        """(home, token): who commands the machine, and by which right."""
        shard = self.shard_map.shard_of(machine)
        return self.shard_map.leaders[shard], self.shard_map.tokens[shard]

    def shards_of(self, label):
        """{share: token} of the shares that a label is home to."""
        return self.shard_map.of(label)

    def roster(self):
        """Whoever owns jobs: as long as it stays the same, nobody inherits any."""
        return ({label: entry[0] for label, entry in self.members.items()}, self.quota_leaders)

    def successor(self, job, label, group):
        """Who takes over a job of a dropped incarnation of `label`; `group`: of a limited team."""
        if group is not None:
            return self.quota_leader(group)
        return label if label in self.members else rendezvous_choice(self.members, job)
