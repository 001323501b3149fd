"""Cost of cancelling all of a small and of a large queue."""

from collections.abc import Iterator
from random import Random
from statistics import median
from time import perf_counter

from bench.baseline import PlainScheduler
from bench.draws import SOURCES, choose_team, draw_request, make_workers
from bench.figures import Figure, make_figure
from lavenderstall.queues import FairQueue
from lavenderstall.requests import TaskRequest

SMALL, LARGE = 1_000, 100_000
ROUNDS = 20
TURNS = 5
"""Turns, each of one large queue and several small ones."""
BASELINE = 2_000
"""Requests that the baseline cancels in its large queue; each takes a scan."""
COST_RATIO = 1.5


def draw_requests(seed: int, count: int) -> list[TaskRequest]:
    """Return batch and service tasks of several teams."""
    random = Random(seed)
    return [
        draw_request(random, random.choice(SOURCES[:2]), number, 1.0, choose_team(random))
        for number in range(count)
    ]


def measure_cancels(requests: list[TaskRequest], seed: int, *, shuffled: bool = True) -> float:
    """Return the seconds that each cancellation takes, in random order or that of arrival."""
    queue = FairQueue()
    for request in requests:
        queue.push(request, 0.0)
    tasks = [request.tasks[0] for request in requests]
    if shuffled:
        Random(seed).shuffle(tasks)
    begin = perf_counter()
    for task in tasks:
        queue.cancel(task)
    total = perf_counter() - begin
    if len(queue):
        raise ValueError(f"{len(queue)} requests are left")
    return total / len(tasks)


def measure_plain(requests: list[TaskRequest], seed: int) -> float:
    """Return the seconds that each cancellation takes in the baseline."""
    plain = PlainScheduler(make_workers(1, 0))
    for request in requests:
        plain.submit(request, 0.0)
    chosen = Random(seed).sample(requests, min(BASELINE, len(requests)))
    begin = perf_counter()
    for request in chosen:
        plain.cancel(request.tasks[0])
    return (perf_counter() - begin) / len(chosen)


def measure_ratio(requests: list[TaskRequest], seed: int, *, shuffled: bool) -> tuple[float, float]:
    """Return the cost of a cancellation in the large queue, and over that in small ones.

    Both are medians of several turns, because other load on the machine slows memory.
    """
    parts = [requests[first : first + SMALL] for first in range(0, SMALL * ROUNDS, SMALL)]
    large: list[float] = []
    small: list[float] = []
    for _ in range(TURNS):
        small.extend(measure_cancels(part, seed, shuffled=shuffled) for part in parts)
        large.append(measure_cancels(requests, seed, shuffled=shuffled))
    return median(large), median(large) / median(small)


def run(seed: int) -> Iterator[Figure]:
    """Yield the cost of a cancellation at 100,000 over that at 1,000."""
    requests = draw_requests(seed, LARGE)
    large, ratio = measure_ratio(requests, seed, shuffled=True)
    sample = requests[: LARGE // 10]
    theirs = measure_plain(sample, seed) / measure_plain(requests[:SMALL], seed)
    limit = f"at most {COST_RATIO}"
    met = ratio <= COST_RATIO
    yield make_figure("cancel_wave", ratio, "ratio", seed, baseline=theirs, target=limit, met=met)
    _, ratio = measure_ratio(requests, seed, shuffled=False)
    met = ratio <= COST_RATIO
    yield make_figure("cancel_wave_in_order", ratio, "ratio", seed, target=limit, met=met)
    yield make_figure("cancel_cost_100000", large * 1e6, "us", seed)
