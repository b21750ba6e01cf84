"""Reads job records for users, in batches: one request to the state service answers many polls.

Every poll is answered from a request that was sent after the poll arrived. Records in the cache are not read
again but compared: one transaction without writes checks the stamps of many of them, and while these hold,
the cached records are current.
"""

from itertools import islice
from typing import NamedTuple

from roadhead.runtime.loop import Future, Timeout
from roadhead.state.client import ConflictError, UnavailableError, UnknownOutcomeError

MAX_BATCHES = 2  # batches served at the same time
PARALLEL_READS = 4  # records of a batch that are read at the same time
MAX_COMPARE_ROUNDS = 3  # comparisons per batch; records not found unchanged by then are read
MAX_CACHED_RECORDS = 5000  # records
BATCHING_BELOW = 0.6  # of the request burst: with less left, polls are held back for a moment to form batches
RESERVED_SHARE = 0.1  # of the request burst, kept for leases and starts: polls wait meanwhile
BATCHING_DELAY = 0.05  # of `patience_s`: how long polls are held back
RETRY_WITHIN = 0.25  # of `patience_s`: a comparison without an answer is repeated only within that time
# Share of `patience_s`: after so long without any answer, polls are refused while one is waiting
FAILING_AFTER = 0.5


class KnownRecord(NamedTuple):
    """A record that was read: `stored` as it stands there, `derived` as it counts.

    `own_conditions` and `derived_conditions` are the (key, stamp) pairs under which each is current.
    """

    stored: dict | None
    own_conditions: tuple
    derived: dict | None
    derived_conditions: tuple

    @property
    def conditions(self):
        """All conditions under which the derived record is current."""
        return self.own_conditions + self.derived_conditions


class RecordReader:
    """A cache of records with many readers.

    `prefixes`: the prefixes under which a record may be stored, in the order in which it moves through them;
    `complete(name, record)` returns the record with its parts that are stored separately; `shorten(record)`
    returns the part of it that is cached; `ancestry`, an Ancestry, derives the state that follows from other
    records that a record depends on, and the conditions under which that holds.
    """

    def __init__(self, loop, state, patience_s, prefixes, complete, shorten, ancestry):
        self._loop = loop
        self._state = state
        self._prefixes = prefixes
        self._patience_s = patience_s
        self._complete = complete
        self._shorten = shorten
        self._ancestry = ancestry
        self._max_conditions = 4 * int(state.limits.txn_ops)  # per transaction
        self._waiting = {}  # name -> [Future]
        self._known = {}  # name -> KnownRecord
        self._existing = {}  # names of records that were read or created lately: an ordered set
        self._active_batches = 0

    def note_existing(self, name):
        """Notes that a record of this name exists. Reads sent earlier and answered later may not find it."""
        self._existing.pop(name, None)
        self._existing[name] = True
        if len(self._existing) > MAX_CACHED_RECORDS:
            del self._existing[next(iter(self._existing))]

    async def read(self, name):
        """Returns the current record of this name, or None if there is none.

        Raises UnavailableError at once if too many polls wait or the state service answers nothing at
        present, and Timeout after `patience_s`.

        Records are only removed with their tenant, so one that was seen to exist is read a second time before
        it is reported missing.
        """
        record = await self._ask(name)
        if record is None and name in self._existing:
            record = await self._ask(name)
        return record

    async def _ask(self, name):
        if len(self._waiting) >= 4 * self._max_conditions and name not in self._waiting:
            raise UnavailableError("busy")
        if self._active_batches and self._state.failing_for_s() > FAILING_AFTER * self._patience_s:
            raise UnavailableError("no answers from the state service")
        future = Future()
        self._waiting.setdefault(name, []).append(future)
        if self._active_batches < MAX_BATCHES:
            self._active_batches += 1
            self._loop.spawn(self._serve_waiting(), "read")
        try:
            return await self._loop.within(self._patience_s, future)
        except Timeout:
            self._withdraw(name, future)
            raise

    def _withdraw(self, name, future):
        """Removes a reader that gave up; the record is not read if no other waits for it."""
        futures = self._waiting.get(name, ())
        if future in futures:
            futures.remove(future)
            if not futures:
                del self._waiting[name]

    async def _serve_waiting(self):
        try:
            while self._waiting:
                if not self._state.requests.spare(RESERVED_SHARE):
                    await self._loop.sleep(self._patience_s * BATCHING_DELAY)
                    continue
                if not self._state.requests.spare(BATCHING_BELOW):
                    # There are more polls than could be read one by one: wait for some to form a batch.
                    await self._loop.sleep(self._patience_s * BATCHING_DELAY)
                batch = dict(islice(self._waiting.items(), self._max_conditions))
                for name in batch:
                    del self._waiting[name]
                await self._serve_batch(batch)
        finally:
            self._active_batches -= 1

    async def _serve_batch(self, batch):
        known, conditions = {}, set()  # a set, as many records depend on the same keys
        for name in batch:
            entry = self._rederived(self._known.get(name))
            if entry is not None and len(conditions.union(entry.conditions)) <= self._max_conditions:
                known[name] = entry
                conditions.update(entry.conditions)
        if len(known) > 1 or any(entry.derived_conditions for entry in known.values()):
            await self._compare(batch, known)
        unanswered = list(batch)
        for at in range(0, len(unanswered), PARALLEL_READS):
            reads = [
                self._loop.spawn(self._read_one(name, batch[name]), "read one")
                for name in unanswered[at : at + PARALLEL_READS]
            ]
            for routine in reads:
                await routine.done

    async def _compare(self, batch, known):
        """Answers those of the batch that are cached and unchanged, and takes them out of the batch."""
        began_at = self._loop.now()
        for _ in range(MAX_COMPARE_ROUNDS):
            sent_at = self._loop.now()
            conditions = list(
                dict.fromkeys(condition for entry in known.values() for condition in entry.conditions)
            )
            try:
                revision = await self._state.check_conditions(conditions)
                self._ancestry.on_unchanged(conditions, revision)
            except ConflictError as conflict:
                await self._drop_changed(known, set(conflict.failed))
                if not known or not conflict.failed:
                    return
                continue
            except (UnavailableError, UnknownOutcomeError) as error:
                is_unsure = isinstance(error, UnknownOutcomeError)
                if is_unsure and self._loop.now() - began_at < self._patience_s * RETRY_WITHIN:
                    continue
                for name in known:
                    self._fail(batch.pop(name), error)
                return
            for name, entry in known.items():
                self._resolve(batch.pop(name), entry.derived, sent_at)
            return

    async def _drop_changed(self, known, failed):
        """Drops known records that changed, and derives anew those of which only what they depend on did."""
        for name, entry in list(known.items()):
            if not failed.isdisjoint(key for key, _stamp in entry.own_conditions):
                del known[name]
        if failed.isdisjoint(key for entry in known.values() for key, _stamp in entry.derived_conditions):
            return
        try:
            await self._ancestry.refresh()
        except (UnavailableError, UnknownOutcomeError):
            known.clear()  # they are read one by one, which tells the cause
            return
        for name, entry in list(known.items()):
            rederived = self._rederived(entry)
            if rederived is None:
                del known[name]
            else:
                known[name] = rederived

    def _rederived(self, entry):
        """Returns a KnownRecord by the cancellations known by now, or None if it must be read."""
        if entry is None or not entry.derived_conditions:
            return entry
        known = self._ancestry.derive_known(entry.stored)
        return known and entry._replace(derived=known[0], derived_conditions=tuple(known[1]))

    async def _read_one(self, name, futures):
        sent_at = self._loop.now()
        conditions, derived, further_conditions = [], None, ()
        try:
            for prefix in self._prefixes:
                record, stamp = await self._state.get(prefix + name)
                conditions.append((prefix + name, stamp))
                if record is not None:
                    self.note_existing(name)
                    del conditions[:-1]
                    record = self._shorten(await self._complete(name, record))
                    derived, further_conditions = await self._ancestry.derive(record)
                    break
        except (UnavailableError, UnknownOutcomeError) as error:
            self._fail(futures, error)
            return
        self._known.pop(name, None)
        self._known[name] = KnownRecord(record, tuple(conditions), derived, tuple(further_conditions))
        if len(self._known) > MAX_CACHED_RECORDS:
            del self._known[next(iter(self._known))]
        self._resolve(futures, derived, sent_at)

    def _resolve(self, futures, record, sent_at):
        if self._loop.now() - sent_at > self._patience_s:
            # The answer lay in the socket while this process was stalled, and may be out of date.
            self._fail(futures, UnavailableError("read too long ago"))
            return
        for future in futures:
            future.set(record)

    @staticmethod
    def _fail(futures, error):
        for future in futures:
            future.fail(error)
