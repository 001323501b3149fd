"""Seeded fleets and loads: mostly short tasks, heavy tails, wrong declarations."""

import heapq
from collections.abc import Callable, Iterator
from itertools import count
from math import pi, sin
from random import Random

import msgspec

from bench.events import Arrival
from lavenderstall.identifiers import (
    Incarnation,
    JobId,
    RackName,
    ServiceName,
    TaskId,
    TeamName,
    WorkerId,
    ZoneName,
)
from lavenderstall.protocol import Kind
from lavenderstall.requests import TaskRequest
from lavenderstall.resources import Resources
from lavenderstall.worker_index import WorkerState

CALL_WORKER = Resources(16_000, 65_536, 0, 8, 64)
IMAGE_WORKER = Resources(32_000, 65_536, 8, 8, 64)
TEAMS = 8
DAY_S = 120.0
"""Length of a day in the draws; shorter than a real one so that a run covers several."""
DAY_SWING = 0.05
"""Part by which the rate of arrivals rises and falls over a day."""
LONGEST_RUN_S = 200.0
WRONG_BY = 2.3
"""Standard deviation of the logarithm of declared over true run time: a factor of 10."""


class Source(msgspec.Struct, frozen=True):
    """One kind of work: its part of the load on its pool, and the draws of one request."""

    kind: Kind
    part: float
    mean_run_s: float
    sigma: float
    cores: tuple[int, ...]
    memory: tuple[int, ...]
    tasks: tuple[int, ...] = (1,)
    accelerators: int = 0

    def measure_work(self) -> float:
        """Return the mean work of one request in core-seconds, or in accelerator-seconds."""
        each = self.accelerators or sum(self.cores) / len(self.cores) / 1000
        return each * sum(self.tasks) / len(self.tasks) * self.mean_run_s


SOURCES = (
    Source(Kind.BATCH, 0.6, 3.0, 1.2, (250, 500, 1000, 2000), (256, 512, 1024, 4096)),
    Source(Kind.SERVICE, 0.4, 60.0, 0.7, (1000, 2000, 4000), (1024, 2048, 8192)),
    Source(Kind.GANG, 0.8, 15.0, 0.7, (1000, 2000), (1024, 4096), (4, 8, 16), 1),
)
"""Cores of workers without accelerators are the scarcest; gangs use four fifths as much of the
accelerators, because whole gangs cannot fill them."""


def make_workers(call: int, image: int, per_rack: int = 4) -> list[WorkerState]:
    """Return empty workers without and with accelerators."""
    sizes = [CALL_WORKER] * call + [IMAGE_WORKER] * image
    return [
        WorkerState(
            WorkerId(f"w{number}"),
            ZoneName("zone"),
            RackName(f"rack{number // per_rack}"),
            "image" if size.accelerators else "call",
            frozenset(),
            size,
            Incarnation("1"),
        )
        for number, size in enumerate(sizes)
    ]


def measure_supply(workers: list[WorkerState], *, accelerated: bool) -> float:
    """Return the accelerators, or the cores of workers without accelerators."""
    if accelerated:
        return sum(worker.capacity.accelerators for worker in workers)
    plain = (worker.capacity for worker in workers if not worker.capacity.accelerators)
    return sum(capacity.cores_milli for capacity in plain) / 1000


def draw_run(random: Random, mean_s: float, sigma: float) -> float:
    """Return a run time with a heavy tail, in seconds."""
    return min(random.lognormvariate(0.0, sigma) * mean_s / 2.718 ** (sigma**2 / 2), LONGEST_RUN_S)


def draw_request(
    random: Random, source: Source, number: int, run_s: float, owner: tuple[str, int]
) -> TaskRequest:
    """Return a request of a team and priority; its declared run time is off by a large factor."""
    team, priority = owner
    job = f"{team}-{source.kind.value}-{number}"
    tasks = random.choice(source.tasks)
    service = f"service{random.randrange(20)}" if source.kind is Kind.SERVICE else ""
    return TaskRequest(
        tuple(TaskId(f"{job}.{index}") for index in range(tasks)),
        JobId(job),
        TeamName(team),
        source.kind,
        Resources(random.choice(source.cores), random.choice(source.memory), source.accelerators),
        ServiceName(service),
        priority=priority,
        expected_ms=max(int(run_s * 1000 * random.lognormvariate(0.0, WRONG_BY)), 1),
    )


def draw_source(
    random: Random,
    source: Source,
    rate: Callable[[float], float],
    until: float,
    choose: Callable[[Random], tuple[str, int]],
) -> Iterator[Arrival]:
    """Yield arrivals at a varying rate a second; `choose` draws team and priority."""
    at = 0.0
    for number in count():
        at += random.expovariate(rate(at))
        if at >= until:
            return
        owner = choose(random)
        run_s = draw_run(random, source.mean_run_s, source.sigma)
        yield Arrival(at, draw_request(random, source, number, run_s, owner), run_s)


def choose_team(random: Random) -> tuple[str, int]:
    """Return one of the teams and a mostly low priority."""
    return f"team{random.randrange(TEAMS)}", random.choice((0, 0, 0, 1, 5))


def draw_load(
    seed: int, workers: list[WorkerState], load: float, until: float
) -> Iterator[Arrival]:
    """Yield arrivals that need a part of the cores and accelerators on average."""
    streams = []
    for number, source in enumerate(SOURCES):
        supply = measure_supply(workers, accelerated=source.accelerators > 0)
        day = make_day(source.part * load * supply / source.measure_work())
        random = Random(seed * len(SOURCES) + number)
        streams.append(draw_source(random, source, day, until, choose_team))
    return heapq.merge(*streams, key=get_time)


def make_day(mean: float) -> Callable[[float], float]:
    """Return a rate that swings around its mean over a day."""
    return lambda at: mean * (1 + DAY_SWING * sin(2 * pi * at / DAY_S))


def get_time(arrival: Arrival) -> float:
    """Return when a request arrives."""
    return arrival.at
