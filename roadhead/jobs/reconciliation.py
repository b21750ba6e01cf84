"""What every home has told of the jobs that an owner inherited (safety 3 in docs/design.md)."""

from typing import NamedTuple

from roadhead.wire import frames


class Request(NamedTuple):
    """What a home was asked, and has not answered yet."""

    label: str
    jobs: list


class Reconciliation:
    """Asks the homes for the tasks of jobs, and waits until each has told all that it knows.

    `jobs`: open jobs owned here, by id. `on_reconciled(job)` is called once every home of the term has told
    of an inherited job.
    """

    def __init__(self, context, jobs, on_reconciled):
        self._member = context.member
        self._send = context.send
        self._changed = context.changed
        self._jobs = jobs
        self._on_reconciled = on_reconciled
        self.inherited = {}  # jobs of which not every home has told, in order as a set
        self._requests = {}  # number -> Request
        self._number = 0
        self._whole = {}  # home -> number of the last request that told it all, until it is answered

    def ask_all(self, jobs):
        """Tells every home of these jobs, and waits for what each knows of them."""
        for job in jobs:
            if job.unreconciled_leaders:
                job.unreconciled_leaders = set(self._member.term.members)
        for label in self._member.term.members:
            self.ask(label, jobs)

    def on_term(self, old, new):
        """The term changed. Of what is owned here every home is told the jobs of which not all is known
        yet, and what is bound on machines that it is home to only now; a new incarnation is told all."""
        # One that told all under an older term, as when a link comes up, may have been dropped as such.
        whole = [
            label
            for label in new.members
            if label in self._whole or old is None or old.incarnation(label) != new.incarnation(label)
        ]
        waiting = list(self.inherited)
        for job in waiting:
            job.unreconciled_leaders = set(new.members)
        moved = self._moved(old, new, whole) if old is not None else {}
        unanswered = self._unanswered()
        for label in new.members:
            if label in whole:
                self.ask(label)
            elif waiting or label in moved or label in unanswered:
                jobs = {**moved.get(label, {}), **unanswered.get(label, {}), **self.inherited}
                self.ask(label, list(jobs), complete=True)

    def _unanswered(self):
        """{home: {job: True}} of jobs that it was asked for and has not answered, as far as they are open.

        A home drops a request for another term than its own: what was under way as the term changed is
        asked again, or a claim in it would never be answered, and its job never done.
        """
        found = {}
        for request in self._requests.values():
            jobs = {job: True for job in request.jobs if self._jobs.get(job.id) is job}
            if jobs:
                found.setdefault(request.label, {}).update(jobs)
        return found

    def _moved(self, old, new, whole):
        """{home: {job: True}} of jobs bound on machines that were not its own, or not under its token."""
        moved = {}
        for job in self._jobs.values():
            for binding in job.bound.values():
                home = new.leader_of(binding.machine)
                if home not in whole and old.leader_and_token(binding.machine) != new.leader_and_token(
                    binding.machine
                ):
                    moved.setdefault(home, {})[job] = True
        return moved

    def ask(self, label, jobs=None, *, complete=False):
        """Asks one home for these jobs; None: for all. `complete`: with all of which not all is known."""
        term = self._member.term
        if label not in term.members:
            return
        whole = jobs is None
        jobs = list(self._jobs.values()) if whole else jobs
        claims = [
            (binding.machine, job.id, index, binding.attempt)
            for job in jobs
            for index, binding in job.bound.items()
            if term.leader_of(binding.machine) == label
        ]
        self._number += 1
        if whole:
            self._whole[label] = self._number
        if whole or complete:
            # It names all that those before named. None may be dropped otherwise: jobs whose
            # answer is not waited for would never start.
            self._requests = {n: request for n, request in self._requests.items() if request.label != label}
        self._requests[self._number] = Request(label, jobs)
        self._send(
            label, frames.ReconcileRequest(term.number, self._number, [job.id for job in jobs], claims)
        )

    def on_synced(self, label, frame):
        """A home has told all that it knows of the jobs of a request."""
        request = self._requests.pop(frame.number, None)
        if self._whole.get(label) == frame.number:
            del self._whole[label]
        if request is None or request.label != label:
            return
        if frame.term != self._member.term.number:
            # Said for an older term: a home of this one may know of more.
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
