"""Tests of what an entry instance knows about the others."""

import unittest

from lavenderstall.errors import Outcome
from standins.faults import TableFaults
from tests.cells import Cell


class ReadinessTest(unittest.TestCase):
    """An entry instance starts in a cell that serves calls."""

    def setUp(self) -> None:
        self.cell = Cell(entries=2, zones=2)
        self.cell.run(5)
        self.cell.declare_service(4)
        self.cell.run(5)

    def test_is_ready_once_calls_can_be_routed(self) -> None:
        # The balancer sent callers to a new entry instance that knew no slices yet.
        node = self.cell.start(self.cell.zones[0])
        self.cell.run(0.05)
        self.assertFalse(node.entry.is_ready())
        self.assertTrue(self.cell.run(2.9, until=node.entry.is_ready))
        calls = [self.cell.call(node) for _ in range(20)]
        self.cell.run(1)
        self.assertEqual({told.outcome for told in calls}, {Outcome.DONE})

    def test_outage_delays_readiness_for_a_bounded_time(self) -> None:
        self.cell.table.faults = TableFaults(down=True)
        node = self.cell.start(self.cell.zones[0])
        self.cell.run(2.9)
        self.assertFalse(node.entry.is_ready())
        self.cell.run(0.2)
        self.assertTrue(node.entry.is_ready())

    def test_draining_instance_is_not_ready(self) -> None:
        node = self.cell.list_ready()[0]
        self.assertTrue(node.entry.is_ready())
        self.cell.shut_down(node)
        self.assertFalse(node.entry.is_ready())


if __name__ == "__main__":
    unittest.main()
