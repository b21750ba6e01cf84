"""Parses scenarios.

A scenario is a text with deployment options (`NAME VALUE`), actions (`at SECOND VERB ...`) and expectations
(`expect NAME ...`), one per line.
"""

import shlex
from dataclasses import dataclass, field

DEFAULTS = {
    "controllers": 3,
    "seed": 1,
    "report_s": 2.0,
    "lease_s": 12.0,
    "cancel_s": 32.0,
    "list_lag_s": 3.0,
    "txn_ops": 16,
    "capacity": 8,
    "fetch_s": 1.0,
    "fail_s": 0.5,  # for how long a task that fails runs
    "until": 200.0,
    "cpus_max": 0.0,  # limit of each team; 0 means none
    "teams": 1,  # named `crew`, `crew-2` and so on; with more than one, there is also `free`, without a limit
    "drift": 0.0005,
    "boot_s": 5.0,
    "turn_s": 0.0,  # duration of a loop iteration of a busy controller, see `sim.HostLoop`
    "gateways": 0,
    "slots": 24,
    "partitions": 1,  # quota partitions of the teams with limits
    "preempt": 1,
    "sockets": 0,
    "rps": 300.0,
    "write_rps": 60.0,
    "value_kb": 8.0,
    "next_write_rps": 0.0,
    "next_value_kb": 0.0,
    "next_txn_ops": 0,
    "settled": 0.0,  # when all faults have ended, for the checks that start then; 0 disables these
}
FREE = "free"  # the team without a limit


@dataclass
class Scenario:
    """A parsed scenario.

    `actions` are (second, words of the action), `expectations` the words after `expect`.
    """

    options: dict = field(default_factory=lambda: dict(DEFAULTS))
    actions: list = field(default_factory=list)
    expectations: list = field(default_factory=list)


def parse_scenario(text):
    """Returns the Scenario that a text describes. Raises ValueError for a line that it doesn't know."""
    scenario = Scenario()
    for line in text.splitlines():
        words = shlex.split(line, comments=True)
        if not words:
            continue
        if words[0] == "at":
            scenario.actions.append((float(words[1]), words[2:]))
        elif words[0] == "expect":
            scenario.expectations.append(words[1:])
        elif words[0] in DEFAULTS:
            scenario.options[words[0]] = type(DEFAULTS[words[0]])(float(words[1]))
        else:
            raise ValueError(f"line {line!r}: expected `at`, `expect` or an option, not {words[0]!r}")
    return scenario


def parse_job(fields):
    """Returns a job as submitted: the fields of a scenario's line (name -> text) and defaults."""
    job = {
        "jobclass": "c",
        "crew": "crew",
        "shape": "batch",
        "urgency": "standard",
        "legs": 4,
        "vcpus": 1.0,
        "gpus": 0.0,
        "ramGb": 1.0,
        "kit": "img",
        "sizeGb": 1.0,
        "rigs": None,
        "paddock": None,
        "together": False,
        "scatter": False,
        "loaners": True,
        "expectS": 10.0,
        "musterS": 0.0,
        "stowS": 0.0,
        "dueS": None,
        "runS": 10.0,
        "apartS": 0.0,
        "faulty": False,
        "upstream": None,
    }
    for name, text in fields.items():
        kind = type(job[name])
        if name == "dueS":
            kind = float
        if name == "upstream":  # numbers and ranges of the scenario's jobs, as in 1,3-5
            parts = [part.split("-") for part in text.split(",")]
            job[name] = [
                f"req-{number:06d}" for part in parts for number in range(int(part[0]), int(part[-1]) + 1)
            ]
            continue
        job[name] = (
            text
            if kind is type(None)
            else kind(eval(text, {}) if kind is bool else (text if kind is str else float(text)))
        )
    return job
