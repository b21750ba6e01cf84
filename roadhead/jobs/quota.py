"""Quota partitions: for which limited teams this controller is the quota leader, and what their limits leave.

Only the quota leader of a group of teams starts their tasks, and only while each task of the group that may
be on a machine is known to it (docs/fault-combinations.md, "What a quota leader counts").
"""

from roadhead.machines.machine import NO_RESOURCES

NO_ROOM = (-1.0, -1.0)  # not even for a task that takes nothing
AMPLE = 1e12  # CPUs or GPUs of a team without a limit on them
LONG_AGO = -1e9  # by the steady clock


class QuotaPartitions:
    """The partitions held here. `teams` and `accounts` say which groups there are, and what they hold.

    `closing`: partitions about to be handed on, of which nothing comes to this controller any more.
    `scanned`: the number of the term for which all records were read.
    """

    def __init__(self, loop, member, teams, accounts):
        self._loop = loop
        self._member = member
        self._teams = teams
        self._accounts = accounts
        self.held_since = {}  # partition held here -> number of the term that gave it
        self.scanned = 0
        self.closing = set()
        self.unread = set()  # those whose leader of before ended: it may have left cancelled tasks running
        self._gone_at = {}  # partition -> by then those are gone

    def on_term(self, old, new):
        """Which partitions are held here, and since which term."""
        label = self._member.label
        same = old is not None and old.incarnation(label) == new.incarnation(label)
        held = {place for place, leader in enumerate(old.quota_leaders) if leader == label} if same else set()
        # In a term that was not seen here it may have gone to one that started tasks, and ended.
        skipped = old is None or new.number > old.number + 1
        if skipped:
            held -= self.closing
        self.held_since = {
            place: self.held_since.get(place, new.number) if place in held else new.number
            for place, leader in enumerate(new.quota_leaders)
            if leader == label
        }
        for place in self.held_since.keys() - held:
            before = old.quota_leaders[place] if old is not None and place < len(old.quota_leaders) else None
            # One that gave it away had nothing of it any more.
            if skipped or before is None or old.incarnation(before) != new.incarnation(before):
                self.unread.add(place)
        self.unread &= self.held_since.keys()

    def inherits_limits(self):
        """Whether a partition came from a leader that ended, and its records were not all read since."""
        return self.has_limits and bool(self.unread)

    def all_read(self, number, gone_at):
        """All records were read under that term. `gone_at`: by then all tasks of jobs found cancelled are
        gone, None if there were none."""
        for place in self.unread:
            self._gone_at[place] = LONG_AGO if gone_at is None else gone_at
        self.unread.clear()
        self.scanned = number

    def read_anew(self, team):
        """What may run of the team's group is not known until all records are read once more."""
        self.unread.add(self._partition(self._teams.group(team)))
        self.unread &= self.held_since.keys()

    def owns(self, team):
        """Whether jobs of the team may be owned here: those of a limited one are its quota leader's."""
        group = self._teams.group(team)
        if group is None:
            return True
        return (
            self._member.term.quota_leader(group) == self._member.label
            and self._partition(group) not in self.closing
        )

    def idle(self, groups):
        """Partitions held here of which nothing is owned, nor may run cancelled: whoever is given one starts
        at once. `groups`: those with jobs here, None for jobs without a limit."""
        busy = {self._partition(group) for group in groups if group is not None}
        return [place for place in self.held_since if place not in busy and self.knows_partition(place)]

    def knows_partition(self, place):
        """Whether all jobs of a partition are known here, and those cancelled before that are gone."""
        since = self.held_since.get(place)
        return (
            since is not None
            and self.scanned >= since
            and place not in self.unread
            and self._loop.now() >= self._gone_at.get(place, LONG_AGO)
        )

    def knows_all(self, group):
        """Whether the quota leader of a group, this controller, knows of every job of it."""
        since = self.held_since.get(self._partition(group))
        return since is not None and self.scanned >= since

    def headroom(self, team):
        """How many (cpus, gpus) the tasks of a limited team may still take.

        The quota leader alone starts them, and only while it knows of every task of the group that
        may be on a machine: until then there is none. A partition held since a term for which all
        records were read has no jobs but those that are owned here, whatever changed since.
        """
        rooms = self.level_rooms(team)
        if rooms is None or not self.counted(team):
            return NO_ROOM
        return tuple(min(parts) for parts in zip((AMPLE, AMPLE), *rooms.values(), strict=True))

    def counted(self, team):
        """Whether every task of a limited team's group that may be on a machine is known of here."""
        group = self._teams.group(team)
        account = self._accounts.get(group)
        return self.knows_partition(self._partition(group)) and not (account and account.unreconciled)

    def level_rooms(self, team):
        """{level: (cpus, gpus)}: what each limit on the team leaves, by the tasks known of so far; None if
        nothing of the team starts from here."""
        levels = self._teams.levels(team)
        if self._partition(self._teams.group(team)) not in self.held_since or levels is None:
            return None
        rooms = {}
        for name, limits in levels:
            account = self._accounts.get(name)
            held = account.held if account is not None else NO_RESOURCES
            rooms[name] = tuple(most - held[place] if most else AMPLE for place, most in enumerate(limits))
        return rooms

    @property
    def has_limits(self):
        """Whether there may be any team with a limit."""
        return self._teams.limited

    def limited(self, team):
        """Whether a team has a limit."""
        return self._teams.group(team) is not None

    def _partition(self, group):
        return self._member.term.partition_of(group)
