"""A job as its owner knows it, and its durable record."""

import math

import msgspec

from roadhead.jobs.ranges import Ranges, TaskPool
from roadhead.wire import messages
from roadhead.wire.messages import URGENCIES, JobSpec

KEY = "j/"
ARCHIVE = "f/"  # where final records are moved to
RANK = {name: rank for rank, name in enumerate(URGENCIES)}
FINAL = ("done", "cancelled")
# of records, told with the membership; behind it (membership/format_gate.py) a job may wait for others
FORMAT = 4
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
    """`unstarted` holds the tasks that may be started, `bound` those that may be on a machine.

    `unreconciled_leaders`: homes that have yet to say what they know of an inherited job; nothing of
    it starts before (safety 3).
    """

    __slots__ = (
        "accepted_at",
        "borrowed_position",
        "bound",
        "built",
        "creation_condition",
        "done",
        "due_by",
        "ended_at",
        "failed_on",
        "first_task_leads",
        "id",
        "last_by",
        "not_before",
        "owned_by_predecessor",
        "owner",
        "parts",
        "placement_key",
        "queue_position",
        "rank",
        "released_at",
        "reserved_tasks",
        "reserving_since",
        "retry_pauses",
        "round_allowance",
        "saved_count",
        "shape",
        "spec",
        "stamp",
        "state",
        "suspected_faulty",
        "taking_over",
        "targets",
        "unreconciled_leaders",
        "unstarted",
        "within_guarantee",
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
        self.unstarted = TaskPool(self.done, spec.tasks)
        self.bound = {}
        self.rank = RANK[spec.urgency]  # or that of a job that needs this one
        # Times of day by which it must be complete for those that need it, for the first of their
        # deadlines and for the last (pipelines/inherited_priorities.py).
        self.due_by = self.last_by = math.inf
        # When the last of the jobs that it needs was done; None: that is yet to come.
        self.released_at = released_at if spec.upstream or released_at else accepted_at
        # (nonce, count) where they are too many for the record (pipelines/upstream_parts.py)
        self.parts = None
        # (key, stamp) of the first of them, under which alone the job is created
        self.creation_condition = None
        self.ended_at = 0.0  # when its last task was seen done
        self.owned_by_predecessor = False  # taken over, and its record still names the owner of before
        self.unreconciled_leaders = {""} if inherited else set()
        self.taking_over = False  # no record names its new owner yet: nothing of it starts before
        self.failed_on = set()  # machines on which tasks failed since the last one done
        self.suspected_faulty = False  # it seems to fail wherever it runs: only tried now and then
        self.retry_pauses = 0
        self.not_before = 0.0
        self.saved_count = self.done.count
        self.written_at = 0.0
        self.targets = None  # seconds after acceptance, kept by the dispatcher
        self.queue_position = 0.0  # in its queue
        # Where teams share by guarantee and weight: tasks within the guarantee, and how many may start before
        # the next round. `first_task_leads`: only the first task that starts has its place.
        # `borrowed_position`: that of the others.
        self.within_guarantee = self.round_allowance = 0
        self.first_task_leads, self.borrowed_position = False, 0.0
        # Of a gang (dispatch/gangs.py): tasks for which room is kept, and since when.
        self.reserved_tasks, self.reserving_since = 0, 0.0
        needs = (spec.cpus, spec.gpus, spec.memory, spec.spot, spec.zone or "", tuple(spec.types or ()))
        # Jobs of one room shape find room on the same machines; where a job's tasks depend on
        # one another's zones it is alone in its shape.
        alone = spec.one_zone or spec.spread or self.gang
        self.placement_key = (*needs, spec.team, spec.id if alone else "")
        self.shape = (self.rank, *needs, spec.klass)
        self.built = None  # the description as stored, and its size as JSON

    def raise_urgency(self, rank):
        """As urgent as a job that needs it."""
        self.rank = rank
        self.shape = (rank, *self.shape[1:])

    @property
    def is_waiting(self):
        """Whether jobs that it needs may not be done yet."""
        return self.released_at is None

    def release(self, at):
        """All that it needs is durably done, since that time of day."""
        self.released_at, self.targets, self.built = at, None, None

    @property
    def resources(self):
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
            return len(self.unstarted) if not self.bound else 0
        return (
            len(self.unstarted)
            if not self.suspected_faulty
            else min(len(self.unstarted), TRIES - len(self.bound))
        )

    def failed(self, machine):
        """A task failed there; True if the job is in doubt from now on.

        A faulty machine fails all jobs, a faulty job fails on all machines: it is in doubt
        once it failed on two, and on no fewer than those that still run it.
        """
        self.failed_on.add(machine)
        if self.suspected_faulty or len(self.failed_on) < 2:
            return False
        running_on = {b.machine for b in self.bound.values() if b.status == "running"}
        self.suspected_faulty = len(self.failed_on) >= len(running_on - self.failed_on)
        return self.suspected_faulty

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
            if not self.is_waiting or self.parts:
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
        if self.is_waiting:
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


def awaited_ids(record):
    """Ids of the jobs that an open record's job still waits for, as far as the record tells."""
    return record["spec"].get("upstream", ()) if record["s"] == "open" and "rel" not in record else ()


def for_polls(record):
    """What of a record is kept to answer polls, as long as its stamp holds."""
    if record["s"] != "open":
        return record
    spec, done = record["spec"], record["done"]
    waits = {"upstream": names} if (names := awaited_ids(record)) else {}
    return {
        "s": "open",
        "o": record["o"],
        "spec": {"crew": spec["crew"], "legs": spec["legs"], **waits},
        "done": [0, sum(done[1::2]) - sum(done[0::2])],
    }


def cancelled_record(record):
    """The final record of an open job that is cancelled."""
    done = record["done"]
    return {"s": "cancelled", "n": record["spec"]["legs"], "d": sum(done[1::2]) - sum(done[0::2])}


def cancelled_with_ancestor_record(record):
    """The same of one that is cancelled with a job that it needs: by derivation, and without any task yet."""
    return {**cancelled_record(record), "above": True}


def answer(record, job_id):
    """The answer to a poll, from a record alone."""
    if record["s"] == "open":
        done = sum(record["done"][1::2]) - sum(record["done"][0::2])
        return messages.job_status(
            job_id, "pending" if not done else "running", done, 0, record.get("waits", ())
        )
    return messages.job_status(job_id, record["s"], record["d"], 0)
