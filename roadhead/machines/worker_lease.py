"""A worker's lease, as the leader of its shard counts it. No sockets and no clocks here.

A worker counts its lease from when it *sent* the newest report that was answered (PROTOCOL, Leases). It does
not say when that was, so the leader counts from when it answers, which is later. That is safe only if every
answer is counted that can have an effect at the worker. That includes answers to reports that were overtaken
on their way by a later message of the same worker, the answer to a direct command.
"""

from typing import NamedTuple

CLOCK_DRIFT = 0.0005  # largest relative drift between two steady clocks (PROTOCOL)
LEASE_SLACK_S = 0.2


class ReportNumber(NamedTuple):
    """Orders the messages of a worker: the greater one is newer (PROTOCOL, `stint` and `tally`)."""

    session: int
    sequence: int

    @classmethod
    def of(cls, report):
        """The number of a messages.Report."""
        return cls(report.session, report.sequence)

    def __str__(self):
        return f"{self.session}.{self.sequence}"


NO_REPORT_ANSWERED = ReportNumber(0, -1)


class WorkerLease:
    """When a worker's lease was last renewed, as far as its leader can tell.

    `renewed_at`, in seconds of the loop: no answer given so far renews the worker's lease from a later
    moment. `answered`: number of the newest report answered.
    """

    __slots__ = ("answered", "renewed_at")

    def __init__(self, now):
        self.renewed_at = now
        self.answered = NO_REPORT_ANSWERED

    def begin(self, now):
        """Counts from now: the worker was heard in a new session, or for the first time under a token.

        Whatever renewed its lease before, in any controller's answer, was sent before now.
        """
        self.renewed_at = now

    def answer(self, number, now):
        """Counts a report that is about to be answered with 200; returns whether it is the newest so far.

        A copy of an answered report, or an older one, was sent no later than that one and renews nothing.
        """
        if number <= self.answered:
            return False
        self.answered = number
        self.renewed_at = now
        return True

    def ends_at(self, lease_s):
        """When the lease has certainly ended if no further report is answered."""
        return self.renewed_at + lease_s * (1 + 2 * CLOCK_DRIFT) + LEASE_SLACK_S
