"""Pacing of best-effort runs on workers with latency-sensitive tasks."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from lavenderstall.pools.job import Run

# Shares of the latency target from which best-effort runs are slowed, and up to which sped up.
SLOW_DOWN_SHARE = 0.8
SPEED_UP_SHARE = 0.55
# Increment of the pace, in percent.
SPEED_UP_PERCENT = 20
FULL_PACE = 100


class ServingLatency(NamedTuple):
    """Tail latency of a serving task and its target, both in milliseconds."""

    tail_ms: float
    target_ms: int


def choose_pace(serving: Iterable[ServingLatency], current: int) -> int:
    """Return the pace in percent for best-effort runs: halved near a target, 0 beyond it."""
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
    """Yield the best-effort runs of one worker whose pace changes, with the new pace."""
    for run in best_effort_runs:
        pace = choose_pace(serving, run.pace)
        if pace != run.pace:
            yield run, pace
