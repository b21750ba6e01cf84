"""Sets of task numbers as sorted, disjoint ranges."""

from bisect import bisect_right


class Ranges:
    """`starts[i] <= number < ends[i]`. Written as a flat list [start, end, start, end, ...]."""

    __slots__ = ("count", "ends", "starts")

    def __init__(self, flat=()):
        self.starts = list(flat[0::2])
        self.ends = list(flat[1::2])
        self.count = sum(self.ends) - sum(self.starts)

    def __contains__(self, number):
        at = bisect_right(self.starts, number) - 1
        return at >= 0 and number < self.ends[at]

    def add(self, number):
        """False if it was in already."""
        at = bisect_right(self.starts, number) - 1
        if at >= 0 and number < self.ends[at]:
            return False
        self.count += 1
        joins_before = at >= 0 and self.ends[at] == number
        joins_after = at + 1 < len(self.starts) and self.starts[at + 1] == number + 1
        if joins_before and joins_after:
            self.ends[at] = self.ends[at + 1]
            del self.starts[at + 1], self.ends[at + 1]
        elif joins_before:
            self.ends[at] = number + 1
        elif joins_after:
            self.starts[at + 1] = number
        else:
            self.starts.insert(at + 1, number)
            self.ends.insert(at + 1, number + 1)
        return True

    def flat(self):
        return [edge for pair in zip(self.starts, self.ends, strict=True) for edge in pair]

    def missing(self, total):
        """Numbers below `total` that are not in."""
        at = 0
        for start, end in zip(self.starts, self.ends, strict=True):
            yield from range(at, start)
            at = end
        yield from range(at, total)
