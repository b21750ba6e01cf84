"""A gateway's requests to the controllers, signed, to the tenant's warden first."""

import logging

from roadhead.gateway.answers import NOT_SURE
from roadhead.runtime.loop import Timeout
from roadhead.wire import messages
from roadhead.wire.http import Client, NoResponseError

log = logging.getLogger("roadhead.controllers")

TRIES = 3
PASS_OVER_S = 2.0  # for which a controller that did not answer is asked last


class Controllers:
    def __init__(self, loop, net, fronts, secrets, term, time_of_day, random):
        self._loop = loop
        self._clients = {label: Client(loop, net, address, max_idle=32) for label, address in fronts.items()}
        self._secrets = secrets
        self._term = term  # () -> Term
        self._time_of_day = time_of_day
        self._random = random
        self._silent = {}  # label -> until when it is asked last

    def _order(self, number):
        """Labels: the warden, which knows of all that the tenant has, then the others by chance;
        last those that were silent lately."""
        labels = list(self._clients)
        self._random.shuffle(labels)
        quota_leader = self._term().quota_leader(str(number))
        now = self._loop.now()
        labels.sort(key=lambda label: (self._silent.get(label, 0.0) > now, label != quota_leader))
        return labels

    async def _ask(self, label, method, target, body, timeout):
        signature = self._secrets.sign(method, target, body, self._time_of_day())
        status, data, headers = await self._clients[label].request(
            method, target, body, timeout, [("Roadhead-Signature", signature)]
        )
        return status, (messages.decode_map(data) if data else {}), headers

    async def ask(self, number, method, target, body=b"", within_s=4.0):
        """(status, answer, headers) of the first controller that can say. Raises Refused.

        Whatever is asked here may be asked twice: a submission is known by its id.
        """
        deadline = self._loop.now() + within_s
        for attempt, label in enumerate(self._order(number)[:TRIES]):
            left = deadline - self._loop.now()
            if left <= 0.1:
                break
            # The first gets most of the time: a second one asked too soon only doubles the work.
            timeout = left * (0.5 if attempt < TRIES - 1 else 1.0)
            try:
                status, answer, headers = await self._ask(label, method, target, body, timeout)
            except (NoResponseError, Timeout, messages.InvalidMessageError) as error:
                log.debug("%s: %r", label, error)
                self._silent[label] = self._loop.now() + PASS_OVER_S
                continue
            if status < 500:
                return status, answer, headers
        raise NOT_SURE

    async def ask_all(self, target, within_s=2.0):
        """The answers (200) of all controllers, as far as they come."""
        routines = [
            self._loop.spawn(self._one(label, target, within_s), "ask one") for label in self._clients
        ]
        return [answer for routine in routines if (answer := await routine.done) is not None]

    async def _one(self, label, target, within_s):
        try:
            status, answer, _headers = await self._ask(label, "GET", target, b"", within_s)
        except (NoResponseError, Timeout, messages.InvalidMessageError):
            return None
        return answer if status == 200 else None
