"""What handlers cost as the fleet grows, in calls made, not in seconds."""

import random
import sys

import pytest

from roadhead.dispatch.dispatcher import Dispatcher
from roadhead.homes.home import Home
from roadhead.homes.machine import Machine, Needs
from roadhead.jobs.job import Binding, Job
from roadhead.local.sim import Sim
from roadhead.local.world import World
from roadhead.telemetry import Counters
from roadhead.wire import frames, messages

KIND = messages.MachineType("box", 4.0, 16.0, 0.2, ["a"], cache_gb=40.0, spot_price=0.05)
NEEDS = Needs((1.0, 0.0, 3.0), "img", 1.0, 0.0, False)


class Term:
    number = 1
    members = ("here", "there")

    def serves(self, _label, _incarnation):
        return True

    def home(self, _machine):
        return "here"


class Member:
    label, incarnation, joined, token, term = "here", 1, True, 7, Term()

    def lapsed(self):
        return False


class Workers:
    lease_s, report_s, cancel_s = 12.0, 2.0, 32.0


class Cloud:
    list_lag_s = 3.0


class Deployment:
    workers, cloud = Workers(), Cloud()


def calls(fn, *args):
    """How many Python and C functions `fn` calls."""
    count = 0

    def profile(_frame, event, _arg):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(profile)
    try:
        fn(*args)
    finally:
        sys.setprofile(None)
    return count


def report(number, tasks=(), sequence=1):
    return messages.Report(f"n-{number:06d}", "10.1.0.1:9000", "box", "a", True, 1, sequence, 7, [
        messages.TaskReport(f"req-{number}/{index}", 1, "running") for index in range(tasks)
    ])


def home_of(machines, tasks):
    """A home of that many machines, each with that many running tasks of one CPU."""
    home = Home(Sim(1), "here", Member(), Deployment(), 10.0, random.Random(1),
                lambda _label, _frame: True, lambda _machine: None, lambda _job: None, Counters())
    home.types = {"box": KIND}
    home.rooms.window_s = 12.0
    for number in range(machines):
        machine = home.machines[f"n-{number:06d}"] = Machine(
            f"n-{number:06d}", "10.1.0.1:9000", "box", "a", True, KIND, 0.0)
        home.take_report(report(number, tasks))
        for task in list(machine.tasks.values()):
            machine.learn(task, NEEDS)
    return home


def demand(rows):
    return frames.Demand(0, [
        (2, 1.0 + number / 100, 0.0, 3.0, 50, True, "", [], 10.0, "c", 50.0, True, 100.0 + number)
        for number in range(rows)
    ], ["img"])


@pytest.mark.parametrize("tasks", [4, 0])
def test_a_demand_costs_at_most_in_proportion_to_machines(tasks):
    """Full fleets cost a glance a machine; parked room is granted until the demand is met."""
    small = calls(home_of(100, tasks).rooms.on_demand, "there", demand(5))
    large = calls(home_of(400, tasks).rooms.on_demand, "there", demand(5))
    assert small > 0
    assert large <= 4.6 * small


def test_a_demand_met_by_few_machines_does_not_ask_the_rest():
    one = frames.Demand(0, [(2, 1.0, 0.0, 3.0, 4, True, "", [], 10.0, "c", 50.0, True, 1.0)], [])
    home = home_of(200, 0)
    home.rooms.on_demand("there", one)
    assert sum(machine.holder is not None for machine in home.machines.values()) == 1


def test_a_report_with_nothing_new_costs_the_same_for_any_number_of_tasks():
    few, many = home_of(1, 4), home_of(1, 64)
    first = calls(few.take_report, report(0, 4, sequence=2))
    second = calls(many.take_report, report(0, 64, sequence=2))
    assert 0 < second <= first + 2


def test_a_report_costs_the_same_in_any_fleet():
    first = calls(home_of(10, 4).take_report, report(0, 3, sequence=2))
    second = calls(home_of(400, 4).take_report, report(0, 3, sequence=2))
    assert 0 < second <= first + 2


class Book:
    def __init__(self, jobs):
        self.jobs = {job.id: job for job in jobs}
        self.version = 1
        self.seen = {}

    def limited(self, _team):
        return False

    def coming(self):
        return []

    def bind(self, job, machine, zone):
        index = job.free.pop()
        job.bound[index] = Binding(machine, zone, 1, "launching", 0.0)
        return index, 1


def dispatcher_of(jobs, listings):
    def job(number):
        return Job(messages.JobSpec(
            f"req-{number}", "c", "crew", "batch", "standard", 50, 1.0, 0.0, 3.0, 1.0, False, False,
            True, 10.0, 0.0, 0.0, f"img-{number % 9}"), ("here", 1), 0.0)

    sim = Sim(1)
    dispatcher = Dispatcher(
        sim, "here", Member(), Book([job(number) for number in range(jobs)]),
        {"c": ([60.0], [], [])}, random.Random(1), lambda _label, _frame: True, Counters(),
        gap_s=0.25, window_s=12.0, default_aim_s=180.0)
    dispatcher.time_of_day = lambda: 10.0
    dispatcher.capacity = lambda: 100.0
    for number in range(listings):
        dispatcher.on_grant(frames.Grant(
            f"n-{number:06d}", 1, 0, "box", "a", "here", True, 1.0, 0.0, 4.0, [], 10.0))
    return dispatcher


def listed_at_takeover(finals):
    """Records read when a controller is dropped, with so many jobs over long since."""
    world = World("at 1 submit legs=4 runS=200\nat 30 crash 0 60\nuntil 60")
    for number in range(finals):
        world.state.put(f"f/req-{500000 + number}", {"s": "done", "n": 1, "d": 1})
    world.sim.call_at(29.0, setattr, world.state, "listed", 0)
    world.run()
    assert not world.broken
    return world.state.listed


def test_a_takeover_reads_what_is_open_however_many_jobs_are_over():
    few = listed_at_takeover(100)
    assert 0 < few == listed_at_takeover(5000)


def test_a_placing_pass_costs_in_proportion_to_jobs_plus_room_not_their_product():
    plain = calls(dispatcher_of(50, 20)._place)
    jobs = calls(dispatcher_of(200, 20)._place)
    both = calls(dispatcher_of(200, 80)._place)
    assert jobs <= 4.6 * plain
    assert both <= 4.6 * plain
