"""Invariants of a cell, checked against the workers' own logs."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec

from lavenderstall.errors import Outcome
from lavenderstall.identifiers import EntryId, JobId, RequestId, TaskId, Version, get_task_id
from lavenderstall.protocol import TasksRequest
from standins.calls import CallEcho
from standins.truth import CallBegun, Left, Record, TaskStarted
from standins.workers import Worker

LEAVE_GRACE_S = 3.0
CONFIG_PROPAGATION_S = 3.0
STORE_WRITES_PER_SECOND = 200


class CallerRecord(msgspec.Struct):
    """A caller's request and its answer; `outcome` is None until the answer arrives."""

    name: str
    body: bytes = b""
    idempotent: bool = True
    entry: EntryId = EntryId("")
    outcome: Outcome | None = None
    reason: str = ""
    answer: bytes = b""
    attempts: int = 0
    # Whether the caller marked this as a retry of an earlier request.
    is_retry: bool = False
    sent_at: float = 0.0
    ended_at: float = 0.0


class _WatchedLog(list[Record]):
    """Log that calls a function for each record appended."""

    def __init__(self, on_append: Callable[[Record], None]) -> None:
        super().__init__()
        self._on_append = on_append

    def append(self, record: Record) -> None:
        super().append(record)
        self._on_append(record)


class Checks:
    """Record what workers run and compare it with the answers that callers got."""

    def __init__(self, workers: dict[Any, Worker], read_time: Callable[[], float]) -> None:
        self.violations: list[str] = []
        self.calls_started: dict[RequestId, int] = {}
        self.jobs_started: set[JobId] = set()
        self.starts: dict[TaskId, int] = {}
        self.non_idempotent_starts: dict[TaskId, int] = {}
        self._workers = workers
        self._read_time = read_time
        self._leaving_since: dict[Any, float] = {}
        for name, worker in workers.items():
            worker.truth.records = _WatchedLog(lambda record, name=name: self._record(name, record))

    def report(self, text: str) -> None:
        self.violations.append(f"at {self._read_time():.3f}: {text}")

    def _record(self, name: Any, record: Record) -> None:
        if isinstance(record, Left):
            self._leaving_since[name] = record.at
        elif isinstance(record, TaskStarted):
            self._record_start(name, record)
        elif isinstance(record, CallBegun):
            self._record_call(name, record)

    def _record_start(self, name: Any, record: TaskStarted) -> None:
        task = get_task_id(record.task)
        self.jobs_started.add(record.job)
        self.starts[task] = self.starts.get(task, 0) + 1
        if not record.idempotent:
            self.non_idempotent_starts[task] = self.non_idempotent_starts.get(task, 0) + 1
            if self.non_idempotent_starts[task] > 1:
                self.report(f"non-idempotent task {task} started again on {name}")
        locations = [f"{w}:{run}" for w, run in self._list_runs() if get_task_id(run) == task]
        if len(locations) > 1:
            self.report(f"task {task} runs in {locations}")
        self._check_capacity(name)
        self._check_leaving(name, record.task)

    def _list_runs(self) -> Iterable[tuple[Any, TaskId]]:
        """Yield the running tasks, except on paused workers whose task leases have expired.

        Such a worker runs nothing, and stops these tasks first when it resumes.
        """
        now = self._read_time()
        for name, worker in self._workers.items():
            if not (worker.faults.paused and now >= worker._tasks_until):
                for run in worker.inventory.tasks:
                    yield name, run

    def _record_call(self, name: Any, record: CallBegun) -> None:
        self.calls_started[record.request] = self.calls_started.get(record.request, 0) + 1
        if not record.idempotent and self.calls_started[record.request] > 1:
            self.report(f"non-idempotent request {record.request} ran again on {name}")
        worker = self._workers[name]
        if len(worker.calls.running) > worker.shape.capacity.slots:
            self.report(f"worker {name} runs more calls than it has slots")
        self._check_leaving(name, record.request)

    def _check_capacity(self, name: Any) -> None:
        worker = self._workers[name]
        short = worker.inventory.allocated.find_shortages(worker.shape.capacity)
        if short:
            self.report(f"worker {name} has more {short} allocated than its capacity")

    def _check_leaving(self, name: Any, what: str) -> None:
        since = self._leaving_since.get(name)
        if since is not None and self._read_time() > since + LEAVE_GRACE_S:
            self.report(f"worker {name} started {what} long after it began to leave")

    def check_send(self, name: Any, message: object) -> None:
        """Check that no start or call goes to a worker after its leaving grace period."""
        starts = not isinstance(message, TasksRequest) or bool(message.starts)
        if starts:
            self._check_leaving(name, f"a message of type {type(message).__name__}")

    def check_calls(self, calls: Sequence[CallerRecord]) -> None:
        """Check the outcomes that callers got for calls.

        A first attempt that was answered `not_run` may be followed by a retry that runs.
        """
        retried = {record.name for record in calls if record.is_retry}
        for record in calls:
            final = record.is_retry or record.attempts > 1 or record.name not in retried
            ran = self.calls_started.get(RequestId(record.name))
            if record.outcome is Outcome.NOT_RUN and final and ran:
                self.report(f"call {record.name} was answered not_run ({record.reason}) but ran")
            if record.outcome is not Outcome.DONE:
                continue
            echo = msgspec.json.decode(record.answer, type=CallEcho)
            if echo.request != record.name or echo.body.encode() != record.body:
                self.report(f"call {record.name} got the answer of {echo.request}")
            if not self.calls_started.get(RequestId(record.name)):
                self.report(f"call {record.name} was answered done but never ran")

    def check_jobs(self, jobs: Iterable[CallerRecord]) -> None:
        """Check the outcomes that callers got for jobs."""
        for record in jobs:
            if record.outcome is Outcome.NOT_RUN and JobId(record.name) in self.jobs_started:
                self.report(f"job {record.name} was answered not_run ({record.reason}) but ran")

    def check_versions(
        self,
        seen: dict[EntryId, Version],
        present: dict[EntryId, Version],
        accepted: list[tuple[float, Version]],
        connected_since: dict[EntryId, float],
    ) -> None:
        """Check that versions only grow and reach all connected entry instances in time."""
        now = self._read_time()
        for entry, version in present.items():
            if version < seen.get(entry, 0):
                self.report(f"{entry} went from version {seen[entry]} back to {version}")
            seen[entry] = version
            for at, wanted in accepted:
                since = max(at, connected_since.get(entry, now))
                if now > since + CONFIG_PROPAGATION_S and version < wanted:
                    self.report(f"{entry} has {version}, {wanted} was accepted at {at:.3f}")

    def check_writes(self, peak_writes: int) -> None:
        """Check the cell's limit on store writes per second."""
        if peak_writes > STORE_WRITES_PER_SECOND:
            self.report(f"{peak_writes} store transactions in one second")

    def raise_first(self) -> None:
        """Raise if an invariant was broken."""
        if self.violations:
            raise AssertionError("\n".join(self.violations[:5]))
