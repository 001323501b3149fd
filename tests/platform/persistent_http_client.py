"""The HTTP client of the platform on connections of the fake platform that can fall silent."""

from collections.abc import Callable, Iterable
from math import inf
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import (
    ConnectionAborted,
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.client import Agent

from adapter.http_client import HttpClient
from lavenderstall.errors import DisconnectedError, PeerClosedError, PeerUnavailableError
from lavenderstall.platform_clients import Reply
from tests.platform.fake_http_client import FakeHttpClient, PausableClock
from tests.platform.fake_platform import FakePlatform
from tests.platform.loopback import Direction, cut_answer, cut_request, is_complete, measure_request

# Longer than the timeout of any request.
SERVICE_TIMEOUT_S = 60.0
# Bytes of an answer that arrive at a time on a slow link.
PART_BYTES = 16 * 1024


class PersistentHttpClient(HttpClient):
    """The client of one instance, whose connections are simulated."""

    def __init__(self, platform: FakePlatform, clock: PausableClock) -> None:
        super().__init__(clock)
        self._agent = Agent.usingEndpointFactory(clock, self, self._pool)
        self._platform = platform
        self.service = FakeHttpClient(platform, clock)
        self.clock = clock
        self.connections: list[SimulatedConnection] = []
        # Rate of the link on which answers arrive one after another, and when it is free again.
        self.link_bytes_per_s = inf
        self.link_free_at = 0.0

    @property
    def unreachable(self) -> set[str]:
        """Return the addresses that can't be reached."""
        return self.service.unreachable

    @unreachable.setter
    def unreachable(self, addresses: set[str]) -> None:
        self.service.unreachable = addresses

    def endpointForURI(self, uri: Any) -> "SimulatedEndpoint":
        """Return the endpoint of a URI."""
        return SimulatedEndpoint(self, uri.netloc.decode())

    def refuses(self, address: str) -> bool:
        """Tell whether the host of a worker answers at an address, without a process."""
        worker = self._platform.workers.get(address)
        if worker is None or address in self.unreachable:
            return False
        return not worker.up and not worker.host_gone

    def silence(self, direction: Direction, services: Callable[[str], bool]) -> None:
        """Let all open connections to some addresses drop what is sent; new ones work."""
        for connection in self.connections:
            if services(connection.address):
                connection.silent = direction


class SimulatedEndpoint:
    """An address to which connections are made."""

    def __init__(self, client: PersistentHttpClient, address: str) -> None:
        self._client = client
        self._address = address

    def connect(self, factory: Any) -> "Deferred[Any]":
        """Open a connection, unless no process listens at the address of a host."""
        if self._client.refuses(self._address):
            return fail(ConnectionRefusedError())
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(SimulatedConnection(self._client, self._address, protocol))
        return succeed(protocol)


class SimulatedConnection(StringTransport):
    """A connection whose requests the fake platform answers."""

    silent: Direction | None = None

    def __init__(self, client: PersistentHttpClient, address: str, protocol: Any) -> None:
        super().__init__()
        self._client = client
        self.address = address
        self._client_protocol = protocol
        self._received = b""
        self._open = True
        client.connections.append(self)

    def write(self, data: bytes) -> None:
        """Send bytes of a request."""
        if self.silent in {Direction.REQUESTS, Direction.BOTH}:
            return
        self._received += data
        while is_complete(self._received):
            request = self._received[: measure_request(self._received)]
            self._received = cut_request(self._received)
            self._execute(request)

    def writeSequence(self, data: Iterable[bytes]) -> None:
        """Send pieces of a request."""
        self.write(b"".join(data))

    def loseConnection(self) -> None:
        """Close the connection."""
        self._end(ConnectionDone())

    def abortConnection(self) -> None:
        """Reset the connection."""
        self._end(ConnectionAborted())

    def _end(self, reason: Exception) -> None:
        if self._open:
            self._open = False
            self._client.connections.remove(self)
            self._client.clock.callLater(0, self._client_protocol.connectionLost, Failure(reason))

    def _execute(self, request: bytes) -> None:
        head, _, body = request.partition(b"\r\n\r\n")
        first, *fields = head.split(b"\r\n")
        method, path, _ = first.decode().split(" ")
        headers = {name: [value.strip()] for name, _, value in (f.partition(b":") for f in fields)}
        call = self._client.service.request(
            method, self.address, path, body or None, SERVICE_TIMEOUT_S, headers
        )
        call.addCallbacks(self._answer, self._end_unanswered)

    def _end_unanswered(self, failure: Failure) -> None:
        """End the connection as the host did that it leads to, unless that is not heard of."""
        if self.silent is not None:
            return
        if failure.check(PeerClosedError) or self._client.refuses(self.address):
            self.loseConnection()
        elif failure.check(DisconnectedError):
            self._end(ConnectionLost())
        elif not failure.check(PeerUnavailableError):
            self.abortConnection()

    def _answer(self, reply: Reply) -> None:
        head = f"HTTP/1.1 {reply.status} OK\r\nContent-Length: {len(reply.body)}\r\n\r\n"
        arrived = cut_answer(head.encode(), reply.body, self.silent)
        if self._client.link_bytes_per_s == inf:
            self._receive(arrived)
        else:
            self._receive_slowly(arrived)

    def _receive_slowly(self, data: bytes) -> None:
        """Receive data in parts, after what else is on its way on the link."""
        client, clock = self._client, self._client.clock
        for start in range(0, len(data), PART_BYTES):
            part = data[start : start + PART_BYTES]
            began_at = max(clock.seconds(), client.link_free_at)
            client.link_free_at = began_at + len(part) / client.link_bytes_per_s
            clock.callLater(client.link_free_at - clock.seconds(), self._receive, part)

    def _receive(self, data: bytes) -> None:
        if self._open and data:
            self._client_protocol.dataReceived(data)
