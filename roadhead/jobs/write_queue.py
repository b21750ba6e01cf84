"""The jobs whose records are to be written, by urgency."""

import heapq
from itertools import count, islice

URGENT, SOON, LATER = range(3)


class WriteQueue:
    """Jobs in the order in which their records are written.

    A job scheduled LATER is due `progress_s` seconds after its record was last written.
    """

    def __init__(self, loop, progress_s):
        self._loop = loop
        self._progress_s = progress_s
        self._urgency = {}  # job -> urgency
        self._waiting = ({}, {})  # URGENT jobs and SOON jobs, as ordered sets
        # Heap of (due time, number, job) of LATER jobs; may hold jobs taken out since
        self._later = []
        self._numbers = count()

    def __len__(self):
        return len(self._urgency)

    def __contains__(self, job):
        return job in self._urgency

    def add(self, job, urgency):
        """Adds a job. One that is in the queue already can only become more urgent."""
        was = self._urgency.get(job, LATER + 1)
        if was <= urgency:
            return
        self._urgency[job] = urgency
        if was < LATER:
            self._waiting[was].pop(job, None)
        if urgency < LATER:
            self._waiting[urgency][job] = True
        else:
            heapq.heappush(self._later, (self._due_at(job), next(self._numbers), job))

    def take(self, job):
        """Removes a job if it is in the queue. Returns its urgency, LATER if it was not."""
        urgency = self._urgency.pop(job, LATER)
        if urgency < LATER:
            del self._waiting[urgency][job]
        return urgency

    @property
    def urgent(self):
        """The URGENT jobs, in order."""
        return self._waiting[URGENT]

    def soon(self, most):
        """Returns up to `most` of the SOON jobs."""
        return islice(self._waiting[SOON], most)

    def progress(self, most):
        """Returns up to `most` LATER jobs that are due, the longest overdue first."""
        now = self._loop.now()
        due = {}
        while self._later and self._later[0][0] <= now and len(due) < most:
            entry = heapq.heappop(self._later)
            job = entry[2]
            if self._urgency.get(job) == LATER and entry[0] == self._due_at(job):
                due.setdefault(job, entry)
        for entry in due.values():
            heapq.heappush(self._later, entry)  # a job stays due until it is written
        return list(due)

    def _due_at(self, job):
        return job.written_at + self._progress_s
