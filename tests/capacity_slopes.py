"""What a cluster costs as a function of one driver at a time, by scale runs: docs/CAPACITY.md's figures.

    python3 tests/capacity_slopes.py run DIRECTORY [--at-once N] [--seeds N] [--driver NAME]
    python3 tests/capacity_slopes.py table DIRECTORY
    python3 tests/capacity_slopes.py predict DIRECTORY --size workers=3500 running=21000 starts=1200 ...

`run` plays the base plan and, for each driver, plans that differ from it in that driver alone, and leaves a
report for each in DIRECTORY. `table` fits a line and a power of the driver to each figure and prints them
with the spread over the seeds. `predict` fits all drivers at once, by least squares over all runs, and adds
up what those of another size cost. Figures are of hollow workers and emulators on the machine at hand.
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

import conftest  # noqa: F401  finds the libraries
import numpy

ROOT = Path(__file__).resolve().parent.parent
WORSE, FLAT = 1.2, 0.15  # powers of the driver above which a figure is worse than linear, below which flat


@dataclass(frozen=True)
class Size:
    """A plan's drivers. Jobs arrive at `jobs` a second, `starts` tasks a second in all; `run_s` each task."""

    workers: int = 240
    controllers: int = 3
    jobs: float = 2.0
    starts: float = 40.0
    run_s: float = 10.0
    teams: int = 1

    def plan(self, seed):
        """The plan as TOML."""
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
}
VALUES = {  # what a driver counts
    "workers": lambda size: size.workers,
    "running": lambda size: size.starts * size.run_s,
    "starts": lambda size: size.starts,
    "jobs": lambda size: size.jobs,
    "open": lambda size: size.jobs * size.run_s,
    "teams": lambda size: size.teams,
    "controllers": lambda size: size.controllers,
}
FIGURES = {  # all of them sums over the processes of a role, so that what the drivers cost adds up
    "controllers' cores": lambda report: in_all(report, "controller", "cores"),
    "controllers' MB": lambda report: in_all(report, "controller", "megabytes"),
    "controllers' open files": lambda report: in_all(report, "controller", "files"),
    "workers' cores": lambda report: in_all(report, "workers", "cores"),
    "workers' KB/s": lambda report: (
        report["worker_bytes_per_s"] * report["plan"]["cluster"]["workers"] / 1024
    ),
    "state service's cores": lambda report: in_all(report, "state", "cores"),
    "state requests/s": lambda report: sum(report["state_requests_per_s"].values()),
    "state changes/s": lambda report: report["state_changes_per_s"],
    "state KB/s": lambda report: report["state_bytes_per_s"] / 1024,
}


def in_all(report, role, name):
    """The sum over a role's processes; for memory and files the largest process times their number."""
    figures = report["roles"][role]
    return figures[name] * figures["processes"]


def play(directory, driver, number, seed):
    """Plays one plan; its report, or None if the run was cut short or broke a rule."""
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


def rows(directory, driver):
    """{value of the driver: [report of each seed]}."""
    found = {}
    for number, size in enumerate(DRIVERS[driver]):
        reports = [
            json.loads(file.read_text()) for file in sorted(directory.glob(f"{driver}-{number}-*.json"))
        ]
        if reports:
            found[VALUES[driver](size)] = reports
    return found


def fitted(points):
    """(value at 0, slope, power) of [(driver, figure)], by least squares; the power by that of logarithms."""
    drivers, figures = (numpy.array(side, dtype=float) for side in zip(*points, strict=True))
    slope, start = numpy.polyfit(drivers, figures, 1)
    power = numpy.polyfit(numpy.log(drivers), numpy.log(numpy.maximum(figures, 1e-9)), 1)[0]
    return start, slope, power


def verdict(power):
    """How a figure grows, in words."""
    if power > WORSE:
        return "worse than linear"
    return "flat" if power < FLAT else "linear or less"


def table(directory):
    """Prints a Markdown table for each driver."""
    for driver in DRIVERS:
        found = rows(directory, driver)
        if not found:
            continue
        print(f"\n### {driver}\n")
        print("| figure | " + " | ".join(f"{value:g}" for value in found) + " | at 0 + slope | growth |")
        print("| --- |" + " --- |" * (len(found) + 2))
        for name, figure in FIGURES.items():
            values = {driven: [figure(report) for report in reports] for driven, reports in found.items()}
            start, slope, power = fitted([(driven, each) for driven, some in values.items() for each in some])
            cells = " | ".join(
                f"{mean(some):.4g} ±{(max(some) - min(some)) / 2:.2g}" for some in values.values()
            )
            print(f"| {name} | {cells} | {start:.4g} + {slope:.4g} n | {verdict(power)} ({power:.2f}) |")


def fitted_at_once(directory):
    """({driver: (figure's name: its cost)}, that of nothing under None), by least squares over all runs."""
    sizes, reports = [], []
    for driver in DRIVERS:
        for number, size in enumerate(DRIVERS[driver]):
            for file in directory.glob(f"{driver}-{number}-*.json"):
                sizes.append([1.0, *(value(size) for value in VALUES.values())])
                reports.append(json.loads(file.read_text()))
    costs = {}
    for name, figure in FIGURES.items():
        found, *_rest = numpy.linalg.lstsq(numpy.array(sizes), numpy.array(list(map(figure, reports))), None)
        for driver, cost in zip((None, *VALUES), found, strict=True):
            costs.setdefault(driver, {})[name] = cost
    return costs


def predict(directory, wanted):
    """Prints each figure for a size {driver: its value}, and what each driver adds to it."""
    costs = fitted_at_once(directory)
    for name in FIGURES:
        added = {driver: costs[driver][name] * wanted[driver] for driver in VALUES}
        parts = ", ".join(f"{driver} {value:+.3g}" for driver, value in added.items())
        print(f"{name}: {costs[None][name] + sum(added.values()):.4g} ({costs[None][name]:.3g}, {parts})")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("verb", choices=("run", "table", "predict"))
    parser.add_argument("directory", type=Path)
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--driver", choices=DRIVERS)
    parser.add_argument("--size", nargs="*", default=[], metavar="DRIVER=VALUE", help="for predict")
    args = parser.parse_args()
    if args.verb == "table":
        table(args.directory)
    elif args.verb == "predict":
        predict(
            args.directory, {name: float(value) for name, value in (word.split("=") for word in args.size)}
        )
    else:
        run(args)


def run(args):
    """Plays the base plan and those of each driver, some at once."""
    args.directory.mkdir(parents=True, exist_ok=True)
    wanted = [
        (driver, number, seed)
        for seed in range(1, args.seeds + 1)
        for driver, sizes in DRIVERS.items()
        if args.driver in (None, driver)
        for number in range(len(sizes))
    ]
    with ThreadPoolExecutor(args.at_once) as pool:
        list(pool.map(lambda case: play(args.directory, *case), wanted))


if __name__ == "__main__":
    main()
