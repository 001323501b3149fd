"""Load balancing of calls over workers, and decisions on hedged requests."""

import math
from collections.abc import Container, Sequence
from enum import Enum
from random import Random

import msgspec
from hdrh.histogram import HdrHistogram

from lavenderstall.deadlines import Deadline, RetryBudget
from lavenderstall.identifiers import WorkerId

LATENCY_TIME_CONSTANT_S = 5.0
# A failed call counts at least this long; else a worker that fails at once would look fast.
MIN_FAILURE_LATENCY_S = 2.0
INITIAL_LATENCY_S = 0.01
# After this many random draws without two usable workers, all workers are checked.
MAX_DRAWS = 6

HEDGE_PERCENTILE = 95.0
HEDGE_WINDOW_S = 10.0
# With fewer calls, one or two of them determine the p95.
HEDGE_MIN_CALLS = 40
LATENCY_RANGE_US = (1, 600_000_000)


class PeakLatency:
    """Peak EWMA of latency in seconds: rises at once and decays exponentially."""

    def __init__(self, initial_s: float = INITIAL_LATENCY_S) -> None:
        self._value = initial_s
        self._updated: float | None = None

    def record(self, latency_s: float, now: float) -> None:
        """Add the latency of one complete response."""
        if self._updated is None or latency_s >= self._value:
            self._value = latency_s
        else:
            weight = math.exp(-max(0.0, now - self._updated) / LATENCY_TIME_CONSTANT_S)
            self._value = self._value * weight + latency_s * (1 - weight)
        self._updated = now

    def record_failure(self, latency_s: float, now: float) -> None:
        """Add a failed call, with a latency of at least `MIN_FAILURE_LATENCY_S`."""
        self.record(max(latency_s, MIN_FAILURE_LATENCY_S), now)

    def estimate(self, now: float) -> float:
        """Return the latency now; it decays without calls, so that the worker is tried again."""
        if self._updated is None:
            return self._value
        return self._value * math.exp(-max(0.0, now - self._updated) / LATENCY_TIME_CONSTANT_S)


class CallObstacle(Enum):
    """Reasons why a worker can get no call."""

    NO_REPLICA = "no_replica"
    LEAVING = "leaving"
    QUARANTINED = "quarantined"
    NO_SLOT = "no_slot"
    NO_CONNECTION = "no_connection"


class CallTarget(msgspec.Struct):
    """State of one worker with respect to one service, as known to the owner."""

    worker: WorkerId
    slots: int
    free_slots: int
    free_connections: int
    has_replica: bool = True
    is_leaving: bool = False
    is_quarantined: bool = False
    latency: PeakLatency = msgspec.field(default_factory=PeakLatency)

    def find_obstacle(self) -> CallObstacle | None:
        """Return why no call may go to this worker now, or None."""
        if not self.has_replica:
            return CallObstacle.NO_REPLICA
        if self.is_leaving:
            return CallObstacle.LEAVING
        if self.is_quarantined:
            return CallObstacle.QUARANTINED
        if self.free_slots <= 0:
            return CallObstacle.NO_SLOT
        if self.free_connections <= 0:
            return CallObstacle.NO_CONNECTION
        return None

    def estimate_cost(self, now: float) -> float:
        """Return recent latency weighted by the share of slots in use; lower is better."""
        busy = self.slots - self.free_slots + 1
        return self.latency.estimate(now) * busy / max(1, self.slots)


def choose_target(
    targets: Sequence[CallTarget],
    random: Random,
    now: float,
    avoid: Container[WorkerId] = (),
) -> CallTarget | None:
    """Return the cheaper of two random usable workers, or None if no worker is usable.

    Workers in `avoid`, which got earlier attempts, are chosen only if no other is usable.
    """
    pair: list[CallTarget] = []
    for _ in range(MAX_DRAWS if targets else 0):
        target = targets[int(random.random() * len(targets))]
        if target.find_obstacle() or target.worker in avoid or target in pair:
            continue
        pair.append(target)
        if len(pair) == 2:
            break
    if len(pair) < 2:
        pair = _sample_usable(targets, random, avoid)
    return min(pair, key=lambda target: target.estimate_cost(now), default=None)


def _sample_usable(
    targets: Sequence[CallTarget], random: Random, avoid: Container[WorkerId]
) -> list[CallTarget]:
    usable = [target for target in targets if target.find_obstacle() is None]
    preferred = [target for target in usable if target.worker not in avoid] or usable
    return random.sample(preferred, min(2, len(preferred)))


def count_obstacles(targets: Sequence[CallTarget]) -> dict[CallObstacle, int]:
    """Count the workers that can get no call, by reason."""
    counts: dict[CallObstacle, int] = {}
    for target in targets:
        obstacle = target.find_obstacle()
        if obstacle is not None:
            counts[obstacle] = counts.get(obstacle, 0) + 1
    return counts


class HedgeReason(Enum):
    """Reasons for or against a second attempt while the first is in flight."""

    SLOW = "slow"
    NOT_IDEMPOTENT = "not_idempotent"
    TOO_EARLY = "too_early"
    NO_MEASUREMENT = "no_measurement"
    ALREADY_HEDGED = "already_hedged"
    DEADLINE = "deadline"
    BUDGET = "budget"


class HedgeDecision(msgspec.Struct, frozen=True):
    """Whether to send a second attempt, why, and when to decide again (None: never)."""

    send: bool
    reason: HedgeReason
    wait_s: float | None = None


class HedgePolicy:
    """Decide on second attempts of calls to one service by the p95 of its recent latency."""

    def __init__(self, now: float) -> None:
        self._histogram = HdrHistogram(*LATENCY_RANGE_US, 2)
        self._window_end = now + HEDGE_WINDOW_S
        self._count = 0
        self._delay_s: float | None = None

    def record(self, latency_s: float, now: float) -> None:
        """Add the latency of one first attempt."""
        self._histogram.record_value(max(1, int(latency_s * 1e6)))
        self._count += 1
        due = now >= self._window_end or self._delay_s is None
        if due and self._count >= HEDGE_MIN_CALLS:
            self._delay_s = self._histogram.get_value_at_percentile(HEDGE_PERCENTILE) / 1e6
            self._histogram.reset()
            self._count = 0
            self._window_end = now + HEDGE_WINDOW_S

    def get_delay_s(self) -> float | None:
        """Return the p95 of the last full window, or None before enough calls."""
        return self._delay_s

    def decide(
        self,
        *,
        idempotent: bool,
        attempts: int,
        sent: float,
        deadline: Deadline,
        budget: RetryBudget,
        now: float,
    ) -> HedgeDecision:
        """Decide on a second attempt; one that is sent uses the retry budget."""
        if not idempotent:
            return HedgeDecision(False, HedgeReason.NOT_IDEMPOTENT)
        if attempts > 1:
            return HedgeDecision(False, HedgeReason.ALREADY_HEDGED)
        if self._delay_s is None:
            return HedgeDecision(False, HedgeReason.NO_MEASUREMENT)
        due = sent + self._delay_s
        if now < due:
            return HedgeDecision(False, HedgeReason.TOO_EARLY, due - now)
        if not deadline.allows(self._delay_s, now):
            return HedgeDecision(False, HedgeReason.DEADLINE)
        if not budget.spend_retry(now):
            return HedgeDecision(False, HedgeReason.BUDGET)
        return HedgeDecision(True, HedgeReason.SLOW)
