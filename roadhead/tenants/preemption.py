"""Preemption: stops borrowed work so that teams get their guarantees back (PROTOCOL, Preemption).

The owner of tasks that have waited within their team's guarantee for a short time asks the owners that hold
the most borrowed resources to free a part each. Such an owner stops only work beyond its own teams'
guarantees: first of the teams that are furthest ahead of their weight, and within a team what loses the
least, that is tasks not yet running, tasks that can save their state, then those that ran shortest.

Freed capacity is granted as usual. Guaranteed work is first in the queue order, so the capacity doesn't
return to the team that it was taken from. Nothing else is preempted, so preemptions don't cascade.
"""

import logging

from roadhead.dispatch.headroom import SharedHeadroom, WaitingTasks
from roadhead.machines.fitting import NO_RESOURCES, fits, fitting_count
from roadhead.machines.placement_rules import split_by_zone
from roadhead.wire import frames

log = logging.getLogger("roadhead.preemption")

MAX_RECLAIM_ROWS = 64


class Preemption:
    """Asks for guaranteed resources of waiting tasks, and stops borrowed work when asked.

    Tasks wait `patience_s` before resources are reclaimed, and `settle_s` before they are reclaimed again.
    `zones`: those of the deployment.
    """

    def __init__(
        self,
        loop,
        member,
        job_store,
        fair_share,
        send,
        counters,
        schedule_pass,
        patience_s,
        settle_s,
        zones=(),
    ):
        self._loop = loop
        self._member = member
        self._job_store = job_store
        self._fair_share = fair_share
        self._send = send
        self._count = counters.add
        self._schedule_pass = schedule_pass  # () -> None: schedules another placing pass
        self._patience_s = patience_s
        self._settle_s = settle_s
        self._zones = zones
        self._borrowed = {}  # label -> (cpus, gpus, memory) that its jobs hold beyond guarantees
        self._waiting_since = {}  # job -> when its tasks began to wait within the guarantee
        self._reclaimed = {}  # job -> (when to ask again, tasks whose resources were reclaimed)
        self._timer = None
        self._stopping = {}  # (job, index, attempt) -> time until which it counts as being stopped

    # Owner of waiting tasks

    def on_waiting_within_guarantee(self, jobs):
        """Takes the jobs whose tasks still wait within their guarantees after a placing pass."""
        now = self._loop.now()
        waiting = set(jobs)
        self._waiting_since = {job: self._waiting_since.get(job, now) for job in waiting}
        self._reclaimed = {job: asked for job, asked in self._reclaimed.items() if job in waiting}
        rows = {}
        soonest = None
        waiting_tasks = [
            WaitingTasks(job, job.within_guarantee, job.rank, job.queue_position, startable=True)
            for job in jobs
        ]
        SharedHeadroom(self._job_store.quota).share(waiting_tasks)
        for entry in waiting_tasks:
            job = entry.job
            left = self._waiting_since[job] + self._patience_s - now
            if left > 1e-6:
                soonest = left if soonest is None else min(soonest, left)
                continue
            until, tasks = self._reclaimed.get(job, (0.0, 0))
            # Tasks that their team's limit keeps from starting are not counted; borrowers keep that capacity.
            count = entry.within - (tasks if until > now else 0)
            if count <= 0:
                continue
            self._reclaimed[job] = (now + self._settle_s, entry.within)
            spec = job.spec
            for zone, number in split_by_zone(job, count, self._zones):
                key = (*job.resources, spec.spot, zone, tuple(spec.types or ()))
                rows[key] = rows.get(key, 0) + number
        if soonest is not None and self._timer is None:
            self._timer = self._loop.call_later(soonest, self._on_timer)
        if rows:
            self._send_reclaims(list(rows.items())[:MAX_RECLAIM_ROWS])

    def _on_timer(self):
        self._timer = None
        self._schedule_pass()

    def _send_reclaims(self, rows):
        """Sends reclaim requests, to the owner that borrows most first."""
        borrowed = dict(self._borrowed)
        parts = {}
        for (*need, spot, zone, types), count in rows:
            for label in sorted(borrowed, key=lambda label: borrowed[label], reverse=True):
                # Owners report all that they borrow; part of it may be on machines that don't fit.
                part = min(count, fitting_count(need, borrowed[label]))
                if part > 0:
                    parts.setdefault(label, []).append((*need, part, spot, zone, list(types)))
                    borrowed[label] = tuple(
                        available - part * amount
                        for available, amount in zip(borrowed[label], need, strict=True)
                    )
                    count -= part
                if not count:
                    break
        for label, requested in parts.items():
            self._count("reclaims")
            self._send(label, frames.ReclaimResources(requested))

    # Owner of borrowed work

    def on_borrowed(self, label, frame):
        """Takes another owner's report of what it borrows."""
        self._borrowed[label] = (frame.cpus, frame.gpus, frame.memory)

    def broadcast_borrowed(self):
        """Broadcasts what is borrowed here, with each heartbeat."""
        total = NO_RESOURCES
        for group in self._job_store.accounts.groups():
            for team in self._job_store.accounts.get(group).teams:
                total = tuple(map(sum, zip(total, self._fair_share.borrowed_resources(team), strict=True)))
        labels = self._member.term.members
        self._borrowed = {label: held for label, held in self._borrowed.items() if label in labels}
        for label in labels:
            self._send(label, frames.BorrowedResources(*total))
        now = self._loop.now()
        self._stopping = {key: until for key, until in self._stopping.items() if until > now}

    def on_reclaim(self, frame):
        """Stops borrowed work until the tasks of each row would fit into what it frees."""
        victims = self._victims()
        for *need, count, spot, zone, types in frame.rows:
            self._free_capacity(tuple(need), count, spot, zone, types, victims)

    def _victims(self):
        """Returns the tasks of borrowing teams in the order in which to stop them.

        Each is a (team, job, index, binding).
        """
        accounts = self._job_store.accounts
        found = []
        now = self._loop.now()
        for group in accounts.groups():
            for team in accounts.get(group).teams:
                ahead = self._fair_share.weighted_borrowed_share(team)
                if ahead <= 0:
                    continue
                for job in accounts.get(team).jobs:
                    for index, binding in job.bound.items():
                        key = (job.id, index, binding.attempt)
                        if binding.held and self._stopping.get(key, 0.0) <= now:
                            found.append((-ahead, self._lost_cpu_s(job, binding), team, job, index, binding))
        found.sort(key=lambda entry: entry[:2])
        return [(team, job, index, binding) for _ahead, _lost_cpu_s, team, job, index, binding in found]

    def _lost_cpu_s(self, job, binding):
        """Returns the CPU seconds of work lost by stopping the task."""
        if binding.status != "running":
            return 0.0
        ran_s = self._loop.now() - binding.bound_at
        spec = job.spec
        return spec.cpus * (min(ran_s, spec.save_s) if spec.checkpoint_s > 0 else ran_s)

    @staticmethod
    def _is_fitting_machine(job, binding, spot, zone, types):
        """Returns whether the task's machine certainly fits the request: its own job asked for no less."""
        spec = job.spec
        return (
            (spot or not spec.spot)
            and (not zone or zone == binding.zone)
            and (not types or (spec.types is not None and set(spec.types) <= set(types)))
        )

    def _free_capacity(self, need, count, spot, zone, types, victims):
        left = {}  # team -> resources that it still holds beyond its guarantee
        while count > 0:
            by_machine = {}
            for victim in victims:
                if self._is_fitting_machine(victim[1], victim[3], spot, zone, types):
                    by_machine.setdefault(victim[3].machine, []).append(victim)
            made = 0
            for tasks in by_machine.values():  # in the order of their first victims
                if made < count:
                    made += self._free_on_machine(need, tasks, left, victims)
            if not made:
                return
            count -= made

    def _free_on_machine(self, need, tasks, left, victims):
        """Frees capacity for at least one task by stopping some tasks of one machine.

        Returns how many of the waiting tasks fit there, 0 if nothing was stopped.
        """
        chosen, freed = [], NO_RESOURCES
        taken = {}  # team -> resources of its tasks that would stop
        for victim in tasks:
            team, job, _index, _binding = victim
            excess = left.setdefault(team, self._fair_share.borrowed_resources(team))
            to_stop = tuple(map(sum, zip(taken.get(team, NO_RESOURCES), job.resources, strict=True)))
            if to_stop[0] > excess[0] + 1e-6 or to_stop[1] > excess[1] + 1e-6:
                continue
            taken[team] = to_stop
            chosen.append(victim)
            freed = tuple(map(sum, zip(freed, job.resources, strict=True)))
            if fits(need, freed):
                break
        if not fits(need, freed):
            return 0  # not enough on this machine: none of its tasks stops
        for team, to_stop in taken.items():
            left[team] = tuple(part - own for part, own in zip(left[team], to_stop, strict=True))
        for victim in chosen:
            victims.remove(victim)
            self._stop(*victim[1:])
        return fitting_count(need, freed)

    def _stop(self, job, index, binding):
        self._count("tasks_preempted")
        key = (job.id, index, binding.attempt)
        self._stopping[key] = self._loop.now() + self._settle_s + job.spec.save_s
        self._job_store.stop(job, index, binding, job.spec.save_s)
