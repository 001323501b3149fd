"""Tests of the state of a job."""

import unittest

from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import Job, Run
from lavenderstall.pools.progress import JobProgress
from lavenderstall.pools.work import (
    EndCause,
    InvalidJobError,
    JobSpec,
    JobState,
    Repeat,
    Step,
    Task,
    check_job,
)
from tests.pools.builders import JOB, make_job, make_queue, make_step

WORKER = WorkerKey("w1", 1)


def run_task(job: Job, step: int, index: int, number: int) -> Task:
    """Add a run of a task."""
    task = Task(JOB, 0, step, index)
    job.add_run(Run(task, number, WORKER, 0.0))
    return task


class EndTest(unittest.TestCase):
    """Effects of the ends of runs on a job."""

    def test_cause_decides_what_follows(self) -> None:
        rows = (
            # cause, state afterwards, whether the task waits again, failed attempts
            (EndCause.DONE, JobState.COMPLETED, False, 0),
            (EndCause.FAILED, JobState.RUNNING, True, 1),
            (EndCause.STOPPED, JobState.RUNNING, True, 0),
            (EndCause.LEASE_EXPIRED, JobState.RUNNING, True, 0),
            (EndCause.LOST, JobState.RUNNING, True, 0),
            (EndCause.BROKEN, JobState.RUNNING, True, 0),
            (EndCause.ALONE, JobState.RUNNING, True, 0),
        )
        for cause, state, waits, attempts in rows:
            with self.subTest(cause=cause):
                job = Job(make_job(), 0.0, None)
                task = run_task(job, 0, 0, 1)
                job.end_run(task, 1, cause, make_queue())
                step = job.get_step(0, 0)
                self.assertIs(job.state, state)
                self.assertEqual(0 in step.waiting, waits)
                self.assertEqual(len(step.progress.failures.get(0, [])), attempts)

    def test_same_failure_counts_once(self) -> None:
        job = Job(make_job(), 0.0, None)
        task = run_task(job, 0, 0, 1)
        self.assertTrue(job.end_run(task, 1, EndCause.FAILED, make_queue()))
        self.assertFalse(job.end_run(task, 1, EndCause.FAILED, make_queue()))
        self.assertIs(job.state, JobState.RUNNING)

    def test_last_attempt_fails_the_job(self) -> None:
        job = Job(make_job(), 0.0, None)
        for number in (1, 2):
            job.end_run(run_task(job, 0, 0, number), number, EndCause.FAILED, make_queue())
        self.assertIs(job.state, JobState.FAILED)

    def test_attempts_survive_a_change_of_owner(self) -> None:
        job = Job(make_job(), 0.0, None)
        job.end_run(run_task(job, 0, 0, 1), 1, EndCause.FAILED, make_queue())
        successor = Job(make_job(), 0.0, job.make_progress())
        successor.end_run(Task(JOB, 0, 0, 0), 1, EndCause.FAILED, make_queue())
        self.assertIs(successor.state, JobState.RUNNING)
        successor.end_run(run_task(successor, 0, 0, 1001), 1001, EndCause.FAILED, make_queue())
        self.assertIs(successor.state, JobState.FAILED)

    def test_long_running_task_never_exhausts_attempts(self) -> None:
        job = Job(make_job(make_step(long_running=True)), 0.0, None)
        for number, cause in enumerate((EndCause.FAILED, EndCause.DONE, EndCause.FAILED), start=1):
            job.end_run(run_task(job, 0, 0, number), number, cause, make_queue())
            self.assertIn(0, job.get_step(0, 0).waiting)
        self.assertIs(job.state, JobState.RUNNING)

    def test_late_end_of_a_lost_run_leaves_the_other_copy(self) -> None:
        job = Job(make_job(), 0.0, None)
        task = run_task(job, 0, 0, 1)
        job.end_run(task, 1, EndCause.LOST, make_queue())
        run_task(job, 0, 0, 2)
        job.end_run(task, 1, EndCause.LEASE_EXPIRED, make_queue())
        self.assertNotIn(0, job.get_step(0, 0).waiting)


class GangTest(unittest.TestCase):
    """Gangs, whose tasks run and end together."""

    def test_one_done_member_ends_all(self) -> None:
        job = Job(make_job(make_step(3, gang=True)), 0.0, None)
        tasks = [run_task(job, 0, index, 1) for index in range(3)]
        job.end_run(tasks[1], 1, EndCause.DONE, make_queue())
        self.assertIs(job.state, JobState.COMPLETED)

    def test_a_gang_counts_one_failure_per_run(self) -> None:
        job = Job(make_job(make_step(3, gang=True)), 0.0, None)
        tasks = [run_task(job, 0, index, 1) for index in range(3)]
        job.end_run(tasks[0], 1, EndCause.FAILED, make_queue())
        job.end_run(tasks[1], 1, EndCause.FAILED, make_queue())
        self.assertIs(job.state, JobState.RUNNING)
        self.assertEqual(job.get_step(0, 0).waiting, set())
        job.end_run(tasks[2], 1, EndCause.BROKEN, make_queue())
        self.assertEqual(job.get_step(0, 0).waiting, {0, 1, 2})

    def test_members_share_the_newest_checkpoint(self) -> None:
        job = Job(make_job(make_step(2, gang=True)), 0.0, None)
        job.record_checkpoint(Task(JOB, 0, 0, 1), 2, "new")
        job.record_checkpoint(Task(JOB, 0, 0, 0), 1, "old")
        self.assertEqual(
            [job.get_checkpoint(Task(JOB, 0, 0, index)) for index in (0, 1)], ["new", "new"]
        )


class StepTest(unittest.TestCase):
    """Dependencies of steps and start times of occurrences."""

    def test_step_is_ready_after_its_last_dependency_is_done(self) -> None:
        job = Job(make_job(make_step(2), make_step(1, after=(0,))), 0.0, None)
        for index, opened in ((0, False), (1, True)):
            job.end_run(run_task(job, 0, index, 1), 1, EndCause.DONE, make_queue())
            self.assertEqual(job.is_step_ready(0, 1), opened)

    def test_occurrences_come_due_at_their_times(self) -> None:
        spec = JobSpec("", (make_step(),), Repeat(3, start_ms=1000, interval_ms=500))
        job = Job(make_job().__class__(JOB, "stops", spec), 0.0, None)
        rows = ((999, []), (1000, [0]), (1499, [0]), (1500, [0, 1]), (9000, [0, 1, 2]))
        for unix_ms, due in rows:
            with self.subTest(unix_ms=unix_ms):
                while job.occurrences.open_next(unix_ms) is not None:
                    pass
                self.assertEqual(job.occurrences.list_open(), due)

    def test_progress_round_trip_keeps_what_is_done(self) -> None:
        job = Job(make_job(make_step(2)), 0.0, None)
        job.end_run(run_task(job, 0, 1, 1), 1, EndCause.DONE, make_queue())
        successor = Job(make_job(make_step(2)), 0.0, job.make_progress())
        self.assertEqual(successor.get_step(0, 0).waiting, {0})


class CheckTest(unittest.TestCase):
    """Errors for malformed jobs."""

    def test_bad_jobs_are_named(self) -> None:
        rows: tuple[tuple[tuple[Step, ...], str], ...] = (
            ((), "1 to"),
            ((make_step(0),), "0 tasks"),
            ((make_step(1, after=(0,)),), "not an earlier"),
            ((make_step(1, after=(-1,)),), "not an earlier"),
        )
        for steps, text in rows:
            with self.subTest(text=text), self.assertRaisesRegex(InvalidJobError, text):
                check_job(JobSpec("", steps))


class CancelTest(unittest.TestCase):
    """Cancelled jobs."""

    def test_cancelled_job_stays_cancelled(self) -> None:
        job = Job(make_job(), 0.0, JobProgress())
        task = run_task(job, 0, 0, 1)
        job.cancel()
        job.end_run(task, 1, EndCause.DONE, make_queue())
        self.assertIs(job.state, JobState.CANCELLED)


if __name__ == "__main__":
    unittest.main()
