"""Binary frames that controllers exchange, packed with `struct`.

A frame is a 4-byte length (of everything after it), a 1-byte kind and the fields in their declared order; all
integers are big-endian. The layout of a frame has one letter per field: `s` text, `b` bytes, `q` unsigned
64-bit integer, `d` double, `?` boolean, `T` list of texts, `R` list of rows. The class attribute `row` is the
layout of one row.
"""

import struct

MAX_FRAME_BYTES = 4 * 1024 * 1024
HEADER = struct.Struct("!IB")
U16 = struct.Struct("!H")
U32 = struct.Struct("!I")
FIXED_SIZE_FORMATS = {"q": "Q", "d": "d", "?": "?"}


class FrameError(Exception):
    """The received bytes are not a valid frame: garbage, truncated or oversized."""


def _compile_layout(layout):
    """Compiles a layout into steps.

    A step is (struct, field count) for adjacent fixed-size fields, or (letter, 1) for a variable-size field.
    """
    steps = []
    run = ""
    for letter in layout + " ":
        if letter in FIXED_SIZE_FORMATS:
            run += FIXED_SIZE_FORMATS[letter]
            continue
        if run:
            steps.append((struct.Struct("!" + run), len(run)))
            run = ""
        if letter != " ":
            steps.append((letter, 1))
    return steps


def _pack(steps, values, out):
    index = 0
    for step, fields in steps:
        if step == "s":
            data = values[index].encode()
            out += U16.pack(len(data))
            out += data
        elif step == "b":
            out += U32.pack(len(values[index]))
            out += values[index]
        elif step == "T":
            out += U32.pack(len(values[index]))
            for text in values[index]:
                data = text.encode()
                out += U16.pack(len(data))
                out += data
        else:
            out += step.pack(*values[index : index + fields])
        index += fields
    if index != len(values):
        raise ValueError(f"frame takes {index} fields, got {len(values)}")


def _unpack(steps, data, offset):
    values = []
    for step, _fields in steps:
        if step == "s":
            text, offset = _unpack_text(data, offset)
            values.append(text)
        elif step == "b":
            (size,) = U32.unpack_from(data, offset)
            offset += 4
            if offset + size > len(data):
                raise FrameError("truncated")
            values.append(bytes(data[offset : offset + size]))
            offset += size
        elif step == "T":
            (count,) = U32.unpack_from(data, offset)
            offset += 4
            texts = []
            for _ in range(count):
                text, offset = _unpack_text(data, offset)
                texts.append(text)
            values.append(texts)
        else:
            values += step.unpack_from(data, offset)
            offset += step.size
    return values, offset


def _unpack_text(data, offset):
    (size,) = U16.unpack_from(data, offset)
    offset += 2
    if offset + size > len(data):
        raise FrameError("truncated")
    return data[offset : offset + size].decode(), offset + size


class Frame:
    """Base class of all frames.

    Subclasses define `kind`, `fields`, `layout` and, if the layout has an `R`, `row`.
    """

    kind = 0
    fields = ()
    layout = ""
    row = ""

    def __init_subclass__(cls):
        before, rows, after = cls.layout.partition("R")
        cls._before, cls._after, cls._row = (
            _compile_layout(before),
            _compile_layout(after),
            _compile_layout(cls.row),
        )
        cls._rows_at = len(before) if rows else None

    def __init__(self, *values):
        self.__dict__.update(zip(self.fields, values, strict=True))

    def __repr__(self):
        text = " ".join(f"{name}={getattr(self, name)!r}" for name in self.fields)
        return f"<{type(self).__name__} {text}>"

    def __eq__(self, other):
        return type(self) is type(other) and self.encode() == other.encode()

    __hash__ = None

    def encode(self):
        """Returns the encoded frame. The result is cached, as one frame may go to several controllers."""
        data = self.__dict__.get("encoded")
        if data is None:
            data = self.__dict__["encoded"] = self._encode()
        return data

    def _encode(self):
        values = [getattr(self, name) for name in self.fields]
        out = bytearray(HEADER.size)
        rows_at = self._rows_at
        if rows_at is None:
            _pack(self._before, values, out)
        else:
            _pack(self._before, values[:rows_at], out)
            rows = values[rows_at]
            out += U32.pack(len(rows))
            for row in rows:
                _pack(self._row, row, out)
            _pack(self._after, values[rows_at + 1 :], out)
        HEADER.pack_into(out, 0, len(out) - 4, self.kind)
        return bytes(out)

    @classmethod
    def parse(cls, data):
        """Decodes the bytes that follow the frame header.

        Raises FrameError, or struct.error, UnicodeDecodeError or IndexError, which `FrameDecoder` converts.
        """
        values, offset = _unpack(cls._before, data, 0)
        if cls._rows_at is not None:
            (count,) = U32.unpack_from(data, offset)
            offset += 4
            rows = []
            for _ in range(count):
                row, offset = _unpack(cls._row, data, offset)
                rows.append(tuple(row))
            values.append(rows)
            after, offset = _unpack(cls._after, data, offset)
            values += after
        if offset != len(data):
            raise FrameError(f"{cls.__name__}: {len(data) - offset} trailing bytes")
        return cls(*values)


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


KINDS = {cls.kind: cls for cls in Frame.__subclasses__()}


class FrameDecoder:
    """Splits a byte stream into frames."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Adds received bytes."""
        self._buffer += data

    def frames(self):
        """Removes and returns all complete frames. Raises FrameError."""
        buffer = self._buffer
        offset = 0
        found = []
        while len(buffer) - offset >= HEADER.size:
            length, kind = HEADER.unpack_from(buffer, offset)
            if not 1 <= length <= MAX_FRAME_BYTES:
                raise FrameError(f"frame length {length}, expected 1 to {MAX_FRAME_BYTES}")
            if len(buffer) - offset < 4 + length:
                break
            cls = KINDS.get(kind)
            if cls is None:
                raise FrameError(f"unknown frame kind {kind}")
            try:
                found.append(
                    cls.parse(memoryview(buffer)[offset + HEADER.size : offset + 4 + length].tobytes())
                )
            except (struct.error, UnicodeDecodeError, IndexError) as error:
                raise FrameError(str(error)) from None
            offset += 4 + length
        del buffer[:offset]
        return found
