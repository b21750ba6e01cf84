"""An emulated user: submits a job, asks for it until it is over, and checks what it is told."""

from typing import NamedTuple

import cbor2

from roadhead.local.histories import FINAL, REFUSED, Answer, RequestKind
from roadhead.runtime.loop import Timeout
from roadhead.wire.http import Client, NoResponseError

UNTOLD = ("runS", "apartS", "faulty")  # what a scenario says of a job and its user does not know


def _kind_of(method, path):
    if method == "GET":
        return RequestKind.POLL
    return RequestKind.CANCEL if path.endswith("/cancel") else RequestKind.SUBMIT


class Reply(NamedTuple):
    """`status` is 0 if no answer came."""

    status: int
    body: dict | None
    asked_at: float


class EmulatedUser:
    """Submits a job and polls it until it is over, as the protocol says users do."""

    def __init__(self, world, job):
        self.world = world
        self.sim = world.sim
        self.job = job
        self.id = job["id"]
        self.accepted = False
        self.last_state = None
        self.told_at = 0.0
        self.gave_up = False
        self.asked_to_cancel = False
        self.answered_at = 0.0  # the last question about an accepted job
        self.told_cancelled_at = None

    async def _ask(self, method, path, body, timeout, via=None):
        """A question and its answer, as a Reply, which the history of all answers keeps."""
        world, asked_at = self.world, self.sim.time
        job_id = body["id"] if body is not None else path.split("/")[3]
        if body is not None:
            world.history.submitted(job_id, asked_at)
        front = self._front(via)
        status, answer = await self._send(method, path, body, timeout, front)
        if status in REFUSED and self.may_be_removed:
            return Reply(status, answer, asked_at)
        state = answer.get("status") if isinstance(answer, dict) else None
        question = _kind_of(method, path)
        for fault in world.history.add(
            Answer(job_id, question, front or "none", asked_at, self.sim.time, status, state)
        ):
            world.record_violation(fault.rule.value, str(fault))
        return Reply(status, answer, asked_at)

    def _front(self, via):
        """The address to ask at: any that listens, or that of one controller; None if there is none."""
        world = self.world
        fronts = [front for front in world.fronts_for(self.job) if front in world.network.listeners]
        if via is not None:
            fronts = [front for front in fronts if front == world.fronts[via]]
        return self.sim.random.choice(fronts) if fronts else None

    async def _send(self, method, path, body, timeout, front):
        """(status, answer) of one front; (0, None) if there is no answer."""
        if front is None:
            return 0, None
        client = Client(self.world.user_loop, self.world.user_net, front, 0)
        data = cbor2.dumps(body) if body is not None else b""
        try:
            status, data, _ = await client.request(method, path, data, timeout)
        except (NoResponseError, Timeout):
            return 0, None
        return status, (cbor2.loads(data) if data else None)

    def _hear(self, reply):
        """Learns from an answer of 200 or 201, and checks it against what really runs."""
        world = self.world
        status, answer, asked_at = reply
        if status not in (200, 201):
            return
        self.answered_at = self.sim.time
        state = answer["status"]
        if self.last_state in FINAL and state not in FINAL:
            return  # an older answer to a question that overlapped, or a fault that the history has noted
        if (
            state == "cancelled"
            and not self.asked_to_cancel
            and not any(user.asked_to_cancel for user in world.upstream_users(self.id))
        ):
            world.record_violation("went_back", f"{self.id}: nobody cancelled it")
        if state == "done" and not world.all_completed(self.job):
            world.record_violation("not_done", self.id)
        if state == "cancelled" and self.told_cancelled_at is None:
            self.told_cancelled_at = self.sim.time
            world.cancelled_at[self.id] = self.sim.time
        if state in ("pending", "running") and any(
            asked_at > told + world.settings["workers"]["cancel_s"] for told in world.cancelled_above(self.id)
        ):
            world.record_violation("orphaned", f"{self.id} is called {state}")
        learned = state != self.last_state and (state in ("done", "cancelled") or self.last_state is None)
        if self.last_state != state:
            self.told_at = self.sim.time
        self.last_state = state
        if learned:
            world.injector.user_learned(self)

    @property
    def may_be_removed(self):
        """Whether its job may be gone for good, as those of a removed tenant are."""
        return False

    def submission(self):
        """Its job as submitted."""
        return {k: v for k, v in self.job.items() if k not in UNTOLD}

    async def run(self):
        loop = self.world.user_loop
        public = self.submission()
        # The jobs of a pipeline are submitted each as soon as those that it needs are accepted.
        while not all(
            self.world.users[name].accepted
            for name in public.get("upstream") or ()
            if name in self.world.users and name != self.id
        ):
            await loop.sleep(0.05)
        begun = self.sim.time
        while not self.accepted:
            reply = await self._ask("POST", "/v1/jobs", public, 5.0)
            if reply.status in (200, 201):
                self.accepted = True
                self._hear(reply)
            elif reply.status in (400, 422):
                self.world.refusals[self.id] = reply.status
                return
            elif self.gave_up or self.sim.time - begun > 60:
                self.gave_up = True
                return
            else:
                await loop.sleep(1.0 + self.sim.random.random())
        while self.last_state not in ("done", "cancelled"):
            await loop.sleep(4.0 + 2 * self.sim.random.random())
            self._hear(await self._ask("GET", f"/v1/jobs/{self.id}", None, 2.0))
        # Long after the end, any controller must say the same.
        for _ in range(4):
            await loop.sleep(7.0)
            self._hear(await self._ask("GET", f"/v1/jobs/{self.id}", None, 2.0))

    async def submit_again(self):
        """A retry long after the job was accepted, until it is answered."""
        public = self.submission()
        while not self.accepted:
            await self.world.user_loop.sleep(1.0)
        for _ in range(60):
            reply = await self._ask("POST", "/v1/jobs", public, 5.0)
            if reply.status in (200, 201):
                self._hear(reply)
                return
            await self.world.user_loop.sleep(1.0)

    async def poll(self, via=None):
        """One question more, of the controller named."""
        self._hear(await self._ask("GET", f"/v1/jobs/{self.id}", None, 2.0, via))

    async def cancel(self, via=None):
        self.asked_to_cancel = True
        begun = self.sim.time
        while self.sim.time - begun < 60:
            reply = await self._ask("POST", f"/v1/jobs/{self.id}/cancel", None, 5.0, via)
            if reply.status == 200:
                self._hear(reply)
                return
            await self.world.user_loop.sleep(1.0)
