"""Generates days of fault combinations for fleetbench from a site file.

    python3 tests/fault_combination_days.py SITE DIRECTORY [--times 1.5] [--zones 2] [--controllers 3]
                                            [--back 3]

Writes DIRECTORY/site.toml (the site itself, or a larger one with `--times`) and a file for each of twelve
days, in which two to four faults overlap: lost answers of the state service, delayed or repeated reports,
machines that receive nothing ("deaf"), send nothing ("mute") or hang, users who cancel, poll and resubmit,
and controllers that crash, leave or are cut off.
`fleetbench run DIRECTORY/site.toml DIRECTORY/DAY.toml --seed N` plays one. DIRECTORY should lie outside the
repository, which holds no data of site files.
"""

import argparse
import shutil
import tomllib
from pathlib import Path

from larger_site import document, larger, written

TEAM_LIMIT_SHARE = 0.3  # of all CPUs: the limit of each team on days with limits
STREAM_RATE = 4.0  # one-task jobs per second


def fault(at_s, kind, **parameters):
    """Returns one fault of a day as a table."""
    return {"at_s": at_s, "kind": kind, **parameters}


def crash(at_s, count=1, busiest=True):
    """Returns a crash of `count` controllers, which come back after the site's restart delay."""
    return fault(at_s, "node_crash", count=count, busiest=busiest)


def stream(site, cancelled=0.25):
    """Returns a class of one-task jobs at STREAM_RATE, a share of which is cancelled."""
    return [
        {
            "name": site["jobs"][0]["name"],
            "cancelled": cancelled,
            "tasks": {"median": 1.0, "p95": 1.0, "max": 1.0},
            "run_s": {"median": 18.0, "p95": 50.0, "max": 80.0},
            "arrivals": {"rate": STREAM_RATE, "start_s": 5.0, "stop_s": 235.0},
        }
    ]


def long_jobs(site):
    """Returns a class of jobs with few tasks that run for minutes, half of which are cancelled."""
    return [
        {
            "name": site["jobs"][0]["name"],
            "cancelled": 0.5,
            "tasks": {"median": 4.0, "p95": 8.0, "max": 12.0},
            "run_s": {"median": 120.0, "p95": 200.0, "max": 240.0},
            "arrivals": {"rate": 1.0, "start_s": 5.0, "stop_s": 235.0},
        }
    ]


def limits(site):
    """Returns the site's teams, each with a limit well below its demand."""
    cpus = {kind["name"]: kind["cpus"] for kind in site["machine_types"]}
    total = sum(cpus[row["type"]] * (row["count"] + row.get("spot", 0)) for row in site["capacity"])
    return [{**team, "cpus_max": round(TEAM_LIMIT_SHARE * total)} for team in site["teams"]]


def days(site):
    """Returns {day's name: its tables} for a site."""
    lease_s, cancel_s = site["workers"]["lease_s"], site["workers"]["cancel_s"]
    controllers, zones = site["nodes"]["count"], site["nodes"]["zones"]
    lost_answers = fault(40.0, "late_writes", share=0.3, for_s=200.0, at_once=True)
    cut_leader = {"count": 1, "busiest": True, "from_state": True}
    ten_crashes = [crash(90.0 + 12.0 * number) for number in range(10)]
    return {
        "lost-answers": {"jobs": stream(site), "faults": [lost_answers]},
        "lost-answers-and-all": {
            "jobs": stream(site),
            "faults": [
                lost_answers,
                fault(40.0, "close_looks", for_s=200.0),
                fault(40.0, "cancel_at_end", share=0.3, for_s=200.0),
                fault(40.0, "odd_requests", for_s=200.0),
                crash(110.0),
                fault(150.0, "node_roll", every_s=15.0),
            ],
        },
        "limits-and-hung-machines": {
            "teams": limits(site),
            "faults": [
                fault(90.0, "machine_deaf", share=0.3, for_s=cancel_s),
                fault(95.0, "cancel_now", count=20, hang_s=lease_s),
                crash(95.2),
                fault(95.0 + lease_s, "cancel_now", count=20, hang_s=cancel_s),
                crash(96.0 + lease_s),
                crash(97.0 + 2 * lease_s),
                fault(200.0, "machine_mute", share=0.5, for_s=2 * lease_s),
                fault(201.0, "cancel_now", count=20),
                crash(202.0, controllers),
            ],
        },
        "cancelled-in-a-roll": {
            "jobs": long_jobs(site),
            "faults": [
                fault(80.0, "node_roll", every_s=8.0),
                *(fault(81.0 + 4.0 * number, "cancel_now", count=6) for number in range(8)),
                fault(150.0, "node_roll", every_s=4.0),
                *(fault(151.0 + 2.0 * number, "cancel_now", count=6, hang_s=8.0) for number in range(8)),
                fault(80.0, "close_looks", for_s=120.0),
            ],
        },
        "up-at-once-writes-late": {
            "faults": [
                fault(5.0, "boot_trouble", fail=0.0, factor=0.05, for_s=250.0),
                fault(6.0, "late_writes", share=0.4, for_s=40.0),
                crash(20.0),
                crash(28.0, controllers),
                fault(150.0, "late_writes", share=0.4, for_s=40.0, at_once=True),
                fault(150.0, "job_burst", **{"class": site["jobs"][0]["name"]}, factor=3.0, for_s=40.0),
                crash(160.0),
                crash(162.0),
            ],
        },
        "mute-machines": {
            "jobs": long_jobs(site),
            "faults": [
                fault(80.0, "machine_mute", share=0.5, for_s=lease_s + 6.0),
                crash(84.0),
                fault(86.0, "cancel_now", count=15),
                fault(170.0, "machine_mute", share=0.7, for_s=lease_s - 4.0),
                fault(172.0, "late_commands", share=0.4, for_s=30.0),
                crash(174.0, controllers),
            ],
        },
        "kept-reports": {
            "faults": [
                fault(60.0, "late_reports", share=0.5, for_s=180.0, for_next=True),
                fault(60.0, "late_commands", share=0.3, for_s=180.0),
                crash(90.0),
                fault(120.0, "machine_hang", count=20, for_s=lease_s - 3.0),
                crash(122.0),
                fault(160.0, "cancel_now", count=10, hang_s=10.0),
                crash(160.5),
                crash(220.0, controllers),
            ],
        },
        "refused-then-down": {
            "jobs": long_jobs(site),
            "faults": [
                fault(100.0, "node_cut", **cut_leader, for_s=2 * cancel_s, mode="refuse"),
                fault(100.0, "cancel_now", count=15),
                fault(101.0, "state_outage", for_s=cancel_s + 10.0),
                fault(101.0, "close_looks", for_s=60.0),
                fault(230.0, "node_cut", **cut_leader, for_s=2 * cancel_s, mode="refuse"),
                fault(230.0, "cancel_now", count=15, hang_s=lease_s),
                fault(231.0, "state_outage", for_s=cancel_s + 10.0),
            ],
        },
        "cut-leader": {
            "jobs": long_jobs(site),
            "faults": [
                fault(90.0, "node_cut", **cut_leader, from_peers=True, for_s=60.0, mode="hold"),
                fault(95.0, "cancel_now", count=15),
                fault(95.0, "close_looks", for_s=40.0),
                crash(105.0, 1, busiest=False),
                fault(190.0, "node_cut", **cut_leader, from_peers=True, for_s=60.0, mode="refuse"),
                fault(192.0, "machine_deaf", share=0.4, for_s=lease_s),
                fault(200.0, "cancel_now", count=15, hang_s=lease_s),
            ],
        },
        "ten-changes-in-an-outage": {
            "jobs": long_jobs(site),
            "faults": [
                *ten_crashes,
                fault(130.0, "state_outage", for_s=30.0),
                fault(120.0, "cancel_at_end", share=0.5, for_s=80.0),
                fault(100.0, "cancel_now", count=10),
                fault(165.0, "cancel_now", count=10),
            ],
        },
        "all-away": {
            "faults": [
                *(crash(110.0 + 2.5 * number, controllers) for number in range(8)),
                fault(111.0, "cancel_now", count=15, hang_s=lease_s),
                fault(220.0, "late_reports", share=0.5, for_s=60.0, for_next=True),
                *(crash(225.0 + 0.7 * number, controllers) for number in range(4)),
            ],
        },
        "zone-cut-and-losses": {
            "faults": [
                fault(90.0, "zone_cut", zone=zones[-1], for_s=lease_s + 8.0, mode="hold"),
                fault(92.0, "machine_die", count=20),
                fault(95.0, "cancel_now", count=10),
                crash(100.0),
                fault(180.0, "late_writes", share=0.3, for_s=60.0),
                fault(180.0, "cancel_at_end", share=0.4, for_s=60.0),
                fault(185.0, "machine_die", count=20),
                crash(190.0),
            ],
        },
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=Path)
    parser.add_argument("directory", type=Path)
    parser.add_argument("--times", type=float, default=1.0)
    parser.add_argument("--zones", type=int, default=2)
    parser.add_argument("--controllers", type=int, default=3)
    parser.add_argument("--back", type=float, default=3.0)
    args = parser.parse_args()
    site = tomllib.loads(args.site.read_text())
    if args.times != 1.0:
        site = larger(site, args.times, args.zones, args.controllers, 0.6, args.back)
    args.directory.mkdir(parents=True, exist_ok=True)
    tables = {name: value for name, value in site.items() if name != "day"}
    (args.directory / "site.toml").write_text(document(tables))
    shutil.copy(args.site.parent / site["wire"], args.directory / site["wire"])
    for name, day_tables in days(site).items():
        day = {"name": name, "slot": "scale", "light": True, "seed": 71}
        text = document(day)
        for key, rows in day_tables.items():
            text += f"{key} = [\n" + "".join(f"  {written(row)},\n" for row in rows) + "]\n"
        (args.directory / f"{name}.toml").write_text(text)


if __name__ == "__main__":
    main()
