"""HTTP/1.1: our own parser, a server side and a client side over streams."""

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
    """A message that breaks HTTP. `status` is what a server answers before it closes."""

    def __init__(self, status, text):
        super().__init__(text)
        self.status = status


class Message:
    """A request (`method`, `target`) or a response (`status`)."""

    __slots__ = ("body", "close", "headers", "method", "status", "target")

    def __init__(self, method, target, status, headers, body, close):
        self.method = method
        self.target = target
        self.status = status
        self.headers = headers
        self.body = body
        self.close = close


class Parser:
    """Collects bytes and hands out whole messages."""

    def __init__(self, response=False, max_body=MAX_BODY):
        self._buffer = bytearray()
        self._response = response
        self._max_body = max_body
        self._head = None
        self._length = 0

    @property
    def empty(self):
        return not self._buffer and self._head is None

    def feed(self, data):
        self._buffer += data

    def next(self):
        """The next whole message, or None. Raises HttpMessageError."""
        if self._head is None:
            end = self._buffer.find(b"\r\n\r\n", 0, MAX_HEAD + 4)
            if end < 0:
                if len(self._buffer) > MAX_HEAD:
                    raise HttpMessageError(431, "head too large")
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
                raise HttpMessageError(400, "bad status line")
            message = Message(None, None, int(parts[1]), headers, b"", close)
        else:
            if len(parts) != 3 or parts[2] not in ("HTTP/1.1", "HTTP/1.0"):
                raise HttpMessageError(400, "bad request line")
            close = close or parts[2] == "HTTP/1.0"
            message = Message(parts[0], parts[1], None, headers, b"", close)
        if length > self._max_body:
            raise HttpMessageError(413, "body too large")
        self._head = message


@lru_cache(maxsize=512)
def parse_head(head):
    """(words of the first line, headers, body length, whether to close) of a message's head.

    Kept for heads seen lately: workers send the same few with every report. The headers
    are shared, so nobody may change them.
    """
    try:
        first, *lines = head.decode("latin-1").split("\r\n")
    except ValueError:
        raise HttpMessageError(400, "head not text") from None
    parts = first.split(" ", 2)
    if len(parts) < 2:
        raise HttpMessageError(400, "bad first line")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise HttpMessageError(400, "bad header line")
        name = name.lower()
        if name == "content-length" and name in headers and headers[name] != value.strip():
            raise HttpMessageError(400, "two lengths")
        headers[name] = value.strip()
    if "transfer-encoding" in headers:
        raise HttpMessageError(400, "transfer encodings are not taken")
    length = headers.get("content-length", "0")
    if not (length.isascii() and length.isdigit()):
        raise HttpMessageError(400, "bad length")
    close = "close" in headers.get("connection", "").lower()
    # A number too long to be honest is larger than any body taken.
    return parts, headers, int(length) if len(length) < 12 else 1 << 62, close


def request_bytes(method, target, host, body=b"", headers=(), kind="application/cbor"):
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    if body:
        head += f"Content-Type: {kind}\r\n"
    if body or method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


def response_bytes(status, body=b"", close=False, retry_after=None, kind="application/cbor", headers=()):
    head = (
        f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
        f"Content-Type: {kind}\r\nContent-Length: {len(body)}\r\n"
    )
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    if retry_after is not None:
        head += f"Retry-After: {retry_after}\r\n"
    if close:
        head += "Connection: close\r\n"
    return head.encode("latin-1") + b"\r\n" + body


async def serve(loop, stream, handle, patience):
    """Serves one connection. `handle(request)` returns (status, body, retry_after), or these
    and the body's media type and a list of further (name, value) headers.

    A request begun but not whole after `patience` seconds is answered 408; an idle
    connection may stay six times as long.
    """
    parser = Parser()
    idle_s = 6 * patience
    idle_until = loop.now() + idle_s
    timer = None

    def expire():
        """One timer a connection, set anew only when it fires: most requests come whole."""
        nonlocal timer
        left = idle_until - loop.now()
        if left > 0:
            timer = loop.call_later(left, expire)
        else:
            stream.close()

    def late():
        try:
            stream.write(response_bytes(408, close=True))
        except Closed:
            pass
        stream.close()

    begun = None
    try:
        timer = loop.call_later(idle_s, expire)
        while not stream.closed:
            while (message := parser.next()) is None:
                if begun is None and not parser.empty:
                    begun = loop.call_later(patience, late)
                data = await stream.read()
                if not data:
                    return
                parser.feed(data)
            if begun is not None:
                begun.cancel()
                begun = None
            status, body, *more = await handle(message)
            idle_until = loop.now() + idle_s
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
        for pending in (timer, begun):
            if pending is not None:
                pending.cancel()
        stream.close()


class NoResponseError(Exception):
    """A request got no response; the other side may have executed it, or may still do so.

    `sent` is False if no byte of it left, so that it can't have been executed.
    """

    def __init__(self, text, sent=True):
        super().__init__(text)
        self.sent = sent


class Client:
    """Requests to one server over a few kept-open connections."""

    def __init__(self, loop, net, address, max_idle=4, max_body=64 * 1024 * 1024):
        self._loop = loop
        self._net = net
        self.address = address
        self._idle = []
        self._max_idle = max_idle
        self._max_body = max_body

    async def request(self, method, target, body=b"", timeout=4.0, headers=(), kind="application/cbor"):
        """The response as (status, body, headers). Raises NoResponseError."""
        loop = self._loop
        deadline = loop.now() + timeout
        stream = None
        fresh = False
        while self._idle:
            stream = self._idle.pop()
            if not stream.closed and not stream._eof:
                break
            stream.close()
            stream = None
        if stream is None:
            fresh = True
            try:
                stream = await self._net.connect(self.address, timeout)
            except (Closed, Timeout) as error:
                raise NoResponseError(f"connect {self.address}: {error!r}", sent=False) from None
        timer = loop.call_at(deadline, stream.close)
        keep = False
        try:
            stream.write(request_bytes(method, target, self.address, body, headers, kind))
            parser = Parser(response=True, max_body=self._max_body)
            while (message := parser.next()) is None:
                data = await stream.read()
                if not data:
                    raise NoResponseError(f"{method} {target}: {'closed' if fresh else 'closed idle'}")
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
        """Nothing is kept open any more, nor what requests under way still use."""
        self._max_idle = 0
        for stream in self._idle:
            stream.close()
        self._idle.clear()
