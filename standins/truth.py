"""Records of what a worker really did, to be compared with what callers were told."""

import msgspec

from lavenderstall.identifiers import (
    AttemptId,
    EntryId,
    Epoch,
    Incarnation,
    JobId,
    RequestId,
    ServiceName,
    TaskId,
    WorkerId,
)
from lavenderstall.protocol import RefusalReason, TaskState
from lavenderstall.resources import NOTHING, Resources
from standins.calls import Call


class TaskStarted(msgspec.Struct, frozen=True, tag="task_started"):
    """A task began to run; `owner` and `epoch` are those that the worker obeyed."""

    at: float
    incarnation: Incarnation
    task: TaskId
    job: JobId
    resources: Resources
    idempotent: bool
    owner: EntryId
    epoch: Epoch


class TaskEnded(msgspec.Struct, frozen=True, tag="task_ended"):
    """A task no longer runs; a task lost in a crash has the state `unknown`."""

    at: float
    incarnation: Incarnation
    task: TaskId
    resources: Resources
    state: TaskState
    detail: str


class CallBegun(msgspec.Struct, frozen=True, tag="call_begun"):
    """A call began to run; `owner` and `epoch` are those that the worker obeyed."""

    at: float
    incarnation: Incarnation
    request: RequestId
    attempt: AttemptId
    service: ServiceName
    idempotent: bool
    owner: EntryId = EntryId("")
    epoch: Epoch = Epoch(0)


class CallEnded(msgspec.Struct, frozen=True, tag="call_ended"):
    """A call no longer runs; `outcome` is `done`, `failed` or `lost` in a crash."""

    at: float
    incarnation: Incarnation
    request: RequestId
    attempt: AttemptId
    idempotent: bool
    outcome: str


class WorkRefused(msgspec.Struct, frozen=True, tag="work_refused"):
    """A call or a task start arrived and was not run; `work` is its request or task."""

    at: float
    incarnation: Incarnation
    work: str
    reason: RefusalReason


class Left(msgspec.Struct, frozen=True, tag="left"):
    """The worker began to leave."""

    at: float


class Crashed(msgspec.Struct, frozen=True, tag="crashed"):
    """The worker lost all state and came back as a new incarnation."""

    at: float
    incarnation: Incarnation


Record = TaskStarted | TaskEnded | CallBegun | CallEnded | WorkRefused | Left | Crashed


class Truth(msgspec.Struct):
    """Hold the log of one worker and its peaks; `peak_used` may exceed what was allocated."""

    worker: WorkerId
    capacity: Resources
    records: list[Record] = msgspec.field(default_factory=list)
    peak_allocated: Resources = NOTHING
    peak_used: Resources = NOTHING

    def note_use(self, allocated: Resources, used: Resources) -> None:
        """Raise the peaks to the present use."""
        self.peak_allocated = find_peak(self.peak_allocated, allocated)
        self.peak_used = find_peak(self.peak_used, used)


def find_peak(one: Resources, other: Resources) -> Resources:
    """Return the larger of each component."""
    names = Resources.__struct_fields__
    return Resources(*(max(getattr(one, name), getattr(other, name)) for name in names))


def make_call_begun(now: float, incarnation: Incarnation, call: Call) -> CallBegun:
    """Return the record of a call that begins."""
    return CallBegun(
        now,
        incarnation,
        call.request,
        call.attempt,
        call.service,
        call.idempotent,
        call.owner,
        call.epoch,
    )


def make_call_ended(now: float, incarnation: Incarnation, call: Call, outcome: str) -> CallEnded:
    """Return the record of a call that no longer runs."""
    return CallEnded(now, incarnation, call.request, call.attempt, call.idempotent, outcome)
