"""A tenant goes: what follows its record's state `removing`, step by step, by any survivor.

Admission ended with the compare-and-set that made it so, since each creation holds only under the
record's stamp. What is left to do is read from the state service each time anew, so that whoever
takes over needs to be told nothing:

1. every open job is cancelled, many in one transaction;
2. once `cancel_s` has passed since none was open, none of its tasks is on a machine;
3. its records go, in bounded pieces;
4. the tombstone takes the record's place.
"""

import logging

from roadhead.jobs.job import ARCHIVE, FINAL, KEY, cancelled_record
from roadhead.membership.member import CANCEL
from roadhead.pipelines.ancestry import CANCELS
from roadhead.runtime.loop import Signal
from roadhead.shards.hashing import rendezvous_choice
from roadhead.state.client import ConflictError, UnavailableError, UnknownOutcomeError
from roadhead.tenants import ids
from roadhead.tenants.records import REMOVING, tenant_key, transition

log = logging.getLogger("roadhead.removal")

WRITES_PART = 0.5  # of a controller's writes a second that removals take at the most
SPARE = 0.5  # of the burst of writes must be left
MARGIN = 1.2  # of `cancel_s`, for clocks and for what was told last


class Removal:
    def __init__(self, loop, node, table):
        self._loop = loop
        self._node = node
        self._state = node.state
        self._table = table
        self._cancel_s = node.settings.deployment.workers.cancel_s
        # Of a transaction; a cancellation takes two writes.
        self._most = max(1, (self._state.batch - 1) // 2)
        self._wake = Signal()
        # Tenants that are to go, whoever carries it out.
        self._going = {number for number, entry in table.entries.items() if entry.tenant.state == REMOVING}
        self._quiet_since = {}  # tenant's number -> since when none of its jobs was open

    def note(self, tenant):
        """A tenant's record changed."""
        if tenant.state == REMOVING:
            self._going.add(tenant.number)
            self._wake.set()
        else:
            self._going.discard(tenant.number)

    def wake(self):
        """The members changed: somebody else's removal may be ours now."""
        self._wake.set()

    def _mine(self):
        member = self._node.member
        return [
            number
            for number in sorted(self._going)
            if rendezvous_choice(member.term.members, f"removal {number}") == member.label
        ]

    async def run(self):
        """The duty: one piece of each removal that falls to this controller, again and again."""
        writes = self._state.writes
        while True:
            mine = self._mine() if self._node.member.joined else []
            if not mine:
                await self._wake.wait(self._loop, self._cancel_s)
                continue
            for number in mine:
                entry = self._table.entry(number)
                spent = 0
                try:
                    spent = await self._piece(entry)
                except (UnavailableError, UnknownOutcomeError) as error:
                    log.debug("removal of tenant %d: %r", number, error)
                except ConflictError:
                    await self._read(number)
                await self._loop.sleep(max(0.25, spent / (WRITES_PART * writes.rate)))

    async def _read(self, number):
        try:
            record, stamp = await self._state.get(tenant_key(number))
        except (UnavailableError, UnknownOutcomeError):
            return
        if record is not None:
            self._table.take(tenant_key(number), record, stamp)

    async def _piece(self, entry):
        """Takes one step further; returns the writes that it took."""
        tenant = entry.tenant
        still_open = await self._some(KEY, tenant.number, lambda record: record["s"] not in FINAL)
        if still_open:
            self._quiet_since.pop(tenant.number, None)
            return await self._cancel(entry, still_open)
        since = self._quiet_since.setdefault(tenant.number, self._loop.now())
        if self._loop.now() - since < MARGIN * self._cancel_s:
            return 0
        for place in (KEY, ARCHIVE, CANCEL):
            items = await self._some(place, tenant.number, lambda record: True)
            if items:
                return await self._drop(entry, items)
        return await self._bury(entry)

    async def _some(self, place, number, wanted):
        """Items of the tenant's jobs under a prefix, of the first page that has any wanted."""
        after, more = "", True
        while more:
            items, more, _revision = await self._state.page(place + ids.prefix(number), after)
            # Ids of another length are not a tenant's: they were there before there were tenants.
            found = [
                item for item in items if wanted(item[1]) and ids.from_job(item[0][len(place) :]) is not None
            ]
            if found:
                return found
            after = items[-1][0] if items else after
        return []

    async def _cancel(self, entry, items):
        """As a user's cancellation, many at once; what changed meanwhile is read again."""
        items = items[: self._most]
        writes = []
        for key, record, _stamp in items:
            job_id = key[len(KEY) :]
            writes += [{"put": key, "data": cancelled_record(record)}, {"put": CANCEL + job_id, "data": True}]
        writes.append({"put": CANCELS, "data": job_id})
        try:
            await self._state.multi([(key, stamp) for key, _record, stamp in items], writes)
        except ConflictError:
            return len(writes)  # progress was written meanwhile
        jobs = [key[len(KEY) :] for key, _record, _stamp in items]
        for job_id in jobs:
            self._node.job_store.cancelled(job_id)
        self._node.announce_cancelled(jobs)
        self._node.counters.add("jobs_removed", len(jobs))
        return len(writes)

    async def _drop(self, entry, items):
        if not self._state.writes.spare(SPARE):
            return 0
        items = items[: self._most]
        # Only while the tenant is being removed, by the record itself: never on hearsay.
        await self._state.multi(
            [(tenant_key(entry.tenant.number), entry.stamp), *((key, stamp) for key, _, stamp in items)],
            [{"drop": key} for key, _record, _stamp in items],
        )
        return len(items)

    async def _bury(self, entry):
        tenant = transition(entry.tenant, "bury")
        revision = await self._state.multi(
            [(tenant_key(tenant.number), entry.stamp)],
            [{"put": tenant_key(tenant.number), "data": tenant.to_record()}],
        )
        self._table.take(tenant_key(tenant.number), tenant.to_record(), revision)
        self._quiet_since.pop(tenant.number, None)
        log.info("tenant %d is gone", tenant.number)
        return 1
