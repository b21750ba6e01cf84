"""The term record: who serves, and each one's token. Pure values and functions."""

from hashlib import blake2b


class Term:
    """`members` maps a label to (incarnation, token, nonce).

    An incarnation is the token that its process took when it joined; tokens are never
    given twice. A changed set of labels renews every token, since machines change homes.
    The warden owns the jobs of all teams with a limit; it changes only with its incarnation.
    `relieved` members go on serving users and owning jobs, but are home to no machine: workers
    could not reach them. One member at least is a home.
    """

    __slots__ = ("_homes", "homes", "members", "next", "number", "relieved", "warden")

    def __init__(self, number=0, next_token=1, members=None, warden=None, relieved=()):
        self.number = number
        self.next = next_token
        self.members = members or {}
        self.warden = warden
        homes = [label for label in self.members if label not in relieved]
        self.relieved = frozenset(self.members).intersection(relieved) if homes else frozenset()
        self.homes = frozenset(homes or self.members)
        self._homes = {}

    @classmethod
    def from_record(cls, record):
        members = {label: tuple(entry) for label, entry in record["members"].items()}
        return cls(record["number"], record["next"], members, record["warden"],
                   record.get("relieved", ()))

    def to_record(self):
        return {
            "number": self.number,
            "next": self.next,
            "warden": self.warden,
            "relieved": sorted(self.relieved),
            "members": {label: list(entry) for label, entry in self.members.items()},
        }

    def _renewed(self, members, changed, relieved=None):
        """The next term with `members`; `changed` labels (or all) take a new token."""
        if relieved is None:
            relieved = self.relieved - changed
        if set(members) != set(self.members) or relieved != self.relieved:
            changed = set(members)
        token = self.next
        entries = {
            label: (incarnation, token if label in changed else old, nonce)
            for label, (incarnation, old, nonce) in members.items()
        }
        warden = self.warden
        if warden not in entries or self.incarnation(warden) != entries[warden][0]:
            warden = pick(entries, "warden")
        return Term(self.number + 1, token + 1, entries, warden, relieved)

    def join(self, label, nonce):
        members = dict(self.members)
        members[label] = (self.next, self.next, nonce)
        return self._renewed(members, {label})

    def drop(self, labels):
        members = {label: entry for label, entry in self.members.items() if label not in labels}
        return self._renewed(members, set())

    def raise_token(self, label):
        return self._renewed(dict(self.members), {label}, self.relieved)

    def relieve(self, label):
        """The label's machines get other homes; this term if that can't be."""
        if not self.homes - {label} or label not in self.homes:
            return self
        return self._renewed(dict(self.members), set(), self.relieved | {label})

    def restore(self, label):
        if label not in self.relieved:
            return self
        return self._renewed(dict(self.members), set(), self.relieved - {label})

    def incarnation(self, label):
        entry = self.members.get(label)
        return entry[0] if entry else None

    def token(self, label):
        return self.members[label][1]

    def serves(self, label, incarnation):
        return self.incarnation(label) == incarnation

    def home(self, machine):
        """The label of the machine's home: rendezvous hash over the members."""
        home = self._homes.get(machine)
        if home is None:
            if len(self._homes) > 10000:
                self._homes.clear()
            home = self._homes[machine] = pick(self.homes, machine)
        return home

    def heir(self, job, label, limited):
        """Who takes over a job of a dropped incarnation of `label`."""
        if limited:
            return self.warden
        return label if label in self.members else pick(self.members, job)


def pick(labels, name):
    """Rendezvous hash: the label that weighs most for `name`."""
    data = name.encode()
    return max(
        labels,
        key=lambda label: blake2b(data, digest_size=8, key=label.encode()[:64]).digest(),
        default=None,
    )
