"""Removes a tenant whose record is in state `removing`, step by step; any controller can continue.

No job can be created any more: each creation requires the unchanged stamp of the tenant's record, which the
change to `removing` replaced. Every step reads what is left to do from the state service, so a controller
that takes over needs no other information:

1. every open job is cancelled, many in one transaction;
2. once no job has been open for `cancel_s`, none of the tenant's tasks is on a machine;
3. its records are deleted in bounded batches;
4. a tombstone replaces the tenant's record.
"""

import logging

from roadhead.jobs.job import ARCHIVE, FINAL, RECORD_PREFIX, cancelled_record
from roadhead.membership.member import CANCEL
from roadhead.pipelines.cancellation_history import CANCELLATION_COUNTER
from roadhead.runtime.loop import Signal
from roadhead.shards.hashing import rendezvous_choice
from roadhead.state.client import ConflictError, UnavailableError, UnknownOutcomeError
from roadhead.tenants import ids
from roadhead.tenants.records import REMOVING, tenant_key, transition

log = logging.getLogger("roadhead.removal")

WRITES_FRACTION = 0.5  # largest fraction of a controller's write rate for removals
SPARE_BURST_FRACTION = 0.5  # fraction of the write burst that must be left after deletes
CANCEL_MARGIN = 1.2  # factor on `cancel_s`, for clock drift and for cancellations announced last


class Removal:
    """Carries out the removals that fall to this controller."""

    def __init__(self, loop, node, table):
        self._loop = loop
        self._node = node
        self._state = node.state
        self._table = table
        self._cancel_s = node.settings.deployment.workers.cancel_s
        # Largest number of jobs in a transaction; a cancellation takes two writes.
        self._max_jobs = max(1, (self._state.batch - 1) // 2)
        self._wake = Signal()
        # Tenants to remove, by any controller.
        self._to_remove = {
            number for number, entry in table.entries.items() if entry.tenant.state == REMOVING
        }
        self._quiet_since = {}  # tenant's number -> time since which none of its jobs has been open

    def note(self, tenant):
        """A tenant's record changed."""
        if tenant.state == REMOVING:
            self._to_remove.add(tenant.number)
            self._wake.set()
        else:
            self._to_remove.discard(tenant.number)

    def wake(self):
        """The members changed, so other removals may fall to this controller."""
        self._wake.set()

    def _assigned(self):
        """Returns the tenants whose removal falls to this controller, by hash over the members."""
        member = self._node.member
        return [
            number
            for number in sorted(self._to_remove)
            if rendezvous_choice(member.term.members, f"removal {number}") == member.label
        ]

    async def run(self):
        """Periodic duty: repeatedly does one step of each removal that falls to this controller."""
        writes = self._state.writes
        while True:
            assigned = self._assigned() if self._node.member.joined else []
            if not assigned:
                await self._wake.wait(self._loop, self._cancel_s)
                continue
            for number in assigned:
                entry = self._table.entry(number)
                spent = 0
                try:
                    spent = await self._step(entry)
                except (UnavailableError, UnknownOutcomeError) as error:
                    log.debug("removal of tenant %d: %r", number, error)
                except ConflictError:
                    await self._read(number)
                await self._loop.sleep(max(0.25, spent / (WRITES_FRACTION * writes.rate)))

    async def _read(self, number):
        """Refreshes the tenant's record in the table."""
        try:
            record, stamp = await self._state.get(tenant_key(number))
        except (UnavailableError, UnknownOutcomeError):
            return
        if record is not None:
            self._table.take(tenant_key(number), record, stamp)

    async def _step(self, entry):
        """Does one step of a removal. Returns the number of writes it took."""
        tenant = entry.tenant
        still_open = await self._find_items(
            RECORD_PREFIX, tenant.number, lambda record: record["s"] not in FINAL
        )
        if still_open:
            self._quiet_since.pop(tenant.number, None)
            return await self._cancel(entry, still_open)
        since = self._quiet_since.setdefault(tenant.number, self._loop.now())
        if self._loop.now() - since < CANCEL_MARGIN * self._cancel_s:
            return 0
        for place in (RECORD_PREFIX, ARCHIVE, CANCEL):
            items = await self._find_items(place, tenant.number, lambda record: True)
            if items:
                return await self._drop(entry, items)
        return await self._bury(entry)

    async def _find_items(self, place, number, wanted):
        """Returns matching items of the tenant's jobs under a prefix, from the first page that has any."""
        after, more = "", True
        while more:
            items, more, _revision = await self._state.page(place + ids.prefix(number), after)
            # Ids of another length belong to no tenant: they date from before the deployment had tenants.
            found = [
                item for item in items if wanted(item[1]) and ids.from_job(item[0][len(place) :]) is not None
            ]
            if found:
                return found
            after = items[-1][0] if items else after
        return []

    async def _cancel(self, entry, items):
        """Cancels jobs as users do, many in one transaction.

        Records that changed meanwhile are read again in a later step.
        """
        items = items[: self._max_jobs]
        writes = []
        for key, record, _stamp in items:
            job_id = key[len(RECORD_PREFIX) :]
            writes += [{"put": key, "data": cancelled_record(record)}, {"put": CANCEL + job_id, "data": True}]
        writes.append({"put": CANCELLATION_COUNTER, "data": job_id})
        try:
            await self._state.multi([(key, stamp) for key, _record, stamp in items], writes)
        except ConflictError:
            return len(writes)  # a job's owner wrote progress meanwhile
        jobs = [key[len(RECORD_PREFIX) :] for key, _record, _stamp in items]
        for job_id in jobs:
            self._node.job_store.cancelled(job_id)
        self._node.announce_cancelled(jobs)
        self._node.counters.add("jobs_removed", len(jobs))
        return len(writes)

    async def _drop(self, entry, items):
        """Deletes records, while the state service confirms that the tenant is being removed."""
        if not self._state.writes.spare(SPARE_BURST_FRACTION):
            return 0
        items = items[: self._max_jobs]
        # The condition on the tenant's record proves the state `removing`; the local table may be outdated.
        await self._state.multi(
            [(tenant_key(entry.tenant.number), entry.stamp), *((key, stamp) for key, _, stamp in items)],
            [{"drop": key} for key, _record, _stamp in items],
        )
        return len(items)

    async def _bury(self, entry):
        """Replaces the tenant's record by a tombstone."""
        tenant = transition(entry.tenant, "bury")
        revision = await self._state.multi(
            [(tenant_key(tenant.number), entry.stamp)],
            [{"put": tenant_key(tenant.number), "data": tenant.to_record()}],
        )
        self._table.take(tenant_key(tenant.number), tenant.to_record(), revision)
        self._quiet_since.pop(tenant.number, None)
        log.info("tenant %d removed", tenant.number)
        return 1
