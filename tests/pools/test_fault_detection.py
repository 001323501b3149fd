"""Tests of the detection of faulty workers, stalled runs and stragglers."""

import unittest

from lavenderstall.identifiers import JobId
from lavenderstall.pools.fault_detection import EndHistory, is_stalled, is_straggling
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import Run
from lavenderstall.pools.work import EndCause, Task
from tests.pools.builders import JOB, make_step

STEP = make_step(expected_ms=1000)


def make_run(confirmed: float, seen: float, percent: float, changed: float) -> Run:
    """Return a run with its progress as last reported."""
    run = Run(Task(JOB, 0, 0, 0), 1, WorkerKey("w1", 1), confirmed)
    run.confirmed_at = confirmed
    run.reported_at = seen
    run.percent = percent
    run.percent_changed_at = changed
    return run


class EndHistoryTest(unittest.TestCase):
    """Ends that show a faulty worker, and those that do not."""

    def test_failures_of_several_jobs_show_a_faulty_worker(self) -> None:
        done, failed = EndCause.DONE, EndCause.FAILED
        rows = (
            ((("a", failed), ("b", failed)), True),
            ((("a", failed), ("a", failed), ("a", failed)), False),
            ((("a", failed), ("b", failed), ("c", done), ("c", done), ("c", done)), False),
            ((("a", failed), ("b", failed), ("c", done), ("d", done)), True),
            ((("a", EndCause.LEASE_EXPIRED), ("b", EndCause.STOPPED)), False),
        )
        for ends, faulty in rows:
            with self.subTest(ends=ends):
                record = EndHistory()
                for job, cause in ends:
                    record.note(1.0, JobId(job), cause)
                self.assertEqual(record.is_faulty(2.0), faulty)

    def test_old_failures_do_not_count(self) -> None:
        record = EndHistory()
        for job in "ab":
            record.note(1.0, JobId(job), EndCause.FAILED)
        self.assertFalse(record.is_faulty(60.0))


class RunTest(unittest.TestCase):
    """Stalled runs and stragglers."""

    def test_a_run_without_progress_is_stalled(self) -> None:
        rows = ((10.0, 12.5, 40.0, 10.0, True), (10.0, 12.5, 40.0, 12.0, False))
        rows = (*rows, (10.0, 11.0, 0.0, 10.0, False), (10.0, 15.0, 100.0, 10.0, False))
        for confirmed, seen, percent, changed, stalled in rows:
            with self.subTest(seen=seen, percent=percent):
                run = make_run(confirmed, seen, percent, changed)
                self.assertEqual(is_stalled(run, STEP, seen), stalled)

    def test_paced_and_long_running_runs_are_never_stalled(self) -> None:
        run = make_run(10.0, 20.0, 40.0, 10.0)
        self.assertFalse(is_stalled(run, make_step(long_running=True), 20.0))
        run.pace = 0
        self.assertFalse(is_stalled(run, STEP, 20.0))

    def test_a_run_that_is_far_too_slow_is_a_straggler(self) -> None:
        rows = (
            (1.0, 50.0, False),
            (1.0, 25.0, False),
            (1.0, 10.0, True),
            (0.3, 1.0, False),
            (5.0, 0.0, True),
        )
        for worked, percent, straggles in rows:
            with self.subTest(worked=worked, percent=percent):
                run = make_run(10.0, 10.0 + worked, percent, 10.0 + worked)
                self.assertEqual(is_straggling(run, STEP), straggles)


if __name__ == "__main__":
    unittest.main()
