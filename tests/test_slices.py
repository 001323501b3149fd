"""Tests of an owner's work on one slice."""

import unittest

from lavenderstall.protocol import Kind
from tests.cells import Cell, make_job


class GangTest(unittest.TestCase):
    """A gang starts as a whole or not at all."""

    def test_starts_all_members(self) -> None:
        # A gang whose row was just read must not be queued member by member.
        cell = Cell(entries=1, zones=1)
        cell.run(3)
        cell.submit(make_job("gang", 3, kind=Kind.GANG, run_ms=60_000))
        self.assertTrue(cell.run(2, until=lambda: len(cell.find_runs("gang")) == 3))


if __name__ == "__main__":
    unittest.main()
