"""Tests of moves of waiting tasks between slices."""

import unittest

import msgspec

from lavenderstall.identifiers import EntryId, Epoch, JobId, SliceName
from lavenderstall.messages import PoolSummary, SliceSummary
from lavenderstall.moves import choose_destination
from lavenderstall.protocol import Kind, Put, Transaction
from lavenderstall.records import JobSpec
from lavenderstall.resources import Resources
from tests.cells import TEAM, Cell, make_job

CORE = Resources(1000)


def make_summary(name: str, free: int, waiting: int = 0) -> SliceSummary:
    """Return the summary of two 4-core workers with `free` millicores."""
    pool = PoolSummary(2, Resources(free), Resources(min(free, 4000)), Resources(4000))
    return SliceSummary(
        SliceName(name), EntryId("e"), Epoch(1000), {"pool": pool}, waiting={"batch": waiting}
    )


class ChooseTargetTest(unittest.TestCase):
    """Guards against moves to slices that are just as full."""

    def test_choice(self) -> None:
        cases = (
            (Kind.BATCH, 5, [make_summary("z/1", 0)], None),
            (Kind.BATCH, 5, [make_summary("z/1", 2000)], ("z/1", 2)),
            (Kind.BATCH, 5, [make_summary("z/1", 2000), make_summary("z/2", 4000)], ("z/2", 4)),
            (Kind.BATCH, 5, [make_summary("z/1", 4000, 4)], None),
            (Kind.BATCH, 1, [make_summary("z/0", 8000)], None),
            (Kind.GANG, 5, [make_summary("z/1", 4000)], None),
            (Kind.GANG, 5, [make_summary("z/1", 8000)], ("z/1", 5)),
        )
        for kind, count, summaries, expected in cases:
            with self.subTest(kind=kind, expected=expected):
                spec = JobSpec(JobId("j"), TEAM, kind, 5, CORE)
                found = choose_destination(spec, count, SliceName("z/0"), summaries)
                self.assertEqual(found, expected)


class MoverTest(unittest.TestCase):
    """Guards against tasks waiting while another slice is free, and tasks started in two slices."""

    def fill(self, cell: Cell) -> None:
        """Fill both zones with tasks of different run times, and let more tasks wait."""
        cell.run(4)
        cell.submit(make_job("fill", 8, run_ms=4000))
        cell.run(1)
        cell.submit(make_job("more", 8, run_ms=2000))
        cell.run(1)

    def test_unreadable_job_row_keeps_no_other_job_from_moving(self) -> None:
        """Fails if the move of a job with an odd row is tried over and over, and no other."""
        cell = Cell(entries=1, zones=2, workers=1)
        cell.run(4)
        cell.submit(make_job("fill", 8, run_ms=6000))
        cell.run(1)
        for job in ("odd", "sound"):
            cell.submit(make_job(job, 2, run_ms=60_000))
            cell.run(0.5)
        self.assertIn("work/z0/0/sound", [row.key for row in cell.table.scan("work/").result.rows])
        cell.table.commit(Transaction(puts=[Put("job/odd", msgspec.Raw(b"{}"))]))
        cell.set_worker("z0w0", leaving=True)
        cell.run(20)
        self.assertEqual(len(cell.find_runs("sound")), 2)

    def test_waiting_tasks_move_to_free_resources(self) -> None:
        cell = Cell(entries=1, zones=2, workers=1)
        self.fill(cell)
        cell.set_worker("z0w0", leaving=True)
        cell.run(20)
        rows = cell.table.scan("work/").result.rows
        self.assertTrue(rows)
        done = sum(len(msgspec.json.decode(row.value).get("done", [])) for row in rows)
        self.assertEqual(done, 16)

    def test_move_with_unknown_outcome(self) -> None:
        # The store fails while moves are committed; no task is lost or started in both slices.
        for seed in range(4):
            with self.subTest(seed=seed):
                cell = Cell(entries=1, zones=2, workers=1, seed=seed)
                self.fill(cell)
                cell.set_worker("z0w0", leaving=True)
                cell.table.faults = msgspec.structs.replace(cell.table.faults, lose_next=3)
                cell.run(2.5)
                cell.table.faults = msgspec.structs.replace(cell.table.faults, down=True)
                cell.run(7)
                cell.table.faults = msgspec.structs.replace(cell.table.faults, down=False)
                cell.run(30)
                rows = cell.table.scan("work/").result.rows
                done = sum(len(msgspec.json.decode(row.value).get("done", [])) for row in rows)
                self.assertEqual(done, 16)
