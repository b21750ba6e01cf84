"""Copies of direct commands that a worker has carried out and answered start nothing when they arrive."""

import copy

import hunt
import pytest

from roadhead.local.fault_injector import COPIES_WINDOWS
from roadhead.local.worker import EmulatedWorker
from roadhead.local.world import World

DEPLOYMENT = """
capacity 4
boot_s 3
fetch_s 0.05
at 1 submit count=4 legs=1 vcpus=3 runS=200 expectS=200 urgency=low musterS=5 stowS=1
"""
ENDINGS = {
    "failed": "at 20 sick 2\nat 20.5 submit count=2 legs=4 runS=2 expectS=2\nuntil 27",
    "stopped": "at 20 submit count=1 legs=4 runS=60 expectS=60\nuntil 40",
    "cancelled": "at 20 submit count=2 legs=3 runS=90 expectS=90\nat 30 cancel 5,6,1\nuntil 50",
    "done": "at 20 submit count=3 legs=3 runS=2 expectS=2\nuntil 50",
}


STOPPED_AT_S = 30


def stop_all_tasks(world):
    """Has the owners of all jobs stop their tasks, as for more urgent work; they are started again."""
    for node in world.nodes.values():
        for job in node.job_store.jobs.values():
            for index, binding in list(job.bound.items()):
                node.job_store.stop(job, index, binding, 0.0)


class CarriedOut:
    """Direct commands that workers have carried out and answered, to be delivered again."""

    def __init__(self, monkeypatch):
        self.requests = []  # (worker, body)
        real = EmulatedWorker.handle

        async def handle(worker, method, path, args, body, host):
            status, answer = await real(worker, method, path, args, copy.deepcopy(body), host)
            if path == "/commands" and status == 200:
                self.requests.append((worker, body))
            return status, answer

        monkeypatch.setattr(EmulatedWorker, "handle", handle)
        self._handle = real

    def forgotten_launches(self):
        """{(worker's name, task, attempt)} of launches that workers still up do not know any more."""
        return {
            (worker.name, order["leg"], order["try"])
            for worker, body in self.requests
            for order in body["orders"]
            if order["verb"] == "launch"
            and not worker.dead
            and (order["leg"], order["try"]) not in worker.tasks
        }

    def deliver_again(self):
        """Delivers each of them once more; returns the forgotten attempts that their workers begin again."""
        begun = set()
        for worker, body in list(self.requests):
            forgotten = self.forgotten_launches()
            with pytest.raises(StopIteration):  # a worker answers a command without waiting
                self._handle(worker, "POST", "/commands", {}, copy.deepcopy(body), "").send(None)
            begun |= forgotten - self.forgotten_launches()
        return sorted(begun)


@pytest.fixture
def carried_out(monkeypatch):
    return CarriedOut(monkeypatch)


def test_a_copy_of_an_answered_launch_starts_no_forgotten_attempt(carried_out):
    """Guards against ran_twice and ran_cancelled of the incident docs/incidents/late-copies.md."""
    started_again = {}
    for ending, lines in ENDINGS.items():
        carried_out.requests.clear()
        world = World(DEPLOYMENT + lines)
        if ending == "stopped":
            world.sim.call_at(STOPPED_AT_S, stop_all_tasks, world)
        world.run()
        assert carried_out.forgotten_launches(), ending
        if attempts := carried_out.deliver_again():
            started_again[ending] = attempts
    assert started_again == {}


@pytest.mark.parametrize("back_after_s", [0.1, 3])
def test_a_copy_starts_nothing_once_another_incarnation_leads(carried_out, back_after_s):
    crashes = "".join(f"at 40 crash {number} {back_after_s}\n" for number in range(3))
    World(f"{DEPLOYMENT}{ENDINGS['done']}\n{crashes}until 80").run()
    assert carried_out.forgotten_launches()
    assert carried_out.deliver_again() == []


def test_a_copy_starts_nothing_in_a_later_session(carried_out):
    world = World(DEPLOYMENT + "until 20").run()
    for worker in world.cloud.rented.values():
        worker._end_session()
    assert carried_out.forgotten_launches()
    assert carried_out.deliver_again() == []


@pytest.mark.parametrize("receiver", COPIES_WINDOWS)
def test_copies_arrive_at_each_receiver(receiver):
    world = World(f"{DEPLOYMENT}at 0.5 late-copies {receiver} 1 30\nat 5 cancel 1\nuntil 30").run()
    assert getattr(world.fault_windows, COPIES_WINDOWS[receiver]).struck


def test_an_unknown_receiver_of_copies_is_refused():
    with pytest.raises(ValueError, match="unknown receiver 'users', not one of"):
        World("until 1").do(["late-copies", "users", "1", "30"])


@pytest.mark.parametrize("seed", range(1, 61))
def test_no_copy_of_a_direct_command_breaks_a_rule_on_a_drawn_day(seed):
    assert hunt.run_late_copy_day(seed) == (seed, [])


@pytest.mark.parametrize("seed", range(1, 21))
def test_no_copy_of_a_request_to_the_services_or_by_a_user_breaks_a_rule_on_a_drawn_day(seed):
    assert hunt.run_service_copy_day(seed) == (seed, [])
