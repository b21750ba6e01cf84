"""Case 4: starts that a controller has decided on are never sent, as another controller ends meanwhile."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from stage2 import TALLINN_TYPES, Stage, job, run_case, tallinn  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STILL_S = 2.0  # "a controller stands still for seconds while its clocks run on"
BACK_S = 3.0  # "back about 3 s after an end"
WAIT_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room"
ZONES = ("tallinn-a", "tartu-b")
FIRST_MACHINES, LATER_MACHINES = 6, 34
LEGS = 180


def machines_with_room(stage, spec):
    """How many machines that are up have room for a task of the job."""
    count = 0
    for worker in stage.cloud.machines.values():
        held = [stage.spec_of(attempt.leg) for attempt in worker.live()]
        count += worker.up and all(
            sum(other[field] for other in held) + spec[field] <= worker.kind[field]
            for field in ("vcpus", "ramGb")
        )
    return count


async def main():
    """Returns whether the rule held; None if the case couldn't run."""
    deployment = tallinn(
        state={"rps": 350.0, "write_rps": 35.0, "value_kb": 32.0, "txn_ops": 20},
        cloud={"rps": 6.0, "list_lag_s": 3.0},
        quota={"cpu": 0.72, "mem_mb": 251.0, "fd_limit": 1304},
    )
    stage = Stage(os.path.join(HERE, "record.txt"), deployment, TALLINN_TYPES)
    try:
        await stage.start(link_proxies=True)
        if not await stage.ready():
            return None
        await asyncio.sleep(12.0)  # the controllers divide the machines among themselves
        owner, *others = stage.nodes.values()
        stage.cloud.refused = True  # the cloud has no more capacity than the machines that come up here
        for number in range(FIRST_MACHINES):
            await stage.cloud.add("kuusk-32", ZONES[number % 2], False, 0.2)
        # Long tasks, one on each of these machines, which keep them in use and leave room on them.
        long = job(7, legs=FIRST_MACHINES, vcpus=20.0, ramGb=16.0, expectS=200.0, sizeGb=0.1)
        await stage.submit(long, 200.0, nodes=[owner])
        for _ in range(60):
            if stage.running(long["id"]) >= FIRST_MACHINES - 2:
                break
            await asyncio.sleep(0.1)
        else:
            return None
        work = job(412, legs=LEGS, vcpus=8.0, ramGb=16.0, expectS=1.0, sizeGb=0.1)
        if await stage.submit(work, 1.0, nodes=[owner]) != 201:
            return None
        for number in range(LATER_MACHINES):
            await stage.cloud.add("kuusk-32", ZONES[number % 2], False, 1.0)
        await asyncio.sleep(0.8)
        if TROUBLE:
            owner.signal(signal.SIGSTOP)
            still_at = time.monotonic()
            await asyncio.sleep(STILL_S)

            def first_heard(other):
                heard = [at for at, _size in stage.links[owner.label, other.label].answers if at > still_at]
                return min(heard, default=float("inf"))

            # What this one sent lies before the other's in the sockets of the controller that stands still.
            ended = min(others, key=first_heard)
            ended.kill()
            await asyncio.sleep(0.1)
            owner.signal(signal.SIGCONT)
            await asyncio.sleep(BACK_S - 0.1)
            ended.start()
        # Counted from when the troubles are over and a machine has room without a break.
        room_since = time.monotonic()
        asked_at = 0.0
        while time.monotonic() < room_since + WAIT_S:
            await asyncio.sleep(0.25)
            room = machines_with_room(stage, work)
            if not room:
                room_since = time.monotonic()
            if time.monotonic() > asked_at + 2.0:
                asked_at = time.monotonic()
                status, answer = await stage.poll(work["id"])
                if status == 200 and answer["status"] == "done":
                    return True
                complete, running = stage.completed(work["id"]), stage.running(work["id"])
                stage.log("count", f"{complete} of {LEGS} tasks are complete, {running} are on machines")
                stage.log("count", f"{room} of {len(stage.cloud.machines)} machines have room for one more")
        never = LEGS - sum(leg.startswith(work["id"] + "/") for leg in stage.starts)
        waited_s = time.monotonic() - room_since
        stage.log("count", f"{never} of {LEGS} tasks were never started in {waited_s:.1f} s with room")
        return not never
    finally:
        stage.stop()


run_case(main)
