"""What waits, told to every home and to the renter."""

from roadhead.fleet.plan import DOUBTFUL
from roadhead.homes.machine import times
from roadhead.wire import frames

ROWS_MOST = 256  # of a Demand, so that a frame stays far below its bound
BORROWED = 5  # added to the urgency of work beyond its team's guarantee, where teams share
ON_WORD = 0.25  # of the CPUs that fall to this controller: rented at most on submissions nobody can check


class Teller:
    """`listed()`: how many machines are on the idle list; `again()`: look at what waits once more."""

    def __init__(self, loop, member, book, queue, send, counters, gap_s, listed, may_start, again):
        self._loop = loop
        self._member = member
        self._book = book
        self._queue = queue
        self._send = send
        self._count = counters.add
        self._gap_s = gap_s
        self._listed = listed
        self._may_start = may_start
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
        waiting = [job for job in self._queue.waiting() if self._may_start(job)]
        coming = self._book.coming(ON_WORD * self._queue.capacity())
        if not waiting and not coming and not self._told and self._told is not None:
            return
        self._looked_at = now
        rows = {}
        images = {}
        for job in waiting:
            self._add_row(rows, job, True)
            if job.rank == waiting[0].rank and job.spec.image:
                images[job.spec.image] = True
        for job in coming:
            if job.free and not job.doubtful:
                self._add_row(rows, job, False)
        if self._queue.sharing is not None or any(leads for _shape, _startable, leads in rows):
            rows = dict(sorted(rows.items(), key=lambda item: item[1][3]))
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

    def _add_row(self, rows, job, startable):
        for count, rank, place in self._parts(job, startable):
            self._add_part(rows, job, startable, job.leads and place == job.place, count, rank, place)

    def _parts(self, job, startable):
        """(tasks, urgency, place in the queue) of what waits of a job: the task that leads, and the others;
        where teams share, what is within its team's guarantee, and the rest as far as its limit leaves room
        for it."""
        rank = DOUBTFUL if job.doubtful else job.rank
        count = max(1, job.startable() - job.gathered)
        if job.leads and startable:
            return ((1, rank, job.place), (count - 1, rank, job.later))[:count]
        if self._queue.sharing is None or not startable:
            return ((count, rank, job.place),)
        sure = min(job.sure, count)
        more = min(count, times(job.need, self._book.headroom(job.spec.team))) - sure
        parts = ((sure, rank, job.place), (more, rank + BORROWED, job.later))
        return [part for part in parts if part[0] > 0]

    def _add_part(self, rows, job, startable, leads, count, rank, place):
        # A group's tasks are of use only side by side: without a run time the renter
        # finds room for all of them at once.
        work = 0.0 if job.gang else count * job.spec.estimate_s
        slack = self._queue.slack(job)
        shape = (rank, *job.shape[1:])
        row = rows.get((shape, startable, leads))
        if row is None:
            rows[shape, startable, leads] = [count, work, slack, place]
        else:
            row[0] += count
            row[1] += work
            row[2] = min(row[2], slack)
