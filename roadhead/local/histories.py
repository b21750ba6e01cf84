"""Checks histories of responses to users: each job must behave like a linearizable register.

A response must be at least as new as every response that completed before its request was sent. Of two
requests that overlap in time, either may have the older response. Only the states that a user may rely on
are checked: accepted, done and cancelled. A job may change between pending and running in both directions,
as tasks stop and start.
"""

import enum
from collections import Counter
from dataclasses import dataclass, field


class RequestKind(enum.Enum):
    """The kind of a user's request."""

    SUBMIT = "submit"
    POLL = "poll"
    CANCEL = "cancel"


class Rule(enum.Enum):
    """The rules that a response can violate."""

    FORGOTTEN = "forgotten"  # an accepted job is refused as unknown or invalid
    INVENTED = "invented"  # a job exists that nobody submitted
    WENT_BACK = "went_back"  # a final state changes
    BAD_ANSWER = "bad_answer"  # not a response that the protocol allows to this request


ACCEPTED = (200, 201)
REFUSED = (400, 404, 422)
UNAVAILABLE = 503
FINAL = ("done", "cancelled")


@dataclass(frozen=True, slots=True)
class Answer:
    """One response to a request about a job.

    `status` is the HTTP status, 0 if no response came; `state` is the job's state. Times are in seconds.
    """

    job_id: str
    question: RequestKind
    controller: str
    asked_at: float
    answered_at: float
    status: int
    state: str | None = None

    @property
    def final(self):
        """Whether the job has ended."""
        return self.state in FINAL


@dataclass(frozen=True, slots=True)
class Fault:
    """A response that violates a rule, and the earlier response that it contradicts, if any."""

    rule: Rule
    answer: Answer
    earlier: Answer | None = None

    def __str__(self):
        text = describe(self.answer)
        return f"{text}, after {describe(self.earlier)}" if self.earlier is not None else text


def describe(answer):
    """Returns a response as a line of text."""
    reported = f"{answer.status} {answer.state or ''}".strip()
    return (
        f"{answer.job_id}: {answer.question.value} at {answer.controller} "
        f"({answer.asked_at:.3f} to {answer.answered_at:.3f}) reports {reported}"
    )


@dataclass(slots=True)
class JobHistory:
    """The first responses that reported a job as accepted and as ended."""

    submitted_at: float | None = None  # when its submission was first sent
    accepted: Answer | None = None
    final: Answer | None = None


def _completed_before(earlier, answer):
    return earlier is not None and earlier.answered_at <= answer.asked_at


@dataclass
class AnswerHistory:
    """Takes responses in the order of their arrival and finds those that are too old.

    `counts` are the responses by (question, status). `overlaps` counts older responses to requests that were
    under way when the newer response arrived, which is allowed.
    """

    jobs: dict = field(default_factory=dict)
    counts: Counter = field(default_factory=Counter)
    overlaps: int = 0
    latest: float = 0.0

    def record_submission(self, job_id, now):
        """Notes that a user submits a job at time `now`."""
        job = self.jobs.setdefault(job_id, JobHistory())
        if job.submitted_at is None:
            job.submitted_at = now

    def add(self, answer):
        """Adds a response and returns its faults. Raises ValueError if it is out of order."""
        if answer.answered_at < self.latest or answer.asked_at > answer.answered_at:
            raise ValueError(f"response out of order, the latest is of {self.latest:.3f}: {describe(answer)}")
        self.latest = answer.answered_at
        self.counts[answer.question, answer.status] += 1
        job = self.jobs.setdefault(answer.job_id, JobHistory())
        if answer.status in REFUSED:
            return self._check_refusal(job, answer)
        if answer.status not in ACCEPTED:
            return []
        faults = [*self._check_form(job, answer), *self._check_order(job, answer)]
        if job.accepted is None:
            job.accepted = answer
        if job.final is None and answer.final:
            job.final = answer
        return faults

    def unavailable(self, question):
        """Returns how many requests of this kind were answered with 503."""
        return self.counts[question, UNAVAILABLE]

    def _check_refusal(self, job, answer):
        if _completed_before(job.accepted, answer):
            return [Fault(Rule.FORGOTTEN, answer, job.accepted)]
        self.overlaps += job.accepted is not None
        return []

    def _check_form(self, job, answer):
        if job.submitted_at is None or job.submitted_at > answer.answered_at:
            yield Fault(Rule.INVENTED, answer)
        if answer.question is RequestKind.CANCEL and not answer.final:
            yield Fault(Rule.BAD_ANSWER, answer)
        if answer.status == 201 and (
            answer.question is not RequestKind.SUBMIT or _completed_before(job.accepted, answer)
        ):
            yield Fault(Rule.BAD_ANSWER, answer, job.accepted)

    def _check_order(self, job, answer):
        if job.final is None or answer.state == job.final.state:
            return
        if answer.final or _completed_before(job.final, answer):
            yield Fault(Rule.WENT_BACK, answer, job.final)
        else:
            self.overlaps += 1
