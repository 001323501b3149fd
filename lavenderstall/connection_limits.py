"""Limits on the connections of a port: which are refused, evicted or closed for their age."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from enum import Enum

import msgspec

BYTES_PER_MB = 1024 * 1024
# Memory and descriptors of an instance whose settings tell neither.
DEFAULT_MEMORY_MB = 256
DEFAULT_DESCRIPTORS = 1024
# Descriptors kept for files; sockets share the others.
FILE_DESCRIPTORS = 200
# Memory of an open connection without a request, in bytes.
CONNECTION_BYTES = 16 * 1024
# Least that a port may use, however small the instance is.
MIN_CONNECTIONS = 8
MIN_HELD_BYTES = 512 * 1024
# An eviction frees this share of a limit, so that it isn't repeated for each new connection.
EVICTED_SHARE = 1 / 16


class Phase(Enum):
    """What a connection is occupied with."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    HANDLED = "handled"
    UNREAD = "unread"
    REFUSED = "refused"


class Limit(Enum):
    """Limits on connections and requests."""

    CONNECTIONS = "connections"
    HELD_BYTES = "held_bytes"
    REQUESTS = "requests"
    HEAD_BYTES = "head_bytes"
    BODY_BYTES = "body_bytes"
    HEAD_TIME = "head_time"
    BODY_TIME = "body_time"
    MALFORMED = "malformed"


# Connections of these phases are evicted in this order; requests that are handled are not.
EVICTION_ORDER = (Phase.REFUSED, Phase.UNREAD, Phase.HEAD, Phase.BODY, Phase.IDLE)


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits of each request: bytes of head and body, fields, and times until each is complete."""

    body_bytes: int = 256 * 1024
    head_bytes: int = 16 * 1024
    head_fields: int = 100
    head_timeout_s: float = 60.0
    body_timeout_s: float = 60.0


class RequestLimitOverrides(msgspec.Struct, frozen=True):
    """Limits of each request that a configuration sets; 0 stands for none."""

    body_bytes: int = 0
    head_bytes: int = 0
    head_timeout_s: float = 0.0
    body_timeout_s: float = 0.0

    def apply(self, limits: RequestLimits) -> RequestLimits:
        """Return the limits, with those that are set here."""
        changes = {name: value for name, value in msgspec.structs.asdict(self).items() if value}
        return msgspec.structs.replace(limits, **changes)


class PortLimits(msgspec.Struct, frozen=True):
    """Limits of a port.

    `connections` and `requests` (those handled at a time) are counts, `held_bytes` the sum of what
    unfinished requests and unread answers occupy.
    """

    connections: int
    held_bytes: int
    requests: int


class InstanceResources(msgspec.Struct, frozen=True):
    """Memory in MB and descriptors of an instance; 0 stands for the default."""

    memory_mb: int = 0
    descriptors: int = 0

    def compute_sockets(self, share: float) -> int:
        """Return a share of the descriptors that are left for sockets."""
        descriptors = self.descriptors or DEFAULT_DESCRIPTORS
        return int(max(descriptors - FILE_DESCRIPTORS, descriptors / 2) * share)

    def compute_bytes(self, share: float) -> int:
        """Return a share of the memory in bytes."""
        return int((self.memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB * share)


class PortShare(msgspec.Struct, frozen=True):
    """Share of an instance's sockets and memory that a port may use.

    A request that is handled may occupy further sockets, to the store.
    """

    sockets: float
    requests: float
    memory: float

    def derive_limits(self, resources: InstanceResources) -> PortLimits:
        """Return the limits of the port."""
        held_bytes = resources.compute_bytes(self.memory)
        sockets = resources.compute_sockets(self.sockets)
        return PortLimits(
            connections=max(min(sockets, held_bytes // CONNECTION_BYTES), MIN_CONNECTIONS),
            held_bytes=max(held_bytes, MIN_HELD_BYTES),
            requests=max(resources.compute_sockets(self.requests), MIN_CONNECTIONS),
        )


class Usage(msgspec.Struct, eq=False):
    """What a connection from an address holds, and since when it is in its phase."""

    address: str
    since: float
    phase: Phase = Phase.IDLE
    held_bytes: int = 0

    def is_evictable(self) -> bool:
        """Tell whether no request would be broken off while it is handled."""
        return self.phase is not Phase.HANDLED


Weigh = Callable[[Usage], int]


def count_one(usage: Usage) -> int:
    """Weigh each connection the same."""
    return 1


def get_held_bytes(usage: Usage) -> int:
    """Weigh a connection by what it holds."""
    return usage.held_bytes


def choose_evicted(usages: Iterable[Usage], weigh: Weigh, excess: float) -> list[Usage]:
    """Return the connections to evict until their weight reaches an excess.

    Answers a crowd at the limit: the address with the most gives way first, and of its connections
    those with unfinished requests before idle ones, the oldest first.
    """
    chosen: list[Usage] = []
    for usage in order_evictions(usages, weigh):
        if excess <= 0:
            break
        chosen.append(usage)
        excess -= weigh(usage)
    return chosen


def order_evictions(usages: Iterable[Usage], weigh: Weigh) -> list[Usage]:
    """Return the connections that may be evicted, in the order in which they are."""
    by_address: defaultdict[str, list[Usage]] = defaultdict(list)
    for usage in usages:
        if usage.is_evictable() and weigh(usage):
            by_address[usage.address].append(usage)
    weighed: list[tuple[int, Usage]] = []
    for group in by_address.values():
        left = sum(map(weigh, group))
        for usage in sorted(group, key=rank_eviction):
            weighed.append((left, usage))
            left -= weigh(usage)
    return [usage for _, usage in sorted(weighed, key=lambda row: -row[0])]


def rank_eviction(usage: Usage) -> tuple[int, float]:
    """Return the rank of a connection among those of its address; the lowest is evicted first."""
    return EVICTION_ORDER.index(usage.phase), usage.since


def find_expired_limit(usage: Usage, now: float, limits: RequestLimits) -> Limit | None:
    """Return the limit on time that a connection exceeds, or none.

    Answers clients that send bytes so slowly that the connection is never idle.
    """
    age_s = now - usage.since
    if usage.phase is Phase.HEAD and age_s > limits.head_timeout_s:
        return Limit.HEAD_TIME
    if usage.phase is Phase.BODY and age_s > limits.body_timeout_s:
        return Limit.BODY_TIME
    return None
