"""Pacing of tasks that fill beside tasks that serve."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from lavenderstall.pools.job import Run

# Shares of a target at which filling work is slowed, and below which it may work faster.
SLOW_DOWN_SHARE = 0.8
SPEED_UP_SHARE = 0.55
# Steps in percent by which filling work is sped up.
SPEED_UP_PERCENT = 20
FULL_PACE = 100


class ServingLatency(NamedTuple):
    """Hold the tail of a serving task and its target, both in milliseconds."""

    tail_ms: float
    target_ms: int


def choose_pace(serving: Iterable[ServingLatency], current: int) -> int:
    """Return the pace in percent for the filling work of one worker."""
    worst_ratio = max((s.tail_ms / s.target_ms for s in serving if s.target_ms > 0), default=0.0)
    if worst_ratio >= 1.0:
        return 0
    if worst_ratio >= SLOW_DOWN_SHARE:
        return current // 2
    if worst_ratio <= SPEED_UP_SHARE:
        return min(FULL_PACE, current + SPEED_UP_PERCENT)
    return current


def list_pace_changes(
    serving: list[ServingLatency], best_effort_runs: Iterable[Run]
) -> Iterator[tuple[Run, int]]:
    """Yield the filling runs of one worker whose pace should change."""
    for run in best_effort_runs:
        pace = choose_pace(serving, run.pace)
        if pace != run.pace:
            yield run, pace
