"""Teams as the settings name them, and what the limited ones hold.

Teams that share a limit form a group, whose jobs all have one owner: the group's warden. A team
of the settings is a group of its own; the teams of a tenant form one (`tenants/teams.py`).
"""

from roadhead.machines.machine import NO_RESOURCES


class Account:
    """What one team, or a group of them, takes at its warden.

    `held`: (cpus, gpus, memory) of tasks that may be on a machine, `jobs`: open ones, `unreconciled`:
    ids of those taken over of which not all is known yet.
    """

    __slots__ = ("by_rank", "held", "jobs", "tasks", "teams", "unreconciled")

    def __init__(self):
        self.held = NO_RESOURCES
        self.tasks = 0
        self.jobs = {}  # in the order in which they came, as a set
        self.by_rank = ({}, {}, {}, {})  # the same, by urgency
        self.teams = {}  # its teams with jobs -> how many
        self.unreconciled = set()

    def add(self, need):
        self.held = tuple(held + part for held, part in zip(self.held, need, strict=True))
        self.tasks += 1

    def take_off(self, need):
        self.tasks -= 1
        # Amounts are decimal numbers: nothing of their rounding is left once nothing is held.
        self.held = (
            tuple(held - part for held, part in zip(self.held, need, strict=True))
            if self.tasks
            else NO_RESOURCES
        )

    def waiting(self):
        """Tasks that wait, by a look at every job."""
        return sum(len(job.unstarted) for job in self.jobs)

    @property
    def empty(self):
        return not (self.jobs or self.unreconciled or self.tasks)


class Accounts:
    """The accounts of all teams and groups with jobs here, by name."""

    def __init__(self, teams):
        self._teams = teams
        self._accounts = {}

    def get(self, name):
        return self._accounts.get(name)

    def groups(self):
        """The groups that have an account."""
        return [name for name in self._accounts if "/" not in name]

    def _of(self, job):
        """The accounts that a job counts in; none for a team without a limit."""
        team = job.spec.team
        group = self._teams.group(team)
        if group is None:
            return ()
        return (self._named(team),) if group == team else (self._named(team), self._named(group))

    def _named(self, name):
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = Account()
        return account

    def unreconciled(self, job):
        for account in self._of(job):
            account.unreconciled.add(job.id)

    def reconciled(self, job):
        for account in self._of(job):
            account.unreconciled.discard(job.id)
        self._drop_empty(job.spec.team)

    def enter(self, job):
        for account in self._of(job):
            account.jobs[job] = account.by_rank[job.rank][job] = True
            account.teams[job.spec.team] = account.teams.get(job.spec.team, 0) + 1

    def raise_urgency(self, job, rank):
        """The job is of another urgency from now on."""
        for account in self._of(job):
            if job in account.jobs:
                del account.by_rank[job.rank][job]
                account.by_rank[rank][job] = True
        job.raise_urgency(rank)

    def leave(self, job):
        """The job is no longer owned here; neither is anything that it held."""
        for binding in job.bound.values():
            self.release_held(job, binding)
        for account in self._of(job):
            if account.jobs.pop(job, None):
                del account.by_rank[job.rank][job]
                account.teams[job.spec.team] -= 1
                if not account.teams[job.spec.team]:
                    del account.teams[job.spec.team]
            account.unreconciled.discard(job.id)
        self._drop_empty(job.spec.team)

    def _drop_empty(self, team):
        for name in (team, self._teams.group(team)):
            account = self._accounts.get(name)
            if account is not None and account.empty:
                del self._accounts[name]

    def hold(self, job, binding):
        if not binding.held:
            binding.held = True
            for account in self._of(job):
                account.add(job.resources)

    def release_held(self, job, binding):
        if binding.held:
            binding.held = False
            for account in self._of(job):
                account.take_off(job.resources)


class FixedTeams:
    """The teams of the settings."""

    def __init__(self, teams):
        self._teams = {team.name: team for team in teams}
        self._limits = {
            team.name: (team.cpus_max, team.gpus_max) for team in teams if team.cpus_max or team.gpus_max
        }

    def get(self, name):
        return self._teams.get(name)

    def most(self, name):
        """(cpus, gpus) of each limit on a team that is known; 0 is none."""
        team = self._teams[name]
        return ((team.cpus_max, team.gpus_max),)

    def group(self, name):
        """The group that a team's jobs are owned by, None for a team without a limit."""
        return name if name in self._limits else None

    def levels(self, name):
        """(account, (cpus, gpus) at most) of each limit that the team's tasks count in."""
        return ((name, self._limits[name]),)

    @property
    def limited(self):
        """Whether there may be any team with a limit."""
        return bool(self._limits)
