"""Tests of the takeover of a pool from an earlier owner."""

import unittest
from itertools import product

from lavenderstall.identifiers import EntryId, JobId
from lavenderstall.pools.dispatch import Dispatcher
from lavenderstall.pools.earlier_owners import LEASE_LIFETIME_S
from lavenderstall.pools.early_reports import MAX_HOLD_S
from lavenderstall.pools.effects import RunEnd, RunStatus, StartRun, StopRun
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.progress import RecordedRuns, StepProgress
from lavenderstall.pools.takeover import MAX_LOGGED, EarlierLeases
from lavenderstall.pools.work import EndCause, JobState, Settings, StepKey, Task
from lavenderstall.pools.workers import MAX_COMMAND_DELAY_S, MAX_LEASE_MS, MIN_CLOCK_RATE
from lavenderstall.resources import NOTHING
from tests.pools.builders import (
    ADVISED,
    CORE,
    JOB,
    POOL,
    Bench,
    JobProgress,
    allow,
    make_entry,
    make_job,
    make_queue,
    make_step,
)

FIRST = make_entry("w1")
SECOND = make_entry("w2")
TASK = Task(JOB, 0, 0, 0)
NEW = JobId("00000000000000b2")
NEW_TASK = Task(NEW, 0, 0, 0)


class TakeoverTest(unittest.TestCase):
    """Takeover of the jobs and runs of an earlier owner."""

    def take_over(
        self, recorded: RecordedRuns | None = None, *, recorded_all: bool = True
    ) -> Bench:
        """Return a pool with two workers that have not reported yet and an inherited job."""
        bench = Bench()
        bench.pool = pool = Pool(POOL, 2, leases_expire_at=bench.now + 10.0, recorded=recorded_all)
        bench.dispatcher = Dispatcher(pool)
        pool.set_settings(Settings(1, (make_queue(),), frozenset(), frozenset({POOL})))
        pool.advance(bench.now, 0.0)
        pool.takeover.add_workers([FIRST, SECOND])
        pool.set_workers([FIRST, SECOND])
        runs = [recorded] if recorded else []
        progress = JobProgress("running", {"0.0": StepProgress(runs=runs)})
        pool.add_job(make_job(), progress, inherited=True)
        return bench

    def test_a_recorded_run_is_kept_until_its_worker_reports(self) -> None:
        bench = self.take_over(RecordedRuns("w2", 1, [(0, 1)]))
        bench.poll(FIRST)
        self.assertEqual(bench.dispatch(), [])
        bench.poll(SECOND)
        self.assertEqual(len([e for e in bench.dispatch() if isinstance(e, StartRun)]), 1)

    def test_a_recorded_run_is_kept_until_its_lease_has_expired(self) -> None:
        for worker in ("w2", "w9"):
            with self.subTest(worker=worker):
                bench = self.take_over(RecordedRuns(worker, 1, [(0, 1)]))
                bench.poll(FIRST)
                bench.advance(9.0)
                bench.poll(FIRST)
                self.assertEqual([e for e in bench.dispatch() if isinstance(e, StartRun)], [])
                bench.advance(2.0)
                bench.poll(FIRST)
                self.assertEqual(len([e for e in bench.dispatch() if isinstance(e, StartRun)]), 1)

    def test_tasks_may_run_on_workers_that_an_unreadable_roster_lists(self) -> None:
        """Fails if a task is started again before such a worker's lease must have lapsed."""
        for recorded_all, blocked in ((True, False), (False, True)):
            with self.subTest(recorded_all=recorded_all):
                bench = self.take_over(recorded_all=recorded_all)
                bench.pool.takeover.note_unknown_workers()
                bench.pool.add_job(make_job(make_step(2), job=NEW))
                bench.poll(FIRST)
                bench.poll(SECOND)
                bench.advance(9.0)
                bench.poll(FIRST)
                self.assertEqual(bench.pool.takeover.has_unknown_workers(), blocked)
                starts = [e for e in bench.dispatch() if isinstance(e, StartRun)]
                self.assertEqual(len(starts), 0 if blocked else 3)
                bench.advance(2.0)
                bench.poll(FIRST)
                bench.dispatch()
                self.assertFalse(bench.pool.takeover.has_unknown_workers())
                self.assertEqual(sum(len(w.runs) for w in bench.pool.workers.values()), 3)

    def test_a_recorded_run_may_start_in_a_newer_incarnation(self) -> None:
        bench = self.take_over(RecordedRuns("w2", 1, [(0, 1)]))
        newer = make_entry("w2", incarnation=2)
        bench.pool.set_workers([FIRST, newer])
        bench.poll(FIRST)
        self.assertEqual(bench.dispatch(), [])
        bench.poll(newer, [RunStatus(TASK, 1, "", 1.0)])
        self.assertEqual(bench.dispatch(), [])
        self.assertEqual(len(bench.pool.workers[WorkerKey("w2", 2)].runs), 1)

    def test_a_recorded_run_is_awaited_until_a_late_start_of_it_has_lapsed(self) -> None:
        """Fails if a task starts twice, as a restarted worker may still execute its first start."""
        longest_s = MAX_COMMAND_DELAY_S + MAX_LEASE_MS / 1000 / MIN_CLOCK_RATE
        for passed_s, restarts in ((longest_s, False), (longest_s + 0.5, True)):
            with self.subTest(passed_s=passed_s):
                bench = self.take_over(RecordedRuns("w2", 0, [(0, 1)]))
                bench.poll(FIRST)
                bench.advance(passed_s)
                bench.poll(FIRST)
                starts = [e for e in bench.dispatch() if isinstance(e, StartRun)]
                self.assertEqual(bool(starts), restarts)

    def test_an_older_roster_hides_no_newer_incarnation(self) -> None:
        """Fails if runs of a worker are forgotten, as the registry was read before the roster."""
        newer = make_entry("w1", incarnation=2)
        newest = make_entry("w1", incarnation=3)
        for recorded, entry in product((None, RecordedRuns("w1", 1, [(0, 1)])), (newer, newest)):
            with self.subTest(recorded=recorded, entry=entry):
                bench = Bench()
                bench.pool = pool = Pool(POOL, 2, leases_expire_at=bench.now + 10.0)
                bench.dispatcher = Dispatcher(pool)
                pool.set_settings(Settings(1, (make_queue(),), frozenset(), frozenset({POOL})))
                pool.advance(bench.now, 0.0)
                pool.set_workers([newer])
                pool.takeover.add_workers([FIRST])
                runs = [recorded] if recorded else []
                progress = JobProgress("running", {"0.0": StepProgress(runs=runs)})
                pool.add_job(make_job(), progress, inherited=True)
                pool.set_workers([newer])
                pool.set_workers([entry])
                bench.poll(entry)
                pool.add_job(make_job(job=NEW))
                self.assertIn(NEW_TASK, [start.task for start in bench.start()])
                for key in list(pool.workers):
                    older = make_entry("w1", key.incarnation)
                    bench.poll(older, [RunStatus(NEW_TASK, 1001, "", 9.0)], (), entry.incarnation)
                self.assertEqual(list(pool.workers), [WorkerKey("w1", entry.incarnation)])
                (run,) = pool.jobs[NEW].list_runs()
                (worker,) = pool.workers.values()
                self.assertIs(worker.runs.get((NEW_TASK, 1001)), run)

    def test_inherited_jobs_wait_for_a_newer_incarnation_if_runs_may_be_unrecorded(self) -> None:
        """Fails if a task starts again beside a late start of it at a restarted worker."""
        for how in ("registered", "answered"):
            with self.subTest(how=how):
                bench = self.take_over(recorded_all=False)
                newer = make_entry("w2", incarnation=2)
                if how == "registered":
                    bench.pool.set_workers([FIRST, newer])
                else:
                    bench.poll(SECOND, incarnation=2)
                bench.poll(FIRST)
                self.assertEqual([e for e in bench.dispatch() if isinstance(e, StartRun)], [])
                bench.poll(newer)
                self.assertEqual(len([e for e in bench.dispatch() if isinstance(e, StartRun)]), 1)

    def test_inherited_jobs_wait_for_all_workers_if_runs_may_be_unrecorded(self) -> None:
        for heard in (True, False):
            with self.subTest(heard=heard):
                bench = self.take_over(recorded_all=False)
                bench.poll(FIRST)
                self.assertEqual(bench.dispatch(), [])
                if heard:
                    bench.poll(SECOND)
                else:
                    bench.advance(10.1)
                    bench.poll(FIRST)
                self.assertEqual(len([e for e in bench.dispatch() if isinstance(e, StartRun)]), 1)

    def test_new_work_waits_for_workers_on_which_it_may_run_already(self) -> None:
        """Fails if a task starts twice that the former owner starts after the claim."""
        for recorded_all in (True, False):
            with self.subTest(recorded_all=recorded_all):
                bench = self.take_over(RecordedRuns("w2", 1, [(0, 1)]), recorded_all=recorded_all)
                bench.poll(FIRST)
                bench.pool.add_job(make_job(job=NEW))
                started = [e.task for e in bench.dispatch() if isinstance(e, StartRun)]
                self.assertEqual(started, [NEW_TASK] if recorded_all else [])
                bench.poll(SECOND, [RunStatus(NEW_TASK, 1, "", 10.0)] * (not recorded_all))
                started += [e.task for e in bench.dispatch() if isinstance(e, StartRun)]
                self.assertEqual(started.count(NEW_TASK), int(recorded_all))

    def test_a_run_of_a_job_that_is_not_known_yet_is_not_started_again(self) -> None:
        """Fails if a task starts twice whose run is reported before its job is read."""
        bench = self.take_over(recorded_all=False)
        bench.poll(FIRST, [RunStatus(NEW_TASK, 1, "", 10.0)])
        bench.poll(SECOND)
        bench.pool.pop_effects()
        bench.pool.add_job(make_job(job=NEW))
        self.assertEqual(bench.pool.workers[WorkerKey("w1", 1)].used, CORE)
        self.assertNotIn(NEW_TASK, [e.task for e in bench.dispatch() if isinstance(e, StartRun)])
        bench.poll(FIRST, [], [RunEnd(1, NEW_TASK, 1, EndCause.STOPPED)])
        (start,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
        self.assertEqual((start.task, start.number), (NEW_TASK, 1001))

    def test_nothing_starts_beside_a_run_whose_allocation_is_not_known(self) -> None:
        """Fails if a worker is given more than its capacity, as its runs are of unknown jobs."""
        bench = self.take_over()
        bench.poll(FIRST, [RunStatus(NEW_TASK, 1, "", 10.0)])
        self.assertEqual([e for e in bench.dispatch() if isinstance(e, StartRun)], [])
        bench.poll(FIRST, [], [RunEnd(1, NEW_TASK, 1, EndCause.STOPPED)])
        (start,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
        self.assertEqual(start.task, TASK)

    def test_an_end_of_a_job_that_is_not_known_yet_counts(self) -> None:
        """Fails if a task that is done runs again, as its end came before its job was read."""
        for cause, state in (
            (EndCause.DONE, JobState.COMPLETED),
            (EndCause.STOPPED, JobState.QUEUED),
        ):
            with self.subTest(cause=cause):
                bench = self.take_over(recorded_all=False)
                bench.poll(FIRST, [], [RunEnd(1, NEW_TASK, 1, cause)])
                bench.poll(SECOND)
                bench.pool.add_job(make_job(job=NEW))
                self.assertIs(bench.pool.jobs[NEW].state, state)
                started = [e.task for e in bench.dispatch() if isinstance(e, StartRun)]
                self.assertEqual(NEW_TASK in started, cause is EndCause.STOPPED)

    def test_an_end_is_acknowledged_once_its_job_is_read_and_recorded(self) -> None:
        """Fails if a task that is done runs again, as its owner ends before it reads the job."""
        for read in (True, False):
            with self.subTest(read=read):
                bench = self.take_over(recorded_all=False)
                bench.poll(FIRST, [], [RunEnd(1, TASK, 1, EndCause.STOPPED)])
                bench.poll(FIRST, [], [RunEnd(2, NEW_TASK, 1, EndCause.DONE)])
                bench.poll(SECOND, [], [RunEnd(7, TASK, 2, EndCause.STOPPED)])
                bench.record()
                first = bench.pool.workers[WorkerKey("w1", 1)]
                second = bench.pool.workers[WorkerKey("w2", 1)]
                self.assertEqual((first.committed_seq, second.committed_seq), (1, 7))
                if read:
                    bench.pool.add_job(make_job(job=NEW))
                else:
                    bench.advance(MAX_HOLD_S)
                bench.record()
                self.assertEqual(first.committed_seq, 2)

    def test_work_that_is_not_recorded_starts_at_once(self) -> None:
        bench = self.take_over()
        bench.poll(FIRST)
        (order,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
        self.assertEqual(order.task, TASK)

    def test_a_recorded_run_keeps_its_allocation(self) -> None:
        bench = self.take_over(RecordedRuns("w2", 1, [(0, 1)]))
        self.assertNotEqual(bench.pool.workers[WorkerKey("w2", 1)].used, NOTHING)

    def test_a_run_that_is_found_is_adopted(self) -> None:
        for recorded in (RecordedRuns("w1", 1, [(0, 1)]), None):
            with self.subTest(recorded=recorded):
                bench = self.take_over(recorded)
                bench.poll(FIRST, [RunStatus(TASK, 1, "cp", 40.0)])
                bench.poll(SECOND)
                self.assertEqual(bench.dispatch(), [])
                self.assertIs(bench.pool.jobs[JOB].state, JobState.RUNNING)
                self.assertEqual(bench.pool.jobs[JOB].get_checkpoint(TASK), "cp")
                self.assertTrue(bench.pool.takeover.complete)

    def test_a_second_copy_and_unknown_work_are_stopped(self) -> None:
        bench = self.take_over()
        bench.poll(FIRST, [RunStatus(TASK, 1, "", 40.0)])
        stranger = Task("ffffffffffffffff", 0, 0, 0)  # type: ignore[arg-type]
        bench.poll(SECOND, [RunStatus(TASK, 2, "", 10.0), RunStatus(stranger, 1, "", 1.0)])
        stops = {(e.task, e.number) for e in bench.pool.pop_effects() if isinstance(e, StopRun)}
        self.assertEqual(stops, {(TASK, 2), (stranger, 1)})

    def test_advice_is_passed_on_to_the_next_owner(self) -> None:
        bench = Bench(FIRST, SECOND, queue=make_queue(advising=ADVISED))
        bench.pool.add_job(make_job(make_step(8)))
        allow(bench, bench.dispatch(), "w1")
        bench.dispatch()
        bench.pool.recorder.mark_changed(JOB)
        progress = bench.pool.recorder.take_batch(10).progress[JOB]
        successor = Bench(FIRST, SECOND, queue=make_queue(advising=ADVISED))
        successor.pool.add_job(make_job(make_step(8)), progress, inherited=True)
        advice = successor.pool.advice[StepKey(JOB, 0, 0)]
        self.assertEqual((advice.allowed, advice.denied), ({"w1"}, {"w2"}))

    def test_leases_of_an_owner_that_has_stopped_end_sooner(self) -> None:
        """Fails if a task waits for an owner that has stopped, or not for another that may act."""
        first, second = EntryId("e1"), EntryId("e2")
        table = (
            ("the owner knows the later term", ((second, 3),), LEASE_LIFETIME_S),
            ("it does not know it", ((second, 2),), 13.0),
            ("another one has stopped", ((first, 3),), 13.0),
            ("both have stopped", ((first, 3), (second, 3)), LEASE_LIFETIME_S),
        )
        for name, heard, left_s in table:
            with self.subTest(name=name):
                bench = self.take_over(RecordedRuns("w2", 1, [(0, 1)]))
                takeover = bench.pool.takeover
                takeover.add_earlier_owners(
                    [
                        EarlierLeases(first, 1, bench.now + 5.0),
                        EarlierLeases(second, 2, bench.now + 13.0),
                    ]
                )
                for entry, term in heard:
                    takeover.note_owner_stopped(entry, term)
                self.assertAlmostEqual(takeover.leases_expire_at - bench.now, left_s)

    def test_a_run_is_kept_only_until_the_end_of_leases_that_is_noted(self) -> None:
        """Fails if a successor waits for longer than its predecessor knew to be needed."""
        for recorded_all in (True, False):
            with self.subTest(recorded_all=recorded_all):
                bench = self.take_over(RecordedRuns("w2", 1, [(0, 1)]), recorded_all=recorded_all)
                bench.pool.takeover.noted_lease_ends[WorkerKey("w2", 1)] = bench.now + 3.0
                bench.poll(FIRST)
                for seconds, starts in ((2.9, 0), (0.2, 1)):
                    bench.advance(seconds)
                    bench.poll(FIRST)
                    started = [e for e in bench.dispatch() if isinstance(e, StartRun)]
                    self.assertEqual(len(started), starts)

    def test_the_log_tells_what_a_takeover_waits_for_and_how_that_ended(self) -> None:
        """Fails if tasks that wait for inherited runs leave no trace, or each review logs them."""
        bench = self.take_over(RecordedRuns("w2", 1, [(0, 1)]))
        with self.assertLogs("lavenderstall.pools.takeover") as logs:
            for _ in range(25):
                bench.poll(FIRST)
                bench.advance(0.1)
            bench.poll(SECOND)
        found = [record.getMessage() for record in logs.records]
        self.assertEqual(found.count("takeover waits for workers"), 3)
        self.assertEqual(found.count("tasks of a step wait for inherited runs"), 3)
        self.assertEqual(found.count("worker of an earlier owner resolved"), 1)

    def test_the_log_names_a_bounded_number_of_steps(self) -> None:
        """Fails if a takeover of many jobs floods the log."""
        bench = self.take_over()
        for number in range(3 * MAX_LOGGED):
            job = JobId(f"{number:016x}")
            progress = JobProgress(
                "running", {"0.0": StepProgress(runs=[RecordedRuns("w2", 1, [(0, 1)])])}
            )
            bench.pool.add_job(make_job(job=job), progress, inherited=True)
        with self.assertLogs("lavenderstall.pools.takeover") as logs:
            bench.advance(1.0)
        self.assertEqual(len(logs.records), 1 + MAX_LOGGED)

    def test_runs_of_a_new_term_are_numbered_above_older_ones(self) -> None:
        bench = self.take_over()
        bench.poll(FIRST)
        bench.poll(SECOND)
        (order,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
        self.assertGreater(order.number, 1000)


if __name__ == "__main__":
    unittest.main()
