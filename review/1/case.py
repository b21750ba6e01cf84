"""Case 1: a launch in the answer to a report, held up for less than 4 s, starts a forgotten attempt again."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standin import CaseError, Site, run

HOLD_ANSWER_S = 3.4  # below the 4 s after which a worker drops a response
HOLD_COMMAND_S = 1.0
ROUNDS = 8

DEPLOYMENT = {
    "nodes": 3,
    "zones": ["tallinn-a"],
    "teams": [{"name": "servicing-core", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [{"kind": "wait", "class": "schedule-fix", "within_s": 3.0, "share": 0.88}],
    "workers": {"report_s": 1.5, "lease_s": 12.0, "gang_wait_s": 50.0, "gang_peer_s": 4.0, "cancel_s": 42.0},
    "state": {"rps": 250.0, "write_rps": 25.0, "value_kb": 32.0, "txn_ops": 20},
    "cloud": {"rps": 5.0, "list_lag_s": 3.0},
    "quota": {"cpu": 0.54, "mem_mb": 186.0, "fd_limit": 1000},
    "time_bound_ms": 5.0,
}
TYPES = [
    {
        "name": "kuusk-32",
        "vcpus": 32,
        "gpus": 0,
        "ramGb": 256,
        "cacheGb": 60,
        "fetchGbPerS": 0.6,
        "price": 2.41,
        "marketPrice": 0.76,
        "startupS": 35,
        "paddocks": ["tallinn-a"],
    }
]


def running_on(site, worker, jobs):
    """Those of the jobs whose task runs on the worker."""
    return [job for job in jobs if any(key[0] == worker.name for key in site.on_machine.get(f"{job}/0", ()))]


async def play(site):
    """Rounds of: an array arrives; its tasks on one machine fail; a job there is cancelled."""
    for _ in range(4):
        await site.cloud.add("kuusk-32", "tallinn-a", False, 0.0)
    long_jobs = [site.describe(jobclass="archive-sync") for _ in range(8)]
    for body in long_jobs:
        await site.submit(body, 300.0)
    long_jobs = [body["id"] for body in long_jobs]
    started = lambda: all(site.on_machine.get(f"{job}/0") for job in long_jobs)  # noqa: E731
    await site.until(started, 30.0, "the long jobs run")
    for round_number in range(ROUNDS):
        workers = [w for w in site.cloud.workers.values() if running_on(site, w, long_jobs) and not w.dead]
        if not workers:
            break
        worker = max(workers, key=lambda w: len(running_on(site, w, long_jobs)))
        site.record.write(f"round {round_number}: machine {worker.name}")
        if site.trouble:
            worker.hold_answer_s, worker.hold_command_s = HOLD_ANSWER_S, HOLD_COMMAND_S
            worker.sick = True
        # The array is submitted shortly before the machine's next report.
        await site.until(lambda w=worker: 0.35 < w.next_report_at - time.monotonic() < 0.5, 30.0, "a report")
        body = site.describe(legs=60)
        await site.submit(body, 8.0)
        hit = await site.until(
            lambda w=worker, job=body["id"]: any(leg.startswith(job) for leg, _n in w.attempts),
            3.0,
            "a task of the array comes to the machine",
            needed=False,
        )
        if hit:
            await asyncio.sleep(0.2)
            await site.cancel(running_on(site, worker, long_jobs)[0])
            await asyncio.sleep(3.5)
        worker.hold_answer_s = worker.hold_command_s = 0.0
        worker.sick = False
        if site.broken:
            return
        await site.until(
            lambda job=body: sum(leg.startswith(job["id"] + "/") for leg in site.done) == job["legs"],
            40.0,
            "the array is done",
        )
    if not site.trouble:
        return
    if all(worker.dead for worker in site.cloud.workers.values()):
        raise CaseError("no machine is left")


if __name__ == "__main__":
    run(play, lambda: Site(Path(__file__).parent, DEPLOYMENT, TYPES))
