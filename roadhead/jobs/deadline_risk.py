"""What is done, late and at risk, class by class: what the morning reader looks at."""

import logging
import math

log = logging.getLogger("roadhead.risk")


class DeadlineTracker:
    """`aims` maps a class to its tightest time aim in seconds. Counts are of this controller."""

    def __init__(self, aims, classes):
        self._aims = aims
        self._classes = classes
        self._done = {}
        self._late = {}
        self._at_risk = set()

    def due_at(self, job):
        """The time of day by which the job should be complete, or None: its deadline counts from its
        submission, what is expected of its class from when nothing held it back any more."""
        if job.spec.due_s is not None:
            return job.accepted_at + job.spec.due_s
        aim = self._aims.get(job.spec.klass)
        return job.released_at + aim if aim is not None else None

    def finished(self, job, now):
        klass = job.spec.klass
        self._done[klass] = self._done.get(klass, 0) + 1
        due_at = self.due_at(job)
        if due_at is not None and now > due_at:
            self._late[klass] = self._late.get(klass, 0) + 1
        self._at_risk.discard(job.id)

    def endangered(self, job, now):
        """True if the job can't be complete in time any more, as far as its estimate tells.

        What still waits takes at least one more run of a task; what runs, about half of one.
        """
        due_at = self.due_at(job)
        if job.state != "open" or (due_at is None and job.due_by == math.inf):
            return False
        left = min(math.inf if due_at is None else due_at, job.due_by) - now
        return left < job.spec.estimate_s * (1.0 if job.unstarted else 0.5)

    def rows_of(self, jobs, now):
        """[class, open, at risk] of some jobs, without a note of what is new."""
        counts = {}
        for job in jobs:
            entry = counts.setdefault(job.spec.klass, [0, 0])
            entry[0] += 1
            entry[1] += self.endangered(job, now)
        return [[klass, *entry] for klass, entry in sorted(counts.items())]

    def rows(self, jobs, now, held_back=None):
        """(class, open, done, late, at risk) rows; a risk is logged when it first appears. `held_back`:
        class -> how many wait for other jobs, which are open as well."""
        held_back = held_back or {}
        counts = {klass: [held_back.get(klass, 0), 0] for klass in (*self._classes, *held_back)}
        for job in jobs:
            entry = counts.setdefault(job.spec.klass, [0, 0])
            entry[0] += 1
            if self.endangered(job, now):
                entry[1] += 1
                if job.id not in self._at_risk:
                    self._at_risk.add(job.id)
                    log.info(
                        "at risk: %s of %s, %d of %d tasks done after %.0f s",
                        job.id,
                        job.spec.klass,
                        job.done.count,
                        job.spec.tasks,
                        now - job.accepted_at,
                    )
        for klass in self._done:
            counts.setdefault(klass, [0, 0])
        return [
            (klass, running, self._done.get(klass, 0), self._late.get(klass, 0), at_risk)
            for klass, (running, at_risk) in sorted(counts.items())
        ]
