"""Calls of one worker incarnation: slots, records of requests and answers."""

import hashlib
from collections import Counter
from enum import Enum

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.identifiers import (
    AttemptId,
    EntryId,
    Epoch,
    Incarnation,
    RequestId,
    ServiceName,
    WorkerId,
)
from lavenderstall.protocol import RefusalReason

STATUS_DONE = 200
STATUS_FAILED = 500


class Call(msgspec.Struct, frozen=True):
    """Hold one call as it reaches a worker; `deadline_ms` is what remains of the deadline."""

    service: ServiceName
    owner: EntryId
    epoch: Epoch
    request: RequestId
    attempt: AttemptId
    idempotent: bool
    deadline_ms: int
    body: bytes = b""
    incarnation: Incarnation = Incarnation("")


class CallAnswer(msgspec.Struct, frozen=True):
    """Hold an answer; `length` and `digest` are of the whole body, which may be cut short."""

    status: int
    body: bytes
    length: int
    digest: str


class CallEcho(msgspec.Struct, frozen=True):
    """Body of the answer to a call."""

    request: RequestId
    attempt: AttemptId
    service: ServiceName
    worker: WorkerId
    incarnation: Incarnation
    outcome: str
    body: str


class CallRefusedError(Exception):
    """A call was not run."""

    def __init__(self, reason: RefusalReason, detail: str = "") -> None:
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason
        self.detail = detail


class RequestState(Enum):
    """States of the record of a non-idempotent request."""

    VOID = "void"
    RUNNING = "running"
    DONE = "done"


class RequestRecord:
    """Remember a non-idempotent request and its first answer."""

    def __init__(self, state: RequestState) -> None:
        self.state = state
        self.answer: CallAnswer | None = None
        self.waiting: list[Deferred[CallAnswer]] = []

    def wait(self) -> Deferred[CallAnswer]:
        """Return the first answer, now or once the request has run."""
        answer: Deferred[CallAnswer] = Deferred()
        if self.answer is not None:
            answer.callback(self.answer)
        else:
            self.waiting.append(answer)
        return answer

    def finish(self, answer: CallAnswer) -> None:
        """Record the first answer and give it to all that wait."""
        self.state = RequestState.DONE
        self.answer = answer
        waiting, self.waiting = self.waiting, []
        for deferred in waiting:
            deferred.callback(answer)


class CallBook:
    """Hold the calls in flight and the records of one incarnation."""

    def __init__(self) -> None:
        self.records: dict[RequestId, RequestRecord] = {}
        self.running: dict[int, Call] = {}
        self.answers: dict[int, Deferred[CallAnswer]] = {}
        self.connections = 0
        self._by_sender: Counter[tuple[EntryId, Epoch]] = Counter()
        self._next = 0

    def begin(self, call: Call) -> tuple[int, Deferred[CallAnswer]]:
        """Add a call in flight."""
        self._next += 1
        self.running[self._next] = call
        self.answers[self._next] = Deferred()
        self._by_sender[(call.owner, call.epoch)] += 1
        return self._next, self.answers[self._next]

    def end(self, number: int) -> Deferred[CallAnswer]:
        """Remove a call in flight and return its answer to be given."""
        call = self.running.pop(number)
        self._by_sender[(call.owner, call.epoch)] -= 1
        return self.answers.pop(number)

    def count_foreign(self, owner: EntryId, epoch: Epoch) -> int:
        """Return the calls in flight that were sent under another owner or epoch."""
        return len(self.running) - self._by_sender[(owner, epoch)]

    def count_service(self, service: ServiceName) -> int:
        """Return the calls in flight of a service."""
        return sum(call.service == service for call in self.running.values())

    def void(self, request: RequestId) -> RequestState:
        """Record a request that was not seen as void, and return its state."""
        record = self.records.setdefault(request, RequestRecord(RequestState.VOID))
        return record.state


def make_answer(call: Call, worker: WorkerId, incarnation: Incarnation, fail: bool) -> CallAnswer:
    """Return the answer that names a call and echoes its body."""
    body = msgspec.json.encode(
        CallEcho(
            call.request,
            call.attempt,
            call.service,
            worker,
            incarnation,
            "failed" if fail else "done",
            call.body.decode("utf-8", "backslashreplace"),
        )
    )
    status = STATUS_FAILED if fail else STATUS_DONE
    return CallAnswer(status, body, len(body), hashlib.sha256(body).hexdigest())
