"""Opening of the occurrences of repeated jobs once they are due."""

from heapq import heappop, heappush
from typing import TYPE_CHECKING

from lavenderstall.identifiers import JobId
from lavenderstall.pools.job import Job

if TYPE_CHECKING:
    from lavenderstall.pools.pool import Pool

# Limit on the tasks of all open occurrences of a pool; one occurrence of each job may have more.
MAX_OPEN_TASKS = 20_000
# Tasks of repeated jobs that wait to be started; further occurrences open as these start.
MAX_WAITING_TASKS = 128


class OccurrenceOpener:
    """Open occurrences as their tasks can be started, so that a backlog costs a pool nothing.

    Those of tasks that last are all opened, as each is to run wherever there is room.
    """

    def __init__(self, pool: "Pool") -> None:
        self._pool = pool
        # Jobs with an occurrence that is due and not open, and when that of others is due next.
        self._overdue: dict[JobId, None] = {}
        self._due: list[tuple[float, JobId]] = []
        self._repeating: dict[JobId, Job] = {}
        self._open_tasks = 0

    def add_job(self, job: Job) -> None:
        """Open an occurrence of a job if one is due, and others before a dispatch."""
        if job.spec.repeat is not None and job.id not in self._repeating:
            self._repeating[job.id] = job
            self._open_tasks += job.count_open_tasks()
        self._open_due(job, 1)

    def forget_job(self, job: JobId) -> None:
        """Open no further occurrence of a job that has ended."""
        self._repeating.pop(job, None)
        self._overdue.pop(job, None)

    def count_tasks(self) -> None:
        """Count the tasks of open occurrences anew, as some have ended."""
        self._open_tasks = sum(job.count_open_tasks() for job in self._repeating.values())

    def open_due(self) -> None:
        """Open the occurrences that are due, as far as their tasks can be started soon."""
        while self._due and self._due[0][0] <= self._pool.unix_ms:
            self._overdue[heappop(self._due)[1]] = None
        share = MAX_WAITING_TASKS // max(1, len(self._overdue))
        for job_id in list(self._overdue):
            job = self._repeating.get(job_id)
            if job is not None:
                self._open_due(job, share)

    def _open_due(self, job: Job, share: int) -> None:
        """Open due occurrences of a job until so many tasks of it wait, but one at least."""
        if job.ended or self._pool.takeover.blocks_job(job.id):
            return
        waiting = self._pool.count_waiting_tasks(job, share)
        while job.lasts or not job.occurrences.count_open() or self._has_room(waiting, share):
            before = job.count_open_tasks()
            number = job.occurrences.open_next(self._pool.unix_ms)
            if number is None:
                break
            self._open_tasks += job.count_open_tasks() - before
            waiting += self._pool.update_occurrence(job, number)
        self._schedule(job)

    def _has_room(self, waiting: int, share: int) -> bool:
        """Tell whether a job with so many waiting tasks may have further ones."""
        return waiting < share and self._open_tasks < MAX_OPEN_TASKS

    def _schedule(self, job: Job) -> None:
        """Note when a job is to be looked at again."""
        self._overdue.pop(job.id, None)
        due_ms = job.occurrences.get_next_due_ms()
        if due_ms is None:
            return
        if due_ms <= self._pool.unix_ms:
            self._overdue[job.id] = None
        else:
            heappush(self._due, (due_ms, job.id))
