"""How far this controller's knowledge of cancellations reaches, with or without the state service (safety 4).

Each controller writes every cancellation that it knows to each of its links: all that may still matter when
a link comes up, and each new one as it learns of it, before it tells a user and before any later beat. A
link is ordered. So whoever hears a beat knows all that the other side had told anyone when it sent that. No
sockets and no clocks here: times, in seconds of the loop, come in as arguments.
"""

# times `cancel_s` for which a cancellation is passed on: by then nothing of its job is anywhere
CANCELLATION_KEPT_FACTOR = 8
SILENT_HEARTBEATS = 3.5  # a link that is silent for longer is given up: no beat heard is older


class KnownCancellations:
    """Ids of jobs known to be cancelled, for `keep_s` seconds each.

    New ones cost the state service a write each, so that its rates bound them; Node bounds the old ones that
    users ask for.
    """

    def __init__(self, keep_s):
        self._keep_s = keep_s
        self._since = {}  # id -> when it was learned, in that order

    def __len__(self):
        return len(self._since)

    def add_new(self, jobs, now):
        """Those of them that are new here."""
        fresh = [job for job in dict.fromkeys(jobs) if job not in self._since]
        self._since.update(dict.fromkeys(fresh, now))
        return fresh

    def all(self):
        return list(self._since)

    def contains(self, job):
        return job in self._since

    def prune(self, now):
        """Lets go of the old ones."""
        while self._since and now - self._since[next(iter(self._since))] > self._keep_s:
            del self._since[next(iter(self._since))]


class CancellationFreshness:
    """Until when all that users were told is known here. `blind_s`: for how long that may lie back before
    workers must be let go of; `keep_s`: of the other controllers' Cancellations."""

    def __init__(self, blind_s, keep_s):
        self._blind_s = blind_s
        self._most_s = keep_s / 2  # by another clock, and told a while ago: well within it
        self.known_at = -1e9

    def refresh(self, watched_at, heard_at):
        """`watched_at`: when the newest watch that was answered was sent; `heard_at`: by then all other
        controllers had spoken, and none is out of reach; None if that can't be said.

        To be called at least every beat: hearing continues what was known, and after a silence longer than
        cancellations are passed on for, it proves nothing.
        """
        self.known_at = max(self.known_at, watched_at)
        if heard_at is not None and heard_at - self.known_at < self._most_s:
            self.known_at = max(self.known_at, heard_at)

    def is_within_staleness_bound(self, now):
        """Whether workers may be renewed and commanded."""
        return now - self.known_at < self._blind_s
