"""The teams of the settings, and the accounts of what teams with limits hold.

Teams that share a limit form a group. All jobs of a group have one owner, the group's quota leader. A team of
the settings is a group by itself; the teams of a tenant form one group (`tenants/teams.py`).
"""

from roadhead.machines.fitting import NO_RESOURCES


class Account:
    """What one team, or a group of teams, holds at its quota leader.

    `held` is (cpus, gpus, memory) of its tasks that may be on a machine, `tasks` their number, `jobs` its
    open jobs, and `unreconciled` the ids of inherited jobs that are not fully reconciled yet.
    """

    __slots__ = ("by_rank", "held", "jobs", "tasks", "teams", "unreconciled")

    def __init__(self):
        self.held = NO_RESOURCES
        self.tasks = 0
        self.jobs = {}  # the jobs in their order of arrival; an ordered set
        self.by_rank = ({}, {}, {}, {})  # the same jobs by urgency
        self.teams = {}  # team -> number of its jobs, for teams with jobs
        self.unreconciled = set()

    def add(self, need):
        """Adds one task that needs (cpus, gpus, memory)."""
        self.held = tuple(held + part for held, part in zip(self.held, need, strict=True))
        self.tasks += 1

    def take_off(self, need):
        """Subtracts one task that needed (cpus, gpus, memory)."""
        self.tasks -= 1
        # Amounts are floating-point numbers: an empty account is reset, so that no rounding error stays.
        self.held = (
            tuple(held - part for held, part in zip(self.held, need, strict=True))
            if self.tasks
            else NO_RESOURCES
        )

    def waiting(self):
        """Returns the number of waiting tasks. Goes through all jobs."""
        return sum(len(job.unstarted) for job in self.jobs)

    @property
    def empty(self):
        """Whether nothing is counted in the account."""
        return not (self.jobs or self.unreconciled or self.tasks)


class Accounts:
    """The accounts of all teams and groups with jobs here, by name."""

    def __init__(self, teams):
        self._teams = teams
        self._accounts = {}

    def get(self, name):
        """Returns the account of a team or group, or None."""
        return self._accounts.get(name)

    def groups(self):
        """Returns the names of the groups that have an account."""
        return [name for name in self._accounts if "/" not in name]

    def _accounts_of(self, job):
        """Returns the accounts in which a job counts; none for a team without a limit."""
        team = job.spec.team
        group = self._teams.group(team)
        if group is None:
            return ()
        return (
            (self._get_or_create(team),)
            if group == team
            else (self._get_or_create(team), self._get_or_create(group))
        )

    def _get_or_create(self, name):
        """Returns the account with that name, which is created if necessary."""
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = Account()
        return account

    def unreconciled(self, job):
        """Notes that the tasks of a job are not all known yet."""
        for account in self._accounts_of(job):
            account.unreconciled.add(job.id)

    def reconciled(self, job):
        """Notes that the tasks of a job are all known, or do not matter any more."""
        for account in self._accounts_of(job):
            account.unreconciled.discard(job.id)
        self._delete_empty(job.spec.team)

    def enter(self, job):
        """Adds an open job that is owned here."""
        for account in self._accounts_of(job):
            account.jobs[job] = account.by_rank[job.rank][job] = True
            account.teams[job.spec.team] = account.teams.get(job.spec.team, 0) + 1

    def raise_urgency(self, job, rank):
        """Changes the urgency of a job."""
        for account in self._accounts_of(job):
            if job in account.jobs:
                del account.by_rank[job.rank][job]
                account.by_rank[rank][job] = True
        job.raise_urgency(rank)

    def leave(self, job):
        """Removes a job that is no longer owned here, with all that its tasks held."""
        for binding in job.bound.values():
            self.release_held(job, binding)
        for account in self._accounts_of(job):
            if account.jobs.pop(job, None):
                del account.by_rank[job.rank][job]
                account.teams[job.spec.team] -= 1
                if not account.teams[job.spec.team]:
                    del account.teams[job.spec.team]
            account.unreconciled.discard(job.id)
        self._delete_empty(job.spec.team)

    def _delete_empty(self, team):
        """Deletes the accounts of a team and of its group if nothing is counted in them."""
        for name in (team, self._teams.group(team)):
            account = self._accounts.get(name)
            if account is not None and account.empty:
                del self._accounts[name]

    def hold(self, job, binding):
        """Counts a task attempt that may be on a machine. It is counted once."""
        if not binding.held:
            binding.held = True
            for account in self._accounts_of(job):
                account.add(job.resources)

    def release_held(self, job, binding):
        """Stops counting a task attempt."""
        if binding.held:
            binding.held = False
            for account in self._accounts_of(job):
                account.take_off(job.resources)


class FixedTeams:
    """The teams of the settings file, which do not change while the process runs."""

    def __init__(self, teams):
        self._teams = {team.name: team for team in teams}
        self._limits = {
            team.name: (team.cpus_max, team.gpus_max) for team in teams if team.cpus_max or team.gpus_max
        }

    def get(self, name):
        """Returns the team with that name, or None."""
        return self._teams.get(name)

    def limits_of(self, name):
        """Returns (cpus, gpus) of each limit on a known team; 0 means no limit."""
        team = self._teams[name]
        return ((team.cpus_max, team.gpus_max),)

    def group(self, name):
        """Returns the group that a team belongs to, or None for a team without a limit."""
        return name if name in self._limits else None

    def levels(self, name):
        """Returns (account name, (cpus, gpus)) for each limit in which the tasks of a limited team count."""
        return ((name, self._limits[name]),)

    @property
    def limited(self):
        """Whether any team may have a limit."""
        return bool(self._limits)
