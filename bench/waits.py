"""Waiting time by kind at 70% and 95% of capacity."""

from collections.abc import Iterator

from bench.baseline import PlainScheduler
from bench.bounds import find_least_p99
from bench.draws import draw_load, make_workers, measure_supply
from bench.events import LibraryScheduler, Scheduler, run_events
from bench.figures import Figure, find_percentile, make_figure
from lavenderstall.protocol import Kind

LOADS = (0.70, 0.95)
UNTIL_S = 1800.0
WARM_S = 120.0
"""Start of the measurement, after services have reached their usual number."""
PART_OF_BASELINE = 1 / 3
TARGET_LOAD = 0.95


def measure_waits(scheduler: Scheduler, seed: int, load: float) -> dict[Kind, list[float]]:
    """Return the waits of each kind in seconds."""
    arrivals = draw_load(seed, make_workers(20, 8), load, UNTIL_S)
    waits: dict[Kind, list[float]] = {kind: [] for kind in Kind}
    for started in run_events(scheduler, arrivals, UNTIL_S):
        if started.arrival.at >= WARM_S:
            waits[started.arrival.request.kind].append(started.wait)
    return waits


def find_gang_bound(seed: int, load: float) -> float:
    """Return the p99 wait of gangs below which no scheduler can get on these draws."""
    workers = make_workers(20, 8)
    gangs = [
        arrival
        for arrival in draw_load(seed, workers, load, UNTIL_S)
        if arrival.request.kind is Kind.GANG and arrival.at >= WARM_S
    ]
    return find_least_p99(gangs, int(measure_supply(workers, accelerated=True)), UNTIL_S)


def run(seed: int) -> Iterator[Figure]:
    """Yield the median and p99 of each kind and load, and the least p99 of gangs."""
    for load in LOADS:
        ours = measure_waits(LibraryScheduler(make_workers(20, 8)), seed, load)
        plain = measure_waits(PlainScheduler(make_workers(20, 8)), seed, load)
        for kind in Kind:
            for label, part in (("p50", 0.5), ("p99", 0.99)):
                value = find_percentile(ours[kind], part)
                baseline = find_percentile(plain[kind], part)
                name = f"wait_{label}_{kind.value}_{load * 100:.0f}"
                met = value <= baseline * PART_OF_BASELINE if load == TARGET_LOAD else None
                target = "" if met is None else "at most 1/3 of baseline"
                yield make_figure(name, value, "s", seed, baseline=baseline, target=target, met=met)
    bound = find_gang_bound(seed, TARGET_LOAD)
    yield make_figure(f"wait_p99_gang_{TARGET_LOAD * 100:.0f}_bound", bound, "s", seed)
