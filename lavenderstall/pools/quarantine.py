"""Placement of tasks under which workers have crashed, apart from others."""

from collections import Counter
from typing import NamedTuple

from lavenderstall.pools.crashes import Attempts, has_settled, list_runs
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import Run
from lavenderstall.pools.placement import Candidate, Placement
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.waiting_steps import WaitingStep
from lavenderstall.pools.work import Task
from lavenderstall.pools.workers import Worker

# A task starts without isolation once it has waited for this long.
MAX_ISOLATION_WAIT_S = 2.0
# At most one in this many workers is kept for tasks in isolation.
WORKERS_PER_ISOLATION = 4

Assignments = list[tuple[int, Candidate]]


class WaitingTasks(NamedTuple):
    """Indexes of waiting tasks: unsuspected, suspected, and to be isolated."""

    unsuspected: list[int]
    suspected: list[int]
    isolated: list[int]


class Isolation(NamedTuple):
    """The workers kept for a task, or for a gang, and since when it has waited for them."""

    workers: frozenset[WorkerKey]
    since: float


class Quarantine:
    """Keep tasks that may crash workers apart from each other, and isolate the likely ones.

    While a crash is unexplained, all tasks are spread. A suspected task starts where the fewest
    others run. One in isolation starts on a worker on which all others have settled, and nothing
    starts beside it until it has settled too. Times are seconds of uptime.
    """

    def __init__(self, pool: Pool, placement: Placement) -> None:
        self._pool = pool
        self._placement = placement
        self._suspects: Counter[WorkerKey] = Counter()
        self._closed: set[WorkerKey] = set()
        self._isolations: dict[Attempts, Isolation] = {}
        self._max_isolating = 1

    def clear(self, usable_workers: list[Worker]) -> None:
        """Find the workers with suspected and with isolated tasks, for one dispatch."""
        self._suspects.clear()
        self._closed = set()
        self._max_isolating = max(1, len(usable_workers) // WORKERS_PER_ISOLATION)
        suspects = self._pool.crashes.list_suspects()
        self._isolations = {
            attempts: isolation
            for attempts, isolation in self._isolations.items()
            if attempts in suspects
        }
        for attempts in suspects:
            self._find_runs(attempts)
        self._placement.avoided = set(self._suspects)
        self._placement.spreading = bool(suspects)

    def _find_runs(self, attempts: Attempts) -> None:
        job = self._pool.jobs.get(attempts.job)
        if job is None or job.ended:
            return
        runs = list(list_runs(job, attempts))
        self._suspects.update({run.worker for run in runs})
        if self._pool.crashes.needs_isolation(job, Task(*attempts)):
            self._closed |= {run.worker for run in runs if self._is_unsettled(run)}

    def list_open(self, workers: list[Worker]) -> list[Worker]:
        """Return the workers that are not kept for a task in isolation."""
        kept = self._list_kept()
        return [worker for worker in workers if worker.key not in kept] if kept else workers

    def count_kept(self) -> int:
        """Return how many workers are kept for tasks in isolation."""
        return len(self._list_kept())

    def _list_kept(self) -> set[WorkerKey]:
        return self._closed.union(*(each.workers for each in self._isolations.values()))

    def split(self, waiting_step: WaitingStep, waiting: list[int]) -> WaitingTasks:
        """Split the waiting tasks of a step by the crashes under them."""
        found = WaitingTasks([], [], [])
        for index in waiting:
            self._find_group(found, waiting_step, index).append(index)
        return found

    def _find_group(self, groups: WaitingTasks, waiting_step: WaitingStep, index: int) -> list[int]:
        task = Task(*waiting_step.step_key, index)
        if not waiting_step.job.count_crashes(task):
            return groups.unsuspected
        if not self._pool.crashes.needs_isolation(waiting_step.job, task):
            return groups.suspected
        return groups.isolated

    def spread(self, waiting_step: WaitingStep, index: int, workers: list[Worker]) -> Assignments:
        """Return the assignment of a suspected task, where the fewest others would be hit."""
        chosen = self._placement.choose(waiting_step, index, workers, self._rank_by_company)
        if chosen is None:
            return []
        self._suspects[chosen.worker.key] += 1
        return [(index, chosen)]

    def _rank_by_company(self, worker: Worker) -> tuple[int, int]:
        return self._suspects[worker.key], len(worker.runs)

    def isolate(
        self, waiting_step: WaitingStep, indexes: list[int], workers: list[Worker]
    ) -> Assignments:
        """Return assignments of a task, or of a gang, to workers of which it is alone to blame.

        If there are none yet, some workers are kept until their runs have settled.
        """
        task = Task(*waiting_step.step_key, indexes[0])
        if self._pool.crashes.awaits_verdict(waiting_step.job, task):
            return []
        attempts = Attempts(*task[:3], waiting_step.job.get_attempt_key(task))
        known = self._isolations.get(attempts, Isolation(frozenset(), self._pool.now))
        kept_for_others = self._list_kept() - known.workers
        usable = [worker for worker in workers if worker.key not in kept_for_others]
        settled = [worker for worker in usable if self._is_settled(worker)]
        waited_s = self._pool.now - known.since
        choices = [settled] if waited_s < MAX_ISOLATION_WAIT_S else [settled, workers]
        for choice in choices:
            assignments = self._assign(waiting_step, indexes, choice)
            if assignments:
                self._isolations.pop(attempts, None)
                self._closed.update(candidate.worker.key for _, candidate in assignments)
                return assignments
        self._isolations[attempts] = self._keep_workers(waiting_step, indexes, usable, known)
        return []

    def _assign(
        self, waiting_step: WaitingStep, indexes: list[int], workers: list[Worker]
    ) -> Assignments:
        if waiting_step.step.gang:
            found = self._placement.place(waiting_step, indexes, workers)
            return found if len(found) == len(indexes) else []
        chosen = self._placement.choose(waiting_step, indexes[0], workers, self._rank_by_unsettled)
        return [] if chosen is None else [(indexes[0], chosen)]

    def _keep_workers(
        self,
        waiting_step: WaitingStep,
        indexes: list[int],
        workers: list[Worker],
        known: Isolation,
    ) -> Isolation:
        """Keep the workers chosen earlier while they fit, or those that settle soonest."""
        kept = [worker for worker in workers if worker.key in known.workers]
        assignments = self._assign(waiting_step, indexes, kept)
        if not assignments:
            assignments = self._assign(waiting_step, indexes, workers)
        keys = frozenset(candidate.worker.key for _, candidate in assignments)
        others = self._list_kept() - known.workers
        if len(others | keys) > max(self._max_isolating, len(keys)):
            keys = frozenset()
        return Isolation(keys, known.since)

    def _rank_by_unsettled(self, worker: Worker) -> tuple[int, int]:
        return self._count_unsettled(worker), len(worker.runs)

    def _is_settled(self, worker: Worker) -> bool:
        return not self._count_unsettled(worker)

    def _count_unsettled(self, worker: Worker) -> int:
        """Return how many suspected and unsettled runs would make the blame uncertain."""
        unsettled = sum(self._is_unsettled(run) for run in worker.runs.values())
        return self._suspects[worker.key] + unsettled

    def _is_unsettled(self, run: Run) -> bool:
        """Tell whether a run may still crash its worker as it starts; an inherited one may."""
        return run.inherited or not run.start_sent or not has_settled(run, self._pool.now)
