"""Stand-in of a worker, which runs tasks as PROTOCOL.md says under "Running tasks"."""

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress
from math import inf
from time import monotonic, time
from typing import Any
from zlib import crc32

from lab.http import Request, Server
from lab.store import Store

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_S = 0.1
CHECKPOINT_INTERVAL_S = 2.0
STARTUP_S = 0.3
TICK_S = 0.02
MAX_ENDS = 500
CLOCK_AT_START_MS = 1000.0

Note = Callable[..., None]


class Run:
    """One run of a task; how it behaves stands in the job's `spec`, a JSON text.

    Its `steps` hold for each step `ms` (0 for a task that lasts), `spread` (the largest part of
    `ms` by which tasks are longer or shorter) and `saves`.
    """

    def __init__(self, name: str, number: int, spec: str, checkpoint: str) -> None:
        self.name = name
        self.number = number
        step = json.loads(spec)["steps"][int(name.split(".")[2])]
        varied = 1 + step.get("spread", 0.0) * (crc32(name.encode()) % 2001 - 1000) / 1000
        self.duration_s = varied * step["ms"] / 1000 if step["ms"] else inf
        self.saves = step.get("saves", False)
        self.checkpoint = checkpoint
        self.started_at = monotonic()
        self.stop_at = inf

    def get_percent(self) -> float:
        """Return how far the task is; one that lasts is at work after a short startup."""
        worked_s = monotonic() - self.started_at
        if self.duration_s == inf:
            return 100 if worked_s >= STARTUP_S else 0
        return min(99, int(100 * worked_s / self.duration_s))

    def advance(self) -> None:
        """Save a checkpoint for each interval of work."""
        saved = int((monotonic() - self.started_at) / CHECKPOINT_INTERVAL_S)
        if self.saves and saved:
            self.checkpoint = f"{self.number:04x}{saved:04x}{crc32(self.name.encode()):08x}"


class Worker:
    """One worker, which may crash and start again under its id."""

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        note: Note,
        *,
        capacity: dict[str, int],
        labels: list[str],
        zone: str,
    ) -> None:
        self.name = name
        self.server = Server(self._handle)
        self.up = False
        self.runs: dict[str, Run] = {}
        self.born = 0
        # If not 0, the next `hold` that takes note of ends gets no answer and is executed so many
        # seconds later, by whichever process then has this worker's id.
        self.late_hold_s = 0.0
        self._store = store
        self._service = service
        self._note = note
        self._capacity = capacity
        self._labels = labels
        self._zone = zone
        self._port = 0
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._reset()

    def _reset(self) -> None:
        self.runs = {}
        self._token = 0
        self._lease_ms = 0.0
        self._ends: list[list[Any]] = []
        self._count = 0
        self._seen = 0
        self._highest: dict[str, int] = {}
        self._sequence = 0
        self._booted_at = monotonic()

    # Life

    async def start(self) -> None:
        """Start, or start again, without any state."""
        self._reset()
        self.born = int(time() * 1000)
        await self.server.start(self._port)
        self._port = int(self.server.address.rpartition(":")[2])
        self.up = True
        self._note("worker starts", worker=self.name, born=self.born)
        self._spawn(self._beat(self.born))
        self._spawn(self._work(self.born))

    def crash(self) -> None:
        """End like a killed process: all runs are gone and all channels are closed."""
        self.up = False
        self._note("worker crashes", worker=self.name, runs=sorted(self.runs))
        self.runs = {}
        self.server.stop()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self, born: int) -> None:
        while self.up and self.born == born:
            self._sequence += 1
            self._store.put("servers", self.name, self._get_entry())
            await asyncio.sleep(HEARTBEAT_S)

    def _get_entry(self) -> dict[str, Any]:
        return {
            "service": self._service,
            "address": self.server.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": self._capacity,
            "labels": self._labels,
            "clockMs": self._read_clock(),
            "sequence": self._sequence,
            "born": self.born,
        }

    def _read_clock(self) -> float:
        return int(CLOCK_AT_START_MS + (monotonic() - self._booted_at) * 1000)

    async def _work(self, born: int) -> None:
        while self.up and self.born == born:
            lapsed = self._read_clock() > self._lease_ms
            for run in list(self.runs.values()):
                run.advance()
                if lapsed:
                    self._end(run, "lapsed")
                elif monotonic() >= run.stop_at:
                    self._end(run, "stopped")
                elif monotonic() - run.started_at >= run.duration_s:
                    self._end(run, "done")
            await asyncio.sleep(TICK_S)

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.name]
        self._count += 1
        self._ends.append([self._count, run.name, run.number, how, run.checkpoint])
        self._highest[run.name] = max(self._highest.get(run.name, 0), run.number)
        self._note(
            "run ends", worker=self.name, task=run.name, run=run.number, how=how, end=self._count
        )
        self._changed.set()
        self._changed = asyncio.Event()

    # Calls

    async def _handle(self, request: Request) -> tuple[int, Any]:
        if self.late_hold_s and request.path == "/v1/hold" and request.body.get("lastSeen"):
            self._spawn(self._execute_late(request))
            await asyncio.Event().wait()
        return await self._execute(request)

    async def _execute_late(self, request: Request) -> None:
        """Execute a call late, and never answer it."""
        late_s, self.late_hold_s = self.late_hold_s, 0.0
        self._note("call is left unanswered", worker=self.name, body=request.body, born=self.born)
        await asyncio.sleep(late_s)
        self._note("call is executed late", worker=self.name, body=request.body, born=self.born)
        await self._execute(request, may_wait=False)

    async def _execute(self, request: Request, *, may_wait: bool = True) -> tuple[int, Any]:
        if request.path == "/health":
            return 200, {}
        if request.headers.get("expected-instance", self.name) != self.name:
            return 421, self._get_base()
        body = request.body
        if body.get("fencingToken", 0) < self._token:
            return 409, {**self._get_base(), "reason": "fence"}
        self._token = body.get("fencingToken", 0)
        if request.path == "/v1/run-start":
            return self._start_run(body)
        if request.path == "/v1/run-stop":
            return self._stop_run(body)
        if request.path == "/v1/pace":
            return 200, self._get_base()
        return await self._hold(body, body.get("waitMs", 0) if may_wait else 0)

    def _get_base(self) -> dict[str, Any]:
        return {"clockMs": self._read_clock()}

    def _extend(self, body: dict[str, Any]) -> None:
        wanted = min(body.get("deadlineMs", 0), self._read_clock() + MAX_HOLD_MS)
        self._lease_ms = max(self._lease_ms, wanted)

    def _start_run(self, body: dict[str, Any]) -> tuple[int, Any]:
        name, number = body["task"], body["run"]
        if body["deadlineMs"] <= self._read_clock():
            return 409, {**self._get_base(), "reason": "late"}
        self._extend(body)
        if name in self.runs and self.runs[name].number == number:
            return 200, self._get_base()
        if number <= self._highest.get(name, 0) or name in self.runs:
            return 409, {**self._get_base(), "reason": "old"}
        self.runs[name] = Run(name, number, body["spec"], body.get("checkpoint", ""))
        self._note("run starts", worker=self.name, task=name, run=number,
                   token=body["fencingToken"])  # fmt: skip
        return 200, self._get_base()

    def _stop_run(self, body: dict[str, Any]) -> tuple[int, Any]:
        name, number = body["task"], body["run"]
        self._highest[name] = max(self._highest.get(name, 0), number)
        run = self.runs.get(name)
        if run is not None and run.number <= number:
            run.stop_at = min(run.stop_at, monotonic() + STOP_S)
        return 200, self._get_base()

    async def _hold(self, body: dict[str, Any], wait_ms: int) -> tuple[int, Any]:
        self._extend(body)
        seen = body.get("lastSeen", 0)
        for end in self._ends:
            if end[0] <= seen:
                self._note("end is taken note of", worker=self.name, end=end[0], task=end[1],
                           run=end[2], how=end[3])  # fmt: skip
        self._ends = [end for end in self._ends if end[0] > seen]
        if not self._ends and wait_ms:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_ms / 1000)
        running = [[r.name, r.number, r.checkpoint, r.get_percent(), 0] for r in self.runs.values()]
        ends = self._ends[:MAX_ENDS]
        return 200, {**self._get_base(), "born": self.born, "running": running, "finished": ends}
