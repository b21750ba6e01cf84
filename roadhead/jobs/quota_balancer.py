"""Spreads the quota partitions over the controllers: idle ones go to those that lead fewer.

The first controller to join leads every partition, and one that rejoins leads none. Only a partition's own
leader hands it over, and only while it has no jobs that are owned, being created or being taken over there.
So no account has to move, and the limits of the partition's teams hold whichever controller starts their next
task. From before the compare-and-set until its outcome is known, the partition is closing: jobs of it that
are accepted meanwhile have no owner, and the successor's scan finds them.
"""

import math


def surplus(leaders, label, members, idle):
    """Returns {partition: new leader} for idle partitions that `label` leads beyond an equal share.

    They go to the members that lead the fewest. `leaders` names each partition's leader.
    """
    equal_share = math.ceil(len(leaders) / max(1, len(members)))
    partitions_led = {member: leaders.count(member) for member in sorted(members)}
    handovers = {}
    for partition in idle:
        if partitions_led.get(label, 0) <= equal_share:
            break
        fewest = min(partitions_led, key=partitions_led.get)
        if partitions_led[fewest] >= equal_share or fewest == label:
            break
        handovers[partition] = fewest
        partitions_led[label] -= 1
        partitions_led[fewest] += 1
    return handovers


class QuotaBalancer:
    """Duty of each controller that hands over idle partitions; it looks for them every `every_s` seconds."""

    def __init__(self, loop, member, job_store, every_s):
        self._loop = loop
        self._member = member
        self._job_store = job_store
        self._every_s = every_s

    async def run(self):
        """Runs the duty. A handover whose outcome is unknown is sent again under the same revision."""
        while True:
            await self._loop.sleep(self._every_s)
            if not self._member.joined or self._member.lease_may_have_expired():
                continue
            term = self._member.term
            handovers = surplus(
                term.quota_leaders, self._member.label, term.members, self._job_store.idle_partitions()
            )
            if handovers:
                await self._give(term, handovers)

    async def _give(self, term, handovers):
        self._job_store.quota.closing = set(handovers)
        outcome = None
        while outcome is None and self._member.joined and self._member.term is term:
            outcome = await self._member.hand_over_partitions(handovers)
            if outcome is None:
                await self._loop.sleep(self._every_s / 4)
        self._job_store.quota.closing = set()
        self._job_store.resolve_unowned()
