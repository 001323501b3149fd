"""A queue of events that feeds arrivals and completions to a scheduler."""

import heapq
from collections.abc import Iterable, Iterator
from itertools import count
from typing import Protocol

import msgspec

from lavenderstall.decisions import Placement, Plan
from lavenderstall.dispatcher import Dispatcher
from lavenderstall.queues import FairQueue
from lavenderstall.requests import TaskRequest
from lavenderstall.slice_state import SliceState
from lavenderstall.worker_index import WorkerState


class Arrival(msgspec.Struct, frozen=True):
    """A request, its arrival time and its true run time, both in seconds."""

    at: float
    request: TaskRequest
    run_s: float


class Started(msgspec.Struct, frozen=True):
    """A request that started at a time after a wait, both in seconds."""

    arrival: Arrival
    at: float

    @property
    def wait(self) -> float:
        """Return the seconds between arrival and start."""
        return self.at - self.arrival.at


class Scheduler(Protocol):
    """What the queue of events asks of a scheduler."""

    def submit(self, request: TaskRequest, now: float) -> None:
        """Add a request."""

    def finish(self, placement: Placement) -> None:
        """Note the end of a task."""

    def start(self, now: float) -> Iterator[tuple[TaskRequest, tuple[Placement, ...]]]:
        """Yield what starts now."""


class LibraryScheduler:
    """The decision library behind the interface of the benches."""

    def __init__(self, workers: list[WorkerState], queue: FairQueue | None = None) -> None:
        self.state = SliceState(workers)
        self.queue = FairQueue() if queue is None else queue
        self.dispatcher = Dispatcher(self.queue, self.state)

    def submit(self, request: TaskRequest, now: float) -> None:
        """Add a request."""
        self.queue.push(request, now)

    def finish(self, placement: Placement) -> None:
        """Release a task."""
        self.state.release(placement.worker, placement.task)

    def start(self, now: float) -> Iterator[tuple[TaskRequest, tuple[Placement, ...]]]:
        """Yield the plans of one call of the dispatcher."""
        for done in self.dispatcher.dispatch(now):
            if not isinstance(done.decision, Plan):
                raise ValueError(f"draw can never run: {done.decision.reason}")
            yield done.decision.request, done.decision.placements


def run_events(scheduler: Scheduler, arrivals: Iterable[Arrival], until: float) -> list[Started]:
    """Return what starts up to a time; arrivals come in order of time.

    What still waits at the end counts as started then, so that starved work shows in the waits.
    """
    ends: list[tuple[float, int, tuple[Placement, ...]]] = []
    numbers = count()
    waiting: dict[str, Arrival] = {}
    started: list[Started] = []

    def start(now: float) -> None:
        for request, placements in scheduler.start(now):
            arrival = waiting.pop(request.tasks[0])
            started.append(Started(arrival, now))
            heapq.heappush(ends, (now + arrival.run_s, next(numbers), placements))

    def finish(limit: float) -> None:
        while ends and ends[0][0] <= limit:
            now, _, placements = heapq.heappop(ends)
            for placement in placements:
                scheduler.finish(placement)
            start(now)

    for arrival in arrivals:
        finish(arrival.at)
        waiting[arrival.request.tasks[0]] = arrival
        scheduler.submit(arrival.request, arrival.at)
        start(arrival.at)
    finish(until)
    started.extend(Started(arrival, until) for arrival in waiting.values())
    return started
