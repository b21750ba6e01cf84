"""The client for the cloud's API: the catalogue, the machine list, renting and releasing machines.

Its requests stay within this controller's part of the cloud's rate limit. Nothing is retried here.
"""

from roadhead.runtime.rate import Bucket
from roadhead.wire import messages
from roadhead.wire.http import HttpClient, NoResponseError


class CloudError(Exception):
    """The cloud gave no usable answer; `sent`: whether the request may have been executed."""

    def __init__(self, text, sent=True):
        super().__init__(text)
        self.sent = sent


class NoCapacityError(Exception):
    """The cloud has no machine of the wanted type, zone and kind."""


class CloudClient:
    """`limits`: the cloud's limits for the whole deployment, which `nodes` controllers share equally."""

    def __init__(self, loop, net, address, limits, nodes):
        self._http = HttpClient(loop, net, address, max_idle=2)
        rate = limits.rps / nodes
        self._bucket = Bucket(loop, 0.95 * rate, 2 * rate)

    async def _call(self, method, target, body=b"", timeout=6.0):
        await self._bucket.take()
        try:
            status, data, _headers = await self._http.request(method, target, body, timeout)
        except NoResponseError as error:
            raise CloudError(str(error), error.sent) from None
        if status == 429:
            self._bucket.empty()
        if status == 503:
            try:
                why = messages.decode_map(data).get("error")
            except messages.InvalidMessageError:
                why = None
            if why == "no capacity":
                raise NoCapacityError
        if status != 200:
            raise CloudError(f"{method} {target}: {status}", sent=False)
        return data

    async def _read(self, kind, *args):
        data = await self._call(*args)
        try:
            return messages.decode_as(data, kind)
        except messages.InvalidMessageError as error:
            raise CloudError(str(error)) from None

    async def catalogue(self):
        """Returns {type name: machine type}. Raises CloudError."""
        answer = await self._read(messages.Catalogue, "GET", "/catalog")
        return {kind.name: kind for kind in answer.types}

    async def machines(self):
        """Returns all rented machines, page by page. Raises CloudError or NoCapacityError."""
        machines_found = []
        after = ""
        while True:
            target = "/hosts?limit=500" + (f"&after={after}" if after else "")
            page = await self._read(messages.MachineList, "GET", target)
            machines_found += page.machines
            if not page.more or not page.machines:
                return machines_found
            after = page.machines[-1].id

    async def rent(self, name, kind, zone, spot, count):
        """Rents machines, and returns the names of those that there was capacity for.

        The same `name` sent again returns the same machines. Raises CloudError or NoCapacityError.
        """
        body = messages.encode({"hire": name, "rig": kind, "paddock": zone, "loaners": spot, "count": count})
        answer = await self._read(messages.RentedMachines, "POST", "/hosts", body)
        return answer.machines

    async def release(self, machines):
        """Releases machines; once this returns, they and all tasks on them have ended."""
        await self._call("POST", "/hosts/release", messages.encode({"drovers": list(machines)}))
