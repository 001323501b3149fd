"""Reconciliation of a pool's runs with those that a worker reports."""

import logging
from typing import TYPE_CHECKING

from lavenderstall.pools.effects import PollResponse, RunEnd, RunStatus
from lavenderstall.pools.job import Copies, Job, Run, describe_run
from lavenderstall.pools.repeated_starts import MAX_ATTEMPTS
from lavenderstall.pools.supervision import (
    check_worker_faults,
    pace_best_effort_runs,
    record_slowdown,
    stop_slow_runs,
)
from lavenderstall.pools.work import EndCause, Task
from lavenderstall.pools.workers import Worker

if TYPE_CHECKING:
    from lavenderstall.pools.pool import Pool

logger = logging.getLogger(__name__)

# A poll response with this many ends may be incomplete.
MAX_ENDS_PER_RESPONSE = 500
# Acknowledgements are held for so many ends of a worker at most, so that later ends are listed.
MAX_HELD_ENDS = MAX_ENDS_PER_RESPONSE // 2


def apply_poll_response(
    pool: "Pool", worker: Worker, answer: PollResponse, asked_at: float
) -> None:
    """Apply the ends and the runs that a worker reports."""
    for end in answer.ended:
        if end.seq > worker.applied_seq:
            apply_run_end(pool, worker, end)
    worker.applied_seq = max(worker.applied_seq, answer.skipped_seq)
    for row in answer.running:
        apply_run_status(pool, worker, row)
    if len(answer.ended) > MAX_HELD_ENDS:
        pool.late_starts.release_ends(worker.key)
    if len(answer.ended) < MAX_ENDS_PER_RESPONSE and not answer.incomplete:
        present = {(row.task, row.number) for row in answer.running}
        end_missing_runs(pool, worker, present, asked_at)
    pace_best_effort_runs(pool, worker)
    stop_slow_runs(pool, worker)


def apply_run_end(pool: "Pool", worker: Worker, end: RunEnd) -> None:
    """Apply an end that was not applied before."""
    worker.applied_seq = max(worker.applied_seq, end.seq)
    run = worker.runs.get((end.task, end.number))
    if run is not None and end.cause is EndCause.DONE:
        worker.backoff_count = 0
        record_slowdown(pool, worker, run)
    logger.info(
        "run ended",
        extra={
            "job": end.task.job,
            "task": list(end.task),
            "run": end.number,
            "worker": worker.key.id,
            "cause": end.cause.value,
            "seq": end.seq,
            "took_ms": round((pool.now - run.start_sent_at) * 1000) if run else None,
        },
    )
    pool.counts[f"ended_{end.cause.value}"] += 1
    check_worker_faults(pool, worker, end)
    pool.end_run(worker, end.task, end.number, end.cause, end.checkpoint, end.seq)


def apply_run_status(pool: "Pool", worker: Worker, row: RunStatus) -> None:
    """Apply the status of a run, and stop it if its job is unknown or has ended."""
    run = worker.runs.get((row.task, row.number))
    job = pool.find_job(row.task)
    if run is None:
        run = adopt_run(pool, worker, row, job)
    run.inherited = False
    if run.confirmed_at < 0:
        run.copies = run.copies.without_one()
        run.confirmed_at = pool.now
        run.percent_changed_at = pool.now
        run.initial_percent = row.percent
    if row.percent != run.percent:
        run.percent_changed_at = pool.now
    run.percent = row.percent
    run.load = row.load
    run.reported_at = pool.now
    pool.crashes.note_alive(run)
    run.checkpoint = row.checkpoint
    if job is not None:
        pool.note_begun(job)
    if job is not None and row.checkpoint and not job.ended:
        job.record_checkpoint(row.task, row.number, row.checkpoint)
    if job is None or job.ended:
        pool.stop(run)


def adopt_run(pool: "Pool", worker: Worker, row: RunStatus, job: Job | None) -> Run:
    """Add a run of an earlier owner, and stop it if it is unknown or superfluous."""
    copies = pool.late_starts.take(worker.key.id, row.task, row.number)
    run = Run(
        row.task, row.number, worker.key, pool.now, percent_changed_at=pool.now, copies=copies
    )
    if job is None:
        worker.add_unsized_run(run)
        pool.stop(run)
        return run
    run.ticketed = pool.get_queue(job).advising is not None
    if pool.takeover.may_lack_copies():
        run.copies = Copies(max(MAX_ATTEMPTS, copies.left), pool.now)
    pool.late_starts.note_copied(run)
    step = job.spec.steps[row.task.step]
    worker.add_run(run, step.allocation)
    state = job.get_step(row.task.occurrence, row.task.step)
    taken = row.task.number in state.progress.done or (
        bool(state.active_runs.get(row.task.number)) and not step.speculative
    )
    job.add_run(run)
    pool.recorder.note_found(job.id)
    logger.info("run adopted", extra={**describe_run(run), "superfluous": taken})
    if taken:
        pool.stop(run)
    return run


def end_missing_runs(
    pool: "Pool", worker: Worker, present: set[tuple[Task, int]], asked_at: float
) -> None:
    """End the runs that a worker reports neither as running nor as ended.

    Starts of earlier owners are refused once a worker has answered a poll.
    """
    for key, run in list(worker.runs.items()):
        if key in present or not run.start_sent:
            continue
        confirmed = 0 <= run.confirmed_at < asked_at
        void = 0 <= run.voided_at < asked_at
        late = run.confirmed_at < 0 and worker.clock_ms > run.deadline_ms > 0
        if confirmed or void or late or run.inherited:
            logger.info(
                "run lost: its worker does not report it", extra={**describe_run(run), "void": void}
            )
            pool.end_run(worker, run.task, run.number, EndCause.LOST, "")
        elif 0 <= run.unanswered_at < asked_at and not run.stopping:
            pool.stop(run)
