"""Generates random days of overlapping faults for fleetbench from a site file.

    python3 tests/drawn_site_days.py SITE DIRECTORY [--seed FIRST] [--days N]

Writes DIRECTORY/drawn-SEED.toml for each seed. Twice, a quarter of the machines hangs for a little longer
than its lease while controllers fail. When those leases have ended most tasks are started, and during that
time small groups of machines hang, one group per second.
`fleetbench run SITE DIRECTORY/drawn-SEED.toml` plays one. DIRECTORY should lie outside the repository.
"""

import argparse
import random
import tomllib
from pathlib import Path

from fault_combination_days import fault
from larger_site import document, written

WAVE_DIVISOR, GROUP_DIVISOR = 4, 40  # one machine in 4 hangs in a wave, one in 40 in a group
HANG_RANGE = (1.1, 1.6)  # range of hang durations, in leases
WAVES_AT_S = (60.0, 105.0)  # the controllers' faults begin in the lease after these
GROUPS_S = 14  # seconds during which groups hang, from the end of the wave's leases


class FaultGenerator:
    """Generates the faults of one day. `site`: the tables of a site file. Times are in seconds of the day."""

    def __init__(self, site, seed):
        self._random = random.Random(seed)
        self._zones = site["nodes"]["zones"]
        self._controllers = site["nodes"]["count"]
        self._machines = sum(row["count"] + row.get("spot", 0) for row in site["capacity"])
        self._lease_s = site["workers"]["lease_s"]

    def faults(self):
        """Returns the day's faults, ordered by time."""
        faults = [*self._hangs()]
        for begin in WAVES_AT_S:
            for _ in range(2):
                faults += self._outer_fault(begin + self._random.uniform(0.0, self._lease_s))
                faults += self._inner_fault(begin + self._random.uniform(0.0, self._lease_s))
        return sorted(faults, key=lambda row: row["at_s"])

    def _duration_s(self):
        return round(self._lease_s * self._random.uniform(0.3, 1.6), 2)

    def _hangs(self):
        for wave in WAVES_AT_S:
            yield self._hang(wave, WAVE_DIVISOR)
            for second in range(1, GROUPS_S):
                yield self._hang(wave + self._lease_s + second, GROUP_DIVISOR)

    def _hang(self, at, divisor):
        for_s = round(self._lease_s * self._random.uniform(*HANG_RANGE), 2)
        return fault(round(at, 2), "machine_hang", count=self._machines // divisor, for_s=for_s)

    def _outer_fault(self, at):
        rng = self._random
        crash = {"kind": "node_crash", "busiest": True}
        cut = {"kind": "node_cut", "busiest": True, "for_s": self._duration_s(), "mode": "hold"}
        count = rng.choice((1, 1, 2, self._controllers))
        kinds = (
            [{**crash, "count": count}],
            [{**crash, "count": 1}, {**crash, "count": count, "after": rng.choice((0.1, 0.4, 1.0))}],
            [{**cut, "count": 1, "from_state": True, "from_peers": rng.choice((True, False))}],
            [{**cut, "count": 1, "from_workers": True}],
            [{"kind": "state_outage", "for_s": self._duration_s()}],
            [{"kind": "node_freeze", "count": 1, "busiest": True, "for_s": self._duration_s()}],
            [{"kind": "node_roll", "every_s": 4.0}],
            [
                {
                    "kind": "zone_cut",
                    "zone": rng.choice(self._zones),
                    "for_s": self._duration_s(),
                    "mode": "hold",
                }
            ],
        )
        return [fault(round(at + row.pop("after", 0.0), 2), **row) for row in rng.choice(kinds)]

    def _inner_fault(self, at):
        rng = self._random
        kinds = (
            {"kind": "machine_deaf", "share": 0.2, "for_s": self._duration_s()},
            {"kind": "machine_mute", "share": 0.2, "for_s": self._duration_s()},
            {"kind": "late_commands", "share": rng.choice((0.2, 0.6)), "for_s": 2 * self._duration_s()},
            {"kind": "late_writes", "share": 0.2, "for_s": self._duration_s()},
            {"kind": "late_reports", "share": 0.2, "for_s": self._duration_s()},
            {"kind": "state_slow", "factor": 15.0, "for_s": self._duration_s()},
        )
        return [fault(round(at, 2), **rng.choice(kinds))]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=Path)
    parser.add_argument("directory", type=Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--days", type=int, default=1)
    args = parser.parse_args()
    site = tomllib.loads(args.site.read_text())
    args.directory.mkdir(parents=True, exist_ok=True)
    for seed in range(args.seed, args.seed + args.days):
        name = f"drawn-{seed}"
        day = document({"name": name, "slot": "scale", "light": True, "seed": seed})
        rows = "".join(f"  {written(row)},\n" for row in FaultGenerator(site, seed).faults())
        (args.directory / f"{name}.toml").write_text(f"{day}faults = [\n{rows}]\n")


if __name__ == "__main__":
    main()
