"""A job's state as users see it, from its record and, if this controller owns the job, its task counts."""

from roadhead.api.answers import Answer, Cause, RefusedError
from roadhead.jobs.job import FINAL, answer
from roadhead.wire import messages


class JobStates:
    """Builds answers about jobs. `node`: the controller's Node."""

    def __init__(self, node):
        self._node = node

    def final(self, job_id):
        """Returns the Answer for a job known here to have ended, without reading its record, or None."""
        record = self._node.job_store.final_records.get(job_id)
        return None if record is None else self.final_answer(job_id, record)

    def final_answer(self, job_id, record):
        """Returns the Answer for a final record.

        Raises RefusedError if a cancellation can't be announced now.
        """
        # A job cancelled because of an upstream job ("above") never had a task to stop.
        if record["s"] == "cancelled" and "above" not in record:
            self._tell_cancelled(job_id)
        return Answer(200, answer(record, job_id))

    def _tell_cancelled(self, job_id):
        """Notifies the shard leaders of a cancellation before the user hears of it."""
        if not self._node.member.joined:
            raise RefusedError(Cause.NOT_A_MEMBER)
        self._node.announce_cancelled([job_id])

    async def read(self, job_id):
        """Returns the Answer for the job's current record, or None. Raises one of UNCERTAIN_ERRORS."""
        record = await self._node.read(job_id)
        return None if record is None else self.answer(job_id, record)

    def answer(self, job_id, record):
        """Returns the Answer for a record just read, with live task counts of a job owned here."""
        if record["s"] in FINAL:
            self._node.job_store.remember_final(job_id, record)
            return self.final_answer(job_id, record)
        self._node.failover.on_record_read(job_id, record)
        job = self._node.job_store.jobs.get(job_id)
        if job is None or job.state != "open":
            return Answer(200, answer(record, job_id))
        return Answer(200, messages.job_status(job_id, job.status(), job.done.count, job.running()))
