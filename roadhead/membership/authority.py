"""By what this controller may act: until when all that users were told, and the term in force, are known.

Both rest on the state service, or on all other controllers while that does not answer (safety 4 in
docs/design.md).
"""

from roadhead.membership.cancellation_freshness import (
    CANCELLATION_KEPT_FACTOR,
    SILENT_HEARTBEATS,
    CancellationFreshness,
)

BLIND_PART = 0.8  # of what `cancel_s` leaves beside a worker's lease


class Authority:
    """`others`: labels of all other configured controllers; `workers`: the settings' times for them, in
    seconds; `heartbeat_s`: between two heartbeats of a link."""

    def __init__(self, loop, member, peers, others, workers, heartbeat_s):
        self._loop = loop
        self._member = member
        self._peers = peers
        self._others = others
        self._heartbeat_s = heartbeat_s
        self._touch = CancellationFreshness(
            max_staleness_s(workers), CANCELLATION_KEPT_FACTOR * workers.cancel_s
        )

    def can_renew_leases(self):
        """Whether workers' leases may be renewed, and workers commanded.

        A controller that can learn neither from the state service nor from every other one that a job was
        cancelled must let go of its machines in time (safety 4).
        """
        self._touch.refresh(self._member.watched_at, self.all_peers_heard_at())
        return self._touch.is_within_staleness_bound(self._loop.now())

    def term_confirmed_at(self):
        """Until then no other controller can have renewed the workers of machines homed here: the term known
        here was the one in force, by the state service or by all who could have changed it."""
        heard_at = self.all_peers_heard_at()
        return self._member.term_at if heard_at is None else max(self._member.term_at, heard_at)

    def all_peers_heard_at(self):
        """By then all other controllers had sent the last beat heard of them; None if one can't be heard.

        All that are configured, not those of the term known here: one that it does not name may have
        joined since without our knowing, and taken what is ours. Of such a one it must be heard that it is
        no member.
        """
        heard_at = self._loop.now()
        for label in self._others:
            link = self._peers.links.get(label)
            if link is None or link.incarnation != self._member.term.incarnation(label):
                link = self._peers.outside.get(label)
            if link is None:
                return None
            heard_at = min(heard_at, link.last_heartbeat_at)
        return heard_at - SILENT_HEARTBEATS * self._heartbeat_s


def max_staleness_s(workers):
    """For how long a controller out of touch may go on: its workers' leases end before `cancel_s` is up."""
    return BLIND_PART * (workers.cancel_s - workers.lease_s)
