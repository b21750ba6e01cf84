"""What came of a scale run: the rules, checked from what tasks did and users saw, and latencies."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

FAULTS_KEPT = 20
LEAST_MS, MOST_MS, DIGITS = 1, 3_600_000, 3
FIELDS = 4  # of a line
ORDER = {"-": 0, "=": 1, "+": 2}  # of events of the same moment


@dataclass(frozen=True, slots=True)
class TaskEvent:
    """A line of an event log; `sign` is `+`, `-` or `=`."""

    at: float
    sign: str
    task: str
    worker: str

    @property
    def job_id(self):
        """The job of the task."""
        return self.task.rpartition("/")[0]


def read_events(paths):
    """All TaskEvents of the event logs, in order of time."""
    events = []
    for path in paths:
        for line in path.read_text().splitlines():
            words = line.split(" ")
            if len(words) == FIELDS:  # the last line may be cut off
                events.append(TaskEvent(float(words[0]), *words[1:]))
    return sorted(events, key=lambda event: (event.at, ORDER[event.sign]))


class Percentiles:
    """Durations in seconds, kept to a thousandth of their size."""

    def __init__(self):
        self._histogram = HdrHistogram(LEAST_MS, MOST_MS, DIGITS)
        self.count = 0

    def add(self, seconds):
        """Takes a duration."""
        self._histogram.record_value(min(MOST_MS, max(LEAST_MS, round(1000 * seconds))))
        self.count += 1

    def summary(self):
        """{"count", "p50", "p95", "p99", "max"} in seconds; only the count if there are none."""
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
    """What the event logs show. `faults`: broken rules; times are of the machine's steady clock."""

    first_start: dict = field(default_factory=dict)  # task -> time
    done_at: dict = field(default_factory=dict)  # task -> time
    starts: Counter = field(default_factory=Counter)  # second -> tasks that began to be on a worker
    running_most: int = 0
    faults: list = field(default_factory=list)
    left: dict = field(default_factory=lambda: defaultdict(set))  # task -> workers that it is on at the end

    def fault(self, text):
        """Notes a broken rule; of many, the first are kept."""
        if len(self.faults) < FAULTS_KEPT:
            self.faults.append(text)


def follow(events, workload, teams_limit):
    """The TaskHistory of TaskEvents, with the rules ran_twice and quota. `teams_limit`: CPUs, 0 for none."""
    history, running = TaskHistory(), 0
    used = Counter()  # CPUs by team
    for event in events:
        arrival = workload.get(event.job_id)
        if event.sign == "=":
            history.done_at.setdefault(event.task, event.at)
            continue
        workers = history.left[event.task]
        change = 1 if event.sign == "+" else -1
        running += change
        team = arrival.job["crew"]
        used[team] += change * arrival.job["vcpus"]
        if event.sign == "-":
            workers.discard(event.worker)
            continue
        if workers:
            history.fault(f"ran_twice: {event.task} on {event.worker} and {min(workers)}")
        if teams_limit and used[team] > teams_limit + 1e-6:
            history.fault(f"quota: {team} uses {used[team]:g} of {teams_limit:g} CPUs")
        workers.add(event.worker)
        history.first_start.setdefault(event.task, event.at)
        history.starts[int(event.at)] += 1
        history.running_most = max(history.running_most, running)
    return history


def check_cancelled(events, jobs, cancel_s, history):
    """The rule ran_cancelled: `jobs` are JobResults; faults go to the history."""
    ends = {job.job_id: job.cancelled_at + cancel_s for job in jobs if job.cancelled_at is not None}
    for event in events:
        if event.sign != "=" and event.at > ends.get(event.job_id, event.at):
            history.fault(f"ran_cancelled: {event.task} is on {event.worker} after its time")


def check_done(jobs, history):
    """The rule not_done: nobody is told that a job is done before all its tasks are."""
    for job in jobs:
        if job.state != "done":
            continue
        last = max(history.done_at.get(f"{job.job_id}/{number}", float("inf")) for number in range(job.tasks))
        if last > job.over_at:
            history.fault(f"not_done: {job.job_id}")


def latencies(jobs, history):
    """{class: {step: Percentiles}}: accepted, first task started, all started, told that it is done."""
    found = defaultdict(lambda: defaultdict(Percentiles))
    for job in jobs:
        steps = found[job.job_class]
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
    return found
