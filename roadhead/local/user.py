"""Emulates a user: it submits a job, polls it until it has ended, and checks every response."""

from typing import NamedTuple

import cbor2

from roadhead.local.histories import FINAL, REFUSED, Answer, RequestKind
from roadhead.local.late_copies import schedule_copies
from roadhead.runtime.loop import Timeout
from roadhead.wire.http import HttpClient, NoResponseError

SIMULATION_FIELDS = ("runS", "apartS", "faulty")  # fields for the emulated worker, not part of a submission

COPY_TIMEOUT_S = 5.0  # for the response to a copy of a request


def _question_of(method, path):
    """Returns the kind of a request."""
    if method == "GET":
        return RequestKind.POLL
    return RequestKind.CANCEL if path.endswith("/cancel") else RequestKind.SUBMIT


class Reply(NamedTuple):
    """A response to a user's request; `status` is 0 if none came."""

    status: int
    body: dict | None
    asked_at: float


class EmulatedUser:
    """Submits a job and polls it until it has ended, as the protocol requires of users."""

    def __init__(self, world, job):
        self.world = world
        self.sim = world.sim
        self.job = job
        self.id = job["id"]
        self.accepted = False
        self.last_state = None  # the job's state in the latest response that counts
        self.state_changed_at = 0.0  # when that state was first seen
        self.has_given_up = False
        self.has_requested_cancel = False
        self.answered_at = 0.0  # time of the last successful response
        self.cancelled_seen_at = None  # when the job was first seen cancelled

    async def _request(self, method, path, body, timeout, via=None):
        """Sends a request, adds the response to the history of all responses, and returns it as a Reply."""
        world, asked_at = self.world, self.sim.time
        job_id = body["id"] if body is not None else path.split("/")[3]
        if body is not None:
            world.history.record_submission(job_id, asked_at)
        front = self._front(via)
        status, answer = await self._send(method, path, body, timeout, front)
        if status in REFUSED and self.may_be_removed:
            return Reply(status, answer, asked_at)
        state = answer.get("status") if isinstance(answer, dict) else None
        question = _question_of(method, path)
        for fault in world.history.add(
            Answer(job_id, question, front or "none", asked_at, self.sim.time, status, state)
        ):
            world.record_violation(fault.rule.value, str(fault))
        return Reply(status, answer, asked_at)

    def _front(self, via):
        """Returns the address of a random live controller, or of controller `via`; None if it is down."""
        world = self.world
        fronts = [front for front in world.fronts_for(self.job) if front in world.network.listeners]
        if via is not None:
            fronts = [front for front in fronts if front == world.fronts[via]]
        return self.sim.random.choice(fronts) if fronts else None

    async def _send(self, method, path, body, timeout, front):
        """Returns (status, body) of a controller's response; (0, None) if there is none."""
        if front is None:
            return 0, None
        client = HttpClient(self.world.user_loop, self.world.user_net, front, 0)
        data = cbor2.dumps(body) if body is not None else b""
        try:
            status, answer, _ = await client.request(method, path, data, timeout)
        except (NoResponseError, Timeout):
            return 0, None
        if status in (200, 201):
            schedule_copies(
                self.world.fault_windows.copied_user_requests,
                self.sim,
                self.world.user_loop,
                method,
                lambda: self._send_copy(method, path, body),
            )
        return status, (cbor2.loads(answer) if answer else None)

    async def _send_copy(self, method, path, body):
        """Sends a copy of an answered request to any controller; nobody reads its response."""
        front = self._front(None)
        if front is None:
            return
        data = cbor2.dumps(body) if body is not None else b""
        client = HttpClient(self.world.user_loop, self.world.user_net, front, 0)
        try:
            await client.request(method, path, data, COPY_TIMEOUT_S)
        except (NoResponseError, Timeout):
            pass

    def _handle_reply(self, reply):
        """Takes the job's state from a response of 200 or 201, and checks it against what really runs."""
        world = self.world
        status, answer, asked_at = reply
        if status not in (200, 201):
            return
        self.answered_at = self.sim.time
        state = answer["status"]
        if self.last_state in FINAL and state not in FINAL:
            return  # an older response to an overlapping request, or a violation reported by the history
        if (
            state == "cancelled"
            and not self.has_requested_cancel
            and not any(user.has_requested_cancel for user in world.upstream_users(self.id))
        ):
            world.record_violation(
                "went_back", f"{self.id} is reported as cancelled, but nobody cancelled it"
            )
        if state == "done" and not world.all_completed(self.job):
            world.record_violation(
                "not_done", f"{self.id} is reported as done before all its tasks have completed"
            )
        if state == "cancelled" and self.cancelled_seen_at is None:
            self.cancelled_seen_at = self.sim.time
            world.cancelled_at[self.id] = self.sim.time
        if state in ("pending", "running") and any(
            asked_at > cancelled_at + world.settings["workers"]["cancel_s"]
            for cancelled_at in world.upstream_cancelled_at(self.id)
        ):
            world.record_violation(
                "orphaned", f"{self.id} is reported as {state}, long after an upstream job was cancelled"
            )
        is_new = state != self.last_state and (state in ("done", "cancelled") or self.last_state is None)
        if self.last_state != state:
            self.state_changed_at = self.sim.time
        self.last_state = state
        if is_new:
            world.injector.user_learned(self)

    @property
    def may_be_removed(self):
        """Returns whether the job may have been deleted, as the jobs of a removed tenant are."""
        return False

    def submission(self):
        """Returns the job as submitted."""
        return {name: value for name, value in self.job.items() if name not in SIMULATION_FIELDS}

    async def run(self):
        """Submits the job, polls it until it has ended, and checks that the end stays known."""
        loop = self.world.user_loop
        submission = self.submission()
        # A job of a pipeline is submitted as soon as its upstream jobs are accepted.
        while not all(
            self.world.users[name].accepted
            for name in submission.get("upstream") or ()
            if name in self.world.users and name != self.id
        ):
            await loop.sleep(0.05)
        started_at = self.sim.time
        while not self.accepted:
            reply = await self._request("POST", "/v1/jobs", submission, 5.0)
            if reply.status in (200, 201):
                self.accepted = True
                self._handle_reply(reply)
            elif reply.status in (400, 422):
                self.world.refusals[self.id] = reply.status
                return
            elif self.has_given_up or self.sim.time - started_at > 60:
                self.has_given_up = True
                return
            else:
                await loop.sleep(1.0 + self.sim.random.random())
        while self.last_state not in ("done", "cancelled"):
            await loop.sleep(4.0 + 2 * self.sim.random.random())
            self._handle_reply(await self._request("GET", f"/v1/jobs/{self.id}", None, 2.0))
        # Long after its end, every controller must still report the same state.
        for _ in range(4):
            await loop.sleep(7.0)
            self._handle_reply(await self._request("GET", f"/v1/jobs/{self.id}", None, 2.0))

    async def submit_again(self):
        """Repeats the submission of an accepted job until it is answered."""
        submission = self.submission()
        while not self.accepted:
            await self.world.user_loop.sleep(1.0)
        for _ in range(60):
            reply = await self._request("POST", "/v1/jobs", submission, 5.0)
            if reply.status in (200, 201):
                self._handle_reply(reply)
                return
            await self.world.user_loop.sleep(1.0)

    async def poll(self, via=None):
        """Polls once more, at controller `via` if given."""
        self._handle_reply(await self._request("GET", f"/v1/jobs/{self.id}", None, 2.0, via))

    async def cancel(self, via=None):
        """Cancels the job, retrying for up to a minute."""
        self.has_requested_cancel = True
        started_at = self.sim.time
        while self.sim.time - started_at < 60:
            reply = await self._request("POST", f"/v1/jobs/{self.id}/cancel", None, 5.0, via)
            if reply.status == 200:
                self._handle_reply(reply)
                return
            await self.world.user_loop.sleep(1.0)
