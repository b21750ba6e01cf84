"""Injects faults into single writes to the simulated state service, by kind of write, and checks all rules.

A write is either applied at once and its answer lost, or applied seconds late, after newer writes of the
same controller. Its sender continues, crashes at that time, or is refused by the service. From then on other
nodes are queried about the jobs in the write. `python tests/write_faults.py` plays all cases.
"""

import argparse
import enum
import itertools
import multiprocessing
from dataclasses import dataclass

from term_history import TermHistory
from write_kinds import KINDS, Write

from roadhead.jobs.job import FINAL, RECORD_PREFIX
from roadhead.local.world import World
from roadhead.runtime.loop import Future
from roadhead.runtime.net import Closed

LATE_S = (2.0, 4.5, 7.0, 12.0)  # within the sender's timeout, after its first retry, long after it
READ_FOR_S = 6.0  # how long other nodes are queried after a fault
READ_GAP_S = 0.05
REFUSED_FOR_S = 8.0  # how long the service refuses a sender; less than its lease


class Sender(enum.Enum):
    """What happens to the controller whose write the fault hits."""

    GOES_ON = "goes on"
    ENDS_BRIEFLY = "ends, back in 0.1 s"
    ENDS = "ends, back in 3 s"
    REFUSED = "is refused for a while"


BACK_S = {Sender.ENDS_BRIEFLY: 0.1, Sender.ENDS: 3.0}


BUSY = """
capacity 6
txn_ops 5
at 1 submit count=5 legs=4 runS=6
at 2 submit legs=2 runS=40 expectS=40
at 9 submit legs=4 runS=4 apartS=6 upstream=1
at 9 submit legs=2 runS=4 upstream=7
at 14 submit count=5 legs=3 runS=9
at 15 submit legs=3 runS=50 expectS=50
at 18 cancel 9,10 1
at 24 crash 0 0.3
at 26 cancel 6
at 30 leave 1 0.3
at 34 submit count=4 legs=2 runS=5
at 36 crash 2 20
at 38 cancel 17
until 180
"""
RELIEF = """
capacity 24
at 1 submit count=8 legs=6 runS=30 expectS=30
at 25 cut 1 workers 50
at 30 cancel 2
at 60 submit count=4 legs=2 runS=6
until 200
"""
# The service refuses one controller until its lease has ended, while those that would drop it are stalled.
LAPSED = """
capacity 6
at 1 submit count=6 legs=4 runS=30 expectS=30
at 30 refuse 0 6.2
at 34 stall 1 4
at 34 stall 2 4
at 45 cancel 2,3 1
at 50 submit count=4 legs=2 runS=6
until 200
"""
WIDE = """
capacity 10
value_kb 1
txn_ops 5
at 1 submit count=80 legs=1 runS=1 expectS=1
at 20 submit legs=1 runS=2 upstream=1-80
at 30 cancel 81
at 32 submit legs=1 runS=2 upstream=1-80
at 60 crash 0 0.3
until 230
"""
HOSTED = """
gateways 2
capacity 6
at 2 tenant first team=crew:cpus=4 cpus=8
at 2 tenant second team=crew:cpus_max=6
at 24 submit tenant=first id=a count=4 legs=2 runS=8
at 24 submit tenant=second id=a count=4 legs=2 runS=30
at 30 limits second team=crew:cpus_max=4 cpus=4
at 34 suspend second stop
at 38 resume second
at 42 crash 1 0.3
at 46 remove second
until 260
"""

TEXTS = {
    **dict.fromkeys(KINDS, BUSY),
    "relief": RELIEF,
    "entry": LAPSED,
    "parts": WIDE,
    "parts collected": WIDE,
    "tenant": HOSTED,
    "tenant removed": HOSTED,
}


@dataclass(frozen=True, slots=True)
class Fault:
    """Hits the `nth` write of a kind and the `repeats` writes after it. `late_s` 0: applied at once."""

    kind: str
    nth: int = 0
    late_s: float = 0.0
    sender: Sender = Sender.GOES_ON
    reset: bool = False  # the connection is closed at once, else the sender runs into its timeout
    repeats: int = 0

    def __str__(self):
        how = f"{self.late_s} s late" if self.late_s else "at once"
        return f"{self.kind} {self.nth}+{self.repeats}, {how}, sender {self.sender.value}, reset {self.reset}"


class Injector:
    """Injects a Fault between the senders and the state service of a world."""

    def __init__(self, world, fault):
        self.world = world
        self.fault = fault
        self.seen = 0  # writes of the fault's kind
        self.writes_hit = 0
        self._handle = world.state.handle
        world.state.handle = self._intercept
        self.readers = {}  # job id -> CloseReader

    async def _intercept(self, method, path, args, body, host):
        if method != "POST" or not KINDS[self.fault.kind](self._write(path, body)):
            return await self._handle(method, path, args, body, host)
        nth, self.seen = self.seen, self.seen + 1
        if not self.fault.nth <= nth <= self.fault.nth + self.fault.repeats:
            return await self._handle(method, path, args, body, host)
        self.writes_hit += 1
        request = (method, path, args, body, host)
        if self.fault.late_s:
            self.world.sim.spawn(self._apply_late(request), "late write")
        else:
            await self._handle(*request)
            self._read_closely(body)
        if not self.fault.reset:
            self._fail_sender(host)
            await Future()
        self.world.sim.call_later(0.0, self._fail_sender, host)
        raise Closed

    async def _apply_late(self, request):
        await self.world.sim.sleep(self.fault.late_s)
        await self._handle(*request)
        self._read_closely(request[3])

    def _write(self, path, body):
        writes = body.get("writes", ()) if path == "/multi" else ()
        return Write(
            path,
            {condition["k"]: condition["stamp"] for condition in body["if"]} if path == "/multi" else {},
            {write["put"]: write["data"] for write in writes if "put" in write},
            frozenset(write["drop"] for write in writes if "drop" in write),
            lambda key: self.world.state.data.get(key, (None,))[0],
        )

    def _fail_sender(self, host):
        """Makes the sender at `host` crash or be refused, as the fault says."""
        network, _, number = host.rpartition(".")
        if self.fault.sender in BACK_S:
            back_s = BACK_S[self.fault.sender]
            if network == "10.0.0":
                self.world.crash(int(number) - 1, back_s)
            else:
                self.world.tenancy.crash(int(number) - 1, back_s)
        elif self.fault.sender is Sender.REFUSED:
            self.world.state.refuse(host, REFUSED_FOR_S)

    def _read_closely(self, body):
        for write in body.get("writes", ()) if body else ():
            job = (write.get("put") or write["drop"]).rpartition("/")[2]
            if job in self.world.users and self.world.tenancy is None and job not in self.readers:
                self.readers[job] = CloseReader(self.world, job)


class CloseReader:
    """Queries all nodes in turn about a job right after a write of it, and at times resubmits or cancels it.

    The world's answer history detects an answer that is older than an earlier one.
    """

    def __init__(self, world, job):
        self.world = world
        self.user = world.users[job]
        world.user_loop.spawn(self._run(), "close reader")

    async def _run(self):
        loop = self.world.user_loop
        end = loop.now() + READ_FOR_S
        for number in itertools.count():
            via = number % len(self.world.fronts)
            await self.user.poll(via)
            if number % 20 == 10 and self.user.accepted:
                await self.user.submit_again()
            if number % 20 == 15 and self.user.has_requested_cancel:
                await self.user.cancel(via)
            if loop.now() > end:
                return
            await loop.sleep(READ_GAP_S)


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a world with a fault in it."""

    writes_hit: int  # writes hit by the fault
    faults: tuple
    joins: int
    world: World


def play(fault, text=None, prepare=None):
    """Plays the scenario of the fault's kind, or `text`, with the fault. Returns an Outcome.

    `prepare(world)` is called first and can apply a mutation.
    """
    world = World(TEXTS[fault.kind] if text is None else text)
    if prepare is not None:
        prepare(world)
    injector = Injector(world, fault)
    world.run()
    history = TermHistory(world)
    faults = [*world.check(), *history.faults, *_unfinished(world)]
    return Outcome(injector.writes_hit, tuple(faults), history.joins, world)


def _unfinished(world):
    gone = {world.tenancy.numbers[name] for name in ("second",)} if world.tenancy is not None else ()
    numbers = world.tenancy.numbers if world.tenancy is not None else {}
    for job, user in world.users.items():
        if numbers.get(getattr(user, "tenant", None)) in gone:
            continue
        if not user.accepted and not user.has_given_up and job not in world.refusals:
            yield f"{job} was never answered"
        elif user.accepted and user.last_state not in FINAL:
            yield f"{job} is {user.last_state}"
        elif user.has_given_up:
            yield f"the user of {job} gave up"
    for key, (record, *_rest) in world.state.data.items():
        if key.startswith(RECORD_PREFIX) and record["s"] == "open":
            yield f"{key} is open"
    if world.running:
        yield f"{len(world.running)} tasks run on"


POSITIONS = {"renewal": (5, 17, 30), "progress": (0, 3), "join": (0, 1, 2, 3, 4)}
FREQUENT_KINDS = {"creation", "end", "archive", "move", "tenant"}  # kinds with dozens of writes per scenario


def cases():
    """Yields all faults: each kind, its first and later writes, each way to fail and each sender."""
    for kind in KINDS:
        positions = POSITIONS.get(kind, (0, 1, 4) if kind in FREQUENT_KINDS else (0, 1))
        for nth, sender in itertools.product(positions, Sender):
            yield Fault(kind, nth, 0.0, sender, reset=False)
            yield Fault(kind, nth, 0.0, sender, reset=True, repeats=2)
            for late_s in LATE_S:
                yield Fault(kind, nth, late_s, sender, reset=bool(nth % 2))


def _played(fault):
    outcome = play(fault)
    return fault, outcome.writes_hit, outcome.faults, outcome.joins


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--kind")
    args = parser.parse_args()
    chosen = [fault for fault in cases() if args.kind in (None, fault.kind)]
    rows = {}
    with multiprocessing.Pool(args.jobs) as pool:
        for fault, writes_hit, faults, _joins in pool.imap(_played, chosen):
            row = rows.setdefault(fault.kind, [0, 0, 0])
            for column, value in enumerate((1, bool(writes_hit), bool(faults))):
                row[column] += value
            if faults:
                print(f"{fault}: {len(faults)} faults: {'; '.join(faults[:3])[:400]}", flush=True)
    print("kind | played | met | with faults")
    for kind, row in rows.items():
        print(" | ".join(map(str, (kind, *row))))


if __name__ == "__main__":
    main()
