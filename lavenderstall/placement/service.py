"""Spreads the tasks of services over racks and zones."""

from lavenderstall.machines import SliceState
from lavenderstall.placement.base import Policy
from lavenderstall.protocol import Kind
from lavenderstall.requests import Spread, TaskRequest
from lavenderstall.rooms import WorkerState


class ServicePolicy(Policy):
    """Choose the rack with fewest tasks of the service, then the worker, then most room."""

    name = "service"
    kind = Kind.SERVICE
    roomiest = True
    spread = Spread.RACK
    rule = "fewest tasks of the service in the rack, then on the worker, then most room"

    def score(
        self, state: SliceState, request: TaskRequest, worker: WorkerState, scarcest: str
    ) -> tuple[float, ...]:
        """Return the counts of the service in rack and worker, and the part in use."""
        name = request.service
        spread = request.spread or self.spread
        in_rack = 0 if spread is Spread.NONE else state.racks[worker.rack].services.get(name, 0)
        total = getattr(worker.capacity, scarcest) or 1
        return (in_rack, worker.services.get(name, 0), -getattr(worker.room, scarcest) / total)

    def describe(self, score: tuple[float, ...], chosen: tuple[float, ...]) -> str:
        """Return the first number in which the worker is worse."""
        if score[0] > chosen[0]:
            return f"rack runs {score[0]:.0f} tasks of the service, the chosen one {chosen[0]:.0f}"
        if score[1] > chosen[1]:
            return f"runs {score[1]:.0f} tasks of the service, the chosen one {chosen[1]:.0f}"
        return f"has {-score[2]:.3f} of its scarcest resource free, the chosen one {-chosen[2]:.3f}"
