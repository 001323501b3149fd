"""Choice of running tasks to preempt for an urgent request."""

from collections import deque
from collections.abc import Iterable, Sequence
from enum import Enum

import msgspec

from lavenderstall.identifiers import JobId, TaskId, WorkerId
from lavenderstall.resources import NOTHING, Resources

MAX_PREEMPTIONS_PER_MINUTE = 60
MAX_PREEMPTIONS_PER_JOB = 3
# Preemptions of a job are limited over this time, so that it makes progress between them.
PER_JOB_WINDOW_S = 600.0
MINUTE_S = 60.0
# A throttled task keeps this share of its cores, so that it still makes progress.
THROTTLE_SHARE = 0.25


class PreemptionMethod(Enum):
    """Methods of preemption, in order of preference."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


class PreemptionReason(Enum):
    """Reasons for a preemption, or for having none."""

    CHECKPOINT_LOSES_NO_WORK = "checkpoint_loses_no_work"
    THROTTLE_FREES_CORES = "throttle_frees_cores"
    STOP_REQUIRED = "nothing_milder_suffices"
    ALREADY_FITS = "nothing_needed"
    RATE_LIMIT = "preemptions_per_minute"
    NOT_ENOUGH_LOWER_PRIORITY = "not_enough_lower_priority_work"


class RunningTask(msgspec.Struct, frozen=True):
    """A running task as a candidate for preemption."""

    task: TaskId
    job: JobId
    priority: int
    charge: Resources
    started: float
    idempotent: bool
    has_checkpoint: bool = False
    is_throttled: bool = False


class Preemption(msgspec.Struct, frozen=True):
    """The preemption of one task; undone by starting or unthrottling it again."""

    task: TaskId
    job: JobId
    worker: WorkerId
    method: PreemptionMethod
    reason: PreemptionReason
    freed: Resources
    priority: int
    ran_s: float
    cores_milli: int | None = None


class PreemptionPlan(msgspec.Struct, frozen=True):
    """Preemptions that together free enough resources, or none and the reason."""

    preemptions: tuple[Preemption, ...]
    reason: PreemptionReason | None = None

    @property
    def is_sufficient(self) -> bool:
        """Return whether the request fits after the preemptions."""
        return bool(self.preemptions) or self.reason is PreemptionReason.ALREADY_FITS


class PreemptionBudget:
    """Limit preemptions per minute and per job."""

    def __init__(
        self, per_minute: int = MAX_PREEMPTIONS_PER_MINUTE, per_job: int = MAX_PREEMPTIONS_PER_JOB
    ) -> None:
        self._per_minute = per_minute
        self._per_job = per_job
        self._recent: deque[float] = deque()
        self._jobs: deque[tuple[float, JobId]] = deque()
        self._counts: dict[JobId, int] = {}

    def set_per_minute(self, per_minute: int) -> None:
        """Set the limit per minute."""
        self._per_minute = per_minute

    def get_remaining(self, now: float) -> int:
        """Return how many more preemptions are allowed now."""
        self._expire(now)
        return self._per_minute - len(self._recent)

    def get_remaining_for_job(self, job: JobId, now: float) -> int:
        """Return how many more preemptions of a job are allowed."""
        self._expire(now)
        return self._per_job - self._counts.get(job, 0)

    def record(self, plan: PreemptionPlan, now: float) -> None:
        """Count the preemptions of a plan that is carried out."""
        for preemption in plan.preemptions:
            self._recent.append(now)
            self._jobs.append((now, preemption.job))
            self._counts[preemption.job] = self._counts.get(preemption.job, 0) + 1

    def _expire(self, now: float) -> None:
        while self._recent and self._recent[0] <= now - MINUTE_S:
            self._recent.popleft()
        while self._jobs and self._jobs[0][0] <= now - PER_JOB_WINDOW_S:
            _, job = self._jobs.popleft()
            self._counts[job] -= 1
            if not self._counts[job]:
                del self._counts[job]


def choose_victims(
    worker: WorkerId,
    needed: Resources,
    free: Resources,
    *,
    priority: int,
    tasks: Iterable[RunningTask],
    budget: PreemptionBudget,
    now: float,
) -> PreemptionPlan:
    """Return preemptions on one worker after which `needed` fits, or none; mild ones first."""
    if needed.fits(free):
        return PreemptionPlan((), PreemptionReason.ALREADY_FITS)
    candidates = sorted(
        (task for task in tasks if task.idempotent and task.priority < priority),
        key=lambda task: (task.priority, now - task.started),
    )
    chosen: dict[TaskId, Preemption] = {}
    for method in PreemptionMethod:
        for task in candidates:
            available = free.add(_sum_freed(chosen.values()))
            if needed.fits(available):
                return _finalize_plan(chosen, needed, free, budget, now)
            preemption = _make_preemption(method, task, worker, now)
            earlier = chosen.get(task.task)
            if preemption is None or (earlier and earlier.method is PreemptionMethod.CHECKPOINT):
                continue
            job_count = sum(each.job == task.job for each in chosen.values())
            if earlier is None and job_count >= budget.get_remaining_for_job(task.job, now):
                continue
            if _reduces_shortage(preemption.freed, needed, available):
                chosen[task.task] = preemption
    if needed.fits(free.add(_sum_freed(chosen.values()))):
        return _finalize_plan(chosen, needed, free, budget, now)
    return PreemptionPlan((), PreemptionReason.NOT_ENOUGH_LOWER_PRIORITY)


def choose_plan(plans: Sequence[PreemptionPlan]) -> PreemptionPlan:
    """Return the least disruptive of the plans for several workers.

    Plans are compared by the highest priority preempted, then by the number of stops, of
    preemptions, and by the run time that the stops lose.
    """
    sufficient = [plan for plan in plans if plan.is_sufficient]
    if sufficient:
        return min(sufficient, key=_rank_plan)
    rate_limited = [plan for plan in plans if plan.reason is PreemptionReason.RATE_LIMIT]
    return (rate_limited or [PreemptionPlan((), PreemptionReason.NOT_ENOUGH_LOWER_PRIORITY)])[0]


def _rank_plan(plan: PreemptionPlan) -> tuple[float, int, int, float]:
    stops = [each for each in plan.preemptions if each.method is PreemptionMethod.STOP]
    return (
        max((each.priority for each in plan.preemptions), default=float("-inf")),
        len(stops),
        len(plan.preemptions),
        sum(each.ran_s for each in stops),
    )


def _make_preemption(
    method: PreemptionMethod, task: RunningTask, worker: WorkerId, now: float
) -> Preemption | None:
    """Return the preemption of a task by a method, or None if that is not possible."""
    cores: int | None = None
    freed = task.charge
    match method:
        case PreemptionMethod.CHECKPOINT:
            reason = PreemptionReason.CHECKPOINT_LOSES_NO_WORK
            if not task.has_checkpoint:
                return None
        case PreemptionMethod.THROTTLE:
            reason = PreemptionReason.THROTTLE_FREES_CORES
            cores = int(task.charge.cores_milli * THROTTLE_SHARE)
            freed = Resources(task.charge.cores_milli - cores)
            if task.is_throttled:
                return None
        case PreemptionMethod.STOP:
            reason = PreemptionReason.STOP_REQUIRED
    return Preemption(
        task.task,
        task.job,
        worker,
        method,
        reason,
        freed,
        task.priority,
        now - task.started,
        cores,
    )


def _reduces_shortage(freed: Resources, needed: Resources, available: Resources) -> bool:
    return any(getattr(freed, name) > 0 for name in needed.find_shortages(available))


def _sum_freed(preemptions: Iterable[Preemption]) -> Resources:
    total = NOTHING
    for preemption in preemptions:
        total = total.add(preemption.freed)
    return total


def _finalize_plan(
    chosen: dict[TaskId, Preemption],
    needed: Resources,
    free: Resources,
    budget: PreemptionBudget,
    now: float,
) -> PreemptionPlan:
    """Drop preemptions that later ones made unnecessary, and check the rate limit."""
    methods = list(PreemptionMethod)
    most_disruptive_first = sorted(
        chosen.values(),
        key=lambda each: (methods.index(each.method), each.priority, each.ran_s),
        reverse=True,
    )
    for preemption in most_disruptive_first:
        rest = [each for key, each in chosen.items() if key != preemption.task]
        if needed.fits(free.add(_sum_freed(rest))):
            del chosen[preemption.task]
    if len(chosen) > budget.get_remaining(now):
        return PreemptionPlan((), PreemptionReason.RATE_LIMIT)
    return PreemptionPlan(tuple(chosen.values()))
