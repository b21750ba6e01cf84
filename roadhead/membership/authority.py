"""What this controller may do: whether it may command workers, and which leases have certainly ended.

Both depend on how recent its knowledge is of cancellations told to users and of the term in force. It learns
them from the state service, or from all other controllers while that does not answer (safety 4 in
docs/design.md).
"""

from roadhead.membership.cancellation_freshness import (
    CANCELLATION_KEPT_FACTOR,
    SILENT_HEARTBEATS,
    CancellationFreshness,
)

OUT_OF_TOUCH_RATIO = 0.8  # of the time that `cancel_s` leaves beside a worker's lease


class Authority:
    """Tells whether this controller may act on its machines.

    `others`: labels of all other configured controllers; `workers`: the settings' times for workers, in
    seconds; `heartbeat_s`: seconds between two heartbeats of a link.
    """

    def __init__(self, loop, member, peers, others, workers, heartbeat_s):
        self._loop = loop
        self._member = member
        self._peers = peers
        self._others = others
        self._heartbeat_s = heartbeat_s
        self._freshness = CancellationFreshness(
            max_staleness_s(workers), CANCELLATION_KEPT_FACTOR * workers.cancel_s
        )

    def can_renew_leases(self):
        """Whether workers' leases may be renewed and workers commanded.

        A controller that can learn of cancellations neither from the state service nor from every other
        controller must release its machines in time (safety 4).
        """
        self._freshness.refresh(self._member.watched_at, self.all_peers_heard_at())
        return self._freshness.is_within_staleness_bound(self._loop.now())

    def term_confirmed_at(self):
        """Until when no other controller can have renewed the leases of machines led here.

        The term known here was in force until then, by the state service or by all controllers that could
        have changed it.
        """
        heard_at = self.all_peers_heard_at()
        return self._member.term_at if heard_at is None else max(self._member.term_at, heard_at)

    def all_peers_heard_at(self):
        """A time after which each other controller sent a heartbeat that was heard; None if one is not heard.

        That means all configured controllers, not only the members of the term known here: a controller that
        this term does not name may have joined since and taken over what is led here. Of such a one it must
        be heard that it is no member.
        """
        heard_at = self._loop.now()
        for label in self._others:
            link = self._peers.links.get(label)
            if link is None or link.incarnation != self._member.term.incarnation(label):
                link = self._peers.non_member_links.get(label)
            if link is None:
                return None
            heard_at = min(heard_at, link.last_heartbeat_at)
        return heard_at - SILENT_HEARTBEATS * self._heartbeat_s


def max_staleness_s(workers):
    """Seconds that a controller out of touch may go on; its workers' leases then end within `cancel_s`."""
    return OUT_OF_TOUCH_RATIO * (workers.cancel_s - workers.lease_s)
