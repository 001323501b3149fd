"""Messages between the entry instances of a cell that schedules pools."""

import msgspec

from lavenderstall.identifiers import EntryId, Incarnation, JobId
from lavenderstall.pools.work import PoolName


class EntryBeat(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Tell a peer that an entry instance lives, and whether it reaches the store.

    `heard_ms` is how long ago the sender last heard the receiver, and `terms` are those of the
    owners that it knows.
    """

    zone: str
    heard_ms: int = 0
    draining: bool = False
    store_lost: bool = False
    terms: dict[PoolName, int] = {}


class OwnerBeat(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Tell who owns a pool, how many jobs of each queue wait, and whether the store is lost."""

    pool: PoolName
    term: int
    pending: dict[str, int]
    store_lost: bool = False


class PoolReleased(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Tell that the owner of a pool has given it up."""

    pool: PoolName
    term: int


class JobHint(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Hand an accepted job row to the owner of its pool."""

    pool: PoolName
    row: bytes


class CancelHint(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Tell the owner of a pool that a job was cancelled."""

    pool: PoolName
    job: JobId


class StateAsk(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Ask the owner of a pool for the state of a job."""

    number: int
    pool: PoolName
    job: JobId


class StateAnswer(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Answer with a state; `owned` is false if the sender does not own the pool."""

    number: int
    owned: bool
    state: str = ""


class AdviceAsk(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Ask a peer to call the placement service."""

    number: int
    job: JobId
    occurrence: int
    step: int
    workers: tuple[str, ...]
    expected_s: float


class AdviceAnswer(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Answer with tickets; `given` is false if the service gave none.

    With `busy_ms` it was not asked, as calls before this one take so long.
    """

    number: int
    given: bool
    allowed: tuple[tuple[str, str], ...] = ()
    valid_ms: float = 0.0
    busy_ms: float = 0.0


class WriteAsk(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Ask a peer to add a row on behalf of an instance that does not reach the store."""

    number: int
    table: str
    partition: str
    key: str
    value: bytes


class WriteAnswer(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Answer whether the row is there now, surely is not, or neither is known."""

    number: int
    outcome: str


Message = (
    EntryBeat
    | OwnerBeat
    | PoolReleased
    | JobHint
    | CancelHint
    | StateAsk
    | StateAnswer
    | AdviceAsk
    | AdviceAnswer
    | WriteAsk
    | WriteAnswer
)

# Messages that later ones replace, or that another path also carries.
HINTS = (EntryBeat, OwnerBeat, PoolReleased, JobHint, CancelHint)


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Hold messages from one process."""

    sender: EntryId
    incarnation: Incarnation
    messages: list[Message]
