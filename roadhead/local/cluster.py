"""Runs a whole service on one machine, as processes on loopback that it starts, supervises and ends."""

import contextlib
import http.client
import json
import os
import random
import secrets
import shutil
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import msgspec
from tqdm import tqdm

from roadhead.gateway.types import Submission
from roadhead.local.processes import die_with_parent, free_address
from roadhead.tenants import ids
from roadhead.tenants.keys import Secrets
from roadhead.wire import messages

CONTROLLER_COUNT = 3
TENANT, TEAM = "local", "local"
MAX_TASK_FAILURES = 3  # exits of one task with an error before its job is cancelled
SETTINGS = {
    "workers": {"report_s": 0.5, "lease_s": 5.0, "cancel_s": 15.0},
    "state": {"rps": 400.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 16},
    "cloud": {"rps": 10.0, "list_lag_s": 0.5},
}


class ClusterError(Exception):
    """The cluster failed, or a job file is invalid; the text is for the user."""


class Cluster:
    """A cluster of local processes. `directory` keeps their data and addresses across restarts.

    `late_copies`: share of the direct commands that workers have answered of which copies arrive later.
    """

    def __init__(self, directory, program, late_copies=0.0):
        self.directory = Path(directory).resolve()
        self.directory.mkdir(parents=True, exist_ok=True)
        self._plan_path = self.directory / "cluster.json"
        if self._plan_path.exists():
            self.plan = json.loads(self._plan_path.read_text())
        else:
            self.plan = self._new_plan()
        self.plan["program"] = program
        self.plan["late_copies"] = late_copies
        self._plan_path.write_text(json.dumps(self.plan))
        self._write_settings()
        self._secrets = Secrets((self.directory / "secret").read_bytes().strip())
        self.processes = {}  # name -> Popen
        self.key = None

    def _new_plan(self):
        labels = [f"controller-{number}" for number in range(CONTROLLER_COUNT)]
        return {
            "labels": labels,
            "settings": SETTINGS,
            "fronts": [free_address() for _ in labels],
            "internal": [free_address() for _ in labels],
            "state": free_address(),
            "cloud": free_address(),
            "tenants": free_address(),
            "administration": free_address(),
        }

    def _write_settings(self):
        plan = self.plan
        secret = self.directory / "secret"
        if not secret.exists():
            secret.touch(0o600)
            secret.write_text(secrets.token_hex(32))
        for number, label in enumerate(plan["labels"]):
            members = [
                {"label": other, "location": "north", "endpoint": plan["internal"][n]}
                for n, other in enumerate(plan["labels"])
                if n != number
            ]
            (self.directory / f"{label}.json").write_text(
                json.dumps(
                    {
                        "label": label,
                        "location": "north",
                        "front": plan["fronts"][number],
                        "internal_addr": plan["internal"][number],
                        "members": members,
                        "external": {"cloud": plan["cloud"], "state": plan["state"]},
                        "deployment": {
                            "nodes": len(plan["labels"]),
                            "zones": ["north", "south"],
                            "teams": [],
                            **plan["settings"],
                        },
                    }
                )
            )
        state = plan["settings"]["state"]
        fronts = "\n".join(
            f'{label} = "{front}"' for label, front in zip(plan["labels"], plan["fronts"], strict=True)
        )
        (self.directory / "hosted.toml").write_text(
            f'secret_file = "secret"\ngateways = 1\n[gateway]\ntenants = "{plan["tenants"]}"\n'
            f'administration = "{plan["administration"]}"\n[cluster]\nstate = "{plan["state"]}"\n'
            + "".join(f"{name} = {value}\n" for name, value in state.items())
            + f"[cluster.controllers]\n{fronts}\n"
        )

    # Processes

    def _command(self, name):
        if name in ("state", "cloud"):
            return ["local-part", name, str(self.directory)]
        hosted = ["--hosted", str(self.directory / "hosted.toml")]
        if name == "gateway":
            return ["gateway", *hosted]
        return ["serve", "--config", str(self.directory / f"{name}.json"), *hosted]

    def start(self):
        """Starts all processes and waits until they are ready. Raises ClusterError if they aren't in time."""
        (self.directory / "logs").mkdir(exist_ok=True)
        for name in ("state", "cloud", *self.plan["labels"], "gateway"):
            self._start(name)
        self._wait_ready()

    def _start(self, name):
        with open(self.directory / "logs" / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *self.plan["program"], *self._command(name)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                preexec_fn=die_with_parent,
            )

    def restart_ended(self):
        """Restarts the processes that have ended; returns their names."""
        ended = [name for name, process in self.processes.items() if process.poll() is not None]
        for name in ended:
            self._start(name)
        return ended

    def crash(self, name):
        """Kills a process."""
        self.processes[name].kill()

    def stop(self):
        """Kills all processes and waits for their end."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    def _wait_ready(self):
        deadline = time.monotonic() + 30
        addresses = [*self.plan["fronts"], self.plan["tenants"]]
        while addresses:
            if time.monotonic() > deadline:
                raise ClusterError(
                    f"{', '.join(addresses)} not ready after 30 s; the logs are in {self.directory / 'logs'}"
                )
            addresses = [
                address for address in addresses if self._request(address, "GET", "/ready")[0] != 200
            ]
            time.sleep(0.05)

    # Requests

    @staticmethod
    def _request(address, method, path, body=None, headers=(), cbor=False):
        """Sends a request; returns (status, body), or (0, None) if no response came."""
        connection = http.client.HTTPConnection(address, timeout=5)
        data = None
        if body is not None:
            data = messages.encode(body) if cbor else json.dumps(body).encode()
        kind = "application/cbor" if cbor else "application/json"
        try:
            connection.request(method, path, data, {"Content-Type": kind, **dict(headers)})
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException):
            return 0, None
        finally:
            connection.close()
        if not data or cbor:
            return response.status, None
        return response.status, json.loads(data)

    def _request_until_final(self, *request, headers=(), cbor=False):
        """Repeats a request until its response is final. Raises ClusterError after a minute."""
        deadline = time.monotonic() + 60
        while time.monotonic() < deadline:
            status, answer = self._request(*request, headers=headers, cbor=cbor)
            if status not in (0, 429, 500, 503):
                return status, answer
            time.sleep(0.2)
        raise ClusterError(f"{request[1]} {request[2]} at {request[0]}: no final response for a minute")

    def tenant(self):
        """Creates the tenant of this machine's user once; returns its API key, which nobody else gets."""
        address = self.plan["administration"]
        headers = [("Authorization", f"Bearer {self._secrets.root_key()}")]
        self._request_until_final(
            address, "POST", "/admin/v1/tenants", {"name": TENANT, "teams": [{"name": TEAM}]}, headers=headers
        )
        _status, answer = self._request_until_final(
            address,
            "POST",
            f"/admin/v1/tenants/{TENANT}/keys",
            {"scopes": ["read", "submit", "cancel"], "label": "local"},
            headers=[*headers, ("Idempotency-Key", "local")],
        )
        self.key = answer["key"]
        return self.key

    def ask(self, method, path, body=None):
        """Sends a request to the tenants' API; returns (status, body)."""
        return self._request_until_final(
            self.plan["tenants"], method, path, body, headers=[("Authorization", f"Bearer {self.key}")]
        )

    # Jobs

    def job_id(self, job):
        """Returns the id by which controllers know a job."""
        return ids.to_job(int(self.key.split("-")[1]), job.id)

    def submit(self, job, command):
        """Uploads a job's command for the workers, then submits the job.

        Returns the id by which controllers know it. Raises ClusterError if it is refused.
        """
        job_id = self.job_id(job)
        self._request_until_final(
            self.plan["cloud"],
            "POST",
            f"/uploads/{job_id}",
            {
                "name": job.id,
                "command": command,
                "vcpus": job.cpus,
                "musterS": job.checkpoint_s,
                "stowS": job.save_s,
                "runS": 0.0,
            },
            cbor=True,
        )
        status, answer = self.ask("POST", "/v1/jobs", msgspec.to_builtins(job))
        if status not in (200, 201):
            raise ClusterError(f"job {job.id}: {answer.get('detail') or answer['title']}")
        return job_id

    def failures(self, job_id, tasks):
        """Yields (task, exit codes) for tasks that only failed, at least `MAX_TASK_FAILURES` times."""
        for index in range(tasks):
            file = self.directory / "out" / f"{job_id}.{index}.exits"
            codes = file.read_text().split() if file.exists() else []
            if len(codes) >= MAX_TASK_FAILURES and "0" not in codes:
                yield index, codes

    def output(self, job_id, index):
        """Returns what a task has printed so far."""
        file = self.directory / "out" / f"{job_id}.{index}.log"
        return file.read_text(errors="replace") if file.exists() else ""


def read_jobs(path):
    """Returns [(Submission, command)] of a TOML file with [[job]] tables. Raises ClusterError if invalid."""
    try:
        with open(path, "rb") as file:
            tables = tomllib.load(file).get("job", [])
        jobs = []
        for table in tables:
            command = table.pop("command", None)
            if not (isinstance(command, list) and command and all(isinstance(word, str) for word in command)):
                raise ClusterError(
                    f"{path}: job {table.get('id', '?')}: command must be a list of strings that is not empty"
                )
            job = msgspec.convert({"team": TEAM, "class": "local", "expected_s": 1.0, **table}, Submission)
            jobs.append((job, command))
    except OSError as error:
        raise ClusterError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ClusterError(f"{path}: {error}") from None
    if not jobs:
        raise ClusterError(f"{path}: has no [[job]] table")
    if len({job.id for job, _command in jobs}) < len(jobs):
        raise ClusterError(f"{path}: two jobs have the same id")
    return jobs


def run(cluster, path, crashes, timeout_s):
    """Runs the jobs of a file; returns 0 if all were done, 1 if one failed or the time ran out."""
    jobs = read_jobs(path)
    cluster.tenant()
    total = sum(job.tasks for job, _command in jobs)
    started_at = time.monotonic()
    open_jobs = {cluster.submit(job, command): job for job, command in jobs}
    random_generator = random.Random(0)
    crash_at = [started_at + 1.0 + 1.5 * number for number in range(crashes)]
    done, failed = {}, []
    terminal = sys.stderr.isatty()
    with tqdm(total=total, unit="task", disable=not terminal) as bar:
        while open_jobs and time.monotonic() - started_at < timeout_s:
            if crash_at and time.monotonic() >= crash_at[0]:
                crash_at.pop(0)
                name = random_generator.choice(cluster.plan["labels"])
                cluster.crash(name)
                bar.write(f"crashed {name}")
            cluster.restart_ended()
            for job_id, job in list(open_jobs.items()):
                status, answer = cluster.ask("GET", f"/v1/jobs/{job.id}")
                if status != 200:
                    continue
                done[job_id] = job.tasks if answer["status"] == "done" else answer.get("done", 0)
                failed_tasks = list(cluster.failures(job_id, job.tasks))
                if failed_tasks:
                    cluster.ask("POST", f"/v1/jobs/{job.id}/cancel")
                    failed.append((job, job_id, failed_tasks))
                if failed_tasks or answer["status"] in ("done", "cancelled"):
                    del open_jobs[job_id]
                    if not terminal and not failed_tasks:
                        print(f"{job.id}: {answer['status']}, {sum(done.values())} of {total} tasks done")
                        print_output(cluster, job, job_id)
            bar.update(sum(done.values()) - bar.n)
            time.sleep(0.2)
    if terminal:
        for job, _command in jobs:
            print_output(cluster, job, cluster.job_id(job))
    for job, job_id, failed_tasks in failed:
        for index, codes in failed_tasks:
            print(f"{job.id}/{index} failed {len(codes)} times, exit codes {' '.join(codes)}")
            print(cluster.output(job_id, index), end="")
    for job in open_jobs.values():
        print(f"{job.id}: not done after {timeout_s:g} s")
    finished = sum(done.values())
    print(f"{finished} of {total} tasks done in {time.monotonic() - started_at:.1f} s")
    return 1 if failed or open_jobs else 0


def print_output(cluster, job, job_id):
    """Prints the output of a job's tasks."""
    for index in range(job.tasks):
        for line in cluster.output(job_id, index).splitlines():
            print(f"  {job.id}/{index}: {line}")


def serve(cluster):
    """Prints the cluster's addresses and restarts ended processes until interrupted."""
    key = cluster.tenant()
    print(f"tenants' API    http://{cluster.plan['tenants']}  (key {key})")
    print(
        f"administration  http://{cluster.plan['administration']}  "
        f"(key: roadhead tenants root-key --hosted {cluster.directory / 'hosted.toml'})"
    )
    for label, front in zip(cluster.plan["labels"], cluster.plan["fronts"], strict=True):
        print(f"{label}    {front}")
    print(f"state service   {cluster.plan['state']}\ncloud           {cluster.plan['cloud']}", flush=True)
    with contextlib.suppress(KeyboardInterrupt):
        while True:
            for name in cluster.restart_ended():
                print(f"{name} ended and was restarted", flush=True)
            time.sleep(0.5)
    return 0


def main(args, program):
    """Runs the command `roadhead local`."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    directory = args.keep or args.directory
    if args.run:
        read_jobs(args.run)  # reports an invalid file before any process starts
    cluster = Cluster(directory, program, args.late_copies)
    try:
        cluster.start()
        if args.run:
            return run(cluster, args.run, args.crash, args.timeout)
        return serve(cluster)
    finally:
        cluster.stop()
        if not args.keep and os.environ.get("ROADHEAD_KEEP") is None:
            shutil.rmtree(directory, ignore_errors=True)
