"""A job as its owner knows it, and its durable record."""

import msgspec

from roadhead.jobs.ranges import Pool, Ranges
from roadhead.wire import messages
from roadhead.wire.messages import URGENCIES, JobSpec

KEY = "j/"
SHELF = "f/"  # where final records are moved to
RANK = {name: rank for rank, name in enumerate(URGENCIES)}
FINAL = ("done", "cancelled")
NOBODY = ("", 0)  # owner of a job that its warden has yet to take over
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

    __slots__ = ("accepted_at", "adopting", "aims", "bound", "built", "done", "doubtful", "failed_on", "free",
                 "gathered", "gathering_since", "id", "later", "not_before", "owner", "part", "pauses",
                 "place", "rank", "room_shape", "saved_count", "shape", "spec", "stamp", "state", "sure",
                 "unsynced", "written_at")

    def __init__(self, spec, owner, accepted_at, stamp=0, done=(), inherited=False):
        self.id = spec.id
        self.spec = spec
        self.owner = owner
        self.accepted_at = accepted_at  # time of day
        self.stamp = stamp
        self.state = "open"
        self.done = Ranges(done)
        self.free = Pool(self.done, spec.tasks)
        self.bound = {}
        self.rank = RANK[spec.urgency]
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
        # Where teams share by guarantee and weight: tasks within the guarantee, the place of the
        # others, and how many may start before the next round.
        self.sure = self.part = 0
        self.later = 0.0
        # Of a gang (dispatch/gangs.py): tasks for which room is kept, and since when.
        self.gathered, self.gathering_since = 0, 0.0
        needs = (
            spec.cpus, spec.gpus, spec.memory, spec.spot, spec.zone or "", tuple(spec.types or ())
        )
        # Jobs of one room shape find room on the same machines; where a job's tasks depend on
        # one another's zones it is alone in its shape.
        alone = spec.one_zone or spec.spread or self.gang
        self.room_shape = (*needs, spec.team, spec.id if alone else "")
        self.shape = (self.rank, *needs, spec.klass)
        self.built = None  # the description as stored, and its size as JSON

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

    def record(self, largest):
        """The value to store, of at most `largest` bytes as JSON, and the tasks recorded done.

        If ragged completion does not fit, the shortest ranges are left out: their tasks
        keep their results on their machines, which are not told to forget them.
        """
        if self.state != "open":
            return {"s": self.state, "n": self.spec.tasks, "d": self.done.count}, self.done
        if self.built is None:
            spec = msgspec.to_builtins(self.spec)
            self.built = spec, len(msgspec.json.encode(spec))
        spec, size = self.built
        record = {
            "s": "open",
            "o": list(self.owner),
            "at": self.accepted_at,
            "spec": spec,
            "done": self.done.flat(),
        }
        fits = (largest - 64 - size) // 14
        if len(record["done"]) <= 2 * fits:
            return record, self.done
        pairs = sorted(
            zip(self.done.starts, self.done.ends, strict=True), key=lambda pair: pair[0] - pair[1]
        )
        kept = Ranges([edge for pair in sorted(pairs[: max(0, fits)]) for edge in pair])
        record["done"] = kept.flat()
        return record, kept


def spec_of(record):
    return messages.parse(record["spec"], JobSpec)


def from_record(record, owner, stamp):
    """An inherited job. Nothing of one that nobody has owned can have been started."""
    return Job(spec_of(record), owner, record["at"], stamp, record["done"],
               inherited=tuple(record["o"]) != NOBODY)


def shorten(record):
    """What of a record is kept to answer polls, as long as its stamp holds."""
    if record["s"] != "open":
        return record
    spec, done = record["spec"], record["done"]
    return {
        "s": "open", "o": record["o"], "spec": {"crew": spec["crew"], "legs": spec["legs"]},
        "done": [0, sum(done[1::2]) - sum(done[0::2])],
    }


def closing(record):
    """The final record of an open job that is cancelled."""
    done = record["done"]
    return {"s": "cancelled", "n": record["spec"]["legs"], "d": sum(done[1::2]) - sum(done[0::2])}


def answer(record, job_id):
    """The answer to a poll, from a record alone."""
    if record["s"] == "open":
        done = sum(record["done"][1::2]) - sum(record["done"][0::2])
        return messages.job_status(job_id, "pending" if not done else "running", done, 0)
    return messages.job_status(job_id, record["s"], record["d"], 0)
