"""Tasks of one worker incarnation and the inventory that reports them."""

from collections import deque

import msgspec

from lavenderstall.decoding import UnreadableError, decode_json
from lavenderstall.identifiers import TaskId
from lavenderstall.protocol import Kind, TaskReport, TaskStart, TaskState
from lavenderstall.resources import NOTHING, Resources

# A task other than a service that declares no run time ends after this long.
DEFAULT_RUN_MS = 1_000
# Removals are kept for deltas up to this number; an older `known` gets a full inventory.
REMOVED_KEPT = 4_096


class Payload(msgspec.Struct):
    """Hold the keys of a task's or call's payload that the stand-in understands.

    A task or call with `crash_ms` crashes its worker this long after its start.
    """

    run_ms: int | None = None
    fail: bool = False
    crash_ms: int | None = None
    use_cores_milli: int | None = None
    use_memory_mb: int | None = None


class Task:
    """Hold one task that occupies resources on a worker."""

    def __init__(self, start: TaskStart, now: float) -> None:
        self.start = start
        self.payload = read_payload(msgspec.json.encode(start.payload))
        self.started_at = now
        self.state = TaskState.RUNNING
        self.cores_limit: int | None = None
        self.reported = NOTHING
        self.changed = 0

    @property
    def run_ms(self) -> int | None:
        """Return the run time, or none for a service that runs until it is stopped."""
        if self.payload.run_ms is not None:
            return self.payload.run_ms
        return None if self.start.kind is Kind.SERVICE else DEFAULT_RUN_MS

    @property
    def used(self) -> Resources:
        """Return what the task really uses."""
        declared = self.start.resources
        cores = self.payload.use_cores_milli
        memory = self.payload.use_memory_mb
        cores = declared.cores_milli if cores is None else cores
        if self.cores_limit is not None:
            cores = min(cores, self.cores_limit)
        return msgspec.structs.replace(
            declared,
            cores_milli=cores,
            memory_mb=declared.memory_mb if memory is None else memory,
        )

    def make_report(self, now: float, detail: str = "") -> TaskReport:
        """Describe the task with its lagging measurement."""
        start = self.start
        return TaskReport(
            task=start.task,
            job=start.job,
            team=start.team,
            kind=start.kind,
            state=self.state,
            resources=start.resources,
            service=start.service,
            idempotent=start.idempotent,
            used=self.reported,
            age_ms=int((now - self.started_at) * 1_000),
            detail=detail,
        )


class Inventory:
    """Hold the tasks of one incarnation and tell what changed since a sequence number."""

    def __init__(self, base: int) -> None:
        self.sequence = base
        self.tasks: dict[TaskId, Task] = {}
        self.allocated = NOTHING
        self.used = NOTHING
        self.seen: set[TaskId] = set()
        self.stopped: set[TaskId] = set()
        self._finished: dict[TaskId, tuple[int, TaskReport]] = {}
        self._removed: deque[tuple[int, TaskId]] = deque()
        self._horizon = self.sequence

    def add(self, task: Task) -> None:
        """Add a task that starts."""
        self.tasks[task.start.task] = task
        self.seen.add(task.start.task)
        self.allocated = self.allocated.add(task.start.resources)
        self.used = self.used.add(task.used)
        self.touch(task)

    def touch(self, task: Task) -> None:
        """Mark a task as changed."""
        self.sequence += 1
        task.changed = self.sequence

    def limit_cores(self, task: Task, cores_milli: int) -> None:
        """Hold a task to a share of cores."""
        self.used = self.used.subtract(task.used)
        task.cores_limit = cores_milli
        self.used = self.used.add(task.used)
        self.touch(task)

    def finish(self, task: Task, now: float, detail: str) -> TaskReport:
        """Move a task that ended to the reports that wait for acknowledgement."""
        name = task.start.task
        del self.tasks[name]
        self.allocated = self.allocated.subtract(task.start.resources)
        self.used = self.used.subtract(task.used)
        self.touch(task)
        report = task.make_report(now, detail)
        self._finished[name] = (self.sequence, report)
        self._removed.append((self.sequence, name))
        while len(self._removed) > REMOVED_KEPT:
            self._horizon = self._removed.popleft()[0]
        return report

    def acknowledge(self, names: list[TaskId]) -> None:
        """Forget the reports of tasks that the owner has recorded."""
        for name in names:
            self._finished.pop(name, None)

    def can_tell_since(self, known: int) -> bool:
        """Tell whether all changes after a sequence number are still kept."""
        return self._horizon <= known <= self.sequence

    def list_tasks(self, known: int, now: float) -> list[TaskReport]:
        """Return the present tasks that changed after a sequence number."""
        return [task.make_report(now) for task in self.tasks.values() if task.changed > known]

    def list_finished(self, known: int) -> list[TaskReport]:
        """Return the unacknowledged reports made after a sequence number."""
        return [report for sequence, report in self._finished.values() if sequence > known]

    def list_removed(self, known: int) -> list[TaskId]:
        """Return the tasks that ended after a sequence number, acknowledged or not."""
        return [name for sequence, name in self._removed if sequence > known]


def read_payload(body: bytes) -> Payload:
    """Return the keys that the stand-in understands; anything else in the body is ignored."""
    try:
        return decode_json(body, Payload)
    except UnreadableError:
        return Payload()
