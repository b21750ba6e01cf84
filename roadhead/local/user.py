"""An emulated user: submits a job, asks for it until it is over, and checks what it is told."""

import cbor2

from roadhead.runtime.loop import Timeout
from roadhead.wire.http import Client, NoAnswer

UNTOLD = ("runS", "apartS", "faulty")  # what a scenario says of a job and its user does not know


class User:
    """Submits a job and polls it until it is over, as the protocol says users do."""

    def __init__(self, world, job):
        self.world = world
        self.sim = world.sim
        self.job = job
        self.id = job["id"]
        self.accepted = False
        self.told = None
        self.told_at = 0.0
        self.gave_up = False
        self.asked_to_cancel = False
        self.answered_at = 0.0  # the last question about an accepted job
        self.told_cancelled_at = None
        self.asked_at = 0.0

    async def _ask(self, method, path, body, timeout, via=None):
        world = self.world
        fronts = [f for f in world.fronts_for(self.job) if f in world.network.listeners]
        if via is not None:
            fronts = [f for f in fronts if f == world.fronts[via]]
        if not fronts:
            return 0, None
        client = Client(world.user_loop, world.user_net, self.sim.random.choice(fronts), 0)
        self.asked_at = self.sim.time
        try:
            status, data, _ = await client.request(
                method, path, cbor2.dumps(body) if body is not None else b"", timeout
            )
        except (NoAnswer, Timeout):
            return 0, None
        return status, (cbor2.loads(data) if data else None)

    def _hear(self, status, answer):
        """Checks an answer of 200 or 201 against all that was said before."""
        world = self.world
        if status == 404 and self.accepted:
            world.break_rule("forgotten", self.id)
        if status not in (200, 201):
            return
        self.answered_at = self.sim.time
        state = answer["status"]
        if self.told in ("done", "cancelled") and state != self.told:
            world.break_rule("went_back", f"{self.id}: {self.told} then {state}")
        if (
            state == "cancelled"
            and not self.asked_to_cancel
            and not any(user.asked_to_cancel for user in world.above(self.id))
        ):
            world.break_rule("went_back", f"{self.id}: nobody cancelled it")
        if state == "done" and not world.all_completed(self.job):
            world.break_rule("not_done", self.id)
        if state == "cancelled" and self.told_cancelled_at is None:
            self.told_cancelled_at = self.sim.time
            world.cancelled_at[self.id] = self.sim.time
        if state in ("pending", "running") and any(
            self.asked_at > told + world.settings["workers"]["cancel_s"]
            for told in world.cancelled_above(self.id)
        ):
            world.break_rule("orphaned", f"{self.id} is called {state}")
        learned = state != self.told and (state in ("done", "cancelled") or self.told is None)
        if self.told != state:
            self.told_at = self.sim.time
        self.told = state
        if learned:
            world.injector.user_learned(self)

    def described(self):
        """Its job as submitted."""
        return {k: v for k, v in self.job.items() if k not in UNTOLD}

    async def run(self):
        loop = self.world.user_loop
        public = self.described()
        # The jobs of a pipeline are submitted each as soon as those that it needs are accepted.
        while not all(
            self.world.users[name].accepted
            for name in public.get("upstream") or ()
            if name in self.world.users and name != self.id
        ):
            await loop.sleep(0.05)
        begun = self.sim.time
        while not self.accepted:
            status, answer = await self._ask("POST", "/v1/jobs", public, 5.0)
            if status in (200, 201):
                self.accepted = True
                self._hear(status, answer)
            elif status in (400, 422):
                self.world.refusals[self.id] = status
                return
            elif self.gave_up or self.sim.time - begun > 60:
                self.gave_up = True
                return
            else:
                await loop.sleep(1.0 + self.sim.random.random())
        while self.told not in ("done", "cancelled"):
            await loop.sleep(4.0 + 2 * self.sim.random.random())
            status, answer = await self._ask("GET", f"/v1/jobs/{self.id}", None, 2.0)
            self._hear(status, answer)
        # Long after the end, any controller must say the same.
        for _ in range(4):
            await loop.sleep(7.0)
            status, answer = await self._ask("GET", f"/v1/jobs/{self.id}", None, 2.0)
            self._hear(status, answer)

    async def submit_again(self):
        """A retry long after the job was accepted, until it is answered."""
        public = self.described()
        while not self.accepted:
            await self.world.user_loop.sleep(1.0)
        for _ in range(60):
            status, answer = await self._ask("POST", "/v1/jobs", public, 5.0)
            if status in (400, 404, 422):
                self.world.break_rule("forgotten", f"{self.id}: a retry was answered {status}")
            if status in (200, 201):
                self._hear(status, answer)
                return
            await self.world.user_loop.sleep(1.0)

    async def poll(self, via=None):
        """One question more, of the controller named."""
        self._hear(*await self._ask("GET", f"/v1/jobs/{self.id}", None, 2.0, via))

    async def cancel(self, via=None):
        self.asked_to_cancel = True
        begun = self.sim.time
        while self.sim.time - begun < 60:
            status, answer = await self._ask("POST", f"/v1/jobs/{self.id}/cancel", None, 5.0, via)
            if status == 200:
                self._hear(status, answer)
                return
            await self.world.user_loop.sleep(1.0)
