"""Declared work: jobs, steps, tasks and queues."""

from enum import Enum
from functools import cached_property
from typing import NamedTuple, NewType

import msgspec

from lavenderstall.bearer_tokens import TeamKeys
from lavenderstall.connection_limits import RequestLimitOverrides
from lavenderstall.identifiers import JobId, TeamName
from lavenderstall.pools.teams import Team
from lavenderstall.resources import MAX_AMOUNT, NOTHING, Resources

PoolName = NewType("PoolName", str)
QueueName = NewType("QueueName", str)

MAX_TASKS = 5000
MAX_STEPS = 64
# Tasks that last are all kept at a time, of all occurrences.
MAX_LASTING_TASKS = 5_000
# Limit on figures; rows and messages hold whole numbers of at most 63 bits.
MAX_FIGURE = 2**53 - 1


class InvalidJobError(Exception):
    """A submitted job is malformed."""


class Task(NamedTuple):
    """Identity of one task of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int
    number: int


class StepKey(NamedTuple):
    """Identity of one step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int


def get_step_key(task: Task) -> StepKey:
    """Return the step that a task belongs to."""
    return StepKey(task.job, task.occurrence, task.step)


class EndCause(Enum):
    """Why a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"


class JobState(Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Declaration of a step; `after` holds indexes of earlier steps that it depends on.

    Best-effort tasks are paced by the tail latency of long-running tasks with a `target_ms`.
    """

    count: int
    need: Resources = NOTHING
    expected_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = msgspec.field(default=False, name="lasting")
    image: str = ""
    target_ms: int = 0
    best_effort: bool = msgspec.field(default=False, name="fills")
    max_missing: int = 0

    @property
    def allocation(self) -> Resources:
        """Return the resources reserved for a task; best-effort tasks reserve no cores."""
        if not self.best_effort:
            return self.need
        return Resources(memory_mb=self.need.memory_mb, accelerators=self.need.accelerators)


class Repeat(msgspec.Struct, frozen=True, omit_defaults=True):
    """Declaration of occurrences: the first at a Unix time, the others at an interval."""

    count: int
    start_ms: int = 0
    interval_ms: int = 0


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Declaration of a job; `payload` is passed to its tasks as it is."""

    payload: str
    steps: tuple[Step, ...]
    repeat: Repeat | None = None

    @property
    def occurrences(self) -> int:
        """Return how often the steps run."""
        return self.repeat.count if self.repeat else 1


def check_job(spec: JobSpec) -> None:
    """Raise `InvalidJobError` if steps are missing, malformed or depend on later ones."""
    if not 1 <= len(spec.steps) <= MAX_STEPS:
        raise InvalidJobError(f"a job has 1 to {MAX_STEPS} steps, not {len(spec.steps)}")
    for number, step in enumerate(spec.steps):
        if not 1 <= step.count <= MAX_TASKS:
            raise InvalidJobError(f"step {number} has {step.count} tasks, not 1 to {MAX_TASKS}")
        if any(not 0 <= earlier < number for earlier in step.after):
            raise InvalidJobError(f"step {number} waits for a step that is not an earlier one")
        needs = (
            step.need.cores_milli,
            step.need.memory_mb,
            step.need.accelerators,
            step.need.slots,
            step.need.connections,
        )
        figures = (step.expected_ms, step.max_per_worker, step.target_ms, step.max_missing)
        if min(*needs, *figures) < 0:
            raise InvalidJobError(f"step {number} asks for a negative amount")
        if max(needs) > MAX_AMOUNT:
            raise InvalidJobError(f"step {number} asks for more than {MAX_AMOUNT}")
        if max(figures) > MAX_FIGURE:
            raise InvalidJobError(f"step {number} has a figure above {MAX_FIGURE}")
    if spec.repeat is not None:
        check_repeat(spec.repeat)
    lasting = spec.occurrences * sum(step.count for step in spec.steps if step.long_running)
    if lasting > MAX_LASTING_TASKS:
        raise InvalidJobError(f"{lasting} tasks last, at most {MAX_LASTING_TASKS} may in one job")


def check_repeat(repeat: Repeat) -> None:
    """Raise `InvalidJobError` if a figure is out of bounds; there may be any number of times."""
    if not 1 <= repeat.count <= MAX_FIGURE:
        raise InvalidJobError(f"a job runs 1 to {MAX_FIGURE} times, not {repeat.count}")
    if min(repeat.start_ms, repeat.interval_ms) < 0:
        raise InvalidJobError("the time or the interval of the occurrences is negative")
    if max(repeat.start_ms, repeat.interval_ms) > MAX_FIGURE:
        raise InvalidJobError("the time or the interval of the occurrences is too large")


class Advising(msgspec.Struct, frozen=True):
    """Timing of a queue's advice: base and per-worker time of a call, validity of a ticket."""

    base_ms: float
    per_worker_ms: float
    valid_ms: float


class Queue(msgspec.Struct, frozen=True, omit_defaults=True):
    """Configuration of a queue; priority 0 is the highest.

    Calls of a `public` one need no key.
    """

    name: QueueName
    host: str
    prefix: str
    pool: PoolName
    priority: int = 0
    max_attempts: int = 1
    slack: float = 1.0
    objective_ms: float = 0.0
    advising: Advising | None = None
    public: bool = False


def check_queue(queue: Queue) -> None:
    """Raise `InvalidJobError` if a figure of a job's queue is out of bounds."""
    figures = [queue.priority, queue.max_attempts, queue.slack, queue.objective_ms]
    if queue.advising is not None:
        figures += msgspec.structs.astuple(queue.advising)
    if not all(0 <= figure <= MAX_FIGURE for figure in figures):
        raise InvalidJobError(f"queue {queue.name[:20]!r} has a figure out of bounds")


class Settings(msgspec.Struct, frozen=True, dict=True):
    """One version of the configuration; workers of `guarded` pools enforce their capacity.

    Without `keys`, calls need none.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    guarded: frozenset[PoolName] = frozenset()
    pools: frozenset[PoolName] = frozenset()
    teams: tuple[Team, ...] = ()
    keys: TeamKeys | None = None
    request_limits: RequestLimitOverrides = RequestLimitOverrides()

    # Of queues with the same prefix or name, the first one counts.

    @cached_property
    def _queues_by_prefix(self) -> dict[tuple[str, str], Queue]:
        return {(queue.host, queue.prefix): queue for queue in reversed(self.queues)}

    @cached_property
    def _prefix_lengths(self) -> tuple[int, ...]:
        return tuple(sorted({len(queue.prefix) for queue in self.queues}, reverse=True))

    @cached_property
    def _queues_by_name(self) -> dict[QueueName, Queue]:
        return {queue.name: queue for queue in reversed(self.queues)}

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path, or none."""
        prefixes = (path[:length] for length in self._prefix_lengths if length <= len(path))
        found = (self._queues_by_prefix.get((host, prefix)) for prefix in prefixes)
        return next((queue for queue in found if queue is not None), None)

    @cached_property
    def _teams_by_name(self) -> dict[TeamName, Team]:
        return {team.name: team for team in reversed(self.teams)}

    def find_team(self, name: TeamName) -> Team | None:
        """Return a team by name, or none."""
        return self._teams_by_name.get(name)

    def find_queue_by_name(self, name: QueueName) -> Queue | None:
        """Return a queue by name, or none."""
        return self._queues_by_name.get(name)
