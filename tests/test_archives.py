"""Tests of the archive of changes."""

import unittest

import msgspec
from twisted.internet.defer import Deferred, succeed

from lavenderstall.archives import BLOCK_SIZE, ChangeArchive, make_block_name
from lavenderstall.changes import Change, ChangeState, make_change_key
from lavenderstall.errors import StoreUnavailableError
from lavenderstall.identifiers import ChangeNumber
from lavenderstall.protocol import Put, Transaction
from lavenderstall.records import UnreadableRowError, encode_row
from tests.oddities import DEEP_LISTS, list_odd_objects
from tests.support import FakeTable, Fault, run


class FakeObjects:
    """Keep objects in memory."""

    def __init__(self) -> None:
        self.bodies: dict[str, bytes] = {}

    def put(self, name: str, body: bytes) -> "Deferred[None]":
        self.bodies[name] = body
        return succeed(None)

    def get(self, name: str) -> "Deferred[bytes | None]":
        return succeed(self.bodies.get(name))


class ArchiveTest(unittest.TestCase):
    """Guards against changes that are lost while they are archived."""

    def setUp(self) -> None:
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.archive = ChangeArchive(self.table, self.objects)
        for number in range(1, 351):
            self.write(number, ChangeState.PROPOSED if number == 50 else ChangeState.DONE)

    def write(self, number: int, state: ChangeState) -> None:
        change = Change(ChangeNumber(number), "ana", 0, f"r{number}", state, "n")
        run_put = Transaction([], [Put(make_change_key(number), encode_row(change))])
        self.table.transact(run_put)

    def find(self, number: int) -> str | None:
        change = run(self.archive.find_change(number))
        return change and change.reason

    def test_whole_blocks_move_and_stay_readable(self) -> None:
        moved = [run(self.archive.archive(keep=100)) for _ in range(3)]
        self.assertEqual(moved, [98, 100, 0])
        self.assertEqual(len(self.table.rows), 350 - 198)
        self.assertEqual([self.find(n) for n in (1, 199, 50, 200)], ["r1", "r199", None, None])

    def test_proposal_moves_once_it_is_decided(self) -> None:
        run(self.archive.archive(keep=100))
        self.write(50, ChangeState.REJECTED)
        self.assertEqual(run(self.archive.archive(keep=100)), 1)
        self.assertEqual(
            [self.find(n) for n in (50, BLOCK_SIZE - 1)], ["r50", f"r{BLOCK_SIZE - 1}"]
        )

    def test_unreadable_change_keeps_no_other_in_the_table(self) -> None:
        """Fails if one odd row ends the archiving, or is archived itself."""
        for name, value in list_odd_objects(bytes(self.table.rows[make_change_key(7)].value)):
            with self.subTest(name=name), self.assertLogs("lavenderstall.set_aside") as logs:
                self.setUp()
                put = Put(make_change_key(7), msgspec.Raw(value))
                self.table.transact(Transaction(puts=[put]))
                self.assertEqual(run(self.archive.archive(keep=100)), 97)
                self.assertIn(make_change_key(7), self.table.rows)
                self.assertIn(make_change_key(7), logs.output[0])

    def test_unreadable_block_keeps_no_other_in_the_table(self) -> None:
        """Fails if an odd object ends the archiving, or is overwritten."""
        block = make_block_name(1)
        for body in (DEEP_LISTS, b"[{}]", b"null", b'"\xff"'):
            with self.subTest(body=body[:5]), self.assertLogs("lavenderstall.set_aside") as logs:
                self.setUp()
                self.objects.put(block, body)
                self.assertEqual(run(self.archive.archive(keep=100)), 100)
                self.assertEqual(run(self.archive.archive(keep=100)), 0)
                self.assertEqual(self.objects.bodies[block], body)
                self.assertIsNotNone(self.find(BLOCK_SIZE))
                with self.assertRaisesRegex(UnreadableRowError, block):
                    self.find(1)
                self.assertEqual(len(logs.output), 1)

    def test_failed_delete_is_completed_later(self) -> None:
        self.table.faults.append(Fault.DOWN)
        with self.assertRaises(StoreUnavailableError):
            run(self.archive.archive(keep=100))
        self.assertEqual(len(self.table.rows), 350)
        self.assertEqual(run(self.archive.archive(keep=100)), 98)
        self.assertEqual(self.find(1), "r1")
