"""The invariants of the design page, checked against the workers' own logs."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec

from lavenderstall.errors import Outcome
from lavenderstall.identifiers import EntryId, JobId, RequestId, TaskId, Version, get_task
from lavenderstall.protocol import TasksRequest
from standins.calls import CallEcho
from standins.truth import CallBegun, Left, Record, TaskStarted
from standins.workers import Worker

LEAVE_SECONDS = 3.0
CONFIG_SECONDS = 3.0
STORE_WRITES_PER_SECOND = 200


class Told(msgspec.Struct):
    """Hold what a caller asked and was told; `outcome` is none while it still waits."""

    name: str
    body: bytes = b""
    idempotent: bool = True
    entry: EntryId = EntryId("")
    outcome: Outcome | None = None
    reason: str = ""
    answer: bytes = b""
    attempts: int = 0
    # Whether the caller marked this as a retry of a request that it sent before.
    again: bool = False
    asked: float = 0.0
    ended: float = 0.0


class _Log(list[Record]):
    """Pass each record on when it is written."""

    def __init__(self, note: Callable[[Record], None]) -> None:
        super().__init__()
        self._note = note

    def append(self, record: Record) -> None:
        super().append(record)
        self._note(record)


class Checks:
    """Watch the workers and compare them with what callers were told."""

    def __init__(self, workers: dict[Any, Worker], read_time: Callable[[], float]) -> None:
        self.violations: list[str] = []
        self.begun: dict[RequestId, int] = {}
        self.jobs_run: set[JobId] = set()
        self.starts: dict[TaskId, int] = {}
        self.once: dict[TaskId, int] = {}
        self._workers = workers
        self._read_time = read_time
        self._left: dict[Any, float] = {}
        for name, worker in workers.items():
            worker.truth.records = _Log(lambda record, name=name: self._note(name, record))

    def fail(self, text: str) -> None:
        self.violations.append(f"at {self._read_time():.3f}: {text}")

    def _note(self, name: Any, record: Record) -> None:
        if isinstance(record, Left):
            self._left[name] = record.at
        elif isinstance(record, TaskStarted):
            self._note_start(name, record)
        elif isinstance(record, CallBegun):
            self._note_call(name, record)

    def _note_start(self, name: Any, record: TaskStarted) -> None:
        task = get_task(record.task)
        self.jobs_run.add(record.job)
        self.starts[task] = self.starts.get(task, 0) + 1
        if not record.idempotent:
            self.once[task] = self.once.get(task, 0) + 1
            if self.once[task] > 1:
                self.fail(f"task {task}, not idempotent, started again on {name}")
        places = [f"{w}:{run}" for w, run in self._list_runs() if get_task(run) == task]
        if len(places) > 1:
            self.fail(f"task {task} runs in {places}")
        self._check_room(name)
        self._check_leaving(name, record.task)

    def _list_runs(self) -> Iterable[tuple[Any, TaskId]]:
        """Yield what runs; a paused instance runs nothing, and ends lapsed tasks first."""
        now = self._read_time()
        for name, worker in self._workers.items():
            if not (worker.faults.paused and now >= worker._tasks_until):
                for run in worker.inventory.tasks:
                    yield name, run

    def _note_call(self, name: Any, record: CallBegun) -> None:
        self.begun[record.request] = self.begun.get(record.request, 0) + 1
        if not record.idempotent and self.begun[record.request] > 1:
            self.fail(f"request {record.request}, not idempotent, ran again on {name}")
        worker = self._workers[name]
        if len(worker.calls.running) > worker.shape.capacity.slots:
            self.fail(f"worker {name} runs more calls than it has slots")
        self._check_leaving(name, record.request)

    def _check_room(self, name: Any) -> None:
        worker = self._workers[name]
        short = worker.inventory.allocated.find_shortages(worker.shape.capacity)
        if short:
            self.fail(f"worker {name} is allocated more {short} than it has")

    def _check_leaving(self, name: Any, what: str) -> None:
        since = self._left.get(name)
        if since is not None and self._read_time() > since + LEAVE_SECONDS:
            self.fail(f"worker {name} began {what} long after it began to leave")

    def note_send(self, name: Any, message: object) -> None:
        """Check that nothing is sent to a worker that has been leaving for a while."""
        starts = not isinstance(message, TasksRequest) or bool(message.starts)
        if starts:
            self._check_leaving(name, f"a message of type {type(message).__name__}")

    def check_calls(self, calls: Sequence[Told]) -> None:
        """Check what callers were told about calls.

        A first attempt that is told `not_run` may be followed by a retry that runs.
        """
        retried = {told.name for told in calls if told.again}
        for told in calls:
            final = told.again or told.attempts > 1 or told.name not in retried
            ran = self.begun.get(RequestId(told.name))
            if told.outcome is Outcome.NOT_RUN and final and ran:
                self.fail(f"call {told.name} was told not_run ({told.reason}) and ran")
            if told.outcome is not Outcome.DONE:
                continue
            echo = msgspec.json.decode(told.answer, type=CallEcho)
            if echo.request != told.name or echo.body.encode() != told.body:
                self.fail(f"call {told.name} got the answer of {echo.request}")
            if not self.begun.get(RequestId(told.name)):
                self.fail(f"call {told.name} was told done and never ran")

    def check_jobs(self, jobs: Iterable[Told]) -> None:
        """Check what callers were told about jobs."""
        for told in jobs:
            if told.outcome is Outcome.NOT_RUN and JobId(told.name) in self.jobs_run:
                self.fail(f"job {told.name} was told not_run ({told.reason}) and ran")

    def check_versions(
        self,
        seen: dict[EntryId, Version],
        present: dict[EntryId, Version],
        accepted: list[tuple[float, Version]],
        connected_since: dict[EntryId, float],
    ) -> None:
        """Check that versions only grow and that accepted ones are soon in force."""
        now = self._read_time()
        for entry, version in present.items():
            if version < seen.get(entry, 0):
                self.fail(f"{entry} went from version {seen[entry]} back to {version}")
            seen[entry] = version
            for at, wanted in accepted:
                since = max(at, connected_since.get(entry, now))
                if now > since + CONFIG_SECONDS and version < wanted:
                    self.fail(f"{entry} has {version}, {wanted} was accepted at {at:.3f}")

    def check_writes(self, busiest: int) -> None:
        """Check the limit on writes of the whole cell."""
        if busiest > STORE_WRITES_PER_SECOND:
            self.fail(f"{busiest} transactions in one second")

    def raise_first(self) -> None:
        """Raise if an invariant was broken."""
        if self.violations:
            raise AssertionError("\n".join(self.violations[:5]))
