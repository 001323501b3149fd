"""Tests of the cached work rows of a slice."""

import unittest

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.identifiers import JobId, SliceName
from lavenderstall.protocol import Committed, Condition, Put, Row, Rows, Transaction
from lavenderstall.records import NO_CRASHES, TaskCrashes, WorkRow, encode_row, make_work_key
from lavenderstall.work_rows import WorkRows, merge_rows
from tests.cells import Cell, make_job

JOB = JobId("job")
SLICE = SliceName("z0/0")


class PendingCommits:
    """Commits that end when a test says so."""

    def __init__(self) -> None:
        self.pending: list[Deferred[Committed]] = []

    def is_stalled(self) -> bool:
        return False

    def submit(
        self, conditions: list[Condition], puts: list[Put], timeout: float
    ) -> Deferred[Committed]:
        self.pending.append(Deferred())
        return self.pending[-1]

    def end(self) -> None:
        """End the oldest commit."""
        self.pending.pop(0).callback(Committed(2))


def make_rows(commits: PendingCommits) -> WorkRows:
    """Return the rows of a slice with one job."""
    rows = WorkRows(SLICE, commits, lambda: "nonce", lambda: None)
    work = WorkRow(make_job(JOB, 2), SLICE, [0, 1], "nonce")
    rows.load(Rows(1, [Row(make_work_key(SLICE, JOB), 1, encode_row(work))]))
    return rows


class CallAfterTest(unittest.TestCase):
    """Calls that wait for what is recorded to be committed."""

    def test_calls_come_once_all_recorded_changes_are_committed(self) -> None:
        """Fails if a call that is added during the commit of all changes never comes."""
        for name, changes_during_commit, expected_commits in (
            ("nothing new", 0, 1),
            ("another end", 1, 2),
        ):
            with self.subTest(name=name):
                commits = PendingCommits()
                rows = make_rows(commits)
                calls: list[str] = []
                rows.record_end(JOB, 0, "done")
                rows.flush()
                if changes_during_commit:
                    rows.record_end(JOB, 1, "done")
                rows.call_after(JOB, lambda found=calls: found.append("called"))
                for number in range(expected_commits):
                    self.assertEqual(calls, [], number)
                    commits.end()
                    rows.flush()
                self.assertEqual(calls, ["called"])


class CrashesTest(unittest.TestCase):
    """Crashes and starts in the row of a job."""

    def test_tasks_without_crashes_take_no_room(self) -> None:
        """Fails if the row of a job grows with each task that has ever run."""
        for name, change in (
            ("ended", lambda rows: rows.record_end(JOB, 0, "done")),
            ("cleared", lambda rows: rows.record_crashes(JOB, 0, NO_CRASHES)),
        ):
            with self.subTest(name=name):
                rows = make_rows(PendingCommits())
                rows.record_crashes(JOB, 0, TaskCrashes(started=True))
                change(rows)
                self.assertEqual(rows.jobs[JOB].row.crashes, {})
                self.assertTrue(rows.jobs[JOB].dirty)


class UnreadableTest(unittest.TestCase):
    """Rows that can't be read among those of a slice."""

    def test_unreadable_row_is_not_taken_for_a_removed_one(self) -> None:
        """Fails if the tasks of a job are cancelled because its row can't be read any more."""
        rows = make_rows(PendingCommits())
        other = WorkRow(make_job("other"), SLICE, [0], "nonce")
        odd_row = Row(make_work_key(SLICE, JOB), 2, msgspec.Raw(b"{}"))
        sound_row = Row(make_work_key(SLICE, JobId("other")), 3, encode_row(other))
        with self.assertLogs("lavenderstall.set_aside"):
            changed, removed = rows.load(Rows(3, [odd_row, sound_row]))
        self.assertEqual([job.row.spec.id for job in changed], ["other"])
        self.assertEqual(removed, [])
        self.assertEqual(rows.jobs[JOB].row.tasks, [0, 1])
        self.assertEqual(rows.unreadable, {JOB})

    def test_runs_of_an_unreadable_job_go_on(self) -> None:
        """Fails if the next owner stops or forgets what a row that it can't read may ask for."""
        cell = Cell(entries=2, zones=1)
        cell.run(3)
        cell.submit(make_job("job", 2, run_ms=60_000))
        cell.submit(make_job("short", 1, run_ms=4_000))
        cell.run(2)
        before = cell.find_runs("job")
        self.assertEqual(len(before), 2)
        for job in ("job", "short"):
            put = Put(make_work_key(SLICE, JobId(job)), msgspec.Raw(b"{}"))
            cell.table.commit(Transaction(puts=[put]))
        cell.kill(cell.get_owner("z0/0"))
        with self.assertLogs("lavenderstall.set_aside"):
            cell.run(10)
        self.assertEqual(cell.find_runs("job"), before)
        ended = [run for each in cell.workers.values() for run in each.inventory.list_finished(0)]
        self.assertEqual(len(ended), 1, "an end was acknowledged that no row holds")


class MergeTest(unittest.TestCase):
    """Merges of the owner's uncommitted changes with a row that another writer changed."""

    def test_crashes_of_both_sides_are_kept(self) -> None:
        """Fails if crashes of a task that moved here are forgotten, or those cleared come back."""
        spec = make_job(JOB, 3)
        mine = WorkRow(spec, SLICE, [0], "mine", crashes={0: TaskCrashes()})
        stored = WorkRow(
            spec, SLICE, [0, 1], "stored", crashes={0: TaskCrashes(1), 1: TaskCrashes(2)}
        )
        merged = merge_rows(mine, stored)
        self.assertEqual(merged.crashes, {0: TaskCrashes(), 1: TaskCrashes(2)})

    def test_cleared_crashes_do_not_come_back(self) -> None:
        """Fails if the stored row undoes what the owner has cleared but not committed."""
        spec = make_job(JOB, 2)
        mine = WorkRow(spec, SLICE, [0], "mine")
        stored = WorkRow(spec, SLICE, [0, 1], "stored", crashes={0: TaskCrashes(started=True)})
        self.assertEqual(merge_rows(mine, stored).crashes, {})


if __name__ == "__main__":
    unittest.main()
