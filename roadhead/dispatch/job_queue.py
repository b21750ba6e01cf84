"""Decides the order in which the jobs owned by this controller start their tasks.

The sorted order is reused for a while, and jobs that arrive meanwhile are inserted into it, so that neither
an arrival nor a placing pass has to sort all waiting jobs.
"""

import heapq
import math
from bisect import insort

from roadhead.jobs.job_store import LARGER_ONE_IN

NO_TARGETS = ((), (), ())
# A target counts as missed once less than this part of the job's estimated run time is left until it.
MIN_RUN_TIME_PART = 0.7
# By rank of urgency: the first two ranks come strictly before all others, which share a tier and are
# ordered by slack.
TIER_BY_RANK = (0, 1, 2, 2)
DOUBTFUL_TIER = 3  # jobs that fail wherever they run come last
TIER_STEP_WINDOWS = 1e4  # between tiers
RANK_STEP_WINDOWS = 2.5  # by which each rank of urgency comes earlier within a tier
NO_TARGET_SLACK_FACTOR = 10  # slack of a job without any target, in default targets
AGING_RATE = 0.25  # seconds of slack that a job with no reachable target loses per second of its age
STARVATION_FACTOR = 2  # a job that waits for longer than so many default targets counts as starved
MIN_SERVED_SHARE = 0.55  # of the jobs of a class or team: below it, its oldest starved jobs are boosted
LARGE_JOB_WAIT_WINDOWS = 8  # after which a large job that has not begun starts one task early
STARVED_TIER = -1  # boosted jobs come first
SORTED_JOBS_PER_GAP = 2000  # with more jobs in the queue, the order is reused for longer than `gap_s`


class JobQueue:
    """The jobs owned here, ordered by urgency and by slack: the time until their tasks must start.

    `targets`: {class: ClassTargets}; `default_target_s`: the target assumed for a class without one; `gap_s`:
    how long an order is reused; `window_s`: the unit of positions: jobs due within it of one another count as
    equally urgent; `capacity()`: the CPUs of this controller's part of the fleet.
    """

    def __init__(self, loop, job_store, targets, default_target_s, gap_s, window_s):
        self._loop = loop
        self._job_store = job_store
        self._class_targets = targets
        self._default_target_s = default_target_s
        self._gap_s = gap_s
        self._window_s = window_s
        self._sorted_jobs = []  # the open jobs when it was last sorted, and those that arrived since
        self._sorted_at = -1e9
        self._sorted_version = 0  # the job store's version when it was last sorted
        self.smallest_task = (0.0, 0.0)  # (cpus, memory): no waiting task needs less
        self.time_of_day = None
        self.capacity = lambda: 0.0
        self.fair_share = None  # set where teams share by guarantee and weight: orders the teams

    def slack(self, job):
        """Returns the seconds until the job's tasks must start; negative if they are overdue."""
        return self._slack_and_deferral(job)[0]

    def _slack_and_deferral(self, job):
        """Returns (seconds until the job's tasks must start for its next target, seconds that it gains if it
        is deferred to the target after that).

        A target that even a task started now would miss no longer counts, since the time is better spent on
        the targets of others; the next one does. A job with no target left comes after those that have one.
        A job that never had one gets the room that would lie idle.
        """
        age_s = self.time_of_day() - job.accepted_at
        targets = job.targets
        if targets is None:
            finish_within, deadline_factors, start_within = self._class_targets.get(
                job.spec.klass, NO_TARGETS
            )
            due_s = job.spec.due_s
            deadlines = [due_s * factor for factor in deadline_factors or (1.0,)] if due_s is not None else []
            deadlines += {due - job.accepted_at for due in (job.due_by, job.last_by) if due < math.inf}
            run_s = job.spec.estimate_s
            # Time spent waiting for the jobs that this one needs: it extends every target but the deadlines.
            held_s = job.released_at - job.accepted_at
            # (latest start, when the target is given up), both in seconds after acceptance
            targets = job.targets = sorted(
                [
                    *(
                        (target_s - run_s, target_s - MIN_RUN_TIME_PART * run_s)
                        for target_s in (*(target_s + held_s for target_s in finish_within), *deadlines)
                    ),
                    *((target_s + held_s, target_s + held_s) for target_s in start_within),
                ]
            )
        for at, (latest_start_s, given_up_s) in enumerate(targets):
            if given_up_s >= age_s:
                deferral_s = (
                    targets[at + 1][0] - latest_start_s if at + 1 < len(targets) else self._default_target_s
                )
                return latest_start_s - age_s, deferral_s
        age_s -= job.released_at - job.accepted_at
        if not targets and job.spec.kind != "daemon":
            return (
                NO_TARGET_SLACK_FACTOR * self._default_target_s - AGING_RATE * age_s,
                self._default_target_s,
            )
        overdue_slack = max(self._default_target_s, targets[-1][0] if targets else 0.0) - AGING_RATE * age_s
        return overdue_slack, self._default_target_s

    def _set_position(self, job):
        """Sets the job's position, lower ones first. Returns the same as `_slack_and_deferral`."""
        slack, deferral_s = self._slack_and_deferral(job)
        tier = DOUBTFUL_TIER if job.suspected_faulty else TIER_BY_RANK[job.rank]
        job.queue_position = (
            slack + (tier * TIER_STEP_WINDOWS + job.rank * RANK_STEP_WINDOWS) * self._window_s
        )
        return slack, deferral_s

    def _sort(self):
        """Sorts the jobs by urgency and slack, and defers some where not all can be in time.

        With more work than capacity, as few jobs as possible should be late. Following the Moore-Hodgson
        algorithm for one machine, here applied to the CPUs of this controller's part of the fleet, jobs
        are taken in order of their due times, and whenever one would be late, the costliest job so far is
        deferred to its next target. The objectives are shares of a class's jobs, so a job weighs less the
        more jobs its class has. No job is deferred for the sake of a less urgent one.
        """
        capacity = max(1e-6, self.capacity())
        boosted, leading = self._boosted() if self.fair_share is None else ({}, {})
        jobs = []
        for job in self._job_store.jobs.values() if self.fair_share is None else self.fair_share.candidates():
            slack, deferral_s = self._set_position(job)
            job.queue_position, job.first_task_leads = boosted.get(job, job.queue_position), False
            task_cpu_s = 0.0 if job.suspected_faulty else job.spec.cpus * job.spec.estimate_s
            jobs.append(
                (job.queue_position, slack, len(job.unstarted) * task_cpu_s / capacity, deferral_s, job)
            )
        jobs.sort(key=lambda entry: entry[0])
        completion_s = 0.0
        scheduled = {}  # rank -> heap of (-cost, number)
        for number, (_position, slack, duration_s, _deferral_s, job) in enumerate(jobs):
            if not duration_s:
                continue
            completion_s += duration_s
            cost = duration_s * self._job_store.jobs_seen.get(job.spec.klass, 1)
            heapq.heappush(scheduled.setdefault(job.rank, []), (-cost, number))
            while completion_s > slack:
                heap = min(
                    (heap for rank, heap in scheduled.items() if rank >= job.rank and heap), default=None
                )
                if heap is None:
                    break
                _cost, deferred = heapq.heappop(heap)
                completion_s -= jobs[deferred][2]
                jobs[deferred][4].queue_position += jobs[deferred][3]  # to its next target
                if deferred == number:
                    break
        for job, position in leading.items():
            job.borrowed_position, job.queue_position, job.first_task_leads = (
                job.queue_position,
                position,
                True,
            )
        self._sorted_jobs = sorted((entry[4] for entry in jobs), key=lambda job: job.queue_position)
        self.smallest_task = (
            min((job.spec.cpus for job in self._sorted_jobs), default=0.0),
            min((job.spec.memory for job in self._sorted_jobs), default=0.0),
        )
        if self.fair_share is not None:
            self.fair_share.assign_positions(list(self.waiting()))
            self._sorted_jobs.sort(key=lambda job: job.queue_position)

    def _boosted(self):
        """Returns ({job: its position}, {job: the position of its first task}) of jobs that come early.

        This prevents starvation: jobs of low urgency would get nothing while more urgent ones fill the
        machines. Of each class and each team at least MIN_SERVED_SHARE is served. Only jobs that waited for
        twice the default target count as starved, and only as many of them, the oldest, are boosted as are
        missing from that share. The large jobs of a class, which are the first to be deferred under
        overload, are boosted sooner, but for one task each, since all of their tasks would cost the most.
        """
        now = self.time_of_day()
        starved_before = now - STARVATION_FACTOR * self._default_target_s
        begun_by = now - LARGE_JOB_WAIT_WINDOWS * self._window_s
        starved, places, leading = {}, {}, {}
        for job in self._job_store.jobs.values():
            if job.released_at >= begun_by or job.state != "open" or job.suspected_faulty:
                continue
            if job.released_at < starved_before:
                for key in ("class", job.spec.klass), ("team", job.spec.team):
                    starved.setdefault(key, []).append(job)
            if (
                job.released_at < begun_by - LARGE_JOB_WAIT_WINDOWS * self._window_s
                and self._job_store.among_largest(job)
            ):
                starved.setdefault(("largest", job.spec.klass), []).append(job)
            if not job.bound and not job.done.count and self._job_store.among_largest(job, LARGER_ONE_IN):
                leading[job] = (
                    STARVED_TIER * TIER_STEP_WINDOWS * self._window_s + job.released_at - starved_before
                )
        for key, waiting in starved.items():
            served = self._job_store.jobs_done.get(key, 0)
            missing = MIN_SERVED_SHARE * (served + len(waiting)) - served
            if missing <= 0:
                continue
            waiting.sort(key=lambda job: job.released_at)
            for job in waiting[: math.ceil(missing)]:
                places[job] = (
                    STARVED_TIER * TIER_STEP_WINDOWS * self._window_s + job.released_at - starved_before
                )
        # A gang starts with all of its tasks or not at all, so all of them are boosted.
        places.update({job: position for job, position in leading.items() if job.gang})
        return places, {job: position for job, position in leading.items() if job not in places}

    def refresh(self, anew=False):
        """Sorts the queue if `anew` or if the order is out of date, else inserts the jobs that arrived.

        The order stays nearly right for a while, since the slack of most jobs falls alike.
        """
        now = self._loop.now()
        arrived = self._job_store.new_jobs
        valid_s = self._gap_s * max(1.0, len(self._sorted_jobs) / SORTED_JOBS_PER_GAP)
        if (
            anew
            or self._sorted_version != self._job_store.version
            or now - self._sorted_at > valid_s
            or (arrived and self.fair_share is not None)
        ):
            self._sort()
            self._sorted_version, self._sorted_at = self._job_store.version, now
        else:
            for job in arrived:
                self._set_position(job)
                insort(self._sorted_jobs, job, key=lambda job: job.queue_position)
                self.smallest_task = (
                    min(self.smallest_task[0], job.spec.cpus),
                    min(self.smallest_task[1], job.spec.memory),
                )
        arrived.clear()

    def waiting(self):
        """Yields the jobs with startable tasks, in order."""
        now = self._loop.now()
        for job in self._sorted_jobs:
            if (
                job.unstarted.left
                and job.state == "open"
                and not job.unreconciled_leaders
                and not job.taking_over
                and job.not_before <= now
                and job.startable() > 0
            ):
                yield job
