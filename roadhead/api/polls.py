"""Answers polls for the state of a job."""

from roadhead.api.answers import NO_JOB
from roadhead.wire.messages import JOB_ID


class Polls:
    """Answers poll requests. `states`: a JobStates."""

    def __init__(self, states):
        self._states = states

    async def answer(self, job_id):
        """Returns the Answer to GET /v1/jobs/{id}. Raises one of UNCERTAIN_ERRORS."""
        if not JOB_ID.match(job_id):
            return NO_JOB
        return self._states.final(job_id) or await self._states.read(job_id) or NO_JOB
