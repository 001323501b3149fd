"""Starts without an answer, which a restarted worker may still execute."""

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
        self._starts: dict[tuple[str, Task, int], LateStart] = {}

    def note_dropped(self, run: Run, now: float) -> None:
        """Remember a run that has ended or is given up, if a start of it may still arrive."""
        unproven = run.confirmed_at < 0 and run.reported_at < 0
        if run.start_sent and not run.inherited and (unproven or run.copy_sent_at >= 0):
            sent_at = max(run.start_sent_at, run.copy_sent_at)
            self.note(LateStart(run.worker.id, run.task, run.number, sent_at))
        self._forget_old(now)

    def note(self, start: LateStart) -> None:
        """Remember a start that may still arrive."""
        self._starts[start[:3]] = start

    def take_for(self, worker: str, now: float) -> list[LateStart]:
        """Remove and return the starts that a new process of a worker may execute.

        They are tracked as runs of it from then on, and remembered again if those are given up.
        """
        self._forget_old(now)
        found = [start for start in self._starts.values() if start.worker == worker]
        for start in found:
            self.forget(*start[:3])
        return found

    def forget(self, worker: str, task: Task, number: int) -> None:
        """Forget a start that was answered after all."""
        self._starts.pop((worker, task, number), None)

    def _forget_old(self, now: float) -> None:
        while self._starts:
            oldest = next(iter(self._starts))
            if now - self._starts[oldest].sent_at <= MAX_COMMAND_DELAY_S:
                return
            del self._starts[oldest]
