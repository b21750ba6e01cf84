"""A dispatcher: the idle list of granted room, and random placement.

No sockets here: grants come in as calls, frames go out through `send(leader, frame)`.
"""

from roadhead.dispatch.demand_broadcast import DemandBroadcaster
from roadhead.dispatch.gangs import GangReservations, place_gang
from roadhead.dispatch.job_queue import JobQueue
from roadhead.machines.machine import fits, fitting_count
from roadhead.wire import frames

ROUNDS = 16  # of a placing pass, where teams share


class GrantedMachine:
    """Granted room on the idle list. `unacked`: starts sent that the room does not allow for."""

    __slots__ = (
        "free",
        "id",
        "images",
        "leader",
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
        self.leader = frame.leader
        self.serial = frame.serial
        self.type = frame.type
        self.zone = frame.zone
        self.spot = frame.spot
        self.images = set()
        self.taken = 0
        self.unacked = []
        self.free = (0.0, 0.0, 0.0)
        self.until = until

    def update(self, frame, until):
        del self.unacked[: max(0, frame.taken - self.taken)]
        self.taken = max(self.taken, frame.taken)
        self.until = until
        self.images = set(frame.images)
        self.free = (frame.cpus, frame.gpus, frame.memory)
        for need in self.unacked:
            self._use(need)

    def _use(self, need):
        self.free = tuple(free - part for free, part in zip(self.free, need, strict=True))

    def take(self, need):
        self.unacked.append(need)
        self._use(need)


class Dispatcher:
    def __init__(
        self, loop, label, member, job_store, aims, random, send, counters, gap_s, window_s, default_aim_s
    ):
        self._loop = loop
        self.label = label
        self._member = member
        self._job_store = job_store
        self._random = random
        self._send = send
        self._count = counters.add
        self._window_s = window_s
        self.idle = {}  # machine -> Listing
        self._placing = False
        self.queue = JobQueue(loop, job_store, aims, default_aim_s, gap_s, window_s)
        self.preemption = None  # where teams share by guarantee and weight: who gets room back
        self._gathering = GangReservations(loop, window_s, random, self.schedule_placement)
        self._teller = DemandBroadcaster(
            loop,
            member,
            job_store,
            self.queue,
            send,
            counters,
            gap_s,
            lambda: len(self.idle),
            self.schedule_placement,
        )
        # In a placing pass: listings that may still take a task, and shapes that fit none of them.
        self._open = []
        self._full = set()

    def schedule_placement(self):
        if not self._placing:
            self._placing = True
            self._loop.call_soon(self._place)

    # The idle list

    def on_grant(self, frame):
        until = self._loop.now() + frame.lapse_s
        listing = self.idle.get(frame.machine)
        if listing is None or listing.serial != frame.serial:
            listing = self.idle[frame.machine] = GrantedMachine(frame, until)
            self._count("grants_received")
        listing.update(frame, until)
        self.schedule_placement()

    def on_revoke(self, frame):
        listing = self.idle.get(frame.machine)
        if listing is not None and listing.serial <= frame.serial:
            del self.idle[frame.machine]
            self._teller.forget()
            self.schedule_placement()

    def on_refused(self, frame):
        listing = self.idle.pop(frame.machine, None)
        self._teller.forget()
        if listing is not None:
            self._send(listing.leader, frames.ReturnGrant(listing.id, listing.serial, len(self.idle)))

    def leader_down(self, label):
        for name in [n for n, listing in self.idle.items() if listing.leader == label]:
            del self.idle[name]

    def on_term(self, old, new):
        """Grants hold as long as the machine's home and token do, and the home's incarnation."""
        if old is None:
            self.idle.clear()
        for name, listing in list(self.idle.items()):
            if old.leader_and_token(name) != new.leader_and_token(name) or old.incarnation(
                listing.leader
            ) != new.incarnation(listing.leader):
                del self.idle[name]
        self._teller.forget()
        self.schedule_placement()

    def refresh(self):
        """Says again what waits, in case homes and renter have lost count of it."""
        self._teller.refresh()

    def rebroadcast_demand(self):
        """A controller joined or its link came up: it has yet to hear what waits here."""
        self._teller.at_once()
        self.schedule_placement()

    # Placing

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
        """One pass: places what it can, in queue order, and hands back what is of no use.

        It costs what it places and the jobs that come before that in the queue, not all that wait:
        it ends once no listing is left that could take the smallest of what waits.
        """
        self._placing = False
        if self._member.term is None:
            return  # tenants may be there before the first term is
        self.queue.refresh()
        self._gathering.begin()
        if self.idle:
            starts = {}  # machine -> {job: [(index, attempt)]}
            self._full.clear()
            self._look_open()
            left = self._place_all(starts)
            for _ in range(ROUNDS if self.queue.fair_share is not None else 0):
                # Whoever borrows gets no further ahead than a quantum before it is the next one's turn.
                if not self._open or not any(
                    not job.round_allowance and job.placement_key not in self._full
                    for job in self.queue.waiting()
                ):
                    break
                self.queue.refresh(anew=True)
                left = self._place_all(starts)
            self._finish(left, starts)
        self._teller.tell()
        if self.preemption is not None:
            self.preemption.waits(
                [job for job in self.queue.waiting() if job.within_guarantee > 0 and self.may_start(job)]
            )

    def _look_open(self):
        """Listings with room for the smallest of what waits; those kept for gangs are left out."""
        now = self._loop.now()
        cpus, memory = self.queue.smallest_task
        kept = self._gathering.kept
        self._open = [
            listing
            for listing in self.idle.values()
            if listing.free[0] >= cpus - 1e-6
            and listing.free[2] >= memory - 1e-6
            and listing.until > now
            and listing.id not in kept
        ]

    def _place_all(self, starts):
        """Goes through the queue while room is open. Returns {room shape: a job of it} of what still
        waits and may fit some of it: all of that, if room is open still."""
        left = {}
        full = self._full
        for group in self._groups(self.queue.waiting()):
            for with_image in (True, False):
                for job in group:
                    if not self._open:
                        return left
                    if job.gang:
                        if with_image and job.startable():
                            self._place_gang(job, starts)
                    elif job.unstarted.left and job.placement_key not in full:
                        self._place_job(job, with_image, starts)
            for job in group:
                if job.placement_key not in full and job.startable() > 0 and self.may_start(job):
                    left[job.placement_key] = job
        return left

    def may_start(self, job):
        """Whether its team's limit leaves room for one more task."""
        if not self._job_store.quota.limited(job.spec.team):
            return True
        return fitting_count(job.resources, self._job_store.quota.headroom(job.spec.team)) >= (
            len(job.unstarted) if job.gang else 1
        )

    def _groups(self, waiting):
        """Runs of the queue due at about the same time: there images decide who goes first."""
        group = []
        latest = 0.0
        for job in waiting:
            place = job.queue_position
            if group and place > latest:
                yield group
                group = []
            if not group:
                latest = place + self._window_s
            group.append(job)
        if group:
            yield group

    def _fitting(self, job):
        """The open listings that have room for a task of the job."""
        need = job.resources
        return [listing for listing in self._open if fits(need, listing.free) and self._allowed(job, listing)]

    def _place_gang(self, job, starts):
        """Starts all of a gang's tasks, or keeps the room there is until there is enough."""
        if not self.may_start(job) or (self.queue.fair_share is not None and job.round_allowance <= 0):
            return
        chosen, whole = place_gang(job, self._fitting(job), self._random)
        if not whole:
            self._gathering.keep(job, chosen)
            self._look_open()
            return
        self._gathering.started(job)
        attempt = self._job_store.attempt()
        for listing, count in chosen.items():
            tasks = starts.setdefault(listing.id, {}).setdefault(job, [])
            for _ in range(count):
                listing.take(job.resources)
                tasks.append(self._job_store.bind(job, listing.id, listing.zone, attempt))
        self._look_open()

    def _place_job(self, job, with_image, starts):
        """What a task waits for its image counts as waiting: machines that have it come first."""
        image = job.spec.image
        if with_image and image and not any(image in listing.images for listing in self._open):
            return
        fitting = self._fitting(job)
        if not fitting:
            self._count("empty_list")
            self._full.add(job.placement_key)
            return
        if with_image and image:
            fitting = [listing for listing in fitting if image in listing.images]
        zoned = job.spec.one_zone or job.spec.spread
        if fitting and self._fill(job, job.resources, zoned, fitting, starts):
            self._look_open()

    def _fill(self, job, need, zoned, fitting, starts):
        """Starts the job's tasks on `fitting` listings, drawn at random and filled one by one; True if
        any started. The tasks that share a machine share one fetch of their image.
        """
        spec = job.spec
        alone = self.queue.fair_share is None
        left = None
        started = False
        if self._job_store.quota.limited(spec.team):
            left = self._job_store.quota.headroom(spec.team)
        while job.unstarted and fitting and (alone or job.round_allowance > 0):
            place = self._random.randrange(len(fitting))
            listing = fitting[place]
            fitting[place] = fitting[-1]
            fitting.pop()
            tasks = None
            while job.unstarted and fits(need, listing.free) and (alone or job.round_allowance > 0):
                if zoned and not self._zone_allowed(job, listing.zone):
                    break
                if job.suspected_faulty and job.startable() <= 0:
                    return started
                if left is not None:
                    left = (left[0] - spec.cpus, left[1] - spec.gpus)
                    if min(left) < -1e-6:
                        return started
                if tasks is None:
                    tasks = starts.setdefault(listing.id, {}).setdefault(job, [])
                listing.take(need)
                started = True
                if not alone:
                    job.round_allowance -= 1
                    job.within_guarantee -= job.within_guarantee > 0
                tasks.append(self._job_store.bind(job, listing.id, listing.zone))
                if job.first_task_leads:
                    job.first_task_leads = False
                    self._job_store.version += 1  # the others of its tasks come later
                    return started
        return started

    def _finish(self, left, starts):
        """Sends the starts. Room that nothing waiting fits goes back at once, with the last of them.

        `left`: what still waits, as `_place_all` returns it. A listing that is open no longer is of no
        use, unless it is kept for a gang or its time is up, when its home takes it back.
        """
        now = self._loop.now()
        opened = {listing.id for listing in self._open}
        waits = None
        for listing in list(self.idle.values()):
            jobs = starts.get(listing.id)
            if listing.id in opened:
                useless = not any(
                    fits(job.resources, listing.free) and self._allowed(job, listing) for job in left.values()
                )
            else:
                useless = listing.until > now and listing.id not in self._gathering.kept
            if useless:
                del self.idle[listing.id]
                if not listing.taken and not listing.unacked:
                    if waits is None:
                        waits = any(self.may_start(job) for job in self.queue.waiting())
                    if waits:
                        # The home took part of what waits for served by this grant: say it again.
                        self._teller.forget()
            if jobs:
                last = len(jobs)
                for job, tasks in jobs.items():
                    last -= 1
                    self._start(job, listing, tasks, useless and not last)
            elif useless:
                self._send(listing.leader, frames.ReturnGrant(listing.id, listing.serial, len(self.idle)))

    def _start(self, job, listing, tasks, last):
        spec = job.spec
        self._send(
            listing.leader,
            frames.StartTasks(
                self._member.term.number,
                listing.id,
                listing.serial,
                job.id,
                tasks,
                max(0, len(self.idle) - 1),
                *job.resources,
                spec.image or "",
                spec.image_gb,
                spec.save_s,
                spec.checkpoint_s > 0,
                last,
            ),
        )
