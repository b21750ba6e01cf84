"""Decides from the stored records whether a waiting job has a cancelled ancestor.

A job with a cancelled ancestor is cancelled, by the ancestor's record, whether or not its own record says so
yet. An ancestor that was open when its record was read is not cancelled as of a later revision if no
cancellation between the two names it; `CancellationHistory` knows them all. So what was read is kept until a
cancellation names it. An answer holds as long as `c/n` has the stamp of the last cancellation that was taken
in: one condition replaces one for each ancestor.
"""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from roadhead.pipelines.ancestor_facts import AncestorCache, AncestorFacts
from roadhead.pipelines.ancestor_reader import AncestorReader, WalkProgress
from roadhead.pipelines.cancellation_history import CANCELLATION_COUNTER, CancellationHistory
from roadhead.state.client import UnavailableError

MAX_WAITS_SHOWN = 20
# Rounds in which ancestors that were evicted, or read before cancellations were missed, are read again.
MAX_WALK_ROUNDS = 3


@dataclass(frozen=True, slots=True)
class JobRecords:
    """What a walk needs of the controller's records of jobs.

    Attributes:
        final_state: `final_state(id)` returns the final state of a job known to be over, or None.
        learn: `learn(id, record)` is called with each final record that was read.
        find: `find(id)` reads (record or None, stamp) of a job, wherever it is stored.
        complete: `complete(id, record)` completes a record that was read from a page.
        dependencies_of: returns the ids of the dependencies that a record still waits for.
        cancelled_record: returns the final record of an open one whose job is cancelled with an ancestor.
        prefixes: the prefixes of keys under which records are stored, in the order in which they move.
    """

    final_state: Callable
    learn: Callable
    find: Callable
    complete: Callable
    dependencies_of: Callable
    cancelled_record: Callable
    prefixes: tuple


class Ancestry:
    """Walks over the ancestors of jobs and caches what it reads.

    `state` is the state service's client, `records` a JobRecords.
    """

    def __init__(self, loop, state, records):
        self._final_state = records.final_state
        self._learn = records.learn
        self._dependencies_of = records.dependencies_of
        self._cancelled_record = records.cancelled_record
        self._cache = AncestorCache()
        self._reader = AncestorReader(loop, state, records.find, records.complete, records.prefixes)
        self.history = CancellationHistory(loop, state, self._cache.on_cancelled, self._cache.clear)

    async def derive(self, record):
        """Returns (record, conditions): an open job's record as it counts, and how long that holds.

        The result is as new as this call, and valid as long as the conditions hold. Raises UnavailableError
        or UnknownOutcomeError if a cancelled ancestor cannot be excluded.
        """
        if not self._dependencies_of(record):
            return record, []
        await self.history.refresh()
        return await self._walk(record, WalkProgress())

    async def derive_all(self, found, since):
        """Returns {id: record} of several jobs as they count.

        `found`: {id: record}, read after `read_since` returned `since`. The results are as new as this call:
        all of them share one look at the cancellations, what is read of ancestors, and the records
        themselves, which may be ancestors of one another. Raises UnavailableError or UnknownOutcomeError.
        """
        waiting = {name: record for name, record in found.items() if self._dependencies_of(record)}
        if not waiting:
            return found
        await self.history.refresh()
        progress = WalkProgress()
        self._keep(found, since, progress)
        derived = {name: (await self._walk(record, progress))[0] for name, record in waiting.items()}
        return {**found, **derived}

    async def read_since(self):
        """Returns the revision from which on cancellations are known, before records are read.

        Raises UnavailableError or UnknownOutcomeError.
        """
        if not self.history.has_begun:
            await self.history.refresh()
        return self.history.through

    async def refresh(self):
        """Takes in all cancellations up to some moment after this call.

        Raises UnavailableError or UnknownOutcomeError.
        """
        await self.history.refresh()

    def on_unchanged(self, conditions, revision):
        """Takes in that the conditions of earlier results held at that revision."""
        for key, stamp in conditions:
            if key == CANCELLATION_COUNTER:
                self.history.on_unchanged(stamp, revision)

    def derive_known(self, record):
        """Returns the result of `derive` by what is known, without any request; None if that isn't enough.

        It counts only if its conditions are found to hold after the question came.
        """
        names = self._dependencies_of(record)
        if not names:
            return record, []
        unknown = self._unverified(names)
        if unknown is None:
            return self._cancelled_record(record), []
        return None if unknown else self._waiting_record(record, names)

    async def _walk(self, record, progress):
        """Does the work of `derive` after the history was refreshed."""
        names = self._dependencies_of(record)
        for _ in range(MAX_WALK_ROUNDS):
            unknown = self._unverified(names)
            while unknown:
                unknown = await self._read_ancestors(unknown, progress)
            if unknown is not None:
                # What was found in between may have changed meanwhile: only a pass without a pause counts.
                unknown = self._unverified(names)
            if unknown is None:
                return self._cancelled_record(record), []
            if not unknown:
                return self._waiting_record(record, names)
        raise UnavailableError("the ancestors changed too often")

    def _waiting_record(self, record, names):
        waits = list(islice((name for name in names if self._final_state(name) is None), MAX_WAITS_SHOWN))
        return {**record, "waits": waits}, [(CANCELLATION_COUNTER, self.history.counter_stamp)]

    def _unverified(self, names):
        """Looks at all ancestors that are known, from `names` upwards.

        Returns the ids of those whose records must be read; an empty list if no ancestor is cancelled, which
        is kept as verified; None if one is.
        """
        generation = self._cache.generation
        seen, todo, unknown, visited = set(names), list(names), [], []
        while todo:
            name = todo.pop()
            state = self._final_state(name)
            if state == "cancelled" or (state is None and self.history.is_cancelled(name)):
                return None
            if state is not None:
                continue
            facts = self._cache.get(name)
            if facts is None:
                unknown.append(name)
            elif facts.verified != generation:
                visited.append(facts)
                fresh = [other for other in facts.dependencies if other not in seen]
                seen.update(fresh)
                todo += fresh
        if not unknown:
            for facts in visited:
                facts.verified = generation
        return unknown

    async def _read_ancestors(self, names, progress):
        """Reads records; returns the ancestors above them to be read next, None if one is cancelled."""
        since = self.history.through
        found = await self._reader.read(names)
        missing = next((name for name, record in found.items() if record is None), None)
        if missing is not None:
            raise UnavailableError(f"upstream job {missing} has no record")
        above = [other for record in found.values() for other in self._dependencies_of(record)]
        self._keep(found, since, progress)
        if any(record["s"] == "cancelled" for record in found.values()):
            return None
        if above and (pages := progress.pages_due(len(names))):
            since = self.history.through
            ahead = await self._reader.read_ahead(progress, pages)
            waiting = {name: record for name, record in ahead.items() if self._dependencies_of(record)}
            self._keep(waiting, since, progress)
        return self._unverified(above)

    def _keep(self, found, since, progress):
        """Caches records that a walk read after the history had reached revision `since`."""
        progress.jobs += len(found)
        progress.names += sum(len(self._dependencies_of(record)) for record in found.values())
        self._cache.make_room(progress.jobs, progress.names)
        for name, record in found.items():
            if record["s"] != "open":
                self._learn(name, record)
            elif self.history.covers(since) and not self.history.is_cancelled(name):
                facts = AncestorFacts(
                    tuple(self._dependencies_of(record)), record["spec"]["shape"] == "daemon"
                )
                self._cache.add(name, facts)

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
        await self.history.refresh()
        since = self.history.through
        found = await self._reader.read(
            [
                name
                for name in spec.upstream
                if self._final_state(name) is None and self._cache.get(name) is None
            ]
        )
        for name, record in found.items():
            if record is None:
                return f"upstream: {name} was never accepted", False
        self._keep(found, since, WalkProgress())
        for name in spec.upstream:
            if (facts := self._cache.get(name)) is not None and facts.is_daemon:
                return f"upstream: {name} is a service", False
        submitted = {"s": "open", "spec": {"upstream": spec.upstream, "legs": spec.tasks}, "done": []}
        return None, (await self._walk(submitted, WalkProgress()))[0]["s"] == "cancelled"
