"""A pool under a drawn load, with workers that run tasks for about as long as declared."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from enum import Enum
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple
from unittest.mock import patch

import msgspec

from lavenderstall.identifiers import JobId, TeamName
from lavenderstall.pools.effects import (
    Advice,
    Effect,
    RequestAdvice,
    RunEnd,
    RunStatus,
    StartRun,
    StopRun,
)
from lavenderstall.pools.job import AcceptedJob
from lavenderstall.pools.objectives import EXPIRED_FACTOR, get_objective_s
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.teams import NO_TEAM, Team
from lavenderstall.pools.waiting_steps import WaitingStep, list_waiting_steps
from lavenderstall.pools.work import (
    FINAL_STATES,
    EndCause,
    JobSpec,
    Queue,
    Settings,
    Step,
    Task,
)
from lavenderstall.resources import Resources
from tests.pools.builders import ADVISED, POOL, Bench, make_entry

TICK_S = 0.05
# Spread of the logarithm of actual durations of jobs against declared ones.
ESTIMATE_SPREAD = 0.4
# Part of the workers that the placement service allows for a step.
ALLOWED_PART = 0.7
# Time after the last arrival in which jobs may still end.
DRAIN_S = 120.0
WORKERS = tuple(
    make_entry(f"w{number}", capacity=Resources(8_000, 64_000, 8)) for number in range(4)
)


class Order(Enum):
    """Orders of steps that are compared."""

    ARRIVAL = "arrival"
    DEADLINE = "deadline"
    OVERLOAD = "overload"


class Arrival(NamedTuple):
    """A job that is handed in, after so many seconds."""

    at: float
    queue: Queue
    steps: tuple[Step, ...]
    team: TeamName = NO_TEAM


class Outcome(msgspec.Struct):
    """What became of the jobs of one kind or team: how many were in time, and of use."""

    jobs: int = 0
    in_time: int = 0
    of_use: int = 0

    @property
    def in_time_part(self) -> float:
        """Return the part of the jobs that were in time."""
        return self.in_time / self.jobs

    @property
    def of_use_part(self) -> float:
        """Return the part of the jobs whose results came before they were worthless."""
        return self.of_use / self.jobs


class Result(NamedTuple):
    """Outcomes by queue and by team, the starts in their order, and when each job ended."""

    queues: dict[str, Outcome]
    teams: dict[str, Outcome]
    starts: list[tuple[Task, str]]
    ended_at: dict[JobId, float]


def list_by_arrival(pool: Pool) -> list[WaitingStep]:
    """Return the waiting steps in the order in which their jobs were handed in."""
    return sorted(list_waiting_steps(pool), key=lambda each: (each.job.submitted_at, each.step_key))


class Simulation:
    """Play arrivals on a pool without a network."""

    def __init__(
        self, arrivals: Sequence[Arrival], order: Order, teams: Iterable[Team] = (), seed: int = 0
    ) -> None:
        queues = {arrival.queue.name: arrival.queue for arrival in arrivals}
        self._bench = Bench(*WORKERS)
        self._pool = self._bench.pool
        self._pool.orders_overload = order is Order.OVERLOAD
        self._pool.set_settings(
            Settings(1, tuple(queues.values()), pools=frozenset({POOL}), teams=tuple(teams))
        )
        self._order = order
        self._arrivals = arrivals
        self._random = Random(seed)
        self._entries = {entry.id: entry for entry in WORKERS}
        self._seqs = {entry.id: count(1) for entry in WORKERS}
        self._ends: list[tuple[float, int, StartRun]] = []
        self._stopped: set[tuple[Task, int]] = set()
        # When runs have begun, and how long they take.
        self._begun: dict[tuple[Task, int], tuple[float, float, StartRun]] = {}
        self._requests: list[tuple[float, int, RequestAdvice]] = []
        self._numbers = count()
        self._starts: list[tuple[Task, str]] = []

    def run(self) -> Result:
        """Play all arrivals and return what became of them."""
        if self._order is Order.ARRIVAL:
            with patch("lavenderstall.pools.dispatch.list_waiting_steps", list_by_arrival):
                return self._run()
        return self._run()

    def _run(self) -> Result:
        bench, start_at = self._bench, self._bench.now
        left = [(JobId(f"{n:016x}"), arrival) for n, arrival in enumerate(self._arrivals)]
        jobs = dict(left)
        left.sort(key=lambda row: -row[1].at)
        ended_at: dict[JobId, float] = {}
        while left or (len(ended_at) < len(jobs) and bench.now < start_at + DRAIN_S):
            bench.advance(TICK_S)
            while left and start_at + left[-1][1].at <= bench.now:
                job, arrival = left.pop()
                spec = JobSpec("payload", arrival.steps)
                self._pool.add_job(AcceptedJob(job, arrival.queue, spec, 0, arrival.team))
            self._end_runs()
            self._answer_requests()
            self._start_runs(bench.dispatch())
            for job in jobs.keys() - ended_at.keys():
                found = self._pool.get_state(job)
                if found in FINAL_STATES:
                    ended_at[job] = bench.now - start_at
        return self._count(jobs, ended_at)

    def _start_runs(self, effects: list[Effect]) -> None:
        bench = self._bench
        for effect in effects:
            if isinstance(effect, StopRun):
                self._stop_run(effect)
            if isinstance(effect, RequestAdvice):
                answered_at = bench.now + effect.expected_ms / 1000
                heappush(self._requests, (answered_at, next(self._numbers), effect))
            if not isinstance(effect, StartRun):
                continue
            self._pool.note_started(effect.worker, effect.task, effect.number, bench.clock_ms())
            step = self._pool.jobs[effect.task.job].spec.steps[effect.task.step]
            estimate_error = Random(effect.task.job).lognormvariate(0.0, ESTIMATE_SPREAD)
            duration_s = step.expected_ms / 1000 * estimate_error * self._random.uniform(0.85, 1.15)
            heappush(self._ends, (bench.now + duration_s, next(self._numbers), effect))
            self._begun[effect.task, effect.number] = (bench.now, duration_s, effect)
            self._starts.append((effect.task, effect.worker.id))

    def _stop_run(self, stop: StopRun) -> None:
        """Let a run end at the next report."""
        self._stopped.add((stop.task, stop.number))
        begun = self._begun.get((stop.task, stop.number))
        if begun is not None:
            heappush(self._ends, (self._bench.now, next(self._numbers), begun[2]))

    def _answer_requests(self) -> None:
        """Let the placement service allow most of the workers, the same for each task of a step."""
        while self._requests and self._requests[0][0] <= self._bench.now:
            _, _, request = heappop(self._requests)
            rows = tuple(
                (name, f"t-{name}")
                for name in request.workers
                if Random(f"{request.step_key}{name}").random() < ALLOWED_PART
            )
            advice = Advice(rows, ADVISED.valid_ms)
            self._pool.note_advice(request.step_key, advice, request.workers)

    def _end_runs(self) -> None:
        ended: defaultdict[str, list[RunEnd]] = defaultdict(list)
        while self._ends and self._ends[0][0] <= self._bench.now:
            _, _, start = heappop(self._ends)
            if self._begun.pop((start.task, start.number), None) is None:
                continue
            cause = EndCause.DONE
            if (start.task, start.number) in self._stopped:
                cause = EndCause.STOPPED
            seq = next(self._seqs[start.worker.id])
            ended[start.worker.id].append(RunEnd(seq, start.task, start.number, cause))
        for worker in list(self._pool.workers.values()):
            ends = ended[worker.key.id]
            over = {(end.task, end.number) for end in ends}
            running = [self._report(*key) for key in worker.runs if key not in over]
            self._bench.poll(self._entries[worker.key.id], running, ends)

    def _report(self, task: Task, number: int) -> RunStatus:
        begun_at, duration_s, _ = self._begun[task, number]
        return RunStatus(task, number, "", 100 * (self._bench.now - begun_at) / duration_s)

    def _count(self, jobs: dict[JobId, Arrival], ended_at: dict[JobId, float]) -> Result:
        queues: defaultdict[str, Outcome] = defaultdict(Outcome)
        teams: defaultdict[str, Outcome] = defaultdict(Outcome)
        for job, arrival in jobs.items():
            objective_s = get_objective_s(JobSpec("", arrival.steps), arrival.queue)
            took_s = ended_at.get(job, float("inf")) - arrival.at
            for outcome in (queues[arrival.queue.name], teams[arrival.team]):
                outcome.jobs += 1
                outcome.in_time += took_s <= objective_s
                outcome.of_use += took_s <= EXPIRED_FACTOR * objective_s
        return Result(dict(queues), dict(teams), self._starts, ended_at)


def draw_arrivals(
    random: Random,
    until: float,
    rate: float,
    make: Callable[[Random, float], Arrival],
    start: float = 0.0,
) -> list[Arrival]:
    """Return arrivals at a mean rate per second."""
    found: list[Arrival] = []
    at = start + random.expovariate(rate)
    while at < until:
        found.append(make(random, at))
        at += random.expovariate(rate)
    return found


def count_starts(result: Result) -> Counter[str]:
    """Return how many tasks started on each worker."""
    return Counter(worker for _, worker in result.starts)
