"""Crowds of clients that stop short of the end of a request, or don't read the answers."""

from collections.abc import Iterator
from itertools import chain, repeat
from socket import SO_RCVBUF, SOL_SOCKET
from typing import Any

import msgspec
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import ClientFactory, Protocol
from zope.interface import implementer

from tests.platform.loopback import LoopbackReactor
from tests.platform.loopback_platform import FRONT_PORT, POOL, QUEUE_HOST

CONNECT_TIMEOUT_S = 10.0
# Receive buffer of clients that don't read.
SMALL_BUFFER_BYTES = 4096
# The longest body that a client inside the limits sends.
MAX_BODY_BYTES = 262_144
JOB_PATH = f"/{POOL}/{7:016x}"


class Client(msgspec.Struct, frozen=True):
    """What one client sends, and whether it reads the answers.

    `repeats` are sent after the first piece; with `pause_s` each piece is sent that much later.
    """

    first: bytes
    piece: bytes = b""
    repeats: int = 0
    reads: bool = True
    pause_s: float = 0.0
    port: int = FRONT_PORT

    def list_pieces(self) -> Iterator[bytes]:
        """Yield the pieces in order."""
        return chain([self.first], repeat(self.piece, self.repeats))


@implementer(IPullProducer)
class ClientConnection(Protocol):
    """Send the pieces of a client, and stay open."""

    def __init__(self, client: Client, reactor: LoopbackReactor) -> None:
        self._client = client
        self._reactor = reactor
        self._pieces = client.list_pieces()
        self.done = False
        self.closed = False

    def connectionMade(self) -> None:
        """Start to send."""
        transport: Any = self.transport
        if not self._client.reads:
            transport.socket.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER_BYTES)
            transport.pauseProducing()
        if self._client.pause_s:
            self._send_slowly()
        else:
            transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Send the next piece, once the kernel has taken the former ones."""
        transport: Any = self.transport
        piece = next(self._pieces, None)
        if piece is None:
            self.done = True
            transport.unregisterProducer()
        else:
            transport.write(piece)

    def stopProducing(self) -> None:
        """Ignore the end of the connection, which `connectionLost` notes."""

    def _send_slowly(self) -> None:
        piece = next(self._pieces, None)
        if piece is None or self.closed:
            return
        # A slow client counts as done from its first piece on.
        self.done = True
        assert self.transport is not None
        self.transport.write(piece)
        self._reactor.callLater(self._client.pause_s, self._send_slowly)

    def connectionLost(self, reason: Any = None) -> None:
        """Note that the connection is closed."""
        self.closed = True


class ConnectionFactory(ClientFactory):
    """Make the connection of one client."""

    noisy = False

    def __init__(self, connection: ClientConnection) -> None:
        self._connection = connection

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """Return the connection."""
        return self._connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Note that there is no connection."""
        self._connection.closed = True


class Crowd:
    """The connections of many clients to one process."""

    def __init__(self, reactor: LoopbackReactor, ip: str, clients: list[Client]) -> None:
        self._connections = [ClientConnection(client, reactor) for client in clients]
        for connection, client in zip(self._connections, clients, strict=True):
            factory = ConnectionFactory(connection)
            reactor.connectTCP(ip, client.port, factory, CONNECT_TIMEOUT_S)

    def is_sent(self) -> bool:
        """Tell whether each client has sent all that it can."""
        return all(connection.done or connection.closed for connection in self._connections)

    def count_open(self) -> int:
        """Return the number of clients whose connections are open."""
        return sum(not connection.closed for connection in self._connections)

    def leave(self) -> None:
        """Close all connections."""
        for connection in self._connections:
            transport: Any = connection.transport
            if transport is not None and not connection.closed:
                transport.abortConnection()


def make_head(method: str = "POST", path: str = JOB_PATH, *fields: str) -> bytes:
    """Return the head of a request."""
    lines = (f"{method} {path} HTTP/1.1", f"Host: {QUEUE_HOST}", *fields, "", "")
    return "\r\n".join(lines).encode()


def make_body_head(length: int = MAX_BODY_BYTES, path: str = JOB_PATH, *fields: str) -> bytes:
    """Return the head of a request with a body of some length."""
    return make_head("POST", path, *fields, f"Content-Length: {length}")
