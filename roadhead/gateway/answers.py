"""What a gateway answers: bodies in JSON or CBOR, problems, and how a request names what it wants."""

import re
from urllib.parse import parse_qs, unquote

import cbor2
import msgspec

from roadhead.gateway.types import Problem
from roadhead.wire.http import REASONS

JSON, CBOR = "application/json", "application/cbor"
PROBLEMS = {JSON: "application/problem+json", CBOR: "application/problem+cbor"}


class ProblemError(Exception):
    """A request's final answer is an error. `detail` must name nobody but the asker."""

    def __init__(self, status, detail="", retry_after=None, faults=(), headers=()):
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.retry_after = retry_after
        self.faults = list(faults)
        self.headers = list(headers)


UNKNOWN_KEY = ProblemError(401, "no good key", headers=[("WWW-Authenticate", "Bearer")])
NOT_SURE = ProblemError(503, "not able to say now", 1)


class Request:
    """A request taken apart: `path` parts, `query`, media types, body."""

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
        """The access key, or an empty text."""
        scheme, _, key = self.headers.get("authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    def request_key(self):
        key = self.headers.get("idempotency-key", "")
        if len(key) > 100:
            raise ProblemError(400, "Idempotency-Key: at most 100 characters")
        return key

    def read(self, kind):
        """The body as a message. Raises Refused."""
        media = self.headers.get("content-type", JSON).partition(";")[0].strip().lower()
        if media not in (JSON, CBOR):
            raise ProblemError(415, f"a body is {JSON} or {CBOR}")
        try:
            if media == JSON:
                value = msgspec.json.decode(self.body or b"{}")
            else:
                value = cbor2.loads(self.body) if self.body else {}
        except Exception:  # the decoders raise many kinds for garbage
            raise ProblemError(400, f"the body is not {media}") from None
        try:
            return msgspec.convert(value, kind)
        except (msgspec.ValidationError, ValueError, TypeError, RecursionError) as error:
            raise ProblemError(400, _without_values(str(error))) from None

    def count(self, name, default, most):
        text = self.query.get(name, str(default))
        if not (text.isascii() and text.isdigit() and 1 <= int(text[:9]) <= most):
            raise ProblemError(400, f"{name}: from 1 to {most}")
        return int(text)


def _without_values(text):
    """A fault as the library words it, without what was sent: that may be a secret gone astray."""
    what, _, where = text.partition(" - at ")
    what = re.sub(r"'[^']*'", "given", what)
    if "unknown field" in what:
        what = "Object contains an unknown field"
    where = where.strip("`")
    return f"{what[:200]} - at {where}" if re.fullmatch(r"\$[A-Za-z0-9_.\[\]]{0,100}", where) else what[:200]


def answer(status, value, media, headers=()):
    """(status, body, retry_after, media type, headers) for `http.serve`."""
    if value is None:
        return status, b"", None, media, headers
    return status, encode(value, media), None, media, headers


def encode(value, media):
    if media == CBOR:
        return cbor2.dumps(msgspec.to_builtins(value))
    return msgspec.json.encode(value)


def problem(refused, media):
    status = refused.status
    body = Problem(REASONS.get(status, "Error"), status, refused.detail, refused.faults)
    return status, encode(body, media), refused.retry_after, PROBLEMS[media], refused.headers
