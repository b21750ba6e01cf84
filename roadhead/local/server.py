"""The base of all emulators: an HTTP server that loses or delays requests on demand."""

from functools import partial
from http import HTTPStatus

import cbor2

from roadhead.local.fault_windows import LATE_COMMAND_S, SLOW_COMMAND_S
from roadhead.local.late_copies import schedule_copies
from roadhead.runtime.loop import Future
from roadhead.wire import http


class EmulatedServer:
    """An HTTP server on a host of its own; subclasses define `handle`.

    The next `lose` POST requests are executed, but their responses are never sent. `copies_window` names the
    fault window of late copies of the requests that it has carried out.
    """

    copies_window = None

    def __init__(self, world, host, address):
        self.world = world
        self.sim = world.sim
        self.loop = world.host_loop(host)
        self.net = world.network.host(host, self.loop)
        self.host = host
        self.lose = 0
        self.late = []  # (matches(method, path, body), delay_s): delays the next matching request
        self.late_share = (0.0, 0.0)  # (share of transactions to delay, end of the period)
        self.net.listen(address, lambda stream: self.loop.spawn(self._serve(stream), host))

    async def _serve(self, stream):
        async def handle(request):
            path, _, query = request.target.partition("?")
            args = dict(part.split("=", 1) for part in query.split("&") if part)
            body = cbor2.loads(request.body) if request.body else None
            if (delay_s := self._delay_of(request.method, path, body)) is not None:
                self.loop.spawn(self._execute_late(delay_s, request.method, path, args, body, stream))
                await Future()
            host = getattr(stream, "peer_host", "")
            windows = self.world.fault_windows
            if path == "/commands" and windows.late_commands.strikes(self.sim):
                await self.loop.sleep(self.sim.random.uniform(*LATE_COMMAND_S))
                await self.handle(request.method, path, args, body, host)
                await Future()
            if path == "/commands" and windows.slow_commands.strikes(self.sim):
                await self.loop.sleep(self.sim.random.uniform(*SLOW_COMMAND_S))
            lost = path == "/multi" and body["writes"] and windows.lost_writes.strikes(self.sim)
            status, answer = await self.handle(request.method, path, args, body, host)
            if lost:
                await Future()  # sends no response, so the client times out
            if status == HTTPStatus.OK:
                self._schedule_copies(request.method, path, args, body, host)
            if self.lose > 0 and request.method == "POST":
                self.lose -= 1
                stream.close()
            return status, (cbor2.dumps(answer) if answer is not None else b""), None

        await http.serve(self.loop, stream, handle, 60.0)

    def is_up(self):
        """Returns whether requests still reach the server."""
        return True

    def _schedule_copies(self, *request):
        """Has copies of a request that was carried out arrive later, if its fault window strikes it."""
        if self.copies_window is not None:
            window = getattr(self.world.fault_windows, self.copies_window)
            schedule_copies(window, self.sim, self.loop, request[0], partial(self._handle_copy, *request))

    async def _handle_copy(self, *request):
        if self.is_up():
            await self.handle(*request)

    def _delay_of(self, method, path, body):
        """Returns by how many seconds to delay a request, or None."""
        for matches, delay_s in list(self.late):
            if matches(method, path, body):
                self.late.remove((matches, delay_s))
                return delay_s
        share, until = self.late_share
        if path == "/multi" and self.sim.time < until and self.sim.random.random() < share:
            return self.sim.random.uniform(2.0, 12.0)
        return None

    async def _execute_late(self, delay_s, method, path, args, body, stream):
        """Executes a request after its client has given up on it."""
        await self.loop.sleep(min(delay_s, 5.0))
        stream.close()
        await self.loop.sleep(max(0.0, delay_s - 5.0))
        await self.handle(method, path, args, body, stream.peer_host)
