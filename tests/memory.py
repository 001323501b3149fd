"""HTTP between an agent and a service in memory, on a clock that a test advances."""

from typing import Any

import msgspec
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import ConnectingCancelledError, ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.test import iosim
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from lavenderstall.connections import ConnectionPool, PersistentAgent
from lavenderstall.platform_clients import (
    IDLE_TIMEOUT_S,
    MAX_CONNECTIONS,
    BytesProducer,
    read_reply,
)


class Response(msgspec.Struct):
    """Hold a whole response."""

    status: int
    headers: dict[str, str]
    body: bytes


class MemoryNetwork:
    """Connect agents to one service; `refusing` and `hanging` apply to new connections."""

    def __init__(self, clock: Clock, service: Resource, request: type[Request] = Request) -> None:
        self._clock = clock
        self._site = Site(service, requestFactory=request, timeout=None, reactor=clock)
        self._pumps: list[iosim.IOPump] = []
        self.refusing = False
        self.hanging = False
        self.connections = 0
        pool = ConnectionPool(clock, MAX_CONNECTIONS, IDLE_TIMEOUT_S)
        self.agent: Any = PersistentAgent.usingEndpointFactory(clock, self, pool)

    def endpointForURI(self, uri):
        """Return the endpoint of a URL, which is the network itself."""
        return self

    def connect(self, factory) -> Deferred:
        """Open a connection."""
        if self.refusing:
            return fail(ConnectionRefusedError())
        if self.hanging:
            return Deferred(lambda d: d.errback(ConnectingCancelledError(None)))
        client, server = factory.buildProtocol(None), self._site.buildProtocol(None)
        ends = iosim.FakeTransport(server, True), iosim.FakeTransport(client, False)
        self._pumps.append(iosim.connect(server, ends[0], client, ends[1]))
        self.connections += 1
        return succeed(client)

    def fetch(self, method: str, path: str, body, headers: dict, seconds: float):
        """Send one request and return its response, or none if there is none in time."""
        found: list = []
        raw = Headers({name: [value] for name, value in headers.items()})
        producer = None if body is None else BytesProducer(body)
        url = f"http://127.0.0.1:1{path}".encode()
        sent = self.agent.request(method.encode(), url, raw, producer)
        sent.addCallback(self._read, found)
        sent.addErrback(lambda _: None)
        self.run(seconds)
        return found[0] if found else None

    def _read(self, response, found: list) -> Deferred:
        """Keep a response once its body is whole."""
        pairs = response.headers.getAllRawHeaders()
        headers = {name.decode(): values[0].decode() for name, values in pairs}
        headers["Content-Length"] = str(response.length)
        read = read_reply(response)
        return read.addCallback(
            lambda reply: found.append(Response(reply.status, headers, reply.body))
        )

    def run(self, seconds: float = 0.0, step: float = 0.1) -> None:
        """Move all bytes, and the clock in steps."""
        self._flush()
        end = self._clock.seconds() + seconds
        while self._clock.seconds() < end - 1e-9:
            self._clock.advance(min(step, end - self._clock.seconds()))
            self._flush()

    def _flush(self) -> None:
        """Move bytes until all ends are still."""
        moved = True
        while moved:
            moved = sum(bool(pump.pump()) for pump in self._pumps) > 0
