"""A token bucket for requests to rate-limited services."""


class Bucket:
    """A token bucket: `rate` tokens per second, `burst` at most.

    `take` lets the level become negative, so callers wait in the order in which they came.
    """

    def __init__(self, loop, rate, burst):
        self._loop = loop
        self.rate = rate
        self.burst = max(1.0, burst)
        self._level = self.burst
        self._at = loop.now()
        self._taken = 0.0  # tokens taken with `take` since the last call of `used`
        self._asked_at = self._at

    def _refill(self):
        now = self._loop.now()
        self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now

    def retune(self, rate):
        """Changes the rate, with a burst of one second's tokens."""
        self._refill()
        self.rate = rate
        self.burst = max(1.0, rate)

    def used(self):
        """Returns the tokens taken per second since the last call."""
        now = self._loop.now()
        used = self._taken / max(1e-3, now - self._asked_at)
        self._taken, self._asked_at = 0.0, now
        return used

    def level(self):
        """Returns the tokens available now; negative while callers wait."""
        self._refill()
        return self._level

    def spare(self, share):
        """Returns whether more than the fraction `share` of a burst is left.

        For requests that can be refused or postponed.
        """
        self._refill()
        return self._level > share * self.burst

    def empty(self):
        """Drops all tokens, after the service reported that the rate limit was exceeded."""
        self._refill()
        self._level = min(self._level, 0.0)

    def try_take(self):
        """Takes a token and returns True, or returns False if there is none."""
        self._refill()
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    async def take(self, count=1):
        """Takes `count` tokens, and waits until the rate has provided them."""
        self._refill()
        self._level -= count
        self._taken += count
        if self._level < 0:
            await self._loop.sleep(-self._level / self.rate)
