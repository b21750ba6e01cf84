"""Tenants' wardens spread over the controllers: slots without work are handed to whoever has fewer.

Whoever joins first holds every slot, and one that comes back holds none. A slot is handed on by
its own warden, and only while nothing of it is owned, being created or taken over there: then no
account has to move, and the limits of its tenants hold whoever starts the next of their tasks.
From before the compare-and-set until its outcome is known the slot is closing: jobs of it
that are accepted meanwhile have no owner, and the heir's scan finds them.
"""

import logging
import math

log = logging.getLogger("roadhead.spreading")


def surplus(wardens, label, members, idle):
    """{slot: new warden} for idle slots that `label` holds beyond an equal part, to those with fewest."""
    most = math.ceil(len(wardens) / max(1, len(members)))
    counts = {member: wardens.count(member) for member in sorted(members)}
    given = {}
    for slot in idle:
        if counts.get(label, 0) <= most:
            break
        fewest = min(counts, key=counts.get)
        if counts[fewest] >= most or fewest == label:
            break
        given[slot] = fewest
        counts[label] -= 1
        counts[fewest] += 1
    return given


class Spreading:
    def __init__(self, loop, member, book, every_s):
        self._loop = loop
        self._member = member
        self._book = book
        self._every_s = every_s

    async def run(self):
        """The duty. An outcome that is not known is asked for again, under the same revision, until it is."""
        while True:
            await self._loop.sleep(self._every_s)
            if not self._member.joined or self._member.lapsed():
                continue
            term = self._member.term
            given = surplus(term.wardens, self._member.label, term.members, self._book.idle_partitions())
            if not given:
                continue
            self._book.quota.closing = set(given)
            outcome = None
            while outcome is None and self._member.joined and self._member.term is term:
                outcome = await self._member.give(given)
                if outcome is None:
                    await self._loop.sleep(self._every_s / 4)
            self._book.quota.closing = set()
            self._book.reconsider()
