"""Links between controllers: one connection for each pair, dialled by the smaller label.

A controller that is no member, but has read the state service since it started, is linked too: its heartbeats
tell the others that it serves nobody (membership/cancellation_freshness.py).
"""

import logging
from functools import partial

from roadhead.membership.cancellation_freshness import SILENT_HEARTBEATS
from roadhead.runtime.loop import Cancelled, Timeout
from roadhead.runtime.net import Closed
from roadhead.wire.frame_codec import FrameDecoder, FrameError
from roadhead.wire.frames import Heartbeat, Hello

log = logging.getLogger("roadhead.peers")


class Link:
    """A connection to another controller, and what its last heartbeat told.

    `heard_at`: when the last frame came. `last_heartbeat_at`: when the last heartbeat came; whatever the
    other side knew when it sent that was on the link before it.
    """

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
        self.term = 0  # number of the term that the other side serves
        self.state_ok = True
        self.workers_silent = False
        self.used = None  # (requests, writes) per second to the state service, None before it was told

    def take_heartbeat(self, frame, *, catching_up):
        """Takes in what a heartbeat tells.

        `catching_up`: this process reads what came while it stalled, so nobody knows when that was sent.
        """
        if not catching_up:
            self.last_heartbeat_at = self.heard_at
        self.term = frame.term
        self.state_ok = frame.state_ok
        self.workers_silent = frame.workers_silent
        self.used = (frame.requests, frame.writes)


class Peers:
    """The links to all other configured controllers.

    `links` has those of members by label, `non_member_links` those of controllers that are no members.
    `may_link()` tells whether this controller may have links now. Callbacks: `on_frame(label, incarnation,
    frame)`; `on_up(label)` for each new link, before its first heartbeat; `on_down(label)` when a member's
    link ends. `supervisor` runs the routines that dial and send heartbeats.
    """

    def __init__(
        self,
        loop,
        net,
        settings,
        heartbeat_s,
        supervisor,
        own_incarnation,
        may_link,
        heartbeat,
        on_frame,
        on_up,
        on_down,
    ):
        self._loop = loop
        self._net = net
        self.label = settings.label
        self._addresses = {member.label: member.endpoint for member in settings.members}
        self._listen_on = settings.internal_addr
        self._heartbeat_s = heartbeat_s
        self._supervisor = supervisor
        # () -> this controller's incarnation, 0 while it is no member
        self._own_incarnation = own_incarnation
        self._may_link = may_link
        self._heartbeat = heartbeat  # () -> Heartbeat
        self._on_frame = on_frame
        self._on_up = on_up
        self._on_down = on_down
        self.links = {}
        self.non_member_links = {}
        self._accepted = 0

    def start(self):
        """Listens for links, dials those of larger labels, and sends heartbeats."""
        self._net.listen(self._listen_on, self._accept)
        for label in self._addresses:
            if self.label < label:
                self._supervisor.spawn(partial(self._dial, label), f"dial {label}")
        self._supervisor.spawn(self._send_heartbeats, "heartbeats")

    def _accept(self, stream):
        if self._accepted > 8 * (len(self._addresses) + 1):
            stream.close()
            return
        self._accepted += 1

        async def serve():
            try:
                await self._serve_link(stream, None)
            finally:
                self._accepted -= 1

        self._loop.spawn(serve(), "peer")

    async def _dial(self, label):
        while True:
            if self._may_link():
                try:
                    stream = await self._net.connect(self._addresses[label], 2 * self._heartbeat_s)
                    await self._serve_link(stream, label)
                except (Closed, Timeout):
                    pass
                except Exception:
                    # A frame's handler failed. The link has ended; without a new one the two would never hear
                    # each other again.
                    log.exception("the link to %s ended by an error", label)
                    self._loop.report_failure()
            await self._loop.sleep(self._heartbeat_s / 2)

    async def _serve_link(self, stream, expected):
        """Exchanges frames over one connection until it ends; `expected`: the label dialled, or None."""
        splitter = FrameDecoder()
        link = label = None
        timer = self._loop.call_later(4 * self._heartbeat_s, stream.close)
        try:
            if not self._may_link():
                return
            mine = self._own_incarnation()
            stream.write(Hello(self.label, mine).encode())
            while True:
                data = await stream.read()
                if not data:
                    return
                splitter.feed(data)
                for frame in splitter.frames():
                    if link is not None:
                        self._take_frame(label, link, frame)
                        if not self._is_current(label, link):
                            return
                        continue
                    if type(frame) is not Hello or frame.label not in self._addresses:
                        raise FrameError("no hello")
                    label = frame.label
                    if (expected or label) != label or mine != self._own_incarnation():
                        return
                    timer.cancel()
                    link = Link(stream, frame.incarnation, self._loop.now())
                    self._begin_link(label, link)
        except FrameError as error:
            log.info("peer %s: %s", label or "unknown", error)
        except (Closed, Cancelled):
            pass
        finally:
            timer.cancel()
            stream.close()
            self._drop(label, link)

    def _begin_link(self, label, link):
        """Puts a link in place of an earlier one to the same controller. Raises Closed."""
        self._drop(label, self.links.get(label) or self.non_member_links.get(label))
        (self.links if link.incarnation else self.non_member_links)[label] = link
        # Before the first heartbeat, whose receiver relies on having been told all before it.
        self._on_up(label)
        link.stream.write(self._heartbeat().encode())

    def _take_frame(self, label, link, frame):
        """Handles a frame that came over a link."""
        link.heard_at = self._loop.now()
        if type(frame) is Heartbeat:
            link.take_heartbeat(frame, catching_up=self._loop.catching_up)
        self._on_frame(label, link.incarnation, frame)

    def _is_current(self, label, link):
        return link is not None and link in (self.links.get(label), self.non_member_links.get(label))

    def _drop(self, label, link):
        if not self._is_current(label, link):
            return
        link.stream.close()
        if self.non_member_links.get(label) is link:
            del self.non_member_links[label]
        else:
            del self.links[label]
            self._on_down(label)

    async def _send_heartbeats(self):
        while True:
            await self._loop.sleep(self._heartbeat_s)
            limit = self._loop.now() - SILENT_HEARTBEATS * self._heartbeat_s
            for label, link in [*self.links.items(), *self.non_member_links.items()]:
                if link.heard_at < limit:
                    log.info("peer %s closed: it was silent for too long", label)
                    self._drop(label, link)
                else:
                    self._write(link, self._heartbeat())

    def send(self, label, frame):
        """Sends a frame to a member. Returns False if there is no link to it, or the link has ended.

        Calls nothing back, whatever becomes of the link: callers are in the middle of changing what `on_down`
        changes too.
        """
        link = self.links.get(label)
        return link is not None and self._write(link, frame)

    @staticmethod
    def _write(link, frame):
        """Writes a frame to a link. Returns False if the link has ended.

        The link is not dropped here: a stream that can't be written to is closed, and its end wakes
        `_serve_link`, which drops the link in a turn of its own. Dropping it at once once ended a placing
        pass halfway, and what it had decided was never sent (docs/incidents/unsent-starts.md).
        """
        try:
            link.stream.write(frame.encode())
        except Closed:
            return False
        return True

    def reset_silence(self):
        """Restarts the silence of all links after a stall, in which this process could hear nobody."""
        for link in (*self.links.values(), *self.non_member_links.values()):
            link.heard_at = self._loop.now()

    def reset(self):
        """Closes all links, as this process's incarnation has changed."""
        for label, link in [*self.links.items(), *self.non_member_links.items()]:
            self._drop(label, link)
