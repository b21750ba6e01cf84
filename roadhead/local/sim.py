"""Virtual time and a virtual network, with the interfaces of the production event loop and streams."""

import random

from roadhead.runtime.loop import Future, Loop, Timeout, Timer
from roadhead.runtime.net import Closed

END_OF_STREAM = (None,)  # arguments of the callback that delivers the end of a connection


class NoSelector:
    """Stands in for the I/O selector: a simulation has no sockets to poll."""

    def select(self, _timeout):
        return ()


class Sim(Loop):
    """The event loop of the simulation: advances its clock to the next timer whenever nothing is ready."""

    def __init__(self, seed):
        self.time = 0.0
        self.random = random.Random(seed)
        super().__init__(lambda: self.time, NoSelector())

    def run_until(self, end):
        """Runs the simulation until the virtual time `end`."""
        while True:
            if self.idle:
                when = self.next_timer()
                if when is None or when > end:
                    self.time = end
                    return
                self.time = max(self.time, when)
            self.run_due()


class HostLoop(Loop):
    """The event loop of one simulated host: has its own drifting clock and runs nothing once it is dead.

    `turn_s` is the time in seconds that a busy process takes for one iteration of its loop. Packets that
    arrive meanwhile are read at the end of the iteration: in order within a connection, in random order
    among connections. Packets that it sends leave at a random moment of the iteration.
    """

    def __init__(self, sim, rate=1.0, offset=0.0, turn_s=0.0):
        self.sim = sim
        self.rate = rate
        self.offset = offset
        self.turn_s = turn_s
        self.alive = True
        self.hung = False
        self._held_callbacks = []
        self._held_packets = []
        self._unread = {}  # receiving stream -> [(callback, its arguments)], read when this iteration ends
        super().__init__(lambda: sim.time * rate + offset, NoSelector())

    def _run_or_hold(self, fn, args):
        if not self.alive:
            return
        if self.hung:
            self._held_callbacks.append((fn, args))
        else:
            fn(*args)

    def call_soon(self, fn, *args):
        self.sim.call_soon(self._run_or_hold, fn, args)

    def call_at(self, when, fn, *args):
        timer = Timer(when, fn, args)

        def fire():
            if timer.fn is not None:
                self._run_or_hold(lambda: timer.fn is not None and timer.fn(*timer.args), ())

        delay = max(0.0, (when - self.now()) / self.rate)
        self.sim._push(Timer(self.sim.time + delay, fire, ()))
        return timer

    def deliver(self, delay, fn, *args):
        """Delivers a packet after `delay` seconds; while the host hangs, the packet waits in its socket."""

        def arrive():
            if self.alive and self.hung:
                self._held_packets.append((fn, args))
            elif self.alive and self.turn_s:
                self._queue_for_turn(fn, args)
            elif self.alive:
                fn(*args)

        self.sim._push(Timer(self.sim.time + delay, arrive, ()))

    def _queue_for_turn(self, fn, args):
        """Buffers a packet until the current iteration of the busy loop ends."""
        if not self._unread:
            self.sim._push(Timer(self.sim.time + self.turn_s, self._deliver_unread, ()))
        self._unread.setdefault(fn.__self__, []).append((fn, args))

    def _deliver_unread(self):
        unread, self._unread = list(self._unread.values()), {}
        packets = [packet for connection in self._shuffled(unread) for packet in connection]
        if self.hung:
            self._held_packets += packets
        elif self.alive:
            for fn, args in packets:
                fn(*args)

    def _shuffled(self, connections):
        return self.sim.random.sample(connections, len(connections))

    def hang(self):
        """Stops executing callbacks and timers until `wake`."""
        self.hung = True
        self._hung_since = self.now()

    def wake(self):
        """Resumes a hung host: as in the real loop, buffered packets are read before any timer runs."""
        self.hung = False
        packets, self._held_packets = self._held_packets, []
        held, self._held_callbacks = self._held_callbacks, []
        self.catching_up = True
        for fn, args in packets:
            if args == END_OF_STREAM:
                # A socket tells of its end only in a read of its own, one iteration after its data.
                self.call_soon(self.call_soon, fn, *args)
            else:
                self.call_soon(fn, *args)

        def resume():
            self.catching_up = False
            if self.on_stall is not None and self.alive:
                self.on_stall(self.now() - self._hung_since)
            for fn, args in held:
                self.call_soon(fn, *args)

        self.sim._push(Timer(self.sim.time + 1e-6, resume, ()))


class SimStream:
    """One end of a simulated connection, with the interface of a production stream."""

    def __init__(self, net, host, peer_host):
        self._net = net
        self.host = host
        self.peer_host = peer_host
        self.peer = None
        self.last_arrival_at = 0.0  # later packets arrive no earlier, which keeps their order
        self.closed = False
        self._eof = False
        self._reset = False  # the peer's host has told this one that the connection is no more
        self._chunks = []
        self._waiter = None

    def reset(self):
        """The peer's process has ended: from now on writes fail, also before the end has been read."""
        self._reset = True

    def _wake(self):
        if self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            waiter.set()

    def _deliver(self, data):
        if self.closed:
            if data is not None:
                self._net.reset(self.peer)
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
        if self._reset:
            self.close()
        if self.closed:
            raise Closed
        self._net.carry(self, bytes(data))

    def close(self):
        if not self.closed:
            self.closed = True
            self._net.carry(self, None)
            self._wake()


class Network:
    """Carries bytes between hosts with a latency, in order within each connection.

    A cut between two hosts either delays their packets until it ends or drops them.
    """

    def __init__(self, sim, latency=0.001):
        self.sim = sim
        self.latency = latency
        self.listeners = {}  # address -> (host, on_stream)
        self.loops = {}  # host -> HostLoop
        self.cuts = {}  # frozenset((host, host)) -> [mode, held packets]
        self.limits = {}  # host -> maximum number of open sockets
        self._streams = []

    def full(self, host):
        """Returns whether a host has reached its limit of open sockets."""
        limit = self.limits.get(host)
        return limit is not None and sum(stream.host == host for stream in self._streams) >= limit

    def host(self, name, loop):
        """Adds a host and returns its network interface."""
        self.loops[name] = loop
        return HostNet(self, name, loop)

    def cut_between(self, a, b):
        """Returns the cut between two hosts, or None."""
        return self.cuts.get(frozenset((a, b)))

    def carry(self, stream, data):
        """Sends bytes, or an end of stream if `data` is None, from one end of a connection to the other."""
        cut = self.cut_between(stream.host, stream.peer_host)
        if cut is not None:
            if cut[0] == "hold":
                cut[1].append((stream.peer, data))
            return
        sender = self.loops.get(stream.host)
        self._post(stream.peer, data, sender.turn_s if sender is not None else 0.0)

    def reset(self, stream):
        """Tells one end of a connection that the other end is gone, unless the two hosts are cut off."""
        if self.cut_between(stream.host, stream.peer_host) is None:
            self.sim.call_later(self.latency, stream.reset)

    def _post(self, peer, data, turn_s=0.0):
        loop = self.loops.get(peer.host)
        if loop is None:
            return
        delay = self.latency
        if turn_s:
            peer.last_arrival_at = max(
                peer.last_arrival_at, self.sim.time + delay + self.sim.random.uniform(0.0, turn_s)
            )
            delay = peer.last_arrival_at - self.sim.time
        loop.deliver(delay, peer._deliver, data)

    def cut(self, a, b, mode):
        """Cuts two hosts off: mode `hold` delays packets until the cut ends, mode `lose` drops them."""
        self.cuts[frozenset((a, b))] = [mode, []]

    def heal(self, a, b):
        """Ends a cut: delivers held packets, or closes the connections that lost some."""
        cut = self.cuts.pop(frozenset((a, b)), None)
        if cut is not None:
            for peer, data in cut[1]:
                self._post(peer, data)
            if cut[0] == "lose":
                for stream in self._streams:
                    if {stream.host, stream.peer_host} == {a, b}:
                        stream._deliver(None)

    def kill(self, name):
        """Ends a host with its listeners and connections."""
        loop = self.loops.pop(name, None)
        if loop is not None:
            loop.alive = False
        for address in [a for a, (host, _) in self.listeners.items() if host == name]:
            del self.listeners[address]
        for stream in self._streams:
            if stream.host == name and not stream.closed:
                stream.closed = True
                self.carry(stream, None)
                self.reset(stream.peer)
        self._streams = [s for s in self._streams if (s.host != name and s.peer_host != name) or not s.closed]


class HostNet:
    """The network as one simulated host sees it, with the interface of the production network."""

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
        local_end = SimStream(network, self.name, target)
        remote_end = SimStream(network, target, self.name)
        local_end.peer, remote_end.peer = remote_end, local_end
        network._streams += [local_end, remote_end]
        network.loops[target].call_soon(listener[1], remote_end)
        return local_end
