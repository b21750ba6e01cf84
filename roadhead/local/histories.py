"""Histories of answers: whether, per job, every answer is as new as those completed before its question.

The order is that of real time, as for linearizable registers: of two questions that overlap, either may
have the older answer. Only what a user may rely on counts: that a job is accepted, done or cancelled.
Whether it is called pending or running may change back and forth, as tasks stop and start.
"""

import enum
from collections import Counter
from dataclasses import dataclass, field


class RequestKind(enum.Enum):
    """What a user asks."""

    SUBMIT = "submit"
    POLL = "poll"
    CANCEL = "cancel"


class Rule(enum.Enum):
    """What an answer can break."""

    FORGOTTEN = "forgotten"
    INVENTED = "invented"
    WENT_BACK = "went_back"
    BAD_ANSWER = "bad_answer"  # against the form of an answer that the protocol asks for


ACCEPTED = (200, 201)
REFUSED = (400, 404, 422)
UNAVAILABLE = 503
FINAL = ("done", "cancelled")


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer to one question about a job; `status` 0 means that none came, `state` is the job's."""

    job_id: str
    question: RequestKind
    controller: str
    asked_at: float
    answered_at: float
    status: int
    state: str | None = None

    @property
    def final(self):
        return self.state in FINAL


@dataclass(frozen=True, slots=True)
class Fault:
    """An answer that breaks a rule, and the earlier one that it contradicts, if it does one."""

    rule: Rule
    answer: Answer
    earlier: Answer | None = None

    def __str__(self):
        text = describe(self.answer)
        return f"{text}, after {describe(self.earlier)}" if self.earlier is not None else text


def describe(answer):
    """An answer as a fault names it."""
    said = f"{answer.status} {answer.state or ''}".strip()
    return (
        f"{answer.job_id}: {answer.question.value} at {answer.controller} "
        f"({answer.asked_at:.3f} to {answer.answered_at:.3f}) says {said}"
    )


@dataclass(slots=True)
class JobHistory:
    """What users were told of a job, by the first answer that said so."""

    submitted_at: float | None = None  # when it was first asked for
    accepted: Answer | None = None
    final: Answer | None = None


def _completed_before(earlier, answer):
    return earlier is not None and earlier.answered_at <= answer.asked_at


@dataclass
class AnswerHistory:
    """Takes the answers in the order in which they come, and finds those that are older than they may be.

    `counts`: answers by (question, status). `overlaps`: older answers to questions that were on their way
    when the newer answer came, which is allowed.
    """

    jobs: dict = field(default_factory=dict)
    counts: Counter = field(default_factory=Counter)
    overlaps: int = 0
    latest: float = 0.0

    def submitted(self, job_id, now):
        """A user begins to ask for a job."""
        known = self.jobs.setdefault(job_id, JobHistory())
        if known.submitted_at is None:
            known.submitted_at = now

    def add(self, answer):
        """The faults of an answer that comes now."""
        if answer.answered_at < self.latest or answer.asked_at > answer.answered_at:
            raise ValueError(f"out of order: {describe(answer)}")
        self.latest = answer.answered_at
        self.counts[answer.question, answer.status] += 1
        known = self.jobs.setdefault(answer.job_id, JobHistory())
        if answer.status in REFUSED:
            return self._check_refusal(known, answer)
        if answer.status not in ACCEPTED:
            return []
        faults = [*self._check_form(known, answer), *self._check_order(known, answer)]
        if known.accepted is None:
            known.accepted = answer
        if known.final is None and answer.final:
            known.final = answer
        return faults

    def unavailable(self, question):
        """How many such questions were answered with 503."""
        return self.counts[question, UNAVAILABLE]

    def _check_refusal(self, known, answer):
        if _completed_before(known.accepted, answer):
            return [Fault(Rule.FORGOTTEN, answer, known.accepted)]
        self.overlaps += known.accepted is not None
        return []

    def _check_form(self, known, answer):
        if known.submitted_at is None or known.submitted_at > answer.answered_at:
            yield Fault(Rule.INVENTED, answer)
        if answer.question is RequestKind.CANCEL and not answer.final:
            yield Fault(Rule.BAD_ANSWER, answer)
        if answer.status == 201 and (
            answer.question is not RequestKind.SUBMIT or _completed_before(known.accepted, answer)
        ):
            yield Fault(Rule.BAD_ANSWER, answer, known.accepted)

    def _check_order(self, known, answer):
        if known.final is None or answer.state == known.final.state:
            return
        if answer.final or _completed_before(known.final, answer):
            yield Fault(Rule.WENT_BACK, answer, known.final)
        else:
            self.overlaps += 1
