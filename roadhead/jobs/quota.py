"""Quota partitions: which teams with limits this controller leads, and what their limits leave.

The teams with limits are divided into groups, and the groups into partitions. Each partition has one quota
leader. Only that controller starts tasks of the partition's groups, and only while it knows of every task of
the group that may be on a machine (docs/fault-combinations.md, "What a quota leader counts").
"""

from roadhead.machines.fitting import NO_RESOURCES

NO_HEADROOM = (-1.0, -1.0)  # (cpus, gpus); excludes even a task that takes nothing
UNLIMITED = 1e12  # CPUs or GPUs left to a team without a limit on them
LONG_AGO = -1e9  # on the loop's clock; before any other time


class QuotaPartitions:
    """The partitions that this controller leads.

    `teams` tells which group a team belongs to, and `accounts` what the groups hold. `closing` are the
    partitions about to be handed to another controller; no more jobs of them are accepted for this one.
    `scanned` is the number of the term under which all records were last read.
    """

    def __init__(self, loop, member, teams, accounts):
        self._loop = loop
        self._member = member
        self._teams = teams
        self._accounts = accounts
        self.held_since = {}  # partition led here -> number of the term that gave it to this controller
        self.scanned = 0
        self.closing = set()
        # Partitions whose previous leader ended; it may have left tasks of cancelled jobs running.
        self.unread = set()
        self._gone_at = {}  # partition -> when those tasks are gone, on the loop's clock

    def on_term(self, old, new):
        """Updates which partitions are led here, and since which term."""
        label = self._member.label
        same = old is not None and old.incarnation(label) == new.incarnation(label)
        held = (
            {partition for partition, leader in enumerate(old.quota_leaders) if leader == label}
            if same
            else set()
        )
        # In a term that was not seen here, a partition may have gone to a controller that started tasks and
        # ended.
        skipped = old is None or new.number > old.number + 1
        if skipped:
            held -= self.closing
        self.held_since = {
            partition: self.held_since.get(partition, new.number) if partition in held else new.number
            for partition, leader in enumerate(new.quota_leaders)
            if leader == label
        }
        for partition in self.held_since.keys() - held:
            before = (
                old.quota_leaders[partition]
                if old is not None and partition < len(old.quota_leaders)
                else None
            )
            # A leader that hands a partition over has no jobs or tasks of it left.
            if skipped or before is None or old.incarnation(before) != new.incarnation(before):
                self.unread.add(partition)
        self.unread &= self.held_since.keys()

    def inherits_limits(self):
        """Returns whether a partition came from a leader that ended, and not all records were read since."""
        return self.has_limits and bool(self.unread)

    def on_all_read(self, number, gone_at):
        """Notes that all records were read under the term with that number.

        `gone_at` is when all tasks of the jobs found cancelled are gone, on the loop's clock; None if there
        were none.
        """
        for partition in self.unread:
            self._gone_at[partition] = LONG_AGO if gone_at is None else gone_at
        self.unread.clear()
        self.scanned = number

    def mark_unread(self, team):
        """Notes that the tasks of a team's group are unknown until all records are read again."""
        self.unread.add(self._partition(self._teams.group(team)))
        self.unread &= self.held_since.keys()

    def owns(self, team):
        """Returns whether jobs of the team may be owned here.

        Jobs of a team with a limit may be owned only by its quota leader.
        """
        group = self._teams.group(team)
        if group is None:
            return True
        return (
            self._member.term.quota_leader(group) == self._member.label
            and self._partition(group) not in self.closing
        )

    def idle(self, groups):
        """Returns the partitions led here that have no jobs and no cancelled tasks that may still run.

        Whoever is given one can start tasks at once. `groups` are the groups that have jobs here; None stands
        for jobs without a limit.
        """
        busy = {self._partition(group) for group in groups if group is not None}
        return [
            partition
            for partition in self.held_since
            if partition not in busy and self.knows_partition(partition)
        ]

    def knows_partition(self, partition):
        """Returns whether all jobs of a partition are known, and tasks of cancelled ones are gone."""
        since = self.held_since.get(partition)
        return (
            since is not None
            and self.scanned >= since
            and partition not in self.unread
            and self._loop.now() >= self._gone_at.get(partition, LONG_AGO)
        )

    def knows_all(self, group):
        """Returns whether this controller is the group's quota leader and knows all of its jobs."""
        since = self.held_since.get(self._partition(group))
        return since is not None and self.scanned >= since

    def headroom(self, team):
        """Returns how many (cpus, gpus) the tasks of a limited team may still take.

        Only the quota leader starts them, and only while it knows of every task of the group that may be on a
        machine: until then there is no headroom. A partition held since a term under which all records were
        read has no jobs but those owned here, whatever changed since.
        """
        rooms = self.headroom_by_level(team)
        if rooms is None or not self.is_counted(team):
            return NO_HEADROOM
        return tuple(min(parts) for parts in zip((UNLIMITED, UNLIMITED), *rooms.values(), strict=True))

    def is_counted(self, team):
        """Returns whether every task of a limited team's group that may be on a machine is known here."""
        group = self._teams.group(team)
        account = self._accounts.get(group)
        return self.knows_partition(self._partition(group)) and not (account and account.unreconciled)

    def headroom_by_level(self, team):
        """Returns {level: (cpus, gpus)}: what each limit on the team leaves, by the tasks known so far.

        Returns None if no task of the team may be started from here.
        """
        levels = self._teams.levels(team)
        if self._partition(self._teams.group(team)) not in self.held_since or levels is None:
            return None
        rooms = {}
        for name, limits in levels:
            account = self._accounts.get(name)
            held = account.held if account is not None else NO_RESOURCES
            rooms[name] = tuple(
                most - held[index] if most else UNLIMITED for index, most in enumerate(limits)
            )
        return rooms

    @property
    def has_limits(self):
        """Whether any team may have a limit."""
        return self._teams.limited

    def is_limited(self, team):
        """Returns whether a team has a limit."""
        return self._teams.group(team) is not None

    def _partition(self, group):
        return self._member.term.partition_of(group)
