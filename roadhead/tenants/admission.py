"""Whether a tenant's request is taken: pure decisions, the same at gateways and controllers.

A gateway lets through what the tenant's rate allows and so keeps a flood away from the
controllers. The tenant's warden, through which all its submissions come, decides again by what
it alone knows: the rate over all gateways, the open jobs, the tasks that wait.
"""

from typing import NamedTuple

from roadhead.runtime.rate import Bucket
from roadhead.tenants.records import ACTIVE, REMOVED, REMOVING, SUSPENDED

BURST_S = 10.0
FULL_S = 5  # after which it is worth asking again when a tenant is full
PART = 0.25  # of the creations that can be written in time are one tenant's at the most
PART_WITHIN = 0.5  # the same for work within a guarantee
KEPT_MOST = 4096


class Refusal(NamedTuple):
    """The final answer: HTTP status, a fixed text that names nobody, seconds to wait or None."""

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
    """Why a tenant of this state may not submit, or None."""
    if tenant.state in (REMOVING, REMOVED):
        return REMOVED_REFUSAL
    if tenant.state == SUSPENDED:
        return SUSPENDED_REFUSAL
    return None if tenant.state == ACTIVE else UNKNOWN_REFUSAL


def limit_refusal(limits, open_jobs, waiting_tasks, tasks):
    """Why one more job with so many tasks is too much for the tenant, or None."""
    if limits.open_jobs and open_jobs >= limits.open_jobs:
        return Refusal(429, TOO_MANY_JOBS, FULL_S)
    if limits.waiting_tasks and waiting_tasks + tasks > limits.waiting_tasks:
        return Refusal(429, TOO_MANY_TASKS, FULL_S)
    return None


def creation_refusal(creating, most, within):
    """Why a tenant with so many creations under way must wait, or None: others need the rest.

    Work `within` its team's guarantee may take half of all.
    """
    if creating >= max(1, int((PART_WITHIN if within else PART) * most)):
        return Refusal(429, TOO_MUCH_AT_ONCE, 1)
    return None


class Rates:
    """A token bucket for each tenant seen lately. What is forgotten was full again long since."""

    def __init__(self, loop):
        self._loop = loop
        self._buckets = {}  # number -> Bucket, the least lately used first

    def take(self, tenant):
        """None if one more submission is within the rate, else the Refusal."""
        rate = tenant.limits.submissions
        bucket = self._buckets.pop(tenant.number, None)
        if bucket is None or bucket.rate != rate:
            bucket = Bucket(self._loop, rate, BURST_S * rate)
        self._buckets[tenant.number] = bucket
        if len(self._buckets) > KEPT_MOST:
            del self._buckets[next(iter(self._buckets))]
        if bucket.try_take():
            return None
        wait_s = (1.0 - bucket.level()) / rate
        return Refusal(429, TOO_FAST, max(1, min(30, int(wait_s + 1))))
