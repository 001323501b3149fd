"""Base class of placement policies."""

from collections.abc import Callable

from lavenderstall.protocol import Kind
from lavenderstall.requests import Spread, TaskRequest
from lavenderstall.resources import Resources
from lavenderstall.slice_state import SliceState
from lavenderstall.worker_index import WorkerGroup, WorkerState


class Policy:
    """Rank the workers on which a request fits; the lowest score is chosen."""

    name = ""
    """Name under which the policy is found."""
    kind: Kind
    """Kind of tasks that the policy places."""
    most_available_first = False
    """Whether the search starts with the workers that have most available."""
    spread = Spread.NONE
    """Spread that applies if the request states none."""
    max_candidates = 12
    """Number of fitting workers that are compared."""
    rule = ""
    """Sentence that explains the choice."""

    def find_workers(
        self,
        state: SliceState,
        request: TaskRequest,
        groups: list[WorkerGroup],
        predicate: Callable[[WorkerState], bool],
    ) -> list[tuple[WorkerState, str]]:
        """Return workers on which a request fits, each with its group's scarcest resource.

        The result is empty only if the request fits no worker that meets the predicate.
        """
        found: list[tuple[WorkerState, str]] = []
        for group in groups:
            scarcest = group.find_scarcest(request.resources)
            workers = group.index.find_fitting(
                request.resources,
                scarcest,
                self.max_candidates,
                predicate,
                most_available_first=self.most_available_first,
            )
            found.extend((worker, scarcest) for worker in workers)
        return found

    def score(
        self, state: SliceState, request: TaskRequest, worker: WorkerState, scarcest: str
    ) -> tuple[float, ...]:
        """Return numbers to compare in order; lower is better."""
        raise NotImplementedError

    def describe(self, score: tuple[float, ...], chosen: tuple[float, ...]) -> str:
        """Return why a worker with this score was not chosen."""
        raise NotImplementedError


def measure_imbalance(need: Resources, available: Resources, capacity: Resources) -> float:
    """Return the difference of the free fractions of cores and memory after a placement."""
    cores = (available.cores_milli - need.cores_milli) / (capacity.cores_milli or 1)
    memory = (available.memory_mb - need.memory_mb) / (capacity.memory_mb or 1)
    return abs(cores - memory)
