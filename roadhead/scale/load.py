"""The users of a scale run: an open-loop load generator, so a slow service does not reduce its own load.

Each job is submitted at its scheduled time, however many requests are pending. Latencies are measured from
that time, not from when the request was sent.
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
from roadhead.wire.http import HttpClient, NoResponseError

RESULT_FILE = "load.json"
SUCCESS_STATUSES = (200, 201)
SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S = 5.0, 2.0  # request timeouts of users
RETRY_FOR_S = 60.0  # how long users retry a submission or a cancellation
POLL_PAUSE_S = (4.0, 6.0)  # range of random pauses between polls
RETRY_PAUSE_S = (1.0, 2.0)  # range of random pauses between retries
MAX_IDLE_CONNECTIONS = 64  # idle connections kept open to each controller


@dataclass
class JobResult:
    """What a user saw of a job. Times are seconds of the monotonic clock, None for what did not happen."""

    job_id: str
    job_class: str
    tasks: int
    due_at: float  # scheduled time of its submission
    accepted_at: float | None = None
    over_at: float | None = None
    state: str | None = None
    cancel_asked_at: float | None = None
    cancelled_at: float | None = None
    tries: int = 0


@dataclass
class LoadResult:
    """What all users saw together. `answers`: "<question> <status>" -> count."""

    began_at: float
    jobs: list[JobResult] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)
    received: int = 0
    sent: int = 0


class Users:
    """Sends all jobs of a Workload to the controllers and follows them to their ends."""

    def __init__(self, loop, layout):
        self._loop = loop
        self._plan = layout.plan
        self._traffic = Traffic()
        net = CountedNet(loop, self._traffic)
        self._fronts = layout.document["fronts"]
        self._clients = [HttpClient(loop, net, front, MAX_IDLE_CONNECTIONS) for front in self._fronts]
        self._random = random.Random(layout.plan.seed)
        self._history = AnswerHistory()
        self._open_jobs = 0
        self._arrivals = Workload(layout.plan).arrivals
        self._answers = Counter()
        self.result = LoadResult(loop.now())

    async def run(self):
        """Submits every job at its time, then waits up to the plan's `drain_s` for the open ones."""
        for arrival in self._arrivals:
            due_at = self.result.began_at + arrival.at_s
            await self._loop.sleep(max(0.0, due_at - self._loop.now()))
            self._loop.spawn(self._run_job(arrival, due_at), arrival.job["id"])
        deadline = self.result.began_at + self._plan.load_s + self._plan.drain_s
        while self._open_jobs and self._loop.now() < deadline:
            await self._loop.sleep(0.2)
        self.result.answers = dict(self._answers)
        self.result.received, self.result.sent = self._traffic.received, self._traffic.sent

    async def _run_job(self, arrival, due_at):
        job = arrival.job
        outcome = JobResult(job["id"], job["jobclass"], job["legs"], due_at)
        self.result.jobs.append(outcome)
        self._open_jobs += 1
        try:
            if await self._submit(job, outcome):
                if arrival.cancel_after_s is not None:
                    self._loop.spawn(self._cancel(arrival, outcome), "cancel")
                await self._wait(outcome)
        finally:
            self._open_jobs -= 1

    async def _submit(self, job, outcome):
        deadline = outcome.due_at + RETRY_FOR_S
        while self._loop.now() < deadline:
            outcome.tries += 1
            status, state = await self._request(RequestKind.SUBMIT, outcome.job_id, job, SUBMIT_TIMEOUT_S)
            if status in SUCCESS_STATUSES:
                outcome.accepted_at = self._loop.now()
                self._record_state(outcome, state)
                return True
            if status in (400, 422):
                self.result.faults.append(f"{outcome.job_id}: submission answered {status}")
                return False
            await self._loop.sleep(self._random.uniform(*RETRY_PAUSE_S))
        return False

    async def _wait(self, outcome):
        while outcome.state not in FINAL:
            await self._loop.sleep(self._random.uniform(*POLL_PAUSE_S))
            status, state = await self._request(RequestKind.POLL, outcome.job_id, None, POLL_TIMEOUT_S)
            if status in SUCCESS_STATUSES:
                self._record_state(outcome, state)

    async def _cancel(self, arrival, outcome):
        due_at = outcome.due_at + arrival.cancel_after_s
        await self._loop.sleep(max(0.0, due_at - self._loop.now()))
        outcome.cancel_asked_at = self._loop.now()
        while outcome.state not in FINAL and self._loop.now() < outcome.cancel_asked_at + RETRY_FOR_S:
            status, state = await self._request(RequestKind.CANCEL, outcome.job_id, None, SUBMIT_TIMEOUT_S)
            if status in SUCCESS_STATUSES:
                self._record_state(outcome, state)
                return
            await self._loop.sleep(self._random.uniform(*RETRY_PAUSE_S))

    def _record_state(self, outcome, state):
        if state in FINAL and outcome.state not in FINAL:
            outcome.over_at = self._loop.now()
            if state == "cancelled":
                outcome.cancelled_at = outcome.over_at
        if outcome.state not in FINAL:
            outcome.state = state

    async def _request(self, question, job_id, body, timeout_s):
        """Returns (status, the job's state) as a random controller answers; status 0 without an answer."""
        asked_at = self._loop.now()
        number = self._random.randrange(len(self._clients))
        if body is not None:
            self._history.record_submission(job_id, asked_at)
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
    """Runs the users' process and writes its LoadResult as JSON into the run's directory."""
    layout, loop = Layout(directory), Loop()
    users = Users(loop, layout)

    async def run():
        await users.run()
        loop.stop()

    loop.spawn(run(), "users")
    loop.run()
    (layout.directory / RESULT_FILE).write_bytes(msgspec.json.encode(users.result))
