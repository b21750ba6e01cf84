"""What a shard leader knows: its machines, where each job's tasks are, who owns them and what they need."""

from roadhead.machines.machine import Machine
from roadhead.membership.cancellation_freshness import CANCELLATION_KEPT_FACTOR

MAX_CANCELLED = 5000  # jobs known to be over, above which old ones are forgotten


class MachineRegistry:
    """The tables shared by the parts of a shard leader.

    `member` gives each machine's shard and token. `lease_s`, `cancel_s` and the machine list's `lag_s`, in
    seconds, bound how long names and jobs can still turn up.
    """

    def __init__(self, member, lease_s, cancel_s, lag_s):
        self._member = member
        self._lease_s = lease_s
        self._cancel_s = cancel_s
        self._lag_s = lag_s
        self._prune_at = 0.0
        self.types = {}
        self.machines = {}
        self.locations = {}  # job -> {Task: its machine}
        self.gone = {}  # name of a machine that certainly no longer runs -> since when
        self.owners = {}  # job -> (label, incarnation)
        self.job_requirements = {}  # job -> TaskRequirements
        self.cancelled = {}  # job that is done or cancelled -> since when; none of its tasks may run
        self.proven = {}  # job of which a task succeeded here -> when
        self.faulty = {}  # job that fails wherever it runs, by its owner's word -> since when

    def register(self, name, address, kind_name, zone, spot, now):
        """Adds a machine that this controller leads from now on, and returns it."""
        term = self._member.term
        machine = Machine(
            name,
            address,
            kind_name,
            zone,
            spot,
            self.types.get(kind_name),
            now,
            self.locations,
            term.shard_of(name),
            term.leader_and_token(name)[1],
            self._member.format_gate,
        )
        self.machines[name] = machine
        return machine

    def remove(self, machine):
        """Removes a machine that is gone or has another leader, and its tasks from the lookup by job."""
        self.machines.pop(machine.id, None)
        machine.detach()

    def tasks_by_machine(self, jobs):
        """{machine: [its tasks of these jobs]}."""
        found = {}
        for job in jobs:
            for task, machine in self.locations.get(job, {}).items():
                found.setdefault(machine, []).append(task)
        return found

    def prune(self, now, awaited):
        """Once per lease, forgets jobs without tasks here; `awaited()`: jobs whose tasks may yet be found.

        If a task of a forgotten job turns up, the job's record is read again. A machine that is gone can
        still be listed for twice the list's lag, and its last report can be delayed as long as a network
        partition lasts. It is then taken on again, silent and without tasks, and released after four leases.
        A job that is over can be started only by an owner that has not heard of its end, and owners are told
        within `cancel_s`.
        """
        if now < self._prune_at:
            return
        self._prune_at = now + self._lease_s
        live_jobs = self.locations.keys() | awaited()
        oldest_kept = now - 4 * self._lease_s
        self.owners = {job: owner for job, owner in self.owners.items() if job in live_jobs}
        self.job_requirements = {job: spec for job, spec in self.job_requirements.items() if job in live_jobs}
        if len(self.cancelled) > MAX_CANCELLED:
            self.cancelled = {
                job: at
                for job, at in self.cancelled.items()
                if job in live_jobs or at > now - CANCELLATION_KEPT_FACTOR * self._cancel_s
            }
        self.faulty = {job: at for job, at in self.faulty.items() if job in live_jobs or at > oldest_kept}
        self.proven = {job: at for job, at in self.proven.items() if job in live_jobs or at > oldest_kept}
        self.gone = {name: at for name, at in self.gone.items() if at > oldest_kept - 20 * self._lag_s}
