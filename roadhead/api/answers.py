"""Answers to HTTP requests, and the causes for which a request is answered 503."""

import enum
from typing import NamedTuple

from roadhead.runtime.loop import Timeout
from roadhead.state.client import ConflictError, UnavailableError, UnknownOutcomeError
from roadhead.wire import messages

UNAVAILABLE = 503  # HTTP status: the answer is uncertain, or this controller has no authority to give it
RETRY_S = 1  # default `Retry-After`


class Answer(NamedTuple):
    """The response to a request: HTTP status, CBOR body, and seconds for `Retry-After` or None."""

    status: int
    body: bytes = b""
    retry_after: int | None = None


NO_JOB = Answer(404, messages.error("no such job"))
NO_PATH = Answer(404, messages.error("no such path"))
WRONG_METHOD = Answer(405)
UNSIGNED = Answer(401, messages.error("not signed by a gateway"))


class RequestKind(enum.Enum):
    """Kinds of user requests. The value is part of counter names."""

    SUBMISSION = "submission"
    POLL = "poll"
    CANCELLATION = "cancellation"


class Cause(enum.Enum):
    """Why a request is answered 503. The value is part of counter names.

    docs/operations.md says which safety argument requires each cause.
    """

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
READ_ERROR_CAUSES = {"busy": Cause.READS_CROWDED, "read too long ago": Cause.READ_STALE}


class RefusedError(Exception):
    """The request can't be answered with certainty now: 503.

    `retry_after` is the number of seconds after which the user should ask again.
    """

    def __init__(self, cause, retry_after=RETRY_S):
        super().__init__(cause.value)
        self.cause = cause
        self.retry_after = retry_after

    def answer(self):
        """Returns the Answer for the user."""
        return Answer(UNAVAILABLE, messages.error(TEXTS[self.cause]), self.retry_after)


def to_refusal(error):
    """Returns the RefusedError for an exception of UNCERTAIN_ERRORS (docs/design.md, safety rule 5)."""
    if isinstance(error, RefusedError):
        return error
    if isinstance(error, Timeout):
        return RefusedError(Cause.READ_SLOW)
    if isinstance(error, UnknownOutcomeError):
        return RefusedError(Cause.STATE_UNSURE)
    if isinstance(error, ConflictError):
        return RefusedError(Cause.CONFLICTS)
    return RefusedError(READ_ERROR_CAUSES.get(str(error), Cause.STATE_UNAVAILABLE))


UNCERTAIN_ERRORS = (RefusedError, UnavailableError, UnknownOutcomeError, ConflictError, Timeout)


def counter_name(question, cause):
    """Returns the name of the counter for requests of a kind that are refused for `cause`."""
    return f"refused_{question.value}_{cause.value}"


def refusal_events():
    """Returns {counter name: text in the summary} for all kinds of requests and causes."""
    return {
        counter_name(question, cause): f"{question.value}s answered 503: {TEXTS[cause]}"
        for question in RequestKind
        for cause in Cause
    }
