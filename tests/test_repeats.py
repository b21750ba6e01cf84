"""Mutation tests of submissions repeated while their job is being taken over by another controller."""

import pytest
from mutation import assert_detected

from roadhead.jobs.job import Job
from roadhead.jobs.job_store import JobStore
from roadhead.jobs.recorder import Recorder
from roadhead.jobs.records import find
from roadhead.local.world import World
from roadhead.state.client import UnavailableError, UnknownOutcomeError


def match_outcomes_by_id_alone(patch):
    """The write that takes a job over counts as the outcome of a creation with the same id."""

    def finish_creation(job_store, job):
        job_store._being_created.pop(job.id, None)
        return job_store._creations.pop(job.id, None)

    patch.setattr(JobStore, "_finish_creation", finish_creation)


def settle_outcomes_twice(patch):
    """Neither the recorder nor the store checks whether the outcome of a creation is already known.

    A job found to exist while its own write is in flight is settled a second time when that write ends, which
    removes the job with that id from the store."""
    real = JobStore._on_conflict

    async def settle(recorder, job):
        try:
            record, stamp = await find(recorder._state, job.id)
        except (UnavailableError, UnknownOutcomeError):
            return
        if record is not None:
            recorder._on_conflict(job, record, stamp)

    def on_conflict(job_store, job, record, stamp):
        if not job.stamp and job_store._being_created.get(job.id) is not job:
            job_store._remove_owned(job)
            return
        real(job_store, job, record, stamp)

    patch.setattr(Recorder, "_settle", settle)
    patch.setattr(JobStore, "_on_conflict", on_conflict)


def test_a_cancellation_reaches_both_an_inherited_job_and_its_repeated_creation():
    """The job was taken over here while a repeated submission is still creating it; both must learn of it."""
    world = World("controllers 1\nat 1 submit legs=2 runS=100\nuntil 20").run()
    job_store = world.nodes[0].job_store
    job = job_store.jobs["req-000001"]
    job_store._being_created[job.id] = Job(job.spec, job.owner, job.accepted_at)
    job_store.cancelled(job.id)
    assert job.state == "cancelled" and job.id in job_store._cancelled_early


@pytest.mark.parametrize("mutate", [match_outcomes_by_id_alone, settle_outcomes_twice])
def test_a_removed_guard_is_detected(mutate):
    assert_detected(mutate, "repeat-while-taken-over")
