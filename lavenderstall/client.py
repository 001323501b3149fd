"""HTTP client of entry instances, which are tried in turn until one answers."""

import http.client
import socket
from collections.abc import Callable, Mapping, Sequence
from typing import TypeVar
from urllib.parse import quote, urlsplit

import msgspec

from lavenderstall.bodies import (
    PATH_APPLY,
    PATH_CALLS,
    PATH_CHANGES,
    PATH_CONFIG,
    PATH_JOBS,
    PATH_QUERY,
    PATH_TRACES,
    ApplyAnswer,
    ApplyRequest,
    ChangesAnswer,
    ConfigAnswer,
    JobAnswer,
    JobRequest,
    QueryRequest,
    Rejection,
    TraceAnswer,
)
from lavenderstall.decoding import UnreadableError, decode_json
from lavenderstall.errors import AnswerLostError, LavenderstallError, Outcome, PeerUnavailableError
from lavenderstall.identifiers import JobId, RequestId, ServiceName, Version
from lavenderstall.inventory import Answer
from lavenderstall.protocol import (
    HEADER_ATTEMPT_NUMBER,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENT,
    HEADER_REQUEST,
)

T = TypeVar("T")

DEFAULT_TIMEOUT_S = 10.0
MAX_ANSWER_BYTES = 256 * 1024 * 1024
MAX_DETAIL_BYTES = 300
STATUS_OK = 200
STATUS_MULTIPLE_CHOICES = 300
# Sent by a proxy or load balancer that got no answer from the entry instance.
STATUS_GATEWAY_ERRORS = frozenset({502, 504})
STATUS_UNAVAILABLE = 503

Connect = Callable[[str, int, float], http.client.HTTPConnection]


class RejectedError(LavenderstallError):
    """An entry instance rejected a request; `rejection` says why, `status` is that of HTTP."""

    def __init__(self, rejection: Rejection, *, status: int, peer: str) -> None:
        super().__init__(rejection.detail, step=rejection.step or "request", peer=peer)
        self.rejection = rejection
        self.status = status


class Request(msgspec.Struct, frozen=True):
    """One HTTP request.

    A `retryable` request may be sent again after an attempt that may have been executed. A request
    that only `reads` changes nothing, so a lost answer leaves no unknown outcome.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] = {}
    retryable: bool = False
    reads: bool = False


class _UnansweredError(Exception):
    """An entry instance did not answer; `sent` tells whether it may have executed the request."""

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


def _connect(host: str, port: int, timeout_s: float) -> http.client.HTTPConnection:
    return http.client.HTTPConnection(host, port, timeout=timeout_s)


def _describe_failure(error: Exception, timeout_s: float) -> str:
    if isinstance(error, TimeoutError | socket.timeout):
        return f"no answer within {timeout_s:g} s"
    if isinstance(error, OSError) and error.strerror:
        return error.strerror.lower()
    return str(error) or type(error).__name__


def _read_rejection(status: int, body: bytes) -> Rejection:
    try:
        return decode_json(body, Rejection)
    except UnreadableError:
        text = body[:MAX_DETAIL_BYTES].decode("utf-8", "replace").strip()
        detail = f"HTTP status {status}{f': {text}' if text else ''}"
        return Rejection(Outcome.UNKNOWN, "unreadable", detail)


def _make_get_request(path: str) -> Request:
    return Request("GET", path, retryable=True, reads=True)


class Client:
    """Send requests to the first entry instance that answers."""

    def __init__(
        self,
        entries: Sequence[str],
        token: str = "",
        timeout_s: float = DEFAULT_TIMEOUT_S,
        connect: Connect = _connect,
    ) -> None:
        self._entries = tuple(entries)
        self._token = token
        self._timeout_s = timeout_s
        self._connect = connect

    def __repr__(self) -> str:
        return f"Client({list(self._entries)!r})"

    def _open(self, entry: str) -> http.client.HTTPConnection:
        """Return a connection, not made yet, to an entry instance."""
        try:
            parts = urlsplit(entry)
            return self._connect(parts.hostname or "", parts.port or 80, self._timeout_s)
        except (ValueError, http.client.HTTPException) as error:
            raise _UnansweredError(str(error), sent=False) from None

    def _exchange(self, entry: str, request: Request, attempt: int) -> tuple[int, bytes]:
        """Return status and body of the answer of one entry instance."""
        sent = False
        connection = self._open(entry)
        headers = {"Content-Type": "application/json", **request.headers}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        if attempt > 1:
            headers[HEADER_ATTEMPT_NUMBER] = str(attempt)
        try:
            connection.connect()
            sent = True
            connection.request(request.method, request.path, request.body, headers)
            response = connection.getresponse()
            body = response.read(MAX_ANSWER_BYTES + 1)
        except (OSError, http.client.HTTPException, ValueError) as error:
            # A host name that no connection can be made to is a ValueError.
            raise _UnansweredError(_describe_failure(error, self._timeout_s), sent=sent) from None
        finally:
            connection.close()
        if len(body) > MAX_ANSWER_BYTES:
            raise _UnansweredError(f"the answer is over {MAX_ANSWER_BYTES} bytes", sent=sent)
        # Without a length or chunks a broken connection is indistinguishable from the end.
        if response.length or (response.length is None and not response.chunked):
            raise _UnansweredError("the answer is incomplete", sent=sent)
        if response.status in STATUS_GATEWAY_ERRORS:
            raise _UnansweredError(f"HTTP status {response.status}", sent=sent)
        return response.status, body

    def send(self, request: Request) -> bytes:
        """Return the body of a successful answer.

        Tries the next entry instance if one is unreachable, is unavailable and has not executed
        the request, or did not answer a retryable request. Raises `RejectedError`,
        `PeerUnavailableError` if none is reachable, `AnswerLostError` if one may have executed it.
        """
        failures: list[str] = []
        rejected: RejectedError | None = None
        may_have_run = False
        attempt = 1
        for entry in self._entries:
            try:
                status, body = self._exchange(entry, request, attempt)
            except _UnansweredError as error:
                failures.append(f"{entry}: {error}")
                may_have_run = may_have_run or error.sent
                attempt += error.sent
                if error.sent and not request.retryable:
                    break
                continue
            if STATUS_OK <= status < STATUS_MULTIPLE_CHOICES:
                return body
            rejection = _read_rejection(status, body)
            rejected = RejectedError(rejection, status=status, peer=entry)
            if rejection.outcome is not Outcome.NOT_RUN:
                raise rejected
            failures.append(f"{entry}: {rejection.detail}")
            if status != STATUS_UNAVAILABLE:
                break
        if may_have_run and not request.reads:
            # An unanswered attempt may have been executed, even if a later one was rejected.
            detail = f"the request may have been carried out: {'; '.join(failures)}"
            raise AnswerLostError(detail, step="request")
        if rejected:
            raise rejected
        detail = f"no entry instance answered: {'; '.join(failures) or 'none is given'}"
        raise PeerUnavailableError(detail, step="request")

    def _send_and_decode(self, request: Request, kind: type[T]) -> T:
        body = self.send(request)
        try:
            return decode_json(body, kind)
        except UnreadableError as error:
            detail = f"the answer to {request.path} cannot be read: {error}"
            raise AnswerLostError(detail, step="request") from None

    def query(self, text: str, *, reads: bool, seen: Version | None = None) -> Answer:
        """Return the answer to a statement; `reads` declares that it changes nothing."""
        body = msgspec.json.encode(QueryRequest(text, seen))
        return self._send_and_decode(
            Request("POST", PATH_QUERY, body, retryable=reads, reads=reads), Answer
        )

    def apply(self, request: ApplyRequest) -> ApplyAnswer:
        """Apply declarations, or preview the change."""
        body = msgspec.json.encode(request)
        reads = request.preview
        return self._send_and_decode(
            Request("POST", PATH_APPLY, body, retryable=reads, reads=reads), ApplyAnswer
        )

    def get_changes(self) -> ChangesAnswer:
        """Return the configuration changes, newest first."""
        return self._send_and_decode(_make_get_request(PATH_CHANGES), ChangesAnswer)

    def get_config(self) -> ConfigAnswer:
        """Return all items of the configuration."""
        return self._send_and_decode(_make_get_request(PATH_CONFIG), ConfigAnswer)

    def submit(self, request: JobRequest) -> JobAnswer:
        """Submit a job; its id makes the request idempotent."""
        headers = {HEADER_REQUEST: request.id}
        body = msgspec.json.encode(request)
        return self._send_and_decode(
            Request("POST", PATH_JOBS, body, headers, retryable=True), JobAnswer
        )

    def get_job(self, job: JobId) -> JobAnswer:
        """Return the state of a job."""
        path = f"{PATH_JOBS}/{quote(job, safe='')}"
        return self._send_and_decode(_make_get_request(path), JobAnswer)

    def call(
        self,
        service: ServiceName,
        body: bytes,
        *,
        request_id: RequestId,
        idempotent: bool,
        deadline_ms: int,
    ) -> bytes:
        """Return the response of a service."""
        headers = {
            "Content-Type": "application/octet-stream",
            HEADER_REQUEST: request_id,
            HEADER_IDEMPOTENT: "yes" if idempotent else "no",
            HEADER_DEADLINE: str(deadline_ms),
        }
        path = f"{PATH_CALLS}/{quote(service, safe='')}"
        return self.send(Request("POST", path, body, headers, retryable=idempotent))

    def get_trace(self, request_id: RequestId) -> TraceAnswer:
        """Return the hops of a request."""
        path = f"{PATH_TRACES}/{quote(request_id, safe='')}"
        return self._send_and_decode(_make_get_request(path), TraceAnswer)
