"""The priority that a job inherits from those that depend on it: urgency, and when it must be done.

Owners send these priorities to one another. Such a message is a hint, which may be late or lost. It is
repeated now and then and forgotten if it is not, so that a dependent job that is over or cancelled has no
more influence.
"""

import math

NO_PRIORITY = (99, math.inf, math.inf)  # no priority is passed: any urgency ranks higher


class InheritedPriorities:
    """The priorities passed to jobs owned here, by target job and by the job that passes them.

    All deadlines are times of day in seconds. A priority that is not repeated is forgotten after `kept_s`
    seconds.
    """

    def __init__(self, kept_s):
        self._kept_s = kept_s
        # Target job id -> {passing job id: (rank, due_by, last_by, received at, last job of the pipeline)}.
        self._by_target = {}
        self._targets_by_source = {}  # passing job id -> {target job id: True}

    def set_priority(self, job, by, rank, due_by, last_by, end, now):
        """Notes the priority that job `by` passes to `job`. Returns whether the inherited priority changes.

        `end` is the last job of the pipeline, whose deadline it is.
        """
        before = self.inherited(job)
        self._by_target.setdefault(job, {})[by] = (rank, due_by, last_by, now, end)
        self._targets_by_source.setdefault(by, {})[job] = True
        return self.inherited(job) != before

    def inherited(self, job):
        """Returns (rank, due_by, last_by) that a job inherits: the most urgent of each."""
        wishes = self._by_target.get(job)
        if not wishes:
            return NO_PRIORITY
        rank, due_by, last_by, _received_at, _last_job = zip(*wishes.values(), strict=True)
        return min(rank), min(due_by), min(last_by)

    def remove_source(self, by):
        """Forgets all that job `by` passes to others. Returns the jobs it passed a priority to."""
        jobs = list(self._targets_by_source.get(by, ()))
        for job in jobs:
            self._remove(job, by)
        return jobs

    def _remove(self, job, by):
        """Forgets the priority that job `by` passes to `job`."""
        for index, key, other in (self._by_target, job, by), (self._targets_by_source, by, job):
            index[key].pop(other)
            if not index[key]:
                del index[key]

    def remove_target(self, job):
        """Forgets all priorities passed to a job that is over, or owned elsewhere."""
        for by in list(self._by_target.get(job, ())):
            self._remove(job, by)

    def expire(self, now):
        """Forgets priorities that were not repeated in time. Returns the jobs they were passed to."""
        changed = []
        for job, wishes in list(self._by_target.items()):
            expired = [by for by, wish in wishes.items() if now - wish[3] > self._kept_s]
            for by in expired:
                self._remove(job, by)
            if expired:
                changed.append(job)
        return changed

    def last_job(self, job):
        """Returns the last job of the pipeline whose deadline is the earliest for this job, or None."""
        wishes = self._by_target.get(job)
        return min(wishes.values(), key=lambda wish: wish[1])[4] if wishes else None

    def target_ids(self):
        """Returns the ids of the jobs to which a priority is passed."""
        return list(self._by_target)


def passed_priority(job, times):
    """Returns (rank, due_by, last_by), the priority that a waiting job passes to its dependencies.

    They must be done when its own tasks have to start: at its deadline, or at that of a job that depends on
    it in turn, less its own run time. `times` are the factors of its deadline that its class's targets name.
    """
    run_s = job.spec.estimate_s
    due_by, last_by = job.due_by, job.last_by
    if job.spec.due_s is not None:
        dues = [job.accepted_at + job.spec.due_s * factor for factor in times or (1.0,)]
        due_by, last_by = min(due_by, *dues), min(last_by, max(dues))
    return job.rank, due_by - run_s, last_by - run_s
