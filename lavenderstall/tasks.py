"""Tasks of a slice and what a slice needs from its entry instance."""

from collections.abc import Callable, Iterable
from enum import Enum
from math import inf
from random import Random
from typing import Protocol

import msgspec

from lavenderstall.automation import QuarantineJournal
from lavenderstall.clocks import Clock
from lavenderstall.fleet import LeaseTerms
from lavenderstall.identifiers import EntryId, JobId, ServiceName, SliceName, TaskId, WorkerId
from lavenderstall.messages import SliceSummary
from lavenderstall.ownership import Ownership
from lavenderstall.protocol import TaskStart, TaskState
from lavenderstall.reasons import Reason
from lavenderstall.records import JobSpec
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.schemas import Calls
from lavenderstall.slots import Commits
from lavenderstall.storage import TableStore
from lavenderstall.targets import TargetClient

LIVE = frozenset({TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPING})


class Ending(Enum):
    """What follows when a task stops."""

    RETRY = "retry"
    CANCEL = "cancel"


class Task(msgspec.Struct):
    """Hold a task that has not ended; `since` is when it began to wait."""

    id: TaskId
    index: int
    spec: JobSpec
    state: TaskState
    since: float
    created: float = 0.0
    worker: WorkerId = WorkerId("")
    run: TaskId = TaskId("")
    attempts: int = 0
    started: float = 0.0
    # When the owner learned that the run had begun, and that the worker no longer had it.
    accepted: float = inf
    gone: float = inf
    ending: Ending = Ending.RETRY
    queued: bool = False
    moving: bool = False
    never: Reason | None = None
    used: Resources = NOTHING


class Environment(Protocol):
    """Hold what a slice needs from its entry instance."""

    entry: EntryId
    clock: Clock
    random: Random
    store: TableStore
    client: TargetClient
    ownership: Ownership
    terms: LeaseTerms
    read_unix: Callable[[], float]

    @property
    def journal(self) -> QuarantineJournal:
        """Return the history of automatic changes."""

    @property
    def commits(self) -> Commits:
        """Return the group commit."""

    def make_nonce(self) -> str:
        """Return a text that is never used twice."""

    def find_calls(self, service: ServiceName) -> Calls:
        """Return how the calls of a service are handled."""

    def list_summaries(self) -> list[SliceSummary]:
        """Return what is known of all slices."""

    def hint_work(self, job: JobId, slices: Iterable[SliceName]) -> None:
        """Tell owners to read their rows."""


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
