"""Reactions to reports of runs: worker backoff, restarts of slow runs and pacing."""

import logging
from typing import TYPE_CHECKING

from lavenderstall.pools.effects import PaceRun, RunEnd
from lavenderstall.pools.fault_detection import is_stalled, is_straggling
from lavenderstall.pools.job import Job, Run, describe_run
from lavenderstall.pools.pacing import ServingLatency, list_pace_changes
from lavenderstall.pools.work import EndCause
from lavenderstall.pools.workers import Worker

if TYPE_CHECKING:
    from lavenderstall.pools.pool import Pool

logger = logging.getLogger(__name__)


def check_worker_faults(pool: "Pool", worker: Worker, end: RunEnd) -> None:
    """Back off from a worker that fails tasks of several jobs."""
    worker.end_history.note(pool.now, end.task.job, end.cause)
    if end.cause is not EndCause.FAILED:
        return
    job = pool.find_job(end.task)
    if job is not None:
        state = job.get_step(end.task.occurrence, end.task.step)
        state.failed_on.setdefault(end.task.number, set()).add(worker.key.id)
    if worker.end_history.is_faulty(pool.now):
        worker.end_history.clear()
        pool.back_off(worker)
        pool.counts["workers_suspected"] += 1
        logger.warning(
            "worker fails tasks of several jobs; backing off",
            extra={"worker": worker.key.id, "until_s": round(worker.backoff_until - pool.now, 1)},
        )


def stop_slow_runs(pool: "Pool", worker: Worker) -> None:
    """Stop stalled runs and stragglers, so that their tasks start elsewhere."""
    for run in list(worker.runs.values()):
        job = pool.find_job(run.task)
        if job is None:
            continue
        if not is_stalled(run, job.spec.steps[run.task.step], pool.now):
            move_straggler(pool, worker, run, job)
            continue
        pool.counts["runs_stalled"] += 1
        logger.warning(
            "run stalled",
            extra={
                **describe_run(run),
                "percent": run.percent,
                "still_ms": round((run.reported_at - run.percent_changed_at) * 1000),
            },
        )
        if not job.spec.steps[run.task.step].gang:
            pool.back_off(worker)
        pool.stop(run)


def move_straggler(pool: "Pool", worker: Worker, run: Run, job: Job) -> None:
    """Copy a straggler if it is speculative, else stop it, at most once per task."""
    step = job.spec.steps[run.task.step]
    state = job.get_step(run.task.occurrence, run.task.step)
    if run.task.number in state.moved or not is_straggling(run, step):
        return
    if pool.request_copy(run):
        return
    if step.speculative or pool.late_starts.is_pinned(job, run):
        return
    state.moved.add(run.task.number)
    state.failed_on.setdefault(run.task.number, set()).add(worker.key.id)
    pool.counts["runs_moved"] += 1
    worked_s = run.reported_at - run.confirmed_at
    if step.expected_ms > 0:
        projected_s = worked_s * 100 / max(run.percent - run.initial_percent, 1.0)
        slowdown = projected_s * 1000 / step.expected_ms
        pool.slowdowns.record(step.image, worker.entry.kind, worker.key.id, slowdown)
    logger.warning(
        "straggler stopped to restart elsewhere",
        extra={
            **describe_run(run),
            "percent": run.percent,
            "worked_ms": round(worked_s * 1000),
            "expected_ms": step.expected_ms,
        },
    )
    pool.stop(run)


def record_slowdown(pool: "Pool", worker: Worker, run: Run) -> None:
    """Record the slowdown of a run that is done."""
    job = pool.find_job(run.task)
    if job is None:
        return
    step = job.spec.steps[run.task.step]
    if step.expected_ms > 0 and not step.long_running and not run.checkpoint:
        slowdown = (pool.now - run.start_sent_at) * 1000 / step.expected_ms
        pool.slowdowns.record(step.image, worker.entry.kind, worker.key.id, slowdown)


def pace_best_effort_runs(pool: "Pool", worker: Worker) -> None:
    """Pace the best-effort runs of a worker by the tail latency of its serving tasks."""
    serving: list[ServingLatency] = []
    best_effort_runs: list[Run] = []
    for run in worker.runs.values():
        job = pool.find_job(run.task)
        if job is None or run.stopping or run.confirmed_at < 0:
            continue
        step = job.spec.steps[run.task.step]
        if step.long_running and step.target_ms > 0:
            serving.append(ServingLatency(run.load, step.target_ms))
        elif step.best_effort and not step.long_running:
            best_effort_runs.append(run)
    for run, percent in list_pace_changes(serving, best_effort_runs):
        run.pace = percent
        pool.effects.append(PaceRun(worker.key, run.task, run.number, percent))
