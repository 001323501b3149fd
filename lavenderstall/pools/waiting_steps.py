"""Steps whose tasks wait, in the order in which they are served."""

from collections.abc import Iterator
from typing import NamedTuple

from lavenderstall.pools.job import Job, StepState
from lavenderstall.pools.objectives import EXPIRED_FACTOR, get_objective_s
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.work import Group, Queue, Step

# A step of a job that has waited so long with nothing at work goes before all others.
STARVING_S = 10.0


class Turn(NamedTuple):
    """Hold a step whose tasks wait; the first fields are what its place depends on."""

    expired: bool
    priority: int
    deadline: float
    group: Group
    job: Job
    queue: Queue

    @property
    def step(self) -> Step:
        """Return the step as declared."""
        return self.job.spec.steps[self.group.step]

    @property
    def state(self) -> StepState:
        """Return the state of the step."""
        return self.job.get_step(self.group.occurrence, self.group.step)


def get_deadline(job: Job, queue: Queue) -> tuple[float, float]:
    """Return when a job is late and when it has lost all benefit."""
    objective_s = get_objective_s(job.spec, queue)
    return job.submitted_at + objective_s, job.submitted_at + EXPIRED_FACTOR * objective_s


def list_turns(pool: Pool) -> list[Turn]:
    """Return the steps that have tasks to start, most urgent first."""
    return sorted(_find_turns(pool), key=lambda turn: turn[:4])


def _find_turns(pool: Pool) -> Iterator[Turn]:
    for group, job in pool.list_waiting():
        queue = pool.get_queue(job)
        if queue is None or queue.pool != pool.name:
            continue
        deadline, end = get_deadline(job, queue)
        expired = end < pool.now and not job.spec.steps[group.step].lasting
        priority = 0 if _is_starving(pool, job, group) else queue.priority
        yield Turn(expired, priority, deadline, group, job, queue)


def _is_starving(pool: Pool, job: Job, group: Group) -> bool:
    """Tell whether others have kept a step, and all of its job, waiting for too long."""
    ready_at = job.get_step(group.occurrence, group.step).ready_at
    return 0 <= ready_at < pool.now - STARVING_S and not job.list_runs()
