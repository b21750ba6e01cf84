"""An attempt is forgotten only by a message after which its worker takes no launch of it, on any path.

Each test plays messages between a shard leader and a worker in an order of its own; the worker starts an
attempt again whose launch arrives after it was forgotten.
"""

from types import SimpleNamespace

import pytest
from test_worker_leases import LeasedMachine

from roadhead.local.world import World
from roadhead.machines.command_fence import (
    COUNTED_TOKENS_FORMAT,
    FIRST_COUNTED_TOKEN,
    CommandFence,
    shard_token_of,
)
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
        """Returns the shard leader's answer to a report, by default a new one."""
        report = messages.parse(body or self.worker.report(), messages.Report)
        return self.node.shard_leader.report_processor.answer(report)

    def direct(self):
        """Returns the body of a direct command that the shard leader sends now."""
        orders = self.machine.direct_commands().orders
        return {"brand": self.machine.command_token, "stint": self.machine.session, "orders": orders}

    def deliver(self, body):
        """Delivers a direct command to the worker; returns its status. The answer is lost."""
        with pytest.raises(StopIteration) as answered:
            self.worker.handle("POST", "/commands", {}, body, "").send(None)
        return answered.value.value[0]

    def run_directly(self):
        """Has the worker carry out a direct command; the shard leader takes in the answer."""
        body = self.direct()
        assert self.deliver(body) == 200
        self.observe(self.worker.report())
        return body["orders"]

    def take(self, answer):
        """Has the worker take an answer to the report that it sent last."""
        if answer.token >= self.worker.token:
            self.worker.token = answer.token
            self.worker.execute(answer.orders)

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


def test_a_copy_of_an_answered_direct_launch_does_not_start_a_forgotten_attempt(launching):
    """Guards against ran_twice by a late copy (docs/incidents/late-copies.md)."""
    launch = launching.direct()
    assert launching.deliver(launch) == 200
    launching.observe(launching.worker.report())
    launching.fail_and_forget()
    forget = launching.report()
    assert verbs(forget.orders, launching.task.attempt) == ["forget"]
    assert launching.deliver(launch) == 200  # it is still known: no effect
    launching.take(forget)
    assert not launching.is_known()
    for _ in range(3):
        assert launching.deliver(launch) == 409
    assert not launching.is_known()


def test_an_unanswered_direct_launch_does_not_start_a_forgotten_attempt(launching):
    launch = launching.direct()
    assert launching.deliver(launch) == 200
    launching.observe(launching.worker.report())
    late = launching.direct()
    launching.fail_and_forget()
    launching.take(launching.report())
    assert not launching.is_known()
    assert launching.deliver(launch) == launching.deliver(late) == 409


def test_a_launch_in_a_late_answer_to_a_report_does_not_start_a_forgotten_attempt(launching):
    """Guards against ran_twice of review/1: the answer to a report, held up, repeated a launch that a direct
    command had carried; the attempt failed and was forgotten before that answer arrived."""
    held_answer = launching.report()
    assert verbs(held_answer.orders, launching.task.attempt) == ["launch"]
    launching.run_directly()
    launching.fail_and_forget()
    launching.run_directly()
    assert launching.is_known()
    launching.take(held_answer)
    assert launching.worker.tasks[launching.key()].status == EXITED  # it was not started again
    assert verbs(launching.report().orders, launching.task.attempt) == ["forget"]


def test_an_answer_to_a_copy_or_an_older_report_forgets_nothing(launching):
    """The worker does not wait for such an answer, but for that to its newest report."""
    older, newest = launching.worker.report(), launching.worker.report()
    held_answer = launching.report(newest)
    launching.run_directly()
    launching.fail_and_forget()
    for report in (newest, older):
        assert verbs(launching.report(report).orders, launching.task.attempt) == []
    launching.take(held_answer)
    assert launching.worker.tasks[launching.key()].status == EXITED


def test_a_launch_in_the_answer_to_an_older_report_keeps_the_attempt_until_a_newer_one(launching):
    """Which of the two answers the worker is waiting for is not known here."""
    older, newest = launching.worker.report(), launching.worker.report()
    launching.report(newest)
    launching.report(older)
    launching.run_directly()
    launching.fail_and_forget()
    launching.run_directly()
    assert launching.is_known()


def test_a_held_answer_under_a_higher_shard_token_starts_no_forgotten_attempt(launching):
    """The worker takes an answer with the new token to a report that it sent under the old one."""
    old_report = {**launching.worker.report(), "brand": launching.machine.command_token}
    launching.machine.token += 1
    held_answer = launching.report(old_report)
    launching.worker.token = launching.machine.command_token
    launching.worker.execute(held_answer.orders)
    launching.observe(launching.worker.report())
    assert launching.machine.confirmed_token == launching.machine.token
    launching.fail_and_forget()
    launching.run_directly()
    assert launching.is_known()
    launching.take(launching.report())
    launching.take(held_answer)
    assert not launching.is_known()


def test_direct_commands_forget_nothing(launching):
    launching.run_directly()
    launching.report()
    launching.fail_and_forget()
    assert verbs(launching.run_directly(), launching.task.attempt) == []
    assert verbs(launching.report().orders, launching.task.attempt) == ["forget"]


def test_an_answer_that_forgets_loses_no_renewal_and_no_command(launching):
    """What was sent under the token before is refused, not half done; the answer itself is taken."""
    launching.run_directly()
    launching.fail_and_forget()
    other = Task(launching.task.job, launching.task.index + 1, launching.task.attempt + 1, LAUNCHING)
    other.requirements = launching.task.requirements
    launching.machine.add_task(other)
    overtaken = launching.direct()
    answer = launching.report()
    assert answer.token >= launching.worker.token
    assert sorted(order["verb"] for order in answer.orders) == ["forget", "launch"]
    launching.take(answer)
    assert launching.deliver(overtaken) == 409
    assert (messages.task_name(other.job, other.index), other.attempt) in launching.worker.tasks


def test_a_lost_answer_that_forgets_is_followed_by_another(launching):
    launching.run_directly()
    launching.fail_and_forget()
    launching.report()
    assert launching.is_known()
    launching.take(launching.report())
    assert not launching.is_known()


def test_a_new_session_ends_the_attempt_and_all_its_launches(launching):
    launch = launching.direct()
    launching.run_directly()
    launching.worker._end_session()
    launching.report()
    assert not launching.machine.tasks
    assert launching.deliver(launch) == 409


def test_an_attempt_that_nothing_can_have_launched_is_stopped_in_the_answer_that_shows_it(launching):
    unexpected = launching.task.attempt + 7
    launching.worker.execute([messages.launch(launching.task.job, launching.task.index, unexpected)])
    answer = launching.report()
    assert verbs(answer.orders, unexpected) == ["stop"]
    assert verbs(answer.orders, launching.task.attempt) == ["launch"]  # the other attempt is left alone
    assert launching.node.counters.counts["unexpected_attempts"] == 1
    assert any("nothing can have launched" in line for line in launching.node.counters.events())


def test_an_owner_learns_at_once_that_cancelled_attempts_ended():
    """Guards against 2.5 s more of a team's limit and of a cancellation mark for each cancelled job."""
    world = World("""
    capacity 4
    boot_s 3
    at 1 submit count=4 legs=1 vcpus=3 runS=200 expectS=200
    at 20 submit legs=4 runS=90 expectS=90
    at 30 cancel 5
    until 30.3
    """).run()
    jobs = [node.job_store.jobs.get("req-000005") for node in world.nodes.values()]
    assert world.cancelled_at and not any(job.bound for job in jobs if job is not None)


# Beside a version that knows uncounted tokens only


def test_while_tokens_are_uncounted_launches_travel_in_answers_only(launching):
    """Nothing could refuse a copy of a direct launch under the same token."""
    launching.machine.command_fence = CommandFence(SimpleNamespace(in_force=COUNTED_TOKENS_FORMAT - 1))
    launching.worker.token = launching.machine.token
    assert verbs(launching.direct()["orders"], launching.task.attempt) == []
    answer = launching.report()
    assert verbs(answer.orders, launching.task.attempt) == ["launch"]
    assert answer.token == launching.machine.token


def test_a_worker_that_has_seen_a_counted_token_is_led_by_counted_tokens():
    """The controller that hears it first may not know yet that the gate's format is in force."""
    fence = CommandFence(SimpleNamespace(in_force=COUNTED_TOKENS_FORMAT - 1))
    assert fence.token(7) == 7
    seen = (6 * FIRST_COUNTED_TOKEN) + 12
    fence.on_token_seen(seen)
    assert fence.token(7) > seen
    assert shard_token_of(fence.token(7)) == 7 and shard_token_of(seen) == 6


def test_tokens_rise_with_the_format_the_shard_and_the_count():
    gate = SimpleNamespace(in_force=COUNTED_TOKENS_FORMAT - 1)
    fence = CommandFence(gate)
    tokens = [fence.token(5)]
    gate.in_force = COUNTED_TOKENS_FORMAT
    tokens.append(fence.token(5))
    fence.raise_count()
    tokens += [fence.token(5), fence.token(6)]
    fence.raise_count()
    tokens.append(fence.token(6))
    assert tokens == sorted(set(tokens))
    assert all(shard_token_of(token) in (5, 6) for token in tokens)
