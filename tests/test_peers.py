"""Tests of peer state, readiness and broadcast intervals."""

import unittest

from lavenderstall.errors import Outcome
from lavenderstall.identifiers import EntryId, Incarnation, ZoneName
from lavenderstall.peers import BroadcastSchedule
from lavenderstall.records import EntryRow
from standins.faults import TableFaults
from tests.cells import Cell


class PeerSnapshotTest(unittest.TestCase):
    """An entry instance that got its configuration from a peer can change it."""

    def test_change_after_an_outage(self) -> None:
        # A snapshot from a peer lost the version of the head's row, so each change conflicted.
        cell = Cell(entries=2, zones=1)
        cell.run(5)
        cell.declare_service(1)
        cell.run(2)
        cell.table.faults.down = True
        node = cell.start(cell.zones[0])
        cell.run(8)
        self.assertEqual(node.entry.view.version, 1)
        cell.table.faults.down = False
        cell.run(5)
        results = cell.declare_service(2, node=node)
        cell.run(3)
        self.assertTrue(results[0].committed)


ZONES = 6


def make_peers(count: int) -> dict[EntryId, EntryRow]:
    """Return the rows of some entry instances, distributed over the zones."""
    return {
        EntryId(f"e{n}"): EntryRow(
            EntryId(f"e{n}"), Incarnation("i"), ZoneName(f"z{n % ZONES}"), "", "", 1
        )
        for n in range(count)
    }


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


class BroadcastScheduleTest(unittest.TestCase):
    """Guards against peers that get messages too rarely, and against too many messages."""

    def test_rounds(self) -> None:
        """With few peers each round goes to all; with many, other zones get enough rounds."""
        for count, most, to_all in ((0, 5, 10), (9, 5, 10), (31, 5, 10), (32, 5, 5), (150, 5, 2)):
            with self.subTest(count=count):
                peers = make_peers(count)
                schedule = BroadcastSchedule(ZoneName("z1"), most)
                found = [schedule.next_peers(peers) for _ in range(10)]
                self.assertEqual(sum(each is None for each in found), to_all)
                near = {entry for entry, row in peers.items() if row.zone == "z1"}
                self.assertTrue(all(each == near for each in found if each is not None))
