"""HTTP client of the workers, used by the owner of their slice."""

import hashlib
from typing import Any, Protocol, TypeVar
from urllib.parse import quote

import msgspec
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError, DNSLookupError
from twisted.web.http_headers import Headers

from lavenderstall.connections import ConnectionPool, PersistentAgent
from lavenderstall.decoding import UnreadableError, decode_json
from lavenderstall.errors import (
    AnswerLostError,
    FencedError,
    LavenderstallError,
    Outcome,
    PeerUnavailableError,
    RefusedError,
)
from lavenderstall.identifiers import (
    AttemptId,
    EntryId,
    Epoch,
    Incarnation,
    RequestId,
    ServiceName,
    WorkerId,
)
from lavenderstall.platform_clients import (
    AddressEndpoints,
    BytesProducer,
    UnusableAddressError,
    read_reply,
    send_request,
)
from lavenderstall.protocol import (
    HEADER_ATTEMPT,
    HEADER_DEADLINE,
    HEADER_DIGEST,
    HEADER_EPOCH,
    HEADER_IDEMPOTENT,
    HEADER_INCARNATION,
    HEADER_OWNER,
    HEADER_REQUEST,
    CallRefusal,
    Fenced,
    LeaseAnswer,
    LeaseRequest,
    TasksAnswer,
    TasksRequest,
)

T = TypeVar("T")

MAX_ANSWER_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_IDLE_CONNECTIONS = 16
IDLE_TIMEOUT_SECONDS = 240
# Errors after which no byte of the request has left this process.
NOT_SENT = (ConnectError, ConnectingCancelledError, DNSLookupError, UnusableAddressError)


class WorkerCall(msgspec.Struct):
    """Describe a call from an owner to a worker; `remaining_ms` is the time to its deadline."""

    owner: EntryId
    epoch: Epoch
    incarnation: Incarnation
    service: ServiceName
    request: RequestId
    attempt: AttemptId
    idempotent: bool
    remaining_ms: int
    body: bytes
    trace: str = ""


class WorkerAnswer(msgspec.Struct):
    """Hold a complete answer whose length and digest were verified."""

    body: bytes
    content_type: str


class WorkerClient(Protocol):
    """Send requests to workers.

    Calls fail with `PeerUnavailableError` when nothing was sent, `FencedError` and `RefusedError`
    when the worker did not act, and `AnswerLostError` when it may have acted.
    """

    def renew(self, worker: WorkerId, url: str, request: LeaseRequest) -> "Deferred[LeaseAnswer]":
        """Claim a worker or renew its lease."""

    def change_tasks(
        self, worker: WorkerId, url: str, request: TasksRequest
    ) -> "Deferred[TasksAnswer]":
        """Start, stop and throttle tasks."""

    def call(self, worker: WorkerId, url: str, call: WorkerCall) -> "Deferred[WorkerAnswer]":
        """Run one call and return the complete answer."""

    def void_request(
        self, worker: WorkerId, url: str, request: RequestId, void: "VoidRequest"
    ) -> "Deferred[str]":
        """Void a request so that it never runs; return `void`, `running` or `done`."""


class VoidRequest(msgspec.Struct, omit_defaults=True):
    """Ask a worker to refuse a request permanently.

    A worker of another `incarnation` refuses this, as it does not know what the named one ran.
    """

    owner: EntryId
    epoch: Epoch
    incarnation: Incarnation = Incarnation("")


class VoidAnswer(msgspec.Struct):
    """Report whether a request is `void`, `running` or `done`."""

    state: str


class HttpWorkerClient:
    """Send requests to workers over persistent HTTP connections."""

    def __init__(self, reactor: Any, timeout_seconds: float = 1.0) -> None:
        self._reactor = reactor
        self._timeout = timeout_seconds
        pool = ConnectionPool(reactor, MAX_IDLE_CONNECTIONS, IDLE_TIMEOUT_SECONDS)
        # Automatic retries could run a call twice.
        pool.retryAutomatically = False
        endpoints = AddressEndpoints(reactor, CONNECT_TIMEOUT_SECONDS)
        self._agent: Any = PersistentAgent.usingEndpointFactory(reactor, endpoints, pool)
        self.bytes_sent = 0
        self.bytes_received = 0

    def renew(self, worker: WorkerId, url: str, request: LeaseRequest) -> "Deferred[LeaseAnswer]":
        """Claim a worker or renew its lease."""
        return Deferred.fromCoroutine(
            self._post_json(worker, f"{url}/v1/lease", request, LeaseAnswer)
        )

    def change_tasks(
        self, worker: WorkerId, url: str, request: TasksRequest
    ) -> "Deferred[TasksAnswer]":
        """Start, stop and throttle tasks."""
        return Deferred.fromCoroutine(
            self._post_json(worker, f"{url}/v1/tasks", request, TasksAnswer)
        )

    def void_request(
        self, worker: WorkerId, url: str, request: RequestId, void: VoidRequest
    ) -> "Deferred[str]":
        """Void a request so that it never runs; return `void`, `running` or `done`."""

        async def run() -> str:
            # Issued ids contain the name of a slice, which includes a slash.
            address = f"{url}/v1/requests/{quote(request, safe='')}/void"
            answer = await self._post_json(worker, address, void, VoidAnswer)
            return answer.state

        return Deferred.fromCoroutine(run())

    def call(self, worker: WorkerId, url: str, call: WorkerCall) -> "Deferred[WorkerAnswer]":
        """Run one call and return the complete answer."""
        return Deferred.fromCoroutine(self._call(worker, url, call))

    async def _call(self, worker: WorkerId, url: str, call: WorkerCall) -> WorkerAnswer:
        header_values = {
            HEADER_OWNER: call.owner,
            HEADER_EPOCH: str(call.epoch),
            HEADER_INCARNATION: call.incarnation,
            HEADER_REQUEST: call.request,
            HEADER_ATTEMPT: call.attempt,
            HEADER_IDEMPOTENT: "yes" if call.idempotent else "no",
            HEADER_DEADLINE: str(call.remaining_ms),
            "traceparent": call.trace,
        }
        headers = Headers({name: [value] for name, value in header_values.items() if value})
        response, body = await self._send(
            worker,
            f"{url}/v1/calls/{call.service}",
            headers,
            call.body,
            call.remaining_ms / 1000,
        )
        if response.code != 200:
            raise make_error(worker, response.code, body)
        check_digest(worker, get_header(response, HEADER_DIGEST), body)
        content_type = get_header(response, "Content-Type") or "application/json"
        return WorkerAnswer(body, content_type)

    async def _post_json(
        self, worker: WorkerId, url: str, message: msgspec.Struct, answer_type: type[T]
    ) -> T:
        headers = Headers({"Content-Type": ["application/json"]})
        data = msgspec.json.encode(message)
        response, body = await self._send(worker, url, headers, data, self._timeout)
        if response.code != 200:
            raise make_error(worker, response.code, body)
        try:
            return decode_json(body, answer_type)
        except UnreadableError as error:
            raise AnswerLostError(str(error), step="decode answer", peer=worker) from error

    async def _send(
        self, worker: WorkerId, url: str, headers: Headers, data: bytes, timeout_seconds: float
    ) -> tuple[Any, bytes]:
        self.bytes_sent += len(data) + 200
        producer: Any = BytesProducer(data)
        request = send_request(self._agent, "POST", url, headers, producer)
        request.addTimeout(max(timeout_seconds, 0.001), self._reactor)
        try:
            response = await request
        except NOT_SENT as error:
            raise PeerUnavailableError(str(error), step="connect", peer=worker) from error
        except Exception as error:
            self._agent.close_stale(url)
            raise AnswerLostError(repr(error), step="await answer", peer=worker) from error
        body_read = read_reply(response)
        body_read.addTimeout(max(timeout_seconds, 0.001), self._reactor)
        try:
            body = (await body_read).body
        except (CancelledError, Exception) as error:
            self._agent.close_stale(url)
            raise AnswerLostError(repr(error), step="read answer", peer=worker) from error
        self.bytes_received += len(body) + 200
        return response, body


def get_header(response: Any, name: str) -> str:
    """Return the first value of a header, which may be no text, or an empty string."""
    values: list[bytes] = response.headers.getRawHeaders(name.encode(), [b""])
    return values[0].decode("utf-8", "replace")


def check_digest(worker: WorkerId, digest: str, body: bytes) -> None:
    """Raise `AnswerLostError` unless a body has the digest that the worker declared."""
    if hashlib.sha256(body).hexdigest() != digest:
        raise AnswerLostError("the digest does not match", step="check answer", peer=worker)


def make_error(worker: WorkerId, code: int, body: bytes) -> LavenderstallError:
    """Return the error for a response whose status is not 200."""
    try:
        if code == 409:
            fenced = decode_json(body, Fenced)
            return FencedError(
                "the worker obeys another owner",
                step="worker",
                peer=worker,
                epoch=fenced.epoch,
                owner=fenced.owner,
            )
        if code == 503:
            refusal = decode_json(body, CallRefusal)
            return RefusedError(
                refusal.detail, step="worker", peer=worker, reason=refusal.reason.value
            )
    except UnreadableError as error:
        return AnswerLostError(str(error), step="decode error", peer=worker)
    if code == 500:
        return RefusedError(
            "the call ran and failed",
            step="worker",
            peer=worker,
            reason="failed",
            outcome=Outcome.FAILED,
        )
    return AnswerLostError(f"unexpected status {code}", step="worker", peer=worker)
