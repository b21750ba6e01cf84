"""A dispatcher: the idle list of granted room, the queue order, and random placement.

No sockets here: grants come in as calls, frames go out through `send(home, frame)`.
"""

import heapq
import logging

from roadhead.dispatch.gangs import Gathering, seats
from roadhead.fleet.plan import DOUBTFUL
from roadhead.homes.machine import fits, times
from roadhead.wire import frames

log = logging.getLogger("roadhead.dispatch")

NO_AIMS = ((), (), ())
HOPE = 0.7  # of the estimated run time: less than that left, and an aim is taken for lost
TIERS = (0, 1, 2, 2)  # by urgency: the urgent come strictly first, the others by what is due
TIER_DOUBTFUL = 3  # jobs that fail wherever they run come last
TIER_STEP = 1e4  # windows between tiers
RANK_STEP = 2.5  # windows by which each step of urgency comes earlier within a tier
ROWS_MOST = 256  # of a Demand, so that a frame stays far below its bound
AIMLESS = 10  # times the aim assumed by default: the slack of jobs of which nothing is expected
BORROWED = 5  # added to the urgency of work beyond its team's guarantee, where teams share
ON_WORD = 0.25  # of the CPUs that fall to this controller: rented at most on submissions nobody can check
ROUNDS = 16  # of a placing pass, where teams share
HOPELESS = 0.25  # of its age by which a job without aims in reach still moves forward


class Listing:
    """Granted room on the idle list. `unacked`: starts sent that the room does not allow for."""

    __slots__ = (
        "home",
        "id",
        "images",
        "room",
        "serial",
        "spot",
        "taken",
        "type",
        "unacked",
        "until",
        "zone",
    )

    def __init__(self, frame, until):
        self.id = frame.machine
        self.home = frame.home
        self.serial = frame.serial
        self.type = frame.type
        self.zone = frame.zone
        self.spot = frame.spot
        self.images = set()
        self.taken = 0
        self.unacked = []
        self.room = (0.0, 0.0, 0.0)
        self.until = until

    def update(self, frame, until):
        del self.unacked[: max(0, frame.taken - self.taken)]
        self.taken = max(self.taken, frame.taken)
        self.until = until
        self.images = set(frame.images)
        self.room = (frame.cpus, frame.gpus, frame.memory)
        for need in self.unacked:
            self._use(need)

    def _use(self, need):
        self.room = tuple(free - part for free, part in zip(self.room, need, strict=True))

    def take(self, need):
        self.unacked.append(need)
        self._use(need)


class Dispatcher:
    def __init__(self, loop, label, member, book, aims, random, send, counters, gap_s, window_s,
                 default_aim_s):
        self._loop = loop
        self.label = label
        self._member = member
        self._book = book
        # class -> (seconds to be complete within, times of its deadline, seconds to start within)
        self._aims = aims
        self._default_aim_s = default_aim_s
        self._random = random
        self._send = send
        self._count = counters.add
        self._gap_s = gap_s
        self._window_s = window_s
        self.idle = {}  # machine -> Listing
        self._placing = False
        self._order = []  # open jobs in queue order, as of `_ordered_at`
        self._ordered_at = -1e9
        self._ordered = 0  # the book's version then
        self._demand = None
        self._demand_at = -1e9
        self._demand_timer = None
        self.time_of_day = None
        self.capacity = lambda: 0.0  # CPUs that fall to this controller
        # Where teams share by guarantee and weight: the order, and who gets room back.
        self.sharing = self.preemption = None
        self._gathering = Gathering(loop, window_s, random, self.changed)

    def changed(self):
        if not self._placing:
            self._placing = True
            self._loop.call_soon(self._place)

    # The idle list

    def on_grant(self, frame):
        until = self._loop.now() + frame.lapse_s
        listing = self.idle.get(frame.machine)
        if listing is None or listing.serial != frame.serial:
            listing = self.idle[frame.machine] = Listing(frame, until)
            self._count("grants_received")
        listing.update(frame, until)
        self.changed()

    def on_revoke(self, frame):
        listing = self.idle.get(frame.machine)
        if listing is not None and listing.serial <= frame.serial:
            del self.idle[frame.machine]
            self._demand = None
            self.changed()

    def on_refused(self, frame):
        listing = self.idle.pop(frame.machine, None)
        self._demand = None
        if listing is not None:
            self._send(listing.home, frames.Return(listing.id, listing.serial, len(self.idle)))

    def home_down(self, label):
        for name in [n for n, listing in self.idle.items() if listing.home == label]:
            del self.idle[name]

    def on_term(self):
        """Grants are of the term that gave them."""
        self.idle.clear()
        self._demand = None
        self.changed()

    # The queue

    def slack(self, job):
        return self._aim(job)[0]

    def _aim(self, job):
        """(seconds until its tasks must start for the first of its aims still in reach, seconds
        from there to the next aim).

        An aim that even a task started now would miss is lost: time is better spent on
        others' aims, so the next one counts, and without one the job comes after those. A job
        that never had an aim gets the room that would lie idle.
        """
        since = self.time_of_day() - job.accepted_at
        aims = job.aims
        if aims is None:
            within, times, waits = self._aims.get(job.spec.klass, NO_AIMS)
            due_s = job.spec.due_s
            deadlines = [due_s * factor for factor in times or (1.0,)] if due_s is not None else []
            run_s = job.spec.estimate_s
            # (latest start, when it is taken for lost)
            aims = job.aims = sorted([
                *((aim - run_s, aim - HOPE * run_s) for aim in (*within, *deadlines)),
                *((aim, aim) for aim in waits),
            ])
        for at, (latest, lost) in enumerate(aims):
            if lost >= since:
                later = aims[at + 1][0] - latest if at + 1 < len(aims) else self._default_aim_s
                return latest - since, later
        if not aims and job.spec.kind != "daemon":
            return AIMLESS * self._default_aim_s - HOPELESS * since, self._default_aim_s
        hopeless = max(self._default_aim_s, aims[-1][0] if aims else 0.0) - HOPELESS * since
        return hopeless, self._default_aim_s

    def _put_in_order(self):
        """Sets each job's place in the queue; the less, the earlier.

        Urgency and slack decide, as long as all can be in time. When there is more work than
        that, what must be late should be as few jobs as can be: in order of what is due, the
        job that costs most is put back whenever the next would be late (Moore and Hodgson's
        rule for one machine, here for the CPUs that fall to this controller). Aims are shares
        of a class's jobs, so a job weighs the less the more its class has. Nothing is put
        back for the sake of the less urgent.
        """
        capacity = max(1e-6, self.capacity())
        window_s = self._window_s
        jobs = []
        for job in self._book.jobs.values() if self.sharing is None else self.sharing.candidates():
            slack, later = self._aim(job)
            tier = TIERS[job.rank]
            if job.doubtful:
                tier = TIER_DOUBTFUL
            job.place = slack + (tier * TIER_STEP + job.rank * RANK_STEP) * window_s
            size = 0.0 if job.doubtful else job.spec.cpus * job.spec.estimate_s
            jobs.append((job.place, slack, len(job.free) * size / capacity, later, job))
        jobs.sort(key=lambda entry: entry[0])
        ready_s = 0.0
        kept = {}  # rank -> heap of (-cost, number)
        for number, (_place, slack, needs_s, _later, job) in enumerate(jobs):
            if not needs_s:
                continue
            ready_s += needs_s
            cost = needs_s * self._book.seen.get(job.spec.klass, 1)
            heapq.heappush(kept.setdefault(job.rank, []), (-cost, number))
            while ready_s > slack:
                heap = min((heap for rank, heap in kept.items() if rank >= job.rank and heap),
                           default=None)
                if heap is None:
                    break
                _cost, back = heapq.heappop(heap)
                ready_s -= jobs[back][2]
                jobs[back][4].place += jobs[back][3]  # to its next aim
                if back == number:
                    break
        self._order = sorted((entry[4] for entry in jobs), key=lambda job: job.place)
        if self.sharing is not None:
            now = self._loop.now()
            self.sharing.arrange([job for job in self._order if self._startable(job, now)])
            self._order.sort(key=lambda job: job.place)

    def _startable(self, job, now):
        return (job.free and job.state == "open" and not job.unsynced and job.not_before <= now
                and job.startable() > 0)

    def waiting(self):
        """Jobs with startable tasks, in queue order.

        What is due grows alike for most jobs, so the order is kept for a while; sorting all
        jobs for every grant would cost more than the grants themselves.
        """
        now = self._loop.now()
        if self._ordered != self._book.version or now - self._ordered_at > self._gap_s:
            self._put_in_order()
            self._ordered, self._ordered_at = self._book.version, now
        return [job for job in self._order if self._startable(job, now)]

    def _allowed(self, job, listing):
        spec = job.spec
        if listing.spot and not spec.spot:
            return False
        if spec.zone and spec.zone != listing.zone:
            return False
        if spec.types and listing.type not in spec.types:
            return False
        return self._zone_allowed(job, listing.zone)

    @staticmethod
    def _zone_allowed(job, zone):
        """`together` and `scatter`, counting every task that may be on a machine."""
        spec = job.spec
        if spec.one_zone and any(b.zone != zone for b in job.bound.values()):
            return False
        if spec.spread:
            here = sum(binding.zone == zone for binding in job.bound.values())
            return here < (spec.tasks + 1) // 2
        return True

    def _place(self):
        """One pass: places what it can, in queue order, and hands back what is of no use."""
        self._placing = False
        if self._member.term is None:
            return  # tenants may be there before the first term is
        waiting = self.waiting()
        starts = {}  # machine -> {job: [(index, attempt)]}
        self._gathering.begin()
        if self.idle:
            full = set()  # shapes for which the list has no room: it only shrinks in a pass
            self._place_all(waiting, starts, full)
            for _ in range(ROUNDS if self.sharing is not None else 0):
                # Whoever borrows gets no further ahead than a quantum before it is the next one's turn.
                if not any(job.free and not job.part and job.room_shape not in full for job in waiting):
                    break
                self._ordered_at = -1e9
                waiting = self.waiting()
                self._place_all(waiting, starts, full)
        waiting = [job for job in waiting if job.startable() > 0 and self.may_start(job)]
        if self.idle:
            self._finish(waiting, starts)
        self._tell_demand(waiting)
        if self.preemption is not None:
            self.preemption.waits([job for job in waiting if job.sure > 0])

    def _place_all(self, waiting, starts, full):
        for group in self._groups(waiting):
            for with_image in (True, False):
                for job in group:
                    if job.gang and job.startable():
                        if with_image:
                            self._place_gang(job, starts)
                    elif job.free and job.room_shape not in full:
                        self._place_job(job, with_image, starts, full)

    def may_start(self, job):
        """Whether its team's limit leaves room for one more task."""
        if not self._book.limited(job.spec.team):
            return True
        return times(job.need, self._book.headroom(job.spec.team)) >= (len(job.free) if job.gang else 1)

    def _groups(self, waiting):
        """Runs of the queue due at about the same time: there images decide who goes first."""
        group = []
        latest = 0.0
        for job in waiting:
            place = job.place
            if group and place > latest:
                yield group
                group = []
            if not group:
                latest = place + self._window_s
            group.append(job)
        if group:
            yield group

    def _fitting(self, job):
        """The listings that have room for a task of the job, those kept for gangs left out."""
        now = self._loop.now()
        return [
            listing
            for listing in self.idle.values()
            if fits(job.need, listing.room) and listing.until > now
            and listing.id not in self._gathering.kept and self._allowed(job, listing)
        ]

    def _place_gang(self, job, starts):
        """Starts all of a gang's tasks, or keeps the room there is until there is enough."""
        if not self.may_start(job) or (self.sharing is not None and job.part <= 0):
            return
        chosen, whole = seats(job, self._fitting(job), self._random)
        if not whole:
            self._gathering.keep(job, chosen)
            return
        self._gathering.started(job)
        attempt = self._book.attempt()
        for listing, count in chosen.items():
            tasks = starts.setdefault(listing.id, {}).setdefault(job, [])
            for _ in range(count):
                listing.take(job.need)
                tasks.append(self._book.bind(job, listing.id, listing.zone, attempt))

    def _place_job(self, job, with_image, starts, full):
        """What a task waits for its image counts as waiting: machines that have it come first."""
        need = job.need
        zoned = job.spec.one_zone or job.spec.spread
        image = job.spec.image
        fitting = self._fitting(job)
        if not fitting:
            self._count("empty_list")
            full.add(job.room_shape)
            return
        if with_image and image:
            fitting = [listing for listing in fitting if image in listing.images]
        self._fill(job, need, zoned, fitting, starts)

    def _fill(self, job, need, zoned, fitting, starts):
        """Starts the job's tasks on `fitting` listings, drawn at random and filled one by one.

        The tasks that share a machine share one fetch of their image.
        """
        spec = job.spec
        alone = self.sharing is None
        left = None
        if self._book.limited(spec.team):
            left = self._book.headroom(spec.team)
        while job.free and fitting and (alone or job.part > 0):
            place = self._random.randrange(len(fitting))
            listing = fitting[place]
            fitting[place] = fitting[-1]
            fitting.pop()
            tasks = None
            while job.free and fits(need, listing.room) and (alone or job.part > 0):
                if zoned and not self._zone_allowed(job, listing.zone):
                    break
                if job.doubtful and job.startable() <= 0:
                    return
                if left is not None:
                    left = (left[0] - spec.cpus, left[1] - spec.gpus)
                    if min(left) < -1e-6:
                        return
                if tasks is None:
                    tasks = starts.setdefault(listing.id, {}).setdefault(job, [])
                listing.take(need)
                if not alone:
                    job.part -= 1
                    job.sure -= job.sure > 0
                tasks.append(self._book.bind(job, listing.id, listing.zone))

    def _finish(self, waiting, starts):
        """Sends the starts. Room that nothing waiting fits goes back at once, with the last of them."""
        shapes = {job.room_shape: job for job in waiting}
        for listing in list(self.idle.values()):
            jobs = starts.get(listing.id)
            useless = listing.id not in self._gathering.kept and not any(
                fits(job.need, listing.room) and self._allowed(job, listing)
                for job in shapes.values()
            )
            if useless:
                del self.idle[listing.id]
                if waiting and not listing.taken and not listing.unacked:
                    # The home took part of what waits for served by this grant: say it again.
                    self._demand = None
            if jobs:
                left = len(jobs)
                for job, tasks in jobs.items():
                    left -= 1
                    self._start(job, listing, tasks, useless and not left)
            elif useless:
                self._send(listing.home, frames.Return(listing.id, listing.serial, len(self.idle)))

    def _start(self, job, listing, tasks, last):
        spec = job.spec
        self._send(listing.home, frames.Start(
            self._member.term.number, listing.id, listing.serial, job.id, tasks,
            max(0, len(self.idle) - 1), *job.need, spec.image or "", spec.image_gb,
            spec.save_s, spec.checkpoint_s > 0, last,
        ))

    def _tell_demand(self, waiting):
        """What still waits, to every home: the room that fits it may then be granted here.

        The renter also hears of what is not startable yet: machines take long to come.
        """
        coming = self._book.coming(ON_WORD * self.capacity())
        if not waiting and not coming and not self._demand and self._demand is not None:
            return
        now = self._loop.now()
        if now < self._demand_at + self._gap_s:
            if self._demand_timer is None:
                self._demand_timer = self._loop.call_at(self._demand_at + self._gap_s, self._again)
            return
        rows = {}
        images = {}
        for job in waiting:
            self._add_row(rows, job, True)
            if job.rank == waiting[0].rank and job.spec.image:
                images[job.spec.image] = True
        for job in coming:
            if job.free and not job.doubtful:
                self._add_row(rows, job, False)
        if self.sharing is not None:
            rows = dict(sorted(rows.items(), key=lambda item: item[1][3]))
        demand = {key: row[0] for key, row in rows.items()}
        if demand == self._demand:
            return
        if len(rows) > ROWS_MOST:
            # The first in the queue are told; the others follow as those are served.
            self._count("demand_cut")
        self._demand = demand
        self._demand_at = now
        frame = frames.Demand(len(self.idle), [
            (rank, cpus, gpus, memory, count, spot, zone, list(types), work / count, klass, slack,
             startable, place)
            for ((rank, cpus, gpus, memory, spot, zone, types, klass), startable),
            (count, work, slack, place) in list(rows.items())[:ROWS_MOST]
        ], list(images)[:ROWS_MOST])
        for label in self._member.term.members:
            self._send(label, frame)

    def _add_row(self, rows, job, startable):
        for count, rank, place in self._parts(job, startable):
            self._add_part(rows, job, startable, count, rank, place)

    def _parts(self, job, startable):
        """(tasks, urgency, place in the queue) of what waits of a job: where teams share, what is
        within its team's guarantee, and the rest as far as its limit leaves room for it."""
        rank = DOUBTFUL if job.doubtful else job.rank
        count = max(1, job.startable() - job.gathered)
        if self.sharing is None or not startable:
            return ((count, rank, job.place),)
        sure = min(job.sure, count)
        more = min(count, times(job.need, self._book.headroom(job.spec.team))) - sure
        parts = ((sure, rank, job.place), (more, rank + BORROWED, job.later))
        return [part for part in parts if part[0] > 0]

    def _add_part(self, rows, job, startable, count, rank, place):
        # A group's tasks are of use only side by side: without a run time the renter
        # finds room for all of them at once.
        work = 0.0 if job.gang else count * job.spec.estimate_s
        slack = self.slack(job)
        shape = (rank, *job.shape[1:])
        row = rows.get((shape, startable))
        if row is None:
            rows[shape, startable] = [count, work, slack, place]
        else:
            row[0] += count
            row[1] += work
            row[2] = min(row[2], slack)

    def _again(self):
        self._demand_timer = None
        self.changed()

    def refresh(self):
        """Says again what waits, in case homes and renter have lost count of it."""
        if self._demand:
            self._demand = None
            self.changed()

    def tell_again(self):
        """A controller joined or its link came up: it has yet to hear what waits here."""
        self._demand = None
        self._demand_at = -1e9
        self.changed()


