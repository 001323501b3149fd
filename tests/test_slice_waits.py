"""Tests of a slice of the product's own cell that loses its owners one after the other."""

import unittest
from functools import partial

from lavenderstall.fleet import LEASE_MARGIN_FACTOR, LeaseTerms
from lavenderstall.identifiers import WorkerId
from tests.cells import Cell, make_job


class SliceWaitTest(unittest.TestCase):
    """A slice of the product's own cell loses its owners one after the other, and a worker."""

    INTERVAL_S = 400.0
    REACTION_S = 30.0

    def test_a_wait_for_former_leases_is_not_begun_anew_by_each_owner(self) -> None:
        """Fails if a change of owners adds to the wait for what the first of them has renewed."""
        terms = LeaseTerms()
        limit_s = terms.outage_limit + terms.tasks * LEASE_MARGIN_FACTOR + self.REACTION_S
        for changes in (0, 1, 2):
            with self.subTest(changes=changes):
                cell = Cell(entries=4, zones=1, workers=4)
                cell.run(4)
                cell.submit(make_job("lasts", 1, run_ms=100_000_000))
                cell.run(5, until=partial(cell.find_runs, "lasts"))
                (worker,) = cell.find_runs("lasts").values()
                cell.set_worker(worker, cut_off=True)
                began_at = cell.clock.seconds()
                cell.kill(cell.get_owner("z0/0"))
                for _ in range(changes):
                    cell.run(self.INTERVAL_S)
                    cell.kill(cell.get_owner("z0/0"))
                left_s = limit_s - (cell.clock.seconds() - began_at)
                self.assertTrue(cell.run(left_s, until=partial(runs_beside, cell, worker)))


def runs_beside(cell: Cell, worker: WorkerId) -> bool:
    """Tell whether the task runs on another worker."""
    return bool(set(cell.find_runs("lasts").values()) - {worker})


if __name__ == "__main__":
    unittest.main()
