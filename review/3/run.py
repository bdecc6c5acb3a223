"""A configuration sends a queue to another service; later one process is killed and starts again.
A job that was accepted before the change must still be known there."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness"))

from standins import main  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
WORK_MS = 60_000
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
VISIBLE_S = 3.0


async def case(deployment):
    record, judge = deployment.record, deployment.judge
    deployment.store.configure(1, {"pagos": "caja"}, ["caja", "agentes"])
    await deployment.add_worker("one", "caja")
    await deployment.add_worker("two", "agentes")
    for _ in range(3):
        deployment.add_daemon()
    daemon = deployment.daemons[0]
    step = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimated_ms": WORK_MS}
    body = {"spec": '{"ms":%d}' % WORK_MS, "steps": [step]}
    await deployment.submit(daemon, "pagos", JOB, body)
    await deployment.until("the task runs", lambda: judge.running(TASK), 15)

    deployment.store.configure(2, {"pagos": "agentes"}, ["caja", "agentes"])
    await asyncio.sleep(CONFIG_APPLY_S + VISIBLE_S)
    for other in deployment.daemons:
        await other.client("GET", "pagos", JOB)

    if deployment.trouble:
        daemon.kill()
        await asyncio.sleep(1)
        daemon.start()

    async def answers():
        status, _ = await daemon.call("GET", "pagos", JOB)
        return status in (200, 410)
    await deployment.until("the daemon answers", answers, 20)
    # In touch: `contact_ms` without any disruption.
    await asyncio.sleep(CONTACT_S + 2)
    for other in deployment.daemons:
        status, _ = await other.client("GET", "pagos", JOB)
        if status == 410:
            judge.violation(f"LOST: {other.name} answers 410 to a GET for the accepted job {JOB}, "
                            f"whose task runs on "
                            f"{[run.worker.id for run in judge.running(TASK)]}")
    # The same identifier arrives again, after a client that got no answer.
    status, _ = await daemon.client("POST", "pagos", JOB, body)
    await asyncio.sleep(3)
    # The client cancels; later than `stop_ms` + `cancel_ms` nothing of the job may run.
    status, _ = await daemon.client("DELETE", "pagos", JOB)
    await asyncio.sleep(6)
    for run in judge.running(TASK):
        if status == 200:
            judge.violation(f"UNASKED: {TASK} run {run.number} still runs on {run.worker.id} 6 s "
                            f"after the acknowledgement of its job's cancelling")
    record.line(f"runs: {[(run.worker.id, run.number, run.how) for run in judge.runs]}")


main(FOLDER, case)
