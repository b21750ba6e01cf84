"""Places waiting tasks on granted machines: the idle list of one controller, and random placement.

The leader of a shard of machines grants free ones to a controller, which alone may start tasks there until
the grant lapses or is revoked. The module does no I/O: grants arrive as method calls, frames leave through
`send(leader, frame)`.
"""

import logging

from roadhead.dispatch.demand_broadcast import DemandBroadcaster
from roadhead.dispatch.gangs import GangReservations, place_gang
from roadhead.dispatch.granted_machine import GrantedMachine
from roadhead.dispatch.job_queue import JobQueue
from roadhead.machines.fitting import fitting_count
from roadhead.machines.placement_rules import may_use, zone_room
from roadhead.wire import frames

log = logging.getLogger("roadhead.dispatch")

MAX_ROUNDS = 16  # further rounds of a placing pass where teams share by guarantee and weight


class Dispatcher:
    """The scheduler of the jobs that one controller owns.

    `class_targets`: {class: ClassTargets}; `gap_s`: the shortest time between two Demand frames;
    `window_s`: jobs due within it of one another count as equally urgent; `zones`: those of the deployment.
    """

    def __init__(
        self,
        loop,
        label,
        member,
        job_store,
        class_targets,
        random,
        send,
        counters,
        gap_s,
        window_s,
        default_target_s,
        zones=(),
    ):
        self._loop = loop
        self.label = label
        self._member = member
        self._job_store = job_store
        self._random = random
        self._send = send
        self._count = counters.add
        self._window_s = window_s
        self.idle = {}  # machine -> GrantedMachine
        self._placing = False
        self.queue = JobQueue(loop, job_store, class_targets, default_target_s, gap_s, window_s)
        self.preemption = None  # set where teams share by guarantee and weight: reclaims guaranteed room
        self._gang_reservations = GangReservations(loop, window_s, random, self.schedule_placement)
        self._demand_broadcaster = DemandBroadcaster(
            loop,
            member,
            job_store,
            self.queue,
            send,
            counters,
            gap_s,
            lambda: len(self.idle),
            self.schedule_placement,
            zones,
        )
        # State of a placing pass: listings that may still take a task, and the placement keys that fit none.
        self._open_listings = []
        self._unplaceable_keys = set()

    def schedule_placement(self):
        """Schedules a placing pass, unless one is scheduled already."""
        if not self._placing:
            self._placing = True
            self._loop.call_soon(self._run_placement)

    # The idle list

    def on_grant(self, frame):
        """A shard leader grants a machine, or reports the new room of a granted one.

        A grant under way while the machine's shard moves comes from a controller that leads it no more. It is
        not taken: what was started on it would be lost with that controller, and nobody would ask about it.
        """
        if self._member.term.leader_of(frame.machine) != frame.leader:
            return
        until = self._loop.now() + frame.lifetime_s
        listing = self.idle.get(frame.machine)
        if listing is None or listing.serial != frame.serial:
            listing = self.idle[frame.machine] = GrantedMachine(frame, until)
            self._count("grants_received")
        listing.update(frame, until)
        self.schedule_placement()

    def on_revoke(self, frame):
        """A shard leader takes a grant back."""
        listing = self.idle.get(frame.machine)
        if listing is not None and listing.serial <= frame.serial:
            del self.idle[frame.machine]
            self._demand_broadcaster.invalidate()
            self.schedule_placement()

    def drop_lapsed_grants(self):
        """Drops grants that lapsed a lease ago: their shard leaders have surely taken them back."""
        lapsed = [
            name for name, listing in self.idle.items() if listing.until + self._window_s < self._loop.now()
        ]
        for name in lapsed:
            del self.idle[name]
        if lapsed:
            self._count("grants_repaired", len(lapsed))
            log.warning("repair: %d grants had lapsed and were not taken back", len(lapsed))

    def on_refused(self, frame):
        """A shard leader refused a start: the listing is out of date, so the grant is returned."""
        listing = self.idle.pop(frame.machine, None)
        self._demand_broadcaster.invalidate()
        if listing is not None:
            self._send(listing.leader, frames.ReturnGrant(listing.id, listing.serial, len(self.idle)))

    def leader_down(self, label):
        """Drops the grants of a shard leader whose link is down."""
        for name in [n for n, listing in self.idle.items() if listing.leader == label]:
            del self.idle[name]

    def on_term(self, old, new):
        """Drops the grants of machines whose leader, fencing token or leader's incarnation has changed."""
        if old is None:
            self.idle.clear()
        for name, listing in list(self.idle.items()):
            if old.leader_and_token(name) != new.leader_and_token(name) or old.incarnation(
                listing.leader
            ) != new.incarnation(listing.leader):
                del self.idle[name]
        self._demand_broadcaster.invalidate()
        self.schedule_placement()

    def refresh(self):
        """Sends the demand again, in case the copies of the leaders and the renter are out of date."""
        self._demand_broadcaster.refresh()

    def repeat_empty_demand(self):
        """Sends again that nothing waits here, in case some controller has not heard it."""
        self._demand_broadcaster.repeat_empty()

    def rebroadcast_demand(self):
        """Sends the demand again at once: a controller joined or its link came up."""
        self._demand_broadcaster.skip_interval()
        self.schedule_placement()

    # Placing

    @staticmethod
    def _allowed(job, listing):
        """Whether the job's rules on spot machines, zones and types let it use the machine."""
        return (
            may_use(job.spec, listing.type, listing.zone, listing.spot) and zone_room(job, listing.zone) > 0
        )

    def _run_placement(self):
        """Runs one placing pass: starts what fits, in queue order, and returns grants that nothing fits.

        Its cost grows with the tasks placed and the jobs ahead of them in the queue, not with all that
        wait: it ends once no listing has room for the smallest waiting task.
        """
        self._placing = False
        if self._member.term is None:
            return  # tenants may be known before the first term
        self.queue.refresh()
        self._gang_reservations.clear()
        if self.idle:
            starts = {}  # machine -> {job: [(index, attempt)]}
            self._unplaceable_keys.clear()
            self._collect_open_listings()
            left = self._place_all(starts)
            for _ in range(MAX_ROUNDS if self.queue.fair_share is not None else 0):
                # In each round a borrowing tenant gets at most one quantum ahead of the next one.
                if not self._open_listings or not any(
                    not job.round_allowance and job.placement_key not in self._unplaceable_keys
                    for job in self.queue.waiting()
                ):
                    break
                self.queue.refresh(anew=True)
                left = self._place_all(starts)
            self._finish(left, starts)
        self._demand_broadcaster.broadcast()
        if self.preemption is not None:
            self.preemption.on_waiting_within_guarantee(
                [job for job in self.queue.waiting() if job.within_guarantee > 0 and self.quota_admits(job)]
            )

    def _collect_open_listings(self):
        """Sets the open listings: those with room for the smallest waiting task, not reserved for gangs."""
        now = self._loop.now()
        cpus, memory = self.queue.smallest_task
        reserved = self._gang_reservations.reserved
        self._open_listings = [
            listing
            for listing in self.idle.values()
            if listing.slots > 0
            and listing.free[0] >= cpus - 1e-6
            and listing.free[2] >= memory - 1e-6
            and listing.until > now
            and listing.id not in reserved
        ]

    def _place_all(self, starts):
        """Starts tasks in queue order while listings are open.

        Returns {placement key: a job with it} for the jobs still waiting that may fit an open listing. If any
        listing is still open, no such key is missing.
        """
        left = {}
        unplaceable = self._unplaceable_keys
        for group in self._group_by_due_time(self.queue.waiting()):
            for with_image in (True, False):
                for job in group:
                    if not self._open_listings:
                        return left
                    if job.gang:
                        if with_image and job.startable():
                            self._start_gang(job, starts)
                    elif job.unstarted.left and job.placement_key not in unplaceable:
                        self._start_tasks_of(job, with_image, starts)
            for job in group:
                if job.placement_key not in unplaceable and job.startable() > 0 and self.quota_admits(job):
                    left[job.placement_key] = job
        return left

    def quota_admits(self, job):
        """Whether the job's team limit admits one more of its tasks, or all of them for a gang."""
        if not self._job_store.quota.is_limited(job.spec.team):
            return True
        return fitting_count(job.resources, self._job_store.quota.headroom(job.spec.team)) >= (
            len(job.unstarted) if job.gang else 1
        )

    def _group_by_due_time(self, waiting):
        """Yields runs of jobs due within `window_s`, among which those go first whose image is cached."""
        group = []
        latest = 0.0
        for job in waiting:
            position = job.queue_position
            if group and position > latest:
                yield group
                group = []
            if not group:
                latest = position + self._window_s
            group.append(job)
        if group:
            yield group

    def _fitting(self, job):
        """Returns the open listings that have room for a task of the job and that it may use."""
        need = job.resources
        return [
            listing for listing in self._open_listings if listing.fits(need) and self._allowed(job, listing)
        ]

    def _start_gang(self, job, starts):
        """Starts all of a gang's tasks, or reserves the listings that fit until there are enough."""
        if not self.quota_admits(job) or (self.queue.fair_share is not None and job.round_allowance <= 0):
            return
        chosen, is_complete = place_gang(job, self._fitting(job), self._random)
        if not is_complete:
            self._gang_reservations.reserve(job, chosen)
            self._collect_open_listings()
            return
        self._gang_reservations.release(job)
        attempt = self._job_store.attempt()
        for listing, count in chosen.items():
            tasks = starts.setdefault(listing.id, {}).setdefault(job, [])
            for _ in range(count):
                listing.take(job.resources)
                tasks.append(self._job_store.bind(job, listing.id, listing.zone, attempt))
        self._collect_open_listings()

    def _start_tasks_of(self, job, with_image, starts):
        """Starts tasks of a job on the listings that fit.

        With `with_image` only machines that have the job's image count: fetching it would delay the start.
        """
        image = job.spec.image
        if with_image and image and not any(image in listing.images for listing in self._open_listings):
            return
        fitting = self._fitting(job)
        if not fitting:
            self._count("empty_list")
            self._unplaceable_keys.add(job.placement_key)
            return
        if with_image and image:
            fitting = [listing for listing in fitting if image in listing.images]
        has_zone_rule = job.spec.one_zone or job.spec.spread
        if fitting and self._fill_listings(job, job.resources, has_zone_rule, fitting, starts):
            self._collect_open_listings()

    def _fill_listings(self, job, need, has_zone_rule, fitting, starts):
        """Starts the job's tasks on `fitting` listings, drawn at random; returns whether any started.

        Each listing is filled before the next is drawn: the tasks on one machine share one fetch of their
        image.
        """
        spec = job.spec
        unshared = self.queue.fair_share is None
        left = None
        started = False
        if self._job_store.quota.is_limited(spec.team):
            left = self._job_store.quota.headroom(spec.team)
        while job.unstarted and fitting and (unshared or job.round_allowance > 0):
            index = self._random.randrange(len(fitting))
            listing = fitting[index]
            fitting[index] = fitting[-1]
            fitting.pop()
            tasks = None
            while job.unstarted and listing.fits(need) and (unshared or job.round_allowance > 0):
                if has_zone_rule and not zone_room(job, listing.zone):
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
                if not unshared:
                    job.round_allowance -= 1
                    job.within_guarantee -= job.within_guarantee > 0
                tasks.append(self._job_store.bind(job, listing.id, listing.zone))
                if job.first_task_leads:
                    job.first_task_leads = False
                    self._job_store.version += 1  # reorders the queue: its other tasks have a later position
                    return started
        return started

    def _finish(self, left, starts):
        """Sends the starts, and returns grants that no waiting task fits, with their last start if any.

        `left`: the jobs still waiting, as `_place_all` returns them. A listing that is no longer open is
        useless, unless it is reserved for a gang or has lapsed, in which case its leader takes it back.
        """
        now = self._loop.now()
        open_ids = {listing.id for listing in self._open_listings}
        may_start_any = None
        for listing in list(self.idle.values()):
            jobs = starts.get(listing.id)
            if listing.id in open_ids:
                is_useless = not any(
                    listing.fits(job.resources) and self._allowed(job, listing) for job in left.values()
                )
            else:
                is_useless = listing.until > now and listing.id not in self._gang_reservations.reserved
            if is_useless:
                del self.idle[listing.id]
                if not listing.taken and not listing.unacked:
                    if may_start_any is None:
                        may_start_any = any(self.quota_admits(job) for job in self.queue.waiting())
                    if may_start_any:
                        # The leader counted waiting tasks as served by this grant, so send the demand again.
                        self._demand_broadcaster.invalidate()
            if jobs:
                last = len(jobs)
                for job, tasks in jobs.items():
                    last -= 1
                    self._send_start(job, listing, tasks, is_useless and not last)
            elif is_useless:
                self._send(listing.leader, frames.ReturnGrant(listing.id, listing.serial, len(self.idle)))

    def _send_start(self, job, listing, tasks, last):
        """Sends the start of tasks of one job; `last`: the grant is returned with it."""
        spec = job.spec
        sent = self._send(
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
        if not sent:
            self._count("starts_unsent", len(tasks))  # claimed when the link is back, or by the next term
