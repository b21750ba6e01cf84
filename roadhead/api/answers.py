"""Answers to HTTP requests, and the named causes for which one is refused for the moment."""

import enum
from typing import NamedTuple

from roadhead.runtime.loop import Timeout
from roadhead.state.client import ConflictError, UnavailableError, UnknownOutcomeError
from roadhead.wire import messages

UNAVAILABLE = 503  # HTTP status: not known for sure now, or no authority
RETRY_S = 1  # users wait that long at the least before they ask again


class Answer(NamedTuple):
    """The response to a request: HTTP status, CBOR body, value of `Retry-After` or None."""

    status: int
    body: bytes = b""
    retry_after: int | None = None


NO_JOB = Answer(404, messages.error("no such job"))
NO_PATH = Answer(404, messages.error("no such path"))
WRONG_METHOD = Answer(405)
UNSIGNED = Answer(401, messages.error("not signed by a gateway"))


class RequestKind(enum.Enum):
    """What a user asks for; the value names it in counters."""

    SUBMISSION = "submission"
    POLL = "poll"
    CANCELLATION = "cancellation"


class Cause(enum.Enum):
    """Why a request is answered 503; the value names it in counters. docs/operations.md says which argument
    needs each of them."""

    NEWER_FORMAT = "newer_format"
    NOT_A_MEMBER = "not_a_member"
    LEASE_EXPIRED = "lease_expired"
    LEAVING = "leaving"
    TYPES_UNKNOWN = "types_unknown"
    FORMAT_GATE = "format_gate"
    TENANT_UNKNOWN = "tenant_unknown"
    TOO_MANY_CREATIONS = "too_many_creations"
    CREATION_SLOW = "creation_slow"
    CREATION_REFUSED = "creation_refused"
    RECORD_MISSING = "record_missing"
    STATE_UNAVAILABLE = "state_unavailable"
    STATE_UNSURE = "state_unsure"
    READ_SLOW = "read_slow"
    READS_CROWDED = "reads_crowded"
    READ_STALE = "read_stale"
    CONFLICTS = "conflicts"


TEXTS = {
    Cause.NEWER_FORMAT: "the records are of a newer format",
    Cause.NOT_A_MEMBER: "this controller is joining",
    Cause.LEASE_EXPIRED: "this controller's lease may have ended",
    Cause.LEAVING: "this controller is ending",
    Cause.TYPES_UNKNOWN: "the machine types are not known yet",
    Cause.FORMAT_GATE: "jobs that need others are taken once all controllers are new",
    Cause.TENANT_UNKNOWN: "the tenant's state is not known for sure",
    Cause.TOO_MANY_CREATIONS: "more submissions than can be written in time",
    Cause.CREATION_SLOW: "the job's record could not be written in time",
    Cause.CREATION_REFUSED: "the job's record could not be written",
    Cause.RECORD_MISSING: "the job's record is not there",
    Cause.STATE_UNAVAILABLE: "the state service did not carry out the request",
    Cause.STATE_UNSURE: "the state service gave no answer",
    Cause.READ_SLOW: "the state service did not answer in time",
    Cause.READS_CROWDED: "more questions than can be read",
    Cause.READ_STALE: "what was read is too old",
    Cause.CONFLICTS: "the job's record changes all the time",
}
READ_ERRORS = {"busy": Cause.READS_CROWDED, "read too long ago": Cause.READ_STALE}


class RefusedError(Exception):
    """The request can't be answered for sure now. `retry_after`: seconds after which to ask again."""

    def __init__(self, cause, retry_after=RETRY_S):
        super().__init__(cause.value)
        self.cause = cause
        self.retry_after = retry_after

    def answer(self):
        """What the user is told."""
        return Answer(UNAVAILABLE, messages.error(TEXTS[self.cause]), self.retry_after)


def refusal_of(error):
    """The RefusedError for what reads and writes raise when nothing is known for sure (safety 5)."""
    if isinstance(error, RefusedError):
        return error
    if isinstance(error, Timeout):
        return RefusedError(Cause.READ_SLOW)
    if isinstance(error, UnknownOutcomeError):
        return RefusedError(Cause.STATE_UNSURE)
    if isinstance(error, ConflictError):
        return RefusedError(Cause.CONFLICTS)
    return RefusedError(READ_ERRORS.get(str(error), Cause.STATE_UNAVAILABLE))


UNCERTAIN = (RefusedError, UnavailableError, UnknownOutcomeError, ConflictError, Timeout)


def counter_of(question, cause):
    """Name of the counter of requests refused for that cause."""
    return f"refused_{question.value}_{cause.value}"


def refusal_events():
    """{counter's name: its text in the summary} for all questions and causes."""
    return {
        counter_of(question, cause): f"{question.value}s answered 503: {TEXTS[cause]}"
        for question in RequestKind
        for cause in Cause
    }
