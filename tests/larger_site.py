"""Generates a larger deployment, and days with many faults for it, from a site file.

    python3 tests/larger_site.py SITE DIRECTORY [--times 1.5] [--zones 3] [--controllers 5] [--cheap 0.9]
                                 [--back 0.1]

Writes DIRECTORY/site.toml, with other zones, and a file for each day: all machines and controllers fail
together, spot machines are reclaimed in a wave, zones are cut off, or controllers crash in quick succession.
`fleetbench run DIRECTORY/site.toml DIRECTORY/DAY.toml` plays one. DIRECTORY should lie outside the
repository, which holds no data of site files.
"""

import argparse
import shutil
import tomllib
from pathlib import Path

# Number of zones -> share of the machines in each; the zones differ in size.
ZONE_SHARES = {1: (1.0,), 2: (0.6, 0.4), 3: (0.5, 0.3, 0.2)}


def larger(site, times, zones, controllers, cheap, back_s):
    """Returns a site's tables with `times` the machines and arrivals.

    `cheap`: the share of spot machines. `back_s`: the restart delay of a crashed controller.
    """
    names = [f"zone-{number}" for number in range(zones)]
    zone_shares = dict(zip(names, ZONE_SHARES[zones], strict=True))
    totals, running = {}, {}
    for row in site["capacity"]:
        totals[row["type"]] = totals.get(row["type"], 0) + row["count"] + row.get("spot", 0)
    for row in site.get("machines", ()):
        key = row["type"], row["spot"]
        running[key] = running.get(key, 0) + row["count"]
    return {
        **{name: value for name, value in site.items() if name != "day"},
        "name": f"larger-{len(names)}-{controllers}",
        "nodes": {**site["nodes"], "count": controllers, "zones": names, "restart_delay_s": back_s},
        "capacity": [
            {
                "type": kind,
                "zone": zone,
                "count": round(times * total * share * (1 - cheap)),
                "spot": round(times * total * share * cheap),
            }
            for kind, total in totals.items()
            for zone, share in zone_shares.items()
        ],
        "machines": [
            {"type": kind, "zone": zone, "spot": spot, "count": round(times * count * share)}
            for (kind, spot), count in running.items()
            for zone, share in zone_shares.items()
        ],
        "jobs": [
            {
                **job,
                "initial": round(times * job.get("initial", 0)),
                "arrivals": {**job["arrivals"], "rate": times * job["arrivals"]["rate"]},
            }
            for job in site["jobs"]
        ],
    }


def days(site):
    """Returns {day's name: its faults} for a site returned by `larger`."""
    machines = sum(row["count"] + row["spot"] for row in site["capacity"])
    zones, controllers = site["nodes"]["zones"], site["nodes"]["count"]
    first, last = site["jobs"][0]["name"], site["jobs"][-1]["name"]
    lease_s, cancel_s = site["workers"]["lease_s"], site["workers"]["cancel_s"]

    def crash(at_s, count=controllers):
        return {"at_s": at_s, "kind": "node_crash", "count": count, "busiest": True}

    def fault(at_s, kind, **more):
        return {"at_s": at_s, "kind": kind, **more}

    def cut(at_s, for_s, **more):
        return fault(at_s, "node_cut", count=1, busiest=True, for_s=for_s, mode="hold", **more)

    return {
        "all-fail": [
            fault(120.0, "machine_die", count=machines // 2),
            crash(120.4),
            crash(121.0),
            crash(123.0),
            fault(230.0, "machine_die", count=machines // 2),
            fault(230.5, "state_outage", for_s=20.0),
            crash(231.0),
            crash(251.0),
        ],
        "cheap-wave": [
            fault(60.0, "job_burst", **{"class": last}, factor=5.0, for_s=90.0),
            fault(120.0, "spot_taken", share=0.9, notice_s=0.0, over_s=5.0),
            crash(123.0, 1),
            crash(124.0, 1),
            fault(180.0, "machine_sick", count=machines // 10, for_s=120.0),
            fault(240.0, "spot_taken", share=0.5, notice_s=12.0, over_s=20.0),
        ],
        "zones": [
            fault(90.0, "zone_cut", zone=zones[0], for_s=cancel_s, mode="hold"),
            crash(96.0, 1),
            crash(97.0, 1),
            fault(170.0, "machine_hang", count=machines // 2, for_s=lease_s - 2.0),
            cut(175.0, cancel_s + lease_s, from_state=True, from_peers=True),
            fault(250.0, "zone_cut", zone=zones[-1], for_s=lease_s, mode="hold"),
        ],
        "restarts": [
            fault(50.0, "node_roll", every_s=8.0),
            fault(100.0, "late_writes", share=0.2, for_s=60.0),
            fault(100.0, "late_reports", share=0.3, for_s=60.0),
            crash(130.0),
            crash(130.7),
            crash(132.5),
            crash(138.0, 2),
            fault(150.0, "job_burst", **{"class": first}, factor=5.0, for_s=60.0),
            fault(200.0, "state_slow", factor=15.0, for_s=40.0),
            crash(215.0),
            crash(215.8),
        ],
    }


def written(value):
    """Returns a value as TOML."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{name} = {written(item)}" for name, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(map(written, value)) + "]"
    return f'"{value}"' if isinstance(value, str) else str(value)


def document(tables):
    """Returns a site as TOML: plain values, tables, and lists of tables."""
    lines = [
        f"{name} = {written(value)}"
        for name, value in tables.items()
        if not isinstance(value, dict) and not (isinstance(value, list) and value)
    ]
    for name, value in tables.items():
        if isinstance(value, dict):
            lines += ["", f"[{name}]", *(f"{key} = {written(item)}" for key, item in value.items())]
        elif isinstance(value, list):
            for row in value:
                lines += ["", f"[[{name}]]", *(f"{key} = {written(item)}" for key, item in row.items())]
    return "\n".join(lines) + "\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=Path)
    parser.add_argument("directory", type=Path)
    parser.add_argument("--times", type=float, default=1.5)
    parser.add_argument("--zones", type=int, default=3, choices=sorted(ZONE_SHARES))
    parser.add_argument("--controllers", type=int, default=5)
    parser.add_argument("--cheap", type=float, default=0.9)
    parser.add_argument("--back", type=float, default=0.1)
    args = parser.parse_args()
    site = larger(
        tomllib.loads(args.site.read_text()), args.times, args.zones, args.controllers, args.cheap, args.back
    )
    args.directory.mkdir(parents=True, exist_ok=True)
    (args.directory / "site.toml").write_text(document(site))
    shutil.copy(args.site.parent / site["wire"], args.directory / site["wire"])
    for name, faults in days(site).items():
        day = {"name": name, "slot": "scale", "light": True, "seed": 61}
        text = document(day) + "faults = [\n" + "".join(f"  {written(fault)},\n" for fault in faults) + "]\n"
        (args.directory / f"{name}.toml").write_text(text)


if __name__ == "__main__":
    main()
