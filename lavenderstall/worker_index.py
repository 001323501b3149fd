"""Workers of a slice, indexed by their available resources."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from lavenderstall.identifiers import (
    Incarnation,
    RackName,
    ServiceName,
    TaskId,
    TeamName,
    WorkerId,
    ZoneName,
)
from lavenderstall.protocol import Kind
from lavenderstall.resources import NOTHING, Resources

DIMENSIONS = ("cores_milli", "memory_mb", "accelerators")
BUCKET_COUNT = 192


class Charge(msgspec.Struct):
    """Resources that one task is charged on one worker."""

    task: TaskId
    resources: Resources
    kind: Kind | None = None
    team: TeamName = TeamName("")
    service: ServiceName = ServiceName("")
    expected_end_s: float = float("inf")
    anti_affinity: frozenset[ServiceName] = frozenset()
    excludes_from_rack: bool = False


class WorkerGroupKey(msgspec.Struct, frozen=True):
    """Workers of a group are interchangeable but for rack and available resources."""

    pool: str
    zone: ZoneName
    labels: frozenset[str]
    accelerated: bool


class WorkerState(msgspec.Struct, eq=False):
    """State of a worker; `SliceState` maintains the fields from `available` on."""

    id: WorkerId
    zone: ZoneName
    rack: RackName
    pool: str
    labels: frozenset[str]
    capacity: Resources
    incarnation: Incarnation
    leaving: bool = False
    quarantined: bool = False
    draining: bool = False
    silent: bool = False
    available: Resources = NOTHING
    tasks: dict[TaskId, Charge] = {}
    services: dict[ServiceName, int] = {}
    excluded_services: dict[ServiceName, int] = {}
    group: WorkerGroup = None  # type: ignore[assignment]
    buckets: list[int] = []
    positions: list[int] = []

    @property
    def in_service(self) -> bool:
        """Tell whether new tasks may start on the worker."""
        return not (self.leaving or self.quarantined or self.draining or self.silent)


def quantise(amount: int) -> int:
    """Return the bucket number of an amount, four buckets to each power of two."""
    if amount < 8:
        return max(amount, 0)
    shift = amount.bit_length() - 3
    return shift * 4 + (amount >> shift)


class Bucket:
    """Workers with similar amounts available in one dimension, and an upper bound in all."""

    __slots__ = ("bound", "cursor", "workers")

    def __init__(self) -> None:
        self.workers: list[WorkerState] = []
        self.bound = NOTHING
        self.cursor = 0

    def raise_bound(self, available: Resources) -> None:
        """Raise the bound to at least these resources."""
        if not available.fits(self.bound):
            self.bound = find_maximum(self.bound, available)

    def tighten_bound(self) -> None:
        """Set the bound to the largest available amount of each component."""
        bound = NOTHING
        for worker in self.workers:
            if not worker.available.fits(bound):
                bound = find_maximum(bound, worker.available)
        self.bound = bound


def find_maximum(first: Resources, second: Resources) -> Resources:
    """Return the componentwise maximum."""
    return Resources(
        max(first.cores_milli, second.cores_milli),
        max(first.memory_mb, second.memory_mb),
        max(first.accelerators, second.accelerators),
        max(first.slots, second.slots),
        max(first.connections, second.connections),
    )


def find_shortage(need: Resources, available: Resources) -> Resources:
    """Return how much of each component is missing."""
    return Resources(
        max(need.cores_milli - available.cores_milli, 0),
        max(need.memory_mb - available.memory_mb, 0),
        max(need.accelerators - available.accelerators, 0),
        max(need.slots - available.slots, 0),
        max(need.connections - available.connections, 0),
    )


def count_fits(need: Resources, available: Resources, limit: int) -> int:
    """Return how many times a need fits into available resources, at most `limit`.

    Nothing fits if any available component is negative.
    """
    if not need.fits(available):
        return 0
    count = limit
    for name in need.__struct_fields__:
        amount = getattr(need, name)
        if amount:
            count = min(count, getattr(available, name) // amount)
    return count


class WorkerIndex:
    """Workers by available resources in each dimension; a search skips those too full."""

    def __init__(self) -> None:
        self._tables = [[Bucket() for _ in range(BUCKET_COUNT)] for _ in DIMENSIONS]
        self._highest_bucket = 0
        self.count = 0

    def add(self, worker: WorkerState) -> None:
        """Add a worker."""
        worker.buckets = [-1] * len(DIMENSIONS)
        worker.positions = [0] * len(DIMENSIONS)
        self.count += 1
        self._highest_bucket = max(
            self._highest_bucket, *(quantise(getattr(worker.capacity, n)) for n in DIMENSIONS)
        )
        self.update(worker)

    def remove(self, worker: WorkerState) -> None:
        """Remove a worker."""
        self.count -= 1
        for number, table in enumerate(self._tables):
            self._remove_from_bucket(table, number, worker)

    def update(self, worker: WorkerState) -> None:
        """Move a worker to the buckets of its available resources."""
        available = worker.available
        amounts = (available.cores_milli, available.memory_mb, available.accelerators)
        for number, amount in enumerate(amounts):
            table = self._tables[number]
            bucket_number = quantise(amount)
            if bucket_number != worker.buckets[number]:
                if worker.buckets[number] >= 0:
                    self._remove_from_bucket(table, number, worker)
                workers = table[bucket_number].workers
                worker.buckets[number] = bucket_number
                worker.positions[number] = len(workers)
                workers.append(worker)
            table[bucket_number].raise_bound(available)

    def find_fitting(
        self,
        need: Resources,
        dimension: str,
        limit: int,
        predicate: Callable[[WorkerState], Any] | None = None,
        *,
        most_available_first: bool = False,
    ) -> list[WorkerState]:
        """Return up to `limit` workers on which a need fits, least available first or last.

        The result is empty only if the need fits no worker that meets the predicate.
        """
        table = self._tables[DIMENSIONS.index(dimension)]
        order = range(quantise(getattr(need, dimension)), self._highest_bucket + 1)
        found: list[WorkerState] = []
        for number in reversed(order) if most_available_first else order:
            bucket = table[number]
            if bucket.workers and need.fits(bucket.bound):
                self._search_bucket(bucket, need, limit - len(found), predicate, found)
                if len(found) >= limit:
                    break
        return found

    def _search_bucket(
        self,
        bucket: Bucket,
        need: Resources,
        limit: int,
        predicate: Callable[[WorkerState], Any] | None,
        found: list[WorkerState],
    ) -> None:
        """Search one bucket, starting where the last search succeeded."""
        workers = bucket.workers
        start = bucket.cursor if bucket.cursor < len(workers) else 0
        fitting_count = 0
        for offset in range(start - len(workers), start):
            worker = workers[offset]
            if not need.fits(worker.available):
                continue
            fitting_count += 1
            if predicate is None or predicate(worker):
                if limit and fitting_count == 1:
                    bucket.cursor = offset % len(workers)
                found.append(worker)
                limit -= 1
                if limit <= 0:
                    return
        if not fitting_count:
            bucket.tighten_bound()

    def _remove_from_bucket(self, table: list[Bucket], number: int, worker: WorkerState) -> None:
        """Remove a worker by moving the last of its bucket into its position."""
        bucket = table[worker.buckets[number]]
        last = bucket.workers.pop()
        if last is not worker:
            position = worker.positions[number]
            bucket.workers[position] = last
            last.positions[number] = position
        if not bucket.workers:
            bucket.bound = NOTHING


class WorkerGroup:
    """Workers of one key: an index of those in service, and the capacities of all."""

    def __init__(self, key: WorkerGroupKey) -> None:
        self.key = key
        self.index = WorkerIndex()
        self.capacities: dict[Resources, int] = {}
        self.capacity = NOTHING
        self.used = NOTHING

    def find_scarcest(self, need: Resources) -> str:
        """Return the needed dimension of which the largest fraction is in use."""
        scarcest, highest = DIMENSIONS[0], -1.0
        for name in DIMENSIONS:
            total = getattr(self.capacity, name)
            if total and getattr(need, name):
                fraction = getattr(self.used, name) / total
                if fraction > highest:
                    scarcest, highest = name, fraction
        return scarcest
