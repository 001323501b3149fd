"""Quarantine and probing of workers that fail what they start, and marking of bad jobs."""

import math
from collections import OrderedDict
from collections.abc import Collection
from enum import Enum

import msgspec

from lavenderstall.evidence import (
    EVENTS_PER_WORKER,
    EVIDENCE_WINDOW_S,
    PROBE_DELAY_S,
    Event,
    JobOnWorker,
    JobRecord,
    OutcomeShare,
    WorkerRecord,
)
from lavenderstall.identifiers import JobId, WorkerId

# A third of a slice's workers at most is quarantined automatically: beyond that, a cause outside
# the workers is more likely.
QUARANTINE_PART = 3
MILLI = 1000
ROUNDING = 1e-9

# Probability that a task fails on a worker that fails what it starts.
BAD_WORKER_FAILURE = 0.95
# Lower bound of the probability that a task of a job fails on a sound worker.
SOUND_WORKER_FAILURE = 0.02
# The estimate for a job starts as if this many tasks had failed at the rate of all jobs.
PRIOR_TASKS = 4
# One job counts at most log(0.95 / 0.02) = 3.9, so that the threshold needs four jobs. With
# three (9.0), up to 6 of 300 simulated fleets whose jobs fail at random lost a sound worker.
QUARANTINE_EVIDENCE = 12.0
WORKERS_PER_JOB = 64
JOBS_REMEMBERED = 4096

# A job that fails on more workers than this says nothing about any of them.
WIDE_FAILURE = 2
# A job is tried on other workers for this long after it failed on one.
AVOID_S = 10.0
# Starts on a worker on which a job failed are this far apart until a task runs well there; the
# distance doubles with each further job.
PAUSE_S = 1.0
PAUSE_MAXIMUM_S = 30.0

PROBE_DELAY_MAXIMUM_S = 300.0
PROBE_SUCCESSES = 3
PROBE_PASS_S = 30.0
# A probe without any report for this long counts as lost.
PROBE_TIMEOUT_S = 120.0
# A quarantine that an operator undid is not repeated for this long.
EXEMPTION_S = 600.0

BAD_JOB_WORKERS = 3
# A job that has succeeded before may fail this many times as often.
KNOWN_GOOD_FACTOR = 4
# Without a worker that is known to be sound, more workers must agree.
UNCONFIRMED_WORKERS = 8
BAD_JOB_ATTEMPTS = 5
JOB_DELAY_S = 1.0
JOB_DELAY_MAXIMUM_S = 60.0


class HealthReason(Enum):
    """Reasons for actions on workers and jobs, and for holding a start back."""

    FAILS_ACROSS_JOBS = "fails_jobs_that_run_elsewhere"
    QUARANTINE_LIMIT = "a_third_of_workers_is_quarantined"
    PROBES_SUCCEEDED = "probes_succeeded"
    OPERATOR = "operator"
    JOB_FAILS_ON_MANY_WORKERS = "job_fails_on_many_workers"
    JOB_KEEPS_FAILING = "job_keeps_failing"
    QUARANTINED = "worker_quarantined"
    PROBE_NOT_DUE = "probe_not_due"
    PROBE_NEEDS_IDEMPOTENT = "probe_needs_idempotent_task"
    PROBE_NEEDS_SOUND_JOB = "probe_needs_job_that_runs_elsewhere"
    SPACED = "worker_failed_its_last_tasks"
    JOB_BACKS_OFF = "job_backs_off"
    JOB_FAILED_HERE = "job_failed_on_this_worker"


class Quarantine(msgspec.Struct, frozen=True):
    """Stop using a worker; `jobs` failed on it and run elsewhere. Undone by `Release`."""

    worker: WorkerId
    reason: HealthReason
    evidence: float = 0.0
    jobs: tuple[JobId, ...] = ()


class WithheldQuarantine(msgspec.Struct, frozen=True):
    """Tell that a worker would be quarantined but for the limit."""

    worker: WorkerId
    reason: HealthReason
    evidence: float


class Release(msgspec.Struct, frozen=True):
    """Use a quarantined worker again. Undone by `Quarantine`."""

    worker: WorkerId
    reason: HealthReason


class MarkJobBad(msgspec.Struct, frozen=True):
    """Space a job's starts; undone by `ClearJob` or the job's next success."""

    job: JobId
    reason: HealthReason
    workers: tuple[WorkerId, ...]


class ClearJob(msgspec.Struct, frozen=True):
    """Start a job without delay again."""

    job: JobId
    reason: HealthReason


class FailJob(msgspec.Struct, frozen=True):
    """Give a bad job up; its remaining tasks fail with the reason."""

    job: JobId
    reason: HealthReason
    failures: int


HealthAction = Quarantine | WithheldQuarantine | Release | MarkJobBad | ClearJob | FailJob


class Health:
    """Collect outcomes of tasks on one slice's workers and propose actions.

    The methods that record return actions but change no quarantine; `apply` does.
    """

    def __init__(self, workers: Collection[WorkerId]) -> None:
        self._workers = {worker: WorkerRecord() for worker in workers}
        self._jobs: OrderedDict[JobId, JobRecord] = OrderedDict()
        self._outcomes = OutcomeShare()
        self._limit = 1 / QUARANTINE_PART

    def set_limit(self, milli: int) -> None:
        """Replace the part of the workers that may be quarantined, in thousandths."""
        self._limit = milli / MILLI

    def set_workers(self, workers: Collection[WorkerId]) -> None:
        """Replace the list of workers; those that stay keep their state."""
        self._workers = {worker: self._workers.get(worker, WorkerRecord()) for worker in workers}

    def is_quarantined(self, worker: WorkerId) -> bool:
        """Tell whether a worker gets probes at most."""
        return self._workers[worker].is_quarantined

    def is_job_bad(self, job: JobId) -> bool:
        """Tell whether a job's starts are spaced because it fails on many workers."""
        known = self._jobs.get(job)
        return known is not None and known.is_bad

    def find_start_obstacle(
        self, worker: WorkerId, job: JobId, idempotent: bool, now: float
    ) -> HealthReason | None:
        """Return why a task of a job may not start on a worker now."""
        known = self._jobs.get(job)
        if known is not None and known.is_bad and now < known.next_start:
            return HealthReason.JOB_BACKS_OFF
        state = self._workers[worker]
        if not state.is_quarantined:
            entry = known.workers.get(worker) if known is not None else None
            if entry is not None and now < entry.next_start:
                return HealthReason.JOB_FAILED_HERE
            return HealthReason.SPACED if now < state.next_start else None
        if state.is_held_by_operator:
            return HealthReason.QUARANTINED
        is_waiting = state.probe_sent is not None and now < state.probe_sent + PROBE_TIMEOUT_S
        if is_waiting or now < state.next_probe:
            return HealthReason.PROBE_NOT_DUE
        if not idempotent:
            return HealthReason.PROBE_NEEDS_IDEMPOTENT
        if known is None or known.is_bad or not self._runs_elsewhere(known, worker, 0.0):
            return HealthReason.PROBE_NEEDS_SOUND_JOB
        return None

    def record_start(self, worker: WorkerId, job: JobId, now: float) -> None:
        """Note a start; on a quarantined worker it is the probe."""
        state = self._workers[worker]
        known = self._jobs.get(job)
        if state.is_quarantined:
            state.probe_sent = now
        else:
            self._pause(state, now)
        if known is not None and known.is_bad:
            delay = min(JOB_DELAY_MAXIMUM_S, JOB_DELAY_S * 2**known.failures_when_bad)
            known.next_start = now + delay

    def record_progress(
        self, worker: WorkerId, job: JobId, ran_s: float, now: float
    ) -> list[HealthAction]:
        """Note that a task still runs after that time."""
        entry = self._get_entry(worker, job)
        if entry is None or ran_s <= entry.survived_s:
            return []
        entry.survived_s = ran_s
        state = self._workers[worker]
        if state.is_quarantined:
            is_passed = state.probe_sent is not None and ran_s >= PROBE_PASS_S
            return self._count_probe_success(worker, now) if is_passed else []
        if all(event.allows_survivor(ran_s, now) for event in state.failed_jobs.values()):
            state.record_sound(now)
        return self._excuse_job(
            job,
            [
                each
                for each, event in self._jobs[job].failing.items()
                if event.allows_survivor(ran_s, now)
            ],
            now,
        )

    def record_success(self, worker: WorkerId, job: JobId, now: float) -> list[HealthAction]:
        """Note that a task was done."""
        entry = self._get_entry(worker, job)
        if entry is None:
            return []
        entry.successes += 1
        state = self._workers[worker]
        state.record_sound(now)
        self._outcomes.record(False)
        state.events.append(Event(job, False, 0.0, now))
        known = self._jobs[job]
        known.has_succeeded = True
        if known.is_bad:
            self._clear_job(known)
        actions = self._excuse_job(job, list(known.failing), now)
        if state.is_quarantined:
            actions += self._count_probe_success(worker, now)
        return actions

    def record_failure(
        self, worker: WorkerId, job: JobId, ran_s: float, now: float
    ) -> list[HealthAction]:
        """Note that a task failed after that time; a stop by the scheduler is no failure."""
        entry = self._get_entry(worker, job)
        if entry is None:
            return []
        entry.failures += 1
        entry.next_start = now + AVOID_S
        state = self._workers[worker]
        known = self._jobs[job]
        if state.is_quarantined:
            self._count_probe_failure(state, now)
            return []
        if known.has_succeeded and state.is_known_sound(job, now):
            self._outcomes.record(True)
        event = Event(job, True, ran_s, now)
        state.events.append(event)
        known.failing[worker] = event
        if not known.is_bad and len(state.failed_jobs) < EVENTS_PER_WORKER:
            state.failed_jobs[job] = event
        self._pause(state, now)
        return self._assess_worker(worker, now) + self._assess_job(job, now)

    def apply(self, action: HealthAction, now: float) -> None:
        """Carry out an action that was proposed or that an operator asked for."""
        match action:
            case Quarantine(worker=worker, reason=reason):
                self._quarantine(self._workers[worker], reason, now)
            case Release(worker=worker, reason=reason):
                self._release(self._workers[worker], reason, now)
            case MarkJobBad(job=job):
                known = self._jobs.setdefault(job, JobRecord())
                known.is_bad = True
                known.next_start = now + JOB_DELAY_S
                self._absolve_workers(job)
            case ClearJob(job=job) if job in self._jobs:
                self._clear_job(self._jobs[job])
                self._jobs[job].failing.clear()
            case _:
                pass

    @staticmethod
    def _quarantine(state: WorkerRecord, reason: HealthReason, now: float) -> None:
        state.is_quarantined = True
        state.is_held_by_operator = reason is HealthReason.OPERATOR
        state.probe_delay_s = PROBE_DELAY_S
        state.next_probe = now + PROBE_DELAY_S
        state.probe_sent = None
        state.probe_successes = 0

    @staticmethod
    def _release(state: WorkerRecord, reason: HealthReason, now: float) -> None:
        state.is_quarantined = False
        state.is_held_by_operator = False
        state.probe_sent = None
        state.next_start = 0.0
        state.failed_jobs.clear()
        # The evidence for the quarantine is used up.
        state.events.clear()
        if reason is HealthReason.OPERATOR:
            state.exempt_until = now + EXEMPTION_S

    @staticmethod
    def _clear_job(known: JobRecord) -> None:
        known.is_bad = False
        known.failures_when_bad = 0
        known.next_start = 0.0

    def _absolve_workers(self, job: JobId) -> None:
        """Lift the pauses that a bad job caused."""
        for state in self._workers.values():
            if state.failed_jobs.pop(job, None) and not state.failed_jobs:
                state.next_start = 0.0

    def _pause(self, state: WorkerRecord, now: float) -> None:
        """Space the starts on a worker on which jobs failed that fail nowhere else."""
        jobs = sum(not self._fails_widely(job) for job in state.failed_jobs)
        if jobs:
            state.next_start = now + min(PAUSE_MAXIMUM_S, PAUSE_S * 2 ** (jobs - 1))

    def _fails_widely(self, job: JobId) -> bool:
        """Tell whether a job failed on several workers in use since its last success."""
        known = self._jobs.get(job)
        if known is None or known.is_bad:
            return True
        return sum(not self._is_out_of_use(worker) for worker in known.failing) > WIDE_FAILURE

    def _is_out_of_use(self, worker: WorkerId) -> bool:
        state = self._workers.get(worker)
        return state is None or state.is_quarantined

    def _get_entry(self, worker: WorkerId, job: JobId) -> JobOnWorker | None:
        """Return the counts of a job on a worker, or None if the worker is gone."""
        if worker not in self._workers:
            return None
        known = self._jobs.setdefault(job, JobRecord())
        self._jobs.move_to_end(job)
        entry = known.workers.setdefault(worker, JobOnWorker())
        known.workers.move_to_end(worker)
        if len(self._jobs) > JOBS_REMEMBERED:
            self._jobs.popitem(last=False)
        if len(known.workers) > WORKERS_PER_JOB:
            known.workers.popitem(last=False)
        return entry

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
        # Tasks that were started before the quarantine are not probes.
        if state.probe_sent is None:
            return
        state.probe_sent = None
        state.probe_successes = 0
        state.probe_delay_s = min(PROBE_DELAY_MAXIMUM_S, state.probe_delay_s * 2)
        state.next_probe = now + state.probe_delay_s

    def _runs_elsewhere(self, known: JobRecord, worker: WorkerId, failed_after_s: float) -> bool:
        return any(
            entry.is_sound(failed_after_s)
            for other, entry in known.workers.items()
            if other != worker
        )

    def _estimate_failure(
        self, known: JobRecord, worker: WorkerId, failed_after_s: float
    ) -> float | None:
        """Return the share of a job's tasks that fail on other workers on which it is sound.

        With few tasks the estimate stays near the share of all jobs; None is no such worker.
        """
        sound = [
            entry
            for other, entry in known.workers.items()
            if other != worker and entry.is_sound(failed_after_s)
        ]
        if not sound:
            return None
        failures = sum(entry.failures for entry in sound)
        total = failures + sum(max(1, entry.successes) for entry in sound)
        prior = self._outcomes.get_failure_share()
        share = (failures + prior * PRIOR_TASKS) / (total + PRIOR_TASKS)
        return min(BAD_WORKER_FAILURE, max(SOUND_WORKER_FAILURE, share))

    def _weigh_worker(self, worker: WorkerId, now: float) -> tuple[float, list[JobId]]:
        """Return the evidence that a worker is bad, and the jobs that speak for it.

        The evidence is a cumulative sum (CUSUM) of log likelihood ratios over the last tasks,
        at least 0. A job that has not been seen to run elsewhere, or that now fails there too,
        says nothing; several failures of one job may have one cause and count once.
        """
        evidence = 0.0
        jobs: list[JobId] = []
        for event in self._workers[worker].events:
            known = self._jobs.get(event.job)
            if known is None or now - event.at > EVIDENCE_WINDOW_S:
                continue
            expected = self._estimate_failure(known, worker, event.ran_s)
            if not event.failed:
                if expected is None:
                    expected = self._outcomes.get_failure_share()
                evidence += math.log((1 - BAD_WORKER_FAILURE) / (1 - expected))
            elif expected and event.job not in jobs and not self._fails_widely(event.job):
                evidence += math.log(BAD_WORKER_FAILURE / expected)
                jobs.append(event.job)
            if evidence <= 0:
                evidence = 0.0
                jobs.clear()
        return evidence, jobs

    def _assess_worker(self, worker: WorkerId, now: float, pending: int = 0) -> list[HealthAction]:
        """Propose a quarantine on enough evidence; `pending` others are proposed already."""
        state = self._workers.get(worker)
        if state is None or state.is_quarantined or now < state.exempt_until:
            return []
        evidence, jobs = self._weigh_worker(worker, now)
        if evidence < QUARANTINE_EVIDENCE:
            return []
        automatic = pending + sum(
            each.is_quarantined and not each.is_held_by_operator for each in self._workers.values()
        )
        if automatic >= self._count_allowed():
            return [WithheldQuarantine(worker, HealthReason.QUARANTINE_LIMIT, evidence)]
        return [Quarantine(worker, HealthReason.FAILS_ACROSS_JOBS, evidence, tuple(jobs))]

    def _count_allowed(self) -> int:
        """Return how many workers may be quarantined automatically, one in a small slice."""
        count = len(self._workers)
        return max(int(count * self._limit + ROUNDING), int(count >= QUARANTINE_PART))

    def _excuse_job(self, job: JobId, workers: list[WorkerId], now: float) -> list[HealthAction]:
        """Assess the workers on which a job failed, since it has run elsewhere after that."""
        for worker in workers:
            del self._jobs[job].failing[worker]
        actions: list[HealthAction] = []
        for worker in workers:
            actions += self._assess_worker(worker, now, len(actions))
        return actions

    def _assess_job(self, job: JobId, now: float) -> list[HealthAction]:
        known = self._jobs[job]
        if known.is_bad:
            known.failures_when_bad += 1
            if known.failures_when_bad < BAD_JOB_ATTEMPTS:
                return []
            return [FailJob(job, HealthReason.JOB_KEEPS_FAILING, known.failures_when_bad)]
        factor = KNOWN_GOOD_FACTOR if known.has_succeeded else 1
        states = [self._workers[each] for each in known.failing if each in self._workers]
        confirmed = sum(state.is_known_sound(job, now) for state in states)
        is_bad = confirmed >= BAD_JOB_WORKERS * factor
        if is_bad or len(states) >= UNCONFIRMED_WORKERS * factor:
            workers = tuple(known.failing)
            return [MarkJobBad(job, HealthReason.JOB_FAILS_ON_MANY_WORKERS, workers)]
        return []
