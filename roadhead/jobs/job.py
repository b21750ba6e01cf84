"""A job as its owner knows it, and its durable record."""

import math

import msgspec

from roadhead.jobs.ranges import Pool, Ranges
from roadhead.wire import messages
from roadhead.wire.messages import URGENCIES, JobSpec

KEY = "j/"
SHELF = "f/"  # where final records are moved to
RANK = {name: rank for rank, name in enumerate(URGENCIES)}
FINAL = ("done", "cancelled")
FORMAT = 4  # of records, told with the membership; behind it (membership/gate.py) a job may wait for others
NOBODY = ("", 0)  # owner of a job that its warden has yet to take over
HEAD_BYTES = 200  # of a record beside the description, as JSON, with room for some ranges of tasks done
TRIES = 2  # tasks at once of a job that seems to fail wherever it runs


class Binding:
    """A task's attempt that is, or may be, on a machine."""

    __slots__ = ("at", "attempt", "held", "machine", "status", "zone")

    def __init__(self, machine, zone, attempt, status, at):
        self.at = at  # when it was bound here
        self.machine = machine
        self.zone = zone
        self.attempt = attempt
        self.status = status
        self.held = False  # counted in its team's account


class Job:
    """`free` holds the tasks that may be started, `bound` those that may be on a machine.

    `unsynced`: homes that have yet to say what they know of an inherited job; nothing of
    it starts before (safety 3).
    """

    __slots__ = (
        "accepted_at",
        "adopting",
        "aims",
        "bound",
        "built",
        "done",
        "doubtful",
        "due_by",
        "ended_at",
        "failed_on",
        "foreign",
        "free",
        "gathered",
        "gathering_since",
        "head_if",
        "id",
        "last_by",
        "later",
        "leads",
        "not_before",
        "owner",
        "part",
        "parts",
        "pauses",
        "place",
        "rank",
        "released_at",
        "room_shape",
        "saved_count",
        "shape",
        "spec",
        "stamp",
        "state",
        "sure",
        "unsynced",
        "written_at",
    )

    def __init__(self, spec, owner, accepted_at, stamp=0, done=(), inherited=False, released_at=None):
        self.id = spec.id
        self.spec = spec
        self.owner = owner
        self.accepted_at = accepted_at  # time of day
        self.stamp = stamp
        self.state = "open"
        self.done = Ranges(done)
        self.free = Pool(self.done, spec.tasks)
        self.bound = {}
        self.rank = RANK[spec.urgency]  # or that of a job that needs this one
        # Times of day by which it must be complete for those that need it, for the first of their
        # deadlines and for the last (pipelines/wishes.py).
        self.due_by = self.last_by = math.inf
        # When the last of the jobs that it needs was done; None: that is yet to come.
        self.released_at = released_at if spec.upstream or released_at else accepted_at
        self.parts = None  # (nonce, count) where they are too many for the record (pipelines/parts.py)
        self.head_if = None  # (key, stamp) of the first of them, under which alone the job is created
        self.ended_at = 0.0  # when its last task was seen done
        self.foreign = False  # taken over, and its record still names the owner of before
        self.unsynced = {""} if inherited else set()
        self.adopting = False  # no record names its new owner yet: nothing of it starts before
        self.failed_on = set()  # machines on which tasks failed since the last one done
        self.doubtful = False  # it seems to fail wherever it runs: only tried now and then
        self.pauses = 0
        self.not_before = 0.0
        self.saved_count = self.done.count
        self.written_at = 0.0
        self.aims = None  # seconds after acceptance, kept by the dispatcher
        self.place = 0.0  # in its queue
        # Where teams share by guarantee and weight: tasks within the guarantee, and how many may start before
        # the next round. `leads`: only the first task that starts has its place. `later`: that of the others.
        self.sure = self.part = 0
        self.leads, self.later = False, 0.0
        # Of a gang (dispatch/gangs.py): tasks for which room is kept, and since when.
        self.gathered, self.gathering_since = 0, 0.0
        needs = (spec.cpus, spec.gpus, spec.memory, spec.spot, spec.zone or "", tuple(spec.types or ()))
        # Jobs of one room shape find room on the same machines; where a job's tasks depend on
        # one another's zones it is alone in its shape.
        alone = spec.one_zone or spec.spread or self.gang
        self.room_shape = (*needs, spec.team, spec.id if alone else "")
        self.shape = (self.rank, *needs, spec.klass)
        self.built = None  # the description as stored, and its size as JSON

    def lift(self, rank):
        """As urgent as a job that needs it."""
        self.rank = rank
        self.shape = (rank, *self.shape[1:])

    @property
    def waits(self):
        """Whether jobs that it needs may not be done yet."""
        return self.released_at is None

    def release(self, at):
        """All that it needs is durably done, since that time of day."""
        self.released_at, self.aims, self.built = at, None, None

    @property
    def need(self):
        spec = self.spec
        return spec.cpus, spec.gpus, spec.memory

    @property
    def gang(self):
        """Whether its tasks are of use only together."""
        return self.spec.kind == "group"

    def startable(self):
        """How many of its tasks may be started: of a doubtful job a few at a time, of a gang all or
        none."""
        if self.gang:
            return len(self.free) if not self.bound else 0
        return len(self.free) if not self.doubtful else min(len(self.free), TRIES - len(self.bound))

    def failed(self, machine):
        """A task failed there; True if the job is in doubt from now on.

        A faulty machine fails all jobs, a faulty job fails on all machines: it is in doubt
        once it failed on two, and on no fewer than those that still run it.
        """
        self.failed_on.add(machine)
        if self.doubtful or len(self.failed_on) < 2:
            return False
        running_on = {b.machine for b in self.bound.values() if b.status == "running"}
        self.doubtful = len(self.failed_on) >= len(running_on - self.failed_on)
        return self.doubtful

    def status(self):
        if self.state != "open":
            return self.state
        running = self.running()
        return "running" if running else "pending"

    def running(self):
        return sum(binding.status in ("running", "saving") for binding in self.bound.values())

    def complete(self):
        return self.spec.kind != "daemon" and self.done.count >= self.spec.tasks

    def final(self, state):
        """The record of the job once it is over."""
        ended = {"e": self.ended_at} if self.ended_at else {}
        return {"s": state, "n": self.spec.tasks, "d": self.done.count, **ended}

    def record(self, largest):
        """The value to store, of at most `largest` bytes as JSON, and the tasks recorded done.

        If ragged completion does not fit, the shortest ranges are left out: their tasks
        keep their results on their machines, which are not told to forget them.
        """
        if self.state != "open":
            return self.final(self.state), self.done
        if self.built is None:
            spec = msgspec.to_builtins(self.spec)
            if not self.waits or self.parts:
                spec.pop("upstream", None)  # elsewhere, or nothing depends on them any more
            self.built = spec, len(msgspec.json.encode(spec))
        spec, size = self.built
        record = {
            "s": "open",
            "o": list(self.owner),
            "at": self.accepted_at,
            "spec": spec,
            "done": self.done.flat(),
        }
        if self.waits:
            record["v"] = FORMAT  # who does not know of upstream jobs would start it too early
            if self.parts:
                record["up"] = list(self.parts)
        elif self.released_at != self.accepted_at:
            record["rel"] = self.released_at
        fits = (largest - 64 - size) // 14
        if len(record["done"]) <= 2 * fits:
            return record, self.done
        pairs = sorted(zip(self.done.starts, self.done.ends, strict=True), key=lambda pair: pair[0] - pair[1])
        kept = Ranges([edge for pair in sorted(pairs[: max(0, fits)]) for edge in pair])
        record["done"] = kept.flat()
        return record, kept


def size_of(spec):
    """Bytes as JSON of the record of a job just submitted, at the most."""
    return len(msgspec.json.encode(msgspec.to_builtins(spec))) + HEAD_BYTES


def spec_of(record):
    return messages.parse(record["spec"], JobSpec)


def from_record(record, owner, stamp):
    """An inherited job. Nothing of one that nobody has owned can have been started."""
    job = Job(
        spec_of(record),
        owner,
        record["at"],
        stamp,
        record["done"],
        inherited=tuple(record["o"]) != NOBODY,
        released_at=record.get("rel"),
    )
    job.parts = tuple(record["up"]) if "up" in record else None
    return job


def before(record):
    """Ids of the jobs that an open record's job still waits for, as far as the record tells."""
    return record["spec"].get("upstream", ()) if record["s"] == "open" and "rel" not in record else ()


def shorten(record):
    """What of a record is kept to answer polls, as long as its stamp holds."""
    if record["s"] != "open":
        return record
    spec, done = record["spec"], record["done"]
    waits = {"upstream": names} if (names := before(record)) else {}
    return {
        "s": "open",
        "o": record["o"],
        "spec": {"crew": spec["crew"], "legs": spec["legs"], **waits},
        "done": [0, sum(done[1::2]) - sum(done[0::2])],
    }


def closing(record):
    """The final record of an open job that is cancelled."""
    done = record["done"]
    return {"s": "cancelled", "n": record["spec"]["legs"], "d": sum(done[1::2]) - sum(done[0::2])}


def closing_above(record):
    """The same of one that is cancelled with a job that it needs: by derivation, and without any task yet."""
    return {**closing(record), "above": True}


def answer(record, job_id):
    """The answer to a poll, from a record alone."""
    if record["s"] == "open":
        done = sum(record["done"][1::2]) - sum(record["done"][0::2])
        return messages.job_status(
            job_id, "pending" if not done else "running", done, 0, record.get("waits", ())
        )
    return messages.job_status(job_id, record["s"], record["d"], 0)
