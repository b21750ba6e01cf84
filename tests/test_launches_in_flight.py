"""An attempt is forgotten only once no launch of it can reach its worker any more, on any path.

Each test plays messages between a shard leader and a worker in an order of its own; the worker starts an
attempt again whose launch arrives after it was forgotten.
"""

import pytest
from test_worker_leases import LeasedMachine

from roadhead.machines.launches_in_flight import LaunchesInFlight
from roadhead.machines.task import EXITED, LAUNCHING, Task
from roadhead.wire import messages


class LaunchingMachine(LeasedMachine):
    """A leased machine that a further attempt is to be launched on."""

    def __init__(self):
        super().__init__()
        running = next(iter(self.machine.tasks.values()))
        self.task = Task(running.job, running.index, running.attempt + 1000, LAUNCHING, running.owner)
        self.task.requirements = running.requirements
        # The worker refuses to run two attempts of a task at once: the one that runs ends first.
        self.worker.execute([messages.stop(*running.key, 0.0)])
        self.report()
        self.machine.add_task(self.task)

    def key(self):
        return messages.task_name(self.task.job, self.task.index), self.task.attempt

    def report(self, body=None):
        """Returns the orders in the shard leader's answer to a report, by default a new one."""
        report = messages.parse(body or self.worker.report(), messages.Report)
        return self.node.shard_leader.report_processor.answer(report).orders

    def run_directly(self):
        """Has the worker carry out a direct command; the shard leader takes in the answer."""
        orders = self.machine.commands().orders
        self.worker.execute(orders)
        self.observe(self.worker.report())
        return orders

    def fail_and_forget(self):
        """The attempt fails at the worker, a direct answer shows that, and its owner has it forgotten."""
        self.worker._exit(self.worker.tasks[self.key()], "error")
        self.observe(self.worker.report())
        assert self.task.status == EXITED
        self.machine.forget(self.task)

    def is_known(self):
        """Whether the worker still knows the attempt."""
        return self.key() in self.worker.tasks


def verbs(orders, attempt):
    return [order["verb"] for order in orders if order["try"] == attempt]


@pytest.fixture
def launching():
    return LaunchingMachine()


def test_a_launch_in_a_late_answer_to_a_report_does_not_start_a_forgotten_attempt(launching):
    """Guards against ran_twice of review/1: the answer to a report, held up, repeated a launch that a direct
    command had carried; the attempt failed and was forgotten before that answer arrived."""
    held_answer = launching.report()
    assert verbs(held_answer, launching.task.attempt) == ["launch"]
    launching.run_directly()
    launching.fail_and_forget()
    launching.run_directly()
    assert launching.is_known()
    launching.worker.execute(held_answer)
    assert launching.worker.tasks[launching.key()].status == EXITED  # it was not started again
    assert verbs(launching.report(), launching.task.attempt) == ["forget"]


def test_a_copy_or_an_older_report_does_not_end_the_wait(launching):
    older, newest = launching.worker.report(), launching.worker.report()
    held_answer = launching.report(newest)
    launching.run_directly()
    launching.fail_and_forget()
    for report in (newest, older):
        assert verbs(launching.report(report), launching.task.attempt) == []
    launching.worker.execute(held_answer)
    assert launching.worker.tasks[launching.key()].status == EXITED


def test_a_launch_in_the_answer_to_an_older_report_still_waits_for_the_newest(launching):
    """Which of the two answers the worker is waiting for is not known here."""
    older, newest = launching.worker.report(), launching.worker.report()
    launching.report(newest)
    launching.report(older)
    launching.run_directly()
    launching.fail_and_forget()
    launching.run_directly()
    assert launching.is_known()


def test_an_attempt_that_no_answer_launched_is_forgotten_at_once(launching):
    launching.run_directly()
    launching.report()
    launching.fail_and_forget()
    assert verbs(launching.run_directly(), launching.task.attempt) == ["forget"]
    assert not launching.is_known()


def test_a_higher_token_does_not_end_the_wait_for_an_answer_that_carries_it(launching):
    """The worker takes an answer with the new token to a report that it sent under the old one."""
    old_report = {**launching.worker.report(), "brand": launching.machine.token}
    launching.machine.token += 1
    held_answer = launching.report(old_report)
    launching.worker.token = launching.machine.token
    launching.worker.execute(held_answer)
    launching.observe(launching.worker.report())
    assert launching.machine.confirmed_token == launching.machine.token
    launching.fail_and_forget()
    launching.run_directly()
    assert launching.is_known()


def test_a_new_session_ends_the_wait_with_the_attempt(launching):
    launching.report()
    launching.run_directly()
    launching.worker._end_session()
    launching.report()
    assert not launching.machine.tasks
    assert not launching.machine.launches.may_arrive(launching.task)


def test_direct_launches_and_answers_are_counted_apart():
    launches = LaunchesInFlight()
    first, second = object(), object()
    assert launches.begin_direct([first, second], 7) == [first, second]
    assert launches.begin_direct([first], 7) == []  # its first command is still unanswered
    launches.add_answered([first])
    launches.end_direct([first])
    assert launches.may_arrive(first)
    launches.on_newer_report()
    assert not launches.may_arrive(first) and launches.may_arrive(second)
    launches.on_token_seen(7)
    assert launches.direct_token(second) == 7
    launches.on_token_seen(8)
    assert not launches.may_arrive(second)
