"""Resources charged to tasks, and corrections of tasks that use more than they declared.

Charges follow lagging usage reports. Siblings are tasks of the same service or job.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Collection
from enum import Enum

import msgspec

from lavenderstall.identifiers import JobId, ServiceName, TaskId, TeamName
from lavenderstall.resources import NOTHING, Resources

# Share added to observed use; covers growth between two reports and differences between siblings.
HEADROOM_RATIO = 0.25
PEAK_HALF_LIFE_S = 3600.0
# A task without observed siblings is charged this many times its declaration, because usage
# reports come too late to prevent an overrun.
UNOBSERVED_FACTOR = 10.0
# A team whose last `TRUSTED_JOBS` jobs all used at most this many times their declaration is
# charged at this ratio. Of jobs off by up to 10 times in either direction, 15 in a row stay
# within it with probability 0.55 ** 15, about 1e-4.
TRUSTED_USE_RATIO = 1.25
TRUSTED_JOBS = 15
# A task has settled once its peak has not risen by more than `SETTLING_TOLERANCE` for this long.
SETTLING_TIME_S = 20.0
SETTLING_TOLERANCE = 0.05
# Multiplies the peak of tasks that ended unsettled: their last reports miss their end, while
# use may still rise.
UNSETTLED_FACTOR = 1.5
MAX_SHAPES = 20_000
# A throttled task has this long to reduce its use before it is moved.
THROTTLE_GRACE_S = 15.0


class ChargeReason(Enum):
    """Reasons for the charge of a task."""

    DECLARED = "declared"
    SIBLINGS_USED_MORE = "siblings_used_more"
    OBSERVED = "observed_use"
    UNOBSERVED = "no_sibling_observed_yet"


class StartObstacle(Enum):
    """Reasons to delay the start of a task."""

    FIRST_TASK_UNOBSERVED = "first_task_of_job_not_observed_yet"


class CorrectionReason(Enum):
    """Reasons for a correction."""

    OUTGROWS_DECLARATION = "outgrows_declaration"
    STILL_TOO_LARGE = "still_too_large_after_throttle"
    NOT_IDEMPOTENT = "too_large_but_not_idempotent"


class Charge(msgspec.Struct, frozen=True):
    """The resources charged to a task, and why."""

    resources: Resources
    reason: ChargeReason


class Throttle(msgspec.Struct, frozen=True):
    """Limit a task to fewer cores; undone by a throttle to `previous_cores_milli`."""

    task: TaskId
    cores_milli: int
    previous_cores_milli: int
    reason: CorrectionReason


class Move(msgspec.Struct, frozen=True):
    """Stop a task with a checkpoint and restart it where `charge` fits."""

    task: TaskId
    charge: Resources
    reason: CorrectionReason


class OperatorNotice(msgspec.Struct, frozen=True):
    """Tell operators of a task that outgrew its declaration and may not be moved."""

    task: TaskId
    charge: Resources
    reason: CorrectionReason


Correction = Throttle | Move | OperatorNotice


class UsageShape(msgspec.Struct, frozen=True):
    """Identify tasks that are expected to use the same: those of one service or job."""

    team: TeamName
    job: JobId
    service: ServiceName = ServiceName("")

    def get_key(self) -> str:
        """Return the key under which the use of siblings is stored."""
        return f"service/{self.service}" if self.service else f"job/{self.job}"


class DecayingPeak:
    """Peak use of one component, which decays towards later use."""

    __slots__ = ("_updated", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._updated = -math.inf

    def record(self, used: int, now: float) -> None:
        """Add a measurement."""
        self._value = max(float(used), self._decay(used, now))
        self._updated = max(self._updated, now)

    def get(self) -> int:
        """Return the peak as of the last measurement."""
        return math.ceil(self._value)

    def _decay(self, used: int, now: float) -> float:
        if self._value <= used:
            return float(used)
        elapsed = max(0.0, now - self._updated)
        return used + (self._value - used) * math.exp2(-elapsed / PEAK_HALF_LIFE_S)


class ObservedPeak:
    """Peak use of cores and memory; the worker enforces other components."""

    __slots__ = ("_cores", "_memory")

    def __init__(self) -> None:
        self._cores = DecayingPeak()
        self._memory = DecayingPeak()

    def record(self, used: Resources, now: float) -> None:
        """Add a measurement."""
        self._cores.record(used.cores_milli, now)
        self._memory.record(used.memory_mb, now)

    def get(self) -> Resources:
        """Return the peaks."""
        return Resources(self._cores.get(), self._memory.get())


class _TaskUsage:
    """Declaration and observed use of one running task."""

    __slots__ = (
        "capacity",
        "cores_before",
        "declared",
        "has_report",
        "last_rise",
        "last_used",
        "observed",
        "settled_peak",
        "shape",
        "throttled",
    )

    def __init__(
        self, shape: UsageShape, declared: Resources, capacity: Resources, now: float
    ) -> None:
        self.shape = shape
        self.declared = declared
        self.capacity = capacity
        self.observed = ObservedPeak()
        self.last_used = NOTHING
        self.last_rise = now
        self.settled_peak = NOTHING
        self.has_report = False
        self.throttled: float | None = None
        self.cores_before = declared.cores_milli

    def record(self, used: Resources, now: float) -> None:
        """Add a measurement and note rises of the peak."""
        self.observed.record(used, now)
        self.last_used = used
        peak = self.observed.get()
        tolerated = scale(self.settled_peak, 1 + SETTLING_TOLERANCE)
        if not self.has_report or not peak.fits(tolerated):
            self.settled_peak = peak
            self.last_rise = now
        self.has_report = True

    def is_settled(self, now: float) -> bool:
        """Return whether the peak has stopped rising."""
        return self.has_report and now - self.last_rise >= SETTLING_TIME_S


class _ShapeUsage:
    """Observed use of the tasks of one shape."""

    def __init__(self) -> None:
        self.observed = ObservedPeak()
        self.is_settled = False

    def get_peak(self) -> Resources:
        """Return the peak use, increased as long as no task has settled."""
        peak = self.observed.get()
        return peak if self.is_settled else scale(peak, UNSETTLED_FACTOR)


class UsageTracker:
    """Track what tasks use, and predict what their siblings will use."""

    def __init__(
        self, *, unobserved_factor: float = UNOBSERVED_FACTOR, headroom: float = HEADROOM_RATIO
    ) -> None:
        self._unobserved_factor = unobserved_factor
        self._headroom = headroom
        self._shapes: OrderedDict[str, _ShapeUsage] = OrderedDict()
        self._tasks: dict[TaskId, _TaskUsage] = {}
        # Running tasks of shapes without observed use.
        self._first_tasks: dict[str, set[TaskId]] = {}
        # Ratios of use to declaration of the last jobs of each team.
        self._ratios: dict[TeamName, deque[float]] = {}

    def compute_start_charge(
        self, shape: UsageShape, declared: Resources, capacity: Resources
    ) -> Charge:
        """Return the charge of a task that has not started, at most the capacity."""
        siblings = self._shapes.get(shape.get_key())
        if siblings is not None:
            peak = siblings.get_peak()
            return self._compute_charge(
                shape, declared, peak, capacity, ChargeReason.SIBLINGS_USED_MORE
            )
        assumed = scale(declared, self._get_unobserved_factor(shape.team))
        return Charge(clamp_charge(declared, assumed, capacity), ChargeReason.UNOBSERVED)

    def find_start_obstacle(self, shape: UsageShape) -> StartObstacle | None:
        """Return why a task should wait for its first sibling to be observed, or None.

        Gangs, whose tasks start together, are not delayed but charged as unobserved.
        """
        has_unobserved_sibling = bool(self._first_tasks.get(shape.get_key()))
        if has_unobserved_sibling and self._get_unobserved_factor(shape.team) > TRUSTED_USE_RATIO:
            return StartObstacle.FIRST_TASK_UNOBSERVED
        return None

    def record_start(
        self, task: TaskId, shape: UsageShape, declared: Resources, capacity: Resources, now: float
    ) -> None:
        """Track a task that starts on a worker with that capacity."""
        self._tasks[task] = _TaskUsage(shape, declared, capacity, now)
        if shape.get_key() not in self._shapes:
            self._first_tasks.setdefault(shape.get_key(), set()).add(task)

    def record_end(self, task: TaskId, *, done: bool, now: float) -> None:
        """Stop tracking a task; if it succeeded, its use predicts that of its siblings."""
        entry = self._tasks.pop(task, None)
        if entry is None:
            return
        if done and entry.has_report:
            self._update_shape(entry, now)
        first = self._first_tasks.get(entry.shape.get_key())
        if first is not None:
            first.discard(task)
            if not first:
                del self._first_tasks[entry.shape.get_key()]

    def record_usage(self, task: TaskId, used: Resources, now: float) -> None:
        """Add a worker's measurement of a task, taken at `now`."""
        entry = self._tasks.get(task)
        if entry is None:
            return
        entry.record(used, now)
        if entry.shape.get_key() in self._shapes or entry.is_settled(now):
            self._update_shape(entry, now)

    def is_tracked(self, task: TaskId) -> bool:
        """Return whether the start of a task was recorded and its end was not."""
        return task in self._tasks

    def get_charge(self, task: TaskId) -> Charge:
        """Return the present charge of a running task, at most the capacity of its worker."""
        entry = self._tasks[task]
        start = self.compute_start_charge(entry.shape, entry.declared, entry.capacity)
        peak = entry.observed.get()
        observed = self._compute_charge(
            entry.shape, entry.declared, peak, entry.capacity, ChargeReason.OBSERVED
        )
        if start.resources.fits(observed.resources):
            return observed
        merged = get_maximum(start.resources, observed.resources)
        return Charge(merged, start.reason)

    def estimate_reclaimable(self, task: TaskId, now: float) -> Resources:
        """Return what a task declared beyond its peak use and the headroom."""
        entry = self._tasks[task]
        if not entry.is_settled(now):
            return NOTHING
        kept = scale(entry.observed.get(), 1 + self._headroom)
        return Resources(
            max(0, entry.declared.cores_milli - kept.cores_milli),
            max(0, entry.declared.memory_mb - kept.memory_mb),
        )

    def find_corrections(
        self,
        tasks: Collection[TaskId],
        idempotent: Collection[TaskId],
        capacity: Resources,
        now: float,
    ) -> list[Correction]:
        """Return corrections for a worker whose tasks are charged more than its capacity.

        Tasks with the largest ratio of use to declaration come first, and no more than needed.
        They are throttled, and moved if that does not help within `THROTTLE_GRACE_S`.
        """
        charges = {task: self.get_charge(task).resources for task in tasks}
        total = NOTHING
        for charge in charges.values():
            total = total.add(charge)
        corrections: list[Correction] = []
        for task in sorted(tasks, key=self._get_use_ratio, reverse=True):
            if total.fits(capacity) or self._get_use_ratio(task) <= 1:
                break
            correction = self._make_correction(task, charges[task], task in idempotent, now)
            if correction is not None:
                corrections.append(correction)
            total = total.subtract(charges[task]).add(self._tasks[task].declared)
        return corrections

    def record_correction(self, correction: Correction, now: float) -> None:
        """Record that a correction was carried out."""
        if isinstance(correction, Throttle):
            entry = self._tasks[correction.task]
            entry.throttled = now
            entry.cores_before = correction.previous_cores_milli

    def undo_throttle(self, correction: Throttle) -> Throttle:
        """Return the throttle that restores the cores of a task."""
        entry = self._tasks[correction.task]
        entry.throttled = None
        return Throttle(
            correction.task,
            correction.previous_cores_milli,
            correction.cores_milli,
            correction.reason,
        )

    def _make_correction(
        self, task: TaskId, charge: Resources, idempotent: bool, now: float
    ) -> Correction | None:
        entry = self._tasks[task]
        if entry.throttled is None:
            # A task is never throttled below its declaration, which is what its owner paid for.
            cores = max(1, entry.declared.cores_milli)
            before = max(charge.cores_milli, cores)
            return Throttle(task, cores, before, CorrectionReason.OUTGROWS_DECLARATION)
        if now - entry.throttled < THROTTLE_GRACE_S:
            return None
        if idempotent:
            return Move(task, charge, CorrectionReason.STILL_TOO_LARGE)
        return OperatorNotice(task, charge, CorrectionReason.NOT_IDEMPOTENT)

    def _get_use_ratio(self, task: TaskId) -> float:
        """Return the ratio of last use to declaration."""
        entry = self._tasks[task]
        return compute_use_ratio(entry.last_used, entry.declared)

    def _compute_charge(
        self,
        shape: UsageShape,
        declared: Resources,
        observed: Resources,
        capacity: Resources,
        reason: ChargeReason,
    ) -> Charge:
        needed = scale(observed, 1 + self._headroom)
        # A service may use all it declares indefinitely; headroom on top would keep other tasks
        # off the rest of its worker.
        within_declaration = bool(shape.service) and observed.fits(declared)
        if within_declaration or needed.fits(declared):
            return Charge(declared, ChargeReason.DECLARED)
        return Charge(clamp_charge(declared, needed, capacity), reason)

    def _get_unobserved_factor(self, team: TeamName) -> float:
        ratios = self._ratios.get(team, ())
        if len(ratios) == TRUSTED_JOBS and max(ratios) <= TRUSTED_USE_RATIO:
            return min(TRUSTED_USE_RATIO, self._unobserved_factor)
        return self._unobserved_factor

    def _update_shape(self, entry: _TaskUsage, now: float) -> None:
        """Add the use of a task to that of its shape."""
        key = entry.shape.get_key()
        peak = entry.observed.get()
        if key not in self._shapes:
            ratios = self._ratios.setdefault(entry.shape.team, deque(maxlen=TRUSTED_JOBS))
            ratios.append(compute_use_ratio(peak, entry.declared))
            self._first_tasks.pop(key, None)
            self._shapes[key] = _ShapeUsage()
            self._shapes[key].observed.record(peak, now)
        siblings = self._shapes[key]
        siblings.observed.record(entry.last_used, now)
        siblings.is_settled = siblings.is_settled or entry.is_settled(now)
        self._shapes.move_to_end(key)
        if len(self._shapes) > MAX_SHAPES:
            self._shapes.popitem(last=False)


def clamp_charge(declared: Resources, needed: Resources, capacity: Resources) -> Resources:
    """Return what is needed, limited to the capacity, but at least the declaration.

    A declaration larger than the capacity is kept, so that it does not fit.
    """
    bounded = Resources(
        min(needed.cores_milli, capacity.cores_milli), min(needed.memory_mb, capacity.memory_mb)
    )
    return get_maximum(declared, bounded)


def compute_use_ratio(used: Resources, declared: Resources) -> float:
    """Return the larger ratio of use to declaration of cores and memory."""
    return max(
        used.cores_milli / max(1, declared.cores_milli),
        used.memory_mb / max(1, declared.memory_mb),
    )


def scale(resources: Resources, factor: float) -> Resources:
    """Return only cores and memory, multiplied by a factor and rounded up."""
    return Resources(
        math.ceil(resources.cores_milli * factor), math.ceil(resources.memory_mb * factor)
    )


def get_maximum(first: Resources, second: Resources) -> Resources:
    """Return the larger amount of each component."""
    return Resources(
        max(first.cores_milli, second.cores_milli),
        max(first.memory_mb, second.memory_mb),
        max(first.accelerators, second.accelerators),
        max(first.slots, second.slots),
        max(first.connections, second.connections),
    )
