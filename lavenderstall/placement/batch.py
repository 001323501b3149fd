"""Packs the tasks of batch jobs densely."""

from lavenderstall.placement.base import Policy, measure_imbalance
from lavenderstall.protocol import Kind
from lavenderstall.requests import TaskRequest
from lavenderstall.slice_state import SliceState
from lavenderstall.worker_index import WorkerState


class BatchPolicy(Policy):
    """Choose the worker that has least of the scarcest resource left after the placement."""

    name = "batch"
    kind = Kind.BATCH
    rule = "least of the scarcest resource left, then cores and memory in balance"

    def score(
        self, state: SliceState, request: TaskRequest, worker: WorkerState, scarcest: str
    ) -> tuple[float, ...]:
        """Return what is left of the scarcest resource, and the imbalance."""
        left = getattr(worker.available, scarcest) - getattr(request.resources, scarcest)
        return (left, measure_imbalance(request.resources, worker.available, worker.capacity))

    def describe(self, score: tuple[float, ...], chosen: tuple[float, ...]) -> str:
        """Return the first number in which the worker is worse."""
        if score[0] > chosen[0]:
            return f"would leave {score[0]:.0f} of the scarcest resource, not {chosen[0]:.0f}"
        return f"would leave cores and memory {score[1]:.3f} apart, not {chosen[1]:.3f}"
