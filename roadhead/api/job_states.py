"""A job's state as a user is told it, from its record and what this controller owns of it."""

from roadhead.api.answers import Answer, Cause, RefusedError
from roadhead.jobs.job import FINAL, answer
from roadhead.wire import messages


class JobStates:
    """`node`: the controller's Node."""

    def __init__(self, node):
        self._node = node

    def final(self, job_id):
        """The Answer on a job known here to be over, or None: what is final needs no look at the record."""
        record = self._node.job_store.final_records.get(job_id)
        return None if record is None else self.final_answer(job_id, record)

    def final_answer(self, job_id, record):
        """The Answer from a final record. Raises RefusedError if a cancellation can't be told now."""
        # One cancelled with a job that it needs had no task yet.
        if record["s"] == "cancelled" and "above" not in record:
            self._tell_cancelled(job_id)
        return Answer(200, answer(record, job_id))

    def _tell_cancelled(self, job_id):
        if not self._node.member.joined:
            raise RefusedError(Cause.NOT_A_MEMBER)
        self._node.announce_cancelled([job_id])

    async def read(self, job_id):
        """The Answer from the job's record as it is now, or None if there is none. Raises an UNCERTAIN."""
        record = await self._node.read(job_id)
        return None if record is None else self.answer(job_id, record)

    def answer(self, job_id, record):
        """The Answer from a record just read, with the counts of its owner if that is this controller."""
        if record["s"] in FINAL:
            self._node.job_store.remember_final(job_id, record)
            return self.final_answer(job_id, record)
        self._node.failover.on_record_read(job_id, record)
        job = self._node.job_store.jobs.get(job_id)
        if job is None or job.state != "open":
            return Answer(200, answer(record, job_id))
        return Answer(200, messages.job_status(job_id, job.status(), job.done.count, job.running()))
