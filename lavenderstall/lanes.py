"""Parts of the fair queue: heaps with lazy removal, shapes, teams and kinds."""

from __future__ import annotations

import heapq
from math import inf

import msgspec

from lavenderstall.identifiers import TeamName
from lavenderstall.protocol import Kind
from lavenderstall.reasons import Reason
from lavenderstall.requests import Constraints, TaskRequest
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.rooms import quantise

COMPACT_AT = 32
"""A heap is rebuilt when more entries than this and half of all are withdrawn."""

DURATION_BITS = 4
"""Run times are often declared wrong by a factor of ten, so finer shapes would not differ."""


class Waiting(msgspec.Struct, eq=False, gc=False):
    """A waiting request; `since` is when it was first pushed, the lowest rank goes first."""

    request: TaskRequest
    since: float
    rank: float
    number: int
    shape: Shape
    lane: Lane
    alive: bool = True


class LazyHeap:
    """A heap that removes withdrawn entries when it meets them or when they are too many."""

    __slots__ = ("_dead", "_heap")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Waiting]] = []
        self._dead = 0

    def push(self, key: float, waiting: Waiting) -> None:
        """Add an entry."""
        heapq.heappush(self._heap, (key, waiting.number, waiting))

    def peek(self) -> Waiting | None:
        """Return the entry with the lowest key."""
        heap = self._heap
        while heap and not heap[0][2].alive:
            heapq.heappop(heap)
            self._dead -= 1
        return heap[0][2] if heap else None

    def note_withdrawn(self) -> None:
        """Count an entry whose `alive` was cleared."""
        self._dead += 1
        if self._dead > COMPACT_AT and self._dead * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].alive]
            heapq.heapify(self._heap)
            self._dead = 0


class ShapeKey(msgspec.Struct, frozen=True):
    """What a failed fit depends on; amounts of cores and memory are exact or buckets below 0."""

    kind: Kind
    service: str
    pool: str
    constraints: Constraints
    cores: int
    memory: int
    accelerators: int
    slots: int
    connections: int
    tasks: int
    duration: int


def make_shape_key(request: TaskRequest, *, exact: bool) -> ShapeKey:
    """Return the shape of a request; the run time counts in powers of 16."""
    need = request.resources
    cores, memory = need.cores_milli, need.memory_mb
    if not exact:
        cores, memory = -quantise(cores), -quantise(memory)
    return ShapeKey(
        request.kind,
        request.service,
        request.pool,
        request.constraints,
        cores,
        memory,
        need.accelerators,
        need.slots,
        need.connections,
        len(request.tasks),
        request.expected_ms.bit_length() // DURATION_BITS,
    )


class Shape:
    """Waiting requests of one shape; it is closed after one of them did not fit."""

    __slots__ = (
        "closed_since",
        "key",
        "kind",
        "lanes",
        "missing",
        "need",
        "open",
        "reason",
        "waiting",
    )

    def __init__(self, key: ShapeKey, kind: KindLanes, need: Resources) -> None:
        self.key = key
        self.kind = kind
        self.need = need
        self.lanes: dict[Lane, LazyHeap] = {}
        self.open = True
        self.waiting = 0
        self.missing = 0
        self.closed_since = inf
        self.reason: Reason | None = None

    def note_smaller(self, need: Resources) -> None:
        """Lower the need to the smallest that waits."""
        if not self.need.fits(need):
            pairs = zip(msgspec.structs.astuple(self.need), msgspec.structs.astuple(need))  # noqa: B905
            self.need = Resources(*(min(pair) for pair in pairs))


def implies_misfit(need: Resources, key: ShapeKey, other: Shape) -> bool:
    """Tell whether a shape cannot fit where a need of another shape has no room."""
    theirs = other.key
    return (
        key.pool == theirs.pool
        and key.service == theirs.service
        and (key.accelerators > 0) == (theirs.accelerators > 0)
        and key.tasks <= theirs.tasks
        and need.fits(other.need)
        and key.constraints == theirs.constraints
    )


class Lane:
    """Waiting requests of one kind and team, by shape."""

    __slots__ = ("kind", "parked", "passed_over", "shapes", "stamp", "team", "waiting")

    def __init__(self, kind: KindLanes, team: TeamName) -> None:
        self.kind = kind
        self.team = team
        self.shapes: dict[Shape, LazyHeap] = {}
        self.waiting = 0
        self.stamp = 0
        self.parked = True
        self.passed_over: Reason | None = None


class KindLanes:
    """Lanes of one kind in order of their weighted use."""

    __slots__ = ("active", "ages", "heap", "held", "kind", "lanes", "open_waiting", "waiting")

    def __init__(self, kind: Kind) -> None:
        self.kind = kind
        self.lanes: dict[TeamName, Lane] = {}
        self.heap: list[tuple[float, int, int, Lane]] = []
        self.active: dict[TeamName, float] = {}
        self.held: dict[Lane, None] = {}
        self.ages = LazyHeap()
        self.open_waiting = 0
        self.waiting = 0

    def enter(self, lane: Lane, key: float, number: int) -> None:
        """Give a lane a place in the order, and void its earlier one."""
        lane.stamp += 1
        lane.parked = False
        heapq.heappush(self.heap, (key, number, lane.stamp, lane))

    def take_first(self) -> tuple[float, Lane] | None:
        """Remove and return the first lane and its key."""
        while self.heap:
            key, _, stamp, lane = heapq.heappop(self.heap)
            if stamp == lane.stamp and not lane.parked:
                return key, lane
        return None


def measure_dominant(used: Resources, capacity: Resources) -> float:
    """Return the largest part of any resource that is in use."""
    part = 0.0
    if capacity.cores_milli:
        part = used.cores_milli / capacity.cores_milli
    if capacity.memory_mb:
        part = max(part, used.memory_mb / capacity.memory_mb)
    if capacity.accelerators:
        part = max(part, used.accelerators / capacity.accelerators)
    if capacity.slots:
        part = max(part, used.slots / capacity.slots)
    return part


class Team(msgspec.Struct):
    """Weight and quota of a team."""

    weight: float = 1.0
    quota: Resources | None = None
    used: Resources = NOTHING
