"""Use of the scarcest resource when the first work is refused for want of room."""

from collections.abc import Iterator
from random import Random

from bench.baseline import PlainScheduler
from bench.draws import Source, draw_request, make_workers
from bench.figures import Figure, make_figure
from lavenderstall.decisions import Plan, apply, decide
from lavenderstall.protocol import Kind
from lavenderstall.requests import TaskRequest
from lavenderstall.resources import NOTHING, Resources, measure_dominant_share
from lavenderstall.slice_state import SliceState

PACKING = 0.95
ROUNDS = 20
CALL, IMAGE = 20, 8
SOURCES = (
    Source(Kind.BATCH, 0.75, 3.0, 1.0, (250, 500, 1000, 2000, 4000), (256, 512, 1024, 4096)),
    Source(Kind.SERVICE, 0.2, 60.0, 1.0, (1000, 2000, 4000), (1024, 2048, 8192)),
    Source(Kind.BATCH, 0.05, 60.0, 1.0, (1000, 2000), (1024, 2048), (1,), 1),
)
"""Few accelerator tasks, so that cores run out first and accelerators do not."""


def draw_requests(seed: int) -> Iterator[TaskRequest]:
    """Yield tasks without end."""
    random = Random(seed)
    number = 0
    while True:
        number += 1
        weights = [source.part for source in SOURCES]
        source = random.choices(SOURCES, weights)[0]
        yield draw_request(random, source, number, 60.0, ("team", 0))


def pack_library(seed: int) -> float:
    """Return the part of the scarcest resource in use at the first refusal."""
    state = SliceState(make_workers(CALL, IMAGE))
    for request in draw_requests(seed):
        decision = decide(state, request, 0.0)
        if not isinstance(decision, Plan):
            return measure_dominant_share(state.used, state.capacity)
        apply(state, decision)
    raise AssertionError("draws do not end")


def pack_plain(seed: int) -> float:
    """Return the same of the baseline."""
    workers = make_workers(CALL, IMAGE)
    plain = PlainScheduler(workers)
    used, capacity = NOTHING, Resources()
    for worker in workers:
        capacity = capacity.add(worker.capacity)
    for request in draw_requests(seed):
        if not plain.place(request):
            return measure_dominant_share(used, capacity)
        used = used.add(request.resources)
    raise AssertionError("draws do not end")


def run(seed: int) -> Iterator[Figure]:
    """Yield the mean over several draws."""
    ours = sum(pack_library(seed + number) for number in range(ROUNDS)) / ROUNDS
    theirs = sum(pack_plain(seed + number) for number in range(ROUNDS)) / ROUNDS
    limit = f"at least {PACKING}"
    met = ours >= PACKING
    yield make_figure("packing", ours, "part", seed, baseline=theirs, target=limit, met=met)
