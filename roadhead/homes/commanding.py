"""What owners want done on a home's machines, and what its machines have yet to be told."""

from roadhead.decision_log import Decision
from roadhead.homes.machine import EXITED, LAUNCHING, Needs, Task, about, fits
from roadhead.wire import frames


class Commanding:
    """`ask(machine)` wants a direct request sent to a machine; `lapse_s`: of an unused grant."""

    def __init__(self, loop, known, news, reconciliation, rooms, lapse_s, send, ask, counters, decisions):
        self._loop = loop
        self._known = known
        self._news = news
        self._reconciliation = reconciliation
        self._rooms = rooms
        self._lapse_s = lapse_s
        self._send = send
        self._ask = ask
        self._count = counters.add
        self._decisions = decisions

    def on_start(self, label, incarnation, frame):
        """Tasks of one job for one machine; with `last` the grant comes back after them."""
        known = self._known
        machine = known.machines.get(frame.machine)
        self._rooms.heard(label, frame.length)
        needs = known.specs.get(frame.job)
        if needs is None:
            needs = known.specs[frame.job] = Needs(
                (frame.cpus, frame.gpus, frame.memory),
                frame.image,
                frame.image_gb,
                frame.save_s,
                frame.saves,
            )
        known.owners[frame.job] = (label, incarnation)
        launched = False
        for index, attempt in frame.tasks:
            launched = self._start(label, incarnation, frame, machine, needs, index, attempt) or launched
        if launched:
            machine.grant_lapse_at = self._loop.now() + self._lapse_s
            self._ask(machine)
        if frame.last:
            self._rooms.returned(label, machine, frame.serial)

    def _start(self, label, incarnation, frame, machine, needs, index, attempt):
        key = (frame.job, index, attempt)
        if machine is not None and key in machine.tasks:
            return False
        if (
            machine is None
            or machine.holder != label
            or machine.grant_serial != frame.serial
            or not self._rooms.offerable(machine)
            or not fits(needs.room, machine.room())
            or frame.job in self._known.cancelled
            or (frame.job, index) in machine.attempts
        ):
            self._count("starts_refused")
            self._send(label, frames.Refused(frame.machine, *key))
            return False
        task = Task(*key, LAUNCHING, (label, incarnation))
        task.needs = needs
        machine.put(task)
        machine.grant_taken += 1
        self._count("starts")
        return True

    def _task(self, name, *key):
        machine = self._known.machines.get(name)
        if machine is None:
            return None, None
        return machine, machine.tasks.get(key)

    def on_stop(self, frame):
        machine, task = self._task(frame.machine, frame.job, frame.index, frame.attempt)
        if task is not None and task.status != EXITED:
            machine.stop(task, frame.grace)
            self._ask(machine)

    def on_forget(self, frame):
        for row in frame.rows:
            machine, task = self._task(*row)
            if task is not None and task.status == EXITED:
                machine.forget(task)

    def on_sync(self, label, incarnation, frame):
        """An owner names its jobs, and tasks of them that it believes here; costs what it names."""
        known, news = self._known, self._news
        owner = (label, incarnation)
        jobs = set(frame.jobs)
        for job in jobs:
            known.owners[job] = owner
        for machine, tasks in known.on_machines(jobs).items():
            for task in tasks:
                task.owner = owner
            news.states(machine, tasks, True)
        for name, job, index, attempt in frame.claims:
            key = (job, index, attempt)
            machine = known.machines.get(name)
            if name in known.gone:
                self._send(label, frames.Free(name, *key, "gone"))
            elif machine is not None and key in machine.tasks:
                if job not in jobs:
                    machine.tasks[key].owner = owner
                    news.states(machine, [machine.tasks[key]], True)
            elif machine is not None and machine.confirmed == machine.token:
                self._send(label, frames.Free(name, *key, "not there"))
            else:
                self._reconciliation.claim(name, key, owner)
        self._reconciliation.sync(label, incarnation, frame)

    def cancel(self, jobs):
        """Jobs that are over: what is left of them stops."""
        now = self._loop.now()
        cancelled = self._known.cancelled
        fresh = [job for job in dict.fromkeys(jobs) if job not in cancelled]
        for job in fresh:
            cancelled[job] = now
        for machine, tasks in self._known.on_machines(fresh).items():
            for task in tasks:
                machine.stop(task, 0.0)
                if task.status == EXITED:
                    machine.forget(task)
            self._ask(machine)

    def spec(self, job, spec, *, over):
        """The needs of a job's tasks, read from its record; `over`: it is done or cancelled."""
        if spec is not None:
            self._known.specs[job] = spec
        if over:
            self.cancel([job])
        if spec is None:
            return
        for machine, tasks in self._known.on_machines([job]).items():
            for task in tasks:
                if task.needs is None:
                    machine.learn(task, spec)
            self._news.states(machine, tasks, True)
            self._rooms.changed(machine)

    # On the way to the machines

    def sending(self, machine, launches):
        """Launches are about to be sent directly; returns those on their way for the first time.

        Until the answer comes they may arrive at any later time, even if a report has shown
        the attempt meanwhile (the launch was repeated there): it must not be forgotten.
        """
        for task in launches:
            self._decisions.note(
                Decision.LAUNCH_SENT, about(machine, task), path="repeat" if task.loose_token else "direct"
            )
        fresh = [task for task in launches if not task.loose_token]
        for task in fresh:
            task.loose_token = machine.token
        return fresh

    @staticmethod
    def settled(fresh):
        """These launches were answered, or never left."""
        for task in fresh:
            task.loose_token = 0
