"""Records read for users: one request answers many polls.

Every poll is answered from what a request sent after it came has shown. Records seen before
are not read again but compared, many in one transaction that only has conditions: as long as
their stamps hold, what was read then is still true.
"""

from itertools import islice

from roadhead.runtime.loop import Future, Timeout
from roadhead.state.client import ConflictError, UnavailableError, UnknownOutcomeError

LANES = 2  # batches under way at once
READS = 4  # records read side by side in a batch
ROUNDS = 3  # of comparing what did not change; the rest is read
KEPT_MOST = 5000
AMPLE = 0.6  # of the burst of requests: with less left, polls are gathered
RESERVED = 0.1  # of the burst of requests is left to leases and starts: polls wait meanwhile
GATHER = 0.05  # of the patience
TRY_AGAIN = 0.25  # of the patience: a comparison whose answer was lost before that is sent again
FAILING = 0.5  # of the patience: once nothing was answered for longer, one poll at a time waits


class RecordReader:
    """`whole(name, record)`: the record with what is stored apart from it; `derive(record)`: (the record as
    it counts with others that it depends on, conditions as long as which that holds)."""

    def __init__(self, loop, state, patience_s, places, whole, shorten, derive):
        self._loop = loop
        self._state = state
        self._places = places  # prefixes under which a record may lie; it only moves onwards
        self._patience_s = patience_s
        self._whole = whole
        self._shorten = shorten  # record -> what of it is kept
        self._derive = derive
        self._most = 4 * int(state.limits.txn_ops)  # conditions of a transaction
        self._waiting = {}  # name -> [Future]
        self._known = {}  # name -> (record, conditions under which it is still what was read)
        self._existing = {}  # names of which a record was read or made lately, in order as a set
        self._lanes = 0

    def note_existing(self, name):
        """A record of that name stands. Reads sent before, and answered later, may not find it."""
        self._existing.pop(name, None)
        self._existing[name] = True
        if len(self._existing) > KEPT_MOST:
            del self._existing[next(iter(self._existing))]

    async def read(self, name):
        """The record of that name as it is now, or None. Raises Unavailable at once if too many wait, or
        if nothing is answered at present; Timeout once the patience is over.

        Records vanish with their tenant alone, so one that was seen to exist is looked for once more before
        it is called missing.
        """
        record = await self._ask(name)
        if record is None and name in self._existing:
            record = await self._ask(name)
        return record

    async def _ask(self, name):
        if len(self._waiting) >= 4 * self._most and name not in self._waiting:
            raise UnavailableError("busy")
        if self._lanes and self._state.failing_for_s() > FAILING * self._patience_s:
            raise UnavailableError("no answers from the state service")
        future = Future()
        self._waiting.setdefault(name, []).append(future)
        if self._lanes < LANES:
            self._lanes += 1
            self._loop.spawn(self._lane(), "read")
        try:
            return await self._loop.within(self._patience_s, future)
        except Timeout:
            self._withdraw(name, future)
            raise

    def _withdraw(self, name, future):
        """Whoever asked has gone: nothing is read for him alone."""
        futures = self._waiting.get(name, ())
        if future in futures:
            futures.remove(future)
            if not futures:
                del self._waiting[name]

    async def _lane(self):
        try:
            while self._waiting:
                if not self._state.requests.spare(RESERVED):
                    await self._loop.sleep(self._patience_s * GATHER)
                    continue
                if not self._state.requests.spare(AMPLE):
                    # More is asked than could be read one by one: let a few come together.
                    await self._loop.sleep(self._patience_s * GATHER)
                batch = dict(islice(self._waiting.items(), self._most))
                for name in batch:
                    del self._waiting[name]
                await self._serve(batch)
        finally:
            self._lanes -= 1

    async def _serve(self, batch):
        known, conditions = {}, set()  # many depend on the same keys
        for name in batch:
            entry = self._known.get(name)
            if entry is not None and len(conditions.union(entry[1])) <= self._most:
                known[name] = entry
                conditions.update(entry[1])
        if len(known) > 1:
            await self._compare(batch, known)
        left = list(batch)
        for at in range(0, len(left), READS):
            reads = [
                self._loop.spawn(self._read(name, batch[name]), "read one") for name in left[at : at + READS]
            ]
            for routine in reads:
                await routine.done

    async def _compare(self, batch, known):
        """Answers, and takes out of the batch, what has not changed since it was read."""
        began_at = self._loop.now()
        for _ in range(ROUNDS):
            sent_at = self._loop.now()
            try:
                await self._state.check_conditions(
                    list(
                        dict.fromkeys(
                            condition for _, conditions in known.values() for condition in conditions
                        )
                    )
                )
            except ConflictError as conflict:
                failed = set(conflict.failed)
                for name, (_, conditions) in list(known.items()):
                    if not failed.isdisjoint(key for key, _stamp in conditions):
                        del known[name]
                if not known or not conflict.failed:
                    return
                continue
            except (UnavailableError, UnknownOutcomeError) as error:
                lost = isinstance(error, UnknownOutcomeError)
                if lost and self._loop.now() - began_at < self._patience_s * TRY_AGAIN:
                    continue
                for name in known:
                    self._fail(batch.pop(name), error)
                return
            for name, (record, _conditions) in known.items():
                self._answer(batch.pop(name), record, sent_at)
            return

    async def _read(self, name, futures):
        sent_at = self._loop.now()
        conditions = []
        try:
            for place in self._places:
                record, stamp = await self._state.get(place + name)
                conditions.append((place + name, stamp))
                if record is not None:
                    self.note_existing(name)
                    del conditions[:-1]
                    record, more = await self._derive(self._shorten(await self._whole(name, record)))
                    conditions += more
                    break
        except (UnavailableError, UnknownOutcomeError) as error:
            self._fail(futures, error)
            return
        self._known.pop(name, None)
        self._known[name] = (record, conditions)
        if len(self._known) > KEPT_MOST:
            del self._known[next(iter(self._known))]
        self._answer(futures, record, sent_at)

    def _answer(self, futures, record, sent_at):
        if self._loop.now() - sent_at > self._patience_s:
            # It lay in the socket while this process stood still: it may be out of date.
            self._fail(futures, UnavailableError("read too long ago"))
            return
        for future in futures:
            future.set(record)

    @staticmethod
    def _fail(futures, error):
        for future in futures:
            future.fail(error)
