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
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure
from twisted.web.client import RequestNotSent, ResponseNeverReceived

from adapter.http_client import HttpClient
from lavenderstall.errors import (
    AnswerLostError,
    DisconnectedError,
    PeerClosedError,
    PeerUnavailableError,
)

TIMEOUT_S = 1.0


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


if __name__ == "__main__":
    unittest.main()
