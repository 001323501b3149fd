"""Rate and latency of decisions on fleets of three sizes."""

from collections.abc import Iterator
from random import Random
from time import perf_counter

from bench.baseline import PlainScheduler
from bench.draws import Source, draw_request, make_workers
from bench.figures import Figure, find_percentile, make_figure
from lavenderstall.decisions import Placement, Plan, apply, decide
from lavenderstall.identifiers import JobId, TaskId, TeamName
from lavenderstall.protocol import Kind
from lavenderstall.requests import TaskRequest
from lavenderstall.resources import Resources
from lavenderstall.slice_state import SliceState

RUNNING = 27
"""Tasks that run on each worker while rates are measured."""
RUNNING_NEED = Resources(460, 1400)
"""Mean size of the drawn tasks, so that the standing load stays about the same."""
SOURCES = (
    Source(Kind.BATCH, 0.7, 3.0, 1.2, (100, 250, 500, 1000), (256, 512, 1024, 4096)),
    Source(Kind.SERVICE, 0.3, 60.0, 0.7, (100, 250, 500, 1000), (256, 1024, 2048)),
)
SIZES = (28, 2000, 12000)
DRAWS = 20_000
WARM_DRAWS = 2_000
TURN = 1_000
BASELINE_DRAWS = {28: 20_000, 2000: 2_000, 12000: 400}
"""The baseline scans all workers; fewer draws keep the bench short."""
LEAST_RATE = 10_000
KEPT_RATE = 2 / 3
P99_MS = 1.0
GANG_TASKS = 64
GANG_P99_MS = 10.0
GANG_DRAWS = 200
GANG_SIZE = 2000
GANGS_HELD = 60
"""Running gangs; together they hold about five of six accelerators."""


def make_fleet(count: int) -> tuple[SliceState, PlainScheduler, list[Placement]]:
    """Return a loaded fleet for both schedulers, and what runs there."""
    workers = make_workers(count * 20 // 28, count - count * 20 // 28)
    state, plain = SliceState(workers), PlainScheduler(workers)
    running = []
    for worker in workers:
        for number in range(RUNNING):
            request = draw_running(f"{worker.id}-{number}")
            running.append(Placement(request.tasks[0], worker.id))
            state.charge(worker.id, request.tasks[0], request, 0.0)
            plain.charge(worker.id, request.tasks[0], RUNNING_NEED)
    return state, plain, running


def draw_running(name: str) -> TaskRequest:
    """Return a task of the standing load."""
    return TaskRequest(
        (TaskId(f"{name}.0"),),
        JobId(name),
        TeamName("running"),
        Kind.BATCH,
        RUNNING_NEED,
        expected_ms=60_000,
    )


def draw_singles(seed: int, count: int) -> list[TaskRequest]:
    """Return batch and service tasks that replace one running task each."""
    random = Random(seed)
    return [
        draw_request(random, random.choice(SOURCES), number, 1.0, ("team", 0))
        for number in range(count)
    ]


def measure_library(
    state: SliceState, running: list[Placement], requests: list[TaskRequest], seed: int
) -> list[float]:
    """Return the seconds that each decision took; a running task ends before each."""
    random = Random(seed)
    times = []
    for request in requests:
        place = random.randrange(len(running))
        state.release(running[place].worker, running[place].task)
        state.freed_workers.clear()
        begin = perf_counter()
        decision = decide(state, request, 0.0)
        if isinstance(decision, Plan):
            apply(state, decision)
        times.append(perf_counter() - begin)
        if not isinstance(decision, Plan):
            raise ValueError(f"the fleet is full: {decision.reason}")
        running[place] = decision.placements[0]
    return times


def measure_plain(
    plain: PlainScheduler, running: list[Placement], requests: list[TaskRequest], seed: int
) -> float:
    """Return the placements a second of the baseline."""
    random = Random(seed)
    total = 0.0
    for request in requests:
        place = random.randrange(len(running))
        plain.finish(running[place])
        begin = perf_counter()
        placements = plain.place(request)
        total += perf_counter() - begin
        running[place] = placements[0]
    return len(requests) / total


def measure_gangs(seed: int) -> tuple[float, float]:
    """Return the p99 of gang decisions in ms, of the library and the baseline."""
    state, plain, _ = make_fleet(GANG_SIZE)
    random = Random(seed)
    ours, theirs = [], []
    held: list[Plan] = []
    plain_held: list[tuple[Placement, ...]] = []
    for number in range(GANG_DRAWS):
        job = f"gang-{number}"
        tasks = tuple(TaskId(f"{job}.{index}") for index in range(GANG_TASKS))
        need = Resources(random.choice((250, 500, 1000)), 1024, 1)
        request = TaskRequest(tasks, JobId(job), TeamName("team"), Kind.GANG, need)
        if len(held) > GANGS_HELD:
            place = random.randrange(len(held))
            for item in held.pop(place).placements:
                state.release(item.worker, item.task)
            for item in plain_held.pop(place):
                plain.finish(item)
        begin = perf_counter()
        decision = decide(state, request, 0.0)
        if not isinstance(decision, Plan):
            raise ValueError(f"the fleet is full: {decision.reason}")
        apply(state, decision)
        ours.append(perf_counter() - begin)
        held.append(decision)
        begin = perf_counter()
        placements = plain.place(request)
        theirs.append(perf_counter() - begin)
        plain_held.append(placements)
    return find_percentile(ours, 0.99) * 1000, find_percentile(theirs, 0.99) * 1000


def measure_sizes(seed: int) -> dict[int, tuple[list[float], float]]:
    """Return for each size the seconds of each decision, and the rate of the baseline.

    The sizes take turns, so that other load on the machine affects all alike.
    """
    requests = draw_singles(seed, DRAWS)
    fleets = {size: make_fleet(size) for size in SIZES}
    rates = {
        size: measure_plain(plain, list(running), requests[: BASELINE_DRAWS[size]], seed)
        for size, (_, plain, running) in fleets.items()
    }
    times: dict[int, list[float]] = {size: [] for size in SIZES}
    for first in range(0, DRAWS, TURN):
        for size, (state, _, running) in fleets.items():
            turn = requests[first : first + TURN]
            times[size].extend(measure_library(state, running, turn, seed + first))
    return {size: (times[size][WARM_DRAWS:], rates[size]) for size in SIZES}


def run(seed: int) -> Iterator[Figure]:
    """Yield rates by fleet size, then latencies."""
    figures = measure_sizes(seed)
    rates = {size: len(times) / sum(times) for size, (times, _) in figures.items()}
    small, large = SIZES[0], SIZES[-1]
    targets = {
        small: (f"at least {LEAST_RATE}", rates[small] >= LEAST_RATE),
        large: (
            f"at least 2/3 of {rates[small]:.0f}",
            rates[large] >= rates[small] * KEPT_RATE,
        ),
    }
    for size, (_, theirs) in figures.items():
        target, met = targets.get(size, ("", None))
        name = f"decide_rate_{size}"
        yield make_figure(name, rates[size], "1/s", seed, baseline=theirs, target=target, met=met)
    p99 = find_percentile(figures[GANG_SIZE][0], 0.99) * 1000
    limit = f"at most {P99_MS} ms"
    yield make_figure("decide_p99_2000", p99, "ms", seed, target=limit, met=p99 <= P99_MS)
    ours, plain_ms = measure_gangs(seed)
    limit = f"at most {GANG_P99_MS} ms"
    fits = ours <= GANG_P99_MS
    yield make_figure("gang_p99_2000", ours, "ms", seed, baseline=plain_ms, target=limit, met=fits)
