"""Four workers crash one after the other, each while it runs one and the same task of a lasting
job. The job and its other tasks must go on: a crash is no end `failed`, and a lasting job ends only
when it is cancelled."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness"))

from standins import main  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASKS = [f"{JOB}.0.0.{index}" for index in range(3)]
MAY_MISS = 1
NOTICE_S = 4.5
WORKERS = ("one", "two", "three", "four", "five", "six", "seven", "eight")
CRASHES = 4
DOWN_S = 3.0


class Availability:
    """AVAIL, as the workers see it."""

    def __init__(self, judge):
        self.judge, self.ordered = judge, {}
        judge.on_stop = self.stopped

    def is_at_work(self, task):
        return any(run.percent() == 100 for run in self.judge.running(task))

    def is_away(self, task):
        """Ended by an order and not at work since, or not at work for `notice_ms`."""
        now = time.monotonic()
        runs = [run for run in self.judge.runs if run.task == task]
        since = self.ordered.get(task)
        if since is not None and not any(run.started > since and run.percent() == 100
                                         for run in runs):
            return True
        last = max((run.ended or now for run in runs
                    if (run.ended or now) >= run.started + run.work["start_ms"] / 1000), default=0)
        return now - last >= NOTICE_S

    def stopped(self, run):
        others = [task for task in TASKS if task != run.task and self.is_away(task)]
        if run.percent() == 100 and run.worker.state == "ready" and len(others) >= MAY_MISS:
            self.judge.violation(f"AVAIL: a stop ends {run.task} at work on {run.worker.id} while "
                                 f"{others} are away; {MAY_MISS} may be")
        self.ordered[run.task] = time.monotonic()


async def restart(worker):
    await asyncio.sleep(DOWN_S)
    await worker.start()


async def case(deployment):
    judge = deployment.judge
    Availability(judge)
    deployment.store.configure(1, {"vigia": "caja"}, ["caja"])
    for name in WORKERS:
        await deployment.add_worker(name, "caja")
    for _ in range(3):
        deployment.add_daemon()
    daemon = deployment.daemons[0]
    step = {"count": len(TASKS), "cpu": 1000, "mem_mb": 256, "estimated_ms": 500,
            "long_running": True, "anti_affinity": 1, "may_miss": MAY_MISS, "image": "vigia-1"}
    await deployment.submit(daemon, "vigia", JOB,
                            {"spec": '{"lasts":true,"start_ms":800}', "steps": [step]})
    for task in TASKS:
        await deployment.until(f"{task} runs", lambda task=task: judge.running(task), 15)
    await asyncio.sleep(3)
    await daemon.client("GET", "vigia", JOB)
    if deployment.trouble:
        for _ in range(CRASHES):
            runs = await deployment.until("task 0 runs", lambda: judge.running(TASKS[0]), 10)
            await asyncio.sleep(0.2)
            worker = runs[0].worker
            await worker.crash()
            deployment.background.append(asyncio.create_task(restart(worker)))
    # Twice the 6 s after which a lasting task has to run again.
    await asyncio.sleep(12)
    for other in deployment.daemons:
        status, content = await other.client("GET", "vigia", JOB)
        if status == 200 and content.get("state") in ("failed", "cancelled"):
            judge.violation(f"LOST: {other.name} shows the job as {content['state']}; nobody "
                            f"cancelled it, and no run of it has ended `failed`: "
                            f"{[(run.task, run.number, run.how) for run in judge.runs]}")
    for task in TASKS:
        if not judge.running(task):
            judge.violation(f"LOST: {task} of an accepted lasting job has nothing running, though "
                            f"all workers have room")


main(FOLDER, case)
