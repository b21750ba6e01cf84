"""Virtual time and a virtual network: the same loops and streams as in production, no sockets."""

import random

from roadhead.runtime.loop import Future, Loop, Timeout, Timer
from roadhead.runtime.net import Closed


class NoSelector:
    def select(self, _timeout):
        return ()


class Sim(Loop):
    """The one real scheduler: advances its clock to the next timer whenever nothing is ready."""

    def __init__(self, seed):
        self.time = 0.0
        self.random = random.Random(seed)
        super().__init__(lambda: self.time, NoSelector())

    def run_until(self, end):
        while True:
            if self.idle:
                when = self.next_timer()
                if when is None or when > end:
                    self.time = end
                    return
                self.time = max(self.time, when)
            self.run_due()


class HostLoop(Loop):
    """A host's view of the simulation: its own drifting clock, and silence once it is dead.

    With `turn_s`, seconds that a busy process takes for a turn of its loop, what arrived meanwhile is read
    at the turn's end: each connection in its order, the connections among one another in any. What a turn
    sends leaves at some moment of it.
    """

    def __init__(self, sim, rate=1.0, offset=0.0, turn_s=0.0):
        self.sim = sim
        self.rate = rate
        self.offset = offset
        self.turn_s = turn_s
        self.alive = True
        self.hung = False
        self._held = []
        self._packets = []
        self._unread = {}  # connection's end -> [(callback, its arguments)], for the end of this turn
        super().__init__(lambda: sim.time * rate + offset, NoSelector())

    def _go(self, fn, args):
        if not self.alive:
            return
        if self.hung:
            self._held.append((fn, args))
        else:
            fn(*args)

    def call_soon(self, fn, *args):
        self.sim.call_soon(self._go, fn, args)

    def call_at(self, when, fn, *args):
        timer = Timer(when, fn, args)

        def fire():
            if timer.fn is not None:
                self._go(lambda: timer.fn is not None and timer.fn(*timer.args), ())

        delay = max(0.0, (when - self.now()) / self.rate)
        self.sim._push(Timer(self.sim.time + delay, fire, ()))
        return timer

    def deliver(self, delay, fn, *args):
        """A packet comes in; while the host stands still it lies in the socket."""

        def arrive():
            if self.alive and self.hung:
                self._packets.append((fn, args))
            elif self.alive and self.turn_s:
                self._wait_for_turn(fn, args)
            elif self.alive:
                fn(*args)

        self.sim._push(Timer(self.sim.time + delay, arrive, ()))

    def _wait_for_turn(self, fn, args):
        if not self._unread:
            self.sim._push(Timer(self.sim.time + self.turn_s, self._read_all, ()))
        self._unread.setdefault(fn.__self__, []).append((fn, args))

    def _read_all(self):
        unread, self._unread = list(self._unread.values()), {}
        packets = [packet for connection in self._shuffled(unread) for packet in connection]
        if self.hung:
            self._packets += packets
        elif self.alive:
            for fn, args in packets:
                fn(*args)

    def _shuffled(self, connections):
        return self.sim.random.sample(connections, len(connections))

    def hang(self):
        self.hung = True
        self._hung_at = self.now()

    def wake(self):
        """As the real loop does it: what lies in the sockets is read before any timer runs."""
        self.hung = False
        packets, self._packets = self._packets, []
        held, self._held = self._held, []
        self.catching_up = True
        for fn, args in packets:
            self.call_soon(fn, *args)

        def go_on():
            self.catching_up = False
            if self.on_stall is not None and self.alive:
                self.on_stall(self.now() - self._hung_at)
            for fn, args in held:
                self.call_soon(fn, *args)

        self.sim._push(Timer(self.sim.time + 1e-6, go_on, ()))


class SimStream:
    def __init__(self, net, host, peer_host):
        self._net = net
        self.host = host
        self.peer_host = peer_host
        self.peer = None
        self.whole_at = 0.0  # when all that was sent here has arrived: what follows comes no earlier
        self.closed = False
        self._eof = False
        self._chunks = []
        self._waiter = None

    def _wake(self):
        if self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            waiter.set()

    def _deliver(self, data):
        if self.closed:
            return
        if data is None:
            self._eof = True
        else:
            self._chunks.append(data)
        self._wake()

    async def read(self):
        while not self._chunks:
            if self._eof or self.closed:
                return b""
            self._waiter = Future()
            await self._waiter
        data = b"".join(self._chunks)
        self._chunks.clear()
        return data

    def write(self, data):
        if self.closed:
            raise Closed
        self._net.carry(self, bytes(data))

    def close(self):
        if not self.closed:
            self.closed = True
            self._net.carry(self, None)
            self._wake()


class Network:
    """Carries bytes between hosts with a latency, each connection's in order; cuts hold them back or lose
    them."""

    def __init__(self, sim, latency=0.001):
        self.sim = sim
        self.latency = latency
        self.listeners = {}  # address -> (host, on_stream)
        self.loops = {}  # host -> HostLoop
        self.cuts = {}  # frozenset(host, host) -> [mode, held]
        self.limits = {}  # host -> sockets that it may have
        self._streams = []

    def full(self, host):
        limit = self.limits.get(host)
        return limit is not None and sum(stream.host == host for stream in self._streams) >= limit

    def host(self, name, loop):
        self.loops[name] = loop
        return HostNet(self, name, loop)

    def cut_between(self, a, b):
        return self.cuts.get(frozenset((a, b)))

    def carry(self, stream, data):
        cut = self.cut_between(stream.host, stream.peer_host)
        if cut is not None:
            if cut[0] == "hold":
                cut[1].append((stream.peer, data))
            return
        sender = self.loops.get(stream.host)
        self._post(stream.peer, data, sender.turn_s if sender is not None else 0.0)

    def _post(self, peer, data, turn_s=0.0):
        loop = self.loops.get(peer.host)
        if loop is None:
            return
        delay = self.latency
        if turn_s:
            peer.whole_at = max(peer.whole_at, self.sim.time + delay + self.sim.random.uniform(0.0, turn_s))
            delay = peer.whole_at - self.sim.time
        loop.deliver(delay, peer._deliver, data)

    def cut(self, a, b, mode):
        """`hold`: packets arrive once the cut ends; `lose`: they never do."""
        self.cuts[frozenset((a, b))] = [mode, []]

    def heal(self, a, b):
        cut = self.cuts.pop(frozenset((a, b)), None)
        if cut is not None:
            for peer, data in cut[1]:
                self._post(peer, data)
            if cut[0] == "lose":
                for stream in self._streams:
                    if {stream.host, stream.peer_host} == {a, b}:
                        stream._deliver(None)

    def kill(self, name):
        loop = self.loops.pop(name, None)
        if loop is not None:
            loop.alive = False
        for address in [a for a, (host, _) in self.listeners.items() if host == name]:
            del self.listeners[address]
        for stream in self._streams:
            if stream.host == name and not stream.closed:
                stream.closed = True
                self.carry(stream, None)
        self._streams = [s for s in self._streams if (s.host != name and s.peer_host != name) or not s.closed]


class HostNet:
    def __init__(self, network, name, loop):
        self._network = network
        self.name = name
        self.loop = loop

    def listen(self, address, on_stream):
        self._network.listeners[address] = (self.name, on_stream)

    async def connect(self, address, timeout):
        network = self._network
        target = address.rpartition(":")[0]
        if network.cut_between(self.name, target) is not None or (target not in network.loops):
            if target in network.loops or target.startswith("10.1."):
                await self.loop.sleep(timeout)
                raise Timeout
            await self.loop.sleep(network.latency)
            raise Closed("refused")
        if network.loops[target].hung:
            await self.loop.sleep(timeout)
            raise Timeout
        await self.loop.sleep(2 * network.latency)
        listener = network.listeners.get(address)
        network._streams = [s for s in network._streams if not s.closed]
        if listener is None or network.full(self.name) or network.full(target):
            raise Closed("refused")
        mine = SimStream(network, self.name, target)
        theirs = SimStream(network, target, self.name)
        mine.peer, theirs.peer = theirs, mine
        network._streams += [mine, theirs]
        network.loops[target].call_soon(listener[1], theirs)
        return mine
