"""The client of the state service: reads, transactions, leases and watches, within its rate limits.

Errors tell what became of a request. `UnavailableError`: it was not executed. `UnknownOutcomeError`: there
was no answer, so it may have been executed or may still be. `ConflictError`: a condition of a transaction
failed. Nothing is retried here, since only the callers know whether that is safe.
"""

import logging

from roadhead.runtime.rate import Bucket
from roadhead.state.latency import ResponseTimeEstimator
from roadhead.wire import messages
from roadhead.wire.http import HttpClient, NoResponseError

log = logging.getLogger("roadhead.state")


USABLE_SHARE = 0.95  # of a rate limit is used
ANSWER_TIMEOUT_S = 3.0  # the longest wait for an answer
COMPARE_TIMEOUT_S = 1.5  # the longest wait for a transaction without writes, for which users wait
MIN_FAILURES = 2  # failures in a row after which the service counts as failing; a single one may be chance
IDLE_SHARE = 0.2  # of its equal part is left to a controller that uses less than that


class UnavailableError(Exception):
    """The request was not executed."""


class RequestTooLargeError(UnavailableError):
    """A value or a transaction exceeds the service's size limits, so a retry would be refused as well."""


class UnknownOutcomeError(Exception):
    """There was no usable answer: the request may have been executed, or may still be."""


class ConflictError(Exception):
    """Conditions of a transaction don't hold; `failed`: their keys."""

    def __init__(self, failed):
        super().__init__(f"changed meanwhile: {failed}")
        self.failed = failed


class CompactedError(Exception):
    """The changes asked for were compacted away; the caller must list the keys anew."""


class LeaseExpiredError(Exception):
    """The lease has expired."""


class StateClient:
    """Requests of one controller to the state service.

    `limits`: the limits for the whole deployment, which `nodes` controllers share; `on_lowered()` is called
    once when the service first refuses a request for its rate, and so has its announced lower limits.
    """

    def __init__(self, loop, net, address, limits, nodes, on_lowered=None):
        self._loop = loop
        self._http = HttpClient(loop, net, address, max_idle=6)
        # Sizes respect the lower limits from the start, since stored values must stay valid; the rates are
        # lowered only when the service refuses a request.
        self.limits = limits.planned()
        self._lower_limits = limits.lowered()
        self._on_lowered = on_lowered
        self.lowered = False  # whether the lower limits apply
        self._node_count = nodes
        rps, writes = self.limits.rps / nodes, self.limits.write_rps / nodes
        self.requests = Bucket(loop, USABLE_SHARE * rps, rps)
        self.writes = Bucket(loop, USABLE_SHARE * writes, writes)
        self.answers = ResponseTimeEstimator(ANSWER_TIMEOUT_S)  # of transactions
        self.ok_at = -1e9  # when the last request that got a proper answer was sent
        self._failing_since = None  # when the first request that failed since then was sent
        self._failure_count = 0  # requests that failed since then

    @property
    def batch(self):
        """How many writes to put into one transaction, where the caller can choose.

        At most one second's worth of this controller's part of the write rate, and at most what a transaction
        takes.
        """
        return max(1, min(int(self.limits.write_rps / self._node_count), int(self.limits.txn_ops)))

    def divide_limits(self, others):
        """Sets this controller's part of the rate limits: an equal part, or what the others leave if more.

        `others`: for each other controller its (requests, writes) per second, or None for one whose use is
        not known, and which may use its equal part.
        """
        for index, (bucket, limit) in enumerate(
            ((self.requests, self.limits.rps), (self.writes, self.limits.write_rps))
        ):
            equal_part = limit / self._node_count
            # An idle controller keeps a part of its own, so that it can send at once when it has work.
            available = limit - sum(
                equal_part if used is None else min(equal_part, max(used[index], IDLE_SHARE * equal_part))
                for used in others
            )
            rate = USABLE_SHARE * max(equal_part, available)
            if abs(rate - bucket.rate) > 0.05 * bucket.rate:
                bucket.retune(rate)

    def apply_lower_limits(self):
        """Applies the lower limits, which the settings announce under `next`; they are never raised again."""
        if self.limits == self._lower_limits:
            return
        self.lowered = True
        log.info(
            "the state service's lower limits apply now: %g requests, %g writes per second",
            self._lower_limits.rps,
            self._lower_limits.write_rps,
        )
        self.limits = self._lower_limits
        for bucket, limit in ((self.requests, self.limits.rps), (self.writes, self.limits.write_rps)):
            bucket.retune(min(bucket.rate, USABLE_SHARE * limit / self._node_count))
        if self._on_lowered is not None:
            self._on_lowered()

    def failing_for_s(self):
        """Returns for how many seconds the service has failed to answer; 0 while it answers.

        The member's duties go on sending requests, so this returns to 0 soon after the service recovers.
        """
        return self._loop.now() - self._failing_since if self._failure_count >= MIN_FAILURES else 0.0

    def _count_failure(self, sent_at):
        """Counts a failure, unless a request sent later has been answered."""
        if sent_at <= self.ok_at:
            return
        if not self._failure_count:
            self._failing_since = sent_at
        self._failure_count += 1

    async def _call(self, method, target, body=b"", timeout=ANSWER_TIMEOUT_S):
        await self.requests.take()
        return await self._send(method, target, body, timeout)

    async def _send(self, method, target, body, timeout):
        sent_at = self._loop.now()
        try:
            status, data, _headers = await self._http.request(method, target, body, timeout)
        except NoResponseError as error:
            self._count_failure(sent_at)
            if error.sent:
                raise UnknownOutcomeError(str(error)) from None
            raise UnavailableError(str(error)) from None
        if status == 429:
            self.requests.empty()
            if target == "/multi":
                self.writes.empty()
            self.apply_lower_limits()
            raise UnavailableError("429")
        if status >= 500:
            self._count_failure(sent_at)
            raise UnavailableError(str(status))
        try:
            value = messages.decode_map(data) if data else {}
        except messages.InvalidMessageError as error:
            raise UnknownOutcomeError(str(error)) from None
        self.ok_at = max(self.ok_at, sent_at)
        if self._failure_count and sent_at >= self._failing_since:
            self._failure_count = 0
        return status, value

    async def get(self, key):
        """Returns (value, stamp) of a key, or (None, 0) if it does not exist."""
        status, answer = await self._call("GET", f"/store/{key}")
        if status == 404:
            return None, 0
        if status != 200:
            raise UnavailableError(f"get {key}: {status}")
        return answer["data"], answer["stamp"]

    async def page(self, prefix, after="", limit=1000):
        """Returns ([(key, value, stamp)], whether there are more, revision): one page after a key."""
        target = f"/store?under={prefix}&limit={limit}" + (f"&after={after}" if after else "")
        status, answer = await self._call("GET", target, timeout=6.0)
        if status != 200:
            raise UnavailableError(f"list {prefix}: {status}")
        items = [(item["k"], item["data"], item["stamp"]) for item in answer["items"]]
        return items, bool(answer.get("hasNext") and items), answer["epoch"]

    async def list(self, prefix):
        """Returns all (key, value, stamp) under `prefix`, and the revision of the first page."""
        entries, more, revision = await self.page(prefix)
        while more:
            items, more, _revision = await self.page(prefix, entries[-1][0])
            entries += items
        return entries, revision

    async def multi(self, conditions, writes, patient=False):
        """Executes a transaction and returns its revision.

        `conditions`: (key, stamp) pairs that must all hold; `patient`: waits for the longest time for the
        answer, as the caller won't look up the outcome if there is none.

        Raises ConflictError, LeaseExpiredError, RequestTooLargeError, UnavailableError or
        UnknownOutcomeError.
        """
        await self.writes.take(len(writes))
        return await self.send(conditions, writes, patient)

    async def send(self, conditions, writes, patient=False):
        """Executes a transaction as `multi` does, for writes already counted against the write rate."""
        timeout_s = ANSWER_TIMEOUT_S if patient else self.answers.timeout_s
        status, answer = await self._send_transaction(conditions, writes, timeout_s)
        if status == 200:
            return answer["epoch"]
        if status == 409:
            raise ConflictError(answer.get("failed", []))
        if status == 400 and answer.get("error") == "no such lease":
            raise LeaseExpiredError
        log.error("the state service refused a transaction: %s %s", status, answer)
        if status == 400:
            raise RequestTooLargeError(str(answer.get("error", "")))
        raise UnavailableError(f"multi: {status}")

    async def check_conditions(self, conditions):
        """Checks that every (key, stamp) holds. Returns the revision at which it does.

        Raises ConflictError with the keys that changed, UnavailableError or UnknownOutcomeError.
        """
        timeout_s = min(COMPARE_TIMEOUT_S, self.answers.timeout_s)
        status, answer = await self._send_transaction(conditions, [], timeout_s)
        if status == 409:
            raise ConflictError(answer.get("failed", []))
        if status != 200:
            raise UnavailableError(f"multi: {status}")
        return answer["epoch"]

    async def _send_transaction(self, conditions, writes, timeout_s):
        """Sends a transaction, measures its response time, and returns (status, answer)."""
        body = {"if": [{"k": key, "stamp": stamp} for key, stamp in conditions], "writes": writes}
        await self.requests.take()
        sent_at = self._loop.now()
        deadline = sent_at + timeout_s
        try:
            answered = await self._send("POST", "/multi", messages.encode(body), timeout_s)
        except UnknownOutcomeError:
            if self._loop.now() >= deadline:  # else the connection broke, which is no timeout
                self.answers.record_timeout()
            raise
        self.answers.record_answer(self._loop.now() - sent_at)
        return answered

    async def lease(self, life_s):
        """Creates a lease that expires after `life_s` seconds without renewal. Returns its id."""
        body = messages.encode({"lifeMs": int(life_s * 1000)})
        status, answer = await self._call("POST", "/leases", body)
        if status != 200:
            raise UnavailableError(f"lease: {status}")
        return answer["permit"]

    async def renew_lease(self, permit):
        """Renews a lease. Raises LeaseExpiredError if it has expired."""
        status, _answer = await self._call("POST", f"/leases/{permit}/touch", timeout=1.5)
        if status == 404:
            raise LeaseExpiredError
        if status != 200:
            raise UnavailableError(f"touch: {status}")

    async def changes(self, prefix, after, wait_s):
        """Waits up to `wait_s` for changes under `prefix` after the revision `after`.

        Returns (events, revision). Raises CompactedError if changes after that revision are no longer kept.
        """
        target = f"/changes?under={prefix}&after={after}&waitMs={int(wait_s * 1000)}"
        status, answer = await self._call("GET", target, timeout=wait_s + 2.0)
        if status == 410:
            raise CompactedError
        if status != 200:
            raise UnavailableError(f"changes: {status}")
        return answer["log"], answer["epoch"]
