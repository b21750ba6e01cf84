"""Handles what job owners ask of a shard leader's machines, and tracks commands on their way to workers."""

from roadhead.machines.fitting import fits
from roadhead.machines.task import EXITED, LAUNCHING, Task, TaskRequirements
from roadhead.wire import frames


class TaskCommands:
    """Carries out the owners' frames: starts, stops, forgotten attempts, syncs and cancellations.

    `ask(machine)` requests a direct command request to a machine's worker; `grant_lifetime_s` is the time
    after which an unused grant expires.
    """

    def __init__(
        self,
        loop,
        registry,
        notifier,
        reconciliation,
        capacity_granter,
        grant_lifetime_s,
        send,
        ask,
        counters,
    ):
        self._loop = loop
        self._registry = registry
        self._notifier = notifier
        self._reconciliation = reconciliation
        self._capacity_granter = capacity_granter
        self._grant_lifetime_s = grant_lifetime_s
        self._send = send
        self._ask = ask
        self._count = counters.add

    def on_start(self, label, incarnation, frame):
        """Starts tasks of one job on one granted machine; `frame.last` also returns the rest of the grant."""
        registry = self._registry
        machine = registry.machines.get(frame.machine)
        self._capacity_granter.set_idle_length(label, frame.length)
        requirements = registry.job_requirements.get(frame.job)
        if requirements is None:
            requirements = registry.job_requirements[frame.job] = TaskRequirements(
                (frame.cpus, frame.gpus, frame.memory),
                frame.image,
                frame.image_gb,
                frame.save_s,
                frame.saves,
            )
        registry.owners[frame.job] = (label, incarnation)
        launched = False
        for index, attempt in frame.tasks:
            launched = (
                self._start(label, incarnation, frame, machine, requirements, index, attempt) or launched
            )
        if launched:
            machine.grant.lapses_at = self._loop.now() + self._grant_lifetime_s
            self._ask(machine)
        if frame.last:
            self._capacity_granter.release_grant(label, machine, frame.serial)

    def _start(self, label, incarnation, frame, machine, requirements, index, attempt):
        key = (frame.job, index, attempt)
        if machine is not None and key in machine.tasks:
            return False
        if (
            machine is None
            or not machine.grant.is_held(label, frame.serial)
            or not self._capacity_granter.can_grant(machine)
            or not machine.free_slots()
            or not fits(requirements.resources, machine.free_capacity())
            or frame.job in self._registry.cancelled
            or (frame.job, index) in machine.attempts
        ):
            self._count("starts_refused")
            self._send(label, frames.StartRefused(frame.machine, *key))
            return False
        task = Task(*key, LAUNCHING, (label, incarnation))
        task.requirements = requirements
        machine.add_task(task)
        machine.grant.taken += 1
        self._count("starts")
        return True

    def _find_task(self, name, *key):
        """(machine, task), either of them None if it is not known here."""
        machine = self._registry.machines.get(name)
        if machine is None:
            return None, None
        return machine, machine.tasks.get(key)

    def on_stop(self, frame):
        """Stops a running attempt for its owner, with the grace period of the frame."""
        machine, task = self._find_task(frame.machine, frame.job, frame.index, frame.attempt)
        if task is not None and task.status != EXITED:
            machine.stop(task, frame.grace)
            self._ask(machine)

    def on_forget(self, frame):
        """Lets workers forget ended attempts whose results are recorded or not needed."""
        for row in frame.rows:
            machine, task = self._find_task(*row)
            if task is not None and task.status == EXITED:
                machine.forget(task)

    def on_sync(self, label, incarnation, frame):
        """Records the owner of the jobs that it names, and answers its claims on attempts.

        The cost grows with what the frame names, not with the number of machines.
        """
        registry, notifier = self._registry, self._notifier
        owner = (label, incarnation)
        jobs = set(frame.jobs)
        for job in jobs:
            registry.owners[job] = owner
        for machine, tasks in registry.tasks_by_machine(jobs).items():
            for task in tasks:
                task.owner = owner
            notifier.send_states(machine, tasks, True)
        for name, job, index, attempt in frame.claims:
            key = (job, index, attempt)
            machine = registry.machines.get(name)
            if name in registry.gone:
                self._send(label, frames.AttemptGone(name, *key, "gone"))
            elif machine is not None and key in machine.tasks:
                if job not in jobs:
                    machine.tasks[key].owner = owner
                    notifier.send_states(machine, [machine.tasks[key]], True)
            elif machine is not None and machine.confirmed_token == machine.token:
                self._send(label, frames.AttemptGone(name, *key, "not there"))
            else:
                self._reconciliation.claim(name, key, owner)
        self._reconciliation.sync(label, incarnation, frame)

    def cancel(self, jobs):
        """Stops and forgets all attempts of jobs that are done or cancelled."""
        now = self._loop.now()
        cancelled = self._registry.cancelled
        ended = [job for job in dict.fromkeys(jobs) if job not in cancelled]
        for job in ended:
            cancelled[job] = now
        for machine, tasks in self._registry.tasks_by_machine(ended).items():
            for task in tasks:
                machine.stop(task, 0.0)
                if task.status == EXITED:
                    machine.forget(task)
            self._ask(machine)

    def set_job_requirements(self, job, spec, *, over):
        """Records the requirements of a job read from its record; `over`: the job is done or cancelled."""
        if spec is not None:
            self._registry.job_requirements[job] = spec
        if over:
            self.cancel([job])
        if spec is None:
            return
        for machine, tasks in self._registry.tasks_by_machine([job]).items():
            for task in tasks:
                if task.requirements is None:
                    machine.set_requirements(task, spec)
            self._notifier.send_states(machine, tasks, True)
            self._capacity_granter.on_capacity_changed(machine)
