"""A team gets its guarantee back: borrowed work is stopped, the least of it that does (PROTOCOL, Preemption).

Whoever owns tasks that wait within their team's guarantee asks, after a short patience, the
owners that hold the most borrowed work, each for a part. An owner stops only work beyond its own
teams' guarantees, of those furthest ahead of their weight first, and of theirs what loses the
least: what has not begun, what can save, what ran shortest. The room that comes free is granted
like any other; the guaranteed work is first in the queue order, so it does not go back to
whom it was taken from. Nothing else is preempted, so nothing is stopped in turn.
"""

import logging

from roadhead.dispatch.headroom import SharedHeadroom, WaitingTasks
from roadhead.machines.machine import NO_RESOURCES, fits, fitting_count
from roadhead.wire import frames

log = logging.getLogger("roadhead.preemption")

ROWS_MOST = 64


class Preemption:
    """`patience_s` passes before room is asked back, `settle_s` before it is asked for again."""

    def __init__(self, loop, member, job_store, fair_share, send, counters, again, patience_s, settle_s):
        self._loop = loop
        self._member = member
        self._job_store = job_store
        self._sharing = fair_share
        self._send = send
        self._count = counters.add
        self._again = again  # () -> None: look at what waits once more
        self._patience_s = patience_s
        self._settle_s = settle_s
        self._borrowed = {}  # label -> (cpus, gpus, memory) that its jobs hold beyond guarantees
        self._since = {}  # job -> since when tasks of it wait within the guarantee
        self._asked = {}  # job -> (until, tasks for which room was asked back)
        self._timer = None
        self._stopping = {}  # (job, index, attempt) -> until when it is taken for on its way out

    # Whoever waits

    def waits(self, jobs):
        """After a placing pass: jobs with tasks that wait within their teams' guarantees."""
        now = self._loop.now()
        waiting = set(jobs)
        self._since = {job: self._since.get(job, now) for job in waiting}
        self._asked = {job: asked for job, asked in self._asked.items() if job in waiting}
        rows = {}
        soonest = None
        parts = [
            WaitingTasks(job, job.within_guarantee, job.rank, job.queue_position, startable=True)
            for job in jobs
        ]
        SharedHeadroom(self._job_store.quota).share(parts)
        for part in parts:
            job = part.job
            left = self._since[job] + self._patience_s - now
            if left > 1e-6:
                soonest = left if soonest is None else min(soonest, left)
                continue
            until, tasks = self._asked.get(job, (0.0, 0))
            # Room that its team's limit keeps from being used is left to those who borrow it.
            count = part.within - (tasks if until > now else 0)
            if count <= 0:
                continue
            self._asked[job] = (now + self._settle_s, part.within)
            spec = job.spec
            key = (*job.resources, spec.spot, spec.zone or "", tuple(spec.types or ()))
            rows[key] = rows.get(key, 0) + count
        if soonest is not None and self._timer is None:
            self._timer = self._loop.call_later(soonest, self._look_again)
        if rows:
            self._ask(list(rows.items())[:ROWS_MOST])

    def _look_again(self):
        self._timer = None
        self._again()

    def _ask(self, rows):
        """Each owner is asked for what it has, the one that borrows most first."""
        left = dict(self._borrowed)
        parts = {}
        for (*need, spot, zone, types), count in rows:
            for label in sorted(left, key=lambda label: left[label], reverse=True):
                # Owners tell of all they borrow; part of it may be on machines that do not fit.
                part = min(count, fitting_count(need, left[label]))
                if part > 0:
                    parts.setdefault(label, []).append((*need, part, spot, zone, list(types)))
                    left[label] = tuple(
                        room - part * amount for room, amount in zip(left[label], need, strict=True)
                    )
                    count -= part
                if not count:
                    break
        for label, own in parts.items():
            self._count("reclaims")
            self._send(label, frames.ReclaimResources(own))

    # Whoever has borrowed

    def on_borrowed(self, label, frame):
        self._borrowed[label] = (frame.cpus, frame.gpus, frame.memory)

    def tell(self):
        """With each beat: what is borrowed here."""
        total = NO_RESOURCES
        for group in self._job_store.accounts.groups():
            for team in self._job_store.accounts.get(group).teams:
                total = tuple(map(sum, zip(total, self._sharing.borrowed(team), strict=True)))
        labels = self._member.term.members
        self._borrowed = {label: held for label, held in self._borrowed.items() if label in labels}
        for label in labels:
            self._send(label, frames.BorrowedResources(*total))
        now = self._loop.now()
        self._stopping = {key: until for key, until in self._stopping.items() if until > now}

    def on_reclaim(self, frame):
        """Stops borrowed work until each row's tasks would fit in its room."""
        victims = self._victims()
        for *need, count, spot, zone, types in frame.rows:
            self._free(tuple(need), count, spot, zone, types, victims)

    def _victims(self):
        """[(team, job, index, binding)]: tasks of teams that borrow, in the order in which
        they are to be stopped."""
        accounts = self._job_store.accounts
        found = []
        now = self._loop.now()
        for group in accounts.groups():
            for team in accounts.get(group).teams:
                ahead = self._sharing.ahead(team)
                if ahead <= 0:
                    continue
                for job in accounts.get(team).jobs:
                    for index, binding in job.bound.items():
                        key = (job.id, index, binding.attempt)
                        if binding.held and self._stopping.get(key, 0.0) <= now:
                            found.append((-ahead, self._loss(job, binding), team, job, index, binding))
        found.sort(key=lambda entry: entry[:2])
        return [(team, job, index, binding) for _ahead, _loss, team, job, index, binding in found]

    def _loss(self, job, binding):
        """CPU seconds that stopping the task throws away."""
        if binding.status != "running":
            return 0.0
        ran_s = self._loop.now() - binding.at
        spec = job.spec
        return spec.cpus * (min(ran_s, spec.save_s) if spec.checkpoint_s > 0 else ran_s)

    @staticmethod
    def _on_fitting(job, binding, spot, zone, types):
        """Whether the task's machine would surely do: its own job asked for no less."""
        spec = job.spec
        return (
            (spot or not spec.spot)
            and (not zone or zone == binding.zone)
            and (not types or (spec.types is not None and set(spec.types) <= set(types)))
        )

    def _free(self, need, count, spot, zone, types, victims):
        left = {}  # team -> what it holds beyond its guarantee
        while count > 0:
            by_machine = {}
            for victim in victims:
                if self._on_fitting(victim[1], victim[3], spot, zone, types):
                    by_machine.setdefault(victim[3].machine, []).append(victim)
            made = 0
            for tasks in by_machine.values():  # in the order of their first victims
                if made < count:
                    made += self._free_on_one(need, tasks, left, victims)
            if not made:
                return
            count -= made

    def _free_on_one(self, need, tasks, left, victims):
        """Makes room for one task, or more, by stopping some of a machine's; how many would fit."""
        chosen, room = [], NO_RESOURCES
        taken = {}  # team -> what of it would stop
        for victim in tasks:
            team, job, _index, _binding = victim
            over = left.setdefault(team, self._sharing.borrowed(team))
            stops = tuple(map(sum, zip(taken.get(team, NO_RESOURCES), job.resources, strict=True)))
            if stops[0] > over[0] + 1e-6 or stops[1] > over[1] + 1e-6:
                continue
            taken[team] = stops
            chosen.append(victim)
            room = tuple(map(sum, zip(room, job.resources, strict=True)))
            if fits(need, room):
                break
        if not fits(need, room):
            return 0  # not enough there: nothing of it stops
        for team, stops in taken.items():
            left[team] = tuple(part - own for part, own in zip(left[team], stops, strict=True))
        for victim in chosen:
            victims.remove(victim)
            self._stop(*victim[1:])
        return fitting_count(need, room)

    def _stop(self, job, index, binding):
        self._count("tasks_preempted")
        key = (job.id, index, binding.attempt)
        self._stopping[key] = self._loop.now() + self._settle_s + job.spec.save_s
        self._job_store.stop(job, index, binding)
