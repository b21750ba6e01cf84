"""Estimates how long to wait for the answer to a transaction, from the answers received so far.

The estimate is that of TCP's retransmission timer (RFC 6298): the smoothed round-trip time plus four times
its smoothed deviation. After that time the caller may treat the answer as lost and read what is stored. Each
transaction without an answer doubles the timeout, so that a state service that has become slow isn't
mistaken for one that loses answers: the first answer within the longer timeout updates the estimate.
"""

MIN_TIMEOUT_SHARE = (
    1 / 30
)  # of the longest timeout: short pauses of this process are no sign of a lost answer
FIRST_TIMEOUT_SHARE = 1 / 3  # of the longest timeout, until the first answer has arrived
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4


class ResponseTimeEstimator:
    """Round-trip times of one kind of request, and the timeout derived from them, at most `most_s`."""

    def __init__(self, most_s):
        self._min_timeout_s = most_s * MIN_TIMEOUT_SHARE
        self._max_timeout_s = most_s
        self._mean_s = None
        self._deviation_s = 0.0
        self._backoff = 1

    def record_answer(self, seconds):
        """Records an answer that arrived `seconds` after its request was sent."""
        self._backoff = 1
        if self._mean_s is None:
            self._mean_s, self._deviation_s = seconds, seconds / 2
            return
        self._deviation_s += DEVIATION_GAIN * (abs(seconds - self._mean_s) - self._deviation_s)
        self._mean_s += MEAN_GAIN * (seconds - self._mean_s)

    def record_timeout(self):
        """Records that no answer arrived within `timeout_s`."""
        if self.timeout_s < self._max_timeout_s:
            self._backoff *= 2

    @property
    def late_s(self):
        """The time after which an answer is unusually late, without the backoff after timeouts."""
        if self._mean_s is None:
            return self._max_timeout_s * FIRST_TIMEOUT_SHARE
        expected_s = self._mean_s + DEVIATION_FACTOR * self._deviation_s
        return min(self._max_timeout_s, max(self._min_timeout_s, expected_s))

    @property
    def timeout_s(self):
        """How long to wait for the next answer, including the backoff after timeouts."""
        return min(self._max_timeout_s, self.late_s * self._backoff)
