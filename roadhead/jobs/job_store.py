"""The jobs that this controller owns, and what becomes of each task.

No sockets here: frames from homes come in as calls, frames to them go out through
`send(home, frame)`. `changed()` is called when something may be placed.
"""

import logging
from bisect import insort

from roadhead.jobs.context import OwnerContext
from roadhead.jobs.job import FINAL, NOBODY, Binding, Job, from_record
from roadhead.jobs.quota import QuotaPartitions
from roadhead.jobs.reconciliation import Reconciliation
from roadhead.jobs.task_reports import TaskReports
from roadhead.jobs.teams import Accounts
from roadhead.jobs.write_queue import LATER, SOON, URGENT
from roadhead.runtime.loop import Future
from roadhead.wire import frames

log = logging.getLogger("roadhead.jobs")

CANCEL = "c/x/"
MAX_FINALS = 20000
LARGEST_PART = 10  # of a class's jobs one in so many is among its largest
LARGER_PART = 2.5  # and one in so many among the larger ones: more than a quarter, as others own the rest
SIZES_MOST = 2000  # jobs of a class by which that is judged


class JobStore:
    def __init__(
        self,
        loop,
        member,
        recorder_of,
        send,
        changed,
        counters,
        time_of_day,
        lease_s,
        on_finished,
        teams,
        on_orphan,
        shelve,
        make_dependency_queue,
        parts,
    ):
        self._loop = loop
        self._member = member
        self._send = send
        self._changed = changed
        self._time_of_day = time_of_day
        self._lease_s = lease_s
        self._on_finished = on_finished
        self.teams = teams
        self.accounts = Accounts(teams)
        self.quota = QuotaPartitions(loop, member, teams, self.accounts)
        self._on_orphan = on_orphan
        self._shelve = shelve  # (job id, final record, its stamp)
        self.jobs = {}  # open jobs owned here, by id
        self.started_at = {}  # class -> when a task of it was last started
        self.jobs_seen = {}  # class -> number of its jobs that were ever owned here
        self._perhaps_started = {}  # inherited jobs that wait here, and may have been let go before; as a set
        self._confirmed = []  # taken over in this turn: the homes are told once more
        self.new_jobs = []  # those that joined since the queue was last looked at
        self.jobs_done = {}  # ("class", "team" or "largest", its name) -> jobs done here
        self._sizes = {}  # class -> CPUs of the jobs of it that were owned here, in order
        self.version = 0  # changes when the queue is to be put in order anew
        self.final_records = {}  # id -> record of jobs known to be over
        self._creating = {}  # id -> Future of (is new, record)
        self._new = {}  # id -> Job whose record is being written
        self._cancelled_early = set()  # those of them that another controller has read and cancelled
        self._adopting = {}  # those of which no record names this owner yet, in order as a set
        self._attempts = 0
        self._unowned = []  # accepted while quota partitions were closing
        self._ending = {}  # cancelled with a job that they need, to be written; by id
        self._to_sync = []  # inherited and let go in this turn
        context = OwnerContext(loop, member, send, changed, counters.add, time_of_day, lease_s)
        self.reconciliation = Reconciliation(context, self.jobs, self._reconciled)
        self.task_reports = TaskReports(context, self)
        self.dependency_queue = make_dependency_queue(self)
        self._parts = parts
        self.recorder = recorder_of(self._written, self._conflict, self._refused, changed)

    @property
    def _me(self):
        return (self._member.label, self._member.incarnation)

    def attempt(self):
        """A number that no attempt of any incarnation has had."""
        self._attempts += 1
        return (self._member.incarnation << 24) + self._attempts

    # Admission

    def create(self, spec):
        """A Future of (is new, record or None): durable once it completes."""
        pending = self._creating.get(spec.id)
        if pending is None:
            pending = self._creating[spec.id] = Future()
            owner = self._me
            if not self.quota.owns(spec.team):
                owner = NOBODY  # the quota leader takes it over
            job = self._new[spec.id] = Job(spec, owner, self._time_of_day())
            if not job.is_waiting or self.recorder.fits_record(job):
                self.recorder.schedule_write(job, URGENT)
            else:
                self._loop.spawn(self._write_parts(job), "parts")
        return pending

    async def _write_parts(self, job):
        """The list of jobs that it needs goes ahead of a record that is too small for it."""
        written = await self._parts.write(job.id, job.spec.upstream, self._loop.now() + self._lease_s)
        if written is None:
            self._refused(job)
            return
        job.parts, job.creation_condition = written
        self.recorder.schedule_write(job, URGENT)

    def arriving_jobs(self, on_word):
        """Jobs whose tasks will surely wait here shortly: found to be new and about to be accepted,
        or being taken over. A submission alone is no reason to rent: it may be a retry of a job
        that is long over. Only while nobody can say which it is, up to `on_word` CPUs count on
        their users' word."""
        word = []
        for job in self._new.values() if self.recorder.newness_unknown else ():
            cpus = job.spec.cpus * len(job.unstarted)
            if job not in self.recorder.confirmed_new and cpus <= on_word and not job.is_waiting:
                on_word -= cpus
                word.append(job)
        fresh = [job for job in self.recorder.confirmed_new if not job.is_waiting]
        return [*fresh, *word, *{**self._adopting, **self.reconciliation.inherited}]

    def _settled(self, job):
        """The outcome of its creation is known: the Future that waits for it, or None.

        None as well for a job being taken over while a repeated submission of it is still creating it here.
        """
        if self._new.get(job.id) is not job:
            return None
        del self._new[job.id]
        return self._creating.pop(job.id)

    def _accepted(self, job):
        """Its record stands, made here: (is new, record or None) for who waits for that.

        Others can read a record before the answer to its write comes. Once one of them has cancelled the job,
        nothing of it begins here.
        """
        if job.id not in self._cancelled_early:
            self._created(job)
            return True, None
        self._cancelled_early.discard(job.id)
        record = self.final_records.get(job.id) or job.final("cancelled")
        self.remember_final(job.id, record)
        if job.owner == self._me:
            self.recorder.schedule_delete(CANCEL + job.id)  # nobody else has started any of it
        return False, record

    def _written(self, job, recorded, state):
        pending = self._settled(job)
        if pending is not None:
            pending.set(self._accepted(job))
            return
        if self._adopting.pop(job, False):
            self._taken(job)
            self._changed()
        if state in FINAL:
            told = self._ending.pop(job.id, None) is not None
            self._over(job, job.final(state), told)
            return
        over = [i for i, b in job.bound.items() if b.status == "exited" and i in recorded]
        self.forget(job.id, [(index, job.bound.pop(index)) for index in over])

    def _created(self, job):
        if job.owner == NOBODY:
            if self.quota.closing:
                self._unowned.append(job)
            self._on_orphan(job)
        elif not self.dependency_queue.add_waiting(job):
            self._begin(job)

    # Limits

    def idle_partitions(self):
        """Quota partitions held here of which nothing is owned, being created or taken over, nor may run
        cancelled."""
        groups = {self.teams.group(job.spec.team) for job in (*self._new.values(), *self._adopting)}
        groups |= {self.teams.group(team) for team in self.dependency_queue.dependencies.by_team}
        return self.quota.idle({*groups, *self.accounts.groups()})

    def _leave(self, job):
        """The job is no longer among those owned here."""
        self.reconciliation.inherited.pop(job, None)
        if self.jobs.pop(job.id, None) is not None:
            self.accounts.leave(job)
            return True
        return False

    def among_largest(self, job, part=LARGEST_PART):
        """Whether the job is of the largest of its class, one in `part`, and larger than most of it."""
        sizes = self._sizes[job.spec.klass]
        size = job.spec.tasks * job.spec.cpus
        return size >= sizes[-1 - int(len(sizes) / part)] and size > sizes[len(sizes) // 2]

    def _begin(self, job):
        sizes = self._sizes.setdefault(job.spec.klass, [])
        if len(sizes) < SIZES_MOST:
            insort(sizes, job.spec.tasks * job.spec.cpus)
        self.jobs[job.id] = job
        self.accounts.enter(job)
        if job.unreconciled_leaders:
            self.accounts.unreconciled(job)
            self.reconciliation.inherited[job] = True
        self.new_jobs.append(job)
        self.jobs_seen[job.spec.klass] = self.jobs_seen.get(job.spec.klass, 0) + 1
        self._changed()

    def _over(self, job, record, counted=False):
        """The job's end is durable. `counted`: by whoever wrote it, for the summary, and told."""
        self.remember_final(job.id, record)
        self._shelve(job.id, record, job.stamp)
        self.recorder.cancel_write(job)
        if not counted:
            self.dependency_queue.announce_end(job.id, record)
        if record["s"] == "done":
            if self._leave(job) and not counted:
                self._on_finished(job, self._time_of_day())
                keys = [("class", job.spec.klass), ("team", job.spec.team)]
                if self.among_largest(job):
                    keys.append(("largest", job.spec.klass))
                for key in keys:
                    self.jobs_done[key] = self.jobs_done.get(key, 0) + 1
            self.forget(job.id, job.bound.items())
            job.bound.clear()

    def remember_final(self, job_id, record):
        if len(self.final_records) > MAX_FINALS:
            self.final_records.pop(next(iter(self.final_records)))
        known = job_id in self.final_records
        self.final_records[job_id] = record
        if not known:
            self.dependency_queue.on_job_ended(job_id, record)

    def _conflict(self, job, record, stamp):
        """Somebody else wrote the record, or an unanswered write of ours went through."""
        mine = record is not None and record["s"] == "open" and tuple(record["o"]) == self._me
        pending = self._settled(job)
        if pending is not None:
            self.recorder.cancel_write(job)
            if (
                record is not None
                and record["s"] == "open"
                and ((tuple(record["o"]), record["at"]) == (job.owner, job.accepted_at))
            ):
                job.stamp = stamp
                pending.set(self._accepted(job))
            else:
                self._cancelled_early.discard(job.id)
                pending.set((False, record))
            return
        if not job.stamp:
            return  # a creation whose outcome was found out meanwhile, by a check of creations that wait
        if record is None:
            log.error("record of %s is gone", job.id)
            self.recorder.cancel_write(job)
            return
        if record["s"] in FINAL:
            inherited = self._drop_adopting(job)
            self.recorder.cancel_write(job)
            self._ending.pop(job.id, None)
            if record["s"] == "done":
                job.stamp = stamp
                self._over(job, record, inherited)
            else:
                if job.unreconciled_leaders and job.id in self.jobs:
                    self.accounts.unreconciled(job)  # what runs of it is still to be told
                self.cancelled(job.id, record)
            return
        if mine:
            job.stamp = stamp
            return  # still marked: written again under the new stamp
        if (job in self._adopting or job.id in self._ending) and not self._member.term.serves(*record["o"]):
            job.stamp = stamp
            return
        log.info("job %s belongs to %s now", job.id, record["o"])
        if self._drop_adopting(job):
            self._send(record["o"][0], frames.OrphanedJob(job.id))  # the homes were asked for it from here
        self.recorder.cancel_write(job)
        self._ending.pop(job.id, None)
        self.dependency_queue.dependencies.remove(job)
        self._leave(job)
        self.version += 1

    def _drop_adopting(self, job):
        """It need not be taken over; whether it was being."""
        if not self._adopting.pop(job, False):
            return False
        job.taking_over = False
        self.accounts.reconciled(job)
        return True

    # Taking over

    def _taken(self, job):
        """The job is ours from now on, or over: no other owner takes it from here."""
        job.taking_over = job.owned_by_predecessor = False
        if not self._confirmed:
            self._loop.call_soon(self._sync_confirmed)
        self._confirmed.append(job)

    def _sync_confirmed(self):
        """Their records name this owner now. Another may have asked the homes for them meanwhile, before it
        found that out, and been told in our place since: they are to know whose they are."""
        jobs, self._confirmed = self._confirmed, []
        self.reconciliation.ask_all([job for job in jobs if self.jobs.get(job.id) is job])

    def reassert_ownership(self, job_id):
        """Another controller asked the homes for a job that is ours: they are told again."""
        job = self.jobs.get(job_id)
        if job is not None and not job.taking_over:
            self.reconciliation.ask_all([job])

    def knows(self, job_id):
        """Whether the job is in this controller's care, and its record open as far as that goes."""
        return (
            job_id in self.jobs or job_id in self.dependency_queue.dependencies.jobs or job_id in self._ending
        )

    def take_over(self, items):
        """Open records of dropped owners that fall to this controller.

        Each takes a write that names the new owner, and nothing of it starts before; what the homes
        know is asked for meanwhile, for all of them at once.
        """
        adopted = []
        for record, stamp in items:
            job = from_record(record, self._me, stamp)
            if not self.knows(job.id) and self.quota.owns(job.spec.team):
                job.owned_by_predecessor = True
                if not self.dependency_queue.add_waiting(job):
                    adopted.append(job)
                    self._take(job)
                elif (
                    record["o"][0]
                    and self.quota.limited(job.spec.team)
                    and job.id in self.dependency_queue.dependencies.jobs
                ):
                    self._perhaps_started[job] = True
                    self.accounts.unreconciled(job)
        if adopted:
            self.reconciliation.ask_all(adopted)

    def _take(self, job):
        job.taking_over = self._adopting[job] = True
        self._begin(job)
        self.recorder.schedule_write(job, SOON)

    def _reconciled(self, job):
        """Every home has told all that it knows of an inherited job."""
        self.accounts.reconciled(job)
        if job.state == "cancelled":
            self._end_cancelled(job)
        if job.gang and job.unstarted and job.bound:
            self._break_up(job)  # its owner ended while it started them

    # Jobs that need others (pipelines/dependency_queue.py)

    def never_started(self, job):
        """A job that waits was not let go by its owner of before: what it needs is not done, or cancelled."""
        if self._perhaps_started.pop(job, False):
            self.accounts.reconciled(job)

    def on_waiting_dropped(self, job):
        """A job taken over waits here no more, as the owners have changed: until all records are read anew
        nobody knows what of its team's work may run."""
        if job in self._perhaps_started:
            self.never_started(job)
            self.quota.read_anew(job.spec.team)

    def on_upstream_done(self, job):
        """All that the job needs is durably done. One whose owner ended before may have been let go by
        that one already, so it is taken over like any other only now, with a write."""
        if not job.owned_by_predecessor:
            self._begin(job)
            return
        self._perhaps_started.pop(job, None)  # counts as taken over from now on
        self._take(job)
        if not self._to_sync:
            self._loop.call_soon(self._sync_released)
        self._to_sync.append(job)

    def _sync_released(self):
        jobs, self._to_sync = self._to_sync, []
        self.reconciliation.ask_all([job for job in jobs if self.jobs.get(job.id) is job])

    def cancel_with_upstream(self, job):
        """A job that waits is cancelled, as one that it needs is: true from now on, and written in time."""
        self.never_started(job)
        self._ending[job.id] = job
        record = {**job.final(job.state), "above": True}
        self.remember_final(job.id, record)
        self.dependency_queue.announce_end(job.id, record)
        self.recorder.schedule_write(job, LATER)

    def raise_urgency(self, job, rank):
        """An open job is as urgent as one that needs it."""
        self.accounts.raise_urgency(job, rank)
        self.version += 1
        self._changed()

    # Attempts of tasks

    def bind(self, job, machine, zone, attempt=None):
        """Takes a free task of the job for a start; (index, attempt). Tasks of a gang share one."""
        index = job.unstarted.pop()
        self.started_at[job.spec.klass] = self._loop.now()
        attempt = attempt or self.attempt()
        binding = job.bound[index] = Binding(machine, zone, attempt, "launching", self._loop.now())
        self.accounts.hold(job, binding)
        return index, attempt

    def _refused(self, job):
        """A creation that surely did not and will not come about: its user is to ask again."""
        pending = self._settled(job)
        self._cancelled_early.discard(job.id)
        if pending is not None:
            pending.set((False, None))

    def pending(self):
        """Ids of jobs that are being created."""
        return self._creating

    def count_creating(self, group):
        return sum(self.teams.group(job.spec.team) == group for job in self._new.values())

    def resolve_unowned(self):
        """Partitions that were closing are ours after all, or surely not: their quota leaders are told."""
        for job in self._unowned:
            self._on_orphan(job)
        self._unowned = []

    def stop_group(self, group):
        """Running work of a group stops, saved where it can be, and waits."""
        account = self.accounts.get(group)
        for job in account.jobs if account is not None else ():
            for index, binding in job.bound.items():
                if binding.held and job.state == "open":
                    self.stop(job, index, binding)

    def stop(self, job, index, binding):
        """A task stops, saved if it can be; it waits again once it is surely gone."""
        self.send_to_leader(
            binding, frames.StopTask(binding.machine, job.id, index, binding.attempt, job.spec.save_s)
        )

    def unbind(self, job, index):
        """The task's attempt is surely nowhere: it waits again, unless it is done or its job over."""
        self.accounts.release_held(job, job.bound.pop(index))
        if job.state == "open" and index not in job.done:
            job.unstarted.append(index)
            if job.gang:
                self._break_up(job)
            self._changed()
        elif job.state == "cancelled":
            self._end_cancelled(job)

    def _end_cancelled(self, job):
        """A cancelled job is let go of, and its mark, once none of its tasks can be anywhere: homes that
        have not told yet may find some, whose homes read of it by that mark alone."""
        if not job.bound and not job.unreconciled_leaders:
            self._leave(job)
            self.recorder.schedule_delete(CANCEL + job.id)

    def _break_up(self, job):
        """One of a gang is missing: the others stop, and all start anew once they are surely gone.

        None is started again under the attempt that its peers know: a late launch of it could
        still come, and nobody could tell the two apart.
        """
        for index, binding in job.bound.items():
            if binding.status not in ("exited", "saving"):
                self.stop(job, index, binding)

    def send_to_leader(self, binding, frame):
        """Sends a frame to the home of the machine that an attempt is bound on."""
        home = self._member.term.leader_of(binding.machine)
        if home is not None:
            self._send(home, frame)

    def forget(self, job_id, bindings):
        """(index, binding) pairs of attempts that ended: their machines may forget them."""
        homes = {}
        for index, binding in bindings:
            home = self._member.term.leader_of(binding.machine)
            homes.setdefault(home, []).append((binding.machine, job_id, index, binding.attempt))
        homes.pop(None, None)
        for home, rows in homes.items():
            self._send(home, frames.ForgetAttempts(rows))

    def cancelled(self, job_id, record=None):
        """The job is durably cancelled."""
        if job_id in self._ending:
            return  # its end is being written; the conflict tells of this one
        if job_id in self._new:
            self._cancelled_early.add(job_id)
        waiting = self.dependency_queue.dependencies.jobs.get(job_id)
        if waiting is not None:
            self.dependency_queue.dependencies.remove(waiting)
            waiting.state = "cancelled"
            self.recorder.cancel_write(waiting)
            self.remember_final(job_id, record or waiting.final(waiting.state))
            if waiting.owned_by_predecessor:
                self._ask_for_tasks(waiting)
            else:
                self.recorder.schedule_delete(CANCEL + job_id)
            return
        job = self.jobs.get(job_id)
        if job is None or job.state == "cancelled":
            return
        if job.state == "done" and record is None:
            return  # its end is being written; the conflict tells which came first
        job.state = "cancelled"
        self.recorder.cancel_write(job)
        if self._adopting.pop(job, False):
            self._taken(job)  # its write may never have an outcome
        if record is not None:
            self.remember_final(job_id, record)
        job.unstarted.clear()
        over = [(index, binding) for index, binding in job.bound.items() if binding.status == "exited"]
        self.forget(job_id, over)
        for index, _binding in over:
            del job.bound[index]
        for index, binding in list(job.bound.items()):
            self.send_to_leader(
                binding, frames.StopTask(binding.machine, job_id, index, binding.attempt, 0.0)
            )
        self._end_cancelled(job)

    def _ask_for_tasks(self, job):
        """A job that waited is cancelled, and its owner of before may have let it go, and started some: they
        count, and the mark of its cancellation stays, until the homes have told of them."""
        self._perhaps_started.pop(job, None)
        job.release(self._time_of_day())
        job.unstarted.clear()
        self._begin(job)
        self.reconciliation.ask_all([job])
