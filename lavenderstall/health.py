"""Quarantine and probing of failing workers, and backoff of failing jobs."""

import math
from collections import OrderedDict
from collections.abc import Collection
from enum import Enum

import msgspec

from lavenderstall.health_records import (
    EVIDENCE_WINDOW_S,
    MAX_OUTCOMES_PER_WORKER,
    PROBE_DELAY_S,
    FailureRateEstimator,
    JobRecord,
    JobWorkerStats,
    TaskOutcome,
    WorkerRecord,
)
from lavenderstall.identifiers import JobId, WorkerId

# By default at most a third of a slice's workers is quarantined automatically: if more fail, the
# cause is more likely outside the workers.
QUARANTINE_LIMIT_DIVISOR = 3
MILLI = 1000
ROUNDING_TOLERANCE = 1e-9

# Assumed probability that a task fails on a bad worker.
BAD_WORKER_FAILURE_RATE = 0.95
# Lower bound of the estimated probability that a task of a job fails on a healthy worker.
MIN_JOB_FAILURE_RATE = 0.02
# Weight, in tasks, of the failure rate over all jobs in the estimate for one job.
JOB_PRIOR_TASKS = 4
# One job adds at most log(0.95 / 0.02) = 3.9, so the threshold takes four jobs. With three (9.0),
# up to 6 of 300 simulated fleets with randomly failing jobs quarantined a healthy worker.
QUARANTINE_THRESHOLD = 12.0
MAX_WORKERS_PER_JOB = 64
MAX_JOBS = 4096

# Failures of a job on more workers than this are no evidence against any of them.
WIDESPREAD_FAILURE_WORKERS = 2
# After a job failed on a worker, it is not started there again for this long.
WORKER_AVOIDANCE_S = 10.0
# Delay between starts on a worker on which a job failed, until a task runs well there; doubles
# with each further job.
START_BACKOFF_S = 1.0
START_BACKOFF_MAXIMUM_S = 30.0

PROBE_DELAY_MAXIMUM_S = 300.0
PROBE_SUCCESSES = 3
PROBE_SUCCESS_RUN_S = 30.0
# A probe without a report for this long counts as lost.
PROBE_TIMEOUT_S = 120.0
# After an operator lifted a quarantine, the worker is not quarantined again for this long.
QUARANTINE_EXEMPTION_S = 600.0

BAD_JOB_MIN_WORKERS = 3
# Multiplies both minimums for a job that has succeeded before.
SUCCEEDED_JOB_FACTOR = 4
# More workers are needed if they are not known to be healthy.
BAD_JOB_MIN_UNCONFIRMED_WORKERS = 8
BAD_JOB_MAX_FAILURES = 5
JOB_BACKOFF_S = 1.0
JOB_BACKOFF_MAXIMUM_S = 60.0


class HealthReason(Enum):
    """Reasons for actions on workers and jobs, and for delaying a start."""

    FAILS_ACROSS_JOBS = "fails_jobs_that_run_elsewhere"
    QUARANTINE_LIMIT = "a_third_of_workers_is_quarantined"
    PROBES_SUCCEEDED = "probes_succeeded"
    OPERATOR = "operator"
    JOB_FAILS_ON_MANY_WORKERS = "job_fails_on_many_workers"
    JOB_KEEPS_FAILING = "job_keeps_failing"
    QUARANTINED = "worker_quarantined"
    PROBE_NOT_DUE = "probe_not_due"
    PROBE_NEEDS_IDEMPOTENT = "probe_needs_idempotent_task"
    PROBE_NEEDS_HEALTHY_JOB = "probe_needs_job_that_runs_elsewhere"
    WORKER_BACKS_OFF = "worker_failed_its_last_tasks"
    JOB_BACKS_OFF = "job_backs_off"
    JOB_FAILED_ON_WORKER = "job_failed_on_this_worker"


class Quarantine(msgspec.Struct, frozen=True):
    """Exclude a worker on which `jobs` failed that run elsewhere. Undone by `Release`."""

    worker: WorkerId
    reason: HealthReason
    evidence: float = 0.0
    jobs: tuple[JobId, ...] = ()


class WithheldQuarantine(msgspec.Struct, frozen=True):
    """Report a worker that is not quarantined only because of the limit."""

    worker: WorkerId
    reason: HealthReason
    evidence: float


class Release(msgspec.Struct, frozen=True):
    """Return a quarantined worker to service. Undone by `Quarantine`."""

    worker: WorkerId
    reason: HealthReason


class MarkJobBad(msgspec.Struct, frozen=True):
    """Delay a job's starts; undone by `ClearBadJob` or the job's next success."""

    job: JobId
    reason: HealthReason
    workers: tuple[WorkerId, ...]


class ClearBadJob(msgspec.Struct, frozen=True):
    """Remove the start delay of a job."""

    job: JobId
    reason: HealthReason


class FailJob(msgspec.Struct, frozen=True):
    """Fail the remaining tasks of a bad job with the reason."""

    job: JobId
    reason: HealthReason
    failures: int


HealthAction = Quarantine | WithheldQuarantine | Release | MarkJobBad | ClearBadJob | FailJob


class HealthMonitor:
    """Collect outcomes of tasks on one slice's workers and propose actions.

    The `record_*` methods only propose quarantines; `apply_action` sets and lifts them.
    """

    def __init__(self, workers: Collection[WorkerId]) -> None:
        self._workers = {worker: WorkerRecord() for worker in workers}
        self._jobs: OrderedDict[JobId, JobRecord] = OrderedDict()
        self._failure_rate = FailureRateEstimator()
        self._quarantine_limit = 1 / QUARANTINE_LIMIT_DIVISOR

    def set_quarantine_limit(self, milli: int) -> None:
        """Set the share of workers that may be quarantined, in thousandths."""
        self._quarantine_limit = milli / MILLI

    def set_workers(self, workers: Collection[WorkerId]) -> None:
        """Replace the set of workers; those that stay keep their state."""
        self._workers = {worker: self._workers.get(worker, WorkerRecord()) for worker in workers}

    def is_quarantined(self, worker: WorkerId) -> bool:
        """Return whether a worker is quarantined and runs only probes."""
        return self._workers[worker].is_quarantined

    def is_job_bad(self, job: JobId) -> bool:
        """Return whether a job's starts are delayed because it fails on many workers."""
        record = self._jobs.get(job)
        return record is not None and record.is_bad

    def find_start_obstacle(
        self, worker: WorkerId, job: JobId, idempotent: bool, now: float
    ) -> HealthReason | None:
        """Return why a task of a job may not start on a worker now, or None."""
        record = self._jobs.get(job)
        if record is not None and record.is_bad and now < record.next_start:
            return HealthReason.JOB_BACKS_OFF
        state = self._workers[worker]
        if not state.is_quarantined:
            stats = record.workers.get(worker) if record is not None else None
            if stats is not None and now < stats.next_start:
                return HealthReason.JOB_FAILED_ON_WORKER
            return HealthReason.WORKER_BACKS_OFF if now < state.next_start else None
        if state.is_quarantined_by_operator:
            return HealthReason.QUARANTINED
        is_waiting = state.probe_sent is not None and now < state.probe_sent + PROBE_TIMEOUT_S
        if is_waiting or now < state.next_probe:
            return HealthReason.PROBE_NOT_DUE
        if not idempotent:
            return HealthReason.PROBE_NEEDS_IDEMPOTENT
        if record is None or record.is_bad or not self._runs_elsewhere(record, worker, 0.0):
            return HealthReason.PROBE_NEEDS_HEALTHY_JOB
        return None

    def record_start(self, worker: WorkerId, job: JobId, now: float) -> None:
        """Record a start; on a quarantined worker it is a probe."""
        state = self._workers[worker]
        record = self._jobs.get(job)
        if state.is_quarantined:
            state.probe_sent = now
        else:
            self._delay_starts(state, now)
        if record is not None and record.is_bad:
            delay = min(JOB_BACKOFF_MAXIMUM_S, JOB_BACKOFF_S * 2**record.failures_since_marked)
            record.next_start = now + delay

    def record_progress(
        self, worker: WorkerId, job: JobId, ran_s: float, now: float
    ) -> list[HealthAction]:
        """Record that a task is still running after `ran_s`."""
        stats = self._get_stats(worker, job)
        if stats is None or ran_s <= stats.survived_s:
            return []
        stats.survived_s = ran_s
        state = self._workers[worker]
        if state.is_quarantined:
            is_passed = state.probe_sent is not None and ran_s >= PROBE_SUCCESS_RUN_S
            return self._count_probe_success(worker, now) if is_passed else []
        if all(outcome.is_outlived_by(ran_s, now) for outcome in state.failed_jobs.values()):
            state.record_healthy_task(now)
        return self._reassess_workers(
            job,
            [
                each
                for each, outcome in self._jobs[job].recent_failures.items()
                if outcome.is_outlived_by(ran_s, now)
            ],
            now,
        )

    def record_success(self, worker: WorkerId, job: JobId, now: float) -> list[HealthAction]:
        """Record that a task succeeded."""
        stats = self._get_stats(worker, job)
        if stats is None:
            return []
        stats.successes += 1
        state = self._workers[worker]
        state.record_healthy_task(now)
        self._failure_rate.record(False)
        state.outcomes.append(TaskOutcome(job, False, 0.0, now))
        record = self._jobs[job]
        record.has_succeeded = True
        if record.is_bad:
            self._clear_bad_job(record)
        actions = self._reassess_workers(job, list(record.recent_failures), now)
        if state.is_quarantined:
            actions += self._count_probe_success(worker, now)
        return actions

    def record_failure(
        self, worker: WorkerId, job: JobId, ran_s: float, now: float
    ) -> list[HealthAction]:
        """Record that a task failed after `ran_s`; a stop by the scheduler is no failure."""
        stats = self._get_stats(worker, job)
        if stats is None:
            return []
        stats.failures += 1
        stats.next_start = now + WORKER_AVOIDANCE_S
        state = self._workers[worker]
        record = self._jobs[job]
        if state.is_quarantined:
            self._count_probe_failure(state, now)
            return []
        if record.has_succeeded and state.is_known_healthy(job, now):
            self._failure_rate.record(True)
        outcome = TaskOutcome(job, True, ran_s, now)
        state.outcomes.append(outcome)
        record.recent_failures[worker] = outcome
        if not record.is_bad and len(state.failed_jobs) < MAX_OUTCOMES_PER_WORKER:
            state.failed_jobs[job] = outcome
        self._delay_starts(state, now)
        return self._assess_worker(worker, now) + self._assess_job(job, now)

    def apply_action(self, action: HealthAction, now: float) -> None:
        """Update the state for an action proposed or requested by an operator."""
        match action:
            case Quarantine(worker=worker, reason=reason):
                self._quarantine(self._workers[worker], reason, now)
            case Release(worker=worker, reason=reason):
                self._release(self._workers[worker], reason, now)
            case MarkJobBad(job=job):
                record = self._jobs.setdefault(job, JobRecord())
                record.is_bad = True
                record.next_start = now + JOB_BACKOFF_S
                self._remove_worker_backoff(job)
            case ClearBadJob(job=job) if job in self._jobs:
                self._clear_bad_job(self._jobs[job])
                self._jobs[job].recent_failures.clear()
            case _:
                pass

    @staticmethod
    def _quarantine(state: WorkerRecord, reason: HealthReason, now: float) -> None:
        state.is_quarantined = True
        state.is_quarantined_by_operator = reason is HealthReason.OPERATOR
        state.probe_delay_s = PROBE_DELAY_S
        state.next_probe = now + PROBE_DELAY_S
        state.probe_sent = None
        state.probe_successes = 0

    @staticmethod
    def _release(state: WorkerRecord, reason: HealthReason, now: float) -> None:
        state.is_quarantined = False
        state.is_quarantined_by_operator = False
        state.probe_sent = None
        state.next_start = 0.0
        state.failed_jobs.clear()
        # The outcomes that led to the quarantine must not lead to another one.
        state.outcomes.clear()
        if reason is HealthReason.OPERATOR:
            state.exempt_until = now + QUARANTINE_EXEMPTION_S

    @staticmethod
    def _clear_bad_job(record: JobRecord) -> None:
        record.is_bad = False
        record.failures_since_marked = 0
        record.next_start = 0.0

    def _remove_worker_backoff(self, job: JobId) -> None:
        """Remove the start delays that only a bad job caused."""
        for state in self._workers.values():
            if state.failed_jobs.pop(job, None) and not state.failed_jobs:
                state.next_start = 0.0

    def _delay_starts(self, state: WorkerRecord, now: float) -> None:
        """Delay a worker's next start, twice as long with each job that failed on few workers."""
        jobs = sum(not self._is_failure_widespread(job) for job in state.failed_jobs)
        if jobs:
            state.next_start = now + min(START_BACKOFF_MAXIMUM_S, START_BACKOFF_S * 2 ** (jobs - 1))

    def _is_failure_widespread(self, job: JobId) -> bool:
        """Return whether a job is bad, or failed on several workers in use since a success."""
        record = self._jobs.get(job)
        if record is None or record.is_bad:
            return True
        return (
            sum(not self._is_excluded(worker) for worker in record.recent_failures)
            > WIDESPREAD_FAILURE_WORKERS
        )

    def _is_excluded(self, worker: WorkerId) -> bool:
        state = self._workers.get(worker)
        return state is None or state.is_quarantined

    def _get_stats(self, worker: WorkerId, job: JobId) -> JobWorkerStats | None:
        """Return the statistics of a job on a worker, or None if the worker is gone."""
        if worker not in self._workers:
            return None
        record = self._jobs.setdefault(job, JobRecord())
        self._jobs.move_to_end(job)
        stats = record.workers.setdefault(worker, JobWorkerStats())
        record.workers.move_to_end(worker)
        if len(self._jobs) > MAX_JOBS:
            self._jobs.popitem(last=False)
        if len(record.workers) > MAX_WORKERS_PER_JOB:
            record.workers.popitem(last=False)
        return stats

    def _count_probe_success(self, worker: WorkerId, now: float) -> list[HealthAction]:
        state = self._workers[worker]
        state.probe_sent = None
        state.next_probe = now
        state.probe_successes += 1
        if state.probe_successes < PROBE_SUCCESSES:
            return []
        return [Release(worker, HealthReason.PROBES_SUCCEEDED)]

    @staticmethod
    def _count_probe_failure(state: WorkerRecord, now: float) -> None:
        # Tasks started before the quarantine are not probes.
        if state.probe_sent is None:
            return
        state.probe_sent = None
        state.probe_successes = 0
        state.probe_delay_s = min(PROBE_DELAY_MAXIMUM_S, state.probe_delay_s * 2)
        state.next_probe = now + state.probe_delay_s

    def _runs_elsewhere(self, record: JobRecord, worker: WorkerId, failed_after_s: float) -> bool:
        return any(
            stats.succeeded_or_outlived(failed_after_s)
            for other, stats in record.workers.items()
            if other != worker
        )

    def _estimate_failure_rate(
        self, record: JobRecord, worker: WorkerId, failed_after_s: float
    ) -> float | None:
        """Return the failure rate of a job on other workers that run it, or None without any.

        With few tasks the estimate stays near the failure rate of all jobs.
        """
        healthy = [
            stats
            for other, stats in record.workers.items()
            if other != worker and stats.succeeded_or_outlived(failed_after_s)
        ]
        if not healthy:
            return None
        failures = sum(stats.failures for stats in healthy)
        total = failures + sum(max(1, stats.successes) for stats in healthy)
        prior = self._failure_rate.estimate()
        share = (failures + prior * JOB_PRIOR_TASKS) / (total + JOB_PRIOR_TASKS)
        return min(BAD_WORKER_FAILURE_RATE, max(MIN_JOB_FAILURE_RATE, share))

    def _compute_evidence(self, worker: WorkerId, now: float) -> tuple[float, list[JobId]]:
        """Return the evidence that a worker is bad, and the jobs whose failures support it.

        The evidence is a cumulative sum (CUSUM) of log likelihood ratios over the last tasks,
        at least 0. Failures of a job that has not run elsewhere, or that now fails there too,
        are ignored; several failures of one job may have one cause and count once.
        """
        evidence = 0.0
        jobs: list[JobId] = []
        for outcome in self._workers[worker].outcomes:
            record = self._jobs.get(outcome.job)
            if record is None or now - outcome.ended > EVIDENCE_WINDOW_S:
                continue
            expected = self._estimate_failure_rate(record, worker, outcome.ran_s)
            if not outcome.failed:
                if expected is None:
                    expected = self._failure_rate.estimate()
                evidence += math.log((1 - BAD_WORKER_FAILURE_RATE) / (1 - expected))
            elif (
                expected
                and outcome.job not in jobs
                and not self._is_failure_widespread(outcome.job)
            ):
                evidence += math.log(BAD_WORKER_FAILURE_RATE / expected)
                jobs.append(outcome.job)
            if evidence <= 0:
                evidence = 0.0
                jobs.clear()
        return evidence, jobs

    def _assess_worker(self, worker: WorkerId, now: float, pending: int = 0) -> list[HealthAction]:
        """Propose a quarantine on enough evidence; `pending` others are already proposed."""
        state = self._workers.get(worker)
        if state is None or state.is_quarantined or now < state.exempt_until:
            return []
        evidence, jobs = self._compute_evidence(worker, now)
        if evidence < QUARANTINE_THRESHOLD:
            return []
        automatic = pending + sum(
            each.is_quarantined and not each.is_quarantined_by_operator
            for each in self._workers.values()
        )
        if automatic >= self._get_max_quarantined():
            return [WithheldQuarantine(worker, HealthReason.QUARANTINE_LIMIT, evidence)]
        return [Quarantine(worker, HealthReason.FAILS_ACROSS_JOBS, evidence, tuple(jobs))]

    def _get_max_quarantined(self) -> int:
        """Return how many workers may be quarantined automatically: at least 1 of 3 or more."""
        count = len(self._workers)
        return max(
            int(count * self._quarantine_limit + ROUNDING_TOLERANCE),
            int(count >= QUARANTINE_LIMIT_DIVISOR),
        )

    def _reassess_workers(
        self, job: JobId, workers: list[WorkerId], now: float
    ) -> list[HealthAction]:
        """Drop failures of a job that ran elsewhere since, and assess their workers."""
        for worker in workers:
            del self._jobs[job].recent_failures[worker]
        actions: list[HealthAction] = []
        for worker in workers:
            actions += self._assess_worker(worker, now, len(actions))
        return actions

    def _assess_job(self, job: JobId, now: float) -> list[HealthAction]:
        record = self._jobs[job]
        if record.is_bad:
            record.failures_since_marked += 1
            if record.failures_since_marked < BAD_JOB_MAX_FAILURES:
                return []
            return [FailJob(job, HealthReason.JOB_KEEPS_FAILING, record.failures_since_marked)]
        factor = SUCCEEDED_JOB_FACTOR if record.has_succeeded else 1
        states = [self._workers[each] for each in record.recent_failures if each in self._workers]
        confirmed = sum(state.is_known_healthy(job, now) for state in states)
        is_bad = confirmed >= BAD_JOB_MIN_WORKERS * factor
        if is_bad or len(states) >= BAD_JOB_MIN_UNCONFIRMED_WORKERS * factor:
            workers = tuple(record.recent_failures)
            return [MarkJobBad(job, HealthReason.JOB_FAILS_ON_MANY_WORKERS, workers)]
        return []
