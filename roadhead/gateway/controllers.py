"""A gateway's signed requests to the controllers, to the tenant's quota leader first."""

import logging

from roadhead.gateway.answers import UNCERTAIN
from roadhead.runtime.loop import Timeout
from roadhead.wire import messages
from roadhead.wire.http import HttpClient, NoResponseError

log = logging.getLogger("roadhead.controllers")

MAX_ATTEMPTS = 3  # controllers asked per request
DEPRIORITIZE_S = 2.0  # how long a controller that did not answer is asked last


class Controllers:
    """Sends requests to the controllers of the deployment."""

    def __init__(self, loop, net, fronts, secrets, term, time_of_day, random):
        self._loop = loop
        self._clients = {
            label: HttpClient(loop, net, address, max_idle=32) for label, address in fronts.items()
        }
        self._secrets = secrets
        self._term = term  # () -> Term
        self._time_of_day = time_of_day
        self._random = random
        self._deprioritized_until = {}  # label -> time until which it is asked last

    def _order(self, number):
        """Returns the labels in the order in which to ask.

        The quota leader is first, as it knows all of the tenant's jobs; the others follow in random order.
        Controllers that did not answer lately come last.
        """
        labels = list(self._clients)
        self._random.shuffle(labels)
        quota_leader = self._term().quota_leader(str(number))
        now = self._loop.now()
        labels.sort(
            key=lambda label: (self._deprioritized_until.get(label, 0.0) > now, label != quota_leader)
        )
        return labels

    async def _ask(self, label, method, target, body, timeout):
        signature = self._secrets.sign(method, target, body, self._time_of_day())
        status, data, headers = await self._clients[label].request(
            method, target, body, timeout, [("Roadhead-Signature", signature)]
        )
        return status, (messages.decode_map(data) if data else {}), headers

    async def ask(self, number, method, target, body=b"", within_s=4.0):
        """Returns (status, answer, headers) of the first controller that can answer. Raises ProblemError.

        A request may reach several controllers, so it must be idempotent: submissions are, by the job's id.
        """
        deadline = self._loop.now() + within_s
        for attempt, label in enumerate(self._order(number)[:MAX_ATTEMPTS]):
            left = deadline - self._loop.now()
            if left <= 0.1:
                break
            # The first gets most of the time: asking a second one too soon only doubles the work.
            timeout = left * (0.5 if attempt < MAX_ATTEMPTS - 1 else 1.0)
            try:
                status, answer, headers = await self._ask(label, method, target, body, timeout)
            except (NoResponseError, Timeout, messages.InvalidMessageError) as error:
                log.debug("%s: %r", label, error)
                self._deprioritized_until[label] = self._loop.now() + DEPRIORITIZE_S
                continue
            if status < 500:
                return status, answer, headers
        raise UNCERTAIN

    async def ask_all(self, target, within_s=2.0):
        """Returns the 200 answers of all controllers that answer in time."""
        routines = [
            self._loop.spawn(self._ask_one(label, target, within_s), "ask one") for label in self._clients
        ]
        return [answer for routine in routines if (answer := await routine.done) is not None]

    async def _ask_one(self, label, target, within_s):
        """Returns one controller's answer, or None."""
        try:
            status, answer, _headers = await self._ask(label, "GET", target, b"", within_s)
        except (NoResponseError, Timeout, messages.InvalidMessageError):
            return None
        return answer if status == 200 else None
