"""The map of shares: each share of the machines has one home and one token. Pure values and functions.

It lies in the record of the term and changes with it, by compare-and-set. Tokens come from the
term's one count, so whoever gets a share has a token higher than any that its machines have seen.
"""

from functools import lru_cache
from hashlib import blake2b

from roadhead.shares.hashing import pick

SHARES = 64  # about twenty for each of three controllers, seven of nine: the finest step of a balance


class Shares:
    """`homes` and `tokens`, one of each a share. Never changed: each change is a new map."""

    __slots__ = ("homes", "tokens")

    def __init__(self, homes, tokens):
        self.homes = tuple(homes)
        self.tokens = tuple(tokens)

    @classmethod
    def even(cls, labels, token, count=SHARES):
        """All shares new, spread evenly."""
        labels = sorted(labels)
        return cls([labels[share % len(labels)] for share in range(count)], [token] * count)

    @classmethod
    def from_record(cls, record):
        labels, homes, tokens = record
        return cls([labels[home] for home in homes], tokens)

    def to_record(self):
        """[labels, a place in them for each share, a token for each]: eight bytes a share at most."""
        labels = sorted(set(self.homes))
        places = {label: place for place, label in enumerate(labels)}
        return [labels, [places[home] for home in self.homes], list(self.tokens)]

    def share(self, machine):
        return machine_hash(machine) % len(self.homes)

    def of(self, label):
        """{share: token} of a home."""
        return {share: self.tokens[share] for share, home in enumerate(self.homes) if home == label}

    def counts(self, labels):
        """{label: how many shares it is home to}."""
        counts = dict.fromkeys(labels, 0)
        for home in self.homes:
            if home in counts:
                counts[home] += 1
        return counts

    def give(self, moves, token):
        """The map in which each share of `moves` ({share: label}) has that home, and the new token.
        Whoever keeps its share keeps its token, and its machines notice nothing."""
        homes, tokens = list(self.homes), list(self.tokens)
        for share, label in moves.items():
            homes[share], tokens[share] = label, token
        return Shares(homes, tokens)

    def spread(self, lost, homes):
        """{share: label} by which the shares of `lost` homes go to those with the fewest, and of
        these to the one that weighs most for the share."""
        counts = self.counts(homes)
        moves = {}
        for share, home in enumerate(self.homes):
            if home in lost:
                fewest = min(counts.values())
                label = pick([name for name in counts if counts[name] == fewest], f"share {share}")
                counts[label] += 1
                moves[share] = label
        return moves


@lru_cache(maxsize=1 << 14)
def machine_hash(machine):
    return int.from_bytes(blake2b(machine.encode(), digest_size=4, key=b"share").digest(), "big")
