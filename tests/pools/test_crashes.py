"""Tests of the crashes of workers that tasks are suspected of."""

import unittest

from msgspec.structs import replace

from lavenderstall.identifiers import JobId
from lavenderstall.pools.crash_records import Crash, Suspicion
from lavenderstall.pools.crashes import (
    MAX_CRASHES,
    MAX_CRASHES_ENDING,
    MAX_START_INTERVAL_S,
    SETTLED_S,
    get_start_interval,
)
from lavenderstall.pools.effects import RunStatus, StartRun, StopRun
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.progress import JobProgress, RecordedRuns, StepProgress
from lavenderstall.pools.work import JobState, Step, Task
from lavenderstall.pools.workers import MAX_LEASE_MS
from lavenderstall.resources import Resources
from tests.pools.builders import CORE, JOB, Bench, make_entry, make_job, make_step

BESIDE = JobId("00000000000000b2")
BESIDE_TASK = Task(BESIDE, 0, 0, 0)
TASK = Task(JOB, 0, 0, 0)


class CrashBench(Bench):
    """A pool of workers that crash and come back as a new incarnation under the same name."""

    def __init__(self, workers: int = 1) -> None:
        self.entries = {f"w{number}": make_entry(f"w{number}") for number in range(workers)}
        super().__init__(*self.entries.values())

    def poll_all(self) -> None:
        """Let all workers report their runs, and extend their leases."""
        for name, entry in self.entries.items():
            worker = self.pool.workers.get(WorkerKey(name, entry.incarnation))
            if worker is not None and not worker.unreachable:
                worker.note_lease(self.clock_ms() + MAX_LEASE_MS)
                self.poll(entry, [RunStatus(*run, "", 10.0) for run in worker.runs])

    def refuse_connections(self, *names: str) -> None:
        """Let workers refuse connections, as those do whose process has ended."""
        for name in names:
            key = WorkerKey(name, self.entries[name].incarnation)
            self.pool.note_unresponsive(key, unreachable=True)
        self.pool.run_periodic_checks()

    def restart(self, name: str) -> None:
        """Let a worker that has crashed come back, and acknowledge the stops that it is sent."""
        self.entries[name] = make_entry(name, self.entries[name].incarnation + 1)
        self.pool.set_workers(self.entries.values())
        self.advance(0.1)
        self.poll(self.entries[name])
        for stop in self.pool.pop_effects():
            if isinstance(stop, StopRun):
                self.pool.note_stopped(stop.worker, stop.task, stop.number, self.clock_ms())
        self.advance(0.1)
        self.poll(self.entries[name])

    def crash(self, name: str) -> None:
        """Let a worker report its runs, crash and come back."""
        self.poll_all()
        self.refuse_connections(name)
        self.advance(3.0)
        self.restart(name)

    def start_one(self) -> StartRun:
        """Start the only task that can start."""
        (start,) = self.start()
        return start

    def crash_twice(self) -> tuple[StartRun, StartRun]:
        """Let a task and its copy each crash a worker, and return the two starts."""
        first = self.start_one()
        self.poll_all()
        self.refuse_connections(first.worker.id)
        self.advance(0.1)
        second = self.start_one()
        self.poll_all()
        self.refuse_connections(second.worker.id)
        self.advance(2.0)
        return first, second

    def leave_unanswered(self) -> StartRun:
        """Start the only task that can start, on a worker that does not answer its start."""
        (start,) = (each for each in self.dispatch() if isinstance(each, StartRun))
        self.pool.note_unanswered(start.worker, start.task, start.number)
        return start

    def get_suspicion(self, task: Task = TASK) -> Suspicion:
        """Return how likely a task has caused its last crash."""
        return self.pool.jobs[task.job].list_crashes(task)[-1].suspicion

    def count_crashes(self, task: Task = TASK) -> int:
        """Return how many crashes a task is suspected of."""
        return self.pool.jobs[task.job].count_crashes(task)


def start_beside_others(step: Step) -> CrashBench:
    """Start two tasks of another job on a worker, and half a second later one of a step."""
    bench = CrashBench()
    bench.pool.add_job(make_job(make_step(2), job=BESIDE))
    bench.start()
    bench.advance(0.5)
    bench.pool.add_job(make_job(step))
    bench.start()
    return bench


class SuspicionTest(unittest.TestCase):
    """What a task is suspected of, and until when."""

    def test_a_cleared_task_is_not_suspected_of_the_same_crash_again(self) -> None:
        """Fails if a task is suspected again at each check while its worker stays away."""
        bench = CrashBench(2)
        bench.pool.add_job(make_job(make_step(speculative=True)))
        first = bench.start_one()
        bench.advance(0.2)
        bench.poll_all()
        bench.refuse_connections(first.worker.id)
        self.assertEqual(bench.count_crashes(), 1)
        bench.start_one()
        bench.advance(1.0)
        bench.poll_all()
        self.assertEqual(bench.count_crashes(), 0)
        bench.advance(0.1)
        self.assertEqual(bench.count_crashes(), 0)
        bench.restart(first.worker.id)
        self.assertEqual(bench.count_crashes(), 0)

    def test_a_second_crash_of_a_worker_that_answered_in_between_counts(self) -> None:
        bench = CrashBench()
        bench.pool.add_job(make_job())
        bench.start_one()
        bench.refuse_connections("w0")
        self.assertEqual(bench.count_crashes(), 1)
        worker = next(iter(bench.pool.workers.values()))
        bench.poll(bench.entries["w0"], [RunStatus(*run, "", 10.0) for run in worker.runs])
        self.assertEqual(bench.count_crashes(), 0)
        bench.refuse_connections("w0")
        self.assertEqual(bench.count_crashes(), 1)

    def test_a_task_that_lasts_is_not_given_up_for_crashes_long_after_its_start(self) -> None:
        """Fails if crashes over the life of a service or a long gang add up."""
        for name, fields in (
            ("service", {"long_running": True}),
            ("long service gang", {"long_running": True, "gang": True}),
            ("batch", {"expected_ms": 10_000_000}),
        ):
            with self.subTest(name=name):
                bench = CrashBench()
                bench.pool.add_job(make_job(make_step(**fields)))
                for lifetime_s in (4000.0, 3000.0, 2000.0, 1000.0, 500.0):
                    bench.start_one()
                    bench.advance(0.1)
                    bench.poll_all()
                    for _ in range(int(lifetime_s / 5)):
                        bench.advance(5.0)
                        bench.poll_all()
                    bench.crash("w0")
                    self.assertIs(bench.pool.jobs[JOB].state, JobState.RUNNING)

    def test_a_gang_that_runs_long_is_cleared(self) -> None:
        bench = CrashBench()
        bench.pool.add_job(make_job(make_step(2, gang=True, long_running=True)))
        self.assertEqual(len(bench.start()), 2)
        bench.advance(0.2)
        bench.crash("w0")
        self.assertEqual(bench.count_crashes(), 1)
        self.assertEqual(len(bench.start()), 2)
        for _ in range(20):
            bench.advance(5.0)
            bench.poll_all()
        self.assertEqual(bench.count_crashes(), 0)

    def test_a_run_at_work_until_its_connection_closed_is_no_likely_cause(self) -> None:
        """Fails if a run counts as young since its worker had not answered for long."""
        for age_s, expected in ((0.3, Suspicion.SOLE), (1.2, Suspicion.POSSIBLE)):
            with self.subTest(age_s=age_s):
                bench = CrashBench()
                bench.pool.add_job(make_job())
                start = bench.start_one()
                bench.advance(age_s)
                bench.pool.note_unresponsive(start.worker, disconnected=True)
                bench.advance(0.2)
                bench.refuse_connections("w0")
                self.assertIs(bench.get_suspicion(), expected)

    def test_workers_that_crash_together_blame_no_single_task(self) -> None:
        """Fails if the loss of a rack makes each task on it a likely cause."""
        bench = CrashBench(3)
        bench.pool.add_job(make_job(make_step(3, max_per_worker=1)))
        self.assertEqual(len({start.worker for start in bench.start()}), 3)
        bench.advance(0.2)
        bench.poll_all()
        bench.refuse_connections("w0", "w1", "w2")
        for number in range(3):
            self.assertIs(bench.get_suspicion(Task(JOB, 0, 0, number)), Suspicion.POSSIBLE)

    def test_a_gang_may_crash_all_its_workers_together(self) -> None:
        bench = CrashBench(3)
        bench.pool.add_job(make_job(make_step(3, gang=True, max_per_worker=1)))
        self.assertEqual(len({start.worker for start in bench.start()}), 3)
        bench.advance(0.2)
        bench.poll_all()
        bench.refuse_connections("w0", "w1", "w2")
        self.assertIs(bench.get_suspicion(), Suspicion.SOLE)


class GiveUpTest(unittest.TestCase):
    """Which tasks are given up, and when."""

    def test_a_start_without_an_answer_is_no_proof_of_a_crash(self) -> None:
        """Fails if a task is given up although only one worker has crashed under it."""
        for unanswered in (0, 1):
            with self.subTest(unanswered=unanswered):
                bench = CrashBench(4)
                bench.pool.add_job(make_job())
                for number in range(2):
                    start = bench.leave_unanswered() if number == unanswered else bench.start_one()
                    bench.refuse_connections(start.worker.id)
                    bench.advance(2.0)
                    bench.restart(start.worker.id)
                self.assertIs(bench.pool.jobs[JOB].state, JobState.RUNNING)
                bench.crash(bench.start_one().worker.id)
                self.assertIs(bench.pool.jobs[JOB].state, JobState.FAILED)

    def test_a_task_whose_starts_are_never_answered_is_given_up(self) -> None:
        """Fails if a task crashes workers before they answer, and is started for ever."""
        bench = CrashBench(2)
        bench.pool.add_job(make_job())
        starts = 0
        while bench.pool.jobs[JOB].state is not JobState.FAILED and starts < 9:
            bench.advance(9.0)
            bench.poll_all()
            start = bench.leave_unanswered()
            starts += 1
            bench.refuse_connections(start.worker.id)
            bench.advance(2.0)
            bench.restart(start.worker.id)
        self.assertEqual(starts, 4)

    def test_a_task_waits_while_its_second_crash_is_uncertain(self) -> None:
        """Fails if a task starts again before both workers show whether they have crashed."""
        for back_first in (0, 1):
            with self.subTest(back_first=back_first):
                bench = CrashBench(3)
                bench.pool.add_job(make_job(make_step(speculative=True)))
                starts = bench.crash_twice()
                bench.restart(starts[back_first].worker.id)
                self.assertIs(bench.pool.jobs[JOB].state, JobState.RUNNING)
                self.assertEqual(bench.start(), [])
                bench.advance(1.0)
                bench.restart(starts[1 - back_first].worker.id)
                self.assertIs(bench.pool.jobs[JOB].state, JobState.FAILED)

    def test_a_task_starts_again_if_the_second_worker_answers_after_all(self) -> None:
        bench = CrashBench(3)
        bench.pool.add_job(make_job(make_step(speculative=True)))
        first, second = bench.crash_twice()
        bench.restart(first.worker.id)
        self.assertIs(bench.pool.jobs[JOB].state, JobState.RUNNING)
        self.assertEqual(bench.start(), [])
        bench.poll(bench.entries[second.worker.id], [RunStatus(TASK, second.number, "", 5.0)])
        self.assertIs(bench.pool.jobs[JOB].state, JobState.RUNNING)
        self.assertFalse(bench.pool.crashes.awaits_verdict(bench.pool.jobs[JOB], TASK))

    def test_a_task_is_not_given_up_for_crashes_long_after_its_starts(self) -> None:
        """Fails if the end of a worker counts as a failed run of a task."""
        for polls in (1, 3, 12):
            with self.subTest(polls=polls):
                bench = CrashBench(2)
                bench.pool.add_job(make_job(make_step(expected_ms=30_000)))
                for crashes in range(1, 13):
                    start = bench.start_one()
                    for _ in range(polls):
                        bench.advance(0.5)
                        bench.poll_all()
                    bench.crash(start.worker.id)
                    self.assertIs(bench.pool.jobs[JOB].state, JobState.RUNNING)
                    self.assertEqual(bench.count_crashes(), min(crashes, MAX_CRASHES_ENDING))

    def test_a_task_is_given_up_later_while_workers_crash_by_themselves(self) -> None:
        """Fails if two crashes at once after starts are proof, however often workers crash."""
        for others, required in ((0, 2), (12, 3)):
            with self.subTest(others=others):
                bench = CrashBench(8)
                bench.pool.add_job(make_job(make_step(expected_ms=30_000)))
                for number in range(others):
                    name = f"w{number % 4}"
                    bench.pool.note_worker_lost(
                        WorkerKey(name, bench.entries[name].incarnation), ""
                    )
                    bench.restart(name)
                starts = 0
                while bench.pool.jobs[JOB].state is not JobState.FAILED and starts < 9:
                    while not (found := bench.start()):
                        bench.advance(0.1)
                    starts += 1
                    bench.crash(found[0].worker.id)
                self.assertEqual(starts, required)


class LastingTaskTest(unittest.TestCase):
    """A task that lasts, which is to run until it is cancelled."""

    def setUp(self) -> None:
        """Add a task that lasts."""
        self.bench = CrashBench()
        self.bench.pool.add_job(make_job(make_step(long_running=True)))

    def crash_once(self, lifetime_s: float) -> float:
        """Crash the worker some seconds after the next start; return how long that was held."""
        held_s = 0.0
        while not (starts := self.bench.start()):
            self.bench.advance(0.1)
            held_s += 0.1
        self.assertEqual(len(starts), 1)
        self.bench.advance(lifetime_s)
        self.bench.poll_all()
        self.bench.refuse_connections("w0")
        self.bench.advance(0.1)
        self.bench.restart("w0")
        return held_s

    def test_it_is_not_given_up_but_starts_more_rarely(self) -> None:
        """Fails if crashes that it has not caused end its job, or it crashes one a second."""
        for lifetime_s, least_s, most_s in ((0.1, 4.0, MAX_START_INTERVAL_S), (7.0, 0.0, 0.1)):
            with self.subTest(lifetime_s=lifetime_s):
                self.setUp()
                held_s = [self.crash_once(lifetime_s) for _ in range(9)]
                self.assertIs(self.bench.pool.jobs[JOB].state, JobState.RUNNING)
                self.assertEqual(held_s[0], 0.0)
                self.assertTrue(all(least_s <= each <= most_s for each in held_s[5:]), held_s)

    def test_the_interval_between_starts_doubles(self) -> None:
        rows = ((0, 0.0), (1, 0.0), (2, 1.5), (3, 3.0), (4, 6.0), (9, 6.0))
        for crashes, interval_s in rows:
            with self.subTest(crashes=crashes):
                self.assertEqual(get_start_interval(crashes), interval_s)

    def test_it_keeps_the_crashes_of_few_runs_and_is_cleared_of_all(self) -> None:
        """Fails if the progress row grows with each crash, or one is never forgotten."""
        for _ in range(9):
            self.crash_once(0.1)
        self.assertEqual(self.bench.count_crashes(), MAX_CRASHES)
        self.bench.advance(MAX_START_INTERVAL_S)
        self.bench.start_one()
        self.bench.advance(0.5)
        self.bench.poll_all()
        self.bench.advance(1.0)
        self.bench.poll_all()
        self.assertEqual(self.bench.count_crashes(), 0)
        self.assertEqual(self.bench.pool.crashes.list_suspects(), set())

    def test_others_are_cleared_of_crashes_that_it_alone_has_caused(self) -> None:
        """Fails if a task beside one that lasts, and is not given up, is blamed in its place."""
        bench = CrashBench(2)
        bench.pool.add_job(make_job(make_step(expected_ms=60_000), job=BESIDE))
        beside = bench.start_one()
        bench.advance(SETTLED_S + 0.1)
        bench.poll_all()
        bench.pool.add_job(make_job(make_step(long_running=True)))
        self.assertEqual(bench.start_one().worker, beside.worker)
        for counts in ((1, 1), (2, 0)):
            bench.advance(0.1)
            (run,) = bench.pool.jobs[JOB].list_runs()
            bench.crash(run.worker.id)
            self.assertIs(bench.get_suspicion(), Suspicion.SOLE)
            self.assertEqual((bench.count_crashes(), bench.count_crashes(BESIDE_TASK)), counts)
            bench.start()

    def test_a_successor_does_not_give_it_up(self) -> None:
        crashes = [
            Crash(f"w{run}", 1, run, 10, Suspicion.SOLE, confirmed=True, started=True)
            for run in range(1, MAX_CRASHES + 1)
        ]
        bench = Bench(make_entry("w0", 2), term=2)
        progress = JobProgress("running", {"0.0": StepProgress(crashes={0: crashes})})
        bench.pool.add_job(make_job(make_step(long_running=True)), progress, inherited=True)
        self.assertIs(bench.pool.jobs[JOB].state, JobState.RUNNING)


class EndedWorkerTest(unittest.TestCase):
    """A worker whose process has certainly ended."""

    def test_a_late_crash_counts_although_its_run_has_ended_already(self) -> None:
        """Fails if the crash is forgotten with the run that has ended before."""
        bench = CrashBench(2)
        bench.pool.add_job(make_job(make_step(expected_ms=30_000)))
        for starts in range(1, 5):
            start = bench.start_one()
            for _ in range(4):
                bench.advance(1.5)
                bench.poll_all()
            bench.pool.note_unresponsive(start.worker, disconnected=True, closed=True)
            bench.refuse_connections(start.worker.id)
            bench.advance(3.0)
            bench.restart(start.worker.id)
            self.assertEqual(bench.count_crashes(), starts)


class TakeoverTest(unittest.TestCase):
    """Crashes that an earlier owner has recorded."""

    def test_a_successor_gives_up_what_its_predecessor_would_have(self) -> None:
        """Fails if a task starts once more as its worker came back after its owner had ended."""
        first = Crash("w1", 1, 1, 10, Suspicion.LIKELY, confirmed=True, started=True)
        second = Crash("w0", 1, 2, 10, Suspicion.SOLE, started=True)
        for name, crash, runs, given_up in (
            ("confirmed", replace(second, confirmed=True), [], True),
            ("back meanwhile", second, [(0, 2)], True),
            ("one of many", replace(second, suspicion=Suspicion.POSSIBLE), [(0, 2)], False),
            ("start without answer", replace(second, started=False), [(0, 2)], False),
        ):
            with self.subTest(name=name):
                bench = Bench(make_entry("w0", 2), make_entry("w1", 2), term=2)
                progress = StepProgress(
                    runs=[RecordedRuns("w0", 1, runs)], crashes={0: [first, crash]}
                )
                steps = {"0.0": progress}
                bench.pool.add_job(make_job(), JobProgress("running", steps), inherited=True)
                state = JobState.FAILED if given_up else JobState.RUNNING
                self.assertIs(bench.pool.jobs[JOB].state, state)


class IsolationTest(unittest.TestCase):
    """What starts beside a task that has likely caused a crash."""

    def test_a_worker_is_open_again_once_its_isolated_task_has_settled(self) -> None:
        """Fails if a suspected service keeps a whole worker to itself for long."""
        bench = CrashBench()
        bench.pool.add_job(make_job(make_step(need=CORE, long_running=True)))
        for _ in range(2):
            bench.start_one()
            for _ in range(20):
                bench.advance(1.0)
                bench.poll_all()
            bench.crash("w0")
        self.assertEqual(bench.count_crashes(), 2)
        bench.start_one()
        bench.pool.add_job(make_job(job=BESIDE))
        bench.advance(0.5)
        self.assertEqual(bench.start(), [])
        bench.advance(1.0)
        self.assertEqual([each.task for each in bench.start()], [BESIDE_TASK])

    def test_only_the_youngest_runs_are_likely_causes(self) -> None:
        bench = start_beside_others(make_step(long_running=True))
        bench.crash("w0")
        job = bench.pool.jobs[JOB]
        self.assertTrue(bench.pool.crashes.needs_isolation(job, TASK))
        self.assertFalse(bench.pool.crashes.needs_isolation(bench.pool.jobs[BESIDE], BESIDE_TASK))

    def test_a_task_is_alone_to_blame_if_all_others_had_settled_when_it_started(self) -> None:
        """Fails if the verdict asks for more than the placement that is to allow it."""
        bench = CrashBench()
        bench.pool.add_job(make_job(job=BESIDE))
        bench.start()
        bench.advance(0.9)
        bench.poll_all()
        bench.advance(0.15)
        bench.pool.add_job(make_job())
        bench.dispatch()
        bench.refuse_connections("w0")
        self.assertIs(bench.get_suspicion(), Suspicion.SOLE)

    def test_tasks_are_spread_while_a_crash_is_unexplained(self) -> None:
        """Fails if the next crash hits more tasks than it has to."""
        crash = Crash("gone", 1, 1, 10, Suspicion.POSSIBLE, confirmed=True)
        suspect = JobProgress("running", {"0.0": StepProgress(crashes={0: [crash]})})
        never_fitting = make_step(need=Resources(cores_milli=99_000))
        for unexplained in (False, True):
            with self.subTest(unexplained=unexplained):
                bench = CrashBench(2)
                if unexplained:
                    bench.pool.add_job(make_job(never_fitting), suspect, inherited=True)
                workers = set()
                for job in (BESIDE, JobId("00000000000000c3")):
                    bench.pool.add_job(make_job(job=job))
                    workers.add(bench.start_one().worker)
                self.assertEqual(len(workers), 2 if unexplained else 1)


if __name__ == "__main__":
    unittest.main()
