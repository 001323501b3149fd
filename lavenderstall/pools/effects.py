"""Effects that a pool requests from its owner, and the answers of workers and advisers."""

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
    """Set the pace of a run, in percent of its full speed."""

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
    """Status of a run on a worker.

    `load` is the tail latency in milliseconds for a serving task, and the CPU use in thousandths
    of a core for any other.
    """

    task: Task
    number: int
    checkpoint: str
    percent: float
    load: float = 0.0


class RunEnd(msgspec.Struct, frozen=True):
    """End of a run; `seq` numbers the ends of one incarnation of a worker."""

    seq: int
    task: Task
    number: int
    cause: EndCause
    checkpoint: str = ""


class PollResponse(msgspec.Struct, frozen=True):
    """Answer of a worker to a poll; an `incarnation` of 0 is unknown.

    An `incomplete` one doesn't show that a run is missing, as it holds a run or an end that can't
    be read; `skipped_seq` is the number of the last such end.
    """

    clock_ms: float
    incarnation: int
    running: tuple[RunStatus, ...]
    ended: tuple[RunEnd, ...]
    incomplete: bool = False
    skipped_seq: int = 0


# Reasons of refusals: another process has the worker's address, so the worker has exited; the
# worker has seen the fencing token of a later owner.
OTHER_PROCESS = "instance"
FENCE = "fence"


class Refusal(msgspec.Struct, frozen=True):
    """Why a worker refused a request, and its clock if it was reported."""

    reason: str
    clock_ms: float | None = None


class Advice(msgspec.Struct, frozen=True):
    """Tickets of the workers that may run a step, as pairs of worker and ticket."""

    allowed: tuple[tuple[str, str], ...]
    valid_ms: float
