"""Time of a dispatch of a large pool with steps that can't start beside others that can."""

from collections.abc import Iterator
from random import Random
from time import perf_counter

from bench.figures import Figure, make_figure
from lavenderstall.identifiers import JobId
from lavenderstall.pools.dispatch import Dispatcher
from lavenderstall.pools.effects import PollResponse, StartRun
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import AcceptedJob
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.work import JobSpec, PoolName, Queue, QueueName, Settings, Step
from lavenderstall.pools.workers import WorkerEntry, WorkerState
from lavenderstall.resources import Resources

WORKERS = 12_000
STARTABLE = 100
BLOCKED = (0, 24, 1_000, 20_000)
CAPACITY = Resources(cores_milli=4000, memory_mb=16_000)
NEED = Resources(cores_milli=1000, memory_mb=1000)
POOL = PoolName("pool")
URGENT = Queue(QueueName("urgent"), "host", "/urgent/", POOL, priority=0, objective_ms=1000.0)
USUAL = Queue(QueueName("usual"), "host", "/usual/", POOL, priority=1, objective_ms=1000.0)
NOW = 100.0


def make_pool() -> Pool:
    """Return a pool without workers."""
    pool = Pool(POOL, 1, leases_expire_at=NOW)
    pool.set_settings(Settings(1, (URGENT, USUAL), frozenset(), frozenset({POOL})))
    pool.advance(NOW, 0.0)
    pool.run_periodic_checks()
    return pool


def register_workers(pool: Pool, count: int) -> None:
    """Register idle workers, each of which answers its first poll."""
    entries = [
        WorkerEntry(f"w{number}", 1, POOL, f"w{number}:80", "zone", WorkerState.READY, CAPACITY)
        for number in range(count)
    ]
    pool.set_workers(entries)
    for entry in entries:
        pool.note_poll(WorkerKey(entry.id, 1), PollResponse(0.0, 1, (), ()), NOW)


def draw_blocked(random: Random, number: int) -> Step:
    """Return a step that needs a label of no worker, or more room than any worker has."""
    steps = (
        Step(1, NEED, 500, label="none"),
        Step(1, NEED, 500, label=f"none-{number}"),
        Step(1, Resources(CAPACITY.cores_milli + random.randint(1, 1000)), 500),
        Step(1, Resources(1, CAPACITY.memory_mb + random.randint(1, 1000)), 500),
        Step(random.randint(2, 9), NEED, 500, label="none", gang=True),
    )
    return random.choice(steps)


def measure_dispatch(seed: int, workers: int, startable: int, blocked: int) -> tuple[float, int]:
    """Return how many seconds a dispatch takes and how many tasks it starts."""
    random = Random(seed)
    pool = make_pool()
    dispatcher = Dispatcher(pool)
    for number in range(blocked):
        spec = JobSpec("", (draw_blocked(random, number),))
        pool.add_job(AcceptedJob(JobId(f"b{number:015x}"), URGENT, spec))
    for number in range(startable):
        spec = JobSpec("", (Step(1, NEED, 500),))
        pool.add_job(AcceptedJob(JobId(f"a{number:015x}"), USUAL, spec))
    register_workers(pool, workers)
    begin = perf_counter()
    dispatcher.dispatch(0, 0)
    duration_s = perf_counter() - begin
    batch = pool.recorder.take_batch(startable + 1)
    pool.recorder.note_recorded(batch)
    return duration_s, sum(isinstance(effect, StartRun) for effect in pool.pop_effects())


def run(seed: int) -> Iterator[Figure]:
    """Yield the time of a dispatch and its rate of starts by the number of blocked steps."""
    for blocked in BLOCKED:
        duration_s, started = measure_dispatch(seed, WORKERS, STARTABLE, blocked)
        every = started == STARTABLE
        name = f"blocked_dispatch_{blocked}"
        yield make_figure(name, duration_s * 1000, "ms", seed)
        name, target = f"blocked_starts_{blocked}", f"{STARTABLE} tasks start"
        yield make_figure(name, started / duration_s, "1/s", seed, target=target, met=every)
