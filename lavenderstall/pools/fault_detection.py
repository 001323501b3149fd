"""Detection of faulty workers, stalled runs and stragglers."""

from collections import deque
from typing import NamedTuple

from lavenderstall.identifiers import JobId
from lavenderstall.pools.job import Run
from lavenderstall.pools.work import EndCause, Step

# Limits on the number and age of a worker's ends that count.
MAX_ENDS = 12
HISTORY_S = 6.0
# A worker is faulty if tasks of at least this many jobs and this share of its ends have failed.
MIN_FAILED_JOBS = 2
MIN_FAILED_SHARE = 0.5
# A run without progress for this long, or share of its duration if longer, is stalled.
STALL_S = 2.0
STALL_SHARE = 0.2
FULL_PERCENT = 100.0
# A run may count as a straggler after this long, or this share of its declared duration if longer.
MIN_OBSERVED_S = 0.4
MIN_OBSERVED_SHARE = 0.7
# A straggler needs this multiple of the declared duration more, plus the cost of a restart.
STRAGGLER_FACTOR = 4.0
RESTART_COST_S = 0.5
# A run paced down to this percentage may show no progress for a while.
THROTTLED_PACE = 50


class RecentEnd(NamedTuple):
    """When a run ended, in seconds of uptime, and whether it failed."""

    at: float
    job: JobId
    failed: bool


class EndHistory:
    """Recent ends of runs on one worker."""

    def __init__(self) -> None:
        self._ends: deque[RecentEnd] = deque(maxlen=MAX_ENDS)

    def note(self, now: float, job: JobId, cause: EndCause) -> None:
        """Record an end; only done and failed runs count."""
        if cause in {EndCause.DONE, EndCause.FAILED}:
            self._ends.append(RecentEnd(now, job, cause is EndCause.FAILED))

    def is_faulty(self, now: float) -> bool:
        """Tell whether the worker fails tasks of several jobs."""
        recent = [end for end in self._ends if now - end.at < HISTORY_S]
        failed = [end for end in recent if end.failed]
        jobs = {end.job for end in failed}
        return len(jobs) >= MIN_FAILED_JOBS and len(failed) >= MIN_FAILED_SHARE * len(recent)

    def clear(self) -> None:
        """Forget all ends."""
        self._ends.clear()


def is_stalled(run: Run, step: Step, now: float) -> bool:
    """Tell whether a confirmed run has shown no progress for too long."""
    if step.long_running or run.stopping or run.reported_at < 0 or run.percent >= FULL_PERCENT:
        return False
    if run.pace <= THROTTLED_PACE:
        return False
    limit = max(STALL_S, STALL_SHARE * step.expected_ms / 1000)
    return run.reported_at - run.percent_changed_at > limit and now - run.reported_at < limit


def is_straggling(run: Run, step: Step) -> bool:
    """Tell whether a run would end sooner if it restarted on an average worker."""
    if (
        step.long_running
        or step.gang
        or run.stopping
        or run.reported_at < 0
        or run.pace < FULL_PERCENT
    ):
        return False
    expected_s = step.expected_ms / 1000
    worked_s = run.reported_at - run.confirmed_at
    if run.percent >= FULL_PERCENT or worked_s < max(
        MIN_OBSERVED_S, MIN_OBSERVED_SHARE * expected_s
    ):
        return False
    if run.percent <= run.initial_percent:
        return worked_s > STRAGGLER_FACTOR * expected_s + RESTART_COST_S
    remaining_s = (FULL_PERCENT - run.percent) * worked_s / (run.percent - run.initial_percent)
    return remaining_s > STRAGGLER_FACTOR * expected_s + RESTART_COST_S
