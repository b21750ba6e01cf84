"""A whole deployment in virtual time, driven by a scenario's text."""

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

EPOCH_S = 1e9  # the time of day at which a simulation begins
EXPLAINED_MOST = 3


class Failures(logging.Handler):
    """Callbacks and routines that failed: the loop goes on without them, a scenario does not."""

    def __init__(self):
        super().__init__(logging.ERROR)
        self.texts = []

    def emit(self, record):
        self.texts.append(f"{record.getMessage()[:200]}: {record.exc_info and record.exc_info[1]!r}")


class World:
    """Controllers as they run in production, with all that they talk to emulated around them."""

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
        self._make_records()
        self.zones = ("north", "south")
        self.labels = [f"ctl-{number}" for number in range(options["controllers"])]
        self.fronts = [f"10.0.0.{number + 1}:8080" for number in range(options["controllers"])]
        self._make_emulators()
        self.nodes = {}
        self.explanations = []  # of broken rules: [(decision_log.Entry, label of its controller)]
        self._decisions = []  # (label, DecisionLog) of all processes, those that ended too
        self.tenancy = None
        if options["gateways"]:
            self.tenancy = Tenancy(self, options["gateways"])
        self._verbs = ScenarioVerbs(self)
        for number in range(options["controllers"]):
            self.start(number)
        self.sim.spawn(self.rules.watch(), "checks")
        self.sim.spawn(StarvationCheck(self).watch(), "waiting check")

    def _make_records(self):
        """What happened, and what is to happen, as the emulators and the checks need it."""
        lease_s = self.options["lease_s"]
        self.fetch_s = self.options["fetch_s"]
        self.gang_wait_s, self.gang_peer_s = 3 * lease_s, 0.7 * lease_s
        self.gangs = {}  # (job, attempt) -> Gang
        self.together = set()  # gangs that ran, all of them at once
        self.stuck_boots = 0
        self.no_rooms = 0
        self.killed = 0  # tasks, by their workers' leases
        self.given_back = 0  # tasks, with machines returned to the cloud
        self.jobs = {}
        self.users = {}
        self.refusals = {}
        self.storms = []
        self.fault_windows = FaultWindows()
        self.history = AnswerHistory()  # of all answers to users
        self.rules = RuleChecker(self)
        self.violations, self.completed = self.rules.violations, self.rules.completed
        self.running, self.started = self.rules.running, self.rules.started
        self.cancelled_at = self.rules.cancelled_at

    def _make_emulators(self):
        self.injector = FaultInjector(self)
        self.state = StateServiceEmulator(self)
        kinds = [
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
        self.cloud = CloudEmulator(self, kinds, self.options["capacity"])
        self.user_loop = self.host_loop("10.9.0.1")
        self.user_net = self.network.host("10.9.0.1", self.user_loop)

    def host_loop(self, _host, turn_s=0.0):
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
        """The controllers that a job's user may ask."""
        return self.fronts

    def later_limits(self):
        return {
            name: self.options[f"next_{name}"]
            for name in ("write_rps", "value_kb", "txn_ops")
            if self.options[f"next_{name}"]
        }

    def node_class(self, _number):
        """The version that a controller runs: (its Node, Tuning and parse)."""
        return Node, Tuning, parse

    def start(self, number):
        if number in self.nodes:
            return  # crashed twice, and back already
        host = f"10.0.0.{number + 1}"
        if self.options["sockets"]:
            self.network.limits[host] = self.options["sockets"]
        loop = self.host_loop(host, self.options["turn_s"])
        net = self.network.host(host, loop)
        node_kind, tuning, read = self.node_class(number)
        node = node_kind(
            loop,
            net,
            read(self._settings_of(number)),
            self._tuned(tuning()),
            random.Random(self.sim.random.random()),
            time_of_day=lambda: EPOCH_S + self.sim.time,
            hosted=self.tenancy.tenant_admission(loop) if self.tenancy is not None else None,
        )
        self.nodes[number] = node
        if hasattr(node, "decisions"):  # the version that serves today may keep none
            self._decisions.append((node.label, node.decisions))
        node.start()

    def _tuned(self, tuning):
        """The operators' settings of a controller; the version that serves today may know fewer."""
        if self.options["partitions"] > 1 and hasattr(tuning.membership, "quota_partitions"):
            tuning.membership.quota_partitions = self.options["partitions"]
        return tuning

    def crash(self, number, back_after=3.0):
        self.network.kill(f"10.0.0.{number + 1}")
        self.nodes.pop(number, None)
        self.sim.call_later(back_after, self.start, number)

    # What the emulators tell

    def job_of(self, task):
        return self.jobs.get(task.rpartition("/")[0])

    def all_completed(self, job):
        return self.rules.all_completed(job)

    def explain(self, *wanted):
        """Keeps what the controllers decided on the machines and tasks of a broken rule, for the first few:
        `wanted` are (name, value) pairs, as ("machine", "n-000020")."""
        if len(self.explanations) < EXPLAINED_MOST:
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
        """The explanations as text, a line a decision."""
        return [
            f"{entry.at - EPOCH_S:.2f} {label} {entry.line()}"
            for entries in self.explanations
            for entry, label in entries
        ]

    def record_violation(self, rule, text):
        self.rules.record_violation(rule, text)

    def on_machine(self, task, worker):
        self.rules.on_machine(task, worker)

    def off_machine(self, task, worker):
        self.rules.off_machine(task, worker)

    def task_done(self, task):
        job = self.job_of(task)
        if self.all_completed(job):
            self.injector.job_ended(job)

    def state_changed(self, writes):
        self.injector.state_changed(writes)

    def cancelled_above(self, job_id):
        return self.rules.cancelled_above(job_id)

    def upstream_users(self, job_id):
        return self.rules.upstream_users(job_id)

    # What a scenario does

    def new_user(self, job):
        return EmulatedUser(self, job)

    def submit(self, words):
        self._verbs.submit(*words)

    def do(self, words):
        verb, *rest = words
        if verb not in self._verbs.table:
            raise ValueError(f"scenario: {words}")
        self._verbs.table[verb](*rest)

    def run(self):
        for when, words in self.actions:
            self.sim.call_at(when, self.do, words)
        logger = logging.getLogger("roadhead.loop")
        logger.addHandler(self.failures)
        try:
            self.sim.run_until(self.options["until"])
        finally:
            logger.removeHandler(self.failures)
        return self

    # What came of it

    @property
    def longest_gone(self):
        """For how many seconds, after its user was told of a cancellation, a task was still there."""
        return self.rules.longest_gone

    def counter(self, name):
        return sum(node.counters.counts.get(name, 0) for node in self.nodes.values())

    def check(self):
        """Faults against the rules and the scenario's expectations."""
        for requests in self.injector.odd_requests:
            requests.check()
        faults = [*self.violations, *self.failures.texts[:3]]
        if self.counter("duties_failed"):
            faults.append("a duty failed")
        return faults + expectations.unmet_expectations(self)
