"""What limits of teams leave room for, shared out among the jobs that wait."""

from roadhead.fleet.quota_limits import QuotaMark
from roadhead.machines.machine import fitting_count


class WaitingTasks:
    """Tasks of a job that wait, of one urgency and place in the queue.

    `startable`: they could start now; `first_task_leads`: the first task of a job that comes early. `within`:
    as many of them as their team's limit leaves room for, `mark`: how it bears on those.
    """

    __slots__ = ("count", "first_task_leads", "job", "mark", "queue_position", "rank", "startable", "within")

    def __init__(self, job, count, rank, place, startable, *, first_task_leads=False):
        self.job = job
        self.count = count
        self.rank = rank
        self.queue_position = place
        self.startable = startable
        self.first_task_leads = first_task_leads
        self.within = count
        self.mark = QuotaMark.PLAIN


class SharedHeadroom:
    """One sharing out of what limits leave: what a job gets is no longer there for those behind it."""

    def __init__(self, quota):
        self._quota = quota
        self._left = {}  # level -> [cpus, gpus] still free under its limit
        self._levels = {}  # team -> names of its levels, None: nothing of it starts from here
        self._cut = set()  # levels with more work than room
        self._gangs = {}  # gang -> whether the limit leaves room for all of it

    def share(self, parts):
        """Sets `within` and `mark` of each part; `parts` in the order in which they would start."""
        limited = [part for part in parts if self._quota.limited(part.job.spec.team)]
        for part in limited:
            part.within = self._take(part.job, part.count)
        for part in limited:
            part.mark = self._mark(part.job.spec.team)

    def _mark(self, team):
        levels = self._levels[team]
        if levels is None or not self._quota.counted(team):
            return QuotaMark.PENDING
        return QuotaMark.PLAIN if self._cut.isdisjoint(levels) else QuotaMark.WITHIN

    def _take(self, job, wanted):
        levels = self._levels_of(job.spec.team)
        if levels is None:
            return 0
        if job.gang and job in self._gangs:
            return wanted if self._gangs[job] else 0
        least = max(wanted, len(job.unstarted)) if job.gang else 1
        most = max(wanted, least)
        for name in levels:
            room = fitting_count(job.resources, self._left[name])
            if room < most:
                self._cut.add(name)
                most = room
        if most < least:
            most = 0
        if job.gang:
            self._gangs[job] = most > 0
        for name in levels:
            cpus, gpus = self._left[name]
            self._left[name] = (cpus - most * job.spec.cpus, gpus - most * job.spec.gpus)
        return min(most, wanted)

    def _levels_of(self, team):
        if team not in self._levels:
            rooms = self._quota.level_rooms(team)
            self._levels[team] = None if rooms is None else tuple(rooms)
            for name, room in (rooms or {}).items():
                self._left.setdefault(name, room)
        return self._levels[team]
