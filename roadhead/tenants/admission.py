"""Decides whether a tenant's request is admitted: pure functions, used by gateways and controllers alike.

A gateway applies the tenant's rate limit and so keeps floods away from the controllers. All submissions of a
tenant go through its quota leader, which also checks what only it knows: the rate over all gateways, the open
jobs and the waiting tasks.
"""

from typing import NamedTuple

from roadhead.runtime.rate import Bucket
from roadhead.tenants.records import ACTIVE, REMOVED, REMOVING, SUSPENDED

BURST_S = 10.0
LIMIT_RETRY_S = 5  # `Retry-After` for a tenant that has reached its limits
CREATION_SHARE = 0.25  # largest fraction of the creations that can be written in time for one tenant
CREATION_SHARE_WITHIN_GUARANTEE = 0.5  # the same for work within a guarantee
MAX_BUCKETS = 4096


class Refusal(NamedTuple):
    """A final answer: HTTP status, a fixed text, seconds for `Retry-After` or None.

    The text must name no other tenant.
    """

    status: int
    text: str
    retry_after: int | None = None


REMOVED_REFUSAL = Refusal(410, "the tenant is removed")
SUSPENDED_REFUSAL = Refusal(403, "the tenant is suspended")
TOO_FAST = "more submissions than the tenant's rate allows"
TOO_MANY_JOBS = "as many open jobs as the tenant may have"
TOO_MANY_TASKS = "as many waiting tasks as the tenant may have"
TOO_MUCH_AT_ONCE = "more submissions at once than can be written in time"
UNKNOWN_REFUSAL = Refusal(503, "not able to say now", 1)


def state_refusal(tenant):
    """Returns the Refusal if the tenant's state doesn't allow submissions, else None."""
    if tenant.state in (REMOVING, REMOVED):
        return REMOVED_REFUSAL
    if tenant.state == SUSPENDED:
        return SUSPENDED_REFUSAL
    return None if tenant.state == ACTIVE else UNKNOWN_REFUSAL


def limit_refusal(limits, open_jobs, waiting_tasks, tasks):
    """Returns the Refusal if one more job with `tasks` tasks exceeds the tenant's limits, else None."""
    if limits.open_jobs and open_jobs >= limits.open_jobs:
        return Refusal(429, TOO_MANY_JOBS, LIMIT_RETRY_S)
    if limits.waiting_tasks and waiting_tasks + tasks > limits.waiting_tasks:
        return Refusal(429, TOO_MANY_TASKS, LIMIT_RETRY_S)
    return None


def creation_refusal(creating, max_creations, within):
    """Returns the Refusal if a tenant has too many creations in progress, else None.

    The remaining ones are left to other tenants. Work `within` its team's guarantee may take half of all.
    """
    if creating >= max(
        1, int((CREATION_SHARE_WITHIN_GUARANTEE if within else CREATION_SHARE) * max_creations)
    ):
        return Refusal(429, TOO_MUCH_AT_ONCE, 1)
    return None


class SubmissionRates:
    """Rate limits of submissions: a token bucket for each recently seen tenant.

    The least recently used bucket beyond MAX_BUCKETS is dropped; it has long been full again by then.
    """

    def __init__(self, loop):
        self._loop = loop
        self._buckets = {}  # tenant number -> Bucket, least recently used first

    def take(self, tenant):
        """Takes one submission from the tenant's rate. Returns None, or the Refusal beyond the rate."""
        rate = tenant.limits.submissions
        bucket = self._buckets.pop(tenant.number, None)
        if bucket is None or bucket.rate != rate:
            bucket = Bucket(self._loop, rate, BURST_S * rate)
        self._buckets[tenant.number] = bucket
        if len(self._buckets) > MAX_BUCKETS:
            del self._buckets[next(iter(self._buckets))]
        if bucket.try_take():
            return None
        wait_s = (1.0 - bucket.level()) / rate
        return Refusal(429, TOO_FAST, max(1, min(30, int(wait_s + 1))))
