"""The term record: who serves, and each one's token. Pure values and functions."""

from hashlib import blake2b


class Term:
    """`members` maps a label to (incarnation, token, nonce).

    An incarnation is the token that its process took when it joined; tokens are never
    given twice. A changed set of labels renews every token, since machines change homes.
    A warden owns the jobs of the teams with a limit that fall to one of its slots, by hash of their
    group; a slot changes hands only with its warden's incarnation, so that nothing else stands
    still for a takeover. There is one slot, or as many as a hosted service spreads its tenants over.
    `relieved` members go on serving users and owning jobs, but are home to no machine: workers
    could not reach them. One member at least is a home.
    """

    __slots__ = ("_homes", "homes", "members", "next", "number", "relieved", "wardens")

    def __init__(self, number=0, next_token=1, members=None, wardens=(None,), relieved=()):
        self.number = number
        self.next = next_token
        self.members = members or {}
        self.wardens = tuple(wardens)
        homes = [label for label in self.members if label not in relieved]
        self.relieved = frozenset(self.members).intersection(relieved) if homes else frozenset()
        self.homes = frozenset(homes or self.members)
        self._homes = {}

    @classmethod
    def from_record(cls, record):
        members = {label: tuple(entry) for label, entry in record["members"].items()}
        wardens = record.get("wardens") or [record["warden"]]
        return cls(record["number"], record["next"], members, wardens, record.get("relieved", ()))

    def to_record(self):
        return {
            "number": self.number,
            "next": self.next,
            "warden": self.wardens[0],
            **({"wardens": list(self.wardens)} if len(self.wardens) > 1 else {}),
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
        return Term(self.number + 1, token + 1, entries, self._heirs(entries), relieved)

    def _heirs(self, entries):
        """The wardens among the next term's members: slots of those gone go to who has fewest."""
        wardens = [label if label in entries and self.incarnation(label) == entries[label][0] else None
                   for label in self.wardens]
        for slot, label in enumerate(wardens):
            if label is None and entries:
                fewest = min(wardens.count(member) for member in entries)
                wardens[slot] = pick(
                    [member for member in entries if wardens.count(member) == fewest],
                    f"warden {slot}" if slot else "warden")
        return wardens

    def spread(self, slots):
        """This term with that many slots, where it has fewer: those added have yet to be given out."""
        if len(self.wardens) >= slots:
            return self
        wardens = [*self.wardens, *[None] * (slots - len(self.wardens))]
        return Term(self.number, self.next, self.members, wardens, self.relieved)

    def give(self, slots):
        """The next term, in which each slot of `slots` has the warden named there."""
        wardens = [slots.get(slot, label) for slot, label in enumerate(self.wardens)]
        return Term(self.number + 1, self.next, self.members, wardens, self.relieved)

    def warden(self, group):
        """The label of the warden of a group of teams with a limit."""
        return self.wardens[self.slot(group)]

    def slot(self, group):
        if len(self.wardens) == 1:
            return 0
        number = int.from_bytes(blake2b(group.encode(), digest_size=4).digest(), "big")
        return number % len(self.wardens)

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

    def heir(self, job, label, group):
        """Who takes over a job of a dropped incarnation of `label`; `group`: of a limited team."""
        if group is not None:
            return self.warden(group)
        return label if label in self.members else pick(self.members, job)


def pick(labels, name):
    """Rendezvous hash: the label that weighs most for `name`."""
    data = name.encode()
    return max(
        labels,
        key=lambda label: blake2b(data, digest_size=8, key=label.encode()[:64]).digest(),
        default=None,
    )
