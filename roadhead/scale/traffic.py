"""Network connections that count their bytes and can all be closed at once."""

from roadhead.runtime.loop import Future
from roadhead.runtime.net import Closed, Net, Stream


class Traffic:
    """Counters of bytes received and sent."""

    def __init__(self):
        self.received = 0
        self.sent = 0


class CountedStream(Stream):
    """A connection whose bytes are added to `traffic`, a Traffic."""

    traffic = None

    async def read(self):
        """Returns the next bytes; b"" once the peer has closed."""
        data = await super().read()
        self.traffic.received += len(data)
        return data

    def write(self, data):
        """Sends the bytes. Raises Closed."""
        super().write(data)
        self.traffic.sent += len(data)


class CountedNet(Net):
    """The network of one hollow worker or of a whole process, usable until `close`."""

    def __init__(self, loop, traffic):
        super().__init__(loop, stream=CountedStream)
        self._traffic = traffic
        self._streams = set()
        self._closed = False

    def listen(self, address, on_stream):
        """Listens as Net does; accepted streams are counted."""

        def accepted(stream):
            self._track(stream)
            on_stream(stream)

        super().listen(address, accepted)

    async def connect(self, address, timeout):
        """Connects as Net does. After `close` it never returns, as on a machine that is gone."""
        if self._closed:
            await Future()
        stream = await super().connect(address, timeout)
        self._track(stream)
        if self._closed:
            stream.close()
            raise Closed
        return stream

    def _track(self, stream):
        stream.traffic = self._traffic
        self._streams = {other for other in self._streams if not other.closed}
        self._streams.add(stream)

    def close(self):
        """Closes all connections and stops listening."""
        self._closed = True
        self.stop_listening()
        for stream in self._streams:
            stream.close()
