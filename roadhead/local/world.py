"""Simulates a whole deployment in virtual time: real controllers and emulated services, run by a scenario."""

import logging
import random

import msgspec

from roadhead.local import expectations
from roadhead.local.cloud_api import CloudEmulator
from roadhead.local.fault_injector import FaultInjector
from roadhead.local.fault_windows import FaultWindows
from roadhead.local.histories import AnswerHistory
from roadhead.local.rules import RuleChecker
from roadhead.local.scenario import FREE, parse_scenario
from roadhead.local.scenario_verbs import ScenarioVerbs
from roadhead.local.sim import HostLoop, Network, Sim
from roadhead.local.starvation_check import StarvationCheck
from roadhead.local.state_service import StateServiceEmulator
from roadhead.local.tenancy import Tenancy
from roadhead.local.user import EmulatedUser
from roadhead.node import Node
from roadhead.settings import Tuning, parse

EPOCH_S = 1e9  # Unix time at which a simulation begins
MAX_EXPLANATIONS = 3
REPAIRS = ("attempts_repaired", "requests_repaired", "grants_repaired")  # counters of anti-entropy


class Failures(logging.Handler):
    """Collects the errors that the event loop logs and survives; a scenario fails on them."""

    def __init__(self):
        super().__init__(logging.ERROR)
        self.texts = []

    def emit(self, record):
        self.texts.append(f"{record.getMessage()[:200]}: {record.exc_info and record.exc_info[1]!r}")


class World:
    """Runs the controllers' production code in a simulation that emulates everything they communicate with.

    `text` is a scenario, as `roadhead.local.scenario` parses it.
    """

    def __init__(self, text):
        self.failures = Failures()
        scenario = parse_scenario(text)
        self.options = options = scenario.options
        self.actions = scenario.actions
        self.expectations = scenario.expectations
        self.sim = Sim(options["seed"])
        self.network = Network(self.sim)
        self.settings = {
            "workers": {key: options[key] for key in ("report_s", "lease_s", "cancel_s")},
            "state": {name: options[name] for name in ("rps", "write_rps", "value_kb", "txn_ops")},
            "cloud": {"rps": 9.0, "list_lag_s": options["list_lag_s"]},
        }
        self._init_records()
        self.zones = ("north", "south")
        self.labels = [f"ctl-{number}" for number in range(options["controllers"])]
        self.fronts = [f"10.0.0.{number + 1}:8080" for number in range(options["controllers"])]
        self._make_emulators()
        self.nodes = {}
        self.explanations = []  # one per explained violation: [(decision_log.Entry, controller label)]
        self._decisions = []  # (controller label, DecisionLog) of all processes, including ended ones
        self.tenancy = None
        if options["gateways"]:
            self.tenancy = Tenancy(self, options["gateways"])
        self._verbs = ScenarioVerbs(self)
        for number in range(options["controllers"]):
            self.start(number)
        self.sim.spawn(self.rules.watch(), "checks")
        self.sim.spawn(StarvationCheck(self).watch(), "waiting check")

    def _init_records(self):
        """Creates the state that the emulators and checks share: what has happened and what is to happen."""
        lease_s = self.options["lease_s"]
        self.fetch_s = self.options["fetch_s"]
        self.gang_wait_s, self.gang_peer_s = 3 * lease_s, 0.7 * lease_s
        self.gangs = {}  # (job id, attempt) -> Gang
        self.together = set()  # ids of gang jobs whose tasks all ran at the same time
        self.stuck_boots = 0  # how many of the next machines never finish booting
        self.oversized = []  # messages from and to workers that are larger than allowed, as texts
        self.no_rooms = 0  # task starts on machines without room
        self.killed = 0  # tasks killed because their worker's lease expired
        self.given_back = 0  # tasks lost because their machine was released to the cloud
        self.jobs = {}  # job id -> job as the scenario describes it
        self.users = {}  # job id -> EmulatedUser
        self.refusals = {}  # job id -> status with which its submission was refused
        self.storms = []  # PollStorm of each verb `storm`
        self.fault_windows = FaultWindows()
        self.history = AnswerHistory()  # all responses to users
        self.rules = RuleChecker(self)
        self.violations, self.completed = self.rules.violations, self.rules.completed
        self.running, self.started = self.rules.running, self.rules.started
        self.cancelled_at = self.rules.cancelled_at

    def _make_emulators(self):
        self.injector = FaultInjector(self)
        self.state = StateServiceEmulator(self)
        machine_types = [
            {
                "name": "box",
                "vcpus": 4,
                "gpus": 0,
                "ramGb": 16,
                "cacheGb": 20,
                "fetchGbPerS": 1,
                "price": 0.2,
                "marketPrice": 0.05,
                "startupS": self.options["boot_s"],
                "paddocks": list(self.zones),
            }
        ]
        self.cloud = CloudEmulator(self, machine_types, self.options["capacity"])
        self.user_loop = self.host_loop("10.9.0.1")
        self.user_net = self.network.host("10.9.0.1", self.user_loop)

    def host_loop(self, _host, turn_s=0.0):
        """Returns an event loop for a host, with a random clock offset and drift."""
        drift = self.options["drift"]
        rate = self.sim.random.choice((1 - drift / 2, 1.0, 1 + drift / 2))
        return HostLoop(self.sim, rate, self.sim.random.uniform(0, 1000), turn_s)

    # Controllers

    def _settings_of(self, number):
        def member(n):
            endpoint = f"10.0.0.{n + 1}:8081"
            return {"label": self.labels[n], "location": self.zones[n % 2], "endpoint": endpoint}

        document = {
            "label": self.labels[number],
            "location": self.zones[number % 2],
            "front": self.fronts[number],
            "internal_addr": f"10.0.0.{number + 1}:8081",
            "members": [member(n) for n in range(len(self.labels)) if n != number],
            "external": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
            "deployment": {
                "nodes": len(self.labels),
                "zones": list(self.zones),
                "teams": self._teams(),
                "objectives": [{"kind": "finished", "class": "c", "within_s": 60.0, "share": 0.9}],
                **({"quota": {"fd_limit": self.options["sockets"]}} if self.options["sockets"] else {}),
                **self.settings,
            },
        }
        if later := self.later_limits():
            limits = document["deployment"]["state"]
            document["deployment"]["state"] = {
                **limits,
                **{name: self.options[name] for name in limits},
                "next": later,
            }
        return msgspec.json.encode(document)

    def _teams(self):
        names = ["crew", *(f"crew-{number}" for number in range(2, self.options["teams"] + 1))]
        teams = [{"name": name, "cpus_max": self.options["cpus_max"]} for name in names]
        return teams if len(teams) == 1 else [*teams, {"name": FREE, "cpus_max": 0.0}]

    def fronts_for(self, _job):
        """Returns the addresses of the controllers that a job's user may contact."""
        return self.fronts

    def later_limits(self):
        """Returns the state limits that the settings announce for later, by name."""
        return {
            name: self.options[f"next_{name}"]
            for name in ("write_rps", "value_kb", "txn_ops")
            if self.options[f"next_{name}"]
        }

    def node_class(self, _number):
        """Returns the (Node, Tuning, parse) of the software version that a controller runs."""
        return Node, Tuning, parse

    def start(self, number):
        """Starts a controller, unless it runs."""
        if number in self.nodes:
            return  # after two crashes in a row, the first restart has already happened
        host = f"10.0.0.{number + 1}"
        if self.options["sockets"]:
            self.network.limits[host] = self.options["sockets"]
        loop = self.host_loop(host, self.options["turn_s"])
        net = self.network.host(host, loop)
        node_type, tuning, parse_settings = self.node_class(number)
        node = node_type(
            loop,
            net,
            parse_settings(self._settings_of(number)),
            self._apply_options(tuning()),
            random.Random(self.sim.random.random()),
            time_of_day=lambda: EPOCH_S + self.sim.time,
            hosted=self.tenancy.tenant_admission(loop) if self.tenancy is not None else None,
        )
        node.peers.send = self.injector.lossy(node.peers.send)
        self.nodes[number] = node
        if hasattr(node, "decisions"):  # an older version may have no decision log
            self._decisions.append((node.label, node.decisions))
        node.start()

    def _apply_options(self, tuning):
        """Applies the scenario's options to a controller's tuning; an older version may have fewer fields."""
        if self.options["partitions"] > 1 and hasattr(tuning.membership, "quota_partitions"):
            tuning.membership.quota_partitions = self.options["partitions"]
        return tuning

    def crash(self, number, back_after=3.0):
        """Kills a controller and starts it again `back_after` seconds later."""
        self.network.kill(f"10.0.0.{number + 1}")
        self.nodes.pop(number, None)
        self.sim.call_later(back_after, self.start, number)

    # Calls from the emulators

    def job_of(self, task):
        """Returns the job of a task, or None."""
        return self.jobs.get(task.rpartition("/")[0])

    def all_completed(self, job):
        """Returns whether all tasks of a job have completed."""
        return self.rules.all_completed(job)

    def explain(self, *wanted):
        """Records the controllers' decisions on the machines and tasks of a violation.

        Only the first `MAX_EXPLANATIONS` violations are explained. `wanted` are (name, value) pairs such as
        ("machine", "n-000020").
        """
        if len(self.explanations) < MAX_EXPLANATIONS:
            self.explanations.append(
                sorted(
                    (
                        (entry, label)
                        for label, decisions in self._decisions
                        for entry in decisions.entries(*wanted)
                    ),
                    key=lambda pair: pair[0].at,
                )
            )

    def explanation_lines(self):
        """Returns the explanations as text, one line per decision."""
        return [
            f"{entry.at - EPOCH_S:.2f} {label} {entry.line()}"
            for entries in self.explanations
            for entry, label in entries
        ]

    def record_violation(self, rule, text):
        """Records a violation of a rule."""
        self.rules.record_violation(rule, text)

    def on_task_started(self, task, worker):
        """Records that a task starts on a worker."""
        self.rules.on_task_started(task, worker)

    def on_task_gone(self, task, worker):
        """Records that a task no longer runs on a worker."""
        self.rules.on_task_gone(task, worker)

    def task_done(self, task):
        """Is called when a task has completed."""
        job = self.job_of(task)
        if self.all_completed(job):
            self.injector.job_ended(job)

    def state_changed(self, writes):
        """Is called when the state service has executed a transaction."""
        self.injector.state_changed(writes)

    def upstream_cancelled_at(self, job_id):
        """Returns when users of upstream jobs first saw the cancellation that they had requested."""
        return self.rules.upstream_cancelled_at(job_id)

    def upstream_users(self, job_id):
        """Returns the users of all jobs upstream of a job."""
        return self.rules.upstream_users(job_id)

    # Calls from the scenario

    def new_user(self, job):
        """Returns the emulated user of a job."""
        return EmulatedUser(self, job)

    def submit(self, words):
        """Executes the verb `submit`."""
        self._verbs.submit(*words)

    def do(self, words):
        """Executes an action: a verb and the words after it."""
        verb, *rest = words
        if verb not in self._verbs.table:
            raise ValueError(f"unknown scenario verb {verb!r} in {words}")
        self._verbs.table[verb](*rest)

    def run(self):
        """Runs the scenario to its end and returns this world."""
        for when, words in self.actions:
            self.sim.call_at(when, self.do, words)
        logger = logging.getLogger("roadhead.loop")
        logger.addHandler(self.failures)
        try:
            self.sim.run_until(self.options["until"])
        finally:
            logger.removeHandler(self.failures)
        return self

    # Results

    @property
    def longest_gone(self):
        """Returns the longest time, in seconds, that a task ran on after its user saw its job cancelled."""
        return self.rules.longest_gone

    def counter(self, name):
        """Returns the sum of a counter over the controllers that run."""
        return sum(node.counters.counts.get(name, 0) for node in self.nodes.values())

    def check(self):
        """Returns the violations, the logged errors and the unmet expectations, as texts."""
        for requests in self.injector.odd_requests:
            requests.check()
        faults = [*self.violations, *self.failures.texts[:3], *self.oversized[:3]]
        if self.counter("duties_failed"):
            faults.append("a periodic duty failed (counter duties_failed)")
        if count := self.counter("unexpected_attempts"):
            faults.append(f"{count} attempts that nothing can have launched (counter unexpected_attempts)")
        if not self.fault_windows.lost_frames.struck:
            faults += [
                f"{count} repairs though no frame was lost (counter {name})"
                for name in REPAIRS
                if (count := self.counter(name))
            ]
        return faults + expectations.unmet_expectations(self)
