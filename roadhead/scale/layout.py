"""The directory of a scale run: addresses and settings with which its processes find each other."""

import json
import random
import socket
from pathlib import Path

import msgspec

from roadhead.scale.plan import Plan

LAYOUT_FILE = "cluster.json"
WORKER_PORT = 9000
SERVICE_PORT, PEER_PORT, HOST_PORT = 8080, 8081, 8082
WORKERS_PER_SUBNET = 250
NETWORKS = range(10, 250)  # second octets of loopback addresses
CONTROLLER_FD_LIMIT = 4096  # limit of open files of a controller
IDLE_RATIO = 1e6  # in boot times of a machine: so high that idle workers of a scale run are never returned


def zone_name(number):
    """Returns the name of a zone by its number."""
    return f"zone-{number}"


def worker_address(network, number):
    """Returns a loopback address for one worker, so that thousands can listen. `network`: that of the run."""
    subnet, index = divmod(number, WORKERS_PER_SUBNET)
    return f"127.{network}.{subnet}.{index + 1}:{WORKER_PORT}"


def service_address(network, index, port=SERVICE_PORT):
    """Returns the loopback address of a process of the run.

    Its ports are below the range of ephemeral ports, so no outgoing connection can occupy them.
    """
    return f"127.{network}.254.{index + 1}:{port}"


def reserve_network():
    """Returns (a network that no other run uses, the socket that reserves it as long as it is open)."""
    for network in random.sample(NETWORKS, len(NETWORKS)):
        lock = socket.socket()
        try:
            lock.bind((f"127.{network}.255.254", WORKER_PORT))
            lock.listen()
        except OSError:
            lock.close()
            continue
        return network, lock
    raise OSError("all loopback networks for scale runs are in use")


class Layout:
    """The directory of a run. `document`: what `roadhead.local.processes` reads, and further addresses."""

    def __init__(self, directory):
        self.directory = Path(directory)
        self._lock = None  # the socket that reserves the workers' network during the run
        self.document = json.loads((self.directory / LAYOUT_FILE).read_text())
        self.plan = msgspec.convert(self.document["plan"], Plan)

    @classmethod
    def create(cls, directory, plan, program):
        """Writes the files of a Plan and returns the Layout. `program`: arguments that start roadhead."""
        directory = Path(directory)
        network, lock = reserve_network()
        labels = [f"controller-{number}" for number in range(plan.cluster.controllers)]
        document = {
            "plan": msgspec.to_builtins(plan),
            "program": program,
            "network": network,
            "labels": labels,
            "fronts": [service_address(network, index) for index in range(len(labels))],
            "internal": [service_address(network, index, PEER_PORT) for index in range(len(labels))],
            "state": service_address(network, len(labels)),
            "cloud": service_address(network, len(labels) + 1),
            "hosts": [service_address(network, index, HOST_PORT) for index in range(plan.cluster.hosts)],
            "settings": {
                "workers": {name: getattr(plan.timing, name) for name in ("report_s", "lease_s", "cancel_s")},
                "state": msgspec.to_builtins(plan.state),
                "cloud": {"rps": plan.cloud_rps, "list_lag_s": plan.timing.list_lag_s},
            },
        }
        (directory / LAYOUT_FILE).write_text(json.dumps(document))
        (directory / "tuning.toml").write_text(
            f"[fleet]\nidle_ratio = {IDLE_RATIO}\n[membership]\nquota_partitions = {plan.teams.partitions}\n"
        )
        layout = cls(directory)
        layout._lock = lock
        for number in range(len(labels)):
            (directory / f"{labels[number]}.json").write_text(json.dumps(layout._controller_settings(number)))
        return layout

    def zone_of(self, number):
        """Returns the zone of a controller or worker by its number."""
        return zone_name(number % self.plan.cluster.zones)

    def _controller_settings(self, number):
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
                "quota": {"fd_limit": CONTROLLER_FD_LIMIT},
                **document["settings"],
            },
        }

    def processes(self):
        """Yields (role, name, arguments of roadhead) of each process, in start order."""
        directory = str(self.directory)
        yield "state", "state", ["scale-part", "state", directory]
        for number in range(self.plan.cluster.hosts):
            yield "workers", f"workers-{number}", ["scale-part", "workers", directory, str(number)]
        yield "cloud", "cloud", ["scale-part", "cloud", directory]
        for label in self.document["labels"]:
            yield "controller", label, self.controller_arguments(label)

    def controller_arguments(self, label):
        """Returns the arguments of roadhead that start a controller."""
        config, tuning = self.directory / f"{label}.json", self.directory / "tuning.toml"
        return ["serve", "--config", str(config), "--tuning", str(tuning)]

    def host_of(self, number):
        """Returns the number of the process that runs a worker, by the worker's number."""
        return number % self.plan.cluster.hosts
