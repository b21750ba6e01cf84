"""Links between controllers: one connection a pair, dialled by the smaller label.

A controller that is no member, but has read the state service since it started, is linked too: its beats tell
that it serves nobody (membership/cancellation_freshness.py).
"""

import logging

from roadhead.membership.cancellation_freshness import SILENT_HEARTBEATS
from roadhead.runtime.loop import Cancelled, Timeout
from roadhead.runtime.net import Closed
from roadhead.wire.frames import FrameDecoder, FrameError, Heartbeat, Hello

log = logging.getLogger("roadhead.peers")


class Link:
    """`heard_at` tells silence; `last_heartbeat_at` is when the last beat came: what the other side knew when
    it sent that was on the link before it."""

    __slots__ = (
        "heard_at",
        "incarnation",
        "last_heartbeat_at",
        "state_ok",
        "stream",
        "term",
        "used",
        "workers_silent",
    )

    def __init__(self, stream, incarnation, now):
        self.stream = stream
        self.incarnation = incarnation
        self.heard_at = now
        self.last_heartbeat_at = -1e9
        self.term = 0  # number of the term served there
        self.state_ok = True
        self.workers_silent = False
        self.used = None  # (requests, writes) of the state service a second, once told


class Peers:
    """`on_frame(label, incarnation, frame)`, `on_up(label)`, `on_down(label)`.

    `links` are those of members, `outside` those of controllers that are none; `speaks()`: whether this one
    may have links at all."""

    def __init__(self, loop, net, settings, heartbeat_s, me, speaks, heartbeat, on_frame, on_up, on_down):
        self._loop = loop
        self._net = net
        self.label = settings.label
        self._addresses = {member.label: member.endpoint for member in settings.members}
        self._listen_on = settings.internal_addr
        self._heartbeat_s = heartbeat_s
        self._me = me  # () -> own incarnation, 0 if it is no member
        self._speaks = speaks
        self._heartbeat = heartbeat  # () -> Beat
        self._on_frame = on_frame
        self._on_up = on_up
        self._on_down = on_down
        self.links = {}
        self.outside = {}
        self._accepted = 0

    def start(self):
        self._net.listen(self._listen_on, self._accept)
        for label in self._addresses:
            if self.label < label:
                self._loop.spawn(self._dial(label), f"dial {label}")
        self._loop.spawn(self._beats(), "beats")

    def _accept(self, stream):
        if self._accepted > 8 * (len(self._addresses) + 1):
            stream.close()
            return
        self._accepted += 1

        async def serve():
            try:
                await self._talk(stream, None)
            finally:
                self._accepted -= 1

        self._loop.spawn(serve(), "peer")

    async def _dial(self, label):
        while True:
            if self._speaks():
                try:
                    stream = await self._net.connect(self._addresses[label], 2 * self._heartbeat_s)
                    await self._talk(stream, label)
                except (Closed, Timeout):
                    pass
            await self._loop.sleep(self._heartbeat_s / 2)

    async def _talk(self, stream, expected):
        """One connection, both ways, until it ends."""
        splitter = FrameDecoder()
        link = label = None
        timer = self._loop.call_later(4 * self._heartbeat_s, stream.close)
        try:
            if not self._speaks():
                return
            mine = self._me()
            stream.write(Hello(self.label, mine).encode())
            while True:
                data = await stream.read()
                if not data:
                    return
                splitter.feed(data)
                for frame in splitter.frames():
                    if link is None:
                        if type(frame) is not Hello or frame.label not in self._addresses:
                            raise FrameError("no hello")
                        label = frame.label
                        if (expected or label) != label or mine != self._me():
                            return
                        timer.cancel()
                        self._drop(label, self.links.get(label) or self.outside.get(label))
                        link = Link(stream, frame.incarnation, self._loop.now())
                        (self.links if link.incarnation else self.outside)[label] = link
                        # Before the first beat: who hears that relies on having been told all.
                        self._on_up(label)
                        stream.write(self._heartbeat().encode())
                        continue
                    link.heard_at = self._loop.now()
                    if type(frame) is Heartbeat:
                        if not self._loop.catching_up:
                            link.last_heartbeat_at = link.heard_at
                        link.term = frame.term
                        link.state_ok = frame.state_ok
                        link.workers_silent = frame.workers_silent
                        link.used = (frame.requests, frame.writes)
                    self._on_frame(label, link.incarnation, frame)
                    if not self._is_up(label, link):
                        return
        except FrameError as error:
            log.info("peer %s: %s", label or "unknown", error)
        except (Closed, Cancelled):
            pass
        finally:
            timer.cancel()
            stream.close()
            self._drop(label, link)

    def _is_up(self, label, link):
        return link is not None and link in (self.links.get(label), self.outside.get(label))

    def _drop(self, label, link):
        if not self._is_up(label, link):
            return
        link.stream.close()
        if self.outside.get(label) is link:
            del self.outside[label]
        else:
            del self.links[label]
            self._on_down(label)

    async def _beats(self):
        while True:
            await self._loop.sleep(self._heartbeat_s)
            limit = self._loop.now() - SILENT_HEARTBEATS * self._heartbeat_s
            for label, link in [*self.links.items(), *self.outside.items()]:
                if link.heard_at < limit:
                    log.info("peer %s is silent", label)
                    self._drop(label, link)
                else:
                    self._write(label, link, self._heartbeat())

    def send(self, label, frame):
        """True if the frame was handed to the link; False if there is none."""
        link = self.links.get(label)
        return link is not None and self._write(label, link, frame)

    def _write(self, label, link, frame):
        try:
            link.stream.write(frame.encode())
        except Closed:
            self._drop(label, link)
            return False
        return True

    def reset_silence(self):
        """After a stall: nobody was silent in time in which we were not looking."""
        for link in (*self.links.values(), *self.outside.values()):
            link.heard_at = self._loop.now()

    def reset(self):
        """Ends every link, since this process's incarnation changed."""
        for label, link in [*self.links.items(), *self.outside.items()]:
            self._drop(label, link)
