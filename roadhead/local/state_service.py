"""The emulated state service: versioned keys, leases, transactions, watches and limits."""

import bisect
import json

from roadhead.local.server import EmulatedServer
from roadhead.runtime.loop import Future

KEPT = 10_000  # changes that a watch can ask for


class StateServiceEmulator(EmulatedServer):
    """`keeper` saves every change before it is answered; without one nothing outlives the process."""

    def __init__(self, world, address="10.2.0.1:2379", keeper=None):
        super().__init__(world, address.rpartition(":")[0], address)
        self.keeper = keeper
        data, self.epoch, leases, self.permits = keeper.load() if keeper else ({}, 0, {}, 0)
        self.data = data  # key -> (value, stamp, permit)
        self.log = []
        self.log_from = self.epoch  # changes up to here are no longer kept
        # permit -> [life, ends]; as after an outage, all have their full time
        self.leases = {permit: [life, self.sim.time + life] for permit, life in leases.items()}
        self.down = False
        self.refused_until = {}  # host -> when it is served again
        self.slow_s = 0.0  # answers take up to so much longer
        self.requests = self.refused = self.oversized = 0
        self.listed = 0  # items of pages under j/
        self.levels = {name: (world.settings["state"][name], 0.0) for name in ("rps", "write_rps")}
        self.waiters = []
        self.loop.spawn(self._expire(), "leases")

    async def _expire(self):
        while True:
            await self.loop.sleep(0.05)
            if self.down:
                continue
            now = self.sim.time
            for permit in [p for p, (_, ends) in self.leases.items() if ends <= now]:
                self._end(permit)

    def _end(self, permit):
        del self.leases[permit]
        if self.keeper:
            self.keeper.lease(permit, None, self.permits)
        keys = [k for k, (_, _, p) in self.data.items() if p == permit]
        if keys:
            self.epoch += 1
            for key in keys:
                del self.data[key]
                self.log.append({"drop": key, "stamp": self.epoch})
            if self.keeper:
                self.keeper.save(self.epoch, {}, keys)
            self._wake()

    def _wake(self):
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter.set()

    def refuse(self, host, seconds):
        """503 for one controller, whose open watches wait as in an outage."""
        self.refused_until[host] = max(self.sim.time + seconds, self.refused_until.get(host, 0.0))

    def outage(self, on):
        self.down = on
        if not on:
            for lease in self.leases.values():
                lease[1] = self.sim.time + lease[0]
            self._wake()

    async def handle(self, method, path, args, body, host):
        self.requests += 1
        if not self._take("rps", 1):
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
            value, stamp, permit = self.data[key]
            return 200, {"k": key, "data": value, "stamp": stamp, "permit": permit}
        if path == "/multi":
            return self.multi(body)
        if path == "/leases":
            self.permits += 1
            life = body["lifeMs"] / 1000
            self.leases[self.permits] = [life, self.sim.time + life]
            if self.keeper:
                self.keeper.lease(self.permits, life, self.permits)
            return 200, {"permit": self.permits}
        if path.startswith("/leases/"):
            permit = int(path.split("/")[2])
            if permit not in self.leases:
                return 404, {}
            lease = self.leases[permit]
            lease[1] = self.sim.time + lease[0]
            return 200, {}
        if path == "/changes":
            after, prefix = int(args["after"]), args["under"]
            ends = self.sim.time + int(args.get("waitMs", 0)) / 1000
            while True:
                if after < self.log_from:
                    return 410, {}
                newer = bisect.bisect_right(self.log, after, key=lambda event: event["stamp"])
                found = [
                    event
                    for event in self.log[newer:]
                    if (event.get("put") or event.get("drop")).startswith(prefix)
                ]
                if not refused() and (found or self.sim.time >= ends):
                    return 200, {"epoch": self.epoch, "log": found}
                waiter = Future()
                self.waiters.append(waiter)
                timer = self.loop.call_later(max(0.05, ends - self.sim.time), waiter.set)
                await waiter
                timer.cancel()
        return 400, {}

    def put(self, key, value):
        self.epoch += 1
        self.data[key] = (value, self.epoch, None)

    def _too_much(self, body):
        """What is beyond the limits, by the size as JSON that the protocol counts; None if nothing is."""
        limits = self.world.settings["state"]
        writes = body["writes"]
        if len(writes) > limits["txn_ops"] or len(body["if"]) > 4 * limits["txn_ops"]:
            return "too many"
        for write in writes:
            if "put" in write and len(json.dumps(write["data"])) > limits["value_kb"] * 1024:
                return f"value too large: {write['put']}"
        return None

    def _take(self, name, count):
        """Whether so many are within that rate, with bursts of a second's worth."""
        rate, now = self.world.settings["state"][name], self.sim.time
        level, at = self.levels[name]
        level = min(rate, level + (now - at) * rate)
        taken = level >= count
        self.levels[name] = (level - count * taken, now)
        return taken

    def multi(self, body):
        if (text := self._too_much(body)) is not None:
            self.oversized += 1
            return 400, {"error": text}
        if not self._take("write_rps", len(body["writes"])):
            self.refused += 1
            return 429, {"error": "too much"}
        failed = [c["k"] for c in body["if"] if self.data.get(c["k"], (None, 0, None))[1] != c["stamp"]]
        for write in body["writes"]:
            if "put" in write and write.get("permit") and write["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if body["writes"]:
            if len(self.log) > 2 * KEPT:
                self.log_from = self.log[-KEPT - 1]["stamp"]
                self.log = [event for event in self.log if event["stamp"] > self.log_from]
            self.epoch += 1
            for write in body["writes"]:
                if "put" in write:
                    self.data[write["put"]] = (write["data"], self.epoch, write.get("permit"))
                    self.log.append({"put": write["put"], "data": write["data"], "stamp": self.epoch})
                elif self.data.pop(write["drop"], None) is not None:
                    self.log.append({"drop": write["drop"], "stamp": self.epoch})
            self.world.state_changed(body["writes"])
            if self.keeper:
                self.keeper.save(
                    self.epoch,
                    {w["put"]: self.data[w["put"]] for w in body["writes"] if "put" in w},
                    [w["drop"] for w in body["writes"] if "drop" in w],
                )
            self._wake()
        return 200, {"epoch": self.epoch}
