"""The base of the emulated services: an HTTP server on a virtual host that can fail on request."""

import cbor2

from roadhead.local.fault_windows import LATE_COMMAND_S
from roadhead.runtime.loop import Future
from roadhead.wire import http


class EmulatedServer:
    """An HTTP server on a host of its own. `lose` answers are executed but never sent."""

    def __init__(self, world, host, address):
        self.world = world
        self.sim = world.sim
        self.loop = world.host_loop(host)
        self.net = world.network.host(host, self.loop)
        self.host = host
        self.lose = 0
        self.late = []  # (matches(method, path, body), delay): executed that much later
        self.late_share = (0.0, 0.0)  # of transactions that come late, and until when
        self.net.listen(address, lambda stream: self.loop.spawn(self._serve(stream), host))

    async def _serve(self, stream):
        async def handle(request):
            path, _, query = request.target.partition("?")
            args = dict(part.split("=", 1) for part in query.split("&") if part)
            body = cbor2.loads(request.body) if request.body else None
            if (delay := self._delay_of(request.method, path, body)) is not None:
                self.loop.spawn(self._later(delay, request.method, path, args, body, stream))
                await Future()
            host = getattr(stream, "peer_host", "")
            windows = self.world.fault_windows
            if path == "/commands" and windows.late_commands.strikes(self.sim):
                await self.loop.sleep(self.sim.random.uniform(*LATE_COMMAND_S))
                await self.handle(request.method, path, args, body, host)
                await Future()
            lost = path == "/multi" and body["writes"] and windows.lost_writes.strikes(self.sim)
            status, answer = await self.handle(request.method, path, args, body, host)
            if lost:
                await Future()  # silent until the sender gives up
            if self.lose > 0 and request.method == "POST":
                self.lose -= 1
                stream.close()
            return status, (cbor2.dumps(answer) if answer is not None else b""), None

        await http.serve(self.loop, stream, handle, 60.0)

    def _delay_of(self, method, path, body):
        """By how many seconds a request is executed late; None if it is not."""
        for matches, delay in list(self.late):
            if matches(method, path, body):
                self.late.remove((matches, delay))
                return delay
        share, until = self.late_share
        if path == "/multi" and self.sim.time < until and self.sim.random.random() < share:
            return self.sim.random.uniform(2.0, 12.0)
        return None

    async def _later(self, delay, method, path, args, body, stream):
        """The sender gives up on it, and then it takes effect all the same."""
        await self.loop.sleep(min(delay, 5.0))
        stream.close()
        await self.loop.sleep(max(0.0, delay - 5.0))
        await self.handle(method, path, args, body, stream.peer_host)
