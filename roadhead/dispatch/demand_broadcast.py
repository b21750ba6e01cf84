"""Announces one controller's demand, the tasks that wait there, to all shard leaders and to the renter."""

from roadhead.dispatch.headroom import SharedHeadroom, WaitingTasks
from roadhead.fleet.provisioning import SUSPECTED_FAULTY_URGENCY
from roadhead.fleet.quota_limits import QuotaMark, encode_urgency
from roadhead.machines.placement_rules import split_by_zone
from roadhead.wire import frames

MAX_ROWS = 256  # rows of a Demand frame, which keeps it far below the frame size limit
BORROWING_RANK_STEP = 5  # added to the urgency of work beyond its team's guarantee, where teams share
# Share of this controller's part of the fleet's CPUs that may be rented for submissions that can't be
# checked against the stored records, and so may be retries of jobs that have ended.
UNVERIFIED_SHARE = 0.25


class DemandBroadcaster:
    """Sends Demand frames to the members when the waiting work has changed, at most one per `gap_s`.

    `idle_count()` returns the length of the idle list; `request_pass()` schedules a placing pass, which calls
    `broadcast()` at its end; `zones`: those of the deployment.
    """

    def __init__(
        self, loop, member, job_store, queue, send, counters, gap_s, idle_count, request_pass, zones
    ):
        self._loop = loop
        self._member = member
        self._job_store = job_store
        self._queue = queue
        self._send = send
        self._count = counters.add
        self._gap_s = gap_s
        self._idle_count = idle_count
        self._request_pass = request_pass
        self._zones = zones
        # {(shape, startable, leads): count} as last sent; None if the leaders' copies may be out of date.
        self._announced = None
        self._scanned_at = -1e9
        self._timer = None

    def invalidate(self):
        """Has the demand sent again: leaders may count tasks as served that still wait."""
        self._announced = None

    def refresh(self):
        """Sends the demand again, in case the copies of the leaders and the renter are out of date."""
        if self._announced:
            self._announced = None
            self._request_pass()

    def repeat_empty(self):
        """Sends again that nothing waits: `refresh` sends only what does."""
        if self._announced == {}:
            self._announced = None
            self._request_pass()

    def skip_interval(self):
        """Has the demand sent with the next pass: a controller joined or its link came up."""
        self._announced = None
        self._scanned_at = -1e9

    def broadcast(self):
        """Sends the demand to every member, so that shard leaders grant fitting machines to this controller.

        It includes tasks that can't start yet, since new machines take long to boot. The queue is
        scanned at most once per `gap_s`, not with every placing pass.
        """
        now = self._loop.now()
        if now < self._scanned_at + self._gap_s:
            if self._timer is None:
                self._timer = self._loop.call_at(self._scanned_at + self._gap_s, self._on_timer)
            return
        parts = self._collect_parts()
        if not parts and not self._announced and self._announced is not None:
            return
        self._scanned_at = now
        rows = {}
        images = {}
        first = next((part for part in parts if part.startable and part.within), None)
        for part in parts:
            if part.within:
                self._add_rows(rows, part, part.within, part.mark)
            if part.within and part.startable and part.job.rank == first.job.rank and part.job.spec.image:
                images[part.job.spec.image] = True
        if self._queue.fair_share is not None or any(leads for _shape, _startable, leads in rows):
            rows = dict(sorted(rows.items(), key=lambda item: item[1][3]))
        for part in parts:
            # Tasks beyond their team's limit come last: no machine is needed for them, so they are the first
            # to go where the number of rows is cut.
            if part.within < part.count and part.mark is not QuotaMark.PENDING:
                self._add_rows(rows, part, part.count - part.within, QuotaMark.BEYOND)
        announced = {key: row[0] for key, row in rows.items()}
        if announced == self._announced:
            return
        if len(rows) > MAX_ROWS:
            # The first in the queue are sent; the others follow as those are served.
            self._count("demand_cut")
        self._announced = announced
        frame = frames.Demand(
            self._idle_count(),
            [
                (
                    rank,
                    cpus,
                    gpus,
                    memory,
                    count,
                    spot,
                    zone,
                    list(types),
                    work / count,
                    klass,
                    slack,
                    startable,
                    place,
                )
                for ((rank, cpus, gpus, memory, spot, zone, types, klass), startable, _leads), (
                    count,
                    work,
                    slack,
                    place,
                ) in list(rows.items())[:MAX_ROWS]
            ],
            list(images)[:MAX_ROWS],
        )
        for label in self._member.term.members:
            self._send(label, frame)

    def _on_timer(self):
        self._timer = None
        self._request_pass()

    def _collect_parts(self):
        """Returns the tasks that wait or soon will, each part with how much of it its team's limit admits."""
        parts = [part for job in self._queue.waiting() for part in self._split(job, True)]
        for job in self._job_store.arriving_jobs(UNVERIFIED_SHARE * self._queue.capacity()):
            if job.unstarted and not job.suspected_faulty:
                parts += self._split(job, False)
        if self._job_store.quota.has_limits:
            # Startable tasks get the headroom first, in queue order.
            SharedHeadroom(self._job_store.quota).share(
                sorted(parts, key=lambda part: (not part.startable, part.queue_position))
            )
        return parts

    def _split(self, job, startable):
        """Returns one job's waiting tasks, in parts of the same urgency and position.

        The leading task is split from the others; where teams share the fleet, tasks within the team's
        guarantee are split from those that borrow.
        """
        rank = SUSPECTED_FAULTY_URGENCY if job.suspected_faulty else job.rank
        count = max(1, job.startable() - job.reserved_tasks)
        if job.first_task_leads and startable:
            first = WaitingTasks(job, 1, rank, job.queue_position, True, first_task_leads=True)
            return [first, WaitingTasks(job, count - 1, rank, job.borrowed_position, True)][:count]
        if self._queue.fair_share is None or not startable:
            return [
                WaitingTasks(
                    job, count, rank, job.queue_position, startable, first_task_leads=job.first_task_leads
                )
            ]
        guaranteed = min(job.within_guarantee, count)
        parts = [
            WaitingTasks(job, guaranteed, rank, job.queue_position, True),
            WaitingTasks(job, count - guaranteed, rank + BORROWING_RANK_STEP, job.borrowed_position, True),
        ]
        return [part for part in parts if part.count > 0]

    def _add_rows(self, rows, part, count, mark):
        """Adds `count` tasks of the part to the rows of their shape, by the zones that they must run in."""
        for zone, number in split_by_zone(part.job, count, self._zones):
            self._add_row(rows, part, number, mark, zone)

    def _add_row(self, rows, part, count, mark, zone):
        """Adds `count` tasks of the part that may run in `zone`, "" for any, to the row of their shape."""
        job = part.job
        # A gang's tasks must all run at once: with no run time in the row, the renter rents for all of them.
        work = 0.0 if job.gang else count * job.spec.estimate_s
        slack = self._queue.slack(job)
        _rank, cpus, gpus, memory, spot, _zone, types, klass = job.shape
        shape = (encode_urgency(part.rank, mark), cpus, gpus, memory, spot, zone, types, klass)
        startable = part.startable and mark in (QuotaMark.PLAIN, QuotaMark.WITHIN)
        row = rows.get((shape, startable, part.first_task_leads))
        if row is None:
            rows[shape, startable, part.first_task_leads] = [count, work, slack, part.queue_position]
        else:
            row[0] += count
            row[1] += work
            row[2] = min(row[2], slack)
