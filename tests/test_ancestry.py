"""Walks over the ancestors of waiting jobs: against a reference model, and their requests counted."""

import random

import pytest

from roadhead.jobs.job import awaited_ids, for_polls
from roadhead.local.sim import Sim
from roadhead.local.world import World
from roadhead.pipelines import ancestor_facts, cancellation_history
from roadhead.pipelines.ancestor_facts import AncestorCache
from roadhead.pipelines.ancestry import Ancestry, JobRecords
from roadhead.pipelines.cancellation_history import CANCELLATION_COUNTER, CancellationHistory
from roadhead.state.client import CompactedError, ConflictError, UnavailableError, UnknownOutcomeError
from roadhead.state.record_reader import RecordReader

PAGE = 1000


class Limits:
    txn_ops = 16


class Rate:
    def spare(self, _share):
        return True


class Store:
    """A state service that holds records of jobs under `j/`, and counts requests."""

    limits, requests = Limits(), Rate()

    def __init__(self, loop, delay_s=lambda: 0.004, kept_changes=10_000):
        self._loop, self._delay_s, self._kept_changes = loop, delay_s, kept_changes
        self.data, self.log, self.epoch = {}, [], 100
        self.count = 0

    def put(self, *items):
        self.epoch += 1
        for key, value in items:
            self.data[key] = value, self.epoch
            self.log.append({"put": key, "data": value, "stamp": self.epoch})
        del self.log[: -self._kept_changes]

    def add_job(self, name, upstream=()):
        spec = {"crew": "c", "shape": "batch", "legs": 1, "upstream": list(upstream)}
        self.put((f"j/{name}", {"s": "open", "spec": spec, "done": [], "o": ["a", 1]}))

    def end_job(self, name):
        self.put((f"j/{name}", {"s": "done", "n": 1, "d": 1}))

    def cancel(self, name):
        closed = {"s": "cancelled", "n": 1, "d": 0}
        self.put((f"j/{name}", closed), (f"c/x/{name}", True), (CANCELLATION_COUNTER, name))

    def failing_for_s(self):
        return 0.0

    def holds(self, conditions):
        return [key for key, stamp in conditions if self.data.get(key, (None, 0))[1] != stamp]

    async def _request(self):
        self.count += 1
        await self._loop.sleep(self._delay_s())

    async def get(self, key):
        await self._request()
        answer = self.data.get(key, (None, 0))
        await self._loop.sleep(self._delay_s())
        return answer

    async def page(self, prefix, after="", limit=PAGE):
        await self._request()
        keys = sorted(key for key in self.data if key.startswith(prefix) and key > after)
        answer = [(key, *self.data[key]) for key in keys[:limit]], len(keys) > limit, self.epoch
        await self._loop.sleep(self._delay_s())
        return answer

    async def changes(self, prefix, after, _wait_s):
        await self._request()
        if self.log and len(self.log) == self._kept_changes and after < self.log[0]["stamp"]:
            raise CompactedError
        answer = [e for e in self.log if e["stamp"] > after and e["put"].startswith(prefix)], self.epoch
        await self._loop.sleep(self._delay_s())
        return answer

    async def check_conditions(self, conditions):
        await self._request()
        failed, epoch = self.holds(conditions), self.epoch
        await self._loop.sleep(self._delay_s())
        if failed:
            raise ConflictError(failed)
        return epoch


class Reader:
    """An Ancestry and a RecordReader on a Store."""

    def __init__(self, loop, store):
        self.loop, self.store, self.final = loop, store, {}

        async def find(name):
            return await store.get(f"j/{name}")

        async def complete(_name, record):
            return record

        records = JobRecords(
            final_state=lambda name: self.final.get(name, {}).get("s"),
            learn=self.final.__setitem__,
            find=find,
            complete=complete,
            dependencies_of=awaited_ids,
            cancelled_record=lambda record: {"s": "cancelled", "n": record["spec"]["legs"], "d": 0},
            prefixes=("j/",),
        )
        self.ancestry = Ancestry(loop, store, records)
        self.records = RecordReader(loop, store, 1.7, ("j/",), complete, for_polls, self.ancestry)

    def poll(self, name):
        """Returns (the state that a poll is told, how many requests it cost)."""
        before, told = self.store.count, []

        async def ask():
            told.append((await self.records.read(name))["s"])

        self.loop.spawn(ask(), "poll")
        self.loop.run_until(self.loop.time + 1000.0)
        return *told, self.store.count - before


def chain(length):
    """A store with a chain of jobs whose ids come in no order, and the ids from the first to the last."""
    loop = Sim(1)
    store = Store(loop)
    names = [f"req-{number:06d}" for number in random.Random(1).sample(range(1_000_000), length)]
    for place, name in enumerate(names):
        store.add_job(name, names[place - 1 : place] if place else ())
    return Reader(loop, store), names


@pytest.mark.parametrize("depth", [10, 80, 1000])
def test_polls_of_a_chain_cost_few_requests(depth):
    """Guards against `forgotten` of review/2: each cancellation voided all that was read of a pipeline."""
    reader, names = chain(depth)
    asked = reader.ancestry

    async def walk():
        await asked.derive(reader.store.data[f"j/{names[-1]}"][0])

    reader.loop.spawn(walk(), "walk")
    reader.loop.run_until(reader.loop.time + 1000.0)
    cold = reader.store.count
    assert cold <= -(-depth // PAGE) + 20
    reader.poll(names[-1])
    assert reader.poll(names[-1]) == ("open", 1)
    reader.poll(names[depth // 2])
    for number in range(20):
        reader.store.cancel(f"req-9{number:06d}")
        state, requests = reader.poll(names[-1])
        assert state == "open" and requests <= 3  # the comparison, what was cancelled, the comparison again
        assert reader.poll(names[depth // 2]) == ("open", 1)
    reader.store.cancel(names[0])
    assert reader.poll(names[-1]) == ("cancelled", 3)
    assert reader.poll(names[depth // 2])[0] == "cancelled"


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_polls_of_a_deep_pipeline_are_answered_while_other_jobs_are_cancelled(seed):
    """Guards against `forgotten` of review/2, by a whole deployment: 80 jobs in a row wait for the first."""
    lines = [f"seed {seed}", "capacity 8", "rps 150", "write_rps 20", "at 1 submit legs=1 runS=150"]
    lines += [f"at {1 + number / 4} submit legs=1 runS=1 upstream={number - 1}" for number in range(2, 81)]
    for number in range(81, 161):
        lines += [f"at {number - 57} submit legs=1 runS=2", f"at {number - 56} cancel {number}"]
    lines += ["until 110", "expect unavailable poll <= 0"]
    assert World("\n".join(lines)).run().check() == []


def test_a_minute_of_polls_of_a_chain_beside_cancellations_costs_no_walk():
    """The 80 jobs of review/2, each polled every 5 s, while a job elsewhere is cancelled every second."""
    reader, names = chain(80)
    reader.poll(names[-1])
    before, polls, states = reader.store.count, 0, []

    async def ask(name):
        states.append((await reader.records.read(name))["s"])

    for second in range(60):
        reader.store.cancel(f"req-9{second:06d}")
        for name in names[second % 5 :: 5]:
            polls += 1
            reader.loop.spawn(ask(name), "poll")
        reader.loop.run_until(reader.loop.time + 1.0)
    assert states == ["open"] * polls
    # What single jobs' polls need (at most a read each), and what each cancellation adds for all of them.
    assert reader.store.count - before <= polls + 60 * 3


def test_a_walk_over_a_chain_of_ten_thousand_jobs_reads_little_more_than_their_pages():
    reader, names = chain(10_000)
    asked = []

    async def walk():
        asked.append(await reader.ancestry.derive(reader.store.data[f"j/{names[-1]}"][0]))

    reader.loop.spawn(walk(), "walk")
    reader.loop.run_until(1000.0)
    assert asked[0][0]["s"] == "open"
    assert reader.store.count <= 10 + 4 * 12 + 8


def test_three_thousand_ancestors_are_read_in_pages_and_kept_until_one_is_cancelled():
    loop = Sim(1)
    store = Store(loop)
    names = [f"req-{number:06d}" for number in range(3000)]
    for name in names:
        store.add_job(name)
    reader, answers = Reader(loop, store), []
    record = {"s": "open", "spec": {"upstream": names, "legs": 1}, "done": []}

    def derive():
        async def ask():
            answers.append(await reader.ancestry.derive(record))

        loop.spawn(ask(), "ask")
        loop.run_until(loop.time + 1.0)
        return store.count

    assert derive() <= 5 and answers[0][0]["s"] == "open"
    assert derive() <= 6 and answers[1] == answers[0]
    store.cancel(names[77])
    assert derive() <= 7 and answers[2] == ({"s": "cancelled", "n": 1, "d": 0}, [])


def test_a_wide_pipeline_is_read_by_pages_once():
    loop = Sim(1)
    store = Store(loop)
    lower = [f"req-1{number:05d}" for number in range(10_000)]
    upper = [f"req-2{number:05d}" for number in range(2000)]
    for name in lower:
        store.add_job(name)
    for number, name in enumerate(upper):
        store.add_job(name, lower[5 * number : 5 * number + 5])
    store.add_job("req-300000", upper)
    reader = Reader(loop, store)
    state, requests = reader.poll("req-300000")
    assert state == "open" and requests <= 24
    store.cancel("req-900000")
    assert reader.poll("req-300000") == ("open", 3)
    store.cancel(lower[77])
    assert reader.poll("req-300000")[0] == "cancelled"


@pytest.fixture
def small_bounds(monkeypatch):
    monkeypatch.setattr(ancestor_facts, "MAX_CACHED_JOBS", 12)
    monkeypatch.setattr(cancellation_history, "MAX_KEPT_CANCELLATIONS", 1)


def test_a_pipeline_larger_than_the_cache_is_answered_and_read_once(small_bounds):
    reader, names = chain(400)
    assert reader.poll(names[-1])[0] == "open"
    reader.store.cancel("req-900000")
    assert reader.poll(names[-1]) == ("open", 3)


def test_the_cancellation_of_an_evicted_ancestor_voids_what_was_verified_with_it(monkeypatch):
    """Its descendant in the cache was verified while it was there. Without `_has_evicted` a poll calls the
    job open, though polls elsewhere call it cancelled."""
    monkeypatch.setattr(ancestor_facts, "MAX_CACHED_JOBS", 2)
    loop = Sim(1)
    store = Store(loop)
    reader = Reader(loop, store)
    for name, upstream in (("a", []), ("b", ["a"]), ("c", ["b"]), ("y", []), ("z", ["y"])):
        store.add_job(name, upstream)
    # What was cached first is evicted first: here that is `a`, by the walk for `z`.
    assert [reader.poll(name)[0] for name in ("b", "c", "z")] == ["open"] * 3
    store.cancel("a")
    assert reader.poll("c")[0] == "cancelled"


class Days:
    """Jobs arrive, end and are cancelled while states are derived, beside a reference model."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.loop = Sim(seed)
        self.store = Store(self.loop, lambda: self.random.choice((0.0, 0.01, 0.3)), kept_changes=12)
        self.reader = Reader(self.loop, self.store)
        self.upstream, self.ends, self.faults, self.answers = {}, {}, [], 0

    def is_cancelled(self, name):
        if name in self.ends:
            return self.ends[name] == "cancelled"
        return any(self.is_cancelled(other) for other in self.upstream[name])

    def act(self):
        """Adds, ends or cancels a job."""
        alive = [name for name in self.upstream if name not in self.ends]
        action = self.random.random()
        if action < 0.5 or not alive:
            name = f"req-{self.random.randrange(1_000_000):06d}"
            known = list(self.upstream)
            count = min(len(known), self.random.choice((0, 1, 1, 2, 3)))
            self.upstream[name] = self.random.sample(known[-8:], min(count, len(known[-8:])))
            self.store.add_job(name, self.upstream[name])
            return
        name = self.random.choice(alive)
        if action < 0.75:
            self.ends[name] = "cancelled"
            self.store.cancel(name)
        elif all(self.ends.get(other) == "done" for other in self.upstream[name]):
            self.ends[name] = "done"
            self.store.end_job(name)

    async def ask(self, name):
        """Derives a job's state, and checks it against the model at the moment of the answer."""
        record, stamp = self.store.data[f"j/{name}"]
        own = [(f"j/{name}", stamp)]
        was_cancelled = self.is_cancelled(name)
        try:
            derived, conditions = await self.reader.ancestry.derive(for_polls(record))
        except (UnavailableError, UnknownOutcomeError):
            return
        self.answers += 1
        self.check(name, derived, conditions + own, was_cancelled)
        known = self.reader.ancestry.derive_known(for_polls(record))
        if known is not None:
            self.check(name, known[0], known[1] + own, was_cancelled)

    def check(self, name, derived, conditions, was_cancelled):
        if derived["s"] == "cancelled":
            if not self.is_cancelled(name):
                self.faults.append(f"{name} called cancelled")
        elif was_cancelled or (not self.store.holds(conditions) and self.is_cancelled(name)):
            self.faults.append(f"{name} not called cancelled")

    def run(self, steps=150):
        for _ in range(steps):
            self.act()
            asked = [name for name in self.upstream if name not in self.ends]
            for name in self.random.sample(asked, min(2, len(asked))):
                self.loop.spawn(self.ask(name), "ask")
            self.loop.run_until(self.loop.time + self.random.choice((0.0, 0.005, 0.1, 1.0)))
            if self.random.random() < 0.1:
                self.reader.final.clear()  # the final records kept are bounded as well
        self.loop.run_until(self.loop.time + 60.0)
        return self


def test_derived_states_agree_with_a_reference_model(small_bounds):
    """Answers are late and in any order, changes are compacted, jobs are evicted, cancellations forgotten."""
    days = [Days(seed).run() for seed in range(60)]
    assert [fault for day in days for fault in day.faults] == []
    assert min(day.answers for day in days) > 100


def keep_facts_across_gaps(patch):
    """Cached ancestors stay although cancellations may have been missed."""
    patch.setattr(AncestorCache, "clear", lambda self: None)


def ignore_the_history(patch):
    """Cancellations void nothing that was read."""
    patch.setattr(CancellationHistory, "_add", lambda self, _cancelled: None)


def keep_verified(patch):
    """A job stays verified although an ancestor of it was cancelled."""
    patch.setattr(
        AncestorCache, "generation", property(lambda self: 0, lambda self, _value: None), raising=False
    )


def trust_reads_from_before_a_gap(patch):
    """A record that was read before cancellations were missed is cached after that."""
    patch.setattr(CancellationHistory, "covers", lambda self, _revision: True)


def forget_what_is_not_kept(patch):
    """Cancellations beyond those that are kept count as known."""

    def add(self, cancelled):
        self._revisions.update(cancelled)
        while len(self._revisions) > cancellation_history.MAX_KEPT_CANCELLATIONS:
            del self._revisions[next(iter(self._revisions))]
        if cancelled:
            self._on_cancelled(cancelled)

    patch.setattr(CancellationHistory, "_add", add)


def share_requests_sent_before(patch):
    """A caller is answered by a request for changes that was sent before it came."""
    real = CancellationHistory.refresh

    async def refresh(self):
        if not self._is_reading:
            await real(self)

    patch.setattr(CancellationHistory, "refresh", refresh)


@pytest.mark.parametrize(
    "mutate",
    [
        keep_facts_across_gaps,
        ignore_the_history,
        keep_verified,
        trust_reads_from_before_a_gap,
        share_requests_sent_before,
        forget_what_is_not_kept,
    ],
)
def test_a_removed_guard_is_noticed(mutate, monkeypatch, small_bounds):
    mutate(monkeypatch)
    assert any(Days(seed).run().faults for seed in range(100)), mutate.__doc__
