"""Starts that are sent before any row tells of them, while the store is slow.

The next process of a worker may execute such a start, after the owner that has sent it is gone. So
each task has one designated worker, by a list in the owner row, and only that one gets such a start
of it. A later owner thus knows where each task may start late, without a row of the task.
"""

from bisect import bisect_right
from collections.abc import Sequence
from itertools import accumulate
from typing import NamedTuple
from zlib import crc32

import msgspec

from lavenderstall.pools.work import Step, Task
from lavenderstall.pools.workers import MAX_COMMAND_DELAY_S
from lavenderstall.resources import Resources

# An owner sends such starts for this long after a renewal of its ownership; longer than the timeout
# of a commit.
CONFIRMED_S = 2.0
# After the renewal of its owner, such a start arrives within this time.
LATEST_ARRIVAL_S = CONFIRMED_S + MAX_COMMAND_DELAY_S
# Limit on the list, which is a part of the owner row.
MAX_DESIGNATED = 64
# Fraction of the golden ratio, which spreads the tasks of a step over its workers, as 32 bits.
SPREAD = 0x9E3779B1


class DesignatedWorker(msgspec.Struct, frozen=True, array_like=True):
    """A worker as it was when it was designated; of all tasks it gets a share by its weight."""

    id: str
    capacity: Resources
    weight: int = 1
    rack: str = ""
    labels: tuple[str, ...] = ()


class UnrecordedStarts(msgspec.Struct, frozen=True, array_like=True):
    """Where starts that are in no row may have been sent, and when the last of them arrives.

    The first start of a task has the run number that the owner of `term` gives it. The times are in
    milliseconds on the store's clock.
    """

    workers: tuple[DesignatedWorker, ...]
    term: int
    arrive_by_ms: float


def may_go_ahead(step: Step) -> bool:
    """Tell whether tasks of a step may have a designated worker.

    Where others may start depends on what else runs, and tasks that last must not wait for one
    worker.
    """
    return not (step.gang or step.long_running or step.best_effort or step.same_rack)


class Designation:
    """Find the designated workers of tasks."""

    def __init__(self, workers: Sequence[DesignatedWorker]) -> None:
        self.workers = tuple(workers)
        self.ids = frozenset(worker.id for worker in workers)
        self._suitable: dict[tuple[Resources, str, str], Shares] = {}

    def find_worker(self, step: Step, task: Task) -> str | None:
        """Return the only worker that may get a start of a task before its record, or none."""
        if not may_go_ahead(step):
            return None
        shares = self._get_shares(step)
        if not shares.workers:
            return None
        first = crc32(f"{task.job}.{task.occurrence}.{task.step}".encode())
        position = (first + task.number * SPREAD) % (1 << 32)
        return shares.workers[bisect_right(shares.limits, position * shares.limits[-1] >> 32)]

    def _get_shares(self, step: Step) -> "Shares":
        key = (step.allocation, step.label, step.data_rack)
        found = self._suitable.get(key)
        if found is None:
            found = self._suitable[key] = make_shares(select_suitable(self.workers, step))
        return found


class Shares(NamedTuple):
    """Workers, and the sums of the weights up to each of them."""

    workers: tuple[str, ...]
    limits: tuple[int, ...]


def make_shares(workers: Sequence[DesignatedWorker]) -> Shares:
    """Return the shares of workers by their weights."""
    limits = accumulate(max(1, worker.weight) for worker in workers)
    return Shares(tuple(worker.id for worker in workers), tuple(limits))


def select_suitable(workers: Sequence[DesignatedWorker], step: Step) -> list[DesignatedWorker]:
    """Return the workers that can hold a task of a step, those in the rack of its data if any."""
    suitable = [
        worker
        for worker in workers
        if step.allocation.fits(worker.capacity) and (not step.label or step.label in worker.labels)
    ]
    return [worker for worker in suitable if worker.rack == step.data_rack] or suitable
