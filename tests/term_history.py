"""What must hold of all terms and formats that were in force: incarnations, tokens, creations, the gate."""

from roadhead.jobs.job import KEY, NOBODY
from roadhead.membership.format_gate import FIRST_FORMAT, GATE
from roadhead.membership.member import TERM
from roadhead.membership.term import Term


class TermHistory:
    """All terms that were in force, from the log of the state service, and what must hold of them."""

    def __init__(self, world):
        self.faults = []
        self.joins = 0
        self._incarnations = {}  # incarnation -> (label, nonce)
        self._tokens = {}  # (share, token) -> (home, its incarnation)
        self._newest = {}  # share -> token
        self._term = Term()
        self._format = FIRST_FORMAT
        known_jobs = set()
        for event in world.state.log:
            key = event.get("put", "")
            if key == TERM:
                self._take(event["data"])
            elif key == GATE:
                self._raise_format(event["data"])
            elif key.startswith(KEY) and event["data"]["s"] == "open" and key not in known_jobs:
                known_jobs.add(key)
                self._created(key, event["data"])

    def _take(self, record):
        term = Term.from_record(record)
        for label, (incarnation, _token, nonce) in term.members.items():
            if incarnation not in self._incarnations:
                self.joins += 1
            if self._incarnations.setdefault(incarnation, (label, nonce)) != (label, nonce):
                self.faults.append(f"incarnation {incarnation} is given twice")
        self._term = term
        if term.shard_map is None:
            return
        for shard, (home, token) in enumerate(
            zip(term.shard_map.leaders, term.shard_map.tokens, strict=True)
        ):
            holder = (home, term.incarnation(home))
            if self._tokens.setdefault((shard, token), holder) != holder:
                self.faults.append(f"token {token} of share {shard} is given twice")
            if token < self._newest.get(shard, 0):
                self.faults.append(f"the token of share {shard} falls to {token}")
            self._newest[shard] = token

    def _raise_format(self, record):
        if record["format"] < self._format:
            self.faults.append(f"the format in force falls to {record['format']}")
        self._format = record["format"]

    def _created(self, key, record):
        owner = tuple(record["o"])
        if owner != NOBODY and not self._term.serves(*owner):
            self.faults.append(f"{key} is created by {owner}, whom no term names")
