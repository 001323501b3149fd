"""Placement requests and their constraints."""

from enum import Enum

import msgspec

from lavenderstall.identifiers import (
    JobId,
    RackName,
    RequestId,
    ServiceName,
    TaskId,
    TeamName,
    ZoneName,
)
from lavenderstall.protocol import Kind
from lavenderstall.resources import Resources


class Scope(Enum):
    """Topology level at which affinity and anti-affinity apply."""

    WORKER = "worker"
    RACK = "rack"


class Spread(Enum):
    """Failure domain over which the tasks of a service are spread if possible."""

    NONE = "none"
    RACK = "rack"
    ZONE = "zone"


class Constraints(msgspec.Struct, frozen=True, omit_defaults=True):
    """Restrict where a request may run; an empty set restricts nothing."""

    labels: frozenset[str] = frozenset()
    zones: frozenset[ZoneName] = frozenset()
    racks: frozenset[RackName] = frozenset()
    affinity: frozenset[ServiceName] = frozenset()
    anti_affinity: frozenset[ServiceName] = frozenset()
    scope: Scope = Scope.WORKER


NO_CONSTRAINTS = Constraints()


class TaskRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request the placement of a task, or of all tasks of a gang; `resources` are per task.

    `expected_ms` is the declared run time, 0 if unknown. Higher `priority` is more urgent.
    """

    tasks: tuple[TaskId, ...]
    job: JobId
    team: TeamName
    kind: Kind
    resources: Resources
    service: ServiceName = ServiceName("")
    pool: str = ""
    priority: int = 0
    idempotent: bool = True
    expected_ms: int = 0
    constraints: Constraints = NO_CONSTRAINTS
    spread: Spread | None = None
    request: RequestId = RequestId("")
