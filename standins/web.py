"""HTTP resources of the stand-ins."""

from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import unquote

import msgspec
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure
from twisted.web.http import Request as HttpRequest
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from lavenderstall import protocol
from lavenderstall.decoding import decode_json
from lavenderstall.errors import (
    AnswerLostError,
    BadRequestError,
    FencedError,
    PeerUnavailableError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from lavenderstall.identifiers import (
    AttemptId,
    EntryId,
    Epoch,
    Incarnation,
    RequestId,
    ServiceName,
)
from lavenderstall.protocol import CallRefusal, Conflicts, Fenced
from standins.calls import Call, CallAnswer, CallRefusedError, RequestState
from standins.cell import Cell
from standins.faults import FaultRequest
from standins.table import OverRateError, RowsDifferError
from standins.workers import Worker

T = TypeVar("T")

JSON = b"application/json"


class Reply(msgspec.Struct):
    """Hold a response; `length` above that of the body means that it is cut short."""

    status: int
    body: bytes = b""
    length: int = -1
    digest: str = ""


class VoidRequest(msgspec.Struct):
    """Body of the request that makes a non-idempotent request void."""

    owner: EntryId
    epoch: Epoch
    incarnation: Incarnation = Incarnation("")


class VoidAnswer(msgspec.Struct):
    """Body of the answer to a `VoidRequest`."""

    state: RequestState


class Problem(msgspec.Struct):
    """Body of an answer that tells an error."""

    error: str


class Counters(msgspec.Struct):
    """Body of the table's counters; the maps are by second of the clock."""

    revision: int
    busiest_second: int
    writes: dict[int, int]
    writes_refused: dict[int, int]
    reads: dict[int, int]
    reads_refused: dict[int, int]


class Silence(Exception):  # noqa: N818
    """No answer is to be given; the connection stays open until the client gives up."""


class Dropped(Exception):  # noqa: N818
    """No answer is to be given; the connection is closed."""


class Service(Resource):
    """Answer requests with what `handle` returns; paths are split at slashes."""

    isLeaf = True  # noqa: N815

    def render(self, request: Request) -> int:
        """Answer a request once its result is there."""
        gone: list[Failure] = []
        request.notifyFinish().addErrback(gone.append)
        path = [unquote(part) for part in request.path.decode("ascii").strip("/").split("/")]
        method = request.method.decode("ascii", "replace")
        answer = maybeDeferred(self.handle, method, path, request)
        answer.addErrback(make_error_reply)
        answer.addCallbacks(
            lambda reply: None if gone else send_reply(request, reply),
            lambda failure: None if gone else end_unanswered(request, failure),
        )
        return NOT_DONE_YET

    def handle(self, method: str, path: list[str], request: Request) -> Deferred[Reply]:
        """Return the reply to a request."""
        raise NotImplementedError


def send_reply(request: HttpRequest, reply: Reply) -> None:
    """Write a response; one that is cut short ends with a closed connection."""
    length = len(reply.body) if reply.length < 0 else reply.length
    request.setResponseCode(reply.status)
    request.setHeader(b"Content-Type", JSON)
    request.setHeader(b"Content-Length", str(length).encode())
    if reply.digest:
        request.setHeader(protocol.HEADER_DIGEST.encode(), reply.digest.encode())
    request.write(reply.body)
    if length > len(reply.body):
        request.channel.loseConnection()
    else:
        request.finish()


def end_unanswered(request: HttpRequest, failure: Failure) -> None:
    """Close the connection or leave it open, without any answer."""
    if failure.check(Dropped):
        request.channel.loseConnection()
    else:
        failure.trap(Silence)


def make_error_reply(failure: Failure) -> Reply:
    """Return the reply that tells an error, or raise if there is to be none."""
    error = failure.value
    match error:
        case Silence() | Dropped():
            raise error
        case StoreOutcomeUnknownError():
            raise Dropped
        case RowsDifferError():
            return make_reply(Conflicts(error.rows), 409)
        case OverRateError():
            return make_reply(Problem(str(error)), 429)
        case StoreUnavailableError():
            return make_reply(Problem(str(error)), 503)
        case FencedError():
            return make_reply(Fenced("fenced", EntryId(error.owner), Epoch(error.epoch)), 409)
        case CallRefusedError():
            return make_reply(CallRefusal("not_run", error.reason, error.detail), 503)
        case BadRequestError() | msgspec.DecodeError() | ValueError():
            return make_reply(Problem(str(error)), 400)
        case LookupError():
            return make_reply(Problem(f"not found: {error}"), 404)
    return make_reply(Problem(f"{type(error).__name__}: {error}"), 500)


def make_reply(body: Any, status: int = 200) -> Reply:
    """Return a reply with a JSON body."""
    return Reply(status, msgspec.json.encode(body))


def read_content(request: HttpRequest) -> bytes:
    """Return the body of a request."""
    return b"" if request.content is None else request.content.read()


def read_body(request: HttpRequest, kind: type[T]) -> T:
    """Decode the JSON body of a request."""
    return decode_json(read_content(request), kind)


class PlatformService(Service):
    """Serve the table, the object store and the membership list to one zone or to all."""

    def __init__(self, cell: Cell, zone: str = "") -> None:
        super().__init__()
        self._cell = cell
        self._zone = zone

    def handle(self, method: str, path: list[str], request: Request) -> Deferred[Reply]:
        """Return the reply to a request."""
        if self._zone and self._cell.platforms[self._zone].cut_off:
            raise Silence
        cell = self._cell
        match method, path:
            case "POST", ["v1", "transact"]:
                transaction = read_body(request, protocol.Transaction)
                return cell.table.transact(transaction).addCallback(make_reply)
            case "GET", ["v1", "rows"]:
                prefix = request.args.get(b"prefix", [b""])[0].decode()
                return cell.table.scan(prefix).addCallback(make_reply)
            case "GET", ["v1", "members"]:
                return cell.members.list_members().addCallback(make_reply)
            case "PUT", ["v1", "objects", *names]:
                stored = cell.objects.put("/".join(names), read_content(request))
                return stored.addCallback(lambda _: Reply(200, b"{}"))
            case "GET", ["v1", "objects", *names]:
                found = cell.objects.get("/".join(names))
                return found.addCallback(make_object_reply)
        raise LookupError("/".join(path))


def make_object_reply(body: bytes | None) -> Reply:
    """Return an object, or status 404 if it is absent."""
    return Reply(404) if body is None else Reply(200, body)


class ControlService(PlatformService):
    """Serve the platform, the fault interface, the truth logs and the counters."""

    def handle(self, method: str, path: list[str], request: Request) -> Deferred[Reply]:
        """Return the reply to a request."""
        match method, path:
            case "POST", ["faults"]:
                self._cell.apply(read_body(request, FaultRequest))
                return maybeDeferred(make_reply, {})
            case "PUT", ["entries", name]:
                member = read_body(request, protocol.EntryMember)
                if member.id != name:
                    raise BadRequestError(f"{name} is not {member.id}", step="entries")
                self._cell.members.set_entry(member)
                return maybeDeferred(make_reply, {})
            case "DELETE", ["entries", name]:
                self._cell.members.remove_entry(EntryId(name))
                return maybeDeferred(make_reply, {})
            case "GET", ["truth"]:
                logs = [worker.truth for worker in self._cell.workers.values()]
                return maybeDeferred(make_reply, logs)
            case "GET", ["counters"]:
                return maybeDeferred(make_reply, self._count())
        return super().handle(method, path, request)

    def _count(self) -> Counters:
        """Return the table's counters."""
        table = self._cell.table
        return Counters(
            table.revision,
            table.find_busiest_second(),
            dict(table.writes.accepted),
            dict(table.writes.refused),
            dict(table.reads.accepted),
            dict(table.reads.refused),
        )


class WorkerService(Service):
    """Serve one worker."""

    def __init__(self, worker: Worker) -> None:
        super().__init__()
        self._worker = worker

    def handle(self, method: str, path: list[str], request: Request) -> Deferred[Reply]:
        """Return the reply to a request."""
        return self._dispatch(method, path, request).addErrback(self._hide)

    def _dispatch(self, method: str, path: list[str], request: Request) -> Deferred[Reply]:
        """Pass a request to the worker."""
        worker = self._worker
        match method, path:
            case "POST", ["v1", "lease"]:
                lease = read_body(request, protocol.LeaseRequest)
                return self._reach(lambda: worker.lease(lease))
            case "POST", ["v1", "tasks"]:
                tasks = read_body(request, protocol.TasksRequest)
                return self._reach(lambda: worker.change_tasks(tasks))
            case "POST", ["v1", "calls", service]:
                call = read_call(request, ServiceName(service))
                return worker.reach_call(call).addCallback(make_call_reply)
            case "POST", ["v1", "requests", name, "void"]:
                body = read_body(request, VoidRequest)
                return self._reach(
                    lambda: VoidAnswer(
                        worker.void(RequestId(name), body.owner, body.epoch, body.incarnation)
                    )
                )
        raise LookupError("/".join(path))

    def _reach(self, action: Callable[[], msgspec.Struct]) -> Deferred[Reply]:
        """Run an action on the worker and return its result as JSON."""
        answer: Deferred[msgspec.Struct] = self._worker.reach(action)
        return answer.addCallback(make_reply)

    def _hide(self, failure: Failure) -> Reply:
        """Give no answer if the worker is cut off or has crashed."""
        if not failure.check(PeerUnavailableError, AnswerLostError):
            failure.raiseException()
        raise Silence if self._worker.faults.cut_off else Dropped


def make_call_reply(answer: CallAnswer) -> Reply:
    """Return the reply that carries the answer of a call."""
    return Reply(answer.status, answer.body, answer.length, answer.digest)


def read_call(request: HttpRequest, service: ServiceName) -> Call:
    """Read a call from headers and body; raise `BadRequestError` if a header is missing."""

    def read(name: str, default: str | None = None) -> str:
        value = request.getHeader(name)
        if value is None and default is None:
            raise BadRequestError(f"header {name} is missing", step="call")
        return str(default if value is None else value)

    return Call(
        service=service,
        owner=EntryId(read(protocol.HEADER_OWNER)),
        epoch=Epoch(int(read(protocol.HEADER_EPOCH))),
        request=RequestId(read(protocol.HEADER_REQUEST)),
        attempt=AttemptId(read(protocol.HEADER_ATTEMPT)),
        idempotent=read(protocol.HEADER_IDEMPOTENT).lower() in {"1", "true", "yes"},
        deadline_ms=int(read(protocol.HEADER_DEADLINE)),
        body=read_content(request),
        incarnation=Incarnation(read(protocol.HEADER_INCARNATION, "")),
    )
