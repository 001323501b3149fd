"""Tests of the deletion of obsolete rows."""

import unittest
from zlib import crc32

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.changes import ItemKey
from lavenderstall.protocol import Put, Transaction
from lavenderstall.records import BINDING_BUCKETS, make_binding_prefix
from lavenderstall.schemas import Cell as CellItem
from lavenderstall.schemas import Retention, Zone
from tests.cells import Cell, make_job
from tests.oddities import DEEP_LISTS


class CleanerTest(unittest.TestCase):
    """Guards against rows that are never deleted, and rows that are deleted while in use."""

    def make_cell(self, **retention: int) -> Cell:
        cell = Cell(entries=2, zones=1)
        cell.run(4)
        item = CellItem("cell", (Zone("z0"),), Retention(**retention))
        cell.declare(cell.list_ready()[0], {ItemKey("cell", "cell"): item})
        cell.run(1)
        return cell

    def count(self, cell: Cell, prefix: str) -> int:
        return len(cell.table.scan(prefix).result.rows)

    def test_finished_jobs_are_deleted_and_open_ones_kept(self) -> None:
        cell = self.make_cell(jobs_ms=5000)
        for number in range(25):
            cell.submit(make_job(f"short-{number}", 1, run_ms=100))
        cell.submit(make_job("long", 1, run_ms=100_000))
        cell.run(4)
        self.assertEqual(self.count(cell, "job/"), 26)
        cell.run(40)
        self.assertEqual(self.count(cell, "job/"), 1)
        self.assertEqual(self.count(cell, "work/"), 1)

    def test_declared_jobs_are_kept(self) -> None:
        # Without its row, a declared batch run would be started a second time.
        cell = self.make_cell(jobs_ms=1000)
        cell.submit(make_job("declared.night", 1, run_ms=100))
        cell.run(30)
        self.assertEqual(self.count(cell, "work/"), 1)

    def test_unreadable_binding_keeps_no_other(self) -> None:
        """Fails if the bindings beside an odd row are kept for ever."""
        cell = self.make_cell(requests_ms=1000)
        cell.declare_service(2)
        cell.run(8)
        cell.call(name="stop-1", idempotent=False)
        cell.run(2)
        bucket = crc32(b"stop-1") % BINDING_BUCKETS
        key = f"{make_binding_prefix(bucket)}a/odd"
        node = cell.list_ready()[0]
        cell.table.commit(Transaction(puts=[Put(key, msgspec.Raw(b"[" + DEEP_LISTS + b"]"))]))
        with self.assertLogs("lavenderstall.set_aside") as logs:
            Deferred.fromCoroutine(node.entry.cleaner._clean_bindings(bucket))
            cell.run(2)
        self.assertEqual([row.key for row in cell.table.scan("once/").result.rows], [key])
        self.assertIn(key, logs.output[0])

    def test_unreadable_job_keeps_no_other(self) -> None:
        """Fails if the jobs that ended after one with an odd row are never deleted."""
        cell = self.make_cell(jobs_ms=5000)
        for number in range(5):
            cell.submit(make_job(f"short-{number}", 1, run_ms=100))
        cell.run(4)
        for number in (0, 3):
            put = Put(f"job/short-{number}", msgspec.Raw(b"{}"))
            cell.table.commit(Transaction(puts=[put]))
        with self.assertLogs("lavenderstall.set_aside"):
            cell.run(13)
        left = [row.key for row in cell.table.scan("job/").result.rows]
        self.assertEqual(left, ["job/short-0", "job/short-3"])

    def test_bindings_are_deleted_after_their_retention(self) -> None:
        cell = self.make_cell(requests_ms=20_000)
        cell.declare_service(2)
        cell.run(8)
        cell.call(name="stop-1", idempotent=False)
        cell.run(2)
        self.assertEqual(self.count(cell, "once/"), 1)
        node = cell.list_ready()[0]
        bucket = crc32(b"stop-1") % BINDING_BUCKETS
        for wait, left in ((1, 1), (20, 0)):
            cell.run(wait)
            Deferred.fromCoroutine(node.entry.cleaner._clean_bindings(bucket))
            cell.run(2)
            self.assertEqual(self.count(cell, "once/"), left)
