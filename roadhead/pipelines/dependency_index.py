"""The index of which jobs owned here wait for which others. Pure decisions, without sockets or clock.

A waiting job is in no queue and in no account, so code that goes through startable jobs never meets it.
"""

DONE, CANCELLED = "done", "cancelled"


class DependencyIndex:
    """Waiting jobs and their dependencies.

    `dependents` maps each upstream id that is not known to be over to the jobs that wait for it.
    """

    def __init__(self):
        self.jobs = {}  # id -> Job
        self.dependents = {}  # upstream id -> {job: True}
        self.by_class = {}  # class -> number of its waiting jobs
        self.by_team = {}  # team -> number of its waiting jobs
        self._remaining = {}  # job -> upstream ids not known to be done

    def add(self, job, ended):
        """Adds a job that waits, unless all of its dependencies are over.

        `ended(id)` returns DONE, CANCELLED, or None if the job is not known to be over. Returns DONE if the
        added job may start, CANCELLED if a dependency is cancelled, and None while it waits.
        """
        left = {}
        for name in job.spec.upstream:
            state = ended(name)
            if state == CANCELLED:
                return CANCELLED
            if state != DONE:
                left[name] = True
        if not left:
            return DONE
        self.jobs[job.id], self._remaining[job] = job, left
        for name in left:
            self.dependents.setdefault(name, {})[job] = True
        self._count(job, 1)
        return None

    def _count(self, job, by):
        """Adds `by` to the counts of the job's class and team."""
        for counts, name in ((self.by_class, job.spec.klass), (self.by_team, job.spec.team)):
            counts[name] = counts.get(name, 0) + by
            if not counts[name]:
                del counts[name]

    def remove(self, job):
        """Removes a job. Returns whether it was waiting."""
        if self.jobs.pop(job.id, None) is None:
            return False
        for name in self._remaining.pop(job):
            waiting = self.dependents[name]
            del waiting[job]
            if not waiting:
                del self.dependents[name]
        self._count(job, -1)
        return True

    def remaining(self, job):
        """Returns the upstream ids that the job still waits for."""
        return list(self._remaining.get(job, ()))

    def on_job_ended(self, name, state):
        """Handles the durable end of a job. Returns ([jobs that may start], [jobs cancelled with it]).

        The caller has to report the cancelled ones in turn, for the jobs that wait for them.
        """
        waiting = self.dependents.get(name)
        if waiting is None:
            return [], []
        if state == CANCELLED:
            jobs = list(waiting)
            for job in jobs:
                self.remove(job)
            return [], jobs
        del self.dependents[name]
        free = []
        for job in waiting:
            left = self._remaining[job]
            del left[name]
            if not left:
                free.append(job)
        for job in free:
            self.remove(job)
        return free, []
