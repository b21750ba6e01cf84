"""Requests to a gateway and its answers: media types (JSON or CBOR), bodies, and problem details."""

import re
from urllib.parse import parse_qs, unquote

import cbor2
import msgspec

from roadhead.gateway.types import Problem
from roadhead.wire.http import REASONS

JSON, CBOR = "application/json", "application/cbor"
PROBLEMS = {JSON: "application/problem+json", CBOR: "application/problem+cbor"}


class ProblemError(Exception):
    """A request is answered with an error. `detail` is sent, so it must not name other tenants."""

    def __init__(self, status, detail="", retry_after=None, faults=(), headers=()):
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.retry_after = retry_after
        self.faults = list(faults)
        self.headers = list(headers)


UNKNOWN_KEY = ProblemError(401, "no good key", headers=[("WWW-Authenticate", "Bearer")])
UNCERTAIN = ProblemError(503, "not able to say now", 1)


class Request:
    """A parsed request: `parts` of the path, `query`, `media` (type of the answer), headers and body."""

    def __init__(self, message):
        path, _, query = message.target.partition("?")
        self.method = message.method
        self.parts = [unquote(part) for part in path.strip("/").split("/")]
        self.query = {name: values[-1] for name, values in parse_qs(query, max_num_fields=20).items()}
        self.headers = message.headers
        self.body = message.body
        self.media = (
            CBOR if CBOR in message.headers.get("accept", message.headers.get("content-type", "")) else JSON
        )

    def key(self):
        """Returns the access key, or an empty text."""
        scheme, _, key = self.headers.get("authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    def request_key(self):
        """Returns the idempotency key, or an empty text. Raises ProblemError."""
        key = self.headers.get("idempotency-key", "")
        if len(key) > 100:
            raise ProblemError(400, "Idempotency-Key: at most 100 characters")
        return key

    def read(self, message_type):
        """Decodes the body into a message of type `message_type`. Raises ProblemError."""
        media = self.headers.get("content-type", JSON).partition(";")[0].strip().lower()
        if media not in (JSON, CBOR):
            raise ProblemError(415, f"a body is {JSON} or {CBOR}")
        try:
            if media == JSON:
                value = msgspec.json.decode(self.body or b"{}")
            else:
                value = cbor2.loads(self.body) if self.body else {}
        except Exception:  # the decoders raise exceptions of many types for malformed input
            raise ProblemError(400, f"the body is not {media}") from None
        try:
            return msgspec.convert(value, message_type)
        except (msgspec.ValidationError, ValueError, TypeError, RecursionError) as error:
            raise ProblemError(400, _without_values(str(error))) from None

    def count(self, name, default, maximum):
        """Returns an integer query parameter from 1 to `maximum`. Raises ProblemError."""
        text = self.query.get(name, str(default))
        if not (text.isascii() and text.isdigit() and 1 <= int(text[:9]) <= maximum):
            raise ProblemError(400, f"{name}: from 1 to {maximum}")
        return int(text)


def _without_values(text):
    """Removes input values from an msgspec error text: a value sent by mistake may be a secret."""
    detail, _, where = text.partition(" - at ")
    detail = re.sub(r"'[^']*'", "given", detail)
    if "unknown field" in detail:
        detail = "Object contains an unknown field"
    where = where.strip("`")
    return (
        f"{detail[:200]} - at {where}" if re.fullmatch(r"\$[A-Za-z0-9_.\[\]]{0,100}", where) else detail[:200]
    )


def answer(status, value, media, headers=()):
    """Returns (status, body, retry_after, media type, headers) for `http.serve`."""
    if value is None:
        return status, b"", None, media, headers
    return status, encode(value, media), None, media, headers


def encode(value, media):
    """Encodes a value as JSON or CBOR."""
    if media == CBOR:
        return cbor2.dumps(msgspec.to_builtins(value))
    return msgspec.json.encode(value)


def problem(refused, media):
    """Returns the answer that reports `refused`, for `http.serve`."""
    status = refused.status
    body = Problem(REASONS.get(status, "Error"), status, refused.detail, refused.faults)
    return status, encode(body, media), refused.retry_after, PROBLEMS[media], refused.headers
