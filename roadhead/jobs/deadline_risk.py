"""Counts done, late and endangered jobs of each class, for the operators' summary."""

import logging
import math

log = logging.getLogger("roadhead.risk")


class DeadlineTracker:
    """Tracks the deadlines of the jobs of this controller.

    `targets` maps a class to its tightest target in seconds, `classes` are those that are always listed.
    """

    def __init__(self, targets, classes):
        self._targets = targets
        self._classes = classes
        self._done = {}
        self._late = {}
        self._at_risk = set()

    def due_at(self, job):
        """Returns the time of day by which the job should be complete, or None.

        A job's own deadline counts from its submission; its class's target counts from when its last
        dependency was done.
        """
        if job.spec.due_s is not None:
            return job.accepted_at + job.spec.due_s
        target = self._targets.get(job.spec.klass)
        return job.released_at + target if target is not None else None

    def finished(self, job, now):
        """Counts a job that is done, and whether it was late."""
        klass = job.spec.klass
        self._done[klass] = self._done.get(klass, 0) + 1
        due_at = self.due_at(job)
        if due_at is not None and now > due_at:
            self._late[klass] = self._late.get(klass, 0) + 1
        self._at_risk.discard(job.id)

    def is_at_risk(self, job, now):
        """Returns whether, by its estimate, the job cannot be complete in time any more.

        A task that still waits takes at least one more run; running tasks take about half of one.
        """
        due_at = self.due_at(job)
        if job.state != "open" or (due_at is None and job.due_by == math.inf):
            return False
        left = min(math.inf if due_at is None else due_at, job.due_by) - now
        return left < job.spec.estimate_s * (1.0 if job.unstarted else 0.5)

    def rows_of(self, jobs, now):
        """Returns [class, open, at risk] of the given jobs. Nothing is logged."""
        counts = {}
        for job in jobs:
            entry = counts.setdefault(job.spec.klass, [0, 0])
            entry[0] += 1
            entry[1] += self.is_at_risk(job, now)
        return [[klass, *entry] for klass, entry in sorted(counts.items())]

    def rows(self, jobs, now, held_back=None):
        """Returns rows of (class, open, done, late, at risk), and logs each job that is newly at risk.

        `held_back` maps a class to the number of its jobs that wait for dependencies, which are open as well.
        """
        held_back = held_back or {}
        counts = {klass: [held_back.get(klass, 0), 0] for klass in (*self._classes, *held_back)}
        for job in jobs:
            entry = counts.setdefault(job.spec.klass, [0, 0])
            entry[0] += 1
            if self.is_at_risk(job, now):
                entry[1] += 1
                if job.id not in self._at_risk:
                    self._at_risk.add(job.id)
                    log.info(
                        "job %s of class %s is at risk: %d of %d tasks done after %.0f s",
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
