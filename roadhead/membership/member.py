"""This process's membership: joining, its lease, watching the term, and dropping members that have ended."""

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
CLOCK_DRIFT = 0.0005  # largest relative drift between two steady clocks


class Member:
    """Keeps this controller a member and its knowledge of the term up to date.

    `supervisor` runs its routines; `lease_s`: of the member's lease; `watch_s`: for how long one watch
    request waits. Callbacks: `on_term(old, new)` for each adopted term, `on_lost()` when this incarnation
    was dropped, `on_cancel(jobs)` for cancellations seen, `on_tenant(key, record, revision)` for tenants'
    records.
    """

    def __init__(
        self,
        loop,
        state,
        supervisor,
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
        self._supervisor = supervisor
        self.label = label
        self._lease_s = lease_s
        self._watch_s = watch_s
        self._on_term = on_term
        self._on_lost = on_lost
        self._on_cancel = on_cancel
        self.format_gate = format_gate
        self._time_of_day = time_of_day
        self._partitions = partitions  # least number of quota partitions in a term that this process joins
        self._on_tenant = on_tenant  # None where no tenants are served
        self.term = None
        self.revision = 0
        self.incarnation = 0
        self.replaced = False  # whether this label led shards until this incarnation joined
        self._lease_id = None
        self.renewed_at = -1e9  # when the newest successful renewal of the lease was sent
        self.watched_at = -1e9  # when the newest answered watch or listing was sent
        self.term_at = -1e9  # until then the term known here was certainly the one in force
        self._live_formats = {}  # label of a live controller -> newest format of records that it knows
        self._cancel_marks = {}  # key of a cancellation mark -> since when it is known here
        self._lost = Signal()
        self._absence = Signal()
        self._amendment_wanted = Signal()
        self._amendments = []  # (name of a method of Term, its arguments)
        self._logged_outdated = self._gate_write_pending = False
        self._shards_offered = set()  # shards that a transaction under this term may have given away
        self._leaving = False  # this process gives everything up and does not join again
        self._not_before = {}  # amendment -> when it may be requested again

    @property
    def joined(self):
        """Whether this process is a member."""
        return self.incarnation != 0

    def lease_may_have_expired(self):
        """Whether the lease may have ended, so that others may go on without this member."""
        return self._loop.now() - self.renewed_at > self._lease_s * (1 - CLOCK_DRIFT)

    def may_take_on(self, shard):
        """Whether machines of a shard that the term gives to this member may be heard for the first time.

        They may not while another controller may lead the shard by now, as after an ended lease, or a move
        whose outcome is unknown. A new leader does not wait for machines that came up since it leads (safety
        3).
        """
        return not (self.lease_may_have_expired() or self._leaving or shard in self._shards_offered)

    def adopt(self, record, revision):
        """Takes over a term record if it is newer than the one known."""
        if revision <= self.revision:
            return
        self._shards_offered.clear()
        old, self.term, self.revision = self.term, Term.from_record(record), revision
        if not self.joined:
            return
        if not self.term.serves(self.label, self.incarnation):
            log.info("this incarnation was dropped by term %d", self.term.number)
            self._end_incarnation()
            return
        log.info("term %d: members %s", self.term.number, sorted(self.term.members))
        self._on_term(old, self.term)

    async def run(self):
        """Joins, serves until dropped, and joins again as a new incarnation, until it leaves."""
        if self.joined:
            self._end_incarnation()  # this was begun again after an error
        while not self._leaving:
            try:
                if not await self._join():
                    continue
            except (UnavailableError, UnknownOutcomeError, ConflictError, LeaseExpiredError) as error:
                log.debug("joining: %r", error)
                await self._loop.sleep(self._lease_s / 20)
                continue
            duties = [
                self._supervisor.spawn(duty)
                for duty in (self._renew, self._watch, self._drop_absent, self._amend_term)
            ]
            try:
                await self._lost.wait()
            finally:
                for duty in duties:
                    duty.cancel()

    async def _join(self):
        """Returns True once joined; False if the records' format is newer than this version knows."""
        sent_at = self._loop.now()
        self._lease_id = await self._state.lease(self._lease_s)
        nonce = secrets.token_hex(6)
        self.replaced = False
        while True:
            await self._read_all()
            if self.format_gate.is_outdated:
                if not self._logged_outdated:
                    self._logged_outdated = True
                    log.error(
                        "can't join: the records have format %d, this version knows %d",
                        self.format_gate.in_force,
                        self.format_gate.knows,
                    )
                await self._loop.sleep(self._lease_s)
                return False
            term = self.term or Term()
            entry = term.members.get(self.label)
            if entry is not None and entry[2] == nonce:
                break  # an earlier try succeeded although its answer was lost
            self.replaced = entry is not None and self.label not in term.relieved
            new = term.with_partitions(self._partitions).join(self.label, nonce)
            try:
                await self._state.multi(
                    [(TERM, self.revision)],
                    [
                        {"put": TERM, "data": new.to_record()},
                        {
                            "put": MEMBER + self.label,
                            "data": self._member_record(term.next_token),
                            "permit": self._lease_id,
                        },
                    ],
                )
            except (ConflictError, UnknownOutcomeError):
                continue
        self.renewed_at = sent_at
        self.incarnation = entry[0]
        self._lost = Signal()
        log.info("joined term %d as incarnation %d", self.term.number, self.incarnation)
        self._on_term(None, self.term)
        if self.term.members.keys() - self._live_formats:
            self._absence.set()
        return True

    def _member_record(self, incarnation):
        """This member's record, which exists as long as its lease."""
        return {"incarnation": incarnation, "format": self.format_gate.knows}

    def _apply_gate(self, record, stamp):
        """Takes in the format gate's record; stops serving if this version is too old for it."""
        old_format = self.format_gate.in_force
        self.format_gate.take(record, stamp)
        if self.format_gate.in_force != old_format:
            log.info("format %d of records is in force", self.format_gate.in_force)
        if self.format_gate.is_outdated and self.joined:
            self._end_incarnation()

    def _end_incarnation(self):
        """Ends this incarnation's service."""
        self.incarnation = 0
        self._lost.set()
        self._on_lost()

    def advance_format_gate(self):
        """Records which formats the live controllers know, and raises the format in force once all know it.

        Of the members that know the newest format, the one with the smallest label does this.
        """
        newest = [
            label
            for label in sorted(self.term.members)
            if self._live_formats.get(label) == self.format_gate.knows
        ]
        if not newest or newest[0] != self.label or self._gate_write_pending:
            return
        record = self.format_gate.next_record(dict(self._live_formats), self._time_of_day())
        if record is not None:
            self._gate_write_pending = True
            self._loop.spawn(self._write_gate(record), "gate")

    async def _write_gate(self, record):
        # A controller that joins changes the term, so the condition on it excludes members not looked at.
        try:
            stamp = await self._state.multi(
                [(GATE, self.format_gate.stamp), (TERM, self.revision)], [{"put": GATE, "data": record}]
            )
            self._apply_gate(record, stamp)
        except (UnavailableError, UnknownOutcomeError, ConflictError) as error:
            log.debug("gate: %r", error)
        finally:
            self._gate_write_pending = False

    async def _read_all(self):
        """Reads all records below PREFIX and takes them in, as the start of a watch."""
        sent_at = self._loop.now()
        items, revision = await self._state.list(PREFIX)
        self._member_stamp = next((stamp for key, _value, stamp in items if key == MEMBER + self.label), 0)
        self._live_formats = {
            key[len(MEMBER) :]: value["format"] for key, value, _ in items if key.startswith(MEMBER)
        }
        for key, value, stamp in items:
            if key == TERM:
                self.adopt(value, stamp)
            elif key == GATE:
                self._apply_gate(value, stamp)
            elif self._on_tenant is not None and key.startswith(TENANT):
                self._on_tenant(key, value, stamp)
        marks = [key for key, _, _ in items if key.startswith(CANCEL)]
        self._cancel_marks = {key: self._cancel_marks.get(key, sent_at) for key in marks}
        if marks:
            self._on_cancel([key[len(CANCEL) :] for key in marks])
        self._watch_revision = revision
        self._note_watched(sent_at)
        if self.joined and self.term.members.keys() - self._live_formats:
            self._absence.set()  # the watch will not tell of one that ended before this was read

    def _note_watched(self, sent_at):
        """Notes that the state as of `sent_at` is known."""
        self.watched_at = max(self.watched_at, sent_at)
        self.term_at = max(self.term_at, sent_at)

    async def confirm_term(self):
        """Reads the term, and adopts it if it is newer. Raises UnavailableError or UnknownOutcomeError."""
        sent_at = self._loop.now()
        record, revision = await self._state.get(TERM)
        if record is not None:
            self.adopt(record, revision)
        self.term_at = max(self.term_at, sent_at)

    async def _renew(self):
        """Renews the lease for ever."""
        while True:
            sent_at = self._loop.now()
            try:
                await self._state.renew_lease(self._lease_id)
                self.renewed_at = sent_at
            except LeaseExpiredError:
                # The lease has ended, but perhaps no other member has dropped this one yet. If so, it stays
                # a member with a new lease, else the term that is read here shows that it was dropped.
                await self._new_lease()
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("renewal: %r", error)
                await self._loop.sleep(self._lease_s / 24)
                continue
            await self._loop.sleep(max(0.0, sent_at + self._lease_s / 4 - self._loop.now()))

    async def _new_lease(self):
        """Ties this member's record to a new lease, unless the member was dropped."""
        try:
            sent_at = self._loop.now()
            lease_id = await self._state.lease(self._lease_s)
            await self._read_all()
            if not self.joined:
                return
            # The condition on the record's own revision keeps an earlier try from taking effect later and
            # tying the record to a lease that nobody renews.
            await self._state.multi(
                [(TERM, self.revision), (MEMBER + self.label, self._member_stamp)],
                [
                    {
                        "put": MEMBER + self.label,
                        "data": self._member_record(self.incarnation),
                        "permit": lease_id,
                    }
                ],
            )
            self._lease_id, self.renewed_at = lease_id, sent_at
        except (UnavailableError, UnknownOutcomeError, ConflictError, LeaseExpiredError) as error:
            log.debug("new lease: %r", error)
            await self._loop.sleep(self._lease_s / 24)

    async def _watch(self):
        """Watches all records below PREFIX for ever, and takes their changes in."""
        while True:
            sent_at = self._loop.now()
            try:
                events, revision = await self._state.changes(PREFIX, self._watch_revision, self._watch_s)
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
                    self._apply_gate(event["data"], event["stamp"])
                elif key.startswith(MEMBER):
                    label = key[len(MEMBER) :]
                    if "put" in event:
                        self._live_formats[label] = event["data"]["format"]
                    else:
                        self._live_formats.pop(label, None)
                        self._absence.set()
                elif key.startswith(CANCEL):
                    if "put" in event:
                        cancelled.append(key[len(CANCEL) :])
                        self._cancel_marks[key] = self._loop.now()
                    else:
                        self._cancel_marks.pop(key, None)
                elif self._on_tenant is not None and key.startswith(TENANT) and "put" in event:
                    self._on_tenant(key, event["data"], event["stamp"])
            self._watch_revision = max(self._watch_revision, revision)
            self._note_watched(sent_at)
            if cancelled:
                self._on_cancel(cancelled)

    async def newest_cancellation_at(self):
        """When the newest cancellation mark became known here, None if there are no marks.

        Considers all marks that were durable when this was called; a mark exists while tasks of its job may
        run. Raises UnavailableError or UnknownOutcomeError.
        """
        items, _revision = await self._state.list(CANCEL)
        now = self._loop.now()
        return max((self._cancel_marks.get(key, now) for key, _value, _stamp in items), default=None)

    def stale_cancellation_marks(self, age_s):
        """Keys of cancellation marks older than `age_s`, which nobody needs any more.

        Their owners ended before they could delete them. Only the member with the smallest label gets any.
        """
        limit = self._loop.now() - age_s
        return (
            [key for key, since in self._cancel_marks.items() if since <= limit]
            if self.label == min(self.term.members)
            else []
        )

    async def _drop_absent(self):
        """Drops members whose record is gone, in one transaction that checks that it is."""
        while True:
            await self._absence.wait()
            while self.joined and (absent := self.term.members.keys() - self._live_formats - {self.label}):
                rank = sorted(set(self.term.members) - absent).index(self.label)
                await self._loop.sleep(0.02 * self._lease_s * rank)
                absent &= self.term.members.keys() - self._live_formats
                if not absent:
                    continue
                log.info("dropping members whose lease has ended: %s", sorted(absent))
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

    def relieve(self, label):
        """Requests other leaders for the shards of a live member that workers can't reach."""
        self._request_amendment("relieve", label)

    def restore(self):
        """Requests that this member may lead shards again, as workers reach it."""
        self._request_amendment("restore", self.label)

    def _request_amendment(self, *amendment):
        """Requests a change of the term: a method of Term and its arguments, at most once in two leases."""
        now = self._loop.now()
        if now >= self._not_before.get(amendment, 0.0):
            self._not_before[amendment] = now + 2 * self._lease_s
            self._amendments.append(amendment)
            self._amendment_wanted.set()

    async def _write_term(self, new, conditions=(), writes=()):
        """Replaces the known term by the next one, and adopts it. Raises what StateClient.multi does."""
        record = new.to_record()
        revision = await self._state.multi(
            [(TERM, self.revision), *conditions], [{"put": TERM, "data": record}, *writes]
        )
        self.adopt(record, revision)

    async def hand_over_partitions(self, partitions):
        """Hands quota partitions over; returns True on success, False on failure, None if unknown."""
        new = self.term.assign_partitions(partitions)
        try:
            await self._write_term(new)
        except (UnavailableError, ConflictError):
            return False
        except UnknownOutcomeError:
            return None
        log.info("handed over quota partitions: %s", partitions)
        return True

    async def move(self, moves):
        """Gives shards away ({shard: label}); the next term shows whether it succeeded.

        Repeated under the same term, it is the same transaction, of which at most one takes effect, however
        late.
        """
        new = self.term.move(moves, self.label)
        if new is self.term:
            return
        self._shards_offered.update(moves)
        try:
            await self._write_term(new)
        except (UnavailableError, ConflictError, UnknownOutcomeError) as error:
            log.debug("moving shards: %r", error)

    async def leave(self):
        """Gives up what this member leads and owns.

        First the shards, so that it can hand their machines over, then its membership, after which successors
        take over its jobs at once. Returns once it is out, or if there is no other member to give them to.
        """
        self._leaving = True
        while self.joined and (others := self.term.leaders - {self.label}):
            if moves := self.term.shard_map.redistribute({self.label}, others):
                await self.move(moves)
                if self.term.shards_of(self.label):
                    await self._loop.sleep(self._lease_s / 24)
                    continue
            new = self.term.drop({self.label})
            log.info("leaving, by term %d", new.number)
            try:
                await self._write_term(new, writes=[{"drop": MEMBER + self.label}])
            except (UnavailableError, ConflictError, UnknownOutcomeError) as error:
                log.debug("leaving: %r", error)
                await self._loop.sleep(self._lease_s / 24)

    async def _amend_term(self):
        """Writes requested amendments of the term, several at once if there are."""
        while True:
            await self._amendment_wanted.wait()
            amendments, self._amendments = self._amendments, []
            new = self.term
            for method, *arguments in amendments:
                new = getattr(new, method)(*arguments)
            if new is self.term:
                continue
            log.info("amending the term: %s", amendments)
            try:
                await self._write_term(new)
            except (UnavailableError, UnknownOutcomeError, ConflictError) as error:
                log.debug("amendment: %r", error)
                for amendment in amendments:  # may be requested again soon
                    self._not_before[amendment] = self._loop.now() + self._lease_s / 12
