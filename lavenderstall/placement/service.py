"""Spreads the tasks of services over racks and zones."""

from collections.abc import Callable

from lavenderstall.identifiers import ServiceName
from lavenderstall.placement.base import Policy
from lavenderstall.protocol import Kind
from lavenderstall.requests import Spread, TaskRequest
from lavenderstall.slice_state import Rack, SliceState
from lavenderstall.worker_index import WorkerGroup, WorkerState

MAX_RACKS = 8
"""Racks that are compared; a slice has fewer, more are searched in round-robin order."""


class ServicePolicy(Policy):
    """Choose the rack with fewest tasks of the service, then the worker, then most available."""

    name = "service"
    kind = Kind.SERVICE
    most_available_first = True
    spread = Spread.RACK
    rule = "fewest tasks of the service in the rack, then on the worker, then most room"

    def find_workers(
        self,
        state: SliceState,
        request: TaskRequest,
        groups: list[WorkerGroup],
        predicate: Callable[[WorkerState], bool],
    ) -> list[tuple[WorkerState, str]]:
        """Return the fitting workers of the first rack that has any, by tasks of the service."""
        spread = request.spread or self.spread
        if spread is Spread.NONE:
            return super().find_workers(state, request, groups, predicate)
        need, name = request.resources, request.service
        scarcest = {group: group.find_scarcest(need) for group in groups}
        for rack in sorted(
            state.list_racks(MAX_RACKS),
            key=lambda rack: count_nearby_tasks(state, rack, name, spread),
        ):
            found = [
                (worker, scarcest[worker.group])
                for worker in rack.workers.values()
                if need.fits(worker.available)
                and worker.in_service
                and worker.group in scarcest
                and predicate(worker)
            ]
            if found:
                return found
        return super().find_workers(state, request, groups, predicate)

    def score(
        self, state: SliceState, request: TaskRequest, worker: WorkerState, scarcest: str
    ) -> tuple[float, ...]:
        """Return the tasks of the service by zone, rack and worker, and negated free share."""
        name = request.service
        spread = request.spread or self.spread
        near = count_nearby_tasks(state, state.racks[worker.rack], name, spread)
        total = getattr(worker.capacity, scarcest) or 1
        free = getattr(worker.available, scarcest) / total
        return (*near, worker.services.get(name, 0), -free)

    def describe(self, score: tuple[float, ...], chosen: tuple[float, ...]) -> str:
        """Return the first number in which the worker is worse."""
        for place, count, other in zip(("zone", "rack", "worker"), score, chosen, strict=False):
            if count > other:
                return f"{place} runs {count:.0f} tasks of the service, the chosen one {other:.0f}"
        return f"has {-score[3]:.3f} of its scarcest resource free, the chosen one {-chosen[3]:.3f}"


def count_nearby_tasks(
    state: SliceState, rack: Rack, name: ServiceName, spread: Spread
) -> tuple[int, int]:
    """Return how many tasks of a service run in the zone and the rack, 0 if not to be spread."""
    if spread is Spread.NONE:
        return (0, 0)
    zone = state.zone_services.get(rack.zone, {}).get(name, 0) if spread is Spread.ZONE else 0
    return (zone, rack.services.get(name, 0))
