"""Tests of the archive of changes."""

import unittest

from twisted.internet.defer import Deferred, succeed

from lavenderstall.archives import BLOCK_SIZE, ChangeArchive
from lavenderstall.changes import Change, ChangeState, make_change_key
from lavenderstall.errors import StoreUnavailableError
from lavenderstall.identifiers import ChangeNumber
from lavenderstall.protocol import Put, Transaction
from lavenderstall.records import encode_row
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
        self.archive = ChangeArchive(self.table, FakeObjects())
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

    def test_failed_delete_is_completed_later(self) -> None:
        self.table.faults.append(Fault.DOWN)
        with self.assertRaises(StoreUnavailableError):
            run(self.archive.archive(keep=100))
        self.assertEqual(len(self.table.rows), 350)
        self.assertEqual(run(self.archive.archive(keep=100)), 98)
        self.assertEqual(self.find(1), "r1")
