"""Whether a job that waits has a cancelled ancestor: read, never guessed.

A job with a cancelled ancestor is cancelled, by the ancestor's record, whether or not its own says so
yet. Every cancellation changes the key `c/n` in the same transaction. So what a walk over the ancestors
found stays true as long as the stamp of that key, read before the walk, does: one condition in place of
one an ancestor.
"""

from itertools import islice

from roadhead.state.client import UnavailableError, UnknownOutcomeError

CANCELS = "c/n"
WAITS_SHOWN = 20
READS = 6  # records read one by one, side by side; more of them are read by pages
FACTS_MOST, NAMES_MOST = 20_000, 200_000  # jobs remembered, and names in their lists


class Ancestry:
    """`ended(id)` is the final state of a job known to be over, or None; `learn(id, record)` is told of
    final records met; `find(id)` reads one, wherever it lies: (record or None, stamp); `whole(id, record)`
    completes one that was read from a page; `places`: the prefixes under which they lie, in the order in
    which they move."""

    def __init__(self, loop, state, ended, learn, find, whole, before, closing, places):
        self._loop = loop
        self._state = state
        self._ended = ended
        self._learn = learn
        self._find = find
        self._whole = whole
        self._before = before
        self._closing = closing
        self._places = places
        # id -> (stamp of `c/n` before it was read open, what it waits for, whether it is a service)
        self._facts = {}
        self._names = 0

    async def derive(self, record):
        """(the record as it counts, conditions as long as which that holds) of an open job's record.

        Raises Unavailable or Unsure if a cancelled ancestor can't be excluded.
        """
        if not self._before(record):
            return record, []
        _value, stamp = await self._state.get(CANCELS)
        return await self._walk(record, stamp)

    async def _walk(self, record, stamp):
        """As `derive`; `stamp`: of `c/n`, read before."""
        names = self._before(record)
        seen, todo = set(names), list(names)
        while todo:
            unknown, above = [], []
            for name in todo:
                state = self._ended(name)
                if state == "cancelled":
                    return self._closing(record), []
                if state is None and self._fact(name, stamp) is None:
                    unknown.append(name)
            for name, found in (await self._read(unknown, stamp)).items():
                if found is None:
                    raise UnavailableError(f"no record of {name}")
                if found["s"] == "cancelled":
                    return self._closing(record), []
            for name in todo:
                if self._ended(name) is not None:
                    continue
                fact = self._fact(name, stamp)
                if fact is None:
                    raise UnavailableError("more jobs before it than are remembered")
                for other in fact[1]:
                    if other not in seen:
                        seen.add(other)
                        above.append(other)
            todo = above
        waits = list(islice((name for name in names if self._ended(name) is None), WAITS_SHOWN))
        return {**record, "waits": waits}, [(CANCELS, stamp)]

    def _fact(self, name, stamp):
        """What is remembered of an open job, if it was not cancelled as of that stamp."""
        fact = self._facts.get(name)
        return fact if fact is not None and fact[0] == stamp else None

    def _note(self, name, record, stamp):
        old = self._facts.pop(name, None)
        self._names -= len(old[1]) if old is not None else 0
        above = tuple(self._before(record))
        self._facts[name] = (stamp, above, record["spec"]["shape"] == "daemon")
        self._names += len(above)
        while len(self._facts) > FACTS_MOST or (self._names > NAMES_MOST and len(self._facts) > 1):
            self._names -= len(self._facts.pop(next(iter(self._facts)))[1])

    async def _read(self, names, stamp):
        """{id: its record, None if there is none}. `stamp`: of `c/n`, read before."""
        found = {}
        if len(names) > 2 * READS:
            await self._read_pages(sorted(names), found)
        else:
            for at in range(0, len(names), READS):
                reads = [
                    self._loop.spawn(self._one(name, found), "ancestor") for name in names[at : at + READS]
                ]
                for routine in reads:
                    if (error := await routine.done) is not None:
                        raise error
        for name, record in found.items():
            if record is not None and record["s"] != "open":
                self._learn(name, record)
            elif record is not None:
                self._note(name, record, stamp)
        return found

    async def _one(self, name, found):
        """The error, if it could not be read."""
        try:
            found[name] = (await self._find(name))[0]
        except (UnavailableError, UnknownOutcomeError) as error:
            return error
        return None

    async def _read_pages(self, names, found):
        """Many at once, in order of their ids: each page settles all names up to its end."""
        for place in self._places:
            at, missing = 0, []
            while at < len(names):
                first = names[at]
                after = f"{place}{first[:-1]}{chr(ord(first[-1]) - 1)}~"
                items, more, _revision = await self._state.page(place, after)
                here = {key[len(place) :]: record for key, record, _stamp in items}
                last = items[-1][0][len(place) :] if more else None
                while at < len(names) and (last is None or names[at] <= last):
                    name = names[at]
                    if name in here:
                        found[name] = await self._whole(name, here[name])
                    else:
                        missing.append(name)
                    at += 1
            names = missing
        found.update(dict.fromkeys(names))

    async def admission(self, spec, own):
        """(why a submission that names upstream jobs can never be accepted, or None; whether it is cancelled
        already, with one of them or with one before them).

        `own(id)`: whether whoever submits may know of that job at all. Raises Unavailable or Unsure: what
        is not found because nobody could look is not a fault.
        """
        if spec.id in spec.upstream:
            return f"upstream: {spec.id} names itself", False
        for name in spec.upstream:
            if not own(name):
                return f"upstream: {name} was never accepted", False
        _value, stamp = await self._state.get(CANCELS)
        unknown = [name for name in spec.upstream if self._ended(name) is None and name not in self._facts]
        for name, record in (await self._read(unknown, stamp)).items():
            if record is None:
                return f"upstream: {name} was never accepted", False
        for name in spec.upstream:
            if name in self._facts and self._facts[name][2]:
                return f"upstream: {name} is a service", False
        submitted = {"s": "open", "spec": {"upstream": spec.upstream, "legs": spec.tasks}, "done": []}
        return None, (await self._walk(submitted, stamp))[0]["s"] == "cancelled"
