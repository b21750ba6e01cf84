"""Addresses and files of a run: what its processes need to find each other."""

import json
import random
import socket
from pathlib import Path

import msgspec

from roadhead.scale.plan import Plan

LAYOUT = "cluster.json"
WORKER_PORT = 9000
SERVICE_PORT, PEER_PORT, HOST_PORT = 8080, 8081, 8082
WORKERS_A_SUBNET = 250
NETWORKS = range(10, 250)  # second parts of loopback addresses
SOCKETS = 4096  # of a controller
KEPT_IDLE = 1e6  # of a machine's boot time: workers of a scale run are not returned when idle


def zone_name(number):
    """The name of a zone by its number."""
    return f"zone-{number}"


def worker_address(network, number):
    """A loopback address of a worker's own, so that thousands can listen. `network`: the run's own."""
    subnet, place = divmod(number, WORKERS_A_SUBNET)
    return f"127.{network}.{subnet}.{place + 1}:{WORKER_PORT}"


def service_address(network, place, port=SERVICE_PORT):
    """A loopback address of a process of the run. No connection takes its port: those of outgoing ones are
    higher."""
    return f"127.{network}.254.{place + 1}:{port}"


def reserve_network():
    """(a network for workers that no other run uses, the socket that reserves it as long as it is open)."""
    for network in random.sample(NETWORKS, len(NETWORKS)):
        lock = socket.socket()
        try:
            lock.bind((f"127.{network}.255.254", WORKER_PORT))
            lock.listen()
        except OSError:
            lock.close()
            continue
        return network, lock
    raise OSError("no network is left for the workers of this run")


class Layout:
    """The directory of a run. `document`: what `local.processes.ProcessWorld` reads, and addresses more."""

    def __init__(self, directory):
        self.directory = Path(directory)
        self._lock = None  # reserves the workers' network while the run lasts
        self.document = json.loads((self.directory / LAYOUT).read_text())
        self.plan = msgspec.convert(self.document["plan"], Plan)

    @classmethod
    def create(cls, directory, plan, program):
        """Writes the directory's files for a Plan. `program`: arguments that start roadhead."""
        directory = Path(directory)
        network, lock = reserve_network()
        labels = [f"controller-{number}" for number in range(plan.cluster.controllers)]
        document = {
            "plan": msgspec.to_builtins(plan),
            "program": program,
            "network": network,
            "labels": labels,
            "fronts": [service_address(network, place) for place in range(len(labels))],
            "internal": [service_address(network, place, PEER_PORT) for place in range(len(labels))],
            "state": service_address(network, len(labels)),
            "cloud": service_address(network, len(labels) + 1),
            "hosts": [service_address(network, place, HOST_PORT) for place in range(plan.cluster.hosts)],
            "settings": {
                "workers": {name: getattr(plan.timing, name) for name in ("report_s", "lease_s", "cancel_s")},
                "state": msgspec.to_builtins(plan.state),
                "cloud": {"rps": plan.cloud_rps, "list_lag_s": plan.timing.list_lag_s},
            },
        }
        (directory / LAYOUT).write_text(json.dumps(document))
        (directory / "tuning.toml").write_text(
            f"[fleet]\nidle_ratio = {KEPT_IDLE}\n[membership]\nquota_partitions = {plan.teams.partitions}\n"
        )
        layout = cls(directory)
        layout._lock = lock
        for number in range(len(labels)):
            (directory / f"{labels[number]}.json").write_text(json.dumps(layout._settings_of(number)))
        return layout

    def zone_of(self, number):
        """The zone of a controller or worker, by its number."""
        return zone_name(number % self.plan.cluster.zones)

    def _settings_of(self, number):
        document, plan = self.document, self.plan
        members = [
            {"label": label, "location": self.zone_of(other), "endpoint": document["internal"][other]}
            for other, label in enumerate(document["labels"])
            if other != number
        ]
        return {
            "label": document["labels"][number],
            "location": self.zone_of(number),
            "front": document["fronts"][number],
            "internal_addr": document["internal"][number],
            "members": members,
            "external": {"cloud": document["cloud"], "state": document["state"]},
            "deployment": {
                "nodes": plan.cluster.controllers,
                "zones": [zone_name(zone) for zone in range(plan.cluster.zones)],
                "teams": [
                    {"name": f"team-{team}", "cpus_max": plan.teams.cpus_max}
                    for team in range(plan.teams.count)
                ],
                "quota": {"fd_limit": SOCKETS},
                **document["settings"],
            },
        }

    def processes(self):
        """Yields (role, name, arguments of roadhead) of each process, in the order in which they start."""
        directory = str(self.directory)
        yield "state", "state", ["scale-part", "state", directory]
        for number in range(self.plan.cluster.hosts):
            yield "workers", f"workers-{number}", ["scale-part", "workers", directory, str(number)]
        yield "cloud", "cloud", ["scale-part", "cloud", directory]
        for label in self.document["labels"]:
            yield "controller", label, self.controller_arguments(label)

    def controller_arguments(self, label):
        """Arguments of roadhead that start a controller."""
        config, tuning = self.directory / f"{label}.json", self.directory / "tuning.toml"
        return ["serve", "--config", str(config), "--tuning", str(tuning)]

    def host_of(self, number):
        """The process of a worker, by the worker's number."""
        return number % self.plan.cluster.hosts
