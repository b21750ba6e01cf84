"""A job as its owner sees it, and the records that the state service stores of it."""

import math

import msgspec

from roadhead.jobs.ranges import Ranges, TaskPool
from roadhead.wire import messages
from roadhead.wire.messages import URGENCIES, JobSpec

RECORD_PREFIX = "j/"  # prefix of open records, and of final ones until they are moved
ARCHIVE = "f/"  # prefix of final records that were moved to the archive
RANK = {name: rank for rank, name in enumerate(URGENCIES)}
FINAL = ("done", "cancelled")
# Format of the records written here, announced with the membership. A job may wait for others only once all
# members have announced it (membership/format_gate.py).
RECORD_FORMAT = 4
NO_OWNER = ("", 0)  # owner of a job that its quota leader has yet to take over
# JSON bytes of a record besides the description, with room for some ranges of done tasks.
RECORD_OVERHEAD_BYTES = 200
MAX_DOUBTFUL_TASKS = 2  # tasks that may be started at once of a job that seems to fail wherever it runs


class Binding:
    """An attempt of a task that is, or may be, on a machine."""

    __slots__ = ("attempt", "bound_at", "held", "machine", "status", "stop_grace_s", "zone")

    def __init__(self, machine, zone, attempt, status, bound_at):
        self.bound_at = bound_at  # when it was bound here, on the loop's clock
        self.machine = machine
        self.zone = zone
        self.attempt = attempt
        self.status = status
        self.held = False  # whether it is counted in its team's account
        self.stop_grace_s = None  # once it is to stop: its time to save


class Job:
    """An open job: its description, its record's state, and the state of each of its tasks.

    `unstarted` holds the tasks that may be started, `bound` those that may be on a machine.
    `unreconciled_leaders` names the shard leaders that have yet to report the tasks of an inherited job;
    nothing of the job starts before they have (safety rule 3 in docs/design.md).
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
        self.accepted_at = accepted_at  # time of day in seconds
        self.stamp = stamp
        self.state = "open"
        self.done = Ranges(done)
        self.unstarted = TaskPool(self.done, spec.tasks)
        self.bound = {}
        self.rank = RANK[spec.urgency]  # or that of a more urgent job that depends on this one
        # Times of day by which it must be complete for the jobs that depend on it: for the earliest of their
        # deadlines, and for the latest (pipelines/inherited_priorities.py).
        self.due_by = self.last_by = math.inf
        # Time of day at which its last dependency was done; None while one is not.
        self.released_at = released_at if spec.upstream or released_at else accepted_at
        # (nonce, count) if the dependency list is stored apart (pipelines/upstream_parts.py)
        self.parts = None
        # (key, stamp) of the list's first part; the job is created only while it holds
        self.creation_condition = None
        self.ended_at = 0.0  # time of day at which its last task was seen done
        self.owned_by_predecessor = False  # being taken over: its record still names the previous owner
        self.unreconciled_leaders = {""} if inherited else set()
        # No record names its new owner yet, so nothing of it starts.
        self.taking_over = False
        self.failed_on = set()  # machines on which tasks failed since the last one that was done
        self.suspected_faulty = False  # it seems to fail wherever it runs, so it is only tried now and then
        self.retry_pauses = 0  # retries so far while it is in doubt; each pause is longer
        self.not_before = 0.0  # on the loop's clock; none of its tasks starts earlier
        self.saved_count = self.done.count  # number of done tasks in the stored record
        self.written_at = 0.0  # when its record was last stored, on the loop's clock
        self.targets = None  # the dispatcher's deadlines for it, in seconds after acceptance
        self.queue_position = 0.0  # sort key in the dispatcher's queue
        # Where teams share by guarantee and weight: `within_guarantee` is the number of tasks within the
        # guarantee, `round_allowance` how many tasks may start before the next round. If `first_task_leads`
        # is set, only the first task that starts has the position `queue_position`, and the others have
        # `borrowed_position`.
        self.within_guarantee = self.round_allowance = 0
        self.first_task_leads, self.borrowed_position = False, 0.0
        # For a gang (dispatch/gangs.py): the number of tasks for which room is reserved, and since when.
        self.reserved_tasks, self.reserving_since = 0, 0.0
        needs = (spec.cpus, spec.gpus, spec.memory, spec.spot, spec.zone or "", tuple(spec.types or ()))
        # Jobs with the same placement key fit on the same machines. A job whose tasks depend on each other's
        # zones has a key of its own.
        alone = spec.one_zone or spec.spread or self.gang
        self.placement_key = (*needs, spec.team, spec.id if alone else "")
        self.shape = (self.rank, *needs, spec.klass)
        self.built = None  # (description as stored, its size as JSON), once computed

    def raise_urgency(self, rank):
        """Raises the urgency to that of a job that depends on this one."""
        self.rank = rank
        self.shape = (rank, *self.shape[1:])

    @property
    def is_waiting(self):
        """Whether some of its dependencies may not be done yet."""
        return self.released_at is None

    def release(self, at):
        """Notes that all dependencies are durably done since `at`, a time of day in seconds."""
        self.released_at, self.targets, self.built = at, None, None

    @property
    def resources(self):
        """What one task takes: (cpus, gpus, memory)."""
        spec = self.spec
        return spec.cpus, spec.gpus, spec.memory

    @property
    def gang(self):
        """Whether its tasks are only useful when all of them run together."""
        return self.spec.kind == "group"

    def startable(self):
        """Returns how many of its tasks may be started now.

        A gang starts all of its tasks or none. A job in doubt runs only a few at a time.
        """
        if self.gang:
            return len(self.unstarted) if not self.bound else 0
        return (
            len(self.unstarted)
            if not self.suspected_faulty
            else min(len(self.unstarted), MAX_DOUBTFUL_TASKS - len(self.bound))
        )

    def failed(self, machine):
        """Notes that a task failed on a machine. Returns whether the job is in doubt from now on.

        A faulty machine fails all jobs, and a faulty job fails on all machines. The job is therefore in doubt
        once it has failed on at least two machines, and on no fewer than those that still run it.
        """
        self.failed_on.add(machine)
        if self.suspected_faulty or len(self.failed_on) < 2:
            return False
        running_on = {b.machine for b in self.bound.values() if b.status == "running"}
        self.suspected_faulty = len(self.failed_on) >= len(running_on - self.failed_on)
        return self.suspected_faulty

    def status(self):
        """Returns the state that users see: "pending", "running", "done" or "cancelled"."""
        if self.state != "open":
            return self.state
        running = self.running()
        return "running" if running else "pending"

    def running(self):
        """Returns how many tasks are running or saving their state."""
        return sum(binding.status in ("running", "saving") for binding in self.bound.values())

    def complete(self):
        """Returns whether all tasks are done. A daemon is never complete."""
        return self.spec.kind != "daemon" and self.done.count >= self.spec.tasks

    def final(self, state):
        """Returns the final record of the job: `state` is "done" or "cancelled"."""
        ended = {"e": self.ended_at} if self.ended_at else {}
        return {"s": state, "n": self.spec.tasks, "d": self.done.count, **ended}

    def record(self, largest):
        """Returns the record to store and the tasks that it says are done.

        The record takes at most `largest` bytes as JSON. If the ranges of done tasks do not all fit, the
        shortest are left out. The results of these tasks stay on their machines, which are not told to forget
        them.
        """
        if self.state != "open":
            return self.final(self.state), self.done
        if self.built is None:
            spec = msgspec.to_builtins(self.spec)
            if not self.is_waiting or self.parts:
                spec.pop("upstream", None)  # stored apart, or no longer waited for
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
            # a version that does not know `upstream` would start the job too early
            record["v"] = RECORD_FORMAT
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
    """Returns an upper bound of the size, in bytes of JSON, of a newly submitted job's record."""
    return len(msgspec.json.encode(msgspec.to_builtins(spec))) + RECORD_OVERHEAD_BYTES


def spec_of(record):
    """Parses the job description in an open record."""
    return messages.parse(record["spec"], JobSpec)


def from_record(record, owner, stamp):
    """Builds an inherited job from its open record.

    A job that never had an owner cannot have been started, so no shard leader has to report its tasks.
    """
    job = Job(
        spec_of(record),
        owner,
        record["at"],
        stamp,
        record["done"],
        inherited=tuple(record["o"]) != NO_OWNER,
        released_at=record.get("rel"),
    )
    job.parts = tuple(record["up"]) if "up" in record else None
    return job


def awaited_ids(record):
    """Returns the ids of the dependencies that an open record still waits for; empty for other records."""
    return record["spec"].get("upstream", ()) if record["s"] == "open" and "rel" not in record else ()


def for_polls(record):
    """Returns the parts of a record that polls need; they can be kept as long as its stamp is unchanged."""
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
    """Returns the final record of an open job that is cancelled."""
    done = record["done"]
    return {"s": "cancelled", "n": record["spec"]["legs"], "d": sum(done[1::2]) - sum(done[0::2])}


def cancelled_with_ancestor_record(record):
    """Returns the final record of an open job that is cancelled because one of its dependencies is.

    None of its tasks was started.
    """
    return {**cancelled_record(record), "above": True}


def status_of(record):
    """Returns (status, number of tasks done) that a record says.

    The record of a job that waits for others counts only as derived from theirs (pipelines/ancestry.py).
    """
    if record["s"] == "open":
        done = sum(record["done"][1::2]) - sum(record["done"][0::2])
        return "running" if done else "pending", done
    return record["s"], record["d"]


def answer(record, job_id):
    """Returns the answer to a poll, built from a record alone."""
    status, done = status_of(record)
    return messages.job_status(job_id, status, done, 0, record.get("waits", ()))
