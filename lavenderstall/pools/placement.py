"""Assignment of the tasks of a step to workers."""

from collections.abc import Callable, Iterable
from itertools import groupby
from typing import NamedTuple

from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import StepState
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.waiting_steps import WaitingStep
from lavenderstall.pools.work import Step
from lavenderstall.pools.workers import Worker
from lavenderstall.resources import Resources


class Candidate(NamedTuple):
    """A worker that may run a task; the lowest score sorts first."""

    score: float
    free_cores_milli: int
    worker: Worker
    ticket: str


class Placement:
    """Place tasks where they fit, and reserve capacity for more urgent steps awaiting advice."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self._unreserved: dict[str, Resources] = {}
        # Workers to use only where no other has room.
        self.avoided: set[WorkerKey] = set()
        # Whether equally suited workers are filled evenly, so that a crash hits few tasks.
        self.spreading = False

    def clear(self) -> None:
        """Drop the reservations of the previous dispatch."""
        self._unreserved = {}

    def get_unreserved_capacity(self, worker: Worker) -> Resources:
        """Return the free capacity of a worker less what more urgent steps have reserved."""
        found = self._unreserved.get(worker.key.id)
        return worker.get_free_capacity() if found is None else found

    def subtract_allocation(self, worker: Worker, step: Step) -> None:
        """Subtract a task that is about to start from the unreserved capacity."""
        if worker.key.id in self._unreserved:
            self._unreserved[worker.key.id] = self._unreserved[worker.key.id].subtract(
                step.allocation
            )

    def reserve_capacity(
        self, step: Step, state: StepState, workers: list[Worker], missing: int
    ) -> None:
        """Reserve capacity for a step's missing tasks; `GangReservations` does so for gangs."""
        if step.gang:
            return
        limits = self.get_task_limits(step, state, workers)
        for worker in workers:
            free_capacity = self.get_unreserved_capacity(worker)
            left = min(missing, limits[worker.key.id])
            while left > 0 and step.allocation.fits(free_capacity):
                free_capacity = free_capacity.subtract(step.allocation)
                missing -= 1
                left -= 1
            self._unreserved[worker.key.id] = free_capacity
            if missing <= 0:
                return

    def get_task_limits(
        self, step: Step, state: StepState, workers: Iterable[Worker]
    ) -> dict[str, int]:
        """Return how many more tasks of a step may start on each worker, whatever room it has.

        What reserves or frees room for a step, or asks for advice, has to heed the limits, as
        placing does.
        """
        runs_per_worker = count_runs_per_worker(state)
        return {
            worker.key.id: self._get_task_limit(step, worker, runs_per_worker) for worker in workers
        }

    def _get_task_limit(self, step: Step, worker: Worker, runs_per_worker: dict[str, int]) -> int:
        if not self.is_eligible(step, worker):
            return 0
        if not step.max_per_worker:
            return step.count
        return max(0, step.max_per_worker - runs_per_worker.get(worker.key.id, 0))

    def place(
        self, waiting_step: WaitingStep, waiting: list[int], available_workers: list[Worker]
    ) -> list[tuple[int, Candidate]]:
        """Return pairs of a waiting task's index and its worker, for the tasks that fit."""
        candidates = self._list_candidates(waiting_step, available_workers)
        if waiting_step.step.gang and len(waiting) > 1:
            return self._place_gang(waiting_step.step, waiting, candidates)
        return self._fill_workers(waiting_step.step, waiting_step.state, waiting, candidates)

    def choose(
        self,
        waiting_step: WaitingStep,
        index: int,
        workers: list[Worker],
        rank: Callable[[Worker], tuple[int, int]],
    ) -> Candidate | None:
        """Return the candidate of the lowest rank and then score for one task, or none."""
        step, state = waiting_step.step, waiting_step.state
        runs_per_worker = count_runs_per_worker(state)
        candidates = [
            candidate
            for candidate in self._list_candidates(waiting_step, workers)
            if not step.max_per_worker
            or runs_per_worker.get(candidate.worker.key.id, 0) < step.max_per_worker
        ]
        found = [
            candidate
            for candidate in candidates
            if not self._is_excluded(state, index, candidate.worker.key.id, candidates)
        ]
        return min(found, key=lambda each: (rank(each.worker), each.score), default=None)

    def _list_candidates(
        self, waiting_step: WaitingStep, available_workers: list[Worker]
    ) -> list[Candidate]:
        """Return the workers that can run a task of a step now, best first."""
        advice = self.pool.advice.get(waiting_step.step_key)
        if waiting_step.queue.advising is not None:
            tickets = advice.tickets if advice else {}
            available_workers = [w for w in available_workers if w.key.id in tickets]
        candidates = []
        for worker in available_workers:
            free_capacity = self.get_unreserved_capacity(worker)
            if not waiting_step.step.allocation.fits(free_capacity) or not self.is_eligible(
                waiting_step.step, worker
            ):
                continue
            ticket: str | None = ""
            if waiting_step.queue.advising is not None:
                ticket = advice.get_ticket(worker.key.id, self.pool.now) if advice else None
            if ticket is not None:
                score = self.get_score(waiting_step.step, worker)
                candidates.append(Candidate(score, free_capacity.cores_milli, worker, ticket))
        return sorted(candidates, key=self._rank)

    def _rank(self, candidate: Candidate) -> tuple[bool, float, int]:
        """Return the rank of a candidate: of equal scores the fullest worker, or the emptiest."""
        free = candidate.free_cores_milli
        avoided = candidate.worker.key in self.avoided
        return avoided, candidate.score, -free if self.spreading else free

    def _place_gang(
        self, step: Step, waiting: list[int], candidates: list[Candidate]
    ) -> list[tuple[int, Candidate]]:
        """Place a gang in one rack if it fits there, else across racks, best workers first."""
        racks = [
            list(members)
            for _, members in groupby(
                sorted(candidates, key=lambda candidate: candidate.worker.entry.rack),
                key=lambda candidate: candidate.worker.entry.rack,
            )
        ]
        choices = [
            self._fill_workers(
                step, None, waiting, sorted(rack, key=lambda candidate: candidate[:2])
            )
            for rack in racks
        ]
        complete = [choice for choice in choices if len(choice) == len(waiting)]
        if complete:
            return min(complete, key=lambda choice: sum(candidate.score for _, candidate in choice))
        return self._fill_workers(step, None, waiting, candidates)

    def _fill_workers(
        self, step: Step, state: StepState | None, waiting: list[int], candidates: list[Candidate]
    ) -> list[tuple[int, Candidate]]:
        runs_per_worker = count_runs_per_worker(state)
        assignments: list[tuple[int, Candidate]] = []
        unplaced = list(waiting)
        for candidate in candidates:
            name = candidate.worker.key.id
            free_capacity = self.get_unreserved_capacity(candidate.worker)
            for index in list(unplaced):
                if not step.allocation.fits(free_capacity):
                    break
                if step.max_per_worker and runs_per_worker.get(name, 0) >= step.max_per_worker:
                    break
                if state is not None and self._is_excluded(state, index, name, candidates):
                    continue
                assignments.append((index, candidate))
                runs_per_worker[name] = runs_per_worker.get(name, 0) + 1
                free_capacity = free_capacity.subtract(step.allocation)
                unplaced.remove(index)
            if not unplaced:
                break
        return assignments

    def _is_excluded(
        self, state: StepState, index: int, worker: str, candidates: list[Candidate]
    ) -> bool:
        """Tell whether a task runs on a worker, or has failed there and another is available."""
        if any(run.worker.id == worker for run in state.active_runs.get(index, ())):
            return True
        failed_on = state.failed_on.get(index)
        if not failed_on or worker not in failed_on:
            return False
        return any(candidate.worker.key.id not in failed_on for candidate in candidates)

    def is_eligible(self, step: Step, worker: Worker) -> bool:
        """Tell whether a worker has the label of a step and no run that interferes with it."""
        if step.label and step.label not in worker.entry.labels:
            return False
        if not step.best_effort and not (step.long_running and step.target_ms):
            return True
        return not self._has_interference(step, worker)

    def _has_interference(self, step: Step, worker: Worker) -> bool:
        """Tell whether best-effort tasks would share a worker with latency-sensitive ones."""
        for run in worker.runs.values():
            job = self.pool.find_job(run.task)
            if job is None:
                continue
            other = job.spec.steps[run.task.step]
            if step.best_effort and other.long_running and other.target_ms:
                return True
            if step.long_running and other.best_effort:
                return True
        return False

    def get_score(self, step: Step, worker: Worker) -> float:
        """Return the expected slowdown of a step's tasks on a worker, including remote data."""
        entry = worker.entry
        score = self.pool.slowdowns.estimate(step.image, entry.kind, entry.id)
        if step.data_rack and step.data_rack != entry.rack:
            score *= self.pool.remote_factor
        return round(score, 1)


def count_runs_per_worker(state: StepState | None) -> dict[str, int]:
    """Return how many tasks of a step run on each worker."""
    counts: dict[str, int] = {}
    if state is not None:
        for runs in state.active_runs.values():
            for run in runs:
                counts[run.worker.id] = counts.get(run.worker.id, 0) + 1
    return counts
