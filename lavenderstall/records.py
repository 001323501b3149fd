"""Records stored as rows of the table service, and their keys."""

from collections.abc import Callable, Iterable
from typing import Annotated, TypeVar
from zlib import crc32

import msgspec

from lavenderstall.decoding import UnreadableError, decode_json
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import (
    EntryId,
    Incarnation,
    JobId,
    RackName,
    RequestId,
    ServiceName,
    SliceName,
    TeamName,
    Version,
    WorkerId,
    ZoneName,
)
from lavenderstall.protocol import MAX_FIGURE, Figure, Kind, Row
from lavenderstall.requests import NO_CONSTRAINTS, Constraints, Spread
from lavenderstall.resources import Resources, check_not_negative
from lavenderstall.set_aside import SetAside

T = TypeVar("T")

PREFIX_ENTRY = "entry/"
PREFIX_SLICE = "slice/"
PREFIX_JOB = "job/"
PREFIX_WORK = "work/"
PREFIX_BINDING = "once/"
PREFIX_CONFIG = "config/"
PREFIX_CHANGE = "change/"
KEY_CONFIG_HEAD = "config/head"

BINDING_BUCKETS = 256
# The epochs of any term are figures that a worker can report.
MAX_TERM = 2**42
MAX_SLICE_INDEX = 100_000
REASON_UNREADABLE = "unreadable_row"


class UnreadableRowError(LavenderstallError):
    """A row can't be read; `peer` is its key."""


class EntryRow(msgspec.Struct):
    """Show that an entry instance is alive; `beat` grows with each renewal."""

    id: EntryId
    incarnation: Incarnation
    zone: ZoneName
    link: str
    http: str
    beat: Figure


class SliceRow(msgspec.Struct, omit_defaults=True):
    """Name the owner of a slice and the workers it may start tasks on; no owner means released."""

    slice: SliceName
    owner: EntryId
    incarnation: Incarnation
    term: Annotated[int, msgspec.Meta(ge=0, le=MAX_TERM)]
    nonce: str
    workers: list[WorkerId] = []


class RacksRow(msgspec.Struct):
    """Assign the racks of a zone to slices by index; entries are only ever added."""

    racks: dict[RackName, Annotated[int, msgspec.Meta(ge=0, le=MAX_SLICE_INDEX)]]
    nonce: str


class JobSpec(msgspec.Struct, omit_defaults=True):
    """Describe the tasks of a job; each needs `resources` and runs about `expected_ms`."""

    id: JobId
    team: TeamName
    kind: Kind
    tasks: Figure
    resources: Resources
    service: ServiceName = ServiceName("")
    pool: str = ""
    priority: Annotated[int, msgspec.Meta(ge=-MAX_FIGURE, le=MAX_FIGURE)] = 0
    idempotent: bool = True
    expected_ms: Figure = 0
    deadline_unix_ms: Figure = 0
    max_attempts: Figure = 3
    constraints: Constraints = NO_CONSTRAINTS
    spread: Spread | None = None
    payload: dict[str, msgspec.Raw] = {}

    def __post_init__(self) -> None:
        check_not_negative(self.resources)


class JobRow(msgspec.Struct, omit_defaults=True):
    """An accepted job and the slices that its tasks were assigned to.

    `issued` is the number of replica indices issued so far; an index is never reused.
    """

    spec: JobSpec
    slices: list[SliceName]
    nonce: str
    cancelled: bool = False
    issued: Figure = 0


class TaskCrashes(msgspec.Struct, frozen=True, array_like=True):
    """How many workers were lost under a task, and how many of them it alone may have crashed.

    A task that has `started` since the last of them counts as having caused one more if the next
    owner finds its run nowhere.
    """

    total: Figure = 0
    sole: Figure = 0
    started: bool = False


NO_CRASHES = TaskCrashes()


class WorkRow(msgspec.Struct, omit_defaults=True):
    """The part of a job that is assigned to one slice; tasks are indices within the job.

    The row is the desired state of the slice: its owner starts unfinished tasks and stops
    running tasks that are not listed.
    """

    spec: JobSpec
    slice: SliceName
    tasks: list[Figure]
    nonce: str
    done: list[Figure] = []
    failed: list[Figure] = []
    unknown: list[Figure] = []
    stopped: list[Figure] = []
    bound: dict[Figure, WorkerId] = {}
    cancelled: bool = False
    crashes: dict[Figure, TaskCrashes] = {}

    def list_open(self) -> list[int]:
        """Return the unfinished tasks."""
        ended = {*self.done, *self.failed, *self.unknown, *self.stopped}
        return [index for index in self.tasks if index not in ended]


class RequestBindingRow(msgspec.Struct):
    """Bind a non-idempotent request to one worker incarnation."""

    request: RequestId
    slice: SliceName
    worker: WorkerId
    incarnation: Incarnation
    nonce: str
    bound_unix: float = 0.0


class HeadRow(msgspec.Struct):
    """The number of the newest accepted change, which is the version of the configuration."""

    version: Version
    nonce: str


def encode_row(value: msgspec.Struct) -> msgspec.Raw:
    """Encode a record as the value of a row."""
    return msgspec.Raw(msgspec.json.encode(value))


def decode_row(row: Row, kind: type[T]) -> T:
    """Decode the value of a row, or raise `UnreadableRowError`.

    Raw fields keep a reference to the buffer they were decoded from. Without the copy this
    would be the whole response with all other rows.
    """
    try:
        return decode_json(bytes(row.value), kind)
    except UnreadableError as error:
        raise UnreadableRowError(str(error), step="decode row", peer=row.key) from error


def decode_rows(
    rows: Iterable[Row], kind: type[T], make_key: Callable[[T], str] | None, set_aside: SetAside
) -> tuple[list[tuple[Row, T]], list[Row]]:
    """Return the rows with their decoded values, and those that are set aside.

    A value whose `make_key` is not the key of its row would stand for another row; with no
    `make_key` this is not checked.
    """
    readable: list[tuple[Row, T]] = []
    unreadable: list[Row] = []
    for row in rows:
        try:
            value = decode_row(row, kind)
            if make_key is not None and make_key(value) != row.key:
                raise UnreadableRowError("the value names another row", step="decode row")
        except UnreadableRowError as error:
            set_aside.add(row.key, row.version, error)
            unreadable.append(row)
        else:
            readable.append((row, value))
    return readable, unreadable


def make_entry_key(entry: EntryId) -> str:
    """Return the key of an entry instance's liveness row."""
    return f"{PREFIX_ENTRY}{entry}"


def make_slice_key(name: SliceName) -> str:
    """Return the key of a slice's ownership row."""
    return f"{PREFIX_SLICE}{name}"


def make_racks_key(zone: ZoneName) -> str:
    """Return the key of the row that assigns the racks of a zone to slices."""
    return f"{PREFIX_SLICE}{zone}/racks"


def make_job_key(job: JobId) -> str:
    """Return the key of a job's row."""
    return f"{PREFIX_JOB}{job}"


def make_work_key(name: SliceName, job: JobId) -> str:
    """Return the key of a slice's part of a job."""
    return f"{PREFIX_WORK}{name}/{job}"


def make_binding_key(team: TeamName, request: RequestId) -> str:
    """Return the key of the binding of a non-idempotent request."""
    bucket = crc32(request.encode()) % BINDING_BUCKETS
    return f"{make_binding_prefix(bucket)}{team}/{request}"


def make_binding_prefix(bucket: int) -> str:
    """Return the prefix of one bucket of bindings; cleanup scans one bucket at a time."""
    return f"{PREFIX_BINDING}{bucket:02x}/"
