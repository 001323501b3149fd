"""Takeover of a pool: jobs and runs inherited from earlier owners."""

import logging
from collections.abc import Iterable
from typing import TYPE_CHECKING

from lavenderstall.identifiers import JobId
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import Job, Run
from lavenderstall.pools.step_advice import StepAdvice
from lavenderstall.pools.work import StepKey
from lavenderstall.pools.workers import Worker, WorkerEntry, WorkerState
from lavenderstall.resources import NOTHING

if TYPE_CHECKING:
    from lavenderstall.pools.pool import Pool

logger = logging.getLogger(__name__)


class Takeover:
    """Start no inherited task while an earlier owner's run of it may exist.

    A recorded run is tracked until its worker reports it, or until its lease has expired at
    `leases_expire_at` (seconds of uptime). If earlier owners may have started tasks without
    recording them, all inherited jobs wait until each worker that they used has reported.
    """

    def __init__(self, pool: "Pool", leases_expire_at: float, *, recorded: bool = True) -> None:
        self._pool = pool
        self._recorded = recorded
        self._unreported_workers: set[WorkerKey] = set()
        # Whether earlier owners may have used workers that no row names.
        self._unknown_workers = False
        self._blocked_jobs: set[JobId] = set()
        self._loaded = False
        self.leases_expire_at = leases_expire_at
        self.complete = False

    def add_workers(self, entries: Iterable[WorkerEntry]) -> None:
        """Add the workers that earlier owners used; the registry may not list all of them.

        If it was read before and lists a newer incarnation, the older one has ended.
        """
        for entry in entries:
            worker = self._find_or_add_worker(entry)
            if not self._recorded:
                self._unreported_workers.add(worker.key)

    def note_unknown_workers(self) -> None:
        """Note that the row that lists the workers of earlier owners can't be read.

        It doesn't matter if all of their runs are recorded.
        """
        self._unknown_workers = not self._recorded

    def has_unknown_workers(self) -> bool:
        """Tell whether tasks may be running on workers that no row names."""
        return self._unknown_workers

    def add_job(self, job: Job) -> None:
        """Track the recorded runs of a job, and block it if unrecorded ones may exist."""
        if not self._recorded:
            self._blocked_jobs.add(job.id)
        for run in job.list_recorded_runs():
            self._track_run(job, run)
        if not job.ended:
            self._restore_advice(job)

    def add_new_job(self, job: Job) -> None:
        """Block a job that an earlier owner may have started too, as it acts until it is fenced."""
        if self._awaits_reports() and self._pool.now < self.leases_expire_at:
            self._blocked_jobs.add(job.id)

    def _restore_advice(self, job: Job) -> None:
        for key, step in job.steps.items():
            advice = StepAdvice()
            advice.allowed |= step.progress.allowed
            advice.denied |= step.progress.denied
            self._pool.advice[StepKey(job.id, *key)] = advice

    def _track_run(self, job: Job, run: Run) -> None:
        recorded_key = run.worker
        entry = WorkerEntry(
            *recorded_key, self._pool.name, "", "", state=WorkerState.READY, capacity=NOTHING
        )
        worker = self._find_or_add_worker(entry)
        if worker.key != recorded_key:
            self._pool.crashes.note_earlier_incarnation(job, run, recorded_key)
        run.worker = worker.key
        job.add_run(run)
        worker.add_run(run, self._pool.get_allocation(run.task))

    def _find_or_add_worker(self, entry: WorkerEntry) -> Worker:
        """Return the newest known incarnation of a worker, or add one that isn't registered."""
        latest = self._pool.latest_incarnations.get(entry.id)
        if latest is not None and latest.incarnation >= entry.incarnation:
            return self._pool.workers[latest]
        worker = self._pool.add_worker(entry)
        worker.registered = False
        return worker

    def note_loaded(self) -> None:
        """Note that all rows of inherited jobs have been read."""
        self._loaded = True

    def is_blocking(self) -> bool:
        """Tell whether inherited jobs are blocked, or would be once they are read."""
        return bool(self._blocked_jobs) or not (self._loaded or self._recorded)

    def blocks_job(self, job: JobId) -> bool:
        """Tell whether the tasks of a job may not start yet."""
        return job in self._blocked_jobs

    def awaits_worker(self, worker: WorkerKey) -> bool:
        """Tell whether blocked jobs wait for the report of a worker."""
        return worker in self._unreported_workers

    def note_worker_reported(self, worker: WorkerKey) -> None:
        """Note that a worker has reported its runs, or has no runs any more."""
        self._unreported_workers.discard(worker)

    def note_worker_replaced(self, worker: WorkerKey, newer: Worker) -> None:
        """Await the report of a newer incarnation, which may execute starts of earlier owners."""
        if worker in self._unreported_workers and not newer.accepted_term:
            self._unreported_workers.add(newer.key)

    def check(self) -> None:
        """Unblock inherited jobs once all workers have reported or all leases have expired."""
        expired = self._pool.now >= self.leases_expire_at
        if expired:
            self._unknown_workers = False
        if self._blocked_jobs and (expired or not self._awaits_reports()):
            self._unblock_jobs()
        if not self.complete and not self._blocked_jobs and not self._has_inherited_runs():
            self.complete = True
            logger.info(
                "pool takeover complete", extra={"pool": self._pool.name, "term": self._pool.term}
            )

    def _awaits_reports(self) -> bool:
        return bool(self._unreported_workers) or self._unknown_workers

    def _unblock_jobs(self) -> None:
        blocked_jobs, self._blocked_jobs = self._blocked_jobs, set()
        logger.info(
            "inherited jobs unblocked",
            extra={
                "jobs": len(blocked_jobs),
                "unheard": [key.id for key in self._unreported_workers],
            },
        )
        self._unreported_workers.clear()
        for job_id in blocked_jobs:
            job = self._pool.jobs.get(job_id)
            if job is not None:
                self._pool.update_startable_steps(job)

    def _has_inherited_runs(self) -> bool:
        return any(
            run.inherited for worker in self._pool.workers.values() for run in worker.runs.values()
        )
