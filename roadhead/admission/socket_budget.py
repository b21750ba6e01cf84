"""Divides a controller's sockets among users, workers and services, as shares of its limit.

The state service and the other controllers come first, then users and health probes, then workers: a worker
can open a new connection for every report, but a user who finds no free socket isn't served at all. So the
sockets suffice however many machines report to one controller.
"""

INBOUND_SHARE = 0.6  # of all sockets: connections from users, probes and workers
WORKER_SHARE = 0.4  # of all sockets, within the inbound ones: workers' connections kept between reports
COMMAND_SHARE = 0.1  # of all sockets: commands to workers in flight at once
IDLE_COMMAND_SHARE = 0.2  # of all sockets: connections to workers kept between commands
# The remaining tenth is for the state service, the cloud and the other controllers.


class SocketBudget:
    """Counts open connections against their shares.

    `limit`: the sockets that the process may have (`quota.fd_limit` of the settings); `count(name)` counts an
    event.
    """

    def __init__(self, limit, count):
        self.inbound_most = max(4, int(INBOUND_SHARE * limit))
        self.workers_most = max(1, int(WORKER_SHARE * limit))
        self.max_command_requests = max(2, int(COMMAND_SHARE * limit))
        self.max_idle_command_connections = int(IDLE_COMMAND_SHARE * limit)
        self._count = count
        self._inbound = 0
        self._workers = 0

    def admit(self):
        """Returns whether one more connection may be accepted, and counts it if so."""
        if self._inbound >= self.inbound_most:
            self._count("connections_refused")
            return False
        self._inbound += 1
        return True

    def keep_worker(self):
        """Returns whether a connection found to be a worker's may stay open, and counts it if so."""
        if self._workers >= self.workers_most:
            self._count("workers_sent_off")
            return False
        self._workers += 1
        return True

    def release(self, worker):
        """A connection was closed; `worker`: whether it was counted as a worker's."""
        self._inbound -= 1
        self._workers -= worker
