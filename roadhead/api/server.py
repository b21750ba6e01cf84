"""The HTTP interface to users and workers: connections, and which part answers which request."""

import logging

from roadhead.api.answers import (
    NO_PATH,
    UNAVAILABLE,
    UNCERTAIN,
    UNSIGNED,
    WRONG_METHOD,
    Answer,
    Cause,
    RefusedError,
    RequestKind,
    counter_of,
    refusal_of,
)
from roadhead.api.cancellations import Cancellations
from roadhead.api.job_states import JobStates
from roadhead.api.polls import Polls
from roadhead.api.readiness import Readiness
from roadhead.api.reports import WorkerReports
from roadhead.api.submissions import Submissions
from roadhead.wire import http, messages

log = logging.getLogger("roadhead.api")

REPORT = "/v1/report"
READY = "/ready"
SUMMARY = "/v1/summary"
SHARD_COUNT = "/v1/shares"
JOBS = "/v1/jobs"
USAGE = "/v1/tenants/"
# What is stored is newer than this version: it touches nothing.
NEWER_FORMAT = RefusedError(Cause.NEWER_FORMAT)
JOIN_PART = 1 / 8  # of the time for a creation, for which users wait until this controller can decide
OPEN_PATHS = (READY, REPORT)  # to the platform and the workers; the rest is the gateways'


class Api:
    """Serves connections. `node`: the controller's Node; `sockets`: its admission/socket_budget.py;
    `create_s`: for how long a creation is waited for; `patience_s`: for the rest of a request that has
    begun."""

    def __init__(self, loop, node, sockets, create_s, patience_s):
        self._loop = loop
        self._node = node
        self._sockets = sockets
        self._patience_s = patience_s
        states = JobStates(node)
        self._reports = WorkerReports(node)
        self.readiness = Readiness(loop, node, create_s * JOIN_PART)
        self._submissions = Submissions(loop, node, states, self.readiness, create_s)
        self._polls = Polls(states)
        self._cancellations = Cancellations(loop, node, states, self.readiness, create_s / 2)

    def accept(self, stream):
        """A connection was opened."""
        if not self._sockets.admit():
            stream.close()
            return
        self._loop.spawn(self._serve(stream), "http")

    async def _serve(self, stream):
        worker = False

        async def handle(request):
            nonlocal worker
            answer = await self._handle(request)
            if not worker and request.target == REPORT:
                worker = self._sockets.keep_worker()
                request.close = request.close or not worker  # it comes again with its next report
            return answer

        try:
            await http.serve(self._loop, stream, handle, self._patience_s)
        finally:
            self._sockets.release(worker)

    # Routing

    async def _handle(self, request):
        """The Answer to a request."""
        path = request.target.partition("?")[0]
        tenant_admission = self._node.tenant_admission
        if tenant_admission is not None and path not in OPEN_PATHS and not tenant_admission.signed(request):
            return UNSIGNED
        if path == JOBS or path.startswith(JOBS + "/"):
            answer = await self._answer_user(request.method, path, request.body)
            if answer.status == UNAVAILABLE and not self._node.ready():
                # The load balancer passes this controller over, for new connections alone.
                request.close = True
            return answer
        if self._node.member.format_gate.is_outdated:
            return NEWER_FORMAT.answer()
        if tenant_admission is not None and path.startswith(USAGE) and path[len(USAGE) :].isdigit():
            return Answer(200, tenant_admission.usage(int(path[len(USAGE) :])))
        return self._answer_operator(request.method, path, request.body)

    def _answer_operator(self, method, path, body):
        """Requests of workers, the load balancer and operators."""
        handlers = {
            REPORT: ("POST", lambda: self._reports.answer(body)),
            READY: ("GET", lambda: Answer(200 if self._node.ready() else UNAVAILABLE)),
            SUMMARY: ("GET", lambda: Answer(200, messages.encode(self._node.summary()))),
            SHARD_COUNT: ("GET", lambda: Answer(200, messages.encode(self._node.shares()))),
        }
        if path not in handlers:
            return NO_PATH
        expected, handle = handlers[path]
        return handle() if method == expected else WRONG_METHOD

    async def _answer_user(self, method, path, body):
        """Requests of users: /v1/jobs, /v1/jobs/ID and /v1/jobs/ID/cancel."""
        if path == JOBS:
            return await self._submit(body) if method == "POST" else WRONG_METHOD
        job_id, slash, verb = path[len(JOBS) + 1 :].partition("/")
        if not slash:
            return await self._poll(job_id) if method == "GET" else WRONG_METHOD
        if verb != "cancel":
            return NO_PATH
        return await self._cancel(job_id) if method == "POST" else WRONG_METHOD

    # Users

    async def _submit(self, body):
        return await self._sure(RequestKind.SUBMISSION, self._submissions.answer, body)

    async def _poll(self, job_id):
        return await self._sure(RequestKind.POLL, self._polls.answer, job_id)

    async def _cancel(self, job_id):
        return await self._sure(RequestKind.CANCELLATION, self._cancellations.answer, job_id)

    async def _sure(self, question, answer, about):
        """What `answer(about)` returns, or 503 if it is not known for sure: never a guess (safety 5)."""
        try:
            if self._node.member.format_gate.is_outdated:
                raise NEWER_FORMAT
            return await answer(about)
        except UNCERTAIN as error:
            refusal = refusal_of(error)
            log.debug("%s refused, %s: %r", question.value, refusal.cause.value, error)
            self._node.counters.add(counter_of(question, refusal.cause))
            return refusal.answer()
