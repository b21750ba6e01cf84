"""Kinds of writes of controllers and gateways to the state service, distinguished by a transaction's keys."""

from collections.abc import Callable
from dataclasses import dataclass

from roadhead.jobs.job import ARCHIVE, RECORD_PREFIX
from roadhead.membership.format_gate import GATE
from roadhead.membership.member import CANCEL, MEMBER, TENANT, TERM
from roadhead.pipelines.upstream_parts import PARTS_PREFIX


@dataclass(frozen=True, slots=True)
class Write:
    """A write request to the state service, with what is needed to tell its kind."""

    path: str
    conditions: dict  # key -> stamp
    puts: dict  # key -> value
    deletes: frozenset
    stored: Callable  # key -> the value stored now, or None

    def puts_under(self, prefix):
        """Returns the (key, value) pairs put under a prefix."""
        return [(key, value) for key, value in self.puts.items() if key.startswith(prefix)]

    def deletes_under(self, prefix):
        """Returns whether a key under a prefix is deleted."""
        return any(key.startswith(prefix) for key in self.deletes)

    def rewritten_open_jobs(self):
        """Returns (stored value, new value) of each record of an open job that is rewritten."""
        return [
            (old, new)
            for key, new in self.puts_under(RECORD_PREFIX)
            if new["s"] == "open" and (old := self.stored(key)) is not None and old["s"] == "open"
        ]

    def completed_jobs(self):
        """Returns the ids of open jobs that this write makes done, in their records or in the archive."""
        return {
            key[len(prefix) :]
            for prefix in (RECORD_PREFIX, ARCHIVE)
            for key, new in self.puts_under(prefix)
            if new["s"] == "done"
            and (self.stored(RECORD_PREFIX + key[len(prefix) :]) or {}).get("s") == "open"
        }

    def changes_term(self, field):
        """Returns whether only the term is written and the given field of it changes."""
        if set(self.puts) != {TERM} or self.deletes or any(key.startswith(MEMBER) for key in self.conditions):
            return False
        return self.puts[TERM].get(field) != (self.stored(TERM) or {}).get(field)


def _moves_shards(write):
    return write.changes_term("shares") and not write.changes_term("relieved")


KINDS = {
    "creation": lambda write: any(
        write.conditions.get(key) == 0 for key, _ in write.puts_under(RECORD_PREFIX)
    ),
    "end": lambda write: bool(write.completed_jobs()),
    "cancellation": lambda write: bool(write.puts_under(CANCEL)),
    "progress": lambda write: any(
        len(new["done"]) and old["o"] == new["o"] for old, new in write.rewritten_open_jobs()
    ),
    "adoption": lambda write: any(old["o"] != new["o"] for old, new in write.rewritten_open_jobs()),
    "release": lambda write: any(
        "rel" in new and "rel" not in old for old, new in write.rewritten_open_jobs()
    ),
    "mark dropped": lambda write: write.deletes_under(CANCEL),
    "archive": lambda write: len(write.puts_under(ARCHIVE)) > len(write.completed_jobs()),
    "join": lambda write: TERM in write.puts and bool(write.puts_under(MEMBER)),
    "drop": lambda write: TERM in write.puts and any(key.startswith(MEMBER) for key in write.conditions),
    "leave": lambda write: TERM in write.puts and write.deletes_under(MEMBER),
    "move": _moves_shards,
    "relief": lambda write: write.changes_term("relieved"),
    "gate": lambda write: GATE in write.puts,
    "entry": lambda write: bool(write.puts_under(MEMBER)) and TERM not in write.puts,
    "lease": lambda write: write.path == "/leases",
    "renewal": lambda write: write.path.endswith("/touch"),
    "parts": lambda write: bool(write.puts_under(PARTS_PREFIX)),
    "parts collected": lambda write: write.deletes_under(PARTS_PREFIX),
    "tenant": lambda write: bool(write.puts_under(TENANT)),
    "tenant removed": lambda write: (
        bool(write.deletes) and not write.puts and write.deletes_under((RECORD_PREFIX, ARCHIVE))
    ),
}
