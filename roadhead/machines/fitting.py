"""Whether and how often a task fits into free capacity: (cpus, gpus, memory)."""

from roadhead.wire.worker_limits import MAX_TASKS_PER_MACHINE

NO_RESOURCES = (0.0, 0.0, 0.0)
MAX_FITTING = 1 << 30  # tasks that fit where none of their amounts is a limit
ROUNDING_ERROR = 1e-6  # that amounts summed up in different orders may differ by


def fitting_count(required, available):
    """How many tasks with `required` resources fit in `available`; compares the amounts that both name.

    At most MAX_FITTING, also for amounts so small that the quotient is infinite: an error here ended all
    renting (docs/incidents/vanishing-amount.md).
    """
    count = MAX_FITTING
    for amount, free in zip(required, available, strict=False):
        if amount > 0:
            count = min(count, (free + ROUNDING_ERROR) / amount)
    return int(max(0.0, count))


def tasks_per_machine(required, capacity, slots=MAX_TASKS_PER_MACHINE):
    """How many tasks with `required` resources fit on a machine, by its free `capacity` and `slots`.

    `slots` is how many further tasks its report has room for; by default those of an empty machine.
    """
    if not fits(required, capacity):
        return 0
    return min(max(1, fitting_count(required, capacity)), max(0, slots))


def fits(required, available):
    """Whether a task with `required` (cpus, gpus, memory) fits in `available`."""
    return (
        required[0] <= available[0] + ROUNDING_ERROR
        and required[1] <= available[1] + ROUNDING_ERROR
        and required[2] <= available[2] + ROUNDING_ERROR
    )
