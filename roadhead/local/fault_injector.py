"""Injects faults that affect a share of the messages, machines or jobs of a scenario."""

from dataclasses import dataclass

from roadhead.local.fault_windows import FaultWindow
from roadhead.local.probes import ConsistencyProbe, InvalidRequests
from roadhead.local.sim import HostLoop
from roadhead.membership.member import TERM
from roadhead.runtime.loop import Timeout
from roadhead.wire.frame_codec import KINDS
from roadhead.wire.http import HttpClient, NoResponseError

CANCELLED_WITHIN_S = 0.2  # cancellations of `cancel-now` are spread over this time
MAX_HUNG_WORKERS = 8  # workers of cancelled jobs that `cancel-now` makes hang
MIN_REMAINING_S = 10.0  # `cancel-now` takes jobs with a task that would run for at least so long
SECOND_COPY_AFTER_S = 0.5
COPIES_WINDOWS = {
    "workers": "copied_commands",
    "state": "copied_state_requests",
    "cloud": "copied_cloud_requests",
    "controllers": "copied_user_requests",
}  # receiver of a scenario's `late-copies` -> its fault window


@dataclass(frozen=True)
class KeptReport:
    """A copy of a worker's report, kept until the next leader's term begins."""

    worker_host: str
    body: bytes


class FaultInjector:
    """Injects faults into a world: on a scenario's verbs, and later on the events that a fault window covers.

    `verbs` maps a verb to the function that takes the words after it.
    """

    def __init__(self, world):
        self._world = world
        self._sim = world.sim
        self._loop = HostLoop(world.sim)
        self._net = world.network.host("10.8.0.1", self._loop)
        self._kept_reports = []
        self._lost_kinds = frozenset()  # names of the kinds of frames that `lose-frames` drops; empty for all
        self.odd_requests = []
        self.verbs = {
            "lose-frames": self.lose_frames,
            "lose-writes": self._window_verb("lost_writes"),
            "late-reports": self.late_reports,
            "slow-reports": self._window_verb("slow_reports"),
            "slow-answers": self._window_verb("slow_answers"),
            "late-commands": self._window_verb("late_commands"),
            "slow-commands": self._window_verb("slow_commands"),
            "late-copies": self.late_copies,
            "cancel-at-end": self._window_verb("cancelled_at_end"),
            "quick-boots": lambda seconds: self._open_window("quick_boots", 1, seconds),
            "close-looks": lambda seconds: self._open_window("close_looks", 1, seconds),
            "mute": self.mute,
            "cancel-now": self.cancel_now,
            "odd-requests": lambda s: self.odd_requests.append(InvalidRequests(self._world, float(s))),
        }

    def _open_window(self, name, share, seconds):
        """Opens the fault window of that name in `FaultWindows`."""
        window = FaultWindow(float(share), self._sim.time + float(seconds))
        setattr(self._world.fault_windows, name, window)

    def _window_verb(self, name):
        """Returns a verb that opens a fault window."""
        return lambda share, seconds: self._open_window(name, share, seconds)

    # Frames between controllers

    def lose_frames(self, share, seconds, *kinds):
        """Drops a share of the frames that controllers send one another, of these kinds or of all.

        Their links stay up, so nobody notices. Heartbeats are not dropped.
        """
        unknown = set(kinds) - {frame.__name__ for frame in KINDS.values()}
        if unknown:
            raise ValueError(f"unknown kinds of frames {sorted(unknown)}")
        self._lost_kinds = frozenset(kinds)
        self._open_window("lost_frames", share, seconds)

    def lossy(self, send):
        """Returns the `send` of a controller, with frames dropped while a scenario says so."""

        def send_or_drop(label, frame):
            if self._is_lossy_kind(frame) and self._world.fault_windows.lost_frames.strikes(self._sim):
                return True
            return send(label, frame)

        return send_or_drop

    def _is_lossy_kind(self, frame):
        return not self._lost_kinds or type(frame).__name__ in self._lost_kinds

    # Copies of answered requests

    def late_copies(self, receiver, share, seconds):
        """Delivers copies of a share of the requests that a receiver has carried out and answered.

        `receiver`: `workers` for direct commands, `state`, `cloud`, or `controllers` for users' requests.
        """
        if receiver not in COPIES_WINDOWS:
            raise ValueError(f"late-copies: unknown receiver {receiver!r}, not one of {list(COPIES_WINDOWS)}")
        self._open_window(COPIES_WINDOWS[receiver], share, seconds)

    # Copies of reports

    def late_reports(self, share, seconds, whom=None):
        """Delivers copies of reports late, or, if `whom` is `next`, once the next term has begun."""
        self._open_window("reports_for_next" if whom == "next" else "late_reports", share, seconds)

    def keep_report(self, worker, body):
        """Keeps a copy of a report until the term changes."""
        self._kept_reports.append(KeptReport(worker.host, body))

    def state_changed(self, writes):
        """Is called after a transaction; delivers the kept copies, twice, if it changed the term."""
        if any(write.get("put") == TERM for write in writes):
            kept, self._kept_reports = self._kept_reports, []
            for after in (0.0, SECOND_COPY_AFTER_S):
                self._sim.call_later(after, self._deliver_copies, kept)

    def _deliver_copies(self, kept):
        for report in kept:
            for front in self._world.fronts:
                if not self._world.network.cut_between(report.worker_host, front.rpartition(":")[0]):
                    self._loop.spawn(self._post(front, report.body), "late copy")

    async def _post(self, front, body):
        try:
            await HttpClient(self._loop, self._net, front, 0).request("POST", "/v1/report", body, 4.0)
        except (NoResponseError, Timeout):
            pass

    # Machines

    def mute(self, share, seconds):
        """Stops a share of the workers from connecting to controllers."""
        up = [worker for worker in self._world.cloud.rented.values() if worker.up and not worker.dead]
        for worker in self._sim.random.sample(up, round(float(share) * len(up))):
            worker.outgoing_blocked_until = self._sim.time + float(seconds)

    # Cancellations

    def cancel_now(self, count, hang_s="0"):
        """Makes users cancel the `count` running jobs with the longest remaining time.

        If `hang_s` is not zero, workers that run these jobs hang for that time.
        """
        remaining_s = {}  # job id -> longest remaining time of its tasks
        for task, worker in self._world.running.items():
            job_id = task.rpartition("/")[0]
            seconds = worker.remaining_s(task)
            user = self._world.users[job_id]
            if seconds >= MIN_REMAINING_S and user.last_state not in ("done", "cancelled") and user.accepted:
                remaining_s[job_id] = max(seconds, remaining_s.get(job_id, 0.0))
        job_ids = sorted(remaining_s, key=lambda job_id: (-remaining_s[job_id], job_id))[: int(count)]
        machines = {
            worker.name: worker
            for task, worker in self._world.running.items()
            if task.rpartition("/")[0] in job_ids and not worker.loop.hung
        }
        for job_id in job_ids:
            self._sim.call_later(self._sim.random.uniform(0, CANCELLED_WITHIN_S), self._cancel, job_id)
        if float(hang_s):
            for name in sorted(machines)[:MAX_HUNG_WORKERS]:
                machines[name].hang(float(hang_s))

    def _cancel(self, job_id):
        self._world.user_loop.spawn(self._world.users[job_id].cancel(), "cancel")

    def job_ended(self, job):
        """Is called when the last task of a job has completed."""
        user = self._world.users[job["id"]]
        if self._world.fault_windows.cancelled_at_end.strikes(self._sim) and not user.has_requested_cancel:
            self._cancel(job["id"])

    # Polls

    def user_learned(self, user):
        """Is called when a user first sees that its job is accepted, done or cancelled."""
        if self._world.fault_windows.close_looks.strikes(self._sim) and "tenant" not in user.job:
            ConsistencyProbe(self._world, user)
