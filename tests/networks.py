"""Ways between an entry instance and the rest of a cell that tests can hold, cut and delay."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from lavenderstall.errors import AnswerLostError, Outcome, PeerUnavailableError, RefusedError
from lavenderstall.identifiers import EntryId, RequestId, WorkerId
from lavenderstall.links import Receiver
from lavenderstall.protocol import (
    Committed,
    LeaseAnswer,
    LeaseRequest,
    Members,
    Row,
    Rows,
    TasksAnswer,
    TasksRequest,
    Transaction,
)
from lavenderstall.worker_client import VoidRequest, WorkerAnswer, WorkerCall, check_digest
from standins.calls import STATUS_DONE, Call, CallAnswer, CallRefusedError
from standins.links import LocalHub, LocalLinks
from standins.members import MembershipList
from standins.table import Table, TableView
from standins.workers import Worker

T = TypeVar("T")

EXCHANGE_SECONDS = 1.0
LATENCY_SECONDS = 0.001


SHORTEST_SECONDS = 1e-9


class Gate:
    """Run what happens in one process, hold it while the process is paused, drop it once dead.

    It is the clock of the process; `offset` makes its reading differ from that of others.
    """

    def __init__(self, clock: Clock, offset: float = 0.0) -> None:
        self.paused = False
        self.dead = False
        self._clock = clock
        self._offset = offset
        self._held: list[Callable[[], None]] = []

    def seconds(self) -> float:
        return self._clock.seconds() + self._offset

    def callLater(self, delay: float, function: Callable[..., Any], *args: Any, **kw: Any) -> Any:
        timer: Any = None
        if delay > 0:
            # A periodic call may ask for a delay that rounding loses on the shared clock; it would
            # then run again and again at the same time.
            delay = max(delay, SHORTEST_SECONDS)

        def fire() -> None:
            if timer.wanted:
                timer.wanted = False
                function(*args, **kw)

        timer = _Timer(self._clock.callLater(delay, self.run, fire))
        return timer

    def run(self, function: Callable[[], None]) -> None:
        if self.dead:
            return
        if self.paused:
            self._held.append(function)
        else:
            function()

    def resume(self) -> None:
        self.paused = False
        held, self._held = self._held, []
        for function in held:
            self.run(function)

    def guard(self, result: "Deferred[T]") -> "Deferred[T]":
        """Return a deferred that fires inside the process."""
        guarded: Deferred[T] = Deferred()

        def pass_on(value: Any) -> None:
            self.run(lambda: None if guarded.called else guarded.callback(value))

        result.addBoth(pass_on)
        return guarded


class _Timer:
    """Stand for a timer of a process; it stays active while it is held by a pause."""

    def __init__(self, call: Any) -> None:
        self.wanted = True
        self._call = call

    def active(self) -> bool:
        return self.wanted

    def cancel(self) -> None:
        self.wanted = False
        if self._call.active():
            self._call.cancel()

    def getTime(self) -> float:
        return self._call.getTime()


class GatedTable:
    """Reach the table from one process."""

    def __init__(self, gate: Gate, table: Table) -> None:
        self.view = TableView(table)
        self._gate = gate

    def transact(self, transaction: Transaction) -> "Deferred[Committed]":
        return self._gate.guard(self.view.transact(transaction))

    def scan(self, prefix: str) -> "Deferred[Rows]":
        return self._gate.guard(self.view.scan(prefix))

    def read(self, key: str) -> "Deferred[Row | None]":
        return self._gate.guard(self.view.read(key))


class GatedMembers:
    """Read the membership list from one process."""

    def __init__(self, gate: Gate, members: MembershipList) -> None:
        self._gate = gate
        self._members = members

    def list_members(self) -> "Deferred[Members]":
        return self._gate.guard(self._members.list_members())


class GatedLinks(LocalLinks):
    """Deliver messages inside the process; what it sent before its death still arrives."""

    def __init__(self, gate: Gate, clock: Clock, hub: LocalHub, entry: EntryId) -> None:
        super().__init__(clock, hub, entry)
        self._gate = gate

    def set_receiver(self, receiver: Receiver) -> None:
        self.receiver = lambda sender, message: self._gate.run(lambda: receiver(sender, message))


class Roads:
    """Hold the faults on the ways from entry instances to workers."""

    def __init__(self, clock: Clock, workers: dict[WorkerId, Worker]) -> None:
        self.clock = clock
        self.workers = workers
        self.cuts: set[tuple[EntryId, WorkerId]] = set()
        self.delays: dict[tuple[EntryId, WorkerId], float] = {}
        # Messages of these entry instances stay in socket buffers until they are let go.
        self.holding: set[EntryId] = set()
        self.on_send: Callable[[WorkerId, object], None] = lambda worker, message: None
        self._held: dict[EntryId, list[Callable[[], None]]] = {}

    def carry(self, entry: EntryId, worker: WorkerId, arrive: Callable[[], None]) -> None:
        delay = LATENCY_SECONDS + self.delays.get((entry, worker), 0.0)
        if entry in self.holding:
            self._held.setdefault(entry, []).append(arrive)
        else:
            self.clock.callLater(delay, arrive)

    def let_go(self, entry: EntryId) -> int:
        """Deliver what is held; return the number of messages."""
        self.holding.discard(entry)
        held = self._held.pop(entry, [])
        for arrive in held:
            arrive()
        return len(held)


class MemoryClient:
    """Reach workers without sockets, with the time-outs and errors of the HTTP client."""

    def __init__(self, gate: Gate, roads: Roads, entry: EntryId) -> None:
        self._gate = gate
        self._roads = roads
        self._entry = entry

    def renew(self, worker: WorkerId, url: str, request: LeaseRequest) -> "Deferred[LeaseAnswer]":
        target = self._roads.workers[worker]
        sent = copy(request)
        answer = self._send(worker, lambda: target.reach(lambda: target.lease(sent)))
        return answer.addCallback(copy)

    def change_tasks(
        self, worker: WorkerId, url: str, request: TasksRequest
    ) -> "Deferred[TasksAnswer]":
        self._roads.on_send(worker, request)
        target = self._roads.workers[worker]
        sent = copy(request)
        answer = self._send(worker, lambda: target.reach(lambda: target.change_tasks(sent)))
        return answer.addCallback(copy)

    def void_request(
        self, worker: WorkerId, url: str, request: RequestId, void: VoidRequest
    ) -> "Deferred[str]":
        target = self._roads.workers[worker]
        parts = (request, void.owner, void.epoch, void.incarnation)
        answer = self._send(worker, lambda: target.reach(lambda: target.void(*parts)))
        return answer.addCallbacks(lambda state: state.value, explain_refusal(worker))

    def call(self, worker: WorkerId, url: str, call: WorkerCall) -> "Deferred[WorkerAnswer]":
        self._roads.on_send(worker, call)
        target = self._roads.workers[worker]
        sent = Call(
            call.service,
            call.owner,
            call.epoch,
            call.request,
            call.attempt,
            call.idempotent,
            call.remaining_ms,
            call.body,
            call.incarnation,
        )
        answer = self._send(worker, lambda: target.reach_call(sent), call.remaining_ms / 1000)
        return answer.addCallbacks(lambda a: read_answer(worker, a), explain_refusal(worker))

    def _send(
        self,
        worker: WorkerId,
        act: "Callable[[], Deferred[Any]]",
        seconds: float = EXCHANGE_SECONDS,
    ) -> "Deferred[Any]":
        way = (self._entry, worker)
        result: Deferred[Any] = Deferred()
        generation = self._roads.workers[worker].incarnation

        def lose(detail: str) -> None:
            if not result.called:
                result.errback(AnswerLostError(detail, step="await answer", peer=worker))

        def arrive() -> None:
            if way in self._roads.cuts:
                return
            # A restart of the worker breaks the connection that the message is on.
            if self._roads.workers[worker].incarnation != generation:
                self._gate.run(lambda: lose("connection lost"))
                return
            act().addBoth(lambda value: self._roads.clock.callLater(0.001, respond, value))

        def respond(value: Any) -> None:
            if way not in self._roads.cuts:
                self._gate.run(lambda: finish(value))

        def finish(value: Any) -> None:
            if timer.active():
                timer.cancel()
            if not result.called:
                result.callback(value)

        timer = self._gate.callLater(max(seconds, 0.001), lose, "no answer in time")
        if way in self._roads.cuts:
            timer.cancel()
            result.errback(PeerUnavailableError("no way", step="connect", peer=worker))
        else:
            self._roads.carry(self._entry, worker, arrive)
        return result


def copy(message: T) -> T:
    """Return a message as it looks after the way over a wire."""
    return msgspec.json.decode(msgspec.json.encode(message), type=type(message))


def read_answer(worker: WorkerId, answer: CallAnswer) -> WorkerAnswer:
    """Return a whole answer, or raise as the HTTP client does."""
    if answer.status != STATUS_DONE:
        raise RefusedError(
            "the call ran and failed",
            step="worker",
            peer=worker,
            reason="failed",
            outcome=Outcome.FAILED,
        )
    check_digest(worker, answer.digest, answer.body)
    return WorkerAnswer(answer.body, "application/json")


def explain_refusal(worker: WorkerId) -> Callable[[Failure], Any]:
    """Return a handler that turns the worker's refusal into the client's error."""

    def explain(failure: Failure) -> Any:
        error = failure.value
        if not isinstance(error, CallRefusedError):
            return failure
        raise RefusedError(error.detail, step="worker", peer=worker, reason=error.reason.value)

    return explain
