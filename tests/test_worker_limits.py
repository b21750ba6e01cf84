"""No message to or from a worker is larger than 64 KiB, however many tasks fit on its machine (review/3)."""

import json
from types import SimpleNamespace

import cbor2
import msgspec
import pytest

from roadhead.fleet.provisioning import InstanceOffer, ResourceRequest
from roadhead.gateway.job_list import JobList
from roadhead.local.sim import Sim
from roadhead.local.world import World
from roadhead.machines import pending_commands
from roadhead.machines.command_fence import FIRST_COUNTED_TOKEN
from roadhead.machines.machine import Machine
from roadhead.machines.task import LAUNCHING, Task, TaskRequirements
from roadhead.membership.format_gate import FormatGate
from roadhead.tenants import ids
from roadhead.wire import frames, messages
from roadhead.wire.worker_limits import (
    LONGEST_JOB_ID,
    LONGEST_TASK_REPORT,
    MAX_MESSAGE_BYTES,
    MAX_ORDERS_PER_MESSAGE,
    MAX_TASKS_PER_MACHINE,
)

KIND = SimpleNamespace(name="box", cpus=96.0, gpus=0.0, memory=512.0, price=0.2, spot_price=0.05)
LONGEST_NAME = "n" * 200


def size_in_json(data):
    """Returns how many bytes a CBOR message takes in its JSON form."""
    return len(json.dumps(cbor2.loads(data), separators=(",", ":")))


def full_machine(count):
    """Returns a machine with so many tasks that are yet to be launched, of the longest names."""
    machine = Machine("n-1", "", "box", "north", False, KIND, 0.0, {}, 0, 1, FormatGate(4, ["a"]))
    machine.command_fence.on_token_seen(FIRST_COUNTED_TOKEN)
    for index in range(count):
        task = Task(
            LONGEST_JOB_ID, messages.MAX_TASKS - 1 - index, messages.COUNT_LIMIT - 1 - index, LAUNCHING
        )
        task.requirements = TaskRequirements((0.01, 0.0, 0.01), "", 0.0, 0.0, False)
        machine.add_task(task)
    return machine


def test_the_report_of_a_full_machine_is_within_the_limit():
    report = {
        "drover": LONGEST_NAME,
        "endpoint": LONGEST_NAME,
        "rig": LONGEST_NAME,
        "paddock": LONGEST_NAME,
        "loaners": False,
        "stint": messages.COUNT_LIMIT - 1,
        "tally": messages.COUNT_LIMIT - 1,
        "brand": messages.COUNT_LIMIT - 1,
        "recallS": 1.2345678901234567e-300,
        "legs": [msgspec.to_builtins(LONGEST_TASK_REPORT)] * MAX_TASKS_PER_MACHINE,
    }
    assert MAX_MESSAGE_BYTES - 2048 < size_in_json(cbor2.dumps(report)) <= MAX_MESSAGE_BYTES


def test_commands_go_out_in_messages_within_the_limit_and_ends_never_wait_for_launches():
    machine = full_machine(MAX_TASKS_PER_MACHINE)
    tasks = list(machine.tasks.values())
    for task in tasks[-100:]:
        machine.set_status(task, "running")
        machine.stop(task, 1.7976931348623157e308)
    for task in tasks[:100]:
        machine.stop(task, 1.7976931348623157e308)
    sent = machine.direct_commands()
    assert {order["verb"] for order in sent.orders[:100]} == {"stop"}
    assert len(sent.orders) in (MAX_ORDERS_PER_MESSAGE, MAX_ORDERS_PER_MESSAGE - 1)
    assert sent.left == MAX_TASKS_PER_MACHINE + 100 - len(sent.orders)
    for encode in (messages.commands, lambda *args: messages.report_answer(*args[::2])):
        assert size_in_json(encode(2**64 - 1, 2**64 - 1, sent.orders)) <= MAX_MESSAGE_BYTES
    for task in sent.launches:
        machine.set_status(task, "running")
    for task in tasks:
        task.stop_grace = None
    following = machine.direct_commands()
    assert following.left == 0
    assert not set(sent.launches) & set(following.launches)
    assert len(sent.launches) + len(following.launches) == MAX_TASKS_PER_MACHINE - 100


def test_a_launch_and_its_stop_stay_in_one_message_and_in_order():
    """A stop that came first would have no effect, and the launch after it would start the attempt."""
    machine = full_machine(1)
    (task,) = machine.tasks.values()
    machine.stop(task, 0.0)
    assert [order["verb"] for order in machine.direct_commands().orders] == ["launch", "stop"]


def test_machines_are_rented_by_how_many_tasks_their_reports_hold():
    request = ResourceRequest(1, 0.01, 0.0, 0.01, 20_000, True, "", (), 15.0, 60.0)
    assert request.slots(InstanceOffer(KIND, "north", False)) == MAX_TASKS_PER_MACHINE


def test_a_full_machine_has_no_slots_whatever_capacity_it_has():
    machine = full_machine(MAX_TASKS_PER_MACHINE)
    assert machine.free_slots() == 0 and machine.free_capacity()[0] > 90
    machine.remove_task(next(iter(machine.tasks.values())))
    assert machine.free_slots() == 1


def small_tasks(count, capacity=2):
    """Returns a world that has run an array of so many small tasks, and an ordinary one."""
    return World(f"""
    capacity {capacity}
    boot_s 3
    at 1 submit legs={count} vcpus=0.002 ramGb=0.001 runS=5 expectS=5
    at 12 submit legs=4 vcpus=0.5 runS=5 expectS=5
    until 120
    expect told done all
    """).run()


@pytest.mark.parametrize("count", [400, 4000])
def test_an_array_of_small_tasks_is_done_and_disturbs_nobody(count):
    """Its launches went out in one message of 90 KB, which workers refuse: none of it, and of what else was
    on its machines, was ever done (review/3)."""
    world = small_tasks(count)
    assert world.check() == []
    assert world.counter("leases_out") == world.counter("commands_refused") == 0


class StoredJobs:
    """A state service with the records of one tenant's open jobs, of the longest names."""

    def __init__(self, count):
        spec = {"legs": 100_000, "jobclass": "c" * 200, "crew": ids.to_team(1, "t" * 200), "upstream": None}
        self.items = [
            (f"j/{ids.to_job(1, f'job-{number:011d}')}", {"s": "open", "spec": spec, "done": []}, number + 1)
            for number in range(count)
        ]

    async def page(self, prefix, after="", limit=1000):
        """Returns one page, as `StateClient.page`."""
        found = [item for item in self.items if item[0].startswith(prefix) and item[0] > after]
        return found[:limit], len(found) > limit, len(self.items)


class ListRequest:
    """A tenant's request for a page of its jobs."""

    def __init__(self, after):
        self.query = {"after": after}

    @staticmethod
    def count(_name, _default, most):
        """Returns the most rows that can be asked for."""
        return most


def test_a_page_of_jobs_is_within_the_limit_and_the_next_one_goes_on_there():
    sim = Sim(1)
    jobs = JobList(sim, StoredJobs(800))
    listed, after = [], ""
    while after is not None:
        asked = sim.spawn(jobs.page(1, ListRequest(after)))
        sim.run_until(sim.time + 1)
        page = asked.done.result()
        assert len(msgspec.json.encode(page)) <= MAX_MESSAGE_BYTES
        listed += [job.id for job in page.jobs]
        after = page.next
    assert listed == [f"job-{number:011d}" for number in range(800)]


def test_an_unbounded_number_of_tasks_on_a_machine_is_detected():
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Machine, "free_slots", lambda self: 1 << 30)
        patch.setattr(pending_commands, "MAX_ORDERS_PER_MESSAGE", 1 << 30)
        patch.setattr(frames.Grant, "slots", 1 << 30)
        world = small_tasks(4000)
    assert any("a message of" in fault for fault in world.check())
    assert world.counter("commands_refused") > 0


def test_a_full_machine_of_ended_attempts_is_forgotten_by_one_answer_under_one_higher_token():
    machine = full_machine(MAX_TASKS_PER_MACHINE)
    token = machine.command_token
    for task in machine.tasks.values():
        machine.set_status(task, "exited")
        machine.forget(task)
    assert machine.direct_commands().orders == []
    answer = machine.commands_for_answer()
    assert (len(answer.forgets), answer.left) == (MAX_TASKS_PER_MACHINE, 0)
    assert machine.command_token == token + 1
    assert size_in_json(messages.report_answer(machine.command_token, answer.orders)) <= MAX_MESSAGE_BYTES
