"""Which jobs owned here wait for which. Decisions alone: no sockets, no clock.

A job that waits is in no queue and no account: nothing that goes over what may run ever meets it.
"""

DONE, CANCELLED = "done", "cancelled"


class DependencyIndex:
    """`dependents` maps each upstream id that is not known to be over to the jobs that wait for it."""

    def __init__(self):
        self.jobs = {}  # id -> Job
        self.dependents = {}  # upstream id -> {job: True}
        self.by_class = {}  # class -> how many of it wait
        self.by_team = {}  # team -> how many of its
        self._left = {}  # job -> upstream ids not known to be done

    def add(self, job, ended):
        """The job waits from now on, unless all it needs is over. `ended(id)`: DONE, CANCELLED, or None
        if that is not known. Returns DONE if it may start, CANCELLED, or None while it waits."""
        left = {}
        for name in job.spec.upstream:
            state = ended(name)
            if state == CANCELLED:
                return CANCELLED
            if state != DONE:
                left[name] = True
        if not left:
            return DONE
        self.jobs[job.id], self._left[job] = job, left
        for name in left:
            self.dependents.setdefault(name, {})[job] = True
        self._count(job, 1)
        return None

    def _count(self, job, by):
        for counts, name in ((self.by_class, job.spec.klass), (self.by_team, job.spec.team)):
            counts[name] = counts.get(name, 0) + by
            if not counts[name]:
                del counts[name]

    def remove(self, job):
        """The job waits no more here; whether it did."""
        if self.jobs.pop(job.id, None) is None:
            return False
        for name in self._left.pop(job):
            waiting = self.dependents[name]
            del waiting[job]
            if not waiting:
                del self.dependents[name]
        self._count(job, -1)
        return True

    def remaining(self, job):
        """Upstream ids that the job still waits for."""
        return list(self._left.get(job, ()))

    def on_job_ended(self, name, state):
        """A job is durably over: ([jobs that may start], [jobs that are cancelled with it]). Those that
        wait for the cancelled ones are for the caller to name in turn."""
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
            left = self._left[job]
            del left[name]
            if not left:
                free.append(job)
        for job in free:
            self.remove(job)
        return free, []
