"""What the steps that wait in a pool ask for, and the room that it has for them."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from functools import reduce
from math import inf
from typing import TYPE_CHECKING, NamedTuple

from lavenderstall.identifiers import JobId, TeamName
from lavenderstall.pools.job import Job
from lavenderstall.pools.objectives import EXPIRED_FACTOR
from lavenderstall.pools.overload_order import PendingWork, PoolRoom, Rank, rank_work
from lavenderstall.pools.teams import NO_TEAM
from lavenderstall.pools.work import StepKey
from lavenderstall.pools.workers import Worker
from lavenderstall.resources import NOTHING, Resources, measure_dominant_share

if TYPE_CHECKING:
    from lavenderstall.pools.pool import Pool
    from lavenderstall.pools.waiting_steps import WaitingStep

# Jobs that starve go first in one of so many turns of this length; gangs do in each, as the room
# that is reserved for them takes longer to become free.
TURN_S = 0.25
TURNS = 4
# A task that runs takes this part of its declared duration on.
RUNNING_PART = 0.5
# What is left of an occurrence is measured anew after this long.
MAX_AGE_S = 0.3


class Remainder(NamedTuple):
    """What is left of an occurrence; see `PendingWork`."""

    left: float
    total: float
    path_s: float


UNKNOWN = Remainder(0.0, 0.0, 0.0)


class RoomDemand:
    """Rank the steps that wait in a pool while they exceed its room."""

    def __init__(self, pool: "Pool") -> None:
        self._pool = pool
        # What is left of occurrences, and when it was measured.
        self._remainders: dict[tuple[JobId, int], tuple[float, Remainder]] = {}

    def rank(self, waiting_steps: list["WaitingStep"]) -> list["WaitingStep"]:
        """Return the steps by rank while they exceed the room of the pool, else as they are."""
        pool = self._pool
        workers = [worker for worker in pool.workers.values() if _accepts_tasks(pool, worker)]
        if not _exceed_room(waiting_steps, workers):
            return waiting_steps
        capacity = _add_up(worker.entry.capacity for worker in workers)
        occurrences: defaultdict[tuple[JobId, int], list[WaitingStep]] = defaultdict(list)
        for waiting_step in waiting_steps:
            occurrences[waiting_step.step_key[:2]].append(waiting_step)
        pending = [self._describe(key, steps, capacity) for key, steps in occurrences.items()]
        self._forget_all_but(occurrences)
        ranks = rank_work(pending, _measure_room(pool, capacity), pool.now)
        pool.counts["dispatches_without_room"] += 1
        return _sort_by_rank(occurrences.values(), ranks)

    def _describe(
        self, key: tuple[JobId, int], steps: Sequence["WaitingStep"], capacity: Resources
    ) -> PendingWork:
        """Return what is left of the occurrence that steps with tasks to start belong to."""
        now, first = self._pool.now, steps[0]
        job, queue, deadline = first.job, first.queue, first.deadline
        measured_at, remainder = self._remainders.get(key, (-inf, UNKNOWN))
        if now - measured_at > MAX_AGE_S:
            remainder = _measure_remainder(self._pool, job, key[1], capacity)
            self._remainders[key] = now, remainder
        room, lasts, starving = 0.0, False, False
        for each in steps:
            step = each.step
            room += measure_dominant_share(step.allocation, capacity) * len(each.state.waiting)
            lasts = lasts or step.long_running
            starving = starving or (each.starving and (step.gang or _is_turn(now)))
        return PendingWork(
            queue.name,
            job.row.team,
            queue.priority,
            deadline,
            deadline + (EXPIRED_FACTOR - 1) * (deadline - job.get_due_at(key[1])),
            remainder.path_s,
            room,
            remainder.left,
            remainder.total,
            lasts,
            starving,
        )

    def _forget_all_but(self, occurrences: Collection[tuple[JobId, int]]) -> None:
        if len(self._remainders) > 2 * len(occurrences):
            self._remainders = {
                key: row for key, row in self._remainders.items() if key in occurrences
            }


def _sort_by_rank(
    occurrences: Iterable[list["WaitingStep"]], ranks: Sequence[Rank]
) -> list["WaitingStep"]:
    ranked = [
        (rank, waiting_step.step_key, waiting_step._replace(rank=rank))
        for steps, rank in zip(occurrences, ranks, strict=True)
        for waiting_step in steps
    ]
    return [waiting_step for _, _, waiting_step in sorted(ranked, key=_get_place)]


def _get_place(row: tuple[Rank, StepKey, "WaitingStep"]) -> tuple[Rank, StepKey]:
    return row[:2]


def _accepts_tasks(pool: "Pool", worker: Worker) -> bool:
    return (
        worker.accepted_term
        and worker.registered
        and not worker.draining
        and worker.backoff_until <= pool.now
        and pool.is_responsive(worker)
    )


def _exceed_room(waiting_steps: Iterable["WaitingStep"], workers: Sequence[Worker]) -> bool:
    """Tell whether steps of any label, or all of them, need more than is free."""
    free: dict[str, Resources] = {}
    for waiting_step in waiting_steps:
        state, step = waiting_step.state, waiting_step.step
        need = _multiply(step.allocation, len(state.waiting) + len(state.copies))
        for label in {"", step.label}:
            if label not in free:
                able = (worker for worker in workers if _has_label(worker, label))
                free[label] = _add_up(worker.get_free_capacity() for worker in able)
            if not need.fits(free[label]):
                return True
            free[label] = free[label].subtract(need)
    return False


def _has_label(worker: Worker, label: str) -> bool:
    return not label or label in worker.entry.labels


def _add_up(amounts: Iterable[Resources]) -> Resources:
    return reduce(Resources.add, amounts, NOTHING)


def _multiply(amounts: Resources, count: int) -> Resources:
    return Resources(
        amounts.cores_milli * count, amounts.memory_mb * count, amounts.accelerators * count
    )


def _is_turn(now: float) -> bool:
    """Tell whether steps that starve go first now."""
    return int(now / TURN_S) % TURNS == 0


def _measure_remainder(pool: "Pool", job: Job, occurrence: int, capacity: Resources) -> Remainder:
    """Return what is left of an occurrence, with durations as they were of late."""
    left = total = 0.0
    paths: list[float] = []
    for number, step in enumerate(job.spec.steps):
        state = job.steps.get((occurrence, number))
        waiting = step.count if state is None else len(state.waiting)
        done = state is not None and len(state.progress.done) >= step.count
        task_s = 0.0
        if not step.long_running:
            task_s = step.expected_ms / 1000 * pool.slowdowns.estimate_image(step.image)
        share = measure_dominant_share(step.allocation, capacity)
        left += 0.0 if done else share * task_s * waiting
        total += share * task_s * step.count
        part = 0.0 if done else 1.0 if waiting else RUNNING_PART
        before = max((paths[earlier] for earlier in step.after), default=0.0)
        paths.append(before + part * task_s)
    return Remainder(left, total, max(paths))


def measure_path_s(pool: "Pool", job: Job, occurrence: int) -> float:
    """Return how many seconds an occurrence of a job still takes at least."""
    return _measure_remainder(pool, job, occurrence, NOTHING).path_s


def _measure_room(pool: "Pool", capacity: Resources) -> PoolRoom:
    """Return how the room is used, and by which teams."""
    held: defaultdict[TeamName, list[tuple[int, float]]] = defaultdict(list)
    lasting = NOTHING
    for group, amounts in pool.running_totals:
        queue = pool.settings.find_queue_by_name(group.queue)
        priority = queue.priority if queue is not None else 0
        held[group.team].append((priority, measure_dominant_share(amounts, capacity)))
        lasting = lasting.add(amounts) if group.lasts else lasting
    weights = {team.name: team.weight for team in pool.settings.teams}
    if weights:
        # Jobs without a team count as those of one team.
        weights[NO_TEAM] = sum(weights.values()) / len(weights)
    return PoolRoom(1.0 - min(1.0, measure_dominant_share(lasting, capacity)), held, weights)
