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
U64 = struct.Struct("!Q")
F64 = struct.Struct("!d")


class BadFrame(Exception):
    """Garbage, truncated or oversized."""


def _pack(layout, values, out):
    for letter, value in zip(layout, values, strict=True):
        if letter == "q":
            out += U64.pack(value)
        elif letter == "d":
            out += F64.pack(value)
        elif letter == "?":
            out.append(1 if value else 0)
        elif letter == "s":
            data = value.encode()
            out += U16.pack(len(data))
            out += data
        elif letter == "b":
            out += U32.pack(len(value))
            out += value
        elif letter == "T":
            out += U32.pack(len(value))
            for text in value:
                data = text.encode()
                out += U16.pack(len(data))
                out += data


def _unpack(layout, data, at):
    values = []
    for letter in layout:
        if letter == "q":
            values.append(U64.unpack_from(data, at)[0])
            at += 8
        elif letter == "d":
            values.append(F64.unpack_from(data, at)[0])
            at += 8
        elif letter == "?":
            values.append(data[at] != 0)
            at += 1
        elif letter == "s":
            text, at = _text(data, at)
            values.append(text)
        elif letter == "b":
            (size,) = U32.unpack_from(data, at)
            at += 4
            if at + size > len(data):
                raise BadFrame("truncated")
            values.append(bytes(data[at : at + size]))
            at += size
        elif letter == "T":
            (count,) = U32.unpack_from(data, at)
            at += 4
            texts = []
            for _ in range(count):
                text, at = _text(data, at)
                texts.append(text)
            values.append(texts)
    return values, at


def _text(data, at):
    (size,) = U16.unpack_from(data, at)
    at += 2
    if at + size > len(data):
        raise BadFrame("truncated")
    return bytes(data[at : at + size]).decode(), at + size


class Frame:
    """One kind of frame. Subclasses give `kind`, `fields`, `layout` and perhaps `row`."""

    kind = 0
    fields = ()
    layout = ""
    row = ""

    def __init__(self, *values):
        for name, value in zip(self.fields, values, strict=True):
            setattr(self, name, value)

    def __repr__(self):
        inside = " ".join(f"{name}={getattr(self, name)!r}" for name in self.fields)
        return f"<{type(self).__name__} {inside}>"

    def __eq__(self, other):
        return type(self) is type(other) and self.encode() == other.encode()

    __hash__ = None

    def encode(self):
        out = bytearray(HEAD.size)
        for letter, name in zip(self.layout, self.fields, strict=True):
            value = getattr(self, name)
            if letter == "R":
                out += U32.pack(len(value))
                for row in value:
                    _pack(self.row, row, out)
            else:
                _pack(letter, (value,), out)
        HEAD.pack_into(out, 0, len(out) - 4, self.kind)
        return bytes(out)

    @classmethod
    def parse(cls, data):
        at = 0
        values = []
        for letter in cls.layout:
            if letter == "R":
                (count,) = U32.unpack_from(data, at)
                at += 4
                rows = []
                for _ in range(count):
                    row, at = _unpack(cls.row, data, at)
                    rows.append(tuple(row))
                values.append(rows)
            else:
                value, at = _unpack(letter, data, at)
                values.append(value[0])
        if at != len(data):
            raise BadFrame("trailing bytes")
        return cls(*values)


class Hello(Frame):
    """First frame of a connection, from both sides."""

    kind, layout = 1, "sq"
    fields = ("label", "incarnation")


class Beat(Frame):
    """Sign of life: the term served, and whether the state service answers here."""

    kind, layout = 2, "q?"
    fields = ("term", "state_ok")


class TermNews(Frame):
    """The term record (CBOR) with its revision."""

    kind, layout = 3, "qb"
    fields = ("revision", "record")


class Demand(Frame):
    """A controller's idle-list length and what waits there, one row a shape."""

    kind, layout = 4, "qR"
    fields = ("length", "rows")
    row = "qdddq?sTdsds"  # urgency cpus gpus memory count spot zone types estimate class due_in image


class Grant(Frame):
    """Free room joins the receiver's idle list, or the room of a listed machine changed.

    `taken` counts the starts of this grant that the room already allows for.
    """

    kind, layout = 5, "sqqsss?dddTd"
    fields = ("machine", "serial", "taken", "type", "zone", "home", "spot", "cpus", "gpus",
              "memory", "images", "lapse_s")


class Return(Frame):
    """The receiver of a grant hands it back."""

    kind, layout = 6, "sqq"
    fields = ("machine", "serial", "length")


class Revoke(Frame):
    """The home takes a grant back."""

    kind, layout = 7, "sq"
    fields = ("machine", "serial")


class Start(Frame):
    """Start a task on granted room."""

    kind, layout = 8, "qsqsqqqdddsd?"
    fields = ("term", "machine", "serial", "job", "index", "attempt", "length", "cpus", "gpus",
              "memory", "image", "save_s", "saves")


class Refused(Frame):
    """The home did not take a start, and never will."""

    kind, layout = 9, "ssqq"
    fields = ("machine", "job", "index", "attempt")


class TaskState(Frame):
    """What a machine's newest report says of a task."""

    kind, layout = 10, "sssqqss?"
    fields = ("machine", "zone", "job", "index", "attempt", "status", "cause", "saved")


class Free(Frame):
    """An attempt is surely on no machine and can't come onto one any more."""

    kind, layout = 11, "ssqqs"
    fields = ("machine", "job", "index", "attempt", "cause")


class Stop(Frame):
    kind, layout = 12, "ssqqd"
    fields = ("machine", "job", "index", "attempt", "grace")


class Forget(Frame):
    kind, layout = 13, "ssqq"
    fields = ("machine", "job", "index", "attempt")


class Sync(Frame):
    """An owner names jobs it owns and attempts it believes bound to machines homed at the receiver."""

    kind, layout = 14, "qqTR"
    fields = ("term", "number", "jobs", "claims")
    row = "ssqq"  # machine job index attempt


class Synced(Frame):
    """All that the home knows of the jobs of a sync has been sent, and it knows all there is."""

    kind, layout = 15, "qq"
    fields = ("term", "number")


class CancelNews(Frame):
    """These jobs are durably cancelled."""

    kind, layout = 16, "T"
    fields = ("jobs",)


class HomeNews(Frame):
    """For the renter: machines homed at the sender, one row a machine type, zone and kind."""

    kind, layout = 17, "R"
    fields = ("rows",)
    row = "ss?qqddd"  # type zone spot machines idle free_cpus free_gpus free_memory


class Orphan(Frame):
    """A job was accepted that the receiver should own."""

    kind, layout = 19, "s"
    fields = ("job",)


class SummaryNews(Frame):
    """The sender's part of the summary: rows of classes, machines failing, duties behind."""

    kind, layout = 18, "RqT"
    fields = ("rows", "failing", "behind")
    row = "sqqqq"  # class open done late at_risk


KINDS = {cls.kind: cls for cls in Frame.__subclasses__()}


class Splitter:
    """Cuts a byte stream into frames."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        self._buffer += data

    def frames(self):
        """All whole frames so far. Raises BadFrame."""
        buffer = self._buffer
        at = 0
        found = []
        while len(buffer) - at >= HEAD.size:
            length, kind = HEAD.unpack_from(buffer, at)
            if not 1 <= length <= MAX_FRAME:
                raise BadFrame("length")
            if len(buffer) - at < 4 + length:
                break
            cls = KINDS.get(kind)
            if cls is None:
                raise BadFrame("kind")
            try:
                found.append(cls.parse(memoryview(buffer)[at + HEAD.size : at + 4 + length].tobytes()))
            except (struct.error, UnicodeDecodeError, IndexError) as error:
                raise BadFrame(str(error)) from None
            at += 4 + length
        del buffer[:at]
        return found
