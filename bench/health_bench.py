"""Measures how much work a worker draws that fails all it starts, and how bad jobs are told."""

import heapq
from collections import deque
from collections.abc import Iterator
from random import Random
from typing import Any

import msgspec

from bench.figures import Figure, make_figure
from lavenderstall.health import FailJob, HealthMonitor, Quarantine
from lavenderstall.identifiers import JobId, WorkerId

WORKERS = 28
SLOTS = 8
DURATION_S = 300.0
JOBS_PER_S = 0.4
TASKS_PER_JOB = (10, 60)
RUN_S = 12.0
FAIL_AFTER_S = 0.2
# The slower a worker fails, the less it draws from the baseline within the run.
SLOW_FAIL_AFTER_S = 1.0
BAD_JOB_SHARE = 0.1
SHARE = 0.01
"""Largest part of its usual starts that a worker that fails all of them may still draw."""
# A slot, a free worker or a pause is looked at again this often.
TICK_S = 0.1
REPORT_S = 1.0


class Task(msgspec.Struct):
    """Hold one drawn task."""

    job: JobId
    run_s: float
    is_bad: bool


class Running(msgspec.Struct, order=True):
    """Hold one running task, ordered by its end."""

    end: float
    number: int
    start: float
    worker: int
    task: Task


def draw_arrivals(random: Random) -> list[tuple[float, list[Task]]]:
    """Return the jobs of a run with their times of arrival."""
    arrivals: list[tuple[float, list[Task]]] = []
    now = 0.0
    while now < DURATION_S:
        is_bad = random.random() < BAD_JOB_SHARE
        job = JobId(f"{'bad' if is_bad else 'job'}-{len(arrivals)}")
        count = random.randint(*TASKS_PER_JOB)
        tasks = [Task(job, random.expovariate(1 / RUN_S), is_bad) for _ in range(count)]
        arrivals.append((now, tasks))
        now += random.expovariate(JOBS_PER_S)
    return arrivals


class Fleet:
    """Run tasks on workers, first fit in order of arrival; without `health` it is plain."""

    def __init__(self, bad_worker: int, health: HealthMonitor | None, fail_after_s: float) -> None:
        self.fail_after_s = fail_after_s
        self.bad_worker = bad_worker
        self.health = health
        self.free = [SLOTS] * WORKERS
        self.waiting: deque[Task] = deque()
        self.running: list[Running] = []
        self.starts = [0] * WORKERS
        self.quarantined: set[int] = set()
        self.failed_jobs: set[JobId] = set()
        self.done = 0

    def find_worker(self, job: JobId, now: float) -> int | None:
        """Return the first worker with a free slot that may start a task of the job."""
        for worker, free in enumerate(self.free):
            if free and (
                self.health is None
                or self.health.find_start_obstacle(name_worker(worker), job, True, now) is None
            ):
                return worker
        return None

    def start_waiting(self, now: float) -> None:
        """Start the waiting tasks that can start, each job at most once in vain."""
        blocked: set[JobId] = set()
        for _ in range(len(self.waiting)):
            task = self.waiting.popleft()
            if task.job in self.failed_jobs:
                continue
            worker = None if task.job in blocked else self.find_worker(task.job, now)
            if worker is None:
                blocked.add(task.job)
                self.waiting.append(task)
            else:
                self.start(task, worker, now)

    def start(self, task: Task, worker: int, now: float) -> None:
        """Start one task."""
        self.starts[worker] += 1
        self.free[worker] -= 1
        fails = task.is_bad or worker == self.bad_worker
        run_s = self.fail_after_s if fails else task.run_s
        entry = Running(now + run_s, sum(self.starts), now, worker, task)
        heapq.heappush(self.running, entry)
        if self.health is not None:
            self.health.record_start(name_worker(worker), task.job, now)

    def end_finished(self, now: float) -> None:
        """End the tasks that are due and start failed ones again."""
        while self.running and self.running[0].end <= now:
            entry = heapq.heappop(self.running)
            self.free[entry.worker] += 1
            fails = entry.task.is_bad or entry.worker == self.bad_worker
            if fails:
                self.waiting.appendleft(entry.task)
            else:
                self.done += 1
            if self.health is not None:
                self.report_end(self.health, entry, fails, now)

    def report_end(self, health: HealthMonitor, entry: Running, fails: bool, now: float) -> None:
        """Pass an outcome on and apply what is proposed."""
        worker, job = name_worker(entry.worker), entry.task.job
        if fails:
            actions = health.record_failure(worker, job, now - entry.start, now)
        else:
            actions = health.record_success(worker, job, now)
        self.apply_actions(health, actions, now)

    def report_progress(self, now: float) -> None:
        """Pass the time on that tasks have run."""
        if self.health is not None:
            for entry in self.running:
                worker, ran_s = name_worker(entry.worker), now - entry.start
                actions = self.health.record_progress(worker, entry.task.job, ran_s, now)
                self.apply_actions(self.health, actions, now)

    def apply_actions(self, health: HealthMonitor, actions: list[Any], now: float) -> None:
        """Apply proposed actions and note them."""
        for action in actions:
            health.apply_action(action, now)
            if isinstance(action, Quarantine):
                self.quarantined.add(int(action.worker))
            elif isinstance(action, FailJob):
                self.failed_jobs.add(action.job)


def name_worker(worker: int) -> WorkerId:
    """Return the id of a worker."""
    return WorkerId(str(worker))


def simulate(seed: int, health: HealthMonitor | None, fail_after_s: float) -> Fleet:
    """Run the draws of one seed."""
    random = Random(seed)
    fleet = Fleet(random.randrange(WORKERS), health, fail_after_s)
    arrivals = deque(draw_arrivals(random))
    for tick in range(int(DURATION_S / TICK_S)):
        now = tick * TICK_S
        while arrivals and arrivals[0][0] <= now:
            fleet.waiting.extend(arrivals.popleft()[1])
        fleet.end_finished(now)
        if tick % int(REPORT_S / TICK_S) == 0:
            fleet.report_progress(now)
        fleet.start_waiting(now)
    return fleet


def compare(seed: int, fail_after_s: float) -> tuple[Fleet, Fleet]:
    """Return the plain and the guarded run of the same draws."""
    names = [name_worker(worker) for worker in range(WORKERS)]
    return simulate(seed, None, fail_after_s), simulate(seed, HealthMonitor(names), fail_after_s)


def run(seed: int) -> Iterator[Figure]:
    """Yield the part of its usual work that a failing worker draws, and wrong measures."""
    plain, guarded = compare(seed, FAIL_AFTER_S)
    drawn, sent = plain.starts[plain.bad_worker], guarded.starts[plain.bad_worker]
    share = sent / max(1, drawn)
    slow_plain, slow = compare(seed, SLOW_FAIL_AFTER_S)
    slow_share = slow.starts[plain.bad_worker] / max(1, slow_plain.starts[plain.bad_worker])
    healthy = len((guarded.quarantined | slow.quarantined) - {plain.bad_worker})
    wrongly_failed = sum(not job.startswith("bad") for job in guarded.failed_jobs)
    target = f"at most {SHARE}"
    for name, value in (
        ("bad_worker_share", share),
        ("bad_worker_share_slow_failure", slow_share),
    ):
        met = value <= SHARE
        yield make_figure(name, value, "ratio", seed, baseline=1.0, target=target, met=met)
    yield make_figure("bad_worker_starts", sent, "starts", seed, baseline=drawn)
    yield make_figure("healthy_workers_quarantined", healthy, "workers", seed, baseline=0)
    yield make_figure("good_jobs_failed", wrongly_failed, "jobs", seed, baseline=0)
    yield make_figure("tasks_done", guarded.done, "tasks", seed, baseline=plain.done)
