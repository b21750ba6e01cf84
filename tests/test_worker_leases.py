"""A worker's lease as its home counts it: never over before the worker's own count of it is."""

import cbor2
import pytest

from roadhead.api.reports import WorkerReports
from roadhead.local.world import World
from roadhead.wire import messages

RUNNING = """
capacity 4
at 1 submit count=4 legs=2 runS=200 expectS=200
until 30
"""


class Heard:
    """A machine with tasks whose home heard it a while ago, and its worker."""

    def __init__(self):
        self.world = World(RUNNING).run()
        self.node, self.machine = next(
            (node, machine)
            for node in self.world.nodes.values()
            for machine in node.home.machines.values()
            if machine.tasks and machine.confirmed == machine.token
        )
        self.worker = self.world.cloud.rented[self.machine.id]
        self.world.sim.time += 0.5  # nothing runs meanwhile

    def now(self):
        return self.node._loop.now()

    def observe(self, report):
        """The home takes in the answer to a direct command."""
        direct = messages.parse(report, messages.Report)
        return self.node.home.hearing.observe(self.machine, direct)

    def answer(self, report):
        """The home's answer to a report."""
        return WorkerReports(self.node).answer(cbor2.dumps(report))


@pytest.fixture
def heard():
    return Heard()


def test_a_report_that_a_direct_answer_overtook_renews_the_lease(heard):
    report, direct_answer = heard.worker.report(), heard.worker.report()
    assert heard.observe(direct_answer)
    assert heard.machine.renewed_at < heard.now()
    assert heard.answer(report).status == 200
    assert heard.machine.renewed_at == heard.now()
