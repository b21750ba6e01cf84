"""Reads the records of ancestors with few requests to the state service."""

from roadhead.state.client import UnavailableError, UnknownOutcomeError

# Records that are read one by one at the same time; more than twice as many are read by pages.
MAX_CONCURRENT_READS = 6
MAX_JOBS_READ_AHEAD = 20_000
MAX_SINGLE_READS = 12  # records that a walk reads one by one before it reads a page of open records


class WalkProgress:
    """What one walk has read: `jobs`, and `names` in their dependency lists; and the pages it reads ahead.

    Ids come in no order, so a chain can only be followed record by record, or found by reading whatever is
    open. After each `MAX_SINGLE_READS` records a walk reads twice as many pages as the time before, so that a
    long chain costs little more than the pages of all open jobs, and a short one hardly more than its length.
    """

    def __init__(self):
        self.jobs = self.names = 0
        self._single_reads = 0
        self._pages = 1
        self.after = ""
        self.is_finished = False

    def pages_due(self, single_reads):
        """Counts records that were read one by one; returns how many pages to read now."""
        self._single_reads += single_reads
        if self._single_reads < MAX_SINGLE_READS or self.is_finished or self.jobs > MAX_JOBS_READ_AHEAD:
            return 0
        self._single_reads = 0
        pages, self._pages = self._pages, 2 * self._pages
        return pages


class AncestorReader:
    """Reads records of jobs, wherever they are stored.

    `find(id)` reads (record or None, stamp) of a job; `complete(id, record)` completes a record that was read
    from a page; `prefixes` are those under which records are stored, in the order in which they move.
    """

    def __init__(self, loop, state, find, complete, prefixes):
        self._loop = loop
        self._state = state
        self._find = find
        self._complete = complete
        self._prefixes = prefixes

    async def read(self, names):
        """Returns {id: record, or None if there is none}. Raises UnavailableError or UnknownOutcomeError."""
        found = {}
        if len(names) > 2 * MAX_CONCURRENT_READS:
            await self._read_pages(sorted(names), found)
            return found
        for position in range(0, len(names), MAX_CONCURRENT_READS):
            reads = [
                self._loop.spawn(self._read_one(name, found), "ancestor")
                for name in names[position : position + MAX_CONCURRENT_READS]
            ]
            errors = [await routine.done for routine in reads]
            if (error := next(filter(None, errors), None)) is not None:
                raise error
        return found

    async def read_ahead(self, walk, pages):
        """Returns {id: record} of the next pages of open records."""
        found = {}
        for _ in range(pages):
            if walk.is_finished:
                break
            prefix = self._prefixes[0]
            items, more, _revision = await self._state.page(prefix, walk.after)
            for key, record, _stamp in items:
                name = key[len(prefix) :]
                if "up" in record:
                    continue  # its dependency list is stored apart, and is read with the job itself
                try:
                    found[name] = await self._complete(name, record)
                except UnavailableError:
                    continue  # of a newer format
            walk.is_finished = not more
            walk.after = items[-1][0] if items else ""
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
                        found[name] = await self._complete(name, here[name])
                    else:
                        missing.append(name)
                    position += 1
            names = missing
        found.update(dict.fromkeys(names))
