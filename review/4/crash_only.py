"""The same fault with the crash alone: the controller ends just as it has granted its machines.

Ends with 10 if the fault was seen, 0 if not, 2 if it could not run.

The moment is a window of milliseconds, so this is not the test of the case: python3 crash_only.py
"""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from stage2 import TALLINN_TYPES, Stage, job, run_case, tallinn  # noqa: E402

BURST = 300  # bytes in one piece that only several grants make up
LEGS = 768


class Watched(list):
    """The answers of a proxy, which calls `on_burst()` for a large one."""

    def __init__(self, on_burst):
        super().__init__()
        self._on_burst = on_burst

    def append(self, item):
        """Notes a piece of data that was passed on."""
        super().append(item)
        if item[1] >= BURST:
            self._on_burst()


async def main():
    """Returns whether the job was done within 60 s; None if it couldn't run."""
    stage = Stage(os.path.join(HERE, "record.txt"), tallinn(), TALLINN_TYPES)
    ended = []

    def end(node):
        if not ended:
            ended.append(node)
            node.signal(signal.SIGKILL)

    try:
        await stage.start(link_proxies=True)
        if not await stage.ready():
            return None
        await asyncio.sleep(12.0)
        owner, *others = stage.nodes.values()
        stage.cloud.refused = True
        for _ in range(24):
            await stage.cloud.add("kuusk-32", "tallinn-a", False, 0.2)
        await asyncio.sleep(4.5)
        for other in others:
            stage.links[owner.label, other.label].answers = Watched(lambda other=other: end(other))
        work = job(412, legs=LEGS, expectS=4.0, sizeGb=0.1)
        if await stage.submit(work, 4.0, nodes=[owner]) != 201:
            return None
        await asyncio.sleep(3.0)
        if not ended:
            return None
        ended[0].kill()
        ended[0].start()
        until = time.monotonic() + 60.0
        while time.monotonic() < until:
            await asyncio.sleep(5.0)
            status, answer = await stage.poll(work["id"])
            stage.log("count", f"{stage.completed(work['id'])} of {LEGS} tasks are complete")
            if status == 200 and answer["status"] == "done":
                return True
        return False
    finally:
        stage.stop()


run_case(main)
