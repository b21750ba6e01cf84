"""This process's place in the term: its lease, joining, watching, dropping the dead."""

import logging
import secrets

from roadhead.membership.format_gate import GATE
from roadhead.membership.term import Term
from roadhead.runtime.loop import Signal
from roadhead.state.client import (
    CompactedError,
    ConflictError,
    LeaseExpiredError,
    UnavailableError,
    UnknownOutcomeError,
)

log = logging.getLogger("roadhead.member")

PREFIX = "c/"
TERM = "c/term"
MEMBER = "c/m/"
CANCEL = "c/x/"
TENANT = "c/t/"
DRIFT = 0.0005


class Member:
    """Callbacks: `on_term(old, new)` for each adopted term, `on_lost()` when this
    incarnation was dropped, `on_cancel(jobs)` for cancellations seen."""

    def __init__(
        self,
        loop,
        state,
        label,
        lease_s,
        watch_s,
        on_term,
        on_lost,
        on_cancel,
        format_gate,
        partitions=1,
        on_tenant=None,
        time_of_day=None,
    ):
        self._loop = loop
        self._state = state
        self.label = label
        self._lease_s = lease_s
        self._watch_s = watch_s
        self._on_term = on_term
        self._on_lost = on_lost
        self._on_cancel = on_cancel
        self.format_gate = format_gate
        self._time_of_day = time_of_day
        self._slots = partitions  # of wardens, in a term that has fewer
        self._on_tenant = on_tenant  # (key, record, stamp) of a tenant's record, or None
        self.term = None
        self.revision = 0
        self.incarnation = 0
        self.replaced = False  # whether this label was a home until this incarnation joined
        self._permit = None
        self.renewed_at = -1e9
        self.watched_at = -1e9  # send time of the newest watch or listing that was answered
        self.term_at = -1e9  # until then the term known here was surely the one in force
        self._present = {}  # label -> newest format of records that it knows
        self._marks = {}  # key of a cancellation's mark -> since when it was seen here
        self._lost = Signal()
        self._absent = Signal()
        self._amend = Signal()
        self._amendments = []  # (method of Term, its arguments)
        self._said_outdated = self._raising = False
        self._offered = set()  # shares that a transaction under this term may have given away
        self._ending = False  # this process gives all up and joins no more
        self._not_before = {}  # amendment -> when it may be wanted again

    @property
    def joined(self):
        return self.incarnation != 0

    def lease_may_have_expired(self):
        """True if the lease may have ended: others may go on without this member."""
        return self._loop.now() - self.renewed_at > self._lease_s * (1 - DRIFT)

    def may_take_on(self, shard):
        """Whether a machine of a share that the term gives to this member may be heard for the first time:
        nobody else can be its home by now, as after a lapse, or a move whose outcome is not known. A new
        home does not wait for machines that came up since it was their home (safety 3)."""
        return not (self.lease_may_have_expired() or self._ending or shard in self._offered)

    def adopt(self, record, revision):
        """Takes a term record that is newer than the one known."""
        if revision <= self.revision:
            return
        self._offered.clear()
        old, self.term, self.revision = self.term, Term.from_record(record), revision
        if not self.joined:
            return
        if not self.term.serves(self.label, self.incarnation):
            log.info("dropped by term %d", self.term.number)
            self._lose()
            return
        log.info("term %d: %s", self.term.number, sorted(self.term.members))
        self._on_term(old, self.term)

    async def run(self):
        """Joins, serves until dropped, and joins again as a new incarnation."""
        while not self._ending:
            try:
                if not await self._join():
                    continue
            except (UnavailableError, UnknownOutcomeError, ConflictError, LeaseExpiredError) as error:
                log.debug("joining: %r", error)
                await self._loop.sleep(self._lease_s / 20)
                continue
            duties = [
                self._loop.spawn(duty(), duty.__name__)
                for duty in (self._renew, self._watch, self._drop_absent, self._amend_term)
            ]
            try:
                await self._lost.wait()
            finally:
                for duty in duties:
                    duty.cancel()

    async def _join(self):
        """True once joined; False if this version may not serve what is stored."""
        sent_at = self._loop.now()
        self._permit = await self._state.lease(self._lease_s)
        nonce = secrets.token_hex(6)
        self.replaced = False
        while True:
            await self._read_all()
            if self.format_gate.is_outdated:
                if not self._said_outdated:
                    self._said_outdated = True
                    log.error(
                        "the records are of format %d, this version knows %d: it serves nothing",
                        self.format_gate.in_force,
                        self.format_gate.knows,
                    )
                await self._loop.sleep(self._lease_s)
                return False
            term = self.term or Term()
            entry = term.members.get(self.label)
            if entry is not None and entry[2] == nonce:
                break  # an earlier try went through although its answer was lost
            self.replaced = entry is not None and self.label not in term.relieved
            new = term.with_partitions(self._slots).join(self.label, nonce)
            try:
                await self._state.multi(
                    [(TERM, self.revision)],
                    [
                        {"put": TERM, "data": new.to_record()},
                        {
                            "put": MEMBER + self.label,
                            "data": self._entry(term.next),
                            "permit": self._permit,
                        },
                    ],
                )
            except (ConflictError, UnknownOutcomeError):
                continue
        self.renewed_at = sent_at
        self.incarnation = entry[0]
        self._lost = Signal()
        log.info("joined term %d as %d", self.term.number, self.incarnation)
        self._on_term(None, self.term)
        if self.term.members.keys() - self._present:
            self._absent.set()
        return True

    def _entry(self, incarnation):
        return {"incarnation": incarnation, "format": self.format_gate.knows}

    def _take_gate(self, record, stamp):
        was = self.format_gate.in_force
        self.format_gate.take(record, stamp)
        if self.format_gate.in_force != was:
            log.info("format %d is in force", self.format_gate.in_force)
        if self.format_gate.is_outdated and self.joined:
            self._lose()

    def _lose(self):
        """This incarnation serves no more."""
        self.incarnation = 0
        self._lost.set()
        self._on_lost()

    def advance_format_gate(self):
        """Writes down what versions were seen, and opens the gate once all are new: one of the members
        that know the newest does it."""
        newest = [
            label for label in sorted(self.term.members) if self._present.get(label) == self.format_gate.knows
        ]
        if not newest or newest[0] != self.label or self._raising:
            return
        record = self.format_gate.next_record(dict(self._present), self._time_of_day())
        if record is not None:
            self._raising = True
            self._loop.spawn(self._raise_gate(record), "gate")

    async def _raise_gate(self, record):
        # Whoever joins changes the term: none that was not looked at is a member then.
        try:
            stamp = await self._state.multi(
                [(GATE, self.format_gate.stamp), (TERM, self.revision)], [{"put": GATE, "data": record}]
            )
            self._take_gate(record, stamp)
        except (UnavailableError, UnknownOutcomeError, ConflictError) as error:
            log.debug("gate: %r", error)
        finally:
            self._raising = False

    async def _read_all(self):
        sent_at = self._loop.now()
        items, revision = await self._state.list(PREFIX)
        self._entry_stamp = next((stamp for key, _value, stamp in items if key == MEMBER + self.label), 0)
        self._present = {
            key[len(MEMBER) :]: value["format"] for key, value, _ in items if key.startswith(MEMBER)
        }
        for key, value, stamp in items:
            if key == TERM:
                self.adopt(value, stamp)
            elif key == GATE:
                self._take_gate(value, stamp)
            elif self._on_tenant is not None and key.startswith(TENANT):
                self._on_tenant(key, value, stamp)
        marks = [key for key, _, _ in items if key.startswith(CANCEL)]
        self._marks = {key: self._marks.get(key, sent_at) for key in marks}
        if marks:
            self._on_cancel([key[len(CANCEL) :] for key in marks])
        self._seen = revision
        self._watched(sent_at)

    def _watched(self, sent_at):
        self.watched_at = max(self.watched_at, sent_at)
        self.term_at = max(self.term_at, sent_at)

    async def confirm_term(self):
        """Reads the term, and adopts it if it is newer. Raises Unavailable or Unsure."""
        sent_at = self._loop.now()
        record, revision = await self._state.get(TERM)
        if record is not None:
            self.adopt(record, revision)
        self.term_at = max(self.term_at, sent_at)

    async def _renew(self):
        while True:
            sent_at = self._loop.now()
            try:
                await self._state.renew_lease(self._permit)
                self.renewed_at = sent_at
            except LeaseExpiredError:
                # The lease ended, but nobody may have dropped us yet: if so, stay under
                # a new lease, else the term read here shows that we are out.
                await self._new_lease()
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("renewal: %r", error)
                await self._loop.sleep(self._lease_s / 24)
                continue
            await self._loop.sleep(max(0.0, sent_at + self._lease_s / 4 - self._loop.now()))

    async def _new_lease(self):
        try:
            sent_at = self._loop.now()
            permit = await self._state.lease(self._lease_s)
            await self._read_all()
            if not self.joined:
                return
            # Without its own stamp an earlier try could take effect late, and tie the entry to a lease that
            # nobody renews.
            await self._state.multi(
                [(TERM, self.revision), (MEMBER + self.label, self._entry_stamp)],
                [
                    {
                        "put": MEMBER + self.label,
                        "data": self._entry(self.incarnation),
                        "permit": permit,
                    }
                ],
            )
            self._permit, self.renewed_at = permit, sent_at
        except (UnavailableError, UnknownOutcomeError, ConflictError, LeaseExpiredError) as error:
            log.debug("new lease: %r", error)
            await self._loop.sleep(self._lease_s / 24)

    async def _watch(self):
        while True:
            sent_at = self._loop.now()
            try:
                events, revision = await self._state.changes(PREFIX, self._seen, self._watch_s)
            except CompactedError:
                try:
                    await self._read_all()
                except (UnavailableError, UnknownOutcomeError):
                    await self._loop.sleep(self._lease_s / 24)
                continue
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("watch: %r", error)
                await self._loop.sleep(self._lease_s / 24)
                continue
            cancelled = []
            for event in events:
                key = event.get("put") or event.get("drop")
                if key == TERM and "put" in event:
                    self.adopt(event["data"], event["stamp"])
                elif key == GATE and "put" in event:
                    self._take_gate(event["data"], event["stamp"])
                elif key.startswith(MEMBER):
                    label = key[len(MEMBER) :]
                    if "put" in event:
                        self._present[label] = event["data"]["format"]
                    else:
                        self._present.pop(label, None)
                        self._absent.set()
                elif key.startswith(CANCEL):
                    if "put" in event:
                        cancelled.append(key[len(CANCEL) :])
                        self._marks[key] = self._loop.now()
                    else:
                        self._marks.pop(key, None)
                elif self._on_tenant is not None and key.startswith(TENANT) and "put" in event:
                    self._on_tenant(key, event["data"], event["stamp"])
            self._seen = max(self._seen, revision)
            self._watched(sent_at)
            if cancelled:
                self._on_cancel(cancelled)

    async def newest_cancellation_at(self):
        """When the last cancellation became known here of a job that may have tasks yet, None without any;
        of all that were durable when this was called. Raises Unavailable or Unsure."""
        items, _revision = await self._state.list(CANCEL)
        now = self._loop.now()
        return max((self._marks.get(key, now) for key, _value, _stamp in items), default=None)

    def stale_cancellation_marks(self, age_s):
        """Keys of cancellations' marks that have been there for so long that nobody needs them: whose
        owner ended before it could drop them. One member names them."""
        before = self._loop.now() - age_s
        return (
            [key for key, since in self._marks.items() if since <= before]
            if self.label == min(self.term.members)
            else []
        )

    async def _drop_absent(self):
        """Drops members whose key is gone, in one transaction that checks that it is."""
        while True:
            await self._absent.wait()
            while self.joined and (absent := self.term.members.keys() - self._present - {self.label}):
                rank = sorted(set(self.term.members) - absent).index(self.label)
                await self._loop.sleep(0.02 * self._lease_s * rank)
                absent &= self.term.members.keys() - self._present
                if not absent:
                    continue
                log.info("dropping %s", sorted(absent))
                new = self.term.drop(absent)
                try:
                    await self._write_term(new, ((MEMBER + label, 0) for label in absent))
                except (UnavailableError, UnknownOutcomeError, ConflictError) as error:
                    log.debug("drop: %r", error)
                    await self._loop.sleep(self._lease_s / 12)
                    try:
                        await self._read_all()
                    except (UnavailableError, UnknownOutcomeError):
                        pass

    def want_new_token(self, shard):
        """Asks for a higher token, so that unanswered commands can't be executed any more."""
        self._want("raise_share", shard)

    def relieve(self, label):
        """Workers of a member that is otherwise well can't reach it: others shall be their homes."""
        self._want("relieve", label)

    def restore(self):
        """Workers reach this member again."""
        self._want("restore", self.label)

    def _want(self, *amendment):
        now = self._loop.now()
        if now >= self._not_before.get(amendment, 0.0):
            self._not_before[amendment] = now + 2 * self._lease_s
            self._amendments.append(amendment)
            self._amend.set()

    async def _write_term(self, new, conditions=(), writes=()):
        """Puts the next term in the place of the one known, and adopts it. Raises what
        `StateClient.multi` does."""
        record = new.to_record()
        revision = await self._state.multi(
            [(TERM, self.revision), *conditions], [{"put": TERM, "data": record}, *writes]
        )
        self.adopt(record, revision)

    async def hand_over_partitions(self, partitions):
        """Hands slots of wardens on: True if it is so, False if not, None if that is not known."""
        new = self.term.assign_partitions(partitions)
        try:
            await self._write_term(new)
        except (UnavailableError, ConflictError):
            return False
        except UnknownOutcomeError:
            return None
        log.info("handed on slots of wardens: %s", partitions)
        return True

    async def move(self, moves):
        """Gives shares away ({share: label}): whether it is so is told by the next term.

        Asked for again as long as the term is the same, it is the same transaction: one of them takes
        effect at most, however late.
        """
        new = self.term.move(moves, self.label)
        if new is self.term:
            return
        self._offered.update(moves)
        try:
            await self._write_term(new)
        except (UnavailableError, ConflictError, UnknownOutcomeError) as error:
            log.debug("move of shares: %r", error)

    async def leave(self):
        """Gives up what this member holds, first its shares, so that it can hand them over, then its place:
        its jobs fall to heirs at once. Returns once it is out, or if there is nobody to give it to."""
        self._ending = True
        while self.joined and (others := self.term.leaders - {self.label}):
            if moves := self.term.shard_map.redistribute({self.label}, others):
                await self.move(moves)
                if self.term.shards_of(self.label):
                    await self._loop.sleep(self._lease_s / 24)
                    continue
            new = self.term.drop({self.label})
            log.info("leaving: term %d", new.number)
            try:
                await self._write_term(new, writes=[{"drop": MEMBER + self.label}])
            except (UnavailableError, ConflictError, UnknownOutcomeError) as error:
                log.debug("leaving: %r", error)
                await self._loop.sleep(self._lease_s / 24)

    async def _amend_term(self):
        while True:
            await self._amend.wait()
            amendments, self._amendments = self._amendments, []
            new = self.term
            for how, *which in amendments:
                new = getattr(new, how)(*which)
            if new is self.term:
                continue
            log.info("amending the term: %s", amendments)
            try:
                await self._write_term(new)
            except (UnavailableError, UnknownOutcomeError, ConflictError) as error:
                log.debug("amendment: %r", error)
                for amendment in amendments:  # wanted again soon, if it still is
                    self._not_before[amendment] = self._loop.now() + self._lease_s / 12
