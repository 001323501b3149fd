"""HTTP site whose connections keep to the limits of their port."""

from io import BytesIO
from typing import Any

from twisted.web.http import HTTPChannel
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from lavenderstall.bounded_requests import BoundedRequest
from lavenderstall.connection_limits import Limit, Phase, Usage
from lavenderstall.connection_table import ConnectionTable, Port

IDLE_TIMEOUT_S = 60
RETRY_AFTER_S = 1
# Memory of a field of a head beyond its bytes.
FIELD_BYTES = 256
# Bytes of a request that are buffered while the client doesn't read its answers.
MAX_BYTES_AHEAD = 16 * 1024
# Fields after a body in chunks, which no handler reads.
MAX_TRAILER_BYTES = 1024

STATUS_LINES = {
    Limit.CONNECTIONS: b"503 Service Unavailable",
    Limit.HELD_BYTES: b"503 Service Unavailable",
    Limit.REQUESTS: b"503 Service Unavailable",
    Limit.HEAD_BYTES: b"431 Request Header Fields Too Large",
    Limit.BODY_BYTES: b"413 Content Too Large",
    Limit.HEAD_TIME: b"408 Request Timeout",
    Limit.BODY_TIME: b"408 Request Timeout",
    Limit.MALFORMED: b"400 Bad Request",
}
DETAILS = {
    Limit.CONNECTIONS: "too many connections",
    Limit.HELD_BYTES: "unfinished requests take too much memory",
    Limit.REQUESTS: "too many requests at a time",
    Limit.HEAD_BYTES: "the head of the request is too large",
    Limit.BODY_BYTES: "the body of the request is too large",
    Limit.HEAD_TIME: "the head of the request took too long",
    Limit.BODY_TIME: "the body of the request took too long",
    Limit.MALFORMED: "the request is malformed",
}


def make_refusal(limit: Limit) -> bytes:
    """Return the response to a request that was not handled, and names the limit."""
    body = f'{{"error":"{DETAILS[limit]}; the request was not handled"}}'.encode()
    status = STATUS_LINES[limit]
    retry = f"Retry-After: {RETRY_AFTER_S}\r\n" if status.startswith(b"503") else ""
    head = (
        f"\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        f"{retry}Connection: close\r\n\r\n"
    )
    return b"HTTP/1.1 " + status + head.encode() + body


class LimitedRequest(BoundedRequest):
    """Keep the body alone; arguments of the query, forms and cookies are not parsed."""

    channel: "LimitedChannel"

    def get_max_body_bytes(self) -> int:
        """Return the length of the longest body, in bytes."""
        return self.channel.limits.body_bytes

    def parseCookies(self) -> None:  # noqa: N802  (name set by twisted.web)
        """Leave cookies unparsed, as each costs many times its bytes."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802  (name set by twisted.web)
        """Start a body, or refuse the request for its declared length."""
        super().gotLength(length)
        self._check_length()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802  (name set by twisted.web)
        """Buffer a chunk of the body, or refuse the request once it is too long."""
        super().handleContentChunk(data)
        self._check_length()

    def _check_length(self) -> None:
        if self.oversized:
            self.channel.refuse(Limit.BODY_BYTES)

    def requestReceived(  # noqa: N802  (name set by twisted.web)
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handle a complete request."""
        self.content.seek(0)
        self.args: dict[bytes, list[bytes]] = {}
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.partition(b"?")[0]
        self.process()

    def count_body_bytes(self) -> int:
        """Return the bytes of the body that are held."""
        return self.content.getbuffer().nbytes if self.content is not None else 0


class LimitedChannel(HTTPChannel):
    """Connection of a client, which is refused or evicted when it meets a limit."""

    transport: Any
    _networkProducer: Any  # noqa: N815  (name set by twisted.web)
    _transferDecoder: Any  # noqa: N815  (name set by twisted.web)

    def __init__(self, table: ConnectionTable) -> None:
        super().__init__()
        self.table = table
        self.limits = table.port.get_request_limits()
        self._usage: Usage | None = None
        self._refused = False
        self._head_bytes = 0

    @property
    def totalHeadersSize(self) -> int:  # type: ignore[override]  # noqa: N802
        """Return the length of the longest head, in bytes."""
        return self.limits.head_bytes

    @property
    def MAX_LENGTH(self) -> int:  # type: ignore[override]  # noqa: N802
        """Return the length of the longest line, in bytes."""
        return self.limits.head_bytes

    @property
    def maxHeaders(self) -> int:  # type: ignore[override]  # noqa: N802
        """Return the largest number of fields of a head."""
        return self.limits.head_fields

    def connectionMade(self) -> None:  # noqa: N802  (name set by twisted.web)
        """Count the connection."""
        super().connectionMade()
        self._usage = self.table.add(self, self.transport.getPeer().host)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802  (name set by twisted.web)
        """Forget the connection."""
        if self._usage is not None:
            self.table.remove(self._usage)
            self._usage = None
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802  (name set by twisted.web)
        """Parse what arrives, unless the connection is refused."""
        if self._refused:
            return
        super().dataReceived(data)
        if self.paused and len(self._buffer) > MAX_BYTES_AHEAD:
            self._networkProducer.pauseProducing()
        self._update_usage()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802  (name set by twisted.web)
        """Parse a line of a head, the first one under the limits that are in force then."""
        if not self._receivedHeaderSize:
            self.limits = self.table.port.get_request_limits()
        if not self._refused:
            super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802  (name set by twisted.web)
        """Parse a part of a body, or keep what follows a request that is handled."""
        if not self._refused:
            super().rawDataReceived(data)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802  (name set by twisted.web)
        """Refuse a line that is longer than a head may be."""
        self.refuse(Limit.HEAD_BYTES)

    def allHeadersReceived(self) -> None:  # noqa: N802  (name set by twisted.web)
        """Begin with the body."""
        self._head_bytes = self._count_head_bytes()
        if hasattr(self._transferDecoder, "_maxTrailerHeadersSize"):
            self._transferDecoder._maxTrailerHeadersSize = MAX_TRAILER_BYTES
        super().allHeadersReceived()

    def allContentReceived(self) -> None:  # noqa: N802  (name set by twisted.web)
        """Handle a complete request, unless too many are handled already."""
        if not self.table.may_handle():
            self.refuse(Limit.REQUESTS)
        if not self._refused:
            super().allContentReceived()

    def requestDone(self, request: Request) -> None:  # noqa: N802  (name set by twisted.web)
        """Go on with what has arrived after a request."""
        self._head_bytes = 0
        super().requestDone(request)
        self._update_usage()

    def pauseProducing(self) -> None:  # noqa: N802  (name set by twisted.web)
        """Handle no further requests until the client reads its answers."""
        self.paused = True
        super().pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802  (name set by twisted.web)
        """Go on with the requests that have arrived."""
        self.paused = False
        super().resumeProducing()
        if self._buffer:
            self.dataReceived(b"")
        self._update_usage()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802  (name set by twisted.web)
        too_large = (
            self._receivedHeaderSize > self.totalHeadersSize
            or self._receivedHeaderCount > self.maxHeaders
        )
        self.refuse(Limit.HEAD_BYTES if too_large else Limit.MALFORMED)

    def refuse(self, limit: Limit) -> None:
        """Respond that a limit was met, ignore what follows, and close the connection soon."""
        if self._refused:
            return
        self._discard()
        self.table.note(limit)
        self.transport.write(make_refusal(limit))
        self.setTimeout(None)
        self._update_usage()

    def evict(self, limit: Limit) -> None:
        """Close the connection to make room for others."""
        unfinished = self._usage is not None and self._usage.phase in {Phase.HEAD, Phase.BODY}
        if not self._refused:
            self.table.note(limit)
        self._discard()
        self._update_usage()
        if unfinished:
            self.transport.write(make_refusal(limit))
            self.loseConnection()
        else:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        self.transport.abortConnection()

    def _discard(self) -> None:
        """Drop what has arrived of unfinished requests."""
        self._refused = True
        self._buffer = b""
        self._dataBuffer = []
        self._head_bytes = 0
        for request in self.requests:
            request.content = BytesIO()
            request.requestHeaders = type(request.requestHeaders)()

    def _update_usage(self) -> None:
        if self._usage is not None:
            self.table.update(self._usage, self._get_phase(), self._count_held_bytes())

    def _get_phase(self) -> Phase:
        if self._refused:
            return Phase.REFUSED
        if self._handlingRequest:
            return Phase.HANDLED
        if self._count_unread_bytes():
            return Phase.UNREAD
        if not self.line_mode:
            return Phase.BODY
        return Phase.HEAD if self._buffer or self.requests else Phase.IDLE

    def _count_held_bytes(self) -> int:
        unread = self._count_unread_bytes()
        if self._refused:
            return unread
        decoder = self._transferDecoder
        return (
            unread
            + max(self._head_bytes, self._count_head_bytes())
            + len(self._buffer)
            + sum(map(len, self._dataBuffer))
            + sum(request.count_body_bytes() for request in self.requests)
            + len(getattr(decoder, "_buffer", b""))
            + FIELD_BYTES * len(getattr(decoder, "_trailerHeaders", ()))
        )

    def _count_head_bytes(self) -> int:
        """Return the memory of the fields that have arrived of a head."""
        return int(self._receivedHeaderSize + FIELD_BYTES * self._receivedHeaderCount)

    def _count_unread_bytes(self) -> int:
        """Return the bytes of answers that the kernel has not taken yet."""
        transport = self.transport
        return len(getattr(transport, "dataBuffer", b"")) + getattr(transport, "_tempDataLen", 0)


class LimitedSite(Site):
    """Site without access log and tracebacks, whose connections keep to limits."""

    noisy = False

    def __init__(self, resource: Resource, port: Port) -> None:
        super().__init__(resource, requestFactory=LimitedRequest, timeout=IDLE_TIMEOUT_S)
        self.displayTracebacks = False
        self.table: ConnectionTable | None = None
        self._port = port

    def log(self, request: Any) -> None:
        """Write no access log."""

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802  (name set by twisted.web)
        """Return the protocol of a new connection, or none to close it at once."""
        if self.table is None:
            # The reactor may be replaced after the site is made.
            self.table = ConnectionTable(self._port, self.reactor)
        return super().buildProtocol(addr) if self.table.make_room() else None

    def protocol(self) -> LimitedChannel:  # type: ignore[override]
        """Return the protocol of a connection."""
        assert self.table is not None
        return LimitedChannel(self.table)
