"""Checks invariants over all terms and record formats that were in force during a simulated run."""

from roadhead.jobs.job import NO_OWNER, RECORD_PREFIX
from roadhead.membership.format_gate import FIRST_FORMAT, GATE
from roadhead.membership.member import TERM
from roadhead.membership.term import Term


class TermHistory:
    """Checks all terms and format gates in the log of the state service.

    Incarnations and (shard, fencing token) pairs are unique, tokens and formats never decrease, and only
    members of the term in force create jobs. `faults`: violations. `joins`: number of joins of members.
    """

    def __init__(self, world):
        self.faults = []
        self.joins = 0
        self._incarnations = {}  # incarnation -> (label, nonce)
        self._tokens = {}  # (shard, token) -> (leader, its incarnation)
        self._newest = {}  # shard -> token
        self._term = Term()
        self._format = FIRST_FORMAT
        known_jobs = set()
        for event in world.state.log:
            key = event.get("put", "")
            if key == TERM:
                self._check_term(event["data"])
            elif key == GATE:
                self._check_format(event["data"])
            elif key.startswith(RECORD_PREFIX) and event["data"]["s"] == "open" and key not in known_jobs:
                known_jobs.add(key)
                self._check_creator(key, event["data"])

    def _check_term(self, record):
        term = Term.from_record(record)
        for label, (incarnation, _token, nonce) in term.members.items():
            if incarnation not in self._incarnations:
                self.joins += 1
            if self._incarnations.setdefault(incarnation, (label, nonce)) != (label, nonce):
                self.faults.append(f"incarnation {incarnation} was assigned twice")
        self._term = term
        if term.shard_map is None:
            return
        for shard, (leader, token) in enumerate(
            zip(term.shard_map.leaders, term.shard_map.tokens, strict=True)
        ):
            holder = (leader, term.incarnation(leader))
            if self._tokens.setdefault((shard, token), holder) != holder:
                self.faults.append(f"token {token} of shard {shard} was assigned twice")
            if token < self._newest.get(shard, 0):
                self.faults.append(f"the token of shard {shard} decreased to {token}")
            self._newest[shard] = token

    def _check_format(self, record):
        if record["format"] < self._format:
            self.faults.append(f"the format in force falls to {record['format']}")
        self._format = record["format"]

    def _check_creator(self, key, record):
        owner = tuple(record["o"])
        if owner != NO_OWNER and not self._term.serves(*owner):
            self.faults.append(f"{key} was created by {owner}, which is not a member of the term")
