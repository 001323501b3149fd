"""Tests of changes that feeds of the store do not return."""

import unittest

from lavenderstall.pools.records import get_shard, list_shards
from lavenderstall.pools.work import PoolName
from tests.platform.simulated_cell import POOLS, SimulatedCell

LASTING = {"count": 1, "cpu": 1000, "taskMemoryMb": 500, "longRunning": True}
POOL = PoolName("routing")
JOB = f"{1:016x}"
# Calls of three instances and the owners of two pools.
MAX_CALLS_PER_S = 300


class LostHistoryTest(unittest.TestCase):
    """The store drops its history after a change of which the owner heard nothing."""

    def start_cell(self) -> tuple[SimulatedCell, str]:
        """Return a settled cell and an instance that does not own the pool."""
        cell = SimulatedCell(3, 4, advice=False)
        self.assertTrue(cell.run_until(lambda: all(map(cell.find_owner, POOLS)), 3.0))
        cell.run(1.5)
        return cell, next(name for name in cell.nodes if name != cell.find_owner(POOL))

    def hide(self, cell: SimulatedCell, writer: str) -> None:
        """Let neither the feed nor a message tell the owner of a change."""
        owner = cell.find_owner(POOL)
        assert owner is not None
        cell.platform.feeds_silent = True
        cell.disconnect(writer, owner)

    def lose_history(self, cell: SimulatedCell, down: set[str]) -> None:
        """Drop the history, of which some partitions can't be read for a moment."""
        cell.platform.down_partitions = down
        cell.platform.drop_history()
        cell.run(0.5)
        cell.platform.down_partitions = set()
        cell.disconnected_pairs.clear()

    def assert_running(self, cell: SimulatedCell, running: bool, within_s: float) -> None:
        """Assert that a task of the job runs, or that none does, within some time."""

        def is_so() -> bool:
            workers = list(cell.platform.workers.values())
            for worker in workers:
                worker.advance()
            return any(worker.running for worker in workers) is running

        self.assertTrue(cell.run_until(is_so, within_s))

    def list_down(self) -> dict[str, set[str]]:
        """Return the partitions to fail in each case."""
        shards = set(list_shards())
        own = get_shard(JOB)
        return {"none": set(), "that of the job": {own}, "others": shards - {own}, "all": shards}

    def test_an_accepted_job_starts_although_reading_rows_again_failed(self) -> None:
        for name, down in self.list_down().items():
            with self.subTest(down=name):
                cell, writer = self.start_cell()
                self.hide(cell, writer)
                cell.submit(writer, POOL, JOB, [dict(LASTING)])
                cell.run(0.3)
                self.lose_history(cell, down)
                self.assert_running(cell, True, 2.0)

    def test_a_cancelled_job_stops_although_reading_rows_again_failed(self) -> None:
        for name, down in self.list_down().items():
            with self.subTest(down=name):
                cell, writer = self.start_cell()
                cell.submit(writer, POOL, JOB, [dict(LASTING)])
                self.assert_running(cell, True, 2.0)
                self.hide(cell, writer)
                answer = cell.cancel(writer, POOL, JOB)
                cell.run(0.3)
                self.assertEqual(answer, [True])
                self.lose_history(cell, down)
                self.assert_running(cell, False, 2.0)

    def test_a_store_that_keeps_no_history_is_not_flooded(self) -> None:
        """Fails if instances read all rows again without a pause; the store rejects too many."""
        cell, writer = self.start_cell()
        cell.platform.keeps_history = False
        calls = cell.platform.calls
        cell.run(5.0)
        self.assertLess(cell.platform.calls - calls, 5 * MAX_CALLS_PER_S)
        self.hide(cell, writer)
        cell.platform.feeds_silent = False
        cell.submit(writer, POOL, JOB, [dict(LASTING)])
        self.assert_running(cell, True, 1.0)

    def test_a_partition_that_can_not_be_read_hides_no_job_of_another(self) -> None:
        cell, writer = self.start_cell()
        self.hide(cell, writer)
        cell.submit(writer, POOL, JOB, [dict(LASTING)])
        cell.run(0.3)
        cell.platform.down_partitions = self.list_down()["others"]
        cell.platform.drop_history()
        self.assert_running(cell, True, 1.0)


if __name__ == "__main__":
    unittest.main()
