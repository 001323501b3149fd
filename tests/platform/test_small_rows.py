"""Tests of whole cells on a store that accepts small rows only."""

import unittest

from lavenderstall.identifiers import JobId
from lavenderstall.pools.work import JobState, PoolName
from tests.platform.simulated_cell import POOLS, SimulatedCell

ROW_BYTES = 1000
FIRST = POOLS[0]
WIDE = {"count": 160, "cpu": 100, "taskMemoryMb": 100, "estimatedDurationMs": 600}
NEXT = {**WIDE, "count": 4, "after": [0]}
TIMES = {"repeatCount": 3, "startAtMs": 0, "intervalMs": 300}
JOBS = [f"{number:016x}" for number in range(2)]
SMALL_JOB = f"{9:016x}"


class SmallRowsTest(unittest.TestCase):
    """Jobs whose progress needs several rows."""

    def start_cell(self) -> SimulatedCell:
        """Return a settled cell."""
        cell = SimulatedCell(3, 4, advice=False, max_row_bytes=ROW_BYTES)
        self.assertTrue(cell.run_until(lambda: all(map(cell.find_owner, POOLS)), 3.0))
        cell.run(1.5)
        return cell

    def list_parts(self, cell: SimulatedCell) -> list[str]:
        """Return the keys of the rows that hold parts of progress."""
        return [key for table, _, key in cell.platform.rows if table == "progress" and "." in key]

    def are_completed(self, cell: SimulatedCell) -> bool:
        """Tell whether all jobs are durably completed."""
        owner = cell.find_owner(FIRST)
        if owner is None:
            return False
        pool = cell.nodes[owner].instance.owned_pools[PoolName(FIRST)].pool
        states = [pool.get_state(JobId(job)) for job in (*JOBS, SMALL_JOB)]
        return all(state is JobState.COMPLETED for state in states)

    def test_jobs_with_large_progress_end_and_stop_no_other(self) -> None:
        """Fails if the store rejects what a job has become, and with it the whole pool."""
        for successor in (False, True):
            with self.subTest(successor=successor):
                cell = self.start_cell()
                for job in JOBS:
                    cell.submit("entry-0", FIRST, job, [dict(WIDE), dict(NEXT)], TIMES)
                found = cell.run_until(lambda cell=cell: self.list_parts(cell), 3.0)
                self.assertTrue(found)
                cell.submit("entry-1", FIRST, SMALL_JOB, [dict(WIDE, count=2)])
                if successor:
                    cell.restart_owner(FIRST)
                ended = cell.run_until(lambda cell=cell: self.are_completed(cell), 20.0)
                self.assertTrue(ended)
                self.assertEqual(cell.platform.checker.violations, [])
                self.assertEqual(self.list_parts(cell), [])


if __name__ == "__main__":
    unittest.main()
