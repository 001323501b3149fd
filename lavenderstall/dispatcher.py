"""Dispatcher: places the waiting requests of a slice in queue order until none fits."""

from collections.abc import Iterator
from math import inf

import msgspec

from lavenderstall.decisions import Decision, Plan, Wait, apply, decide, fits_reserved_worker
from lavenderstall.lanes import Shape, Waiting
from lavenderstall.protocol import Kind
from lavenderstall.queues import FairQueue
from lavenderstall.reasons import ReasonLog, Record
from lavenderstall.reservations import plan_reservation
from lavenderstall.slice_state import SliceState

MAX_DECISIONS = 256
"""Decisions in one call, so that a call takes a few tens of milliseconds at most."""
RESERVE_AFTER_S = 5.0
"""Wait after which a task that smaller ones overtake gets a reservation."""
GANG_BYPASS_S = 10.0
"""Wait of a gang up to which other gangs may take the workers reserved for it.

Expected ends are often wrong by a factor of ten, so reserved accelerators stand idle for long.
"""
REPLAN_AFTER_S = 10.0
"""Age at which a reservation is replanned, because declared run times are often wrong."""
REVIEW_INTERVAL_S = 0.5


class Dispatched(msgspec.Struct, frozen=True):
    """A decision, and since when its request has waited."""

    decision: Decision
    since: float


class Dispatcher:
    """Dispatch the requests of a queue in a slice; the plans it yields are already applied."""

    def __init__(self, queue: FairQueue, state: SliceState, log: ReasonLog | None = None) -> None:
        self.queue = queue
        self.state = state
        self.log = log
        self._reviewed_at_s = -inf

    def dispatch(self, now: float, limit: int = MAX_DECISIONS) -> Iterator[Dispatched]:
        """Yield plans and final rejections; a request that does not fit now stays in the queue."""
        self._cancel_stale_reservations()
        for _ in range(limit):
            waiting = self._find_reserved_request() or self.queue.peek(now, self.state)
            if waiting is None:
                break
            decision = decide(self.state, waiting.request, now)
            if self.log is not None:
                self.log.add(make_record(decision, now))
            if isinstance(decision, Wait):
                self._handle_wait(waiting, decision, now)
                continue
            self.queue.cancel(waiting.request.tasks[0])
            if isinstance(decision, Plan):
                apply(self.state, decision)
                waiting.shape.closed_since = inf
                self._end_reservation(waiting)
            yield Dispatched(decision, waiting.since)
        if now - self._reviewed_at_s >= REVIEW_INTERVAL_S:
            self._reviewed_at_s = now
            self._review_reservations(now)

    def _find_reserved_request(self) -> Waiting | None:
        """Return a request with a reservation whose shape is open again."""
        if not self.state.reservations:
            return None
        self.queue.update(self.state)
        for kind, reservation in list(self.state.reservations.items()):
            waiting = self.queue.find(reservation.request.tasks[0])
            if waiting is None or not waiting.shape.open:
                continue
            if self.queue.check_quota(waiting.request, self.state) is None:
                return waiting
            self.state.cancel_reservation(kind)
        return None

    def _handle_wait(self, waiting: Waiting, decision: Wait, now: float) -> None:
        """Close the shape of a request that does not fit."""
        task_count = len(waiting.request.tasks)
        fitting = int(decision.reason.numbers.get("places", 0.0))
        waiting.shape.reason = decision.reason
        self.queue.close(waiting.shape, now, task_count - fitting)
        if task_count == 1 and not fits_reserved_worker(self.state, waiting.request):
            self.queue.close_larger_shapes(waiting, now)
        if waiting.request.kind is Kind.GANG and Kind.GANG not in self.state.reservations:
            self._reserve(waiting, now, yields_to_gangs=True)

    def _cancel_stale_reservations(self) -> None:
        """Cancel reservations of requests that no longer wait."""
        for kind, reservation in list(self.state.reservations.items()):
            if reservation.request.tasks[0] not in self.queue:
                self.state.cancel_reservation(kind)

    def _end_reservation(self, waiting: Waiting) -> None:
        reservation = self.state.reservations.get(waiting.request.kind)
        if reservation is not None and reservation.request.tasks == waiting.request.tasks:
            self.state.cancel_reservation(waiting.request.kind)

    def _review_reservations(self, now: float) -> None:
        """Plan a reservation for the first overtaken request of each kind."""
        for kind in Kind:
            current = self.state.reservations.get(kind)
            is_fresh = current is not None and now - current.planned_at_s < REPLAN_AFTER_S
            if current is not None and is_fresh and not current.yields_to_gangs:
                continue
            reserve_after_s = GANG_BYPASS_S if kind is Kind.GANG else RESERVE_AFTER_S
            first = self._find_bypassed(kind, now - reserve_after_s)
            if first is not None:
                self._reserve(first, now)
            elif kind is Kind.GANG and not is_fresh:
                first = self._find_bypassed(kind, now)
                if first is not None:
                    self._reserve(first, now, yields_to_gangs=True)

    def _find_bypassed(self, kind: Kind, before: float) -> Waiting | None:
        """Return the request of lowest rank among the shapes of a kind closed before a time."""
        bypassed = (
            shape
            for shape in self.queue.closed_shapes
            if shape.key.kind is kind and shape.closed_since <= before
        )
        return min(map(find_lowest_rank, bypassed), key=lambda waiting: waiting.rank, default=None)

    def _reserve(self, waiting: Waiting, now: float, *, yields_to_gangs: bool = False) -> None:
        kind = waiting.request.kind
        self.state.cancel_reservation(kind)
        reservation = plan_reservation(self.state, waiting.request, now)
        if reservation is not None:
            reservation = msgspec.structs.replace(reservation, yields_to_gangs=yields_to_gangs)
            self.state.reserve(kind, reservation)


def make_record(decision: Decision, now: float) -> Record:
    """Return the record of a decision for the log of reasons."""
    request = decision.request
    placements = decision.placements if isinstance(decision, Plan) else ()
    return Record(
        now,
        type(decision).__name__.lower(),
        decision.reason,
        request.tasks,
        request.job,
        tuple({placement.worker: None for placement in placements}),
        request.request or None,
    )


def find_lowest_rank(shape: Shape) -> Waiting:
    """Return the waiting request of lowest rank of a shape."""
    heads = (backlog.peek() for backlog in shape.lanes.values())
    return min((head for head in heads if head is not None), key=lambda head: head.rank)
