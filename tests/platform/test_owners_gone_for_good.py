"""Tests of whole cells in which owners go for good when a task that lasts loses its worker."""

import unittest
from collections.abc import Callable
from functools import partial
from itertools import product
from math import inf
from typing import NamedTuple

from twisted.internet.defer import Deferred

from tests.platform.fake_platform import FakeWorker
from tests.platform.simulated_cell import SimulatedCell
from tests.platform.test_lasting_tasks import (
    AWAY_S,
    CALM_S,
    POOL,
    REST_S,
    WATCH_S,
    EndWorker,
    cut_off,
    leave,
    leave_and_reset,
    leave_with_host,
    list_running,
    submit_lasting_task,
)

INSTANCES = 6
SLOWEST_CLOCK_RATE = 0.98
# When the first owner goes, in seconds after the end of its worker.
DELAYS_S = (-0.3, 0.1, 0.7, 1.5, 2.2, 3.0, 4.0)
# From the end of one owner to that of the next; longer than a successor needs to take over.
INTERVALS_S = (1.0, 2.5, 5.0)
# For how long killed instances are down.
DOWNS_S = (0.3, 0.9, 2.5)


def vanish(cell: SimulatedCell, worker: FakeWorker) -> None:
    """Lose a worker with its host, without any notice."""
    worker.host_gone = True
    worker.leave()
    cell.cut_off(worker)


def kill(cell: SimulatedCell, name: str) -> None:
    """End an instance whose host closes its connections."""
    cell.kill(name)


def remove(cell: SimulatedCell, name: str) -> None:
    """End an instance with its host, so that its connections fall silent."""
    cell.remove(name)


def shut_down(cell: SimulatedCell, name: str) -> None:
    """Let an instance release its pools and go, as planned."""
    Deferred.fromCoroutine(cell.nodes[name].instance.release_pools())


def remove_and_restart_others(cell: SimulatedCell, name: str, down_s: float) -> None:
    """End an instance with its host, and kill all others, which start again."""
    remove(cell, name)
    for other in list(cell.nodes):
        kill(cell, other)
        cell.clock.callLater(down_s, cell.start, other)


# Ends an instance that does not come back.
EndInstance = Callable[[SimulatedCell, str], None]


class Loss(NamedTuple):
    """Owners that go for good, the first of them `delay_s` after the end of a worker."""

    end_owner: EndInstance
    delay_s: float
    owners: int = 1
    interval_s: float = 0.0

    @property
    def impaired_s(self) -> float:
        """Return when the last owner goes unplanned, in seconds after the end of the worker."""
        planned = self.end_owner is shut_down
        return -inf if planned else self.delay_s + (self.owners - 1) * self.interval_s


ENDS: tuple[EndWorker, ...] = (leave, leave_and_reset, leave_with_host, cut_off, vanish)
LOSSES = (
    *(Loss(end, delay_s) for end in (kill, remove) for delay_s in DELAYS_S),
    *(Loss(kill, delay_s, 2, 1.0) for delay_s in DELAYS_S),
    *(Loss(kill, 0.1, 4, interval_s) for interval_s in INTERVALS_S),
    *(Loss(remove, 0.1, 3, interval_s) for interval_s in INTERVALS_S[1:]),
    *(Loss(shut_down, delay_s, 4, 1.5) for delay_s in (0.1, 0.7)),
)


def start_lasting_task(
    planned: bool, clock_rate: float = SLOWEST_CLOCK_RATE
) -> tuple[SimulatedCell, FakeWorker]:
    """Return a cell with a task that lasts, and its worker, which is about to leave if planned."""
    cell = SimulatedCell(INSTANCES, 8, advice=False)
    for each in cell.platform.workers.values():
        each.clock_rate = clock_rate
    return cell, submit_lasting_task(cell, planned)


def end_owner(cell: SimulatedCell, end: EndInstance) -> None:
    """End the owner of the pool for good, if it has one."""
    owner = cell.find_owner(POOL)
    if owner is not None:
        end(cell, owner)


def measure_return(
    cell: SimulatedCell, worker: FakeWorker, end_worker: EndWorker, loss: Loss
) -> tuple[float, float]:
    """Return when the run of the task ended and when the next began, after the worker's end."""
    worker_ends_at = cell.clock.seconds() + max(0.0, -loss.delay_s)
    cell.clock.callLater(max(0.0, -loss.delay_s), end_worker, cell, worker)
    for number in range(loss.owners):
        at_s = worker_ends_at + loss.delay_s + number * loss.interval_s
        cell.clock.callLater(at_s - cell.clock.seconds(), end_owner, cell, loss.end_owner)
    assert cell.run_until(lambda: not list_running(cell), WATCH_S)
    ended_s = cell.clock.seconds() - worker_ends_at
    returned = cell.run_until(lambda: bool(list_running(cell)), 2 * WATCH_S)
    returned_s = cell.clock.seconds() - worker_ends_at if returned else inf
    cell.run(2.0)
    return ended_s, returned_s


class OwnersGoneForGoodTest(unittest.TestCase):
    """A task that lasts loses its worker about when its pool loses its owner, for good."""

    def test_successors_that_have_started_since_do_not_wait_longer(self) -> None:
        """Fails if a process that has heard no owner before it waits for leases in an outage."""
        for end_worker, down_s, delay_s in product((leave, cut_off, vanish), DOWNS_S, (0.1, 1.5)):
            with self.subTest(end=end_worker.__name__, down_s=down_s, delay_s=delay_s):
                cell, worker = start_lasting_task(end_worker is leave)
                loss = Loss(partial(remove_and_restart_others, down_s=down_s), delay_s)
                ended_s, returned_s = measure_return(cell, worker, end_worker, loss)
                calm_s = max(ended_s + REST_S, delay_s + down_s + CALM_S)
                self.assertLess(returned_s, calm_s + AWAY_S)
                self.assertEqual(cell.platform.checker.violations, [])

    def test_a_task_that_lasts_is_not_away_for_too_long(self) -> None:
        """Fails if each successor waits anew for all that an owner before it may have done."""
        for end_worker in ENDS:
            for loss in LOSSES:
                with self.subTest(end=end_worker.__name__, loss=loss):
                    cell, worker = start_lasting_task(end_worker in ENDS[:3])
                    ended_s, returned_s = measure_return(cell, worker, end_worker, loss)
                    calm_s = max(ended_s + REST_S, loss.impaired_s + CALM_S)
                    self.assertLess(returned_s, calm_s + AWAY_S)
                    self.assertEqual(cell.platform.checker.violations, [])


if __name__ == "__main__":
    unittest.main()
