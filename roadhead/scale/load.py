"""The users of a scale run: an open loop, so that a slow service does not slow its load.

Each job is submitted when its time has come, however many wait. Latencies count from that time, not from
the moment at which a request went out.
"""

import random
from collections import Counter
from dataclasses import dataclass, field

import cbor2
import msgspec

from roadhead.local.histories import FINAL, Answer, AnswerHistory, RequestKind
from roadhead.runtime.loop import Loop, Timeout
from roadhead.scale.layout import Layout
from roadhead.scale.traffic import CountedNet, Traffic
from roadhead.scale.workload import Workload
from roadhead.wire.http import Client, NoResponseError

RESULT = "load.json"
ACCEPTED = (200, 201)
SUBMIT_S, POLL_S = 5.0, 2.0  # how long users wait for an answer
PATIENCE_S = 60.0  # how long they repeat a submission or a cancellation
POLL_EVERY_S = (4.0, 6.0)
RETRY_S = (1.0, 2.0)
KEPT_CONNECTIONS = 64  # to each controller


@dataclass
class JobResult:
    """What a user saw of a job; times in seconds of this machine's steady clock, None for what never came."""

    job_id: str
    job_class: str
    tasks: int
    due_at: float  # when it was to be submitted
    accepted_at: float | None = None
    over_at: float | None = None
    state: str | None = None
    cancel_asked_at: float | None = None
    cancelled_at: float | None = None
    tries: int = 0


@dataclass
class LoadResult:
    """All that the users saw. `answers`: "question status" -> how many."""

    began_at: float
    jobs: list[JobResult] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)
    received: int = 0
    sent: int = 0


class Users:
    """Plays all arrivals of a Workload against the controllers."""

    def __init__(self, loop, layout):
        self._loop = loop
        self._plan = layout.plan
        self._traffic = Traffic()
        net = CountedNet(loop, self._traffic)
        self._fronts = layout.document["fronts"]
        self._clients = [Client(loop, net, front, KEPT_CONNECTIONS) for front in self._fronts]
        self._random = random.Random(layout.plan.seed)
        self._history = AnswerHistory()
        self._open = 0
        self._arrivals = Workload(layout.plan).arrivals
        self._answers = Counter()
        self.result = LoadResult(loop.now())

    async def run(self):
        """Submits everything at its time, and waits for what is open, as long as the plan says."""
        for arrival in self._arrivals:
            due_at = self.result.began_at + arrival.at_s
            await self._loop.sleep(max(0.0, due_at - self._loop.now()))
            self._loop.spawn(self._play(arrival, due_at), arrival.job["id"])
        until = self.result.began_at + self._plan.load_s + self._plan.drain_s
        while self._open and self._loop.now() < until:
            await self._loop.sleep(0.2)
        self.result.answers = dict(self._answers)
        self.result.received, self.result.sent = self._traffic.received, self._traffic.sent

    async def _play(self, arrival, due_at):
        job = arrival.job
        seen = JobResult(job["id"], job["jobclass"], job["legs"], due_at)
        self.result.jobs.append(seen)
        self._open += 1
        try:
            if await self._submit(job, seen):
                if arrival.cancel_after_s is not None:
                    self._loop.spawn(self._cancel(arrival, seen), "cancel")
                await self._wait(seen)
        finally:
            self._open -= 1

    async def _submit(self, job, seen):
        until = seen.due_at + PATIENCE_S
        while self._loop.now() < until:
            seen.tries += 1
            status, state = await self._ask(RequestKind.SUBMIT, seen.job_id, job, SUBMIT_S)
            if status in ACCEPTED:
                seen.accepted_at = self._loop.now()
                self._learn(seen, state)
                return True
            if status in (400, 422):
                self.result.faults.append(f"{seen.job_id}: submission answered {status}")
                return False
            await self._loop.sleep(self._random.uniform(*RETRY_S))
        return False

    async def _wait(self, seen):
        while seen.state not in FINAL:
            await self._loop.sleep(self._random.uniform(*POLL_EVERY_S))
            status, state = await self._ask(RequestKind.POLL, seen.job_id, None, POLL_S)
            if status in ACCEPTED:
                self._learn(seen, state)

    async def _cancel(self, arrival, seen):
        due_at = seen.due_at + arrival.cancel_after_s
        await self._loop.sleep(max(0.0, due_at - self._loop.now()))
        seen.cancel_asked_at = self._loop.now()
        while seen.state not in FINAL and self._loop.now() < seen.cancel_asked_at + PATIENCE_S:
            status, state = await self._ask(RequestKind.CANCEL, seen.job_id, None, SUBMIT_S)
            if status in ACCEPTED:
                self._learn(seen, state)
                return
            await self._loop.sleep(self._random.uniform(*RETRY_S))

    def _learn(self, seen, state):
        if state in FINAL and seen.state not in FINAL:
            seen.over_at = self._loop.now()
            if state == "cancelled":
                seen.cancelled_at = seen.over_at
        if seen.state not in FINAL:
            seen.state = state

    async def _ask(self, question, job_id, body, timeout_s):
        """(status, the job's state) of any controller; status 0 without an answer."""
        asked_at = self._loop.now()
        number = self._random.randrange(len(self._clients))
        if body is not None:
            self._history.submitted(job_id, asked_at)
        status, state = await self._send(self._clients[number], question, job_id, body, timeout_s)
        self._answers[f"{question.value} {status}"] += 1
        answer = Answer(job_id, question, self._fronts[number], asked_at, self._loop.now(), status, state)
        self.result.faults += map(str, self._history.add(answer))
        return status, state

    async def _send(self, client, question, job_id, body, timeout_s):
        path = {
            RequestKind.SUBMIT: "/v1/jobs",
            RequestKind.POLL: f"/v1/jobs/{job_id}",
            RequestKind.CANCEL: f"/v1/jobs/{job_id}/cancel",
        }[question]
        method = "GET" if question is RequestKind.POLL else "POST"
        data = cbor2.dumps(body) if body is not None else b""
        try:
            status, data, _headers = await client.request(method, path, data, timeout_s)
        except (NoResponseError, Timeout):
            return 0, None
        answer = cbor2.loads(data) if data else None
        return status, answer.get("status") if isinstance(answer, dict) else None


def main(directory):
    """The process of the users; leaves a LoadResult as JSON."""
    layout, loop = Layout(directory), Loop()
    users = Users(loop, layout)

    async def run():
        await users.run()
        loop.stop()

    loop.spawn(run(), "users")
    loop.run()
    (layout.directory / RESULT).write_bytes(msgspec.json.encode(users.result))
