"""Lists a tenant's jobs, read from the state service: first the open ones, then the archive."""

import msgspec

from roadhead.gateway.answers import UNCERTAIN, ProblemError
from roadhead.gateway.types import Job, JobPage
from roadhead.jobs.ancestor_records import ancestor_records
from roadhead.jobs.job import ARCHIVE, FINAL, RECORD_PREFIX, status_of
from roadhead.jobs.records import complete
from roadhead.pipelines.ancestry import Ancestry
from roadhead.state.client import UnavailableError, UnknownOutcomeError
from roadhead.tenants import ids
from roadhead.wire.worker_limits import MAX_MESSAGE_BYTES

DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE = 100, 500
# Of JSON in the rows of one page: "responses to [...] users" hold at most 64 KiB (PROTOCOL).
MAX_ROWS_BYTES = MAX_MESSAGE_BYTES - 1024
MAX_PAGES = 4  # read per request, as a filter may skip many records
MAX_FINAL_STATES = 20_000  # final states of ancestors kept in memory
STATES = ("open", *FINAL)


class FinalStates:
    """The final states of jobs that are known to be over, within a bound: such a state never changes."""

    def __init__(self):
        self._states = {}

    def get(self, job_id):
        """Returns "done" or "cancelled", or None if the job isn't known to be over."""
        return self._states.get(job_id)

    def learn(self, job_id, record):
        """Takes in a final record."""
        self._states[job_id] = record["s"]
        if len(self._states) > MAX_FINAL_STATES:
            del self._states[next(iter(self._states))]


class JobList:
    """Lists jobs with the same states as polls tell, for a gateway.

    A waiting job is cancelled as soon as one that it needs is, before its own record says so. `state` is the
    state service's client.
    """

    def __init__(self, loop, state):
        self._state = state
        finals = FinalStates()
        self._ancestry = Ancestry(loop, state, ancestor_records(state, finals.get, finals.learn))

    async def page(self, number, request):
        """Returns the JobPage that the request of tenant `number` asks for. Raises ProblemError."""
        limit = request.count("limit", DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)
        matches = _filter(request.query)
        prefix, after = _parse_cursor(number, request.query.get("after", ""))
        found, left = [], MAX_ROWS_BYTES
        for _ in range(MAX_PAGES):
            rows, more = await self._read_page(number, prefix, after)
            for key, job in rows:
                if job is not None and matches(job):
                    left -= len(msgspec.json.encode(job)) + 1
                    if left < 0:
                        return JobPage(found, _next_cursor(prefix, after))
                    found.append(job)
                after = key
                if len(found) == limit:
                    return JobPage(found, _next_cursor(prefix, after))
            if not more:
                if prefix == ARCHIVE:
                    return JobPage(found, None)
                prefix, after = ARCHIVE, ""
        return JobPage(found, _next_cursor(prefix, after))

    async def _read_page(self, number, prefix, after):
        """Returns ([(key, Job or None)] after a key, whether there are more). Raises ProblemError."""
        try:
            since = await self._ancestry.read_since() if prefix == RECORD_PREFIX else 0
            items, more, _revision = await self._state.page(prefix + ids.prefix(number), after, MAX_PAGE_SIZE)
            found = {}
            for key, record, _stamp in items:
                job_id = key[len(prefix) :]
                found[job_id] = await self._complete(job_id, record)
            derived = await self._ancestry.derive_all(found, since)
        except (UnavailableError, UnknownOutcomeError):
            raise UNCERTAIN from None
        return [(prefix + job_id, _job(number, job_id, record)) for job_id, record in derived.items()], more

    async def _complete(self, job_id, record):
        """Reads the dependency list of a record for which it is stored apart."""
        return await complete(self._state, job_id, record) if "up" in record else record


def _filter(query):
    """Returns the function that tells whether a request for a list wants a job. Raises ProblemError."""
    state, klass, team = (query.get(name) for name in ("state", "class", "team"))
    if state not in (None, *STATES):
        raise ProblemError(400, "state: open, done or cancelled")

    def matches(job):
        job_state = job.status if job.status in FINAL else "open"
        return (not state or state == job_state) and all(
            not wanted or wanted == value for wanted, value in ((klass, job.klass), (team, job.team))
        )

    return matches


def _next_cursor(prefix, after):
    """Returns the cursor for the next page."""
    own = ids.from_job(after[len(prefix) :]) if after else None
    return f"{prefix[0]}.{own[1] if own else ''}"


def _parse_cursor(number, text):
    """Parses a cursor into (prefix, key to continue after). Raises ProblemError."""
    if not text:
        return RECORD_PREFIX, ""
    place, dot, own = text.partition(".")
    if f"{place}/" not in (RECORD_PREFIX, ARCHIVE) or not dot:
        raise ProblemError(400, "after: what a page gave as next")
    try:
        return f"{place}/", f"{place}/{ids.to_job(number, own)}" if own else ""
    except ValueError:
        raise ProblemError(400, "after: what a page gave as next") from None


def _job(number, job_id, record):
    """Returns a Job from its record as it counts, or None if it is not one of this tenant's jobs."""
    named = ids.from_job(job_id)
    if named is None or named[0] != number:
        return None
    status, done = status_of(record)
    if status in FINAL:
        return Job(named[1], status, done, tasks=record["n"])
    spec = record["spec"]
    team = ids.from_team(spec["crew"])[1]
    return Job(named[1], status, done, None, spec["legs"], spec["jobclass"], team)
