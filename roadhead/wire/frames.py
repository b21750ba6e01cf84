"""The frames that controllers exchange, a class for each kind; wire/frame_codec.py has their binary form."""

from roadhead.wire.frame_codec import Frame


class Hello(Frame):
    """First frame on a connection, sent by both sides: the sender's label and incarnation."""

    kind, layout = 1, "sq"
    fields = ("label", "incarnation")


class Heartbeat(Frame):
    """Heartbeat.

    `term`: the term the sender serves; `state_ok`: whether the state service answers the sender;
    `workers_silent`: whether most machines whose shards the sender leads have stopped reporting; `requests`
    and `writes`: the sender's recent use of the state service, per second.
    """

    kind, layout = 2, "q??dd"
    fields = ("term", "state_ok", "workers_silent", "requests", "writes")


class TermUpdate(Frame):
    """Broadcasts the term record (CBOR) and its revision in the state service."""

    kind, layout = 3, "qb"
    fields = ("revision", "record")


class Demand(Frame):
    """A controller's count of granted machines and the resources that its waiting tasks request.

    Each row stands for one resource shape; rows come in queue order. `images` are those that the most urgent
    waiting tasks need.
    """

    kind, layout = 4, "qRT"
    fields = ("length", "rows", "images")
    # urgency cpus gpus memory count spot zone types estimate class slack startable place_in_queue
    row = "qdddq?sTdsd?d"


class Grant(Frame):
    """Grants free capacity of a machine to the receiver, or updates the capacity of a granted machine.

    `taken` counts the starts under this grant that the capacity already accounts for; `lifetime_s` is the
    grant's lifetime in seconds.
    """

    kind, layout = 5, "sqqsss?dddTd"
    slots = 64  # an older controller tells none: as many starts are sent before its next Grant
    fields = (
        "machine",
        "serial",
        "taken",
        "type",
        "zone",
        "leader",
        "spot",
        "cpus",
        "gpus",
        "memory",
        "images",
        "lifetime_s",
    )


class GrantWithSlots(Frame):
    """A Grant that also says how many further tasks the machine has room for in its report.

    Sent in place of a Grant once all controllers support it (the format gate is open).
    """

    kind, layout = 32, Grant.layout + "q"
    fields = (*Grant.fields, "slots")


class ReturnGrant(Frame):
    """The holder of a grant gives it back; `length` is the number of machines still granted to it."""

    kind, layout = 6, "sqq"
    fields = ("machine", "serial", "length")


class RevokeGrant(Frame):
    """The machine's shard leader withdraws a grant."""

    kind, layout = 7, "sq"
    fields = ("machine", "serial")


class StartTasks(Frame):
    """Starts tasks of a job on granted capacity.

    `last` returns the rest of the grant. The grant decides whether the tasks may start; `term` is ignored by
    receivers and stays for wire compatibility.
    """

    kind, layout = 8, "qsqsRqdddsdd??"
    fields = (
        "term",
        "machine",
        "serial",
        "job",
        "tasks",
        "length",
        "cpus",
        "gpus",
        "memory",
        "image",
        "image_gb",
        "save_s",
        "saves",
        "last",
    )
    row = "qq"  # index attempt


class StartRefused(Frame):
    """The shard leader rejected a start and will never carry it out."""

    kind, layout = 9, "ssqq"
    fields = ("machine", "job", "index", "attempt")


class TaskStates(Frame):
    """States of tasks that the receiver owns, from the machine's latest report."""

    kind, layout = 10, "ssR"
    fields = ("machine", "zone", "rows")
    row = "sqqss"  # job index attempt status cause


class AttemptGone(Frame):
    """An attempt is on no machine and can never be launched on one: its task may be started again."""

    kind, layout = 11, "ssqqs"
    fields = ("machine", "job", "index", "attempt", "cause")


class StopTask(Frame):
    """The owner asks the shard leader to stop an attempt; `grace` is in seconds."""

    kind, layout = 12, "ssqqd"
    fields = ("machine", "job", "index", "attempt", "grace")


class ForgetAttempts(Frame):
    """Attempts that have ended and are recorded, or that no owner needs: machines may drop them."""

    kind, layout = 13, "R"
    fields = ("rows",)
    row = "ssqq"  # machine job index attempt


class ReconcileRequest(Frame):
    """Asks a shard leader to reconcile an owner's jobs.

    Lists the jobs that the sender owns, and the attempts that it believes are bound to machines led by the
    receiver. `number` identifies the request in the `ReconcileDone` that answers it.
    """

    kind, layout = 14, "qqTR"
    fields = ("term", "number", "jobs", "claims")
    row = "ssqq"  # machine job index attempt


class ReconcileDone(Frame):
    """Answers `ReconcileRequest`: the shard leader knows every task of those jobs and has sent all of it."""

    kind, layout = 15, "qq"
    fields = ("term", "number")


class JobsCancelled(Frame):
    """Broadcasts jobs whose cancellation is durable."""

    kind, layout = 16, "T"
    fields = ("jobs",)


class JobFaulty(Frame):
    """A job seems to fail on every machine: its failures must not count against the machines."""

    kind, layout = 20, "s"
    fields = ("job",)


class BorrowedResources(Frame):
    """Resources that the sender's jobs hold beyond their teams' guarantees."""

    kind, layout = 21, "ddd"
    fields = ("cpus", "gpus", "memory")


class ReclaimResources(Frame):
    """Asks the receiver to preempt borrowed work, so that work within a guarantee can start.

    Each row describes waiting tasks of one shape.
    """

    kind, layout = 22, "R"
    fields = ("rows",)
    row = "dddq?sT"  # cpus gpus memory count spot zone types


class HandoverMachines(Frame):
    """Machines whose shard leadership moved from the sender to the receiver in the current term.

    `draining` marks machines that are about to be released.
    """

    kind, layout = 23, "R"
    fields = ("rows",)
    row = "ssss??T"  # machine address type zone spot draining images


class HandoverJobs(Frame):
    """Owners and resource requests of jobs with tasks on machines of the next `HandoverMachines`."""

    kind, layout = 24, "R"
    fields = ("rows",)
    row = "ssqdddsdd?"  # job owner incarnation cpus gpus memory image image_gb save_s saves


class MachineCounts(Frame):
    """Capacity of the machines led by the sender, for the autoscaler.

    There is one row per machine type, zone and spot flag.
    """

    kind, layout = 17, "R"
    fields = ("rows",)
    row = "ss?qqddd"  # type zone spot machines idle free_cpus free_gpus free_memory


class OrphanedJob(Frame):
    """Names an accepted job that the receiver should take over."""

    kind, layout = 19, "s"
    fields = ("job",)


class SummaryPart(Frame):
    """The sender's part of the cluster summary.

    Holds a row per job class, the number of failing machines, the duties that are behind schedule now, and
    the problems since the sender started.
    """

    kind, layout = 18, "RqTT"
    fields = ("rows", "failing", "behind", "troubles")
    row = "sqqqq"  # class open done late at_risk


class JobsEnded(Frame):
    """Jobs that have ended, according to durable records or to what follows from one.

    Sent only once all controllers support it (the format gate is open).
    """

    kind, layout = 25, "R"
    fields = ("rows",)
    row = "sqqd?"  # job tasks done ended_at cancelled


class UpstreamPriorities(Frame):
    """What waiting jobs require of the jobs that they depend on. A hint: losing it costs only priority.

    `wanted_by`, `due_by` and `last_by` are times of day, infinite for none; `end` is the last job of the
    pipeline, whose deadline `last_by` is. Sent only once all controllers support it (the format gate is
    open).
    """

    kind, layout = 26, "R"
    fields = ("rows",)
    row = "ssqdds"  # job wanted_by urgency due_by last_by end


class StateLimitsLowered(Frame):
    """The lower limits announced for the state service are in force.

    Sent only once all controllers support it (the format gate is open).
    """

    kind, layout = 27, "?"
    fields = ("lowered",)


class AttemptDigests(Frame):
    """Digests of the attempts that the sender, an owner, has bound in each of the receiver's shards.

    Shards without any are left out. Sent only once all controllers support it (the format gate is open), as
    are the three frames below.
    """

    kind, layout = 28, "qR"
    fields = ("term", "rows")
    row = "qq"  # shard digest


class ShardAttempts(Frame):
    """The attempts that a shard leader knows of the receiver's in a shard whose digest differs."""

    kind, layout = 29, "qqR"
    fields = ("term", "shard", "rows")
    row = "ssqqs"  # machine job index attempt state


class PendingRequests(Frame):
    """Numbers of the sender's ReconcileRequests that the receiver has not answered yet."""

    kind, layout = 30, "qR"
    fields = ("term", "rows")
    row = "q"  # number


class UnknownRequests(Frame):
    """Those of the receiver's PendingRequests that the sender is not about to answer."""

    kind, layout = 31, "qR"
    fields = ("term", "rows")
    row = "q"  # number
