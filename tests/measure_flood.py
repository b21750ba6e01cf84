"""Measures how much later one tenant's deadline tasks start while another tenant floods the service.

    python3 tests/measure_flood.py [--machines N] [--seed N]     virtual time, N machines at most
    python3 tests/measure_flood.py --loopback [--jobs N]         real processes on this machine

Prints the p95 of the start delay of the tenant's tasks, without and with the flood, and their ratio.
"""

import argparse
import os
import sys
import tempfile
import time
from pathlib import Path

import conftest  # noqa: F401  sets up sys.path

from roadhead.gateway.types import Submission
from roadhead.local import cluster as local
from roadhead.local.world import World

QUIET = """
gateways 2
boot_s 8
capacity {zone}
at 2 tenant quiet team=crew:cpus={sure}
at 2 tenant loud team=crew:cpus=20 submissions=2 open_jobs=400
at 4 submit tenant=quiet id=w count=10 legs={warm} runS=25 expectS=25
at 40 submit tenant=quiet id=d count=50 every=2 legs={legs} runS=10 expectS=10 dueS=40
until 150
"""
FLOOD = """
at 5 submit tenant=loud id=a count=3 every=2 legs=60000 runS=10 expectS=10 urgency=critical
at 8 submit tenant=loud id=s count=1200 every=0.01 legs=1 runS=10 expectS=10 urgency=critical
"""


def p95(values):
    """Returns the 95th percentile."""
    return sorted(values)[int(0.95 * len(values))]


def measure_virtual(machines, seed):
    """Yields the p95 without and with the flood in virtual time."""
    sizes = {
        "zone": machines // 2,
        "sure": int(1.7 * machines),
        "warm": machines // 3,
        "legs": max(1, machines // 8),
    }
    for flood in ("", FLOOD):
        world = World(f"{QUIET.format(**sizes)}{flood}\nseed {seed}").run()
        users = [user for user in world.users.values() if user.tenant == "quiet"]
        waits = [
            world.started.get(f"{user.id}/{index}", 1e9) - user.submitted_at
            for user in users
            if user.own.startswith("d")
            for index in range(user.job["legs"])
        ]
        accepted = sum(
            user.first_accepted_at - user.submitted_at < 1
            for user in users
            if user.first_accepted_at is not None
        ) / len(users)
        print(
            f"{'beside the flood' if flood else 'alone'}: accepted within 1 s {accepted:.3f}, "
            f"{world.counter('tasks_preempted')} tasks preempted, {len(world.cloud.rented)} machines, "
            f"rules broken: {world.violations or 'none'}"
        )
        yield p95(waits)


def loopback(jobs):
    """Yields the p95 without and with the flood of real processes. Each job writes the time of its start.

    Only the ratio of the two is meaningful, because all processes share one machine.
    """
    os.environ["PYTHONPATH"] = os.pathsep.join([str(Path(__file__).resolve().parent.parent), *sys.path])
    with tempfile.TemporaryDirectory() as directory:
        cluster = local.Cluster(directory, [str(Path(__file__).resolve().parent.parent / "run.py")])
        try:
            cluster.start()
            cluster.tenant()
            headers = [("Authorization", f"Bearer {cluster._secrets.root_key()}")]
            address = cluster.plan["administration"]
            status, _answer = cluster._request_until_final(
                address,
                "PATCH",
                f"/admin/v1/tenants/{local.TENANT}",
                {"teams": [{"name": local.TEAM, "cpus": 12}]},
                headers=[*headers, ("If-Match", '"2"')],
            )
            assert status == 200
            cluster._request_until_final(
                address,
                "POST",
                "/admin/v1/tenants",
                {"name": "loud", "teams": [{"name": "crew"}], "limits": {"submissions": 2}},
                headers=headers,
            )
            _status, answer = cluster._request_until_final(
                address, "POST", "/admin/v1/tenants/loud/keys", {"scopes": ["submit"]}, headers=headers
            )
            loud = [("Authorization", f"Bearer {answer['key']}")]
            # Machines are rented on demand. Warm up so that both measurements begin with the same fleet.
            cluster.submit(*job("warm", "sleep 8", tasks=24))
            time.sleep(8)
            yield p95(start_delays(cluster, "a", jobs, None))
            yield p95(start_delays(cluster, "b", jobs, loud))
        finally:
            cluster.stop()


def job(own, command, **fields):
    """Returns (the Submission, the command) of a job with a deadline."""
    return Submission(id=own, team=local.TEAM, klass="c", expected_s=8.0, due_s=20.0, **fields), [
        "sh",
        "-c",
        command,
    ]


def start_delays(cluster, name, jobs, loud):
    """Submits jobs one after another. Returns the seconds from submission to start of each of their tasks."""
    submitted = {}
    for number in range(jobs):
        if loud:
            for burst in range(25):
                body = {
                    "id": f"f{number}-{burst}",
                    "team": "crew",
                    "class": "c",
                    "priority": "critical",
                    "tasks": 20_000 if not number else 1,
                    "expected_s": 5.0,
                }
                status, _ = cluster._request(cluster.plan["tenants"], "POST", "/v1/jobs", body, loud)
                if status == 201:
                    upload(cluster, body["id"])
        own = f"{name}{number}"
        submitted[own] = time.time()
        cluster.submit(*job(own, "date +%s.%N; sleep 1", tasks=2))
        time.sleep(0.3)
    waits, deadline = [], time.monotonic() + 60
    for own, at in submitted.items():
        for index in range(2):
            text = ""
            while not text and time.monotonic() < deadline:
                text = cluster.output(cluster.job_id(job(own, "")[0]), index)
                time.sleep(0.02)
            waits.append(float(text) - at if text else 1e9)
    return waits


def upload(cluster, own):
    """Uploads the command of the flood's tasks, so that they do occupy their machines."""
    number = local.ids.to_job(2, own)
    cluster._request_until_final(
        cluster.plan["cloud"],
        "POST",
        f"/uploads/{number}",
        {"name": own, "command": ["sleep", "5"], "vcpus": 1.0, "musterS": 0.0, "stowS": 0.0, "runS": 0.0},
        cbor=True,
    )


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--machines", type=int, default=230)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loopback", action="store_true")
    parser.add_argument("--jobs", type=int, default=40)
    args = parser.parse_args()
    alone, beside = loopback(args.jobs) if args.loopback else measure_virtual(args.machines, args.seed)
    print(
        f"p95 of the start: alone {alone:.2f} s, beside the flood {beside:.2f} s, ratio {beside / alone:.2f}"
    )


if __name__ == "__main__":
    main()
