"""Plays quota leader changes while all teams are at their limits and cancelled jobs are on failed machines.

    python3 tests/limit_failovers.py [--family NAME] [--jobs N] [--every N] [--first N]

The machines are cut off, receive nothing ("deaf") or hang. Plays the fault combinations in virtual time (all,
or every Nth) of one family: teams with one quota partition, tenants, or teams with several partitions.
Prints, by course of the leader changes and fault of the machines, how many cases broke a rule, did not finish
their work, or left state behind in a controller.
"""

import argparse
import itertools
import multiprocessing

import conftest  # noqa: F401  sets up sys.path

from roadhead.local.world import World

LEASE_S, CANCEL_S = 12, 32
LEADER_END_AT = 30  # the quota leader crashes or is cut off
SCENARIO_END_S = 330  # end of the scenario
LIMIT = 8  # CPUs of each team

MACHINES = {  # faults of machines right before the cancellation
    "deaf": [f"deaf 0.7 {LEASE_S + 4}"],
    "cut": [f"cut {node} workers {LEASE_S - 1} hold" for node in range(3)],
    "cut long": [f"cut {node} workers {LEASE_S + 6} hold" for node in range(3)],
    "hung": [f"hang {number} {LEASE_S - 4}" for number in range(6)],
    "hung long": [f"hang {number} {LEASE_S + 8}" for number in range(6)],
    "hung very long": [f"hang {number} {CANCEL_S + 8}" for number in range(6)],
}
CANCELLED_AFTER_S = {"before": -2, "during": 3, "after": 9}  # the cancellation, relative to LEADER_END_AT
FAULT_SEQUENCES = {  # (seconds after LEADER_END_AT, scenario line); `leader`: the quota leader at that time
    "back at once": [(0, "crash leader 0.1")],
    "back soon": [(0, "crash leader 3")],
    "away for good": [(0, "crash leader 900")],
    "two end": [(0, "crash leader 60"), (9, "crash leader 60")],
    "back to the first": [(0, "crash leader 8"), (12, "crash leader 60"), (24, "crash leader 3")],
    "three at once": [(0, "crash leader 0.1"), (2, "crash leader 0.1"), (4, "crash leader 0.1")],
    "leaves": [(0, "leave leader 0.2"), (9, "leave leader 0.2")],
    "cut from state": [(0, "cut leader state 25 hold"), (12, "crash leader 3")],
    "cut from all": [(0, "cut leader state 25 hold"), (0, "cut leader peers 25 hold")],
    "cut from workers": [(0, "cut leader workers 14 hold"), (9, "crash leader 3")],
    "stalls": [(0, "stall leader 14"), (10, "crash leader 3")],
    "all away": [(0, f"crash {node} {LEASE_S + 3 + 3 * node}") for node in range(3)],
    "all away long": [(0, f"crash {node} {CANCEL_S + 4 + 4 * node}") for node in range(3)],
}
BACKGROUND_FAULTS = (
    [],
    [f"late-reports 0.5 {CANCEL_S}"],
    [f"late-commands 0.3 {CANCEL_S}"],
    ["late-writes 0.2 20"],
)


class LimitWorld(World):
    """A World whose scenario lines may name `leader`: the quota leader at that time."""

    def leader(self):
        terms = [node.member.term for node in self.nodes.values() if node.member.term is not None]
        newest = max(terms, key=lambda term: term.number, default=None)
        group = "crew" if self.tenancy is None else "1"  # the first team, or the first tenant
        leader = newest.quota_leader(group) if newest is not None else None
        return self.labels.index(leader) if leader is not None else 0

    def do(self, words):
        super().do([str(self.leader()) if word == "leader" else word for word in words])

    def left_behind(self):
        """Returns what state controllers still hold; none may be left once all jobs have ended."""
        found = []
        for label, node in self.nodes.items():
            job_store = node.job_store
            if job_store is None:
                continue
            kept = {
                "adopting": job_store._taking_over,
                "inherited": job_store.reconciliation.inherited,
                "left": job_store.quota.unread,
                "jobs": job_store.jobs,
                "perhaps started": job_store._perhaps_started,
            }
            found += [f"{name} of {label}" for name, what in kept.items() if what]
            found += [f"account {group} of {label}" for group in job_store.accounts.groups()]
        return found


def text_of(seed, teams, machines, cancelled, course):
    """Returns the scenario of one fault combination of the settings' teams."""
    owners = [f"crew={crew}" for crew in ("crew", "crew-2", "crew-3")[:teams]]
    names = [str(number + 1) for number in range(teams)]
    lines = [f"cpus_max {LIMIT}", f"teams {teams}"]
    lines += [f"at 1 {_job_at_limit(own)}" for own in owners]
    return "\n".join([*lines, *_common_lines(seed, owners, names, machines, cancelled, course)])


def hosted_text_of(seed, slots, machines, cancelled, course):
    """Returns the scenario of one with tenants, whose partitions live leaders also hand over."""
    tenants = ("north", "south", "east")
    lines = ["gateways 1", f"slots {slots}"]
    lines += [f"at {2 + at / 4} tenant {name} cpus={LIMIT}" for at, name in enumerate(tenants)]
    owners = [f"tenant={name} id=a" for name in tenants]
    names = [f"{name}:a1" for name in tenants]
    lines += [f"at 6 {_job_at_limit(own)}" for own in owners]
    return "\n".join([*lines, *_common_lines(seed, owners, names, machines, cancelled, course)])


def _job_at_limit(own):
    """Returns the line of a job that uses its team's whole limit."""
    return f"submit {own} legs={LIMIT} runS=90 expectS=90"


def _common_lines(seed, owners, names, machines, cancelled, course):
    """Returns the lines after those of the deployment. `names`: the jobs that are cancelled."""
    cancel_at = LEADER_END_AT + CANCELLED_AFTER_S[cancelled]
    lines = [f"seed {seed}", "boot_s 1", f"until {SCENARIO_END_S}"]
    lines += [f"at {at} submit {own} legs=4 runS=12" for at in (20, 33, 36, 39, 45, 51, 60) for own in owners]
    lines += [f"at {LEADER_END_AT + after} {what}" for after, what in FAULT_SEQUENCES[course]]
    lines += [f"at {cancel_at - 0.1} {what}" for what in MACHINES[machines]]
    via = seed % 4  # 0: any controller that is up, else a given one
    lines.append(f"at {cancel_at} cancel {','.join(names)}" + (f" {via - 1}" if via else ""))
    lines += [f"at {LEADER_END_AT} {what}" for what in BACKGROUND_FAULTS[seed // 4 % len(BACKGROUND_FAULTS)]]
    return [*lines, "expect rules"]


def combinations():
    """Yields ((teams, machines, cancelled, course), scenario text)."""
    cases = itertools.product((1, 2, 3), MACHINES, CANCELLED_AFTER_S, FAULT_SEQUENCES)
    for seed, which in enumerate(cases, 1):
        yield which, text_of(seed, *which)


def hosted_combinations():
    """Yields ((quota partitions, machines, cancelled, course), scenario text) with tenants."""
    cases = itertools.product((1, 3, 6), MACHINES, CANCELLED_AFTER_S, FAULT_SEQUENCES)
    for seed, which in enumerate(cases, 1):
        yield which, hosted_text_of(seed, *which)


def partitioned_combinations():
    """Yields ((quota partitions, machines, cancelled, course), scenario text) with the settings' teams."""
    cases = itertools.product((2, 6), MACHINES, CANCELLED_AFTER_S, FAULT_SEQUENCES)
    for seed, which in enumerate(cases, 1):
        partitions, *rest = which
        yield which, f"partitions {partitions}\n{text_of(seed, 3, *rest)}"


FAMILIES = {
    "teams": combinations,
    "tenants": hosted_combinations,
    "partitioned teams": partitioned_combinations,
}


def run_case(case):
    """Plays a case. Returns (its parameters, rules broken, jobs that did not end, state left behind)."""
    which, text = case
    world = LimitWorld(text).run()
    undone = [
        user.id
        for user in world.users.values()
        if user.accepted and user.last_state not in ("done", "cancelled")
    ]
    return which, world.check(), undone, world.left_behind()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--every", type=int, default=1)
    parser.add_argument("--first", type=int, default=0, help="leaves out so many before the first")
    parser.add_argument("--family", choices=FAMILIES, default="teams")
    args = parser.parse_args()
    rows = {}
    with multiprocessing.Pool(args.jobs) as pool:
        cases = list(FAMILIES[args.family]())[args.first :: args.every]
        for which, faults, undone, left in pool.imap_unordered(run_case, cases):
            row = rows.setdefault((which[3], which[1]), [0, 0, 0, 0])
            for column, value in enumerate((True, faults, undone, left)):
                row[column] += bool(value)
            if faults or undone or left:
                print(which, faults[:2], undone, left[:4], flush=True)
    print("course | machines | played | broken | jobs not ended | something left behind")
    for (course, machines), row in sorted(rows.items()):
        print(f"{course} | {machines} | {' | '.join(map(str, row))}")
    totals = [sum(column) for column in zip(*rows.values(), strict=True)]
    print(f"all | all | {' | '.join(map(str, totals))}")


if __name__ == "__main__":
    main()
