"""The jobs that this controller owns and the state of each of their tasks.

This module opens no sockets. Frames from shard leaders arrive as method calls, and frames to shard leaders
leave through `send(label, frame)`. `changed()` is called whenever a task may have become placeable.
"""

import logging
from bisect import insort

from roadhead.jobs.context import OwnerContext
from roadhead.jobs.job import FINAL, NO_OWNER, Binding, Job, from_record
from roadhead.jobs.leader_commands import LeaderCommands
from roadhead.jobs.quota import QuotaPartitions
from roadhead.jobs.reconciliation import Reconciliation
from roadhead.jobs.task_reports import TaskReports
from roadhead.jobs.teams import Accounts
from roadhead.jobs.write_queue import LATER, SOON, URGENT
from roadhead.machines.task import LAUNCHING
from roadhead.runtime.loop import Future
from roadhead.wire import frames

log = logging.getLogger("roadhead.jobs")

CANCEL = "c/x/"  # prefix of cancellation marks
MAX_FINAL_RECORDS = 20000  # final records kept in memory
LARGEST_ONE_IN = 10  # one in LARGEST_ONE_IN jobs of a class counts among its largest
# One in LARGER_ONE_IN counts among the larger: more than a quarter, since other controllers own the rest
LARGER_ONE_IN = 2.5
MAX_SIZES_PER_CLASS = 2000  # sizes kept per class, by which a job is compared


class JobStore:
    """Owns jobs from their creation or takeover until their final record is durable.

    Args:
        loop: the event loop.
        member: this controller's membership; gives its label, incarnation and the current term.
        recorder_of: builds the `Recorder` from the callbacks for written, conflicting and refused records,
            and for newly classified creations.
        send: `send(label, frame)` sends a frame to a controller, this one included.
        changed: called when a task may have become placeable.
        counters: the process's event counters.
        time_of_day: returns seconds since the epoch.
        lease_s: length of the workers' lease in seconds.
        on_finished: `on_finished(job, time_of_day)` is called when a job owned here is durably done.
        teams: the teams and their limits.
        on_orphan: called with a job accepted here that its quota leader has to take over.
        archive: `archive(job_id, final_record, stamp)` queues a final record for the move to the archive.
        make_dependency_queue: builds the `DependencyQueue` of this object.
        parts: stores dependency lists that are too long for one record (`UpstreamParts`).
    """

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
        archive,
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
        self._archive = archive
        self.jobs = {}  # open jobs owned here, by id
        self.started_at = {}  # class -> when a task of it was last started, on the loop's clock
        self.jobs_seen = {}  # class -> number of its jobs ever owned here
        # Inherited jobs that wait for their dependencies here, whose previous owner may have started them; an
        # ordered set.
        self._perhaps_started = {}
        # Taken over in this turn of the loop; the shard leaders are asked again for them.
        self._newly_owned = []
        self.new_jobs = []  # jobs added since the dispatcher last read the queue
        self.jobs_done = {}  # ("class", "team" or "largest", its name) -> number of jobs done here
        self._sizes = {}  # class -> sorted CPU totals of its jobs ever owned here
        self.version = 0  # incremented when the queue has to be sorted again
        self.final_records = {}  # id -> final record of jobs known to be over
        self._creations = {}  # id -> Future of (is new, record)
        self._being_created = {}  # id -> Job whose first record is being written
        # Ids in `_being_created` that another controller has read and cancelled
        self._cancelled_early = set()
        # Jobs being taken over whose record does not name this owner yet; an ordered set.
        self._taking_over = {}
        self._attempts = 0
        self._without_owner = []  # accepted while quota partitions were closing
        # Id -> Job cancelled with one of its dependencies, whose final record is not yet written
        self._upstream_cancelled = {}
        self._newly_released = []  # inherited jobs released in this turn of the loop
        context = OwnerContext(loop, member, send, changed, counters.add, time_of_day, lease_s)
        self.leader_commands = LeaderCommands(member, send, self.jobs)
        self.reconciliation = Reconciliation(context, self.jobs, self._on_reconciled)
        self.task_reports = TaskReports(context, self)
        self.dependency_queue = make_dependency_queue(self)
        self._parts = parts
        self.recorder = recorder_of(self._on_written, self._on_conflict, self._on_refused, changed)

    @property
    def _identity(self):
        """(label, incarnation) of this controller, as job records name their owner."""
        return (self._member.label, self._member.incarnation)

    def attempt(self):
        """Returns an attempt number that no other attempt of any incarnation has."""
        self._attempts += 1
        return (self._member.incarnation << 24) + self._attempts

    # Admission

    def create(self, spec):
        """Creates a job. Returns a Future of (is new, record or None), durable once it completes.

        A repeated submission of a job that is still being created gets the same Future.
        """
        pending = self._creations.get(spec.id)
        if pending is None:
            pending = self._creations[spec.id] = Future()
            owner = self._identity
            if not self.quota.owns(spec.team):
                owner = NO_OWNER  # the quota leader takes it over
            job = self._being_created[spec.id] = Job(spec, owner, self._time_of_day())
            if not job.is_waiting or self.recorder.fits_record(job):
                self.recorder.schedule_write(job, URGENT)
            else:
                self._loop.spawn(self._write_parts(job), "parts")
        return pending

    async def _write_parts(self, job):
        """Writes the dependency list first, for a job whose record is too small to hold it."""
        written = await self._parts.write(job.id, job.spec.upstream, self._loop.now() + self._lease_s)
        if written is None:
            self._on_refused(job)
            return
        job.parts, job.creation_condition = written
        self.recorder.schedule_write(job, URGENT)

    def arriving_jobs(self, max_unconfirmed_cpus):
        """Returns the jobs whose tasks will soon wait here, for the rental of machines.

        These are creations found to be new and jobs being taken over. A submission by itself is no reason to
        rent machines: it may be a retry of a job that ended long ago. Only while nobody can tell which
        creations are new, unconfirmed ones with up to `max_unconfirmed_cpus` CPUs in total are counted as
        well.
        """
        unconfirmed = []
        for job in self._being_created.values() if self.recorder.newness_unknown else ():
            cpus = job.spec.cpus * len(job.unstarted)
            if job not in self.recorder.confirmed_new and cpus <= max_unconfirmed_cpus and not job.is_waiting:
                max_unconfirmed_cpus -= cpus
                unconfirmed.append(job)
        confirmed_new = [job for job in self.recorder.confirmed_new if not job.is_waiting]
        return [*confirmed_new, *unconfirmed, *{**self._taking_over, **self.reconciliation.inherited}]

    def _finish_creation(self, job):
        """Ends a creation whose outcome is known. Returns the Future that waits for it, or None.

        Also returns None for a job that is being taken over while a repeated submission of it is still
        creating it here.
        """
        if self._being_created.get(job.id) is not job:
            return None
        del self._being_created[job.id]
        return self._creations.pop(job.id)

    def _accept(self, job):
        """Completes a creation whose record was stored. Returns its result: (is new, record or None).

        Other controllers can read a record before the answer to its write arrives here. If one of them has
        cancelled the job by then, none of its tasks is started.
        """
        if job.id not in self._cancelled_early:
            self._on_created(job)
            return True, None
        self._cancelled_early.discard(job.id)
        record = self.final_records.get(job.id) or job.final("cancelled")
        self.remember_final(job.id, record)
        if job.owner == self._identity:
            self.recorder.schedule_delete(CANCEL + job.id)  # no other owner can have started any of its tasks
        return False, record

    def _on_written(self, job, recorded, state):
        """Callback of the recorder: a job's record is stored.

        `recorded` holds the tasks that the record says are done, `state` the job's state in it.
        """
        pending = self._finish_creation(job)
        if pending is not None:
            pending.set(self._accept(job))
            return
        if self._taking_over.pop(job, False):
            self._on_taken_over(job)
            self._changed()
        if state in FINAL:
            announced = self._upstream_cancelled.pop(job.id, None) is not None
            self._on_ended(job, job.final(state), announced)
            return
        ended = [i for i, b in job.bound.items() if b.status == "exited" and i in recorded]
        self.forget(job.id, [(index, job.bound.pop(index)) for index in ended])

    def _on_created(self, job):
        """Starts to own a job just created, or hands it to its quota leader or to the dependency tracking."""
        if job.owner == NO_OWNER:
            if self.quota.closing:
                self._without_owner.append(job)
            self._on_orphan(job)
        elif not self.dependency_queue.add_waiting(job):
            self._add_owned(job)

    # Quota partitions

    def idle_partitions(self):
        """Returns the quota partitions held here that have no jobs and no cancelled tasks that may still run.

        Jobs being created, taken over or waiting for their dependencies count as jobs of their partition.
        """
        groups = {
            self.teams.group(job.spec.team) for job in (*self._being_created.values(), *self._taking_over)
        }
        groups |= {self.teams.group(team) for team in self.dependency_queue.dependencies.by_team}
        return self.quota.idle({*groups, *self.accounts.groups()})

    def _remove_owned(self, job):
        """Stops owning a job. Returns whether it was owned here."""
        self.reconciliation.inherited.pop(job, None)
        if self.jobs.pop(job.id, None) is not None:
            self.accounts.leave(job)
            return True
        return False

    def among_largest(self, job, part=LARGEST_ONE_IN):
        """Returns whether the job is in the largest 1/`part` of its class and larger than the median."""
        sizes = self._sizes[job.spec.klass]
        size = job.spec.tasks * job.spec.cpus
        return size >= sizes[-1 - int(len(sizes) / part)] and size > sizes[len(sizes) // 2]

    def _add_owned(self, job):
        """Starts to own a job: its tasks enter the queue and its team's account."""
        sizes = self._sizes.setdefault(job.spec.klass, [])
        if len(sizes) < MAX_SIZES_PER_CLASS:
            insort(sizes, job.spec.tasks * job.spec.cpus)
        self.jobs[job.id] = job
        self.accounts.enter(job)
        if job.unreconciled_leaders:
            self.accounts.unreconciled(job)
            self.reconciliation.inherited[job] = True
        self.new_jobs.append(job)
        self.jobs_seen[job.spec.klass] = self.jobs_seen.get(job.spec.klass, 0) + 1
        self._changed()

    def _on_ended(self, job, record, counted=False):
        """Handles the durable end of a job.

        `counted` is true if another controller wrote the end, and has already counted it for the summary and
        announced it.
        """
        self.remember_final(job.id, record)
        self._archive(job.id, record, job.stamp)
        self.recorder.cancel_write(job)
        if not counted:
            self.dependency_queue.announce_end(job.id, record)
        if record["s"] == "done":
            if self._remove_owned(job) and not counted:
                self._on_finished(job, self._time_of_day())
                keys = [("class", job.spec.klass), ("team", job.spec.team)]
                if self.among_largest(job):
                    keys.append(("largest", job.spec.klass))
                for key in keys:
                    self.jobs_done[key] = self.jobs_done.get(key, 0) + 1
            self.forget(job.id, job.bound.items())
            job.bound.clear()

    def remember_final(self, job_id, record):
        """Keeps the final record of a job that is known to be over; the oldest are forgotten first."""
        if len(self.final_records) > MAX_FINAL_RECORDS:
            self.final_records.pop(next(iter(self.final_records)))
        known = job_id in self.final_records
        self.final_records[job_id] = record
        if not known:
            self.dependency_queue.on_job_ended(job_id, record)

    def _on_conflict(self, job, record, stamp):
        """Callback of the recorder: the stored record is not the one expected.

        Either another controller wrote it, or a write of ours without an answer took effect.
        """
        mine = record is not None and record["s"] == "open" and tuple(record["o"]) == self._identity
        pending = self._finish_creation(job)
        if pending is not None:
            self.recorder.cancel_write(job)
            if (
                record is not None
                and record["s"] == "open"
                and ((tuple(record["o"]), record["at"]) == (job.owner, job.accepted_at))
            ):
                job.stamp = stamp
                pending.set(self._accept(job))
            else:
                self._cancelled_early.discard(job.id)
                pending.set((False, record))
            return
        if not job.stamp:
            return  # the creation's outcome was already found by a check of waiting creations
        if record is None:
            log.error("job %s: its record is missing in the state service", job.id)
            self.recorder.cancel_write(job)
            return
        if record["s"] in FINAL:
            inherited = self._stop_takeover(job)
            self.recorder.cancel_write(job)
            self._upstream_cancelled.pop(job.id, None)
            if record["s"] == "done":
                job.stamp = stamp
                self._on_ended(job, record, inherited)
            else:
                if job.unreconciled_leaders and job.id in self.jobs:
                    # the shard leaders have yet to report which of its tasks run
                    self.accounts.unreconciled(job)
                self.cancelled(job.id, record)
            return
        if mine:
            job.stamp = stamp
            return  # still scheduled, so it is written again under the new stamp
        if (job in self._taking_over or job.id in self._upstream_cancelled) and not self._member.term.serves(
            *record["o"]
        ):
            job.stamp = stamp
            return
        log.info("job %s has a new owner: %s", job.id, record["o"])
        if self._stop_takeover(job):
            # The shard leaders were asked for it from here and report to this controller.
            self._send(record["o"][0], frames.OrphanedJob(job.id))
        self.recorder.cancel_write(job)
        self._upstream_cancelled.pop(job.id, None)
        self.dependency_queue.dependencies.remove(job)
        self._remove_owned(job)
        self.version += 1

    def _stop_takeover(self, job):
        """Stops the takeover of a job. Returns whether it was being taken over."""
        if not self._taking_over.pop(job, False):
            return False
        job.taking_over = False
        self.accounts.reconciled(job)
        return True

    # Takeover

    def _on_taken_over(self, job):
        """Ends the takeover of a job: its record names this owner, or it is over.

        No other controller takes it over from the previous owner any more.
        """
        job.taking_over = job.owned_by_predecessor = False
        if not self._newly_owned:
            self._loop.call_soon(self._sync_newly_owned)
        self._newly_owned.append(job)

    def _sync_newly_owned(self):
        """Tells the shard leaders about the jobs whose records name this owner as of this turn of the loop.

        Another controller may have asked the shard leaders for these jobs meanwhile, before it learned that
        it is not their owner, and the shard leaders report to that controller since. Asking again points them
        to this owner.
        """
        jobs, self._newly_owned = self._newly_owned, []
        self.reconciliation.ask_all([job for job in jobs if self.jobs.get(job.id) is job])

    def reassert_ownership(self, job_id):
        """Tells the shard leaders again who owns a job, because another controller asked them for it."""
        job = self.jobs.get(job_id)
        if job is not None and not job.taking_over:
            self.reconciliation.ask_all([job])

    def knows(self, job_id):
        """Returns whether this controller is responsible for the job and knows of no final record."""
        return (
            job_id in self.jobs
            or job_id in self.dependency_queue.dependencies.jobs
            or job_id in self._upstream_cancelled
        )

    def take_over(self, items):
        """Takes over jobs from owners that the term no longer names.

        `items` are (open record, stamp). Each takeover needs a write that names the new owner, and none of
        the job's tasks starts before it is durable. The shard leaders are asked for the tasks of all these
        jobs at once meanwhile.
        """
        adopted = []
        for record, stamp in items:
            job = from_record(record, self._identity, stamp)
            if not self.knows(job.id) and self.quota.owns(job.spec.team):
                job.owned_by_predecessor = True
                if not self.dependency_queue.add_waiting(job):
                    adopted.append(job)
                    self._start_takeover(job)
                elif (
                    record["o"][0]
                    and self.quota.is_limited(job.spec.team)
                    and job.id in self.dependency_queue.dependencies.jobs
                ):
                    self._perhaps_started[job] = True
                    self.accounts.unreconciled(job)
        if adopted:
            self.reconciliation.ask_all(adopted)

    def _start_takeover(self, job):
        """Starts the takeover of a job: it is owned here, but none of its tasks starts before the write."""
        job.taking_over = self._taking_over[job] = True
        self._add_owned(job)
        self.recorder.schedule_write(job, SOON)

    def _on_reconciled(self, job):
        """Every shard leader has reported all that it knows of an inherited job."""
        self.accounts.reconciled(job)
        if job.state == "cancelled":
            self._release_cancelled(job)
        if job.gang and job.unstarted and job.bound:
            self._stop_gang(job)  # its owner ended while starting them

    # Dependencies (pipelines/dependency_queue.py)

    def never_started(self, job):
        """Notes that the previous owner cannot have started a waiting job.

        That is certain while one of its dependencies is not done, or if one was cancelled.
        """
        if self._perhaps_started.pop(job, False):
            self.accounts.reconciled(job)

    def on_waiting_dropped(self, job):
        """Forgets an inherited job that waits for its dependencies, because the owners have changed.

        Until all records are read again, nobody knows which tasks of its team may be running.
        """
        if job in self._perhaps_started:
            self.never_started(job)
            self.quota.mark_unread(job.spec.team)

    def on_upstream_done(self, job):
        """Starts a job whose dependencies are all durably done.

        If its owner ended before, that owner may have started it already. Such a job is therefore taken over
        only now, with a write, like any other inherited job.
        """
        if not job.owned_by_predecessor:
            self._add_owned(job)
            return
        self._perhaps_started.pop(job, None)  # it counts as being taken over from now on
        self._start_takeover(job)
        if not self._newly_released:
            self._loop.call_soon(self._sync_released)
        self._newly_released.append(job)

    def _sync_released(self):
        """Asks the shard leaders for tasks of the inherited jobs released in this turn of the loop."""
        jobs, self._newly_released = self._newly_released, []
        self.reconciliation.ask_all([job for job in jobs if self.jobs.get(job.id) is job])

    def cancel_with_upstream(self, job):
        """Cancels a waiting job because one of its dependencies is cancelled.

        The job counts as cancelled at once; its own record is written with low urgency.
        """
        self.never_started(job)
        self._upstream_cancelled[job.id] = job
        record = {**job.final(job.state), "above": True}
        self.remember_final(job.id, record)
        self.dependency_queue.announce_end(job.id, record)
        self.recorder.schedule_write(job, LATER)

    def raise_urgency(self, job, rank):
        """Raises the urgency of an open job to that of a job that depends on it."""
        self.accounts.raise_urgency(job, rank)
        self.version += 1
        self._changed()

    # Task attempts

    def bind(self, job, machine, zone, attempt=None):
        """Takes a free task of the job for a start. Returns (index, attempt).

        `attempt` is given for the tasks of a gang, which share one attempt number.
        """
        index = job.unstarted.pop()
        self.started_at[job.spec.klass] = self._loop.now()
        attempt = attempt or self.attempt()
        binding = job.bound[index] = Binding(machine, zone, attempt, LAUNCHING, self._loop.now())
        self.accounts.hold(job, binding)
        return index, attempt

    def _on_refused(self, job):
        """Callback of the recorder: a creation did not take effect and never will.

        The result is (False, None): the user has to submit the job again.
        """
        pending = self._finish_creation(job)
        self._cancelled_early.discard(job.id)
        if pending is not None:
            pending.set((False, None))

    def pending(self):
        """Returns the creations under way: a map of job ids to the Futures of their outcomes."""
        return self._creations

    def count_creating(self, group):
        """Returns how many jobs of a group are being created here."""
        return sum(self.teams.group(job.spec.team) == group for job in self._being_created.values())

    def resolve_unowned(self):
        """Announces the jobs without an owner once the handover of quota partitions has an outcome.

        The partitions that were closing either stay here after all or surely have another leader. Their quota
        leaders are told of the jobs accepted meanwhile.
        """
        for job in self._without_owner:
            self._on_orphan(job)
        self._without_owner = []

    def stop_group(self, group):
        """Stops all running tasks of a group. They save their state if they can, and wait again."""
        account = self.accounts.get(group)
        for job in account.jobs if account is not None else ():
            for index, binding in job.bound.items():
                if binding.held and job.state == "open":
                    self.stop(job, index, binding, job.spec.save_s)

    def stop(self, job, index, binding, grace_s):
        """Stops a task, with `grace_s` seconds to save its state.

        If its job is open and it is not done, it waits again once it is surely gone.
        """
        self.leader_commands.stop(job, index, binding, grace_s)

    def unbind(self, job, index):
        """Handles an attempt that is surely on no machine.

        Its task waits again, unless it is done or its job is over.
        """
        self.accounts.release_held(job, job.bound.pop(index))
        if job.state == "open" and index not in job.done:
            job.unstarted.append(index)
            if job.gang:
                self._stop_gang(job)
            self._changed()
        elif job.state == "cancelled":
            self._release_cancelled(job)

    def _release_cancelled(self, job):
        """Releases a cancelled job and its cancellation mark once none of its tasks can be on any machine.

        Shard leaders that have not reported yet may still find tasks of it, and they learn of the
        cancellation from the mark alone.
        """
        if not job.bound and not job.unreconciled_leaders:
            self._remove_owned(job)
            self.recorder.schedule_delete(CANCEL + job.id)

    def _stop_gang(self, job):
        """Stops the rest of a gang that lost a task; all start again once they are surely gone.

        A task is never restarted alone under the gang's attempt number: a late launch of the old one could
        still arrive, and nobody could tell the two apart.
        """
        for index, binding in job.bound.items():
            if binding.status not in ("exited", "saving"):
                self.stop(job, index, binding, job.spec.save_s)

    def forget(self, job_id, bindings):
        """Has the shard leaders forget ended attempts, given as (index, binding) pairs."""
        self.leader_commands.forget(
            [(binding.machine, job_id, index, binding.attempt) for index, binding in bindings]
        )

    def cancelled(self, job_id, record=None):
        """Handles the durable cancellation of a job. `record` is its final record, if known."""
        if job_id in self._upstream_cancelled:
            return  # its end is being written; the conflict of that write reports this cancellation
        if job_id in self._being_created:
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
            return  # its end is being written; the outcome of that write shows which came first
        job.state = "cancelled"
        self.recorder.cancel_write(job)
        if self._taking_over.pop(job, False):
            self._on_taken_over(job)  # the write of its takeover may never have an outcome
        if record is not None:
            self.remember_final(job_id, record)
        job.unstarted.clear()
        ended = [(index, binding) for index, binding in job.bound.items() if binding.status == "exited"]
        self.forget(job_id, ended)
        for index, _binding in ended:
            del job.bound[index]
        for index, binding in list(job.bound.items()):
            self.stop(job, index, binding, 0.0)
        self._release_cancelled(job)

    def _ask_for_tasks(self, job):
        """Asks the shard leaders for tasks of an inherited job that is cancelled while it waits here.

        Its previous owner may have released it and started some. They count against the team's limit, and the
        cancellation mark stays, until the shard leaders have reported them.
        """
        self._perhaps_started.pop(job, None)
        job.release(self._time_of_day())
        job.unstarted.clear()
        self._add_owned(job)
        self.reconciliation.ask_all([job])
