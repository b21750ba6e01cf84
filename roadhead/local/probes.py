"""Users who ask oddly: again and again within milliseconds, or for what can't be."""

from roadhead.local.histories import FINAL
from roadhead.local.scenario import parse_job

LOOKS_AFTER_S = (0.001, 0.005, 0.02, 0.1)
ODD_EVERY_S = 0.5
ODD_FIRST = 700_000  # number of the first job that can't be


class ConsistencyProbe:
    """Asks all controllers, and repeats the submission, right after a user heard something new."""

    def __init__(self, world, user):
        self._user = user
        for after in LOOKS_AFTER_S:
            for via in range(len(world.fronts)):
                world.sim.call_later(after, self._spawn, world.user_loop, "GET", via)
                world.sim.call_later(after, self._spawn, world.user_loop, "POST", via)

    def _spawn(self, loop, method, via):
        loop.spawn(self._look(method, via), "close look")

    async def _look(self, method, via):
        user = self._user
        if method == "GET":
            user._hear(await user._ask("GET", f"/v1/jobs/{user.id}", None, 2.0, via))
        else:
            user._hear(await user._ask("POST", "/v1/jobs", user.submission(), 5.0, via))


class InvalidRequests:
    """For a while: repeated submissions, cancellations of what is done, and jobs that can never run.

    `refused`: of the jobs that can't be, how many got 400 or 422; `sent`: of how many that were answered.
    """

    def __init__(self, world, seconds):
        self._world = world
        self.ids = []
        self.sent = self.refused = 0
        for number in range(int(seconds / ODD_EVERY_S)):
            world.sim.call_later(number * ODD_EVERY_S, self._start, number)

    def _start(self, number):
        act = (self._misfit, self._incomplete, self._repeat, self._cancel_done)[number % 4]
        self._world.user_loop.spawn(act(), "odd request")

    def _some(self, wanted):
        users = [user for user in self._world.users.values() if user.accepted and wanted(user)]
        return self._world.sim.random.choice(users) if users else None

    async def _repeat(self):
        user = self._some(lambda user: user.last_state not in FINAL)
        if user is not None:
            await user.submit_again()

    async def _cancel_done(self):
        user = self._some(lambda user: user.last_state == "done")
        if user is not None:
            user._hear(await user._ask("POST", f"/v1/jobs/{user.id}/cancel", None, 5.0))

    async def _misfit(self):
        await self._send({"vcpus": 1000.0})

    async def _incomplete(self):
        await self._send({}, without="legs")

    async def _send(self, fields, without=None):
        world = self._world
        count = sum(len(requests.ids) for requests in world.injector.odd_requests)
        job = {**parse_job({}), **fields, "id": f"req-{ODD_FIRST + count}"}
        job.pop(without, None)
        self.ids.append(job["id"])
        user = world.new_user(job)  # not one of the world's: nobody waits for its job
        status = (await user._ask("POST", "/v1/jobs", user.submission(), 5.0)).status
        if status in (200, 201):
            world.record_violation("odd_accepted", f"{job['id']} was answered {status}")
        self.sent += status != 0
        self.refused += status in (400, 422)
        self.check()

    def check(self):
        """Nothing of them may be stored."""
        for key in self._world.state.data:
            if key.rpartition("/")[2] in self.ids:
                self._world.record_violation("odd_accepted", f"{key} is stored")
