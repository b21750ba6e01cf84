"""Decides from the stored records whether a waiting job has a cancelled ancestor.

A job with a cancelled ancestor is cancelled, by the ancestor's record, whether or not its own record says so
yet. Every cancellation changes the key `c/n` in the same transaction. What a walk over the ancestors found
therefore holds as long as that key has the stamp that was read before the walk: one condition replaces one
for each ancestor.
"""

from itertools import islice

from roadhead.state.client import UnavailableError, UnknownOutcomeError

CANCELLATION_COUNTER = "c/n"
MAX_WAITS_SHOWN = 20
# Records that are read one by one at the same time; more than twice as many are read by pages.
MAX_CONCURRENT_READS = 6
MAX_CACHED_JOBS, MAX_CACHED_NAMES = 20_000, 200_000  # jobs cached, and ids in their dependency lists


class Ancestry:
    """Walks over the ancestors of jobs and caches what it reads.

    Args:
        loop: the event loop.
        state: the state service's client.
        ended: `ended(id)` returns the final state of a job known to be over, or None.
        learn: `learn(id, record)` is called with each final record that was read.
        find: `find(id)` reads (record or None, stamp) of a job, wherever it is stored.
        whole: `whole(id, record)` completes a record that was read from a page.
        before: `before(record)` returns the ids of the dependencies that the record still waits for.
        closing: `closing(record)` returns the final record of a job cancelled with an ancestor.
        places: the key prefixes under which records are stored, in the order in which they move.
    """

    def __init__(self, loop, state, ended, learn, find, whole, before, closing, places):
        self._loop = loop
        self._state = state
        self._final_state = ended
        self._learn = learn
        self._find = find
        self._whole = whole
        self._dependencies_of = before
        self._cancelled_record = closing
        self._prefixes = places
        # Id -> (stamp of `c/n` before its open record was read, its dependencies, whether it is a daemon).
        self._cache = {}
        self._cached_names = 0

    async def derive(self, record):
        """Returns (record, conditions): an open job's record as it counts, and how long that holds.

        The result is valid as long as the conditions hold. Raises UnavailableError or UnknownOutcomeError if
        a cancelled ancestor cannot be excluded.
        """
        if not self._dependencies_of(record):
            return record, []
        _value, stamp = await self._state.get(CANCELLATION_COUNTER)
        return await self._walk(record, stamp)

    async def _walk(self, record, stamp):
        """Does the work of `derive`; `stamp` is that of `c/n`, read before."""
        names = self._dependencies_of(record)
        seen, level = set(names), list(names)
        while level:
            unknown, next_level = [], []
            for name in level:
                state = self._final_state(name)
                if state == "cancelled":
                    return self._cancelled_record(record), []
                if state is None and self._cached(name, stamp) is None:
                    unknown.append(name)
            for name, found in (await self._read(unknown, stamp)).items():
                if found is None:
                    raise UnavailableError(f"upstream job {name} has no record")
                if found["s"] == "cancelled":
                    return self._cancelled_record(record), []
            for name in level:
                if self._final_state(name) is not None:
                    continue
                entry = self._cached(name, stamp)
                if entry is None:
                    raise UnavailableError("more ancestors than can be cached")
                for other in entry[1]:
                    if other not in seen:
                        seen.add(other)
                        next_level.append(other)
            level = next_level
        waits = list(islice((name for name in names if self._final_state(name) is None), MAX_WAITS_SHOWN))
        return {**record, "waits": waits}, [(CANCELLATION_COUNTER, stamp)]

    def _cached(self, name, stamp):
        """Returns the cached entry of a job that was open and not cancelled as of that stamp, or None."""
        entry = self._cache.get(name)
        return entry if entry is not None and entry[0] == stamp else None

    def _cache_record(self, name, record, stamp):
        """Caches an open record that was read after `c/n` had that stamp."""
        old = self._cache.pop(name, None)
        self._cached_names -= len(old[1]) if old is not None else 0
        dependencies = tuple(self._dependencies_of(record))
        self._cache[name] = (stamp, dependencies, record["spec"]["shape"] == "daemon")
        self._cached_names += len(dependencies)
        while len(self._cache) > MAX_CACHED_JOBS or (
            self._cached_names > MAX_CACHED_NAMES and len(self._cache) > 1
        ):
            self._cached_names -= len(self._cache.pop(next(iter(self._cache)))[1])

    async def _read(self, names, stamp):
        """Reads records. Returns {id: record, or None if there is none}.

        `stamp` is that of `c/n`, read before.
        """
        found = {}
        if len(names) > 2 * MAX_CONCURRENT_READS:
            await self._read_pages(sorted(names), found)
        else:
            for position in range(0, len(names), MAX_CONCURRENT_READS):
                reads = [
                    self._loop.spawn(self._read_one(name, found), "ancestor")
                    for name in names[position : position + MAX_CONCURRENT_READS]
                ]
                for routine in reads:
                    if (error := await routine.done) is not None:
                        raise error
        for name, record in found.items():
            if record is not None and record["s"] != "open":
                self._learn(name, record)
            elif record is not None:
                self._cache_record(name, record, stamp)
        return found

    async def _read_one(self, name, found):
        """Reads one record into `found`. Returns the error if it could not be read."""
        try:
            found[name] = (await self._find(name))[0]
        except (UnavailableError, UnknownOutcomeError) as error:
            return error
        return None

    async def _read_pages(self, names, found):
        """Reads many records in the order of their ids. Each page decides all names up to its end."""
        for prefix in self._prefixes:
            position, missing = 0, []
            while position < len(names):
                first = names[position]
                after = f"{prefix}{first[:-1]}{chr(ord(first[-1]) - 1)}~"
                items, more, _revision = await self._state.page(prefix, after)
                here = {key[len(prefix) :]: record for key, record, _stamp in items}
                last = items[-1][0][len(prefix) :] if more else None
                while position < len(names) and (last is None or names[position] <= last):
                    name = names[position]
                    if name in here:
                        found[name] = await self._whole(name, here[name])
                    else:
                        missing.append(name)
                    position += 1
            names = missing
        found.update(dict.fromkeys(names))

    async def check_submission(self, spec, own):
        """Checks a submission that names upstream jobs.

        Returns (why it can never be accepted, or None; whether it is cancelled already, with one of its
        ancestors). `own(id)` returns whether the submitter may know of that job at all. Raises
        UnavailableError or UnknownOutcomeError: a job that could not be looked up is not a fault of the
        submission.
        """
        if spec.id in spec.upstream:
            return f"upstream: {spec.id} names itself", False
        for name in spec.upstream:
            if not own(name):
                return f"upstream: {name} was never accepted", False
        _value, stamp = await self._state.get(CANCELLATION_COUNTER)
        unknown = [
            name for name in spec.upstream if self._final_state(name) is None and name not in self._cache
        ]
        for name, record in (await self._read(unknown, stamp)).items():
            if record is None:
                return f"upstream: {name} was never accepted", False
        for name in spec.upstream:
            if name in self._cache and self._cache[name][2]:
                return f"upstream: {name} is a service", False
        submitted = {"s": "open", "spec": {"upstream": spec.upstream, "legs": spec.tasks}, "done": []}
        return None, (await self._walk(submitted, stamp))[0]["s"] == "cancelled"
