"""Byte streams over non-blocking sockets. Tests substitute streams of their own."""

import errno
import selectors
import socket

from roadhead.runtime.loop import Future

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE
CHUNK = 65536  # bytes per read from a socket
WRITE_LIMIT = 4 * 1024 * 1024  # unsent bytes after which a connection is closed


class Closed(Exception):
    """The connection was closed by the peer or locally."""


def split(address):
    """Splits HOST:PORT into (host, port)."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Stream:
    """A connection for reading and writing bytes.

    Unsent data is bounded: a peer that doesn't read is disconnected.
    """

    def __init__(self, loop, sock):
        self._loop = loop
        self._sock = sock
        self._waiter = None
        self._out = bytearray()
        self._mask = READ
        self.closed = False
        self._chunks = []
        self._eof = False
        loop.selector.register(sock, READ, self._event)

    def _event(self, mask):
        if mask & WRITE:
            self._flush()
        if mask & READ and not self.closed:
            try:
                data = self._sock.recv(CHUNK)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                data = b""
            if data:
                self._chunks.append(data)
                if sum(map(len, self._chunks)) > 16 * CHUNK:
                    self._want(self._mask & ~READ)
            else:
                self._eof = True
                self._want(self._mask & ~READ)
            if self._waiter is not None:
                waiter, self._waiter = self._waiter, None
                waiter.set()

    def _want(self, mask):
        if self.closed or mask == self._mask:
            return
        selector = self._loop.selector
        if self._mask and mask:
            selector.modify(self._sock, mask, self._event)
        elif mask:
            selector.register(self._sock, mask, self._event)
        else:
            selector.unregister(self._sock)
        self._mask = mask

    async def read(self):
        """Waits for data and returns it; b"" once the connection is closed."""
        while not self._chunks:
            if self._eof or self.closed:
                return b""
            self._waiter = Future()
            await self._waiter
        data = b"".join(self._chunks)
        self._chunks.clear()
        if not self._eof:
            self._want(self._mask | READ)
        return data

    def write(self, data):
        """Sends `data`, or queues what the socket doesn't take. Raises Closed."""
        if self.closed:
            raise Closed
        if not self._out:
            try:
                sent = self._sock.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                self.close()
                raise Closed from None
            if sent == len(data):
                return
            data = data[sent:]
        self._out += data
        if len(self._out) > WRITE_LIMIT:
            self.close()
            raise Closed
        self._want(self._mask | WRITE)

    def _flush(self):
        if self.closed or not self._out:
            return
        try:
            sent = self._sock.send(self._out)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.close()
            return
        del self._out[:sent]
        if not self._out:
            self._want(self._mask & ~WRITE)

    def close(self):
        """Closes the connection and wakes the reader."""
        if self.closed:
            return
        if self._mask:
            self._want(0)
        self.closed = True
        self._sock.close()
        if self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            waiter.set()


class Net:
    """Listens and connects. `stream` is the class of the connections it makes."""

    def __init__(self, loop, stream=Stream):
        self.loop = loop
        self._stream = stream
        self._listeners = []

    def listen(self, address, on_stream):
        """Calls `on_stream(stream)` for each connection to `address`. Raises OSError."""
        host, port = split(address)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(256)
        sock.setblocking(False)
        self._listeners.append(sock)

        def accept(_mask):
            for _ in range(16):
                try:
                    peer, _address = sock.accept()
                except (BlockingIOError, InterruptedError):
                    return
                except OSError as error:
                    if error.errno in (errno.EMFILE, errno.ENFILE):
                        return
                    continue
                peer.setblocking(False)
                peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                on_stream(self._stream(self.loop, peer))

        self.loop.selector.register(sock, READ, accept)

    def stop_listening(self):
        """Closes the listening sockets. Open connections continue."""
        for sock in self._listeners:
            self.loop.selector.unregister(sock)
            sock.close()
        self._listeners.clear()

    async def connect(self, address, timeout):
        """Returns a stream connected to `address`. Raises Closed or Timeout."""
        loop = self.loop
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # no descriptors are left: that passes, and must end no routine
            raise Closed(str(error)) from None
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(split(address))
            if code == errno.EINPROGRESS:
                ready = Future()
                loop.selector.register(sock, WRITE, lambda _mask: ready.set())
                try:
                    await loop.within(timeout, ready)
                finally:
                    loop.selector.unregister(sock)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise Closed(errno.errorcode.get(code, str(code)))
        except OSError as error:
            sock.close()
            raise Closed(str(error)) from None
        except BaseException:
            sock.close()
            raise
        return self._stream(loop, sock)
