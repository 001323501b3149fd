"""Adaptive concurrency limits and bounded, fair waiting queues of calls per service."""

import math
from collections import OrderedDict
from enum import Enum

import msgspec

from lavenderstall.deadlines import Deadline
from lavenderstall.errors import RefusedError
from lavenderstall.identifiers import AttemptId, ServiceName, TeamName

STEP = "limits"

INITIAL_LIMIT = 32.0
MINIMUM_LIMIT = 4.0
MAXIMUM_LIMIT = 4096.0
DECREASE_FACTOR = 0.9
# Smoothed latency above this multiple of the unloaded latency indicates a queue at the target.
LATENCY_TOLERANCE = 1.5
LATENCY_WEIGHT = 0.05
# Until this many calls, the smoothed latency depends too much on the first ones.
WARM_UP_CALLS = 20
# The unloaded latency rises slowly, so that a service that became slower is not throttled for
# good; over 10,000 calls it moves 63% of the way.
UNLOADED_LATENCY_WEIGHT = 0.0001

QUEUE_BOUND = 256
MINIMUM_RETRY_MS = 10
MAXIMUM_RETRY_MS = 30_000
# Other services leave a service's recent peak free for one to two windows.
PEAK_WINDOW_S = 30.0


class LimitReason(Enum):
    """Reasons for which a call is refused before it is sent."""

    QUEUE_FULL = "service_queue_full"
    DISPLACED = "displaced_by_other_team"
    DEADLINE = "deadline_cannot_be_met"
    EXPIRED = "expired_while_waiting"


class CallOutcome(Enum):
    """Outcomes of a call that matter for its service's limit."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"
    TIMED_OUT = "timed_out"


class ConcurrencyLimit:
    """Adapt the number of concurrent calls of one service to what it serves (AIMD)."""

    def __init__(
        self,
        initial: float = INITIAL_LIMIT,
        minimum: float = MINIMUM_LIMIT,
        maximum: float = MAXIMUM_LIMIT,
    ) -> None:
        self._limit = initial
        self._minimum = minimum
        self._maximum = maximum
        self._latency_s = 0.0
        self._completed_calls = 0
        self._unloaded_latency_s = math.inf
        self._min_latency_s = math.inf
        self._last_decrease_s = float("-inf")

    @property
    def limit(self) -> int:
        """Return the number of calls that may be in flight."""
        return int(self._limit)

    @property
    def min_latency_s(self) -> float:
        """Return the latency of the shortest recent calls, 0 before the first complete call."""
        return self._min_latency_s if self._completed_calls else 0.0

    @property
    def latency_s(self) -> float:
        """Return the smoothed latency in seconds, 0 before the first complete call."""
        return self._latency_s

    def set_maximum(self, maximum: float) -> None:
        """Bound the limit from above."""
        self._maximum = max(self._minimum, maximum)
        self._limit = min(self._limit, self._maximum)

    def record(self, outcome: CallOutcome, latency_s: float, in_flight: int, now: float) -> None:
        """Add one finished call; `in_flight` includes it. A failure says nothing about load."""
        if outcome is CallOutcome.FAILED:
            return
        if outcome is not CallOutcome.COMPLETE:
            self._decrease(now)
            return
        self._update_latency(latency_s)
        if self._completed_calls < WARM_UP_CALLS:
            return
        if self._latency_s > self._unloaded_latency_s * LATENCY_TOLERANCE:
            self._decrease(now)
        elif in_flight * 2 >= self._limit:
            # Without this condition an idle service would raise its limit without evidence.
            self._limit = min(self._maximum, self._limit + 1 / self._limit)

    def _update_latency(self, latency_s: float) -> None:
        self._completed_calls += 1
        weight = max(LATENCY_WEIGHT, 1 / self._completed_calls)
        self._latency_s += (latency_s - self._latency_s) * weight
        rise = max(0.0, self._latency_s - self._min_latency_s) * UNLOADED_LATENCY_WEIGHT
        self._min_latency_s = min(latency_s, self._min_latency_s + rise)
        if self._completed_calls >= WARM_UP_CALLS:
            rise = max(0.0, self._latency_s - self._unloaded_latency_s) * UNLOADED_LATENCY_WEIGHT
            self._unloaded_latency_s = min(self._latency_s, self._unloaded_latency_s + rise)

    def _decrease(self, now: float) -> None:
        # Calls in flight at a decrease were sent under the old limit; they count once.
        if now - self._last_decrease_s >= self._latency_s:
            self._limit = max(self._minimum, self._limit * DECREASE_FACTOR)
            self._last_decrease_s = now


class Call(msgspec.Struct, frozen=True):
    """What limits need to know about one call."""

    attempt: AttemptId
    service: ServiceName
    team: TeamName
    deadline: Deadline


class RejectedCall(msgspec.Struct, frozen=True):
    """A waiting call that is now refused, with the reason and when to retry."""

    call: Call
    reason: LimitReason
    retry_after_ms: int


class Admitted(msgspec.Struct, frozen=True):
    """Result of admitting a call: it starts now, or waits."""

    starts: bool
    displaced: RejectedCall | None = None


class Dequeued(msgspec.Struct, frozen=True):
    """Calls that left their queues: those to send now and those to refuse."""

    started: list[Call]
    expired: list[RejectedCall]


class ServiceQueue:
    """Waiting calls of one service: round robin over teams, first in first out within each."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        # Ordered dictionaries keep removal from either end and from the middle constant.
        self._teams: OrderedDict[TeamName, OrderedDict[AttemptId, Call]] = OrderedDict()
        self._waiting: dict[AttemptId, TeamName] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def count_ahead(self, team: TeamName) -> int:
        """Return how many calls are served before the next one of that team, at most."""
        team_calls, teams = self._count_calls_and_teams(team)
        return min(len(self), (team_calls + 1) * teams - 1)

    def is_team_over_share(self, team: TeamName) -> bool:
        """Tell whether a team already has its share of the bound or more waiting."""
        team_calls, teams = self._count_calls_and_teams(team)
        return team_calls >= self.bound / teams

    def append(self, call: Call) -> None:
        """Add a call behind its team's calls."""
        if call.attempt in self._waiting:
            raise ValueError(f"attempt {call.attempt} is already waiting")
        self._teams.setdefault(call.team, OrderedDict())[call.attempt] = call
        self._waiting[call.attempt] = call.team

    def pop(self) -> Call:
        """Remove and return the next call: each team in turn, the oldest call first."""
        team = next(iter(self._teams))
        self._teams.move_to_end(team)
        return self._remove(next(iter(self._teams[team].values())))

    def displace(self) -> Call:
        """Remove and return the newest call of the team with the most calls."""
        largest_team_calls = max(self._teams.values(), key=len)
        return self._remove(next(reversed(largest_team_calls.values())))

    def cancel(self, attempt: AttemptId) -> bool:
        """Drop a waiting call; return whether it was waiting."""
        team = self._waiting.get(attempt)
        if team is None:
            return False
        self._remove(self._teams[team][attempt])
        return True

    def _remove(self, call: Call) -> Call:
        calls = self._teams[call.team]
        del calls[call.attempt]
        if not calls:
            del self._teams[call.team]
        del self._waiting[call.attempt]
        return call

    def _count_calls_and_teams(self, team: TeamName) -> tuple[int, int]:
        """Return the calls of a team and the number of teams if it adds one."""
        calls = self._teams.get(team)
        return (len(calls), len(self._teams)) if calls else (0, len(self._teams) + 1)


class RecentPeak:
    """Highest value of the last one to two windows of `PEAK_WINDOW_S`."""

    def __init__(self) -> None:
        self._start = 0.0
        self._current = 0
        self._previous = 0

    def record(self, value: int, now: float) -> None:
        """Add a value."""
        self._rotate_windows(now)
        self._current = max(self._current, value)

    def get(self, now: float) -> int:
        """Return the peak."""
        self._rotate_windows(now)
        return max(self._current, self._previous)

    def _rotate_windows(self, now: float) -> None:
        elapsed = now - self._start
        if elapsed >= PEAK_WINDOW_S:
            self._previous = self._current if elapsed < 2 * PEAK_WINDOW_S else 0
            self._current = 0
            self._start = now


class _ServiceState:
    """Limit, queue and recent peak of one service."""

    def __init__(self, bound: int) -> None:
        self.limit = ConcurrencyLimit()
        self.queue = ServiceQueue(bound)
        self.in_flight = 0
        self.peak = RecentPeak()

    def estimate_wait_s(self, ahead: int) -> float:
        """Return the wait behind that many calls, 0 before the first measurement."""
        servers = max(1, min(self.limit.limit, self.in_flight))
        return (ahead + 1) * self.limit.latency_s / servers

    def estimate_drain_ms(self) -> int:
        """Return the bounded time after which all calls that wait now will have started."""
        return to_retry_ms(self.estimate_wait_s(len(self.queue)))

    def estimate_demand(self, now: float) -> int:
        """Return the concurrency that the service uses, needs for its queue or used recently."""
        return max(self.peak.get(now), self.in_flight + len(self.queue))

    def start(self, now: float) -> None:
        """Count one call that is sent."""
        self.in_flight += 1
        self.peak.record(self.in_flight, now)

    def finish(self, outcome: CallOutcome, latency_s: float, now: float) -> None:
        """Add one finished call."""
        self.limit.record(outcome, latency_s, self.in_flight, now)
        self.in_flight -= 1


class ServiceLimits:
    """Admit calls of all services so that a flood of one does not starve the others.

    `total` bounds the calls in flight of all services together. A service may use all of it
    but for what the others used recently, up to their equal share.
    """

    def __init__(self, total: int, queue_bound: int = QUEUE_BOUND) -> None:
        self._total = total
        self._queue_bound = queue_bound
        self._services: OrderedDict[ServiceName, _ServiceState] = OrderedDict()
        self._in_flight = 0

    def count_in_flight(self, service: ServiceName) -> int:
        """Return the calls of a service that were sent and have not finished."""
        known = self._services.get(service)
        return known.in_flight if known else 0

    def count_waiting(self, service: ServiceName) -> int:
        """Return the calls of a service that wait."""
        known = self._services.get(service)
        return len(known.queue) if known else 0

    def get_limit(self, service: ServiceName) -> int:
        """Return the current concurrency limit of a service."""
        return self._get_or_create(service).limit.limit

    def set_total(self, total: int) -> None:
        """Bound the calls in flight of all services together."""
        self._total = total

    def set_queue_bound(self, service: ServiceName, bound: int) -> None:
        """Bound the calls of a service that wait."""
        self._get_or_create(service).queue.bound = bound

    def set_maximum(self, service: ServiceName, slots: int) -> None:
        """Bound a service's concurrency by the slots that its workers have."""
        self._get_or_create(service).limit.set_maximum(slots)

    def admit(self, call: Call, now: float) -> Admitted:
        """Start a call, let it wait, or raise `RefusedError` with a reason of `LimitReason`."""
        service = self._get_or_create(call.service)
        queue = service.queue
        if not len(queue) and self._may_start(service, now):
            # Nothing waits, so that a call shorter than usual may still meet its deadline.
            _require_deadline(call, 0.0, service.limit.min_latency_s, now)
            self._start(service, now)
            return Admitted(starts=True)
        is_full = len(queue) >= queue.bound
        if is_full and queue.is_team_over_share(call.team):
            raise _refuse(LimitReason.QUEUE_FULL, call, service.estimate_drain_ms())
        wait_s = service.estimate_wait_s(queue.count_ahead(call.team))
        _require_deadline(call, wait_s, service.limit.latency_s, now)
        displaced = None
        if is_full:
            retry_ms = service.estimate_drain_ms()
            displaced = RejectedCall(queue.displace(), LimitReason.DISPLACED, retry_ms)
        queue.append(call)
        return Admitted(starts=False, displaced=displaced)

    def finish(
        self, service: ServiceName, outcome: CallOutcome, latency_s: float, now: float
    ) -> Dequeued:
        """Count a finished call; return the waiting calls that leave their queues."""
        self._get_or_create(service).finish(outcome, latency_s, now)
        self._in_flight -= 1
        return self.start_waiting(now)

    def cancel(self, service: ServiceName, attempt: AttemptId) -> bool:
        """Drop a waiting call; return whether it was waiting."""
        return self._get_or_create(service).queue.cancel(attempt)

    def start_waiting(self, now: float) -> Dequeued:
        """Return the waiting calls that start now and those whose deadline cannot be met."""
        started: list[Call] = []
        expired: list[RejectedCall] = []
        for service in self._services.values():
            queue = service.queue
            while len(queue) and self._may_start(service, now):
                call = queue.pop()
                # A call that is likely to be late would use the slot of one that can be in time.
                if call.deadline.allows(service.limit.latency_s, now):
                    self._start(service, now)
                    started.append(call)
                else:
                    retry_ms = service.estimate_drain_ms()
                    expired.append(RejectedCall(call, LimitReason.EXPIRED, retry_ms))
        if started:
            # The next round begins with another service.
            self._services.move_to_end(next(iter(self._services)))
        return Dequeued(started, expired)

    def _get_or_create(self, name: ServiceName) -> _ServiceState:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _ServiceState(self._queue_bound)
        return service

    def _start(self, service: _ServiceState, now: float) -> None:
        service.start(now)
        self._in_flight += 1

    def _may_start(self, service: _ServiceState, now: float) -> bool:
        if service.in_flight >= service.limit.limit or self._in_flight >= self._total:
            return False
        share = self._total / len(self._services)
        if service.in_flight < share:
            return True
        reserved = sum(
            max(0.0, min(share, other.estimate_demand(now)) - other.in_flight)
            for other in self._services.values()
            if other is not service
        )
        return self._in_flight + reserved < self._total


def to_retry_ms(wait_s: float) -> int:
    """Return a wait in seconds as a bounded number of milliseconds."""
    return max(MINIMUM_RETRY_MS, min(MAXIMUM_RETRY_MS, int(wait_s * 1000)))


def _require_deadline(call: Call, wait_s: float, run_s: float, now: float) -> None:
    if call.deadline.is_expired(now) or not call.deadline.allows(wait_s + run_s, now):
        raise _refuse(LimitReason.DEADLINE, call, to_retry_ms(wait_s))


def _refuse(reason: LimitReason, call: Call, retry_after_ms: int) -> RefusedError:
    return RefusedError(
        f"service {call.service} is at its limit",
        step=STEP,
        reason=reason.value,
        retry_after_ms=retry_after_ms,
    )
