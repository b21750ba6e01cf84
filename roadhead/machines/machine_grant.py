"""The grant of a machine's free capacity to one controller, as the shard leader tracks it."""


class MachineGrant:
    """To which controller's idle list a machine's free capacity is granted.

    Attributes:
        holder: label of that controller, None while the capacity is granted to nobody.
        serial: number of the newest grant; starts and returns name the one that they belong to.
        taken: starts taken under it so far.
        sent: (serial, taken, free capacity) as last told to the holder.
        lapses_at: time of the loop, in seconds, from which the grant ends if it isn't used.
        declined_demands: label -> serial of its demand that had no use for the capacity.
    """

    __slots__ = ("declined_demands", "holder", "lapses_at", "sent", "serial", "taken")

    def __init__(self):
        self.holder = None
        self.serial = 0
        self.taken = 0
        self.sent = None
        self.lapses_at = 0.0
        self.declined_demands = {}

    def begin(self, holder, serial):
        """Grants the capacity to a controller, under a new number."""
        self.holder = holder
        self.serial = serial
        self.taken = 0
        self.sent = None

    def is_held(self, label, serial):
        """Whether the grant of that number is the controller's and still stands."""
        return self.holder == label and self.serial == serial
