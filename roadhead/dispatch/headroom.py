"""Divides the headroom under teams' limits among their waiting jobs, so that demand doesn't exceed it."""

from roadhead.fleet.quota_limits import QuotaMark
from roadhead.machines.fitting import fitting_count


class WaitingTasks:
    """Waiting tasks of one job that have the same urgency and position in the queue.

    `startable`: whether they could start now; `first_task_leads`: whether this is the leading task of a job
    whose first task is queued ahead of the others; `within`: how many of them the team's limit admits;
    `mark`: the state of that limit.
    """

    __slots__ = ("count", "first_task_leads", "job", "mark", "queue_position", "rank", "startable", "within")

    def __init__(self, job, count, rank, queue_position, startable, *, first_task_leads=False):
        self.job = job
        self.count = count
        self.rank = rank
        self.queue_position = queue_position
        self.startable = startable
        self.first_task_leads = first_task_leads
        self.within = count
        self.mark = QuotaMark.PLAIN


class SharedHeadroom:
    """One division of the headroom: what an earlier job is given is gone for the jobs behind it."""

    def __init__(self, quota):
        self._quota = quota
        self._free_by_level = {}  # level -> (cpus, gpus) still free under its limit
        self._levels_by_team = {}  # team -> its levels' names; None if none of its tasks may start here
        self._exhausted = set()  # levels with more waiting work than headroom
        self._gang_fits = {}  # gang -> whether the limit admits all of its tasks

    def share(self, parts):
        """Sets `within` and `mark` of each part. `parts` come in the order in which they would start."""
        limited = [part for part in parts if self._quota.is_limited(part.job.spec.team)]
        for part in limited:
            part.within = self._take(part.job, part.count)
        for part in limited:
            part.mark = self._mark(part.job.spec.team)

    def _mark(self, team):
        levels = self._levels_by_team[team]
        if levels is None or not self._quota.is_counted(team):
            return QuotaMark.PENDING
        return QuotaMark.PLAIN if self._exhausted.isdisjoint(levels) else QuotaMark.WITHIN

    def _take(self, job, wanted):
        """Returns how many of `wanted` tasks the limits admit, and takes them from the headroom."""
        levels = self._levels_of(job.spec.team)
        if levels is None:
            return 0
        if job.gang and job in self._gang_fits:
            return wanted if self._gang_fits[job] else 0
        minimum = max(wanted, len(job.unstarted)) if job.gang else 1
        admitted = max(wanted, minimum)
        for name in levels:
            fitting = fitting_count(job.resources, self._free_by_level[name])
            if fitting < admitted:
                self._exhausted.add(name)
                admitted = fitting
        if admitted < minimum:
            admitted = 0
        if job.gang:
            self._gang_fits[job] = admitted > 0
        for name in levels:
            cpus, gpus = self._free_by_level[name]
            self._free_by_level[name] = (cpus - admitted * job.spec.cpus, gpus - admitted * job.spec.gpus)
        return min(admitted, wanted)

    def _levels_of(self, team):
        """Returns the names of the team's levels, whose headroom is known from then on, or None."""
        if team not in self._levels_by_team:
            headroom = self._quota.headroom_by_level(team)
            self._levels_by_team[team] = None if headroom is None else tuple(headroom)
            for name, free in (headroom or {}).items():
                self._free_by_level.setdefault(name, free)
        return self._levels_by_team[team]
