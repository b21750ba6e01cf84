"""Submits jobs: validates them, refuses what can't run, and waits until the job's record is durable."""

import msgspec

from roadhead.api.answers import Answer, Cause, RefusedError
from roadhead.jobs.job import awaited_ids
from roadhead.runtime.loop import Timeout
from roadhead.wire import messages

FORMAT_RETRY_S = 2  # a rolling upgrade of all controllers takes longer than a second
BACKLOG_RETRY_S = 2  # part of the backlog is written by then


def parse(body):
    """Decodes a submission into a valid JobSpec. Raises messages.InvalidMessageError."""
    spec = messages.parse(messages.decode_strict_map(body), messages.JobSpec)
    spec.check()
    if spec.upstream is None:
        return spec
    return msgspec.structs.replace(spec, upstream=list(dict.fromkeys(spec.upstream)) or None)


class Submissions:
    """Answers submissions.

    `node`: the controller's Node; `states`: a JobStates; `readiness`: a Readiness; `create_s`: how long a
    creation may take.
    """

    def __init__(self, loop, node, states, readiness, create_s):
        self._loop = loop
        self._node = node
        self._states = states
        self._readiness = readiness
        self._create_s = create_s

    async def answer(self, body):
        """Returns the Answer to POST /v1/jobs. Raises one of UNCERTAIN_ERRORS."""
        try:
            spec = parse(body)
        except messages.InvalidMessageError as error:
            return Answer(400, messages.error(str(error)))
        if (final := self._states.final(spec.id)) is not None:
            return final
        await self._readiness.until(self._readiness.lacks_for_submission)
        job_store = self._node.job_store
        if job_store.knows(spec.id):
            return await self._known(spec.id)
        if spec.id in job_store.pending():
            return await self._join_creation(spec)
        if spec.upstream and not self._node.member.format_gate.is_open:
            raise RefusedError(Cause.FORMAT_GATE, FORMAT_RETRY_S)
        self._readiness.check_state()
        fault, cancelled = await self._check_runnable(spec)
        refused = self._incomplete(spec) or (
            Answer(422, messages.error(fault)) if fault else self._tenant_refusal(spec)
        )
        if refused is not None:
            # A retry of a job that was accepted earlier is answered with the job's state.
            return await self._states.read(spec.id) or refused
        self._check_backlog()
        return await self._create(spec, cancelled=cancelled)

    async def _known(self, job_id):
        """Answers for an open job owned here. It may have been cancelled elsewhere, so its record is read."""
        answer = await self._states.read(job_id)
        if answer is None:
            raise RefusedError(Cause.RECORD_MISSING)
        return answer

    async def _join_creation(self, spec):
        """Answers for a job whose creation is in progress; the first submission's description counts.

        The creation may have read the record before this submission arrived, so the record is read again
        after it.
        """
        cancelled = bool(spec.upstream) and (await self._check_runnable(spec))[1]
        await self._create(spec, cancelled=cancelled)
        return self._states.final(spec.id) or await self._known(spec.id)

    async def _check_runnable(self, spec):
        """Returns (why the job can never run or None, whether it is cancelled because of an upstream job)."""
        fault = self._node.infeasibility_of(spec)
        if fault or not spec.upstream:
            return fault, False
        return await self._node.ancestry.check_submission(spec, self._node.visibility_check(spec))

    def _incomplete(self, spec):
        """Returns the Answer if the submission has no image, else None.

        PROTOCOL says of other fields that they may be null, and 400 of one that is missing. Earlier versions
        took such jobs, so what was accepted is looked for first. At gateways an image is not required.
        """
        if spec.image is not None or self._node.tenant_admission is not None:
            return None
        return Answer(400, messages.error("kit"))

    def _tenant_refusal(self, spec):
        """Returns the Answer if the job exceeds its tenant's limits, else None."""
        node = self._node
        if node.tenant_admission is None:
            return None
        refusal = node.tenant_admission.refusal(spec, node.max_creations)
        return refusal and Answer(refusal.status, messages.error(refusal.text), refusal.retry_after)

    def _check_backlog(self):
        """Raises RefusedError if the job's record can't be written in time."""
        node = self._node
        if node.member.lease_may_have_expired():
            raise RefusedError(Cause.LEASE_EXPIRED)
        if node.leaving:
            raise RefusedError(Cause.LEAVING)
        if node.job_store.recorder.backlog() > node.max_creations:
            raise RefusedError(Cause.TOO_MANY_CREATIONS, BACKLOG_RETRY_S)

    async def _create(self, spec, *, cancelled):
        """Creates the job and returns the Answer once its record is durable, or an existing record is found.

        `cancelled`: the job is cancelled because of an upstream job.
        """
        job_store = self._node.job_store
        try:
            new, record = await self._loop.within(self._create_s, job_store.create(spec))
        except Timeout:
            raise RefusedError(Cause.CREATION_SLOW) from None
        if new or record is not None:
            self._node.record_reader.note_existing(spec.id)
        if new:
            if cancelled:
                job_store.dependency_queue.cancel_with_ancestor(spec)
            # The job may have ended by now: cancelled because of an upstream job.
            known = self._states.final(spec.id)
            return Answer(201, known.body if known else messages.job_status(spec.id, "pending"))
        if (known := self._states.final(spec.id)) is not None:
            return known
        if record is None:
            raise RefusedError(Cause.CREATION_REFUSED)
        if awaited_ids(record):  # whether it is cancelled also depends on the records of upstream jobs
            return await self._known(spec.id)
        return self._states.answer(spec.id, record)
