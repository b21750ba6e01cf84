"""Learns from the shard leaders which tasks of inherited jobs exist (safety rule 3 in docs/design.md)."""

from typing import NamedTuple

from roadhead.wire import frames

MAX_ROWS_PER_REQUEST = 20_000  # jobs and claims, of up to 80 bytes each: far below the largest frame


class Request(NamedTuple):
    """A request to a shard leader that it has not answered yet."""

    label: str
    jobs: list


class Reconciliation:
    """Asks the shard leaders for the tasks of jobs, and waits until each has reported all that it knows.

    `jobs` are the open jobs owned here, by id. `on_reconciled(job)` is called once every shard leader of the
    term has reported the tasks of an inherited job.
    """

    def __init__(self, context, jobs, on_reconciled):
        self._member = context.member
        self._send = context.send
        self._changed = context.changed
        self._jobs = jobs
        self._on_reconciled = on_reconciled
        self.inherited = {}  # inherited jobs that not every shard leader has reported on yet; an ordered set
        self._requests = {}  # request number -> Request
        self._last_number = 0
        self._full_requests = {}  # leader -> number of the last request for all jobs, until it is answered

    def ask_all(self, jobs):
        """Tells every shard leader that these jobs are owned here, and waits for what each knows of them."""
        for job in jobs:
            if job.unreconciled_leaders:
                job.unreconciled_leaders = set(self._member.term.members)
        for label in self._member.term.members:
            self.ask(label, jobs)

    def on_term(self, old, new):
        """Asks the shard leaders again after a change of the term.

        Each is told the jobs that are not fully reconciled, and those with attempts on machines that it leads
        only since this term. A shard leader with a new incarnation is told all jobs owned here.
        """
        # A request for all jobs under an older term, as when a link comes up, may have been dropped for its
        # term.
        full = [
            label
            for label in new.members
            if label in self._full_requests or old is None or old.incarnation(label) != new.incarnation(label)
        ]
        waiting = list(self.inherited)
        for job in waiting:
            job.unreconciled_leaders = set(new.members)
        moved = self._moved(old, new, full) if old is not None else {}
        unanswered = self._unanswered()
        for label in new.members:
            if label in full:
                self.ask(label)
            elif waiting or label in moved or label in unanswered:
                jobs = {**moved.get(label, {}), **unanswered.get(label, {}), **self.inherited}
                self.ask(label, list(jobs), complete=True)

    def _unanswered(self):
        """Returns {leader: {job: True}} for the open jobs of requests that a shard leader has not answered.

        A shard leader drops a request that names another term than its own. What was under way when the term
        changed is therefore asked again: otherwise a claim in it would never be answered, and its job never
        complete.
        """
        by_leader = {}
        for request in self._requests.values():
            jobs = {job: True for job in request.jobs if self._jobs.get(job.id) is job}
            if jobs:
                by_leader.setdefault(request.label, {}).update(jobs)
        return by_leader

    def _moved(self, old, new, full):
        """Returns {leader: {job: True}} for jobs on machines whose leader or token has changed."""
        moved = {}
        for job in self._jobs.values():
            for binding in job.bound.values():
                leader = new.leader_of(binding.machine)
                if leader not in full and old.leader_and_token(binding.machine) != new.leader_and_token(
                    binding.machine
                ):
                    moved.setdefault(leader, {})[job] = True
        return moved

    def ask(self, label, jobs=None, *, complete=False):
        """Asks one shard leader for these jobs, or for all jobs if `jobs` is None, in one request or several.

        `complete` means that `jobs` includes all jobs that are not fully reconciled.
        """
        term = self._member.term
        if label not in term.members:
            return
        full = jobs is None
        jobs = list(self._jobs.values()) if full else jobs
        if full or complete:
            # This request names all jobs of the earlier ones, so these are superseded. Otherwise none may be
            # dropped: jobs whose answer is not waited for would never start.
            self._requests = {n: request for n, request in self._requests.items() if request.label != label}
        for part_of_jobs, claims in self._parts(label, jobs):
            self._request(label, part_of_jobs, claims)
        if full:
            self._full_requests[label] = self._last_number

    def _parts(self, label, jobs):
        """Yields (jobs, claims) for requests of at most MAX_ROWS_PER_REQUEST rows; one request at least.

        Claims of a job that exceed it follow in requests that don't name the job.
        """
        part, claims = [], []
        for job in jobs:
            part.append(job)
            for index, binding in job.bound.items():
                if self._member.term.leader_of(binding.machine) != label:
                    continue
                if len(part) + len(claims) >= MAX_ROWS_PER_REQUEST:
                    yield part, claims
                    part, claims = [], []
                claims.append((binding.machine, job.id, index, binding.attempt))
            if len(part) + len(claims) >= MAX_ROWS_PER_REQUEST:
                yield part, claims
                part, claims = [], []
        if part or claims or not jobs:
            yield part, claims

    def _request(self, label, jobs, claims):
        """Sends one request, and keeps it until it is answered."""
        self._last_number += 1
        self._requests[self._last_number] = Request(label, jobs)
        self._send(
            label,
            frames.ReconcileRequest(
                self._member.term.number, self._last_number, [job.id for job in jobs], claims
            ),
        )

    def claim(self, label, attempts):
        """Claims attempts, (machine, job, index, attempt), at a shard leader.

        It answers what it knows of each; for no job it is waited for all that the leader knows.
        """
        for at in range(0, len(attempts), MAX_ROWS_PER_REQUEST):
            self._request(label, [], attempts[at : at + MAX_ROWS_PER_REQUEST])

    def unanswered_requests(self):
        """Returns {leader: [number]} of the requests that were not answered yet."""
        numbers = {}
        for number, request in self._requests.items():
            numbers.setdefault(request.label, []).append(number)
        return numbers

    def ask_again(self, label, numbers):
        """Repeats requests that a shard leader does not know of, if they are still unanswered.

        Returns how many those are.
        """
        lost = [number for number in numbers if number in self._requests]
        full = self._full_requests.get(label) in lost
        jobs = {}
        for number in lost:
            jobs.update(dict.fromkeys(self._requests.pop(number).jobs))
        if full:
            self.ask(label)
        elif lost:
            self.ask(label, [job for job in jobs if self._jobs.get(job.id) is job])
        return len(lost)

    def on_synced(self, label, frame):
        """Handles a shard leader's answer: it has reported all that it knows of the jobs of a request."""
        request = self._requests.pop(frame.number, None)
        if self._full_requests.get(label) == frame.number:
            del self._full_requests[label]
        if request is None or request.label != label:
            return
        if frame.term != self._member.term.number:
            # The answer was for an older term; in the current term the shard leader may know of more.
            self.ask(
                label, [job for job in request.jobs if job.unreconciled_leaders and job.id in self._jobs]
            )
            return
        ready = False
        for job in request.jobs:
            if label in job.unreconciled_leaders:
                job.unreconciled_leaders.discard(label)
                if not job.unreconciled_leaders:
                    self.inherited.pop(job, None)
                    self._on_reconciled(job)
                    ready = True
        if ready:
            self._changed()
