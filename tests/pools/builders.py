"""Builders of jobs, workers and pools for tests."""

from collections.abc import Iterable

from lavenderstall.identifiers import JobId
from lavenderstall.pools.dispatch import Dispatcher
from lavenderstall.pools.effects import (
    Advice,
    Effect,
    PollResponse,
    RequestAdvice,
    RunEnd,
    RunStatus,
    StartRun,
)
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import AcceptedJob
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.progress import JobProgress
from lavenderstall.pools.records import encode
from lavenderstall.pools.work import (
    Advising,
    EndCause,
    JobSpec,
    PoolName,
    Queue,
    QueueName,
    Settings,
    Step,
    Task,
)
from lavenderstall.pools.workers import WorkerEntry, WorkerState
from lavenderstall.resources import Resources

POOL = PoolName("routing")
QUEUE = QueueName("stops")
JOB = JobId("00000000000000a1")
CORE = Resources(cores_milli=1000, memory_mb=1000)
CAPACITY = Resources(cores_milli=4000, memory_mb=16000, accelerators=8)
START_CLOCK_MS = 50_000.0


def make_queue(**fields: object) -> Queue:
    """Return a queue of the pool."""
    values: dict[str, object] = {
        "name": QUEUE,
        "host": "h",
        "prefix": "/stops/",
        "pool": POOL,
        "max_attempts": 2,
        "slack": 1.5,
        "objective_ms": 250.0,
    }
    return Queue(**(values | fields))  # type: ignore[arg-type]


def make_step(count: int = 1, **fields: object) -> Step:
    """Return a step whose tasks need a core each."""
    values: dict[str, object] = {"need": CORE, "expected_ms": 500}
    return Step(count, **(values | fields))  # type: ignore[arg-type]


def make_job(*steps: Step, job: JobId = JOB, queue: QueueName = QUEUE) -> AcceptedJob:
    """Return an accepted job."""
    return AcceptedJob(job, make_queue(name=queue), JobSpec("payload", steps or (make_step(),)))


def make_entry(name: str, incarnation: int = 1, **fields: object) -> WorkerEntry:
    """Return a worker of the pool."""
    values: dict[str, object] = {
        "id": name,
        "incarnation": incarnation,
        "pool": POOL,
        "address": f"{name}:80",
        "zone": "quito-1",
        "state": WorkerState.READY,
        "capacity": CAPACITY,
        "kind": "a",
        "rack": "r1",
        "labels": ("a", "r1"),
    }
    return WorkerEntry(**(values | fields))  # type: ignore[arg-type]


class Bench:
    """Drive a pool with events and a simulated time, and simulate its workers."""

    def __init__(self, *workers: WorkerEntry, term: int = 1, queue: Queue | None = None) -> None:
        self.now = 100.0
        self.pool = Pool(POOL, term, leases_expire_at=self.now)
        self.dispatcher = Dispatcher(self.pool)
        self.pool.set_settings(
            Settings(1, (queue or make_queue(),), frozenset(), frozenset({POOL}))
        )
        self.pool.advance(self.now, 0.0)
        self.pool.run_periodic_checks()
        if workers:
            self.register(*workers)

    def register(self, *workers: WorkerEntry) -> None:
        """Register workers and let each answer its first poll."""
        self.pool.set_workers(workers)
        for entry in workers:
            self.poll(entry)

    def advance(self, seconds: float) -> None:
        """Advance the simulated time."""
        self.now += seconds
        self.pool.advance(self.now, 0.0)
        self.pool.run_periodic_checks()

    def clock_ms(self) -> float:
        """Return the clock of all workers."""
        return START_CLOCK_MS + (self.now - 100.0) * 1000

    def poll(
        self,
        entry: WorkerEntry,
        running: Iterable[RunStatus] = (),
        ended: Iterable[RunEnd] = (),
        incarnation: int | None = None,
    ) -> None:
        """Let a worker answer a poll."""
        answer = PollResponse(
            self.clock_ms(),
            entry.incarnation if incarnation is None else incarnation,
            tuple(running),
            tuple(ended),
        )
        self.pool.note_poll(WorkerKey(entry.id, entry.incarnation), answer, self.now)

    def dispatch(self, advisers: int = 4) -> list[Effect]:
        """Dispatch and return the effects."""
        self.dispatcher.dispatch(advisers, advisers)
        self.record()
        return self.pool.pop_effects()

    def record(self) -> None:
        """Make all progress durable."""
        batch = self.pool.recorder.take_batch(1000)
        for job, progress in batch.progress.items():
            self.pool.jobs[job].note_progress_size(len(encode(progress)))
        self.pool.recorder.note_recorded(batch)

    def start(self, advisers: int = 4) -> list[StartRun]:
        """Dispatch, confirm all starts and return them."""
        starts = [effect for effect in self.dispatch(advisers) if isinstance(effect, StartRun)]
        for order in starts:
            self.pool.note_started(order.worker, order.task, order.number, self.clock_ms())
        return starts

    def end(self, order: StartRun, cause: EndCause, seq: int, entry: WorkerEntry) -> None:
        """Let a worker report the end of a run."""
        self.now += 0.01
        self.pool.advance(self.now, 0.0)
        others = [
            RunStatus(task, number, "", 10.0)
            for task, number in self.pool.workers[order.worker].runs
            if (task, number) != (order.task, order.number)
        ]
        self.poll(entry, others, [RunEnd(seq, order.task, order.number, cause)])


def allow(bench: Bench, effects: list[Effect], *names: str, valid_ms: float = 2000.0) -> None:
    """Answer all requests for advice with tickets for some workers."""
    for effect in effects:
        if isinstance(effect, RequestAdvice):
            rows = tuple((name, f"t-{name}") for name in names if name in effect.workers)
            bench.pool.note_advice(effect.step_key, Advice(rows, valid_ms), effect.workers)


ADVISED = Advising(base_ms=10.0, per_worker_ms=1.0, valid_ms=2000.0)

__all__ = [
    "ADVISED",
    "CAPACITY",
    "CORE",
    "JOB",
    "POOL",
    "QUEUE",
    "Bench",
    "JobProgress",
    "Task",
    "allow",
    "make_entry",
    "make_job",
    "make_queue",
    "make_step",
]
