"""A routine that has to go on for as long as the process does goes on after an error that nobody expected."""

import re
from pathlib import Path

import pytest

from roadhead.local.sim import Sim
from roadhead.local.world import World
from roadhead.runtime.supervisor import Supervisor

ROADHEAD = Path(__file__).resolve().parent.parent / "roadhead"
# Routines that end by themselves. Whoever waits for one gets its error, asks again, or has a time limit.
SHORT_LIVED = {
    ("api/cancellation_writer.py", 'self._send(), "cancellations"'),
    ("api/cancellation_writer.py", 'self._process_batch(batch), "cancel together"'),
    ("api/cancellation_writer.py", 'self._read_one(job_id, future, records), "read to cancel"'),
    ("api/server.py", 'self._serve(stream), "http"'),
    ("fleet/fleet.py", 'self._release(names[at : at + MAX_RELEASE]), "release"'),
    ("gateway/controllers.py", 'self._ask_one(label, target, within_s), "ask one"'),
    ("gateway/gateway.py", "serve(stream), name"),
    ("jobs/job_store.py", 'self._write_parts(job), "parts"'),
    ("jobs/transactions.py", 'work, "transaction"'),
    ("machines/spec_lookup.py", 'self._look_up(job_id, self._leader), f"look up {job_id}"'),
    ("machines/worker_client.py", 'self._run_requests(machine, silent), f"ask {machine.id}"'),
    ("membership/member.py", 'self._write_gate(record), "gate"'),
    ("membership/peers.py", 'serve(), "peer"'),
    ("node.py", 'self._leave(done), "leave"'),
    ("node.py", 'self.member.leave(), "give up"'),
    ("periodic_duties.py", 'self._judge_leases(), "judge leases"'),
    ("periodic_duties.py", 'self._probe_workers(), "try workers"'),
    ("pipelines/ancestor_reader.py", 'self._read_one(name, found), "ancestor"'),
    ("pipelines/cancellation_history.py", 'self._serve_waiting(), "cancellations"'),
    ("pipelines/dependency_queue.py", 'self._read_upstream(name), "look"'),
    ("recovery/failover.py", 'self._scan(self._roster), "scan"'),
    ("recovery/failover.py", 'self._adopt_one(job_id), "adopt"'),
    ("shards/balancer.py", 'self._move(moves), "move shares"'),
    ("state/record_reader.py", 'self._serve_waiting(), "read"'),
    ("state/record_reader.py", 'self._read_one(name, batch[name]), "read one"'),
}


def spawned():
    """Yields (module, arguments) of each call that starts a routine without the supervisor."""
    for path in sorted(ROADHEAD.rglob("*.py")):
        module = path.relative_to(ROADHEAD).as_posix()
        if module.startswith(("local/", "scale/", "runtime/")):
            continue
        for call in re.finditer(
            r"_?loop\.spawn\(\s*((?:[^()]|\((?:[^()]|\([^()]*\))*\))*?),?\s*\)", path.read_text()
        ):
            yield module, call[1]


def test_every_routine_is_supervised_or_known_to_be_short_lived():
    assert set(spawned()) == SHORT_LIVED


class Failing:
    """A duty that fails so many times, each time after `runs_s` seconds, and then goes on for ever."""

    def __init__(self, loop, times, runs_s=0.0):
        self.loop, self.times, self.runs_s = loop, times, runs_s
        self.started_at = []

    async def duty(self):
        """The duty itself."""
        self.started_at.append(self.loop.now())
        await self.loop.sleep(self.runs_s if len(self.started_at) <= self.times else 1e9)
        raise KeyError("duty")


def supervise(times, runs_s=0.0):
    """Returns (the Failing duty, number of failures counted, names given up) after 200 s."""
    sim = Sim(1)
    failures, hopeless = [], []
    supervisor = Supervisor(
        sim,
        restart_s=1.0,
        max_restart_s=6.0,
        give_up_s=60.0,
        on_failure=lambda: failures.append(sim.time),
        on_hopeless=hopeless.append,
    )
    failing = Failing(sim, times, runs_s)
    supervisor.spawn(failing.duty)
    sim.run_until(200)
    return failing, len(failures), hopeless


def test_a_duty_is_started_again_with_growing_pauses():
    failing, failures, hopeless = supervise(5)
    assert failing.started_at == [0.0, 1.0, 3.0, 7.0, 13.0, 19.0]
    assert (failures, hopeless) == (5, [])


def test_a_process_gives_up_once_if_a_duty_keeps_failing():
    _failing, failures, hopeless = supervise(1000)
    assert failures > 10 and hopeless == ["Failing.duty"]


def test_a_duty_that_fails_now_and_then_is_no_reason_to_give_up():
    _failing, failures, hopeless = supervise(1000, runs_s=10.0)
    assert failures > 10 and hopeless == []


def throw(world, node, name, thrown):
    """Throws an error into a routine of a controller, where it waits just now."""
    routine = node._supervisor.routines.get(name)
    if routine is None or routine.done.done:
        return
    if routine._awaited is None:  # about to go on
        world.sim.call_later(0.001, throw, world, node, name, thrown)
        return
    thrown.append(name)
    routine._awaited = None
    awaited = routine._coro.throw(KeyError("thrown by the test"))
    routine._awaited = awaited
    awaited.on_done(routine._wake)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_each_long_lived_routine_goes_on_after_an_error(seed):
    """One routine after the other of some controller ends by an error, while jobs come and go."""
    world = World(f"""
    seed {seed}
    capacity 16
    boot_s 3
    at 1 submit count=3 legs=8
    at 30 submit count=3 legs=8 upstream=1
    at 50 submit count=2 legs=6 shape=group
    at 60 cancel 5
    at 70 submit count=4 legs=12
    at 95 submit count=4 legs=12
    until 200
    """)
    world.sim.run_until(20)
    names = sorted({name for node in world.nodes.values() for name in node._supervisor.routines})
    assert {"member", "heartbeats", "Member._renew", "Recorder.run", "PeriodicDuties.run"} < set(names)
    thrown = []
    for number, name in enumerate(names):
        for controller in range(3):
            at = 20.5 + 4 * number + controller
            world.sim.call_at(at, lambda c=controller, n=name: throw(world, world.nodes[c], n, thrown))
    world.run()
    assert set(thrown) == set(names)
    assert world.counter("duties_failed") + world.counter("callbacks_failed") >= len(thrown)
    expected = ("duties_failed", "thrown by the test", "_repaired")
    assert [fault for fault in world.check() if not any(text in fault for text in expected)] == []
    assert {user.last_state for user in world.users.values()} <= {"done", "cancelled"}
    assert all(len(node.peers.links) == 2 for node in world.nodes.values())
