"""Limits of tenants' teams, and fair sharing between them.

All jobs of a tenant are owned by one controller, its quota leader, so its usage is known exactly there. The
order computed here sets each job's queue position. Controllers broadcast that with their demand, and shard
leaders grant by it: so shares hold across controllers, as closely as the broadcast demand is current.
"""

import heapq
from itertools import chain, islice

from roadhead.machines.fitting import NO_RESOURCES, fitting_count
from roadhead.tenants import ids
from roadhead.tenants.records import ACTIVE, REMOVED, STOP, SUSPENDED

UNLIMITED_TASKS = 1 << 30
QUANTUM = 1 / 64  # fraction of the fleet by which a borrower may get ahead of the next one in a round
LAST_POSITION = float("inf")
MAX_ORDERED_JOBS = 2000  # jobs ordered per round, of all groups
MIN_ORDERED_PER_GROUP = 20  # smallest number of them per group


class TenantTeams:
    """Team limits from the table of tenants; the counterpart of `FixedTeams`."""

    limited = True

    def __init__(self, table):
        self._table = table

    def get(self, name):
        """Returns the Team, or None."""
        return self._table.team(name)[1]

    def limits_of(self, name):
        """Returns the (CPU, GPU) limits of the team and of its tenant; 0 is no limit."""
        entry, team = self._table.team(name)
        limits = entry.tenant.limits
        return ((team.cpus_max, team.gpus_max), (limits.cpus, limits.gpus))

    def group(self, name):
        """Returns the team's group: its tenant's number as a text, or None."""
        number, _team = ids.from_team(name)
        return None if number is None else str(number)

    def levels(self, name):
        """Returns ((name, limits) of the team, the same of its tenant).

        None while nothing of the team may start.
        """
        entry, team = self._table.team(name)
        if team is None or entry.tenant.state != ACTIVE:
            return None
        limits = entry.tenant.limits
        return (
            (name, (team.cpus_max, team.gpus_max)),
            (str(entry.tenant.number), (limits.cpus, limits.gpus)),
        )

    def weights(self, name):
        """Returns (the tenant's weight, the team's weight)."""
        entry, team = self._table.team(name)
        return (entry.tenant.weight, team.weight) if team is not None else (1.0, 1.0)

    def must_stop_running(self, group):
        """Returns whether a group's running work must stop.

        That is so if its tenant is removed, or suspended with `running` = `stop`.
        """
        entry = self._table.entry(int(group))
        if entry is None:
            return False
        tenant = entry.tenant
        return tenant.state == REMOVED or (tenant.state == SUSPENDED and tenant.running == STOP)


def dominant_share(amounts, totals):
    """Returns the dominant share of `amounts`: their largest fraction of the fleet's (cpus, gpus, memory)."""
    return max(
        (amount / total if total > 0 else 1.0 if amount > 0 else 0.0)
        for amount, total in zip(amounts, totals, strict=True)
    )


class FairShare:
    """Orders jobs by guarantees and weights.

    Work within its team's guarantee comes before all borrowing work, in its own order. Tenants borrow by
    weight (progressive filling): first comes the one whose dominant share of borrowed resources, divided by
    its weight, is the smallest; the teams within a tenant are ordered in the same way. A job that is only
    partly within the guarantee is split by `sure`, the number of its tasks that are within.
    """

    def __init__(self, teams, accounts, totals, base, step):
        self._teams = teams
        self._accounts = accounts
        self._totals = totals  # () -> (cpus, gpus, memory) of the fleet
        self._base = base  # queue position at which borrowing begins
        self._step = step  # queue positions that correspond to a whole fleet's share

    def _held(self, name):
        account = self._accounts.get(name)
        return account.held if account is not None else NO_RESOURCES

    def candidates(self):
        """Yields jobs that may come first: of each group some, the most urgent and of those the oldest.

        The limit bounds the cost of ordering, however many jobs wait; jobs left out come after these.
        """
        groups = self._accounts.groups()
        each = max(MIN_ORDERED_PER_GROUP, MAX_ORDERED_JOBS // max(1, len(groups)))
        for group in groups:
            by_rank = chain.from_iterable(self._accounts.get(group).by_rank)
            yield from islice((job for job in by_rank if job.unstarted and job.state == "open"), each)

    def borrowed_resources(self, team):
        """Returns the (cpus, gpus, memory) that a team holds beyond its guarantee.

        Memory has no guarantee of its own: the same fraction of it counts as borrowed as of the CPUs.
        """
        held = self._held(team)
        known = self._teams.get(team)
        sure = known.cpus if known is not None else 0.0, known.gpus if known is not None else 0.0
        over = [max(0.0, part - own) for part, own in zip(held, sure, strict=False)]
        return (*over, held[2] * (over[0] / held[0] if held[0] > 0 else 1.0))

    def weighted_borrowed_share(self, team):
        """Returns a team's dominant share of borrowed resources, divided by both weights."""
        tenant, own = self._teams.weights(team)
        return dominant_share(self.borrowed_resources(team), self._totals()) / (tenant * own)

    def assign_positions(self, jobs):
        """Sets `queue_position`, `sure` and `part` of each job with waiting tasks.

        `part` is the number of tasks that it may start before the next round. `jobs` come in the order that
        they would have without sharing.
        """
        totals = self._totals()
        left = {}  # team -> unused (cpus, gpus) of its guarantee
        borrowers = {}  # group -> {team: [jobs that borrow, in order]}
        for job in jobs:
            count = job.startable()
            if count <= 0:
                continue
            team = job.spec.team
            unused = left.get(team)
            if unused is None:
                known = self._teams.get(team)
                held = self._held(team)
                unused = (known.cpus - held[0], known.gpus - held[1]) if known is not None else (0.0, 0.0)
            job.within_guarantee = min(count, fitting_count(job.resources, unused))
            left[team] = tuple(
                free - job.within_guarantee * part for free, part in zip(unused, job.resources, strict=False)
            )
            job.round_allowance = job.within_guarantee
            job.borrowed_position = LAST_POSITION
            if job.within_guarantee < count:
                borrowers.setdefault(self._teams.group(team), {}).setdefault(team, []).append(job)
        queue = []  # (share / weight, weight, first borrowing job) of each borrowing tenant
        for group, teams in borrowers.items():
            share = sum(
                dominant_share(self.borrowed_resources(team), totals) for team in self._teams_of(group, teams)
            )
            weight = self._teams.weights(next(iter(teams)))[0]
            for job, before in self._merge_by_weight(teams, totals):
                job.borrowed_position = self._base + self._step * (share + before) / weight
                if not before:
                    queue.append((share / weight, weight, job))
        queue.sort(key=lambda entry: entry[0])
        for number, (share, weight, job) in enumerate(queue):
            ahead = queue[number + 1][0] - share + QUANTUM if number + 1 < len(queue) else LAST_POSITION
            task = dominant_share(job.resources, totals)
            if job.within_guarantee:
                continue  # its borrowing tasks start in the next round
            job.round_allowance = (
                UNLIMITED_TASKS if task <= 0 or ahead == LAST_POSITION else max(1, int(ahead * weight / task))
            )
        for job in jobs:
            if not job.within_guarantee:
                job.queue_position = job.borrowed_position

    def _teams_of(self, group, teams):
        """Returns the teams of a group that hold resources or have waiting jobs."""
        account = self._accounts.get(group)
        held = account.teams if account is not None else {}
        return [*teams, *(team for team in held if team not in teams)]

    def _merge_by_weight(self, teams, totals):
        """Yields (job, dominant share of the jobs before it) of a tenant's jobs, with its teams by weight."""
        heads = []
        for team, jobs in teams.items():
            weight = self._teams.weights(team)[1]
            heads.append(
                (dominant_share(self.borrowed_resources(team), totals) / weight, team, weight, 0, jobs)
            )
        heapq.heapify(heads)
        before = 0.0
        while heads:
            share, team, weight, at, jobs = heapq.heappop(heads)
            job = jobs[at]
            yield job, before
            size = dominant_share(job.resources, totals) * (job.startable() - job.within_guarantee)
            before += max(size, 1e-9)
            if at + 1 < len(jobs):
                heapq.heappush(heads, (share + size / weight, team, weight, at + 1, jobs))
