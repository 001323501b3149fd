"""Rows of the pool scheduler in the store: tables, keys and values."""

from enum import Enum
from zlib import crc32

import msgspec

from lavenderstall.identifiers import EntryId, Incarnation
from lavenderstall.pools.job import AcceptedJob, JobProgress
from lavenderstall.pools.work import PoolName
from lavenderstall.pools.workers import WorkerEntry

JOBS = "jobs"
PROGRESS = "progress"
CANCELS = "cancels"
OWNERS = "owners"
ENTRIES = "entries"
OWNER_KEY = "owner"
ROSTER_KEY = "roster"
# Rows of submissions and cancellations are sharded, as a partition serializes its writes.
SHARDS_PER_POOL = 8


# Time without renewal after which an owner may be replaced if the store is fast.
BASE_EXPIRY_MS = 1000.0


class Presence(Enum):
    """Whether a row is in the store after an attempt to add it."""

    PRESENT = "present"
    ABSENT = "absent"
    UNKNOWN = "unknown"


class EarlierOwner(msgspec.Struct, frozen=True, array_like=True):
    """An earlier owner of a pool; its leases end by `leases_end_ms` on the store's clock."""

    entry: EntryId
    term: int
    leases_end_ms: float


class OwnerRow(msgspec.Struct, omit_defaults=True):
    """The owner of a pool; `renewed_ms` is the store's clock at its last renewal.

    A pool is `released` once its owner has stopped scheduling. With `unrecorded`, tasks may be
    running that are in no progress row. `sequence` counts the transactions of this ownership. An
    owner that hasn't renewed for `expiry_ms` may be replaced. `earlier` lists the owners before it
    whose leases may last; none means that they are not known.
    """

    entry: EntryId
    incarnation: Incarnation
    term: int
    renewed_ms: float = msgspec.field(default=0.0, name="store_ms")
    released: bool = False
    unrecorded: bool = False
    sequence: int = 0
    expiry_ms: float = BASE_EXPIRY_MS
    earlier: list[EarlierOwner] | None = None


class LeaseEnd(msgspec.Struct, frozen=True, array_like=True):
    """When all leases on a worker that is silent end, on the store's clock."""

    worker: str
    incarnation: int
    end_ms: float


class RosterRow(msgspec.Struct, omit_defaults=True):
    """Workers used by owners of a pool, some of which the registry may not list.

    No owner extends a lease on a worker in `lease_ends` while the row says so. They hold for the
    successor of the owner of `term` alone, as others may not have heeded them.
    """

    workers: list[WorkerEntry] = []
    lease_ends: list[LeaseEnd] = []
    term: int = 0


class EntryRecord(msgspec.Struct, omit_defaults=True):
    """An entry instance: its address for peers (`link`) and its processor share (`power`)."""

    entry: EntryId
    incarnation: Incarnation
    zone: str
    link: str
    left: bool = False
    power: float = 1.0


def get_shard(pool: PoolName, job: str) -> str:
    """Return the partition with the submission and cancellation rows of a job."""
    return f"{pool}/{crc32(job.encode()) % SHARDS_PER_POOL}"


def list_shards(pool: PoolName) -> list[str]:
    """Return the partitions with the submission and cancellation rows of a pool."""
    return [f"{pool}/{number}" for number in range(SHARDS_PER_POOL)]


def encode(value: msgspec.Struct) -> bytes:
    """Encode the value of a row."""
    return msgspec.msgpack.encode(value)


def decode_job(value: bytes) -> AcceptedJob:
    """Decode the value of a job row."""
    return msgspec.msgpack.decode(value, type=AcceptedJob)


def decode_progress(value: bytes) -> JobProgress:
    """Decode the value of a progress row."""
    return msgspec.msgpack.decode(value, type=JobProgress)


def decode_owner(value: bytes) -> OwnerRow:
    """Decode the value of an owner row."""
    return msgspec.msgpack.decode(value, type=OwnerRow)
