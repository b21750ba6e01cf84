"""Profiles the CPU time of controllers in a simulated cluster of a given size.

    python3 tests/profile_size.py [--machines N] [--rate JOBS_A_SECOND] [--initial JOBS] [--until S]
                                  [--crash] [--seed N]

Plays three classes of jobs: many small tasks, fewer urgent ones, and some whose tasks take a whole machine.
Prints the controllers' share of a core by intervals of the scenario, event-loop callbacks that took long
("long turns"), and the most expensive functions. The figures are of emulators on this machine, so compare
them only with others of the same machine.
"""

import argparse
import collections
import cProfile
import math
import pstats
import random
import sys
import time

import conftest  # noqa: F401  sets up sys.path

from roadhead.local import sim, world

INTERVAL_S = 20
CLASSES = (  # share of jobs, median and p95 of tasks, of run time in seconds, CPUs, memory in GB, urgency
    (0.6, 80, 350, 18, 50, 1, 3.6, "standard"),
    (0.28, 35, 120, 25, 60, 1, 3.8, "high"),
    (0.12, 25, 80, 70, 150, 4, 15.0, "low"),
)


class MeasuredWorld(world.World):
    """A World that profiles the callbacks of its controllers."""

    def __init__(self, text):
        self.profile = cProfile.Profile()
        self.busy_s = collections.Counter()
        self.long_turns = collections.Counter()
        super().__init__(text)

    def host_loop(self, host):
        loop = super().host_loop(host)
        return MeasuredLoop(self, loop) if host.startswith("10.0.0.") else loop


class MeasuredLoop(sim.HostLoop):
    """A controller's event loop that times and profiles its callbacks."""

    def __init__(self, measured_world, loop):
        super().__init__(loop.sim, loop.rate, loop.offset)
        self._world = measured_world

    def _run_or_hold(self, fn, args):
        begun = time.perf_counter()
        self._world.profile.enable()
        try:
            super()._run_or_hold(fn, args)
        finally:
            self._world.profile.disable()
            busy_s = time.perf_counter() - begun
            self._world.busy_s[int(self.sim.time // INTERVAL_S)] += busy_s
            if busy_s > 0.05:
                self._world.long_turns[f"{busy_s:.2f} s"] += 1


def draw_log_normal(rng, median, p95):
    """Draws from the log-normal distribution with this median and 95th percentile."""
    return median * math.exp(rng.gauss(0, 1) * math.log(p95 / median) / 1.645)


def scenario(args):
    """Returns the scenario text for the command line's arguments."""
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
        _share, tasks, tasks_p95, run, run_p95, cpus, memory, urgency = CLASSES[number]
        run_s = draw_log_normal(rng, run, run_p95)
        lines.append(
            f"at {at:.2f} submit legs={max(1, int(draw_log_normal(rng, tasks, tasks_p95)))} runS={run_s:.1f} "
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
            round(played.busy_s[interval] / INTERVAL_S / controllers, 3)
            for interval in range(int(args.until // INTERVAL_S))
        ],
    )
    print("long turns:", dict(played.long_turns) or "none")
    pstats.Stats(played.profile, stream=sys.stdout).sort_stats("tottime").print_stats(30)


if __name__ == "__main__":
    main()
