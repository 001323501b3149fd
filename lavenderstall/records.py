"""Records stored as rows of the table service, and their keys."""

from typing import TypeVar
from zlib import crc32

import msgspec

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
from lavenderstall.protocol import Kind, Row
from lavenderstall.requests import NO_CONSTRAINTS, Constraints, Spread
from lavenderstall.resources import Resources

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


class EntryRow(msgspec.Struct):
    """Show that an entry instance is alive; `beat` grows with each renewal."""

    id: EntryId
    incarnation: Incarnation
    zone: ZoneName
    link: str
    http: str
    beat: int


class SliceRow(msgspec.Struct, omit_defaults=True):
    """Name the owner of a slice and the workers it may start tasks on; no owner means released."""

    slice: SliceName
    owner: EntryId
    incarnation: Incarnation
    term: int
    nonce: str
    workers: list[WorkerId] = []


class RacksRow(msgspec.Struct):
    """Assign the racks of a zone to slices by index; entries are only ever added."""

    racks: dict[RackName, int]
    nonce: str


class JobSpec(msgspec.Struct, omit_defaults=True):
    """Describe the tasks of a job; each needs `resources` and runs about `expected_ms`."""

    id: JobId
    team: TeamName
    kind: Kind
    tasks: int
    resources: Resources
    service: ServiceName = ServiceName("")
    pool: str = ""
    priority: int = 0
    idempotent: bool = True
    expected_ms: int = 0
    deadline_unix_ms: int = 0
    max_attempts: int = 3
    constraints: Constraints = NO_CONSTRAINTS
    spread: Spread | None = None
    payload: dict[str, msgspec.Raw] = {}


class JobRow(msgspec.Struct, omit_defaults=True):
    """An accepted job and the slices that its tasks were assigned to.

    `issued` is the number of replica indices issued so far; an index is never reused.
    """

    spec: JobSpec
    slices: list[SliceName]
    nonce: str
    cancelled: bool = False
    issued: int = 0


class TaskCrashes(msgspec.Struct, frozen=True, array_like=True):
    """How many workers were lost under a task, and how many of them it alone may have crashed.

    A task that has `started` since the last of them counts as having caused one more if the next
    owner finds its run nowhere.
    """

    total: int = 0
    sole: int = 0
    started: bool = False


NO_CRASHES = TaskCrashes()


class WorkRow(msgspec.Struct, omit_defaults=True):
    """The part of a job that is assigned to one slice; tasks are indices within the job.

    The row is the desired state of the slice: its owner starts unfinished tasks and stops
    running tasks that are not listed. One that was `rewritten` since its creation may be newer
    than starts of its tasks.
    """

    spec: JobSpec
    slice: SliceName
    tasks: list[int]
    nonce: str
    done: list[int] = []
    failed: list[int] = []
    unknown: list[int] = []
    stopped: list[int] = []
    bound: dict[int, WorkerId] = {}
    cancelled: bool = False
    crashes: dict[int, TaskCrashes] = {}
    rewritten: bool = False

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
    """Decode the value of a row.

    Raw fields keep a reference to the buffer they were decoded from. Without the copy this
    would be the whole response with all other rows.
    """
    return msgspec.json.decode(bytes(row.value), type=kind)


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
