"""A gateway process: two addresses for two APIs, and no durable state. Connects the parts of this package."""

import logging
import random
import time

from roadhead.gateway.admin_api import AdminApi
from roadhead.gateway.answers import JSON, UNCERTAIN, ProblemError, Request, answer, problem
from roadhead.gateway.controllers import Controllers
from roadhead.gateway.tenants_api import TenantsApi
from roadhead.gateway.watch import Watch
from roadhead.runtime.supervisor import Supervisor
from roadhead.state.client import StateClient
from roadhead.tenants.keys import Secrets
from roadhead.tenants.table import TenantTable
from roadhead.wire import http

log = logging.getLogger("roadhead.gateway")

RESTART_S = 1.0  # after which a routine that ended by an error is started again
GIVE_UP_FACTOR = 5  # times `stale_s`, for which a routine may keep failing before the process gives up
REQUEST_TIMEOUT_S = 10.0  # how long a request may take to arrive completely


class Gateway:
    """Serves the tenants' and the administration API.

    Keys expire and requests are signed by `time_of_day`, which must be within the deployment's clock bound.
    """

    def __init__(self, loop, net, hosted, rng=None, time_of_day=time.time):
        self._loop = loop
        self._net = net
        self._hosted = hosted
        self._streams = {"tenants": 0, "administration": 0}
        self.on_hopeless = None  # called once a routine has kept failing
        self._supervisor = Supervisor(
            loop,
            restart_s=RESTART_S,
            max_restart_s=hosted.stale_s / 2,
            give_up_s=GIVE_UP_FACTOR * hosted.stale_s,
            on_failure=lambda: None,
            on_hopeless=lambda _name: self.on_hopeless and self.on_hopeless(),
        )
        self.table = TenantTable()
        secrets = Secrets(hosted.master)
        self.state = StateClient(loop, net, hosted.cluster.state, hosted.gateway_limits(), 1)
        self.watch = Watch(loop, self.state, self.table, hosted.stale_s)
        controllers = Controllers(
            loop,
            net,
            hosted.cluster.controllers,
            secrets,
            lambda: self.watch.term,
            time_of_day,
            rng or random.Random(),
        )
        self._tenants = TenantsApi(loop, self.table, secrets, controllers, self.state, time_of_day)
        self._administration = AdminApi(
            self.table, secrets, self.state, time_of_day, self._tenants.usage, hosted.overlap_s
        )

    def start(self):
        """Starts watching the tenants and listening on both addresses."""
        gateway = self._hosted.gateway
        self._supervisor.spawn(self.watch.run, "watch")
        self._net.listen(gateway.tenants, self._accepting("tenants", self._serve_tenants))
        self._net.listen(
            gateway.administration, self._accepting("administration", self._serve_administration)
        )

    def _accepting(self, name, handle):
        """Returns the function that accepts connections for an API and bounds their number."""

        async def serve(stream):
            try:
                await http.serve(self._loop, stream, handle, REQUEST_TIMEOUT_S)
            finally:
                self._streams[name] -= 1

        def accept(stream):
            if self._streams[name] >= self._hosted.gateway.connections:
                stream.close()
                return
            self._streams[name] += 1
            self._loop.spawn(serve(stream), name)

        return accept

    async def _serve_tenants(self, message):
        async def handle(request):
            return *await self._tenants.handle(request), None

        return await self._answer(message, handle)

    async def _serve_administration(self, message):
        return await self._answer(message, self._administration.handle)

    async def _answer(self, message, handle):
        try:
            request = Request(message)
        except ValueError:  # the query has more fields than any path takes
            return problem(ProblemError(400, "the target can't be read"), JSON)
        if request.parts == ["ready"]:
            return (200 if self.watch.is_fresh() else 503), b"", None
        try:
            if not self.watch.is_fresh():
                raise UNCERTAIN
            status, value, version = await handle(request)
        except ProblemError as refused:
            return problem(refused, request.media)
        except Exception:  # the error's text may hold internal details: log it, but don't send it
            log.exception("%s %s failed", request.method, "/".join(request.parts[:3]))
            return problem(ProblemError(500, "a fault of ours"), request.media)
        headers = [("ETag", f'"{version}"')] if version is not None else []
        return answer(status, value, request.media, headers)
