"""The HTTP server for users, workers and operators: accepts connections and routes requests."""

import logging

from roadhead.api.answers import (
    NO_PATH,
    UNAVAILABLE,
    UNCERTAIN_ERRORS,
    UNSIGNED,
    WRONG_METHOD,
    Answer,
    Cause,
    RefusedError,
    RequestKind,
    counter_name,
    to_refusal,
)
from roadhead.api.cancellations import Cancellations
from roadhead.api.job_states import JobStates
from roadhead.api.polls import Polls
from roadhead.api.readiness import Readiness
from roadhead.api.reports import WorkerReports
from roadhead.api.submissions import Submissions
from roadhead.wire import http, messages

log = logging.getLogger("roadhead.api")

REPORT_PATH = "/v1/report"
READY_PATH = "/ready"
SUMMARY_PATH = "/v1/summary"
SHARES_PATH = "/v1/shares"
JOBS_PATH = "/v1/jobs"
TENANT_USAGE_PATH = "/v1/tenants/"
# Stored records have a newer format than this version knows: it must neither interpret nor change them.
NEWER_FORMAT = RefusedError(Cause.NEWER_FORMAT)
JOIN_WAIT_FRACTION = 1 / 8  # fraction of `create_s` for which requests wait until this controller can decide
# Unsigned requests, of the platform and workers; gateways sign all other requests.
OPEN_PATHS = (READY_PATH, REPORT_PATH)


class Api:
    """Serves HTTP connections.

    `node`: the controller's Node; `sockets`: its admission/socket_budget.py; `create_s`: how long to wait for
    a job's creation; `patience_s`: how long a request that has begun may take to arrive completely.
    """

    def __init__(self, loop, node, sockets, create_s, patience_s):
        self._loop = loop
        self._node = node
        self._sockets = sockets
        self._patience_s = patience_s
        states = JobStates(node)
        self._reports = WorkerReports(node)
        self.readiness = Readiness(loop, node, create_s * JOIN_WAIT_FRACTION)
        self._submissions = Submissions(loop, node, states, self.readiness, create_s)
        self._polls = Polls(states)
        self._cancellations = Cancellations(loop, node, states, self.readiness, create_s / 2)

    def accept(self, stream):
        """Takes a newly opened connection, or closes it if too many are open."""
        if not self._sockets.admit():
            stream.close()
            return
        self._loop.spawn(self._serve(stream), "http")

    async def _serve(self, stream):
        worker = False

        async def handle(request):
            nonlocal worker
            answer = await self._handle(request)
            if not worker and request.target == REPORT_PATH:
                worker = self._sockets.keep_worker()
                request.close = request.close or not worker  # the worker reconnects for its next report
            return answer

        try:
            await http.serve(self._loop, stream, handle, self._patience_s)
        finally:
            self._sockets.release(worker)

    # Routing

    async def _handle(self, request):
        """Returns the Answer to a request."""
        path = request.target.partition("?")[0]
        tenant_admission = self._node.tenant_admission
        if tenant_admission is not None and path not in OPEN_PATHS and not tenant_admission.signed(request):
            return UNSIGNED
        if path == JOBS_PATH or path.startswith(JOBS_PATH + "/"):
            answer = await self._answer_user(request.method, path, request.body)
            if answer.status == UNAVAILABLE and not self._node.ready():
                # The load balancer avoids this controller for new connections only, so close this one.
                request.close = True
            return answer
        if self._node.member.format_gate.is_outdated:
            return NEWER_FORMAT.answer()
        if (
            tenant_admission is not None
            and path.startswith(TENANT_USAGE_PATH)
            and path[len(TENANT_USAGE_PATH) :].isdigit()
        ):
            return Answer(200, tenant_admission.usage(int(path[len(TENANT_USAGE_PATH) :])))
        return self._answer_operator(request.method, path, request.body)

    def _answer_operator(self, method, path, body):
        """Answers requests of workers, the load balancer and operators."""
        handlers = {
            REPORT_PATH: ("POST", lambda: self._reports.answer(body)),
            READY_PATH: ("GET", lambda: Answer(200 if self._node.ready() else UNAVAILABLE)),
            SUMMARY_PATH: ("GET", lambda: Answer(200, messages.encode(self._node.summary()))),
            SHARES_PATH: ("GET", lambda: Answer(200, messages.encode(self._node.shares()))),
        }
        if path not in handlers:
            return NO_PATH
        expected, handle = handlers[path]
        return handle() if method == expected else WRONG_METHOD

    async def _answer_user(self, method, path, body):
        """Answers requests of users: /v1/jobs, /v1/jobs/ID and /v1/jobs/ID/cancel."""
        if path == JOBS_PATH:
            return await self._submit(body) if method == "POST" else WRONG_METHOD
        job_id, slash, verb = path[len(JOBS_PATH) + 1 :].partition("/")
        if not slash:
            return await self._poll(job_id) if method == "GET" else WRONG_METHOD
        if verb != "cancel":
            return NO_PATH
        return await self._cancel(job_id) if method == "POST" else WRONG_METHOD

    # Users

    async def _submit(self, body):
        return await self._answer_or_refuse(RequestKind.SUBMISSION, self._submissions.answer, body)

    async def _poll(self, job_id):
        return await self._answer_or_refuse(RequestKind.POLL, self._polls.answer, job_id)

    async def _cancel(self, job_id):
        return await self._answer_or_refuse(RequestKind.CANCELLATION, self._cancellations.answer, job_id)

    async def _answer_or_refuse(self, question, answer, argument):
        """Returns `answer(argument)`, or 503 if the result is uncertain (docs/design.md, safety rule 5)."""
        try:
            if self._node.member.format_gate.is_outdated:
                raise NEWER_FORMAT
            return await answer(argument)
        except UNCERTAIN_ERRORS as error:
            refusal = to_refusal(error)
            log.debug("%s answered 503, cause %s: %r", question.value, refusal.cause.value, error)
            self._node.counters.add(counter_name(question, refusal.cause))
            return refusal.answer()
