"""What a job inherits from those that need it: their urgency, and the time by which it must be done.

Owners tell one another; such word is a hint, which may be late or lost. Each wish is said again now and
then, and forgotten if it is not, so that a descendant that is over or cancelled gives nothing any more.
"""

import math

NONE = (99, math.inf, math.inf)  # nobody wants anything: any urgency comes before


class InheritedPriorities:
    """Wishes on jobs known here, by who wants what. Times are times of day; `kept_s`: for which one
    counts that is not said again."""

    def __init__(self, kept_s):
        self._kept_s = kept_s
        self._on = {}  # job id -> {wanting job id: (rank, due_by, last_by, when, last job of the pipeline)}
        self._by = {}  # wanting job id -> {job id: True}

    def wish(self, job, by, rank, due_by, last_by, end, now):
        """Whether that changes what the job inherits. `end`: the last job, whose deadline it is."""
        before = self.of(job)
        self._on.setdefault(job, {})[by] = (rank, due_by, last_by, now, end)
        self._by.setdefault(by, {})[job] = True
        return self.of(job) != before

    def of(self, job):
        """(rank, due_by, last_by) wanted of the job by any: the most urgent of each."""
        wishes = self._on.get(job)
        if not wishes:
            return NONE
        rank, due_by, last_by, _when, _end = zip(*wishes.values(), strict=True)
        return min(rank), min(due_by), min(last_by)

    def over(self, by):
        """The job wants nothing any more. Returns the jobs of which it did."""
        jobs = list(self._by.get(by, ()))
        for job in jobs:
            self._drop(job, by)
        return jobs

    def _drop(self, job, by):
        for index, key, other in (self._on, job, by), (self._by, by, job):
            index[key].pop(other)
            if not index[key]:
                del index[key]

    def forget(self, job):
        """Nothing is wanted of a job that is over, or owned elsewhere."""
        for by in list(self._on.get(job, ())):
            self._drop(job, by)

    def expire(self, now):
        """Jobs of which a wish was not repeated in time."""
        changed = []
        for job, wishes in list(self._on.items()):
            old = [by for by, wish in wishes.items() if now - wish[3] > self._kept_s]
            for by in old:
                self._drop(job, by)
            if old:
                changed.append(job)
        return changed

    def end(self, job):
        """The last job of the pipeline by whose deadline the job is due first, or None."""
        wishes = self._on.get(job)
        return min(wishes.values(), key=lambda wish: wish[1])[4] if wishes else None

    def wanted(self):
        """Ids of the jobs of which something is wanted."""
        return list(self._on)


def wanted_of(job, times):
    """(rank, due_by, last_by): what a job that waits wants of those that it needs.

    They must be done when its own tasks have to start: its deadline, or that of a job that needs it in
    turn, less its own run. `times`: factors of its deadline that its class's aims name.
    """
    run_s = job.spec.estimate_s
    due_by, last_by = job.due_by, job.last_by
    if job.spec.due_s is not None:
        dues = [job.accepted_at + job.spec.due_s * factor for factor in times or (1.0,)]
        due_by, last_by = min(due_by, *dues), min(last_by, max(dues))
    return job.rank, due_by - run_s, last_by - run_s
