"""Cancellations at each write of a change of hands: every order and spacing, played in virtual time.

    python3 tests/handovers.py [--jobs N] [--every N] [--first N] [--step STEP]

A change of hands is a planned move of shares, an orderly end, relief and restore, a takeover after a crash,
or a restart. Each is played once without a cancellation to learn when the state service commits a change of
the term, of a member's entry or of a job's record. Then users cancel so many seconds before or after each of
these commits, through the controller that gives, the one that takes, or a third, with one more fault at that
moment. Prints a table and every case in which a rule broke or a job did not end.
"""

import argparse
import itertools
import multiprocessing
from dataclasses import dataclass, field
from functools import lru_cache

import conftest  # noqa: F401  finds the libraries

from roadhead.jobs.job import KEY
from roadhead.local.world import World
from roadhead.membership.member import MEMBER, TERM

CANCEL_S = 32.0  # the emulators' (world.py, DEFAULTS)
STEP_AT = 40.0
CHANGE_S = 16.0  # the commits of so long count as the change's
CHANGES_MOST, RECORDS_MOST = 4, 2  # commits of the term and entries, and of records, of a change
KINDS = (TERM, MEMBER, KEY)
OFFSETS = (-0.05, 0.0, 0.05, 0.3, 1.0)
BEFORE_S = 1.1  # a task that starts then waits for its image at the cancellation
GONE_S = 600.0  # a controller that is never back
CANCELLED = "1,3,5,7,11,16,17"  # long tasks that run, jobs of short ones, one that starts right then

LOAD = [  # machines full but for room in which short tasks follow one another throughout
    "until 330",
    "capacity 7",
    "settled 130",
    "at 5 submit count=8 legs=4 runS=100 expectS=100",
    "at 6 submit count=8 legs=10 runS=5",
]


@dataclass(frozen=True)
class Step:
    """A change of hands: the lines that bring it about, and the numbers of the controllers that take part."""

    lines: tuple
    giver: int
    taker: int
    third: int


STEPS = {
    "move": Step(("at 12 crash 2 15",), giver=0, taker=2, third=1),
    "orderly end": Step((f"at {STEP_AT} leave 1 3",), giver=1, taker=2, third=0),
    "relief": Step((f"at {STEP_AT - 5} cut 1 workers 11",), giver=1, taker=2, third=0),
    "takeover": Step((f"at {STEP_AT - 6} crash 1 25",), giver=1, taker=2, third=0),
    "restart": Step((f"at {STEP_AT} crash 1 0.1",), giver=1, taker=2, third=0),
}
BEGINS = {"move": 26.0, "takeover": STEP_AT - 6, "relief": STEP_AT - 5}  # else STEP_AT

# Lines of the moment of the cancellation; "before": so that commands of tasks that start then are on their
# way; "when-told": as the first user is told. {via}, {giver}, {taker}, {other} are controllers.
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
    """A cancellation at a commit of a change of hands."""

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
    """What came of a case."""

    case: Case
    faults: list = field(default_factory=list)
    unended: int = 0
    killed: int = 0
    longest_gone: float = 0.0
    starts: list = field(default_factory=list)  # seconds after the confirmation at which a task began


class HandoverWorld(World):
    """Acts as soon as the first user is told of a cancellation, and keeps the starts after one."""

    def __init__(self, text, when_told=()):
        super().__init__(text)
        self.starts_after = []
        world = self

        class Told(dict):
            def __setitem__(self, job, at):
                if not self:
                    for line in when_told:
                        world.sim.call_soon(world.do, line.split())
                super().__setitem__(job, at)

        self.rules.cancelled_at = self.cancelled_at = Told()

    def on_machine(self, task, worker):
        told = self.cancelled_at.get(task.rpartition("/")[0])
        if told is not None:
            self.starts_after.append(self.sim.time - told)
        super().on_machine(task, worker)


def text_of(step, more=()):
    return "\n".join([*LOAD, *STEPS[step].lines, *more])


@dataclass(frozen=True)
class Commit:
    """A change that the state service commits: when, and the key's kind."""

    when: float
    key: str


@lru_cache
def commits(step):
    """The first Commits of the change that concern it, at most one a moment."""
    world = World(text_of(step))
    begins = BEGINS.get(step, STEP_AT)
    found = {}
    commit = world.state.multi

    def multi(body):
        status, answer = commit(body)
        if status == 200 and begins <= world.sim.time < begins + CHANGE_S:
            for write in body["writes"]:
                key = write.get("put") or write.get("drop")
                kind = next((kind for kind in KINDS if key.startswith(kind)), None)
                if kind is not None:
                    found.setdefault(round(world.sim.time, 3), kind)
        return status, answer

    world.state.multi = multi
    world.run()
    changes = [Commit(when, kind) for when, kind in found.items() if kind != KEY][:CHANGES_MOST]
    records = [Commit(when, kind) for when, kind in found.items() if kind == KEY and when >= changes[0].when]
    return tuple(changes + records[:RECORDS_MOST])


def cases():
    """Yields every Case."""
    for name, step in STEPS.items():
        for (number, commit), offset, via, fault in itertools.product(
            enumerate(commits(name)), OFFSETS, ("giver", "taker", "third"), FAULTS
        ):
            yield case(name, step, number, commit, offset, via, fault)


def case(name, step, number, commit, offset, via, fault):
    """One Case. A job of short tasks is submitted right before, so that its commands are on their way."""
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
        f"at {at - BEFORE_S:.3f} submit legs=4 runS=60 urgency=high",
        f"at {at:.3f} cancel {CANCELLED} {node}",
    ]
    told = []
    for line in FAULTS[fault]:
        line = line.format(**names)
        if line.startswith("when-told "):
            told.append(line.removeprefix("when-told "))
        elif line.startswith("before "):
            lines.append(f"at {at - BEFORE_S:.3f} {line.removeprefix('before ')}")
        else:
            lines.append(f"at {at:.3f} {line}")
    if node == step.giver or fault.startswith("confirmer"):
        lines.append(f"at {at + 8:.3f} cancel {CANCELLED}")  # it may never answer
    return Case(name, number, commit.key, offset, via, fault, text_of(name, lines), tuple(told))


def played(case):
    """The Outcome of a case."""
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
    """Sums over the cases of a step and a fault."""

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
        for outcome in pool.imap_unordered(played, itertools.islice(chosen, args.first, None, args.every)):
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
