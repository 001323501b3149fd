"""A plain scheduler: first fit in order of arrival, without classes or quotas.

The request at the head of the queue is retried at each event until it fits; those behind it wait.
"""

from collections import deque
from collections.abc import Iterator

from lavenderstall.decisions import Placement
from lavenderstall.identifiers import TaskId, WorkerId
from lavenderstall.requests import TaskRequest
from lavenderstall.resources import Resources
from lavenderstall.worker_index import WorkerState


class PlainScheduler:
    """Place requests on the first workers with room, strictly in order of arrival."""

    def __init__(self, workers: list[WorkerState]) -> None:
        self.rooms: dict[WorkerId, Resources] = {worker.id: worker.capacity for worker in workers}
        self.queue: deque[TaskRequest] = deque()
        self._charges: dict[TaskId, Resources] = {}

    def submit(self, request: TaskRequest, now: float) -> None:
        """Add a request to the end of the queue."""
        self.queue.append(request)

    def finish(self, placement: Placement) -> None:
        """Give back the room of a task."""
        room = self.rooms[placement.worker]
        self.rooms[placement.worker] = room.add(self._charges.pop(placement.task))

    def start(self, now: float) -> Iterator[tuple[TaskRequest, tuple[Placement, ...]]]:
        """Yield what starts now, with its workers."""
        while self.queue:
            placements = self.place(self.queue[0])
            if not placements:
                return
            yield self.queue.popleft(), placements

    def place(self, request: TaskRequest) -> tuple[Placement, ...]:
        """Charge the first workers with room for all tasks, or nothing."""
        need = request.resources
        found: list[Placement] = []
        for worker, free in self.rooms.items():
            room = free
            while len(found) < len(request.tasks) and need.fits(room):
                found.append(Placement(request.tasks[len(found)], worker))
                room = room.subtract(need)
            if len(found) == len(request.tasks):
                break
        else:
            return ()
        for placement in found:
            self.charge(placement.worker, placement.task, need)
        return tuple(found)

    def charge(self, worker: WorkerId, task: TaskId, need: Resources) -> None:
        """Take room on a worker."""
        self.rooms[worker] = self.rooms[worker].subtract(need)
        self._charges[task] = need

    def cancel(self, task: TaskId) -> None:
        """Remove a request from the queue."""
        self.queue.remove(next(request for request in self.queue if task in request.tasks))
