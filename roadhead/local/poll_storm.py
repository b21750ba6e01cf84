"""Generates a steady rate of polls, in addition to those of the jobs' own users."""

from roadhead.local.histories import FINAL


class PollStorm:
    """Polls accepted jobs at a steady rate; every fifth poll is for a job that nobody submitted.

    `polls` counts the polls sent, `answered` those that got 200 or 404.
    """

    def __init__(self, world, rate, seconds):
        self.world = world
        self.polls = self.answered = 0
        for number in range(int(rate * seconds)):
            world.sim.call_later(number / rate, self._start, number)

    def _start(self, number):
        self.world.user_loop.spawn(self._poll(number), "poll")

    async def _poll(self, number):
        users = [user for user in self.world.users.values() if user.accepted]
        if not users:
            return
        user = users[number % len(users)]
        self.polls += 1
        if number % 5:
            reply = await user._request("GET", f"/v1/jobs/{user.id}", None, 2.0)
            if reply.status == 200 and reply.body["status"] in FINAL:
                user._handle_reply(reply)
        else:
            reply = await user._request("GET", f"/v1/jobs/req-{900000 + number % 40}", None, 2.0)
        self.answered += reply.status in (200, 404)
