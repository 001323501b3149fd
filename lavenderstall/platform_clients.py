"""HTTP clients of the platform: table service, object store and membership list."""

import re
from collections.abc import Callable
from typing import Any, TypeVar, cast
from urllib.parse import quote

import msgspec
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError, ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import (
    RequestGenerationFailed,
    RequestNotSent,
    ResponseDone,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from lavenderstall.callbacks import do_nothing
from lavenderstall.clocks import Clock
from lavenderstall.connections import ConnectionPool, PersistentAgent
from lavenderstall.decoding import UnreadableError, decode_json
from lavenderstall.errors import (
    ConflictError,
    LavenderstallError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from lavenderstall.lists import ListReader
from lavenderstall.protocol import HTTP_URL_PATTERN, Committed, Members, Row, Rows, Transaction
from lavenderstall.set_aside import SetAside
from lavenderstall.storage import find_row

T = TypeVar("T")

# A takeover must end within 5 s and makes two sequential round trips to the table.
TIMEOUT_S = 2.0
# Shared by liveness rows, configuration reads and a few concurrent commits.
MAX_CONNECTIONS = 16
HTTP_URL = re.compile(HTTP_URL_PATTERN)
MAX_URL_CHARACTERS = 200
# Below the usual 60 s of servers, so that no write is sent on a connection being closed.
IDLE_TIMEOUT_S = 30


class UnusableAddressError(Exception):
    """No request can be sent to the address."""


# Errors after which no byte of the request has left this process.
NOT_SENT = (
    ConnectError,
    ConnectingCancelledError,
    RequestGenerationFailed,
    RequestNotSent,
    UnusableAddressError,
)
NO_CLOSE_REASON = Failure(ConnectionDone())
SUCCESS = 200
# Statuses that guarantee that a request had no effect.
REJECTED_STATUSES = frozenset({400, 404, 405, 413, 429, 503})


class Reply(msgspec.Struct, frozen=True):
    """Hold the status and the complete body of an HTTP response."""

    status: int
    body: bytes


@implementer(IBodyProducer)
class BytesProducer:
    """Write an in-memory body in one piece."""

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


def send_request(
    agent: Any, method: str, url: str, headers: Headers | None, producer: Any
) -> Deferred[Any]:
    """Send a request; fail with `UnusableAddressError` if its address allows none.

    The agent raises some errors of this kind at once, and reports a port out of range never.
    """
    if not HTTP_URL.match(url):
        return fail(UnusableAddressError(f"{url[:MAX_URL_CHARACTERS]!r} is no address"))
    sent: Deferred[Any] = agent.request(method.encode(), url.encode(), headers, producer)
    return sent


def make_agent(reactor: Any, connections: int = MAX_CONNECTIONS) -> PersistentAgent:
    """Return an agent with persistent connections."""
    return PersistentAgent(reactor, pool=ConnectionPool(reactor, connections, IDLE_TIMEOUT_S))


@implementer(IAgentEndpointFactory)
class AddressEndpoints:
    """Create endpoints for hosts that are given by IP address.

    An agent creates an endpoint for each request, even if a connection is open; the default
    factory validates the host as an internationalised name each time.
    """

    def __init__(self, reactor: Any, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:  # noqa: N802
        """Return the endpoint of a URI."""
        host = uri.host.decode("ascii")
        return TCP4ClientEndpoint(self._reactor, host, uri.port, timeout=self._timeout_s)


class HttpServiceClient:
    """Send requests to one HTTP service at `url`, with a timeout in seconds.

    Fails with `StoreUnavailableError` if the request was not sent, and with
    `StoreOutcomeUnknownError` if it was sent and no complete response arrived in time.
    """

    def __init__(self, agent: Any, clock: Clock, url: str, timeout_s: float = TIMEOUT_S) -> None:
        self._agent = agent
        self._clock = clock
        self.url = url
        self._timeout_s = timeout_s

    def send(self, step: str, method: str, path: str, body: bytes | None = None) -> Deferred[Reply]:
        """Send a request and return its complete response."""
        producer = None if body is None else BytesProducer(body)
        sent = send_request(self._agent, method, f"{self.url}{path}", None, producer)
        sent.addCallback(read_reply)
        sent.addTimeout(self._timeout_s, self._clock)  # type: ignore[arg-type]
        return sent.addErrback(self._raise_send_error, step, f"{self.url}{path}")

    def decode(self, reply: Reply, kind: type[T], step: str) -> T:
        """Decode the body of a response with status 200; raise an error for any other."""
        self.check_status(reply, step)
        try:
            return decode_json(reply.body, kind)
        except UnreadableError as error:
            raise StoreOutcomeUnknownError(str(error), step=step, peer=self.url) from error

    def read(self, reply: Reply, read: Callable[[bytes], T], step: str) -> T:
        """Read a list from a response with status 200, without its odd entries."""
        self.check_status(reply, step)
        try:
            return read(reply.body)
        except UnreadableError as error:
            raise StoreOutcomeUnknownError(str(error), step=step, peer=self.url) from error

    def check_status(self, reply: Reply, step: str) -> None:
        """Raise an error unless the status is 200."""
        if reply.status != 200:
            raise self.make_error(reply, step)

    def make_error(self, reply: Reply, step: str) -> LavenderstallError:
        """Return the error for a response whose status is not 200."""
        detail = f"status {reply.status}: {reply.body[:200].decode('utf-8', 'replace')}"
        if reply.status in REJECTED_STATUSES:
            return StoreUnavailableError(detail, step=step, peer=self.url)
        return StoreOutcomeUnknownError(detail, step=step, peer=self.url)

    def _raise_send_error(self, failure: Failure, step: str, url: str) -> Reply:
        """Raise the error that tells whether the request was sent."""
        detail = f"{failure.type.__name__ if failure.type else ''}: {failure.getErrorMessage()}"
        if failure.check(*NOT_SENT):
            raise StoreUnavailableError(detail, step=step, peer=self.url) from failure.value
        self._agent.close_stale(url)
        raise StoreOutcomeUnknownError(detail, step=step, peer=self.url) from failure.value


class BodyCollector(Protocol):
    """Collect the body of a response; fail if it ends before its declared length.

    Cancelling it closes the connection, unlike Twisted's `readBody`, which cannot abort the
    connection of an HTTP/1.1 response.
    """

    def __init__(self, on_data: Callable[[], None] = do_nothing) -> None:
        self._parts: list[bytes] = []
        self._on_data = on_data
        self.body: Deferred[bytes] = Deferred(self._close)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Append a chunk of the body."""
        self._parts.append(data)
        self._on_data()

    def connectionLost(self, reason: Failure = NO_CLOSE_REASON) -> None:  # noqa: N802
        """Deliver the complete body, or the reason why it is incomplete."""
        if self.body.called:
            return
        if reason.check(ResponseDone):
            self.body.callback(b"".join(self._parts))
        else:
            self.body.errback(reason)

    def _close(self, _: Deferred[bytes]) -> None:
        """Close the connection on cancellation, as nobody awaits the remaining bytes."""
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()


def read_reply(response: Any, on_data: Callable[[], None] = do_nothing) -> Deferred[Reply]:
    """Read the body of a response; fail if it is shorter than declared.

    `on_data` is called for the head of a successful response, and for each chunk of its body.
    """
    note = on_data if response.code == SUCCESS else do_nothing
    note()
    collector = BodyCollector(note)
    response.deliverBody(collector)
    return collector.body.addCallback(lambda body: Reply(response.code, body))


def raise_unavailable(failure: Failure) -> Any:
    """Convert an unknown outcome to unavailable, because a read has no effect."""
    failure.trap(StoreOutcomeUnknownError)
    error = failure.value
    assert isinstance(error, LavenderstallError)
    raise StoreUnavailableError(error.detail, step=error.step, peer=error.peer) from error


class HttpTableStore:
    """Access the table service at a URL; errors are those of `TableStore`.

    A read at a lower revision than that of an earlier read, commit or conflict is stale and
    fails with `StoreUnavailableError`.
    """

    def __init__(
        self,
        agent: Any,
        clock: Clock,
        url: str,
        timeout_s: float = TIMEOUT_S,
        set_aside: SetAside | None = None,
    ) -> None:
        self._service = HttpServiceClient(agent, clock, url, timeout_s)
        self._reader = ListReader(set_aside or SetAside())
        self._latest_revision = 0

    def transact(self, transaction: Transaction) -> Deferred[Committed]:
        """Write rows atomically if all conditions hold."""
        body = msgspec.json.encode(transaction)
        sent = self._service.send("transact", "POST", "/v1/transact", body)
        return sent.addCallback(self._read_commit)

    def scan(self, prefix: str) -> Deferred[Rows]:
        """Return the rows with a key prefix, never older than an earlier response."""
        sent = self._service.send("scan", "GET", f"/v1/rows?prefix={quote(prefix, safe='')}")
        return sent.addCallback(self._read_rows).addErrback(raise_unavailable)

    def read(self, key: str) -> Deferred[Row | None]:
        """Return one row, or None if it is absent."""
        return self.scan(key).addCallback(find_row, key)

    def _read_commit(self, reply: Reply) -> Committed:
        """Return the commit, or raise the error of a failed one."""
        if reply.status == 409:
            raise self._make_conflict(reply)
        committed = self._service.decode(reply, Committed, "transact")
        self._latest_revision = max(self._latest_revision, committed.revision)
        return committed

    def _make_conflict(self, reply: Reply) -> LavenderstallError:
        """Return the error that names the conflicting rows."""
        answer = Reply(200, reply.body)
        found = self._service.read(answer, self._reader.read_conflicts, "transact")
        self._latest_revision = max([self._latest_revision, *(row.version for row in found)])
        keys = frozenset(row.key for row in found)
        detail = f"rows differ: {', '.join(sorted(keys))}"
        return ConflictError(detail, step="transact", peer=self._service.url, keys=keys)

    def _read_rows(self, reply: Reply) -> Rows:
        """Decode rows; raise an error if they are older than an earlier response."""
        rows = self._service.read(reply, self._reader.read_rows, "scan")
        if rows.revision < self._latest_revision:
            detail = f"read at revision {rows.revision} after {self._latest_revision}"
            raise StoreUnavailableError(detail, step="scan", peer=self._service.url)
        self._latest_revision = rows.revision
        return rows


class HttpObjectStore:
    """Access the object store at a URL."""

    def __init__(self, agent: Any, clock: Clock, url: str, timeout_s: float = TIMEOUT_S) -> None:
        self._service = HttpServiceClient(agent, clock, url, timeout_s)

    def put(self, name: str, body: bytes) -> Deferred[None]:
        """Store an object; may fail with `StoreOutcomeUnknownError`."""
        sent = self._service.send("put object", "PUT", f"/v1/objects/{quote(name)}", body)
        return sent.addCallback(self._check_stored)

    def get(self, name: str) -> Deferred[bytes | None]:
        """Return an object, or None if it is absent."""
        sent = self._service.send("get object", "GET", f"/v1/objects/{quote(name)}")
        return sent.addCallback(self._read).addErrback(raise_unavailable)

    def _check_stored(self, reply: Reply) -> None:
        """Raise an error unless the object was stored."""
        if reply.status != 200:
            raise self._service.make_error(reply, "put object")

    def _read(self, reply: Reply) -> bytes | None:
        """Return the body, None if there is no such object, or raise an error."""
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise self._service.make_error(reply, "get object")
        return reply.body


class HttpMemberList:
    """Read the membership list at a URL."""

    def __init__(
        self,
        agent: Any,
        clock: Clock,
        url: str,
        timeout_s: float = TIMEOUT_S,
        set_aside: SetAside | None = None,
    ) -> None:
        self._service = HttpServiceClient(agent, clock, url, timeout_s)
        self._reader = ListReader(set_aside or SetAside())

    def list_members(self) -> Deferred[Members]:
        """Return the members that the platform lists."""
        sent = self._service.send("members", "GET", "/v1/members")
        decoded = sent.addCallback(self._service.read, self._reader.read_members, "members")
        return decoded.addErrback(raise_unavailable)
