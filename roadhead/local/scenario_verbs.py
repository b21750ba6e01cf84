"""Implements the verbs of a scenario's actions, the lines `at SECOND VERB ...`."""

from roadhead.local.poll_storm import PollStorm
from roadhead.local.scenario import parse_job
from roadhead.local.tenancy import TenantUser
from roadhead.tenants.ids import to_job


def job_id(number):
    """Returns the id of the scenario's job with this number; numbers begin at 1."""
    return f"req-{int(number):06d}"


class ScenarioVerbs:
    """Executes verbs in a world. `table` maps a verb to the function that takes the words after it."""

    def __init__(self, world):
        self._world = world
        self._sim = world.sim
        self._job_counts = {}  # tenant -> number of jobs submitted for it
        self.table = {
            "submit": self.submit,
            "orphan": self.orphan,
            "resubmit": self.resubmit,
            "cancel": lambda *words: self._ask("cancel", *words),
            "poll": lambda *words: self._ask("poll", *words),
            "storm": self.storm,
            "finals": self.finals,
            "crash": self.crash,
            "leave": self.leave,
            "stall": self.stall,
            "cut": self.cut,
            "outage": self.outage,
            "refuse": self.refuse,
            "slow-state": self.slow_state,
            "lower": self.lower,
            "cloud-outage": self.cloud_outage,
            "lose": self.lose,
            "lose-workers": self.lose_workers,
            "late-launch": self.late_launch,
            "late-hire": self.late_hire,
            "late-write": self.late_write,
            "late-writes": self.late_writes,
            "die": self.die,
            "hang": self.hang,
            "notice": self.notice,
            "sick": self.sick,
            "stuck": self.stuck,
            "deaf": self.deaf,
            **{
                verb: lambda *words, verb=verb: world.tenancy.in_turn(verb, *words)
                for verb in ("tenant", "limits", "suspend", "resume", "remove")
            },
            "crash-gateway": lambda number, s: world.tenancy.crash(int(number), float(s)),
            **world.injector.verbs,
        }

    # Users

    def submit(self, *words):
        """Submits `count` jobs with the given `name=value` fields, each by a user of its own."""
        given = dict(word.split("=", 1) for word in words)
        if "tenant" in given:
            self._submit_as_tenant(given)
            return
        world = self._world
        number = len(world.jobs) + 1
        for _ in range(int(given.pop("count", 1))):
            job = {**parse_job(given), "id": job_id(number)}
            world.jobs[job["id"]] = job
            user = world.users[job["id"]] = world.new_user(job)
            world.user_loop.spawn(user.run(), job["id"])
            number += 1

    def _submit_as_tenant(self, given):
        """Submits jobs through a gateway, one per `every` seconds; `id` is the prefix of their ids."""
        tenant, own = given.pop("tenant"), given.pop("id", "")
        count, every = int(given.pop("count", 1)), float(given.pop("every", 0))
        for number in range(count):
            self._job_counts[tenant] = self._job_counts.get(tenant, 0) + 1
            name = f"{own}{self._job_counts[tenant]}"  # different tenants use the same job ids
            self._sim.call_later(number * every, self._start_tenant_user, given, tenant, name)

    def _start_tenant_user(self, given, tenant, name):
        world = self._world
        job = {**parse_job(given), "id": to_job(world.tenancy.numbers[tenant], name), "tenant": tenant}
        world.jobs[job["id"]] = job
        user = world.users[job["id"]] = TenantUser(world, job, name)
        user.submitted_at = self._sim.time
        world.user_loop.spawn(user.run(), name)

    def orphan(self, *words):
        """Submits a job whose record already exists, written after all scans by an owner that has ended."""
        world = self._world
        user_id = job_id(len(world.jobs) + 1)
        world.submit(words)
        described = world.users[user_id].submission()
        world.state.put(
            f"j/{user_id}",
            {
                "s": "open",
                "o": [world.labels[0], 0],
                "at": 1e9 + self._sim.time,
                "spec": {name: value for name, value in described.items() if value is not None},
                "done": [],
            },
        )

    def resubmit(self, numbers):
        """Repeats the submissions of accepted jobs."""
        for number in numbers.split(","):
            self._world.user_loop.spawn(self._world.users[job_id(number)].submit_again(), "resubmit")

    def _id(self, name):
        """Returns a job's id, given its number or its tenant and the tenant's own id, as in `north:a1`."""
        tenant, _, own = name.rpartition(":")
        return to_job(self._world.tenancy.numbers[tenant], own) if tenant else job_id(name)

    def _ask(self, verb, names, via=None):
        """Cancels or polls jobs at any controller, or at the one numbered: `cancel 1,2 1`."""
        for name in names.split(","):
            act = getattr(self._world.users[self._id(name)], verb)
            self._world.user_loop.spawn(act(int(via) if via is not None else None), verb)

    def storm(self, rate, seconds):
        """Polls at `rate` per second, in addition to the jobs' own users."""
        self._world.storms.append(PollStorm(self._world, float(rate), float(seconds)))

    def finals(self, count):
        """Stores final records under j/, as an older version left them for jobs that ended long ago."""
        for number in range(int(count)):
            self._world.state.put(f"j/req-{500000 + number}", {"s": "done", "n": 1, "d": 1})

    # Controllers

    def crash(self, number, back_after=3.0):
        """Kills a controller and starts it again later."""
        self._world.crash(int(number), float(back_after))

    def leave(self, number, back_after=3.0):
        """Shuts a controller down gracefully and starts it again later."""
        number = int(number)
        if number in self._world.nodes:
            self._world.nodes[number].leave(lambda: self._world.crash(number, float(back_after)))

    def stall(self, number, seconds):
        """Makes a controller process hang."""
        loop = self._world.network.loops.get(f"10.0.0.{int(number) + 1}")
        if loop is not None and not loop.hung:
            loop.hang()
            self._sim.call_later(float(seconds), loop.wake)

    # Network

    def _hosts(self, name):
        """Returns the hosts that a scenario means by a name.

        A name is a controller's number, `state`, `cloud`, `users`, `workers`, `even-workers`, `odd-workers`,
        `peers` (all controllers) or a zone.
        """
        rented = self._world.cloud.rented.values()
        if name == "state":
            return ["10.2.0.1"]
        if name == "cloud":
            return ["10.2.0.2"]
        if name == "users":
            return ["10.9.0.1"]
        if name in self._world.zones:
            controllers = range(self._world.zones.index(name), len(self._world.labels), 2)
            workers = [worker.host for worker in rented if worker.zone == name]
            return [f"10.0.0.{number + 1}" for number in controllers] + workers
        if name == "workers":
            return [worker.host for worker in rented]
        if name in ("even-workers", "odd-workers"):
            return [worker.host for worker in rented][name == "odd-workers" :: 2]
        if name == "peers":
            return [f"10.0.0.{n + 1}" for n in range(len(self._world.labels))]
        return [f"10.0.0.{int(name) + 1}"]

    def cut(self, one, other, seconds, mode="lose"):
        """Cuts the network between two groups of hosts; modes as in `sim.Network.cut`."""
        network = self._world.network
        for a in self._hosts(one):
            for b in self._hosts(other):
                if a != b:
                    network.cut(a, b, mode)
                    self._sim.call_later(float(seconds), network.heal, a, b)

    # State service and cloud

    def outage(self, seconds):
        """Makes the state service unavailable to all."""
        self._world.state.outage(True)
        self._sim.call_later(float(seconds), self._world.state.outage, False)

    def refuse(self, host, seconds):
        """Makes the state service unavailable to one controller."""
        self._world.state.refuse(self._hosts(host)[0], float(seconds))

    def slow_state(self, max_extra_s, seconds):
        """Delays the state service's responses by up to `max_extra_s`."""
        self._world.state.slow_s = float(max_extra_s)
        self._sim.call_later(float(seconds), setattr, self._world.state, "slow_s", 0.0)

    def lower(self):
        """Applies the state limits that the settings announce for later, without notice."""
        self._world.settings["state"].update(self._world.later_limits())

    def cloud_outage(self, seconds):
        """Makes the cloud's API unavailable."""
        self._world.cloud.down = True
        self._sim.call_later(float(seconds), setattr, self._world.cloud, "down", False)

    # Messages

    def lose(self, service, count):
        """Drops the next `count` responses to POST requests of a service, `state` or `cloud`."""
        {"state": self._world.state, "cloud": self._world.cloud}[service].lose += int(count)

    def lose_workers(self, count):
        """Drops the next `count` responses of each worker."""
        for worker in self._world.cloud.rented.values():
            worker.lose += int(count)

    def late_launch(self, seconds):
        """Delays the next launch command to each worker."""

        def matches(_method, path, body):
            return path == "/commands" and any(order["verb"] == "launch" for order in body["orders"])

        for worker in self._world.cloud.rented.values():
            worker.late.append((matches, float(seconds)))

    def late_hire(self, seconds):
        """Delays the next request to rent machines."""
        self._world.cloud.late.append(
            (lambda method, path, _body: (method, path) == ("POST", "/hosts"), float(seconds))
        )

    def late_write(self, seconds):
        """Delays the next transaction."""
        self._world.state.late.append((lambda _method, path, _body: path == "/multi", float(seconds)))

    def late_writes(self, share, seconds):
        """Delays a share of the transactions for a while."""
        self._world.state.late_share = float(share), self._sim.time + float(seconds)

    # Machines

    def _busiest_workers(self):
        """Returns the workers that are up, those with the most tasks first."""
        return sorted(
            (worker for worker in self._world.cloud.rented.values() if worker.up and not worker.dead),
            key=lambda worker: (-len(worker.tasks), worker.name),
        )

    def die(self, count):
        """Ends the busiest machines without notice."""
        for worker in self._busiest_workers()[: int(count)]:
            worker.end()

    def sick(self, count):
        """Makes every task fail on the busiest machines."""
        for worker in self._busiest_workers()[: int(count)]:
            worker.sick = True

    def notice(self, count, seconds):
        """Gives the busiest machines notice that the cloud will reclaim them in `seconds`."""
        for worker in self._busiest_workers()[: int(count)]:
            worker.notice_at = self._sim.time + float(seconds)
            worker.changed()
            self._sim.call_later(float(seconds), self._reclaim, worker)

    def _reclaim(self, worker):
        """Takes a machine away, as announced by its notice."""
        self._world.cloud.rented.pop(worker.name, None)
        if not worker.dead:
            worker.end()

    def hang(self, place, seconds):
        """Makes a worker hang, the one at index `place` of the busiest."""
        for worker in self._busiest_workers()[int(place) : int(place) + 1]:
            worker.hang(float(seconds))

    def stuck(self, count):
        """Makes the next `count` rented machines never finish booting."""
        self._world.stuck_boots = int(count)

    def deaf(self, share, seconds):
        """Drops all responses and commands to a share of the workers."""
        up = [worker for worker in self._world.cloud.rented.values() if worker.up and not worker.dead]
        for worker in self._sim.random.sample(up, round(float(share) * len(up))):
            worker.incoming_lost_until = self._sim.time + float(seconds)
