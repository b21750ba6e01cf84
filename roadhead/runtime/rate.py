"""A token bucket, for calls that the other side limits."""


class Bucket:
    """`rate` a second with bursts of `burst`; callers wait their turn."""

    def __init__(self, loop, rate, burst):
        self._loop = loop
        self.rate = rate
        self.burst = max(1.0, burst)
        self._level = self.burst
        self._at = loop.now()
        self._taken = 0.0  # since `used` was last asked for
        self._asked_at = self._at

    def _refill(self):
        now = self._loop.now()
        self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now

    def retune(self, rate):
        """Another rate from now on, with bursts of a second's worth."""
        self._refill()
        self.rate = rate
        self.burst = max(1.0, rate)

    def used(self):
        """What was taken a second, since this was last asked for."""
        now = self._loop.now()
        used = self._taken / max(1e-3, now - self._asked_at)
        self._taken, self._asked_at = 0.0, now
        return used

    def level(self):
        self._refill()
        return self._level

    def spare(self, share):
        """True if more than `share` of a burst is left: for callers that may be turned away."""
        self._refill()
        return self._level > share * self.burst

    def empty(self):
        """The other side said that it is too much: start again from nothing."""
        self._refill()
        self._level = min(self._level, 0.0)

    def try_take(self):
        """Takes one if there is one."""
        self._refill()
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    async def take(self, count=1):
        self._refill()
        self._level -= count
        self._taken += count
        if self._level < 0:
            await self._loop.sleep(-self._level / self.rate)
