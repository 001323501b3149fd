"""Parts of the fair queue: backlogs by shape, lanes by team and kind."""

from __future__ import annotations

import heapq
from collections import deque
from math import inf

import msgspec

from lavenderstall.identifiers import JobId, TaskId, TeamName
from lavenderstall.protocol import Kind
from lavenderstall.reasons import Reason
from lavenderstall.requests import Constraints, TaskRequest
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.worker_index import quantise

COMPACT_MIN_WITHDRAWN = 32
"""A level is compacted when more than this and more than half are withdrawn."""
DURATION_STEP_BITS = 4
"""Run times are often declared wrong by a factor of ten, so finer steps add nothing."""


class Waiting(msgspec.Struct, eq=False, gc=False):
    """A waiting request; `since` is when it was first pushed, the lowest rank goes first.

    Ids are copied from the request, because mass cancellation is bound by memory access.
    """

    request: TaskRequest
    tasks: tuple[TaskId, ...]
    job: JobId
    priority: int
    since: float
    rank: float
    shape: Shape
    lane: Lane
    is_waiting: bool = True


class Level:
    """Requests of one priority in order of arrival; withdrawn ones are skipped later.

    Compaction in order of arrival reads memory in sequence, unlike removal in random order.
    """

    __slots__ = ("requests", "withdrawn")

    def __init__(self) -> None:
        self.requests: deque[Waiting] = deque()
        self.withdrawn = 0

    def withdraw_one(self) -> bool:
        """Count a withdrawn request; tell whether any other still waits."""
        self.withdrawn += 1
        size = len(self.requests)
        if self.withdrawn > COMPACT_MIN_WITHDRAWN and self.withdrawn * 2 > size:
            self.requests = deque(waiting for waiting in self.requests if waiting.is_waiting)
            self.withdrawn = 0
            return bool(self.requests)
        return self.withdrawn < size

    def peek(self) -> Waiting:
        """Return the first request still waiting; there must be one."""
        requests = self.requests
        while not requests[0].is_waiting:
            requests.popleft()
            self.withdrawn -= 1
        return requests[0]


class Backlog:
    """Requests in order of arrival by priority."""

    __slots__ = ("levels",)

    def __init__(self) -> None:
        self.levels: dict[int, Level] = {}

    def add(self, waiting: Waiting) -> None:
        """Add a request at the end, or at the start if it is older than all others."""
        level = self.levels.get(waiting.priority)
        if level is None:
            level = self.levels[waiting.priority] = Level()
        elif waiting.since < level.peek().since:
            level.requests.appendleft(waiting)
            return
        level.requests.append(waiting)

    def remove(self, waiting: Waiting) -> None:
        """Withdraw a request."""
        waiting.is_waiting = False
        if not self.levels[waiting.priority].withdraw_one():
            del self.levels[waiting.priority]

    def peek(self) -> Waiting | None:
        """Return the request with the lowest rank."""
        best: Waiting | None = None
        for level in self.levels.values():
            head = level.peek()
            if best is None or head.rank < best.rank:
                best = head
        return best

    def find_oldest(self) -> float:
        """Return since when the oldest request has waited, infinity if there is none."""
        return min((level.peek().since for level in self.levels.values()), default=inf)


class ShapeKey(msgspec.Struct, frozen=True):
    """What a placement depends on; cores and memory are exact, or negated bucket numbers."""

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
        request.expected_ms.bit_length() // DURATION_STEP_BITS,
    )


class Shape:
    """Equivalence class of waiting requests; closed (not tried) after one did not fit.

    It is `feasible` once a decision found that it fits the slice when empty.
    """

    __slots__ = (
        "closed_since",
        "key",
        "kind",
        "lanes",
        "missing",
        "need",
        "open",
        "reason",
        "feasible",
        "waiting",
    )

    def __init__(self, key: ShapeKey, kind: KindLanes, need: Resources) -> None:
        self.key = key
        self.kind = kind
        self.need = need
        self.lanes: dict[Lane, Backlog] = {}
        self.open = True
        self.feasible = False
        self.waiting = 0
        self.missing = 0
        self.closed_since = inf
        self.reason: Reason | None = None

    def lower_need(self, need: Resources) -> None:
        """Lower the need to the componentwise minimum with a request."""
        if not self.need.fits(need):
            pairs = zip(msgspec.structs.astuple(self.need), msgspec.structs.astuple(need))  # noqa: B905
            self.need = Resources(*(min(pair) for pair in pairs))


def implies_no_fit(need: Resources, key: ShapeKey, other: Shape) -> bool:
    """Tell whether a shape cannot fit either if a need with this key did not."""
    other_key = other.key
    return (
        key.pool == other_key.pool
        and key.service == other_key.service
        and (key.accelerators > 0) == (other_key.accelerators > 0)
        and key.tasks <= other_key.tasks
        and need.fits(other.need)
        and key.constraints == other_key.constraints
    )


class Lane:
    """Waiting requests of one kind and team, by shape; a parked lane has no valid heap entry."""

    __slots__ = ("heap_version", "kind", "parked", "passed_over", "shapes", "team", "waiting")

    def __init__(self, kind: KindLanes, team: TeamName) -> None:
        self.kind = kind
        self.team = team
        self.shapes: dict[Shape, Backlog] = {}
        self.waiting = 0
        self.heap_version = 0
        self.parked = True
        self.passed_over: Reason | None = None


class KindLanes:
    """Lanes of one kind in order of their weighted use."""

    __slots__ = (
        "active_weights",
        "total_active_weight",
        "heap",
        "held_back",
        "kind",
        "lanes",
        "open_waiting",
        "waiting",
    )

    def __init__(self, kind: Kind) -> None:
        self.kind = kind
        self.lanes: dict[TeamName, Lane] = {}
        self.heap: list[tuple[float, int, int, Lane]] = []
        self.active_weights: dict[TeamName, float] = {}
        self.total_active_weight = 0.0
        self.held_back: dict[Lane, None] = {}
        self.open_waiting = 0
        self.waiting = 0

    def set_active_weight(self, team: TeamName, weight: float) -> None:
        """Set the weight of a team that uses resources, 0 once it uses none."""
        self.total_active_weight += weight - self.active_weights.pop(team, 0.0)
        if weight:
            self.active_weights[team] = weight
        if not self.active_weights:
            self.total_active_weight = 0.0

    def push(self, lane: Lane, key: float, number: int) -> None:
        """Push a lane to the heap; the new version invalidates its earlier entry."""
        lane.heap_version += 1
        lane.parked = False
        heapq.heappush(self.heap, (key, number, lane.heap_version, lane))

    def pop_first(self) -> tuple[float, Lane] | None:
        """Remove and return the first lane and its key."""
        while self.heap:
            key, _, version, lane = heapq.heappop(self.heap)
            if version == lane.heap_version and not lane.parked:
                return key, lane
        return None


class TeamSettings(msgspec.Struct):
    """Weight and quota of a team."""

    weight: float = 1.0
    quota: Resources | None = None
    used: Resources = NOTHING
