"""Plays fault combinations in virtual time: the orders and spacings in which two faults overlap.

    python3 tests/fault_combinations.py [--jobs N]

Prints for each combination how many cases were played, broke a rule, or left jobs open.
"""

import argparse
import itertools
import multiprocessing
from typing import NamedTuple

import conftest  # noqa: F401  sets up sys.path

from roadhead.local.world import World

LEASE_S, CANCEL_S = 12, 32  # defaults of the simulator's workers
OWNER, OTHERS, ALL = (0,), (1, 2), (0, 1, 2)


class Combination(NamedTuple):
    """One order and spacing of a combination: its name, parameters and scenario text."""

    name: str
    parameters: tuple
    text: str


class Outcome(NamedTuple):
    """The result of one Combination: the faults found and the number of jobs that did not end."""

    combination: Combination
    faults: list
    open_jobs: int


def crashes(at_s, controllers, back_s):
    """Returns lines that crash these controllers at the same time."""
    return [f"at {at_s:.2f} crash {number} {back_s}" for number in controllers]


def quick_boots():
    """Yields cases: machines boot within two seconds and get work while writes lag and controllers crash."""
    lags = ("slow-state 2 25", "late-writes 0.5 20", "lose-writes 0.5 20", "cut 0 state 5 hold")
    crash_times = (3.0, 4.0, 5.0, 6.0, 8.0)
    cases = itertools.product(lags, crash_times, (OWNER, OTHERS, ALL), (0.1, 3, CANCEL_S))
    for seed, (lag, ends_at, crashed, back_s) in enumerate(cases, 1):
        lines = [
            f"seed {seed}",
            "boot_s 1",
            "until 260",
            "at 1 submit count=6 legs=6 runS=25 expectS=25",
            f"at 2 {lag}",
            "at 2.5 submit count=4 legs=3 runS=25 expectS=25",
            *crashes(ends_at, crashed, back_s),
            "expect told done all",
        ]
        yield Combination("quick boots", (lag, ends_at, crashed, back_s), "\n".join(lines))


def late_copies(name, others, copies, more_at_s, ends_at_s, last):
    """Yields cases of short or long tasks, crashing controllers and repeated reports.

    `others`: additional faults, one per case. `copies`: the scenario line that repeats reports. `more_at_s`,
    `ends_at_s`: when more jobs are submitted and the controllers crash. `last`: the line of another crash.
    """
    cases = itertools.product(others, (OWNER, OTHERS, ALL), (0.1, 4, CANCEL_S), (6, 60))
    for seed, (other, crashed, back_s, run_s) in enumerate(cases, 1):
        lines = [
            f"seed {seed}",
            "until 320",
            f"at 1 submit count=8 legs=5 runS={run_s} expectS={run_s}",
            copies,
            f"at {more_at_s} submit count=8 legs=5 runS={run_s} expectS={run_s}",
            *crashes(ends_at_s, crashed, back_s),
            last,
            other,
        ]
        yield Combination(name, (other, crashed, back_s, run_s), "\n".join(lines))


def kept_reports():
    """Returns cases: copies of old reports reach all controllers just as a new leader takes over."""
    others = ("", "at 31 cancel 1,2", "at 29 hang 0 9", "at 29 deaf 0.4 15", "at 24 late-commands 0.5 20")
    return late_copies("kept reports", others, "at 12 late-reports 0.8 60 next", 18, 32, "at 45 crash 1 0.1")


def held_reports():
    """Returns cases: each report arrives again after 2 to 36 s, long after a new leader has acted."""
    others = ("", "at 34 cancel 1,2", "at 29 cut 1 odd-workers 9 hold")
    return late_copies("held reports", others, "at 12 late-reports 1 40", 24, 30, "at 44 crash 2 0.1")


def mute_machines():
    """Yields cases: workers receive commands but cannot reach any controller, and a leader crashes."""
    others = ("", "at 33 cancel 1,2", "at 30 late-commands 0.5 15", "at 34 hang 0 6")
    cases = itertools.product((0.4, 1), (4, LEASE_S - 2, LEASE_S + 4, CANCEL_S), others, (OWNER, ALL))
    for seed, (share, length, other, crashed) in enumerate(cases, 1):
        lines = [
            f"seed {seed}",
            "until 320",
            "at 1 submit count=6 legs=5 runS=40 expectS=40",
            f"at 30 mute {share} {length}",
            "at 31 submit count=6 legs=4 runS=20 expectS=20",
            *crashes(32, crashed, 0.1 if seed % 2 else 4),
            other,
        ]
        yield Combination("mute machines", (share, length, other, crashed), "\n".join(lines))


def zones_that_lose_machines():
    """Yields cases: jobs bound to a given zone, to any single one or spread over zones lose machines."""
    losses = ("die 6", "notice 6 8", "notice 6 2", "hang 0 20")
    cases = itertools.product(losses, (18, 21), ("", "crash 0 3", "crash 1 0.1"), (8, 20))
    for seed, (loss, at_s, other, legs) in enumerate(cases, 1):
        lines = [
            f"seed {seed}",
            "until 320",
            "capacity 5",
            f"at 1 submit legs={legs} together=True runS=25",
            f"at 1 submit legs={legs} paddock=south runS=25",
            f"at 1 submit legs={legs} scatter=True runS=25 musterS=5 stowS=1",
            f"at 2 submit legs={legs} together=True runS=25 urgency=high",
            f"at 4 submit legs={legs} loaners=False paddock=north runS=25",
            f"at {at_s} {loss}",
            f"at {at_s + 6} {loss}",
            *([f"at {at_s + 0.5} {other}"] if other else []),
        ]
        yield Combination("zones lose machines", (loss, at_s, other, legs), "\n".join(lines))


def deposed_commands():
    """Yields cases: commands of a crashed, dropped or relieved leader arrive after its successor's."""
    leader_faults = (
        "crash 0 40",
        "crash 0 0.1",
        "cut 0 state 30 lose",
        "cut 0 workers 20 hold",
        "leave 0 20",
    )
    cases = itertools.product((0.5, 1, 4), (8, LEASE_S + 3, CANCEL_S), leader_faults, (1, 2))
    for seed, (before_s, late_s, leader_fault, count) in enumerate(cases, 1):
        lines = [
            f"seed {seed}",
            "until 320",
            # Long tasks leave capacity free on each machine, so that later tasks start there at once.
            "at 1 submit legs=8 vcpus=3 shape=daemon expectS=0 runS=100000",
            *[f"at {30 - before_s - 0.2} late-launch {late_s}"] * count,
            # So that the commands do not arrive with an answer to a report.
            f"at {30 - before_s - 0.1} mute 1 {LEASE_S - 3}",
            f"at {30 - before_s} submit count=2 legs=4 runS=25",
            f"at 30 {leader_fault}",
            "at 33 cancel 2 1",
            "at 150 cancel 1",
        ]
        yield Combination("deposed commands", (before_s, late_s, leader_fault, count), "\n".join(lines))


GENERATORS = (
    quick_boots,
    kept_reports,
    held_reports,
    mute_machines,
    zones_that_lose_machines,
    deposed_commands,
)


def run_case(combination):
    """Plays a Combination and returns its Outcome. Every job is expected to end."""
    world = World(combination.text).run()
    open_jobs = sum(
        user.accepted and user.last_state not in ("done", "cancelled") for user in world.users.values()
    )
    return Outcome(combination, world.check(), open_jobs)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    rows = {}
    combinations = itertools.chain.from_iterable(generate() for generate in GENERATORS)
    with multiprocessing.Pool(args.jobs) as pool:
        for outcome in pool.imap_unordered(run_case, combinations):
            row = rows.setdefault(outcome.combination.name, [0, 0, 0])
            row[0] += 1
            row[1] += bool(outcome.faults)
            row[2] += bool(outcome.open_jobs)
            if outcome.faults or outcome.open_jobs:
                print(outcome.combination[:2], outcome.open_jobs, outcome.faults[:2], flush=True)
    print("combination | played | broken | jobs not ended")
    for name, (count, broken, unended) in sorted(rows.items()):
        print(f"{name:20} | {count:6} | {broken:6} | {unended}")


if __name__ == "__main__":
    main()
