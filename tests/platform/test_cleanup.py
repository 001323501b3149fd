"""Tests of the deletion of rows of ended jobs beside the other work of an owner."""

import unittest

from twisted.internet.defer import Deferred

from lavenderstall.pools.archive import ROW_REPLACEMENT_DELAY_S
from lavenderstall.pools.owner import CLEANUP_INTERVAL_S
from lavenderstall.pools.records import JOBS
from tests.platform.simulated_cell import POOLS, SimulatedCell

POOL = POOLS[0]
SHORT = {"count": 1, "cpu": 500, "taskMemoryMb": 10, "estimatedDurationMs": 200}
ENDED_JOBS = 60
# An owner renews each 0.25 s, by a transaction that takes as long as the store is slow.
RENEWAL_S = 0.25 + 0.1
# Two transactions and some turns.
RELEASE_S = 0.7


class CleanupTest(unittest.TestCase):
    """An owner replaces the rows of ended jobs in many parts of the store."""

    def start_cell(self, delay_s: float) -> SimulatedCell:
        """Return a cell with ended jobs, whose store has just become slow."""
        cell = SimulatedCell(3, 8, advice=False)
        self.assertTrue(cell.run_until(lambda: all(map(cell.find_owner, POOLS)), 3.0))
        for number in range(ENDED_JOBS):
            cell.submit("entry-0", POOL, f"{number:016x}", [dict(SHORT)])
        cell.run(2.0)
        cell.platform.store_delay_s = delay_s
        return cell

    def measure_renewal_gap(self, cell: SimulatedCell, seconds: float) -> float:
        """Return the longest time that an owner goes without confirming its ownership."""
        owner = cell.find_owner(POOL)
        assert owner is not None
        writer = cell.nodes[owner].instance.owned_pools[POOL].writer  # type: ignore[index]
        gaps = []
        limit = cell.clock.seconds() + seconds
        while cell.clock.seconds() < limit:
            cell.run(0.02)
            gaps.append(cell.clock.seconds() - writer.confirmed_at)
        self.assertEqual(cell.find_owner(POOL), owner)
        return max(gaps)

    def test_an_owner_renews_and_records_while_it_cleans_up(self) -> None:
        """Fails if starts, final states and renewals wait for the rows of ended jobs."""
        for delay_s in (0.05, 0.1, 0.2):
            with self.subTest(delay_s=delay_s):
                cell = self.start_cell(delay_s)
                sizes = self.list_sizes(cell)
                gap_s = self.measure_renewal_gap(
                    cell, ROW_REPLACEMENT_DELAY_S + 2 * CLEANUP_INTERVAL_S
                )
                self.assertLess(gap_s, RENEWAL_S + 2 * delay_s)
                self.assertLess(sum(self.list_sizes(cell)), sum(sizes) / 2)

    def test_a_pool_is_handed_over_while_its_owner_cleans_up(self) -> None:
        """Fails if an owner that shuts down releases its pool only once all rows are replaced."""
        for wait_s in (2.0, 3.0, 4.0, 5.0, 6.0):
            with self.subTest(wait_s=wait_s):
                cell = self.start_cell(0.2)
                cell.run(wait_s)
                owner = cell.find_owner(POOL)
                assert owner is not None
                released = Deferred.fromCoroutine(cell.nodes[owner].instance.release_pools())
                cell.run(RELEASE_S)
                self.assertTrue(released.called)

    def list_sizes(self, cell: SimulatedCell) -> list[int]:
        """Return the sizes of all rows of jobs."""
        return [len(row["value"]) for key, row in cell.platform.rows.items() if key[0] == JOBS]


if __name__ == "__main__":
    unittest.main()
