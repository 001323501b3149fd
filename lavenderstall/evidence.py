"""Records of how tasks ended on workers, by worker and by job."""

import math
from collections import OrderedDict, deque

import msgspec

from lavenderstall.identifiers import JobId, WorkerId

EVIDENCE_WINDOW_S = 600.0
EVENTS_PER_WORKER = 32

# A task that runs this much longer elsewhere than it ran here before it failed counts as sound.
SURVIVAL_FACTOR = 2.0
SURVIVAL_EXTRA_S = 1.0
# Tasks of a job that started this close together are compared with each other.
SAME_START_S = 10.0

# Before any outcome, one task in 10 is taken to fail, so that early verdicts need more jobs.
PRIOR_FAILURES = 1.0
PRIOR_OUTCOMES = 10.0
OUTCOMES_REMEMBERED = 1000.0

# A worker on which this many other jobs fail is no witness against a job.
OTHER_FAILING_JOBS = 2
PROBE_DELAY_S = 5.0


class Event(msgspec.Struct, frozen=True):
    """Hold how one task on a worker ended; `ran_s` is 0 for a success."""

    job: JobId
    failed: bool
    ran_s: float
    at: float

    def allows_survivor(self, ran_s: float, now: float) -> bool:
        """Tell whether a task that still runs shows that this failure was not the job's fault."""
        started_late_enough = now - ran_s >= self.at - self.ran_s - SAME_START_S
        return started_late_enough and ran_s >= get_survival_s(self.ran_s)


def get_survival_s(failed_after_s: float) -> float:
    """Return how long a task must run to do better than one that failed after that time."""
    return failed_after_s * SURVIVAL_FACTOR + SURVIVAL_EXTRA_S


class JobOnWorker:
    """Count how the tasks of one job did on one worker."""

    def __init__(self) -> None:
        self.failures = 0
        self.successes = 0
        self.survived_s = 0.0
        self.next_start = 0.0

    def is_sound(self, failed_after_s: float) -> bool:
        """Tell whether the job ran here past the time after which it failed elsewhere."""
        return self.successes > 0 or self.survived_s >= get_survival_s(failed_after_s)


class OutcomeShare:
    """Estimate the share of tasks that fail on sound workers, over about the last 1,000."""

    def __init__(self) -> None:
        self._failures = PRIOR_FAILURES
        self._total = PRIOR_OUTCOMES

    def record(self, failed: bool) -> None:
        """Add one outcome."""
        self._failures += failed
        self._total += 1
        if self._total > OUTCOMES_REMEMBERED:
            self._failures /= 2
            self._total /= 2

    def get_failure_share(self) -> float:
        """Return the share of failures, below 1."""
        return self._failures / self._total


class JobRecord:
    """Hold how a job did on its recent workers."""

    def __init__(self) -> None:
        self.workers: OrderedDict[WorkerId, JobOnWorker] = OrderedDict()
        # Workers on which it failed since its last success.
        self.failing: dict[WorkerId, Event] = {}
        self.has_succeeded = False
        self.is_bad = False
        self.failures_when_bad = 0
        self.next_start = 0.0


class WorkerRecord:
    """Hold the state of one worker and how the last tasks on it ended."""

    def __init__(self) -> None:
        self.events: deque[Event] = deque(maxlen=EVENTS_PER_WORKER)
        self.last_success = -math.inf
        # Jobs that failed since the last success.
        self.failed_jobs: dict[JobId, Event] = {}
        self.next_start = 0.0
        self.is_quarantined = False
        self.is_held_by_operator = False
        self.probe_delay_s = PROBE_DELAY_S
        self.next_probe = 0.0
        self.probe_sent: float | None = None
        self.probe_successes = 0
        self.exempt_until = -math.inf

    def is_known_sound(self, job: JobId, now: float) -> bool:
        """Tell whether a failure of a job here speaks against the job.

        A worker that turned bad recently still has recent successes, but fails other jobs too.
        """
        others = len(self.failed_jobs) - (job in self.failed_jobs)
        is_recent = now - self.last_success < EVIDENCE_WINDOW_S
        return not self.is_quarantined and is_recent and others < OTHER_FAILING_JOBS

    def record_sound(self, now: float) -> None:
        """Note that a task ran well."""
        self.last_success = now
        self.failed_jobs.clear()
        self.next_start = 0.0
