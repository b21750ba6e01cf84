"""When a home gives shares away: a step with a beat, as long as all is well."""

import logging

from roadhead.shards.balance import plan_moves

log = logging.getLogger("roadhead.shares")

KEPT_MOST = 20  # changes remembered for whoever asks


class ShardBalancer:
    """`settle_s`: who joined is given nothing before. `links()`: {label: its link}."""

    def __init__(self, loop, label, member, settle_s, links, counters):
        self._loop = loop
        self._label = label
        self._member = member
        self._settle_s = settle_s
        self._links = links
        self._count = counters.add
        self._since = {}  # label -> (incarnation, when it was first seen in a term)
        self._moving = False
        # (when, term, shares moved, from whom, to whom, whether the giver serves on), the latest last
        self.changes = []

    def on_term(self, old, new):
        now = self._loop.now()
        self._since = {
            label: (
                entry[0],
                self._since[label][1] if label in self._since and self._since[label][0] == entry[0] else now,
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
            log.info("term %d: %d shares from %s to %s", new.number, len(shards), giver, taker)
            self._count("shares_moved", len(shards))
            planned = new.incarnation(giver) is not None and giver in new.leaders
            self.changes.append((now, new.number, len(shards), giver, taker, planned))
        del self.changes[:-KEPT_MOST]

    def tick(self, home):
        """With each beat."""
        member, term = self._member, self._member.term
        if member.lease_may_have_expired():
            return
        if not self._moving and home.reconciliation.is_idle():
            moves = plan_moves(term.shard_map, self._label, self._takers(term), home.machines_by_shard())
            if moves:
                self._moving = True
                self._loop.spawn(self._move(moves), "move shares")

    async def _move(self, moves):
        try:
            await self._member.move(moves)
        finally:
            self._moving = False

    def _takers(self, term):
        """Other homes that are heard, hear their workers, and have stayed for a while."""
        now, links = self._loop.now(), self._links()
        return [
            label
            for label in sorted(term.leaders)
            if label != self._label
            and label in links
            and not links[label].workers_silent
            and links[label].state_ok
            and now - self._since[label][1] >= self._settle_s
        ]
