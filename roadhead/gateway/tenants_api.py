"""The tenants' API: a tenant's jobs, by its own job ids. Answers contain nothing about other tenants."""

from roadhead.gateway.answers import UNCERTAIN, UNKNOWN_KEY, ProblemError
from roadhead.gateway.job_list import JobList
from roadhead.gateway.routes import Route, Routes
from roadhead.gateway.types import ClassRow, Job, JobPage, Submission, TeamUse, Usage
from roadhead.state.client import UnavailableError, UnknownOutcomeError
from roadhead.tenants import admission, ids
from roadhead.tenants.keys import split_key
from roadhead.tenants.records import ADMINISTRATORS, tenant_key
from roadhead.wire import messages

REQUEST_TIMEOUT_S = 4.0
MAX_CONCURRENT_READS = 4  # tenant records read concurrently to look up unknown keys
READ_SPARE_BURST = 0.5  # fraction of the request burst that must be left for such a read
# Controllers' reasons why a job can never run that are passed on to tenants; all others are replaced.
PUBLIC_REASONS = ("unknown team", "more than the team's limit", "fits no machine type")
PUBLIC_UPSTREAM_REASONS = ("was never accepted", "is a service", "names itself")
PUBLIC_REFUSALS = (
    admission.TOO_FAST,
    admission.TOO_MANY_JOBS,
    admission.TOO_MANY_TASKS,
    admission.TOO_MUCH_AT_ONCE,
    admission.SUSPENDED_REFUSAL.text,
    admission.REMOVED_REFUSAL.text,
)

ROUTES = Routes(
    [
        Route(
            "POST",
            "/v1/jobs",
            "submit",
            "submit",
            Submission,
            Job,
            201,
            "Submit a job; the same id again is the same job, also through another gateway",
        ),
        Route(
            "GET",
            "/v1/jobs",
            "list",
            "read",
            None,
            JobPage,
            200,
            "List jobs",
            ("state", "class", "team", "after", "limit"),
        ),
        Route("GET", "/v1/jobs/{id}", "status", "read", None, Job, 200, "A job's state"),
        Route("POST", "/v1/jobs/{id}/cancel", "cancel", "cancel", None, Job, 200, "Cancel a job"),
        Route(
            "GET",
            "/v1/summary",
            "summary",
            "read",
            None,
            Usage,
            200,
            "What is held and waits, by team and class",
        ),
        Route("GET", "/v1/openapi.json", "document", None, None, None, 200, "This API as OpenAPI"),
    ]
)


def authenticate(table, secrets, text, now):
    """Returns (TenantEntry, Key) for an access key.

    Raises ProblemError, with the same text for unknown and revoked keys.
    """
    named = split_key(text)
    entry = table.entry(named[0]) if named is not None else None
    key = entry.tenant.key(named[1], now) if entry is not None else None
    if not secrets.matches(text, key):
        raise UNKNOWN_KEY
    return entry, key


class TenantsApi:
    """Handles requests of tenants."""

    def __init__(self, loop, table, secrets, controllers, state, time_of_day):
        self._table = table
        self._secrets = secrets
        self._controllers = controllers
        self._state = state
        self._time_of_day = time_of_day
        self._rates = admission.SubmissionRates(loop)
        self._job_list = JobList(loop, state)
        self._reading = 0  # tenant records being read to look up unknown keys

    async def handle(self, request):
        """Returns (status, message) for a request. Raises ProblemError."""
        route, values = ROUTES.find(request)
        if route.scope is None:
            return 200, ROUTES.document("roadhead for tenants")
        entry, key = await self._authenticate(request.key())
        if entry.tenant.number == ADMINISTRATORS:
            raise UNKNOWN_KEY  # administrators have no jobs
        if route.scope not in key.scopes:
            raise ProblemError(403, f"the key's scopes do not hold {route.scope!r}")
        number = entry.tenant.number
        if "id" in values:
            try:
                job_id = ids.to_job(number, values["id"])
            except ValueError:
                raise ProblemError(404, "no such job") from None
        if route.name == "submit":
            return await self._submit(entry, request)
        if route.name == "list":
            return 200, await self._job_list.page(number, request)
        if route.name == "summary":
            return 200, await self.usage(entry)
        if route.name == "status":
            return await self._ask_about_job(number, values["id"], "GET", f"/v1/jobs/{job_id}", 2.0)
        return await self._ask_about_job(
            number, values["id"], "POST", f"/v1/jobs/{job_id}/cancel", REQUEST_TIMEOUT_S
        )

    async def _authenticate(self, text):
        """Returns (TenantEntry, Key) for an access key.

        A key that is unknown here may have been created through another gateway while this one's watch lags,
        so the tenant's stored record is read before a key is refused.
        """
        try:
            return authenticate(self._table, self._secrets, text, self._time_of_day())
        except ProblemError:
            if (named := split_key(text)) is None:
                raise
        await self._read_tenant(named[0])
        return authenticate(self._table, self._secrets, text, self._time_of_day())

    async def _read_tenant(self, number):
        """Refreshes a tenant's record in the table. Raises UNCERTAIN, also if too many are being read."""
        if self._reading >= MAX_CONCURRENT_READS or not self._state.requests.spare(READ_SPARE_BURST):
            raise UNCERTAIN
        self._reading += 1
        try:
            record, stamp = await self._state.get(tenant_key(number))
        except (UnavailableError, UnknownOutcomeError):
            raise UNCERTAIN from None
        finally:
            self._reading -= 1
        if record is not None:
            self._table.take(tenant_key(number), record, stamp)

    async def _ask_about_job(self, number, own, method, target, within_s, body=b""):
        """Asks a controller about the tenant's job. Returns (status, Job). Raises ProblemError."""
        status, answer, headers = await self._controllers.ask(number, method, target, body, within_s)
        if status in (200, 201):
            if answer.get("id") != ids.to_job(number, own):
                raise UNCERTAIN  # another job, which may be another tenant's
            return status, Job(own, answer["status"], answer.get("done"), answer.get("running"))
        text = answer.get("error")
        if status == 404:
            raise ProblemError(404, "no such job")
        if status == 422:
            raise ProblemError(422, text if text in PUBLIC_REASONS else public_upstream_reason(number, text))
        if status in (403, 410, 429) and text in PUBLIC_REFUSALS:
            wait = headers.get("retry-after", "1")
            raise ProblemError(status, text, int(wait) if status == 429 and wait.isdigit() else None)
        raise UNCERTAIN

    async def _submit(self, entry, request):
        """Answers a submission. Nothing is refused for good by what is known here of the tenant alone.

        That may be out of date, and the submission may be a repeat of one that another gateway took.
        """
        tenant = entry.tenant
        submission = request.read(Submission)
        number = tenant.number
        job_id = ids.to_job(number, submission.id)
        state_refused = admission.state_refusal(tenant)
        if state_refused is not None:
            return await self._known_or(ProblemError(*state_refused), number, submission.id)
        refusal = self._rates.take(tenant)
        if refusal is not None:
            raise ProblemError(*refusal)
        if tenant.team(submission.team) is None and not await self._read_team(number, submission.team):
            return await self._known_or(ProblemError(422, "unknown team"), number, submission.id)
        body = messages.encode(submission.to_protocol(job_id, number))
        return await self._ask_about_job(number, submission.id, "POST", "/v1/jobs", REQUEST_TIMEOUT_S, body)

    async def _known_or(self, refusal, number, own):
        """Returns (status, Job) of a job that was accepted earlier. Raises `refusal` if there is none."""
        try:
            return await self._ask_about_job(number, own, "GET", f"/v1/jobs/{ids.to_job(number, own)}", 2.0)
        except ProblemError as answered:
            raise (refusal if answered.status == 404 else answered) from None

    async def _read_team(self, number, team):
        """Reads the tenant's record; returns whether it has the team, and true if it can't be read.

        A controller then decides: it knows the accepted jobs, and has a table of its own.
        """
        try:
            await self._read_tenant(number)
        except ProblemError:
            return True
        return self._table.entry(number).tenant.team(team) is not None

    async def usage(self, entry):
        """Returns the tenant's Usage, summed over all controllers that answer."""
        answers = await self._controllers.ask_all(f"/v1/tenants/{entry.tenant.number}")
        teams = {team.name: TeamUse(team.name) for team in entry.tenant.teams}
        classes = {}
        for answer in answers:
            for name, (cpus, gpus, memory, tasks, jobs, waiting) in answer["teams"].items():
                use = teams.setdefault(name, TeamUse(name))
                use.cpus += cpus
                use.gpus += gpus
                use.memory_gb += memory
                use.tasks += tasks
                use.open_jobs += jobs
                use.waiting_tasks += waiting
            for klass, running, at_risk in answer["classes"]:
                row = classes.setdefault(klass, ClassRow(klass, 0, 0))
                row.open += running
                row.at_risk += at_risk
        return Usage(
            list(teams.values()),
            [row for _name, row in sorted(classes.items())],
            any(answer["warden"] for answer in answers),
        )


def public_upstream_reason(number, text):
    """Returns a controller's reason against an upstream job, with the tenant's own id of that job."""
    prefix, _, rest = (text or "").partition(" ")
    job_id, _, reason = rest.partition(" ")
    named = ids.from_job(job_id)
    if (
        prefix == "upstream:"
        and named is not None
        and named[0] == number
        and reason in PUBLIC_UPSTREAM_REASONS
    ):
        return f"upstream: {named[1]} {reason}"
    return "can never run"
