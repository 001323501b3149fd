"""Pacing of tasks that fill beside tasks that serve."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from lavenderstall.pools.job import Run

# Shares of a target at which filling work is slowed, and below which it may work faster.
HIGH = 0.8
LOW = 0.55
# Steps in percent by which filling work is sped up.
RISE = 20
FULL = 100


class Serving(NamedTuple):
    """Hold the tail of a serving task and its target, both in milliseconds."""

    tail_ms: float
    target_ms: int


def choose_pace(serving: Iterable[Serving], present: int) -> int:
    """Return the pace in percent for the filling work of one worker."""
    worst = max((s.tail_ms / s.target_ms for s in serving if s.target_ms > 0), default=0.0)
    if worst >= 1.0:
        return 0
    if worst >= HIGH:
        return present // 2
    if worst <= LOW:
        return min(FULL, present + RISE)
    return present


def list_changes(serving: list[Serving], fills: Iterable[Run]) -> Iterator[tuple[Run, int]]:
    """Yield the filling runs of one worker whose pace should change."""
    for run in fills:
        pace = choose_pace(serving, run.pace)
        if pace != run.pace:
            yield run, pace
