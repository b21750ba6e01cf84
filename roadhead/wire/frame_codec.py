"""The binary form of frames that controllers exchange, packed with `struct`.

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
KINDS = {}  # number of a kind -> its Frame class
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
        KINDS[cls.kind] = cls
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
