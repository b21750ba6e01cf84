"""Injects the failures of a plan into the processes and emulators of a run at their scheduled times."""

import random

from roadhead.scale.layout import zone_name
from roadhead.scale.plan import PERCENT
from roadhead.scale.processes import request

CONTROLLER_BACK_S = 3.0  # restart delay of a killed controller if the event gives no `for_s`


class Failures:
    """Schedules the failures of a plan; `carry_out_due` injects those whose time has come.

    An event is carried out by the method `_<kind>`, and the method's name is its text in the report.
    """

    def __init__(self, layout, processes):
        self._document = layout.document
        self._processes = processes
        self._random = random.Random(layout.plan.seed)
        self._queue = [
            (event.at_s, getattr(self, f"_{event.kind}"), (event,)) for event in layout.plan.events
        ]
        self.done = []  # (at_s, text) of what was carried out

    def carry_out_due(self, now_s):
        """Carries out everything scheduled for `now_s` seconds after the load began, or earlier."""
        self._queue.sort(key=lambda entry: entry[0])
        while self._queue and self._queue[0][0] <= now_s:
            at_s, action, arguments = self._queue.pop(0)
            action(*arguments)
            self.done.append((at_s, action.__name__.lstrip("_")))

    def _schedule(self, at_s, action, *arguments):
        self._queue.append((at_s, action, arguments))

    def _pick_controllers(self, count):
        labels = [label for label in self._document["labels"] if self._processes.is_running(label)]
        return self._random.sample(labels, min(count, len(labels)))

    def _controllers_end(self, event):
        for label in self._pick_controllers(event.count):
            self._processes.kill(label)
            self._schedule(event.at_s + (event.for_s or CONTROLLER_BACK_S), self._controller_back, label)

    def _controller_back(self, label):
        self._processes.launch(label)

    def _controllers_stall(self, event):
        for label in self._pick_controllers(event.count):
            self._processes.set_stalled(label, stalled=True)
            self._schedule(event.at_s + event.for_s, self._controller_goes_on, label)

    def _controller_goes_on(self, label):
        self._processes.set_stalled(label, stalled=False)

    def _workers(self, count, zone=None, *, restart=False, cut_s=0.0):
        body = {"count": count, "zone": zone, "restart": restart, "cut_s": cut_s}
        request(self._document["cloud"], "POST", "/scale/workers", body)

    def _workers_end(self, event):
        self._workers(event.count)

    def _workers_restart(self, event):
        self._workers(event.count, restart=True)

    def _workers_cut(self, event):
        """Cuts workers off from all controllers for `for_s` seconds; their tasks keep running."""
        self._workers(event.count, cut_s=event.for_s)

    def _open_fault_window(self, name, event):
        """Opens the workers' fault window of that name for `count` percent of what it strikes."""
        body = {"name": name, "share": event.count / PERCENT, "for_s": event.for_s}
        request(self._document["cloud"], "POST", "/scale/fault-window", body)

    def _reports_slow(self, event):
        """Delays `count` percent of the workers' reports by some seconds."""
        self._open_fault_window("slow_reports", event)

    def _commands_copied(self, event):
        """Delivers late copies of `count` percent of the direct commands that workers have answered."""
        self._open_fault_window("copied_commands", event)

    def _zone_ends(self, event):
        self._workers(0, zone_name(event.zone))
        for number, label in enumerate(self._document["labels"]):
            if number % zone_count(self._document) == event.zone and self._processes.is_running(label):
                self._processes.kill(label)
                self._schedule(event.at_s + (event.for_s or CONTROLLER_BACK_S), self._controller_back, label)

    def _outage(self, service, *, on):
        request(self._document[service], "POST", "/scale/outage", {"on": on})

    def _state_outage(self, event):
        self._outage("state", on=True)
        self._schedule(event.at_s + event.for_s, self._state_back)

    def _state_back(self):
        self._outage("state", on=False)

    def _cloud_outage(self, event):
        self._outage("cloud", on=True)
        self._schedule(event.at_s + event.for_s, self._cloud_back)

    def _cloud_back(self):
        self._outage("cloud", on=False)

    def _power_loss(self, event):
        """Kills all controllers and restarts all workers without tasks; the state service keeps its data."""
        for label in self._pick_controllers(len(self._document["labels"])):
            self._processes.kill(label)
            self._schedule(event.at_s + (event.for_s or CONTROLLER_BACK_S), self._controller_back, label)
        self._workers(0, restart=True)


def zone_count(document):
    """Returns the number of zones of the plan."""
    return document["plan"]["cluster"]["zones"]
