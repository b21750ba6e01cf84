"""What the loop and the links between controllers promise to those who call them."""

import errno
import socket
from types import SimpleNamespace

import pytest
from mutation import text_of

from roadhead.local.sim import HostLoop, Network, Sim
from roadhead.local.world import World
from roadhead.membership.peers import Peers
from roadhead.runtime.loop import Loop
from roadhead.runtime.net import Closed, Net, Stream
from roadhead.runtime.supervisor import Supervisor
from roadhead.wire.frames import Heartbeat, RevokeGrant

HEARTBEAT_S = 1.0
FRAME = RevokeGrant("n-000020", 7)


def supervisor_of(loop):
    """Returns a Supervisor that counts and gives up nothing."""
    return Supervisor(
        loop,
        restart_s=HEARTBEAT_S,
        max_restart_s=HEARTBEAT_S,
        give_up_s=1e9,
        on_failure=lambda: None,
        on_hopeless=None,
    )


class Controller:
    """The links of one of two controllers, and the calls back from them."""

    def __init__(self, network, sim, number):
        self.label = f"ctl-{number}"
        self.up, self.down = [], []
        self.failures = 0
        loop = HostLoop(sim)
        settings = SimpleNamespace(
            label=self.label,
            internal_addr=f"10.0.0.{number}:8081",
            members=[SimpleNamespace(label=f"ctl-{3 - number}", endpoint=f"10.0.0.{3 - number}:8081")],
        )
        self.peers = Peers(
            loop,
            network.host(f"10.0.0.{number}", loop),
            settings,
            HEARTBEAT_S,
            supervisor_of(loop),
            own_incarnation=lambda: number,
            may_link=lambda: True,
            heartbeat=lambda: Heartbeat(1, True, False, 0.0, 0.0),
            on_frame=self._on_frame,
            on_up=self.up.append,
            on_down=self.down.append,
        )
        self.peers.start()

    def _on_frame(self, _label, _incarnation, _frame):
        """Fails as often as `failures` says."""
        if self.failures:
            self.failures -= 1
            raise KeyError("handler")


@pytest.fixture
def linked():
    """Returns the simulation and two controllers with a link between them."""
    sim = Sim(1)
    network = Network(sim)
    controllers = [Controller(network, sim, number) for number in (1, 2)]
    sim.run_until(2 * HEARTBEAT_S)
    assert [controller.up for controller in controllers] == [["ctl-2"], ["ctl-1"]]
    return sim, *controllers


def test_a_send_over_an_ended_link_calls_nothing_back(linked):
    """The caller is in the middle of a pass over grants that the end of the link takes away (review/4)."""
    sim, sender, _other = linked
    sender.peers.links["ctl-2"].stream.reset()
    assert not sender.peers.send("ctl-2", FRAME)
    assert not sender.peers.send("ctl-2", FRAME)
    assert sender.down == []
    sim.run_until(sim.time + HEARTBEAT_S / 10)
    assert sender.down == ["ctl-2"] and "ctl-2" not in sender.peers.links


def test_a_link_that_ended_in_a_send_is_made_anew(linked):
    sim, sender, other = linked
    sender.peers.links["ctl-2"].stream.reset()
    sender.peers.send("ctl-2", FRAME)
    sim.run_until(sim.time + 2 * HEARTBEAT_S)
    assert sender.up == ["ctl-2", "ctl-2"] and other.up == ["ctl-1", "ctl-1"]
    assert sender.down == ["ctl-2"] and other.down == ["ctl-1"]
    assert sender.peers.send("ctl-2", FRAME)


@pytest.mark.parametrize("failing", [0, 1])
def test_a_link_is_made_anew_after_a_frame_whose_handler_failed(linked, failing):
    """The routine that dials ended with it, for good, so that the two never heard each other again.
    The first controller dials, the second one accepts."""
    sim, *controllers = linked
    controllers[failing].failures = 1
    sim.run_until(sim.time + 4 * HEARTBEAT_S)
    assert controllers[failing].failures == 0
    for controller, other in zip(controllers, reversed(controllers), strict=True):
        assert list(controller.peers.links) == [other.label]
        assert controller.up == [other.label] * 2


def test_a_stream_that_cannot_be_written_to_wakes_its_reader():
    """Links rely on it: whoever reads the stream learns of the end that a send found."""
    loop = Loop()
    near, far = socket.socketpair()
    near.setblocking(False)
    stream = Stream(loop, near)
    reader = loop.spawn(stream.read())
    loop.turn()
    far.close()
    with pytest.raises(Closed):
        stream.write(b"x")
    loop.turn()
    assert reader.done.done and reader.done.result() == b""


def test_a_lack_of_descriptors_ends_no_routine(monkeypatch):
    """An OSError of `socket()` would have ended the routines that renew the lease and watch, for good."""

    def no_descriptors(*_args):
        raise OSError(errno.EMFILE, "too many open files")

    loop = Loop()
    connecting = loop.spawn(Net(loop).connect("127.0.0.1:9", 1.0))
    monkeypatch.setattr(socket, "socket", no_descriptors)
    loop.turn()
    with pytest.raises(Closed):
        connecting.done.result()


def test_a_link_that_is_dropped_within_a_send_is_detected():
    """Without the guard, starts that were decided on are not sent, and their tasks stay bound (review/4)."""

    def send_and_drop(peers, label, frame):
        link = peers.links.get(label)
        if link is not None and not peers._write(link, frame):
            peers._drop(label, link)
            return False
        return link is not None

    text = text_of("stall-granted-then-crash")
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Peers, "send", send_and_drop)
        faults = World(text).run().check()
    assert any("KeyError" in fault for fault in faults)
    assert any("attempts_repaired" in fault for fault in faults)


def test_a_callback_or_routine_that_fails_is_reported():
    """Such errors are survived, and what the callback had yet to do is missing: operators must see them."""
    loop = Loop()
    failures = []
    loop.on_failure = lambda: failures.append(1)

    async def failing():
        raise KeyError("routine")

    loop.call_soon({}.pop, "callback")
    loop.spawn(failing())
    loop.turn()
    assert len(failures) == 2
