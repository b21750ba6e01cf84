"""The write path while responses of the state service are lost (jobs/recorder.py, state/latency.py)."""

import itertools
import random

import cbor2
import pytest
from job_specs import job_spec

from roadhead.jobs.creation_guards import NO_GUARDS
from roadhead.jobs.job import ARCHIVE, RECORD_PREFIX, Job
from roadhead.jobs.ranges import Ranges
from roadhead.jobs.recorder import Recorder
from roadhead.jobs.transactions import MAX_TRANSACTIONS, RecordWrite, TransactionPacer
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

# Timeouts for one response


def test_the_timeout_follows_from_measured_response_times():
    answers = ResponseTimeEstimator(3.0)
    assert answers.timeout_s == 1.0
    for _ in range(50):
        answers.record_answer(0.005)
    assert answers.timeout_s == pytest.approx(0.1)  # never below the pauses of the process itself
    for _ in range(50):
        answers.record_answer(random.Random(1).uniform(0.2, 0.3))
    assert 0.2 < answers.late_s < 0.6


def test_timeouts_grow_until_a_slow_state_service_answers_within_them():
    answers = ResponseTimeEstimator(3.0)
    answers.record_answer(0.005)
    timeouts = 0
    while answers.timeout_s < 0.7:  # each response takes 0.7 s from now on
        answers.record_timeout()
        timeouts += 1
    assert timeouts <= 4 and answers.late_s < 0.2
    answers.record_answer(0.7)
    assert 0.7 < answers.late_s == answers.timeout_s
    for _ in range(20):
        answers.record_timeout()
    assert answers.timeout_s == 3.0


def test_late_answers_do_not_delay_transactions_and_early_ones_allow_batches():
    sim = Sim(1)
    pacer = TransactionPacer(sim, answers := ResponseTimeEstimator(3.0))
    answers.record_answer(0.01)
    began_at = []
    outcomes = [Future() for _ in range(MAX_TRANSACTIONS + 2)]

    async def carry_out(number):
        began_at.append(sim.time)
        await outcomes[number]

    async def run():
        for number in range(MAX_TRANSACTIONS + 2):
            await pacer.wait_for_turn()
            pacer.begin(carry_out(number))

    sim.spawn(run(), "run")
    sim.call_later(0.05, outcomes[0].set)
    sim.call_later(5.0, outcomes[1].set)
    sim.run_until(10.0)
    assert began_at[1] == pytest.approx(0.05, abs=0.01)  # as soon as the first is answered
    assert began_at[2] - began_at[1] == pytest.approx(answers.late_s, abs=0.01)
    assert began_at[MAX_TRANSACTIONS] - began_at[MAX_TRANSACTIONS - 1] == pytest.approx(
        answers.late_s, abs=0.01
    )
    assert began_at[MAX_TRANSACTIONS + 1] == pytest.approx(5.0, abs=0.01)  # at most LANES are in flight


# All outcomes of the first transactions

OUTCOMES = ("answered", "lost", "never", "late", "slow")
LOST_S = 0.1  # a sender whose answer is lost gives up after this time
LATE_S = 0.35  # a late transaction is carried out after this time, when its sender has given up
PROGRESS_S = 0.2
TASKS = 4


class Store:
    """A state service whose first transactions have the given outcomes; later ones are answered."""

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
        """Returns (record, stamp) of a job; an archived one has stamp 0, as it is no longer written."""
        record, _stamp = self.data.get(ARCHIVE + job.id, (None, 0))
        return (record, 0) if record else self.data[RECORD_PREFIX + job.id]

    async def get(self, key):
        await self._sim.sleep(0.002)
        return self.data.get(key, (None, 0))

    async def check_conditions(self, conditions):
        await self._sim.sleep(0.002)
        if failed := [key for key, stamp in conditions if self.data.get(key, (None, 0))[1] != stamp]:
            raise ConflictError(failed)


def new_job(number):
    return Job(job_spec(f"req-{number:06d}", team="t", tasks=TASKS, estimate_s=1.0), ("here", 1), 0.0)


def play(outcomes, burst):
    """Returns what a recorder does wrong with two jobs when its first transactions have these outcomes."""
    sim = Sim(1)
    store, faults, completed = Store(sim, outcomes, burst), [], set()
    jobs = [new_job(number) for number in range(2)]

    def written(job, recorded, state):
        record, stamp = store.stored(job)
        if job.stamp != stamp or record["s"] != state:
            faults.append(
                f"{job.id} is reported as {state} at {job.stamp}, but stored as {record['s']} at {stamp}"
            )
        elif state == "done":
            completed.add(job)
            recorder.cancel_write(job)
        elif not set(range(TASKS)).intersection(recorded_in(recorded)) <= recorded_in(Ranges(record["done"])):
            faults.append(f"{job.id}: tasks are reported as recorded that are not")

    def recorded_in(ranges):
        return {index for index in range(TASKS) if index in ranges}

    def conflict(job, record, stamp):
        job.stamp = stamp
        if record["s"] == "done":
            recorder.cancel_write(job)
            completed.add(job)

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
    faults += [f"{job.id} is not done" for job in jobs if job not in completed]
    faults += [f"{job.id} is stored as open" for job in jobs if store.stored(job)[0]["s"] != "done"]
    return faults


def faults_of_all(burst):
    cases = itertools.product(OUTCOMES, repeat=4)
    return {outcomes: faults for outcomes in cases if (faults := play(outcomes, burst))}


@pytest.mark.parametrize("burst", [4.0, 1000.0])  # with 1000, final records are archived at once
def test_each_outcome_of_each_transaction(burst):
    """Safety 5 (docs/design.md): what is reported as written is stored as sent, in order for each job."""
    assert faults_of_all(burst) == {}


def allow_concurrent_writes_of_a_job(patch):
    """A job scheduled while its write is in flight is included in the next transaction at once."""
    real = Recorder.schedule_write

    def schedule_write(self, job, urgency):
        self._in_flight.pop(job, None)
        real(self, job, urgency)

    patch.setattr(Recorder, "schedule_write", schedule_write)


def accept_any_stored_record(patch):
    """An earlier try with other content was carried out, and the last try is reported as written."""
    patch.setattr(RecordWrite, "is_stored_as", lambda self, record: True)


@pytest.mark.parametrize("mutate", [allow_concurrent_writes_of_a_job, accept_any_stored_record])
def test_a_removed_guard_is_detected(mutate):
    with pytest.MonkeyPatch.context() as patch:
        mutate(patch)
        assert faults_of_all(burst=4.0), mutate.__doc__


# Users during faults


class TimedUser(EmulatedUser):
    """A user that measures how long it took until its job was accepted."""

    accepted_after = None

    async def run(self):
        self.began_at = self.sim.time
        await super().run()

    def _handle_reply(self, reply):
        super()._handle_reply(reply)
        if reply.status in (200, 201) and self.accepted_after is None:
            self.accepted_after = self.sim.time - self.began_at


class TimedWorld(World):
    def new_user(self, job):
        return TimedUser(self, job)


def job_stream(seconds, *faults):
    """Returns a scenario of four one-task jobs a second, of which every fourth is cancelled 2 s later."""
    lines = ["write_rps 30", "capacity 40", f"until {seconds + 80}", *faults]
    for number in range(4 * seconds):
        lines.append(f"at {1 + number / 4} submit count=1 legs=1 runS=5 expectS=5")
        if number % 4 == 3:
            lines.append(f"at {3 + number / 4} cancel {number + 1}")
    return "\n".join(lines)


def run_users(seconds, *faults):
    """Runs a job stream with the given faults and returns its users, whose jobs must all have ended."""
    world = TimedWorld(job_stream(seconds, *faults)).run()
    assert world.violations == []
    assert [user.id for user in world.users.values() if not user.accepted] == []
    assert {user.last_state for user in world.users.values()} == {"done", "cancelled"}
    return list(world.users.values())


def test_losing_answers_hardly_delays_acceptance():
    users = run_users(20, "at 1 lose-writes 0.3 20")
    assert sum(user.accepted_after <= 1.0 for user in users) >= 0.95 * len(users)


def test_no_user_gives_up_while_half_of_the_answers_are_lost():
    users = run_users(20, "at 1 lose-writes 0.5 20")
    assert sum(user.accepted_after <= 1.0 for user in users) >= 0.85 * len(users)


def test_transactions_carried_out_late_after_newer_ones_break_no_rule():
    run_users(15, "at 1 late-writes 0.25 15", "at 1 lose-writes 0.25 15", "seed 3")
