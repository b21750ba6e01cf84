"""Logging to standard error, counters and time histograms."""

import logging
import os
import sys
import time

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


class LogLevelError(ValueError):
    """`LOG_LEVEL` names no level."""


def log_level():
    """The level that `LOG_LEVEL` names, `info` without it. Raises LogLevelError."""
    name = os.environ.get("LOG_LEVEL") or "info"
    if name.lower() not in LEVELS:
        raise LogLevelError(f"LOG_LEVEL: {name!r} is none of {', '.join(LEVELS)}")
    return LEVELS[name.lower()]


def set_up_logging(label):
    """Logs to standard error from now on. Raises LogLevelError."""
    level = log_level()
    logging.basicConfig(
        stream=sys.stderr, level=level, format=f"%(levelname).1s {label} %(name)s: %(message)s"
    )
    logging.raiseExceptions = False


class TroubleLog:
    """What went wrong since the start, for the morning reader: a bounded number of lines.

    Of each kind the count, the longest and the newest few are kept.
    """

    KEPT = 5

    def __init__(self, now, time_of_day):
        self._now = now
        self._time_of_day = time_of_day
        self._kinds = {}  # text -> [count, longest, newest times of day]
        self._open = {}  # text -> since when

    def note(self, text, seconds=0.0):
        """Something happened, and lasted `seconds` until now."""
        if text not in self._kinds and len(self._kinds) >= 100:
            text = "others"
        entry = self._kinds.setdefault(text, [0, 0.0, []])
        entry[0] += 1
        entry[1] = max(entry[1], seconds)
        entry[2].append(self._time_of_day() - seconds)
        del entry[2][: -self.KEPT]

    def set_active(self, text, on):
        """Whether something holds now; noted when it ends."""
        if on:
            self._open.setdefault(text, self._now())
        elif text in self._open:
            self.note(text, self._now() - self._open.pop(text))

    def lines(self):
        lines = [f"{text}: now, for {self._now() - since:.0f} s" for text, since in self._open.items()]
        for text, (count, longest, times) in self._kinds.items():
            clock = ", ".join(time.strftime("%H:%M:%S", time.gmtime(at)) for at in times)
            many = "once" if count == 1 else f"{count} times, last"
            lasted = f", {'up to ' if count > 1 else ''}{longest:.1f} s" if longest else ""
            lines.append(f"{text}: {many} at {clock}{lasted}")
        return lines


EVENTS = {
    "leases_out": "leases of machines that ran out",
    "tasks_lost": "tasks to be started over, lost with their machine or its lease",
    "machines_stuck": "machines late or never up, given back",
    "machines_faulty": "machines that failed their tasks, given back",
    "jobs_faulty": "jobs that fail wherever they run",
    "task_errors": "tasks that failed",
    "connections_refused": "connections refused: no sockets left for more",
    "workers_sent_off": "reports after which the worker was asked to connect anew: sockets are short",
    "records_too_large": "records set aside, as the state service takes none so large",
    "duties_failed": "duties that failed (see the log)",
}


class Counters:
    """Named counts of this process. `events`: {name: its text in the summary}."""

    def __init__(self, events=EVENTS):
        self.counts = {}
        self._events = events

    def add(self, name, by=1):
        self.counts[name] = self.counts.get(name, 0) + by

    def events(self):
        """Lines for the morning reader."""
        return [f"{text}: {self.counts[name]}" for name, text in self._events.items() if name in self.counts]

    def line(self):
        return " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
