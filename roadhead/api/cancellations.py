"""Cancellations of jobs by their users."""

from roadhead.api.answers import NO_JOB, Answer, Cause, RefusedError
from roadhead.jobs.job import FINAL, KEY, closing
from roadhead.jobs.records import find
from roadhead.pipelines.ancestry import CANCELS
from roadhead.state.client import Conflict, Unavailable, Unsure
from roadhead.wire import messages
from roadhead.wire.messages import JOB_ID

CANCEL = "c/x/"
ROUNDS = 5  # of writing against a record that changes
PAUSE_PART = 1 / 8  # of the time for them, after a request that the state service refused


class Cancellations:
    """`node`: the controller's Node; `states`: a JobStates; `readiness`: a Readiness; `wait_s`: no further
    round begins after that long, as the user does not wait for its outcome."""

    def __init__(self, loop, node, states, readiness, wait_s):
        self._loop = loop
        self._node = node
        self._states = states
        self._readiness = readiness
        self._wait_s = wait_s

    async def answer(self, job_id):
        """The Answer to POST /v1/jobs/{id}/cancel. Raises one of UNCERTAIN."""
        if not JOB_ID.match(job_id):
            return NO_JOB
        until = self._loop.now() + self._wait_s
        await self._readiness.until(self._readiness.lacks_membership)
        if job_id not in self._node.book.finals:
            self._readiness.check_state()
        refused_before = False
        for _ in range(ROUNDS):
            try:
                return await self._round(job_id)
            except Conflict:
                cause = Cause.CONFLICTS
            except Unsure:
                cause = Cause.STATE_UNSURE
            except Unavailable:
                if refused_before:
                    raise
                refused_before = True  # beyond the rates: there is room again soon, unless it is an outage
                cause = Cause.STATE_UNAVAILABLE
                await self._loop.sleep(self._wait_s * PAUSE_PART)
            if self._loop.now() > until:
                break
        raise RefusedError(cause)

    async def _round(self, job_id):
        """The Answer by the job's record, which is made final if it is open.

        Raises Conflict if the record changed meanwhile, Unsure if an answer was lost: then the next round
        reads what came of it. Raises Unavailable if nothing was done.
        """
        node = self._node
        known = node.book.finals.get(job_id)
        if known is None:
            known, stamp = await find(node.state, job_id)
        if known is None:
            return NO_JOB
        if known["s"] in FINAL:
            node.book.remember(job_id, known)
            return self._states.final_answer(job_id, known)
        record = closing(known)
        self._apply(job_id, record, await self._write(job_id, record, stamp))
        return Answer(200, messages.job_status(job_id, "cancelled"))

    async def _write(self, job_id, record, stamp):
        """Writes the final record under its stamp, the mark that every controller watches, and the key whose
        change tells polls that some job was cancelled. Returns the revision."""
        return await self._node.state.multi(
            [(KEY + job_id, stamp)],
            [
                {"put": KEY + job_id, "data": record},
                {"put": CANCEL + job_id, "data": True},
                {"put": CANCELS, "data": job_id},
            ],
        )

    def _apply(self, job_id, record, revision):
        """The cancellation is durable: its tasks are stopped and the other controllers told."""
        node = self._node
        node.book.remember(job_id, record)
        node.shelf.add(job_id, record, revision)
        node.book.cancelled(job_id, record)
        node.cancelled([job_id])
