"""The fleet's duties: the catalogue, the machine list, renting (one renter a term), returning."""

import logging

from roadhead.cloud.client import CloudError, NoCapacityError
from roadhead.fleet.provisioning import ResourceRequest, instance_offers, plan_machines
from roadhead.fleet.quota_limits import QuotaMark, RecentlyBooted, SustainedHeadroom, returnable_count
from roadhead.runtime.loop import Signal
from roadhead.shards.hashing import rendezvous_choice

log = logging.getLogger("roadhead.fleet")

HIRE_MOST = 50
RELEASE_MOST = 100
EARLY_S = 1e-3  # timers may fire that much early
DEARER_WITHIN = 0.7  # of a time aim: what the cheapest kinds don't drain by then is rented for dearer
SETTLED_LAGS = 2  # list lags, after which what starts on new machines is no longer told of as waiting
SOONER = 0.2  # of the time that an idle machine is kept, if there is plenty of room without it


class Fleet:
    def __init__(self, loop, cloud, member, home, deployment, tuning, aims, default_aim_s, random, counters):
        self._loop = loop
        self._cloud = cloud
        self._member = member
        self._shard_leader = home
        self._zones = deployment.zones
        self._lag_s = deployment.cloud.list_lag_s
        self._lease_s = deployment.workers.lease_s
        self._tuning = tuning
        # Beyond that the survivors of an end could not even hear each machine once a report interval.
        self._largest = tuning.largest or deployment.nodes * deployment.quota.fd_limit
        self._aims = aims
        self._default_aim_s = default_aim_s
        self._random = random
        self._count = counters.add
        self.types = {}
        self.on_types = lambda: None  # called when they have become known
        self.demand = {}  # label -> rows of its newest Demand
        self.machine_counts = {}  # label -> rows of its newest MachineCounts
        self.running = []  # addresses of the machines last listed as running
        self._hired = {}  # machine -> (shape key, when), until it is listed as running
        self._just_up = RecentlyBooted(SETTLED_LAGS * self._lag_s)
        self._steady = SustainedHeadroom(SETTLED_LAGS * self._lag_s)
        self._refused = {}  # shape key -> (until, how often)
        self._names = 0
        self._moved = {}  # what waits -> (tasks, when that number last fell)
        self._releasing = set()
        self._wake = Signal()

    def duties(self):
        return [self._catalogue, self._list, self._rent]

    def wake(self):
        self._wake.set()

    async def _catalogue(self):
        while True:
            try:
                self.types = await self._cloud.catalogue()
                self._shard_leader.registry.types = self.types
                self.on_types()
            except CloudError as error:
                log.info("catalogue: %s", error)
            # Spot prices move slowly; an empty catalogue is asked for again soon.
            await self._loop.sleep(5 * self._lease_s if self.types else self._lag_s / 3)

    # The list

    async def _list(self):
        while True:
            asked_at = self._loop.now()
            try:
                listed = await self._cloud.machines()
            except (CloudError, NoCapacityError) as error:
                log.info("list: %s", error)
                await self._loop.sleep(self._lag_s / 2)
                continue
            if self._member.joined:
                self._listed(listed, asked_at)
            pause_s = (
                self._lag_s if not self._shard_leader.reconciliation.is_reconciled() else 2 * self._lag_s
            )
            cover_at = self._shard_leader.reconciliation.next_list_at()
            if cover_at is not None:
                pause_s = min(pause_s, cover_at - self._loop.now() + EARLY_S)
            await self._loop.sleep(pause_s)

    def _listed(self, listed, asked_at):
        home = self._shard_leader
        term = self._member.term
        now = self._loop.now()
        names = set()
        mine = []
        running = self.running = []
        for item in listed:
            names.add(item.id)
            if item.status == "running":
                running.append(item.address)
            if item.status != "starting":
                hired = self._hired.pop(item.id, None)
                if hired is not None and item.status == "running":
                    self._just_up.add(item.id, hired[0], now)
            elif item.id not in self._hired:
                self._hired[item.id] = ((item.type, item.zone, item.spot), now - item.age_s)
            if term.leader_of(item.id) == self._member.label:
                mine.append(item)
        for name, (_key, since) in list(self._hired.items()):
            if name not in names and asked_at > since + 2 * self._lag_s:
                del self._hired[name]
        failed = home.apply_machine_list(mine, asked_at)
        if failed:
            self.release(failed)
        stuck = []
        for item in mine:
            kind = self.types.get(item.type)
            machine = home.machines.get(item.id)
            if (
                item.status == "starting"
                and kind is not None
                and item.age_s > self._tuning.stuck_ratio * kind.boot_s
                and (machine is None or machine.heard_at is None)
            ):
                if item.id not in self._releasing:
                    log.info("machine %s does not come up", item.id)
                    self._count("machines_stuck")
                stuck.append(item.id)
        for machine in list(home.machines.values()):
            if machine.id in names:
                continue
            known_at = max(machine.heard_at or 0.0, machine.listed_at or 0.0)
            if asked_at > known_at + 2 * self._lag_s * 1.01:
                stuck.append(machine.id)
        stuck += home.reconciliation.missing_machines(names, asked_at)
        if stuck:
            self.release(stuck)

    # Returning

    def release(self, names):
        """Gives machines back, with whatever is on them."""
        names = [name for name in names if name not in self._releasing]
        for name in names:
            self._releasing.add(name)
            machine = self._shard_leader.machines.get(name)
            if machine is not None:
                machine.draining = True
        for at in range(0, len(names), RELEASE_MOST):
            self._loop.spawn(self._release(names[at : at + RELEASE_MOST]), "release")

    async def _release(self, names):
        try:
            await self._cloud.release(names)
        except (CloudError, NoCapacityError) as error:
            log.info("release: %s", error)
            await self._loop.sleep(self._lag_s)
        else:
            self._count("machines_released", len(names))
            for name in names:
                self._hired.pop(name, None)
                machine = self._shard_leader.machines.get(name)
                if machine is not None:
                    self._shard_leader.machine_gone(machine, "released")
                else:
                    self._shard_leader.unregistered_machine_gone(name)
        finally:
            self._releasing.difference_update(names)

    def return_idle(self):
        ratio = self._tuning.idle_ratio * (SOONER if self._shard_leader.has_spare_capacity() else 1.0)

        def idle_s(machine):
            boot_s = machine.kind.boot_s if machine.kind is not None else self._lease_s
            return ratio * boot_s

        machines = self._shard_leader.idle(idle_s)
        count = returnable_count(len(machines), self._told(), self.machine_counts, self.types)
        if count:
            self.release([machine.id for machine in machines[:count]])

    def refused_kinds(self):
        """Kinds of machine that the cloud refused lately."""
        now = self._loop.now()
        return [
            " ".join((kind, zone, "spot" if spot else "ordinary"))
            for (kind, zone, spot), (until, _times) in self._refused.items()
            if until > now
        ]

    def capacity(self):
        """The CPUs of all machines heard of that fall to one controller."""
        cpus = self.totals()[0]
        return cpus / max(1, len(self._member.term.members)) if self._member.joined else 0.0

    def totals(self):
        """(cpus, gpus, memory) of all machines heard of."""
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
        return (
            self._member.joined
            and not self._member.lease_may_have_expired()
            and rendezvous_choice(self._member.term.members, "renter") == self._member.label
        )

    def _told(self):
        """{label: rows} of what waits at the controllers of the term."""
        return {label: rows for label, rows in self.demand.items() if label in self._member.term.members}

    def _wants(self):
        """What waits anywhere, less what the machines now busy will get to in time."""
        wants = {}
        for row in self._steady.rentable(self._told(), self._loop.now()):
            rank, mark, cpus, gpus, memory, count, spot, zone, types, estimate_s, klass, slack, *_ = row
            aim = self._aims.get(klass)
            if aim is not None:
                wait_s = self._tuning.drain_ratio * aim
            else:
                wait_s = max(slack, self._tuning.drain_ratio * estimate_s)
                wait_s = min(wait_s, self._tuning.drain_ratio * self._default_aim_s)
            key = (rank, mark, cpus, gpus, memory, spot, zone, tuple(types), klass)
            want = wants.get(key)
            if want is None:
                want = ResourceRequest(
                    rank, cpus, gpus, memory, count, spot, zone, types, estimate_s, wait_s, mark
                )
                wants[key] = want
            else:
                total = want.count + count
                want.estimate_s = (want.estimate_s * want.count + estimate_s * count) / total
                want.count = total
                want.wait_s = min(want.wait_s, wait_s)
        now = self._loop.now()
        moved = {}
        for key, want in wants.items():
            if want.mark is QuotaMark.BEYOND:
                continue
            count, since = self._moved.get(key, (want.count, now))
            if want.count < count or self._hired:
                since = now  # it moves, or machines for it are on their way
            moved[key] = (want.count, since)
            if now - since > max(want.estimate_s, self._lease_s / 2):
                # Nothing of it started for longer than a run should take: what is up is held
                # by services or by tasks estimated far too low, and will not drain in time.
                want.estimate_s, want.stuck = 0.0, True
        self._moved = moved
        return list(wants.values())

    async def _rent(self):
        while True:
            await self._wake.wait(self._loop, self._lag_s / 1.5)
            if not self.renter or not self.types:
                continue
            try:
                await self._rent_once()
            except CloudError as error:
                log.info("hire: %s", error)
                await self._loop.sleep(self._lag_s)
            await self._loop.sleep(self._lag_s / 6)

    async def _rent_once(self):
        now = self._loop.now()
        refused = {key for key, (until, _times) in self._refused.items() if until > now}
        coming = {}
        for key, _since in self._hired.values():
            coming[key] = coming.get(key, 0) + 1
        machines, idle = {}, {}
        busy = 0.0
        for rows in self.machine_counts.values():
            for type_name, zone, spot, count, empty, free_cpus, _gpus, _memory in rows:
                key = (type_name, zone, spot)
                machines[key] = machines.get(key, 0) + count
                idle[key] = idle.get(key, 0) + empty
                if type_name in self.types:
                    busy += count - free_cpus / max(1e-6, self.types[type_name].cpus)
        for key, count in coming.items():
            # Homes count machines from when they are listed, up or not.
            machines[key] = max(0, machines.get(key, 0) - count)
        size = sum(machines.values()) + len(self._hired)
        wants = self._wants()
        orders = plan_machines(
            wants,
            instance_offers(self.types, self._zones),
            machines,
            idle,
            busy,
            coming,
            refused,
            max(0, self._largest - size),
            DEARER_WITHIN / self._tuning.drain_ratio,
            self._just_up.counts(now),
        )
        for shape, count in orders:
            count = min(count, HIRE_MOST)
            self._names += 1
            # The incarnation is in the name, so that no other process ever uses it again.
            name = f"r-{self._member.incarnation}-{self._names}"
            try:
                names = await self._hire(name, shape, count)
            except NoCapacityError:
                names = []
            if len(names) < count:
                times = self._refused.get(shape.key, (0, 0))[1] + 1
                pause = min(2**times, 10) * self._lag_s
                self._refused[shape.key] = (self._loop.now() + pause, times)
                log.info("no more capacity for %s", shape.key)
                self._wake.set()
            else:
                self._refused.pop(shape.key, None)
            if names:
                log.info(
                    "hired %d of %s; up %s, coming %s, waiting (urgency, tasks, s each, s left): %s",
                    len(names),
                    shape.key,
                    sum(machines.values()),
                    sum(coming.values()),
                    [(w.rank, w.count, round(w.estimate_s), round(w.wait_s)) for w in wants],
                )
                self._count("machines_hired", len(names))
            for machine in names:
                self._hired[machine] = (shape.key, self._loop.now())

    async def _hire(self, name, shape, count):
        """Hires once, whatever gets lost on the way: the same name rents nothing twice."""
        for left in (2, 1, 0):
            try:
                return await self._cloud.rent(name, shape.kind.name, shape.zone, shape.spot, count)
            except CloudError:
                if not left:
                    raise
                await self._loop.sleep(self._lag_s / 3)
        return []
