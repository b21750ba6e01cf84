"""What controllers and gateways write to the state service, told apart by the keys of a transaction."""

from collections.abc import Callable
from dataclasses import dataclass

from roadhead.jobs.job import ARCHIVE, KEY
from roadhead.membership.format_gate import GATE
from roadhead.membership.member import CANCEL, MEMBER, TENANT, TERM
from roadhead.pipelines.upstream_parts import PARTS


@dataclass(frozen=True, slots=True)
class Write:
    """A request to the state service that changes something, as its kinds are told apart."""

    path: str
    conditions: dict  # key -> stamp
    puts: dict  # key -> value
    drops: frozenset
    stored: Callable  # key -> the value stored now, or None

    def puts_under(self, prefix):
        return [(key, value) for key, value in self.puts.items() if key.startswith(prefix)]

    def drops_under(self, prefix):
        return any(key.startswith(prefix) for key in self.drops)

    def replaced(self):
        """(the value stored, the value put) of each record of an open job that is written anew."""
        return [
            (old, new)
            for key, new in self.puts_under(KEY)
            if new["s"] == "open" and (old := self.stored(key)) is not None and old["s"] == "open"
        ]

    def ended(self):
        """Ids of open jobs that are done by this write, wherever their final records are put."""
        return {
            key[len(prefix) :]
            for prefix in (KEY, ARCHIVE)
            for key, new in self.puts_under(prefix)
            if new["s"] == "done" and (self.stored(KEY + key[len(prefix) :]) or {}).get("s") == "open"
        }

    def changes_term(self, field):
        """Whether only the term is written, and that field of it changes."""
        if set(self.puts) != {TERM} or self.drops or any(key.startswith(MEMBER) for key in self.conditions):
            return False
        return self.puts[TERM].get(field) != (self.stored(TERM) or {}).get(field)


def _moves_shares(write):
    return write.changes_term("shares") and not write.changes_term("relieved")


KINDS = {
    "creation": lambda w: any(w.conditions.get(key) == 0 for key, _ in w.puts_under(KEY)),
    "end": lambda w: bool(w.ended()),
    "cancellation": lambda w: bool(w.puts_under(CANCEL)),
    "progress": lambda w: any(len(new["done"]) and old["o"] == new["o"] for old, new in w.replaced()),
    "adoption": lambda w: any(old["o"] != new["o"] for old, new in w.replaced()),
    "release": lambda w: any("rel" in new and "rel" not in old for old, new in w.replaced()),
    "mark dropped": lambda w: w.drops_under(CANCEL),
    "archive": lambda w: len(w.puts_under(ARCHIVE)) > len(w.ended()),
    "join": lambda w: TERM in w.puts and bool(w.puts_under(MEMBER)),
    "drop": lambda w: TERM in w.puts and any(key.startswith(MEMBER) for key in w.conditions),
    "leave": lambda w: TERM in w.puts and w.drops_under(MEMBER),
    "move": _moves_shares,
    "relief": lambda w: w.changes_term("relieved"),
    "gate": lambda w: GATE in w.puts,
    "entry": lambda w: bool(w.puts_under(MEMBER)) and TERM not in w.puts,
    "lease": lambda w: w.path == "/leases",
    "renewal": lambda w: w.path.endswith("/touch"),
    "parts": lambda w: bool(w.puts_under(PARTS)),
    "parts collected": lambda w: w.drops_under(PARTS),
    "tenant": lambda w: bool(w.puts_under(TENANT)),
    "tenant removed": lambda w: bool(w.drops) and not w.puts and w.drops_under((KEY, ARCHIVE)),
}
