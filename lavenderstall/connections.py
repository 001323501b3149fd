"""Persistent HTTP connections, of which those that may be silent are not used again."""

from typing import Any

from twisted.web.client import URI, Agent, HTTP11ClientProtocol, HTTPConnectionPool

# After an unanswered request, connections whose last response is older aren't used again. Less than
# any request is given beyond the wait of a long poll.
RECENT_RESPONSE_S = 0.2


class ConnectionPool(HTTPConnectionPool):
    """Persistent connections, with a limit on the idle ones to an address."""

    def __init__(self, reactor: Any, connections: int, idle_timeout_s: int) -> None:
        super().__init__(reactor, persistent=True)
        self.maxPersistentPerHost = connections
        self.cachedConnectionTimeout = idle_timeout_s

    def close_stale(self, url: bytes) -> None:
        """Close the idle connections to a URL's address without a recent response."""
        uri = URI.fromBytes(url)
        key = (uri.scheme, uri.host, uri.port)
        for connection in list(self._connections.get(key, ())):
            if self._get_idle_s(connection) >= RECENT_RESPONSE_S:
                self._timeouts[connection].cancel()
                self._removeConnection(key, connection)

    def _get_idle_s(self, connection: HTTP11ClientProtocol) -> float:
        """Return the time since the last response on an idle connection, in seconds."""
        expires_at: float = self._timeouts[connection].getTime()
        return float(self._reactor.seconds()) - (expires_at - self.cachedConnectionTimeout)


class PersistentAgent(Agent):
    """HTTP agent whose clients report requests that were sent and not answered."""

    def close_stale(self, url: str) -> None:
        """Close the idle connections to a URL's address without a recent response."""
        pool: Any = self._pool
        pool.close_stale(url.encode())
