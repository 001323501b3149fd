"""A repeated job comes whose occurrences are all due, and other jobs are not run any more."""

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Any

sys.path.append(str(Path(__file__).resolve().parents[2]))

from review.harness.cell import (
    BROKEN,
    PASSED,
    Cell,
    has_trouble,
    make_id,
    make_job,
    run_case,
)

SEED = 9
WORKERS = 8
WORKER_CPU = 16000
JOBS = 40
JOB_INTERVAL_S = 0.1
WORK_MS = 300
CPU = 2000
# The repeated job: each minute once, for the last four days.
OCCURRENCES = 5760
INTERVAL_MS = 60_000
REPEATED_WORK_MS = 100
REPEATED_CPU = 100
# Bounds of the rule: when jobs are asked for, for how long none may wait, and for an answer.
FINISH_S = 14.0
WAIT_S = 3.0


def make_repeated_job() -> dict[str, Any]:
    """Return a job with one short task an occurrence, all of which are due."""
    started_ms = int(time.time() * 1000) - OCCURRENCES * INTERVAL_MS
    job = make_job(REPEATED_WORK_MS, cpu=REPEATED_CPU)
    return {**job, "repeatCount": OCCURRENCES, "startAtMs": started_ms, "intervalMs": INTERVAL_MS}


async def submit(cell: Cell, number: int, job: str) -> int:
    """Hand a job in when it is its turn, and return the status of the answer."""
    await asyncio.sleep(number * JOB_INTERVAL_S)
    status, _ = await cell.request(1 + number % 3, "POST", job, make_job(WORK_MS, cpu=CPU))
    return status


def list_active(cell: Cell, begin: float, end: float) -> list[tuple[str, float, float]]:
    """Return the runs that were on a worker between two times, with their begins and ends."""
    runs = cell.read_runs()
    ended = {
        (run["worker"], run["task"], run["run"]): run["at"] for run in runs if run["what"] == "end"
    }
    starts = [run for run in runs if run["what"] == "start"]
    spans = [
        (run["task"], run["at"], ended.get((run["worker"], run["task"], run["run"]), end))
        for run in starts
    ]
    return [span for span in spans if span[1] < end and span[2] > begin]


def get_most_cpu(active: list[tuple[str, float, float]], repeated: str) -> int:
    """Return the most that was in use at a time, in thousandths of a core."""
    changes: list[tuple[float, int]] = []
    for task, begin, end in active:
        cpu = REPEATED_CPU if task.startswith(repeated + ".") else CPU
        changes += [(begin, cpu), (end, -cpu)]
    used = most = 0
    for _, change in sorted(changes):
        used += change
        most = max(most, used)
    return most


async def play(cell: Cell) -> int:
    """Return whether an accepted job waits without need, or has no answer, after the traffic."""
    await cell.start(3, WORKERS)
    generator = random.Random(SEED)
    repeated = make_id(generator)
    if has_trouble():
        await cell.request(1, "POST", repeated, make_repeated_job())
    jobs = [make_id(generator) for _ in range(JOBS)]
    answers = await asyncio.gather(*(submit(cell, number, job) for number, job in enumerate(jobs)))
    accepted = [job for job, status in zip(jobs, answers, strict=True) if status == 200]
    cell.note("end of the traffic", accepted=len(accepted))
    await asyncio.sleep(FINISH_S)
    begin = cell.get_age_s()
    await asyncio.sleep(WAIT_S)
    end = cell.get_age_s()
    found = await asyncio.gather(*(cell.request(1, "GET", job) for job in accepted))
    active = list_active(cell, begin, end)
    running = {task.partition(".")[0] for task, _, _ in active}
    most_cpu = get_most_cpu(active, repeated)
    waiting = [
        job
        for job, (_, answer) in zip(accepted, found, strict=True)
        if job not in running and (answer or {}).get("state") in {"queued", "running"}
    ]
    idle = most_cpu < WORKERS * WORKER_CPU / 2
    unanswered = [job for job, (status, _) in zip(accepted, found, strict=True) if status != 200]
    owners = sum(cell.read_log(name).count('"message": "pool claimed"') for name in cell.processes)
    cell.note(
        "verdict",
        waiting=waiting,
        unanswered=unanswered,
        most_cpu_in_use=most_cpu,
        cpu=WORKERS * WORKER_CPU,
        ownerships=owners,
    )
    print(
        f"of {len(accepted)} jobs {len(waiting)} have nothing running for {WAIT_S:.0f} s and "
        f"{len(unanswered)} no answer; {most_cpu} of {WORKERS * WORKER_CPU} cpu in use, "
        f"{owners} ownerships"
    )
    return BROKEN if (waiting and idle) or unanswered else PASSED


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).with_name("record.txt")))
