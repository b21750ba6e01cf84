"""Measures how the cost of a cluster grows with each driver, by scale runs (figures of docs/CAPACITY.md).

    python3 tests/capacity_slopes.py run DIRECTORY [--at-once N] [--seeds N] [--driver NAME]
    python3 tests/capacity_slopes.py collect DIRECTORY FILE
    python3 tests/capacity_slopes.py table FILE
    python3 tests/capacity_slopes.py predict FILE --size workers=3500 running=21000 starts=1200 ...

`run` plays the base plan and, for each driver, plans that differ from it in that driver alone, and writes a
report of each into DIRECTORY. `collect` writes their figures into FILE (JSON). `table` fits a power of the
driver to each figure and prints both with the spread over the seeds. `predict` fits all drivers at once, by
least squares over all runs, and sums the costs of the drivers of another size. The figures are of hollow
workers and emulators on this machine.
"""

import argparse
import json
import math
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from statistics import mean

import conftest  # noqa: F401  sets up sys.path
import numpy

ROOT = Path(__file__).resolve().parent.parent
# A figure that grows with a power above the first is worse than linear, below the second it is flat.
SUPERLINEAR_POWER, FLAT_POWER = 1.2, 0.15


@dataclass(frozen=True)
class Size:
    """The drivers of a plan: `jobs` arrive per second with `starts` tasks in total, each running `run_s`."""

    workers: int = 240
    controllers: int = 3
    jobs: float = 2.0
    starts: float = 40.0
    run_s: float = 10.0
    teams: int = 1

    def plan(self, seed):
        """Returns the plan as TOML."""
        hosts = math.ceil(self.workers / 500)
        return f"""
seed = {seed}
warm_s = {self.run_s + 8}
measured_s = 20.0
drain_s = 1.0
cloud_rps = 20.0
[cluster]
controllers = {self.controllers}
workers = {self.workers}
hosts = {hosts}
[state]
rps = 2000.0
write_rps = 500.0
[teams]
count = {self.teams}
cpus_max = {0.0 if self.teams == 1 else 8.0 * self.workers}
[[class]]
name = "work"
jobs_per_s = {self.jobs}
tasks = {max(1, round(self.starts / self.jobs))}
run_s = {self.run_s}
"""


DRIVERS = {
    "workers": [Size(workers=count) for count in (120, 240, 480, 960, 1920)],
    "running": [Size(run_s=seconds) for seconds in (5.0, 10.0, 20.0, 40.0)],
    "starts": [Size(starts=rate, run_s=400.0 / rate) for rate in (20.0, 40.0, 80.0, 160.0)],
    "jobs": [Size(jobs=rate) for rate in (0.5, 2.0, 8.0, 20.0)],
    "open": [Size(starts=2.0, run_s=seconds) for seconds in (5.0, 20.0, 60.0)],
    "teams": [Size(teams=count) for count in (2, 20, 80)],
    "controllers": [Size(controllers=count) for count in (3, 6, 12, 21)],
    # Tasks in the workers' reports: more tasks per worker, which change state more often.
    "reported": [
        Size(starts=80.0, run_s=20.0),
        Size(starts=160.0, run_s=10.0),
        Size(starts=320.0, run_s=5.0),
        Size(workers=960, starts=320.0, run_s=10.0),
    ],
}
VALUES = {  # driver -> its value for a Size
    "workers": lambda size: size.workers,
    "running": lambda size: size.starts * size.run_s,
    "starts": lambda size: size.starts,
    "jobs": lambda size: size.jobs,
    "open": lambda size: size.jobs * size.run_s,
    "teams": lambda size: size.teams,
    "controllers": lambda size: size.controllers,
    "reported": lambda size: size.starts * size.run_s * size.starts / size.workers,
}
FIGURES = {  # name -> its value from a report; sums over a role's processes, so that costs are additive
    "controllers' cores": lambda report: total_of_role(report, "controller", "cores"),
    "controllers' MB": lambda report: total_of_role(report, "controller", "megabytes"),
    "controllers' open files": lambda report: total_of_role(report, "controller", "files"),
    "workers' cores": lambda report: total_of_role(report, "workers", "cores"),
    "workers' KB/s": lambda report: (
        report["worker_bytes_per_s"] * report["plan"]["cluster"]["workers"] / 1024
    ),
    "state service's cores": lambda report: total_of_role(report, "state", "cores"),
    "state requests/s": lambda report: sum(report["state_requests_per_s"].values()),
    "state changes/s": lambda report: report["state_changes_per_s"],
    "state KB/s": lambda report: report["state_bytes_per_s"] / 1024,
}


def total_of_role(report, role, name):
    """Returns the sum over a role's processes; of memory and files, the largest one's times their number."""
    figures = report["roles"][role]
    return figures[name] * figures["processes"]


def play(directory, driver, number, seed):
    """Plays one plan, writes its report and prints whether the run was cut short or broke a rule."""
    size = DRIVERS[driver][number]
    name = f"{driver}-{number}-{seed}"
    file, report = directory / f"{name}.toml", directory / f"{name}.json"
    file.write_text(size.plan(seed))
    done = subprocess.run(
        [sys.executable, ROOT / "run.py", "scale", file, "--report", report],
        capture_output=True,
        text=True,
        env={"PYTHONPATH": ":".join(path for path in sys.path if path), "PATH": "/usr/bin:/bin"},
    )
    faults = [line for line in done.stdout.splitlines() if line.startswith(("rule broken", "cut short"))]
    print(name, "; ".join(faults) or "fine", done.stderr[-200:], flush=True)


def collect(directory, file):
    """Writes the figures of all reports of a directory into a file, one row per run."""
    rows = []
    for driver, sizes in DRIVERS.items():
        for number, size in enumerate(sizes):
            for path in sorted(directory.glob(f"{driver}-{number}-*.json")):
                report = json.loads(path.read_text())
                figures = {name: round(figure(report), 5) for name, figure in FIGURES.items()}
                drivers = {name: value(size) for name, value in VALUES.items()}
                rows.append({"varied": driver, "drivers": drivers, "figures": figures})
    file.write_text("[\n" + ",\n".join(map(json.dumps, rows)) + "\n]\n")


def power_of(points):
    """Returns the power with which a figure grows with its driver, by least squares of the logarithms."""
    drivers, figures = (numpy.array(side, dtype=float) for side in zip(*points, strict=True))
    return numpy.polyfit(numpy.log(drivers), numpy.log(numpy.maximum(figures, 1e-9)), 1)[0]


def describe_growth(power):
    """Describes the growth of a figure with that power."""
    if power > SUPERLINEAR_POWER:
        return "worse than linear"
    return "flat" if abs(power) < FLAT_POWER else "linear or less"


def table(rows):
    """Prints a Markdown table for each driver: means, half of the spread over the seeds, growth."""
    for driver in DRIVERS:
        found = {}
        for row in rows:
            if row["varied"] == driver:
                found.setdefault(row["drivers"][driver], []).append(row["figures"])
        print(f"\n### {driver}\n")
        print("| figure | " + " | ".join(f"{value:g}" for value in found) + " | growth |")
        print("| --- |" + " --- |" * (len(found) + 1))
        for name in FIGURES:
            values = {
                driver_value: [figures[name] for figures in samples]
                for driver_value, samples in found.items()
            }
            power = power_of(
                [(driver_value, each) for driver_value, samples in values.items() for each in samples]
            )
            cells = " | ".join(
                f"{mean(samples):.3g} ±{(max(samples) - min(samples)) / 2:.1g}" for samples in values.values()
            )
            print(f"| {name} | {cells} | {describe_growth(power)} ({power:.2f}) |")


def costs_of(rows):
    """Returns {driver: {figure: cost of one unit of the driver}}; under None, the constant part."""
    sizes = numpy.array([[1.0, *(row["drivers"][driver] for driver in VALUES)] for row in rows])
    costs = {}
    for name in FIGURES:
        values = numpy.array([row["figures"][name] for row in rows])
        found, *_rest = numpy.linalg.lstsq(sizes, values, None)
        for driver, cost in zip((None, *VALUES), found, strict=True):
            costs.setdefault(driver, {})[name] = cost
    return costs


def predict(rows, wanted):
    """Prints each figure for a size {driver: value}, and what each driver contributes to it."""
    costs = costs_of(rows)
    for name in FIGURES:
        added = {driver: costs[driver][name] * wanted[driver] for driver in VALUES}
        parts = ", ".join(f"{driver} {value:+.3g}" for driver, value in added.items())
        print(f"{name}: {costs[None][name] + sum(added.values()):.4g} ({costs[None][name]:.3g}, {parts})")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("verb", choices=("run", "collect", "table", "predict"))
    parser.add_argument("path", type=Path)
    parser.add_argument("file", type=Path, nargs="?", help="for collect")
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--driver", choices=DRIVERS)
    parser.add_argument("--size", nargs="*", default=[], metavar="DRIVER=VALUE", help="for predict")
    args = parser.parse_args()
    if args.verb == "run":
        run(args)
    elif args.verb == "collect":
        collect(args.path, args.file)
    elif args.verb == "table":
        table(json.loads(args.path.read_text()))
    else:
        size = {name: float(value) for name, value in (word.split("=") for word in args.size)}
        size["reported"] = size["running"] * size["starts"] / size["workers"]
        predict(json.loads(args.path.read_text()), size)


def run(args):
    """Plays the plans of all drivers, `--at-once` of them concurrently."""
    args.path.mkdir(parents=True, exist_ok=True)
    wanted = [
        (driver, number, seed)
        for seed in range(1, args.seeds + 1)
        for driver, sizes in DRIVERS.items()
        if args.driver in (None, driver)
        for number in range(len(sizes))
    ]
    with ThreadPoolExecutor(args.at_once) as pool:
        list(pool.map(lambda case: play(args.path, *case), wanted))


if __name__ == "__main__":
    main()
