"""Fault combinations in virtual time: samples of all orders, and mutation tests of the guards they cover."""

import itertools

import fault_combinations
import pytest
import test_safety

from roadhead.dispatch import dispatcher
from roadhead.jobs.job_store import JobStore
from roadhead.local.world import World
from roadhead.machines import placement_rules
from roadhead.machines.report_processor import ReportProcessor
from roadhead.machines.task import LAUNCHING, Task
from roadhead.machines.task_commands import TaskCommands

MAX_CASES = 40  # cases played before a mutation counts as undetected
SAMPLES_PER_COMBINATION = 4  # `tests/fault_combinations.py` plays all cases of each combination


def sample(generate):
    """Returns a few orders and spacings, spread evenly over all of them."""
    cases = list(generate())
    return cases[1 :: len(cases) // SAMPLES_PER_COMBINATION][:SAMPLES_PER_COMBINATION]


@pytest.mark.parametrize(
    "combination",
    itertools.chain.from_iterable(sample(generate) for generate in fault_combinations.GENERATORS),
    ids=lambda combination: f"{combination.name} {combination.parameters}",
)
def test_no_rule_breaks_and_every_job_ends(combination):
    outcome = fault_combinations.run_case(combination)
    assert (outcome.faults, outcome.open_jobs) == ([], 0)


SLOW_LINK_S = 0.25  # one way; it is usually about 1 ms
OVERLOADED_CLUSTER = """
capacity 3
until 260
settled 60
at 1 submit count=10 legs=10 runS=12 expectS=12 urgency=low
at 10 submit count=6 legs=6 runS=6 expectS=6 urgency=high
at 20 submit count=6 legs=6 runS=6 expectS=6 urgency=critical
at 30 crash 0 3
at 50 submit count=4 legs=6 runS=6 expectS=6 urgency=critical
expect told done all
expect no_rooms
"""


def run_over_slow_links(seed):
    """Runs a world with more tasks, of all urgencies, than capacity, and with a latency of SLOW_LINK_S."""
    world = World(f"{OVERLOADED_CLUSTER}\nseed {seed}\n")
    world.network.latency = SLOW_LINK_S
    return world.run()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_overloaded_cluster_over_slow_links(seed):
    """All jobs finish, no machine is overcommitted, and critical jobs end before those of low urgency."""
    world = run_over_slow_links(seed)
    assert world.check() == []
    done_at = {job: user.state_changed_at for job, user in world.users.items()}
    low, critical = list(done_at.values())[:10], list(done_at.values())[16:22]
    assert max(critical) < max(low)


def test_starts_without_a_grant_over_slow_links_are_detected():
    """A shard leader that starts every requested task without checking the grant overcommits machines."""

    def start(self, label, incarnation, frame, machine, requirements, index, attempt):
        key = (frame.job, index, attempt)
        if machine is None or key in machine.tasks:
            return False
        task = Task(*key, LAUNCHING, (label, incarnation))
        task.requirements = requirements
        machine.add_task(task)
        return True

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(TaskCommands, "_start", start)
        worlds = map(run_over_slow_links, range(1, 11))
        assert any("found no room" in fault for world in worlds for fault in world.check())


def start_before_record_is_written(patch):
    """Tasks of a job start before the job's record is written."""
    real_create, real_created = JobStore.create, JobStore._on_created

    def on_created(self, job):
        if job.id not in self.jobs:
            real_created(self, job)

    def create(self, spec):
        pending = real_create(self, spec)
        if spec.id in self._being_created:
            self._on_created(self._being_created[spec.id])
        return pending

    patch.setattr(JobStore, "_on_created", on_created)
    patch.setattr(JobStore, "create", create)


def accept_older_reports(patch):
    """A report is processed although a newer one of the same machine was received."""
    real = ReportProcessor.observe

    def observe(self, machine, report):
        machine.session, machine.sequence = min(machine.session, report.session), -1
        return real(self, machine, report)

    patch.setattr(ReportProcessor, "observe", observe)


def accept_reports_under_any_token(patch):
    """A report under an older fencing token counts as a complete list of the machine's tasks."""
    real = ReportProcessor.observe

    def observe(self, machine, report):
        report.token = machine.token
        return real(self, machine, report)

    patch.setattr(ReportProcessor, "observe", observe)


def place_by_zones_of_running_tasks_only(patch):
    """Tasks that are launching or stopping don't count for `together` and `scatter`."""
    real = placement_rules.zone_room

    def zone_room(job, zone):
        bound = job.bound
        job.bound = {index: task for index, task in bound.items() if task.status == "running"}
        try:
            return real(job, zone)
        finally:
            job.bound = bound

    for module in (dispatcher, placement_rules):
        patch.setattr(module, "zone_room", zone_room)


MUTATIONS = [
    (start_before_record_is_written, fault_combinations.quick_boots, 155),
    (accept_older_reports, fault_combinations.kept_reports, 38),
    (accept_reports_under_any_token, fault_combinations.kept_reports, 42),
    (accept_older_reports, fault_combinations.held_reports, 31),
    (test_safety.free_tasks_of_silent_machines, fault_combinations.mute_machines, 22),
    (place_by_zones_of_running_tasks_only, fault_combinations.zones_that_lose_machines, 11),
    (test_safety.keep_old_tokens, fault_combinations.deposed_commands, 0),
]


@pytest.mark.parametrize(("mutate", "generate", "first"), MUTATIONS)
def test_a_removed_guard_is_detected(mutate, generate, first):
    """Placement is random, so several cases are tried, starting with number `first`.

    The first case that breaks a rule without the guard must break none with it."""
    for combination in itertools.islice(itertools.cycle(generate()), first, first + MAX_CASES):
        with pytest.MonkeyPatch.context() as patch:
            mutate(patch)
            detected = fault_combinations.run_case(combination).faults
        if detected:
            assert fault_combinations.run_case(combination).faults == []
            return
    raise AssertionError(f"not detected: {mutate.__doc__}")
