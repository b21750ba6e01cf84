"""Plays all orders and spacings of two fault combinations (docs/meetings.md) and tabulates the results."""

import itertools
import multiprocessing

from drawn_days import CANCEL_S, LEASE_S

from roadhead.local.world import World


def first_combinations():
    """Yields ((link lost, for, confirmed, back, outage), scenario text) of the first fault combination.

    The state service refuses one controller from second 40 on. The parameters, all in seconds: when after
    that its links to the others are lost, and for how long; when another controller confirms a
    cancellation; after how long that one is back if it ends right then (None: it does not end); and when
    the state service goes down for all.
    """
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
LEADER_FAULTS = {  # name -> (seconds after the cut, scenario line) of additional faults
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
    """Yields ((controllers, peers lost, for, ended first, fault, run time), scenario text) of a leader's cut.

    A leader that owns most of the jobs loses the state service in second 40, and the other controllers
    some seconds after that. It keeps its workers, its users and the cloud.
    """
    cases = itertools.product(
        (3, 5),
        (-LEASE_S / 4, 0, LEASE_S / 6, LEASE_S),
        (LEASE_S / 3, 3 * LEASE_S / 4, CANCEL_S - LEASE_S, CANCEL_S + 4),
        ("both", "state", "peers"),
        LEADER_FAULTS,
        (6, 2.5 * CANCEL_S),
    )
    for number, parameters in enumerate(cases, 1):
        yield parameters, leader_cut(number, *parameters)


def leader_cut(seed, count, lost, length, first, trouble, run_s):
    """Returns the scenario text of one cut."""
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
        f"at {begin} cut 0 {side} {end - begin} {mode}"
        for side, begin, end in zip(("state", "peers"), begins, ends, strict=True)
    ]
    lines += [
        f"at {LEADER_CUT_AT + after} {what.format(lease=LEASE_S, cancel=CANCEL_S)}"
        for after, what in LEADER_FAULTS[trouble]
    ]
    return "\n".join(lines)


def run_leader_cut(case):
    """Plays a case: (its parameters, rules broken, jobs not ended, tasks killed, tasks given back)."""
    parameters, text = case
    world = World(text).run()
    open_jobs = sum(
        user.accepted and user.last_state not in ("done", "cancelled") for user in world.users.values()
    )
    return parameters, world.check(), open_jobs, world.killed, world.given_back


def table_of_leaders(jobs):
    """Plays all cuts of a leader and prints the results by fault and run time."""
    rows = {}
    with multiprocessing.Pool(jobs) as pool:
        for parameters, faults, unended, killed, given_back in pool.imap_unordered(
            run_leader_cut, leader_cuts()
        ):
            row = rows.setdefault(parameters[4:], [0, 0, 0, 0, 0])
            for column, value in enumerate((1, bool(faults), bool(unended), killed, given_back)):
                row[column] += value
            if faults or unended:
                print(parameters, unended, faults[:2], flush=True)
    print("trouble | tasks, s | played | broken | jobs not ended | killed | given back")
    for (trouble, run_s), (count, broken, unended, killed, given_back) in sorted(rows.items()):
        print(f"{trouble:14} | {run_s:8} | {count:6} | {broken:6} | {unended:14} | {killed:6} | {given_back}")


def run_first_combination(case):
    """Plays a case: (its parameters, rules broken, longest run after a cancellation, tasks killed)."""
    parameters, text = case
    world = World(text).run()
    return parameters, len(world.violations), world.longest_gone, world.killed


def table_of_first(jobs):
    """Plays all cases of the first fault combination and prints the results by confirmer and outage."""
    rows = {}
    with multiprocessing.Pool(jobs) as pool:
        for parameters, broken, gone, killed in pool.imap_unordered(
            run_first_combination, first_combinations()
        ):
            row = rows.setdefault((str(parameters[3]), parameters[4]), [0, 0, 0.0, 0])
            row[0] += 1
            row[1] += bool(broken)
            row[2] = max(row[2], gone)
            row[3] += killed
    print("confirmer back after | service down after | played | broken | longest gone, of cancel_s | killed")
    for (back, down), (count, broken, gone, killed) in sorted(rows.items()):
        print(f"{back:>20} | {down:18} | {count:6} | {broken:6} | {gone / CANCEL_S:26.2f} | {killed}")
