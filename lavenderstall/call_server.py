"""Calls at the owner of a slice: admission, worker choice, binding and dispatch."""

import logging
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Protocol

from twisted.internet.defer import Deferred

from lavenderstall.balancing import CallTarget, PeakLatency, choose_target
from lavenderstall.bindings import Binding
from lavenderstall.clocks import Clock, sleep
from lavenderstall.deadlines import Deadline
from lavenderstall.errors import (
    AnswerLostError,
    ConflictError,
    FencedError,
    LavenderstallError,
    Outcome,
    PeerUnavailableError,
    RefusedError,
)
from lavenderstall.fleet import WorkerLink
from lavenderstall.identifiers import RequestId, ServiceName, SliceName, TeamName, WorkerId
from lavenderstall.limits import Call, CallOutcome, Dequeued, ServiceLimits
from lavenderstall.messages import CallAnswer, CallForward
from lavenderstall.protocol import Committed, Condition, Put, Row
from lavenderstall.records import (
    REASON_UNREADABLE,
    RequestBindingRow,
    UnreadableRowError,
    decode_row,
    encode_row,
    make_binding_key,
)
from lavenderstall.schemas import Calls

logger = logging.getLogger(__name__)

REASON_VOID = "void"
REASON_INCARNATION = "incarnation"
RETRY_DELAY_SECONDS = 0.05
BIND_TIMEOUT_SECONDS = 2.0
# Fraction of the time to the deadline that a call may wait before dispatch. The rest lets a
# refusal reach the caller before the deadline, after which the outcome would be unknown.
MAX_WAIT_FRACTION = 0.8

CALL_OUTCOMES = {
    Outcome.DONE: CallOutcome.COMPLETE,
    Outcome.FAILED: CallOutcome.FAILED,
    Outcome.NOT_RUN: CallOutcome.REFUSED,
    Outcome.UNKNOWN: CallOutcome.TIMED_OUT,
}


class Commits(Protocol):
    """Submit rows to the group commit."""

    def is_stalled(self) -> bool:
        """Return whether the table service accepted no writes lately."""

    def submit(
        self,
        conditions: Iterable[Condition] = (),
        puts: Iterable[Put] = (),
        deletes: Iterable[str] = (),
        *,
        timeout: float,
    ) -> "Deferred[Committed]":
        """Commit rows atomically, or fail within the timeout in seconds."""


class CallServer:
    """Serve the calls forwarded to the owner of one slice."""

    def __init__(
        self,
        name: SliceName,
        links: Mapping[WorkerId, WorkerLink],
        find_replicas: Callable[[ServiceName], frozenset[WorkerId]],
        is_quarantined: Callable[[WorkerId], bool],
        commits: Commits,
        read_row: "Callable[[str], Deferred[Row | None]]",
        clock: Clock,
        random: Random,
        make_nonce: Callable[[], str],
        read_unix: Callable[[], float],
        find_calls: Callable[[ServiceName], Calls],
    ) -> None:
        self.name = name
        self.in_flight = 0
        self.draining = False
        self._links = links
        self._find_replicas = find_replicas
        self._is_quarantined = is_quarantined
        self._commits = commits
        self._read_row = read_row
        self._clock = clock
        self._random = random
        self._make_nonce = make_nonce
        self._read_unix = read_unix
        self._find_calls = find_calls
        self._limits = ServiceLimits(total=0)
        self._waiting: dict[str, Deferred[None]] = {}
        self._running: Counter[tuple[WorkerId, ServiceName]] = Counter()
        self._latencies: dict[WorkerId, PeakLatency] = {}

    def list_targets(self, service: ServiceName) -> list[CallTarget]:
        """Return the load and state of each worker with a replica of a service."""
        return [
            self._make_target(self._links[worker], service)
            for worker in sorted(self._find_replicas(service))
            if worker in self._links
        ]

    def _make_target(self, link: WorkerLink, service: ServiceName) -> CallTarget:
        free = link.free_slots if link.usable else 0
        declared = self._find_calls(service)
        running = self._running[link.id, service]
        return CallTarget(
            worker=link.id,
            slots=min(link.capacity.slots, declared.slots),
            free_slots=min(free, declared.slots - running),
            free_connections=min(free, declared.connections - running),
            is_leaving=link.leaving,
            is_quarantined=self._is_quarantined(link.id),
            latency=self._latencies.setdefault(link.id, PeakLatency()),
        )

    def update_call_limit(self) -> None:
        """Limit concurrent calls to the slots of the usable workers."""
        total = sum(link.capacity.slots for link in self._links.values() if link.usable)
        self._limits.set_total(total)
        self._notify_waiting(self._limits.start_waiting(self._clock.seconds()))

    async def serve(self, forward: CallForward) -> CallAnswer:
        """Serve one call and return its outcome; errors become outcomes."""
        self.in_flight += 1
        try:
            return await self._serve(forward)
        except RefusedError as error:
            outcome = error.outcome
            may_have_run = forward.retry and not forward.idempotent and error.reason != REASON_VOID
            if outcome is Outcome.NOT_RUN and may_have_run:
                # An earlier attempt of this request may have run or may still run.
                outcome = Outcome.UNKNOWN
            return CallAnswer(
                forward.call,
                outcome,
                reason=error.reason,
                detail=str(error),
                retry_after_ms=error.retry_after_ms,
            )
        except AnswerLostError as error:
            return CallAnswer(forward.call, Outcome.UNKNOWN, "answer_lost", str(error))
        finally:
            self.in_flight -= 1

    async def _serve(self, forward: CallForward) -> CallAnswer:
        deadline = Deadline.from_remaining(forward.remaining_ms, self._clock.seconds())
        if self.draining:
            raise RefusedError("the owner leaves", step="admit", reason="draining")
        call = Call(forward.call, forward.service, forward.team, deadline)
        await self._admit(call)
        started = self._clock.seconds()
        outcome = Outcome.FAILED
        try:
            bound = None if forward.idempotent else await self._find_binding(forward, deadline)
        except Exception:
            # The latency of the table service says nothing about the load of the workers.
            self._finish_call(call, started, outcome)
            raise
        started = self._clock.seconds()
        try:
            answer = await self._run(forward, bound, deadline)
            outcome = answer.outcome
            return answer
        except RefusedError as error:
            outcome = error.outcome
            raise
        except AnswerLostError:
            outcome = Outcome.UNKNOWN
            raise
        finally:
            self._finish_call(call, started, outcome)

    def _finish_call(self, call: Call, started: float, outcome: Outcome) -> None:
        now = self._clock.seconds()
        self._notify_waiting(
            self._limits.finish(call.service, CALL_OUTCOMES[outcome], now - started, now)
        )

    async def _admit(self, call: Call) -> None:
        self._limits.set_queue_bound(call.service, self._find_calls(call.service).waiting)
        admitted = self._limits.admit(call, self._clock.seconds())
        if admitted.displaced is not None:
            self._notify_waiting(Dequeued([], [admitted.displaced]))
        if admitted.starts:
            return
        waiting: Deferred[None] = Deferred()
        self._waiting[call.attempt] = waiting
        remaining = call.deadline.get_remaining_ms(self._clock.seconds()) / 1000
        timer = self._clock.callLater(MAX_WAIT_FRACTION * remaining, self._expire, call)
        try:
            await waiting
        finally:
            if timer.active():
                timer.cancel()

    def _expire(self, call: Call) -> None:
        if self._limits.cancel(call.service, call.attempt):
            self._fail_waiting(call, "deadline", 0)

    def _fail_waiting(self, call: Call, reason: str, retry_after_ms: int) -> None:
        waiting = self._waiting.pop(call.attempt, None)
        if waiting is not None:
            waiting.errback(
                RefusedError(
                    "the call waited and was not sent",
                    step="admit",
                    reason=reason,
                    retry_after_ms=retry_after_ms,
                )
            )

    def _notify_waiting(self, released: Dequeued) -> None:
        for displaced in released.expired:
            self._fail_waiting(displaced.call, displaced.reason.value, displaced.retry_after_ms)
        for call in released.started:
            waiting = self._waiting.pop(call.attempt, None)
            if waiting is not None:
                waiting.callback(None)

    async def _find_binding(self, forward: CallForward, deadline: Deadline) -> tuple[Binding, bool]:
        """Return the binding of a request, and whether an earlier attempt may have run."""
        if forward.worker:
            return Binding(self.name, forward.worker, forward.incarnation), forward.retry
        binding, bound_before = await self._bind_request(forward, deadline)
        return binding, forward.retry or bound_before

    async def _run(
        self, forward: CallForward, bound: tuple[Binding, bool] | None, deadline: Deadline
    ) -> CallAnswer:
        if bound is None:
            return await self._send(forward, self._choose_worker(forward.service), deadline)
        binding, may_have_run = bound
        if binding.slice != self.name:
            return CallAnswer(
                forward.call,
                Outcome.UNKNOWN,
                "bound_elsewhere",
                worker=binding.worker,
                incarnation=binding.incarnation,
                bound=binding.slice,
            )
        return await self._send_bound(forward, binding, deadline, may_have_run=may_have_run)

    def _choose_worker(self, service: ServiceName) -> WorkerLink:
        targets = self.list_targets(service)
        target = choose_target(targets, self._random, self._clock.seconds())
        if target is None:
            raise RefusedError(
                f"no worker of slice {self.name} has a free slot for {service}",
                step="choose worker",
                reason="full" if targets else "no_replica",
                retry_after_ms=50,
            )
        return self._links[target.worker]

    async def _send(self, forward: CallForward, link: WorkerLink, deadline: Deadline) -> CallAnswer:
        started = self._clock.seconds()
        latency = self._latencies.setdefault(link.id, PeakLatency())
        self._running[link.id, forward.service] += 1
        try:
            answer = await link.call(
                forward.service,
                forward.request,
                forward.call,
                deadline.get_remaining_ms(started),
                forward.body,
                idempotent=forward.idempotent,
                trace=forward.trace,
            )
        except (FencedError, PeerUnavailableError) as error:
            raise RefusedError(str(error), step="send", peer=link.id, reason="moved") from error
        except (AnswerLostError, RefusedError):
            now = self._clock.seconds()
            latency.record_failure(now - started, now)
            raise
        finally:
            self._running[link.id, forward.service] -= 1
        now = self._clock.seconds()
        latency.record(now - started, now)
        return CallAnswer(
            forward.call,
            Outcome.DONE,
            body=answer.body,
            worker=link.id,
            incarnation=link.incarnation,
            content_type=answer.content_type,
        )

    async def _bind_request(self, forward: CallForward, deadline: Deadline) -> tuple[Binding, bool]:
        """Commit the binding of a request; return it and whether an earlier attempt made it."""
        if self._commits.is_stalled():
            # Calls waiting here in an outage would occupy the slots of calls that need no row.
            raise RefusedError(
                "the table service takes no writes",
                step="bind",
                reason="store_unavailable",
                retry_after_ms=1000,
            )
        link = self._choose_worker(forward.service)
        key = make_binding_key(forward.team, forward.request)
        row = RequestBindingRow(
            forward.request,
            self.name,
            link.id,
            link.incarnation,
            self._make_nonce(),
            self._read_unix(),
        )
        remaining = deadline.get_remaining_ms(self._clock.seconds()) / 1000
        timeout = min(BIND_TIMEOUT_SECONDS, MAX_WAIT_FRACTION * remaining)
        try:
            await self._commits.submit(
                [Condition(key, 0)], [Put(key, encode_row(row))], timeout=timeout
            )
        except ConflictError:
            return await self._read_binding(forward.team, forward.request), True
        except RefusedError:
            raise
        except LavenderstallError as error:
            raise RefusedError(
                f"the request could not be bound to a worker: {error}",
                step="bind",
                reason="store_unavailable",
                retry_after_ms=1000,
            ) from error
        return Binding(row.slice, row.worker, row.incarnation), False

    async def _read_binding(self, team: TeamName, request: RequestId) -> Binding:
        try:
            row = await self._read_row(make_binding_key(team, request))
            bound = None if row is None else decode_row(row, RequestBindingRow)
        except UnreadableRowError as error:
            raise RefusedError(
                str(error), step="read binding", reason=REASON_UNREADABLE, outcome=Outcome.UNKNOWN
            ) from error
        except LavenderstallError as error:
            raise RefusedError(
                str(error), step="read binding", reason="store_unavailable", outcome=Outcome.UNKNOWN
            ) from error
        if bound is None:
            raise RefusedError(
                "the binding has expired",
                step="read binding",
                reason="expired",
                outcome=Outcome.UNKNOWN,
            )
        return Binding(bound.slice, bound.worker, bound.incarnation)

    async def _send_bound(
        self, forward: CallForward, binding: Binding, deadline: Deadline, *, may_have_run: bool
    ) -> CallAnswer:
        """Retry at the bound worker until the outcome is known; it runs a request only once."""
        while True:
            link = self._links.get(binding.worker)
            if link is not None and link.incarnation not in {"", binding.incarnation}:
                raise make_restart_error(binding)
            try:
                if link is None:
                    raise RefusedError(
                        "the worker is not known here",
                        step="send",
                        peer=binding.worker,
                        reason="unreachable",
                    )
                return await self._send(forward, link, deadline)
            except AnswerLostError:
                may_have_run = True
            except RefusedError as error:
                if error.outcome is not Outcome.NOT_RUN:
                    raise
                if not may_have_run:
                    raise
                if error.reason == REASON_INCARNATION:
                    raise make_restart_error(binding) from error
                if link is not None and await self._is_void(link, forward.request, binding):
                    raise RefusedError(
                        "the worker refuses this request from now on",
                        step="send",
                        peer=link.id,
                        reason=REASON_VOID,
                    ) from error
            await self._wait_before_retry(deadline)

    async def _wait_before_retry(self, deadline: Deadline) -> None:
        if not deadline.allows(RETRY_DELAY_SECONDS, self._clock.seconds()):
            raise AnswerLostError("the deadline passed", step="await answer")
        await sleep(self._clock, RETRY_DELAY_SECONDS)

    async def _is_void(self, link: WorkerLink, request: RequestId, binding: Binding) -> bool:
        """Void the request at the bound worker incarnation; return whether it never runs there."""
        try:
            return await link.void_request(request, binding.incarnation) == "void"
        except RefusedError as error:
            if error.reason == REASON_INCARNATION:
                raise make_restart_error(binding) from error
            return False
        except LavenderstallError as error:
            logger.info("cannot void request %s: %s", request, error)
            return False


def make_restart_error(binding: Binding) -> RefusedError:
    """Return the error for a request whose worker restarted and lost its record of it."""
    return RefusedError(
        "the worker lost its record of the request",
        step="send",
        peer=binding.worker,
        reason=REASON_INCARNATION,
        outcome=Outcome.UNKNOWN,
    )
