"""The failures of a plan, carried out at their times on the processes and emulators of a run."""

import random

from roadhead.scale.layout import zone_name
from roadhead.scale.plan import PERCENT
from roadhead.scale.processes import ask

CONTROLLER_BACK_S = 3.0  # after its end, if the event does not say


class Failures:
    """What is to happen, in order of time; `due` carries out what has come."""

    def __init__(self, layout, processes):
        self._document = layout.document
        self._processes = processes
        self._random = random.Random(layout.plan.seed)
        self._queue = [
            (event.at_s, getattr(self, f"_{event.kind}"), (event,)) for event in layout.plan.events
        ]
        self.done = []  # (at_s, text)

    def due(self, now_s):
        """Carries out what should have happened `now_s` after the load began."""
        self._queue.sort(key=lambda entry: entry[0])
        while self._queue and self._queue[0][0] <= now_s:
            at_s, act, arguments = self._queue.pop(0)
            act(*arguments)
            self.done.append((at_s, act.__name__.lstrip("_")))

    def _later(self, at_s, act, *arguments):
        self._queue.append((at_s, act, arguments))

    def _some_controllers(self, count):
        labels = [label for label in self._document["labels"] if self._processes.running(label)]
        return self._random.sample(labels, min(count, len(labels)))

    def _controllers_end(self, event):
        for label in self._some_controllers(event.count):
            self._processes.kill(label)
            self._later(event.at_s + (event.for_s or CONTROLLER_BACK_S), self._controller_back, label)

    def _controller_back(self, label):
        self._processes.begin(label)

    def _controllers_stall(self, event):
        for label in self._some_controllers(event.count):
            self._processes.stall(label, stalled=True)
            self._later(event.at_s + event.for_s, self._controller_goes_on, label)

    def _controller_goes_on(self, label):
        self._processes.stall(label, stalled=False)

    def _workers(self, count, zone=None, *, restart=False, cut_s=0.0):
        body = {"count": count, "zone": zone, "restart": restart, "cut_s": cut_s}
        ask(self._document["cloud"], "POST", "/scale/workers", body)

    def _workers_end(self, event):
        self._workers(event.count)

    def _workers_restart(self, event):
        self._workers(event.count, restart=True)

    def _workers_cut(self, event):
        """No controller reaches these workers, nor they any, for a while; their tasks go on."""
        self._workers(event.count, cut_s=event.for_s)

    def _reports_slow(self, event):
        """`count` percent of the reports take some seconds to arrive."""
        body = {"share": event.count / PERCENT, "for_s": event.for_s}
        ask(self._document["cloud"], "POST", "/scale/slow-reports", body)

    def _zone_ends(self, event):
        self._workers(0, zone_name(event.zone))
        for number, label in enumerate(self._document["labels"]):
            if number % event_zones(self._document) == event.zone and self._processes.running(label):
                self._processes.kill(label)
                self._later(event.at_s + (event.for_s or CONTROLLER_BACK_S), self._controller_back, label)

    def _outage(self, service, *, on):
        ask(self._document[service], "POST", "/scale/outage", {"on": on})

    def _state_outage(self, event):
        self._outage("state", on=True)
        self._later(event.at_s + event.for_s, self._state_back)

    def _state_back(self):
        self._outage("state", on=False)

    def _cloud_outage(self, event):
        self._outage("cloud", on=True)
        self._later(event.at_s + event.for_s, self._cloud_back)

    def _cloud_back(self):
        self._outage("cloud", on=False)

    def _power_loss(self, event):
        """All controllers end and all workers lose their tasks; the state service keeps what it had."""
        for label in self._some_controllers(len(self._document["labels"])):
            self._processes.kill(label)
            self._later(event.at_s + (event.for_s or CONTROLLER_BACK_S), self._controller_back, label)
        self._workers(0, restart=True)


def event_zones(document):
    """How many zones the plan has."""
    return document["plan"]["cluster"]["zones"]
