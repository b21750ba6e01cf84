"""Quota partitions spread over the controllers: idle ones are handed to whoever leads fewer.

Whoever joins first leads every partition, and one that comes back leads none. A partition is handed on by
its own leader, and only while nothing of it is owned, being created or taken over there: then no
account has to move, and the limits of its teams hold whoever starts the next of their tasks.
From before the compare-and-set until its outcome is known the partition is closing: jobs of it
that are accepted meanwhile have no owner, and the successor's scan finds them.
"""

import math


def surplus(leaders, label, members, idle):
    """{partition: new leader} for idle ones that `label` leads beyond an equal part, to those with fewest.

    `leaders`: the label of each partition's leader.
    """
    most = math.ceil(len(leaders) / max(1, len(members)))
    counts = {member: leaders.count(member) for member in sorted(members)}
    given = {}
    for partition in idle:
        if counts.get(label, 0) <= most:
            break
        fewest = min(counts, key=counts.get)
        if counts[fewest] >= most or fewest == label:
            break
        given[partition] = fewest
        counts[label] -= 1
        counts[fewest] += 1
    return given


class QuotaBalancer:
    """A duty of each controller. `every_s`: how often it looks for idle partitions."""

    def __init__(self, loop, member, job_store, every_s):
        self._loop = loop
        self._member = member
        self._job_store = job_store
        self._every_s = every_s

    async def run(self):
        """The duty. An outcome that is not known is asked for again, under the same revision, until it is."""
        while True:
            await self._loop.sleep(self._every_s)
            if not self._member.joined or self._member.lease_may_have_expired():
                continue
            term = self._member.term
            given = surplus(
                term.quota_leaders, self._member.label, term.members, self._job_store.idle_partitions()
            )
            if given:
                await self._give(term, given)

    async def _give(self, term, given):
        self._job_store.quota.closing = set(given)
        outcome = None
        while outcome is None and self._member.joined and self._member.term is term:
            outcome = await self._member.hand_over_partitions(given)
            if outcome is None:
                await self._loop.sleep(self._every_s / 4)
        self._job_store.quota.closing = set()
        self._job_store.resolve_unowned()
