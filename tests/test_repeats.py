"""Mutation tests of repeated submissions that meet a job's being taken over."""

import pytest
from mutation import assert_noticed

from roadhead.jobs.job import Job
from roadhead.jobs.job_store import JobStore
from roadhead.jobs.recorder import Recorder
from roadhead.jobs.records import find
from roadhead.local.world import World
from roadhead.state.client import UnavailableError, UnknownOutcomeError


def outcomes_by_id_alone(patch):
    """The write that takes a job over counts as the outcome of the creation of the same id."""

    def settled(job_store, job):
        job_store._new.pop(job.id, None)
        return job_store._creating.pop(job.id, None)

    patch.setattr(JobStore, "_settled", settled)


def outcomes_twice(patch):
    """Neither the recorder nor the store sees that the outcome of a creation is known.

    One found to exist while its own write is under way is settled again by that, which takes the job of its
    id out of the store."""
    real = JobStore._conflict

    async def settle(recorder, job):
        try:
            record, stamp = await find(recorder._state, job.id)
        except (UnavailableError, UnknownOutcomeError):
            return
        if record is not None:
            recorder._on_conflict(job, record, stamp)

    def conflict(job_store, job, record, stamp):
        if not job.stamp and job_store._new.get(job.id) is not job:
            job_store._leave(job)
            return
        real(job_store, job, record, stamp)

    patch.setattr(Recorder, "_settle", settle)
    patch.setattr(JobStore, "_conflict", conflict)


def test_word_of_a_cancellation_reaches_a_job_that_is_submitted_again():
    """It was taken over here while a repeated submission is still creating it: both are to know."""
    world = World("controllers 1\nat 1 submit legs=2 runS=100\nuntil 20").run()
    job_store = world.nodes[0].job_store
    job = job_store.jobs["req-000001"]
    job_store._new[job.id] = Job(job.spec, job.owner, job.accepted_at)
    job_store.cancelled(job.id)
    assert job.state == "cancelled" and job.id in job_store._cancelled_early


@pytest.mark.parametrize("mutate", [outcomes_by_id_alone, outcomes_twice])
def test_the_scenario_notices(mutate):
    assert_noticed(mutate, "repeat-while-taken-over")
