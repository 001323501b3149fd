"""Bodies of the HTTP interfaces of workers, table service and membership list."""

from enum import Enum
from typing import Annotated

import msgspec

from lavenderstall.identifiers import (
    EntryId,
    Epoch,
    Incarnation,
    JobId,
    RackName,
    ServiceName,
    TaskId,
    TeamName,
    WorkerId,
    ZoneName,
)
from lavenderstall.resources import NOTHING, Resources, check_not_negative

# Figures above 2**53 are not exact in every JSON library.
MAX_FIGURE = 2**53
Figure = Annotated[int, msgspec.Meta(ge=0, le=MAX_FIGURE)]
Revision = Figure
# A term that follows the epoch of any refusal leaves room for as many epochs again.
MAX_FENCED_EPOCH = 2**50
# An address with a host, and with a port of 1 to 65535 if any.
HTTP_URL_PATTERN = (
    r"^http://([A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\])"
    r"(:([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5]))?"
    r"(/[!-~]*)?\Z"
)
HttpUrl = Annotated[str, msgspec.Meta(pattern=HTTP_URL_PATTERN)]

HEADER_OWNER = "X-Owner"
HEADER_EPOCH = "X-Epoch"
HEADER_REQUEST = "X-Request-Id"
HEADER_ATTEMPT = "X-Attempt-Id"
HEADER_ATTEMPT_NUMBER = "X-Attempt"
HEADER_IDEMPOTENT = "X-Idempotent"
HEADER_DEADLINE = "X-Deadline-Ms"
HEADER_DIGEST = "X-Digest"
HEADER_INCARNATION = "X-Incarnation"


class Kind(Enum):
    """Kinds of tasks."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class TaskState(Enum):
    """States of a task."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class MemberState(Enum):
    """States of an instance on the membership list."""

    LIVE = "live"
    LEAVING = "leaving"


class RefusalReason(Enum):
    """Reasons for which a worker does not start work."""

    FULL = "full"
    LEAVING = "leaving"
    VOID = "void"
    NO_REPLICA = "no_replica"
    EXPIRED = "expired"
    CANCELLED = "cancelled"
    DUPLICATE = "duplicate"
    INCARNATION = "incarnation"


class TaskStart(msgspec.Struct, omit_defaults=True):
    """Ask a worker to start a task; `payload` is opaque to the scheduler."""

    task: TaskId
    job: JobId
    team: TeamName
    kind: Kind
    resources: Resources
    service: ServiceName = ServiceName("")
    idempotent: bool = True
    payload: dict[str, msgspec.Raw] = {}


class TaskStop(msgspec.Struct, omit_defaults=True):
    """Ask a worker to stop a task; a task not yet started is then refused when it arrives."""

    task: TaskId
    reason: str
    checkpoint: bool = False


class TaskThrottle(msgspec.Struct):
    """Ask a worker to limit the CPU of a task, in thousandths of a core."""

    task: TaskId
    cores_milli: int


class TasksRequest(msgspec.Struct, omit_defaults=True):
    """Task changes that an owner requests from one worker.

    A restarted worker no longer knows its epoch, so it refuses requests addressed to an earlier
    incarnation.
    """

    owner: EntryId
    epoch: Epoch
    starts: list[TaskStart] = []
    stops: list[TaskStop] = []
    throttles: list[TaskThrottle] = []
    incarnation: Incarnation = Incarnation("")


class TaskResult(msgspec.Struct, omit_defaults=True):
    """Result of one item of a `TasksRequest`."""

    task: TaskId
    accepted: bool
    reason: RefusalReason | None = None
    detail: str = ""


class TasksAnswer(msgspec.Struct):
    """Carry one result for each item, in the order starts, stops, throttles."""

    results: list[TaskResult]


class TaskReport(msgspec.Struct, omit_defaults=True):
    """Describe one task on a worker; `used` is a lagging measurement."""

    task: TaskId
    job: JobId
    team: TeamName
    kind: Kind
    state: TaskState
    resources: Resources
    service: ServiceName = ServiceName("")
    idempotent: bool = True
    used: Resources = NOTHING
    age_ms: Figure = 0
    detail: str = ""

    def __post_init__(self) -> None:
        check_not_negative(self.resources)
        check_not_negative(self.used)


class LeaseRequest(msgspec.Struct, omit_defaults=True):
    """Claim or renew a worker; `local` asks for a takeover without a table term.

    `echo_ms` is `clock_ms` of the last answer that the owner received. Task leases start from
    it, so that a delayed renewal cannot extend them; with 0 they are not extended.
    """

    owner: EntryId
    epoch: Epoch
    ownership_ms: int
    tasks_ms: int
    local: bool = False
    known: int = 0
    echo_ms: int = 0
    acknowledged: list[TaskId] = []


class LeaseAnswer(msgspec.Struct, omit_defaults=True):
    """Describe a worker; `tasks` are all (`full`) or those changed since `known`."""

    worker: WorkerId
    incarnation: Incarnation
    epoch: Annotated[Epoch, msgspec.Meta(ge=0, le=MAX_FIGURE)]
    capacity: Resources
    sequence: Figure
    full: bool
    clock_ms: Figure = 0
    leaving: bool = False
    tasks: list[TaskReport] = []
    finished: list[TaskReport] = []
    removed: list[TaskId] = []
    foreign_calls: Figure = 0

    def __post_init__(self) -> None:
        check_not_negative(self.capacity)


class Fenced(msgspec.Struct):
    """Reject a stale sender, with the owner and epoch that the worker accepts."""

    error: str
    owner: EntryId
    epoch: Annotated[Epoch, msgspec.Meta(ge=0, le=MAX_FENCED_EPOCH)]


class CallRefusal(msgspec.Struct, omit_defaults=True):
    """Report to a sender that a call was not run."""

    outcome: str
    reason: RefusalReason
    detail: str = ""


class Condition(msgspec.Struct, frozen=True):
    """Require a row to have a version; 0 means that it is absent."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True):
    """Write one row."""

    key: str
    value: msgspec.Raw


class Transaction(msgspec.Struct, frozen=True, omit_defaults=True):
    """Write rows together if all conditions hold."""

    conditions: list[Condition] = []
    puts: list[Put] = []
    deletes: list[str] = []


class Row(msgspec.Struct, frozen=True):
    """Hold one row; its version is the revision of the transaction that wrote it."""

    key: str
    version: Revision
    value: msgspec.Raw


class Committed(msgspec.Struct, frozen=True):
    """The revision at which a transaction was committed."""

    revision: Revision


class Conflicts(msgspec.Struct, frozen=True):
    """List the rows that did not meet a condition; an absent row is version 0 and `null`."""

    conflicts: list[Row]


class Rows(msgspec.Struct, frozen=True):
    """Hold the rows below a prefix in order of key, as of one revision."""

    revision: Revision
    rows: list[Row]


class WorkerMember(msgspec.Struct):
    """Describe a worker on the membership list; `pool` is the back end it belongs to."""

    id: Annotated[WorkerId, msgspec.Meta(min_length=1)]
    zone: ZoneName
    rack: RackName
    url: HttpUrl
    pool: str
    state: MemberState = MemberState.LIVE


class EntryMember(msgspec.Struct):
    """Describe an entry instance on the membership list."""

    id: Annotated[EntryId, msgspec.Meta(min_length=1)]
    zone: ZoneName
    link: str
    http: HttpUrl
    state: MemberState = MemberState.LIVE


class Members(msgspec.Struct):
    """The list of instances, which may lag; `as_of` is the list's own clock in seconds."""

    as_of: float
    workers: list[WorkerMember] = []
    entries: list[EntryMember] = []
