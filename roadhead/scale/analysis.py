"""Analysis of a scale run: checks the rules against task events and answers to users; computes latencies."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MAX_FAULTS = 20
MIN_DURATION_MS, MAX_DURATION_MS, SIGNIFICANT_DIGITS = 1, 3_600_000, 3
EVENT_FIELDS = 4  # per line of an event log
SIGN_ORDER = {"-": 0, "=": 1, "+": 2}  # sort order of events with equal times


@dataclass(frozen=True, slots=True)
class TaskEvent:
    """A line of an event log. `sign`: `+` task on the worker, `-` gone from it, `=` complete."""

    at: float
    sign: str
    task: str
    worker: str

    @property
    def job_id(self):
        """The id of the task's job."""
        return self.task.rpartition("/")[0]


def read_events(paths):
    """Returns all TaskEvents of the event logs, ordered by time."""
    events = []
    for path in paths:
        for line in path.read_text().splitlines():
            fields = line.split(" ")
            if len(fields) == EVENT_FIELDS:  # the last line may be incomplete
                events.append(TaskEvent(float(fields[0]), *fields[1:]))
    return sorted(events, key=lambda event: (event.at, SIGN_ORDER[event.sign]))


class Percentiles:
    """Records durations in seconds, with a relative precision of 1/1000."""

    def __init__(self):
        self._histogram = HdrHistogram(MIN_DURATION_MS, MAX_DURATION_MS, SIGNIFICANT_DIGITS)
        self.count = 0

    def add(self, seconds):
        """Records a duration."""
        self._histogram.record_value(min(MAX_DURATION_MS, max(MIN_DURATION_MS, round(1000 * seconds))))
        self.count += 1

    def summary(self):
        """Returns {"count", "p50", "p95", "p99", "max"} in seconds; only the count if it is 0."""
        if not self.count:
            return {"count": 0}
        quantiles = {"p50": 50.0, "p95": 95.0, "p99": 99.0, "max": 100.0}
        return {
            "count": self.count,
            **{
                name: self._histogram.get_value_at_percentile(quantile) / 1000
                for name, quantile in quantiles.items()
            },
        }


@dataclass
class TaskHistory:
    """What the event logs show. `faults`: rule violations. Times are seconds of the monotonic clock."""

    first_start: dict = field(default_factory=dict)  # task -> time
    done_at: dict = field(default_factory=dict)  # task -> time
    starts: Counter = field(default_factory=Counter)  # second -> tasks placed on a worker in it
    max_running: int = 0
    faults: list = field(default_factory=list)
    workers_of: dict = field(default_factory=lambda: defaultdict(set))  # task -> workers it is on at the end

    def add_fault(self, text):
        """Records a rule violation; only the first MAX_FAULTS are kept."""
        if len(self.faults) < MAX_FAULTS:
            self.faults.append(text)


def replay_events(events, workload, team_limit):
    """Returns the TaskHistory of TaskEvents and checks the rules ran_twice and quota.

    `team_limit`: CPU limit of each team, 0 for none.
    """
    history, running = TaskHistory(), 0
    used = Counter()  # team -> CPUs in use
    for event in events:
        arrival = workload.get(event.job_id)
        if event.sign == "=":
            history.done_at.setdefault(event.task, event.at)
            continue
        workers = history.workers_of[event.task]
        change = 1 if event.sign == "+" else -1
        running += change
        team = arrival.job["crew"]
        used[team] += change * arrival.job["vcpus"]
        if event.sign == "-":
            workers.discard(event.worker)
            continue
        if workers:
            history.add_fault(f"ran_twice: {event.task} on {event.worker} and {min(workers)}")
        if team_limit and used[team] > team_limit + 1e-6:
            history.add_fault(f"quota: {team} uses {used[team]:g} of {team_limit:g} CPUs")
        workers.add(event.worker)
        history.first_start.setdefault(event.task, event.at)
        history.starts[int(event.at)] += 1
        history.max_running = max(history.max_running, running)
    return history


def check_cancelled(events, jobs, cancel_s, history):
    """Checks the rule ran_cancelled: no task runs later than `cancel_s` after its job was cancelled.

    `jobs`: JobResults. Violations are added to `history`.
    """
    deadlines = {job.job_id: job.cancelled_at + cancel_s for job in jobs if job.cancelled_at is not None}
    for event in events:
        if event.sign != "=" and event.at > deadlines.get(event.job_id, event.at):
            history.add_fault(f"ran_cancelled: {event.task} is on {event.worker} after its time")


def check_done(jobs, history):
    """Checks the rule not_done: no user is told that a job is done before all its tasks are."""
    for job in jobs:
        if job.state != "done":
            continue
        last = max(history.done_at.get(f"{job.job_id}/{number}", float("inf")) for number in range(job.tasks))
        if last > job.over_at:
            history.add_fault(f"not_done: {job.job_id}")


def latencies(jobs, history):
    """Returns {job class: {step: Percentiles}}: accepted, first and all tasks started, told of the end."""
    by_class = defaultdict(lambda: defaultdict(Percentiles))
    for job in jobs:
        steps = by_class[job.job_class]
        if job.accepted_at is not None:
            steps["accepted"].add(job.accepted_at - job.due_at)
        tasks = [f"{job.job_id}/{number}" for number in range(job.tasks)]
        started = [history.first_start[task] for task in tasks if task in history.first_start]
        if started:
            steps["first task started"].add(min(started) - job.due_at)
        if len(started) == job.tasks:
            steps["all tasks started"].add(max(started) - job.due_at)
        if job.state == "done":
            last = max(history.done_at.get(task, job.over_at) for task in tasks)
            steps["told after the end"].add(job.over_at - last)
    return by_class
