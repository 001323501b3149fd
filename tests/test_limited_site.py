"""Tests of requests that exceed a limit, on connections without a network."""

import unittest
from itertools import repeat
from typing import Any

from twisted.internet.task import Clock
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from lavenderstall.connection_limits import PortLimits, RequestLimits
from lavenderstall.connection_table import LINGER_S, Port
from lavenderstall.limited_site import LimitedSite
from lavenderstall.metrics import Metrics
from tests.callers import CallerConnection

LIMITS = RequestLimits(
    body_bytes=100, head_bytes=400, head_fields=5, head_timeout_s=3.0, body_timeout_s=6.0
)
HELD_BYTES = 3000
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class CountingResource(Resource):
    """Count the requests that are handled; those of `held` have no answer yet."""

    isLeaf = True  # noqa: N815  (name set by twisted.web)

    def __init__(self) -> None:
        super().__init__()
        self.bodies: list[bytes] = []
        self.holding = False
        self.held: list[Request] = []

    def render(self, request: Request) -> Any:
        """Handle a request."""
        assert request.content is not None
        self.bodies.append(request.content.read())
        if self.holding:
            self.held.append(request)
            return NOT_DONE_YET
        return b"ok"


class LimitedSiteTest(unittest.TestCase):
    """Connections to a port with low limits."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.resource = CountingResource()
        self.metrics = Metrics()
        self.abandoned = 0
        limits = PortLimits(connections=8, held_bytes=HELD_BYTES, requests=2)
        port = Port("port", limits, self.metrics, lambda: LIMITS, lambda: self.abandoned)
        self.site = LimitedSite(self.resource, port)

    def connect(self) -> CallerConnection:
        """Open a connection, later than the ones before."""
        self.clock.advance(0.01)
        return CallerConnection(self.site, self.clock, reading=True)

    def test_refusals(self) -> None:
        """Fails if a request over a limit is handled, or its refusal doesn't name the limit."""
        fields = b"".join(b"f%d: 1\r\n" % number for number in range(6))
        rows = (
            ("declared length", HEAD + b"Content-Length: 101\r\n\r\n", 0.0, "413", "body_bytes"),
            ("chunks", CHUNKED + b"65\r\n" + b"x" * 101 + b"\r\n", 0.0, "413", "body_bytes"),
            ("fields", HEAD + fields + b"\r\n", 0.0, "431", "head_bytes"),
            ("long field", HEAD + b"f: " + b"x" * 400 + b"\r\n\r\n", 0.0, "431", "head_bytes"),
            ("long line", b"GET /" + b"x" * 500, 0.0, "431", "head_bytes"),
            ("malformed", b"GET\r\n\r\n", 0.0, "400", "malformed"),
            ("slow head", HEAD, 5.0, "408", "head_time"),
            ("slow body", HEAD + b"Content-Length: 9\r\n\r\nx", 8.0, "408", "body_time"),
        )
        for name, sent, wait_s, status, limit in rows:
            with self.subTest(name=name):
                self.metrics.counters.clear()
                connection = self.connect()
                connection.send(sent)
                self.clock.pump(repeat(0.5, int(wait_s / 0.5)))
                connection.send(b"x" * 200)
                self.assertEqual(connection.read()[:13], f"HTTP/1.1 {status} ")
                self.assertEqual(connection.get_answers(), 1)
                self.assertEqual(self.resource.bodies, [])
                self.assertEqual(self.metrics.counters, {f"port_limited_{limit}": 1})
                self.clock.pump(repeat(0.5, int(2 * LINGER_S / 0.5) + 2))
                self.assertTrue(connection.is_closed())

    def test_requests_within_the_limits(self) -> None:
        """Fails if a request at the limits is refused, or changed."""
        body = b"x" * 100
        rows = (
            HEAD + b"Content-Length: 100\r\n\r\n" + body,
            CHUNKED + b"64\r\n" + body + b"\r\n0\r\n\r\n",
            HEAD + b"Content-Type: application/x-www-form-urlencoded\r\n"
            b"Content-Length: 100\r\n\r\n" + body,
        )
        for sent in rows:
            with self.subTest(sent=sent):
                self.resource.bodies.clear()
                connection = self.connect()
                connection.send(sent)
                self.assertTrue(connection.read().startswith("HTTP/1.1 200 "))
                self.assertEqual(self.resource.bodies, [body])

    def test_requests_at_a_time(self) -> None:
        """Fails if more requests are handled than are allowed, or a slot is not given back."""
        self.resource.holding = True
        connections = [self.connect() for _ in range(3)]
        for connection in connections:
            connection.send(GET)
        self.assertEqual(len(self.resource.bodies), 2)
        self.assertIn("503 ", connections[2].read())
        self.assertIn("Retry-After", connections[2].read())
        self.resource.held.pop().finish()
        self.connect().send(GET)
        self.assertEqual(len(self.resource.bodies), 3)

    def test_requests_whose_clients_have_left(self) -> None:
        """Fails if a client that leaves gives back the slot of a request that is handled on."""
        self.abandoned = 2
        connection = self.connect()
        connection.send(GET)
        self.assertIn("503 ", connection.read())
        self.assertEqual(self.resource.bodies, [])

    def test_held_bytes(self) -> None:
        """Fails if unfinished bodies are limited each, and not in their sum."""
        unfinished = HEAD + b"Content-Length: 100\r\n\r\n" + b"x" * 99
        connections = [self.connect() for _ in range(6)]
        for connection in connections:
            connection.send(unfinished)
            self.clock.advance(0.1)
        assert self.site.table is not None
        self.assertLessEqual(self.site.table.held_bytes, HELD_BYTES)
        self.assertIn("503 ", connections[0].read())
        connections[-1].send(b"x")
        self.assertIn("200 OK", connections[-1].read())

    def test_connections(self) -> None:
        """Fails if idle connections keep a client out, or requests in progress are broken off."""
        self.resource.holding = True
        handled = self.connect()
        handled.send(GET)
        idle = [self.connect() for _ in range(7)]
        self.assertTrue(idle[0].is_closed())
        self.assertFalse(handled.is_closed())


if __name__ == "__main__":
    unittest.main()
