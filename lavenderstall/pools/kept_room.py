"""Room that less urgent work leaves free for the queues that go before it.

Answers a load whose long tasks fill the pool, so that short tasks of an urgent queue wait for one
of them to end. What can be preempted is not enough then, as a stop takes longer than an urgent
task may wait.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from math import exp
from typing import NamedTuple

from lavenderstall.pools.team_usage import LIMITED
from lavenderstall.resources import NOTHING, Resources

# The peak of what a queue needed fades to a third within this time.
PEAK_DECAY_S = 8.0
# Room beyond the peak, for arrivals that exceed it.
SPARE_PART = 0.25
# Less urgent work has at least this part of the pool.
MIN_PART = 0.4


class Demand(NamedTuple):
    """What the tasks of one priority need that run or wait."""

    priority: int
    need: Resources


def scale(amounts: Resources, factor: float) -> Resources:
    """Return a multiple of some amounts, rounded down."""
    return Resources(
        int(amounts.cores_milli * factor),
        int(amounts.memory_mb * factor),
        int(amounts.accelerators * factor),
    )


def take_larger(first: Resources, second: Resources) -> Resources:
    """Return the larger one of each amount."""
    return Resources(
        max(first.cores_milli, second.cores_milli),
        max(first.memory_mb, second.memory_mb),
        max(first.accelerators, second.accelerators),
    )


class DemandPeaks:
    """Track the recent peaks of what the queues of each priority need."""

    def __init__(self) -> None:
        self._peaks: dict[int, Resources] = {}
        self._updated_at = 0.0

    def update(self, demands: Iterable[Demand], now: float) -> None:
        """Note what the queues need now."""
        factor = exp(-max(0.0, now - self._updated_at) / PEAK_DECAY_S)
        self._updated_at = now
        totals: defaultdict[int, Resources] = defaultdict(lambda: NOTHING)
        for demand in demands:
            totals[demand.priority] = totals[demand.priority].add(demand.need)
        self._peaks = {
            priority: take_larger(scale(self._peaks.get(priority, NOTHING), factor), need)
            for priority in self._peaks.keys() | totals.keys()
            for need in (totals[priority],)
        }

    def get_kept(self, priority: int, capacity: Resources) -> Resources:
        """Return the room that work of a priority leaves free for more urgent work or its runs."""
        peak = NOTHING
        for other, need in self._peaks.items():
            peak = peak.add(need) if other < priority else peak
        kept, most = scale(peak, 1 + SPARE_PART), scale(capacity, 1 - MIN_PART)
        return Resources(
            min(kept.cores_milli, most.cores_milli),
            min(kept.memory_mb, most.memory_mb),
            min(kept.accelerators, most.accelerators),
        )


class KeptRoom:
    """Limit what the queues of each priority start in one dispatch."""

    def __init__(self) -> None:
        self._peaks = DemandPeaks()
        # What each priority may still take, without those that leave nothing to others.
        self._left: dict[int, Resources] = {}

    def clear(
        self,
        held: Mapping[int, Resources],
        waiting: Iterable[Demand],
        capacity: Resources,
        now: float,
    ) -> None:
        """Begin a dispatch with what runs and waits of each priority."""
        running = [Demand(priority, need) for priority, need in held.items()]
        found = [*running, *waiting]
        self._peaks.update(found, now)
        kept = {
            demand.priority: self._peaks.get_kept(demand.priority, capacity) for demand in found
        }
        self._left = {
            priority: self._measure_left(priority, held, capacity.subtract(amounts))
            for priority, amounts in kept.items()
            if amounts != NOTHING
        }

    def _measure_left(
        self, priority: int, held: Mapping[int, Resources], left: Resources
    ) -> Resources:
        for other, need in held.items():
            left = left.subtract(need) if other >= priority else left
        return left

    def note_started(self, priority: int, need: Resources) -> None:
        """Count a task that is about to start."""
        self._left = {
            other: left.subtract(need) if other <= priority else left
            for other, left in self._left.items()
        }

    def limit(self, priority: int, need: Resources, waiting: list[int]) -> list[int]:
        """Return as many waiting tasks as may start without room that is kept for others."""
        left = self._left.get(priority)
        if left is None:
            return waiting
        return waiting[: count_fitting(need, left, len(waiting))]


def count_fitting(need: Resources, room: Resources, most: int) -> int:
    """Return how many tasks of a need some room holds, up to a number."""
    counts = [
        max(0, getattr(room, name)) // getattr(need, name)
        for name in LIMITED
        if getattr(need, name)
    ]
    return min([most, *counts])
