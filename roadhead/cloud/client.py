"""Requests to the cloud, within its rate."""

from roadhead.runtime.rate import Bucket
from roadhead.wire import messages
from roadhead.wire.http import Client, NoResponseError


class CloudError(Exception):
    """No usable answer; `sent` tells whether the request may have been executed."""

    def __init__(self, text, sent=True):
        super().__init__(text)
        self.sent = sent


class NoCapacityError(Exception):
    pass


class CloudClient:
    def __init__(self, loop, net, address, limits, nodes):
        self._http = Client(loop, net, address, max_idle=2)
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
        answer = await self._read(messages.Catalogue, "GET", "/catalog")
        return {kind.name: kind for kind in answer.types}

    async def machines(self):
        """All machines listed."""
        found = []
        after = ""
        while True:
            target = "/hosts?limit=500" + (f"&after={after}" if after else "")
            page = await self._read(messages.MachineList, "GET", target)
            found += page.machines
            if not page.more or not page.machines:
                return found
            after = page.machines[-1].id

    async def rent(self, name, kind, zone, spot, count):
        body = messages.encode({"hire": name, "rig": kind, "paddock": zone, "loaners": spot, "count": count})
        answer = await self._read(messages.RentedMachines, "POST", "/hosts", body)
        return answer.machines

    async def release(self, machines):
        """Once this returns, the machines and all on them are gone."""
        await self._call("POST", "/hosts/release", messages.encode({"drovers": list(machines)}))
