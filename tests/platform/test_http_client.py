"""Tests of the errors of the HTTP client of the platform's services."""

import unittest
from types import SimpleNamespace
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectionAborted,
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure
from twisted.web.client import RequestNotSent, ResponseNeverReceived

from adapter.http_client import MAX_IDLE_CONNECTIONS, HttpClient
from lavenderstall.connections import RECENT_RESPONSE_S
from lavenderstall.errors import (
    AnswerLostError,
    DisconnectedError,
    PeerClosedError,
    PeerUnavailableError,
)

TIMEOUT_S = 1.0
ADDRESS = "10.1.0.1:80"
OTHER_ADDRESS = "10.1.0.2:80"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def abort(response: Deferred[Any]) -> None:
    """End a request as the agent does that closes its connection."""
    response.errback(ResponseNeverReceived([Failure(ConnectionAborted())]))


def refuse(*_: Any) -> Deferred[Any]:
    """Refuse a request as the agent does that is no URL."""
    raise ValueError("no URL")


class HttpClientTest(unittest.TestCase):
    """What a failed request tells of its peer."""

    def test_errors(self) -> None:
        """Fails if a timeout or a reset looks like a peer that has just closed the connection."""
        for name, cause, expected in (
            ("refused", ConnectionRefusedError(), PeerUnavailableError),
            ("not sent", RequestNotSent(), PeerUnavailableError),
            ("closed", ResponseNeverReceived([Failure(ConnectionDone())]), PeerClosedError),
            ("reset", ResponseNeverReceived([Failure(ConnectionLost())]), DisconnectedError),
            ("timeout", None, AnswerLostError),
            ("timeout, aborted", abort, AnswerLostError),
        ):
            with self.subTest(name=name):
                canceller = cause if cause is abort else None
                response: Deferred[Any] = Deferred(canceller)  # type: ignore[arg-type]
                clock = Clock()
                client = HttpClient(clock)
                client._agent = SimpleNamespace(request=lambda *_, found=response: found)
                errors: list[Failure] = []
                client.request("GET", "w:80", "/", timeout_s=TIMEOUT_S).addErrback(errors.append)
                if isinstance(cause, Exception):
                    response.errback(cause)
                clock.advance(TIMEOUT_S)
                self.assertIs(errors[0].type, expected)

    def test_what_is_no_address_is_not_connected_to(self) -> None:
        """Fails if a request that can't have been sent counts as one that may have run."""
        deep = "a" * 5000
        ports = (":99999", ":0", ":-1", ":", "", ":8x", ":" + "9" * 400)
        hosts = ("", "a b", "a\n", "a/b", "a?b", "ä", "\ud800", "[::1", "u@h:1", deep)
        addresses = [*("10.1.0.1" + port for port in ports), *(host + ":80" for host in hosts)]
        for address in addresses:
            with self.subTest(address=ascii(address)[:40]):
                reactor = MemoryReactorClock()
                errors: list[Failure] = []
                HttpClient(reactor).request("GET", address, "/").addErrback(errors.append)
                reactor.advance(TIMEOUT_S * 2)
                self.assertIs(errors[0].type, PeerUnavailableError)
                self.assertEqual(reactor.tcpClients, [])

    def test_an_address_is_connected_to(self) -> None:
        for address, host in (("10.1.0.1:65535", "10.1.0.1"), ("w-1.zone_a:1", "w-1.zone_a")):
            with self.subTest(address=address):
                reactor = MemoryReactorClock()
                HttpClient(reactor).request("GET", address, "/").addErrback(lambda _: None)
                self.assertEqual([client[0] for client in reactor.tcpClients], [host])
                reactor.advance(TIMEOUT_S * 2)

    def test_an_error_of_the_agent_itself_fails_the_request(self) -> None:
        """Fails if an error is raised past the deferred on which the caller waits."""
        client = HttpClient(Clock())
        client._agent = SimpleNamespace(request=refuse)
        errors: list[Failure] = []
        client.request("GET", "w:80", "/").addErrback(errors.append)
        self.assertIs(errors[0].type, PeerUnavailableError)


class SilentConnectionsTest(unittest.TestCase):
    """Idle connections that have fallen silent, while new ones work."""

    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.client = HttpClient(self.reactor)
        self.connections: list[Any] = []
        self.outcomes: list[Any] = []

    def request(self, address: str = ADDRESS) -> None:
        """Send a request, on a new connection if the client opens one."""
        call = self.client.request("GET", address, "/", timeout_s=TIMEOUT_S)
        call.addErrback(lambda failure: failure.type)
        call.addCallback(self.outcomes.append)
        for *_, factory, _, _ in self.reactor.tcpClients[len(self.connections) :]:
            connection = factory.buildProtocol(None)
            connection.makeConnection(StringTransport())
            self.connections.append(connection)

    def answer(self, *numbers: int) -> None:
        """Answer the requests on some connections."""
        for number in numbers:
            self.connections[number].dataReceived(ANSWER)

    def open_idle(self, count: int, address: str = ADDRESS) -> None:
        """Open some connections and let their requests be answered."""
        before = len(self.connections)
        for _ in range(count):
            self.request(address)
        self.answer(*range(before, before + count))

    def test_one_timeout_ends_all_idle_connections(self) -> None:
        """Fails if each idle connection that is silent costs one more timeout."""
        for count in (2, 5, MAX_IDLE_CONNECTIONS):
            with self.subTest(count=count):
                self.setUp()
                self.open_idle(count)
                self.request()
                self.reactor.advance(TIMEOUT_S)
                self.assertIs(self.outcomes[-1], AnswerLostError)
                self.request()
                self.assertEqual(len(self.connections), count + 1)
                self.answer(count)
                self.assertEqual(self.outcomes[-1].status, 200)

    def test_a_timeout_leaves_connections_of_others(self) -> None:
        """Fails if a request without an answer costs connections that are known to work."""
        self.open_idle(3)
        self.open_idle(1, OTHER_ADDRESS)
        self.request()
        self.reactor.advance(TIMEOUT_S - RECENT_RESPONSE_S / 2)
        self.request()
        self.answer(1)
        self.reactor.advance(RECENT_RESPONSE_S / 2)
        self.assertIs(self.outcomes[-1], AnswerLostError)
        self.request()
        self.request(OTHER_ADDRESS)
        self.assertEqual(len(self.connections), 4)


if __name__ == "__main__":
    unittest.main()
