"""Generates random scenarios: hosted services, pipelines, fault combinations, reordered and slow messages."""

import random

QUIET_S, ENDS_S = 170, 1800  # time after which no fault begins, and the scenario's end
TENANTS = ("north", "south", "east")


def random_hosted_day(seed):
    """Returns a scenario of a hosted service with three tenants."""
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


def random_pipeline_day(seed):
    """Returns a scenario of jobs with upstream jobs, during which the state service lowers its limits."""
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
        upstream = sorted(rng.sample(near, min(most, len(near))))
        lines.append(
            f"at {times[-1] + number / 1000:.3f} submit legs={rng.randrange(1, 7)} "
            f"runS={rng.choice((2, 6, 15))} expectS=6 urgency={rng.choice(('high', 'standard', 'low'))} "
            f"musterS={rng.choice((0, 5))} stowS={rng.choice((0, 1))}"
            + (f" dueS={rng.choice((30, 90))}" if rng.random() < 0.3 else "")
            + (f" upstream={','.join(map(str, upstream))}" if upstream else "")
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


LEASE_S, CANCEL_S = 12, 32  # defaults of the emulators (roadhead.local.scenario, DEFAULTS)
MEETINGS_END_S = 230
SPANS_S = [quarter * bound / 4 for bound in (LEASE_S, CANCEL_S) for quarter in range(1, 6)]


class RandomFault:
    """Time, duration and affected controllers of a random fault."""

    def __init__(self, rng, at, length, count):
        self.rng = rng
        self.count = count
        self.at = at
        self.length = min(length, MEETINGS_END_S - 20 - at)
        self.node = rng.randrange(count)
        self.other = (self.node + rng.randrange(1, count)) % count


def outer_faults(drawn_fault):
    """Returns the choices of faults of controllers, services and links: the scenario lines of each."""
    rng, node, other, length = drawn_fault.rng, drawn_fault.node, drawn_fault.other, drawn_fault.length
    everybody = range(drawn_fault.count)
    return (
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
        [f"cut north {whom} {length} hold" for whom in ("south", "state", "cloud", "users")],
        [f"crash {node} {rng.choice((0.1, 0.5, 3, length))}"],
        [f"crash {number} {rng.choice((0.1, 3, length))}" for number in everybody],
        [f"leave {number} 0.2" for number in everybody],
        [f"leave {node} 0.2", f"leave {other} 0.2"],
        [f"stall {node} {length}"],
    )


def inner_faults(drawn_fault):
    """Returns the choices of faults of messages, machines and users: the scenario lines of each."""
    rng, length = drawn_fault.rng, drawn_fault.length
    return (
        [f"late-writes {rng.choice((0.1, 0.5))} {length}"],
        [f"lose-writes {rng.choice((0.2, 0.6))} {length}"],
        [f"late-reports 0.5 {length}"],
        [f"late-reports 0.5 {length} next"],
        [f"late-commands {rng.choice((0.3, 0.8))} {length}"],
        [f"late-launch {length}"],
        [f"deaf {rng.choice((0.3, 1))} {length}"],
        [f"mute {rng.choice((0.3, 1))} {length}"],
        [f"hang 0 {length}"],
        ["die 2"],
        [f"cancel-now {rng.choice((3, 8))} {rng.choice((0, 5, length))}"],
        [f"cancel-at-end {rng.choice((0.3, 1))} {length}"],
        [f"odd-requests {length}"],
        [f"close-looks {length}"],
        [f"quick-boots {length}", "submit count=6 legs=4 runS=20"],
        ["submit count=24 legs=1 runS=15", f"cancel-at-end 0.25 {length}"],
    )


def combination_lines(rng, begin, count):
    """Returns lines of two to four faults: inner ones last a lease or more, outer ones begin during them."""
    long_spans = [span for span in SPANS_S if span >= LEASE_S]
    drawn_faults = [
        (inner_faults, RandomFault(rng, begin + rng.uniform(0, 3), rng.choice(long_spans), count))
        for _ in range(rng.choice((1, 2)))
    ] + [
        (outer_faults, RandomFault(rng, begin + rng.uniform(0, LEASE_S), rng.choice(SPANS_S), count))
        for _ in range(rng.choice((1, 2)))
    ]
    return [
        f"at {drawn_fault.at:.2f} {text}"
        for faults, drawn_fault in drawn_faults
        for text in rng.choice(faults(drawn_fault))
    ]


def random_combination_day(seed):
    """Returns a scenario of overlapping faults with cancellations and upstream jobs throughout.

    Tasks are short, or several times `cancel_s` long.
    """
    rng = random.Random(seed)
    count = rng.choice((3, 3, 5))
    capacity, most = rng.choice((4, 6, 10)), rng.choice((0, 0, 0, 8))
    lines = [
        f"seed {seed}",
        f"controllers {count}",
        f"until {1800 if most else 800}",  # with the CPU limit the work takes longer
        f"settled {MEETINGS_END_S}",
        f"capacity {capacity}",
        f"cpus_max {most}",
        "at 5 storm 3 330",
    ]
    jobs = rng.randrange(14, 30)
    times = sorted(rng.uniform(1, 170) for _ in range(jobs))
    fault_starts = rng.uniform(25, 50), rng.uniform(110, 135)
    # Jobs submitted before the first faults: jobs that a fault submits shift the numbers of later ones.
    unshifted_jobs = sum(at < fault_starts[0] for at in times)
    for number, at in enumerate(times, 1):
        most = min(number - 1, unshifted_jobs)
        upstream = sorted(rng.sample(range(1, most + 1), min(most, rng.choice((0, 0, 0, 1, 2)))))
        lines.append(
            f"at {at:.2f} submit legs={rng.choice((1, 2, 3, 3, 6, 12))} "
            f"runS={rng.choice((3, 15, 40, 100, 160))} urgency={rng.choice(('high', 'standard', 'low'))} "
            f"musterS={rng.choice((0, 0, 10))} stowS={rng.choice((0, 2))}"
            + rng.choice(("", "", "", "", " paddock=north", " loaners=False"))
            + (f" upstream={','.join(map(str, upstream))}" if upstream else "")
        )
    for begin in fault_starts:
        lines += combination_lines(rng, begin, count)
        for _ in range(rng.randrange(2, 7)):
            number = rng.randrange(1, jobs + 1)
            at = max(times[number - 1] + 1, begin + rng.uniform(0, 20))
            lines.append(f"at {at:.2f} cancel {number}")
    return "\n".join(lines)


RECOVERY_S = 40  # the first jobs have ended: machines are free and not yet returned


def random_report_order_day(seed):
    """Returns a scenario in which reports and answers to direct commands arrive in any order.

    Work starts meanwhile; then machines hang or are cut off while controllers end and return.
    """
    rng = random.Random(seed)
    count = rng.choice((3, 3, 5))
    machines = rng.choice((24, 32, 48))
    lines = [
        f"seed {seed}",
        f"controllers {count}",
        f"capacity {machines}",
        "boot_s 15",
        "fetch_s 0.1",
        "write_rps 200",
        f"turn_s {rng.choice((0, 0, 0.02, 0.1))}",
        "until 330",
        f"at 1 submit count=4 legs={machines * 3 // 4} runS={RECOVERY_S - 6} expectS={RECOVERY_S - 6}",
        f"at {RECOVERY_S} slow-reports {rng.choice((0.3, 0.5, 0.7))} {rng.choice((40, 90))}",
    ]
    lines += [
        f"at {at} submit count={rng.choice((1, 2, 3))} legs={rng.choice((1, 2))} runS=90 expectS=90"
        for at in range(RECOVERY_S, RECOVERY_S + 40)
    ]
    for begin in (RECOVERY_S + 15, RECOVERY_S + 32):
        lines += _machine_fault_lines(rng, begin + rng.uniform(0, 8))
        if rng.random() < 0.5:
            at, node = begin + rng.uniform(-4, 12), rng.randrange(count)
            fault = rng.choice(
                (
                    f"crash {node} {rng.choice((0.1, 3))}",
                    f"leave {node} 0.2",
                    f"stall {node} {rng.choice((4, 14))}",
                    f"late-commands {rng.choice((0.2, 0.5))} 20",
                    f"late-reports 0.3 {rng.choice((20, 40))}",
                    f"cut {node} state 14 hold",
                )
            )
            lines.append(f"at {at:.2f} {fault}")
    return "\n".join(lines)


def random_slow_answer_day(seed):
    """Returns a scenario in which answers to reports and direct commands are held up, and tasks fail at once.

    Jobs are cancelled every second, so that direct commands are on their way all the time; a controller may
    fail meanwhile.
    """
    rng = random.Random(seed)
    singles = rng.choice((16, 24))
    legs = rng.choice((4, 6))
    lines = [
        f"seed {seed}",
        f"capacity {rng.choice((8, 12))}",
        "boot_s 3",
        "fetch_s 0.02",
        "fail_s 0.01",
        "until 400",
        f"at 1 submit count={singles} legs=1 runS=90 expectS=90",
        f"at 20 slow-answers {rng.choice((0.5, 0.8))} 60",
        f"at 20 slow-commands {rng.choice((0.5, 0.8))} 60",
    ]
    for number in range(10):
        at = 22 + 2.5 * number
        lines.append(f"at {at} submit count=1 legs={legs} runS=12 expectS=12")
        if number % 3 == 0:
            lines.append(f"at {at} sick 1")
    cancelled = rng.sample(range(1, singles + 1), 16)
    lines += [f"at {22 + 1.2 * number:.1f} cancel {job}" for number, job in enumerate(cancelled)]
    if rng.random() < 0.5:
        node = rng.randrange(3)
        fault = rng.choice(
            (f"crash {node} 0.1", f"leave {node} 0.2", f"stall {node} 4", "slow-reports 0.5 20")
        )
        lines.append(f"at {rng.uniform(22, 45):.2f} {fault}")
    return "\n".join(lines)


def _machine_fault_lines(rng, at):
    """Returns lines that make machines hang, or cut them off from all controllers."""
    length = rng.choice((14, 20, 30))
    if rng.random() < 0.5:
        return [f"at {at:.2f} cut peers {rng.choice(('even', 'odd'))}-workers {length} hold"]
    places = rng.sample(range(12), 6)
    return [f"at {at + rng.uniform(0, 3):.2f} hang {place} {length}" for place in places]


def random_late_copy_day(seed, receivers=("workers",)):
    """Returns a scenario in which copies of requests arrive after the requests were carried out and answered.

    Meanwhile tasks are short or fail, jobs are cancelled, and controllers end and are back at once.
    `receivers`: whose requests are copied, as in the verb `late-copies`.
    """
    rng = random.Random(seed)
    capacity = rng.choice((4, 6, 8))
    lines = [
        f"seed {seed}",
        f"capacity {capacity}",
        "boot_s 3",
        "fetch_s 0.05",
        f"fail_s {rng.choice((0.01, 0.5))}",
        "until 400",
        f"at 1 submit count={2 * capacity} legs=1 runS=60 expectS=60 musterS=10 stowS=1 urgency=low",
    ]
    lines += [f"at 15 late-copies {receiver} 0.6 90" for receiver in receivers]
    jobs = 2 * capacity
    for number in range(24):
        at, count = 16 + 2.5 * number, rng.choice((1, 2))
        jobs += count
        lines.append(
            f"at {at} submit count={count} legs={rng.choice((1, 2, 4))} "
            f"runS={rng.choice((1, 3, 20))} expectS=3 urgency={rng.choice(('high', 'standard'))}"
        )
        if number % 6 == 2:
            lines.append(f"at {at} sick {rng.choice((1, 2))}")
        if rng.random() < 0.4:
            lines.append(f"at {at + rng.uniform(0.2, 9):.2f} cancel {rng.randrange(1, jobs + 1)}")
    for _ in range(rng.randrange(1, 4)):
        at, node, back_after = rng.uniform(20, 90), rng.randrange(3), rng.choice((0.1, 3))
        lines.append(
            f"at {at:.2f} "
            + rng.choice(
                (
                    f"crash {node} {back_after}",
                    f"crash {node} {back_after}",
                    f"leave {node} 0.2",
                    f"outage {rng.choice((3, 14, 40))}",
                    f"hang 0 {rng.choice((5, 14))}",
                    f"cut {node} workers 8 hold",
                    f"slow-answers 0.5 {rng.choice((10, 40))}",
                    f"slow-commands 0.5 {rng.choice((10, 40))}",
                    f"late-reports 0.3 {rng.choice((10, 40))}",
                )
            )
        )
    if rng.random() < 0.3:
        at = rng.uniform(40, 80)
        lines += [f"at {at:.2f} crash {number} {rng.choice((0.1, 0.1, 3))}" for number in range(3)]
    return "\n".join(lines)
