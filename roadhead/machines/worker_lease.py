"""A worker's lease, as the home of its machine counts it. No sockets and no clocks here.

A worker counts its lease from when it *sent* the newest report that was answered (PROTOCOL, Leases). It does
not say when that was, so the home counts from when it answers, which is later. That is safe as long as every
answer is counted that can have an effect at the worker: also that to a report which a later message of the
worker, the answer to a direct command, overtook on its way here.
"""

from typing import NamedTuple

DRIFT = 0.0005  # between two steady clocks (PROTOCOL)
SLACK_S = 0.2


class ReportNumber(NamedTuple):
    """Which of two messages of a worker is the newer one (PROTOCOL, `stint` and `tally`)."""

    session: int
    sequence: int

    @classmethod
    def of(cls, report):
        """The number of a messages.Report."""
        return cls(report.session, report.sequence)


NONE_ANSWERED = ReportNumber(0, -1)


class WorkerLease:
    """`renewed_at`: no answer that was given until now renews the worker's lease from a later moment; a time
    of the loop, in seconds. `answered`: the newest report answered."""

    __slots__ = ("answered", "renewed_at")

    def __init__(self, now):
        self.renewed_at = now
        self.answered = NONE_ANSWERED

    def begin(self, now):
        """The worker was heard in a new session, or for the first time under a token: whatever renewed its
        lease before, in whoever's answer, was sent by now."""
        self.renewed_at = now

    def answer(self, number, now):
        """A report is about to be answered 200. A copy of one that was answered before, or one older than
        such, was sent no later than that, and renews nothing."""
        if number > self.answered:
            self.answered = number
            self.renewed_at = now

    def ends_at(self, lease_s):
        """By then it has ended, if nothing more is answered."""
        return self.renewed_at + lease_s * (1 + 2 * DRIFT) + SLACK_S
