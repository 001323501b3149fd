"""Reports of workers on jobs that the owner has not read yet."""

from itertools import chain
from typing import TYPE_CHECKING, NamedTuple

from lavenderstall.identifiers import JobId
from lavenderstall.pools.effects import RunEnd
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import Job

if TYPE_CHECKING:
    from lavenderstall.pools.pool import Pool

# Limit on jobs whose ends are remembered until they are read.
MAX_JOBS = 1000
# Ends are acknowledged after this long even if their jobs are not read, as of unreadable rows.
MAX_HOLD_S = 5.0


class EarlyEnd(NamedTuple):
    """An end that a worker has reported, and when, in seconds of uptime."""

    worker: WorkerKey
    end: RunEnd
    noted_at: float


class EarlyReports:
    """Keep reports on jobs that an earlier owner has started, until this owner reads them.

    Runs are kept at their workers, without an allocation, until their jobs tell it.
    """

    def __init__(self, pool: "Pool") -> None:
        self._pool = pool
        self._ends: dict[JobId, list[EarlyEnd]] = {}

    def note_end(self, worker: WorkerKey, end: RunEnd) -> None:
        """Remember an end until its job is read, unless that is known to have ended."""
        if end.task.job in self._pool.archive:
            return
        early = EarlyEnd(worker, end, self._pool.now)
        self._ends.setdefault(end.task.job, []).append(early)
        if len(self._ends) > MAX_JOBS:
            del self._ends[next(iter(self._ends))]

    def list_held_seqs(self) -> dict[WorkerKey, int]:
        """Return the first end of each worker that no progress row can cover yet."""
        held: dict[WorkerKey, int] = {}
        for worker, end, noted_at in chain.from_iterable(self._ends.values()):
            if end.seq and self._pool.now - noted_at < MAX_HOLD_S:
                held[worker] = min(end.seq, held.get(worker, end.seq))
        return held

    def add_to(self, job: Job) -> None:
        """Add the runs and the ends of a job that has just been read."""
        for worker in self._pool.workers.values():
            early_runs = [worker.runs[key] for key in worker.unsized_runs if key[0].job == job.id]
            for run in early_runs:
                if job.has_task(run.task):
                    worker.size_run(run, self._pool.get_allocation(run.task))
                    job.add_run(run)
                    self._pool.recorder.note_found(job.id)
        for key, end, _ in self._ends.pop(job.id, []):
            if job.has_task(end.task):
                self._pool.late_starts.note_end(key, end.seq, end.task, end.cause)
                self._pool.apply_end(job, end.task, end.number, end.cause, end.checkpoint)
