"""Logging to standard error, event counters, and a log of troubles for the summary."""

import logging
import os
import sys
import time

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


class LogLevelError(ValueError):
    """The environment variable `LOG_LEVEL` names no known level."""


def log_level():
    """Returns the level that `LOG_LEVEL` names; `info` if it is unset or empty. Raises LogLevelError."""
    name = os.environ.get("LOG_LEVEL") or "info"
    if name.lower() not in LEVELS:
        raise LogLevelError(f"LOG_LEVEL: {name!r} is none of {', '.join(LEVELS)}")
    return LEVELS[name.lower()]


def set_up_logging(label):
    """Sets up logging to standard error, each line with this process's label. Raises LogLevelError."""
    level = log_level()
    logging.basicConfig(
        stream=sys.stderr, level=level, format=f"%(levelname).1s {label} %(name)s: %(message)s"
    )
    logging.raiseExceptions = False


class TroubleLog:
    """What went wrong since this process started, for the summary.

    Its size is bounded: of each kind the count, the longest duration and the newest few times are kept, and
    kinds beyond a maximum are counted as `others`.
    """

    KEPT = 5  # newest times of each kind

    def __init__(self, now, time_of_day):
        self._now = now
        self._time_of_day = time_of_day
        self._entries = {}  # text -> [count, longest duration in seconds, newest times of day]
        self._active_since = {}  # text -> since when

    def note(self, text, seconds=0.0):
        """Records a trouble that lasted for `seconds` and ends now."""
        if text not in self._entries and len(self._entries) >= 100:
            text = "others"
        entry = self._entries.setdefault(text, [0, 0.0, []])
        entry[0] += 1
        entry[1] = max(entry[1], seconds)
        entry[2].append(self._time_of_day() - seconds)
        del entry[2][: -self.KEPT]

    def set_active(self, text, is_active):
        """Records whether a trouble is present now; it is counted, with its duration, when it ends."""
        if is_active:
            self._active_since.setdefault(text, self._now())
        elif text in self._active_since:
            self.note(text, self._now() - self._active_since.pop(text))

    def lines(self):
        """Returns one line per kind of trouble, those present now first."""
        lines = [
            f"{text}: now, for {self._now() - since:.0f} s" for text, since in self._active_since.items()
        ]
        for text, (count, longest, ended_at) in self._entries.items():
            clock_times = ", ".join(time.strftime("%H:%M:%S", time.gmtime(at)) for at in ended_at)
            occurrences = "once" if count == 1 else f"{count} times, last"
            duration = f", {'up to ' if count > 1 else ''}{longest:.1f} s" if longest else ""
            lines.append(f"{text}: {occurrences} at {clock_times}{duration}")
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
    "callbacks_failed": "callbacks and routines that ended by an error (see the log)",
    "attempts_repaired": "attempts on which an owner and a shard leader disagreed (see the log)",
    "requests_repaired": "requests to shard leaders that were lost and sent again (see the log)",
    "grants_repaired": "grants that had lapsed and were not taken back (see the log)",
    "unexpected_attempts": "attempts on a machine that nothing can have launched, stopped (see the log)",
    "commands_refused": "commands that workers refused (see the log)",
    "starts_unsent": "starts of tasks not sent, as the link to the shard leader had ended",
}


class Counters:
    """Counters of this process, by name. `events`: {name: its text in the summary}."""

    def __init__(self, events=EVENTS):
        self.counts = {}
        self._events = events

    def add(self, name, by=1):
        """Increments a counter."""
        self.counts[name] = self.counts.get(name, 0) + by

    def events(self):
        """Returns a line for the summary for each counter in `events` that is not 0."""
        return [f"{text}: {self.counts[name]}" for name, text in self._events.items() if name in self.counts]

    def line(self):
        """Returns all counters as one line of name=count, for the log."""
        return " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
