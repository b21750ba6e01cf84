"""Plays cancellations around each commit of a handover, in every order and spacing, in virtual time.

    python3 tests/handovers.py [--jobs N] [--every N] [--first N] [--step STEP]

A handover is a planned move of shards, an orderly leave, a relief with its restore, a failover after a crash,
or a restart. Each is played once without cancellations to find when the state service commits a change of
the term, of a member's entry or of a job's record. Then users cancel jobs shortly before or after each of
these commits, through the old owner ("giver"), the new one ("taker") or a third controller, together with
one more fault. Prints a table and every case in which a rule broke or a job did not end.
"""

import argparse
import itertools
import multiprocessing
from dataclasses import dataclass, field
from functools import lru_cache

import conftest  # noqa: F401  sets up sys.path

from roadhead.jobs.job import RECORD_PREFIX
from roadhead.local.world import World
from roadhead.membership.member import MEMBER, TERM

CANCEL_S = 32.0  # default of the emulators (roadhead.local.scenario, DEFAULTS)
HANDOVER_AT = 40.0
HANDOVER_S = 16.0  # commits within this time belong to the handover
# Commits of the term and members' entries, and of job records, that are used of each handover.
MAX_TERM_COMMITS, MAX_RECORD_COMMITS = 4, 2
KEY_PREFIXES = (TERM, MEMBER, RECORD_PREFIX)
OFFSETS_S = (-0.05, 0.0, 0.05, 0.3, 1.0)
SUBMIT_BEFORE_S = 1.1  # a task started so long before is still fetching its image at the cancellation
GONE_S = 600.0  # beyond the end of the scenario: the controller does not return
CANCELLED = "1,3,5,7,11,16,17"  # running long tasks, jobs of short ones, and one that is just starting

LOAD = [  # fills all machines except some capacity, in which short tasks start throughout
    "until 330",
    "capacity 7",
    "settled 130",
    "at 5 submit count=8 legs=4 runS=100 expectS=100",
    "at 6 submit count=8 legs=10 runS=5",
]


@dataclass(frozen=True)
class Handover:
    """A kind of handover: the scenario lines that cause it and the numbers of the controllers involved."""

    lines: tuple
    giver: int
    taker: int
    third: int


STEPS = {
    "move": Handover(("at 12 crash 2 15",), giver=0, taker=2, third=1),
    "orderly end": Handover((f"at {HANDOVER_AT} leave 1 3",), giver=1, taker=2, third=0),
    "relief": Handover((f"at {HANDOVER_AT - 5} cut 1 workers 11",), giver=1, taker=2, third=0),
    "takeover": Handover((f"at {HANDOVER_AT - 6} crash 1 25",), giver=1, taker=2, third=0),
    "restart": Handover((f"at {HANDOVER_AT} crash 1 0.1",), giver=1, taker=2, third=0),
}
# When a handover begins; those not named begin at HANDOVER_AT.
BEGIN_TIMES = {"move": 26.0, "takeover": HANDOVER_AT - 6, "relief": HANDOVER_AT - 5}

# Scenario lines at the time of the cancellation. With the prefix "before" they come SUBMIT_BEFORE_S earlier,
# so that start commands are in flight at the cancellation; with "when-told", when the first user is told that
# a job is cancelled. {via}, {giver}, {taker} and {other} are controllers.
FAULTS = {
    "none": [],
    "repeated": ["cancel {jobs} {giver}", "cancel {jobs} {taker}", "cancel {jobs} {other}"],
    "write's answer lost": ["lose state 1"],
    "giver back at once": ["when-told crash {giver} 0.1"],
    "giver back soon": ["when-told crash {giver} 3"],
    "giver gone": [f"when-told crash {{giver}} {GONE_S}"],
    "confirmer gone": [f"when-told crash {{via}} {GONE_S}"],
    "confirmer gone, outage": [f"when-told crash {{via}} {GONE_S}", "when-told outage 40"],
    "taker refused": ["refuse {taker} 40"],
    "giver cut off": ["when-told cut {giver} state 14 hold", "when-told cut {giver} peers 14 hold"],
    "deaf": ["deaf 1 14"],
    "hung": ["hang 0 5", "hang 1 14", "hang 2 9"],
    "workers cut": ["cut {giver} even-workers 14 hold", "cut {taker} odd-workers 14 hold"],
    "late launches": ["before late-launch 9"],
    "late commands": ["before late-commands 0.5 6"],
    "mute": ["mute 0.5 14"],
    "answers of writes lost": ["before lose-writes 0.5 8"],
    "late copies and writes": ["late-reports 0.5 40", "late-writes 0.3 10"],
}


@dataclass(frozen=True)
class Case:
    """A cancellation around one commit of a handover."""

    step: str
    commit: int
    key: str
    offset: float
    via: str
    fault: str
    text: str
    when_told: tuple


@dataclass
class Outcome:
    """The result of a Case."""

    case: Case
    faults: list = field(default_factory=list)
    unended: int = 0
    killed: int = 0
    longest_gone: float = 0.0
    starts: list = field(default_factory=list)  # seconds from a confirmed cancellation to a task's start


class HandoverWorld(World):
    """Runs lines when the first user is told of a cancellation, and records starts after cancellations."""

    def __init__(self, text, when_told=()):
        super().__init__(text)
        self.starts_after = []
        world = self

        class CancellationTimes(dict):
            def __setitem__(self, job, at):
                if not self:
                    for line in when_told:
                        world.sim.call_soon(world.do, line.split())
                super().__setitem__(job, at)

        self.rules.cancelled_at = self.cancelled_at = CancellationTimes()

    def on_task_started(self, task, worker):
        told = self.cancelled_at.get(task.rpartition("/")[0])
        if told is not None:
            self.starts_after.append(self.sim.time - told)
        super().on_task_started(task, worker)


def text_of(step, more=()):
    return "\n".join([*LOAD, *STEPS[step].lines, *more])


@dataclass(frozen=True)
class Commit:
    """A change committed by the state service: its time and the prefix of its key."""

    when: float
    key: str


@lru_cache
def commits(step):
    """Returns the first Commits of a handover, at most one at any time."""
    world = World(text_of(step))
    begins = BEGIN_TIMES.get(step, HANDOVER_AT)
    found = {}
    commit = world.state.multi

    def multi(body):
        status, answer = commit(body)
        if status == 200 and begins <= world.sim.time < begins + HANDOVER_S:
            for write in body["writes"]:
                key = write.get("put") or write.get("drop")
                kind = next((kind for kind in KEY_PREFIXES if key.startswith(kind)), None)
                if kind is not None:
                    found.setdefault(round(world.sim.time, 3), kind)
        return status, answer

    world.state.multi = multi
    world.run()
    changes = [Commit(when, kind) for when, kind in found.items() if kind != RECORD_PREFIX][:MAX_TERM_COMMITS]
    records = [
        Commit(when, kind)
        for when, kind in found.items()
        if kind == RECORD_PREFIX and when >= changes[0].when
    ]
    return tuple(changes + records[:MAX_RECORD_COMMITS])


def cases():
    """Yields every Case."""
    for name, step in STEPS.items():
        for (number, commit), offset, via, fault in itertools.product(
            enumerate(commits(name)), OFFSETS_S, ("giver", "taker", "third"), FAULTS
        ):
            yield case(name, step, number, commit, offset, via, fault)


def case(name, step, number, commit, offset, via, fault):
    """Returns one Case. A job is submitted right before, so that its start commands are in flight."""
    node = getattr(step, via)
    names = {
        "giver": step.giver,
        "taker": step.taker,
        "other": step.third,
        "via": node,
        "jobs": CANCELLED,
    }
    at = commit.when + offset
    lines = [
        f"at {at - SUBMIT_BEFORE_S:.3f} submit legs=4 runS=60 urgency=high",
        f"at {at:.3f} cancel {CANCELLED} {node}",
    ]
    told = []
    for line in FAULTS[fault]:
        line = line.format(**names)
        if line.startswith("when-told "):
            told.append(line.removeprefix("when-told "))
        elif line.startswith("before "):
            lines.append(f"at {at - SUBMIT_BEFORE_S:.3f} {line.removeprefix('before ')}")
        else:
            lines.append(f"at {at:.3f} {line}")
    if node == step.giver or fault.startswith("confirmer"):
        lines.append(f"at {at + 8:.3f} cancel {CANCELLED}")  # in case the first request is never answered
    return Case(name, number, commit.key, offset, via, fault, text_of(name, lines), tuple(told))


def run_case(case):
    """Plays a Case and returns its Outcome."""
    world = HandoverWorld(case.text, case.when_told).run()
    users = world.users.values()
    return Outcome(
        case,
        world.check(),
        sum(user.accepted and user.last_state not in ("done", "cancelled") for user in users),
        world.killed,
        world.longest_gone,
        world.starts_after,
    )


@dataclass
class Row:
    """Totals over the cases of one kind of handover with one fault."""

    played: int = 0
    broken: int = 0
    unended: int = 0
    killed: int = 0
    longest_gone: float = 0.0
    starts: int = 0
    latest_start: float = 0.0

    def add(self, outcome):
        self.played += 1
        self.broken += bool(outcome.faults)
        self.unended += bool(outcome.unended)
        self.killed += outcome.killed
        self.longest_gone = max(self.longest_gone, outcome.longest_gone)
        self.starts += len(outcome.starts)
        self.latest_start = max([self.latest_start, *outcome.starts])


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--every", type=int, default=1, help="plays one case in so many")
    parser.add_argument("--first", type=int, default=0, help="and leaves out so many before the first")
    parser.add_argument("--step", choices=STEPS)
    args = parser.parse_args()
    chosen = (case for case in cases() if args.step in (None, case.step))
    rows = {}
    with multiprocessing.Pool(args.jobs) as pool:
        for outcome in pool.imap_unordered(run_case, itertools.islice(chosen, args.first, None, args.every)):
            case = outcome.case
            rows.setdefault((case.step, case.fault), Row()).add(outcome)
            if outcome.faults or outcome.unended:
                which = (case.step, case.commit, case.key, case.offset, case.via, case.fault)
                print(which, outcome.unended, outcome.faults[:2], flush=True)
    print("change | fault | played | broken | not ended | killed | gone, of cancel_s | starts, latest s")
    for (step, fault), row in sorted(rows.items()):
        print(
            f"{step:11} | {fault:22} | {row.played:5} | {row.broken:3} | {row.unended:3} | {row.killed:6} | "
            f"{row.longest_gone / CANCEL_S:.2f} | {row.starts}, {row.latest_start:.2f}"
        )


if __name__ == "__main__":
    main()
