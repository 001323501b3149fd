"""A queue is removed and added again for another service while a job of it is running."""

import asyncio
import json
import sys
from pathlib import Path

from lab.cell import Cell, is_troubled, make_job_id, make_route, run_case, wait_until
from lab.checks import find_twice

CAPACITY = {"cpu": 16000, "taskMemoryMb": 65536, "gpu": 0}
SERVICES = ["desk", "imaging"]
TASKS, TASK_MS = 4, 18_000
# `configApplyMs`, and `visible_ms`.
APPLIED_S, VISIBLE_S = 2.0, 3.0
JOB = make_job_id(0xA1)
STEP = {"count": TASKS, "cpu": 2000, "taskMemoryMb": 512, "estimatedDurationMs": TASK_MS}
BODY = {"spec": json.dumps({"steps": [{"ms": TASK_MS}]}), "steps": [STEP]}


async def play(cell: Cell) -> str:
    """Play the case, and return how a rule was broken."""
    other = make_route("other", "imaging")
    before, after = make_route("orders", "desk"), make_route("orders", "imaging")
    await cell.start()
    for service in SERVICES:
        await cell.add_workers(service, 4, CAPACITY)
    cell.configure([before, other], SERVICES)
    await cell.wait_until_ready()
    await cell.submit_first(before, JOB, BODY)
    await wait_until(lambda: len(cell.record.list("run starts")) == TASKS, 5.0)
    if is_troubled():
        cell.configure([other], SERVICES)
    await asyncio.sleep(APPLIED_S)
    if is_troubled():
        cell.configure([after, other], SERVICES)
    await asyncio.sleep(APPLIED_S + VISIBLE_S)
    await cell.get_state(after, JOB)
    # "Occasionally, such a request also arrives seconds after the 2xx response for that ID."
    await cell.send("POST", after, JOB, BODY)
    await asyncio.sleep(TASK_MS / 1000)
    cell.check_processes()
    return find_twice(cell.record)


if __name__ == "__main__":
    cell = Cell(Path(__file__).parent)
    sys.exit(run_case(cell, play(cell)))
