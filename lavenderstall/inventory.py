"""Row types of operator queries, and the answers that contain them."""

from enum import Enum
from typing import Annotated, ClassVar

import msgspec

from lavenderstall.changes import Change, ChangeState, Difference, describe_change
from lavenderstall.identifiers import (
    ChangeNumber,
    EntryId,
    Epoch,
    JobId,
    RackName,
    RequestId,
    ServiceName,
    SliceName,
    TaskId,
    TeamName,
    Version,
    WorkerId,
    ZoneName,
)
from lavenderstall.protocol import MAX_FIGURE, Kind, TaskState
from lavenderstall.schemas import Demand

# Clocks that differ may make an age negative.
Milliseconds = Annotated[int, msgspec.Meta(ge=-MAX_FIGURE, le=MAX_FIGURE)]


class WorkerState(Enum):
    """States of a worker according to the owner of its slice."""

    LIVE = "live"
    LEAVING = "leaving"
    DRAINED = "drained"
    QUARANTINED = "quarantined"
    LOST = "lost"


class SliceState(Enum):
    """States of a slice's ownership."""

    OWNED = "owned"
    LOCAL = "local"
    RELEASED = "released"
    UNKNOWN = "unknown"


class EntryState(Enum):
    """States of an entry instance."""

    LIVE = "live"
    DRAINING = "draining"
    SUSPECT = "suspect"


class Info(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="type"):
    """Base of all rows; `SUMMED` fields are summed over owners that report the same id."""

    SUMMED: ClassVar[tuple[str, ...]] = ()
    COLUMNS: ClassVar[tuple[str, ...]] = ()


class TaskInfo(Info, frozen=True, omit_defaults=True, tag="task"):
    """Describe a task; `age_ms` counts from its acceptance, `wait_ms` until its start."""

    COLUMNS = ("id", "kind", "state", "team", "service", "worker", "zone", "age_ms", "reason")

    id: TaskId
    job: JobId
    team: TeamName
    kind: Kind
    state: TaskState
    zone: ZoneName
    slice: SliceName
    service: ServiceName = ServiceName("")
    worker: WorkerId = WorkerId("")
    rack: RackName = RackName("")
    priority: int = 0
    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    age_ms: Milliseconds = 0
    wait_ms: Milliseconds = 0
    reason: str = ""


class JobInfo(Info, frozen=True, omit_defaults=True, tag="job"):
    """Describe a job, or the part of it in one slice."""

    SUMMED = ("tasks", "waiting", "running", "done", "failed", "cancelled", "unknown")
    COLUMNS = ("id", "kind", "state", "team", "tasks", "waiting", "running", "done", "failed")

    id: JobId
    team: TeamName
    kind: Kind
    state: TaskState
    service: ServiceName = ServiceName("")
    priority: int = 0
    tasks: int = 0
    waiting: int = 0
    running: int = 0
    done: int = 0
    failed: int = 0
    cancelled: int = 0
    unknown: int = 0
    age_ms: Milliseconds = 0
    reason: str = ""


class WorkerInfo(Info, frozen=True, omit_defaults=True, tag="worker"):
    """Describe a worker; `age_ms` counts from its last heartbeat."""

    COLUMNS = (
        "id",
        "state",
        "zone",
        "rack",
        "pool",
        "tasks",
        "free_cores_milli",
        "free_memory_mb",
        "free_accelerators",
        "free_slots",
        "age_ms",
    )

    id: WorkerId
    state: WorkerState
    zone: ZoneName
    rack: RackName
    slice: SliceName
    pool: str = ""
    owner: EntryId = EntryId("")
    epoch: Epoch = Epoch(0)
    tasks: int = 0
    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    free_cores_milli: int = 0
    free_memory_mb: int = 0
    free_accelerators: int = 0
    free_slots: int = 0
    age_ms: Milliseconds = 0
    reason: str = ""


class ServiceInfo(Info, frozen=True, omit_defaults=True, tag="service"):
    """Describe a service, or the part of it in one slice."""

    SUMMED = ("running", "waiting", "slots", "free_slots", "calls")
    COLUMNS = ("id", "team", "pool", "replicas", "running", "waiting", "free_slots", "calls")

    id: ServiceName
    team: TeamName
    pool: str = ""
    replicas: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 0
    free_slots: int = 0
    calls: int = 0
    age_ms: Milliseconds = 0


class SliceInfo(Info, frozen=True, omit_defaults=True, tag="slice"):
    """Describe a slice; `age_ms` counts from the last change of owner."""

    COLUMNS = ("id", "state", "owner", "epoch", "workers", "waiting", "oldest_wait_ms", "age_ms")

    id: SliceName
    zone: ZoneName
    state: SliceState
    owner: EntryId = EntryId("")
    epoch: Epoch = Epoch(0)
    workers: int = 0
    waiting: int = 0
    oldest_wait_ms: Milliseconds = 0
    free_cores_milli: int = 0
    free_memory_mb: int = 0
    free_accelerators: int = 0
    age_ms: Milliseconds = 0


class RefusalInfo(Info, frozen=True, omit_defaults=True, tag="refusal"):
    """Describe a rejected request, and why."""

    COLUMNS = ("id", "kind", "team", "service", "reason", "step", "age_ms", "detail")

    id: RequestId
    team: TeamName
    kind: Demand
    reason: str
    service: ServiceName = ServiceName("")
    zone: ZoneName = ZoneName("")
    slice: SliceName = SliceName("")
    step: str = ""
    peer: str = ""
    detail: str = ""
    age_ms: Milliseconds = 0


class ChangeInfo(Info, frozen=True, omit_defaults=True, tag="change"):
    """Describe a configuration change."""

    COLUMNS = ("id", "state", "author", "age_ms", "items", "reason")

    id: ChangeNumber
    state: ChangeState
    author: str
    reason: str
    age_ms: Milliseconds = 0
    time_unix_ms: Milliseconds = 0
    automatic: bool = False
    undoes: ChangeNumber = ChangeNumber(0)
    decides: ChangeNumber = ChangeNumber(0)
    decided_by: ChangeNumber = ChangeNumber(0)
    items: str = ""
    differences: tuple[Difference, ...] = ()


class EntryInfo(Info, frozen=True, omit_defaults=True, tag="entry"):
    """Describe an entry instance; `age_ms` counts from its last heartbeat."""

    COLUMNS = ("id", "state", "zone", "version", "slices", "calls", "age_ms")

    id: EntryId
    zone: ZoneName
    state: EntryState
    version: Version = Version(0)
    slices: int = 0
    calls: int = 0
    http: str = ""
    age_ms: Milliseconds = 0


class ReasonInfo(Info, frozen=True, omit_defaults=True, tag="reason"):
    """Describe one decision about a task, job, request or worker."""

    COLUMNS = ("age_ms", "step", "outcome", "reason", "alternatives")

    id: str
    step: str
    outcome: str
    reason: str
    slice: SliceName = SliceName("")
    owner: EntryId = EntryId("")
    alternatives: tuple[str, ...] = ()
    age_ms: Milliseconds = 0


class CountInfo(Info, frozen=True, omit_defaults=True, tag="count"):
    """Hold the number of rows with the same values."""

    COLUMNS = ("values", "count")

    values: tuple[str, ...]
    count: int


AnyInfo = (
    TaskInfo
    | JobInfo
    | WorkerInfo
    | ServiceInfo
    | SliceInfo
    | RefusalInfo
    | ChangeInfo
    | EntryInfo
    | ReasonInfo
    | CountInfo
)


class Inventory(msgspec.Struct, omit_defaults=True):
    """Hold the rows of one source."""

    tasks: list[TaskInfo] = []
    jobs: list[JobInfo] = []
    workers: list[WorkerInfo] = []
    services: list[ServiceInfo] = []
    slices: list[SliceInfo] = []
    refusals: list[RefusalInfo] = []
    changes: list[ChangeInfo] = []
    entries: list[EntryInfo] = []
    reasons: list[ReasonInfo] = []


class Part(msgspec.Struct, frozen=True, omit_defaults=True):
    """Identify the source of a partial answer and the age of its data in ms."""

    owner: EntryId
    age_ms: Milliseconds
    slices: tuple[SliceName, ...] = ()


class MissingPart(msgspec.Struct, frozen=True, omit_defaults=True):
    """Identify a partial answer that is missing, with the reason."""

    reason: str
    owner: EntryId = EntryId("")
    slices: tuple[SliceName, ...] = ()


class Answer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer a statement.

    `total` counts the rows before the limit. A command sets `change` and `differences`;
    `committed` is false for previews and for commands that changed nothing; with `preview`,
    `change` describes the change that would be made.
    """

    columns: tuple[str, ...] = ()
    rows: tuple[AnyInfo, ...] = ()
    total: int = 0
    parts: tuple[Part, ...] = ()
    missing: tuple[MissingPart, ...] = ()
    change: ChangeInfo | None = None
    differences: tuple[Difference, ...] = ()
    committed: bool = False
    version: Version = Version(0)
    note: str = ""
    preview: bool = False


def make_change_info(change: Change, now_unix_ms: int) -> ChangeInfo:
    """Return the row of a change, without token hashes."""
    return ChangeInfo(
        id=change.number,
        state=change.state,
        author=change.author,
        reason=change.reason,
        age_ms=max(0, now_unix_ms - change.time_unix_ms),
        time_unix_ms=change.time_unix_ms,
        automatic=change.automatic,
        undoes=change.undoes,
        decides=change.decides,
        decided_by=change.decided_by,
        items=", ".join(str(each.key) for each in change.items),
        differences=describe_change(change),
    )
