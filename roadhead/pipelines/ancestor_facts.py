"""What is remembered of open jobs that others wait for, within bounds."""

MAX_CACHED_JOBS = 20_000
MAX_CACHED_NAMES = 200_000  # ids in the dependency lists of cached jobs
WALK_ROOM_FACTOR = 2  # times what the largest walk read: room for it if that is more than the limits above


class AncestorFacts:
    """An open job: the ids of the jobs that it waits for, and whether it is a service.

    `verified`: the generation of the cache in which neither the job nor any ancestor of it was cancelled.
    """

    __slots__ = ("dependencies", "is_daemon", "verified")

    def __init__(self, dependencies, is_daemon):
        self.dependencies = dependencies
        self.is_daemon = is_daemon
        self.verified = -1


class AncestorCache:
    """Facts of jobs that were open when their record was read, and not cancelled since as far as is known.

    `generation` changes when a cancellation may concern an ancestor of a verified job.

    A pipeline larger than the limits must fit all the same, or polls of its last jobs would fail for ever,
    and no page allows refusing it. So the limits follow the largest walk: memory is bounded by the open jobs
    of one pipeline, whose owners keep them, dependency lists included, as well.
    """

    def __init__(self):
        self._max_jobs, self._max_names = MAX_CACHED_JOBS, MAX_CACHED_NAMES
        self._facts = {}  # id -> AncestorFacts, oldest first
        self._names = 0
        self._has_evicted = False
        self.generation = 0

    def get(self, name):
        """Returns the AncestorFacts of a job, or None."""
        return self._facts.get(name)

    def make_room(self, jobs, names):
        """Makes room for a walk that has read so many jobs, with so many ids in their dependency lists."""
        self._max_jobs = max(self._max_jobs, WALK_ROOM_FACTOR * jobs)
        self._max_names = max(self._max_names, WALK_ROOM_FACTOR * names)

    def add(self, name, facts):
        """Adds a job's facts, and forgets the oldest beyond the limits."""
        old = self._facts.pop(name, None)
        if old is not None:
            self._names -= len(old.dependencies)
        self._facts[name] = facts
        self._names += len(facts.dependencies)
        while len(self._facts) > self._max_jobs or (self._names > self._max_names and len(self._facts) > 1):
            self._pop(next(iter(self._facts)))
            self._has_evicted = True

    def _pop(self, name):
        facts = self._facts.pop(name, None)
        if facts is not None:
            self._names -= len(facts.dependencies)
        return facts

    def on_cancelled(self, names):
        """Forgets jobs that were cancelled.

        Only ancestors that were cached can have been verified, unless one was evicted: a cancellation of any
        other job leaves what was verified as it is.
        """
        is_concerned = self._has_evicted
        for name in names:
            is_concerned = self._pop(name) is not None or is_concerned
        if is_concerned:
            self.generation += 1

    def clear(self):
        """Forgets everything."""
        self._facts.clear()
        self._names = 0
        self._max_jobs, self._max_names = MAX_CACHED_JOBS, MAX_CACHED_NAMES
        self._has_evicted = False
        self.generation += 1
