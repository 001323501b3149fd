"""Connections of callers that may say nothing any more, and may read nothing."""

from typing import Any

from twisted.internet.testing import StringTransport
from twisted.web.server import Site

# Time without a byte from the caller, after which its connection is closed.
IDLE_S = 60.0
# Further time for bytes that the caller doesn't read.
UNREAD_S = 15.0


class CallerConnection:
    """A connection of a caller, who reads what is sent or doesn't, to a site."""

    def __init__(self, site: Site, clock: Any, *, reading: bool) -> None:
        site.reactor = clock
        self._reading = reading
        self._transport = StringTransport()
        self._protocol: Any = site.buildProtocol(None)
        self._protocol.makeConnection(self._transport)

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self._protocol.dataReceived(data)

    def read(self) -> str:
        """Return what was received."""
        return self._transport.value().decode()

    def get_answers(self) -> int:
        """Return the number of answers."""
        return self._transport.value().count(b"HTTP/1.1 ")

    def is_closed(self) -> bool:
        """Tell whether the socket is closed; after an orderly close, once all bytes are read."""
        return self._transport.disconnected or (self._reading and self._transport.disconnecting)
