"""Cancels jobs for their users."""

from roadhead.api.answers import NO_JOB, Answer, Cause, RefusedError
from roadhead.api.cancellation_writer import CancellationWriter
from roadhead.state.client import ConflictError, UnavailableError, UnknownOutcomeError
from roadhead.wire import messages
from roadhead.wire.messages import JOB_ID

MAX_ATTEMPTS = 5  # compare-and-set attempts against a record that keeps changing
PAUSE_FRACTION = 1 / 8  # fraction of `wait_s` to pause after the state service refused a request


class Cancellations:
    """Answers cancellation requests.

    `node`: the controller's Node; `states`: a JobStates; `readiness`: a Readiness; `wait_s`: no further
    attempt begins after this time, as the user would no longer wait for its outcome.
    """

    def __init__(self, loop, node, states, readiness, wait_s):
        self._loop = loop
        self._node = node
        self._states = states
        self._readiness = readiness
        self._wait_s = wait_s
        self._writer = CancellationWriter(loop, node.state, wait_s / 2)

    async def answer(self, job_id):
        """Returns the Answer to POST /v1/jobs/{id}/cancel. Raises one of UNCERTAIN_ERRORS."""
        if not JOB_ID.match(job_id):
            return NO_JOB
        deadline = self._loop.now() + self._wait_s
        await self._readiness.until(self._readiness.lacks_membership)
        if job_id not in self._node.job_store.final_records:
            self._readiness.check_state()
        refused_before = False
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._attempt(job_id)
            except ConflictError:
                cause = Cause.CONFLICTS
            except UnknownOutcomeError:
                cause = Cause.STATE_UNSURE
            except UnavailableError:
                if refused_before:
                    raise
                refused_before = True  # over the rate limit: this soon passes, unless it is an outage
                cause = Cause.STATE_UNAVAILABLE
                await self._loop.sleep(self._wait_s * PAUSE_FRACTION)
            if self._loop.now() > deadline:
                break
        raise RefusedError(cause)

    async def _attempt(self, job_id):
        """Makes the job's record final if it is open, and returns the Answer.

        Raises ConflictError if the record changed meanwhile, or UnknownOutcomeError if the state service's
        answer was lost: the next attempt reads the outcome. Raises UnavailableError if nothing was written.
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
        """Applies a durable cancellation: stops the job's tasks and notifies the other controllers."""
        node = self._node
        node.job_store.remember_final(job_id, record)
        node.archiver.add(job_id, record, revision)
        node.job_store.cancelled(job_id, record)
        node.announce_cancelled([job_id])
