"""Messages between entry instances."""

import msgspec

from lavenderstall.errors import Outcome
from lavenderstall.identifiers import (
    AttemptId,
    EntryId,
    Epoch,
    Incarnation,
    JobId,
    RackName,
    RequestId,
    ServiceName,
    SliceName,
    TeamName,
    Version,
    WorkerId,
    ZoneName,
)
from lavenderstall.resources import Resources


class Heartbeat(msgspec.Struct, tag="heartbeat", omit_defaults=True):
    """Report that an entry instance is alive, and its configuration version."""

    entry: EntryId
    incarnation: Incarnation
    zone: ZoneName
    version: Version
    draining: bool = False
    store_age_ms: int = 0


class PoolSummary(msgspec.Struct, omit_defaults=True):
    """Describe the workers of one pool in a slice; `largest` is the most free on one worker."""

    workers: int
    room: Resources
    largest: Resources
    capacity: Resources


class SliceSummary(msgspec.Struct, tag="summary", omit_defaults=True):
    """Describe a slice to entry instances that may route work to its owner."""

    slice: SliceName
    owner: EntryId
    epoch: Epoch
    pools: dict[str, PoolSummary] = {}
    free_slots: dict[ServiceName, int] = {}
    waiting: dict[str, int] = {}
    oldest_wait_ms: int = 0
    teams: dict[TeamName, Resources] = {}
    waiting_teams: dict[str, dict[TeamName, int]] = {}
    started: dict[str, int] = {}
    racks: list[RackName] = []


class CallForward(msgspec.Struct, tag="call", omit_defaults=True):
    """Ask a slice owner to run one call; `worker` pins it to the worker it is bound to."""

    call: AttemptId
    slice: SliceName
    service: ServiceName
    team: TeamName
    request: RequestId
    remaining_ms: int
    body: bytes
    idempotent: bool = True
    retry: bool = False
    worker: WorkerId = WorkerId("")
    incarnation: Incarnation = Incarnation("")
    trace: str = ""


class CallAnswer(msgspec.Struct, tag="answer", omit_defaults=True):
    """Carry the outcome of a `CallForward`; `bound` names the slice a request is bound to."""

    call: AttemptId
    outcome: Outcome
    reason: str = ""
    detail: str = ""
    body: bytes = b""
    worker: WorkerId = WorkerId("")
    incarnation: Incarnation = Incarnation("")
    bound: SliceName = SliceName("")
    retry_after_ms: int = 0
    content_type: str = ""


class WorkAssigned(msgspec.Struct, tag="assigned"):
    """Hint that a slice's part of a job was written or changed."""

    slice: SliceName
    job: JobId


class ConfigChanged(msgspec.Struct, tag="config"):
    """Hint that a configuration was accepted."""

    version: Version


class ConfigAsk(msgspec.Struct, tag="config_ask"):
    """Ask a peer for its configuration while the store cannot be read."""

    version: Version


class ConfigPart(msgspec.Struct, tag="config_part"):
    """Carry a whole configuration as JSON, since payloads of jobs are kept as JSON."""

    body: bytes


class QueryAsk(msgspec.Struct, tag="query_ask"):
    """Ask a slice owner for the rows that a statement needs."""

    query: AttemptId
    text: str
    slices: list[SliceName]


class QueryPart(msgspec.Struct, tag="query_part"):
    """Carry one owner's rows as JSON."""

    query: AttemptId
    owner: EntryId
    slices: list[SliceName]
    body: bytes


class TraceAsk(msgspec.Struct, tag="trace_ask"):
    """Ask a peer for the spans of a request that it keeps."""

    query: AttemptId
    request: RequestId


class Handover(msgspec.Struct, tag="handover"):
    """Announce that a slice was released, so that the next owner may claim it."""

    slice: SliceName
    epoch: Epoch


Message = (
    Heartbeat
    | SliceSummary
    | CallForward
    | CallAnswer
    | WorkAssigned
    | ConfigChanged
    | ConfigAsk
    | ConfigPart
    | QueryAsk
    | QueryPart
    | TraceAsk
    | Handover
)

# Messages superseded by the next one of their type; they are dropped first when a queue is full.
HINTS = (Heartbeat, SliceSummary, WorkAssigned, ConfigChanged, Handover)


class Envelope(msgspec.Struct):
    """Carry many messages from one sender."""

    sender: EntryId
    incarnation: Incarnation
    messages: list[Message]
