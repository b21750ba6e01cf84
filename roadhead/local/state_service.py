"""Emulates the state service: versioned keys, leases, transactions, watches and limits.

In its API, a revision is called `stamp`, the latest one `epoch`, and the id of a lease `permit`.
"""

import bisect
import json

from roadhead.local.server import EmulatedServer
from roadhead.runtime.loop import Future

MAX_LOG_EVENTS = 10_000  # older changes are compacted


class StateServiceEmulator(EmulatedServer):
    """Serves the state service's HTTP API.

    `store` saves every change to disk before the response; without one, no data outlives the process.
    """

    copies_window = "copied_state_requests"

    def __init__(self, world, address="10.2.0.1:2379", store=None):
        super().__init__(world, address.rpartition(":")[0], address)
        self.store = store
        data, self.epoch, leases, self.last_lease_id = store.load() if store else ({}, 0, {}, 0)
        self.data = data  # key -> (value, revision, id of its lease or None)
        self.log = []
        self.compacted_epoch = self.epoch  # changes up to this revision are no longer kept
        # lease id -> [life_s, ends_at]; as after an outage, all leases get their full lifetime again
        self.leases = {lease_id: [life_s, self.sim.time + life_s] for lease_id, life_s in leases.items()}
        self.down = False
        self.refused_until = {}  # host -> time until which its requests are answered with 503
        self.slow_s = 0.0  # maximum extra time of a response
        self.requests = self.refused = self.oversized = 0
        self.listed = 0  # items returned in lists under j/
        self.token_buckets = {name: (world.settings["state"][name], 0.0) for name in ("rps", "write_rps")}
        self.watch_futures = []
        self.loop.spawn(self._expire_leases(), "leases")

    async def _expire_leases(self):
        while True:
            await self.loop.sleep(0.05)
            if self.down:
                continue
            now = self.sim.time
            for lease_id in [key for key, (_, ends_at) in self.leases.items() if ends_at <= now]:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id):
        del self.leases[lease_id]
        if self.store:
            self.store.lease(lease_id, None, self.last_lease_id)
        keys = [key for key, (_, _, owner) in self.data.items() if owner == lease_id]
        if keys:
            self.epoch += 1
            for key in keys:
                del self.data[key]
                self.log.append({"drop": key, "stamp": self.epoch})
            if self.store:
                self.store.save(self.epoch, {}, keys)
            self._wake_watches()

    def _wake_watches(self):
        watch_futures, self.watch_futures = self.watch_futures, []
        for waiter in watch_futures:
            waiter.set()

    def refuse(self, host, seconds):
        """Answers one controller with 503 for `seconds`; its open watches get no response meanwhile."""
        self.refused_until[host] = max(self.sim.time + seconds, self.refused_until.get(host, 0.0))

    def outage(self, on):
        """Starts or ends an outage; at its end, all leases get their full lifetime again."""
        self.down = on
        if not on:
            for lease in self.leases.values():
                lease[1] = self.sim.time + lease[0]
            self._wake_watches()

    async def handle(self, method, path, args, body, host):
        self.requests += 1
        if not self._take_tokens("rps", 1):
            self.refused += 1
            return 429, {"error": "too much"}
        await self.loop.sleep(0.004 + (self.slow_s and self.sim.random.uniform(0.0, self.slow_s)))
        refused = lambda: self.down or self.sim.time < self.refused_until.get(host, 0.0)  # noqa: E731
        if refused():
            return 503, {"error": "trouble"}
        if path == "/store":
            prefix, after = args["under"], args.get("after", "")
            keys = sorted(k for k in self.data if k.startswith(prefix) and k > after)
            limit = int(args.get("limit", 1000))
            items = [{"k": k, "data": self.data[k][0], "stamp": self.data[k][1]} for k in keys[:limit]]
            self.listed += len(items) if prefix == "j/" else 0
            return 200, {"items": items, "hasNext": len(keys) > limit, "epoch": self.epoch}
        if path.startswith("/store/"):
            key = path[len("/store/") :]
            if key not in self.data:
                return 404, {"epoch": self.epoch}
            value, revision, lease_id = self.data[key]
            return 200, {"k": key, "data": value, "stamp": revision, "permit": lease_id}
        if path == "/multi":
            return self.multi(body)
        if path == "/leases":
            self.last_lease_id += 1
            life_s = body["lifeMs"] / 1000
            self.leases[self.last_lease_id] = [life_s, self.sim.time + life_s]
            if self.store:
                self.store.lease(self.last_lease_id, life_s, self.last_lease_id)
            return 200, {"permit": self.last_lease_id}
        if path.startswith("/leases/"):
            lease_id = int(path.split("/")[2])
            if lease_id not in self.leases:
                return 404, {}
            lease = self.leases[lease_id]
            lease[1] = self.sim.time + lease[0]
            return 200, {}
        if path == "/changes":
            after, prefix = int(args["after"]), args["under"]
            ends_at = self.sim.time + int(args.get("waitMs", 0)) / 1000
            while True:
                if after < self.compacted_epoch:
                    return 410, {}
                newer = bisect.bisect_right(self.log, after, key=lambda event: event["stamp"])
                found = [
                    event
                    for event in self.log[newer:]
                    if (event.get("put") or event.get("drop")).startswith(prefix)
                ]
                if not refused() and (found or self.sim.time >= ends_at):
                    return 200, {"epoch": self.epoch, "log": found}
                waiter = Future()
                self.watch_futures.append(waiter)
                timer = self.loop.call_later(max(0.05, ends_at - self.sim.time), waiter.set)
                await waiter
                timer.cancel()
        return 400, {}

    def put(self, key, value):
        """Stores a value for a scenario; the change is not logged, so watches do not see it."""
        self.epoch += 1
        self.data[key] = (value, self.epoch, None)

    def _limit_violation(self, body):
        """Returns which limit a transaction exceeds, or None; the protocol counts a value's size as JSON."""
        limits = self.world.settings["state"]
        writes = body["writes"]
        if len(writes) > limits["txn_ops"] or len(body["if"]) > 4 * limits["txn_ops"]:
            return "too many"
        for write in writes:
            if "put" in write and len(json.dumps(write["data"])) > limits["value_kb"] * 1024:
                return f"value too large: {write['put']}"
        return None

    def _take_tokens(self, name, count):
        """Takes `count` tokens of a rate limit with a burst of one second; returns whether it had them."""
        rate, now = self.world.settings["state"][name], self.sim.time
        level, at = self.token_buckets[name]
        level = min(rate, level + (now - at) * rate)
        is_allowed = level >= count
        self.token_buckets[name] = (level - count * is_allowed, now)
        return is_allowed

    def multi(self, body):
        """Executes a transaction and returns (status, body)."""
        if (text := self._limit_violation(body)) is not None:
            self.oversized += 1
            return 400, {"error": text}
        if not self._take_tokens("write_rps", len(body["writes"])):
            self.refused += 1
            return 429, {"error": "too much"}
        failed = [c["k"] for c in body["if"] if self.data.get(c["k"], (None, 0, None))[1] != c["stamp"]]
        for write in body["writes"]:
            if "put" in write and write.get("permit") and write["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if body["writes"]:
            if len(self.log) > 2 * MAX_LOG_EVENTS:
                self.compacted_epoch = self.log[-MAX_LOG_EVENTS - 1]["stamp"]
                self.log = [event for event in self.log if event["stamp"] > self.compacted_epoch]
            self.epoch += 1
            for write in body["writes"]:
                if "put" in write:
                    self.data[write["put"]] = (write["data"], self.epoch, write.get("permit"))
                    self.log.append({"put": write["put"], "data": write["data"], "stamp": self.epoch})
                elif self.data.pop(write["drop"], None) is not None:
                    self.log.append({"drop": write["drop"], "stamp": self.epoch})
            self.world.state_changed(body["writes"])
            if self.store:
                self.store.save(
                    self.epoch,
                    {w["put"]: self.data[w["put"]] for w in body["writes"] if "put" in w},
                    [w["drop"] for w in body["writes"] if "drop" in w],
                )
            self._wake_watches()
        return 200, {"epoch": self.epoch}
