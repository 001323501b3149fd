"""Tests of the reactions of a pool to events."""

import unittest
from time import process_time
from typing import Any
from unittest import mock

from msgspec.structs import replace

from lavenderstall.identifiers import JobId
from lavenderstall.pools.effects import (
    PaceRun,
    PollResponse,
    Refusal,
    RunEnd,
    RunStatus,
    StartRun,
    StopRun,
)
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.pool import (
    BACKOFF_MEMORY_S,
    MAX_BACKOFF_S,
    MAX_EARLY_CANCELS,
    MIN_BACKOFF_S,
    RECENT_ANSWER_S,
    STOP_RETRY_S,
    TOKENS_PER_TERM,
    UNRESPONSIVE_S,
)
from lavenderstall.pools.progress import RecordedRuns
from lavenderstall.pools.recording import START_LEASE_MS, ProgressBatch
from lavenderstall.pools.work import EndCause, JobState, Task
from lavenderstall.pools.workers import (
    MAX_COMMAND_DELAY_S,
    MAX_LEASE_MS,
    MIN_CLOCK_RATE,
    WorkerEntry,
    WorkerState,
)
from lavenderstall.resources import NOTHING
from tests.pools.builders import (
    ADVISED,
    CORE,
    JOB,
    QUEUE,
    Bench,
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
CANCELLED_JOBS = 300


class EndTest(unittest.TestCase):
    """Ends that workers report."""

    def test_end_releases_the_allocation_and_completes_the_job(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job())
        (order,) = bench.start()
        bench.end(order, EndCause.DONE, 1, FIRST)
        self.assertEqual(bench.pool.workers[order.worker].used, NOTHING)
        self.assertIs(bench.pool.jobs[JOB].state, JobState.COMPLETED)

    def test_a_final_state_is_reported_only_when_durable(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job())
        (order,) = bench.start()
        bench.end(order, EndCause.DONE, 1, FIRST)
        self.assertIs(bench.pool.get_state(JOB), JobState.RUNNING)
        bench.record()
        self.assertIs(bench.pool.get_state(JOB), JobState.COMPLETED)

    def test_ends_are_acknowledged_only_when_all_are_durable(self) -> None:
        bench = Bench(FIRST)
        for number in range(3):
            bench.pool.add_job(make_job(job=f"{number:016x}"))  # type: ignore[arg-type]
        for seq, order in enumerate(bench.start(), start=1):
            bench.end(order, EndCause.DONE, seq, FIRST)
        worker = bench.pool.workers[WorkerKey("w1", 1)]
        bench.pool.recorder.note_recorded(bench.pool.recorder.take_batch(2))
        self.assertEqual(worker.committed_seq, 0)
        bench.pool.recorder.note_recorded(bench.pool.recorder.take_batch(2))
        self.assertEqual(worker.committed_seq, 3)

    def test_unknown_jobs_change_nothing(self) -> None:
        bench = Bench(FIRST)
        bench.poll(FIRST, ended=[RunEnd(1, TASK, 1, EndCause.DONE)])
        self.assertEqual(bench.pool.jobs, {})


class EarlyCancelTest(unittest.TestCase):
    """Cancellations that arrive before their jobs."""

    def test_many_cancellations_of_unknown_jobs_push_out_no_other(self) -> None:
        """Fails if a job runs on although its cancellation was read before it."""
        for others, repeated in ((1, 1), (5000, 1), (600, 3)):
            with self.subTest(others=others, repeated=repeated):
                bench = Bench(FIRST)
                bench.pool.cancel_job(JOB)
                for _ in range(repeated):
                    for number in range(1000, 1000 + others):
                        bench.pool.cancel_job(JobId(f"{number:016x}"))
                bench.pool.add_job(make_job())
                self.assertTrue(bench.pool.jobs[JOB].cancelling)
                self.assertEqual(bench.start(), [])

    def test_cancellations_that_are_pushed_out_are_counted(self) -> None:
        bench = Bench()
        for number in range(MAX_EARLY_CANCELS + 2):
            bench.pool.cancel_job(JobId(f"{number:016x}"))
        self.assertEqual(bench.pool.counts["early_cancels_dropped"], 2)


class WaveTest(unittest.TestCase):
    """Many jobs that wait are cancelled one after the other."""

    def measure_cancellations(self, waiting: int) -> float:
        """Return the processor seconds that some cancellations take beside waiting jobs."""
        bench = Bench()
        jobs = [JobId(f"{number:016x}") for number in range(waiting)]
        for job in jobs:
            bench.pool.add_job(make_job(job=job))
        started = process_time()
        for job in jobs[:CANCELLED_JOBS]:
            bench.pool.cancel_job(job)
        return process_time() - started

    def test_a_cancellation_takes_no_longer_beside_many_waiting_jobs(self) -> None:
        """Fails if the time grows with all that waits, so that the last of a wave come late."""
        few = min(self.measure_cancellations(CANCELLED_JOBS) for _ in range(3))
        many = min(self.measure_cancellations(20 * CANCELLED_JOBS) for _ in range(3))
        self.assertLess(many, 4 * few)


class OddReportTest(unittest.TestCase):
    """Reports that can't be read in full, or that name tasks which a job has not."""

    def poll(self, bench: Bench, **fields: Any) -> None:
        """Let the worker answer a poll without any run."""
        answer = replace(PollResponse(bench.clock_ms(), 1, (), ()), **fields)
        bench.pool.note_poll(WorkerKey("w1", 1), answer, bench.now)

    def test_an_incomplete_answer_shows_no_run_as_missing(self) -> None:
        """Fails if a run whose row can't be read is taken for lost, and started twice."""
        bench = Bench(FIRST)
        bench.pool.add_job(make_job())
        (order,) = bench.start()
        worker = bench.pool.workers[order.worker]
        bench.advance(0.1)
        self.poll(bench, incomplete=True)
        self.assertEqual(list(worker.runs), [(order.task, order.number)])
        self.poll(bench)
        self.assertEqual(list(worker.runs), [])

    def test_an_end_that_cannot_be_read_is_acknowledged_once_others_are_durable(self) -> None:
        """Fails if a worker lists such an end for ever, and answers each poll at once."""
        bench = Bench(FIRST)
        self.poll(bench, incomplete=True, skipped_seq=7)
        worker = bench.pool.workers[WorkerKey("w1", 1)]
        self.assertEqual(worker.get_acknowledged_seq(bench.now), 0)
        bench.record()
        self.assertEqual(worker.get_acknowledged_seq(bench.now), 7)

    def test_tasks_that_a_job_has_not_change_nothing_but_their_worker(self) -> None:
        """Fails if such a report ends polls, adds progress, or its room is given away."""
        for task in (Task(JOB, 0, 9, 0), Task(JOB, 3, 0, 0), Task(JOB, 0, 0, 9)):
            with self.subTest(task=task):
                bench = Bench(FIRST)
                bench.pool.add_job(make_job(make_step(2)))
                bench.poll(FIRST, [RunStatus(task, 1, "saved", 5.0, 1.0)])
                stops = [each for each in bench.dispatch() if isinstance(each, StopRun)]
                self.assertEqual([stop.task for stop in stops], [task])
                bench.advance(3.0)
                bench.poll(FIRST, [RunStatus(task, 1, "saved", 5.0, 1.0)])
                self.assertEqual([e for e in bench.dispatch() if isinstance(e, StartRun)], [])
                bench.poll(FIRST, [], [RunEnd(1, task, 1, EndCause.DONE, "saved")])
                self.assertEqual(len(bench.start()), 2)
                self.assertEqual(bench.pool.jobs[JOB].progress.steps["0.0"].done, set())
                self.assertEqual(set(bench.pool.jobs[JOB].progress.steps), {"0.0"})


class PendingTest(unittest.TestCase):
    """Jobs that wait, told to callers, while the store or workers hold starts up."""

    def test_a_job_is_pending_until_a_worker_has_started_a_task(self) -> None:
        for how in ("answered", "reported", "ended", "lost"):
            with self.subTest(how=how):
                bench = Bench(FIRST)
                bench.pool.add_job(make_job())
                bench.dispatcher.dispatch(1, 1)
                self.assertEqual(bench.pool.count_pending(), {QUEUE: 1})
                bench.record()
                (order,) = (e for e in bench.pool.pop_effects() if isinstance(e, StartRun))
                self.assertEqual(bench.pool.count_pending(), {QUEUE: 1})
                if how == "answered":
                    bench.pool.note_started(order.worker, order.task, order.number, 1.0)
                elif how == "reported":
                    bench.poll(FIRST, [RunStatus(order.task, order.number, "", 1.0)])
                elif how == "ended":
                    bench.end(order, EndCause.FAILED, 1, FIRST)
                else:
                    bench.pool.note_refused(
                        order.worker, order.task, order.number, Refusal("room", 1.0)
                    )
                self.assertEqual(bench.pool.count_pending()[QUEUE], int(how == "lost"))


class UnansweredTest(unittest.TestCase):
    """Starts and stops that were not answered or were refused."""

    def start(self, bench: Bench) -> StartRun:
        """Send a start that is left unanswered."""
        (order,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
        bench.advance(0.1)
        bench.pool.note_unanswered(order.worker, order.task, order.number)
        return order

    def test_an_unanswered_start_keeps_its_allocation_and_is_not_repeated(self) -> None:
        bench = Bench(FIRST, SECOND)
        bench.pool.add_job(make_job())
        order = self.start(bench)
        self.assertEqual([e for e in bench.dispatch() if isinstance(e, StartRun)], [])
        self.assertNotEqual(bench.pool.workers[order.worker].used, NOTHING)

    def test_a_poll_that_reports_the_run_confirms_it(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job())
        order = self.start(bench)
        bench.advance(0.1)
        bench.poll(FIRST, [RunStatus(order.task, order.number, "", 5.0)])
        run = bench.pool.workers[order.worker].runs[order.task, order.number]
        self.assertGreaterEqual(run.confirmed_at, 0)
        self.assertFalse(run.stopping)

    def test_a_poll_without_the_run_causes_a_stop_before_the_next_start(self) -> None:
        bench = Bench(FIRST, SECOND)
        bench.pool.add_job(make_job())
        order = self.start(bench)
        entry = FIRST if order.worker.id == "w1" else SECOND
        bench.advance(0.1)
        bench.poll(entry)
        stops = [e for e in bench.pool.pop_effects() if isinstance(e, StopRun)]
        self.assertEqual([(e.task, e.number) for e in stops], [(order.task, order.number)])
        bench.advance(0.01)
        bench.pool.note_stopped(order.worker, order.task, order.number, bench.clock_ms())
        bench.advance(0.01)
        bench.poll(entry)
        (again,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
        self.assertGreater(again.number, order.number)

    def test_a_missing_run_has_ended_after_its_deadline(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job())
        order = self.start(bench)
        bench.advance(2.6)
        bench.poll(FIRST)
        self.assertNotIn((order.task, order.number), bench.pool.workers[order.worker].runs)

    def test_a_task_restarts_once_nothing_may_run_it_any_more(self) -> None:
        """Fails if it waits for longer, or starts while its worker may run or start it."""
        lasting = make_step(long_running=True)
        rows = (
            ("started", make_step(), True, 4.0, 7.0),
            ("without an answer", make_step(), False, MAX_COMMAND_DELAY_S - 0.5, 14.0),
            ("lasting, without an answer", lasting, False, 4.0, 7.0),
        )
        for name, step, started, held_s, limit_s in rows:
            with self.subTest(name=name):
                bench = Bench(FIRST, SECOND)
                bench.pool.add_job(make_job(step))
                order = self.start(bench)
                if started:
                    clock_ms = bench.clock_ms()
                    bench.pool.note_started(order.worker, order.task, order.number, clock_ms)
                entry = SECOND if order.worker.id == "w1" else FIRST
                bench.pool.set_workers([entry])
                bench.advance(held_s)
                bench.poll(entry)
                self.assertEqual([e for e in bench.dispatch() if isinstance(e, StartRun)], [])
                bench.advance(limit_s - held_s)
                bench.poll(entry)
                (again,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
                self.assertEqual(again.worker.id, entry.id)

    def test_refusals_let_the_task_start_elsewhere(self) -> None:
        for reason in ("room", "unhealthy", "ticket", "unreachable"):
            with self.subTest(reason=reason):
                bench = Bench(FIRST, SECOND)
                bench.pool.add_job(make_job())
                (order,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
                bench.pool.note_refused(
                    order.worker, order.task, order.number, Refusal(reason, bench.clock_ms())
                )
                (again,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
                self.assertGreater(again.number, order.number)

    def test_a_worker_is_set_aside_for_longer_only_if_it_refuses_again_soon(self) -> None:
        """Fails if a task that lasts waits with room for it, as its worker refused long ago."""
        for passed_s, limit_s in ((BACKOFF_MEMORY_S + 1.0, MIN_BACKOFF_S), (0.1, MAX_BACKOFF_S)):
            with self.subTest(passed_s=passed_s):
                bench = Bench(FIRST)
                bench.pool.add_job(make_job(make_step(long_running=True)))
                worker = bench.pool.workers[WorkerKey("w1", 1)]
                for _ in range(6):
                    bench.poll(FIRST)
                    (order,) = [e for e in bench.dispatch() if isinstance(e, StartRun)]
                    refusal = Refusal("unhealthy")
                    bench.pool.note_refused(order.worker, order.task, order.number, refusal)
                    backoff_s = worker.backoff_until - bench.now
                    bench.advance(backoff_s + passed_s)
                self.assertAlmostEqual(backoff_s, limit_s)

    def test_a_stop_is_repeated_until_the_run_has_ended(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job())
        (order,) = bench.start()
        bench.pool.cancel_job(JOB)
        self.assertEqual(len(bench.pool.pop_effects()), 1)
        bench.advance(STOP_RETRY_S / 2)
        self.assertEqual(bench.pool.pop_effects(), [])
        bench.advance(STOP_RETRY_S)
        self.assertEqual(len(bench.pool.pop_effects()), 1)
        bench.end(order, EndCause.STOPPED, 1, FIRST)
        bench.advance(STOP_RETRY_S * 2)
        self.assertEqual(bench.pool.pop_effects(), [])


class IncarnationTest(unittest.TestCase):
    """Workers that register, exit and restart."""

    def test_fencing_tokens_exceed_those_of_earlier_incarnations_and_terms(self) -> None:
        """Fails if a new process executes commands that were sent to an earlier one."""
        tokens = []
        for term, limit in ((1, TOKENS_PER_TERM), (2, TOKENS_PER_TERM), (3, 1)):
            with mock.patch("lavenderstall.pools.pool.TOKENS_PER_TERM", limit):
                bench = Bench(FIRST, term=term * TOKENS_PER_TERM // limit)
                for incarnation in (2, 3):
                    tokens.append(next(iter(bench.pool.workers.values())).fencing_token)
                    bench.register(make_entry("w1", incarnation))
        first, second, third, fourth, *limited = tokens
        self.assertTrue(0 < first < second < third < fourth)
        self.assertEqual(limited, [3 * TOKENS_PER_TERM] * 2)

    def test_a_newer_incarnation_ends_the_runs_of_the_older_one(self) -> None:
        for how in ("registered", "answered"):
            with self.subTest(how=how):
                bench = Bench(FIRST)
                bench.pool.add_job(make_job())
                (order,) = bench.start()
                bench.poll(FIRST, [RunStatus(order.task, order.number, "", 5.0)])
                if how == "registered":
                    bench.pool.set_workers([make_entry("w1", incarnation=2)])
                else:
                    bench.poll(FIRST, incarnation=2)
                self.assertEqual(list(bench.pool.workers), [WorkerKey("w1", 2)])
                self.assertEqual(bench.pool.jobs[JOB].get_step(0, 0).waiting, {0})

    def test_a_run_that_no_poll_has_reported_may_start_in_the_newer_incarnation(self) -> None:
        for answered in (True, False):
            with self.subTest(answered=answered):
                bench = Bench(FIRST, SECOND)
                bench.pool.add_job(make_job())
                orders = [e for e in bench.dispatch() if isinstance(e, StartRun)]
                (order,) = orders
                if answered:
                    bench.pool.note_started(order.worker, order.task, order.number, 1.0)
                else:
                    bench.pool.note_unanswered(order.worker, order.task, order.number)
                name = order.worker.id
                other = FIRST if name == "w2" else SECOND
                bench.advance(0.1)
                bench.pool.set_workers([make_entry(name, incarnation=2), other])
                self.assertEqual([e for e in bench.dispatch() if isinstance(e, StartRun)], [])
                bench.advance(0.1)
                newer = make_entry(name, incarnation=2)
                bench.poll(newer, [RunStatus(order.task, order.number, "", 1.0)])
                run = bench.pool.workers[WorkerKey(name, 2)].runs[order.task, order.number]
                self.assertGreaterEqual(run.confirmed_at, 0)

    def test_what_a_worker_has_promised_does_not_bind_its_newer_incarnation(self) -> None:
        for dropped in (True, False):
            with self.subTest(dropped=dropped):
                bench = Bench(FIRST)
                bench.pool.add_job(make_job())
                (order,) = [e for e in bench.dispatch() if isinstance(e, StartRun)]
                bench.pool.note_unanswered(order.worker, order.task, order.number)
                bench.pool.cancel_job(JOB)
                bench.pool.note_stopped(order.worker, order.task, order.number, 1.0)
                bench.advance(0.1)
                if dropped:
                    bench.poll(FIRST)
                    self.assertEqual(bench.pool.workers[order.worker].runs, {})
                newer = make_entry("w1", incarnation=2)
                bench.pool.set_workers([newer])
                bench.pool.pop_effects()
                bench.advance(0.4)
                bench.poll(newer)
                worker = bench.pool.workers[WorkerKey("w1", 2)]
                self.assertEqual(list(worker.runs), [(order.task, order.number)])
                stop = StopRun(worker.key, order.task, order.number)
                self.assertIn(stop, bench.pool.pop_effects())
                bench.pool.note_stopped(worker.key, order.task, order.number, 1.0)
                bench.advance(0.1)
                bench.poll(newer)
                self.assertEqual(worker.runs, {})

    def test_a_start_that_is_expected_again_and_again_takes_its_allocation_once(self) -> None:
        """Fails if a worker that restarts repeatedly loses capacity for runs it has not."""
        for answers in (True, False):
            with self.subTest(answers=answers):
                bench = Bench(FIRST)
                bench.pool.add_job(make_job())
                (order,) = [e for e in bench.dispatch() if isinstance(e, StartRun)]
                bench.pool.note_unanswered(order.worker, order.task, order.number)
                bench.pool.cancel_job(JOB)
                entry = FIRST
                for incarnation in (2, 3, 4):
                    if answers or entry is FIRST:
                        self.refuse(bench, entry, order)
                    entry = make_entry("w1", incarnation=incarnation)
                    bench.pool.set_workers([entry])
                    worker = bench.pool.workers[WorkerKey("w1", incarnation)]
                    self.assertEqual((worker.used, len(worker.runs)), (CORE, 1))
                self.refuse(bench, entry, order)

    def refuse(self, bench: Bench, entry: WorkerEntry, order: StartRun) -> None:
        """Let a worker take a stop of a run, and report that it has none."""
        key = WorkerKey(entry.id, entry.incarnation)
        bench.pool.note_stopped(key, order.task, order.number, 1.0)
        bench.advance(0.1)
        bench.poll(entry)
        self.assertEqual(bench.pool.workers[key].used, NOTHING)
        self.assertEqual(bench.pool.jobs[JOB].list_runs(), [])

    def test_a_run_that_may_start_in_a_newer_incarnation_keeps_its_lease(self) -> None:
        longest_s = MAX_COMMAND_DELAY_S + MAX_LEASE_MS / 1000 / MIN_CLOCK_RATE
        for passed_s, restarts in ((0.1, False), (longest_s, False), (longest_s + 0.5, True)):
            with self.subTest(passed_s=passed_s):
                bench = Bench(FIRST, SECOND)
                bench.pool.add_job(make_job())
                (order,) = bench.start()
                other = FIRST if order.worker.id == "w2" else SECOND
                bench.pool.set_workers([make_entry(order.worker.id, incarnation=2), other])
                bench.advance(passed_s)
                bench.poll(other)
                starts = [e for e in bench.dispatch() if isinstance(e, StartRun)]
                self.assertEqual(bool(starts), restarts)

    def test_ends_are_acknowledged_only_to_a_certain_incarnation(self) -> None:
        bench = Bench(FIRST)
        worker = bench.pool.workers[WorkerKey("w1", 1)]
        worker.committed_seq = 7
        for passed, seq in ((0.04, 7), (0.06, 0)):
            with self.subTest(passed=passed):
                self.assertEqual(worker.get_acknowledged_seq(worker.polled_at + passed), seq)

    def test_an_adopted_run_is_lost_only_after_the_longest_lease(self) -> None:
        bench = Bench(FIRST, SECOND)
        bench.pool.add_job(make_job())
        bench.poll(FIRST, [RunStatus(TASK, 1, "", 40.0)])
        bench.advance(5.0)
        self.assertEqual([e for e in bench.dispatch() if isinstance(e, StartRun)], [])
        bench.advance(2.0)
        self.assertEqual(len([e for e in bench.dispatch() if isinstance(e, StartRun)]), 1)

    def test_a_worker_whose_address_another_process_has_is_lost_at_once(self) -> None:
        for how in ("poll", "start"):
            with self.subTest(how=how):
                bench = Bench(FIRST)
                bench.pool.add_job(make_job())
                (order,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
                refusal = Refusal("instance")
                if how == "poll":
                    bench.pool.note_poll_refused(order.worker, refusal)
                else:
                    bench.pool.note_refused(order.worker, order.task, order.number, refusal)
                self.assertEqual(bench.pool.jobs[JOB].get_step(0, 0).waiting, {0})
                bench.pool.set_workers([FIRST])
                self.assertEqual(bench.pool.workers, {})

    def test_a_worker_that_refuses_a_poll_counts_as_unresponsive(self) -> None:
        bench = Bench(FIRST)
        bench.pool.note_poll_refused(WorkerKey("w1", 1), Refusal("unhealthy"))
        self.assertGreaterEqual(bench.pool.workers[WorkerKey("w1", 1)].unresponsive_since, 0)

    def test_a_worker_gets_nothing_before_it_was_polled(self) -> None:
        bench = Bench()
        bench.pool.set_workers([FIRST])
        bench.pool.add_job(make_job())
        self.assertEqual(bench.dispatch(), [])

    def test_an_unresponsive_worker_is_polled_until_it_answers(self) -> None:
        bench = Bench(FIRST)
        worker = bench.pool.workers[WorkerKey("w1", 1)]
        self.assertFalse(bench.pool.needs_polling(worker))
        bench.pool.note_unresponsive(worker.key)
        bench.advance(30.0)
        self.assertTrue(bench.pool.needs_polling(worker))
        bench.poll(FIRST)
        self.assertFalse(bench.pool.needs_polling(worker))
        bench.pool.add_job(make_job())
        self.assertEqual(len([e for e in bench.dispatch() if isinstance(e, StartRun)]), 1)

    def test_a_draining_worker_gets_nothing(self) -> None:
        bench = Bench(FIRST)
        bench.pool.set_workers([make_entry("w1", state=WorkerState.DRAINING)])
        bench.pool.add_job(make_job())
        self.assertEqual(bench.dispatch(), [])

    def test_a_worker_missing_from_an_incomplete_list_is_kept(self) -> None:
        for incomplete, starts in ((True, 1), (False, 0)):
            with self.subTest(incomplete=incomplete):
                bench = Bench(FIRST)
                bench.pool.add_job(make_job())
                bench.pool.set_workers([], incomplete=incomplete)
                found = [e for e in bench.dispatch() if isinstance(e, StartRun)]
                self.assertEqual(len(found), starts)

    def test_a_worker_that_is_not_registered_any_more_gets_nothing(self) -> None:
        bench = Bench(FIRST)
        bench.pool.set_workers([])
        bench.pool.add_job(make_job())
        self.assertEqual(bench.dispatch(), [])


class UnresponsiveTest(unittest.TestCase):
    """Workers that may be partitioned, and speculative copies of their runs."""

    def test_workers_of_a_silent_zone_get_nothing_unless_they_have_just_answered(self) -> None:
        rows = (
            (frozenset(), 5.0, True),
            (frozenset({"quito-1"}), RECENT_ANSWER_S - 0.1, True),
            (frozenset({"quito-1"}), RECENT_ANSWER_S + 0.1, False),
            (frozenset({"quito-2"}), 5.0, True),
        )
        for zones, passed, usable in rows:
            with self.subTest(zones=zones, passed=passed):
                bench = Bench(FIRST)
                bench.advance(passed)
                bench.pool.unresponsive_zones = zones
                bench.pool.add_job(make_job())
                self.assertEqual(len(bench.dispatch()), usable)
                worker = bench.pool.workers[WorkerKey("w1", 1)]
                self.assertTrue(bench.pool.needs_polling(worker))

    def test_a_speculative_task_on_an_unresponsive_worker_is_copied(self) -> None:
        for speculative in (True, False):
            with self.subTest(speculative=speculative):
                bench = Bench(FIRST, SECOND)
                bench.pool.add_job(make_job(make_step(speculative=speculative)))
                (order,) = bench.start()
                bench.pool.note_unresponsive(order.worker)
                bench.advance(UNRESPONSIVE_S + 0.1)
                copies = bench.start()
                bench.advance(0.1)
                self.assertEqual(len(copies), speculative)
                self.assertEqual([e for e in bench.dispatch() if isinstance(e, StartRun)], [])
                if copies:
                    self.assertNotEqual(copies[0].worker, order.worker)
                    self.assertGreater(copies[0].number, order.number)

    def test_the_first_copy_that_is_done_stops_the_other(self) -> None:
        bench = Bench(FIRST, SECOND)
        bench.pool.add_job(make_job(make_step(speculative=True)))
        (order,) = bench.start()
        bench.pool.note_unresponsive(order.worker)
        bench.advance(UNRESPONSIVE_S + 0.1)
        (copy,) = bench.start()
        bench.end(copy, EndCause.DONE, 1, FIRST if copy.worker.id == "w1" else SECOND)
        stops = [e for e in bench.pool.pop_effects() if isinstance(e, StopRun)]
        self.assertEqual([(e.worker, e.number) for e in stops], [(order.worker, order.number)])
        self.assertIs(bench.pool.jobs[JOB].state, JobState.COMPLETED)

    def test_a_task_that_is_done_gets_no_further_copies(self) -> None:
        bench = Bench(FIRST, SECOND)
        bench.pool.add_job(make_job(make_step(2, speculative=True)))
        orders = bench.start()
        first = orders[0].worker
        bench.pool.note_unresponsive(first)
        bench.advance(UNRESPONSIVE_S + 0.1)
        copies = bench.start()
        other = FIRST if copies[0].worker.id == "w1" else SECOND
        bench.end(copies[0], EndCause.DONE, 1, other)
        bench.advance(0.5)
        again = [e for e in bench.dispatch() if isinstance(e, StartRun)]
        self.assertNotIn(copies[0].task, {order.task for order in again})

    def test_requested_copies_are_dropped_once_their_task_has_ended(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job(make_step(2, speculative=True)))
        order, _ = bench.start()
        bench.pool.note_unresponsive(order.worker)
        bench.advance(UNRESPONSIVE_S + 0.1)
        state = bench.pool.jobs[JOB].get_step(0, 0)
        self.assertEqual(state.copies, {0, 1})
        bench.end(order, EndCause.DONE, 1, FIRST)
        self.assertEqual(state.copies, {1})


class RecordTest(unittest.TestCase):
    """Starts wait until their runs are recorded."""

    def decide(self, bench: Bench, *, advised: bool = False) -> ProgressBatch:
        """Place a task and return the batch that records its run."""
        bench.pool.add_job(make_job())
        if advised:
            bench.dispatcher.dispatch(1, 1)
            allow(bench, bench.pool.pop_effects(), "w1")
        bench.dispatcher.dispatch(1, 1)
        self.assertEqual(bench.pool.pop_effects(), [])
        batch = bench.pool.recorder.take_batch(10)
        self.assertEqual(len(batch.starts), 1)
        return batch

    def test_a_start_is_sent_once_its_run_is_recorded(self) -> None:
        bench = Bench(FIRST)
        batch = self.decide(bench)
        (recorded,) = batch.progress[JOB].steps["0.0"].runs
        self.assertEqual(recorded, RecordedRuns("w1", 1, [(0, 1)]))
        bench.advance(0.2)
        bench.pool.recorder.note_recorded(batch)
        (order,) = bench.pool.pop_effects()
        assert isinstance(order, StartRun)
        self.assertEqual(order.deadline_ms, int(bench.clock_ms()) + START_LEASE_MS)

    def test_a_start_that_could_not_be_recorded_waits_for_the_next_commit(self) -> None:
        bench = Bench(FIRST)
        bench.pool.recorder.requeue(self.decide(bench))
        self.assertTrue(bench.pool.recorder.is_urgent())
        bench.record()
        self.assertEqual(len(bench.pool.pop_effects()), 1)

    def test_an_obsolete_start_is_not_sent(self) -> None:
        def cancel(bench: Bench) -> None:
            bench.pool.cancel_job(JOB)

        def note_worker_lost(bench: Bench) -> None:
            bench.pool.set_workers([make_entry("w1", incarnation=2)])

        def let_ticket_expire(bench: Bench) -> None:
            bench.advance(2.1)

        for change in (cancel, note_worker_lost, let_ticket_expire):
            with self.subTest(change=change.__name__):
                bench = Bench(FIRST, queue=make_queue(advising=ADVISED))
                batch = self.decide(bench, advised=True)
                change(bench)
                bench.pool.recorder.note_recorded(batch)
                self.assertEqual(bench.pool.pop_effects(), [])
                used = [worker.used for worker in bench.pool.workers.values()]
                self.assertEqual(used, [NOTHING])

    def test_a_poll_does_not_end_a_run_whose_start_was_not_sent(self) -> None:
        bench = Bench(FIRST)
        batch = self.decide(bench)
        bench.advance(9.0)
        bench.poll(FIRST)
        bench.pool.recorder.note_recorded(batch)
        self.assertEqual(len(bench.pool.pop_effects()), 1)

    def test_an_ended_run_is_not_recorded_any_more(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job(make_step(2)))
        first, second = bench.start()
        bench.end(first, EndCause.DONE, 1, FIRST)
        (recorded,) = bench.pool.recorder.take_batch(10).progress[JOB].steps["0.0"].runs
        self.assertEqual(recorded.runs, [(second.task.number, second.number)])


class EndedWorkerTest(unittest.TestCase):
    """Workers whose process has ended, and those that only look like it."""

    def test_tasks_of_an_ended_worker_start_elsewhere_at_once(self) -> None:
        """Fails if they wait for the lease, or start again beside a worker that is cut off."""
        for name, first, second, ended in (
            ("closed, then refused", "closed", "refused", True),
            ("closed, then silent", "closed", "silent", False),
            ("reset, then refused", "reset", "refused", False),
            ("refused at once", "refused", "refused", False),
            ("silent, then refused", "silent", "refused", False),
        ):
            with self.subTest(name=name):
                bench = Bench(FIRST, SECOND)
                bench.pool.add_job(make_job(make_step(long_running=True)))
                (start,) = bench.start()
                entry = FIRST if start.worker.id == FIRST.id else SECOND
                bench.advance(1.5)
                bench.poll(entry, [RunStatus(TASK, 1, "", 10.0)])
                for failure in (first, second):
                    bench.advance(0.15)
                    bench.pool.note_unresponsive(
                        start.worker,
                        unreachable=failure == "refused",
                        disconnected=failure in {"closed", "reset"},
                        closed=failure == "closed",
                    )
                started = [each.worker for each in bench.start()]
                self.assertEqual(len(started), int(ended))
                self.assertNotIn(start.worker, started)

    def test_a_start_that_was_not_answered_in_time_may_still_be_executed(self) -> None:
        """Fails if a task starts again that the next process of its worker may run."""
        for events, waits in (
            (("close", "refuse"), True),
            (("close", "answer", "refuse"), True),
            (("answer", "close", "refuse"), False),
        ):
            with self.subTest(events=events):
                bench = Bench(FIRST, SECOND)
                bench.pool.add_job(make_job())
                (start,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
                for event in events:
                    bench.advance(0.1)
                    if event == "answer":
                        key = (start.worker, start.task, start.number)
                        bench.pool.note_started(*key, bench.clock_ms())
                    elif event == "close":
                        bench.pool.note_unresponsive(start.worker, disconnected=True, closed=True)
                    else:
                        bench.pool.note_unresponsive(start.worker, unreachable=True)
                self.assertEqual(bench.start() == [], waits)


class GangTest(unittest.TestCase):
    """Gangs of which not all members start."""

    def test_a_refused_member_stops_the_others(self) -> None:
        bench = Bench(FIRST, SECOND)
        bench.pool.add_job(make_job(make_step(6, gang=True)))
        orders = [e for e in bench.dispatch() if isinstance(e, StartRun)]
        self.assertEqual(len(orders), 6)
        self.assertEqual(len({order.number for order in orders}), 1)
        for order in orders[1:]:
            bench.pool.note_started(order.worker, order.task, order.number, bench.clock_ms())
        refused = orders[0]
        bench.pool.note_refused(
            refused.worker, refused.task, refused.number, Refusal("room", bench.clock_ms())
        )
        stopped = {e.task for e in bench.pool.pop_effects() if isinstance(e, StopRun)}
        self.assertEqual(stopped, {order.task for order in orders[1:]})


class PaceTest(unittest.TestCase):
    """Best-effort tasks on workers with latency-sensitive ones."""

    def test_tail_latency_near_or_over_its_target_slows_best_effort_runs(self) -> None:
        rows = ((150.0, 0), (90.0, 50), (70.0, None), (20.0, None))
        for tail, pace in rows:
            with self.subTest(tail=tail):
                bench = Bench(FIRST)
                fill, serve = "00000000000000f1", "00000000000000f2"
                bench.pool.add_job(make_job(make_step(best_effort=True), job=fill))  # type: ignore[arg-type]
                bench.pool.add_job(
                    make_job(make_step(long_running=True, target_ms=100), job=serve)  # type: ignore[arg-type]
                )
                tasks = [Task(job, 0, 0, 0) for job in (fill, serve)]  # type: ignore[arg-type]
                bench.poll(
                    FIRST,
                    [
                        RunStatus(tasks[0], 1, "", 10.0, 500.0),
                        RunStatus(tasks[1], 1, "", 100.0, tail),
                    ],
                )
                paces = [e for e in bench.pool.pop_effects() if isinstance(e, PaceRun)]
                self.assertEqual([e.percent for e in paces], [] if pace is None else [pace])


if __name__ == "__main__":
    unittest.main()
