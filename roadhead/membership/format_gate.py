"""The gate: the format of records in force, raised once every configured controller was seen to know it.

What an older version could misread is written only behind it. The record is durable and only rises:
a controller that was seen, and ended, comes back as it was seen; one that ended before its turn comes
back old, so that those alive do not count alone. Pure decisions, and what this process knows.
"""

GATE = "c/format"
FIRST_FORMAT = 3  # in force where there is no record: that of the version before this gate


def next_record(record, labels, present, knows, now):
    """The record that may be written next, or None if there is nothing to change.

    `record`: {"format": in force, "seen": {label: [format, since]}} or None; `labels`: the configured
    members; `present`: {label: format} of those alive now; `knows`: the format of this process.
    """
    in_force, seen = (record["format"], record["seen"]) if record is not None else (FIRST_FORMAT, {})
    if in_force >= knows:
        return None
    known = {label: entry for label, entry in seen.items() if label in labels}
    for label in labels:
        # One that is not there keeps what it was seen with; one that went back to the old version counts
        # as old again.
        if label in present and (label not in known or known[label][0] != present[label]):
            known[label] = [present[label], round(now, 1)]
    least = min(known.get(label, (0, 0))[0] for label in labels)
    if least > in_force and all(there >= least for there in present.values()):
        in_force = min(least, knows)
    next_record = {"format": in_force, "seen": known}
    return None if record == next_record or (record is None and not known) else next_record


class FormatGate:
    """What this process knows of the gate. `knows`: the format that it writes behind it."""

    def __init__(self, knows, labels):
        self.knows = knows
        self._labels = sorted(labels)
        self.record = None
        self.stamp = 0

    def take(self, record, stamp):
        """The record as read, or seen by the watch."""
        if stamp > self.stamp:
            self.record, self.stamp = record, stamp

    @property
    def in_force(self):
        return self.record["format"] if self.record is not None else FIRST_FORMAT

    @property
    def is_open(self):
        """Whether all may write what this version is the first to know."""
        return self.in_force == self.knows

    @property
    def is_outdated(self):
        """Whether what is in force is newer than this process: it may touch nothing."""
        return self.in_force > self.knows

    def members_not_updated(self):
        """Configured members not seen with what this process knows."""
        seen = self.record["seen"] if self.record is not None else {}
        return [label for label in self._labels if seen.get(label, (0, 0))[0] < self.knows]

    def next_record(self, present, now):
        """As the function, for this process."""
        return next_record(self.record, self._labels, present, self.knows, now)

    def describe(self, now):
        """For operators: the format in force, and each configured member with what it was seen with."""
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
