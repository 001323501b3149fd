"""Tasks of a slice, and the interface of the entry instance that slices use."""

from collections.abc import Callable, Iterable
from enum import Enum
from math import inf
from random import Random
from typing import Protocol

import msgspec

from lavenderstall.automation import QuarantineJournal
from lavenderstall.call_server import Commits
from lavenderstall.clocks import Clock
from lavenderstall.fleet import LeaseTerms
from lavenderstall.identifiers import EntryId, JobId, ServiceName, SliceName, TaskId, WorkerId
from lavenderstall.messages import SliceSummary
from lavenderstall.ownership import Ownership
from lavenderstall.protocol import TaskStart, TaskState
from lavenderstall.reasons import Reason
from lavenderstall.records import NO_CRASHES, JobSpec, TaskCrashes
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.schemas import Calls
from lavenderstall.set_aside import SetAside
from lavenderstall.storage import TableStore
from lavenderstall.worker_client import WorkerClient

LIVE_STATES = frozenset({TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPING})


class StopMode(Enum):
    """Whether a stopped task is requeued or ends."""

    RETRY = "retry"
    CANCEL = "cancel"


class Task(msgspec.Struct):
    """Hold a task that has not ended; times are in seconds."""

    id: TaskId
    index: int
    spec: JobSpec
    state: TaskState
    waiting_since: float
    created: float = 0.0
    worker: WorkerId = WorkerId("")
    run: TaskId = TaskId("")
    attempts: int = 0
    started: float = 0.0
    # When the owner learned that the run had begun, and that the worker did not have it.
    accepted_at: float = inf
    absent_at: float = inf
    stop_mode: StopMode = StopMode.RETRY
    queued: bool = False
    moving: bool = False
    never_reason: Reason | None = None
    used: Resources = NOTHING
    crashes: TaskCrashes = NO_CRASHES


class Environment(Protocol):
    """Provide what a slice needs from its entry instance."""

    entry: EntryId
    clock: Clock
    random: Random
    store: TableStore
    client: WorkerClient
    ownership: Ownership
    terms: LeaseTerms
    read_unix: Callable[[], float]
    set_aside: SetAside

    @property
    def journal(self) -> QuarantineJournal:
        """Return the journal of automatic quarantines."""

    @property
    def commits(self) -> Commits:
        """Return the group committer."""

    def make_nonce(self) -> str:
        """Return a unique text."""

    def find_calls(self, service: ServiceName) -> Calls:
        """Return the call settings of a service."""

    def list_summaries(self) -> list[SliceSummary]:
        """Return the last known summaries of all slices."""

    def hint_work(self, job: JobId, slices: Iterable[SliceName]) -> None:
        """Notify slice owners to read their work rows."""


def make_start(task: Task) -> TaskStart:
    """Return the message that starts a task."""
    spec = task.spec
    return TaskStart(
        task=task.run,
        job=spec.id,
        team=spec.team,
        kind=spec.kind,
        resources=spec.resources,
        service=spec.service,
        idempotent=spec.idempotent,
        payload=spec.payload,
    )
