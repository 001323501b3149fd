"""A scheduled job grows until the row of its progress is too large for the store."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from lab.cell import (
    Cell,
    is_troubled,
    make_job_id,
    make_route,
    now_ms,
    run_case,
)
from lab.checks import list_stranded

CAPACITY = {"cpu": 64000, "taskMemoryMb": 131072, "gpu": 0}
WORKERS = 4
# The scheduled job: each 3 s, five steps after each other of 56 tasks that save checkpoints.
OCCURRENCES, STEPS, TASKS, TASK_MS, INTERVAL_MS = 14, 5, 56, 2300, 3000
ORDINARY_INTERVAL_S = 1.0
TRAFFIC_S = 56.0
# `finish_s`, and the time for which a job may have nothing running.
FINISH_S, IDLE_S = 14.0, 3.0
SCHEDULED, LASTING = make_job_id(0xB0), make_job_id(0xB1)


def make_ordinary_job() -> dict[str, Any]:
    """Return a job of one step with two short tasks."""
    step = {"count": 2, "cpu": 1000, "taskMemoryMb": 256, "estimatedDurationMs": 500}
    return {"spec": json.dumps({"steps": [{"ms": 500}]}), "steps": [step]}


def make_lasting_job() -> dict[str, Any]:
    """Return a job of four tasks that last."""
    step = {"count": 4, "cpu": 1000, "taskMemoryMb": 256, "longRunning": True}
    return {"spec": json.dumps({"steps": [{"ms": 0}]}), "steps": [step]}


def make_scheduled_job() -> dict[str, Any]:
    """Return the job that repeats; its spec tells the stand-in how its tasks behave."""
    step = {"count": TASKS, "cpu": 500, "taskMemoryMb": 128, "checkpointing": True}
    steps: list[dict[str, Any]] = [{**step, "estimatedDurationMs": TASK_MS} for _ in range(STEPS)]
    for number in range(1, STEPS):
        steps[number]["after"] = [number - 1]
    spec = json.dumps({"steps": [{"ms": TASK_MS, "saves": True}] * STEPS})
    times = {"repeatCount": OCCURRENCES, "startAtMs": now_ms(), "intervalMs": INTERVAL_MS}
    return {"spec": spec, "steps": steps, **times}


async def play(cell: Cell) -> str:
    """Play the case, and return how the rule was broken."""
    await cell.start()
    await cell.add_workers("desk", WORKERS, CAPACITY)
    route = make_route("orders", "desk")
    cell.configure([route], ["desk"])
    await cell.wait_until_ready()
    await cell.submit_first(route, LASTING, make_lasting_job())
    if is_troubled():
        await cell.submit_first(route, SCHEDULED, make_scheduled_job())
    accepted = [LASTING]
    for number in range(int(TRAFFIC_S / ORDINARY_INTERVAL_S)):
        job = make_job_id(number + 1)
        if await cell.submit(route, job, make_ordinary_job()):
            accepted.append(job)
        await asyncio.sleep(ORDINARY_INTERVAL_S)
    await asyncio.sleep(FINISH_S)
    idle_since = cell.record.read_time()
    await asyncio.sleep(IDLE_S)
    stranded = list_stranded(cell.record, accepted, idle_since, cell.record.read_time())
    cell.record.note("the store rejected as too large", rejected=cell.store.too_large[:3],
                     count=len(cell.store.too_large))  # fmt: skip
    waiting = []
    for job in stranded:
        status, state = await cell.get_state(route, job)
        if (status, state) != (200, "completed"):
            waiting.append((job, status, state))
    cell.check_processes()
    if not waiting:
        return ""
    return f"LOST: {len(waiting)} of {len(accepted)} accepted jobs wait, as {waiting[0]}"


if __name__ == "__main__":
    cell = Cell(Path(__file__).parent)
    sys.exit(run_case(cell, play(cell)))
