"""A bounded log of the reasons for scheduling decisions, indexed by subject."""

from collections import deque
from collections.abc import Collection, Iterator

import msgspec

from lavenderstall.identifiers import JobId, RequestId, TaskId, WorkerId
from lavenderstall.resources import NOTHING, Resources

MAX_ALTERNATIVES = 5
# A record takes about 1 KB; an entry instance has about 10 MB for all its state.
MAX_RECORDS = 4096
SUBJECT_KINDS = ("task", "worker", "job", "request")


def describe_shortage(shortage: Resources) -> str:
    """Return the name and amount of each missing resource."""
    amounts = (f"{name} by {getattr(shortage, name)}" for name in shortage.find_shortages(NOTHING))
    return f"short of {', '.join(amounts)}"


class Alternative(msgspec.Struct, frozen=True, omit_defaults=True):
    """A worker that was considered and not chosen.

    The text is built on demand because most reasons are never read.
    """

    worker: WorkerId
    cause: str = ""
    shortage: Resources = NOTHING
    tasks: int = 0

    @property
    def explanation(self) -> str:
        """Return why the worker was not chosen."""
        if self.cause:
            return self.cause
        return f"{describe_shortage(self.shortage)}; tasks there: {self.tasks}"


class Reason(msgspec.Struct, frozen=True, omit_defaults=True):
    """Explain a decision; `shortage` is the missing resources, `numbers` the compared values."""

    rule: str
    detail: str = ""
    alternatives: tuple[Alternative, ...] = ()
    shortage: Resources = NOTHING
    numbers: dict[str, float] = {}

    def __str__(self) -> str:
        shortage = ""
        if not self.detail and self.shortage != NOTHING:
            shortage = f"the nearest worker is {describe_shortage(self.shortage)}"
        return "; ".join(part for part in (self.rule, self.detail, shortage) if part)


class Record(msgspec.Struct, frozen=True):
    """A reason with its time in seconds, its outcome and its subjects."""

    at: float
    outcome: str
    reason: Reason
    tasks: tuple[TaskId, ...] = ()
    job: JobId | None = None
    workers: tuple[WorkerId, ...] = ()
    request: RequestId | None = None

    def list_subjects(self) -> Iterator[tuple[str, str]]:
        """Yield the kind and id of each subject of the record, without duplicates."""
        for task in dict.fromkeys(self.tasks):
            yield "task", task
        for worker in dict.fromkeys(self.workers):
            yield "worker", worker
        if self.job:
            yield "job", self.job
        if self.request:
            yield "request", self.request


class ReasonLog:
    """Hold the latest records, indexed by subject."""

    def __init__(self, capacity: int = MAX_RECORDS) -> None:
        self._capacity = capacity
        self._records: deque[Record] = deque()
        # Most subjects have two or three records; a list of them takes a sixth of a deque's memory.
        self._subjects: dict[str, dict[str, list[Record]]] = {kind: {} for kind in SUBJECT_KINDS}
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._records)

    def add(self, record: Record) -> None:
        """Add a record and drop the oldest if the log is over its capacity."""
        self._records.append(record)
        for kind, name in record.list_subjects():
            self._subjects[kind].setdefault(name, []).append(record)
        if len(self._records) > self._capacity:
            self._drop_oldest()

    def set_capacity(self, capacity: int) -> None:
        """Set the maximum number of records and drop the oldest beyond it."""
        self._capacity = capacity
        while len(self._records) > capacity:
            self._drop_oldest()

    def find_by_task(self, task: TaskId) -> tuple[Record, ...]:
        """Return the records about a task, oldest first."""
        return self._find("task", task)

    def find_by_job(self, job: JobId) -> tuple[Record, ...]:
        """Return the records about a job, oldest first."""
        return self._find("job", job)

    def find_by_worker(self, worker: WorkerId) -> tuple[Record, ...]:
        """Return the records about a worker, oldest first."""
        return self._find("worker", worker)

    def find_by_request(self, request: RequestId) -> tuple[Record, ...]:
        """Return the records about a request, oldest first."""
        return self._find("request", request)

    def _find(self, kind: str, name: str) -> tuple[Record, ...]:
        return tuple(self._subjects[kind].get(name, ()))

    def _drop_oldest(self) -> None:
        """Drop the oldest record, which comes first in the list of each of its subjects."""
        record = self._records.popleft()
        self.dropped += 1
        for kind, name in record.list_subjects():
            records = self._subjects[kind][name]
            del records[0]
            if not records:
                del self._subjects[kind][name]


def divide_capacity(logs: Collection[ReasonLog]) -> None:
    """Divide the maximum number of records among the logs of the slices of an entry instance."""
    for log in logs:
        log.set_capacity(MAX_RECORDS // len(logs))
