"""Takeover of a pool: jobs and runs inherited from earlier owners."""

import logging
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

import msgspec

from lavenderstall.identifiers import EntryId, JobId
from lavenderstall.pools.earlier_owners import LEASE_LIFETIME_S
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import Copies, Job, Run
from lavenderstall.pools.repeated_starts import MAX_ATTEMPTS
from lavenderstall.pools.step_advice import StepAdvice
from lavenderstall.pools.work import StepKey, get_step_key
from lavenderstall.pools.workers import (
    MAX_COMMAND_DELAY_S,
    Worker,
    WorkerEntry,
    WorkerState,
)
from lavenderstall.resources import NOTHING

if TYPE_CHECKING:
    from lavenderstall.pools.pool import Pool

logger = logging.getLogger(__name__)

# A live worker answers the first poll of a new owner well within this time.
FIRST_ANSWER_S = 0.25
# What a takeover still waits for is logged at this interval, for so many workers and steps.
WAIT_LOG_INTERVAL_S = 1.0
MAX_LOGGED = 10


class EarlierLeases(msgspec.Struct):
    """An earlier owner, and when the leases that it has extended expire (seconds of uptime)."""

    entry: EntryId
    term: int
    expire_at: float


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
        # When all rows of inherited jobs had been read, -1 before.
        self._loaded_at = -1.0
        # Workers with inherited runs, and since when their reports are awaited.
        self._awaited_since: dict[WorkerKey, float] = {}
        self._logged_at = -1.0
        # When leases expire that any earlier owner may have extended, or extends yet.
        self.leases_expire_at = leases_expire_at
        self.earlier_owners: list[EarlierLeases] = []
        # When the leases on workers expire that earlier owners knew to be silent.
        self.noted_lease_ends: dict[WorkerKey, float] = {}
        self.complete = False
        # Progress recorded until then tells of all starts that have no answer (the store's clock).
        self.settled_ms = 0.0

    def add_earlier_owners(self, owners: Iterable[EarlierLeases]) -> None:
        """Add the earlier owners whose leases may last."""
        self.earlier_owners.extend(owners)
        self._update_lease_expiry()

    def note_owner_stopped(self, entry: EntryId, term: int) -> None:
        """Note that an instance does not act as an owner of a term below this one any more.

        What it has extended lasts for `LEASE_LIFETIME_S` from now on at most.
        """
        expire_at = self._pool.now + LEASE_LIFETIME_S
        for owner in self.earlier_owners:
            if owner.entry == entry and owner.term < term and owner.expire_at > expire_at:
                owner.expire_at = expire_at
                self._update_lease_expiry()
                logger.info(
                    "earlier owner has stopped",
                    extra={
                        "pool": self._pool.name,
                        "owner": entry,
                        "term": owner.term,
                        "left_ms": round((self.leases_expire_at - self._pool.now) * 1000),
                    },
                )

    def _update_lease_expiry(self) -> None:
        if self.earlier_owners:
            self.leases_expire_at = max(owner.expire_at for owner in self.earlier_owners)

    def get_lease_expiry(self, worker: WorkerKey) -> float:
        """Return when leases of earlier owners on a worker have expired.

        A noted end also counts starts that the worker may execute late, so it may be a later one.
        """
        return self.noted_lease_ends.get(worker, self.leases_expire_at)

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
        self._pool.late_starts.add_recorded(job.id, job.progress)
        if not job.ended:
            self._restore_advice(job)

    def add_new_job(self, job: Job) -> None:
        """Block a job that an earlier owner may have started too, as it acts until it is fenced."""
        if self._awaits_reports():
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
            worker.note_possible_starts(self._pool.now)
        run.worker = worker.key
        if job.progress.recorded_ms > self.settled_ms:
            run.copies = Copies(MAX_ATTEMPTS, self._pool.now)
        run.ticketed = self._pool.get_queue(job).advising is not None
        job.add_run(run)
        worker.add_run(run, self._pool.get_allocation(run.task))
        self._awaited_since.setdefault(worker.key, self._pool.now)

    def _find_or_add_worker(self, entry: WorkerEntry) -> Worker:
        """Return the newest known incarnation of a worker, or add one that isn't registered."""
        latest = self._pool.latest_incarnations.get(entry.id)
        if latest is not None and latest.incarnation >= entry.incarnation:
            return self._pool.workers[latest]
        worker = self._pool.add_worker(entry)
        worker.registered = False
        return worker

    def may_lack_copies(self) -> bool:
        """Tell whether runs that no row names may have starts without an answer."""
        loaded_s = self._pool.now - self._loaded_at if self._loaded_at >= 0 else 0.0
        return not self._recorded and loaded_s <= MAX_COMMAND_DELAY_S

    def note_loaded(self) -> None:
        """Note that all rows of inherited jobs have been read."""
        self._loaded_at = self._pool.now

    def is_overdue(self) -> bool:
        """Tell whether workers that have not answered this owner yet are likely to be silent."""
        return self._loaded_at >= 0 and self._pool.now - self._loaded_at > FIRST_ANSWER_S

    def is_blocking(self) -> bool:
        """Tell whether inherited jobs are blocked, or would be once they are read."""
        return bool(self._blocked_jobs) or not (self._loaded_at >= 0 or self._recorded)

    def may_lack_runs(self) -> bool:
        """Tell whether earlier owners may have started tasks, or yet start some, unknown here."""
        return not self._recorded and (self._loaded_at < 0 or self._awaits_reports())

    def blocks_job(self, job: JobId) -> bool:
        """Tell whether the tasks of a job may not start yet."""
        return job in self._blocked_jobs

    def awaits_worker(self, worker: WorkerKey) -> bool:
        """Tell whether blocked jobs wait for the report of a worker."""
        return worker in self._unreported_workers

    def note_worker_reported(self, worker: WorkerKey, how: str) -> None:
        """Note that a worker has reported its runs, or has no runs any more; `how` is logged."""
        self._unreported_workers.discard(worker)
        since = self._awaited_since.pop(worker, None)
        if since is None:
            return
        waited_ms = round((self._pool.now - since) * 1000)
        self._pool.counts["takeover_workers_resolved"] += 1
        self._pool.counts["takeover_waits_ms"] += waited_ms
        logger.info(
            "worker of an earlier owner resolved",
            extra={
                "pool": self._pool.name,
                "term": self._pool.term,
                "worker": worker.id,
                "how": how,
                "waited_ms": waited_ms,
                "noted": worker in self.noted_lease_ends,
                "owners": [
                    [each.entry, each.term, round((each.expire_at - self._pool.now) * 1000)]
                    for each in self.earlier_owners
                ],
            },
        )

    def note_worker_replaced(self, worker: WorkerKey, newer: Worker) -> None:
        """Await the report of a newer incarnation, which may execute starts of earlier owners."""
        if worker in self._unreported_workers and not newer.accepted_term:
            self._unreported_workers.add(newer.key)

    def check(self) -> None:
        """Unblock inherited jobs once all workers have reported or all leases have expired."""
        if self._pool.now >= self.leases_expire_at:
            self._unknown_workers = False
        for worker in list(self._unreported_workers):
            if self._pool.now >= self.get_lease_expiry(worker):
                self.note_worker_reported(worker, "leases expired")
        if self._blocked_jobs and not self._awaits_reports():
            self._unblock_jobs()
        self._log_waits()
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
            extra={"jobs": len(blocked_jobs)},
        )
        for job_id in blocked_jobs:
            job = self._pool.jobs.get(job_id)
            if job is not None:
                self._pool.update_startable_steps(job)

    def _has_inherited_runs(self) -> bool:
        return any(True for _ in self._iterate_inherited_runs())

    def _iterate_inherited_runs(self) -> Iterator[tuple[Worker, Run]]:
        for worker in self._pool.workers.values():
            for run in worker.runs.values():
                if run.inherited:
                    yield worker, run

    def _log_waits(self) -> None:
        """Log which workers and steps are waited for, at most once per `WAIT_LOG_INTERVAL_S`."""
        now = self._pool.now
        if self.complete or now - self._logged_at < WAIT_LOG_INTERVAL_S:
            return
        self._logged_at = now
        workers: dict[WorkerKey, Worker] = {}
        steps: dict[StepKey, list[Run]] = {}
        for worker, run in self._iterate_inherited_runs():
            workers[worker.key] = worker
            steps.setdefault(get_step_key(run.task), []).append(run)
        self._log_awaited_workers(workers.values())
        for step_key, runs in list(steps.items())[:MAX_LOGGED]:
            logger.info(
                "tasks of a step wait for inherited runs",
                extra={
                    "job": step_key.job,
                    "step": step_key.step,
                    "tasks": len(runs),
                    "workers": sorted({run.worker.id for run in runs})[:MAX_LOGGED],
                    "steps": len(steps),
                },
            )

    def _log_awaited_workers(self, workers: Iterable[Worker]) -> None:
        found = list(workers)
        unreported = self._unreported_workers - {worker.key for worker in found}
        if not found and not unreported:
            return
        logger.info(
            "takeover waits for workers",
            extra={
                "pool": self._pool.name,
                "term": self._pool.term,
                "workers": [self._describe(worker) for worker in found[:MAX_LOGGED]],
                "with_runs": len(found),
                "without_runs": len(unreported),
                "blocked_jobs": len(self._blocked_jobs),
            },
        )

    def _describe(self, worker: Worker) -> dict[str, object]:
        return {
            "worker": worker.key.id,
            "runs": len(worker.runs),
            "registered": worker.registered,
            "addressed": bool(worker.entry.address),
            "unreachable": worker.unreachable,
            "left_ms": round((self._pool.get_lease_expiry(worker) - self._pool.now) * 1000),
        }
