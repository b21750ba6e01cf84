"""The write path while answers of the state service are lost (jobs/recorder.py, state/latency.py)."""

import itertools
import random

import cbor2
import pytest

from roadhead.jobs.creation_guards import NO_GUARDS
from roadhead.jobs.job import ARCHIVE, KEY, Job
from roadhead.jobs.ranges import Ranges
from roadhead.jobs.recorder import Recorder
from roadhead.jobs.transactions import LANES, RecordWrite, TransactionPacer
from roadhead.jobs.write_queue import LATER, URGENT
from roadhead.local.sim import Sim
from roadhead.local.user import EmulatedUser
from roadhead.local.world import World
from roadhead.membership.member import TERM
from roadhead.runtime.loop import Future
from roadhead.runtime.rate import Bucket
from roadhead.state.client import ConflictError, UnknownOutcomeError
from roadhead.state.latency import ResponseTimeEstimator
from roadhead.telemetry import Counters
from roadhead.wire import messages

# Waiting for one answer


def test_the_wait_for_an_answer_follows_from_those_seen():
    answers = ResponseTimeEstimator(3.0)
    assert answers.timeout_s == 1.0
    for _ in range(50):
        answers.record_answer(0.005)
    assert answers.timeout_s == pytest.approx(0.1)  # not below the process's own pauses
    for _ in range(50):
        answers.record_answer(random.Random(1).uniform(0.2, 0.3))
    assert 0.2 < answers.late_s < 0.6


def test_a_slow_state_service_is_not_taken_for_one_that_loses_answers():
    answers = ResponseTimeEstimator(3.0)
    answers.record_answer(0.005)
    tries = 0
    while answers.timeout_s < 0.7:  # each answer takes that long from now on
        answers.record_timeout()
        tries += 1
    assert tries <= 4 and answers.late_s < 0.2
    answers.record_answer(0.7)
    assert 0.7 < answers.late_s == answers.timeout_s
    for _ in range(20):
        answers.record_timeout()
    assert answers.timeout_s == 3.0


def test_a_late_answer_holds_up_nothing_and_an_early_one_makes_batches():
    sim = Sim(1)
    lanes = TransactionPacer(sim, answers := ResponseTimeEstimator(3.0))
    answers.record_answer(0.01)
    began = []
    outcomes = [Future() for _ in range(LANES + 2)]

    async def carry_out(number):
        began.append(sim.time)
        await outcomes[number]

    async def run():
        for number in range(LANES + 2):
            await lanes.turn()
            lanes.begin(carry_out(number))

    sim.spawn(run(), "run")
    sim.call_later(0.05, outcomes[0].set)
    sim.call_later(5.0, outcomes[1].set)
    sim.run_until(10.0)
    assert began[1] == pytest.approx(0.05, abs=0.01)  # at once, as the first is answered
    assert began[2] - began[1] == pytest.approx(answers.late_s, abs=0.01)
    assert began[LANES] - began[LANES - 1] == pytest.approx(answers.late_s, abs=0.01)
    assert began[LANES + 1] == pytest.approx(5.0, abs=0.01)  # no more than so many at once


# Each outcome of each transaction

OUTCOMES = ("answered", "lost", "never", "late", "slow")
LOST_S = 0.1  # after which a sender gives up
LATE_S = 0.35  # after which a transaction is carried out whose sender gave up
PROGRESS_S = 0.2
TASKS = 4


class Store:
    """A state service whose first transactions have these outcomes."""

    batch = 2

    def __init__(self, sim, outcomes, burst):
        self._sim = sim
        self._outcomes = iter(outcomes)
        self.data, self.epoch = {TERM: ({}, 1)}, 1
        self.limits = type("Limits", (), {"txn_ops": 16, "value_bytes": 8192})
        self.writes = Bucket(sim, 1000.0, burst)
        self.answers = ResponseTimeEstimator(3.0)
        self.answers.record_answer(0.001)

    async def send(self, conditions, writes):
        outcome = next(self._outcomes, "answered")
        body = cbor2.dumps((conditions, writes))
        await self._sim.sleep(0.005)
        if outcome == "late":
            self._sim.call_later(LATE_S, self._carry_out, body)
        failed, revision = self._carry_out(body) if outcome not in ("never", "late") else ((), 0)
        if outcome == "slow":
            await self._sim.sleep(LATE_S)
        elif outcome != "answered":
            await self._sim.sleep(LOST_S)
            raise UnknownOutcomeError
        if failed:
            raise ConflictError(failed)
        return revision

    def _carry_out(self, body):
        conditions, writes = cbor2.loads(body)
        failed = [key for key, stamp in conditions if self.data.get(key, (None, 0))[1] != stamp]
        if not failed:
            self.epoch += 1
            for write in writes:
                if "put" in write:
                    self.data[write["put"]] = write["data"], self.epoch
                else:
                    del self.data[write["drop"]]
        return failed, self.epoch

    def stored(self, job):
        """(record, stamp) of the job; no stamp for one on the shelf, which nobody writes any more."""
        record, _stamp = self.data.get(ARCHIVE + job.id, (None, 0))
        return (record, 0) if record else self.data[KEY + job.id]

    async def get(self, key):
        await self._sim.sleep(0.002)
        return self.data.get(key, (None, 0))

    async def check_conditions(self, conditions):
        await self._sim.sleep(0.002)
        if failed := [key for key, stamp in conditions if self.data.get(key, (None, 0))[1] != stamp]:
            raise ConflictError(failed)


def new_job(number):
    needs = ("c", "t", "batch", "standard", TASKS, 1.0, 0.0, 1.0, 1.0, False, False, True, 1.0, 0.0, 0.0)
    return Job(messages.JobSpec(f"req-{number:06d}", *needs), ("here", 1), 0.0)


def played(outcomes, burst):
    """Faults of a recorder whose first transactions have these outcomes, while two jobs go on."""
    sim = Sim(1)
    store, faults, over = Store(sim, outcomes, burst), [], set()
    jobs = [new_job(number) for number in range(2)]

    def written(job, recorded, state):
        record, stamp = store.stored(job)
        if job.stamp != stamp or record["s"] != state:
            faults.append(f"{job.id} is called {state} under {job.stamp}, and is {record['s']} under {stamp}")
        elif state == "done":
            over.add(job)
            recorder.cancel_write(job)
        elif not set(range(TASKS)).intersection(recorded_in(recorded)) <= recorded_in(Ranges(record["done"])):
            faults.append(f"{job.id}: tasks are called recorded that are not")

    def recorded_in(ranges):
        return {index for index in range(TASKS) if index in ranges}

    def conflict(job, record, stamp):
        job.stamp = stamp
        if record["s"] == "done":
            recorder.cancel_write(job)
            over.add(job)

    def done(job, index):
        job.done.add(index)
        job.state = "done" if job.complete() else "open"
        recorder.schedule_write(job, URGENT if job.complete() else LATER)

    member = type("Member", (), {"revision": 1})
    recorder = Recorder(
        sim, store, PROGRESS_S, written, conflict, None, lambda: None, member, NO_GUARDS, Counters()
    )
    for duty in (recorder.run, recorder.check):
        sim.spawn(duty(), duty.__name__)
    for number, job in enumerate(jobs):
        sim.call_later(0.03 * number, recorder.schedule_write, job, URGENT)
        for index in range(TASKS):
            sim.call_later(0.13 + 0.17 * index + 0.03 * number, done, job, index)
    sim.run_until(5.0)
    faults += [f"{job.id} is not done" for job in jobs if job not in over]
    faults += [f"{job.id} is stored as open" for job in jobs if store.stored(job)[0]["s"] != "done"]
    return faults


def faults_of_all(burst):
    cases = itertools.product(OUTCOMES, repeat=4)
    return {outcomes: faults for outcomes in cases if (faults := played(outcomes, burst))}


@pytest.mark.parametrize("burst", [4.0, 1000.0])  # with more, final records go to the shelf at once
def test_each_outcome_of_each_transaction(burst):
    """Safety 5: what is called written is stored as it was sent, in the order of a job's writes."""
    assert faults_of_all(burst) == {}


def two_writes_of_a_job_under_way(patch):
    """A job is marked while its write is under way, and is in the next transaction at once."""
    real = Recorder.schedule_write

    def mark(self, job, urgency):
        self._in_flight.pop(job, None)
        real(self, job, urgency)

    patch.setattr(Recorder, "schedule_write", mark)


def any_record_taken_for_the_one_sent(patch):
    """An earlier try with other content was carried out, and the last one is called written."""
    patch.setattr(RecordWrite, "is_stored_as", lambda self, record: True)


@pytest.mark.parametrize("mutate", [two_writes_of_a_job_under_way, any_record_taken_for_the_one_sent])
def test_the_outcomes_notice_a_missing_guard(mutate):
    with pytest.MonkeyPatch.context() as patch:
        mutate(patch)
        assert faults_of_all(burst=4.0), mutate.__doc__


# Users meanwhile


class TimedUser(EmulatedUser):
    """Notes how long it took until its job was accepted."""

    accepted_after = None

    async def run(self):
        self.began_at = self.sim.time
        await super().run()

    def _hear(self, reply):
        super()._hear(reply)
        if reply.status in (200, 201) and self.accepted_after is None:
            self.accepted_after = self.sim.time - self.began_at


class TimedWorld(World):
    def new_user(self, job):
        return TimedUser(self, job)


def stream(seconds, *troubles):
    """One-task jobs, four a second, of which every fourth is cancelled 2 s later."""
    lines = ["write_rps 30", "capacity 40", f"until {seconds + 80}", *troubles]
    for number in range(4 * seconds):
        lines.append(f"at {1 + number / 4} submit count=1 legs=1 runS=5 expectS=5")
        if number % 4 == 3:
            lines.append(f"at {3 + number / 4} cancel {number + 1}")
    return "\n".join(lines)


def served(seconds, *troubles):
    """The users of a stream during these troubles."""
    world = TimedWorld(stream(seconds, *troubles)).run()
    assert world.violations == []
    assert [user.id for user in world.users.values() if not user.accepted] == []
    assert {user.last_state for user in world.users.values()} == {"done", "cancelled"}
    return list(world.users.values())


def test_losing_answers_costs_little():
    users = served(20, "at 1 lose-writes 0.3 20")
    assert sum(user.accepted_after <= 1.0 for user in users) >= 0.95 * len(users)


def test_nobody_gives_up_while_every_second_answer_is_lost():
    users = served(20, "at 1 lose-writes 0.5 20")
    assert sum(user.accepted_after <= 1.0 for user in users) >= 0.85 * len(users)


def test_transactions_carried_out_late_after_newer_ones_break_no_rule():
    served(15, "at 1 late-writes 0.25 15", "at 1 lose-writes 0.25 15", "seed 3")
