"""Measures overruns of instances whose tasks use up to ten times more than they declare."""

import math
from collections import deque
from collections.abc import Iterator
from random import Random
from statistics import fmean

import msgspec

from bench.figures import Figure, make_figure
from lavenderstall.identifiers import JobId, TaskId, TeamName, make_task_id
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.usage import Move, Throttle, UsageShape, UsageTracker

WORKERS = 24
CAPACITY = Resources(16_000, 65_536)
DURATION_S = 900.0
JOBS_PER_S = 0.15
TASKS_PER_JOB = (2, 16)
TEAMS = 4
# Teams with an even number declare within 10 to 20%, the others are off by up to this factor.
MAXIMUM_ERROR = 10.0
ACCURATE = (0.8, 1.1)
SIBLING_SPREAD = 0.1
RUN_S = (10.0, 90.0)
RAMP_S = (1.0, 8.0)
TICK_S = 0.5
REPORT_S = 2.0
LAG_S = 4.0


class Task(msgspec.Struct):
    """Hold one drawn task: what it declares and what it uses at its peak."""

    id: TaskId
    shape: UsageShape
    declared: Resources
    peak: Resources
    run_s: float
    ramp_s: float
    arrived: float


class Running(msgspec.Struct):
    """Hold one running task."""

    task: Task
    worker: int
    start: float
    cores_limit: int | None = None

    def get_use(self, now: float) -> Resources:
        """Return what the task uses at a time."""
        part = max(0.0, min(1.0, (now - self.start) / self.task.ramp_s))
        cores = int(self.task.peak.cores_milli * part)
        if self.cores_limit is not None:
            cores = min(cores, self.cores_limit)
        return Resources(cores, int(self.task.peak.memory_mb * part))


def draw_size(random: Random, ratio: float, true: Resources) -> Resources:
    """Return the declaration of a task that uses `true`, off by the ratio."""
    return Resources(
        max(10, min(CAPACITY.cores_milli, int(true.cores_milli / ratio))),
        max(10, min(CAPACITY.memory_mb, int(true.memory_mb / ratio))),
    )


def draw_tasks(random: Random) -> deque[Task]:
    """Return the tasks of a run in order of arrival."""
    tasks: deque[Task] = deque()
    now, number = 0.0, 0
    while now < DURATION_S:
        team = random.randrange(TEAMS)
        bound = math.log(MAXIMUM_ERROR)
        error = math.exp(random.uniform(-bound, bound))
        ratio = error if team % 2 else random.uniform(*ACCURATE)
        true = Resources(random.randint(200, 8_000), random.randint(500, 24_000))
        declared = draw_size(random, ratio, true)
        job = JobId(f"job-{number}")
        shape = UsageShape(TeamName(str(team)), job)
        for index in range(random.randint(*TASKS_PER_JOB)):
            spread = 1 - random.random() * SIBLING_SPREAD
            peak = Resources(int(true.cores_milli * spread), int(true.memory_mb * spread))
            run_s, ramp_s = random.uniform(*RUN_S), random.uniform(*RAMP_S)
            task = Task(make_task_id(job, index), shape, declared, peak, run_s, ramp_s, now)
            tasks.append(task)
        number += 1
        now += random.expovariate(JOBS_PER_S)
    return tasks


class Fleet:
    """Run tasks, first fit in order of arrival; without `usage` by declaration alone."""

    def __init__(self, usage: UsageTracker | None) -> None:
        self.usage = usage
        self.running: dict[TaskId, Running] = {}
        self.by_worker: list[dict[TaskId, Running]] = [{} for _ in range(WORKERS)]
        self.waiting: deque[Task] = deque()
        self.overrun: set[int] = set()
        self.waits: list[float] = []
        self.moves = 0
        self.done = 0

    def get_charge(self, task: Task) -> Resources:
        """Return what a task is charged."""
        if self.usage is None:
            return task.declared
        if task.id in self.running:
            return self.usage.get_charge(task.id).resources
        return self.usage.compute_start_charge(task.shape, task.declared, CAPACITY).resources

    def compute_free(self, worker: int) -> Resources:
        """Return what a worker has beyond its tasks' charges."""
        used = NOTHING
        for entry in self.by_worker[worker].values():
            used = used.add(self.get_charge(entry.task))
        return CAPACITY.subtract(used)

    def start_waiting(self, now: float) -> None:
        """Start each waiting task that fits; tasks of one job that do not fit wait together."""
        free = [self.compute_free(worker) for worker in range(WORKERS)]
        blocked: set[JobId] = set()
        for _ in range(len(self.waiting)):
            task = self.waiting.popleft()
            is_held = self.usage is not None and self.usage.find_start_obstacle(task.shape)
            charge = self.get_charge(task)
            fitting = (worker for worker in range(WORKERS) if charge.fits(free[worker]))
            worker = None if is_held or task.shape.job in blocked else next(fitting, None)
            if worker is None:
                blocked.add(task.shape.job)
                self.waiting.append(task)
                continue
            free[worker] = free[worker].subtract(charge)
            self.running[task.id] = Running(task, worker, now)
            self.by_worker[worker][task.id] = self.running[task.id]
            self.waits.append(now - task.arrived)
            if self.usage is not None:
                self.usage.record_start(task.id, task.shape, task.declared, CAPACITY, now)

    def end(self, entry: Running, now: float, done: bool) -> None:
        """End one task."""
        del self.running[entry.task.id], self.by_worker[entry.worker][entry.task.id]
        self.done += done
        if self.usage is not None:
            self.usage.record_end(entry.task.id, done=done, now=now)

    def end_finished(self, now: float) -> None:
        """End the tasks that are due."""
        for entry in list(self.running.values()):
            if now - entry.start >= entry.task.run_s:
                self.end(entry, now, True)

    def note_overruns(self, now: float) -> None:
        """Note each worker whose tasks use more than it has."""
        for worker, entries in enumerate(self.by_worker):
            used = NOTHING
            for entry in entries.values():
                used = used.add(entry.get_use(now))
            if not used.fits(CAPACITY):
                self.overrun.add(worker)

    def report(self, usage: UsageTracker, now: float) -> None:
        """Pass lagging reports on and carry out the corrections."""
        for entry in self.running.values():
            if now - entry.start >= LAG_S:
                usage.record_usage(entry.task.id, entry.get_use(now - LAG_S), now - LAG_S)
        for entries in self.by_worker:
            for action in usage.find_corrections(list(entries), set(entries), CAPACITY, now):
                usage.record_correction(action, now)
                entry = self.running[action.task]
                if isinstance(action, Throttle):
                    entry.cores_limit = action.cores_milli
                elif isinstance(action, Move):
                    self.moves += 1
                    self.end(entry, now, False)
                    self.waiting.appendleft(entry.task)


def simulate(seed: int, usage: UsageTracker | None) -> Fleet:
    """Run the draws of one seed."""
    arrivals = draw_tasks(Random(seed))
    fleet = Fleet(usage)
    for tick in range(int(DURATION_S / TICK_S)):
        now = tick * TICK_S
        while arrivals and arrivals[0].arrived <= now:
            fleet.waiting.append(arrivals.popleft())
        fleet.end_finished(now)
        if usage is not None and tick % int(REPORT_S / TICK_S) == 0:
            fleet.report(usage, now)
        fleet.start_waiting(now)
        fleet.note_overruns(now)
    return fleet


def run(seed: int) -> Iterator[Figure]:
    """Yield the instances that were overrun and what learning costs."""
    plain = simulate(seed, None)
    learning = simulate(seed, UsageTracker())
    overrun = len(plain.overrun)
    found = len(learning.overrun)
    yield make_figure(
        "misdeclared_overrun",
        found,
        "instances",
        seed,
        baseline=overrun,
        target="0",
        met=found == 0,
    )
    yield make_figure("misdeclared_tasks_done", learning.done, "tasks", seed, baseline=plain.done)
    wait, plain_wait = fmean(learning.waits), fmean(plain.waits)
    yield make_figure("misdeclared_mean_wait", wait, "s", seed, baseline=plain_wait)
    yield make_figure("misdeclared_moves", learning.moves, "tasks", seed, baseline=0)
