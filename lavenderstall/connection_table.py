"""Connections of a port, which are counted, evicted and closed for their age."""

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from lavenderstall.connection_limits import (
    EVICTED_SHARE,
    Limit,
    Phase,
    PortLimits,
    RequestLimits,
    Usage,
    Weigh,
    choose_evicted,
    count_one,
    find_expired_limit,
    get_held_bytes,
)
from lavenderstall.metrics import Metrics

logger = logging.getLogger(__name__)

# Interval at which the ages of connections are checked, and at most one line a limit is logged.
CHECK_INTERVAL_S = 1.0
# Time in which a client may read why it was refused, before its connection is closed.
LINGER_S = 1.0


class Port(msgspec.Struct, frozen=True):
    """A port by its name in metrics and log lines, and its limits.

    `get_request_limits` returns the limits that are in force, `count_requests` the requests that
    are handled, with those whose clients have left.
    """

    name: str
    limits: PortLimits
    metrics: Metrics
    get_request_limits: Callable[[], RequestLimits] = RequestLimits
    count_requests: Callable[[], int] = int


class Connection(Protocol):
    """A connection that can be closed."""

    def refuse(self, limit: Limit) -> None:
        """Respond that a limit was met, and close the connection soon."""

    def evict(self, limit: Limit) -> None:
        """Close the connection to make room for others."""

    def abort(self) -> None:
        """Close the connection at once."""


class ConnectionTable:
    """The connections of a port."""

    def __init__(self, port: Port, clock: Any) -> None:
        self.port = port
        self.held_bytes = 0
        self._handled = 0
        self._clock = clock
        self._connections: dict[Usage, Connection] = {}
        # Connections that are being closed to make room.
        self._evicted: set[Usage] = set()
        self._limited: Counter[Limit] = Counter()
        self._check: Any = None

    def __len__(self) -> int:
        return len(self._connections)

    def make_room(self) -> bool:
        """Evict connections if the limit is near, and return whether one more may be opened."""
        most = self.port.limits.connections
        kept = most - max(1, int(most * EVICTED_SHARE))
        self._evict(count_one, len(self._connections) + 1 - kept, Limit.CONNECTIONS)
        if len(self._connections) < most:
            return True
        self.note(Limit.CONNECTIONS)
        return False

    def may_handle(self) -> bool:
        """Tell whether one more request may be handled."""
        handled = max(self._handled, self.port.count_requests())
        return handled < self.port.limits.requests

    def add(self, connection: Connection, address: str) -> Usage:
        """Add a connection."""
        usage = Usage(address, self._clock.seconds())
        self._connections[usage] = connection
        if self._check is None:
            self._check = self._clock.callLater(CHECK_INTERVAL_S, self._check_ages)
        return usage

    def remove(self, usage: Usage) -> None:
        """Remove a connection that is closed."""
        self._evicted.discard(usage)
        if self._connections.pop(usage, None) is not None:
            self.update(usage, Phase.REFUSED, 0)

    def update(self, usage: Usage, phase: Phase, held_bytes: int) -> None:
        """Note what a connection is occupied with, and evict others if all hold too much."""
        if phase is not usage.phase:
            self._handled += (phase is Phase.HANDLED) - (usage.phase is Phase.HANDLED)
            usage.phase = phase
            usage.since = self._clock.seconds()
        self.held_bytes += held_bytes - usage.held_bytes
        usage.held_bytes = held_bytes
        most = self.port.limits.held_bytes
        if self.held_bytes > most:
            excess = self.held_bytes - most * (1 - EVICTED_SHARE)
            self._evict(get_held_bytes, excess, Limit.HELD_BYTES)

    def note(self, limit: Limit) -> None:
        """Count a connection or request that met a limit."""
        self._limited[limit] += 1
        self.port.metrics.count(f"{self.port.name}_limited_{limit.value}")

    def _evict(self, weigh: Weigh, excess: float, limit: Limit) -> None:
        excess -= sum(map(weigh, self._evicted))
        if excess <= 0:
            return
        for usage in choose_evicted(self._connections.keys() - self._evicted, weigh, excess):
            self._evicted.add(usage)
            self._connections[usage].evict(limit)

    def _check_ages(self) -> None:
        self._check = None
        now = self._clock.seconds()
        limits = self.port.get_request_limits()
        for usage, connection in list(self._connections.items()):
            limit = find_expired_limit(usage, now, limits)
            if limit is not None:
                connection.refuse(limit)
            elif usage.phase is Phase.REFUSED and now - usage.since >= LINGER_S:
                connection.abort()
        for limit, count in self._limited.items():
            extra = {"port": self.port.name, "limit": limit.value, "count": count}
            logger.warning("limit on connections met", extra=extra)
        self._limited.clear()
        if self._connections:
            self._check = self._clock.callLater(CHECK_INTERVAL_S, self._check_ages)
