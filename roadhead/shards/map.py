"""The map of shares: each share of the machines has one home and one token. Pure values and functions.

It lies in the record of the term and changes with it, by compare-and-set. Tokens come from the
term's one count, so whoever gets a share has a token higher than any that its machines have seen.
"""

from functools import lru_cache
from hashlib import blake2b

from roadhead.shards.hashing import rendezvous_choice

SHARD_COUNT = 64  # about twenty for each of three controllers, seven of nine: the finest step of a balance


class ShardMap:
    """`leaders` and `tokens`, one of each a share. Never changed: each change is a new map."""

    __slots__ = ("leaders", "tokens")

    def __init__(self, leaders, tokens):
        self.leaders = tuple(leaders)
        self.tokens = tuple(tokens)

    @classmethod
    def even(cls, labels, token, count=SHARD_COUNT):
        """All shares new, spread evenly."""
        labels = sorted(labels)
        return cls([labels[shard % len(labels)] for shard in range(count)], [token] * count)

    @classmethod
    def from_record(cls, record):
        labels, leaders, tokens = record
        return cls([labels[home] for home in leaders], tokens)

    def to_record(self):
        """[labels, a place in them for each share, a token for each]: eight bytes a share at most."""
        labels = sorted(set(self.leaders))
        places = {label: place for place, label in enumerate(labels)}
        return [labels, [places[home] for home in self.leaders], list(self.tokens)]

    def shard_of(self, machine):
        return number_of(machine) % len(self.leaders)

    def of(self, label):
        """{share: token} of a home."""
        return {shard: self.tokens[shard] for shard, home in enumerate(self.leaders) if home == label}

    def counts(self, labels):
        """{label: how many shares it is home to}."""
        counts = dict.fromkeys(labels, 0)
        for home in self.leaders:
            if home in counts:
                counts[home] += 1
        return counts

    def reassign(self, moves, token):
        """The map in which each share of `moves` ({share: label}) has that home, and the new token.
        Whoever keeps its share keeps its token, and its machines notice nothing."""
        leaders, tokens = list(self.leaders), list(self.tokens)
        for shard, label in moves.items():
            leaders[shard], tokens[shard] = label, token
        return ShardMap(leaders, tokens)

    def redistribute(self, lost, leaders):
        """{share: label} by which the shares of `lost` homes go to those with the fewest, and of
        these to the one that weighs most for the share."""
        counts = self.counts(leaders)
        moves = {}
        for shard, home in enumerate(self.leaders):
            if home in lost:
                fewest = min(counts.values())
                label = rendezvous_choice(
                    [name for name in counts if counts[name] == fewest], f"share {shard}"
                )
                counts[label] += 1
                moves[shard] = label
        return moves


@lru_cache(maxsize=1 << 14)
def number_of(machine):
    return int.from_bytes(blake2b(machine.encode(), digest_size=4, key=b"share").digest(), "big")
