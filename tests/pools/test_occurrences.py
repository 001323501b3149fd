"""Tests of jobs with many occurrences that are due."""

import sys
import unittest
from collections.abc import Callable
from itertools import count
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from lavenderstall.identifiers import JobId
from lavenderstall.pools.effects import RunEnd, RunStatus, StartRun
from lavenderstall.pools.job import AcceptedJob
from lavenderstall.pools.occurrence_opening import MAX_WAITING_TASKS
from lavenderstall.pools.occurrences import Occurrences
from lavenderstall.pools.ranges import RangeSet
from lavenderstall.pools.waiting_steps import list_waiting_steps
from lavenderstall.pools.work import EndCause, JobSpec, JobState, Repeat, Step
from lavenderstall.resources import Resources
from tests.pools.builders import JOB, Bench, make_entry, make_job, make_queue, make_step

MINUTE_MS = 60_000
UNIX_MS = 10**9 * 1000
WORKERS = tuple(make_entry(f"w{number}", capacity=Resources(16_000, 64_000)) for number in range(4))
SMALL = Resources(100, 100)


def make_backlog(due: int, *steps: Step, job: JobId = JOB, total: int = 10**12) -> AcceptedJob:
    """Return a job with so many occurrences that are due by now, one a minute."""
    repeat = Repeat(total, UNIX_MS - (due - 1) * MINUTE_MS, MINUTE_MS)
    found = steps or (make_step(need=SMALL, expected_ms=100),)
    return AcceptedJob(job, make_queue(), JobSpec("payload", found, repeat), UNIX_MS)


class Backlog:
    """A pool with jobs whose occurrences are due, and workers that end tasks after some rounds."""

    def __init__(self, *jobs: AcceptedJob) -> None:
        self.bench = Bench(*WORKERS)
        self.bench.pool.advance(self.bench.now, UNIX_MS)
        for job in jobs:
            self.bench.pool.add_job(job)
        self._runs: dict[str, list[StartRun]] = {entry.id: [] for entry in WORKERS}
        self._seqs = {entry.id: count(1) for entry in WORKERS}

    def run_round(self) -> list[StartRun]:
        """Start what fits, end up to eight tasks of each worker, and return what has started."""
        bench = self.bench
        bench.now += 0.02
        bench.pool.advance(bench.now, UNIX_MS)
        starts = bench.start()
        for start in starts:
            self._runs[start.worker.id].append(start)
        for entry in WORKERS:
            runs = self._runs[entry.id]
            ended, self._runs[entry.id] = runs[:8], runs[8:]
            bench.poll(
                entry,
                [RunStatus(run.task, run.number, "", 10.0) for run in self._runs[entry.id]],
                [
                    RunEnd(next(self._seqs[entry.id]), run.task, run.number, EndCause.DONE)
                    for run in ended
                ],
            )
        return starts


def count_calls(function: Callable[[], Any]) -> int:
    """Return how many calls a function makes, which doesn't depend on the machine."""
    calls = 0

    def note(frame: Any, event: str, arg: Any) -> None:
        nonlocal calls
        calls += event in {"call", "c_call"}

    sys.setprofile(note)
    try:
        function()
    finally:
        sys.setprofile(None)
    return calls


class BacklogTest(unittest.TestCase):
    """What an owner does while far more occurrences are due than can run."""

    ROUNDS = 12

    def measure(self, due: int, jobs: int) -> int:
        """Return the calls of some rounds, once as much runs as fits."""
        rows = [make_backlog(due, job=JobId(f"{number:016x}")) for number in range(jobs)]
        backlog = Backlog(*rows)
        for _ in range(self.ROUNDS):
            backlog.run_round()
        return count_calls(lambda: [backlog.run_round() for _ in range(self.ROUNDS)])

    def test_a_pass_costs_the_same_however_many_occurrences_are_due(self) -> None:
        """Fails if an owner is busy for longer the more occurrences of a job are due."""
        for jobs in (1, 5):
            with self.subTest(jobs=jobs):
                few = self.measure(2_000, jobs)
                self.assertLess(self.measure(50_000, jobs), 1.1 * few)

    def test_a_dispatch_looks_at_few_of_them(self) -> None:
        """Fails if the steps that are sorted in each dispatch grow with what is due."""
        for jobs in (1, 5, 40):
            with self.subTest(jobs=jobs):
                rows = [make_backlog(5_000, job=JobId(f"{n:016x}")) for n in range(jobs)]
                backlog = Backlog(*rows)
                for _ in range(self.ROUNDS):
                    waiting = list_waiting_steps(backlog.bench.pool)
                    self.assertLessEqual(len(waiting), MAX_WAITING_TASKS + jobs)
                    self.assertTrue(backlog.run_round())

    def test_other_jobs_start_at_once(self) -> None:
        """Fails if a job waits behind the occurrences of another one."""
        backlog = Backlog(make_backlog(50_000))
        for number in range(self.ROUNDS):
            job = JobId(f"{number + 1:016x}")
            backlog.bench.pool.add_job(make_job(make_step(need=SMALL), job=job))
            started = {start.task.job for start in backlog.run_round()}
            self.assertIn(job, started)

    def test_each_of_several_repeated_jobs_runs(self) -> None:
        """Fails if a job has nothing running until all earlier ones are done."""
        jobs = [JobId(f"{number:016x}") for number in range(20)]
        backlog = Backlog(*(make_backlog(50_000, job=job) for job in jobs))
        started: set[JobId] = set()
        for _ in range(4):
            started |= {start.task.job for start in backlog.run_round()}
        self.assertEqual(started, set(jobs))

    def test_all_occurrences_are_done_in_the_end(self) -> None:
        """Fails if occurrences are passed over while others are open."""
        steps = (
            (make_step(need=SMALL),),
            (make_step(2, need=SMALL), make_step(need=SMALL, after=(0,))),
            (make_step(3, need=SMALL, gang=True),),
        )
        for found in steps:
            with self.subTest(steps=len(found)):
                backlog = Backlog(make_backlog(900, *found, total=900))
                job = backlog.bench.pool.jobs[JOB]
                for _ in range(1000):
                    backlog.run_round()
                    if job.state is JobState.COMPLETED:
                        break
                self.assertIs(job.state, JobState.COMPLETED)
                self.assertEqual(job.make_progress().state, "completed")

    def test_a_new_owner_goes_on_with_what_is_open(self) -> None:
        """Fails if occurrences that an earlier owner had open or done are lost or run again."""
        backlog = Backlog(make_backlog(2_000, total=2_000))
        for _ in range(self.ROUNDS):
            backlog.run_round()
        row = backlog.bench.pool.jobs[JOB].row
        progress = backlog.bench.pool.jobs[JOB].make_progress()
        successor = Bench(*WORKERS, term=2)
        successor.pool.advance(successor.now, UNIX_MS)
        successor.pool.add_job(replace(row), progress, inherited=True)
        before, job = backlog.bench.pool.jobs[JOB], successor.pool.jobs[JOB]
        self.assertEqual(job.occurrences.list_done(), before.occurrences.list_done())
        running = {run.task.occurrence for run in before.list_runs()}
        self.assertLessEqual(running, set(job.occurrences.list_open()))

    def test_occurrences_are_late_by_their_own_times(self) -> None:
        """Fails if the later occurrences of a job all count as worthless."""
        bench = Bench(*WORKERS)
        bench.pool.advance(bench.now, UNIX_MS)
        bench.pool.add_job(make_backlog(1, total=3))
        bench.pool.advance(bench.now + 61.0, UNIX_MS + 61_000)
        bench.pool.occurrences.open_due()
        expired = {w.step_key.occurrence: w.expired for w in list_waiting_steps(bench.pool)}
        self.assertEqual(expired, {0: True, 1: False})


class OccurrencesTest(unittest.TestCase):
    """Comparison with plain sets."""

    @given(
        st.integers(1, 30),
        st.sets(st.integers(0, 29)),
        st.lists(st.tuples(st.sampled_from(("open", "done", "found")), st.integers(0, 29))),
    )
    def test_each_occurrence_is_opened_once_and_in_order(
        self, total: int, done: set[int], events: list[tuple[str, int]]
    ) -> None:
        ranges = RangeSet()
        for number in done:
            if number < total:
                ranges.add(number)
        found = Occurrences(Repeat(total, 0, 1), ranges)
        finished, opened = {n for n in done if n < total}, set[int]()
        for event, number in events:
            if event == "open":
                missing = [n for n in range(total) if n not in finished | opened]
                expected = missing[0] if missing else None
                self.assertEqual(found.open_next(total), expected)
                opened |= set(missing[:1])
            elif number < total and event == "done":
                found.note_done(number)
                finished.add(number)
                opened.discard(number)
            elif number < total:
                found.note_open(number)
                opened |= {number} - finished
            self.assertEqual(set(found.list_open()), opened)
            self.assertEqual(found.are_done(), len(finished) == total)


if __name__ == "__main__":
    unittest.main()
