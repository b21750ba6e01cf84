"""Probes with unusual requests: many within milliseconds, repeated ones, and invalid ones."""

from roadhead.local.histories import FINAL
from roadhead.local.scenario import parse_job

PROBE_DELAYS_S = (0.001, 0.005, 0.02, 0.1)
REQUEST_EVERY_S = 0.5
FIRST_INVALID_NUMBER = 700_000  # the first number in the ids of invalid jobs


class ConsistencyProbe:
    """Polls and repeats the submission at every controller, right after a user has seen a new state."""

    def __init__(self, world, user):
        self._user = user
        for after in PROBE_DELAYS_S:
            for via in range(len(world.fronts)):
                world.sim.call_later(after, self._start_probe, world.user_loop, "GET", via)
                world.sim.call_later(after, self._start_probe, world.user_loop, "POST", via)

    def _start_probe(self, loop, method, via):
        loop.spawn(self._probe(method, via), "close look")

    async def _probe(self, method, via):
        user = self._user
        if method == "GET":
            user._handle_reply(await user._request("GET", f"/v1/jobs/{user.id}", None, 2.0, via))
        else:
            user._handle_reply(await user._request("POST", "/v1/jobs", user.submission(), 5.0, via))


class InvalidRequests:
    """Sends, for a while, repeated submissions, cancellations of finished jobs, and invalid jobs.

    `sent` counts the invalid jobs that were answered, `refused` those of them that got 400 or 422.
    """

    def __init__(self, world, seconds):
        self._world = world
        self.ids = []
        self.sent = self.refused = 0
        for number in range(int(seconds / REQUEST_EVERY_S)):
            world.sim.call_later(number * REQUEST_EVERY_S, self._start, number)

    def _start(self, number):
        action = (
            self._submit_infeasible,
            self._submit_incomplete,
            self._repeat_submission,
            self._cancel_done,
        )[number % 4]
        self._world.user_loop.spawn(action(), "odd request")

    def _random_user(self, matches):
        users = [user for user in self._world.users.values() if user.accepted and matches(user)]
        return self._world.sim.random.choice(users) if users else None

    async def _repeat_submission(self):
        user = self._random_user(lambda user: user.last_state not in FINAL)
        if user is not None:
            await user.submit_again()

    async def _cancel_done(self):
        user = self._random_user(lambda user: user.last_state == "done")
        if user is not None:
            user._handle_reply(await user._request("POST", f"/v1/jobs/{user.id}/cancel", None, 5.0))

    async def _submit_infeasible(self):
        await self._send({"vcpus": 1000.0})

    async def _submit_incomplete(self):
        await self._send({}, without="legs")

    async def _send(self, fields, without=None):
        world = self._world
        count = sum(len(requests.ids) for requests in world.injector.odd_requests)
        job = {**parse_job({}), **fields, "id": f"req-{FIRST_INVALID_NUMBER + count}"}
        job.pop(without, None)
        self.ids.append(job["id"])
        user = world.new_user(job)  # not added to the world's users, so that no check waits for its job
        status = (await user._request("POST", "/v1/jobs", user.submission(), 5.0)).status
        if status in (200, 201):
            world.record_violation(
                "odd_accepted", f"invalid job {job['id']} was answered {status}, expected 400 or 422"
            )
        self.sent += status != 0
        self.refused += status in (400, 422)
        self.check()

    def check(self):
        """Checks that the state service stores nothing of the invalid jobs."""
        for key in self._world.state.data:
            if key.rpartition("/")[2] in self.ids:
                self._world.record_violation("odd_accepted", f"key {key} of an invalid job is stored")
