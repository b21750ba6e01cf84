"""The format gate: which format of records may be written while controllers of several versions run.

What an older version could misread is written only once every configured controller was seen running a
version that knows it. The gate's record is durable, and the format in it only rises. A controller that ended
comes back as it was last seen, and one that was never seen counts as old. So a gate does not open just
because only new controllers are alive. No input or output here.
"""

GATE = "c/format"
FIRST_FORMAT = 3  # in force without a record: the format of the version before the gate


def next_record(record, labels, present, knows, now):
    """The record to be written next, or None if nothing changes.

    `record`: {"format": in force, "seen": {label: [format, since]}} or None; `labels`: the configured
    members; `present`: {label: format} of the controllers alive now; `knows`: the format of this process;
    `now`: the time of day in seconds.
    """
    format_in_force, seen = (record["format"], record["seen"]) if record is not None else (FIRST_FORMAT, {})
    if format_in_force >= knows:
        return None
    known_formats = {label: entry for label, entry in seen.items() if label in labels}
    for label in labels:
        # A controller that is away keeps the format that it was seen with. One that went back to the old
        # version counts as old again.
        if label in present and (label not in known_formats or known_formats[label][0] != present[label]):
            known_formats[label] = [present[label], round(now, 1)]
    lowest = min(known_formats.get(label, (0, 0))[0] for label in labels)
    if lowest > format_in_force and all(alive >= lowest for alive in present.values()):
        format_in_force = min(lowest, knows)
    new_record = {"format": format_in_force, "seen": known_formats}
    return None if record == new_record or (record is None and not known_formats) else new_record


class FormatGate:
    """What this process knows of the gate. `knows`: the newest format that it can read and write."""

    def __init__(self, knows, labels):
        self.knows = knows
        self._labels = sorted(labels)
        self.record = None
        self.stamp = 0

    def take(self, record, stamp):
        """Takes in the gate's record, read or watched at that revision, if it is newer."""
        if stamp > self.stamp:
            self.record, self.stamp = record, stamp

    @property
    def in_force(self):
        """The format in force."""
        return self.record["format"] if self.record is not None else FIRST_FORMAT

    @property
    def is_open(self):
        """Whether records of this version's newest format may be written."""
        return self.in_force == self.knows

    @property
    def is_outdated(self):
        """Whether the format in force is newer than this process knows, which must not touch records then."""
        return self.in_force > self.knows

    def members_not_updated(self):
        """Configured members not yet seen with the format of this process."""
        seen = self.record["seen"] if self.record is not None else {}
        return [label for label in self._labels if seen.get(label, (0, 0))[0] < self.knows]

    def next_record(self, present, now):
        """The record to be written next by this process, or None (see the function)."""
        return next_record(self.record, self._labels, present, self.knows, now)

    def describe(self, now):
        """The gate for operators: the format in force, and with which format each member was last seen."""
        seen = self.record["seen"] if self.record is not None else {}
        return {
            "format": self.in_force,
            "open": self.is_open,
            "knows": self.knows,
            "members": [
                {"label": label, "format": entry[0], "sinceS": round(now - entry[1], 1)}
                if (entry := seen.get(label))
                else {"label": label, "format": None, "sinceS": None}
                for label in self._labels
            ],
        }
