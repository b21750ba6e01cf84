"""The teams of tenants: their limits and, of what waits, whose turn it is.

All of a tenant's jobs are owned by one controller, its warden, so what it holds is known
exactly there. The order below becomes each job's place in the queue, which controllers tell with
their demand and by which homes grant: so shares hold over all controllers, as closely as the
demand told is fresh.
"""

import heapq
from itertools import chain, islice

from roadhead.machines.machine import NO_RESOURCES, fitting_count
from roadhead.tenants import ids
from roadhead.tenants.records import ACTIVE, REMOVED, STOP, SUSPENDED

EVERYTHING = 1 << 30
QUANTUM = 1 / 64  # of the fleet, by which one who borrows may get ahead of the next in a round
NO_PLACE = float("inf")
ORDERED_MOST = 2000  # jobs put in order at once, of all groups
ORDERED_LEAST = 20  # of one group


class TenantTeams:
    """As `FixedTeams`, over the table of tenants."""

    limited = True

    def __init__(self, table):
        self._table = table

    def get(self, name):
        return self._table.team(name)[1]

    def most(self, name):
        entry, team = self._table.team(name)
        limits = entry.tenant.limits
        return ((team.cpus_max, team.gpus_max), (limits.cpus, limits.gpus))

    def group(self, name):
        number, _team = ids.from_team(name)
        return None if number is None else str(number)

    def levels(self, name):
        """None while nothing of the team may start."""
        entry, team = self._table.team(name)
        if team is None or entry.tenant.state != ACTIVE:
            return None
        limits = entry.tenant.limits
        return (
            (name, (team.cpus_max, team.gpus_max)),
            (str(entry.tenant.number), (limits.cpus, limits.gpus)),
        )

    def weights(self, name):
        """(the tenant's, the team's)."""
        entry, team = self._table.team(name)
        return (entry.tenant.weight, team.weight) if team is not None else (1.0, 1.0)

    def stopping(self, group):
        """Whether the running work of a group shall stop: its tenant rests, or goes."""
        entry = self._table.entry(int(group))
        if entry is None:
            return False
        tenant = entry.tenant
        return tenant.state == REMOVED or (tenant.state == SUSPENDED and tenant.running == STOP)


def dominant_share(amounts, totals):
    """The largest part that the amounts are of the fleet's (cpus, gpus, memory)."""
    return max(
        (amount / total if total > 0 else 1.0 if amount > 0 else 0.0)
        for amount, total in zip(amounts, totals, strict=True)
    )


class FairShare:
    """Who comes first when teams have guarantees and weights.

    Work within its team's guarantee comes before all that borrows, in its own order. Tenants
    borrow by weight: the one with the least dominant share of what is borrowed, divided by its
    weight, comes first, and so do the teams within a tenant (progressive filling). A job that
    reaches from one into the other is cut in two by `sure`: so many of its tasks are within.
    """

    def __init__(self, teams, accounts, totals, base, step):
        self._teams = teams
        self._accounts = accounts
        self._totals = totals  # () -> (cpus, gpus, memory) of the fleet
        self._base = base  # place at which borrowing begins
        self._step = step  # places by which a whole fleet's share comes later

    def _held(self, name):
        account = self._accounts.get(name)
        return account.held if account is not None else NO_RESOURCES

    def candidates(self):
        """Jobs that may come first: of each group some, the most urgent and of those the oldest.

        So an order costs the same however many jobs wait: what is left out comes after these.
        """
        groups = self._accounts.groups()
        each = max(ORDERED_LEAST, ORDERED_MOST // max(1, len(groups)))
        for group in groups:
            by_rank = chain.from_iterable(self._accounts.get(group).by_rank)
            yield from islice((job for job in by_rank if job.unstarted and job.state == "open"), each)

    def borrowed(self, team):
        """(cpus, gpus, memory) that a team holds beyond its guarantee.

        Memory is not guaranteed apart: it is borrowed in the measure in which CPUs are.
        """
        held = self._held(team)
        known = self._teams.get(team)
        sure = known.cpus if known is not None else 0.0, known.gpus if known is not None else 0.0
        over = [max(0.0, part - own) for part, own in zip(held, sure, strict=False)]
        return (*over, held[2] * (over[0] / held[0] if held[0] > 0 else 1.0))

    def ahead(self, team):
        """How far a team is ahead with what it borrows, by its tenant's weight and its own."""
        tenant, own = self._teams.weights(team)
        return dominant_share(self.borrowed(team), self._totals()) / (tenant * own)

    def assign_positions(self, jobs):
        """Sets `queue_position`, `sure` and `part` (tasks that it may start before the next round) of each
        job with waiting tasks. `jobs` come in the order that they had if nobody shared."""
        totals = self._totals()
        left = {}  # team -> (cpus, gpus) of its guarantee that are free
        borrowers = {}  # group -> {team: [jobs that borrow, in order]}
        for job in jobs:
            count = job.startable()
            if count <= 0:
                continue
            team = job.spec.team
            room = left.get(team)
            if room is None:
                known = self._teams.get(team)
                held = self._held(team)
                room = (known.cpus - held[0], known.gpus - held[1]) if known is not None else (0.0, 0.0)
            job.within_guarantee = min(count, fitting_count(job.resources, room))
            left[team] = tuple(
                free - job.within_guarantee * part for free, part in zip(room, job.resources, strict=False)
            )
            job.round_allowance = job.within_guarantee
            job.borrowed_position = NO_PLACE
            if job.within_guarantee < count:
                borrowers.setdefault(self._teams.group(team), {}).setdefault(team, []).append(job)
        queue = []  # (share by weight, group): of each tenant that borrows, its first job
        for group, teams in borrowers.items():
            share = sum(dominant_share(self.borrowed(team), totals) for team in self._teams_of(group, teams))
            weight = self._teams.weights(next(iter(teams)))[0]
            for job, before in self._merged(teams, totals):
                job.borrowed_position = self._base + self._step * (share + before) / weight
                if not before:
                    queue.append((share / weight, weight, job))
        queue.sort(key=lambda entry: entry[0])
        for number, (share, weight, job) in enumerate(queue):
            ahead = queue[number + 1][0] - share + QUANTUM if number + 1 < len(queue) else NO_PLACE
            task = dominant_share(job.resources, totals)
            if job.within_guarantee:
                continue  # what it borrows comes in the next round
            job.round_allowance = (
                EVERYTHING if task <= 0 or ahead == NO_PLACE else max(1, int(ahead * weight / task))
            )
        for job in jobs:
            if not job.within_guarantee:
                job.queue_position = job.borrowed_position

    def _teams_of(self, group, teams):
        """The teams of a group that hold anything, and those that wait."""
        account = self._accounts.get(group)
        held = account.teams if account is not None else {}
        return [*teams, *(team for team in held if team not in teams)]

    def _merged(self, teams, totals):
        """(job, dominant share of what comes before it) of one tenant's jobs, its teams by weight."""
        heads = []
        for team, jobs in teams.items():
            weight = self._teams.weights(team)[1]
            heads.append((dominant_share(self.borrowed(team), totals) / weight, team, weight, 0, jobs))
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
