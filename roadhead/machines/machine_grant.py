"""The grant of a machine's free capacity to one controller, as the shard leader tracks it."""

from dataclasses import dataclass


@dataclass(slots=True)
class Decline:
    """How often a controller has returned the machine's capacity while this version of a row waited there.

    `paused_until`: time of the loop, in seconds, before which the row isn't offered the machine again.
    """

    version: int
    times: int
    paused_until: float


class MachineGrant:
    """To which controller's idle list a machine's free capacity is granted.

    Attributes:
        holder: label of that controller, None while the capacity is granted to nobody.
        serial: number of the newest grant; starts and returns name the one that they belong to.
        taken: starts taken under it so far.
        sent: (serial, taken, free capacity) as last told to the holder.
        lapses_at: time of the loop, in seconds, from which the grant ends if it isn't used.
        declines: {label: {key of a DemandRow: Decline}} since the machine last changed.
    """

    __slots__ = ("declines", "holder", "lapses_at", "sent", "serial", "taken")

    def __init__(self):
        self.holder = None
        self.serial = 0
        self.taken = 0
        self.sent = None
        self.lapses_at = 0.0
        self.declines = {}

    def begin(self, holder, serial):
        """Grants the capacity to a controller, under a new number."""
        self.holder = holder
        self.serial = serial
        self.taken = 0
        self.sent = None

    def is_held(self, label, serial):
        """Whether the grant of that number is the controller's and still stands."""
        return self.holder == label and self.serial == serial

    def decline(self, label, rows, paused_until):
        """Records that a controller had no use for the capacity, into which a task of each of `rows` fits."""
        declines = self.declines.setdefault(label, {})
        for row in rows:
            times = self._times_declined(declines, row)
            declines[row.key] = Decline(row.version, times + 1, paused_until)

    def is_paused(self, label, row, now):
        """Whether the capacity was lately declined for the row, which hasn't changed since."""
        decline = self.declines.get(label, {}).get(row.key)
        return decline is not None and decline.version == row.version and now < decline.paused_until

    def times_declined(self, label, rows):
        """Returns how often the capacity was declined for that of the rows for which it was most often."""
        declines = self.declines.get(label)
        return max((self._times_declined(declines, row) for row in rows), default=0) if declines else 0

    @staticmethod
    def _times_declined(declines, row):
        decline = declines.get(row.key)
        return decline.times if decline is not None and decline.version == row.version else 0
