"""Direct requests to workers: one at a time per machine, over connections that are kept open."""

import logging
import math
from typing import NamedTuple

from roadhead.decision_log import Decision
from roadhead.machines.machine import decision_subject, note_sent
from roadhead.machines.pending_commands import NO_COMMANDS
from roadhead.wire import messages
from roadhead.wire.http import HttpClient, NoResponseError

log = logging.getLogger("roadhead.workers")


class Exchange(NamedTuple):
    """A direct request that was answered: the Report, and how many commands the message had no room for."""

    report: messages.Report
    left: int


class WorkerClient:
    """Sends machines their commands directly, without waiting for their next report.

    At most `sockets.max_command_requests` requests are under way at once, at most half of them to machines
    that have been silent for `silent_s` or longer. So machines that answer don't wait for those that don't.
    `may_command()` tells whether this controller may command workers now.
    """

    def __init__(self, loop, net, member, timeout_s, may_command, silent_s, sockets, decisions, counters):
        self._loop = loop
        self._net = net
        self._member = member
        self._timeout_s = timeout_s
        self._may_command = may_command
        self.shard_leader = None
        self._silent_s = silent_s
        self._sockets = sockets
        self._decisions = decisions
        self._count = counters.add
        self._clients = {}  # machine -> Client, least recently used first
        self._queues = {}, {}  # machines to be asked -> True, ordered sets: heard lately, silent
        self._in_flight = [0, 0]  # requests under way for each of the two queues

    def queue_request(self, machine):
        """Sends the machine its pending commands, or only shows it the token of its new leader."""
        if machine.request_in_flight:
            machine.request_again = True
            return
        machine.request_in_flight = True
        heard_at = machine.heard_at
        silent = heard_at is None or self._loop.now() - heard_at > self._silent_s
        self._queues[silent][machine] = True
        self._next()

    def _next(self):
        limit = self._sockets.max_command_requests
        for silent, queue in enumerate(self._queues):
            while queue and sum(self._in_flight) < limit and (not silent or 2 * self._in_flight[1] < limit):
                machine = next(iter(queue))
                del queue[machine]
                self._in_flight[silent] += 1
                self._loop.spawn(self._run_requests(machine, silent), f"ask {machine.id}")

    async def _run_requests(self, machine, silent):
        left = math.inf
        try:
            while True:
                machine.request_again = False
                if not self._may_still_command(machine):
                    return
                exchange = await self._send_once(machine)
                if exchange is None:
                    return
                if self._is_led_here(machine):
                    self.shard_leader.report_processor.observe(machine, exchange.report)
                has_more_to_send = 0 < exchange.left < left
                left = exchange.left
                if not machine.request_again and not has_more_to_send:
                    return
        finally:
            machine.request_in_flight = False
            self._in_flight[silent] -= 1
            self._next()

    def _is_led_here(self, machine):
        """Whether this controller still leads the machine."""
        return self._member.joined and self.shard_leader.machines.get(machine.id) is machine

    def _may_still_command(self, machine):
        """Whether a command may be sent to the machine now.

        Without authority a job may have been cancelled without word reaching this controller, and a worker
        whose lease has ended would still accept a direct launch.
        """
        return self._is_led_here(machine) and self._may_command()

    def _client(self, machine):
        """The machine's connection; a new one may replace the connection unused for longest."""
        client = self._clients.pop(machine.id, None)
        if client is None or client.address != machine.address:
            client = HttpClient(self._loop, self._net, machine.address, max_idle=1, max_body=1 << 20)
        self._clients[machine.id] = client
        if len(self._clients) > max(self._sockets.max_idle_command_connections, sum(self._in_flight)):
            self.forget([next(iter(self._clients))])
        return client

    async def _send_once(self, machine):
        """Sends one message of commands, twice if its session or token was outdated.

        Returns the Exchange, or None.
        """
        client = self._client(machine)
        # The session of a machine never heard is a guess. A wrong one is answered with a report (409)
        # that tells the right one. The token may have been raised while the message was on its way.
        for _ in range(2):
            commands = NO_COMMANDS
            if machine.confirmed_token == machine.token:
                commands = machine.direct_commands()
                if not commands.orders:
                    return None
            session, token = machine.session or 1, machine.command_token
            body = messages.commands(token, session, commands.orders)
            note_sent(self._decisions, machine, commands, path="direct")
            try:
                status, data, _headers = await client.request("POST", "/commands", body, self._timeout_s)
            except NoResponseError as error:
                log.debug("commands to %s: %s", machine.id, error)
                return None
            if commands.orders and not (self._member.joined and self._may_command()):
                # The request named the session: if it arrived late, that session's lease bounds what it did.
                self._decisions.count("authority_lost")
                self._decisions.note(
                    Decision.AUTHORITY_LOST, decision_subject(machine), status=status, session=session
                )
            if status not in (200, 409):
                self._count("commands_refused", len(commands.orders))
                log.warning(
                    "machine %s answered %d commands of %d bytes with %d",
                    machine.id,
                    len(commands.orders),
                    len(body),
                    status,
                )
                return None
            try:
                report = messages.decode_as(data, messages.Report)
                report.check()
            except messages.InvalidMessageError as error:
                self._count("worker_answers_invalid")
                log.error("machine %s answered a command with an invalid report: %s", machine.id, error)
                return None
            if status == 200:
                if report.token < token:
                    self._count("worker_answers_invalid")
                    log.error(
                        "machine %s carried out commands under token %d and reports token %d",
                        machine.id,
                        token,
                        report.token,
                    )
                    return None
                return Exchange(report, commands.left)
            if not self._is_led_here(machine):
                return None
            self.shard_leader.report_processor.observe(machine, report)
            if (machine.session or 1, machine.command_token) == (session, token):
                return None  # another leader commands it
            if not self._may_command():
                return None
            self._count("commands_outdated")
        return None

    async def count_reachable(self, addresses):
        """How many of the workers at `addresses` answer."""
        count = 0
        for address in addresses:
            client = HttpClient(self._loop, self._net, address, max_idle=0)
            try:
                await client.request("GET", "/inspect", b"", self._timeout_s)
                count += 1
            except NoResponseError:
                pass
        return count

    def forget(self, names):
        """Closes the connections to the machines of these names."""
        for name in names:
            client = self._clients.pop(name, None)
            if client is not None:
                client.close()

    def close(self):
        """Ends with the incarnation: drops queued requests and closes all connections."""
        for queue in self._queues:
            queue.clear()
        self.forget(list(self._clients))

    def trim(self):
        """Closes connections to machines that this controller no longer leads."""
        self.forget([name for name in self._clients if name not in self.shard_leader.machines])
