"""Evens out the shards: gives some away, one step per heartbeat, while all is well."""

import logging

from roadhead.shards.balance import plan_moves

log = logging.getLogger("roadhead.shares")

MAX_CHANGES_KEPT = 20  # changes of the map kept for operators


class ShardBalancer:
    """Balances the shards of this controller with those of the other leaders.

    `settle_s`: for so long a member that joined is given nothing; `links()`: {label: its Link}.
    """

    def __init__(self, loop, label, member, settle_s, links, counters):
        self._loop = loop
        self._label = label
        self._member = member
        self._settle_s = settle_s
        self._links = links
        self._count = counters.add
        self._first_seen = {}  # label -> (incarnation, when it was first seen in a term)
        self._move_pending = False
        # (when, term, number of shards, giver, taker, whether the giver may still lead shards), newest last
        self.changes = []

    def on_term(self, old, new):
        """Notes new members, and the shards that moved with the term."""
        now = self._loop.now()
        self._first_seen = {
            label: (
                entry[0],
                self._first_seen[label][1]
                if label in self._first_seen and self._first_seen[label][0] == entry[0]
                else now,
            )
            for label, entry in new.members.items()
        }
        if old is None:
            return
        moved = {}
        for shard, (giver, taker) in enumerate(
            zip(old.shard_map.leaders, new.shard_map.leaders, strict=True)
        ):
            if giver != taker:
                moved.setdefault((giver, taker), []).append(shard)
        for (giver, taker), shards in moved.items():
            log.info("term %d: %d shards moved from %s to %s", new.number, len(shards), giver, taker)
            self._count("shares_moved", len(shards))
            planned = new.incarnation(giver) is not None and giver in new.leaders
            self.changes.append((now, new.number, len(shards), giver, taker, planned))
        del self.changes[:-MAX_CHANGES_KEPT]

    def tick(self, leader):
        """Gives shards away if there are too many here; called with each heartbeat."""
        member, term = self._member, self._member.term
        if member.lease_may_have_expired():
            return
        if not self._move_pending and leader.reconciliation.is_idle():
            moves = plan_moves(term.shard_map, self._label, self._takers(term), leader.machines_by_shard())
            if moves:
                self._move_pending = True
                self._loop.spawn(self._move(moves), "move shares")

    async def _move(self, moves):
        try:
            await self._member.move(moves)
        finally:
            self._move_pending = False

    def _takers(self, term):
        """Labels of leaders that may be given shards: heard, hearing their workers, and settled."""
        now, links = self._loop.now(), self._links()
        return [
            label
            for label in sorted(term.leaders)
            if label != self._label
            and label in links
            and not links[label].workers_silent
            and links[label].state_ok
            and now - self._first_seen[label][1] >= self._settle_s
        ]
