"""Tests of the size of durable progress, and of what it leaves out."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from lavenderstall.decoding import UnreadableError
from lavenderstall.identifiers import JobId
from lavenderstall.pools.effects import RunEnd, RunStatus, StartRun
from lavenderstall.pools.job import (
    MAX_PROGRESS_BYTES,
    STARTED_TASK_BYTES,
    AcceptedJob,
    Job,
)
from lavenderstall.pools.occurrence_opening import MAX_OPEN_TASKS
from lavenderstall.pools.progress import (
    JobProgress,
    RecordedLateStart,
    StepProgress,
    check_progress,
)
from lavenderstall.pools.records import decode_progress, encode, encode_progress
from lavenderstall.pools.work import (
    MAX_LASTING_TASKS,
    EndCause,
    InvalidJobError,
    JobSpec,
    JobState,
    Repeat,
    Step,
    Task,
    check_job,
)
from lavenderstall.resources import Resources
from tests.pools.builders import JOB, Bench, make_entry, make_job, make_queue, make_step

WORKER = make_entry("w1", capacity=Resources(10**9, 10**9))
CHECKPOINT = "0123456789abcdef"
# Size of a row's value, below which the progress of any job of the platform's sites stays.
ROW_BYTES = 48 * 1024
OCCURRENCES, WIDTH, STEPS = 14, 56, 5


def make_repeated(count: int, *steps: Step, interval_ms: int = 0) -> AcceptedJob:
    """Return a job whose occurrences are due at an interval."""
    spec = JobSpec("payload", steps, Repeat(count, 0, interval_ms))
    return replace(make_job(), spec=spec)


def end_all(bench: Bench, orders: list[StartRun], seq: int, cause: EndCause = EndCause.DONE) -> int:
    """Let the worker report checkpoints and then the ends of some runs; return the last number."""
    bench.poll(WORKER, [RunStatus(o.task, o.number, CHECKPOINT, 50.0) for o in orders])
    ends = [RunEnd(seq + n, o.task, o.number, cause) for n, o in enumerate(orders, start=1)]
    bench.poll(WORKER, [], ends)
    return seq + len(orders)


class SizeTest(unittest.TestCase):
    """Progress of jobs with many tasks."""

    def test_a_scheduled_job_does_not_outgrow_its_row(self) -> None:
        """Fails if what is done stays in the row, until the store rejects it."""
        bench = Bench(WORKER)
        steps = [make_step(WIDTH, checkpointing=True)]
        steps += [make_step(WIDTH, checkpointing=True, after=(n,)) for n in range(STEPS - 1)]
        bench.pool.add_job(make_repeated(OCCURRENCES, *steps))
        sizes, seq = [], 0
        while bench.pool.jobs[JOB].state is not JobState.COMPLETED:
            orders = bench.start()
            self.assertTrue(orders)
            bench.poll(WORKER, [RunStatus(o.task, o.number, CHECKPOINT, 50.0) for o in orders])
            sizes.append(len(encode(bench.pool.jobs[JOB].make_progress())))
            seq = end_all(bench, orders, seq)
            sizes.append(len(encode(bench.pool.jobs[JOB].make_progress())))
        self.assertEqual(seq, OCCURRENCES * WIDTH * STEPS)
        self.assertLess(max(sizes), ROW_BYTES)

    def test_occurrences_that_are_due_at_once_are_opened_in_turn(self) -> None:
        """Fails if a job that is accepted takes memory and progress for all its occurrences."""
        bench = Bench(WORKER)
        width = 400
        bench.pool.add_job(make_repeated(100_000, make_step(width)))
        bench.start()
        job = bench.pool.jobs[JOB]
        self.assertLessEqual(len(job.steps) * width, MAX_OPEN_TASKS)
        self.assertLess(len(encode(job.make_progress())), MAX_PROGRESS_BYTES)

    def test_occurrences_of_many_jobs_are_opened_in_turn(self) -> None:
        """Fails if the memory of an instance grows with the number of jobs whose times are due."""
        bench = Bench(WORKER)
        jobs = [JobId(f"{number:016x}") for number in range(12)]
        steps = [make_step(40), *(make_step(40, after=(number,)) for number in range(4))]
        for job in jobs:
            bench.pool.add_job(replace(make_repeated(100_000, *steps), id=job))
        bench.advance(1.0)
        opened = [bench.pool.jobs[job].count_open_tasks() for job in jobs]
        self.assertGreaterEqual(min(opened), 200)
        self.assertLessEqual(sum(opened), MAX_OPEN_TASKS + len(jobs) * 200)
        for _ in range(40):
            bench.start()
        started = [bench.pool.jobs[job].count_open_tasks() for job in jobs]
        for job, before, after in zip(jobs, opened, started, strict=True):
            self.assertGreater(after, before, job)
        self.assertLessEqual(sum(started), MAX_OPEN_TASKS + len(jobs) * 200)

    def test_tasks_wait_while_the_progress_of_their_job_is_large(self) -> None:
        """Fails if more tasks start than a transaction can record."""
        bench = Bench(WORKER)
        bench.pool.add_job(make_job(*(make_step(5000) for _ in range(4))))
        limit = MAX_PROGRESS_BYTES // STARTED_TASK_BYTES
        started = len(bench.start())
        self.assertLessEqual(started, limit)
        self.assertGreater(started, limit // 2)
        seq = 0
        while bench.pool.jobs[JOB].state is JobState.RUNNING:
            orders = [
                StartRun(run.worker, run.task, run.number, "", 0)
                for run in bench.pool.jobs[JOB].list_runs()
            ]
            seq = end_all(bench, orders, seq)
            self.assertLess(
                len(encode(bench.pool.jobs[JOB].make_progress())), 2 * MAX_PROGRESS_BYTES
            )
            bench.start()
        self.assertIs(bench.pool.jobs[JOB].state, JobState.COMPLETED)

    def test_a_gang_of_any_size_starts(self) -> None:
        bench = Bench(WORKER)
        bench.pool.add_job(make_job(make_step(5000, gang=True)))
        self.assertEqual(len(bench.start()), 5000)
        bench.pool.add_job(make_job(make_step(2), job=JobId("2" * 16)))
        self.assertEqual(len(bench.start()), 2)

    def test_more_lasting_tasks_than_can_be_kept_are_rejected(self) -> None:
        lasting = make_step(MAX_LASTING_TASKS, long_running=True)
        check_job(JobSpec("payload", (lasting,)))
        for spec in (JobSpec("payload", (lasting, lasting)), make_repeated(2, lasting).spec):
            with self.assertRaises(InvalidJobError):
                check_job(spec)


class OccurrenceTest(unittest.TestCase):
    """Occurrences of which nothing is kept but that they are done."""

    def make_bench(self, count: int = 4) -> tuple[Bench, list[StartRun]]:
        """Return a pool in which the first occurrence of a job is done."""
        bench = Bench(WORKER)
        step = make_step(2, speculative=True)
        bench.pool.add_job(make_repeated(count, step, make_step(2, after=(0,))))
        first = [order for order in bench.start() if order.task.occurrence == 0]
        end_all(bench, first, 0)
        second = [order for order in bench.start() if order.task.occurrence == 0]
        end_all(bench, second, len(first))
        bench.record()
        return bench, [*first, *second]

    def test_a_successor_starts_no_task_of_a_done_occurrence(self) -> None:
        """Fails if tasks run twice after a change of owners."""
        bench, done = self.make_bench()
        self.assertEqual(len(done), 4)
        row = bench.pool.jobs[JOB].make_progress()
        self.assertEqual(row.done_occurrences, [(0, 1)])
        self.assertNotIn("0.0", row.steps)
        check_progress(row, bench.pool.jobs[JOB].spec)
        successor = Bench(WORKER, term=2)
        successor.pool.add_job(bench.pool.jobs[JOB].row, decode_progress(encode(row)))
        orders = [*successor.start(), *successor.start()]
        self.assertNotIn(0, {order.task.occurrence for order in orders})
        self.assertTrue(successor.pool.jobs[JOB].is_step_done(0, 1))

    def test_a_run_of_a_done_occurrence_is_stopped_and_starts_nothing(self) -> None:
        """Fails if a late start is taken for work of the job."""
        bench, done = self.make_bench()
        stray = done[0].task
        bench.poll(WORKER, [RunStatus(stray, 900, CHECKPOINT, 5.0)])
        run = bench.pool.workers[done[0].worker].runs[stray, 900]
        self.assertTrue(run.stopping)
        bench.poll(WORKER, [], [RunEnd(99, stray, 900, EndCause.FAILED)])
        self.assertNotIn(0, {order.task.occurrence for order in bench.start()})
        bench.record()
        self.assertNotIn((0, 0), bench.pool.jobs[JOB].steps)

    def test_a_job_is_completed_once_all_occurrences_are_done(self) -> None:
        bench, done = self.make_bench(count=2)
        seq = len(done)
        while bench.pool.jobs[JOB].state is JobState.RUNNING:
            live = [
                StartRun(run.worker, run.task, run.number, "", 0)
                for run in bench.pool.jobs[JOB].list_runs()
            ]
            seq = end_all(bench, live, seq)
            bench.start()
        self.assertIs(bench.pool.jobs[JOB].state, JobState.COMPLETED)


class RowTest(unittest.TestCase):
    """What is written and read back."""

    @given(st.sets(st.integers(0, 199)))
    def test_done_tasks_are_read_back(self, done: set[int]) -> None:
        progress = StepProgress(done=set(done), failures={3: [1]})
        found = progress.make_row(200).read_row(200)
        self.assertEqual(found.done, done)
        self.assertEqual(found.failures, {3: [1]} if len(done) < 200 else {})

    @given(st.sets(st.integers(0, 199)))
    def test_tasks_that_last_and_were_placed_are_read_back(self, tasks: set[int]) -> None:
        """Fails if a successor takes tasks that last for new ones once they have no run."""
        spec = make_job(make_step(200, long_running=True))
        job = Job(spec, 0.0, None)
        for number in tasks:
            job.end_run(Task(JOB, 0, 0, number), 1, EndCause.LOST, make_queue())
        row = encode(job.make_progress())
        successor = Job(spec, 0.0, decode_progress(row))
        found = {number for number in range(200) if successor.has_lasted(Task(JOB, 0, 0, number))}
        self.assertEqual(found, tasks)
        self.assertLess(len(row), 100)

    def test_what_a_done_task_needed_to_run_again_is_dropped(self) -> None:
        """Fails if checkpoints and failures of done tasks stay for as long as the job goes on."""
        job = Job(make_job(make_step(3, checkpointing=True)), 0.0, None)
        task = Task(JOB, 0, 0, 1)
        job.record_checkpoint(task, 1, CHECKPOINT)
        job.end_run(task, 1, EndCause.FAILED, make_queue(max_attempts=3))
        job.end_run(task, 2, EndCause.DONE, make_queue())
        job.record_checkpoint(task, 2, CHECKPOINT)
        self.assertEqual(job.make_progress().steps, {"0.0": StepProgress(done={1})})

    @given(st.integers(1, 3000), st.integers(64, 4000))
    def test_progress_is_read_back_from_its_parts(self, tasks: int, limit: int) -> None:
        checkpoints = dict.fromkeys(range(tasks), (1, CHECKPOINT))
        progress = JobProgress("running", {"0.0": StepProgress(checkpoints=checkpoints)})
        rows = encode_progress(JOB, progress, limit)
        self.assertLessEqual(max(map(len, rows.values())), limit)
        parts = {key: value for key, value in rows.items() if key != JOB}
        self.assertEqual(decode_progress(rows[JOB], JOB, parts), progress)
        self.assertEqual(decode_progress(rows[JOB]).state, "running")

    def test_the_progress_of_an_ended_job_is_one_row(self) -> None:
        """Fails if parts of it are left over once the row is deleted."""
        for starts, kept in ((1, True), (400, False)):
            with self.subTest(starts=starts):
                late = [RecordedLateStart("w1", index, 1, 1) for index in range(starts)]
                progress = JobProgress("completed", {"0.0": StepProgress(late=late)})
                rows = encode_progress(JOB, progress, 500)
                self.assertEqual(list(rows), [JOB])
                self.assertEqual(bool(decode_progress(rows[JOB]).steps), kept)

    def test_progress_of_which_a_part_is_missing_is_unreadable(self) -> None:
        """Fails if a job whose parts are lost runs again from its start."""
        checkpoints = dict.fromkeys(range(99), (1, CHECKPOINT))
        progress = JobProgress("running", {"0.0": StepProgress(checkpoints=checkpoints)})
        rows = encode_progress(JOB, progress, 500)
        parts = {key: value for key, value in rows.items() if key != JOB}
        for missing in parts:
            left = {key: value for key, value in parts.items() if key != missing}
            with self.assertRaises(UnreadableError):
                decode_progress(rows[JOB], JOB, left)
        with self.assertRaises(UnreadableError):
            decode_progress(rows[JOB], JOB, {})


if __name__ == "__main__":
    unittest.main()
