"""An owner is killed of which late starts are in no record; a worker's next process runs them."""

import asyncio
import random
import signal
import sys
from collections import defaultdict
from pathlib import Path
from typing import Any, NamedTuple

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
from review.harness.web import call

SEED = 12
ENTRIES, WORKERS = 3, 16
JOBS, JOB_INTERVAL_S = 200, 0.0125
WORK_MS = 8000
# The troubles come again in each round, until the rule is broken; all times count from its begin.
ROUNDS, ROUND_S = 5, 17.0
SLOW_S = 4.5
LATE_S = 5.5
KILL_AT_S = 1.9
RESTART_DELAY_S = 0.8
FIRST_CRASH_AT_S = 4.2
DOWN_S = 1.4
# So many workers crash at a time, one time after the other.
TOGETHER, CRASHES = 2, 8
CRASH_INTERVAL_S = 1.5
END_S = 2.0


class SlowCell(Cell):
    """A deployment whose store can be slow."""

    def start_store(self) -> None:
        """Start the store."""
        host, _, port = self.store.rpartition(":")
        path = Path(__file__).with_name("slow_store.py")
        self._spawn("store", [sys.executable, str(path), host, port])


class Span(NamedTuple):
    """From when until when a run was on a worker."""

    worker: str
    run: int
    begin: float
    end: float


async def submit_jobs(cell: Cell, jobs: list[str]) -> None:
    """Hand the jobs in one after the other, again while there is no answer that accepts them."""
    tasks = []
    for number, job in enumerate(jobs):
        tasks.append(asyncio.create_task(submit(cell, 1 + number % ENTRIES, job)))
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.gather(*tasks)


async def submit(cell: Cell, entry: int, job: str) -> None:
    """Hand a job in, at the next entry after no success."""
    for attempt in range(5):
        number = 1 + (entry - 1 + attempt) % ENTRIES
        status, _ = await cell.request(number, "POST", job, make_job(WORK_MS, cpu=500))
        if status == 200:
            return
        await asyncio.sleep(0.5)


async def switch(cell: Cell, address: str, on: str, off: str, after_s: float) -> None:
    """Switch a trouble on, and off again."""
    await call(address, "POST", on)
    cell.note("trouble", address=address, state=on)
    await asyncio.sleep(after_s)
    await call(address, "POST", off)
    cell.note("trouble", address=address, state=off)


async def kill_owner(cell: Cell) -> None:
    """Kill the owner, and start it again as the platform does."""
    await asyncio.sleep(KILL_AT_S)
    owner = cell.find_owner()
    cell.signal(owner, signal.SIGKILL)
    await asyncio.sleep(RESTART_DELAY_S)
    cell.start_entry(int(owner.rpartition("-")[2]))


async def crash_workers(cell: Cell, turn: int, crashes: dict[str, list[float]]) -> None:
    """Crash some workers at a time, and start each again under its name."""
    order = random.Random(SEED + turn).sample(range(1, WORKERS + 1), WORKERS)
    await asyncio.sleep(FIRST_CRASH_AT_S)
    for first in range(0, TOGETHER * CRASHES, TOGETHER):
        numbers = order[first : first + TOGETHER]
        for number in numbers:
            cell.signal(f"worker-{number}", signal.SIGKILL)
            crashes[f"worker-{number}"].append(cell.get_age_s())
        await asyncio.sleep(DOWN_S)
        for number in numbers:
            cell.start_worker(number)
        await asyncio.sleep(CRASH_INTERVAL_S - DOWN_S)


def list_spans(
    runs: list[dict[str, Any]], crashes: dict[str, list[float]]
) -> dict[str, list[Span]]:
    """Return when each task was running where; a crash of its worker ends a run too."""
    spans: dict[str, list[Span]] = defaultdict(list)
    for start in runs:
        if start["what"] != "start":
            continue
        worker, task, run, begin = (start[name] for name in ("worker", "task", "run", "at"))
        ends = [
            each["at"]
            for each in runs
            if each["what"] == "end"
            and (each["worker"], each["task"], each["run"]) == (worker, task, run)
        ]
        found = [at for at in (*ends, *crashes.get(worker, ())) if at >= begin]
        spans[task].append(Span(worker, run, begin, min(found, default=float("inf"))))
    return spans


def find_overlaps(spans: list[Span]) -> list[tuple[Span, Span]]:
    """Return the runs of one task that were there at the same time."""
    return [
        (first, second)
        for index, first in enumerate(spans)
        for second in spans[index + 1 :]
        if min(first.end, second.end) > max(first.begin, second.begin)
    ]


def find_starts_after_done(
    task: str, spans: list[Span], runs: list[dict[str, Any]]
) -> list[tuple[float, Span]]:
    """Return the starts of a task after a run had ended as done, if that was taken note of."""
    noted = {
        (each["worker"], each["run"])
        for each in runs
        if each["what"] == "noted" and each["task"] == task and each["how"] == "done"
    }
    done_at = [
        each["at"]
        for each in runs
        if each["what"] == "end"
        and each["task"] == task
        and each["how"] == "done"
        and (each["worker"], each["run"]) in noted
    ]
    return [(at, span) for at in done_at for span in spans if span.begin > at]


def list_twice(
    runs: list[dict[str, Any]], crashes: dict[str, list[float]]
) -> list[dict[str, object]]:
    """Return each case in which a task ran twice."""
    found: list[dict[str, object]] = []
    for task, spans in list_spans(runs, crashes).items():
        found += [
            {"task": task, "how": "at the same time", "runs": pair} for pair in find_overlaps(spans)
        ]
        found += [
            {"task": task, "how": "after it was done", "done_at": at, "runs": [span]}
            for at, span in find_starts_after_done(task, spans, runs)
        ]
    return found


async def play_round(cell: Cell, turn: int, crashes: dict[str, list[float]]) -> None:
    """Hand jobs in, beside all troubles once."""
    generator = random.Random(100 * SEED + turn)
    jobs = [make_id(generator) for _ in range(JOBS)]
    troubles = []
    if has_trouble():
        troubles = [
            switch(cell, cell.store, "/slow", "/quick", SLOW_S),
            switch(cell, cell.delayer, "/on", "/off", LATE_S),
            kill_owner(cell),
            crash_workers(cell, turn, crashes),
        ]
    await asyncio.gather(submit_jobs(cell, jobs), asyncio.sleep(ROUND_S), *troubles)


async def play(cell: Cell) -> int:
    """Return whether a task ran twice."""
    if has_trouble():
        cell.start_delayer()
    await cell.start(ENTRIES, WORKERS)
    crashes: dict[str, list[float]] = defaultdict(list)
    for turn in range(ROUNDS):
        await play_round(cell, turn, crashes)
        await asyncio.sleep(END_S if turn == ROUNDS - 1 else 0.0)
        runs = sorted(
            (run for run in cell.read_runs() if "worker" in run), key=lambda run: run["at"]
        )
        found = list_twice(runs, crashes)
        if found:
            break
    for each in found:
        cell.note("twice", **each)
    started = len({run["task"] for run in runs if run["what"] == "start"})
    cell.note("verdict", twice=len(found), started=started, rounds=turn + 1)
    print(f"{len(found)} times a task ran twice; {started} tasks began in {turn + 1} rounds")
    return BROKEN if found else PASSED


if __name__ == "__main__":
    import review.harness.cell as harness

    harness.Cell = SlowCell  # type: ignore[misc]
    sys.exit(run_case(play, Path(__file__).with_name("record.txt")))
