"""How a controller's sockets are shared out: pure decisions, in parts of its limit.

The state service and the other controllers come first, then users and probes, then workers: a
worker can be served over a new connection for every report, a user who finds no socket is not
served at all. So however many machines one controller answers, its sockets suffice.
"""

INBOUND = 0.6  # connections of users, probes and workers
KEPT_WORKERS = 0.4  # of them workers' that stay open between reports
ORDERS = 0.1  # requests to workers under way at once
KEPT_ORDERS = 0.2  # connections to workers that stay open between requests
# What is left, a tenth, is for the state service, the cloud and the other controllers.


class SocketBudget:
    """`limit`: sockets that the process may have (`quota.fd_limit` of the settings)."""

    def __init__(self, limit, count):
        self.inbound_most = max(4, int(INBOUND * limit))
        self.workers_most = max(1, int(KEPT_WORKERS * limit))
        self.max_command_requests = max(2, int(ORDERS * limit))
        self.max_idle_command_connections = int(KEPT_ORDERS * limit)
        self._count = count
        self._inbound = 0
        self._workers = 0

    def admit(self):
        """Whether one more connection may come in."""
        if self._inbound >= self.inbound_most:
            self._count("connections_refused")
            return False
        self._inbound += 1
        return True

    def keep_worker(self):
        """Whether one more connection turns out to be a worker's and may stay open."""
        if self._workers >= self.workers_most:
            self._count("workers_sent_off")
            return False
        self._workers += 1
        return True

    def release(self, worker):
        """A connection has ended; `worker`: it was kept for one."""
        self._inbound -= 1
        self._workers -= worker
