"""Rows of the pool scheduler in the store: tables, keys and values."""

from collections.abc import Iterable, Mapping
from enum import Enum
from itertools import chain
from types import MappingProxyType
from zlib import crc32

import msgspec

from lavenderstall.decoding import UnreadableError, decode_msgpack, decode_with
from lavenderstall.identifiers import EntryId, Incarnation
from lavenderstall.pools.addresses import is_address
from lavenderstall.pools.job import AcceptedJob, EndedJob
from lavenderstall.pools.progress import JobProgress
from lavenderstall.pools.row_parts import join_parts, make_part_key, split_value
from lavenderstall.pools.unrecorded_starts import UnrecordedStarts
from lavenderstall.pools.work import (
    MAX_FIGURE,
    InvalidJobError,
    JobState,
    PoolName,
    check_job,
    check_queue,
)
from lavenderstall.pools.workers import WorkerEntry

JOBS = "jobs"
PROGRESS = "progress"
CANCELS = "cancels"
OWNERS = "owners"
ENTRIES = "entries"
OWNER_KEY = "owner"
ROSTER_KEY = "roster"
# Rows of submissions and cancellations are sharded, as a partition serializes its writes. A job's
# shard depends on nothing but its ID, so that the job is found under any configuration.
SHARDS = 16
LINK_SCHEME = "tcp://"
JOB_DECODER: msgspec.msgpack.Decoder[AcceptedJob | EndedJob] = msgspec.msgpack.Decoder(
    AcceptedJob | EndedJob
)
STATES = frozenset(state.value for state in JobState)


# Time without renewal after which an owner may be replaced if the store is fast.
BASE_EXPIRY_MS = 1000.0
# No owner of however slow a store asks for more.
MAX_EXPIRY_MS = 600_000.0


class Presence(Enum):
    """Whether a row is in the store after an attempt to add it.

    It is `ADDED` with the value of the attempt, or was `PRESENT` before with another one.
    """

    ADDED = "added"
    PRESENT = "present"
    ABSENT = "absent"
    UNKNOWN = "unknown"


PRESENCES = frozenset(presence.value for presence in Presence)
STORED = frozenset({Presence.ADDED, Presence.PRESENT})


class EarlierOwner(msgspec.Struct, frozen=True, array_like=True):
    """An earlier owner of a pool; its leases end by `leases_end_ms` on the store's clock.

    Those end by `owned_end_ms` that rest on its last renewal, at `renewed_ms` at the earliest; 0
    means that it is not known. It had `heard` some instances shortly before.
    """

    entry: EntryId
    term: int
    leases_end_ms: float
    owned_end_ms: float = 0.0
    renewed_ms: float = 0.0
    heard: tuple[EntryId, ...] = ()


class OwnerRow(msgspec.Struct, omit_defaults=True):
    """The owner of a pool; `renewed_ms` is the store's clock at its last renewal.

    A pool is `released` once its owner has stopped scheduling. With `unrecorded`, tasks may be
    running that are in no progress row. `sequence` counts the transactions of this ownership. An
    owner that hasn't renewed for `expiry_ms` may be replaced. `earlier` lists the owners before it
    whose leases may last; none means that they are not known. The leases that rest on this renewal
    end by `leases_end_ms` on the store's clock; 0 means that it is not known. Progress that was
    recorded by `settled_ms` on that clock tells of all starts that have no answer. `crashed_ms`
    tells when workers have crashed lately. `unrecorded_starts` tells where starts that are in no
    row may arrive. The owner had `heard` some instances shortly before the renewal.
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
    leases_end_ms: float = 0.0
    settled_ms: float = 0.0
    crashed_ms: list[float] = []
    unrecorded_starts: UnrecordedStarts | None = None
    heard: tuple[EntryId, ...] = ()


class LeaseEnd(msgspec.Struct, frozen=True, array_like=True):
    """When all leases on a worker that is silent end, on the store's clock."""

    worker: str
    incarnation: int
    end_ms: float


class RosterRow(msgspec.Struct, omit_defaults=True):
    """Workers used by owners of a pool, some of which the registry may not list.

    No owner extends a lease on a worker in `lease_ends` while the row says so. They hold for the
    successor of the owner of `term` alone, as others may not have heeded them. A row with `parts`
    has nothing else, and the whole lies in so many rows beside it.
    """

    workers: list[WorkerEntry] = []
    lease_ends: list[LeaseEnd] = []
    term: int = 0
    parts: int = 0


class EntryRecord(msgspec.Struct, omit_defaults=True):
    """An entry instance: its address for peers (`link`) and its processor share (`power`).

    An `isolated` one hears no instance of another zone.
    """

    entry: EntryId
    incarnation: Incarnation
    zone: str
    link: str
    left: bool = False
    power: float = 1.0
    isolated: bool = False


def get_shard(job: str) -> str:
    """Return the partition with the submission and cancellation rows of a job."""
    return f"shard-{crc32(job.encode()) % SHARDS}"


def list_shards() -> list[str]:
    """Return the partitions with the submission and cancellation rows of all jobs."""
    return [f"shard-{number}" for number in range(SHARDS)]


def encode(value: msgspec.Struct) -> bytes:
    """Encode the value of a row."""
    return msgspec.msgpack.encode(value)


def encode_cancellation(pool: PoolName) -> bytes:
    """Encode the value of a cancellation row: the pool of the job."""
    return pool.encode()


def decode_job(value: bytes) -> AcceptedJob | EndedJob:
    """Decode the value of a job row, or raise `UnreadableError`."""
    found = decode_with(JOB_DECODER.decode, value)
    if isinstance(found, EndedJob):
        return found
    try:
        check_queue(found.queue)
        check_job(found.spec)
    except InvalidJobError as error:
        raise UnreadableError(str(error)) from error
    return found


def encode_progress(job: str, progress: JobProgress, limit: int) -> dict[str, bytes]:
    """Return the values of a job's progress rows by key, each of at most `limit` bytes.

    That of a job that has ended is one row, without late starts if they take too much.
    """
    value = encode(progress)
    if len(value) <= limit:
        return {job: value}
    if progress.is_final():
        return {job: encode(JobProgress(progress.state))}
    parts = split_value(value, limit)
    return {job: encode(JobProgress(progress.state, parts=len(parts))), **name_parts(job, parts)}


def encode_roster(roster: RosterRow, limit: int) -> dict[str, bytes]:
    """Return the values of the roster rows by key, each of at most `limit` bytes."""
    value = encode(roster)
    if len(value) <= limit:
        return {ROSTER_KEY: value}
    parts = split_value(value, limit)
    return {ROSTER_KEY: encode(RosterRow(parts=len(parts))), **name_parts(ROSTER_KEY, parts)}


def name_parts(key: str, parts: Iterable[bytes]) -> dict[str, bytes]:
    """Return the parts of a value by key."""
    return {make_part_key(key, number): part for number, part in enumerate(parts, start=1)}


def decode_progress(
    value: bytes, key: str = "", parts: Mapping[str, bytes] | None = None
) -> JobProgress:
    """Decode the value of a progress row, or raise `UnreadableError`.

    `parts` are all parts that were read; with none given, a row that has any tells the state alone.
    """
    progress = decode_msgpack(value, JobProgress)
    if progress.parts and parts is not None:
        progress = decode_msgpack(join_parts(key, progress.parts, parts), JobProgress)
    if progress.state not in STATES:
        raise UnreadableError(f"{progress.state[:20]!r} is no state of a job")
    return progress


def decode_roster(value: bytes, parts: Mapping[str, bytes] = MappingProxyType({})) -> RosterRow:
    """Decode the value of a roster row, with its parts, or raise `UnreadableError`."""
    roster = decode_msgpack(value, RosterRow)
    if roster.parts:
        roster = decode_msgpack(join_parts(ROSTER_KEY, roster.parts, parts), RosterRow)
    if not all(0 <= each.end_ms <= MAX_FIGURE for each in roster.lease_ends):
        raise UnreadableError("the roster row has an end of leases out of bounds")
    return roster


def decode_owner(value: bytes) -> OwnerRow:
    """Decode the value of an owner row, or raise `UnreadableError`."""
    owner = decode_msgpack(value, OwnerRow)
    figures = [owner.term, owner.sequence, owner.renewed_ms, owner.leases_end_ms]
    figures += [owner.settled_ms, *owner.crashed_ms]
    if owner.unrecorded_starts is not None:
        figures += [owner.unrecorded_starts.term, owner.unrecorded_starts.arrive_by_ms]
    figures += chain.from_iterable(
        (each.term, each.leases_end_ms, each.owned_end_ms, each.renewed_ms)
        for each in owner.earlier or ()
    )
    in_bounds = all(0 <= figure <= MAX_FIGURE for figure in figures)
    if not in_bounds or not 0 <= owner.expiry_ms <= MAX_EXPIRY_MS:
        raise UnreadableError("the owner row has a figure out of bounds")
    return owner


def decode_entry(key: str, value: bytes) -> EntryRecord:
    """Decode the row of an entry instance, or raise `UnreadableError`."""
    record = decode_msgpack(value, EntryRecord)
    if not key or record.entry != key:
        raise UnreadableError(f"it holds instance {record.entry[:20]!r}")
    if not record.link.startswith(LINK_SCHEME) or not is_address(
        record.link.removeprefix(LINK_SCHEME)
    ):
        raise UnreadableError(f"{record.link[:40]!r} is no link")
    if not 0 <= record.power <= MAX_FIGURE:
        raise UnreadableError("its power is out of bounds")
    return record
