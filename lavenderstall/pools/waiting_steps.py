"""Steps with tasks to start, in the order of dispatch."""

from collections.abc import Iterator
from typing import NamedTuple

from lavenderstall.pools.job import Job, StepState
from lavenderstall.pools.overload_order import Rank
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.urgency import get_deadlines
from lavenderstall.pools.work import Queue, Step, StepKey

# A step that has waited this long while its job has no run gets the highest priority.
STARVATION_S = 10.0


class WaitingStep(NamedTuple):
    """A step with tasks to start; the first four fields are the sort key.

    It has a rank only while the pool has too little room, and is sorted by that first.
    """

    expired: bool
    priority: int
    deadline: float
    step_key: StepKey
    job: Job
    queue: Queue
    starving: bool = False
    rank: Rank | None = None

    @property
    def step(self) -> Step:
        """Return the declaration of the step."""
        return self.job.spec.steps[self.step_key.step]

    @property
    def state(self) -> StepState:
        """Return the state of the step."""
        return self.job.get_step(self.step_key.occurrence, self.step_key.step)

    @property
    def yields(self) -> bool:
        """Tell whether no run is to be preempted for the step, whatever its priority."""
        rank = self.rank
        return rank is not None and (rank.worthless or rank.flooding)


def is_plain(waiting_step: WaitingStep) -> bool:
    """Tell whether a step starts wherever any other step of the same needs would."""
    state = waiting_step.state
    return not (
        waiting_step.queue.advising is not None
        or waiting_step.step.max_per_worker
        or state.copies
        or state.failed_on
        or state.progress.crashes
    )


def list_waiting_steps(pool: Pool) -> list[WaitingStep]:
    """Return the steps with tasks to start that a dispatch looks at, most urgent first."""
    waiting_steps = sorted(_iterate_waiting_steps(pool), key=lambda each: each[:4])
    return pool.room_demand.rank(waiting_steps) if pool.orders_overload else waiting_steps


def order_by_runs(waiting_steps: list[WaitingStep]) -> list[WaitingStep]:
    """Return the steps with those of repeated jobs last, the ones with the fewest runs first."""
    repeated = [each for each in waiting_steps if each.job.spec.repeat is not None]
    others = [each for each in waiting_steps if each.job.spec.repeat is None]
    return others + sorted(repeated, key=lambda each: (*each[:2], each.job.run_count))


def _iterate_waiting_steps(pool: Pool) -> Iterator[WaitingStep]:
    for step_key, job in pool.list_startable_steps():
        queue = pool.get_queue(job)
        deadline, expires_at = get_deadlines(job, queue, step_key.occurrence)
        expired = expires_at < pool.now and not job.spec.steps[step_key.step].long_running
        starving = _is_starving(pool, job, step_key)
        priority = 0 if starving else queue.priority
        yield WaitingStep(expired, priority, deadline, step_key, job, queue, starving)


def _is_starving(pool: Pool, job: Job, step_key: StepKey) -> bool:
    """Tell whether a step has waited for `STARVATION_S` while its job has no run."""
    ready_at = job.get_step(step_key.occurrence, step_key.step).ready_at
    return 0 <= ready_at < pool.now - STARVATION_S and not job.run_count
