"""Stores dependency lists that are too long for a record, as parts under keys of their own.

`u/ID/NONCE/NNNN` holds a part. The parts are written before the job's record, which names the nonce and their
number. A nonce belongs to one attempt to create the job, so that the parts of two attempts never mix. Parts
that no open record names are left over, and one controller deletes them later.
"""

import logging
import secrets

from roadhead.jobs.job import RECORD_PREFIX
from roadhead.shards.hashing import rendezvous_choice
from roadhead.state.client import ConflictError, RequestTooLargeError, UnavailableError, UnknownOutcomeError

log = logging.getLogger("roadhead.parts")

PARTS_PREFIX = "u/"
MAX_PART_BYTES_PER_TRANSACTION = 48 * 1024  # bytes of parts in one transaction, of which 64 KiB are allowed
# In workers' leases. No creation takes that long, so parts that are older and that no record names are left
# over.
LEFT_OVER_AGE_LEASES = 10


def split_names(names, largest, at):
    """Returns values of at most `largest` bytes as JSON that hold the names in order.

    `at` is the time of day that is stored with them.
    """
    values, size = [], largest
    for name in names:
        size += len(name) + 4
        if size > largest:
            values.append({"at": round(at, 1), "ids": []})
            size = 40 + len(name)
        values[-1]["ids"].append(name)
    return values


def part_key(job_id, nonce, number):
    """Returns the key of a part."""
    return f"{PARTS_PREFIX}{job_id}/{nonce}/{number:04d}"


async def with_upstream(state, job_id, record):
    """Returns the record with its dependency list put together.

    Raises UnavailableError or UnknownOutcomeError.
    """
    if record is None or "up" not in record:
        return record
    nonce, count = record["up"]
    items, _revision = await state.list(f"{PARTS_PREFIX}{job_id}/{nonce}/")
    if len(items) != count:
        raise UnavailableError(f"dependency list of job {job_id} has {len(items)} parts, expected {count}")
    names = [name for _key, value, _stamp in items for name in value["ids"]]
    return {**record, "spec": {**record["spec"], "upstream": names}}


class UpstreamParts:
    """Writes the parts of dependency lists, and deletes those left over."""

    def __init__(self, loop, state, member, time_of_day, lease_s):
        self._loop = loop
        self._state = state
        self._member = member
        self._time_of_day = time_of_day
        self._lease_s = lease_s
        self._after = ""

    async def write(self, job_id, names, until):
        """Writes the parts of a job's dependency list.

        Returns ((nonce, count), the condition under which alone the job's record may be written), or None if
        the parts could not be written by `until`, a time on the loop's clock. The record needs the condition
        because a transaction that nobody waits for any more may write it very late, when the parts may have
        been deleted, the first of them first.
        """
        nonce = secrets.token_hex(4)
        largest = self._state.limits.value_bytes
        values = split_names(names, largest, self._time_of_day())
        at, first = 0, 0
        while at < len(values):
            max_parts = max(1, min(self._state.batch, MAX_PART_BYTES_PER_TRANSACTION // largest))
            writes = [
                {"put": part_key(job_id, nonce, number), "data": values[number]}
                for number in range(at, min(at + max_parts, len(values)))
            ]
            try:
                stamp = await self._state.multi([], writes)
                first = first or stamp
                at += len(writes)
            except RequestTooLargeError:
                return None
            # the same values are written again under the same keys
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("dependency list of job %s was not written, trying again: %r", job_id, error)
                await self._loop.sleep(self._lease_s / 48)
            if self._loop.now() > until:
                return None
        return (nonce, len(values)), (part_key(job_id, nonce, 0), first)

    async def collect(self):
        """Duty: one of the controllers goes through all parts now and then."""
        while True:
            await self._loop.sleep(2 * self._lease_s)
            member = self._member
            if not member.joined or rendezvous_choice(member.term.members, "parts") != member.label:
                continue
            try:
                await self._collect_page()
            except (UnavailableError, UnknownOutcomeError, ConflictError) as error:
                log.debug("left-over parts of dependency lists were not deleted: %r", error)

    async def _collect_page(self):
        """Reads one page of parts and deletes those left over."""
        items, more, _revision = await self._state.page(PARTS_PREFIX, self._after, 100)
        self._after = items[-1][0] if more else ""
        oldest_kept_at = self._time_of_day() - LEFT_OVER_AGE_LEASES * self._lease_s
        current_nonces, left_over = {}, []
        for name, value, stamp in items:
            if value["at"] > oldest_kept_at:
                continue
            job_id, nonce, _number = name[len(PARTS_PREFIX) :].split("/")
            if job_id not in current_nonces:
                record, _stamp = await self._state.get(RECORD_PREFIX + job_id)
                current_nonces[job_id] = record["up"][0] if record is not None and "up" in record else None
            if current_nonces[job_id] != nonce:
                left_over.append((name, stamp))
        max_parts = max(1, self._state.batch // 2)
        for at in range(0, len(left_over), max_parts):
            chunk = left_over[at : at + max_parts]
            await self._state.multi(chunk, [{"drop": name} for name, _stamp in chunk])
