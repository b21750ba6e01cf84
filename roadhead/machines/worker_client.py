"""Direct requests to workers: one at a time for each machine, over a kept-open connection."""

import logging

from roadhead.decision_log import Decision
from roadhead.machines.machine import decision_subject
from roadhead.wire import messages
from roadhead.wire.http import Client, NoResponseError

log = logging.getLogger("roadhead.workers")


class WorkerClient:
    """At most `sockets.max_command_requests` requests are under way at once, half of them to machines that
    were not heard for `silent_s`: those that answer don't wait for those that don't.
    """

    def __init__(self, loop, net, member, timeout_s, may_command, silent_s, sockets, decisions):
        self._loop = loop
        self._net = net
        self._member = member
        self._timeout_s = timeout_s
        self._may_command = may_command
        self.shard_leader = None
        self._silent_s = silent_s
        self._sockets = sockets
        self._decisions = decisions
        self._clients = {}  # machine -> Client, the one used last at the end
        self._queues = {}, {}  # machines to be asked, in order as a set: heard lately, silent
        self._asking = [0, 0]  # requests under way to them

    def ask(self, machine):
        """Sends the machine what it has yet to carry out, or just shows it our token."""
        if machine.request_in_flight:
            machine.request_again = True
            return
        machine.request_in_flight = True
        heard_at = machine.heard_at
        silent = heard_at is None or self._loop.now() - heard_at > self._silent_s
        self._queues[silent][machine] = True
        self._next()

    def _next(self):
        most = self._sockets.max_command_requests
        for silent, queue in enumerate(self._queues):
            while queue and sum(self._asking) < most and (not silent or 2 * self._asking[1] < most):
                machine = next(iter(queue))
                del queue[machine]
                self._asking[silent] += 1
                self._loop.spawn(self._ask(machine, silent), f"ask {machine.id}")

    async def _ask(self, machine, silent):
        home = self.shard_leader
        try:
            while True:
                machine.request_again = False
                if home.machines.get(machine.id) is not machine or not self._member.joined:
                    return
                if not self._may_command():
                    # Out of touch: a job may have been cancelled without our knowing, and a
                    # worker whose lease has run out would still take a direct launch.
                    return
                report = await self._once(machine)
                if report is None:
                    return
                if home.machines.get(machine.id) is machine and self._member.joined:
                    home.report_processor.observe(machine, report)
                if not machine.request_again:
                    return
        finally:
            machine.request_in_flight = False
            self._asking[silent] -= 1
            self._next()

    def _client(self, machine):
        """The kept connection to a machine, or a new one in place of the one longest unused."""
        client = self._clients.pop(machine.id, None)
        if client is None or client.address != machine.address:
            client = Client(self._loop, self._net, machine.address, max_idle=1, max_body=1 << 20)
        self._clients[machine.id] = client
        if len(self._clients) > max(self._sockets.max_idle_command_connections, sum(self._asking)):
            self.forget([next(iter(self._clients))])
        return client

    async def _once(self, machine):
        client = self._client(machine)
        # The session is a guess for a machine never heard: a wrong one is answered with a
        # report (409), from which it is learned.
        for _ in range(2):
            orders, launches = machine.orders()
            if machine.confirmed_token != machine.token:
                orders, launches = [], []
            elif not orders:
                return None
            session = machine.session or 1
            body = messages.commands(machine.token, session, orders)
            fresh = self.shard_leader.task_commands.begin_direct_send(machine, launches)
            try:
                status, data, _headers = await client.request("POST", "/commands", body, self._timeout_s)
            except NoResponseError as error:
                log.debug("commands to %s: %s", machine.id, error)
                if not error.sent:
                    self.shard_leader.task_commands.end_direct_send(fresh)
                return None
            self.shard_leader.task_commands.end_direct_send(fresh)
            if orders and not (self._member.joined and self._may_command()):
                # It named the session: what came late was executed in one that its lease still bounds.
                self._decisions.count("authority_lost")
                self._decisions.note(
                    Decision.AUTHORITY_LOST, decision_subject(machine), status=status, session=session
                )
            if status not in (200, 409):
                return None
            try:
                report = messages.decode_as(data, messages.Report)
                report.check()
            except messages.InvalidMessageError as error:
                log.error("answer of %s: %s", machine.id, error)
                return None
            if status == 200 or report.session == session:
                return report
            if self.shard_leader.machines.get(machine.id) is not machine:
                return None  # its share was given away meanwhile: it is another's to hear and command
            self.shard_leader.report_processor.observe(machine, report)
        return None

    async def reached(self, addresses):
        """How many of the workers at `addresses` answer."""
        count = 0
        for address in addresses:
            client = Client(self._loop, self._net, address, max_idle=0)
            try:
                await client.request("GET", "/inspect", b"", self._timeout_s)
                count += 1
            except NoResponseError:
                pass
        return count

    def forget(self, names):
        for name in names:
            client = self._clients.pop(name, None)
            if client is not None:
                client.close()

    def close(self):
        """This incarnation is over: nothing that is queued is sent, no connection stays."""
        for queue in self._queues:
            queue.clear()
        self.forget(list(self._clients))

    def trim(self):
        self.forget([name for name in self._clients if name not in self.shard_leader.machines])
