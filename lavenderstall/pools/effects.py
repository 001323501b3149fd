"""What a pool asks its runner to do, and what comes back from workers."""

import msgspec

from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.work import EndCause, StepKey, Task


class StartRun(msgspec.Struct, frozen=True):
    """Start a task; the deadline is on the worker's clock in milliseconds.

    The deadline and a valid ticket are set once the run is recorded.
    """

    worker: WorkerKey
    task: Task
    number: int
    payload: str
    deadline_ms: int
    checkpoint: str = ""
    ticket: str = ""


class StopRun(msgspec.Struct, frozen=True):
    """Stop a run, or make sure that it never starts."""

    worker: WorkerKey
    task: Task
    number: int


class PaceRun(msgspec.Struct, frozen=True):
    """Let a run work at a share of its speed, 0 to 100."""

    worker: WorkerKey
    task: Task
    number: int
    percent: int


class RequestAdvice(msgspec.Struct, frozen=True):
    """Ask which of some workers may run a step."""

    step_key: StepKey
    workers: tuple[str, ...]
    expected_ms: float


Effect = StartRun | StopRun | PaceRun | RequestAdvice


class RunStatus(msgspec.Struct, frozen=True):
    """Describe a run on a worker.

    `load` is the tail of response times in milliseconds for a serving task, and the processor use
    in thousandths of a core for any other.
    """

    task: Task
    number: int
    checkpoint: str
    percent: float
    load: float = 0.0


class RunEnd(msgspec.Struct, frozen=True):
    """Describe the end of a run; `seq` counts the ends of one incarnation of a worker."""

    seq: int
    task: Task
    number: int
    cause: EndCause
    checkpoint: str = ""


class PollResponse(msgspec.Struct, frozen=True):
    """Hold what a worker says of itself; an `incarnation` of 0 is not told."""

    clock_ms: float
    incarnation: int
    running: tuple[RunStatus, ...]
    ended: tuple[RunEnd, ...]


# Reasons of refusals: another process has the worker's address, so the worker is gone; the worker
# has seen the fencing token of a later owner.
OTHER_PROCESS = "instance"
FENCE = "fence"


class Refusal(msgspec.Struct, frozen=True):
    """Hold why a worker refused an order, and its clock if it told it."""

    reason: str
    clock_ms: float | None = None


class Advice(msgspec.Struct, frozen=True):
    """Hold a ticket for each worker that may run a step, and how long tickets are valid."""

    allowed: tuple[tuple[str, str], ...]
    valid_ms: float
