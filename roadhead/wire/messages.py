"""Messages of the HTTP interfaces: CBOR maps as typed structs.

Field names in Python differ from those on the wire; `rename` maps one to the other.
"""

import io
import math
import re

import cbor2
import msgspec
from msgspec import Struct, field

JOB_ID = re.compile(r"req-[0-9]{1,30}\Z")
URGENCIES = ("critical", "high", "standard", "low")
MAX_TASKS = 100_000
AMOUNT_LIMIT = float(2**63)
COUNT_LIMIT = 2**64
CBOR_MAP_TYPE, CBOR_INDEFINITE_MAP, CBOR_BREAK = 5, 0xBF, 0xFF  # major type, initial byte, end marker


class InvalidMessageError(Exception):
    """A body or value that violates the protocol. The text is sent to the client."""


def decode(body):
    """Decodes a CBOR value of any type. Raises InvalidMessageError."""
    try:
        return cbor2.loads(body)
    except Exception as error:  # cbor2 raises exceptions of many types for malformed input
        raise InvalidMessageError(f"not CBOR: {error}") from None


def decode_map(body):
    """Decodes a CBOR map. Raises InvalidMessageError."""
    value = decode(body)
    if type(value) is not dict:
        raise InvalidMessageError("not a map")
    return value


def decode_strict_map(body):
    """Decodes a CBOR map with unique keys that spans the whole body. Raises InvalidMessageError.

    cbor2 keeps the last of two equal keys and ignores bytes after the value. Another decoder may behave
    differently, and controllers of different versions must give the same answer.
    """
    value = decode_map(body)
    stream = io.BytesIO(body)
    decoder = cbor2.CBORDecoder(stream)
    try:
        pairs = _read_pairs(decoder, stream)
    except Exception as error:  # as in `decode`
        raise InvalidMessageError(f"not CBOR: {error}") from None
    if pairs != len(value):
        raise InvalidMessageError("a field more than once")
    if stream.tell() != len(body):
        raise InvalidMessageError("bytes after the map")
    return value


def _read_pairs(decoder, stream):
    """Reads the map at the start of the stream to its end; returns the number of its key-value pairs."""
    initial_byte = stream.read(1)[0]
    if initial_byte == CBOR_INDEFINITE_MAP:
        pairs = 0
        while stream.getvalue()[stream.tell()] != CBOR_BREAK:
            decoder.decode(), decoder.decode()
            pairs += 1
        stream.read(1)
        return pairs
    if initial_byte >> 5 != CBOR_MAP_TYPE:
        raise ValueError("a tagged map")
    additional_info = initial_byte & 0x1F
    pairs = (
        additional_info
        if additional_info < 24
        else int.from_bytes(stream.read(1 << (additional_info - 24)), "big")
    )
    for _ in range(2 * pairs):
        decoder.decode()
    return pairs


encode = cbor2.dumps


def decode_as(body, struct_type):
    """Decodes a body into a struct of type `struct_type`. Raises InvalidMessageError."""
    return parse(decode_map(body), struct_type)


def parse(value, struct_type):
    """Converts a decoded value into a struct of type `struct_type`. Raises InvalidMessageError."""
    try:
        return msgspec.convert(value, struct_type)
    except (msgspec.ValidationError, ValueError, TypeError, OverflowError) as error:
        raise InvalidMessageError(str(error)) from None


def encode_struct(struct):
    """Encodes a struct as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(struct))


class JobSpec(
    Struct,
    frozen=True,
    omit_defaults=True,
    rename={
        "klass": "jobclass",
        "team": "crew",
        "kind": "shape",
        "tasks": "legs",
        "cpus": "vcpus",
        "memory": "ramGb",
        "image": "kit",
        "image_gb": "sizeGb",
        "types": "rigs",
        "zone": "paddock",
        "one_zone": "together",
        "spread": "scatter",
        "spot": "loaners",
        "estimate_s": "expectS",
        "checkpoint_s": "musterS",
        "save_s": "stowS",
        "due_s": "dueS",
    },
):
    """A job as submitted. Amounts are per task.

    Durations are in seconds, `memory` and `image_gb` in gigabytes.
    """

    id: str
    klass: str
    team: str
    kind: str
    urgency: str
    tasks: int
    cpus: float
    gpus: float
    memory: float
    image_gb: float
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    image: str | None = None
    types: list[str] | None = None
    zone: str | None = None
    due_s: float | None = None
    upstream: list[str] | None = None  # ids of jobs that must be done before any task of this one starts

    def check(self):
        """Raises InvalidMessageError for values that no job can have."""
        if not JOB_ID.match(self.id):
            raise InvalidMessageError("id")
        # The tasks of a group are gang-scheduled: those started first wait on their machines for the others.
        if self.kind not in ("batch", "daemon", "group"):
            raise InvalidMessageError("shape")
        if self.urgency not in URGENCIES:
            raise InvalidMessageError("urgency")
        if not 1 <= self.tasks <= MAX_TASKS:
            raise InvalidMessageError("legs")
        amounts = (
            self.cpus,
            self.gpus,
            self.memory,
            self.image_gb,
            self.estimate_s,
            self.checkpoint_s,
            self.save_s,
            self.due_s or 0.0,
        )
        for amount in amounts:
            if not (math.isfinite(amount) and 0 <= amount < AMOUNT_LIMIT):
                raise InvalidMessageError("amount out of range")
        for text in (self.klass, self.team, self.image or "", self.zone or "", *(self.types or ())):
            if len(text) > 200:
                raise InvalidMessageError("text too long")
        for name in self.upstream or ():
            if not JOB_ID.match(name):
                raise InvalidMessageError(f"upstream: {name[:40]!r} is no job id")


class TaskReport(Struct, rename={"task": "leg", "attempt": "try"}):
    """State of one attempt of a task in a worker's report."""

    task: str
    attempt: int
    status: str
    cause: str | None = None
    saved: bool | None = None


class Report(
    Struct,
    rename={
        "machine": "drover",
        "address": "endpoint",
        "type": "rig",
        "zone": "paddock",
        "spot": "loaners",
        "session": "stint",
        "sequence": "tally",
        "token": "brand",
        "notice_s": "recallS",
        "tasks": "legs",
    },
):
    """A worker's report: its machine, its lease identity (session, sequence, fencing token) and its tasks.

    `notice_s` is the time left until the cloud takes a spot machine back.
    """

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    session: int
    sequence: int
    token: int
    tasks: list[TaskReport]
    notice_s: float | None = None

    def check(self):
        """Raises InvalidMessageError for numbers that don't fit an unsigned 64-bit integer."""
        for count in (self.session, self.sequence, self.token):
            if not 0 <= count < COUNT_LIMIT:
                raise InvalidMessageError("count out of range")


class MachineType(
    Struct,
    rename={
        "cpus": "vcpus",
        "memory": "ramGb",
        "cache_gb": "cacheGb",
        "fetch_gb_per_s": "fetchGbPerS",
        "spot_price": "marketPrice",
        "boot_s": "startupS",
        "zones": "paddocks",
    },
):
    """A machine type offered by the cloud: its resources, price and boot time."""

    name: str
    cpus: float
    memory: float
    price: float
    zones: list[str]
    gpus: float = 0.0
    cache_gb: float = 0.0
    fetch_gb_per_s: float = 0.0
    spot_price: float | None = None
    boot_s: float = 60.0


class Catalogue(Struct, rename={"types": "rigs"}):
    """The cloud's catalogue of machine types."""

    types: list[MachineType]


class ListedMachine(
    Struct,
    rename={
        "address": "endpoint",
        "type": "rig",
        "zone": "paddock",
        "spot": "loaners",
        "age_s": "ageS",
    },
):
    """A machine in the cloud's list."""

    id: str
    address: str
    type: str
    zone: str
    spot: bool
    status: str
    age_s: float = 0.0


class MachineList(Struct, rename={"machines": "drovers", "more": "hasNext"}):
    """One page of the cloud's list of machines; `more` says whether another follows."""

    machines: list[ListedMachine]
    more: bool = False


class RentedMachines(Struct, rename={"machines": "drovers"}):
    """Ids of the machines that a rental request created."""

    machines: list[str] = field(default_factory=list)


def task_name(job, index):
    """Returns the wire name of a task."""
    return f"{job}/{index}"


def split_task(name):
    """Returns (job id, index) from a task's name. Raises InvalidMessageError for any other form."""
    job, slash, index = name.rpartition("/")
    if not slash or not index.isdigit() or len(index) > 9:
        raise InvalidMessageError(f"task name {name[:60]!r} is not JOB/INDEX")
    return job, int(index)


def launch(job, index, attempt):
    """Returns the command that launches an attempt."""
    return {"verb": "launch", "leg": task_name(job, index), "try": attempt}


def stop(job, index, attempt, grace):
    """Returns the command that stops an attempt, with `grace` seconds to save its state."""
    return {"verb": "stop", "leg": task_name(job, index), "try": attempt, "letgoS": grace}


def forget(job, index, attempt):
    """Returns the command that makes a worker drop an ended attempt from its reports."""
    return {"verb": "forget", "leg": task_name(job, index), "try": attempt}


def commands(token, session, orders):
    """Encodes commands pushed to a worker, with the fencing token and the session they are valid for."""
    return cbor2.dumps({"brand": token, "stint": session, "orders": orders})


def report_answer(token, orders):
    """Encodes the answer to a report: the fencing token that renews the lease, and commands."""
    return cbor2.dumps({"brand": token, "orders": orders})


def redirect(label):
    """Encodes a redirection to the controller `label`, or an empty one if no controller is known."""
    return cbor2.dumps({"boss": label} if label else {})


def job_status(job, status, done=None, running=None, waits_for=()):
    """Encodes a job's status; `waits_for` lists the upstream jobs that it still waits for."""
    answer = {"id": job, "status": status}
    if waits_for:
        answer["waitsFor"] = list(waits_for)
    if done is not None:
        answer["done"] = done
        answer["running"] = running or 0
    return cbor2.dumps(answer)


def error(text):
    """Encodes an error answer."""
    return cbor2.dumps({"error": text})
