"""The dependencies that the parts of the job store share."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class OwnerContext:
    """The surroundings of the jobs that a controller owns.

    Attributes:
        loop: the event loop.
        member: this controller's membership.
        send: `send(label, frame)` sends a frame to a controller, this one included.
        changed: called when a task may have become placeable.
        count: `count(name)` counts an event.
        time_of_day: returns seconds since the epoch.
        lease_s: length of the workers' lease in seconds.
    """

    loop: Any
    member: Any
    send: Callable
    changed: Callable
    count: Callable
    time_of_day: Callable
    lease_s: float
