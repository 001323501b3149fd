"""A gang job comes that can never be done, as no worker has the label that it needs."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from lab.cell import Cell, is_troubled, make_job_id, make_route, run_case
from lab.checks import list_stranded

CAPACITY = {"cpu": 64000, "taskMemoryMb": 131072, "gpu": 0}
WORKERS = 6
# The class `weave-scan` of abt-relief.toml: `stretch`, `aim_ms`, and its longest work.
SLACK, AIM_MS, EXPECTED_MS = 2.2, 1000, 9000
WORK_MS = 500
JOBS, RATE_PER_S = 60, 2.0
# One job in 60 is poison, where the site file has a twentieth.
HOPELESS = 20
FINISH_S, IDLE_S = 14.0, 3.0


def make_ordinary_job() -> dict[str, Any]:
    """Return a job of one step with two small tasks."""
    step = {"count": 2, "cpu": 1000, "taskMemoryMb": 256, "estimatedDurationMs": EXPECTED_MS}
    return {"spec": json.dumps({"steps": [{"ms": WORK_MS}]}), "steps": [step]}


def make_hopeless_job() -> dict[str, Any]:
    """Return a gang, each task of which needs a whole worker with a label that none has."""
    step = {
        "count": WORKERS,
        "cpu": CAPACITY["cpu"],
        "taskMemoryMb": 1024,
        "estimatedDurationMs": EXPECTED_MS,
        "gang": True,
        "requiredLabel": "no-such-label",
    }
    return {"spec": json.dumps({"steps": [{"ms": WORK_MS}]}), "steps": [step]}


async def play(cell: Cell) -> str:
    """Play the case, and return how the rule was broken."""
    await cell.start()
    await cell.add_workers("desk", WORKERS, CAPACITY)
    route = make_route("scans", "desk", slackFactor=SLACK, targetDurationMs=AIM_MS)
    cell.configure([route], ["desk"])
    await cell.wait_until_ready()
    doable = []
    for number in range(JOBS):
        job = make_job_id(number + 1)
        if number == HOPELESS and is_troubled():
            await cell.submit(route, job, make_hopeless_job())
        elif await cell.submit(route, job, make_ordinary_job()):
            doable.append(job)
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.sleep(FINISH_S)
    since = cell.record.read_time()
    await asyncio.sleep(IDLE_S)
    waiting = []
    for job in list_stranded(cell.record, doable, since, cell.record.read_time()):
        status, state = await cell.get_state(route, job)
        if (status, state) != (200, "completed"):
            waiting.append((job, status, state))
    cell.check_processes()
    if not waiting:
        return ""
    at_work = sum(len(worker.runs) for worker in cell.workers.values())
    return (
        f"LOST: {len(waiting)} of {len(doable)} doable jobs wait, as {waiting[0]}; {at_work} tasks"
        " run"
    )


if __name__ == "__main__":
    cell = Cell(Path(__file__).parent)
    sys.exit(run_case(cell, play(cell)))
