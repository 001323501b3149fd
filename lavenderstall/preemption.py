"""Choice of running tasks that make room for an urgent request."""

from collections import deque
from collections.abc import Iterable, Sequence
from enum import Enum

import msgspec

from lavenderstall.identifiers import JobId, TaskId, WorkerId
from lavenderstall.resources import NOTHING, Resources

PER_MINUTE = 60
PER_JOB = 3
# A job counts its preemptions over this time, so that it makes progress between them.
JOB_WINDOW_S = 600.0
MINUTE_S = 60.0
# A throttled task keeps this share of its cores, so that it still makes progress.
THROTTLE_SHARE = 0.25


class Measure(Enum):
    """What is done to a victim, in order of preference."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


class PreemptionReason(Enum):
    """Reasons for a choice, or for choosing nothing."""

    CHECKPOINT_LOSES_NO_WORK = "checkpoint_loses_no_work"
    THROTTLE_FREES_CORES = "throttle_frees_cores"
    NOTHING_MILDER_SUFFICES = "nothing_milder_suffices"
    NOTHING_NEEDED = "nothing_needed"
    MINUTE_BOUND = "preemptions_per_minute"
    NOT_ENOUGH_LOWER_PRIORITY = "not_enough_lower_priority_work"


class RunningTask(msgspec.Struct, frozen=True):
    """Hold what the choice needs to know about a running task."""

    task: TaskId
    job: JobId
    priority: int
    charge: Resources
    started: float
    idempotent: bool
    has_checkpoint: bool = False
    is_throttled: bool = False


class Preemption(msgspec.Struct, frozen=True):
    """Hold one measure against one task; undone by starting or unthrottling it again."""

    task: TaskId
    job: JobId
    worker: WorkerId
    measure: Measure
    reason: PreemptionReason
    frees: Resources
    priority: int
    ran_s: float
    cores_milli: int | None = None


class PreemptionPlan(msgspec.Struct, frozen=True):
    """Hold the measures that together make the room, or none and the reason."""

    measures: tuple[Preemption, ...]
    reason: PreemptionReason | None = None

    @property
    def is_sufficient(self) -> bool:
        """Tell whether the request fits once the measures are done."""
        return bool(self.measures) or self.reason is PreemptionReason.NOTHING_NEEDED


class PreemptionBudget:
    """Bound preemptions per minute and per job."""

    def __init__(self, per_minute: int = PER_MINUTE, per_job: int = PER_JOB) -> None:
        self._per_minute = per_minute
        self._per_job = per_job
        self._recent: deque[float] = deque()
        self._jobs: deque[tuple[float, JobId]] = deque()
        self._counts: dict[JobId, int] = {}

    def set_per_minute(self, per_minute: int) -> None:
        """Replace the bound per minute."""
        self._per_minute = per_minute

    def get_left(self, now: float) -> int:
        """Return how many preemptions are left in this minute."""
        self._expire(now)
        return self._per_minute - len(self._recent)

    def get_left_of_job(self, job: JobId, now: float) -> int:
        """Return how many more preemptions a job may suffer."""
        self._expire(now)
        return self._per_job - self._counts.get(job, 0)

    def record(self, plan: PreemptionPlan, now: float) -> None:
        """Count the measures of a plan that is carried out."""
        for measure in plan.measures:
            self._recent.append(now)
            self._jobs.append((now, measure.job))
            self._counts[measure.job] = self._counts.get(measure.job, 0) + 1

    def _expire(self, now: float) -> None:
        while self._recent and self._recent[0] <= now - MINUTE_S:
            self._recent.popleft()
        while self._jobs and self._jobs[0][0] <= now - JOB_WINDOW_S:
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
    """Return the least measures on one worker after which `needed` fits, or none."""
    if needed.fits(free):
        return PreemptionPlan((), PreemptionReason.NOTHING_NEEDED)
    order = sorted(
        (task for task in tasks if task.idempotent and task.priority < priority),
        key=lambda task: (task.priority, now - task.started),
    )
    chosen: dict[TaskId, Preemption] = {}
    for measure in Measure:
        for task in order:
            room = free.add(_sum_freed(chosen.values()))
            if needed.fits(room):
                return _finish(chosen, needed, free, budget, now)
            option = _apply_measure(measure, task, worker, now)
            earlier = chosen.get(task.task)
            if option is None or (earlier and earlier.measure is Measure.CHECKPOINT):
                continue
            job_count = sum(each.job == task.job for each in chosen.values())
            if earlier is None and job_count >= budget.get_left_of_job(task.job, now):
                continue
            if _helps(option.frees, needed, room):
                chosen[task.task] = option
    if needed.fits(free.add(_sum_freed(chosen.values()))):
        return _finish(chosen, needed, free, budget, now)
    return PreemptionPlan((), PreemptionReason.NOT_ENOUGH_LOWER_PRIORITY)


def choose_plan(plans: Sequence[PreemptionPlan]) -> PreemptionPlan:
    """Return the plan that disturbs least among those of several workers.

    The highest priority hit counts first, then the stops, then the time of work lost.
    """
    sufficient = [plan for plan in plans if plan.is_sufficient]
    if sufficient:
        return min(sufficient, key=_weigh)
    refused = [plan for plan in plans if plan.reason is PreemptionReason.MINUTE_BOUND]
    return (refused or [PreemptionPlan((), PreemptionReason.NOT_ENOUGH_LOWER_PRIORITY)])[0]


def _weigh(plan: PreemptionPlan) -> tuple[float, int, int, float]:
    stops = [each for each in plan.measures if each.measure is Measure.STOP]
    return (
        max((each.priority for each in plan.measures), default=float("-inf")),
        len(stops),
        len(plan.measures),
        sum(each.ran_s for each in stops),
    )


def _apply_measure(
    measure: Measure, task: RunningTask, worker: WorkerId, now: float
) -> Preemption | None:
    """Return a measure against a task, or None if it does not apply to it."""
    cores: int | None = None
    frees = task.charge
    match measure:
        case Measure.CHECKPOINT:
            reason = PreemptionReason.CHECKPOINT_LOSES_NO_WORK
            if not task.has_checkpoint:
                return None
        case Measure.THROTTLE:
            reason = PreemptionReason.THROTTLE_FREES_CORES
            cores = int(task.charge.cores_milli * THROTTLE_SHARE)
            frees = Resources(task.charge.cores_milli - cores)
            if task.is_throttled:
                return None
        case Measure.STOP:
            reason = PreemptionReason.NOTHING_MILDER_SUFFICES
    return Preemption(
        task.task,
        task.job,
        worker,
        measure,
        reason,
        frees,
        task.priority,
        now - task.started,
        cores,
    )


def _helps(frees: Resources, needed: Resources, room: Resources) -> bool:
    return any(getattr(frees, name) > 0 for name in needed.find_shortages(room))


def _sum_freed(measures: Iterable[Preemption]) -> Resources:
    total = NOTHING
    for measure in measures:
        total = total.add(measure.frees)
    return total


def _finish(
    chosen: dict[TaskId, Preemption],
    needed: Resources,
    free: Resources,
    budget: PreemptionBudget,
    now: float,
) -> PreemptionPlan:
    """Drop measures that later ones made needless, hardest first, and check the minute."""
    order = list(Measure)
    by_harm = sorted(
        chosen.values(),
        key=lambda each: (order.index(each.measure), each.priority, each.ran_s),
        reverse=True,
    )
    for measure in by_harm:
        rest = [each for key, each in chosen.items() if key != measure.task]
        if needed.fits(free.add(_sum_freed(rest))):
            del chosen[measure.task]
    if len(chosen) > budget.get_left(now):
        return PreemptionPlan((), PreemptionReason.MINUTE_BOUND)
    return PreemptionPlan(tuple(chosen.values()))
