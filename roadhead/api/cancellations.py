"""Cancellations of jobs by their users."""

from roadhead.api.answers import NO_JOB, Answer, Cause, RefusedError
from roadhead.jobs.job import FINAL, KEY, closing
from roadhead.jobs.records import find
from roadhead.pipelines.ancestry import CANCELS
from roadhead.state.client import Conflict, Unsure
from roadhead.wire import messages
from roadhead.wire.messages import JOB_ID

CANCEL = "c/x/"
ROUNDS = 5  # of writing against a record that changes


class Cancellations:
    """`node`: the controller's Node; `states`: a JobStates."""

    def __init__(self, node, states):
        self._node = node
        self._states = states

    async def answer(self, job_id):
        """The Answer to POST /v1/jobs/{id}/cancel. Raises one of UNCERTAIN."""
        if not JOB_ID.match(job_id):
            return NO_JOB
        node = self._node
        if not node.member.joined:
            raise RefusedError(Cause.NOT_A_MEMBER)
        failed_as = Cause.CONFLICTS
        for _ in range(ROUNDS):
            known = node.book.finals.get(job_id)
            if known is None:
                known, stamp = await find(node.state, job_id)
            if known is None:
                return NO_JOB
            if known["s"] in FINAL:
                node.book.remember(job_id, known)
                return self._states.final_answer(job_id, known)
            record = closing(known)
            try:
                revision = await self._write(job_id, record, stamp)
            except Conflict:
                failed_as = Cause.CONFLICTS
                continue
            except Unsure:
                failed_as = Cause.CANCELLATION_UNSETTLED
                continue
            self._apply(job_id, record, revision)
            return Answer(200, messages.job_status(job_id, "cancelled"))
        raise RefusedError(failed_as)

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
