"""A draining worker is cut off for some seconds. Its task must not run a second time elsewhere
while its own run is still under its lease."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness"))

from standins import HEARTBEAT_S, main  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
WORK_MS = 6_000
SERVES_ON_S = 12
CUT_S = 10.0


async def case(deployment):
    record, judge = deployment.record, deployment.judge
    deployment.store.configure(1, {"pagos": "caja"}, ["caja"])
    first = await deployment.add_worker("one", "caja")
    for _ in range(3):
        deployment.add_daemon()
    daemon = deployment.daemons[0]
    step = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimated_ms": WORK_MS}
    await deployment.submit(daemon, "pagos", JOB,
                            {"spec": '{"ms":%d}' % WORK_MS, "steps": [step]})
    await deployment.until("the task runs", lambda: judge.running(TASK), 15)
    await deployment.add_worker("two", "caja")
    await asyncio.sleep(1)

    said = time.monotonic()
    first.drain(SERVES_ON_S)
    await deployment.until("the entry is written", lambda: first.last_beat >= said, 1)
    # Just before the next heartbeat, so that the entry goes some three seconds later.
    await asyncio.sleep(HEARTBEAT_S - 0.1)
    if deployment.trouble:
        record.line(f"{first.id}: cut off from all, and runs on")
        first.is_cut = True
        await asyncio.sleep(CUT_S)
        first.is_cut = False
        record.line(f"{first.id}: reached again")

    async def is_completed():
        status, content = await daemon.call("GET", "pagos", JOB)
        return status == 200 and content.get("state") == "completed"
    await deployment.until("the job is completed", is_completed, 30)
    await daemon.client("GET", "pagos", JOB)
    done = [run for run in judge.runs if run.how == "done"]
    record.line(f"runs of {TASK} that ended `done`: {len(done)}")


main(FOLDER, case)
