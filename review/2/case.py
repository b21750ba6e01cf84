"""Case 2: while jobs are cancelled once a second, no poll of a job deep in a pipeline is answered."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standin import Site, run

DEPTH = 80  # jobs of the pipeline, each of which needs the one before
WATCH_S = 92.0
BOUND_S = 90.0  # rule forgotten: all polls for a job fail for 90 s
POLL_S = 5.0

DEPLOYMENT = {
    "nodes": 3,
    "zones": ["perth-north", "perth-south"],
    "teams": [{"name": "coord-south", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [{"kind": "finished", "class": "visit-match", "within_s": 120.0, "share": 0.95}],
    "workers": {"report_s": 2.0, "lease_s": 12.0, "gang_wait_s": 35.0, "gang_peer_s": 8.0, "cancel_s": 32.0},
    "state": {"rps": 150.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 16},
    "cloud": {"rps": 4.0, "list_lag_s": 3.0},
    "quota": {"cpu": 0.18, "mem_mb": 186.0, "fd_limit": 1200},
    "time_bound_ms": 100.0,
}
TYPES = [
    {
        "name": "quokka-4",
        "vcpus": 4,
        "gpus": 0,
        "ramGb": 16,
        "cacheGb": 20,
        "fetchGbPerS": 0.5,
        "price": 0.2,
        "marketPrice": 0.05,
        "startupS": 20,
        "paddocks": ["perth-north", "perth-south"],
    }
]


class Polls:
    """What users were answered about one job."""

    def __init__(self, now):
        self.answered_at = now
        self.failed = self.answered = 0


async def ask_on(site, job, polls):
    """A user asks for a job every 5 s until it is done or cancelled."""
    await asyncio.sleep(POLL_S * (int(job[-2:])) / 100)
    while True:
        status, answer = await site.poll(job)
        now = time.monotonic()
        if status in (200, 404):
            polls.answered_at = now
            polls.answered += 1
        else:
            polls.failed += 1
        if answer.get("status") in ("done", "cancelled"):
            return
        await asyncio.sleep(POLL_S)


async def short_jobs(site, polls, ends_at):
    """One-task jobs come four a second; as the disruption, a quarter of them is cancelled."""
    number = 0
    tasks = []
    while time.monotonic() < ends_at:
        body = site.describe(jobclass="visit-match", ramGb=3.6)
        number += 1

        async def one(body=body, cancelled=site.trouble and number % 4 == 0):
            status = await site.submit(body, 2.0)
            if status not in (200, 201):
                return
            if cancelled:
                await site.cancel(body["id"])
            polls[body["id"]] = Polls(time.monotonic())
            await ask_on(site, body["id"], polls[body["id"]])

        tasks.append(asyncio.create_task(one()))
        await asyncio.sleep(0.25)
    for task in tasks:
        task.cancel()


async def play(site):
    """A pipeline waits behind its first job, while short jobs come and some are cancelled."""
    chain = []
    for _ in range(DEPTH):
        body = site.describe(jobclass="roster-draft", upstream=chain[-1:] or None)
        status = 0
        while status not in (200, 201):
            status = await site.submit(body, 600.0)
        chain.append(body["id"])
    site.record.write(f"the pipeline of {DEPTH} jobs is accepted")
    began_at = time.monotonic()
    polls = {job: Polls(began_at) for job in chain}
    asked = [asyncio.create_task(ask_on(site, job, polls[job])) for job in chain]
    others = {}
    asked.append(asyncio.create_task(short_jobs(site, others, began_at + WATCH_S)))
    await asyncio.sleep(WATCH_S)
    now = time.monotonic()
    for task in asked:
        task.cancel()
    silent = [job for job in chain if now - polls[job].answered_at >= BOUND_S]
    rows = [*polls.values(), *others.values()]
    answered = sum(1 for row in rows if row.answered)
    site.record.write(
        f"{len(silent)} jobs had no answer for {BOUND_S} s; {answered} of {len(rows)} jobs had some"
    )
    for name, group in (("pipeline", polls), ("short", others)):
        site.record.write(
            f"{name} jobs: {sum(p.answered for p in group.values())} polls answered, "
            f"{sum(p.failed for p in group.values())} not"
        )
    if silent and 2 * answered > len(rows):
        text = f"no poll of {len(silent)} accepted jobs was answered for {BOUND_S} s, as of {silent[-1]}"
        site.violate("forgotten", text)


if __name__ == "__main__":
    run(play, lambda: Site(Path(__file__).parent, DEPLOYMENT, TYPES, boot_s=2.0, capacity=12))
