"""HTTP clients of the platform's table service, object store and membership list."""

from typing import Any, TypeVar, cast
from urllib.parse import quote

import msgspec
from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError, ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestGenerationFailed,
    RequestNotSent,
    ResponseDone,
)
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from lavenderstall.clocks import Clock
from lavenderstall.errors import (
    ConflictError,
    LavenderstallError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from lavenderstall.protocol import Committed, Conflicts, Members, Row, Rows, Transaction
from lavenderstall.storage import find_row

T = TypeVar("T")

# A takeover is to end within 5 s and needs two round trips to the table in a row.
TIMEOUT_S = 2.0
# Liveness, configuration and a few commits in flight share the pool.
CONNECTIONS = 16
# Shorter than the usual 60 s of servers, so that a write does not meet a closing connection.
IDLE_S = 30
# With these errors no byte of the request has left this process.
NOT_SENT = (
    ConnectError,
    ConnectingCancelledError,
    RequestGenerationFailed,
    RequestNotSent,
)
NO_REASON = Failure(ConnectionDone())
# Statuses with which a service states that nothing took effect.
REJECTED = frozenset({400, 404, 405, 413, 429, 503})


class Reply(msgspec.Struct, frozen=True):
    """Hold the status and the whole body of an HTTP response."""

    status: int
    body: bytes


@implementer(IBodyProducer)
class BytesProducer:
    """Write a body that is in memory at once."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write the body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing, because the body is written already."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing, because the body is written already."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing, because the body is written already."""


def make_agent(reactor: Any, connections: int = CONNECTIONS) -> Agent:
    """Return an agent that keeps connections open between requests."""
    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = connections
    pool.cachedConnectionTimeout = IDLE_S
    return Agent(reactor, pool=pool)


@implementer(IAgentEndpointFactory)
class AddressEndpoints:
    """Connect to hosts that are given by IP address.

    An agent makes an endpoint for each request, also when a connection is open; the usual one
    checks the host as an internationalised name each time.
    """

    def __init__(self, reactor: Any, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:  # noqa: N802
        """Return the endpoint of a URI."""
        host = uri.host.decode("ascii")
        return TCP4ClientEndpoint(self._reactor, host, uri.port, timeout=self._timeout_s)


class HttpPeer:
    """Send requests to one HTTP service at `url`, with a timeout in seconds.

    Fails with `StoreUnavailableError` if the request was not sent, and with
    `StoreOutcomeUnknownError` if it was sent and no whole response came back in time.
    """

    def __init__(self, agent: Any, clock: Clock, url: str, timeout_s: float = TIMEOUT_S) -> None:
        self._agent = agent
        self._clock = clock
        self.url = url
        self._timeout_s = timeout_s

    def send(self, step: str, method: str, path: str, body: bytes | None = None) -> Deferred[Reply]:
        """Send a request and return its whole response."""
        producer = None if body is None else BytesProducer(body)
        url = f"{self.url}{path}".encode()
        sent: Deferred[Any] = self._agent.request(method.encode(), url, None, producer)
        sent.addCallback(read_reply)
        sent.addTimeout(self._timeout_s, self._clock)  # type: ignore[arg-type]
        return sent.addErrback(self._explain, step)

    def decode(self, reply: Reply, kind: type[T], step: str) -> T:
        """Decode the body of a status 200; raise the error that any other response stands for."""
        if reply.status != 200:
            raise self.make_error(reply, step)
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise StoreOutcomeUnknownError(str(error), step=step, peer=self.url) from error

    def make_error(self, reply: Reply, step: str) -> LavenderstallError:
        """Return the error that a status stands for."""
        detail = f"status {reply.status}: {reply.body[:200].decode('utf-8', 'replace')}"
        if reply.status in REJECTED:
            return StoreUnavailableError(detail, step=step, peer=self.url)
        return StoreOutcomeUnknownError(detail, step=step, peer=self.url)

    def _explain(self, failure: Failure, step: str) -> Reply:
        """Raise the error that tells whether the request was sent."""
        detail = f"{failure.type.__name__ if failure.type else ''}: {failure.getErrorMessage()}"
        kind = StoreUnavailableError if failure.check(*NOT_SENT) else StoreOutcomeUnknownError
        raise kind(detail, step=step, peer=self.url) from failure.value


class BodyCollector(Protocol):
    """Collect the body of a response; it fails unless its declared end was reached.

    Unlike Twisted's `readBody`, whose cancellation finds no way to abort the connection of an
    HTTP/1.1 response, this closes the connection when it is cancelled.
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self.body: Deferred[bytes] = Deferred(self._close)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body."""
        self._parts.append(data)

    def connectionLost(self, reason: Failure = NO_REASON) -> None:  # noqa: N802
        """Report the whole body, or why it is not whole."""
        if self.body.called:
            return
        if reason.check(ResponseDone):
            self.body.callback(b"".join(self._parts))
        else:
            self.body.errback(reason)

    def _close(self, _: Deferred[bytes]) -> None:
        """Close the connection, whose remaining bytes nobody awaits."""
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()


def read_reply(response: Any) -> Deferred[Reply]:
    """Read the body of a response; fails if it is shorter than declared."""
    collector = BodyCollector()
    response.deliverBody(collector)
    return collector.body.addCallback(lambda body: Reply(response.code, body))


def make_unavailable(failure: Failure) -> Any:
    """Raise an unknown outcome of a read as unavailable, because a read has no effect."""
    failure.trap(StoreOutcomeUnknownError)
    error = failure.value
    assert isinstance(error, LavenderstallError)
    raise StoreUnavailableError(error.detail, step=error.step, peer=error.peer) from error


class HttpTableStore:
    """Transact on the table service at a URL; failures are those of `TableStore`.

    A read at a lower revision than one seen in an earlier response, in the answer to a commit
    or in a conflict is discarded as unavailable.
    """

    def __init__(self, agent: Any, clock: Clock, url: str, timeout_s: float = TIMEOUT_S) -> None:
        self._peer = HttpPeer(agent, clock, url, timeout_s)
        self._seen = 0

    def transact(self, transaction: Transaction) -> Deferred[Committed]:
        """Write rows together if all conditions hold."""
        body = msgspec.json.encode(transaction)
        sent = self._peer.send("transact", "POST", "/v1/transact", body)
        return sent.addCallback(self._read_commit)

    def scan(self, prefix: str) -> Deferred[Rows]:
        """Return the rows below a prefix, never older than an answer seen before."""
        sent = self._peer.send("scan", "GET", f"/v1/rows?prefix={quote(prefix, safe='')}")
        return sent.addCallback(self._read_rows).addErrback(make_unavailable)

    def read(self, key: str) -> Deferred[Row | None]:
        """Return one row, or none if it is absent."""
        return self.scan(key).addCallback(find_row, key)

    def _read_commit(self, reply: Reply) -> Committed:
        """Return the commit, or raise what a response stands for."""
        if reply.status == 409:
            raise self._make_conflict(reply)
        committed = self._peer.decode(reply, Committed, "transact")
        self._seen = max(self._seen, committed.revision)
        return committed

    def _make_conflict(self, reply: Reply) -> LavenderstallError:
        """Return the error that names the rows that differ."""
        found = self._peer.decode(Reply(200, reply.body), Conflicts, "transact").conflicts
        self._seen = max([self._seen, *(row.version for row in found)])
        keys = frozenset(row.key for row in found)
        detail = f"rows differ: {', '.join(sorted(keys))}"
        return ConflictError(detail, step="transact", peer=self._peer.url, keys=keys)

    def _read_rows(self, reply: Reply) -> Rows:
        """Return rows unless they are older than what was seen."""
        rows = self._peer.decode(reply, Rows, "scan")
        if rows.revision < self._seen:
            detail = f"read at revision {rows.revision} after {self._seen}"
            raise StoreUnavailableError(detail, step="scan", peer=self._peer.url)
        self._seen = rows.revision
        return rows


class HttpObjectStore:
    """Keep whole objects in the object store at a URL."""

    def __init__(self, agent: Any, clock: Clock, url: str, timeout_s: float = TIMEOUT_S) -> None:
        self._peer = HttpPeer(agent, clock, url, timeout_s)

    def put(self, name: str, body: bytes) -> Deferred[None]:
        """Store an object; may fail with `StoreOutcomeUnknownError`."""
        sent = self._peer.send("put object", "PUT", f"/v1/objects/{quote(name)}", body)
        return sent.addCallback(self._check)

    def get(self, name: str) -> Deferred[bytes | None]:
        """Return an object, or none if it is absent."""
        sent = self._peer.send("get object", "GET", f"/v1/objects/{quote(name)}")
        return sent.addCallback(self._read).addErrback(make_unavailable)

    def _check(self, reply: Reply) -> None:
        """Raise an error unless the object was stored."""
        if reply.status != 200:
            raise self._peer.make_error(reply, "put object")

    def _read(self, reply: Reply) -> bytes | None:
        """Return the body, none if there is no such object, or raise an error."""
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise self._peer.make_error(reply, "get object")
        return reply.body


class HttpMemberList:
    """Read the membership list at a URL."""

    def __init__(self, agent: Any, clock: Clock, url: str, timeout_s: float = TIMEOUT_S) -> None:
        self._peer = HttpPeer(agent, clock, url, timeout_s)

    def list_members(self) -> Deferred[Members]:
        """Return the list as the platform sees it."""
        sent = self._peer.send("members", "GET", "/v1/members")
        decoded = sent.addCallback(self._peer.decode, Members, "members")
        return decoded.addErrback(make_unavailable)
