"""Hunts broken rules: days of virtual time drawn by chance, with everything failing, of a hosted service,
of pipelines, or of two to four troubles that meet.

    python3 tests/hunt.py [--pipelines | --meetings] [--days N] [--seed FIRST] [--jobs N] [--show SEED]
    python3 tests/hunt.py --first-meeting | --leader [--jobs N]

The last two play every order and spacing of the first meeting, and of a leader that is cut from all but its
workers (docs/meetings.md), and print a table.

Prints the days on which a rule broke, a callback failed, or work that was accepted did not end.
`--show` prints a day's scenario, to be put under tests/scenarios/ with what it found.
"""

import argparse
import itertools
import multiprocessing
import random

import conftest  # noqa: F401  finds the libraries

from roadhead.local.world import World

QUIET_S, ENDS_S = 170, 1800  # no more faults, and the day's end
TENANTS = ("north", "south", "east")


def drawn(seed):
    """The text of a day."""
    rng = random.Random(seed)
    lines = [
        f"seed {seed}",
        "gateways 2",
        f"slots {rng.choice((3, 6, 24))}",
        f"until {ENDS_S}",
        f"capacity {rng.choice((4, 8, 12))}",
        f"txn_ops {rng.choice((6, 16))}",
    ]
    for name in TENANTS:
        cpus = rng.choice((0, 6, 10))
        lines.append(
            f"at 2 tenant {name} team=crew:cpus={rng.choice((0, 2, 4))}:weight={rng.choice((1, 3))} "
            f"team=other:cpus_max={rng.choice((0, 3))}" + (f" cpus={cpus}" if cpus else "")
        )
    for number in range(rng.randrange(6, 14)):
        lines.append(
            f"at {rng.uniform(8, 150):.1f} submit tenant={rng.choice(TENANTS)} id=j{number}x "
            f"crew={rng.choice(('crew', 'crew', 'other'))} count={rng.randrange(1, 6)} "
            f"every={rng.choice((0.02, 1, 4))} legs={rng.randrange(1, 8)} vcpus={rng.choice((1, 1, 2))} "
            f"runS={rng.choice((2, 8, 20))} urgency={rng.choice(('high', 'standard', 'low'))} "
            f"musterS={rng.choice((0, 5))} stowS={rng.choice((0, 1))}"
        )
    for _ in range(rng.randrange(6, 14)):
        at, node = rng.uniform(6, QUIET_S), rng.randrange(3)
        length = rng.choice((3, 8, 14, 25))
        lines.append(
            f"at {at:.2f} "
            + rng.choice(
                (
                    f"crash {node} {length}",
                    f"cut {node} state {length} {rng.choice(('lose', 'hold'))}",
                    f"cut {node} workers {length} hold",
                    f"cut {node} {(node + 1) % 3} {length} hold",
                    f"stall {node} {length}",
                    f"outage {length}",
                    f"lose state {rng.randrange(1, 5)}",
                    f"lose-workers {rng.randrange(1, 3)}",
                    f"late-write {rng.choice((8, 40))}",
                    f"late-launch {length}",
                    f"die {rng.randrange(1, 3)}",
                    f"notice 1 {length}",
                    f"crash-gateway {rng.randrange(2)} {length}",
                    f"hang 0 {length}",
                )
            )
        )
    for name in TENANTS[1:]:
        at = rng.uniform(20, 110)
        if rng.random() < 0.6:
            lines.append(f"at {at:.2f} suspend {name} {rng.choice(('finish', 'stop'))}")
            lines.append(f"at {at + rng.uniform(5, 40):.2f} resume {name}")
        if rng.random() < 0.5:
            at = rng.uniform(30, 150)
            lines.append(f"at {at:.2f} limits {name} team=crew:cpus_max=3 team=other cpus=5")
    if rng.random() < 0.5:
        lines += [f"at {rng.uniform(150, 165):.2f} remove east", "expect gone east"]
    return "\n".join([*lines, "expect accepted_done north", "expect accepted_done south"])


def drawn_pipelines(seed):
    """The text of a day of jobs that need others, whose service lowers its limits on the way."""
    rng = random.Random(seed)
    lines = [
        f"seed {seed}",
        "until 700",
        f"capacity {rng.choice((3, 6, 10))}",
        "rps 150",
        "write_rps 20",
        "next_value_kb 2",
        "next_txn_ops 5",
        "next_write_rps 15",
        f"cpus_max {rng.choice((0, 0, 8))}",
    ]
    count, times = rng.randrange(10, 50), []
    for number in range(1, count + 1):
        times.append(max([rng.uniform(4, 120), *times[-1:]]) if number % 5 else (times or [4])[-1])
        most = min(number - 1, rng.choice((0, 1, 1, 2, 4, 12)))
        near = range(max(1, number - 20), number)
        named = sorted(rng.sample(near, min(most, len(near))))
        lines.append(
            f"at {times[-1] + number / 1000:.3f} submit legs={rng.randrange(1, 7)} "
            f"runS={rng.choice((2, 6, 15))} expectS=6 urgency={rng.choice(('high', 'standard', 'low'))} "
            f"musterS={rng.choice((0, 5))} stowS={rng.choice((0, 1))}"
            + (f" dueS={rng.choice((30, 90))}" if rng.random() < 0.3 else "")
            + (f" upstream={','.join(map(str, named))}" if named else "")
        )
    for _ in range(rng.randrange(0, 5)):
        number = rng.randrange(1, count + 1)
        lines.append(f"at {times[number - 1] + rng.choice((1, 1, 4, 20)):.2f} cancel {number}")
    for _ in range(rng.randrange(0, 3)):
        number = rng.randrange(1, count + 1)
        lines.append(f"at {times[number - 1] + rng.choice((9, 60, 200)):.2f} resubmit {number}")
    for _ in range(rng.randrange(4, 14)):
        at, node = rng.uniform(6, QUIET_S), rng.randrange(3)
        length = rng.choice((0.1, 0.4, 3, 8, 14, 25))
        lines.append(
            f"at {at:.2f} "
            + rng.choice(
                (
                    f"crash {node} {length}",
                    f"crash {node} 0.1",
                    f"cut {node} state {length} hold",
                    f"cut {node} workers {length} hold",
                    f"cut {node} {(node + 1) % 3} {length} lose",
                    f"stall {node} {length}",
                    f"outage {length}",
                    f"lose state {rng.randrange(1, 5)}",
                    f"late-write {rng.choice((8, 40))}",
                    f"late-launch {length}",
                    f"die {rng.randrange(1, 3)}",
                    f"leave {node} {length}",
                    f"hang 0 {length}",
                )
            )
        )
    lines.append(f"at {rng.uniform(10, 150):.1f} lower")
    return "\n".join(lines)


LEASE_S, CANCEL_S = 12, 32  # the emulators' (roadhead.local.scenario, DEFAULTS)
MEETINGS_END_S = 230


def drawn_meetings(seed):
    """The text of a day on which troubles overlap on purpose, with cancellations, polls and jobs that need
    others throughout; tasks short and several times `cancel_s` long."""
    rng = random.Random(seed)
    count = rng.choice((3, 3, 5))
    lines = [
        f"seed {seed}",
        f"controllers {count}",
        "until 800",
        f"settled {MEETINGS_END_S}",
        f"capacity {rng.choice((4, 6, 10))}",
        f"cpus_max {rng.choice((0, 0, 0, 8))}",
        "at 5 storm 3 330",
    ]
    jobs = rng.randrange(14, 30)
    times = sorted(rng.uniform(1, 170) for _ in range(jobs))
    for number, at in enumerate(times, 1):
        named = sorted(rng.sample(range(1, number), min(number - 1, rng.choice((0, 0, 0, 1, 2)))))
        lines.append(
            f"at {at:.2f} submit legs={rng.choice((1, 2, 3, 3, 6, 12))} "
            f"runS={rng.choice((3, 15, 40, 100, 160))} urgency={rng.choice(('high', 'standard', 'low'))} "
            f"musterS={rng.choice((0, 0, 10))} stowS={rng.choice((0, 2))}"
            + (f" upstream={','.join(map(str, named))}" if named else "")
        )
    spans = [quarter * bound / 4 for bound in (LEASE_S, CANCEL_S) for quarter in range(1, 6)]
    for begin in (rng.uniform(25, 50), rng.uniform(110, 135)):
        node = rng.randrange(count)
        other = (node + rng.randrange(1, count)) % count
        for _ in range(rng.randrange(2, 5)):
            at, length = begin + rng.choice(spans) / 2, rng.choice(spans)
            length = min(length, MEETINGS_END_S - 20 - at)
            lines += [
                f"at {at:.2f} {text}"
                for text in rng.choice(
                    (
                        [f"refuse {node} {length}"],
                        [f"refuse {node} {length}", f"cut {node} peers {length / 2}"],
                        [f"outage {length}"],
                        [f"outage {length}"],
                        [f"slow-state 3 {length}"],
                        [f"cut {node} {other} {length} {rng.choice(('lose', 'hold'))}"],
                        [f"cut {node} peers {length} {rng.choice(('lose', 'hold'))}"],
                        [f"cut {node} state {length} hold", f"cut {node} peers {length} hold"],
                        [f"cut {node} workers {length} hold"],
                        [f"cut {node} even-workers {length} hold"],
                        [f"crash {node} {rng.choice((0.1, 0.5, 3, length))}"],
                        [f"crash {number} {rng.choice((0.1, 3, length))}" for number in range(count)],
                        [f"leave {node} 0.2"],
                        [f"leave {node} 0.2", f"leave {other} 0.2"],
                        [f"stall {node} {length}"],
                        [f"late-writes {rng.choice((0.1, 0.5))} {length}"],
                        [f"late-reports 0.5 {length}"],
                        [f"deaf {rng.choice((0.3, 1))} {length}"],
                        [f"late-launch {length}"],
                        [f"hang 0 {length}"],
                        ["die 2"],
                    )
                )
            ]
        for _ in range(rng.randrange(2, 7)):
            number = rng.randrange(1, jobs + 1)
            at = max(times[number - 1] + 1, begin + rng.uniform(0, 20))
            lines.append(f"at {at:.2f} cancel {number}")
    return "\n".join(lines)


def first_meetings():
    """Yields ((link lost, for, confirmed, confirmer, outage) of the first meeting, its text): the service
    refuses one controller from second 40 on; seconds by which its links to the others are lost after that,
    and for how long; when another confirms; whether that one ends right then, and is back; when the
    service goes down for all."""
    quarter = LEASE_S / 4
    for lost in (-quarter, 0.3, quarter, LEASE_S):
        for length in (quarter, 2 * quarter, LEASE_S, CANCEL_S):
            for confirmed in (0.1, length / 2, length + 0.2):
                for back in (None, 0.1, LEASE_S / 4, CANCEL_S):
                    for down in (0.2, quarter, LEASE_S):
                        at = max(40.1, 40 + lost + confirmed)
                        lines = [
                            "at 1 submit count=6 legs=3 runS=160 expectS=160",
                            "at 40 refuse 0 150",
                            f"at {40 + lost} cut 0 1 {length}",
                            f"at {40 + lost} cut 0 2 {length}",
                            f"at {at} cancel 1,2,3,4 1",
                            f"at {at + down} outage {2.5 * CANCEL_S}",
                            "until 190",
                        ]
                        if back is not None:
                            lines.append(f"at {at + 0.15} crash 1 {back}")
                        yield (lost, length, confirmed, back, down), "\n".join(lines)


LEADER_CUT_AT = 40
LEADER_TROUBLES = {  # what happens besides, so many seconds after the cut
    "nothing": [],
    "cancelled": [(5, "cancel 1,2 1"), (LEASE_S, "cancel 3 0")],
    "heirs end": [(7, "crash 1 0.1"), (8, "crash 2 0.1"), (LEASE_S, "crash 1 0.1")],
    "an heir leaves": [(1, "leave 1 0.2"), (LEASE_S, "leave 2 0.2")],
    "it leaves": [(2, "leave 0 0.2")],
    "service down": [(LEASE_S / 2, "outage {cancel}"), (LEASE_S, "cancel 1 1")],
    "machines boot": [(LEASE_S + 2.2, "cloud-outage {lease}")],
    "it stalls": [(3, "stall 0 {lease}")],
    "deaf": [(2, "deaf 0.5 {cancel}")],
    "hung": [(3, "hang 0 9"), (3, "hang 1 {lease}"), (6, "hang 2 {lease}")],
    "late": [(0, "late-launch {lease}"), (0, "late-reports 0.5 60"), (2, "late-writes 0.3 20")],
    "relieved": [(-8, "cut 0 workers 7"), (-3, "crash 1 0.1")],
}


def leader_cuts():
    """Yields ((controllers, peers lost, for, ended first, trouble, tasks) of a cut, its text): a leader that
    owns most of the jobs loses the state service in second 40, and the other controllers so many seconds
    after; not its workers, users or the cloud."""
    cases = itertools.product(
        (3, 5),
        (-LEASE_S / 4, 0, LEASE_S / 6, LEASE_S),
        (LEASE_S / 3, 3 * LEASE_S / 4, CANCEL_S - LEASE_S, CANCEL_S + 4),
        ("both", "state", "peers"),
        LEADER_TROUBLES,
        (6, 2.5 * CANCEL_S),
    )
    for number, which in enumerate(cases, 1):
        yield which, leader_cut(number, *which)


def leader_cut(seed, count, lost, length, first, trouble, run_s):
    """The text of one."""
    mode = ("lose", "hold")[seed % 2]
    begins = LEADER_CUT_AT, LEADER_CUT_AT + lost
    ends = [LEADER_CUT_AT + length + LEASE_S / 2 * (first == other) for other in ("peers", "state")]
    ends[1] = max(ends[1], begins[1] + LEASE_S / 4)
    booting = trouble == "machines boot"
    lines = [
        f"controllers {count}",
        f"seed {seed}",
        f"boot_s {36 if booting else 5}",
        f"capacity {16 if booting else 6}",
        "until 900",
    ]
    lines += [f"at 0.1 crash {other} 8" for other in range(1, count)]
    lines += [
        f"at 1 submit count=4 legs={40 if run_s < CANCEL_S else 12} runS={run_s}",
        f"at 30 submit count=4 legs=12 runS={run_s}",
    ]
    lines += [
        f"at {begin} cut 0 {whom} {end - begin} {mode}"
        for whom, begin, end in zip(("state", "peers"), begins, ends, strict=True)
    ]
    lines += [
        f"at {LEADER_CUT_AT + after} {what.format(lease=LEASE_S, cancel=CANCEL_S)}"
        for after, what in LEADER_TROUBLES[trouble]
    ]
    return "\n".join(lines)


def played_leader(case):
    """(the case, rules broken, jobs not ended, tasks killed, tasks given back)."""
    which, text = case
    world = World(text).run()
    open_jobs = sum(user.accepted and user.told not in ("done", "cancelled") for user in world.users.values())
    return which, world.check(), open_jobs, world.killed, world.given_back


def table_of_leaders(jobs):
    """Plays all of them, and prints by trouble and tasks what came of it."""
    rows = {}
    with multiprocessing.Pool(jobs) as pool:
        for which, faults, unended, killed, given_back in pool.imap_unordered(played_leader, leader_cuts()):
            row = rows.setdefault(which[4:], [0, 0, 0, 0, 0])
            for place, value in enumerate((1, bool(faults), bool(unended), killed, given_back)):
                row[place] += value
            if faults or unended:
                print(which, unended, faults[:2], flush=True)
    print("trouble | tasks, s | played | broken | jobs not ended | killed | given back")
    for (trouble, run_s), (count, broken, unended, killed, given_back) in sorted(rows.items()):
        print(f"{trouble:14} | {run_s:8} | {count:6} | {broken:6} | {unended:14} | {killed:6} | {given_back}")


def played_first(case):
    """(the case, rules broken, seconds for which a cancelled task was there, tasks killed)."""
    which, text = case
    world = World(text).run()
    return which, len(world.broken), world.longest_gone, world.killed


def table_of_first(jobs):
    """Plays all of them, and prints by confirmer and outage what came of it."""
    rows = {}
    with multiprocessing.Pool(jobs) as pool:
        for which, broken, gone, killed in pool.imap_unordered(played_first, first_meetings()):
            row = rows.setdefault((str(which[3]), which[4]), [0, 0, 0.0, 0])
            row[0] += 1
            row[1] += bool(broken)
            row[2] = max(row[2], gone)
            row[3] += killed
    print("confirmer back after | service down after | played | broken | longest gone, of cancel_s | killed")
    for (back, down), (count, broken, gone, killed) in sorted(rows.items()):
        print(f"{back:>20} | {down:18} | {count:6} | {broken:6} | {gone / CANCEL_S:26.2f} | {killed}")


def played(seed):
    """(seed, faults) of a day."""
    world = World(drawn(seed)).run()
    return seed, world.check()


def played_meetings(seed):
    return played_pipelines(seed, drawn_meetings)


def played_pipelines(seed, draw=drawn_pipelines):
    """(seed, faults) of a day: whatever was accepted ends, as cancelled only with one of its ancestors."""
    world = World(draw(seed)).run()
    faults = world.check() + [
        f"{job} is {user.told}"
        for job, user in world.users.items()
        if user.accepted and user.told not in ("done", "cancelled")
    ]
    for job, user in world.users.items():
        if user.told == "done" and world.cancelled_above(job):
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
    parser.add_argument("--pipelines", action="store_true")
    parser.add_argument("--meetings", action="store_true")
    parser.add_argument("--first-meeting", action="store_true")
    parser.add_argument("--leader", action="store_true")
    args = parser.parse_args()
    if args.first_meeting:
        table_of_first(args.jobs)
        return
    if args.leader:
        table_of_leaders(args.jobs)
        return
    draw, play = (
        (drawn_meetings, played_meetings)
        if args.meetings
        else (drawn_pipelines, played_pipelines)
        if args.pipelines
        else (drawn, played)
    )
    if args.show is not None:
        print(draw(args.show))
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
