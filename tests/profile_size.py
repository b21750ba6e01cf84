"""Where a controller's processor time goes at a given size, against the stand-ins.

    python3 tests/profile_size.py [--machines N] [--rate JOBS_A_SECOND] [--initial JOBS] [--until S]
                                  [--crash] [--seed N]

Three classes of jobs are played: many small tasks, fewer urgent ones, and some that take a
whole machine. Prints the controllers' share of a core by stretches of the day, long turns,
and the functions that cost most. Figures are of stand-ins on this machine: compare them
with others of the same machine only.
"""

import argparse
import collections
import cProfile
import math
import pstats
import random
import sys
import time

import conftest  # noqa: F401  finds the libraries

from roadhead.local import sim, world

STRETCH_S = 20
CLASSES = (  # share of jobs, median and 95th percentile of tasks and of run time, CPUs, memory, urgency
    (0.6, 80, 350, 18, 50, 1, 3.6, "standard"),
    (0.28, 35, 120, 25, 60, 1, 3.8, "high"),
    (0.12, 25, 80, 70, 150, 4, 15.0, "low"),
)


class MeasuredWorld(world.World):
    def __init__(self, text):
        self.profile = cProfile.Profile()
        self.spent = collections.Counter()
        self.long_turns = collections.Counter()
        super().__init__(text)

    def host_loop(self, host):
        loop = super().host_loop(host)
        return Measured(self, loop) if host.startswith("10.0.0.") else loop


class Measured(sim.HostLoop):
    """A controller's loop whose callbacks are timed."""

    def __init__(self, measured_world, loop):
        super().__init__(loop.sim, loop.rate, loop.offset)
        self._world = measured_world

    def _go(self, fn, args):
        begun = time.perf_counter()
        self._world.profile.enable()
        try:
            super()._go(fn, args)
        finally:
            self._world.profile.disable()
            spent = time.perf_counter() - begun
            self._world.spent[int(self.sim.time // STRETCH_S)] += spent
            if spent > 0.05:
                self._world.long_turns[f"{spent:.2f} s"] += 1


def drawn(rng, median, p95):
    return median * math.exp(rng.gauss(0, 1) * math.log(p95 / median) / 1.645)


def scenario(args):
    rng = random.Random(args.seed)
    lines = [
        f"seed {args.seed}",
        f"until {args.until}",
        f"capacity {max(1, args.machines // 2)}",
        "boot_s 20",
        "fetch_s 3",
    ]
    times = [0.5 + 3 * rng.random() for _ in range(args.initial)]
    at = 5.0
    while (at := at + rng.expovariate(args.rate)) < args.until:
        times.append(at)
    for at in sorted(times):
        number = rng.choices(range(len(CLASSES)), [entry[0] for entry in CLASSES])[0]
        _share, tasks, tasks95, run, run95, cpus, memory, urgency = CLASSES[number]
        run_s = drawn(rng, run, run95)
        lines.append(
            f"at {at:.2f} submit legs={max(1, int(drawn(rng, tasks, tasks95)))} runS={run_s:.1f} "
            f"expectS={run_s * rng.uniform(0.6, 1.5):.1f} vcpus={cpus} ramGb={memory} "
            f"kit={urgency}{int(rng.random() ** 2 * 15)} urgency={urgency}"
        )
    if args.crash:
        lines += [f"at {args.until / 2} crash 0", f"at {args.until * 0.7} crash 1"]
    return "\n".join(lines)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--machines", type=int, default=450)
    parser.add_argument("--rate", type=float, default=0.4)
    parser.add_argument("--initial", type=int, default=54)
    parser.add_argument("--until", type=float, default=100.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--crash", action="store_true")
    args = parser.parse_args()
    played = MeasuredWorld(scenario(args)).run()
    controllers = len(played.labels)
    print(
        f"{len(played.jobs)} jobs, {sum(job['legs'] for job in played.jobs.values())} tasks, "
        f"{len(played.completed)} completed, {len(played.cloud.rented)} machines, "
        f"rules broken: {played.violations or 'none'}"
    )
    print(
        "share of a core, a controller:",
        [
            round(played.spent[stretch] / STRETCH_S / controllers, 3)
            for stretch in range(int(args.until // STRETCH_S))
        ],
    )
    print("long turns:", dict(played.long_turns) or "none")
    pstats.Stats(played.profile, stream=sys.stdout).sort_stats("tottime").print_stats(30)


if __name__ == "__main__":
    main()
