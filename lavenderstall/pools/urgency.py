"""When a step that waits becomes late, and which others wait for the same room."""

from collections.abc import Hashable
from typing import NamedTuple

import msgspec

from lavenderstall.pools.job import Job
from lavenderstall.pools.objectives import EXPIRED_FACTOR, get_objective_s
from lavenderstall.pools.work import Queue, Step, StepKey


class Urgency(NamedTuple):
    """When a step becomes late and its result worthless, in seconds of uptime, and its kind."""

    kind: Hashable
    deadline: float
    expires_at: float


def get_deadlines(job: Job, queue: Queue, occurrence: int) -> tuple[float, float]:
    """Return when an occurrence of a job becomes late and when its result becomes worthless."""
    objective_s = get_objective_s(job.spec, queue)
    due_at = job.get_due_at(occurrence)
    return due_at + objective_s, due_at + EXPIRED_FACTOR * objective_s


def rate_step(job: Job, queue: Queue, step_key: StepKey) -> Urgency:
    """Return how urgent a step is; its result is worth something for ever if its tasks last."""
    step = job.spec.steps[step_key.step]
    deadline, expires_at = get_deadlines(job, queue, step_key.occurrence)
    return Urgency(
        get_kind(step, queue), deadline, float("inf") if step.long_running else expires_at
    )


def get_kind(step: Step, queue: Queue) -> Hashable:
    """Return what steps have in common that fit on about the same workers.

    Amounts that differ by a factor of less than two may be of one kind.
    """
    return (
        queue.name,
        step.label,
        step.best_effort,
        step.long_running,
        step.target_ms > 0,
        step.gang,
        step.count.bit_length() if step.gang else 0,
        tuple(amount.bit_length() for amount in msgspec.structs.astuple(step.allocation)),
    )
