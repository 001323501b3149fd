"""Tests of the cached work rows of a slice."""

import unittest

from twisted.internet.defer import Deferred

from lavenderstall.identifiers import JobId, SliceName
from lavenderstall.protocol import Committed, Condition, Put, Row, Rows
from lavenderstall.records import NO_CRASHES, TaskCrashes, WorkRow, encode_row, make_work_key
from lavenderstall.work_rows import WorkRows, merge_rows
from tests.cells import make_job

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
