"""The troubles of a scenario that touch a share of some messages, machines or jobs."""

from dataclasses import dataclass

from roadhead.local.fault_windows import FaultWindow
from roadhead.local.probes import ConsistencyProbe, InvalidRequests
from roadhead.local.sim import HostLoop
from roadhead.membership.member import TERM
from roadhead.runtime.loop import Timeout
from roadhead.wire.http import Client, NoResponseError

CANCELLED_WITHIN_S = 0.2
HUNG_MOST = 8  # machines that hang with the jobs cancelled
LONG_LEFT_S = 10.0  # a task has long to go if it would run for so long
COPIES_AGAIN_S = 0.5


@dataclass(frozen=True)
class KeptReport:
    """A copy of a worker's report that waits for the next leader."""

    worker_host: str
    body: bytes


class FaultInjector:
    """Brings them about in a world: the scenario's verbs, and what follows from them later."""

    def __init__(self, world):
        self._world = world
        self._sim = world.sim
        self._loop = HostLoop(world.sim)
        self._net = world.network.host("10.8.0.1", self._loop)
        self._kept = []
        self.odd_requests = []
        self.verbs = {
            "lose-writes": self._strike("lost_writes"),
            "late-reports": self.late_reports,
            "slow-reports": self._strike("slow_reports"),
            "late-commands": self._strike("late_commands"),
            "cancel-at-end": self._strike("cancelled_at_end"),
            "quick-boots": lambda seconds: self._begin("quick_boots", 1, seconds),
            "close-looks": lambda seconds: self._begin("close_looks", 1, seconds),
            "mute": self.mute,
            "cancel-now": self.cancel_now,
            "odd-requests": lambda s: self.odd_requests.append(InvalidRequests(self._world, float(s))),
        }

    def _begin(self, name, share, seconds):
        window = FaultWindow(float(share), self._sim.time + float(seconds))
        setattr(self._world.fault_windows, name, window)

    def _strike(self, name):
        return lambda share, seconds: self._begin(name, share, seconds)

    # Copies of reports

    def late_reports(self, share, seconds, whom=None):
        self._begin("reports_for_next" if whom == "next" else "late_reports", share, seconds)

    def keep_report(self, worker, body):
        self._kept.append(KeptReport(worker.host, body))

    def state_changed(self, writes):
        """The state service wrote these; a change of the term lets the kept copies go."""
        if any(write.get("put") == TERM for write in writes):
            kept, self._kept = self._kept, []
            for after in (0.0, COPIES_AGAIN_S):
                self._sim.call_later(after, self._deliver, kept)

    def _deliver(self, kept):
        for report in kept:
            for front in self._world.fronts:
                if not self._world.network.cut_between(report.worker_host, front.rpartition(":")[0]):
                    self._loop.spawn(self._post(front, report.body), "late copy")

    async def _post(self, front, body):
        try:
            await Client(self._loop, self._net, front, 0).request("POST", "/v1/report", body, 4.0)
        except (NoResponseError, Timeout):
            pass

    # Machines

    def mute(self, share, seconds):
        up = [worker for worker in self._world.cloud.rented.values() if worker.up and not worker.dead]
        for worker in self._sim.random.sample(up, round(float(share) * len(up))):
            worker.mute_until = self._sim.time + float(seconds)

    # Cancellations

    def cancel_now(self, count, hang_s="0"):
        """Users call off the jobs that run and have the longest to go."""
        left = {}  # job -> seconds, of its task that has the longest to go
        for task, worker in self._world.running.items():
            job_id = task.rpartition("/")[0]
            seconds = worker.left_of(task)
            user = self._world.users[job_id]
            if seconds >= LONG_LEFT_S and user.last_state not in ("done", "cancelled") and user.accepted:
                left[job_id] = max(seconds, left.get(job_id, 0.0))
        chosen = sorted(left, key=lambda job_id: (-left[job_id], job_id))[: int(count)]
        machines = {
            worker.name: worker
            for task, worker in self._world.running.items()
            if task.rpartition("/")[0] in chosen and not worker.loop.hung
        }
        for job_id in chosen:
            self._sim.call_later(self._sim.random.uniform(0, CANCELLED_WITHIN_S), self._cancel, job_id)
        if float(hang_s):
            for name in sorted(machines)[:HUNG_MOST]:
                machines[name].hang(float(hang_s))

    def _cancel(self, job_id):
        self._world.user_loop.spawn(self._world.users[job_id].cancel(), "cancel")

    def job_ended(self, job):
        """Its last task ended just now."""
        user = self._world.users[job["id"]]
        if self._world.fault_windows.cancelled_at_end.strikes(self._sim) and not user.asked_to_cancel:
            self._cancel(job["id"])

    # Questions

    def user_learned(self, user):
        """A user was told for the first time that its job is accepted, done or cancelled."""
        if self._world.fault_windows.close_looks.strikes(self._sim) and "tenant" not in user.job:
            ConsistencyProbe(self._world, user)
