"""Keeps the fleet: reads the catalogue and the machine list, rents machines and returns them.

Each controller returns the machines of the shards that it leads; one member per term, the renter, rents for
all.
"""

import logging

from roadhead.cloud.client import CloudError, NoCapacityError
from roadhead.fleet.provisioning import ResourceRequest, instance_offers, plan_machines
from roadhead.fleet.quota_limits import QuotaMark, RecentlyBooted, SustainedHeadroom, returnable_count
from roadhead.runtime.loop import Signal
from roadhead.shards.hashing import rendezvous_choice

log = logging.getLogger("roadhead.fleet")

MAX_HIRE = 50  # machines per request
MAX_RELEASE = 100  # machines per request
TIMER_MARGIN_S = 1e-3  # timers may fire early by this much
# Part of a class's time target: dearer offers are used for work that the cheapest would not drain by then.
COSTLY_OFFERS_WITHIN = 0.7
# List lags after which tasks that start on a new machine are no longer counted as waiting.
DEMAND_LAGS = 2
SURPLUS_IDLE_FACTOR = 0.2  # shortens the time that an idle machine is kept if much room is free without it


class Fleet:
    """The fleet as one controller sees it, and its duties towards the cloud.

    `tuning`: the table `fleet` of the operators' settings; `shortest_targets`: {class: its shortest time
    target in seconds}; `default_target_s`: the target assumed for the other classes.
    """

    def __init__(
        self,
        loop,
        cloud,
        member,
        leader,
        deployment,
        tuning,
        shortest_targets,
        default_target_s,
        random,
        counters,
    ):
        self._loop = loop
        self._cloud = cloud
        self._member = member
        self._shard_leader = leader
        self._zones = deployment.zones
        self._lag_s = deployment.cloud.list_lag_s
        self._lease_s = deployment.workers.lease_s
        self._tuning = tuning
        # With more machines, the controllers that remain when one ends would have too few sockets to get a
        # report from each machine once per report interval.
        self._max_machines = tuning.largest or deployment.nodes * deployment.quota.fd_limit
        self._shortest_targets = shortest_targets
        self._default_target_s = default_target_s
        self._random = random
        self._count = counters.add
        self.types = {}
        self.on_types = lambda: None  # called after the catalogue was read
        self.demand = {}  # label -> rows of its newest Demand
        self.machine_counts = {}  # label -> rows of its newest MachineCounts
        self.running = []  # addresses of the machines last listed as running
        self._booting = {}  # machine -> (offer key, when it was rented), until it is listed as running
        self._recently_booted = RecentlyBooted(DEMAND_LAGS * self._lag_s)
        self._sustained_headroom = SustainedHeadroom(DEMAND_LAGS * self._lag_s)
        self._backoffs = {}  # offers without capacity: key -> (until when, refusals in a row)
        self._hire_count = 0
        self._progress = {}  # key of a resource request -> (waiting tasks, when that number last fell)
        self._releasing = set()
        self._wake = Signal()

    def duties(self):
        """Returns the coroutine functions to run for as long as this incarnation lasts."""
        return [self._update_catalogue, self._poll_machines, self._rent_machines]

    def wake(self):
        """Lets the renter decide now instead of at its next interval."""
        self._wake.set()

    async def _update_catalogue(self):
        while True:
            try:
                self.types = await self._cloud.catalogue()
                self._shard_leader.registry.types = self.types
                self.on_types()
            except CloudError as error:
                log.info("reading the catalogue failed: %s", error)
            # Spot prices move slowly; while the catalogue is empty, retry soon.
            await self._loop.sleep(5 * self._lease_s if self.types else self._lag_s / 3)

    # The machine list

    async def _poll_machines(self):
        while True:
            asked_at = self._loop.now()
            try:
                listed = await self._cloud.machines()
            except (CloudError, NoCapacityError) as error:
                log.info("listing machines failed: %s", error)
                await self._loop.sleep(self._lag_s / 2)
                continue
            if self._member.joined:
                self._on_machine_list(listed, asked_at)
            pause_s = (
                self._lag_s if not self._shard_leader.reconciliation.is_reconciled() else 2 * self._lag_s
            )
            cover_at = self._shard_leader.reconciliation.next_list_at()
            if cover_at is not None:
                pause_s = min(pause_s, cover_at - self._loop.now() + TIMER_MARGIN_S)
            await self._loop.sleep(pause_s)

    def _on_machine_list(self, listed, asked_at):
        """Handles a complete machine list that was requested at `asked_at`."""
        leader = self._shard_leader
        term = self._member.term
        now = self._loop.now()
        names = set()
        led_here = []
        running = self.running = []
        for item in listed:
            names.add(item.id)
            if item.status == "running":
                running.append(item.address)
            if item.status != "starting":
                hired = self._booting.pop(item.id, None)
                if hired is not None and item.status == "running":
                    self._recently_booted.add(item.id, hired[0], now)
            elif item.id not in self._booting:
                self._booting[item.id] = ((item.type, item.zone, item.spot), now - item.age_s)
            if term.leader_of(item.id) == self._member.label:
                led_here.append(item)
        for name, (_key, since) in list(self._booting.items()):
            if name not in names and asked_at > since + 2 * self._lag_s:
                del self._booting[name]
        failed = leader.apply_machine_list(led_here, asked_at)
        if failed:
            self.release(failed)
        to_release = []
        for item in led_here:
            kind = self.types.get(item.type)
            machine = leader.machines.get(item.id)
            if (
                item.status == "starting"
                and kind is not None
                and item.age_s > self._tuning.stuck_ratio * kind.boot_s
                and (machine is None or machine.heard_at is None)
            ):
                if item.id not in self._releasing:
                    log.info("machine %s did not come up in time and is released", item.id)
                    self._count("machines_stuck")
                to_release.append(item.id)
        for machine in list(leader.machines.values()):
            if machine.id in names:
                continue
            known_at = max(machine.heard_at or 0.0, machine.listed_at or 0.0)
            if asked_at > known_at + 2 * self._lag_s * 1.01:
                to_release.append(machine.id)
        to_release += leader.reconciliation.missing_machines(names, asked_at)
        if to_release:
            self.release(to_release)

    # Returning

    def release(self, names):
        """Returns machines to the cloud, which ends whatever runs on them."""
        names = [name for name in names if name not in self._releasing]
        for name in names:
            self._releasing.add(name)
            machine = self._shard_leader.machines.get(name)
            if machine is not None:
                machine.draining = True
        for at in range(0, len(names), MAX_RELEASE):
            self._loop.spawn(self._release(names[at : at + MAX_RELEASE]), "release")

    async def _release(self, names):
        try:
            await self._cloud.release(names)
        except (CloudError, NoCapacityError) as error:
            log.info("releasing machines failed: %s", error)
            await self._loop.sleep(self._lag_s)
        else:
            self._count("machines_released", len(names))
            for name in names:
                self._booting.pop(name, None)
                machine = self._shard_leader.machines.get(name)
                if machine is not None:
                    self._shard_leader.machine_gone(machine, "released")
                else:
                    self._shard_leader.unregistered_machine_gone(name)
        finally:
            self._releasing.difference_update(names)

    def return_idle(self):
        """Returns machines that have been idle for long enough, except those kept for pending tasks."""
        ratio = self._tuning.idle_ratio * (
            SURPLUS_IDLE_FACTOR if self._shard_leader.has_spare_capacity() else 1.0
        )

        def idle_s(machine):
            boot_s = machine.kind.boot_s if machine.kind is not None else self._lease_s
            return ratio * boot_s

        machines = self._shard_leader.idle(idle_s)
        count = returnable_count(len(machines), self._demand_of_members(), self.machine_counts, self.types)
        if count:
            self.release([machine.id for machine in machines[:count]])

    def refused_kinds(self):
        """Returns the offers, as text, for which the cloud lately had no capacity."""
        now = self._loop.now()
        return [
            " ".join((kind, zone, "spot" if spot else "ordinary"))
            for (kind, zone, spot), (until, _attempts) in self._backoffs.items()
            if until > now
        ]

    def capacity(self):
        """Returns this controller's part of the fleet's CPUs: an equal part for each member; 0 outside."""
        cpus = self.totals()[0]
        return cpus / max(1, len(self._member.term.members)) if self._member.joined else 0.0

    def totals(self):
        """Returns (cpus, gpus, memory) of the whole fleet, as the shard leaders last reported it."""
        cpus = gpus = memory = 0.0
        for rows in self.machine_counts.values():
            for type_name, _zone, _spot, count, *_free in rows:
                kind = self.types.get(type_name)
                if kind is not None:
                    cpus += count * kind.cpus
                    gpus += count * kind.gpus
                    memory += count * kind.memory
        return cpus, gpus, memory

    # Renting

    @property
    def renter(self):
        """Whether this controller rents for all: a hash over the term's members picks one of them."""
        return (
            self._member.joined
            and not self._member.lease_may_have_expired()
            and rendezvous_choice(self._member.term.members, "renter") == self._member.label
        )

    def _demand_of_members(self):
        """Returns {label: rows of its newest Demand} of the term's members."""
        return {label: rows for label, rows in self.demand.items() if label in self._member.term.members}

    def _collect_requests(self):
        """Returns the resource requests: the demand of all members, summed over tasks with the same needs."""
        requests = {}
        for row in self._sustained_headroom.rentable(self._demand_of_members(), self._loop.now()):
            rank, mark, cpus, gpus, memory, count, spot, zone, types, estimate_s, klass, slack, *_ = row
            target_s = self._shortest_targets.get(klass)
            if target_s is not None:
                wait_s = self._tuning.drain_ratio * target_s
            else:
                wait_s = max(slack, self._tuning.drain_ratio * estimate_s)
                wait_s = min(wait_s, self._tuning.drain_ratio * self._default_target_s)
            key = (rank, mark, cpus, gpus, memory, spot, zone, tuple(types), klass)
            request = requests.get(key)
            if request is None:
                request = ResourceRequest(
                    rank, cpus, gpus, memory, count, spot, zone, types, estimate_s, wait_s, mark
                )
                requests[key] = request
            else:
                total = request.count + count
                request.estimate_s = (request.estimate_s * request.count + estimate_s * count) / total
                request.count = total
                request.wait_s = min(request.wait_s, wait_s)
        now = self._loop.now()
        progress = {}
        for key, request in requests.items():
            if request.mark is QuotaMark.BEYOND:
                continue
            count, since = self._progress.get(key, (request.count, now))
            if request.count < count or self._booting:
                since = now  # tasks of it started, or machines are booting
            progress[key] = (request.count, since)
            if now - since > max(request.estimate_s, self._lease_s / 2):
                # None of its tasks started for longer than a run should take: the machines are occupied by
                # services or by tasks with far too low an estimate, and will not become free in time.
                request.estimate_s, request.stuck = 0.0, True
        self._progress = progress
        return list(requests.values())

    async def _rent_machines(self):
        while True:
            await self._wake.wait(self._loop, self._lag_s / 1.5)
            if not self.renter or not self.types:
                continue
            try:
                await self._rent_once()
            except CloudError as error:
                log.info("renting machines failed: %s", error)
                await self._loop.sleep(self._lag_s)
            await self._loop.sleep(self._lag_s / 6)

    async def _rent_once(self):
        now = self._loop.now()
        refused = {key for key, (until, _attempts) in self._backoffs.items() if until > now}
        booting = {}
        for key, _since in self._booting.values():
            booting[key] = booting.get(key, 0) + 1
        machines, idle = {}, {}
        busy = 0.0
        for rows in self.machine_counts.values():
            for type_name, zone, spot, count, empty, free_cpus, _gpus, _memory in rows:
                key = (type_name, zone, spot)
                machines[key] = machines.get(key, 0) + count
                idle[key] = idle.get(key, 0) + empty
                if type_name in self.types:
                    busy += count - free_cpus / max(1e-6, self.types[type_name].cpus)
        for key, count in booting.items():
            # Shard leaders count machines as soon as they are listed, also while they boot.
            machines[key] = max(0, machines.get(key, 0) - count)
        machine_count = sum(machines.values()) + len(self._booting)
        requests = self._collect_requests()
        orders = plan_machines(
            requests,
            instance_offers(self.types, self._zones),
            machines,
            idle,
            busy,
            booting,
            refused,
            max(0, self._max_machines - machine_count),
            COSTLY_OFFERS_WITHIN / self._tuning.drain_ratio,
            self._recently_booted.counts(now),
        )
        for offer, count in orders:
            count = min(count, MAX_HIRE)
            self._hire_count += 1
            # The request name contains the incarnation, so that no other process ever uses the same name.
            name = f"r-{self._member.incarnation}-{self._hire_count}"
            try:
                names = await self._hire_with_retries(name, offer, count)
            except NoCapacityError:
                names = []
            if len(names) < count:
                attempts = self._backoffs.get(offer.key, (0, 0))[1] + 1
                backoff_s = min(2**attempts, 10) * self._lag_s
                self._backoffs[offer.key] = (self._loop.now() + backoff_s, attempts)
                log.info("the cloud has no capacity for %s", offer.key)
                self._wake.set()
            else:
                self._backoffs.pop(offer.key, None)
            if names:
                log.info(
                    "rented %d of %s; up: %s, booting: %s, waiting (urgency, tasks, s each, s left): %s",
                    len(names),
                    offer.key,
                    sum(machines.values()),
                    sum(booting.values()),
                    [
                        (request.rank, request.count, round(request.estimate_s), round(request.wait_s))
                        for request in requests
                    ],
                )
                self._count("machines_hired", len(names))
            for machine in names:
                self._booting[machine] = (offer.key, self._loop.now())

    async def _hire_with_retries(self, name, offer, count):
        """Rents machines and returns their names; retries with the same name, which rents nothing twice."""
        for retries_left in (2, 1, 0):
            try:
                return await self._cloud.rent(name, offer.kind.name, offer.zone, offer.spot, count)
            except CloudError:
                if not retries_left:
                    raise
                await self._loop.sleep(self._lag_s / 3)
        return []
