"""The messages of the HTTP interfaces: CBOR maps, as typed structs with our own field names."""

import io
import math
import re

import cbor2
import msgspec
from msgspec import Struct, field

JOB_ID = re.compile(r"req-[0-9]{1,30}\Z")
URGENCIES = ("critical", "high", "standard", "low")
MAX_TASKS = 100_000
MAX_AMOUNT = float(2**63)
MAX_COUNT = 2**64
MAP_TYPE, INDEFINITE_MAP, BREAK = 5, 0xBF, 0xFF  # CBOR: major type, first byte, byte that ends it


class InvalidMessageError(Exception):
    """A body that is not what the protocol asks for."""


def decode(body):
    """Any CBOR value."""
    try:
        return cbor2.loads(body)
    except Exception as error:  # the decoder raises many kinds for garbage
        raise InvalidMessageError(f"not CBOR: {error}") from None


def decode_map(body):
    value = decode(body)
    if type(value) is not dict:
        raise InvalidMessageError("not a map")
    return value


def decode_strict_map(body):
    """A map that is all of the body and has each key once. Raises Invalid.

    The decoder lets the last of two equal keys win and leaves bytes behind the value unread; another
    decoder may do otherwise, and controllers of different versions have to answer alike.
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
    """The number of pairs of the map that the stream begins with, which is read to its end."""
    head = stream.read(1)[0]
    if head == INDEFINITE_MAP:
        pairs = 0
        while stream.getvalue()[stream.tell()] != BREAK:
            decoder.decode(), decoder.decode()
            pairs += 1
        stream.read(1)
        return pairs
    if head >> 5 != MAP_TYPE:
        raise ValueError("a tagged map")
    short = head & 0x1F
    pairs = short if short < 24 else int.from_bytes(stream.read(1 << (short - 24)), "big")
    for _ in range(2 * pairs):
        decoder.decode()
    return pairs


encode = cbor2.dumps


def decode_as(body, kind):
    """The body as a struct of type `kind`."""
    return parse(decode_map(body), kind)


def parse(value, kind):
    try:
        return msgspec.convert(value, kind)
    except (msgspec.ValidationError, ValueError, TypeError, OverflowError) as error:
        raise InvalidMessageError(str(error)) from None


def write(struct):
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
    upstream: list[str] | None = None  # jobs to be done before any task of this one starts

    def check(self):
        """Raises Invalid for values that no job can have."""
        if not JOB_ID.match(self.id):
            raise InvalidMessageError("id")
        # A group's tasks are of use only together: on their machines they wait for one another.
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
            if not (math.isfinite(amount) and 0 <= amount < MAX_AMOUNT):
                raise InvalidMessageError("amount out of range")
        for text in (self.klass, self.team, self.image or "", self.zone or "", *(self.types or ())):
            if len(text) > 200:
                raise InvalidMessageError("text too long")
        for name in self.upstream or ():
            if not JOB_ID.match(name):
                raise InvalidMessageError(f"upstream: {name[:40]!r} is no job id")


class TaskReport(Struct, rename={"task": "leg", "attempt": "try"}):
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
        for count in (self.session, self.sequence, self.token):
            if not 0 <= count < MAX_COUNT:
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
    id: str
    address: str
    type: str
    zone: str
    spot: bool
    status: str
    age_s: float = 0.0


class MachineList(Struct, rename={"machines": "drovers", "more": "hasNext"}):
    machines: list[ListedMachine]
    more: bool = False


class RentedMachines(Struct, rename={"machines": "drovers"}):
    machines: list[str] = field(default_factory=list)


def task_name(job, index):
    return f"{job}/{index}"


def split_task(name):
    """(job id, index) of a task's name; Invalid if it has another form."""
    job, slash, index = name.rpartition("/")
    if not slash or not index.isdigit() or len(index) > 9:
        raise InvalidMessageError("task name")
    return job, int(index)


def launch(job, index, attempt):
    return {"verb": "launch", "leg": task_name(job, index), "try": attempt}


def stop(job, index, attempt, grace):
    return {"verb": "stop", "leg": task_name(job, index), "try": attempt, "letgoS": grace}


def forget(job, index, attempt):
    return {"verb": "forget", "leg": task_name(job, index), "try": attempt}


def commands(token, session, orders):
    return cbor2.dumps({"brand": token, "stint": session, "orders": orders})


def report_answer(token, orders):
    return cbor2.dumps({"brand": token, "orders": orders})


def redirect(label):
    return cbor2.dumps({"boss": label} if label else {})


def job_status(job, status, done=None, running=None, waits_for=()):
    answer = {"id": job, "status": status}
    if waits_for:
        answer["waitsFor"] = list(waits_for)
    if done is not None:
        answer["done"] = done
        answer["running"] = running or 0
    return cbor2.dumps(answer)


def error(text):
    return cbor2.dumps({"error": text})
