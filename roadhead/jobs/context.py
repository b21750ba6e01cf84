"""What the parts of the job store share."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class OwnerContext:
    """The surroundings of the jobs that a controller owns.

    `send(label, frame)` sends to a controller, this one included; `changed()` says that something may be
    placed; `count(name)` counts an event; `time_of_day()` in seconds since the epoch; `lease_s` of workers.
    """

    loop: Any
    member: Any
    send: Callable
    changed: Callable
    count: Callable
    time_of_day: Callable
    lease_s: float
