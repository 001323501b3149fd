"""Stand-in of one worker, as `worker.py ID HOST:PORT STORE SERVICE ZONE RACK RECORD DELAYER`.

With a delayer, a share of the starts gets no answer: they go to it, which delivers them later.

The specification of a job holds how long its tasks work, in milliseconds; a task that lasts has 0.
Every start and every end is appended to the file RECORD, one JSON object a line.
"""

import asyncio
import json
import random
import sys
import time
from pathlib import Path
from typing import Any

sys.path.append(str(Path(__file__).resolve().parents[2]))

from review.harness.web import Request, Response, call, serve

REPORT_INTERVAL_S = 1.5
MAX_LEASE_MS = 6000.0
STOP_S = 0.1
TICK_S = 0.01
MAX_ENDS = 500
LATE_SHARE = 0.5
CAPACITY = {"cpu": 16000, "taskMemoryMb": 65536, "gpu": 0}


class Task:
    """A run of a task; one that lasts has a duration of 0."""

    def __init__(self, name: str, run: int, duration_s: float) -> None:
        self.name = name
        self.run = run
        self.duration_s = duration_s
        self.started_at = time.monotonic()
        self.stop_at = float("inf")

    def get_percent(self, now: float) -> int:
        """Return the progress; a task that lasts is at work from its start."""
        if not self.duration_s:
            return 100
        return min(99, int(100 * (now - self.started_at) / self.duration_s))


class Worker:
    """The runs of one life of a worker."""

    def __init__(self, name: str, record: str) -> None:
        self.name = name
        self.record = Path(record)
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.token = 0
        self.lease_ms = 0.0
        self.running: dict[str, Task] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.count = 0
        self.changed = asyncio.Condition()
        # Where starts go that are to be carried out late, and this worker's address.
        self.delayer = ""
        self.address = ""

    def clock_ms(self) -> float:
        """Return the worker's clock."""
        return round(1000 + (time.monotonic() - self.started_at) * 1000)

    def note(self, **fields: object) -> None:
        """Append what has happened to the record."""
        line = json.dumps({"at": round(time.monotonic(), 3), "worker": self.name, **fields})
        with self.record.open("a", encoding="utf-8") as file:
            file.write(line + "\n")

    def extend(self, deadline_ms: float | None) -> None:
        """Extend the lease of everything that runs here; it never shortens."""
        if deadline_ms is not None:
            limit = self.clock_ms() + MAX_LEASE_MS
            self.lease_ms = max(self.lease_ms, min(deadline_ms, limit))

    async def end(self, task: Task, how: str) -> None:
        """End a run and list it."""
        if self.running.get(task.name) is not task:
            return
        del self.running[task.name]
        self.count += 1
        self.highest[task.name] = max(self.highest.get(task.name, 0), task.run)
        self.ended.append([self.count, task.name, task.run, how, ""])
        self.note(what="end", task=task.name, run=task.run, how=how)
        async with self.changed:
            self.changed.notify_all()

    async def advance(self) -> None:
        """End the runs whose time has come."""
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            lapsed = self.clock_ms() > self.lease_ms
            for task in list(self.running.values()):
                if lapsed:
                    await self.end(task, "lapsed")
                elif now >= task.stop_at:
                    await self.end(task, "stopped")
                elif task.duration_s and now - task.started_at >= task.duration_s:
                    await self.end(task, "done")

    async def handle(self, request: Request) -> Response:
        """Execute one order."""
        if request.path == "/health":
            return 200, {}
        if request.headers.get("expected-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock_ms()}
        body = request.body
        if request.path == "/v1/run-start" and await self.is_late(request):
            await asyncio.Event().wait()
        if body.get("fencingToken", 0) < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = body.get("fencingToken", 0)
        if request.path == "/v1/run-start":
            return self.start(body)
        if request.path == "/v1/run-stop":
            return self.stop(body)
        if request.path == "/v1/hold":
            return await self.hold(body)
        return 200, {"clockMs": self.clock_ms()}

    async def is_late(self, request: Request) -> bool:
        """Tell whether a start has not arrived yet, but will do so seconds later."""
        if not self.delayer or request.query.get("late") or random.random() >= LATE_SHARE:
            return False
        order = {"address": self.address, "body": request.body}
        status, _ = await call(self.delayer, "POST", "/orders", order, timeout_s=1.0)
        return status == 200

    def start(self, body: dict[str, Any]) -> Response:
        """Start a run, unless it is there already."""
        name, run = body["task"], body["run"]
        here = self.running.get(name)
        if here is not None and here.run == run:
            return 200, {"clockMs": self.clock_ms()}
        if body["deadlineMs"] <= self.clock_ms():
            return 409, {"clockMs": self.clock_ms(), "reason": "late"}
        self.extend(body["deadlineMs"])
        if here is not None or run <= self.highest.get(name, 0):
            return 409, {"clockMs": self.clock_ms(), "reason": "old"}
        self.running[name] = Task(name, run, int(body["spec"]) / 1000)
        self.note(what="start", task=name, run=run)
        return 200, {"clockMs": self.clock_ms()}

    def stop(self, body: dict[str, Any]) -> Response:
        """Stop a run, or make sure that it never starts."""
        name, run = body["task"], body["run"]
        here = self.running.get(name)
        if here is not None and here.run == run:
            here.stop_at = min(here.stop_at, time.monotonic() + STOP_S)
        elif here is None:
            self.highest[name] = max(self.highest.get(name, 0), run)
        return 200, {"clockMs": self.clock_ms()}

    async def hold(self, body: dict[str, Any]) -> Response:
        """Extend the lease and return what runs and what has ended, which may be waited for."""
        self.extend(body.get("deadlineMs"))
        for _, task, run, how, _ in (end for end in self.ended if end[0] <= body["lastSeen"]):
            self.note(what="noted", task=task, run=run, how=how)
        self.ended = [end for end in self.ended if end[0] > body["lastSeen"]]
        limit = time.monotonic() + min(2000, body.get("waitMs", 0)) / 1000
        while not self.ended and (left := limit - time.monotonic()) > 0:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    break
        now = time.monotonic()
        running = [
            [task.name, task.run, "", task.get_percent(now), 0] for task in self.running.values()
        ]
        answer = {"clockMs": self.clock_ms(), "born": self.born, "running": running}
        return 200, {**answer, "finished": self.ended[:MAX_ENDS]}


async def report(worker: Worker, address: str, store: str, entry: dict[str, object]) -> None:
    """Write the worker's entry again and again."""
    sequence = 0
    while True:
        sequence += 1
        body = {**entry, "address": address, "born": worker.born, "sequence": sequence}
        body["clockMs"] = worker.clock_ms()
        await call(store, "POST", f"/servers/{worker.name}", body)
        await asyncio.sleep(REPORT_INTERVAL_S)


async def main() -> None:
    """Serve until the process is ended."""
    name, address, store, service, zone, rack, record, delayer = sys.argv[1:9]
    worker = Worker(name, record)
    worker.delayer, worker.address = delayer, address
    host, _, port = address.rpartition(":")
    server = await serve(host, int(port), worker.handle)
    entry = {
        "service": service,
        "zone": zone,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "capacity": CAPACITY,
        "labels": ["a", rack],
    }
    loop = asyncio.get_running_loop()
    tasks = [
        loop.create_task(worker.advance()),
        loop.create_task(report(worker, address, store, entry)),
    ]
    await server.serve_forever()
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(main())
