"""A machine on the idle list of a controller: what it may start there until the grant lapses."""

from roadhead.machines.fitting import fits, tasks_per_machine


class GrantedMachine:
    """A granted machine: an entry of the idle list, here called a listing.

    `free`: the free (cpus, gpus, memory); `serial`: the grant's number; `until`: when the grant lapses;
    `taken`: how many starts the leader has subtracted from the room it last reported; `unacked`: needs of the
    starts sent since, which are subtracted here; `slots`: how many further tasks its report has room for.
    """

    __slots__ = (
        "free",
        "id",
        "images",
        "leader",
        "serial",
        "slots",
        "spot",
        "taken",
        "type",
        "unacked",
        "until",
        "zone",
    )

    def __init__(self, frame, until):
        self.id = frame.machine
        self.leader = frame.leader
        self.serial = frame.serial
        self.type = frame.type
        self.zone = frame.zone
        self.spot = frame.spot
        self.images = set()
        self.taken = 0
        self.unacked = []
        self.free = (0.0, 0.0, 0.0)
        self.slots = 0
        self.until = until

    def update(self, frame, until):
        """Takes over the room that a newer Grant frame reports, less the starts that it doesn't include."""
        del self.unacked[: max(0, frame.taken - self.taken)]
        self.taken = max(self.taken, frame.taken)
        self.until = until
        self.images = set(frame.images)
        self.free = (frame.cpus, frame.gpus, frame.memory)
        self.slots = frame.slots
        for need in self.unacked:
            self._use(need)

    def _use(self, need):
        """Subtracts a task's need from the room."""
        self.slots -= 1
        self.free = tuple(free - part for free, part in zip(self.free, need, strict=True))

    def fits(self, need):
        """Whether the machine has room for a task of that need."""
        return self.slots > 0 and fits(need, self.free)

    def room_for(self, need):
        """Returns how many tasks of that need the machine has room for."""
        return tasks_per_machine(need, self.free, self.slots)

    def take(self, need):
        """Records a start that the shard leader has yet to confirm."""
        self.unacked.append(need)
        self._use(need)
