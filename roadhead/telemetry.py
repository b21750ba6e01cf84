"""Logging to standard error, counters and time histograms."""

import logging
import os
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def set_up_logging(label):
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(
        stream=sys.stderr, level=level, format=f"%(levelname).1s {label} %(name)s: %(message)s"
    )
    logging.raiseExceptions = False


class Counters:
    """Named counts of this process."""

    def __init__(self):
        self.counts = {}

    def add(self, name, by=1):
        self.counts[name] = self.counts.get(name, 0) + by

    def line(self):
        return " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
