"""Requests of users and workers."""

import logging

import msgspec

from roadhead.jobs.job import FINAL, KEY, answer, before, closing
from roadhead.jobs.records import find
from roadhead.pipelines.ancestry import CANCELS
from roadhead.runtime.loop import Timeout
from roadhead.state.client import Conflict, Unavailable, Unsure
from roadhead.wire import http, messages

log = logging.getLogger("roadhead.api")

CANCEL = "c/x/"
REPORT = "/v1/report"
OPEN_PATHS = ("/ready", REPORT)  # to the platform and the workers; the rest is the gateways'
UNSIGNED = (401, messages.error("not signed by a gateway"), None)
USAGE = "/v1/tenants/"
BEFORE_GATE = (503, messages.error("jobs that need others are taken once all controllers are new"), 2)
REFUSED = (503, messages.error("not able to say now"), 1)


class Api:
    def __init__(self, loop, node, sockets, create_s, patience_s):
        self._loop = loop
        self._node = node
        self._sockets = sockets
        self._create_s = create_s
        self._patience_s = patience_s

    def accept(self, stream):
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
            self._sockets.gone(worker)

    async def _handle(self, request):
        path = request.target.partition("?")[0]
        if self._node.member.gate.outdated:
            return REFUSED  # what is stored is newer than this version: it touches nothing
        desk = self._node.desk
        if desk is not None and path not in OPEN_PATHS and not desk.signed(request):
            return UNSIGNED
        if path == REPORT:
            if request.method != "POST":
                return 405, b"", None
            return self._report(request.body)
        if path == "/ready":
            if request.method != "GET":
                return 405, b"", None
            return (200 if self._node.ready() else 503), b"", None
        if path == "/v1/summary":
            if request.method != "GET":
                return 405, b"", None
            return 200, messages.encode(self._node.summary()), None
        if path == "/v1/shares":
            if request.method != "GET":
                return 405, b"", None
            return 200, messages.encode(self._node.shares()), None
        if desk is not None and path.startswith(USAGE) and path[len(USAGE) :].isdigit():
            return 200, desk.usage(int(path[len(USAGE) :])), None
        try:
            if path == "/v1/jobs":
                if request.method != "POST":
                    return 405, b"", None
                return await self._submit(request.body)
            if path.startswith("/v1/jobs/"):
                job_id, slash, verb = path[len("/v1/jobs/") :].partition("/")
                if not slash:
                    if request.method != "GET":
                        return 405, b"", None
                    return await self._poll(job_id)
                if verb == "cancel":
                    if request.method != "POST":
                        return 405, b"", None
                    return await self._cancel(job_id)
        except (Unavailable, Unsure, Conflict, Timeout) as error:
            # Whatever is not known for sure is said to be so, never guessed (safety 5).
            log.debug("%s %s: %r", request.method, path, error)
            self._node.counters.add("refused_unsure")
            return REFUSED
        return 404, messages.error("no such path"), None

    # Workers

    def _report(self, body):
        node = self._node
        if not node.member.joined:
            return 503, b"", None
        try:
            report = messages.read(body, messages.Report)
            report.check()
        except messages.Invalid as error:
            return 400, messages.error(str(error)), None
        home = node.home_of(report)
        if home != node.label:
            return 421, messages.redirect(home), None
        if not node.may_renew():
            return 503, b"", None
        machine = node.home.hearing.take_report(report)
        if machine is None:
            return 503, b"", None
        orders = node.home.commanding.answer_orders(machine)
        return 200, messages.report_answer(machine.token, orders), None

    # Users

    def _known(self, job_id):
        record = self._node.book.finals.get(job_id)
        return None if record is None else self._final(record, job_id)

    def _final(self, record, job_id):
        """The answer on a job that is over. Raises Unavailable if it can't be told now."""
        # One cancelled with a job that it needs had no task yet.
        if record["s"] == "cancelled" and "above" not in record:
            self._node.cancelled([job_id])
        return answer(record, job_id)

    def _state(self, record, job_id):
        """A job's state from its record just read, with the counts of its owner if that is us."""
        if record["s"] in FINAL:
            self._node.book.remember(job_id, record)
            return self._final(record, job_id)
        self._node.takeover.seen(job_id, record)
        job = self._node.book.jobs.get(job_id)
        if job is None or job.state != "open":
            return answer(record, job_id)
        return messages.job_status(job_id, job.status(), job.done.count, job.running())

    async def _submit(self, body):
        node = self._node
        try:
            spec = messages.read(body, messages.JobSpec)
            spec.check()
        except messages.Invalid as error:
            return 400, messages.error(str(error)), None
        known = self._known(spec.id)
        if known is not None:
            return 200, known, None
        if not node.member.joined or not node.home.known.types:
            return REFUSED
        if node.book.knows(spec.id):
            record = await node.read(spec.id)
            return (200, self._state(record, spec.id), None) if record else REFUSED
        if spec.upstream and not node.member.gate.open:
            node.counters.add("refused_before_gate")
            return BEFORE_GATE
        if spec.upstream is not None:
            spec = msgspec.structs.replace(spec, upstream=list(dict.fromkeys(spec.upstream)) or None)
        fault, cancelled = node.impossible(spec), False
        if not fault and spec.upstream:
            fault, cancelled = await node.ancestry.admission(spec, node.own(spec))
        if fault:
            record = await node.read(spec.id)
            if record:
                return 200, self._state(record, spec.id), None
            return 422, messages.error(fault), None
        if node.desk is not None and spec.id not in node.book.pending():
            refusal = node.desk.refusal(spec, node.most_creating)
            if refusal is not None:
                record = await node.read(spec.id)  # a retry of an accepted job is answered as ever
                if record:
                    return 200, self._state(record, spec.id), None
                return refusal.status, messages.error(refusal.text), refusal.retry_after
        if node.member.lapsed() or node.book.recorder.backlog() > node.most_creating:
            node.counters.add("refused_busy")
            return 503, messages.error("too much at once"), 2
        new, record = await self._loop.within(self._create_s, node.book.create(spec))
        if new:
            if cancelled:
                node.book.line.cancelled_above(spec)
            known = self._known(spec.id)  # accepted, and cancelled with a job that it needs
            return 201, known or messages.job_status(spec.id, "pending"), None
        if record is None:
            return REFUSED
        if before(record):  # whether it is cancelled is not in its record alone
            record = await node.read(spec.id)
        return 200, self._state(record, spec.id), None

    async def _poll(self, job_id):
        if not messages.JOB_ID.match(job_id):
            return 404, messages.error("no such job"), None
        known = self._known(job_id)
        if known is not None:
            return 200, known, None
        record = await self._node.read(job_id)
        if record is None:
            return 404, messages.error("no such job"), None
        return 200, self._state(record, job_id), None

    async def _cancel(self, job_id):
        node = self._node
        if not messages.JOB_ID.match(job_id):
            return 404, messages.error("no such job"), None
        if not node.member.joined:
            return REFUSED
        for _ in range(5):
            known = node.book.finals.get(job_id)
            if known is None:
                known, stamp = await find(node.state, job_id)
            if known is None:
                return 404, messages.error("no such job"), None
            if known["s"] in FINAL:
                node.book.remember(job_id, known)
                return 200, self._final(known, job_id), None
            record = closing(known)
            try:
                revision = await node.state.multi(
                    [(KEY + job_id, stamp)],
                    [
                        {"put": KEY + job_id, "data": record},
                        {"put": CANCEL + job_id, "data": True},
                        {"put": CANCELS, "data": job_id},
                    ],
                )
            except (Conflict, Unsure):
                continue
            node.book.remember(job_id, record)
            node.shelf.add(job_id, record, revision)
            node.book.cancelled(job_id, record)
            node.cancelled([job_id])
            return 200, messages.job_status(job_id, "cancelled"), None
        return REFUSED
