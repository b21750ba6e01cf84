"""The home of machines: the only one to command them, and the referee of their room.

No sockets here: reports, frames and answers come in as calls; frames go out through
`send(label, frame)`, and `ask(machine)` wants a direct request sent to a machine.
"""

import logging
from itertools import chain

from roadhead.decision_log import Decision
from roadhead.homes.commanding import Commanding
from roadhead.homes.faults import Faults
from roadhead.homes.handover import handover
from roadhead.homes.hearing import Hearing
from roadhead.homes.known import Known
from roadhead.homes.machine import EXITED, Needs, about
from roadhead.homes.news import News
from roadhead.homes.rooms import Rooms
from roadhead.homes.shard_reconciliation import ShardReconciliation
from roadhead.homes.worker_lease import DRIFT

log = logging.getLogger("roadhead.home")

SILENT_REPORTS = 2.25  # reports come 1.25 intervals apart at the most
DEAF_LEAST = 3  # machines, below which their silence tells nothing of the network
PLENTY = 0.25  # of the CPUs in use that are free beside them: more, and idle machines go sooner


class Home:
    """Puts the package together: `rooms` (granting), `hearing`, `commanding`, `reconciliation`."""

    def __init__(
        self, loop, label, member, deployment, lapse_s, random, send, ask, need_spec, counters, decisions
    ):
        self._loop = loop
        self.label = label
        self._member = member
        self._workers = workers = deployment.workers
        self._ask = ask
        self._count = counters.add
        self._decisions = decisions
        self.awake_at = 0.0  # since when this process has been looking without a stall
        self.undecided = False
        lag_s = deployment.cloud.list_lag_s
        self.known = known = Known(member, workers.lease_s, workers.cancel_s, lag_s)
        self.machines = known.machines
        self._news = News(member, known, send, counters, decisions)
        self.reconciliation = ShardReconciliation(
            loop, member, known, self._news, workers.lease_s, workers.cancel_s, lag_s, decisions
        )
        self.rooms = Rooms(loop, label, self.machines, lapse_s, random, send, counters)
        self.faults = Faults(loop, known, self.rooms, workers.report_s, self._drain, counters)
        self.hearing = Hearing(
            loop,
            member,
            known,
            self._news,
            self.reconciliation,
            self.rooms,
            self.faults,
            self._drain,
            need_spec,
            decisions,
        )
        self.commanding = Commanding(
            loop, known, self._news, self.reconciliation, self.rooms, lapse_s, send, ask, counters, decisions
        )

    # Terms

    def begin(self, short):
        """A new incarnation starts. `short`: it came in the place of the one before, without a gap in
        which others were home to its machines."""
        term = self._member.term
        self.reconciliation.begin(term)
        self.reconciliation.fence(term.held(self.label), short)

    def on_term(self, old, new):
        """The term changed while this incarnation serves: what moved is let go of, or begun anew; what
        stays goes on. Returns {label: [frames]} that tell the new homes what they need not find out."""
        had, has = old.held(self.label), new.held(self.label)
        lost = had.keys() - has.keys()
        begun = [share for share, token in has.items() if had.get(share) != token]
        given, told = {}, {}  # home -> [machines], and what it is told of them
        self.reconciliation.on_relief(old, new)
        if lost or begun:
            for machine in list(self.machines.values()):
                share, (home, token) = new.share(machine.id), new.place(machine.id)
                if home != self.label:
                    given.setdefault(home, []).append(machine)
                elif (share, token) != (machine.share, machine.token):
                    machine.share, machine.token, machine.confirmed = share, token, 0
                    self.rooms.revoke(machine)
                    if machine.heard_at is not None:
                        self._ask(machine)
            told = {label: handover(machines, self.known) for label, machines in given.items()}
            for machine in chain.from_iterable(given.values()):
                self.rooms.revoke(machine)
                self._let_go(machine)
            self.reconciliation.let_go(lost)
            self.reconciliation.fence(begun, False)
        if old.members.keys() - new.members.keys() or new.relieved - old.relieved:
            self.reconciliation.lengthen()
        for label in list(self.rooms.demand):
            if old.incarnation(label) != new.incarnation(label):
                self.rooms.peer_down(label)
        self.reconciliation.on_term(new)
        return told

    def deaf(self):
        """Most machines heard here have fallen silent: dead all at once, or cut off."""
        limit = self._loop.now() - SILENT_REPORTS * self._workers.report_s
        if self.awake_at > limit:
            return False
        heard = silent = 0
        for machine in self.machines.values():
            if machine.heard_at is not None:
                heard += 1
                silent += machine.heard_at < limit
        return heard >= DEAF_LEAST and 2 * silent > heard

    def on_handover(self, frame):
        """Machines that another home gave away: a hint only. They are asked under this home's token, and
        nothing is known of them before they answer."""
        known = self.known
        for name, address, kind_name, zone, spot, draining, images in frame.rows:
            term = self._member.term
            if (
                term.home(name) != self.label
                or name in self.machines
                or name in known.gone
                or not self._member.takes_on(term.share(name))
            ):
                continue
            machine = known.take_on(name, address, kind_name, zone, spot, self._loop.now())
            machine.draining = draining
            machine.up = True
            machine.images = dict.fromkeys(images, 0.0)
            self.reconciliation.unheard(machine)
            self._ask(machine)

    def on_handover_jobs(self, frame):
        """Owners and needs of jobs with tasks on machines that are about to be handed over."""
        known = self.known
        for job, label, incarnation, cpus, gpus, memory, image, image_gb, save_s, saves in frame.rows:
            if self._member.term.serves(label, incarnation):
                known.owners.setdefault(job, (label, incarnation))
            known.specs.setdefault(job, Needs((cpus, gpus, memory), image, image_gb, save_s, saves))

    # Machines

    def covered(self, listed, asked_at):
        """A machine list: asked for at `asked_at`, all machines of it homed here."""
        now = self._loop.now()
        known, reconciliation = self.known, self.reconciliation
        shown_at = reconciliation.shown_at(asked_at)
        failed, left = [], set()
        for item in listed:
            if item.id in known.gone:
                continue
            machine = self.machines.get(item.id)
            if item.status == "failed":
                if machine is not None:
                    self.machine_gone(machine, "failed")
                else:
                    self.unknown_gone(item.id)
                failed.append(item.id)
                continue
            share = self._member.term.share(item.id)
            taken_on = self._member.takes_on(share)
            if machine is None:
                if not taken_on:
                    # Not heard, then: what runs there is not known, and nothing covers it.
                    left.add(share)
                    continue
                machine = known.take_on(item.id, item.address, item.type, item.zone, item.spot, now)
                reconciliation.unheard(machine)
            if machine.listed_at is None:
                machine.born_at = shown_at - item.age_s * (1 + DRIFT)
            machine.listed_at = asked_at
            if item.status == "running" and taken_on:
                machine.up = True
            if item.status == "starting":
                # It was not up at the moment that the list shows, so nobody had told it anything.
                machine.born_at = max(machine.born_at, shown_at)
            if machine.confirmed != machine.token and item.status == "running":
                self._ask(machine)
        reconciliation.cover(asked_at, left)
        reconciliation.settle()
        return failed

    def machine_gone(self, machine, cause):
        """Surely gone, with all that was on it."""
        now = self._loop.now()
        log.info(
            "machine %s gone: %s, with %d tasks; heard %.1f s ago%s",
            machine.id,
            cause,
            len(machine.tasks),
            now - (machine.heard_at or now),
            "" if machine.notice_at is None else f", notice {now - machine.notice_at:+.1f} s",
        )
        self.known.gone[machine.id] = now
        self.rooms.revoke(machine)
        for task in list(machine.tasks.values()):
            self._news.freed(machine, task, cause)
        self._let_go(machine)
        self.reconciliation.free_claims(machine.id, cause)

    def _let_go(self, machine):
        self.known.let_go(machine)
        self.faults.let_go(machine)

    def unknown_gone(self, name):
        """A machine never heard here is surely gone."""
        self.known.gone[name] = self._loop.now()
        self.reconciliation.free_claims(name, "gone")

    def _drain(self, machine):
        """Nothing more starts there; tasks that can save are told to, the rest may finish."""
        machine.draining = True
        self.rooms.revoke(machine)
        if machine.notice_at is not None:
            left = machine.notice_at - self._loop.now()
            for task in machine.tasks.values():
                if (
                    task.status != EXITED
                    and task.needs is not None
                    and task.needs.saves
                    and task.stop_grace is None
                ):
                    machine.stop(task, max(0.0, left))
            self._ask(machine)

    def tick(self, sure_at):
        """Once in a while: leases that ran out, grants that lapsed. Returns machines to release.

        `sure_at`: as for `judge_leases`.
        """
        now = self._loop.now()
        lease_s = self._workers.lease_s
        self.judge_leases(sure_at)
        release = []
        for machine in list(self.machines.values()):
            if machine.holder is not None and now >= machine.grant_lapse_at:
                self._count("grants_lapsed")
                self.rooms.revoke(machine)
                self.rooms.offer(machine)
            if machine.doubt_until and now >= machine.doubt_until and not machine.draining:
                self.faults.judge(machine)
            if machine.todo and any(
                task.forget and task.loose_token == machine.token for task in machine.todo.values()
            ):
                # An unanswered launch could start the attempt again once it is forgotten;
                # under a higher token the worker refuses it.
                self._member.want_new_token(machine.share)
            ours = machine.confirmed == machine.token
            heard_at = machine.heard_at if machine.heard_at is not None else now
            silent = now - max(heard_at, self.awake_at)
            taken = machine.notice_at is not None and now > machine.notice_at + 1
            drained = machine.draining and machine.notice_at is None and ours and machine.empty()
            if drained or silent > 4 * lease_s or (taken and silent > 2 * self._workers.report_s):
                release.append(machine)
        self.known.prune(now, self.reconciliation.awaited_jobs)
        return release

    def judge_leases(self, sure_at):
        """Frees what was on machines whose lease has run out, and what is claimed on those never heard.

        `sure_at`: until then nobody else was home to them by the term in force, so that a lease not
        renewed here, and over by then, is over. `undecided` says whether there are others that ended since.
        """
        now = self._loop.now()
        reconciliation = self.reconciliation
        undecided = False
        for machine in list(self.machines.values()):
            if not machine.tasks and not reconciliation.claimed(machine.id):
                continue
            end = machine.lease.ends_at(self._workers.lease_s)
            if machine.confirmed != machine.token:
                end = max(end, reconciliation.fence_at(machine.share))
            if now <= end:
                continue
            if sure_at <= end:
                undecided = True
                continue
            self._note_lease_ended(machine, sure_at)
            self._count("leases_out")
            self.rooms.revoke(machine)
            for task in list(machine.tasks.values()):
                self._news.freed(machine, task, "lease ended")
            reconciliation.free_claims(machine.id, "lease ended")
            machine.confirmed = 0
            reconciliation.unheard(machine)
        self.undecided = reconciliation.past_fence(sure_at) or undecided
        reconciliation.settle()

    def _note_lease_ended(self, machine, sure_at):
        """`sure_at`: as for `judge_leases`."""
        now, answered = self._loop.now(), machine.lease.answered
        self._decisions.note(
            Decision.LEASE_ENDED,
            about(machine),
            answered=f"{answered.session}.{answered.sequence}",
            answered_before_s=now - machine.lease.renewed_at,
            newest=f"{machine.session}.{machine.sequence}",
            heard_before_s=now - (machine.heard_at or now),
            in_force_before_s=now - sure_at,
            heard_under_token=machine.confirmed == machine.token,
            tasks=len(machine.tasks),
        )

    def idle(self, idle_s):
        """Machines with nothing on them and no use for that long."""
        now = self._loop.now()
        return [
            machine
            for machine in self.machines.values()
            if machine.confirmed == machine.token
            and machine.holder is None
            and machine.empty()
            and now - max(machine.idle_since, machine.confirmed_at) > idle_s(machine)
        ]

    def plenty(self):
        """Whether the machines in use have much room left that nobody wants."""
        held = spare = 0.0
        for machine in self.machines.values():
            if machine.active and machine.kind is not None:
                free = machine.room()[0]
                held += machine.kind.cpus - free
                if machine.holder is None and self.rooms.offerable(machine):
                    spare += free
        return spare > PLENTY * held

    def by_share(self):
        """{share: machines there}."""
        counts = {}
        for machine in self.machines.values():
            counts[machine.share] = counts.get(machine.share, 0) + 1
        return counts

    def usage(self):
        """CPUs of the machines heard: (all, held by running tasks, by others, parked, granted)."""
        total = running = other = parked = granted = 0.0
        for machine in self.machines.values():
            if machine.kind is None or not machine.confirmed:
                continue
            total += machine.kind.cpus
            free = machine.room()[0]
            if machine.holder is None:
                parked += free
            else:
                granted += free
            for task in machine.tasks.values():
                if task.needs is not None and task.status != EXITED:
                    if task.status == "running":
                        running += task.needs.room[0]
                    else:
                        other += task.needs.room[0]
        return total, running, other, parked, granted

    def news(self):
        """Rows for the renter: machines by type, zone and kind, and their parked room."""
        rows = {}
        for machine in self.machines.values():
            row = rows.setdefault((machine.type, machine.zone, machine.spot), [0, 0, 0.0, 0.0, 0.0])
            row[0] += 1
            if self.rooms.offerable(machine):
                if not machine.busy():
                    row[1] += 1
                for place, free in enumerate(machine.room()):
                    row[2 + place] += max(0.0, free)
        return [(*key, *row) for key, row in rows.items()]
