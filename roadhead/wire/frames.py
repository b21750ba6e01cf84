"""Frames between controllers, packed by hand with `struct`.

A frame is a length (of what follows it), a kind and its fields in order. Fields are
declared by one letter each: s text, b bytes, q unsigned 64-bit, d double, ? flag,
T list of texts, R list of rows of the kind named in the class.
"""

import struct

MAX_FRAME = 4 * 1024 * 1024
HEAD = struct.Struct("!IB")
U16 = struct.Struct("!H")
U32 = struct.Struct("!I")
FIXED = {"q": "Q", "d": "d", "?": "?"}


class FrameError(Exception):
    """Garbage, truncated or oversized."""


def _steps(layout):
    """The layout as runs: (a struct, number of fields) for fixed fields side by side, or (letter, 1)."""
    steps = []
    run = ""
    for letter in layout + " ":
        if letter in FIXED:
            run += FIXED[letter]
            continue
        if run:
            steps.append((struct.Struct("!" + run), len(run)))
            run = ""
        if letter != " ":
            steps.append((letter, 1))
    return steps


def _pack(steps, values, out):
    at = 0
    for step, fields in steps:
        if step == "s":
            data = values[at].encode()
            out += U16.pack(len(data))
            out += data
        elif step == "b":
            out += U32.pack(len(values[at]))
            out += values[at]
        elif step == "T":
            out += U32.pack(len(values[at]))
            for text in values[at]:
                data = text.encode()
                out += U16.pack(len(data))
                out += data
        else:
            out += step.pack(*values[at : at + fields])
        at += fields
    if at != len(values):
        raise ValueError("too many fields")


def _unpack(steps, data, at):
    values = []
    for step, _fields in steps:
        if step == "s":
            text, at = _text(data, at)
            values.append(text)
        elif step == "b":
            (size,) = U32.unpack_from(data, at)
            at += 4
            if at + size > len(data):
                raise FrameError("truncated")
            values.append(bytes(data[at : at + size]))
            at += size
        elif step == "T":
            (count,) = U32.unpack_from(data, at)
            at += 4
            texts = []
            for _ in range(count):
                text, at = _text(data, at)
                texts.append(text)
            values.append(texts)
        else:
            values += step.unpack_from(data, at)
            at += step.size
    return values, at


def _text(data, at):
    (size,) = U16.unpack_from(data, at)
    at += 2
    if at + size > len(data):
        raise FrameError("truncated")
    return data[at : at + size].decode(), at + size


class Frame:
    """One kind of frame. Subclasses give `kind`, `fields`, `layout` and perhaps `row`."""

    kind = 0
    fields = ()
    layout = ""
    row = ""

    def __init_subclass__(cls):
        before, rows, after = cls.layout.partition("R")
        cls._before, cls._after, cls._row = _steps(before), _steps(after), _steps(cls.row)
        cls._rows_at = len(before) if rows else None

    def __init__(self, *values):
        self.__dict__.update(zip(self.fields, values, strict=True))

    def __repr__(self):
        inside = " ".join(f"{name}={getattr(self, name)!r}" for name in self.fields)
        return f"<{type(self).__name__} {inside}>"

    def __eq__(self, other):
        return type(self) is type(other) and self.encode() == other.encode()

    __hash__ = None

    def encode(self):
        """The bytes; made once, as a frame may go to several controllers."""
        data = self.__dict__.get("encoded")
        if data is None:
            data = self.__dict__["encoded"] = self._encode()
        return data

    def _encode(self):
        values = [getattr(self, name) for name in self.fields]
        out = bytearray(HEAD.size)
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
        HEAD.pack_into(out, 0, len(out) - 4, self.kind)
        return bytes(out)

    @classmethod
    def parse(cls, data):
        values, at = _unpack(cls._before, data, 0)
        if cls._rows_at is not None:
            (count,) = U32.unpack_from(data, at)
            at += 4
            rows = []
            for _ in range(count):
                row, at = _unpack(cls._row, data, at)
                rows.append(tuple(row))
            values.append(rows)
            after, at = _unpack(cls._after, data, at)
            values += after
        if at != len(data):
            raise FrameError("trailing bytes")
        return cls(*values)


class Hello(Frame):
    """First frame of a connection, from both sides."""

    kind, layout = 1, "sq"
    fields = ("label", "incarnation")


class Heartbeat(Frame):
    """Sign of life: the term served, whether the state service answers here, whether most
    machines homed here have fallen silent (`workers_silent`), and what was used of the state service
    lately, a second."""

    kind, layout = 2, "q??dd"
    fields = ("term", "state_ok", "workers_silent", "requests", "writes")


class TermUpdate(Frame):
    """The term record (CBOR) with its revision."""

    kind, layout = 3, "qb"
    fields = ("revision", "record")


class Demand(Frame):
    """A controller's idle-list length and what waits there: one row a shape, in queue order.

    `images` are those that the most urgent of it need.
    """

    kind, layout = 4, "qRT"
    fields = ("length", "rows", "images")
    # urgency cpus gpus memory count spot zone types estimate class slack startable place_in_queue
    row = "qdddq?sTdsd?d"


class Grant(Frame):
    """Free room joins the receiver's idle list, or the room of a listed machine changed.

    `taken` counts the starts of this grant that the room already allows for.
    """

    kind, layout = 5, "sqqsss?dddTd"
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
        "lapse_s",
    )


class ReturnGrant(Frame):
    """The receiver of a grant hands it back."""

    kind, layout = 6, "sqq"
    fields = ("machine", "serial", "length")


class RevokeGrant(Frame):
    """The home takes a grant back."""

    kind, layout = 7, "sq"
    fields = ("machine", "serial")


class StartTasks(Frame):
    """Start tasks of a job on granted room; `last`: the rest of the room is handed back. The grant says
    whether they may start; `term` is read by nobody any more."""

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
    """The home did not take a start, and never will."""

    kind, layout = 9, "ssqq"
    fields = ("machine", "job", "index", "attempt")


class TaskStates(Frame):
    """What a machine's newest report says of tasks that the receiver owns."""

    kind, layout = 10, "ssR"
    fields = ("machine", "zone", "rows")
    row = "sqqss"  # job index attempt status cause


class AttemptGone(Frame):
    """An attempt is surely on no machine and can't come onto one any more."""

    kind, layout = 11, "ssqqs"
    fields = ("machine", "job", "index", "attempt", "cause")


class StopTask(Frame):
    kind, layout = 12, "ssqqd"
    fields = ("machine", "job", "index", "attempt", "grace")


class ForgetAttempts(Frame):
    """Attempts that have ended and are recorded, or that nobody needs."""

    kind, layout = 13, "R"
    fields = ("rows",)
    row = "ssqq"  # machine job index attempt


class ReconcileRequest(Frame):
    """An owner names jobs it owns and attempts it believes bound to machines homed at the receiver."""

    kind, layout = 14, "qqTR"
    fields = ("term", "number", "jobs", "claims")
    row = "ssqq"  # machine job index attempt


class ReconcileDone(Frame):
    """All that the home knows of the jobs of a sync has been sent, and it knows all there is."""

    kind, layout = 15, "qq"
    fields = ("term", "number")


class JobsCancelled(Frame):
    """These jobs are durably cancelled."""

    kind, layout = 16, "T"
    fields = ("jobs",)


class JobFaulty(Frame):
    """A job seems to fail wherever it runs: its failures tell nothing of a machine."""

    kind, layout = 20, "s"
    fields = ("job",)


class BorrowedResources(Frame):
    """What the sender's jobs hold beyond their teams' guarantees."""

    kind, layout = 21, "ddd"
    fields = ("cpus", "gpus", "memory")


class ReclaimResources(Frame):
    """Room is wanted back for work within a guarantee: rows of tasks for which borrowed work of
    the receiver's shall stop."""

    kind, layout = 22, "R"
    fields = ("rows",)
    row = "dddq?sT"  # cpus gpus memory count spot zone types


class HandoverMachines(Frame):
    """Machines that the sender was home to and the receiver is, by the term; `draining`: to be given up."""

    kind, layout = 23, "R"
    fields = ("rows",)
    row = "ssss??T"  # machine address type zone spot draining images


class HandoverJobs(Frame):
    """Owners and needs of jobs with tasks on machines that follow in a `HandoverMachines`."""

    kind, layout = 24, "R"
    fields = ("rows",)
    row = "ssqdddsdd?"  # job owner incarnation cpus gpus memory image image_gb save_s saves


class MachineCounts(Frame):
    """For the renter: machines homed at the sender, one row a machine type, zone and kind."""

    kind, layout = 17, "R"
    fields = ("rows",)
    row = "ss?qqddd"  # type zone spot machines idle free_cpus free_gpus free_memory


class OrphanedJob(Frame):
    """A job was accepted that the receiver should own."""

    kind, layout = 19, "s"
    fields = ("job",)


class SummaryPart(Frame):
    """The sender's part of the summary: rows of classes, machines failing, duties behind now, and
    what went wrong since its start."""

    kind, layout = 18, "RqTT"
    fields = ("rows", "failing", "behind", "troubles")
    row = "sqqqq"  # class open done late at_risk


class JobsEnded(Frame):
    """Jobs that are over, by records that are durable, or that follow from such a record. Sent behind the
    gate only."""

    kind, layout = 25, "R"
    fields = ("rows",)
    row = "sqqd?"  # job tasks done ended_at cancelled


class UpstreamPriorities(Frame):
    """What waiting jobs want of those that they need: times of day by which they must be done, infinite
    for none, and the last job of the pipeline, whose deadline that is. A hint. Sent behind the gate only."""

    kind, layout = 26, "R"
    fields = ("rows",)
    row = "ssqdds"  # job wanted_by urgency due_by last_by end


class StateLimitsLowered(Frame):
    """The state service has the limits that it was to have later. Sent behind the gate only."""

    kind, layout = 27, "?"
    fields = ("lowered",)


KINDS = {cls.kind: cls for cls in Frame.__subclasses__()}


class FrameDecoder:
    """Cuts a byte stream into frames."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        self._buffer += data

    def frames(self):
        """All whole frames so far. Raises FrameError."""
        buffer = self._buffer
        at = 0
        found = []
        while len(buffer) - at >= HEAD.size:
            length, kind = HEAD.unpack_from(buffer, at)
            if not 1 <= length <= MAX_FRAME:
                raise FrameError("length")
            if len(buffer) - at < 4 + length:
                break
            cls = KINDS.get(kind)
            if cls is None:
                raise FrameError("kind")
            try:
                found.append(cls.parse(memoryview(buffer)[at + HEAD.size : at + 4 + length].tobytes()))
            except (struct.error, UnicodeDecodeError, IndexError) as error:
                raise FrameError(str(error)) from None
            at += 4 + length
        del buffer[:at]
        return found
