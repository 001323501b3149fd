"""Charges learnt from lagging usage reports, and corrections of tasks that outgrow theirs."""

import math
from collections import OrderedDict, deque
from collections.abc import Collection
from enum import Enum

import msgspec

from lavenderstall.identifiers import JobId, ServiceName, TaskId, TeamName
from lavenderstall.resources import NOTHING, Resources

# Covers growth between two reports and the difference between siblings.
HEADROOM = 0.25
PEAK_HALF_LIFE_S = 3600.0
# A task whose siblings have not been seen is charged as if the declaration were off by this
# factor, because reports come too late to prevent an overrun.
UNKNOWN_FACTOR = 10.0
# A team whose last jobs all used at most this share of what they declared is charged for this
# share. Of jobs off by up to 10 times in either direction, 15 in a row stay within it with
# probability 0.55 ** 15, about 1e-4.
TRUSTED_RATIO = 1.25
TRUSTED_JOBS = 15
# A task is known once its peak has not risen by more than `RISE` for this long.
SETTLE_S = 20.0
RISE = 0.05
# The last reports of a short task do not cover its end, while its use may still rise.
UNSETTLED_FACTOR = 1.5
SHAPES_REMEMBERED = 20_000
# A throttled task gets this long to shrink before it is moved.
THROTTLE_GRACE_S = 15.0


class ChargeReason(Enum):
    """Reasons for what a task is charged."""

    DECLARED = "declared"
    SIBLINGS = "siblings_used_more"
    OBSERVED = "observed_use"
    UNKNOWN = "no_sibling_observed_yet"


class StartObstacle(Enum):
    """Reasons for which a task should not start yet."""

    FIRST_TASK_UNOBSERVED = "first_task_of_job_not_observed_yet"


class CorrectionReason(Enum):
    """Reasons for a correction."""

    OUTGROWS_DECLARATION = "outgrows_declaration"
    STILL_TOO_LARGE = "still_too_large_after_throttle"
    NOT_IDEMPOTENT = "too_large_but_not_idempotent"


class Charge(msgspec.Struct, frozen=True):
    """Hold what a task is charged and why."""

    resources: Resources
    reason: ChargeReason


class Throttle(msgspec.Struct, frozen=True):
    """Hold a task to a share of its cores; undone by a throttle to `before_milli`."""

    task: TaskId
    cores_milli: int
    before_milli: int
    reason: CorrectionReason


class Move(msgspec.Struct, frozen=True):
    """Stop a task with a checkpoint and start it where `charge` fits."""

    task: TaskId
    charge: Resources
    reason: CorrectionReason


class Report(msgspec.Struct, frozen=True):
    """Tell operators of a task that outgrows its declaration and may not be moved."""

    task: TaskId
    charge: Resources
    reason: CorrectionReason


Correction = Throttle | Move | Report


class Shape(msgspec.Struct, frozen=True):
    """Identify tasks that are alike: those of one service, or of one job."""

    team: TeamName
    job: JobId
    service: ServiceName = ServiceName("")

    def get_key(self) -> str:
        """Return the name under which siblings are remembered."""
        return f"service/{self.service}" if self.service else f"job/{self.job}"


class Peak:
    """Hold the peak use of one component, which decays towards later use."""

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


class Observed:
    """Hold the peak use of cores and memory; other components are enforced by the worker."""

    __slots__ = ("_cores", "_memory")

    def __init__(self) -> None:
        self._cores = Peak()
        self._memory = Peak()

    def record(self, used: Resources, now: float) -> None:
        """Add a measurement."""
        self._cores.record(used.cores_milli, now)
        self._memory.record(used.memory_mb, now)

    def get(self) -> Resources:
        """Return the peaks."""
        return Resources(self._cores.get(), self._memory.get())


class _Task:
    """Hold what is known of one running task."""

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

    def __init__(self, shape: Shape, declared: Resources, capacity: Resources, now: float) -> None:
        self.shape = shape
        self.declared = declared
        self.capacity = capacity
        self.observed = Observed()
        self.last_used = NOTHING
        self.last_rise = now
        self.settled_peak = NOTHING
        self.has_report = False
        self.throttled: float | None = None
        self.cores_before = declared.cores_milli

    def record(self, used: Resources, now: float) -> None:
        """Add a report and note whether the peak still rises."""
        self.observed.record(used, now)
        self.last_used = used
        peak = self.observed.get()
        bound = scale(self.settled_peak, 1 + RISE)
        if not self.has_report or not peak.fits(bound):
            self.settled_peak = peak
            self.last_rise = now
        self.has_report = True

    def is_settled(self, now: float) -> bool:
        """Tell whether the peak has been observed long enough."""
        return self.has_report and now - self.last_rise >= SETTLE_S


class _Siblings:
    """Hold what the tasks of one shape used."""

    def __init__(self) -> None:
        self.observed = Observed()
        self.is_settled = False

    def get_peak(self) -> Resources:
        """Return the peak use, with a supplement while no task was observed long enough."""
        peak = self.observed.get()
        return peak if self.is_settled else scale(peak, UNSETTLED_FACTOR)


class Usage:
    """Learn what tasks use and what their siblings will use."""

    def __init__(
        self, *, unknown_factor: float = UNKNOWN_FACTOR, headroom: float = HEADROOM
    ) -> None:
        self._unknown_factor = unknown_factor
        self._headroom = headroom
        self._shapes: OrderedDict[str, _Siblings] = OrderedDict()
        self._tasks: dict[TaskId, _Task] = {}
        # Running tasks of shapes that are not known yet.
        self._first_tasks: dict[str, set[TaskId]] = {}
        # How far the last jobs of a team were off.
        self._ratios: dict[TeamName, deque[float]] = {}

    def compute_start_charge(
        self, shape: Shape, declared: Resources, capacity: Resources
    ) -> Charge:
        """Return what a task is charged that is not started yet, at most the capacity."""
        siblings = self._shapes.get(shape.get_key())
        if siblings is not None:
            peak = siblings.get_peak()
            return self._charge(shape, declared, peak, capacity, ChargeReason.SIBLINGS)
        assumed = scale(declared, self._get_factor(shape.team))
        return Charge(bound_charge(declared, assumed, capacity), ChargeReason.UNKNOWN)

    def find_start_obstacle(self, shape: Shape) -> StartObstacle | None:
        """Return why a task should wait: its first sibling has not been observed yet.

        A gang, whose tasks start together, is not held back; its tasks are charged as unknown.
        """
        is_first_running = bool(self._first_tasks.get(shape.get_key()))
        if is_first_running and self._get_factor(shape.team) > TRUSTED_RATIO:
            return StartObstacle.FIRST_TASK_UNOBSERVED
        return None

    def record_start(
        self, task: TaskId, shape: Shape, declared: Resources, capacity: Resources, now: float
    ) -> None:
        """Follow a task that starts on a worker of that capacity."""
        self._tasks[task] = _Task(shape, declared, capacity, now)
        if shape.get_key() not in self._shapes:
            self._first_tasks.setdefault(shape.get_key(), set()).add(task)

    def record_end(self, task: TaskId, *, done: bool, now: float) -> None:
        """Forget a task; if it was done, what it used tells what its siblings will use."""
        entry = self._tasks.pop(task, None)
        if entry is None:
            return
        if done and entry.has_report:
            self._learn(entry, now)
        first = self._first_tasks.get(entry.shape.get_key())
        if first is not None:
            first.discard(task)
            if not first:
                del self._first_tasks[entry.shape.get_key()]

    def record_report(self, task: TaskId, used: Resources, now: float) -> None:
        """Add what a worker measured of a task; `now` is the time of the measurement."""
        entry = self._tasks.get(task)
        if entry is None:
            return
        entry.record(used, now)
        if entry.shape.get_key() in self._shapes or entry.is_settled(now):
            self._learn(entry, now)

    def is_followed(self, task: TaskId) -> bool:
        """Tell whether the start of a task was recorded and its end was not."""
        return task in self._tasks

    def get_charge(self, task: TaskId) -> Charge:
        """Return what a running task is charged now, at most the capacity of its worker."""
        entry = self._tasks[task]
        start = self.compute_start_charge(entry.shape, entry.declared, entry.capacity)
        peak = entry.observed.get()
        observed = self._charge(
            entry.shape, entry.declared, peak, entry.capacity, ChargeReason.OBSERVED
        )
        if start.resources.fits(observed.resources):
            return observed
        merged = unite(start.resources, observed.resources)
        return Charge(merged, start.reason)

    def estimate_reclaimable(self, task: TaskId, now: float) -> Resources:
        """Return what a task declared and does not use, beyond its peak and the headroom."""
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
        """Return what to do on a worker whose tasks are charged more than it has.

        Tasks that outgrew their declaration most are corrected first, and no more of them than
        needed: throttled at first, moved if that did not help within `THROTTLE_GRACE_S`.
        """
        charges = {task: self.get_charge(task).resources for task in tasks}
        total = NOTHING
        for charge in charges.values():
            total = total.add(charge)
        corrections: list[Correction] = []
        for task in sorted(tasks, key=self._get_growth, reverse=True):
            if total.fits(capacity) or self._get_growth(task) <= 1:
                break
            correction = self._correct(task, charges[task], task in idempotent, now)
            if correction is not None:
                corrections.append(correction)
            total = total.subtract(charges[task]).add(self._tasks[task].declared)
        return corrections

    def apply(self, correction: Correction, now: float) -> None:
        """Note that a correction was carried out."""
        if isinstance(correction, Throttle):
            entry = self._tasks[correction.task]
            entry.throttled = now
            entry.cores_before = correction.before_milli

    def undo(self, correction: Throttle) -> Throttle:
        """Return the throttle that gives a task its cores back."""
        entry = self._tasks[correction.task]
        entry.throttled = None
        return Throttle(
            correction.task, correction.before_milli, correction.cores_milli, correction.reason
        )

    def _correct(
        self, task: TaskId, charge: Resources, idempotent: bool, now: float
    ) -> Correction | None:
        entry = self._tasks[task]
        if entry.throttled is None:
            # Below what it declared, a task is never held; that is what its owner paid for.
            cores = max(1, entry.declared.cores_milli)
            before = max(charge.cores_milli, cores)
            return Throttle(task, cores, before, CorrectionReason.OUTGROWS_DECLARATION)
        if now - entry.throttled < THROTTLE_GRACE_S:
            return None
        if idempotent:
            return Move(task, charge, CorrectionReason.STILL_TOO_LARGE)
        return Report(task, charge, CorrectionReason.NOT_IDEMPOTENT)

    def _get_growth(self, task: TaskId) -> float:
        """Return the ratio of last use to declaration."""
        entry = self._tasks[task]
        return compute_ratio(entry.last_used, entry.declared)

    def _charge(
        self,
        shape: Shape,
        declared: Resources,
        observed: Resources,
        capacity: Resources,
        reason: ChargeReason,
    ) -> Charge:
        needed = scale(observed, 1 + self._headroom)
        # A service may use all it declares for ever; headroom on top would keep other work from
        # the rest of its worker.
        holds = bool(shape.service) and observed.fits(declared)
        if holds or needed.fits(declared):
            return Charge(declared, ChargeReason.DECLARED)
        return Charge(bound_charge(declared, needed, capacity), reason)

    def _get_factor(self, team: TeamName) -> float:
        ratios = self._ratios.get(team, ())
        if len(ratios) == TRUSTED_JOBS and max(ratios) <= TRUSTED_RATIO:
            return min(TRUSTED_RATIO, self._unknown_factor)
        return self._unknown_factor

    def _learn(self, entry: _Task, now: float) -> None:
        """Remember what a task used for its siblings."""
        key = entry.shape.get_key()
        peak = entry.observed.get()
        if key not in self._shapes:
            ratios = self._ratios.setdefault(entry.shape.team, deque(maxlen=TRUSTED_JOBS))
            ratios.append(compute_ratio(peak, entry.declared))
            self._first_tasks.pop(key, None)
            self._shapes[key] = _Siblings()
            self._shapes[key].observed.record(peak, now)
        siblings = self._shapes[key]
        siblings.observed.record(entry.last_used, now)
        siblings.is_settled = siblings.is_settled or entry.is_settled(now)
        self._shapes.move_to_end(key)
        if len(self._shapes) > SHAPES_REMEMBERED:
            self._shapes.popitem(last=False)


def bound_charge(declared: Resources, needed: Resources, capacity: Resources) -> Resources:
    """Return the needed amount, at least what is declared and at most the capacity.

    A declaration larger than the capacity is kept, so that it does not fit.
    """
    bounded = Resources(
        min(needed.cores_milli, capacity.cores_milli), min(needed.memory_mb, capacity.memory_mb)
    )
    return unite(declared, bounded)


def compute_ratio(used: Resources, declared: Resources) -> float:
    """Return the largest ratio of use to declaration among cores and memory."""
    return max(
        used.cores_milli / max(1, declared.cores_milli),
        used.memory_mb / max(1, declared.memory_mb),
    )


def scale(resources: Resources, factor: float) -> Resources:
    """Return cores and memory multiplied by a factor, rounded up."""
    return Resources(
        math.ceil(resources.cores_milli * factor), math.ceil(resources.memory_mb * factor)
    )


def unite(first: Resources, second: Resources) -> Resources:
    """Return the larger amount of each component."""
    return Resources(
        max(first.cores_milli, second.cores_milli),
        max(first.memory_mb, second.memory_mb),
        max(first.accelerators, second.accelerators),
        max(first.slots, second.slots),
        max(first.connections, second.connections),
    )
