"""The home of machines: the only one to command them, and the referee of their room.

No sockets here: reports, frames and answers come in as calls; frames go out through
`send(label, frame)`, and `ask(machine)` wants a direct request sent to a machine.
"""

import logging

from roadhead.homes.machine import EXITED, LAUNCHING, Machine, Task, fits
from roadhead.wire import frames, messages

log = logging.getLogger("roadhead.home")

DRIFT = 0.0005
ANSWER_S = 4.0  # a worker drops responses that took longer (PROTOCOL)
IMAGES_MOST = 16  # of a machine, told with its grants
ROW_IMAGE = 11
ROW_URGENCY, ROW_CPUS, ROW_GPUS, ROW_MEMORY, ROW_COUNT, ROW_SPOT, ROW_ZONE, ROW_TYPES = range(8)


def row_fits(row, machine, room):
    """Whether a task of a Demand row may run in `room` of the machine."""
    return (
        row[ROW_COUNT] > 0
        and fits((row[ROW_CPUS], row[ROW_GPUS], row[ROW_MEMORY]), room)
        and (row[ROW_SPOT] or not machine.spot)
        and (not row[ROW_ZONE] or row[ROW_ZONE] == machine.zone)
        and (not row[ROW_TYPES] or machine.type in row[ROW_TYPES])
    )


def times_fitting(row, room):
    """How many tasks of a row fit in `room`."""
    most = 1 << 30
    for need, free in zip(row[ROW_CPUS : ROW_MEMORY + 1], room, strict=True):
        if need > 0:
            most = min(most, int((free + 1e-6) / need))
    return most


class Home:
    def __init__(self, loop, label, member, deployment, lapse_s, random, send, ask, need_spec,
                 counters):
        self._loop = loop
        self.label = label
        self._member = member
        self._workers = deployment.workers
        self._lag_s = deployment.cloud.list_lag_s
        self._lapse_s = lapse_s
        self._random = random
        self._send = send
        self._ask = ask
        self._need_spec = need_spec
        self._count = counters.add
        self.types = {}
        self.machines = {}
        self.gone = {}  # names of machines that are surely gone
        self.cancelled = {}  # jobs known to be over: nothing of them may run
        self.demand = {}  # label -> [length, rows]
        self.owners = {}  # job -> (label, incarnation)
        self.specs = {}  # job -> (need, image, save_s, saves)
        self._claims = {}  # machine -> {(job, index, attempt): owner}
        self._syncs = []  # (label, incarnation, term, number)
        self._serial = 0
        self._cover_from = 0.0  # a list must have been asked for after this
        self._fence_at = 0.0  # by then every lease that another home renewed has ended
        self._covered = False
        self._fenced_at = 0.0

    # Terms

    def begin(self, replaced_only):
        """A new incarnation starts. `replaced_only`: the members stayed the same labels."""
        self._fence(replaced_only)

    def _fence(self, short):
        now = self._loop.now()
        self._fenced_at = now
        self._cover_from = now + 2 * self._lag_s * (1 + DRIFT)
        self._covered = False
        # A process that ended renews nothing; a member that was dropped but lives stops
        # renewing before cancel_s - lease_s is up (guide, safety 4). Then the lease itself.
        bound = self._workers.lease_s if short else self._workers.cancel_s
        self._fence_at = now + (bound + ANSWER_S) * (1 + 2 * DRIFT) + 0.5

    def on_term(self, old, new):
        """The term changed while this incarnation serves."""
        if set(old.members) != set(new.members):
            self._fence(False)
            for name in [n for n in self.machines if new.home(n) != self.label]:
                del self.machines[name]
            self._claims = {n: c for n, c in self._claims.items() if new.home(n) == self.label}
        if old.token(self.label) != new.token(self.label):
            for machine in self.machines.values():
                self._withdraw(machine)
                if machine.heard_at is not None:
                    self._ask(machine)
        for label in list(self.demand):
            if old.incarnation(label) != new.incarnation(label):
                self.peer_down(label)
        self._syncs = [s for s in self._syncs if new.serves(s[0], s[1])]

    def peer_down(self, label):
        """A controller's link is gone: what it holds comes back."""
        self.demand.pop(label, None)
        for machine in self.machines.values():
            if machine.holder == label:
                machine.holder = None
                machine.declined.clear()

    def clean(self):
        """Every machine of this home was heard under its token or is gone (safety 3)."""
        if not self._covered:
            return False
        token = self._member.token
        if self._loop.now() >= self._fence_at:
            return all(
                machine.confirmed == token or not machine.tasks
                for machine in self.machines.values()
            )
        # A machine rented after the old member's end, or lapse, can't have been heard by it.
        return all(
            machine.confirmed == token or machine.born_at > self._fenced_at
            for machine in self.machines.values()
        )

    # Machines

    def covered(self, listed, asked_at):
        """A machine list: asked for at `asked_at`, all machines of it homed here."""
        now = self._loop.now()
        names = set()
        failed = []
        for item in listed:
            if item.id in self.gone:
                continue
            names.add(item.id)
            machine = self.machines.get(item.id)
            if item.status == "failed":
                if machine is not None:
                    self.machine_gone(machine, "failed")
                else:
                    self.gone[item.id] = now
                    self._free_claims(item.id, "failed")
                failed.append(item.id)
                continue
            if machine is None:
                if self._member.lapsed():
                    continue
                machine = Machine(item.id, item.address, item.type, item.zone, item.spot,
                                  self.types.get(item.type), now)
                self.machines[item.id] = machine
            if machine.listed_at is None:
                # The list shows a moment of up to twice its lag before it was asked for.
                machine.born_at = asked_at - 2 * self._lag_s * (1 + DRIFT) - item.age_s * (1 + DRIFT)
            machine.listed_at = asked_at
            if machine.confirmed != self._member.token and item.status == "running":
                self._ask(machine)
        if asked_at >= self._cover_from and not self._covered:
            self._covered = True
            log.info("covered: %d machines", len(self.machines))
        self.settle()
        return failed

    def machine_gone(self, machine, cause):
        """Surely gone, with all that was on it."""
        now = self._loop.now()
        log.info(
            "machine %s gone: %s, with %d tasks; heard %.1f s ago%s", machine.id, cause,
            len(machine.tasks), now - (machine.heard_at or now),
            "" if machine.notice_at is None else f", notice {now - machine.notice_at:+.1f} s",
        )
        self.machines.pop(machine.id, None)
        if len(self.gone) > 5000:
            self.gone.pop(next(iter(self.gone)))
        self.gone[machine.id] = now
        self._revoke(machine)
        for task in list(machine.tasks.values()):
            self._freed(machine, task, cause)
        self._free_claims(machine.id, cause)

    def _free_claims(self, name, cause):
        for (job, index, attempt), owner in self._claims.pop(name, {}).items():
            self._tell(owner, frames.Free(name, job, index, attempt, cause))

    def _tell(self, owner, frame):
        if owner is not None and self._member.term.serves(*owner):
            self._send(owner[0], frame)

    def _freed(self, machine, task, cause):
        machine.tasks.pop(task.key, None)
        if not task.forget or task.job in self.cancelled:
            owner = task.owner or self.owners.get(task.job)
            self._tell(owner, frames.Free(machine.id, *task.key, cause))

    def take_report(self, report):
        """A worker's own report. Returns its machine, or None if it must not be answered 200."""
        machine = self.machines.get(report.machine)
        now = self._loop.now()
        if machine is None:
            if report.machine in self.gone or report.type not in self.types:
                return None
            if self._member.lapsed():
                return None
            machine = Machine(report.machine, report.address, report.type, report.zone,
                              report.spot, self.types[report.type], now)
            self.machines[report.machine] = machine
        if report.token > self._member.token:
            return None
        fresh = self.observe(machine, report)
        if fresh:
            machine.renewed_at = now
        return machine

    def observe(self, machine, report):
        """Takes in a report or the body of a direct answer; False if it is an old one."""
        if report.token > self._member.token:
            return False
        at = (report.session, report.sequence)
        if at <= (machine.session, machine.sequence):
            return False
        now = self._loop.now()
        if machine.kind is None:
            machine.kind = self.types.get(machine.type)
        if report.session > machine.session:
            # The worker killed all it had before it began this session, and commands for
            # the old one are refused from now on.
            for task in list(machine.tasks.values()):
                self._freed(machine, task, "lease ended")
            machine.renewed_at = now
        machine.session, machine.sequence = at
        machine.heard_at = now
        if report.notice_s is not None:
            machine.notice_at = now + report.notice_s
        confirmed = report.token == self._member.token
        first = confirmed and machine.confirmed != report.token
        if first:
            machine.confirmed = report.token
            machine.confirmed_at = machine.renewed_at = now
            for task in machine.tasks.values():
                if task.loose_token < report.token:
                    task.loose_token = 0
        before = machine.room()
        self._take_tasks(machine, report.tasks, confirmed)
        if confirmed:
            for key, owner in self._claims.pop(machine.id, {}).items():
                task = machine.tasks.get(key)
                if task is None:
                    self._tell(owner, frames.Free(machine.id, *key, "not there"))
                else:
                    task.owner = owner
                    self._tell_state(machine, task, True)
        if first:
            self.settle()
        if machine.room() != before or first:
            machine.declined.clear()
            self._room_changed(machine)
        if machine.notice_at is not None and not machine.draining:
            self._drain(machine)
        return True

    def _take_tasks(self, machine, reported, confirmed):
        keys = set()
        for item in reported:
            try:
                job, index = messages.split_task(item.task)
            except messages.Invalid:
                log.error("machine %s reports task %r", machine.id, item.task)
                continue
            key = (job, index, item.attempt)
            keys.add(key)
            task = machine.tasks.get(key)
            if task is None:
                task = Task(job, index, item.attempt, item.status, self.owners.get(job))
                machine.tasks[key] = task
                self._set_spec(task)
            was = task.status
            task.seen = True
            task.status, task.cause = item.status, item.cause
            task.saved = bool(item.saved)
            if item.status == "running" and was != "running" and task.image:
                machine.images.pop(task.image, None)
                machine.images[task.image] = True
                if len(machine.images) > IMAGES_MOST:
                    machine.images.pop(next(iter(machine.images)))
            if task.status == EXITED and was != EXITED:
                self._exited(machine, task)
            if job in self.cancelled:
                task.stop_grace = 0.0
                if task.status == EXITED:
                    task.forget = True
            self._tell_state(machine, task)
        if confirmed:
            for key in [k for k, task in machine.tasks.items() if task.seen and k not in keys]:
                self._freed(machine, machine.tasks[key], "not there")

    def _exited(self, machine, task):
        if not machine.busy():
            machine.idle_since = self._loop.now()
        if task.cause == "done":
            machine.dones += 1
            machine.errors.clear()
        elif task.cause == "error":
            machine.errors[task.job] = machine.errors.get(task.job, 0) + 1
            # A faulty machine fails whatever it starts; a faulty job fails everywhere. Two
            # jobs failing in a row on one machine speak against the machine.
            if (len(machine.errors) > 1 or sum(machine.errors.values()) >= 4) and not machine.draining:
                log.info("machine %s fails its tasks: %s", machine.id, sorted(machine.errors))
                self._count("machines_faulty")
                self._drain(machine)

    def _set_spec(self, task):
        spec = self.specs.get(task.job)
        if spec is not None:
            task.need, task.image, task.save_s, task.saves = spec
        else:
            self._need_spec(task.job)

    def spec(self, job, spec, over):
        """The needs of a job's tasks, read from its record; `over`: it is done or cancelled."""
        if spec is not None:
            if len(self.specs) > 5000:
                self.specs.pop(next(iter(self.specs)))
            self.specs[job] = spec
        if over:
            self.cancel([job])
        for machine in self.machines.values():
            changed = False
            for task in machine.tasks.values():
                if task.job == job and task.need is None and spec is not None:
                    task.need, task.image, task.save_s, task.saves = spec
                    changed = True
            if changed:
                self._room_changed(machine)

    def _tell_state(self, machine, task, again=False):
        state = (task.status, task.cause, task.owner)
        if (state == task.told and not again) or task.status == LAUNCHING or task.forget:
            return
        task.told = state
        owner = task.owner or self.owners.get(task.job)
        self._tell(owner, frames.TaskState(
            machine.id, machine.zone, *task.key, task.status, task.cause or "", task.saved
        ))

    def _drain(self, machine):
        """Nothing more starts there; tasks that can save are told to, the rest may finish."""
        machine.draining = True
        self._withdraw(machine)
        if machine.notice_at is not None:
            left = machine.notice_at - self._loop.now()
            for task in machine.tasks.values():
                if task.status != EXITED and task.saves and task.stop_grace is None:
                    task.stop_grace = max(0.0, left)
            self._ask(machine)

    def tick(self):
        """Once in a while: leases that ran out, grants that lapsed. Returns machines to release."""
        now = self._loop.now()
        token = self._member.token
        lease_s = self._workers.lease_s
        release = []
        for machine in list(self.machines.values()):
            if machine.holder is not None and now >= machine.grant_lapse_at:
                self._count("grants_lapsed")
                self._revoke(machine)
                self._offer(machine)
            if any(task.forget and task.loose_token == token for task in machine.tasks.values()):
                # An unanswered launch could start the attempt again once it is forgotten;
                # under a higher token the worker refuses it.
                self._member.want_new_token()
            ours = machine.confirmed == token
            end = machine.renewed_at + lease_s * (1 + 2 * DRIFT) + 0.2
            if not ours:
                end = max(end, self._fence_at)
            if now > end and (machine.tasks or machine.id in self._claims):
                log.info("lease of %s has run out: last report answered %.1f s ago, %d tasks",
                         machine.id, now - machine.renewed_at, len(machine.tasks))
                self._count("leases_out")
                self._withdraw(machine)
                for task in list(machine.tasks.values()):
                    self._freed(machine, task, "lease ended")
                self._free_claims(machine.id, "lease ended")
                machine.confirmed = 0
            silent = now - (machine.heard_at if machine.heard_at is not None else now)
            taken = machine.notice_at is not None and now > machine.notice_at + 1
            drained = machine.draining and machine.notice_at is None and ours and self._empty(machine)
            if drained or silent > 4 * lease_s or (taken and silent > 2 * self._workers.report_s):
                release.append(machine)
        if self._syncs:
            self.settle()
        return release

    @staticmethod
    def _empty(machine):
        """Nothing runs there, and no result there has yet to be recorded."""
        return all(
            task.status == EXITED and (task.forget or task.cause != "done")
            for task in machine.tasks.values()
        )

    def idle(self, idle_s):
        """Machines with nothing on them and no use for that long."""
        now = self._loop.now()
        return [
            machine
            for machine in self.machines.values()
            if machine.confirmed == self._member.token
            and machine.holder is None
            and not machine.busy()
            and all((t.status == EXITED and t.cause != "done") or t.forget for t in machine.tasks.values())
            and now - max(machine.idle_since, machine.confirmed_at) > idle_s(machine)
        ]

    # Room

    def _withdraw(self, machine):
        if machine.holder is not None:
            self._revoke(machine)

    def _revoke(self, machine):
        holder, machine.holder = machine.holder, None
        if holder is not None:
            self._send(holder, frames.Revoke(machine.id, machine.grant_serial))

    def _offerable(self, machine):
        return (
            machine.confirmed == self._member.token
            and not machine.draining
            and machine.notice_at is None
            and machine.kind is not None
        )

    def _room_changed(self, machine):
        if machine.holder is not None:
            if self._offerable(machine):
                self._send_grant(machine)
            else:
                self._revoke(machine)
        else:
            self._offer(machine)

    def _send_grant(self, machine):
        room = machine.room()
        state = (machine.grant_serial, machine.grant_taken, room)
        if state == machine.grant_sent:
            return
        machine.grant_sent = state
        machine.grant_lapse_at = self._loop.now() + self._lapse_s
        self._send(machine.holder, frames.Grant(
            machine.id, machine.grant_serial, machine.grant_taken, machine.type, machine.zone,
            self.label, machine.spot, *(max(0.0, part) for part in room), list(machine.images),
            self._lapse_s,
        ))

    @staticmethod
    def _standing(machine):
        """Parked room is granted from cheap and full machines first, so that others run empty."""
        kind = machine.kind
        if kind is None:
            return (0.0, 0.0)
        price = kind.spot_price if machine.spot and kind.spot_price is not None else kind.price
        return (round(price / max(kind.cpus, 1e-6), 3), machine.room()[0])

    def _offer(self, machine):
        """The joining rule: room goes to a random controller last heard empty, else to any.

        Only controllers with something waiting that fits are asked, the more urgent first.
        """
        if machine.holder is not None or not self._offerable(machine):
            return
        room = machine.room()
        if room[0] <= 0 and room[2] <= 0:
            return
        best = None
        eligible = []
        for label, (_length, rows) in self.demand.items():
            if label in machine.declined:
                continue
            for row in rows:
                if row_fits(row, machine, room):
                    if best is None or row[ROW_URGENCY] < best:
                        best, eligible = row[ROW_URGENCY], []
                    if row[ROW_URGENCY] == best and label not in eligible:
                        eligible.append(label)
        if not eligible:
            return
        empty = [label for label in eligible if self.demand[label][0] == 0]
        label = self._random.choice(empty or eligible)
        self._count("grants")
        entry = self.demand[label]
        entry[0] += 1
        left = room
        for place, row in enumerate(entry[1]):
            if row_fits(row, machine, left):
                count = min(row[ROW_COUNT], times_fitting(row, left))
                entry[1][place] = (*row[:ROW_COUNT], row[ROW_COUNT] - count, *row[ROW_COUNT + 1 :])
                left = tuple(
                    free - count * need
                    for free, need in zip(left, row[ROW_CPUS : ROW_MEMORY + 1], strict=True)
                )
        self._serial += 1
        machine.holder = label
        machine.grant_serial = self._serial
        machine.grant_taken = 0
        machine.grant_sent = None
        self._send_grant(machine)

    # Frames from controllers

    def on_demand(self, label, frame):
        self.demand[label] = [frame.length, list(frame.rows)]
        machines = [m for m in self.machines.values() if m.holder is None]
        most = min((row[ROW_URGENCY] for row in frame.rows), default=0)
        first = {row[ROW_IMAGE] for row in frame.rows if row[ROW_URGENCY] == most}
        machines.sort(key=lambda m: (first.isdisjoint(m.images), *self._standing(m)))
        for machine in machines:
            machine.declined.discard(label)
            self._offer(machine)

    def on_return(self, label, frame):
        machine = self.machines.get(frame.machine)
        if label in self.demand:
            self.demand[label][0] = frame.length
        if machine is None or machine.holder != label or machine.grant_serial != frame.serial:
            return
        self._count("returns")
        machine.holder = None
        machine.declined.add(label)
        self._offer(machine)

    def on_start(self, label, incarnation, frame):
        key = (frame.job, frame.index, frame.attempt)
        machine = self.machines.get(frame.machine)
        if label in self.demand:
            self.demand[label][0] = frame.length
        if machine is not None and key in machine.tasks:
            return
        need = (frame.cpus, frame.gpus, frame.memory)
        if (
            machine is None
            or frame.term != self._member.term.number
            or machine.holder != label
            or machine.grant_serial != frame.serial
            or not self._offerable(machine)
            or not fits(need, machine.room())
            or frame.job in self.cancelled
            or any(k[:2] == key[:2] for k in machine.tasks)
        ):
            self._count("starts_refused")
            self._send(label, frames.Refused(frame.machine, *key))
            return
        task = Task(*key, LAUNCHING, (label, incarnation))
        task.need = need
        task.image = frame.image
        task.save_s, task.saves = frame.save_s, frame.saves
        machine.tasks[key] = task
        machine.grant_taken += 1
        machine.grant_lapse_at = self._loop.now() + self._lapse_s
        self.owners[frame.job] = (label, incarnation)
        if len(self.specs) > 5000:
            self.specs.pop(next(iter(self.specs)))
        self.specs[frame.job] = (need, frame.image, frame.save_s, frame.saves)
        self._count("starts")
        self._ask(machine)

    def _task(self, frame):
        machine = self.machines.get(frame.machine)
        if machine is None:
            return None, None
        return machine, machine.tasks.get((frame.job, frame.index, frame.attempt))

    def on_stop(self, frame):
        machine, task = self._task(frame)
        if task is not None and task.status != EXITED:
            task.stop_grace = frame.grace
            self._ask(machine)

    def on_forget(self, frame):
        _machine, task = self._task(frame)
        if task is None or task.status != EXITED:
            return
        task.forget = True

    def on_sync(self, label, incarnation, frame):
        owner = (label, incarnation)
        jobs = set(frame.jobs)
        for job in jobs:
            self.owners[job] = owner
        for machine in self.machines.values():
            for task in machine.tasks.values():
                if task.job in jobs:
                    task.owner = owner
                    self._tell_state(machine, task, True)
        for name, job, index, attempt in frame.claims:
            key = (job, index, attempt)
            machine = self.machines.get(name)
            if name in self.gone:
                self._send(label, frames.Free(name, *key, "gone"))
            elif machine is not None and key in machine.tasks:
                machine.tasks[key].owner = owner
                self._tell_state(machine, machine.tasks[key], True)
            elif machine is not None and machine.confirmed == self._member.token:
                self._send(label, frames.Free(name, *key, "not there"))
            else:
                self._claims.setdefault(name, {})[key] = owner
        self._syncs.append((label, incarnation, frame.term, frame.number))
        self.settle()

    def settle(self):
        """Answers syncs once this home knows all there is to know."""
        if not self._syncs or not self.clean():
            return
        syncs, self._syncs = self._syncs, []
        for label, incarnation, term, number in syncs:
            if self._member.term.serves(label, incarnation):
                self._send(label, frames.Synced(term, number))

    def cancel(self, jobs):
        """Jobs that are over: what is left of them stops."""
        fresh = set()
        for job in jobs:
            if job not in self.cancelled:
                if len(self.cancelled) > 20000:
                    self.cancelled.pop(next(iter(self.cancelled)))
                self.cancelled[job] = True
                fresh.add(job)
        if not fresh:
            return
        for machine in self.machines.values():
            hit = False
            for task in machine.tasks.values():
                if task.job in fresh:
                    hit = True
                    task.stop_grace = 0.0
                    if task.status == EXITED:
                        task.forget = True
            if hit:
                self._ask(machine)

    def answer_orders(self, machine):
        """Commands for the answer to a report."""
        orders, _launches = machine.orders()
        return orders

    def sending(self, launches):
        """Launches are about to be sent directly; returns those on their way for the first time.

        Until the answer comes they may arrive at any later time, even if a report has shown
        the attempt meanwhile (the launch was repeated there): it must not be forgotten.
        """
        fresh = [task for task in launches if not task.loose_token]
        for task in fresh:
            task.loose_token = self._member.token
        return fresh

    @staticmethod
    def settled(fresh):
        """These launches were answered, or never left."""
        for task in fresh:
            task.loose_token = 0

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
                if task.need is not None and task.status != EXITED:
                    if task.status == "running":
                        running += task.need[0]
                    else:
                        other += task.need[0]
        return total, running, other, parked, granted

    def news(self):
        """Rows for the renter: machines by type, zone and kind, and their parked room."""
        rows = {}
        for machine in self.machines.values():
            row = rows.setdefault((machine.type, machine.zone, machine.spot), [0, 0, 0.0, 0.0, 0.0])
            row[0] += 1
            if self._offerable(machine):
                if not machine.busy():
                    row[1] += 1
                for place, free in enumerate(machine.room()):
                    row[2 + place] += max(0.0, free)
        return [(*key, *row) for key, row in rows.items()]
