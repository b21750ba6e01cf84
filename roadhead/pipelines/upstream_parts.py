"""Lists of upstream jobs too long for a record: parts under keys of their own, written before the head.

`u/ID/NONCE/NNNN` holds a part; the job's record names the nonce and how many there are. A nonce belongs to
one try to create the job, so that two tries never mix; parts that no open record names are left over, and
are collected later by whoever comes by.
"""

import logging
import secrets

from roadhead.jobs.job import KEY
from roadhead.shards.hashing import rendezvous_choice
from roadhead.state.client import ConflictError, RequestTooLargeError, UnavailableError, UnknownOutcomeError

log = logging.getLogger("roadhead.parts")

PARTS = "u/"
TXN_BYTES = 48 * 1024  # of a transaction of 64 KiB
LEFT_LEASES = 10  # no creation takes as long: what no record names by then is left over


def split(names, largest, at):
    """Values of at most `largest` bytes as JSON that hold the names in order; `at`: time of day."""
    values, size = [], largest
    for name in names:
        size += len(name) + 4
        if size > largest:
            values.append({"at": round(at, 1), "ids": []})
            size = 40 + len(name)
        values[-1]["ids"].append(name)
    return values


def key(job_id, nonce, number):
    return f"{PARTS}{job_id}/{nonce}/{number:04d}"


async def whole(state, job_id, record):
    """The record with its list of upstream jobs put together. Raises Unavailable or Unsure."""
    if record is None or "up" not in record:
        return record
    nonce, count = record["up"]
    items, _revision = await state.list(f"{PARTS}{job_id}/{nonce}/")
    if len(items) != count:
        raise UnavailableError(f"{len(items)} of {count} parts of {job_id}")
    names = [name for _key, value, _stamp in items for name in value["ids"]]
    return {**record, "spec": {**record["spec"], "upstream": names}}


class UpstreamParts:
    """Writes parts, and collects those left over."""

    def __init__(self, loop, state, member, time_of_day, lease_s):
        self._loop = loop
        self._state = state
        self._member = member
        self._time_of_day = time_of_day
        self._lease_s = lease_s
        self._after = ""

    async def write(self, job_id, names, until):
        """((nonce, count), the condition under which alone the head may be written), once all are; None if
        that did not come about by then.

        The head may be written very late, by a transaction that nobody waits for any more: by then the
        parts may have been collected, the first of them first.
        """
        nonce = secrets.token_hex(4)
        largest = self._state.limits.value_bytes
        values = split(names, largest, self._time_of_day())
        at, first = 0, 0
        while at < len(values):
            most = max(1, min(self._state.batch, TXN_BYTES // largest))
            writes = [
                {"put": key(job_id, nonce, number), "data": values[number]}
                for number in range(at, min(at + most, len(values)))
            ]
            try:
                stamp = await self._state.multi([], writes)
                first = first or stamp
                at += len(writes)
            except RequestTooLargeError:
                return None
            # the same values under the same keys: again
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("parts of %s: %r", job_id, error)
                await self._loop.sleep(self._lease_s / 48)
            if self._loop.now() > until:
                return None
        return (nonce, len(values)), (key(job_id, nonce, 0), first)

    async def collect(self):
        """Duty: one controller looks through all parts now and then."""
        while True:
            await self._loop.sleep(2 * self._lease_s)
            member = self._member
            if not member.joined or rendezvous_choice(member.term.members, "parts") != member.label:
                continue
            try:
                await self._collect_some()
            except (UnavailableError, UnknownOutcomeError, ConflictError) as error:
                log.debug("collecting parts: %r", error)

    async def _collect_some(self):
        items, more, _revision = await self._state.page(PARTS, self._after, 100)
        self._after = items[-1][0] if more else ""
        old = self._time_of_day() - LEFT_LEASES * self._lease_s
        heads, left = {}, []
        for name, value, stamp in items:
            if value["at"] > old:
                continue
            job_id, nonce, _number = name[len(PARTS) :].split("/")
            if job_id not in heads:
                record, _stamp = await self._state.get(KEY + job_id)
                heads[job_id] = record["up"][0] if record is not None and "up" in record else None
            if heads[job_id] != nonce:
                left.append((name, stamp))
        most = max(1, self._state.batch // 2)
        for at in range(0, len(left), most):
            some = left[at : at + most]
            await self._state.multi(some, [{"drop": name} for name, _stamp in some])
