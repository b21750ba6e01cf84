"""Searches for broken rules by playing random scenarios ("days") with many faults in virtual time.

The days are of a hosted service, of pipelines (`--pipelines`), of two to four overlapping faults
(`--meetings`), of reports and answers to direct commands in any order (`--report-orders`), of answers to
reports that are held up while tasks fail and are forgotten (`--slow-answers`), or of copies of requests that
arrive after the request was carried out and answered: direct commands (`--late-copies`), or requests to the
services and by users (`--service-copies`).

    python3 tests/hunt.py [--pipelines | --meetings | --report-orders | --slow-answers | --late-copies
                           | --service-copies] [--days N] [--seed FIRST] [--jobs N]
                          [--show SEED | --explain SEED]
    python3 tests/hunt.py --first-meeting | --leader [--jobs N]

The last two play every order and spacing of the first fault combination, and of a leader that is cut off from
everything but its workers (docs/meetings.md), and print a table.

Prints the days on which a rule broke, a callback failed, or accepted work did not end. `--show` prints a
day's scenario, which can be added to tests/scenarios/; `--explain` prints the controllers' decisions on the
tasks and machines of the first broken rules of a day.
"""

import argparse
import multiprocessing

import conftest  # noqa: F401  sets up sys.path
from drawn_days import (
    random_combination_day,
    random_hosted_day,
    random_late_copy_day,
    random_pipeline_day,
    random_report_order_day,
    random_slow_answer_day,
)
from enumerated import (
    first_combinations,
    leader_cuts,
    run_first_combination,
    run_leader_cut,
    table_of_first,
    table_of_leaders,
)

from roadhead.local.world import World

__all__ = ("first_combinations", "leader_cuts", "run_first_combination", "run_leader_cut")


def run_hosted_day(seed):
    """Plays a day of a hosted service. Returns (seed, faults)."""
    world = World(random_hosted_day(seed)).run()
    return seed, world.check()


def run_combination_day(seed):
    return run_pipeline_day(seed, random_combination_day)


def run_report_order_day(seed):
    return run_pipeline_day(seed, random_report_order_day)


def run_slow_answer_day(seed):
    return run_pipeline_day(seed, random_slow_answer_day)


def run_late_copy_day(seed):
    return run_pipeline_day(seed, random_late_copy_day)


def random_service_copy_day(seed):
    """As `random_late_copy_day`, with copies of requests to the services and of users' requests."""
    return random_late_copy_day(seed, ("state", "cloud", "controllers"))


def run_service_copy_day(seed):
    return run_pipeline_day(seed, random_service_copy_day)


def run_pipeline_day(seed, draw=random_pipeline_day):
    """Plays a day of pipelines, or of `draw`. Returns (seed, faults).

    Every accepted job must end, and a job with a cancelled upstream job must not be done.
    """
    world = World(draw(seed)).run()
    faults = world.check() + [
        f"{job} is {user.last_state}"
        for job, user in world.users.items()
        if user.accepted and user.last_state not in ("done", "cancelled")
    ]
    for job, user in world.users.items():
        if user.last_state == "done" and world.upstream_cancelled_at(job):
            faults.append(f"{job} is done, and one that it needs cancelled")
    if world.state.oversized:
        faults.append(f"{world.state.oversized} writes were too large")
    return seed, faults


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--days", type=int, default=40)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--show", type=int)
    parser.add_argument("--explain", type=int)
    parser.add_argument("--pipelines", action="store_true")
    parser.add_argument("--meetings", action="store_true")
    parser.add_argument("--report-orders", action="store_true")
    parser.add_argument("--slow-answers", action="store_true")
    parser.add_argument("--late-copies", action="store_true")
    parser.add_argument("--service-copies", action="store_true")
    parser.add_argument("--first-meeting", action="store_true")
    parser.add_argument("--leader", action="store_true")
    args = parser.parse_args()
    if args.first_meeting:
        table_of_first(args.jobs)
        return
    if args.leader:
        table_of_leaders(args.jobs)
        return
    draw, play = random_hosted_day, run_hosted_day
    if args.meetings:
        draw, play = random_combination_day, run_combination_day
    elif args.pipelines:
        draw, play = random_pipeline_day, run_pipeline_day
    elif args.report_orders:
        draw, play = random_report_order_day, run_report_order_day
    elif args.slow_answers:
        draw, play = random_slow_answer_day, run_slow_answer_day
    elif args.late_copies:
        draw, play = random_late_copy_day, run_late_copy_day
    elif args.service_copies:
        draw, play = random_service_copy_day, run_service_copy_day
    if args.show is not None:
        print(draw(args.show))
        return
    if args.explain is not None:
        print(*World(draw(args.explain)).run().explanation_lines(), sep="\n")
        return
    broken = 0
    with multiprocessing.Pool(args.jobs) as pool:
        for seed, faults in pool.imap_unordered(play, range(args.seed, args.seed + args.days)):
            broken += bool(faults)
            if faults:
                print(f"day {seed}: {len(faults)} faults: {'; '.join(faults[:3])[:600]}", flush=True)
    print(f"{args.days} days, {broken} with faults")


if __name__ == "__main__":
    main()
