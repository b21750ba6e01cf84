"""Cancellations of jobs by their users."""

from roadhead.api.answers import NO_JOB, Answer, Cause, RefusedError
from roadhead.api.cancellation_writer import CancellationWriter
from roadhead.state.client import ConflictError, UnavailableError, UnknownOutcomeError
from roadhead.wire import messages
from roadhead.wire.messages import JOB_ID

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
        self._writer = CancellationWriter(loop, node.state, wait_s / 2)

    async def answer(self, job_id):
        """The Answer to POST /v1/jobs/{id}/cancel. Raises one of UNCERTAIN."""
        if not JOB_ID.match(job_id):
            return NO_JOB
        until = self._loop.now() + self._wait_s
        await self._readiness.until(self._readiness.lacks_membership)
        if job_id not in self._node.job_store.final_records:
            self._readiness.check_state()
        refused_before = False
        for _ in range(ROUNDS):
            try:
                return await self._round(job_id)
            except ConflictError:
                cause = Cause.CONFLICTS
            except UnknownOutcomeError:
                cause = Cause.STATE_UNSURE
            except UnavailableError:
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
        known = self._states.final(job_id)
        if known is not None:
            return known
        record, revision = await self._writer.cancel(job_id)
        if record is None:
            return NO_JOB
        if not revision:
            self._node.job_store.remember_final(job_id, record)
            return self._states.final_answer(job_id, record)
        self._apply(job_id, record, revision)
        return Answer(200, messages.job_status(job_id, "cancelled"))

    def _apply(self, job_id, record, revision):
        """The cancellation is durable: its tasks are stopped and the other controllers told."""
        node = self._node
        node.job_store.remember_final(job_id, record)
        node.archiver.add(job_id, record, revision)
        node.job_store.cancelled(job_id, record)
        node.announce_cancelled([job_id])
