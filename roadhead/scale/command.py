"""The verb `scale`: plays a plan with real processes on this machine, and reports."""

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
from roadhead.scale.processes import Processes, StartError, ask
from roadhead.scale.workload import Workload

SAMPLE_S = 0.5
MEMORY_PART = 0.5  # of the machine's, of all processes together
WITHIN_S = (1, 2, 5)


class Sample:
    """Counts of all processes and emulators at one moment."""

    def __init__(self, layout, processes):
        document = layout.document
        self.at = time.monotonic()
        self.usage = processes.usage()
        self.state = ask(document["state"], "GET", "/scale/figures")
        self.hosts = [ask(address, "GET", "/scale/figures") for address in document["hosts"]]


class Run:
    """One run of a Plan in a directory."""

    def __init__(self, layout):
        self._layout = layout
        self._plan = layout.plan
        self._processes = Processes(layout)
        self._failures = Failures(layout, self._processes)
        self._resident_most = 0
        self._largest = {}  # role -> (bytes, files)
        self._stopped = ""
        self._samples = []

    def play(self):
        """Starts everything, waits for the users to end, and returns the Report. Raises StartError."""
        try:
            self._processes.start()
            time.sleep(self._plan.settle_s)
            self._processes.begin_load()
            self._watch(time.monotonic())
            time.sleep(1.5)  # the last lines of the event logs
            self._processes.dump_decisions(self._layout.document["labels"])
        finally:
            self._processes.stop()
        return self._report()

    def _watch(self, began_at):
        plan = self._plan
        marks = [plan.warm_s, plan.load_s]
        until = began_at + plan.load_s + plan.drain_s + load.PATIENCE_S
        while self._processes.running("users") and not self._stopped:
            now_s = time.monotonic() - began_at
            self._failures.due(now_s)
            if marks and now_s >= marks[0]:
                marks.pop(0)
                self._samples.append(Sample(self._layout, self._processes))
            self._look_at_memory()
            if time.monotonic() > until:
                self._stopped = "the users did not end in time"
            time.sleep(SAMPLE_S)

    def _look_at_memory(self):
        usage = self._processes.usage()
        resident = sum(used.resident for used in usage.values())
        self._resident_most = max(self._resident_most, resident)
        for name, used in usage.items():
            role = self._processes.roles[name]
            most = self._largest.get(role, (0, 0))
            self._largest[role] = max(most[0], used.resident), max(most[1], used.files)
        if resident > MEMORY_PART * total_memory():
            self._stopped = "more than half of the machine's memory"

    def _report(self):
        found = report.Report(machine_name(), msgspec.to_builtins(self._plan))
        found.stopped, found.resident_most = self._stopped, self._resident_most
        found.events = list(self._failures.done)
        if not self._stopped:
            self._add_rates(found, *self._samples)
        result_file = self._layout.directory / load.RESULT
        if result_file.exists():
            result = msgspec.json.decode(result_file.read_bytes(), type=LoadResult)
            self._add_jobs(found, result)
            self._add_tasks(found, result)
        return found

    def _add_rates(self, found, before, after):
        seconds = after.at - before.at
        by_role = {}
        for name, used in after.usage.items():
            spent_s = used.cpu_s - (before.usage[name].cpu_s if name in before.usage else 0.0)
            by_role.setdefault(self._processes.roles[name], []).append(spent_s / seconds)
        for role, cores in by_role.items():
            resident, files = self._largest[role]
            found.roles[role] = report.RoleFigures(
                len(cores),
                sum(cores) / len(cores),
                max(cores),
                resident / report.MEGABYTE,
                files,
            )
        workers = sum(host["workers"] for host in after.hosts) or 1
        found.worker_cores = sum(by_role["workers"]) / workers
        found.worker_bytes_per_s = _bytes_between(before.hosts, after.hosts) / seconds / workers
        found.state_bytes_per_s = _bytes_between([before.state], [after.state]) / seconds
        found.state_changes_per_s = (after.state["changes"] - before.state["changes"]) / seconds
        found.state_busy_per_s = sum(_grown(before.state["busy"], after.state["busy"], seconds).values())
        found.state_requests_per_s = _grown(before.state["requests"], after.state["requests"], seconds)

    def _add_jobs(self, found, result):
        jobs = result.jobs
        found.jobs = len(Workload(self._plan).arrivals)
        waits = [job.accepted_at - job.due_at for job in jobs if job.accepted_at is not None]
        found.accepted = len(waits)
        if jobs:
            found.accepted_within_s = {
                seconds: sum(wait <= seconds for wait in waits) / len(jobs) for seconds in WITHIN_S
            }
        found.over = sum(job.over_at is not None for job in jobs)
        found.unended = [job.job_id for job in jobs if job.accepted_at is not None and job.over_at is None]
        found.answers = dict(result.answers)
        found.faults += result.faults[: analysis.FAULTS_KEPT]
        found.user_bytes_per_s = (result.received + result.sent) / (self._plan.load_s + 1e-9)

    def _add_tasks(self, found, result):
        plan = self._plan
        events = analysis.read_events(sorted(self._layout.directory.glob("tasks-*.log")))
        history = analysis.follow(events, Workload(plan), plan.teams.cpus_max)
        analysis.check_cancelled(events, result.jobs, plan.timing.cancel_s, history)
        analysis.check_done(result.jobs, history)
        found.faults += history.faults
        found.running_most = history.running_most
        first = int(result.began_at + plan.warm_s)
        measured = [history.starts[first + second] for second in range(int(plan.measured_s))]
        if measured:
            found.starts_per_s, found.starts_per_s_most = sum(measured) / len(measured), max(measured)
        found.latencies = {
            name: {step: values.summary() for step, values in steps.items()}
            for name, steps in analysis.latencies(result.jobs, history).items()
        }


def _bytes_between(before, after):
    def total(parts):
        return sum(part["received"] + part["sent"] for part in parts)

    return total(after) - total(before)


def _grown(before, after, seconds):
    return {kind: (count - before.get(kind, 0)) / seconds for kind, count in after.items()}


def total_memory():
    """Bytes of memory of this machine."""
    with open("/proc/meminfo") as file:
        return int(file.readline().split()[1]) * report.KILOBYTE


def machine_name():
    """What this machine is, for the report."""
    return f"{platform.machine()}, Python {platform.python_version()}"


def main(args, program):
    """Plays the plan in the file `args.file`; 0 if no rule was broken and every accepted job ended, else 1.
    `program`: arguments that start roadhead."""
    try:
        wanted = plan.load(args.file)
    except plan.PlanError as error:
        for fault in error.faults:
            print(f"roadhead: {fault}", file=sys.stderr)
        return 2
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    directory = Path(args.keep or tempfile.mkdtemp(prefix="roadhead-scale-")).resolve()
    directory.mkdir(parents=True, exist_ok=True)
    try:
        found = Run(Layout.create(directory, wanted, program)).play()
    except StartError as error:
        print(f"roadhead: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 1
    finally:
        if not args.keep:
            shutil.rmtree(directory, ignore_errors=True)
    print("\n".join(report.render(found)))
    if args.report:
        Path(args.report).write_bytes(msgspec.json.format(msgspec.json.encode(found)))
    return 1 if found.faults or found.unended or found.stopped else 0


def part(arguments):
    """A process of a run: `state DIR`, `cloud DIR`, `workers DIR NUMBER` or `users DIR`."""
    from roadhead.scale import hollow, services  # noqa: PLC0415  each process imports only what it needs

    name, *rest = arguments
    if name == "workers":
        hollow.main(*rest)
    elif name == "users":
        load.main(*rest)
    else:
        services.main(name, *rest)
    return 0
