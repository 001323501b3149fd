"""Tests of the archive of ended jobs."""

import unittest

from lavenderstall.identifiers import JobId
from lavenderstall.pools.archive import RETENTION_S, ROW_REPLACEMENT_DELAY_S, Archive
from lavenderstall.pools.effects import RunEnd, RunStatus, StartRun
from lavenderstall.pools.progress import JobProgress, RecordedRuns, StepProgress
from lavenderstall.pools.work import EndCause, JobState, Task
from tests.pools.builders import JOB, Bench, make_entry, make_job

FIRST = make_entry("w1")
TASK = Task(JOB, 0, 0, 0)


class ArchiveTest(unittest.TestCase):
    """Replacement and deletion of rows."""

    def test_rows_are_listed_after_their_delay(self) -> None:
        rows = (
            (ROW_REPLACEMENT_DELAY_S - 1, [], []),
            (ROW_REPLACEMENT_DELAY_S + 1, [JOB], []),
            (RETENTION_S + 1, [JOB], [JOB]),
        )
        for passed, obsolete, expired in rows:
            with self.subTest(passed=passed):
                archive = Archive()
                archive.add(JOB, JobState.COMPLETED, 100.0)
                now = 100.0 + passed
                self.assertEqual(archive.list_obsolete_submissions(now, 9), obsolete)
                self.assertEqual(archive.list_expired(now, 9), expired)

    def test_replaced_rows_are_not_listed_again(self) -> None:
        archive = Archive()
        archive.add(JOB, JobState.COMPLETED, 100.0)
        archive.note_replaced([JOB])
        self.assertEqual(archive.list_obsolete_submissions(900.0, 9), [])
        self.assertIs(archive.get_state(JOB), JobState.COMPLETED)
        archive.remove([JOB])
        self.assertIsNone(archive.get_state(JOB))

    def test_listings_respect_their_limit(self) -> None:
        archive = Archive()
        for number in range(5):
            archive.add(JobId(str(number)), JobState.FAILED, 100.0)
        self.assertEqual(len(archive.list_obsolete_submissions(900.0, 3)), 3)
        self.assertEqual(len(archive.list_expired(900.0, 2)), 2)


class PoolTest(unittest.TestCase):
    """Ended jobs of a pool."""

    def finish(self) -> Bench:
        """Return a pool whose only job has ended for good."""
        bench = Bench(FIRST)
        bench.pool.add_job(make_job())
        (order,) = bench.start()
        bench.end(order, EndCause.DONE, 1, FIRST)
        bench.record()
        bench.advance(0.1)
        return bench

    def test_an_ended_job_is_archived_once_its_end_is_durable(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job())
        (order,) = bench.start()
        bench.end(order, EndCause.DONE, 1, FIRST)
        bench.advance(0.1)
        self.assertIn(JOB, bench.pool.jobs)
        bench.record()
        bench.advance(0.1)
        self.assertNotIn(JOB, bench.pool.jobs)
        self.assertIs(bench.pool.get_state(JOB), JobState.COMPLETED)

    def test_a_repeated_submission_starts_nothing(self) -> None:
        bench = self.finish()
        self.assertFalse(bench.pool.add_job(make_job()))
        self.assertEqual(bench.dispatch(), [])

    def test_a_cancelled_job_is_archived_after_its_last_run(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job())
        (order,) = bench.start()
        bench.poll(FIRST, [RunStatus(order.task, order.number, "", 5.0)])
        bench.pool.cancel_job(JOB)
        bench.record()
        bench.advance(0.1)
        self.assertIn(JOB, bench.pool.jobs)
        bench.poll(FIRST, [], [RunEnd(1, order.task, order.number, EndCause.STOPPED)])
        batch = bench.pool.recorder.take_batch(10)
        self.assertEqual(batch.progress[JOB], JobProgress(JobState.CANCELLED.value))
        bench.pool.recorder.note_recorded(batch)
        bench.advance(0.1)
        self.assertIn(JOB, bench.pool.archive)

    def test_a_job_cancelled_before_its_submission_arrives_never_starts(self) -> None:
        bench = Bench(FIRST)
        self.assertFalse(bench.pool.cancel_job(JOB))
        bench.pool.add_job(make_job())
        self.assertEqual([e for e in bench.dispatch() if isinstance(e, StartRun)], [])
        self.assertIs(bench.pool.get_state(JOB), JobState.CANCELLED)

    def test_progress_is_final_only_without_runs(self) -> None:
        run = RecordedRuns("w1", 1, [(0, 1)])
        rows = (
            (JobProgress("running"), False),
            (JobProgress("completed"), True),
            (JobProgress("cancelled", {"0.0": StepProgress(runs=[run])}), False),
        )
        for progress, final in rows:
            with self.subTest(progress=progress):
                self.assertEqual(progress.is_final(), final)


if __name__ == "__main__":
    unittest.main()
