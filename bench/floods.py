"""What other work keeps while one team floods in with tenfold work.

Goodput is the work that ran over the work that would have run without any wait, which removes
the noise of the draws from the comparison. Waits count as at least 10 ms, about what it takes to
reach a worker, because a ratio of two waits near zero has no meaning.
"""

import heapq
from collections.abc import Iterator
from random import Random

import msgspec

from bench.baseline import PlainScheduler
from bench.draws import (
    Source,
    draw_load,
    draw_source,
    get_time,
    make_workers,
    measure_supply,
)
from bench.events import Arrival, LibraryScheduler, Scheduler, Started, run_events
from bench.figures import Figure, find_percentile, make_figure
from lavenderstall.protocol import Kind

LOAD = 0.70
WARM_S = 120.0
FLOOD_AT_S = 240.0
UNTIL_S = 330.0
TENFOLD = 10
URGENT = 9
LEAST_WAIT_S = 0.010
FLOOD = Source(Kind.BATCH, 1.0, 3.0, 1.2, (1000, 2000), (512, 1024, 2048))
FLOOD_TEAM = "flood"
KEPT = 0.98
WAIT_RATIO = 1.5
URGENT_START_S = 2.3


class Effect(msgspec.Struct):
    """What a flood does to other work: goodput kept, p99 waits before and during, in seconds."""

    kept: float
    wait_before: float
    wait_during: float
    urgent_wait: float


def draw_flood(seed: int, priority: int) -> Iterator[Arrival]:
    """Yield the usual load, and a flood of ten times as much from `FLOOD_AT_S` on."""
    workers = make_workers(20, 8)
    rate = TENFOLD * LOAD * measure_supply(workers, accelerated=False) / FLOOD.measure_work()
    flood = draw_source(
        Random(seed), FLOOD, lambda at: rate, UNTIL_S - FLOOD_AT_S, lambda _: (FLOOD_TEAM, priority)
    )
    late = (Arrival(item.at + FLOOD_AT_S, item.request, item.run_s) for item in flood)
    return heapq.merge(draw_load(seed, workers, LOAD, UNTIL_S), late, key=get_time)


def measure_goodput(started: list[Started], begin: float, end: float) -> float:
    """Return the work that ran in a period over what would have run without any wait."""
    ran = sum(measure_work(item.arrival, item.at, begin, end) for item in started)
    offered = sum(measure_work(item.arrival, item.arrival.at, begin, end) for item in started)
    return ran / offered


def measure_work(arrival: Arrival, at: float, begin: float, end: float) -> float:
    """Return the core-seconds that a request takes within a period if it starts at a time."""
    ran = max(min(at + arrival.run_s, end) - max(at, begin), 0.0)
    return ran * len(arrival.request.tasks) * arrival.request.resources.cores_milli / 1000


def measure_flood(scheduler: Scheduler, seed: int, priority: int) -> Effect:
    """Return the effect of a flood of one priority."""
    started = run_events(scheduler, draw_flood(seed, priority), UNTIL_S)
    other = [item for item in started if item.arrival.request.team != FLOOD_TEAM]
    before = measure_goodput(other, WARM_S, FLOOD_AT_S)
    during = measure_goodput(other, FLOOD_AT_S, UNTIL_S)
    return Effect(
        during / before,
        find_wait(other, WARM_S, FLOOD_AT_S),
        find_wait(other, FLOOD_AT_S, UNTIL_S),
        find_wait([i for i in other if i.arrival.request.priority >= 5], FLOOD_AT_S, UNTIL_S),
    )


def find_wait(started: list[Started], begin: float, end: float) -> float:
    """Return the p99 wait of what arrived within a period."""
    waits = [max(item.wait, LEAST_WAIT_S) for item in started if begin <= item.arrival.at < end]
    return find_percentile(waits, 0.99)


def run(seed: int) -> Iterator[Figure]:
    """Yield what a flood of the least and of the most urgent work leaves to others."""
    for label, priority in (("low", 0), ("high", URGENT)):
        ours = measure_flood(LibraryScheduler(make_workers(20, 8)), seed, priority)
        plain = measure_flood(PlainScheduler(make_workers(20, 8)), seed, priority)
        ratio = ours.wait_during / ours.wait_before
        yield make_figure(
            f"flood_{label}_kept",
            ours.kept,
            "ratio",
            seed,
            baseline=plain.kept,
            target=f"at least {KEPT}",
            met=ours.kept >= KEPT,
        )
        yield make_figure(
            f"flood_wait_ratio_{label}",
            ratio,
            "ratio",
            seed,
            baseline=plain.wait_during / plain.wait_before,
            target=f"at most {WAIT_RATIO}",
            met=ratio <= WAIT_RATIO,
        )
        yield make_figure(
            f"urgent_start_p99_{label}",
            ours.urgent_wait,
            "s",
            seed,
            baseline=plain.urgent_wait,
            target=f"at most {URGENT_START_S} s",
            met=ours.urgent_wait <= URGENT_START_S,
        )
        yield make_figure(f"flood_wait_before_{label}", ours.wait_before, "s", seed)
        yield make_figure(f"flood_wait_during_{label}", ours.wait_during, "s", seed)
