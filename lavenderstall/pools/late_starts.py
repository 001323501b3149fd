"""Starts without an answer, which a restarted worker may still execute."""

from collections import deque
from typing import NamedTuple

from lavenderstall.pools.job import Run
from lavenderstall.pools.work import Task
from lavenderstall.pools.workers import MAX_COMMAND_DELAY_S


class LateStart(NamedTuple):
    """A start that has had no answer, and when it was sent in seconds of uptime."""

    worker: str
    task: Task
    number: int
    sent_at: float


class LateStarts:
    """Remember starts that a worker was proven never to execute, while they may arrive.

    The proof ends with the worker's process: one that starts again under the same name knows
    neither the stop of a run nor the fencing token or the clock by which it was refused.
    """

    def __init__(self) -> None:
        self._starts: deque[LateStart] = deque()

    def note_dropped(self, run: Run, now: float) -> None:
        """Remember a run that is given up, if its start may still arrive."""
        if run.start_sent and not run.inherited and run.confirmed_at < 0 and run.reported_at < 0:
            self._starts.append(LateStart(run.worker.id, run.task, run.number, run.start_sent_at))
        self._forget_old(now)

    def list_for(self, worker: str, now: float) -> list[LateStart]:
        """Return the starts that a new process of a worker may execute."""
        self._forget_old(now)
        return [start for start in self._starts if start.worker == worker]

    def forget(self, worker: str, task: Task, number: int) -> None:
        """Forget a start that was answered after all."""
        self._starts = deque(start for start in self._starts if start[:3] != (worker, task, number))

    def _forget_old(self, now: float) -> None:
        while self._starts and now - self._starts[0].sent_at > MAX_COMMAND_DELAY_S:
            self._starts.popleft()
