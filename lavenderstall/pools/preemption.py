"""Preemption of less urgent runs, which later resume from a checkpoint."""

import logging
from collections.abc import Iterable, Iterator, Mapping

from lavenderstall.identifiers import JobId
from lavenderstall.pools.gang_reservations import count_fitting_tasks
from lavenderstall.pools.job import Job, Run, describe_run
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.room_demand import measure_path_s
from lavenderstall.pools.urgency import get_deadlines
from lavenderstall.pools.victims import VictimLoss, rate_victim
from lavenderstall.pools.work import Queue, Step
from lavenderstall.pools.workers import Worker
from lavenderstall.resources import Resources

logger = logging.getLogger(__name__)

# Tasks that have waited less than this may still fit without preemption.
MIN_PREEMPTION_WAIT_S = 0.1
# A task is preempted at most this often.
MAX_PREEMPTIONS = 3
# A run beyond this progress, in percent, ends about as soon as a stop would take.
NEARLY_DONE_PERCENT = 85.0


class Preemptor:
    """Stop runs with checkpoints in favor of tasks of queues with a higher priority.

    A stop saves a checkpoint, so that it costs only the time of restoring it.
    """

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._expected_capacity: dict[str, Resources] = {}
        # What occurrences of jobs lose if they are preempted.
        self._losses: dict[tuple[JobId, int], VictimLoss] = {}

    def clear(self) -> None:
        """Reset for a dispatch."""
        self._expected_capacity = {}
        self._losses = {}

    def preempt_for(
        self,
        queue: Queue,
        step: Step,
        workers: list[Worker],
        limits: Mapping[str, int],
        missing: int,
    ) -> bool:
        """Stop runs until the missing tasks of a step will fit, and tell whether they will.

        `limits` tells how many of them may start on each worker. For a gang, nothing is stopped
        unless all of its tasks will fit.
        """
        left = dict(limits)
        for worker in workers:
            fitting = self._use_expected_capacity(step, worker, min(missing, left[worker.key.id]))
            missing -= fitting
            left[worker.key.id] -= fitting
        victims: list[Run] = []
        for worker in workers:
            while missing > 0 and left[worker.key.id] > 0:
                chosen = self._choose_victims(queue, step, worker, victims)
                if not chosen:
                    break
                victims += chosen
                missing -= 1
                left[worker.key.id] -= 1
        if step.gang and missing > 0:
            return False
        for run in victims:
            self._preempt(run)
        return missing <= 0

    def _use_expected_capacity(self, step: Step, worker: Worker, missing: int) -> int:
        """Subtract missing tasks from the expected free capacity, and return how many fit."""
        free_capacity = self._get_expected_capacity(worker)
        fitting_tasks = min(max(missing, 0), count_fitting_tasks(step.allocation, free_capacity))
        for _ in range(fitting_tasks):
            free_capacity = free_capacity.subtract(step.allocation)
        self._expected_capacity[worker.key.id] = free_capacity
        return fitting_tasks

    def _get_expected_capacity(self, worker: Worker) -> Resources:
        """Return the free capacity after pending stops, less what this dispatch has used of it."""
        found = self._expected_capacity.get(worker.key.id)
        if found is not None:
            return found
        free_capacity = worker.get_free_capacity()
        for run in worker.runs.values():
            if run.stopping:
                free_capacity = free_capacity.add(self._pool.get_allocation(run.task))
        return free_capacity

    def _choose_victims(
        self, queue: Queue, step: Step, worker: Worker, excluded: Iterable[Run]
    ) -> list[Run]:
        """Return the runs to stop so that one more task fits on a worker, or none."""
        free_capacity = self._get_expected_capacity(worker)
        chosen = []
        for run in self._list_victims(queue, worker, set(map(id, excluded))):
            free_capacity = free_capacity.add(self._pool.get_allocation(run.task))
            chosen.append(run)
            if step.allocation.fits(free_capacity):
                self._expected_capacity[worker.key.id] = free_capacity.subtract(step.allocation)
                return chosen
        return []

    def _list_victims(self, queue: Queue, worker: Worker, excluded: set[int]) -> Iterator[Run]:
        """Yield the runs that a queue may preempt, least urgent and largest first.

        Where jobs that wait are ordered by what their delay costs, runs are too.
        """
        found = []
        for run in worker.runs.values():
            job = self._pool.find_job(run.task)
            if job is None or id(run) in excluded:
                continue
            victim_queue = self._pool.get_queue(job)
            if victim_queue.priority > queue.priority and is_preemptible(job, run):
                allocation = self._pool.get_allocation(run.task)
                loss = self._rate(job, victim_queue, run.task.occurrence)
                size = -allocation.cores_milli
                found.append((-victim_queue.priority, loss, size, run.percent, run.number, run))
        yield from (entry[-1] for entry in sorted(found, key=lambda entry: entry[:-1]))

    def _rate(self, job: Job, queue: Queue, occurrence: int) -> VictimLoss:
        """Return what an occurrence of a job loses if it is preempted."""
        if not self._pool.orders_overload:
            return VictimLoss.NOTHING
        key = job.id, occurrence
        if key not in self._losses:
            now = self._pool.now
            deadline, expires_at = get_deadlines(job, queue, occurrence)
            left_s = measure_path_s(self._pool, job, occurrence)
            self._losses[key] = rate_victim(left_s, deadline - now, expires_at - now)
        return self._losses[key]

    def _preempt(self, run: Run) -> None:
        job = self._pool.jobs[run.task.job]
        state = job.get_step(run.task.occurrence, run.task.step)
        state.preemptions[run.task.number] = state.preemptions.get(run.task.number, 0) + 1
        self._pool.counts["runs_preempted"] += 1
        logger.info("run preempted", extra={**describe_run(run), "percent": run.percent})
        self._pool.stop(run)


def is_preemptible(job: Job, run: Run) -> bool:
    """Tell whether a run can be stopped without losing much work."""
    step = job.spec.steps[run.task.step]
    state = job.get_step(run.task.occurrence, run.task.step)
    return (
        step.checkpointing
        and not step.gang
        and not step.long_running
        and run.reported_at >= 0
        and not run.stopping
        and run.percent < NEARLY_DONE_PERCENT
        and state.preemptions.get(run.task.number, 0) < MAX_PREEMPTIONS
    )
