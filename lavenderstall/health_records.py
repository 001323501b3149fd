"""Recent task outcomes and health state of each worker and job."""

import math
from collections import OrderedDict, deque

import msgspec

from lavenderstall.identifiers import JobId, WorkerId

EVIDENCE_WINDOW_S = 600.0
MAX_OUTCOMES_PER_WORKER = 32

# A task outlives a failed one if it runs this many times as long, plus the extra seconds.
SURVIVAL_FACTOR = 2.0
SURVIVAL_EXTRA_S = 1.0
# A surviving task may have started at most this long before the failed one.
SAME_START_WINDOW_S = 10.0

# Before any outcome, 1 task in 10 is assumed to fail, so that an early quarantine needs more jobs.
PRIOR_FAILURES = 1.0
PRIOR_OUTCOMES = 10.0
MAX_OUTCOME_WEIGHT = 1000.0

# A failure on a worker on which this many other jobs failed is no evidence against a job.
UNRELIABLE_WORKER_FAILED_JOBS = 2
PROBE_DELAY_S = 5.0


class TaskOutcome(msgspec.Struct, frozen=True):
    """How one task on a worker ended; `ran_s` is 0 for a success."""

    job: JobId
    failed: bool
    ran_s: float
    ended: float

    def is_outlived_by(self, ran_s: float, now: float) -> bool:
        """Return whether a task that has run for `ran_s` shows that the job is not at fault."""
        started_late_enough = now - ran_s >= self.ended - self.ran_s - SAME_START_WINDOW_S
        return started_late_enough and ran_s >= get_min_survival_s(self.ran_s)


def get_min_survival_s(failed_after_s: float) -> float:
    """Return how long a task must run to outlive one that failed after `failed_after_s`."""
    return failed_after_s * SURVIVAL_FACTOR + SURVIVAL_EXTRA_S


class JobWorkerStats:
    """Statistics of the tasks of one job on one worker."""

    def __init__(self) -> None:
        self.failures = 0
        self.successes = 0
        self.survived_s = 0.0
        self.next_start = 0.0

    def succeeded_or_outlived(self, failed_after_s: float) -> bool:
        """Return whether a task succeeded or outlived a failure elsewhere."""
        return self.successes > 0 or self.survived_s >= get_min_survival_s(failed_after_s)


class FailureRateEstimator:
    """Estimate of the share of tasks that fail on healthy workers, over about the last 1,000."""

    def __init__(self) -> None:
        self._failures = PRIOR_FAILURES
        self._total = PRIOR_OUTCOMES

    def record(self, failed: bool) -> None:
        """Record one outcome."""
        self._failures += failed
        self._total += 1
        if self._total > MAX_OUTCOME_WEIGHT:
            self._failures /= 2
            self._total /= 2

    def estimate(self) -> float:
        """Return the failure rate, below 1."""
        return self._failures / self._total


class JobRecord:
    """Outcomes of a job on its recent workers."""

    def __init__(self) -> None:
        self.workers: OrderedDict[WorkerId, JobWorkerStats] = OrderedDict()
        # The last failure on each worker on which the job failed since its last success.
        self.recent_failures: dict[WorkerId, TaskOutcome] = {}
        self.has_succeeded = False
        self.is_bad = False
        self.failures_since_marked = 0
        self.next_start = 0.0


class WorkerRecord:
    """State of one worker and the outcomes of its last tasks."""

    def __init__(self) -> None:
        self.outcomes: deque[TaskOutcome] = deque(maxlen=MAX_OUTCOMES_PER_WORKER)
        self.last_success = -math.inf
        # Jobs that failed since the last success.
        self.failed_jobs: dict[JobId, TaskOutcome] = {}
        self.next_start = 0.0
        self.is_quarantined = False
        self.is_quarantined_by_operator = False
        self.probe_delay_s = PROBE_DELAY_S
        self.next_probe = 0.0
        self.probe_sent: float | None = None
        self.probe_successes = 0
        self.exempt_until = -math.inf

    def is_known_healthy(self, job: JobId, now: float) -> bool:
        """Return whether a failure on this worker is evidence against the job.

        A worker that turned bad recently still has recent successes, but other jobs fail on it.
        """
        others = len(self.failed_jobs) - (job in self.failed_jobs)
        is_recent = now - self.last_success < EVIDENCE_WINDOW_S
        return not self.is_quarantined and is_recent and others < UNRELIABLE_WORKER_FAILED_JOBS

    def record_healthy_task(self, now: float) -> None:
        """Record that a task ran well."""
        self.last_success = now
        self.failed_jobs.clear()
        self.next_start = 0.0
