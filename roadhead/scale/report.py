"""The report of a scale run, as data and as text."""

from dataclasses import dataclass, field

MEGABYTE = 1 << 20
KILOBYTE = 1 << 10
MIN_PRINTED_RATE = 0.05  # requests per second; rarer kinds of requests are not printed


@dataclass
class RoleFigures:
    """Resource usage of the processes of one role during the measured part.

    `cores`, `cores_most`: CPU cores used by one process, on average and by the busiest. `megabytes`,
    `files`: resident memory and open files of the largest process.
    """

    processes: int
    cores: float
    cores_most: float
    megabytes: float
    files: int


@dataclass
class Report:
    """All figures of a run. Rates are per second of the measured part, latencies are in seconds."""

    machine: str
    plan: dict
    jobs: int = 0
    accepted: int = 0
    accepted_within_s: dict = field(default_factory=dict)  # seconds -> share of jobs accepted within them
    over: int = 0
    unended: list = field(default_factory=list)
    latencies: dict = field(default_factory=dict)  # class -> step -> summary of Percentiles
    answers: dict = field(default_factory=dict)
    starts_per_s: float = 0.0
    starts_per_s_most: int = 0
    running_most: int = 0
    roles: dict = field(default_factory=dict)  # role -> RoleFigures
    worker_bytes_per_s: float = 0.0  # received and sent by one worker
    worker_cores: float = 0.0  # used by one worker
    user_bytes_per_s: float = 0.0
    state_requests_per_s: dict = field(default_factory=dict)  # kind of request -> rate
    state_changes_per_s: float = 0.0
    state_busy_per_s: float = 0.0
    state_bytes_per_s: float = 0.0
    resident_most: int = 0  # bytes, of all processes together
    events: list = field(default_factory=list)
    faults: list = field(default_factory=list)
    stopped: str = ""  # why the run was stopped early, empty if it was not


def render(report):
    """Returns the lines of a Report as text for operators."""
    lines = [f"measured on {report.machine}"]
    if report.stopped:
        lines.append(f"cut short: {report.stopped}")
    within = ", ".join(
        f"{share:.3f} within {seconds} s" for seconds, share in report.accepted_within_s.items()
    )
    lines.append(f"jobs: {report.accepted} of {report.jobs} accepted ({within}), {report.over} over")
    lines.append(
        f"tasks: {report.starts_per_s:.1f} starts a second, {report.starts_per_s_most} in the busiest; "
        f"{report.running_most} at once at the most"
    )
    for name, steps in sorted(report.latencies.items()):
        for step, row in steps.items():
            if row["count"]:
                lines.append(
                    f"  {name}, {step}: p50 {row['p50']:.3f} p95 {row['p95']:.3f} p99 {row['p99']:.3f} "
                    f"max {row['max']:.3f} s of {row['count']}"
                )
    for role, row in report.roles.items():
        lines.append(
            f"{role}: {row.processes} processes, {row.cores:.3f} cores each, "
            f"{row.cores_most:.3f} the busiest; {row.megabytes:.0f} MB, {row.files} open files at the most"
        )
    lines.append(
        f"a worker: {1000 * report.worker_cores:.2f} thousandths of a core, "
        f"{report.worker_bytes_per_s / KILOBYTE:.2f} KB a second"
    )
    requests = sum(report.state_requests_per_s.values())
    lines.append(
        f"state service: {requests:.1f} requests and {report.state_changes_per_s:.1f} changes a second, "
        f"{report.state_busy_per_s:.1f} refused by its rates, "
        f"{report.state_bytes_per_s / KILOBYTE:.0f} KB a second"
    )
    for kind, rate in sorted(report.state_requests_per_s.items(), key=lambda pair: -pair[1]):
        if rate >= MIN_PRINTED_RATE:
            lines.append(f"  {kind}: {rate:.2f} a second")
    lines.append(f"answers to users: {report.answers}")
    lines.append(f"memory of all processes: {report.resident_most / MEGABYTE:.0f} MB at the most")
    lines += [f"at {at_s:g} s: {text}" for at_s, text in report.events]
    if report.unended:
        lines.append(f"not over: {len(report.unended)} jobs, such as {' '.join(report.unended[:5])}")
    lines += [f"rule broken: {fault}" for fault in report.faults] or ["no rule broken"]
    return lines
