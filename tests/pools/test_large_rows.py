"""Tests of rows and transactions that are larger than the store accepts."""

import unittest

from lavenderstall.identifiers import JobId
from lavenderstall.pools.effects import RunStatus
from lavenderstall.pools.ports import StoreLimits
from lavenderstall.pools.progress import JobProgress
from lavenderstall.pools.records import (
    OWNERS,
    PROGRESS,
    ROSTER_KEY,
    decode_progress,
    decode_roster,
)
from lavenderstall.pools.row_parts import is_part_key
from lavenderstall.pools.work import JobState
from lavenderstall.resources import Resources
from tests.pools.builders import CORE, JOB, make_entry, make_job, make_step
from tests.pools.rowstore import FakeRowStore
from tests.pools.test_writer import Owner

SMALL = StoreLimits(value_bytes=2000, transaction_bytes=40_000, entries=40)
TINY = StoreLimits(value_bytes=2000, transaction_bytes=10_000, entries=20)
LARGE_JOB, OTHER_JOB = JobId("1" * 16), JobId("2" * 16)
TASKS = 100
ROOM = Resources(10**9, 10**9)
STEPS = 40


def make_owner(limits: StoreLimits | None = None, workers: int = 1) -> tuple[Owner, FakeRowStore]:
    """Return the owner of a pool on a store with small limits; it may not know them."""
    rows = FakeRowStore()
    rows.limits = SMALL
    owner = Owner(rows, limits=limits)
    owner.bench.register(*(make_entry(f"w{n}", capacity=ROOM) for n in range(workers)))
    return owner, rows


def read_progress(rows: FakeRowStore, job: JobId) -> JobProgress:
    """Return the durable progress of a job, with its parts."""
    found = {key: row.value for (table, _, key), row in rows.rows.items() if table == PROGRESS}
    return decode_progress(found[job], job, found)


def list_parts(rows: FakeRowStore, table: str) -> list[str]:
    """Return the keys of the rows that are parts of others."""
    return [key for name, _, key in rows.rows if name == table and is_part_key(key)]


def save_checkpoints(owner: Owner, job: JobId, text: str) -> None:
    """Let the worker report a checkpoint of each of its runs of a job."""
    worker = next(iter(owner.bench.pool.workers.values()))
    running = [
        RunStatus(task, number, text if task.job == job else "", 5.0)
        for task, number in worker.runs
    ]
    owner.bench.poll(worker.entry, running)
    owner.bench.pool.recorder.mark_changed(job)


def start_all(owner: Owner) -> None:
    """Place all tasks, and record them until nothing changes any more."""
    owner.bench.dispatcher.dispatch(4, 4)
    for _ in range(STEPS):
        owner.step()


class PartsTest(unittest.TestCase):
    """Progress that doesn't fit one row."""

    def test_progress_is_kept_in_parts_while_it_is_large(self) -> None:
        """Fails if the store rejects progress that is larger than a row."""
        owner, rows = make_owner()
        owner.bench.pool.add_job(make_job(make_step(TASKS, checkpointing=True), job=LARGE_JOB))
        start_all(owner)
        save_checkpoints(owner, LARGE_JOB, "c" * 60)
        owner.step()
        self.assertGreater(len(list_parts(rows, PROGRESS)), 2)
        found = read_progress(rows, LARGE_JOB).steps["0.0"]
        self.assertEqual(len(found.checkpoints), TASKS)
        owner.bench.pool.cancel_job(LARGE_JOB)
        worker = next(iter(owner.bench.pool.workers.values()))
        for task, number in list(worker.runs):
            worker.drop_run(task, number, CORE)
            owner.bench.pool.jobs[LARGE_JOB].steps[0, 0].active_runs.pop(task.number)
        owner.bench.pool.recorder.mark_changed(LARGE_JOB)
        owner.step()
        progress = read_progress(rows, LARGE_JOB)
        expected = JobProgress("cancelled", recorded_ms=progress.recorded_ms)
        self.assertEqual(progress, expected)
        self.assertEqual(list_parts(rows, PROGRESS), [])

    def test_parts_of_a_write_that_was_applied_unheard_are_deleted(self) -> None:
        """Fails if parts of progress that was larger stay behind for ever."""
        owner, rows = make_owner()
        owner.bench.pool.add_job(make_job(make_step(TASKS, checkpointing=True), job=LARGE_JOB))
        start_all(owner)
        save_checkpoints(owner, LARGE_JOB, "c" * 60)
        rows.drop_responses = True
        owner.step()
        rows.drop_responses = False
        many = len(list_parts(rows, PROGRESS))
        owner.bench.pool.jobs[LARGE_JOB].omits_checkpoints = True
        owner.bench.pool.recorder.mark_changed(LARGE_JOB)
        for _ in range(3):
            owner.step()
        left = list_parts(rows, PROGRESS)
        self.assertLess(len(left), many)
        self.assertEqual(read_progress(rows, LARGE_JOB).steps["0.0"].checkpoints, {})

    def test_a_roster_of_many_workers_is_kept_in_parts(self) -> None:
        """Fails if a pool stops once its workers don't fit one row."""
        owner, rows = make_owner(workers=40)
        owner.bench.pool.add_job(make_job(make_step(4), job=OTHER_JOB))
        start_all(owner)
        found = {key: row.value for (table, _, key), row in rows.rows.items() if table == OWNERS}
        self.assertGreater(len(list_parts(rows, OWNERS)), 1)
        self.assertEqual(len(decode_roster(found[ROSTER_KEY], found).workers), 40)
        self.assertIn(OTHER_JOB, {key for table, _, key in rows.rows if table == PROGRESS})


class RejectionTest(unittest.TestCase):
    """Progress that the store rejects."""

    def add_jobs(self, owner: Owner, count: int) -> list[JobId]:
        """Add jobs of which each starts a task."""
        jobs = [JobId(f"{number:016x}") for number in range(count)]
        for job in jobs:
            owner.bench.pool.add_job(make_job(make_step(2), job=job))
        return jobs

    def test_many_jobs_are_recorded_in_several_transactions(self) -> None:
        """Fails if a batch exceeds the entries or the size of a transaction."""
        owner, rows = make_owner()
        jobs = self.add_jobs(owner, 60)
        start_all(owner)
        for job in jobs:
            self.assertTrue(read_progress(rows, job).steps["0.0"].runs)

    def test_progress_that_no_transaction_can_hold_stops_no_other_job(self) -> None:
        """Fails if one job keeps its pool from recording anything."""
        for limits in (SMALL, StoreLimits()):
            with self.subTest(known=limits is SMALL):
                owner, rows = make_owner(limits)
                owner.bench.pool.add_job(
                    make_job(make_step(TASKS, checkpointing=True), job=LARGE_JOB)
                )
                start_all(owner)
                save_checkpoints(owner, LARGE_JOB, "c" * 1000)
                jobs = self.add_jobs(owner, 20)
                start_all(owner)
                for job in jobs:
                    self.assertTrue(read_progress(rows, job).steps["0.0"].runs)
                state = owner.bench.pool.get_state(LARGE_JOB)
                if limits is SMALL:
                    self.assertIs(state, JobState.RUNNING)
                    self.assertEqual(len(read_progress(rows, LARGE_JOB).steps["0.0"].runs), 1)

    def test_a_job_whose_progress_never_fits_is_failed(self) -> None:
        """Fails if such a job stays as it is, and its ends are never acknowledged."""
        owner, rows = make_owner()
        rows.limits = owner.writer._limits = TINY
        tasks = 4000
        owner.bench.pool.add_job(make_job(make_step(tasks, gang=True, need=CORE), job=JOB))
        jobs = self.add_jobs(owner, 5)
        start_all(owner)
        self.assertIs(owner.bench.pool.get_state(JOB), JobState.FAILED)
        progress = read_progress(rows, JOB)
        expected = JobProgress("failed", recorded_ms=progress.recorded_ms)
        self.assertEqual(progress, expected)
        for job in jobs:
            self.assertTrue(read_progress(rows, job).steps["0.0"].runs)


if __name__ == "__main__":
    unittest.main()
