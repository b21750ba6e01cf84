"""The queue order: which of the jobs owned here comes first.

Kept sorted for a while; what arrives meanwhile is put in its place, so that neither an arrival nor
a placing pass costs what waits.
"""

import heapq
import math
from bisect import insort

from roadhead.jobs.job_store import LARGER_PART

NO_AIMS = ((), (), ())
HOPE = 0.7  # of the estimated run time: less than that left, and an aim is taken for lost
TIERS = (0, 1, 2, 2)  # by urgency: the urgent come strictly first, the others by what is due
TIER_DOUBTFUL = 3  # jobs that fail wherever they run come last
TIER_STEP = 1e4  # windows between tiers
RANK_STEP = 2.5  # windows by which each step of urgency comes earlier within a tier
AIMLESS = 10  # times the aim assumed by default: the slack of jobs of which nothing is expected
HOPELESS = 0.25  # of its age by which a job without aims in reach still moves forward
STARVED_AIMS = 2  # times the aim assumed by default: older than that, a job counts as not served
SERVED_LEAST = 0.55  # of a class's, or a team's, jobs: below that the oldest of them come first
LARGEST_WAITS = 8  # windows, after which a class's larger jobs that have not begun lead, with one task each
TIER_STARVED = -1
JOBS_A_GAP = 2000  # put in order at once; with more than that the order is kept longer


class JobQueue:
    """`gap_s`: how long an order is kept, `window_s`: what is due within it of one another is equally
    urgent, `capacity()`: CPUs that fall to this controller. `aims`: class -> (seconds to be complete
    within, times of its deadline, seconds to start within)."""

    def __init__(self, loop, job_store, aims, default_aim_s, gap_s, window_s):
        self._loop = loop
        self._job_store = job_store
        self._aims = aims
        self._default_aim_s = default_aim_s
        self._gap_s = gap_s
        self._window_s = window_s
        self._order = []  # open jobs, as of `_ordered_at`, and those that arrived since
        self._ordered_at = -1e9
        self._ordered = 0  # the book's version then
        self.smallest_task = (0.0, 0.0)  # (cpus, memory): no task waiting takes less
        self.time_of_day = None
        self.capacity = lambda: 0.0
        self.fair_share = None  # where teams share by guarantee and weight: the order among them

    def slack(self, job):
        """Seconds until its tasks must start."""
        return self._aim(job)[0]

    def _aim(self, job):
        """(seconds until its tasks must start for the first of its aims still in reach, seconds
        from there to the next aim).

        An aim that even a task started now would miss is lost: time is better spent on
        others' aims, so the next one counts, and without one the job comes after those. A job
        that never had an aim gets the room that would lie idle.
        """
        since = self.time_of_day() - job.accepted_at
        aims = job.targets
        if aims is None:
            within, times, waits = self._aims.get(job.spec.klass, NO_AIMS)
            due_s = job.spec.due_s
            deadlines = [due_s * factor for factor in times or (1.0,)] if due_s is not None else []
            deadlines += {due - job.accepted_at for due in (job.due_by, job.last_by) if due < math.inf}
            run_s = job.spec.estimate_s
            held_s = job.released_at - job.accepted_at  # by jobs that it needs: all but its deadline waits
            # (latest start, when it is taken for lost)
            aims = job.targets = sorted(
                [
                    *(
                        (aim - run_s, aim - HOPE * run_s)
                        for aim in (*(aim + held_s for aim in within), *deadlines)
                    ),
                    *((aim + held_s, aim + held_s) for aim in waits),
                ]
            )
        for at, (latest, lost) in enumerate(aims):
            if lost >= since:
                later = aims[at + 1][0] - latest if at + 1 < len(aims) else self._default_aim_s
                return latest - since, later
        since -= job.released_at - job.accepted_at
        if not aims and job.spec.kind != "daemon":
            return AIMLESS * self._default_aim_s - HOPELESS * since, self._default_aim_s
        hopeless = max(self._default_aim_s, aims[-1][0] if aims else 0.0) - HOPELESS * since
        return hopeless, self._default_aim_s

    def _set_place(self, job):
        """(slack, seconds to the next aim) of the job, which gets its place; the less, the earlier."""
        slack, later = self._aim(job)
        tier = TIER_DOUBTFUL if job.suspected_faulty else TIERS[job.rank]
        job.queue_position = slack + (tier * TIER_STEP + job.rank * RANK_STEP) * self._window_s
        return slack, later

    def _put_in_order(self):
        """Sets each job's place in the queue.

        Urgency and slack decide, as long as all can be in time. When there is more work than
        that, what must be late should be as few jobs as can be: in order of what is due, the
        job that costs most is put back whenever the next would be late (Moore and Hodgson's
        rule for one machine, here for the CPUs that fall to this controller). Aims are shares
        of a class's jobs, so a job weighs the less the more its class has. Nothing is put
        back for the sake of the less urgent.
        """
        capacity = max(1e-6, self.capacity())
        lifted, leading = self._lifted() if self.fair_share is None else ({}, {})
        jobs = []
        for job in self._job_store.jobs.values() if self.fair_share is None else self.fair_share.candidates():
            slack, later = self._set_place(job)
            job.queue_position, job.first_task_leads = lifted.get(job, job.queue_position), False
            size = 0.0 if job.suspected_faulty else job.spec.cpus * job.spec.estimate_s
            jobs.append((job.queue_position, slack, len(job.unstarted) * size / capacity, later, job))
        jobs.sort(key=lambda entry: entry[0])
        ready_s = 0.0
        kept = {}  # rank -> heap of (-cost, number)
        for number, (_place, slack, needs_s, _later, job) in enumerate(jobs):
            if not needs_s:
                continue
            ready_s += needs_s
            cost = needs_s * self._job_store.jobs_seen.get(job.spec.klass, 1)
            heapq.heappush(kept.setdefault(job.rank, []), (-cost, number))
            while ready_s > slack:
                heap = min((heap for rank, heap in kept.items() if rank >= job.rank and heap), default=None)
                if heap is None:
                    break
                _cost, back = heapq.heappop(heap)
                ready_s -= jobs[back][2]
                jobs[back][4].queue_position += jobs[back][3]  # to its next aim
                if back == number:
                    break
        for job, place in leading.items():
            job.borrowed_position, job.queue_position, job.first_task_leads = job.queue_position, place, True
        self._order = sorted((entry[4] for entry in jobs), key=lambda job: job.queue_position)
        self.smallest_task = (
            min((job.spec.cpus for job in self._order), default=0.0),
            min((job.spec.memory for job in self._order), default=0.0),
        )
        if self.fair_share is not None:
            self.fair_share.assign_positions(list(self.waiting()))
            self._order.sort(key=lambda job: job.queue_position)

    def _lifted(self):
        """({job: its place}, {job: the place of its first task}): the exceptions to urgency, by which of each
        class, and each team, at least so much is served in the end, and the largest jobs begin.

        Work of little urgency would get nothing for as long as what comes before it fills the machines.
        Only jobs that waited for twice the time in which anything should be done count, and of those only
        as many are lifted as the class lacks, the oldest. What is put back first where not all can be in
        time, a class's larger jobs, begins sooner: with one task, since all of theirs would cost the most.
        """
        now = self.time_of_day()
        since = now - STARVED_AIMS * self._default_aim_s
        begun_by = now - LARGEST_WAITS * self._window_s
        old, places, leading = {}, {}, {}
        for job in self._job_store.jobs.values():
            if job.released_at >= begun_by or job.state != "open" or job.suspected_faulty:
                continue
            if job.released_at < since:
                for key in ("class", job.spec.klass), ("team", job.spec.team):
                    old.setdefault(key, []).append(job)
            if job.released_at < begun_by - LARGEST_WAITS * self._window_s and self._job_store.among_largest(
                job
            ):
                old.setdefault(("largest", job.spec.klass), []).append(job)
            if not job.bound and not job.done.count and self._job_store.among_largest(job, LARGER_PART):
                leading[job] = TIER_STARVED * TIER_STEP * self._window_s + job.released_at - since
        for key, waiting in old.items():
            served = self._job_store.jobs_done.get(key, 0)
            lacking = SERVED_LEAST * (served + len(waiting)) - served
            if lacking <= 0:
                continue
            waiting.sort(key=lambda job: job.released_at)
            for job in waiting[: math.ceil(lacking)]:
                places[job] = TIER_STARVED * TIER_STEP * self._window_s + job.released_at - since
        # A gang begins with all of its tasks or not at all.
        places.update({job: place for job, place in leading.items() if job.gang})
        return places, {job: place for job, place in leading.items() if job not in places}

    def refresh(self, anew=False):
        """What is due grows alike for most jobs, so the order is kept for a while; `anew`: not now."""
        now = self._loop.now()
        arrived = self._job_store.new_jobs
        kept_s = self._gap_s * max(1.0, len(self._order) / JOBS_A_GAP)
        if (
            anew
            or self._ordered != self._job_store.version
            or now - self._ordered_at > kept_s
            or (arrived and self.fair_share is not None)
        ):
            self._put_in_order()
            self._ordered, self._ordered_at = self._job_store.version, now
        else:
            for job in arrived:
                self._set_place(job)
                insort(self._order, job, key=lambda job: job.queue_position)
                self.smallest_task = (
                    min(self.smallest_task[0], job.spec.cpus),
                    min(self.smallest_task[1], job.spec.memory),
                )
        arrived.clear()

    def waiting(self):
        """Jobs with startable tasks, in order."""
        now = self._loop.now()
        for job in self._order:
            if (
                job.unstarted.left
                and job.state == "open"
                and not job.unreconciled_leaders
                and not job.taking_over
                and job.not_before <= now
                and job.startable() > 0
            ):
                yield job
