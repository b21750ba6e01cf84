"""The home of machines: the only one to command them, and the referee of their room.

No sockets here: reports, frames and answers come in as calls; frames go out through
`send(label, frame)`, and `ask(machine)` wants a direct request sent to a machine.
"""

import logging

from roadhead.homes.machine import EXITED, LAUNCHING, Machine, Needs, Task, fits
from roadhead.homes.rooms import Rooms
from roadhead.wire import frames, messages

log = logging.getLogger("roadhead.home")

DRIFT = 0.0005
ANSWER_S = 4.0  # a worker drops responses that took longer (PROTOCOL)
SILENT_REPORTS = 2.25  # reports come 1.25 intervals apart at the most
DOUBT_REPORTS = 2  # report intervals in which an owner learns where else a job fails
JOBS_FAILING = 4  # on one machine, with no success between, that can't all be to blame
DEAF_LEAST = 3  # machines, below which their silence tells nothing of the network
PLENTY = 0.25  # of the CPUs in use that are free beside them: more, and idle machines go sooner
CANCELLED_MOST = 5000  # jobs known to be over, before the older ones are let go of


class Home:
    def __init__(self, loop, label, member, deployment, lapse_s, random, send, ask, need_spec,
                 counters):
        self._loop = loop
        self.label = label
        self._member = member
        self._workers = deployment.workers
        self._lag_s = deployment.cloud.list_lag_s
        self._lapse_s = lapse_s
        self._send = send
        self._ask = ask
        self._need_spec = need_spec
        self._count = counters.add
        self.awake_at = 0.0  # since when this process has been looking without a stall
        self.types = {}
        self.machines = {}
        self.proven = {}  # jobs of which a task was done here
        self.faulty = {}  # jobs that fail wherever they run, by what their owners say
        self.gone = {}  # names of machines that are surely gone
        self.cancelled = {}  # jobs known to be over: nothing of them may run
        self.rooms = Rooms(loop, label, member, self.machines, lapse_s, random, send, counters)
        self.owners = {}  # job -> (label, incarnation)
        self.specs = {}  # job -> Needs
        self._claims = {}  # machine -> {(job, index, attempt): owner}
        self._syncs = []  # (label, incarnation, term, number)
        self._cover_from = 0.0  # a list must have been asked for after this
        self._fence_at = 0.0  # by then every lease that another home renewed has ended
        self._covered = False
        self._fenced_at = 0.0
        self._prune_at = 0.0

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
        if set(old.members) != set(new.members) or old.homes != new.homes:
            self._fence(False)
            for name in [n for n in self.machines if new.home(n) != self.label]:
                del self.machines[name]
            self._claims = {n: c for n, c in self._claims.items() if new.home(n) == self.label}
        if old.token(self.label) != new.token(self.label):
            for machine in self.machines.values():
                self.rooms.revoke(machine)
                if machine.heard_at is not None:
                    self._ask(machine)
        for label in list(self.rooms.demand):
            if old.incarnation(label) != new.incarnation(label):
                self.rooms.peer_down(label)
        self._syncs = [s for s in self._syncs if new.serves(s[0], s[1])]

    def cover_at(self):
        """When the list that covers should be asked for; None once one was taken in."""
        return None if self._covered else self._cover_from

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
        # A machine rented, or still booting, after the old member's end, or lapse, can't have been
        # heard by it.
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
                    self.unknown_gone(item.id)
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
            if item.status == "starting":
                # It was not up at the moment that the list shows, so nobody had told it anything.
                machine.born_at = max(machine.born_at, asked_at - 2 * self._lag_s * (1 + DRIFT))
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
        self.gone[machine.id] = now
        self.rooms.revoke(machine)
        for task in list(machine.tasks.values()):
            self._freed(machine, task, cause)
        self._free_claims(machine.id, cause)

    def vanished(self, listed, asked_at):
        """Machines that owners claim tasks on, never heard here nor in this list, late enough.

        They ran before this home served the term, so a list that shows a later moment would
        name them if they were not gone; a release that the cloud answers makes it sure.
        """
        if asked_at < self._cover_from:
            return []
        return [name for name in self._claims if name not in self.machines and name not in listed]

    def unknown_gone(self, name):
        """A machine never heard here is surely gone."""
        self.gone[name] = self._loop.now()
        self._free_claims(name, "gone")

    def _free_claims(self, name, cause):
        for (job, index, attempt), owner in self._claims.pop(name, {}).items():
            self._tell(owner, frames.Free(name, job, index, attempt, cause))

    def _tell(self, owner, frame):
        if owner is not None and self._member.term.serves(*owner):
            self._send(owner[0], frame)

    def _freed(self, machine, task, cause):
        machine.drop(task)
        if task.status not in (EXITED, LAUNCHING) and task.job not in self.cancelled:
            self._count("tasks_lost")
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
            machine.know_kind(self.types.get(machine.type))
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
                    self._tell_states(machine, [task], True)
        if first:
            self.settle()
        if machine.room() != before or first:
            machine.declined.clear()
            self.rooms.changed(machine)
        if machine.notice_at is not None and not machine.draining:
            self._drain(machine)
        return True

    def _take_tasks(self, machine, reported, confirmed):
        if confirmed and reported == machine.reported:
            return  # all of it is known
        machine.readings += 1
        reading = machine.readings
        by_name = machine.by_name
        changed = []
        for item in reported:
            task = by_name.get((item.task, item.attempt))
            if task is None:
                task = self._found(machine, item)
                if task is None:
                    continue
            task.mark = reading
            was = task.status
            if was == item.status and task.cause == item.cause and task.seen:
                continue
            first, task.seen = not task.seen, True
            machine.progress(task, item.status)
            task.cause = item.cause
            task.saved = bool(item.saved)
            if item.status == "running" and (first or was != "running") and task.needs is not None:
                machine.has_image(task.needs)
            if task.status == EXITED and was != EXITED:
                self._exited(machine, task)
            if task.job in self.cancelled:
                machine.stop(task, 0.0)
                if task.status == EXITED:
                    machine.forget(task)
            if was != LAUNCHING or item.status != "pulling":
                changed.append(task)  # its owner knows that a task it started waits for its image
        if changed:
            self._tell_states(machine, changed)
        if confirmed:
            for task in [t for t in machine.tasks.values() if t.seen and t.mark != reading]:
                self._freed(machine, task, "not there")
            machine.reported = reported

    def _found(self, machine, item):
        """The task of a report's entry that was not in the machine's reports before."""
        try:
            job, index = messages.split_task(item.task)
        except messages.Invalid:
            log.error("machine %s reports task %r", machine.id, item.task)
            return None
        task = machine.tasks.get((job, index, item.attempt))
        if task is None:
            task = Task(job, index, item.attempt, item.status, self.owners.get(job))
            task.needs = self.specs.get(job)
            machine.put(task)
            if task.needs is None:
                self._need_spec(job)
        task.name = item.task
        machine.by_name[item.task, item.attempt] = task
        return task

    def _exited(self, machine, task):
        if not machine.busy():
            machine.idle_since = self._loop.now()
        if task.cause == "done":
            machine.dones += 1
            machine.errors.clear()
            machine.doubts = 0
            self.proven[task.job] = self._loop.now()
            self.faulty.pop(task.job, None)
            self._acquit(machine)
        elif task.cause == "error":
            machine.errors[task.job] = machine.errors.get(task.job, 0) + 1
            if not machine.draining and not machine.doubt_until and sum(self._blame(machine)) > 1:
                # Its owner, who knows of other machines too, may find the fault with the job.
                doubt_s = DOUBT_REPORTS * self._workers.report_s * 2 ** min(machine.doubts, 6)
                machine.doubt_until = self._loop.now() + doubt_s
                machine.doubts += 1
                self.rooms.changed(machine)

    def _blame(self, machine, proven=False):
        """How often tasks of each job failed there, those left out that fail everywhere."""
        return [count for job, count in machine.errors.items()
                if job not in self.faulty and (not proven or job in self.proven)]

    def _acquit(self, machine):
        if machine.doubt_until:
            machine.doubt_until = 0.0
            self.rooms.changed(machine)

    def _judge(self, machine):
        """What speaks against a machine: two failures in a row of jobs that succeed elsewhere, or
        as many jobs failing as are not all faulty. Else it is tried again, ever more slowly.
        """
        if sum(self._blame(machine, True)) > 1 or len(self._blame(machine)) >= JOBS_FAILING:
            log.info("machine %s fails its tasks: %s", machine.id, sorted(machine.errors))
            self._count("machines_faulty")
            self._drain(machine)
        else:
            self._acquit(machine)

    def on_job_fails(self, job):
        self.faulty[job] = self._loop.now()
        for machine in self.machines.values():
            if machine.doubt_until and sum(self._blame(machine)) < 2:
                self._acquit(machine)

    def spec(self, job, spec, over):
        """The needs of a job's tasks, read from its record; `over`: it is done or cancelled."""
        if spec is not None:
            self.specs[job] = spec
        if over:
            self.cancel([job])
        for machine in self.machines.values():
            changed = [task for task in machine.tasks.values() if task.job == job]
            for task in changed:
                if task.needs is None and spec is not None:
                    machine.learn(task, spec)
            if changed and spec is not None:
                self._tell_states(machine, changed, True)
                self.rooms.changed(machine)

    def _tell_states(self, machine, tasks, again=False):
        """Tells the owners what became of tasks, one frame an owner."""
        rows = {}
        for task in tasks:
            state = (task.status, task.cause, task.owner)
            if (state == task.told and not again) or task.status == LAUNCHING or task.forget:
                continue
            task.told = state
            owner = task.owner or self.owners.get(task.job)
            if owner is not None and self._member.term.serves(*owner):
                rows.setdefault(owner[0], []).append(
                    (task.job, task.index, task.attempt, task.status, task.cause or "")
                )
        for label, news in rows.items():
            self._send(label, frames.TaskStates(machine.id, machine.zone, news))

    def _drain(self, machine):
        """Nothing more starts there; tasks that can save are told to, the rest may finish."""
        machine.draining = True
        self.rooms.revoke(machine)
        if machine.notice_at is not None:
            left = machine.notice_at - self._loop.now()
            for task in machine.tasks.values():
                if (task.status != EXITED and task.needs is not None and task.needs.saves
                        and task.stop_grace is None):
                    machine.stop(task, max(0.0, left))
            self._ask(machine)

    def tick(self, sure=True):
        """Once in a while: leases that ran out, grants that lapsed. Returns machines to release.

        `sure`: nobody else can have renewed them, so a lease not renewed here has run out.
        """
        now = self._loop.now()
        token = self._member.token
        lease_s = self._workers.lease_s
        release = []
        for machine in list(self.machines.values()):
            if machine.holder is not None and now >= machine.grant_lapse_at:
                self._count("grants_lapsed")
                self.rooms.revoke(machine)
                self.rooms.offer(machine)
            if machine.doubt_until and now >= machine.doubt_until and not machine.draining:
                self._judge(machine)
            if any(task.forget and task.loose_token == token for task in machine.todo.values()):
                # An unanswered launch could start the attempt again once it is forgotten;
                # under a higher token the worker refuses it.
                self._member.want_new_token()
            ours = machine.confirmed == token
            end = machine.renewed_at + lease_s * (1 + 2 * DRIFT) + 0.2
            if not ours:
                end = max(end, self._fence_at)
            if sure and now > end and (machine.tasks or machine.id in self._claims):
                log.info("lease of %s has run out: last report answered %.1f s ago, %d tasks",
                         machine.id, now - machine.renewed_at, len(machine.tasks))
                self._count("leases_out")
                self.rooms.revoke(machine)
                for task in list(machine.tasks.values()):
                    self._freed(machine, task, "lease ended")
                self._free_claims(machine.id, "lease ended")
                machine.confirmed = 0
            heard_at = machine.heard_at if machine.heard_at is not None else now
            silent = now - max(heard_at, self.awake_at)
            taken = machine.notice_at is not None and now > machine.notice_at + 1
            drained = machine.draining and machine.notice_at is None and ours and machine.empty()
            if drained or silent > 4 * lease_s or (taken and silent > 2 * self._workers.report_s):
                release.append(machine)
        if sure and now > self._fence_at:
            # Nobody but this home has renewed anything since: what was not heard has ended.
            for name in [name for name in self._claims if name not in self.machines]:
                self._free_claims(name, "lease ended")
        if self._syncs:
            self.settle()
        if now >= self._prune_at:
            self._prune_at = now + self._workers.lease_s
            self._prune(now)
        return release

    def _prune(self, now):
        """Lets go of what no task here rests on; a task found later has its record read again.

        A machine that is gone can be listed for twice the list's lag more, and its last
        report can be as late as a cut is long: then it is taken on again, silent and
        without tasks, and returned after four leases. A job that is over can be started
        only by an owner that has not heard so, which is told within `cancel_s`.
        """
        live = {task.job for machine in self.machines.values() for task in machine.tasks.values()}
        live.update(key[0] for claims in self._claims.values() for key in claims)
        old = now - 4 * self._workers.lease_s
        self.owners = {job: owner for job, owner in self.owners.items() if job in live}
        self.specs = {job: spec for job, spec in self.specs.items() if job in live}
        if len(self.cancelled) > CANCELLED_MOST:
            self.cancelled = {job: at for job, at in self.cancelled.items()
                              if job in live or at > now - 2 * self._workers.cancel_s}
        self.faulty = {job: at for job, at in self.faulty.items() if job in live or at > old}
        self.proven = {job: at for job, at in self.proven.items() if job in live or at > old}
        self.gone = {name: at for name, at in self.gone.items() if at > old - 20 * self._lag_s}

    def idle(self, idle_s):
        """Machines with nothing on them and no use for that long."""
        now = self._loop.now()
        return [
            machine
            for machine in self.machines.values()
            if machine.confirmed == self._member.token
            and machine.holder is None
            and machine.empty()
            and now - max(machine.idle_since, machine.confirmed_at) > idle_s(machine)
        ]

    # Starts

    def on_start(self, label, incarnation, frame):
        """Tasks of one job for one machine; with `last` the grant comes back after them."""
        machine = self.machines.get(frame.machine)
        self.rooms.heard(label, frame.length)
        needs = self.specs.get(frame.job)
        if needs is None:
            needs = self.specs[frame.job] = Needs(
                (frame.cpus, frame.gpus, frame.memory), frame.image, frame.image_gb, frame.save_s,
                frame.saves,
            )
        self.owners[frame.job] = (label, incarnation)
        launched = False
        for index, attempt in frame.tasks:
            launched = self._start(label, incarnation, frame, machine, needs, index, attempt) or launched
        if launched:
            machine.grant_lapse_at = self._loop.now() + self._lapse_s
            self._ask(machine)
        if frame.last:
            self.rooms.returned(label, machine, frame.serial)

    def _start(self, label, incarnation, frame, machine, needs, index, attempt):
        key = (frame.job, index, attempt)
        if machine is not None and key in machine.tasks:
            return False
        if (
            machine is None
            or frame.term != self._member.term.number
            or machine.holder != label
            or machine.grant_serial != frame.serial
            or not self.rooms.offerable(machine)
            or not fits(needs.room, machine.room())
            or frame.job in self.cancelled
            or any(k[0] == frame.job and k[1] == index for k in machine.tasks)
        ):
            self._count("starts_refused")
            self._send(label, frames.Refused(frame.machine, *key))
            return False
        task = Task(*key, LAUNCHING, (label, incarnation))
        task.needs = needs
        machine.put(task)
        machine.grant_taken += 1
        self._count("starts")
        return True

    def _task(self, name, *key):
        machine = self.machines.get(name)
        if machine is None:
            return None, None
        return machine, machine.tasks.get(key)

    def on_stop(self, frame):
        machine, task = self._task(frame.machine, frame.job, frame.index, frame.attempt)
        if task is not None and task.status != EXITED:
            machine.stop(task, frame.grace)
            self._ask(machine)

    def on_forget(self, frame):
        for row in frame.rows:
            machine, task = self._task(*row)
            if task is not None and task.status == EXITED:
                machine.forget(task)

    def on_sync(self, label, incarnation, frame):
        owner = (label, incarnation)
        jobs = set(frame.jobs)
        for job in jobs:
            self.owners[job] = owner
        for machine in self.machines.values():
            tasks = [task for task in machine.tasks.values() if task.job in jobs]
            for task in tasks:
                task.owner = owner
            self._tell_states(machine, tasks, True)
        for name, job, index, attempt in frame.claims:
            key = (job, index, attempt)
            machine = self.machines.get(name)
            if name in self.gone:
                self._send(label, frames.Free(name, *key, "gone"))
            elif machine is not None and key in machine.tasks:
                machine.tasks[key].owner = owner
                self._tell_states(machine, [machine.tasks[key]], True)
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
        now = self._loop.now()
        for job in jobs:
            if job not in self.cancelled:
                self.cancelled[job] = now
                fresh.add(job)
        if not fresh:
            return
        for machine in self.machines.values():
            hit = False
            for task in machine.tasks.values():
                if task.job in fresh:
                    hit = True
                    machine.stop(task, 0.0)
                    if task.status == EXITED:
                        machine.forget(task)
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
