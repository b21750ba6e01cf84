"""What a home knows: its machines, where each job's tasks are, who owns them and what they need."""

from roadhead.machines.machine import Machine
from roadhead.membership.cancellation_freshness import CANCELLATION_KEPT_FACTOR

CANCELLED_MOST = 5000  # jobs known to be over, before the older ones are let go of


class MachineRegistry:
    """`member` tells each machine's share and token.

    `lease_s`, `cancel_s`, `lag_s` in seconds: how long names and jobs may still turn up."""

    def __init__(self, member, lease_s, cancel_s, lag_s):
        self._member = member
        self._lease_s = lease_s
        self._cancel_s = cancel_s
        self._lag_s = lag_s
        self._prune_at = 0.0
        self.types = {}
        self.machines = {}
        self.where = {}  # job -> {Task: its machine}
        self.gone = {}  # names of machines that are surely gone -> since when
        self.owners = {}  # job -> (label, incarnation)
        self.specs = {}  # job -> Needs
        self.cancelled = {}  # jobs known to be over: nothing of them may run
        self.proven = {}  # jobs of which a task was done here
        self.faulty = {}  # jobs that fail wherever they run, by what their owners say

    def register(self, name, address, kind_name, zone, spot, now):
        term = self._member.term
        machine = Machine(
            name,
            address,
            kind_name,
            zone,
            spot,
            self.types.get(kind_name),
            now,
            self.where,
            term.shard_of(name),
            term.leader_and_token(name)[1],
        )
        self.machines[name] = machine
        return machine

    def remove(self, machine):
        """The machine has another home, or is gone: nothing on it is looked for here any more."""
        self.machines.pop(machine.id, None)
        machine.detach()

    def tasks_by_machine(self, jobs):
        """{machine: [tasks of these jobs there]}."""
        found = {}
        for job in jobs:
            for task, machine in self.where.get(job, {}).items():
                found.setdefault(machine, []).append(task)
        return found

    def prune(self, now, awaited):
        """Once a lease, lets go of what no task here rests on; a task found later has its record
        read again. `awaited()`: jobs of which tasks may be found here yet.

        A machine that is gone can be listed for twice the list's lag more, and its last
        report can be as late as a cut is long: then it is taken on again, silent and
        without tasks, and returned after four leases. A job that is over can be started
        only by an owner that has not heard so, which is told within `cancel_s`.
        """
        if now < self._prune_at:
            return
        self._prune_at = now + self._lease_s
        live = self.where.keys() | awaited()
        old = now - 4 * self._lease_s
        self.owners = {job: owner for job, owner in self.owners.items() if job in live}
        self.specs = {job: spec for job, spec in self.specs.items() if job in live}
        if len(self.cancelled) > CANCELLED_MOST:
            self.cancelled = {
                job: at
                for job, at in self.cancelled.items()
                if job in live or at > now - CANCELLATION_KEPT_FACTOR * self._cancel_s
            }
        self.faulty = {job: at for job, at in self.faulty.items() if job in live or at > old}
        self.proven = {job: at for job, at in self.proven.items() if job in live or at > old}
        self.gone = {name: at for name, at in self.gone.items() if at > old - 20 * self._lag_s}
