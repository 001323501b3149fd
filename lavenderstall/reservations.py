"""Chooses the workers to reserve for a request that does not fit yet."""

from math import inf

from lavenderstall.decisions import meets_constraints
from lavenderstall.protocol import Kind
from lavenderstall.requests import TaskRequest
from lavenderstall.resources import NOTHING
from lavenderstall.slice_state import Reservation, SliceState
from lavenderstall.worker_index import Charge, WorkerState, count_fits

MAX_CANDIDATES = 256
"""Workers that are examined; each costs a pass over its tasks."""
DEFAULT_REMAINING_S = 60.0
"""Assumed remaining run time of work that declares none."""
OVERDUE_REMAINING_S = 1.0
"""Assumed remaining run time of work past its expected end."""


def plan_reservation(state: SliceState, request: TaskRequest, now: float) -> Reservation | None:
    """Return the workers on which a request can start earliest, or None if it never can."""
    gains: list[tuple[float, int, WorkerState]] = []
    wanted = len(request.tasks)
    for worker in list_candidates(state, request, max(MAX_CANDIDATES, wanted)):
        if worker.id not in state.reserved and meets_constraints(state, request, worker, now):
            gains.extend((at, gain, worker) for at, gain in list_gains(worker, request, now))
    gains.sort(key=lambda gain: gain[0])
    workers: dict[WorkerState, None] = {}
    for at, gain, worker in gains:
        workers[worker] = None
        wanted -= gain
        if wanted <= 0:
            chosen = frozenset(worker.id for worker in workers)
            return Reservation(request, chosen, max(at, now), now)
    return None


def list_candidates(state: SliceState, request: TaskRequest, limit: int) -> list[WorkerState]:
    """Return the workers with most available whose capacity fits a task of the request."""
    found: list[WorkerState] = []
    for group in state.match_groups(request):
        if request.resources.accelerators or not group.key.accelerated:
            name = group.find_scarcest(request.resources)
            found.extend(group.index.find_fitting(NOTHING, name, limit, most_available_first=True))
    return [worker for worker in found if request.resources.fits(worker.capacity)][:limit]


def list_gains(worker: WorkerState, request: TaskRequest, now: float) -> list[tuple[float, int]]:
    """Return pairs of a time and how many more tasks fit on a worker from then on."""
    need, wanted = request.resources, len(request.tasks)
    available = worker.available
    fitting = count_fits(need, available, wanted)
    gains = [(now, fitting)] if fitting else []
    ends = sorted(
        ((estimate_end(charge, now), charge) for charge in worker.tasks.values()),
        key=lambda pair: pair[0],
    )
    for at, charge in ends:
        if at == inf or fitting >= wanted:
            break
        available = available.add(charge.resources)
        count = count_fits(need, available, wanted)
        if count > fitting:
            gains.append((at, count - fitting))
            fitting = count
    return gains


def estimate_end(charge: Charge, now: float) -> float:
    """Return when a task is expected to end, in seconds; services do not end."""
    if charge.kind is Kind.SERVICE:
        return inf
    if charge.expected_end_s == inf:
        return now + DEFAULT_REMAINING_S
    return max(charge.expected_end_s, now + OVERDUE_REMAINING_S)
