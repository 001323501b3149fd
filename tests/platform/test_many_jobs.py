"""Tests of whole cells with more waiting jobs than can run for long."""

import unittest
from collections import Counter
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from twisted.internet.task import Clock

from lavenderstall.identifiers import JobId
from lavenderstall.pools.owner import TURN_ROWS
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.records import encode, get_shard
from lavenderstall.pools.work import PoolName, QueueName
from lavenderstall.resources import Resources
from tests.platform.simulated_cell import SimulatedCell
from tests.platform.test_faults import make_name, start_cell
from tests.pools.builders import make_job, make_step

ROUTING = PoolName("routing")
NEED = Resources(10, 10)
JOBS = 1_500


def put_jobs(cell: SimulatedCell) -> list[str]:
    """Write the rows of accepted jobs of which no hint reaches their owner."""
    names = [make_name(number) for number in range(1, JOBS + 1)]
    step = make_step(need=NEED, expected_ms=100)
    for name in names:
        cell.platform.checker.jobs[name] = {
            "spec": "payload",
            "steps": [{"count": 1, "estimatedDurationMs": step.expected_ms}],
        }
        row = make_job(step, job=JobId(name), queue=QueueName("q-routing"))
        cell.platform.put_bytes("jobs", get_shard(name), name, encode(row))
    return names


class TurnCounter:
    """Count how often something is done in each turn of the reactor."""

    def __init__(self, clock: Clock) -> None:
        self._turn = 0
        self._call_later = clock.callLater
        self.counts: Counter[int] = Counter()
        clock.callLater = self.call_later

    def call_later(self, delay: float, function: Any, *args: Any, **fields: Any) -> Any:
        """Schedule a call, which is a turn of its own."""

        def run() -> None:
            self._turn += 1
            function(*args, **fields)

        return self._call_later(delay, run)

    def wrap(self, function: Callable[..., Any]) -> Callable[..., Any]:
        """Return a function whose calls are counted."""

        def run(*args: Any, **fields: Any) -> Any:
            self.counts[self._turn] += 1
            return function(*args, **fields)

        return run


class ManyJobsTest(unittest.TestCase):
    """Thousands of jobs wait for one pool."""

    def test_a_successor_is_not_busy_for_long_while_it_loads_them(self) -> None:
        """Fails if heartbeats and renewals wait until all waiting jobs are loaded."""
        cell = start_cell()
        owner = cell.find_owner(ROUTING)
        assert owner is not None
        cell.kill(owner)
        put_jobs(cell)
        turns = TurnCounter(cell.clock)
        with patch.object(Pool, "add_job", turns.wrap(Pool.add_job)):
            self.assertTrue(cell.run_until(lambda: cell.find_owner(ROUTING), 6.0))
        self.assertGreaterEqual(sum(turns.counts.values()), JOBS)
        self.assertLessEqual(max(turns.counts.values()), TURN_ROWS)

    def test_all_of_them_are_done_although_owners_end(self) -> None:
        """Fails if a job that a dispatch leaves out, or a load that is cut short, is forgotten."""
        cell = start_cell()
        put_jobs(cell)
        for _ in range(3):
            cell.run(4.0)
            cell.restart_owner(ROUTING)
        self.assertTrue(cell.run_until(lambda: not cell.platform.checker.list_unfinished(), 90.0))
        self.assertEqual(cell.platform.checker.violations, [])


if __name__ == "__main__":
    unittest.main()
