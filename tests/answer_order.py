"""Checks that answers keep real-time order: users query every controller around each event of a job."""

from dataclasses import replace
from itertools import product

from roadhead.local.histories import ACCEPTED, FINAL, REFUSED, Answer, RequestKind
from roadhead.local.scenario import parse_job
from roadhead.local.user import EmulatedUser
from roadhead.local.world import World
from roadhead.runtime.loop import Future

EVENT_S = 40.0  # time of the first job's event
EVENT_GAP_S = 0.03  # seconds between the events of two jobs
FOLLOW_UPS_S = (0.001, 0.005, 0.02, 0.1)  # further queries after an answer that shows progress
# Queries are sent from QUERY_BEFORE_S before an event until QUERY_AFTER_S after it.
QUERY_BEFORE_S, QUERY_INTERVAL_S, QUERY_AFTER_S = 0.015, 0.01, 0.3
JOBS = 3  # each is submitted through another controller, which becomes its owner
EVENTS_OF_NEW_JOBS = ("accepted", "called off")  # the job is submitted only at the event's time
# After a job's end: before, while and after its owner hears of the end.
CANCELLED_AFTER_S = (0.0, 0.01, 0.5)
CONTROLLERS = range(3)
# Request methods used for each job. They are varied because a request of one method makes a controller
# remember how the job ended, which can hide a wrong answer to the other method.
REQUEST_METHODS = (("POST",), ("GET",), ("GET", "POST"))


def value_is_final(key, value):
    """Returns whether this is the record of a job that has ended."""
    return key.startswith(("j/", "f/")) and value["s"] in FINAL


def progress(answer):
    """Returns the job's progress by an answer: 0 not accepted, 1 open, 2 ended, None if it shows none."""
    if answer.status in REFUSED:
        return 0
    if answer.status not in ACCEPTED:
        return None
    return 2 if answer.final else 1


def is_older(answer, earlier):
    """Returns whether an answer shows less progress, or another final state, than an earlier one."""
    if progress(answer) == 2 == progress(earlier):
        return answer.state != earlier.state
    return progress(answer) < progress(earlier)


def older_answers(answers):
    """Returns the pairs of answers on one job of which the second is older than the first.

    Two orders must hold. Real time: the second request was sent after the first answer was received.
    Monotonic answers of a controller: the same controller answered the second later than the first,
    whenever it was asked.
    """
    relevant = [answer for answer in answers if progress(answer) is not None]
    return [
        (first, second)
        for first, second in product(relevant, relevant)
        if first.job_id == second.job_id
        and (
            first.answered_at <= second.asked_at
            or (
                first.controller
                and first.controller == second.controller
                and first.answered_at < second.answered_at
            )
        )
        and is_older(second, first)
    ]


class RecordingUser(EmulatedUser):
    """A user whose answers are all recorded in the world's `answers`. Submits through the controller `own`.

    Answers that come after it was told of its job's end may be older, since the requests overlapped; User
    discards these.
    """

    def __init__(self, world, job, own):
        super().__init__(world, job)
        self._own = own

    async def _request(self, method, path, body, timeout, via=None):
        if via is None and not self.accepted:
            via = self._own
        reply = await super()._request(method, path, body, timeout, via)
        state = reply.body.get("status") if reply.body else None
        controller = "" if via is None else self.world.fronts[via]
        question = RequestKind.POLL if method == "GET" else RequestKind.SUBMIT
        self.world.record_answer(
            Answer(self.id, question, controller, reply.asked_at, self.sim.time, reply.status, state)
        )
        return reply


class QueriedWorld(World):
    """Runs three jobs with one event each, and queries every controller about all of them around it.

    `event`: "accepted" (while the submission is repeated at every controller), "ended", "cancelled", "both"
    (end and cancellation at the same time), "called off" (cancelled as soon as any controller answers that
    the job is accepted) or "cancelled above" (a job upstream of it is cancelled).
    """

    def __init__(self, event, text):
        super().__init__(f"rps 4000\nwrite_rps 600\ncapacity 6\nuntil 75\n{text}")
        self.answers = []
        self.slow_answers = {}  # controller's host -> delay of answers to its transactions
        self.slow_reads = 0.0  # maximum delay of answers to all reads
        self.silent_watches = set()  # hosts whose watches are not answered
        self.silent_leases = set()  # hosts whose lease renewals are not answered
        self.delayed_answers = {}  # path -> delay of its next answer
        self.job_to_archive = None  # a job that is archived as soon as either key of its record was read
        self._progress = {}
        self._event = event
        for number in CONTROLLERS:
            at = EVENT_S + number * EVENT_GAP_S
            self.sim.call_at(at if event in EVENTS_OF_NEW_JOBS else 1.0, self._submit, number)
            if event == "cancelled above":
                self.sim.call_at(0.9, self._submit, number + JOBS)
                self.sim.call_at(at, self._cancel, number + JOBS)
            self.sim.call_at(at - QUERY_BEFORE_S, self._ask_often, number)
            if event in ("ended", "both"):
                self.sim.call_at(at, self.end_job, number)
            if event in ("cancelled", "both"):
                delay_s = CANCELLED_AFTER_S[number] if event == "both" else 0.0
                self.sim.call_at(at + delay_s, self._cancel, number)
        real = self.state.handle

        async def handle(method, path, args, body, host):
            if path == "/changes" and host in self.silent_watches:
                await Future()
            if path.startswith("/leases/") and host in self.silent_leases:
                await Future()
            answer = await real(method, path, args, body, host)
            if path in self.delayed_answers:
                await self.state.loop.sleep(self.delayed_answers.pop(path))
            if self.job_to_archive is not None and path in (
                f"/store/j/{self.job_to_archive}",
                f"/store/f/{self.job_to_archive}",
            ):
                self._move()
            if path == "/multi" and body["writes"] and self.slow_answers.get(host):
                await self.state.loop.sleep(self.slow_answers[host])
            elif self.slow_reads and (
                path.startswith("/store/") or (path == "/multi" and not body["writes"])
            ):
                await self.state.loop.sleep(self.sim.random.uniform(0, self.slow_reads))
            return answer

        self.state.handle = handle

    @staticmethod
    def job_id(number):
        return f"req-{number + 1:06d}"

    def _move(self):
        name, self.job_to_archive = self.job_to_archive, None
        record = self.state.data[f"j/{name}"][0]
        self.state.multi({"if": [], "writes": [{"put": f"f/{name}", "data": record}, {"drop": f"j/{name}"}]})

    def _submit(self, number):
        job = {**parse_job({"legs": "1", "runS": "1000", "expectS": "10"}), "id": self.job_id(number)}
        if self._event == "cancelled above" and number < JOBS:
            job["upstream"] = [self.job_id(number + JOBS)]
        self.jobs[job["id"]] = job
        user = self.users[job["id"]] = RecordingUser(self, job, number % 3)
        self.user_loop.spawn(user.run(), job["id"])

    def end_job(self, number):
        for worker in self.cloud.rented.values():
            for item in list(worker.tasks.values()):
                if item.task.startswith(self.job_id(number)) and item.status == "running":
                    worker._exit(item, "done")

    def _cancel(self, number):
        """Cancels a job through a controller that is not its owner."""
        self.user_loop.spawn(self.users[self.job_id(number)].cancel((number + 1) % 3), "cancel")

    def stale_open_jobs(self):
        """Returns (controller, job) of jobs that a controller holds open though their records are final."""
        ended = {key[2:] for key, (value, *_) in self.state.data.items() if value_is_final(key, value)}
        return [
            (node.label, job_id)
            for node in self.nodes.values()
            for job_id, job in node.job_store.jobs.items()
            if job_id in ended and job.state == "open"
        ]

    def ask(self, job_id, via):
        user = self.users.get(job_id)
        if user is None:
            return
        methods = REQUEST_METHODS[int(job_id[-1]) - 1]
        if "GET" in methods:
            self.user_loop.spawn(user._request("GET", f"/v1/jobs/{job_id}", None, 2.0, via), "ask")
        if "POST" in methods and (self._event in EVENTS_OF_NEW_JOBS or user.accepted):
            self.user_loop.spawn(user._request("POST", "/v1/jobs", user.submission(), 5.0, via), "repeat")

    def _ask_often(self, number):
        for step in range(round((QUERY_BEFORE_S + QUERY_AFTER_S) / QUERY_INTERVAL_S)):
            for via in CONTROLLERS:
                self.sim.call_later(step * QUERY_INTERVAL_S, self.ask, self.job_id(number), via)

    def record_answer(self, answer):
        is_upstream = int(answer.job_id[-1]) > JOBS
        if is_upstream and answer.state == "cancelled":  # the job downstream of it is cancelled with it
            answer = replace(answer, job_id=self.job_id(int(answer.job_id[-1]) - 1 - JOBS), controller="")
        elif is_upstream:
            return
        self.answers.append(answer)
        if progress(answer) is not None and progress(answer) > self._progress.get(answer.job_id, 0):
            if self._event == "called off" and progress(answer) == 1:
                self._cancel(int(answer.job_id[-1]) - 1)
            self._progress[answer.job_id] = progress(answer)
            for delay_s, via in product(FOLLOW_UPS_S, CONTROLLERS):
                self.sim.call_later(delay_s, self.ask, answer.job_id, via)
