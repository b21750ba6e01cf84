"""HTTP/1.1 over byte streams: an incremental parser, a server side and a client."""

import logging
from functools import lru_cache

from roadhead.runtime.loop import Cancelled, Timeout
from roadhead.runtime.net import Closed

log = logging.getLogger("roadhead.http")

MAX_HEAD = 8192
MAX_BODY = 65536
REASONS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    406: "Not Acceptable",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    415: "Unsupported Media Type",
    428: "Precondition Required",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class HttpMessageError(Exception):
    """A message that violates HTTP. `status` is what a server answers before it closes the connection."""

    def __init__(self, status, text):
        super().__init__(text)
        self.status = status


class Message:
    """A request (`method` and `target` are set) or a response (`status` is set).

    Names in `headers` are in lower case; `close` says whether the connection ends after this message.
    """

    __slots__ = ("body", "close", "headers", "method", "status", "target")

    def __init__(self, method, target, status, headers, body, close):
        self.method = method
        self.target = target
        self.status = status
        self.headers = headers
        self.body = body
        self.close = close


class HttpParser:
    """Incremental parser: `feed` bytes, then take complete messages with `next`."""

    def __init__(self, response=False, max_body=MAX_BODY):
        self._buffer = bytearray()
        self._response = response
        self._max_body = max_body
        self._head = None
        self._length = 0

    @property
    def empty(self):
        """Whether no part of a message is buffered."""
        return not self._buffer and self._head is None

    def feed(self, data):
        """Adds received bytes."""
        self._buffer += data

    def next(self):
        """Returns the next complete message, or None. Raises HttpMessageError."""
        if self._head is None:
            end = self._buffer.find(b"\r\n\r\n", 0, MAX_HEAD + 4)
            if end < 0:
                if len(self._buffer) > MAX_HEAD:
                    raise HttpMessageError(431, f"message head exceeds {MAX_HEAD} bytes")
                return None
            self._parse_head(bytes(self._buffer[:end]))
            del self._buffer[: end + 4]
        if len(self._buffer) < self._length:
            return None
        message, self._head = self._head, None
        message.body = bytes(self._buffer[: self._length])
        del self._buffer[: self._length]
        return message

    def _parse_head(self, head):
        parts, headers, length, close = parse_head(head)
        self._length = length
        if self._response:
            if not parts[0].startswith("HTTP/1.") or not parts[1].isdigit():
                raise HttpMessageError(400, "malformed status line")
            message = Message(None, None, int(parts[1]), headers, b"", close)
        else:
            if len(parts) != 3 or parts[2] not in ("HTTP/1.1", "HTTP/1.0"):
                raise HttpMessageError(400, "malformed request line")
            close = close or parts[2] == "HTTP/1.0"
            message = Message(parts[0], parts[1], None, headers, b"", close)
        if length > self._max_body:
            raise HttpMessageError(413, f"body of {length} bytes exceeds {self._max_body}")
        self._head = message


@lru_cache(maxsize=512)
def parse_head(head):
    """Parses the head of a message.

    Returns (parts of the first line, headers, body length, whether to close). Results are cached, as workers
    send the same few heads with every report; the headers are shared, so callers must not modify them. Raises
    HttpMessageError.
    """
    try:
        first, *lines = head.decode("latin-1").split("\r\n")
    except ValueError:
        raise HttpMessageError(400, "message head can't be decoded") from None
    parts = first.split(" ", 2)
    if len(parts) < 2:
        raise HttpMessageError(400, "malformed first line")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise HttpMessageError(400, "malformed header line")
        name = name.lower()
        if name == "content-length" and name in headers and headers[name] != value.strip():
            raise HttpMessageError(400, "conflicting Content-Length headers")
        headers[name] = value.strip()
    if "transfer-encoding" in headers:
        raise HttpMessageError(400, "Transfer-Encoding is not supported")
    length = headers.get("content-length", "0")
    if not (length.isascii() and length.isdigit()):
        raise HttpMessageError(400, "Content-Length is not a number")
    close = "close" in headers.get("connection", "").lower()
    # A length of 12 digits or more is above any body limit; it isn't converted, however many digits it has.
    return parts, headers, int(length) if len(length) < 12 else 1 << 62, close


def request_bytes(method, target, host, body=b"", headers=(), media_type="application/cbor"):
    """Returns an encoded request. `media_type` is that of the body."""
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    if body:
        head += f"Content-Type: {media_type}\r\n"
    if body or method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


def response_bytes(
    status, body=b"", close=False, retry_after=None, media_type="application/cbor", headers=()
):
    """Returns an encoded response. `media_type` is that of the body; `retry_after` is in seconds."""
    head = (
        f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
        f"Content-Type: {media_type}\r\nContent-Length: {len(body)}\r\n"
    )
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    if retry_after is not None:
        head += f"Retry-After: {retry_after}\r\n"
    if close:
        head += "Connection: close\r\n"
    return head.encode("latin-1") + b"\r\n" + body


async def serve(loop, stream, handle, request_timeout_s):
    """Serves requests on one connection until it closes.

    `handle(request)` returns (status, body, retry_after), optionally followed by the body's media type and a
    list of extra (name, value) headers.

    A request that has begun but is incomplete after `request_timeout_s` is answered 408; an idle connection
    is closed after six times that.
    """
    parser = HttpParser()
    idle_s = 6 * request_timeout_s
    idle_deadline = loop.now() + idle_s
    idle_timer = None

    def close_if_idle():
        """Closes the connection once it is idle for too long.

        There is one timer per connection, re-armed only when it fires: re-arming it for each request would
        cost more: most requests arrive complete.
        """
        nonlocal idle_timer
        left = idle_deadline - loop.now()
        if left > 0:
            idle_timer = loop.call_later(left, close_if_idle)
        else:
            stream.close()

    def answer_timeout():
        try:
            stream.write(response_bytes(408, close=True))
        except Closed:
            pass
        stream.close()

    request_timer = None
    try:
        idle_timer = loop.call_later(idle_s, close_if_idle)
        while not stream.closed:
            while (message := parser.next()) is None:
                if request_timer is None and not parser.empty:
                    request_timer = loop.call_later(request_timeout_s, answer_timeout)
                data = await stream.read()
                if not data:
                    return
                parser.feed(data)
            if request_timer is not None:
                request_timer.cancel()
                request_timer = None
            status, body, *more = await handle(message)
            idle_deadline = loop.now() + idle_s
            stream.write(response_bytes(status, body, message.close, *more))
            if message.close:
                return
    except HttpMessageError as bad:
        log.debug("bad request: %s", bad)
        try:
            stream.write(response_bytes(bad.status, close=True))
        except Closed:
            pass
    except (Closed, Cancelled):
        pass
    finally:
        for pending in (idle_timer, request_timer):
            if pending is not None:
                pending.cancel()
        stream.close()


class NoResponseError(Exception):
    """A request got no response. The server may have executed it, or may still do so.

    `sent` is False if no byte of the request was sent, so that it can't have been executed.
    """

    def __init__(self, text, sent=True):
        super().__init__(text)
        self.sent = sent


class HttpClient:
    """Sends requests to one server and keeps up to `max_idle` idle connections open for reuse."""

    def __init__(self, loop, net, address, max_idle=4, max_body=64 * 1024 * 1024):
        self._loop = loop
        self._net = net
        self.address = address
        self._idle = []
        self._max_idle = max_idle
        self._max_body = max_body

    async def request(self, method, target, body=b"", timeout=4.0, headers=(), media_type="application/cbor"):
        """Returns the response as (status, body, headers). Raises NoResponseError.

        `timeout` is in seconds and covers connecting; `media_type` is that of the body.
        """
        loop = self._loop
        deadline = loop.now() + timeout
        stream = None
        is_new_connection = False
        while self._idle:
            stream = self._idle.pop()
            if not stream.closed and not stream._eof:
                break
            stream.close()
            stream = None
        if stream is None:
            is_new_connection = True
            try:
                stream = await self._net.connect(self.address, timeout)
            except (Closed, Timeout) as error:
                raise NoResponseError(f"connect {self.address}: {error!r}", sent=False) from None
        timer = loop.call_at(deadline, stream.close)
        keep = False
        try:
            stream.write(request_bytes(method, target, self.address, body, headers, media_type))
            parser = HttpParser(response=True, max_body=self._max_body)
            while (message := parser.next()) is None:
                data = await stream.read()
                if not data:
                    raise NoResponseError(
                        f"{method} {target}: {'closed' if is_new_connection else 'closed while idle'}"
                    )
                parser.feed(data)
            keep = not message.close and parser.empty
            return message.status, message.body, message.headers
        except Closed:
            raise NoResponseError(f"{method} {target}: closed") from None
        except HttpMessageError as bad:
            raise NoResponseError(f"{method} {target}: {bad}") from None
        finally:
            timer.cancel()
            if keep and not stream.closed and len(self._idle) < self._max_idle:
                self._idle.append(stream)
            else:
                stream.close()

    def close(self):
        """Closes idle connections now, and those of requests in progress when they finish."""
        self._max_idle = 0
        for stream in self._idle:
            stream.close()
        self._idle.clear()
