"""The map of shards, each of which has one leader and one fencing token. Pure values and functions.

It is stored in the term record and changes with it, by compare-and-set. Tokens come from the term's one
counter, so whoever gets a shard has a higher token than any that the shard's machines have seen.
"""

from functools import lru_cache
from hashlib import blake2b

from roadhead.shards.hashing import rendezvous_choice

SHARD_COUNT = 64  # about twenty for each of three controllers, seven of nine: the granularity of the balance


class ShardMap:
    """An immutable map: `leaders` has each shard's leader and `tokens` its token, by shard number."""

    __slots__ = ("leaders", "tokens")

    def __init__(self, leaders, tokens):
        self.leaders = tuple(leaders)
        self.tokens = tuple(tokens)

    @classmethod
    def even(cls, labels, token, count=SHARD_COUNT):
        """A map with all shards new under `token`, spread evenly over the labels."""
        labels = sorted(labels)
        return cls([labels[shard % len(labels)] for shard in range(count)], [token] * count)

    @classmethod
    def from_record(cls, record):
        """The map of a stored record."""
        labels, leaders, tokens = record
        return cls([labels[position] for position in leaders], tokens)

    def to_record(self):
        """[labels, each shard's place in them, each shard's token]: eight bytes a shard at most."""
        labels = sorted(set(self.leaders))
        positions = {label: position for position, label in enumerate(labels)}
        return [labels, [positions[leader] for leader in self.leaders], list(self.tokens)]

    def shard_of(self, machine):
        """The number of the machine's shard."""
        return machine_hash(machine) % len(self.leaders)

    def of(self, label):
        """{shard: token} of a leader's shards."""
        return {shard: self.tokens[shard] for shard, leader in enumerate(self.leaders) if leader == label}

    def counts(self, labels):
        """{label: number of shards that it leads}."""
        counts = dict.fromkeys(labels, 0)
        for leader in self.leaders:
            if leader in counts:
                counts[leader] += 1
        return counts

    def reassign(self, moves, token):
        """The map in which each shard of `moves` ({shard: label}) has that leader and the new token.

        All other shards keep their token, so their machines notice nothing.
        """
        leaders, tokens = list(self.leaders), list(self.tokens)
        for shard, label in moves.items():
            leaders[shard], tokens[shard] = label, token
        return ShardMap(leaders, tokens)

    def redistribute(self, lost, leaders):
        """{shard: label} that gives the shards of `lost` leaders to those of `leaders` with fewest shards.

        Between several with fewest, rendezvous hashing of the shard decides.
        """
        counts = self.counts(leaders)
        moves = {}
        for shard, leader in enumerate(self.leaders):
            if leader in lost:
                fewest = min(counts.values())
                label = rendezvous_choice(
                    [name for name in counts if counts[name] == fewest], f"share {shard}"
                )
                counts[label] += 1
                moves[shard] = label
        return moves


@lru_cache(maxsize=1 << 14)
def machine_hash(machine):
    """A stable hash of a machine's name, from which its shard follows."""
    return int.from_bytes(blake2b(machine.encode(), digest_size=4, key=b"share").digest(), "big")
