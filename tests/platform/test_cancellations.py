"""Tests of what may lose or delay a cancellation between its caller and the worker."""

import unittest
from collections.abc import Callable
from itertools import product
from typing import Any

from twisted.internet.defer import Deferred

from lavenderstall.pools.work import PoolName
from tests.platform.simulated_cell import POOLS, SimulatedCell

POOL = PoolName(POOLS[0])
JOB = f"{1:016x}"
TASK = {"count": 3, "cpu": 1000, "taskMemoryMb": 500}
LASTING = {**TASK, "longRunning": True}
LONG = {**TASK, "estimatedDurationMs": 20000}
GANG = {**LONG, "gang": True}
JOBS = {
    "a job that lasts": ([LASTING], {}),
    "a gang": ([GANG], {}),
    "a job with occurrences": ([LONG], {"repeatCount": 4, "intervalMs": 300, "startAtMs": 1}),
}
# From its submission to the cancellation of a job: with its acceptance, its starts, its runs.
AGES_S = (0.0, 0.06, 1.5)
# Time from the acknowledgement of a cancellation until its tasks have to be gone.
CANCEL_S = 3.0 + 0.4
FAULT_S = 1.0
OBSERVED_S = 5.0

FEED, READ = "/v1/rows-feed", "/v1/rows-get"
STOP, POLL = "/v1/run-stop", "/v1/hold"
Inject = Callable[[SimulatedCell, str, str], None]


def do_nothing(cell: SimulatedCell, owner: str, writer: str) -> None:
    """Inject no fault."""


def lose_hint(cell: SimulatedCell, owner: str, writer: str) -> None:
    """Let no message of the instance that is asked reach the owner."""
    cell.disconnect(owner, writer)


def lose_hint_and_feed_call(cell: SimulatedCell, owner: str, writer: str) -> None:
    """Lose the message, and let the feed's present call stay open and silent."""
    lose_hint(cell, owner, writer)
    cell.platform.lost_paths = {FEED}
    cell.clock.callLater(0.1, cell.platform.lost_paths.clear)


def lose_hint_and_all_feed_calls(cell: SimulatedCell, owner: str, writer: str) -> None:
    """Lose the message, and let no call of a feed be answered any more."""
    lose_hint(cell, owner, writer)
    cell.platform.lost_paths = {FEED}


def lose_hint_and_history(cell: SimulatedCell, owner: str, writer: str) -> None:
    """Lose the message, and let the store forget all changes just after the cancellation."""
    lose_hint(cell, owner, writer)
    cell.platform.feeds_silent = True
    cell.clock.callLater(0.3, cell.platform.drop_history)


def lose_stops(cell: SimulatedCell, owner: str, writer: str) -> None:
    """Lose all stops for some time."""
    cell.platform.lost_paths = {STOP}
    cell.clock.callLater(FAULT_S, cell.platform.lost_paths.clear)


def lose_stops_and_polls(cell: SimulatedCell, owner: str, writer: str) -> None:
    """Lose all stops and polls for some time."""
    cell.platform.lost_paths = {STOP, POLL}
    cell.clock.callLater(FAULT_S, cell.platform.lost_paths.clear)


def kill_owner(cell: SimulatedCell, owner: str, writer: str) -> None:
    """Kill the owner once the row is stored, before its first stop is taken."""
    lose_stops(cell, owner, writer)
    cell.clock.callLater(0.05, cell.kill, owner)


def freeze_owner(cell: SimulatedCell, owner: str, writer: str) -> None:
    """Freeze the owner, which wakes up as an earlier owner."""
    cell.freeze(owner)
    cell.clock.callLater(2.5, cell.thaw, owner)


def hand_over(cell: SimulatedCell, owner: str, writer: str) -> None:
    """Let the owner release the pool while its stops are lost."""
    lose_stops(cell, owner, writer)
    instance = cell.nodes[owner].instance
    cell.clock.callLater(0.01, lambda: Deferred.fromCoroutine(instance.release_pools()))


class CancellationTest(unittest.TestCase):
    """A cancellation meets one fault on its way."""

    def start_cell(self) -> tuple[SimulatedCell, str, str]:
        """Return a settled cell, the owner of the pool and another instance."""
        cell = SimulatedCell(3, 4, advice=False)
        self.assertTrue(cell.run_until(lambda: all(map(cell.find_owner, POOLS)), 3.0))
        cell.run(3.5)
        owner = cell.find_owner(POOL)
        assert owner is not None
        return cell, owner, next(name for name in cell.nodes if name != owner)

    def measure_run_on(self, cell: SimulatedCell, answers: list[bool | None]) -> float:
        """Return for how long tasks run, or are started, after the acknowledgement."""
        self.assertTrue(cell.run_until(lambda: answers, 2.0))
        acknowledged_at = ended_at = cell.clock.seconds()
        while cell.clock.seconds() < acknowledged_at + OBSERVED_S:
            cell.run(0.1)
            for worker in cell.platform.workers.values():
                worker.advance()
                if worker.running:
                    ended_at = cell.clock.seconds()
        return ended_at - acknowledged_at

    def check(self, inject: Inject, steps: list[dict[str, Any]], times: Any, age_s: float) -> None:
        """Cancel a job of an age beside a fault, and check that its tasks end in time."""
        cell, owner, writer = self.start_cell()
        accepted = cell.submit(owner, POOL, JOB, [dict(step) for step in steps], times)
        self.assertTrue(cell.run_until(lambda: accepted, 1.0))
        cell.run(age_s)
        inject(cell, owner, writer)
        answers = cell.cancel(writer, POOL, JOB)
        self.assertLess(self.measure_run_on(cell, answers), CANCEL_S)
        self.assertEqual(answers, [True])
        self.assertEqual(cell.platform.checker.violations, [])

    def test_the_tasks_of_a_cancelled_job_end_in_time(self) -> None:
        """Fails if an acknowledged cancellation is lost on its way, and nothing finds it again."""
        for inject, (name, (steps, times)), age_s in product(
            (
                do_nothing,
                lose_hint,
                lose_hint_and_feed_call,
                lose_hint_and_all_feed_calls,
                lose_hint_and_history,
                lose_stops,
                lose_stops_and_polls,
                kill_owner,
                freeze_owner,
                hand_over,
            ),
            JOBS.items(),
            AGES_S,
        ):
            with self.subTest(inject=inject.__name__, job=name, age_s=age_s):
                self.check(inject, steps, times, age_s)

    def test_the_tasks_of_a_cancelled_job_end_in_time_although_a_read_is_lost_too(self) -> None:
        """Fails if the read that stands in for a silent feed comes late, or isn't repeated soon."""
        for phase_s, lost_s in product((0.0, 0.4, 0.6, 1.2, 1.6, 2.0), (0.0, 1.0)):
            with self.subTest(phase_s=phase_s, lost_s=lost_s):
                cell, owner, writer = self.start_cell()
                cell.run(phase_s)
                accepted = cell.submit(owner, POOL, JOB, [dict(LASTING)])
                self.assertTrue(cell.run_until(lambda accepted=accepted: accepted, 1.0))
                cell.run(1.5)
                lose_hint(cell, owner, writer)
                lost_paths = cell.nodes[owner].http_client.lost_paths
                lost_paths.add(FEED)
                if lost_s:
                    cell.clock.callLater(1.2, lost_paths.add, READ)
                    cell.clock.callLater(1.2 + lost_s, lost_paths.discard, READ)
                answers = cell.cancel(writer, POOL, JOB)
                self.assertLess(self.measure_run_on(cell, answers), CANCEL_S)


if __name__ == "__main__":
    unittest.main()
