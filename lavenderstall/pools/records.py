"""Rows of the pool scheduler: tables, keys and values."""

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
# Accepted and cancelled jobs of a pool lie in so many parts, as a part serves its writes in turn.
SHARDS_PER_POOL = 8


# An owner that has not renewed for this long may be replaced, while the store answers quickly.
BASE_EXPIRY_MS = 1000.0


class Presence(Enum):
    """What is known of a row that was to be added."""

    PRESENT = "present"
    ABSENT = "absent"
    UNKNOWN = "unknown"


class OwnerRow(msgspec.Struct, omit_defaults=True):
    """Name the owner of a pool; `store_ms` is the store's clock when it last renewed.

    A pool is `released` once its owner has stopped to act. With `unrecorded`, tasks may be at work
    of which no progress row tells. `sequence` counts the transactions of this ownership. One that
    has not renewed for `expiry_ms` may be replaced.
    """

    entry: EntryId
    incarnation: Incarnation
    term: int
    renewed_ms: float = msgspec.field(default=0.0, name="store_ms")
    released: bool = False
    unrecorded: bool = False
    sequence: int = 0
    expiry_ms: float = BASE_EXPIRY_MS


class RosterRow(msgspec.Struct, omit_defaults=True):
    """List the workers that owners of a pool have used, as the registry may not show all."""

    workers: list[WorkerEntry] = []


class EntryRecord(msgspec.Struct, omit_defaults=True):
    """Describe an entry instance: where peers reach it, and its share of processors."""

    entry: EntryId
    incarnation: Incarnation
    zone: str
    link: str
    left: bool = False
    power: float = 1.0


def get_shard(pool: PoolName, job: str) -> str:
    """Return the part that holds the rows of a job as callers make them."""
    return f"{pool}/{crc32(job.encode()) % SHARDS_PER_POOL}"


def list_shards(pool: PoolName) -> list[str]:
    """Return the parts that hold the jobs of a pool."""
    return [f"{pool}/{number}" for number in range(SHARDS_PER_POOL)]


def encode(value: msgspec.Struct) -> bytes:
    """Return a row's value."""
    return msgspec.msgpack.encode(value)


def decode_job(value: bytes) -> AcceptedJob:
    """Return a job row's content."""
    return msgspec.msgpack.decode(value, type=AcceptedJob)


def decode_progress(value: bytes) -> JobProgress:
    """Return a progress row's content."""
    return msgspec.msgpack.decode(value, type=JobProgress)


def decode_owner(value: bytes) -> OwnerRow:
    """Return an owner row's content."""
    return msgspec.msgpack.decode(value, type=OwnerRow)
