"""The command `scale`: runs a plan with real processes on this machine and reports the results."""

import platform
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from roadhead.scale import analysis, load, plan, report
from roadhead.scale.events import Failures
from roadhead.scale.layout import Layout
from roadhead.scale.load import LoadResult
from roadhead.scale.processes import Processes, StartError, request
from roadhead.scale.workload import Workload

SAMPLE_S = 0.5
MAX_MEMORY_SHARE = 0.5  # of the machine's memory, for all processes together; above it the run is stopped
ACCEPTED_WITHIN_S = (1, 2, 5)  # limits for which the share of jobs accepted in time is reported


class Sample:
    """Resource usage of all processes and counters of the emulators at one time."""

    def __init__(self, layout, processes):
        document = layout.document
        self.at = time.monotonic()
        self.usage = processes.usage()
        self.state = request(document["state"], "GET", "/scale/figures")
        self.hosts = [request(address, "GET", "/scale/figures") for address in document["hosts"]]


class Run:
    """One run of a Plan in the directory of a Layout."""

    def __init__(self, layout):
        self._layout = layout
        self._plan = layout.plan
        self._processes = Processes(layout)
        self._failures = Failures(layout, self._processes)
        self._max_resident = 0
        self._largest = {}  # role -> (resident bytes, open files) of its largest process
        self._stop_reason = ""
        self._samples = []

    def execute(self):
        """Starts all processes, waits until the users' exits and returns the Report. Raises StartError."""
        try:
            self._processes.start()
            time.sleep(self._plan.settle_s)
            self._processes.start_users()
            self._watch(time.monotonic())
            time.sleep(1.5)  # until the workers have flushed their event logs (each FLUSH_S)
            self._processes.dump_decisions(self._layout.document["labels"])
        finally:
            self._processes.stop()
        return self._report()

    def _watch(self, began_at):
        plan = self._plan
        sample_times = [plan.warm_s, plan.load_s]
        deadline = began_at + plan.load_s + plan.drain_s + load.RETRY_FOR_S
        while self._processes.is_running("users") and not self._stop_reason:
            now_s = time.monotonic() - began_at
            self._failures.carry_out_due(now_s)
            if sample_times and now_s >= sample_times[0]:
                sample_times.pop(0)
                self._samples.append(Sample(self._layout, self._processes))
            self._check_memory()
            if time.monotonic() > deadline:
                self._stop_reason = "the users did not end in time"
            time.sleep(SAMPLE_S)

    def _check_memory(self):
        usage = self._processes.usage()
        resident = sum(used.resident for used in usage.values())
        self._max_resident = max(self._max_resident, resident)
        for name, used in usage.items():
            role = self._processes.roles[name]
            largest = self._largest.get(role, (0, 0))
            self._largest[role] = max(largest[0], used.resident), max(largest[1], used.files)
        if resident > MAX_MEMORY_SHARE * total_memory():
            self._stop_reason = "more than half of the machine's memory"

    def _report(self):
        figures = report.Report(machine_name(), msgspec.to_builtins(self._plan))
        figures.stopped, figures.resident_most = self._stop_reason, self._max_resident
        figures.events = list(self._failures.done)
        if not self._stop_reason:
            self._add_rates(figures, *self._samples)
        result_file = self._layout.directory / load.RESULT_FILE
        if result_file.exists():
            result = msgspec.json.decode(result_file.read_bytes(), type=LoadResult)
            self._add_jobs(figures, result)
            self._add_tasks(figures, result)
        return figures

    def _add_rates(self, figures, before, after):
        seconds = after.at - before.at
        by_role = {}
        for name, used in after.usage.items():
            spent_s = used.cpu_s - (before.usage[name].cpu_s if name in before.usage else 0.0)
            by_role.setdefault(self._processes.roles[name], []).append(spent_s / seconds)
        for role, cores in by_role.items():
            resident, files = self._largest[role]
            figures.roles[role] = report.RoleFigures(
                len(cores),
                sum(cores) / len(cores),
                max(cores),
                resident / report.MEGABYTE,
                files,
            )
        workers = sum(host["workers"] for host in after.hosts) or 1
        figures.worker_cores = sum(by_role["workers"]) / workers
        figures.worker_bytes_per_s = _bytes_between(before.hosts, after.hosts) / seconds / workers
        figures.state_bytes_per_s = _bytes_between([before.state], [after.state]) / seconds
        figures.state_changes_per_s = (after.state["changes"] - before.state["changes"]) / seconds
        figures.state_busy_per_s = sum(_rates_of(before.state["busy"], after.state["busy"], seconds).values())
        figures.state_requests_per_s = _rates_of(before.state["requests"], after.state["requests"], seconds)

    def _add_jobs(self, figures, result):
        jobs = result.jobs
        figures.jobs = len(Workload(self._plan).arrivals)
        waits = [job.accepted_at - job.due_at for job in jobs if job.accepted_at is not None]
        figures.accepted = len(waits)
        if jobs:
            figures.accepted_within_s = {
                seconds: sum(wait <= seconds for wait in waits) / len(jobs) for seconds in ACCEPTED_WITHIN_S
            }
        figures.over = sum(job.over_at is not None for job in jobs)
        figures.unended = [job.job_id for job in jobs if job.accepted_at is not None and job.over_at is None]
        figures.answers = dict(result.answers)
        figures.faults += result.faults[: analysis.MAX_FAULTS]
        figures.user_bytes_per_s = (result.received + result.sent) / (self._plan.load_s + 1e-9)

    def _add_tasks(self, figures, result):
        plan = self._plan
        events = analysis.read_events(sorted(self._layout.directory.glob("tasks-*.log")))
        history = analysis.replay_events(events, Workload(plan), plan.teams.cpus_max)
        analysis.check_cancelled(events, result.jobs, plan.timing.cancel_s, history)
        analysis.check_done(result.jobs, history)
        figures.faults += history.faults
        figures.running_most = history.max_running
        first_second = int(result.began_at + plan.warm_s)
        measured = [history.starts[first_second + second] for second in range(int(plan.measured_s))]
        if measured:
            figures.starts_per_s, figures.starts_per_s_most = sum(measured) / len(measured), max(measured)
        figures.latencies = {
            name: {step: values.summary() for step, values in steps.items()}
            for name, steps in analysis.latencies(result.jobs, history).items()
        }


def _bytes_between(before, after):
    def total(parts):
        return sum(part["received"] + part["sent"] for part in parts)

    return total(after) - total(before)


def _rates_of(before, after, seconds):
    return {kind: (count - before.get(kind, 0)) / seconds for kind, count in after.items()}


def total_memory():
    """Returns the memory of this machine in bytes."""
    with open("/proc/meminfo") as file:
        return int(file.readline().split()[1]) * report.KILOBYTE


def machine_name():
    """Returns a description of this machine for the report."""
    return f"{platform.machine()}, Python {platform.python_version()}"


def main(args, program):
    """Runs the plan in the file `args.file` and prints its report. Returns the exit status.

    0 if no rule was broken and every accepted job ended, 1 if not, 2 if the plan is not valid.
    `program`: arguments that start roadhead.
    """
    try:
        run_plan = plan.load(args.file)
    except plan.PlanError as error:
        for fault in error.faults:
            print(f"roadhead: {fault}", file=sys.stderr)
        return 2
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    directory = Path(args.keep or tempfile.mkdtemp(prefix="roadhead-scale-")).resolve()
    directory.mkdir(parents=True, exist_ok=True)
    try:
        figures = Run(Layout.create(directory, run_plan, program)).execute()
    except StartError as error:
        print(f"roadhead: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 1
    finally:
        if not args.keep:
            shutil.rmtree(directory, ignore_errors=True)
    print("\n".join(report.render(figures)))
    if args.report:
        Path(args.report).write_bytes(msgspec.json.format(msgspec.json.encode(figures)))
    return 1 if figures.faults or figures.unended or figures.stopped else 0


def run_process(arguments):
    """Runs one process of a scale run: `state DIR`, `cloud DIR`, `workers DIR NUMBER` or `users DIR`."""
    from roadhead.scale import hollow, services  # noqa: PLC0415  each process imports only what it needs

    name, *rest = arguments
    if name == "workers":
        hollow.main(*rest)
    elif name == "users":
        load.main(*rest)
    else:
        services.main(name, *rest)
    return 0
