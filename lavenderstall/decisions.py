"""Placement decisions: where a request runs in a slice, or why it does not."""

from collections.abc import Iterable, Iterator
from itertools import islice

import msgspec

from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import TaskId, WorkerId
from lavenderstall.placement import get_policy
from lavenderstall.placement.base import Policy
from lavenderstall.protocol import Kind
from lavenderstall.reasons import MAX_ALTERNATIVES, Alternative, Reason
from lavenderstall.requests import Constraints, Scope, Spread, TaskRequest
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.slice_state import SliceState
from lavenderstall.worker_index import WorkerGroup, WorkerState, count_fits, find_shortage

__all__ = [
    "Constraints",
    "Decision",
    "Never",
    "Placement",
    "Plan",
    "PlanStaleError",
    "Scope",
    "Spread",
    "TaskRequest",
    "Wait",
    "apply",
    "decide",
]


class Placement(msgspec.Struct, frozen=True):
    """Assignment of one task to one worker."""

    task: TaskId
    worker: WorkerId


class Plan(msgspec.Struct, frozen=True):
    """Start all tasks of a request; `decided_at_s` is the time of the decision."""

    request: TaskRequest
    placements: tuple[Placement, ...]
    reason: Reason
    decided_at_s: float = 0.0


class Wait(msgspec.Struct, frozen=True):
    """The request does not fit now; the reason names the shortage and the obstacle."""

    request: TaskRequest
    reason: Reason


class Never(msgspec.Struct, frozen=True):
    """The request fits on no worker even when empty; the reason says what has to change."""

    request: TaskRequest
    reason: Reason


Decision = Plan | Wait | Never


class PlanStaleError(LavenderstallError):
    """The slice state changed so that a plan no longer fits; nothing was charged."""


def decide(state: SliceState, request: TaskRequest, now: float) -> Decision:
    """Return where a request runs now, or why it does not."""
    never = check_feasibility(state, request)
    if never is not None:
        return never
    policy = get_policy(request.kind.value)
    if len(request.tasks) > 1:
        return decide_gang(state, request, policy, now)
    return decide_single(state, request, policy, now)


def apply(state: SliceState, plan: Plan) -> None:
    """Charge a plan; raise `PlanStaleError` and charge nothing if it no longer fits."""
    needs: dict[WorkerId, Resources] = {}
    for placement in plan.placements:
        need = needs.get(placement.worker, NOTHING)
        needs[placement.worker] = need.add(plan.request.resources)
        worker = state.workers.get(placement.worker)
        if worker is not None and placement.task in worker.tasks:
            raise PlanStaleError(
                f"task {placement.task} is already charged", step="apply", peer=worker.id
            )
    for worker_id, need in needs.items():
        worker = state.workers.get(worker_id)
        if worker is None or not worker.in_service:
            raise PlanStaleError("worker is out of service", step="apply", peer=worker_id)
        if not need.fits(worker.available):
            short = ", ".join(need.find_shortages(worker.available))
            raise PlanStaleError(f"no room any more: {short}", step="apply", peer=worker_id)
        if not meets_constraints(state, plan.request, worker, plan.decided_at_s):
            raise PlanStaleError("worker no longer meets the constraints", step="apply")
    for placement in plan.placements:
        state.charge(placement.worker, placement.task, plan.request, plan.decided_at_s)


def meets_constraints(
    state: SliceState, request: TaskRequest, worker: WorkerState, now: float
) -> bool:
    """Tell whether constraints and reservations let a request run on a worker."""
    if state.is_start_blocked is not None and state.is_start_blocked(worker.id, request, now):
        return False
    if state.reserved and not respects_reservation(state, request, worker, now):
        return False
    service = request.service
    rack = state.racks[worker.rack]
    if service and (service in worker.excluded_services or service in rack.excluded_services):
        return False
    constraints = request.constraints
    if constraints.racks and worker.rack not in constraints.racks:
        return False
    nearby_services = worker.services if constraints.scope is Scope.WORKER else rack.services
    if constraints.anti_affinity and not constraints.anti_affinity.isdisjoint(nearby_services):
        return False
    return all(
        other in nearby_services or (other == service and service not in state.service_workers)
        for other in constraints.affinity
    )


def respects_reservation(
    state: SliceState, request: TaskRequest, worker: WorkerState, now: float
) -> bool:
    """Tell whether a request may run without delaying the worker's reservation."""
    reservation = state.reserved.get(worker.id)
    if reservation is None or reservation.request.tasks == request.tasks:
        return True
    if reservation.yields_to_gangs and request.kind is Kind.GANG:
        return True
    return 0 < request.expected_ms <= (reservation.start_s - now) * 1000


def check_feasibility(state: SliceState, request: TaskRequest) -> Never | None:
    """Return why a request fits no worker of the slice even when empty, or None.

    A slice without workers yields None, because its inventory may not be known yet.
    """
    if not state.workers:
        return None
    groups = state.match_groups(request)
    places = count_empty_places(state, request, groups)
    if places >= len(request.tasks):
        return None
    return Never(request, explain_infeasible(state, request, groups, places))


def count_empty_places(state: SliceState, request: TaskRequest, groups: list[WorkerGroup]) -> int:
    """Return how many tasks of a request fit on empty workers; counting stops once all do."""
    need, wanted = request.resources, len(request.tasks)
    places = 0
    for capacity, count in list_capacities(state, request, groups):
        if need.fits(capacity):
            places += count if wanted == 1 else count * count_fits(need, capacity, wanted)
            if places >= wanted:
                break
    return places


def list_capacities(
    state: SliceState, request: TaskRequest, groups: list[WorkerGroup]
) -> Iterator[tuple[Resources, int]]:
    """Yield the capacities of the workers that meet a request's pool, labels, zones and racks."""
    racks = request.constraints.racks
    if not racks:
        for group in groups:
            yield from group.capacities.items()
        return
    for rack in (state.racks[name] for name in racks if name in state.racks):
        for worker in rack.workers.values():
            if worker.group in groups:
                yield worker.capacity, 1


def explain_infeasible(
    state: SliceState, request: TaskRequest, groups: list[WorkerGroup], places: int
) -> Reason:
    """Return what would have to change for a request to fit."""
    capacities = [capacity for capacity, _ in list_capacities(state, request, groups)]
    if not capacities:
        labels = ", ".join(sorted(request.constraints.labels)) or "any"
        racks = ", ".join(sorted(request.constraints.racks)) or "any"
        detail = f"no worker in pool {request.pool or 'any'}, racks {racks}, labels {labels}"
        return Reason("no worker meets the constraints", detail)
    if places:
        numbers = {"places": float(places), "tasks": float(len(request.tasks))}
        detail = f"the slice holds {places} of {len(request.tasks)} tasks when empty"
        return Reason("gang is larger than the slice", detail, numbers=numbers)
    nearest = min(capacities, key=lambda size: len(request.resources.find_shortages(size)))
    changes = "; ".join(
        f"{name} from {getattr(request.resources, name)} to {getattr(nearest, name)}"
        for name in request.resources.find_shortages(nearest)
    )
    shortage = find_shortage(request.resources, nearest)
    return Reason("larger than any worker", f"reduce {changes}", shortage=shortage)


def list_search_passes(state: SliceState, request: TaskRequest) -> Iterator[list[WorkerGroup]]:
    """Yield the groups to search; requests without accelerators try accelerator workers last.

    They may not use these while accelerator requests wait.
    """
    groups = state.match_groups(request)
    if request.resources.accelerators:
        yield [group for group in groups if group.key.accelerated]
        return
    yield [group for group in groups if not group.key.accelerated]
    if not state.accelerators_waiting:
        yield [group for group in groups if group.key.accelerated]


def decide_single(
    state: SliceState, request: TaskRequest, policy: Policy, now: float
) -> Plan | Wait:
    """Return the placement of a request of one task."""
    for groups in list_search_passes(state, request):
        found = policy.find_workers(
            state, request, groups, lambda worker: meets_constraints(state, request, worker, now)
        )
        if found:
            scored = sorted(
                ((policy.score(state, request, worker, name), worker) for worker, name in found),
                key=lambda pair: pair[0],
            )
            chosen, worker = scored[0]
            others = tuple(
                Alternative(other.id, policy.describe(score, chosen))
                for score, other in scored[1 : 1 + MAX_ALTERNATIVES]
            )
            reason = Reason(policy.rule, alternatives=others)
            return Plan(request, (Placement(request.tasks[0], worker.id),), reason, now)
    return Wait(request, explain_wait(state, request, now))


def decide_gang(state: SliceState, request: TaskRequest, policy: Policy, now: float) -> Plan | Wait:
    """Return placements for all tasks of a gang, or why they do not fit."""
    wanted = len(request.tasks)
    places = 0
    for groups in list_search_passes(state, request):
        racks = count_places_by_rack(state, request, groups, now)
        workers = choose_workers(racks, wanted)
        if workers:
            worker_ids = [worker.id for count, worker in workers for _ in range(count)]
            pairs = zip(request.tasks, worker_ids, strict=True)
            placements = tuple(Placement(task, worker) for task, worker in pairs)
            numbers = {
                "workers": float(len(workers)),
                "racks": float(len({worker.rack for _, worker in workers})),
            }
            return Plan(request, placements, Reason(policy.rule, numbers=numbers), now)
        places = max(places, sum(count for workers in racks for count, _ in workers))
    return Wait(request, explain_wait(state, request, now, places))


def count_places_by_rack(
    state: SliceState, request: TaskRequest, groups: list[WorkerGroup], now: float
) -> list[list[tuple[int, WorkerState]]]:
    """Return for each rack how many tasks fit on each worker now.

    With anti-affinity to its own service, a worker or rack takes one task.
    """
    need = request.resources
    constraints = request.constraints
    excludes_itself = bool(request.service) and request.service in constraints.anti_affinity
    limit = 1 if excludes_itself else len(request.tasks)
    by_rack: dict[str, list[tuple[int, WorkerState]]] = {}
    for group in groups:
        for worker in group.index.find_fitting(
            need,
            group.find_scarcest(need),
            len(state.workers),
            lambda worker: meets_constraints(state, request, worker, now),
        ):
            count = count_fits(need, worker.available, limit)
            by_rack.setdefault(worker.rack, []).append((count, worker))
    if excludes_itself and constraints.scope is Scope.RACK:
        return [workers[:1] for workers in by_rack.values()]
    return list(by_rack.values())


def choose_workers(
    racks: Iterable[list[tuple[int, WorkerState]]], wanted: int
) -> list[tuple[int, WorkerState]]:
    """Return how many tasks go to which worker, or nothing if not all fit.

    Prefer the smallest rack that fits the whole gang, else fill the largest racks first.
    """
    sized_racks = sorted(
        ((sum(count for count, _ in workers), workers) for workers in racks), key=get_count
    )
    if sum(size for size, _ in sized_racks) < wanted:
        return []
    fitting_rack = next((workers for size, workers in sized_racks if size >= wanted), None)
    order = (
        [fitting_rack]
        if fitting_rack is not None
        else [workers for _, workers in reversed(sized_racks)]
    )
    chosen: list[tuple[int, WorkerState]] = []
    for workers in order:
        for count, worker in sorted(workers, key=get_count, reverse=True):
            assigned = min(count, wanted)
            chosen.append((assigned, worker))
            wanted -= assigned
            if not wanted:
                return chosen
    return []


def get_count(pair: tuple[int, object]) -> int:
    """Return the count of a pair."""
    return pair[0]


def explain_wait(state: SliceState, request: TaskRequest, now: float, places: int = 0) -> Reason:
    """Return why a request does not fit on the workers with most available."""
    groups = state.match_groups(request)
    candidates: list[WorkerState] = []
    for group in groups:
        name = group.find_scarcest(request.resources)
        candidates.extend(
            group.index.find_fitting(NOTHING, name, MAX_ALTERNATIVES, most_available_first=True)
        )
    if not candidates:
        return Reason(
            "no worker in service", "all that match are leaving, draining, silent or quarantined"
        )
    others = tuple(
        explain_refusal(state, request, worker, now)
        for worker in islice(candidates, MAX_ALTERNATIVES)
    )
    nearest = min(others, key=lambda other: measure_shortage(other.shortage))
    rule = "no room" if nearest.shortage != NOTHING else "room is not admitted"
    numbers = {"places": float(places)} if len(request.tasks) > 1 else {}
    return Reason(rule, nearest.cause, others, nearest.shortage, numbers)


def measure_shortage(shortage: Resources) -> int:
    """Return a number by which shortages are compared."""
    return shortage.cores_milli + shortage.memory_mb + 1000 * shortage.accelerators


def explain_refusal(
    state: SliceState, request: TaskRequest, worker: WorkerState, now: float
) -> Alternative:
    """Return why a request cannot run on a worker."""
    need = request.resources
    if not need.fits(worker.available):
        return Alternative(worker.id, "", find_shortage(need, worker.available), len(worker.tasks))
    if not respects_reservation(state, request, worker, now):
        cause = f"reserved for {state.reserved[worker.id].request.job}"
    elif not meets_constraints(state, request, worker, now):
        cause = "affinity, anti-affinity or rack constraint"
    elif len(request.tasks) > 1:
        cause = f"takes {count_fits(need, worker.available, len(request.tasks))} tasks"
    else:
        cause = "kept for accelerator work that waits"
    return Alternative(worker.id, cause)


def fits_reserved_worker(state: SliceState, request: TaskRequest) -> bool:
    """Tell whether a request fits on a reserved worker; a shorter one may backfill it."""
    need = request.resources
    return any(
        need.fits(state.workers[worker].available)
        for worker in state.reserved
        if worker in state.workers
    )
