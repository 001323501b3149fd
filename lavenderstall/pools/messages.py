"""Messages between the entry instances of a cell that schedules pools.

They are encoded as arrays, so the order of fields is part of the format.
"""

from enum import Enum
from typing import Annotated

import msgspec

from lavenderstall.decoding import decode_with
from lavenderstall.identifiers import EntryId, Incarnation, JobId
from lavenderstall.pools.ports import Row, Transaction
from lavenderstall.pools.share_decisions import TeamDemand
from lavenderstall.pools.work import PoolName


class EntryHeartbeat(msgspec.Struct, tag="EntryBeat", array_like=True, frozen=True):
    """Heartbeat of an entry instance, which also tells whether it reaches the store.

    `last_contact_age_ms` is the time since the sender last heard from the receiver; `terms` holds
    the latest term that it knows of each pool. A receiver that `wants_answer` is set for sends a
    heartbeat back at once. `settings_version` is the sender's configuration, `echo_ms` the
    `sent_ms` of the last heartbeat that the receiver sent as an owner.
    """

    zone: str
    last_contact_age_ms: int = 0
    draining: bool = False
    store_lost: bool = False
    terms: dict[PoolName, int] = {}
    wants_answer: bool = False
    settings_version: int = 0
    echo_ms: int = 0


class OwnerHeartbeat(msgspec.Struct, tag="OwnerBeat", array_like=True, frozen=True):
    """Heartbeat of a pool's owner: waiting jobs of each queue, and whether it lost the store.

    It does not need the word of an `absent` instance that the store is down. `sent_ms` is its
    uptime, which peers echo, so that it can tell how old their messages are.
    """

    pool: PoolName
    term: int
    pending: dict[str, int]
    store_lost: bool = False
    absent: frozenset[EntryId] = frozenset()
    sent_ms: int = 0


class PoolReleased(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Announce that the owner of a pool has released it."""

    pool: PoolName
    term: int


class JobHint(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Forward the row of an accepted job to the owner of its pool."""

    pool: PoolName
    row: bytes


class CancelHint(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Notify the owner of a pool that a job was cancelled."""

    pool: PoolName
    job: JobId


class StateRequest(msgspec.Struct, tag="StateAsk", array_like=True, frozen=True):
    """Ask the owner of a pool for the state of a job."""

    request_id: int
    pool: PoolName
    job: JobId


class StateAnswer(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Return the state of a job; `owned` is false if the sender doesn't own the pool."""

    request_id: int
    owned: bool
    state: str = ""


class SettingsRequest(msgspec.Struct, tag="SettingsAsk", array_like=True, frozen=True):
    """Ask a peer for its configuration if it is newer than a version."""

    request_id: int
    version: int


class SettingsAnswer(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Return the version of the sender's configuration, and its row if that is newer.

    A newer one may have been in the store for `unconfirmed_ms`.
    """

    request_id: int
    version: int
    unconfirmed_ms: Annotated[int, msgspec.Meta(ge=0)]
    row: Row | None = None


class AdviceRequest(msgspec.Struct, tag="AdviceAsk", array_like=True, frozen=True):
    """Ask a peer to call the placement service."""

    request_id: int
    job: JobId
    occurrence: int
    step: int
    workers: tuple[str, ...]
    expected_s: float


class AdviceAnswer(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Return tickets; `available` is false if the service issued none.

    With `busy_ms` it wasn't called, because earlier calls keep it busy for that long.
    """

    request_id: int
    available: bool
    allowed: tuple[tuple[str, str], ...] = ()
    valid_ms: float = 0.0
    busy_ms: float = 0.0


class WriteRequest(msgspec.Struct, tag="WriteAsk", array_like=True, frozen=True):
    """Ask a peer to add a row for an instance that can't reach the store."""

    request_id: int
    table: str
    partition: str
    key: str
    value: bytes


class WriteAnswer(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Return whether the row is present, as a value of `Presence`."""

    request_id: int
    outcome: str


class CommitOutcome(Enum):
    """What a peer knows of a transaction that it was asked to commit."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    # Nothing was applied.
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class CommitRequest(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Ask a peer to commit a transaction for an instance that can't reach the store."""

    request_id: int
    transaction: Transaction


class CommitAnswer(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Return the outcome of a commit; `rows` are the current rows of a conflict's conditions."""

    request_id: int
    outcome: CommitOutcome
    version: int = 0
    store_clock_ms: float = 0.0
    rows: tuple[Row, ...] = ()
    detail: str = ""


class ShareRequest(msgspec.Struct, tag="ShareAsk", array_like=True, frozen=True):
    """Ask the owner of a pool for shares of teams that the owner of another one lacks."""

    pool: PoolName
    asking: PoolName
    demands: tuple[TeamDemand, ...]


class SharesHint(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Tell the owner of a pool of rows of shares that another owner has written or read."""

    pool: PoolName
    rows: tuple[Row, ...]


Message = (
    EntryHeartbeat
    | OwnerHeartbeat
    | PoolReleased
    | JobHint
    | CancelHint
    | StateRequest
    | StateAnswer
    | SettingsRequest
    | SettingsAnswer
    | AdviceRequest
    | AdviceAnswer
    | WriteRequest
    | WriteAnswer
    | CommitRequest
    | CommitAnswer
    | ShareRequest
    | SharesHint
)

# Messages that may be dropped: a later one replaces them, or another path carries them too.
HINTS = (
    EntryHeartbeat,
    OwnerHeartbeat,
    PoolReleased,
    JobHint,
    CancelHint,
    ShareRequest,
    SharesHint,
)


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A batch of messages from one process, which are decoded one by one."""

    sender: EntryId
    incarnation: Incarnation
    messages: list[msgspec.Raw]


DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def decode_message(data: msgspec.Raw) -> Message:
    """Decode a message of an envelope, or raise `UnreadableError`."""
    return decode_with(DECODER.decode, bytes(data))
