"""Progress of a pool that is not durable yet, and the starts that wait until it is."""

from collections.abc import Collection, Iterable
from itertools import chain, islice
from typing import TYPE_CHECKING

import msgspec

from lavenderstall.identifiers import JobId
from lavenderstall.pools.effects import StartRun
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import Job, JobProgress
from lavenderstall.pools.work import ENDED, Cause, Group, JobState, get_group

if TYPE_CHECKING:
    from lavenderstall.pools.pool import Pool

# Lease of a first start; looks extend it while the owner lives.
START_LEASE_MS = 2500
# Advice on more workers is not recorded, as a row is written with each change of its job.
MAX_RECORDED_ADVICE = 40


class ProgressBatch(msgspec.Struct):
    """Hold what one transaction makes durable.

    `starts` are the orders that may be sent once it is, and `ends` the number of the last end of
    each worker that it covers.
    """

    progress: dict[JobId, JobProgress]
    states: dict[JobId, JobState]
    starts: list[StartRun]
    end_seqs: dict[WorkerKey, int]


class ProgressRecorder:
    """Record runs before they are ordered, so that the next owner knows where work may be."""

    def __init__(self, pool: "Pool") -> None:
        self._pool = pool
        self.changed_jobs: dict[JobId, None] = {}
        self._pending_starts: dict[JobId, list[StartRun]] = {}
        self._unrecorded_jobs: set[JobId] = set()

    def mark_changed(self, job: JobId) -> None:
        """Note that the progress of a job has changed."""
        self.changed_jobs[job] = None

    def defer_start(self, order: StartRun) -> None:
        """Keep an order until the run that it starts is recorded."""
        self._pending_starts.setdefault(order.task.job, []).append(order)
        self.mark_changed(order.task.job)

    def forget(self, job: JobId) -> None:
        """Drop all that belongs to a job."""
        self.changed_jobs.pop(job, None)
        self._pending_starts.pop(job, None)
        self._unrecorded_jobs.discard(job)

    def is_urgent(self) -> bool:
        """Tell whether orders or final states wait for a transaction."""
        return bool(self._pending_starts) or any(
            self._pool.jobs[job].state in ENDED for job in self.changed_jobs
        )

    def take_batch(self, limit: int) -> ProgressBatch:
        """Return what the next transaction makes durable, those with orders first."""
        jobs = list(islice(dict.fromkeys(chain(self._pending_starts, self.changed_jobs)), limit))
        for job in jobs:
            del self.changed_jobs[job]
        starts = chain.from_iterable(self._pending_starts.pop(job, []) for job in jobs)
        jobs_by_id = self._pool.jobs
        covered_workers = {} if self.changed_jobs else self._pool.workers
        return ProgressBatch(
            {job: self._make_progress(jobs_by_id[job]) for job in jobs},
            {job: jobs_by_id[job].state for job in jobs},
            list(starts),
            {key: worker.applied_seq for key, worker in covered_workers.items()},
        )

    def _make_progress(self, job: Job) -> JobProgress:
        """Return the durable progress of a job, with what is known of advice."""
        for key, step in job.steps.items():
            advice = self._pool.advice.get(Group(job.id, *key))
            if advice is not None and len(advice.allowed | advice.denied) <= MAX_RECORDED_ADVICE:
                step.progress.allowed = advice.allowed
                step.progress.denied = advice.denied
        return job.make_progress()

    def note_recorded(self, batch: ProgressBatch) -> None:
        """Note what has become durable, and order the starts that waited for it."""
        pool = self._pool
        for key, seq in batch.end_seqs.items():
            worker = pool.workers.get(key)
            if worker is not None:
                worker.committed_seq = max(worker.committed_seq, seq)
        for job_id, state in batch.states.items():
            if job_id in pool.jobs:
                pool.jobs[job_id].durable_state = state
        self._unrecorded_jobs.difference_update(batch.progress)
        self._send_starts(batch.starts)

    def has_unrecorded(self, recorded: Collection[JobId]) -> bool:
        """Tell whether jobs beside those being recorded have runs that no row tells of."""
        return not self._unrecorded_jobs <= set(recorded)

    def requeue(self, batch: ProgressBatch) -> None:
        """Note that a batch has not become durable as far as is known."""
        for job in batch.progress:
            if job in self._pool.jobs:
                self.mark_changed(job)
        pending, self._pending_starts = self._pending_starts, {}
        for order in chain(batch.starts, chain.from_iterable(pending.values())):
            if order.task.job in self._pool.jobs:
                self.defer_start(order)

    def send_unrecorded_starts(self) -> None:
        """Order the starts that wait, although their runs are not recorded."""
        pending, self._pending_starts = self._pending_starts, {}
        self._unrecorded_jobs.update(pending)
        self._send_starts(chain.from_iterable(pending.values()))

    def _send_starts(self, orders: Iterable[StartRun]) -> None:
        for order in orders:
            self._send_start(order)

    def _send_start(self, order: StartRun) -> None:
        """Order a run to start, unless it is not wanted any more."""
        pool = self._pool
        worker = pool.workers.get(order.worker)
        run = worker.runs.get((order.task, order.number)) if worker else None
        if worker is None or run is None:
            return
        ticket = self._get_ticket(order)
        if run.stopping or ticket is None:
            pool.end_run(worker, run.task, run.number, Cause.LOST, "")
            return
        run.ordered = True
        run.ordered_at = pool.now
        run.deadline_ms = worker.estimate_clock(pool.now) + START_LEASE_MS
        worker.note_lease(run.deadline_ms)
        pool.effects.append(
            msgspec.structs.replace(order, deadline_ms=int(run.deadline_ms), ticket=ticket)
        )

    def _get_ticket(self, order: StartRun) -> str | None:
        """Return the ticket for a start, empty if none is needed, or none if it has expired."""
        if not order.ticket:
            return order.ticket
        advice = self._pool.advice.get(get_group(order.task))
        return advice.get_ticket(order.worker.id, self._pool.now) if advice else None
