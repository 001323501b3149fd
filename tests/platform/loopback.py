"""Services on loopback sockets whose open connections can fall silent, and clients of them."""

from collections.abc import Callable
from enum import Enum
from time import monotonic
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import Factory, Protocol

HOST = "127.0.0.1"
# Time of one turn of the reactor.
TURN_S = 0.005
LENGTH_HEADER = b"content-length:"


class Direction(Enum):
    """What a silent connection drops."""

    REQUESTS = "requests"
    ANSWERS = "answers"
    REST_OF_ANSWERS = "rest of answers"
    BOTH = "both"


class ServiceConnection(Protocol):
    """Answer each request with the body of the service, unless the connection is silent."""

    silent: Direction | None = None
    requests = 0

    def __init__(self, service: "LoopbackService") -> None:
        self._service = service
        self._received = b""

    def connectionMade(self) -> None:
        """Count the connection."""
        self._service.connections.append(self)
        self._service.opened += 1

    def connectionLost(self, reason: Any = None) -> None:
        """Forget the connection."""
        self._service.connections.remove(self)

    def dataReceived(self, data: bytes) -> None:
        """Execute complete requests."""
        if self.silent in {Direction.REQUESTS, Direction.BOTH}:
            return
        self._received += data
        while is_complete(self._received):
            self._received = cut_request(self._received)
            self._execute()

    def _execute(self) -> None:
        self.requests += 1
        self._service.executed += 1
        self._service.reactor.callLater(self._service.delay_s, self._answer)

    def _answer(self) -> None:
        if self not in self._service.connections:
            return
        body = self._service.body
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        assert self.transport is not None
        self.transport.write(cut_answer(head.encode(), body, self.silent))


class LoopbackService(Factory):
    """An HTTP service on a port of its own; `executed` and `opened` count calls and connections."""

    noisy = False

    def __init__(self, reactor: EPollReactor, body: bytes = b"{}") -> None:
        self.reactor = reactor
        self.body = body
        self.delay_s = 0.0
        self.connections: list[ServiceConnection] = []
        self.executed = 0
        self.opened = 0
        self._port = reactor.listenTCP(0, self, interface=HOST)
        self.address = f"{HOST}:{self._port.getHost().port}"

    def buildProtocol(self, addr: Any) -> ServiceConnection:
        """Return the protocol of one connection."""
        return ServiceConnection(self)

    def silence(self, direction: Direction) -> None:
        """Let all open connections drop what is sent, for good; new ones work."""
        for connection in self.connections:
            connection.silent = direction

    def is_sound(self) -> bool:
        """Tell whether no silent connection is left."""
        return all(connection.silent is None for connection in self.connections)

    def close_connections(self) -> None:
        """Close all open connections."""
        for connection in self.connections:
            assert connection.transport is not None
            connection.transport.loseConnection()

    def stop(self) -> "Deferred[None]":
        """Close the port and all connections."""
        self.close_connections()
        stopped: Deferred[None] = self._port.stopListening()
        return stopped


class LoopbackReactor(EPollReactor):
    """A reactor of one test, which runs while the test waits."""

    def run_until(self, condition: Callable[[], object], limit_s: float) -> bool:
        """Run until a condition holds, and return whether it does within the limit."""
        end = monotonic() + limit_s
        while not condition() and monotonic() < end:
            self.iterate(TURN_S)
        return bool(condition())

    def await_result(self, call: "Deferred[Any]", limit_s: float = 10.0) -> Any:
        """Return the result of a call, or the exception with which it failed."""
        results: list[Any] = []
        call.addCallbacks(results.append, lambda failure: results.append(failure.value))
        assert self.run_until(lambda: results, limit_s), "no result in time"
        return results[0]


def cut_answer(head: bytes, body: bytes, silent: Direction | None) -> bytes:
    """Return what arrives of an answer."""
    if silent in {Direction.ANSWERS, Direction.BOTH}:
        return b""
    return head + (body[: len(body) // 2] if silent is Direction.REST_OF_ANSWERS else body)


def is_complete(received: bytes) -> bool:
    """Tell whether the bytes begin with a complete request."""
    return b"\r\n\r\n" in received and len(received) >= measure_request(received)


def cut_request(received: bytes) -> bytes:
    """Return what follows the first request."""
    return received[measure_request(received) :]


def measure_request(received: bytes) -> int:
    """Return the length of the first request, of which the head is complete, in bytes."""
    head, _, _ = received.partition(b"\r\n\r\n")
    lengths = [
        int(line.partition(b":")[2])
        for line in head.lower().split(b"\r\n")
        if line.startswith(LENGTH_HEADER)
    ]
    return len(head) + len(b"\r\n\r\n") + sum(lengths)
