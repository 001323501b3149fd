"""HTTP interface for callers and operators."""

import hashlib
import logging
import re
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar

import msgspec
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from lavenderstall import protocol
from lavenderstall.access import Caller
from lavenderstall.bindings import check_request_id
from lavenderstall.bodies import ApplyRequest, JobRequest, QueryRequest, list_unknown_fields
from lavenderstall.bounded_requests import DEFAULT_MAX_BODY_BYTES, BoundedRequest
from lavenderstall.call_routing import CallRequest
from lavenderstall.deadlines import Deadline
from lavenderstall.decoding import UnreadableError, decode_json
from lavenderstall.entry import Entry
from lavenderstall.errors import BadRequestError, Outcome, RefusedError
from lavenderstall.identifiers import JobId, RequestId, ServiceName, TeamName
from lavenderstall.operations import Operations
from lavenderstall.rejections import describe_error
from lavenderstall.schemas import Demand, Right

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = DEFAULT_MAX_BODY_BYTES
MAX_DEADLINE_MS = 600_000
JOB_POLL_SECONDS = 0.1
JSON = "application/json"
TEXT = "text/plain; charset=utf-8"


class Reply(msgspec.Struct):
    """HTTP response of a handler."""

    status: int
    body: bytes
    content_type: str = JSON
    headers: dict[str, str] = {}


class IssuedId(msgspec.Struct):
    """Response body with an issued request id."""

    request_id: RequestId


class IssueIdRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Request body for a request id that is bound to a worker of a service."""

    service: ServiceName


class RequestContext:
    """Path arguments, headers, query arguments and body of one request."""

    def __init__(self, request: BoundedRequest, path: tuple[str, ...]) -> None:
        self.path = path
        self.body = request.content.getvalue() if request.content else b""
        self.headers: Headers = request.requestHeaders
        self.arguments = {
            key.decode("utf-8", "replace"): values[-1].decode("utf-8", "replace")
            for key, values in request.args.items()
        }

    def get_header(self, name: str, default: str = "") -> str:
        """Return the first value of a header, or the default."""
        values = self.headers.getRawHeaders(name.encode(), [default.encode()])
        return values[0].decode("utf-8", "replace")

    def get_integer_header(self, name: str, default: int, low: int, high: int) -> int:
        """Return an integer header; raise `BadRequestError` if it is not within the bounds."""
        text = self.get_header(name, str(default))
        if not re.fullmatch(r"-?[0-9]{1,12}", text) or not low <= int(text) <= high:
            raise BadRequestError(
                f"header {name} is {text[:40]!r}, must be {low} to {high}", step="read header"
            )
        return int(text)

    def get_flag_header(self, name: str, *, default: bool) -> bool:
        """Return a yes/no header; raise `BadRequestError` for any other value."""
        text = self.get_header(name, "yes" if default else "no").lower()
        if text not in {"yes", "no"}:
            raise BadRequestError(
                f"header {name} is {text[:40]!r}, must be yes or no", step="read header"
            )
        return text == "yes"

    def decode(self, kind: type) -> Any:
        """Return the decoded body, or raise `BadRequestError` that names the invalid field."""
        try:
            value: Any = decode_json(self.body, kind)
            plain: Any = decode_json(self.body, object)
        except UnreadableError as error:
            raise BadRequestError(str(error), step="read body") from error
        unknown = list_unknown_fields(plain, msgspec.inspect.type_info(kind))
        if unknown:
            raise BadRequestError(f"unknown fields: {', '.join(unknown)[:300]}", step="read body")
        return value


Handler = Callable[[RequestContext], Awaitable[Reply]]


def make_json_reply(status: int, value: object, **headers: str) -> Reply:
    """Return a JSON response."""
    return Reply(status, msgspec.json.encode(value), JSON, headers)


def make_error_reply(error: Exception, request_id: str = "") -> Reply:
    """Return the response for an error."""
    status, rejection = describe_error(error)
    rejection = msgspec.structs.replace(rejection, request_id=RequestId(request_id))
    retry = rejection.retry_after_ms
    headers = {"Retry-After": str(-(-retry // 1000))} if retry else {}
    return make_json_reply(status, rejection, **headers)


class ApiResource(Resource):
    """Dispatch requests by method and path."""

    isLeaf = True  # noqa: N815  (name set by twisted.web)

    routes: ClassVar[tuple[tuple[str, str, str], ...]] = (
        ("POST", "/v1/calls/{}", "call"),
        ("POST", "/v1/requests", "issue"),
        ("POST", "/v1/jobs", "submit"),
        ("GET", "/v1/jobs/{}", "read_job"),
        ("DELETE", "/v1/jobs/{}", "cancel_job"),
        ("POST", "/v1/query", "query"),
        ("POST", "/v1/apply", "apply"),
        ("GET", "/v1/changes", "list_changes"),
        ("GET", "/v1/config", "read_config"),
        ("GET", "/v1/traces/{}", "read_trace"),
        ("GET", "/healthz", "check_health"),
        ("GET", "/metrics", "read_metrics"),
    )

    def __init__(self, entry: Entry) -> None:
        super().__init__()
        self._entry = entry
        self._operations = Operations(entry)
        self._patterns = [
            (method, re.compile(re.escape(path).replace(r"\{\}", "([^/]+)")), name)
            for method, path, name in self.routes
        ]

    def render(self, request: BoundedRequest) -> int:
        """Send the reply when the handler finishes, unless the client has disconnected."""
        disconnects: list[object] = []
        request.notifyFinish().addErrback(disconnects.append)
        answer = Deferred.fromCoroutine(self._answer(request))
        answer.addCallback(lambda reply: None if disconnects else send_reply(request, reply))
        answer.addErrback(lambda failure: logger.error("cannot send HTTP response: %s", failure))
        self._entry.track_request(answer)
        return NOT_DONE_YET

    async def _answer(self, request: BoundedRequest) -> Reply:
        request_id = ""
        try:
            handler, path = self._find_handler(request)
            context = RequestContext(request, path)
            request_id = context.get_header(protocol.HEADER_REQUEST)[:200]
            if request.oversized:
                raise BadRequestError(
                    f"the body is larger than {MAX_BODY_BYTES} bytes", step="read body"
                )
            return await handler(context)
        except Exception as error:
            return make_error_reply(error, request_id)

    def _find_handler(self, request: BoundedRequest) -> tuple[Handler, tuple[str, ...]]:
        path = request.path.decode("utf-8", "replace")
        method = request.method.decode("ascii", "replace")
        allowed = set()
        for allowed_method, pattern, name in self._patterns:
            match = pattern.fullmatch(path)
            if match and allowed_method == method:
                return getattr(self, f"_{name}"), match.groups()
            if match:
                allowed.add(allowed_method)
        if allowed:
            raise BadRequestError(
                f"{method} is not allowed on {path[:80]!r}, only {', '.join(sorted(allowed))}",
                step="find handler",
            )
        known = ", ".join(sorted({path for _, path, _ in self.routes}))
        raise BadRequestError(
            f"path {path[:80]!r} does not exist; known are {known}", step="find handler"
        )

    def _get_caller(self, context: RequestContext) -> Caller:
        return self._entry.access.get_caller(context.get_header("Authorization"))

    def _get_operator(self, context: RequestContext, right: Right) -> Caller:
        return self._entry.access.get_operator(context.get_header("Authorization"), right)

    def _get_team(self, context: RequestContext) -> TeamName:
        return self._entry.access.get_team(context.get_header("Authorization"))

    async def _call(self, context: RequestContext) -> Reply:
        team = self._get_team(context)
        attempt = context.get_integer_header(protocol.HEADER_ATTEMPT_NUMBER, 1, 1, 1000)
        calls = self._entry.find_calls(ServiceName(context.path[0]))
        default_ms = min(calls.deadline_ms, MAX_DEADLINE_MS)
        remaining_ms = context.get_integer_header(
            protocol.HEADER_DEADLINE, default_ms, 1, MAX_DEADLINE_MS
        )
        idempotent = context.get_flag_header(protocol.HEADER_IDEMPOTENT, default=False)
        given_id = context.get_header(protocol.HEADER_REQUEST)
        if not given_id and not idempotent:
            raise BadRequestError(
                f"a call that is not idempotent needs the header {protocol.HEADER_REQUEST}",
                step="read header",
            )
        request = check_request_id(given_id) if given_id else RequestId(self._entry.make_nonce())
        with self._entry.traces.span(
            "receive call", request, context.get_header("traceparent")
        ) as span:
            call = CallRequest(
                ServiceName(context.path[0]),
                team,
                request,
                Deadline.from_remaining(remaining_ms, self._entry.clock.seconds()),
                context.body,
                idempotent,
                attempt > 1,
                span.traceparent,
                calls.hedged,
            )
            answer = await self._entry.call(call)
            span.add_attributes(outcome=answer.outcome.value, reason=answer.reason, team=team)
        if answer.outcome is Outcome.DONE:
            return Reply(
                200,
                answer.body,
                answer.content_type or JSON,
                {
                    protocol.HEADER_REQUEST: request,
                    protocol.HEADER_DIGEST: hashlib.sha256(answer.body).hexdigest(),
                    "X-Outcome": answer.outcome.value,
                    "X-Worker": answer.worker,
                },
            )
        refusal = RefusedError(
            answer.detail,
            step="call",
            peer=answer.worker,
            reason=answer.reason,
            outcome=answer.outcome,
            retry_after_ms=answer.retry_after_ms,
        )
        now = self._entry.clock.seconds()
        self._entry.refusals.add(now, request, team, Demand.CALLS, refusal, context.path[0])
        return make_error_reply(refusal, request)

    async def _issue(self, context: RequestContext) -> Reply:
        self._get_team(context)
        body = context.decode(IssueIdRequest)
        return make_json_reply(200, IssuedId(self._entry.issue_request(body.service)))

    async def _submit(self, context: RequestContext) -> Reply:
        caller = self._get_caller(context)
        body = context.decode(JobRequest)
        attempt = context.get_integer_header(protocol.HEADER_ATTEMPT_NUMBER, 1, 1, 1000)
        return make_json_reply(202, await self._operations.submit(body, caller, retry=attempt > 1))

    async def _read_job(self, context: RequestContext) -> Reply:
        caller = self._get_caller(context)
        text = context.arguments.get("wait_ms", "0")
        if not re.fullmatch(r"[0-9]{1,12}", text) or int(text) > MAX_DEADLINE_MS:
            raise BadRequestError(
                f"wait_ms is {text[:40]!r}, must be 0 to {MAX_DEADLINE_MS}", step="read argument"
            )
        job = JobId(context.path[0])
        return make_json_reply(200, await self._operations.read_job(job, caller, int(text) / 1000))

    async def _cancel_job(self, context: RequestContext) -> Reply:
        caller = self._get_caller(context)
        job = JobId(context.path[0])
        return make_json_reply(200, await self._operations.cancel_job(job, caller))

    async def _query(self, context: RequestContext) -> Reply:
        caller = self._get_operator(context, Right.READ)
        body = context.decode(QueryRequest)
        queries = self._entry.queries
        return make_json_reply(200, await queries.answer(body.text, caller, body.seen))

    async def _apply(self, context: RequestContext) -> Reply:
        body = context.decode(ApplyRequest)
        right = Right.READ if body.preview else Right.CHANGE
        caller = self._get_operator(context, right)
        return make_json_reply(200, await self._operations.apply(body, caller))

    async def _list_changes(self, context: RequestContext) -> Reply:
        self._get_operator(context, Right.READ)
        return make_json_reply(200, await self._operations.list_changes())

    async def _read_config(self, context: RequestContext) -> Reply:
        self._get_operator(context, Right.READ)
        return make_json_reply(200, self._operations.describe_config())

    async def _read_trace(self, context: RequestContext) -> Reply:
        self._get_operator(context, Right.READ)
        request = RequestId(context.path[0])
        return make_json_reply(200, await self._entry.queries.collect_trace(request))

    async def _check_health(self, context: RequestContext) -> Reply:
        status = 200 if self._entry.is_ready() else 503
        return make_json_reply(status, self._operations.describe_health())

    async def _read_metrics(self, context: RequestContext) -> Reply:
        return Reply(200, self._entry.metrics.render_page().encode(), TEXT)


def send_reply(request: Request, reply: Reply) -> None:
    """Write a reply to a Twisted request and finish it."""
    request.setResponseCode(reply.status)
    request.setHeader("Content-Type", reply.content_type)
    request.setHeader("Content-Length", str(len(reply.body)))
    for name, value in reply.headers.items():
        request.setHeader(name, value)
    request.write(reply.body)
    request.finish()


def make_site(entry: Entry) -> Site:
    """Return the site that serves an entry instance."""
    return Site(ApiResource(entry), requestFactory=BoundedRequest)
