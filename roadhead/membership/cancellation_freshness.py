"""How far this controller's knowledge of cancellations reaches, with or without the state service (safety 4).

Each controller writes every cancellation that it knows to each of its links: all that may still matter when
a link comes up, and each new one as it learns of it, before it tells a user and before any later heartbeat.
A link keeps the order. So whoever hears a heartbeat knows all that its sender had told anyone when it sent
it. No sockets and no clocks here: times, in seconds of the loop, come in as arguments.
"""

# times `cancel_s` for which a cancellation is passed on: none of the job's tasks can run by then
CANCELLATION_KEPT_FACTOR = 8
SILENT_HEARTBEATS = (
    3.5  # heartbeat intervals after which a silent link is closed, so no heartbeat is delayed longer
)


class KnownCancellations:
    """Ids of jobs known to be cancelled, for `keep_s` seconds each.

    New ones cost a write to the state service each, so its rate limits bound them. Node bounds the old ones
    that users ask for.
    """

    def __init__(self, keep_s):
        self._keep_s = keep_s
        self._since = {}  # id -> when it was learned, in that order

    def __len__(self):
        return len(self._since)

    def add_new(self, jobs, now):
        """Adds jobs, and returns those that were not known."""
        fresh = [job for job in dict.fromkeys(jobs) if job not in self._since]
        self._since.update(dict.fromkeys(fresh, now))
        return fresh

    def all(self):
        """All ids, oldest first."""
        return list(self._since)

    def contains(self, job):
        """Whether the job is known to be cancelled."""
        return job in self._since

    def prune(self, now):
        """Forgets ids known for longer than `keep_s`."""
        while self._since and now - self._since[next(iter(self._since))] > self._keep_s:
            del self._since[next(iter(self._since))]


class CancellationFreshness:
    """Until when all cancellations that users were told of are known here.

    `max_staleness_s`: how old that knowledge may be before workers must be released; `keep_s`: for how long
    the other controllers keep their KnownCancellations.
    """

    def __init__(self, max_staleness_s, keep_s):
        self._max_staleness_s = max_staleness_s
        # Half of it, as the others count it by their own clocks and from earlier moments.
        self._max_gap_s = keep_s / 2
        self.known_at = -1e9

    def refresh(self, watched_at, heard_at):
        """Updates the knowledge; must be called at least once per heartbeat.

        `watched_at`: when the newest answered watch was sent. `heard_at`: a time after which every other
        controller sent a heartbeat that was heard, None if one of them is out of reach. Hearing only
        continues what was known: after a silence longer than cancellations are passed on for, it proves
        nothing.
        """
        self.known_at = max(self.known_at, watched_at)
        if heard_at is not None and heard_at - self.known_at < self._max_gap_s:
            self.known_at = max(self.known_at, heard_at)

    def is_within_staleness_bound(self, now):
        """Whether the knowledge is recent enough to renew leases and command workers."""
        return now - self.known_at < self._max_staleness_s
