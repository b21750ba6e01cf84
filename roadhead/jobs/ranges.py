"""Sets of task numbers, kept as sorted, disjoint ranges."""

from bisect import bisect_right


class Ranges:
    """A set of numbers: those with `starts[i] <= number < ends[i]` for some i.

    It is stored as a flat list [start, end, start, end, ...].
    """

    __slots__ = ("count", "ends", "starts")

    def __init__(self, flat=()):
        self.starts = list(flat[0::2])
        self.ends = list(flat[1::2])
        self.count = sum(self.ends) - sum(self.starts)

    def __contains__(self, number):
        at = bisect_right(self.starts, number) - 1
        return at >= 0 and number < self.ends[at]

    def add(self, number):
        """Adds a number. Returns False if it was in the set before."""
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
        """Returns the set as a flat list [start, end, start, end, ...]."""
        return [edge for pair in zip(self.starts, self.ends, strict=True) for edge in pair]


class TaskPool:
    """The task numbers of a job that may be taken: ranges not yet touched, and numbers that were returned.

    Returned numbers are taken first, then the lowest untouched one. A job of 100,000 waiting tasks takes two
    numbers of memory, not 100,000.
    """

    __slots__ = ("_ends", "_returned", "_starts", "left")

    def __init__(self, done, total):
        self._starts, self._ends = [], []
        at = 0
        for start, end in zip([*done.starts, total], [*done.ends, total], strict=True):
            if start > at:
                self._starts.append(at)
                self._ends.append(start)
            at = end
        self._returned = []
        self.left = sum(self._ends) - sum(self._starts)  # The size of the pool; kept because it is read often

    def __len__(self):
        return self.left

    def _range(self, number):
        """Returns the index of the untouched range that contains the number, or -1."""
        at = bisect_right(self._starts, number) - 1
        return at if at >= 0 and number < self._ends[at] else -1

    def __contains__(self, number):
        return number in self._returned or self._range(number) >= 0

    def pop(self):
        """Takes the next number. Raises IndexError if there is none."""
        if self._returned:
            self.left -= 1
            return self._returned.pop()
        number = self._starts[0]
        self._starts[0] += 1
        if self._starts[0] == self._ends[0]:
            del self._starts[0], self._ends[0]
        self.left -= 1
        return number

    def append(self, number):
        """Returns a number that was taken before."""
        self._returned.append(number)
        self.left += 1

    def remove(self, number):
        """Takes that very number. Raises ValueError if it is not in the pool."""
        at = self._range(number)
        if at < 0:
            self._returned.remove(number)
            self.left -= 1
            return
        start, end = self._starts[at], self._ends[at]
        parts = [(first, last) for first, last in ((start, number), (number + 1, end)) if first < last]
        self._starts[at : at + 1] = [first for first, _last in parts]
        self._ends[at : at + 1] = [last for _first, last in parts]
        self.left -= 1

    def clear(self):
        """Removes all numbers."""
        self._starts, self._ends, self._returned, self.left = [], [], [], 0
