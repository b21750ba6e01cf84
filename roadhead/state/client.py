"""Requests to the state service, within its rates.

`UnavailableError`: not executed. `UnknownOutcomeError`: no answer, so it may have been executed or may
still be. `ConflictError`: a condition failed. Nothing here retries; callers know what is safe.
"""

import logging

from roadhead.runtime.rate import Bucket
from roadhead.state.latency import ResponseTimeEstimator
from roadhead.wire import messages
from roadhead.wire.http import Client, NoResponseError

log = logging.getLogger("roadhead.state")


USABLE = 0.95  # of a limit
ANSWER_MOST_S = 3.0  # the longest wait for an answer
COMPARE_MOST_S = 1.5  # and for that of a transaction that only compares, for which users wait
FAILURES = 2  # one alone may be chance
IDLE_PART = 0.2  # of its equal part is left to a controller that uses less


class UnavailableError(Exception):
    pass


class RequestTooLargeError(UnavailableError):
    """A value or a transaction is beyond the limits: the same again would be refused again."""


class UnknownOutcomeError(Exception):
    pass


class ConflictError(Exception):
    def __init__(self, failed):
        super().__init__(f"changed meanwhile: {failed}")
        self.failed = failed


class CompactedError(Exception):
    """The changes asked for are no longer kept."""


class LeaseExpiredError(Exception):
    pass


class StateClient:
    """`on_lowered()`: the service's rates are the lower ones now, by what it refused."""

    def __init__(self, loop, net, address, limits, nodes, on_lowered=None):
        self._loop = loop
        self._http = Client(loop, net, address, max_idle=6)
        # Sizes fit both limits from the first write; rates are lower once the service says so.
        self.limits = limits.planned()
        self._lowered = limits.lowered()
        self._on_lowered = on_lowered
        self.lowered = False  # whether the service was found to have its later rates
        self._nodes = nodes
        rps, writes = self.limits.rps / nodes, self.limits.write_rps / nodes
        self.requests = Bucket(loop, USABLE * rps, rps)
        self.writes = Bucket(loop, USABLE * writes, writes)
        self.answers = ResponseTimeEstimator(ANSWER_MOST_S)  # of transactions
        self.ok_at = -1e9  # when the last request that got a proper answer was sent
        self._failing_since = None  # when the first of those was sent that failed since then
        self._failures = 0  # and how many they are

    @property
    def batch(self):
        """Writes in a transaction, as long as that can be chosen: where few controllers share much, what
        each may write in a second is more than a transaction takes."""
        return max(1, min(int(self.limits.write_rps / self._nodes), int(self.limits.txn_ops)))

    def divide_limits(self, others):
        """Sets this controller's part of the limits: an equal one, or what the others leave.

        `others` has for each other controller what it uses of (requests, writes) a second,
        or None for one that may use its equal part unseen.
        """
        for place, (bucket, limit) in enumerate(
            ((self.requests, self.limits.rps), (self.writes, self.limits.write_rps))
        ):
            equal = limit / self._nodes
            # Of what another does not use a part is left to it, for it to start with.
            left = limit - sum(
                equal if used is None else min(equal, max(used[place], IDLE_PART * equal)) for used in others
            )
            rate = USABLE * max(equal, left)
            if abs(rate - bucket.rate) > 0.05 * bucket.rate:
                bucket.retune(rate)

    def apply_lower_limits(self):
        """The service has lowered its limits, as was said beforehand; there is no way back."""
        if self.limits == self._lowered:
            return
        self.lowered = True
        log.info(
            "the state service's rates are lower now: %g requests, %g changes a second",
            self._lowered.rps,
            self._lowered.write_rps,
        )
        self.limits = self._lowered
        for bucket, limit in ((self.requests, self.limits.rps), (self.writes, self.limits.write_rps)):
            bucket.retune(min(bucket.rate, USABLE * limit / self._nodes))
        if self._on_lowered is not None:
            self._on_lowered()

    def failing_for_s(self):
        """For how long the service has answered nothing here; 0 while it does.

        The member's duties go on asking, so that this ends soon after the trouble does.
        """
        return self._loop.now() - self._failing_since if self._failures >= FAILURES else 0.0

    def _failed(self, sent_at):
        if sent_at <= self.ok_at:
            return
        if not self._failures:
            self._failing_since = sent_at
        self._failures += 1

    async def _call(self, method, target, body=b"", timeout=ANSWER_MOST_S):
        await self.requests.take()
        return await self._send(method, target, body, timeout)

    async def _send(self, method, target, body, timeout):
        sent_at = self._loop.now()
        try:
            status, data, _headers = await self._http.request(method, target, body, timeout)
        except NoResponseError as error:
            self._failed(sent_at)
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
            self._failed(sent_at)
            raise UnavailableError(str(status))
        try:
            value = messages.decode_map(data) if data else {}
        except messages.InvalidMessageError as error:
            raise UnknownOutcomeError(str(error)) from None
        self.ok_at = max(self.ok_at, sent_at)
        if self._failures and sent_at >= self._failing_since:
            self._failures = 0
        return status, value

    async def get(self, key):
        """(value, stamp), or (None, 0)."""
        status, answer = await self._call("GET", f"/store/{key}")
        if status == 404:
            return None, 0
        if status != 200:
            raise UnavailableError(f"get {key}: {status}")
        return answer["data"], answer["stamp"]

    async def page(self, prefix, after="", limit=1000):
        """([(key, value, stamp)], whether there is more, revision): one page, after a key."""
        target = f"/store?under={prefix}&limit={limit}" + (f"&after={after}" if after else "")
        status, answer = await self._call("GET", target, timeout=6.0)
        if status != 200:
            raise UnavailableError(f"list {prefix}: {status}")
        items = [(item["k"], item["data"], item["stamp"]) for item in answer["items"]]
        return items, bool(answer.get("hasNext") and items), answer["epoch"]

    async def list(self, prefix):
        """All (key, value, stamp) under `prefix`, and the revision of the first page."""
        found, more, revision = await self.page(prefix)
        while more:
            items, more, _revision = await self.page(prefix, found[-1][0])
            found += items
        return found, revision

    async def multi(self, conditions, writes, patient=False):
        """A transaction; returns its revision. `conditions` are (key, stamp) pairs. `patient`: whoever sends
        it won't look up what became of it, so it is waited for as long as for anything."""
        await self.writes.take(len(writes))
        return await self.send(conditions, writes, patient)

    async def send(self, conditions, writes, patient=False):
        """As `multi`, for writes that were already taken from the budget."""
        timeout_s = ANSWER_MOST_S if patient else self.answers.timeout_s
        status, answer = await self._transact(conditions, writes, timeout_s)
        if status == 200:
            return answer["epoch"]
        if status == 409:
            raise ConflictError(answer.get("failed", []))
        if status == 400 and answer.get("error") == "no such lease":
            raise LeaseExpiredError
        log.error("transaction refused: %s %s", status, answer)
        if status == 400:
            raise RequestTooLargeError(str(answer.get("error", "")))
        raise UnavailableError(f"multi: {status}")

    async def check_conditions(self, conditions):
        """Raises Conflict, naming keys that changed, unless every (key, stamp) still holds."""
        timeout_s = min(COMPARE_MOST_S, self.answers.timeout_s)
        status, answer = await self._transact(conditions, [], timeout_s)
        if status == 409:
            raise ConflictError(answer.get("failed", []))
        if status != 200:
            raise UnavailableError(f"multi: {status}")

    async def _transact(self, conditions, writes, timeout_s):
        """(status, answer) of a transaction."""
        body = {"if": [{"k": key, "stamp": stamp} for key, stamp in conditions], "writes": writes}
        await self.requests.take()
        sent_at = self._loop.now()
        deadline = sent_at + timeout_s
        try:
            answered = await self._send("POST", "/multi", messages.encode(body), timeout_s)
        except UnknownOutcomeError:
            if self._loop.now() >= deadline:  # else the connection broke: that tells nothing of time
                self.answers.record_timeout()
            raise
        self.answers.record_answer(self._loop.now() - sent_at)
        return answered

    async def lease(self, life_s):
        body = messages.encode({"lifeMs": int(life_s * 1000)})
        status, answer = await self._call("POST", "/leases", body)
        if status != 200:
            raise UnavailableError(f"lease: {status}")
        return answer["permit"]

    async def renew_lease(self, permit):
        """Renews a lease; raises LeaseExpiredError."""
        status, _answer = await self._call("POST", f"/leases/{permit}/touch", timeout=1.5)
        if status == 404:
            raise LeaseExpiredError
        if status != 200:
            raise UnavailableError(f"touch: {status}")

    async def changes(self, prefix, after, wait_s):
        """(events, revision): waits up to `wait_s` for changes under `prefix`."""
        target = f"/changes?under={prefix}&after={after}&waitMs={int(wait_s * 1000)}"
        status, answer = await self._call("GET", target, timeout=wait_s + 2.0)
        if status == 410:
            raise CompactedError
        if status != 200:
            raise UnavailableError(f"changes: {status}")
        return answer["log"], answer["epoch"]
