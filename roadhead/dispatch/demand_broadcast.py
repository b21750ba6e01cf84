"""What waits, told to every home and to the renter."""

from roadhead.dispatch.headroom import SharedHeadroom, WaitingTasks
from roadhead.fleet.provisioning import DOUBTFUL
from roadhead.fleet.quota_limits import QuotaMark, encode_urgency
from roadhead.wire import frames

ROWS_MOST = 256  # of a Demand, so that a frame stays far below its bound
BORROWED = 5  # added to the urgency of work beyond its team's guarantee, where teams share
ON_WORD = 0.25  # of the CPUs that fall to this controller: rented at most on submissions nobody can check


class DemandBroadcaster:
    """`listed()`: how many machines are on the idle list; `again()`: look at what waits once more."""

    def __init__(self, loop, member, job_store, queue, send, counters, gap_s, listed, again):
        self._loop = loop
        self._member = member
        self._job_store = job_store
        self._queue = queue
        self._send = send
        self._count = counters.add
        self._gap_s = gap_s
        self._listed = listed
        self._again = again
        self._told = None  # what homes go by; None: they may have lost count of it
        self._looked_at = -1e9
        self._timer = None

    def forget(self):
        """Homes may count as served what is not: it is said again."""
        self._told = None

    def refresh(self):
        """Says again what waits, in case homes and renter have lost count of it."""
        if self._told:
            self._told = None
            self._again()

    def at_once(self):
        """A controller joined or its link came up: it has yet to hear what waits here."""
        self._told = None
        self._looked_at = -1e9

    def tell(self):
        """What still waits, to every home: the room that fits it may then be granted here.

        The renter also hears of what is not startable yet: machines take long to come. What waits
        is looked through once a gap at the most, not with every pass.
        """
        now = self._loop.now()
        if now < self._looked_at + self._gap_s:
            if self._timer is None:
                self._timer = self._loop.call_at(self._looked_at + self._gap_s, self._due)
            return
        parts = self._all_parts()
        if not parts and not self._told and self._told is not None:
            return
        self._looked_at = now
        rows = {}
        images = {}
        first = next((part for part in parts if part.startable and part.within), None)
        for part in parts:
            if part.within:
                self._add_row(rows, part, part.within, part.mark)
            if part.within and part.startable and part.job.rank == first.job.rank and part.job.spec.image:
                images[part.job.spec.image] = True
        if self._queue.fair_share is not None or any(leads for _shape, _startable, leads in rows):
            rows = dict(sorted(rows.items(), key=lambda item: item[1][3]))
        for part in parts:
            # These come last: where rows are cut, first those that no room is needed for.
            if part.within < part.count and part.mark is not QuotaMark.PENDING:
                self._add_row(rows, part, part.count - part.within, QuotaMark.BEYOND)
        told = {key: row[0] for key, row in rows.items()}
        if told == self._told:
            return
        if len(rows) > ROWS_MOST:
            # The first in the queue are told; the others follow as those are served.
            self._count("demand_cut")
        self._told = told
        frame = frames.Demand(
            self._listed(),
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
                ) in list(rows.items())[:ROWS_MOST]
            ],
            list(images)[:ROWS_MOST],
        )
        for label in self._member.term.members:
            self._send(label, frame)

    def _due(self):
        self._timer = None
        self._again()

    def _all_parts(self):
        """What waits and what will shortly, each with how much of it its team's limit leaves room for."""
        parts = [part for job in self._queue.waiting() for part in self._parts(job, True)]
        for job in self._job_store.arriving_jobs(ON_WORD * self._queue.capacity()):
            if job.unstarted and not job.suspected_faulty:
                parts += self._parts(job, False)
        if self._job_store.quota.has_limits:
            # What is startable comes first, and of that what comes first in the queue.
            SharedHeadroom(self._job_store.quota).share(
                sorted(parts, key=lambda part: (not part.startable, part.queue_position))
            )
        return parts

    def _parts(self, job, startable):
        """What waits of a job: the task that leads, and the others; where teams share, what is within its
        team's guarantee, and the rest."""
        rank = DOUBTFUL if job.suspected_faulty else job.rank
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
        sure = min(job.within_guarantee, count)
        parts = [
            WaitingTasks(job, sure, rank, job.queue_position, True),
            WaitingTasks(job, count - sure, rank + BORROWED, job.borrowed_position, True),
        ]
        return [part for part in parts if part.count > 0]

    def _add_row(self, rows, part, count, mark):
        # A group's tasks are of use only side by side: without a run time the renter
        # finds room for all of them at once.
        job = part.job
        work = 0.0 if job.gang else count * job.spec.estimate_s
        slack = self._queue.slack(job)
        shape = (encode_urgency(part.rank, mark), *job.shape[1:])
        startable = part.startable and mark in (QuotaMark.PLAIN, QuotaMark.WITHIN)
        row = rows.get((shape, startable, part.first_task_leads))
        if row is None:
            rows[shape, startable, part.first_task_leads] = [count, work, slack, part.queue_position]
        else:
            row[0] += count
            row[1] += work
            row[2] = min(row[2], slack)
