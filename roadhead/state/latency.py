"""How long to wait for the answer to a transaction, by the answers seen so far.

The estimate is that of TCP's retransmission timer (RFC 6298): a smoothed round trip plus four times
its smoothed deviation. Whoever waits longer than that for one answer may take it for lost and look up
what is stored. While transactions stay without an answer the wait doubles each time, so that a state
service that has become slow is not taken for one that loses answers: the first answer that comes
within the longer wait sets the estimate anew.
"""

LEAST_PART = 1 / 30  # of the longest wait: pauses of the process itself are no sign of a loss
FIRST_PART = 1 / 3  # of the longest wait, until the first answer was seen
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4


class ResponseTimeEstimator:
    """Round trips of one kind of request; waits are at most `most_s`."""

    def __init__(self, most_s):
        self._least_s = most_s * LEAST_PART
        self._most_s = most_s
        self._mean_s = None
        self._deviation_s = 0.0
        self._backoff = 1

    def record_answer(self, seconds):
        """An answer came that long after its request was sent."""
        self._backoff = 1
        if self._mean_s is None:
            self._mean_s, self._deviation_s = seconds, seconds / 2
            return
        self._deviation_s += DEVIATION_GAIN * (abs(seconds - self._mean_s) - self._deviation_s)
        self._mean_s += MEAN_GAIN * (seconds - self._mean_s)

    def record_timeout(self):
        """No answer came within `timeout_s`."""
        if self.timeout_s < self._most_s:
            self._backoff *= 2

    @property
    def late_s(self):
        """An answer that takes longer than this is unusually late."""
        if self._mean_s is None:
            return self._most_s * FIRST_PART
        usual_s = self._mean_s + DEVIATIONS * self._deviation_s
        return min(self._most_s, max(self._least_s, usual_s))

    @property
    def timeout_s(self):
        """How long to wait for the next answer."""
        return min(self._most_s, self.late_s * self._backoff)
