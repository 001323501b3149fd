"""Workers and requests that tests of decisions share."""

from itertools import count

from lavenderstall.identifiers import (
    Incarnation,
    JobId,
    RackName,
    ServiceName,
    TaskId,
    TeamName,
    WorkerId,
    ZoneName,
)
from lavenderstall.protocol import Kind
from lavenderstall.requests import NO_CONSTRAINTS, Constraints, TaskRequest
from lavenderstall.resources import Resources
from lavenderstall.slice_state import SliceState
from lavenderstall.worker_index import WorkerState

SIZE = Resources(16000, 65536, 0, 64, 64)
ACCELERATED = Resources(32000, 65536, 8, 64, 64)
_numbers = count()


def make_worker(
    name: str,
    capacity: Resources = SIZE,
    rack: str = "r0",
    zone: str = "z",
    labels: frozenset[str] = frozenset(),
) -> WorkerState:
    """Return an empty worker."""
    return WorkerState(
        WorkerId(name),
        ZoneName(zone),
        RackName(rack),
        "pool",
        labels,
        capacity,
        Incarnation("1"),
    )


def make_state(count: int, capacity: Resources = SIZE, per_rack: int = 2) -> SliceState:
    """Return a slice of empty workers `w0`, `w1` and so on."""
    return SliceState(
        make_worker(f"w{number}", capacity, f"r{number // per_rack}") for number in range(count)
    )


def make_request(
    cores: int = 1000,
    memory: int = 1024,
    *,
    tasks: int = 1,
    team: str = "t",
    kind: Kind = Kind.BATCH,
    accelerators: int = 0,
    service: str = "",
    priority: int = 0,
    expected_ms: int = 0,
    constraints: Constraints = NO_CONSTRAINTS,
    job: str = "",
) -> TaskRequest:
    """Return a request with an id of its own."""
    number = next(_numbers)
    job = job or f"j{number}"
    return TaskRequest(
        tuple(TaskId(f"{job}.{number}.{index}") for index in range(tasks)),
        JobId(job),
        TeamName(team),
        Kind.GANG if tasks > 1 else kind,
        Resources(cores, memory, accelerators),
        ServiceName(service),
        priority=priority,
        expected_ms=expected_ms,
        constraints=constraints,
    )
