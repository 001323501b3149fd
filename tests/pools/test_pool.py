"""Tests of what a pool makes of the events that it is told."""

import unittest

from lavenderstall.pools.dispatch import Dispatcher
from lavenderstall.pools.effects import EndRow, PaceRun, Refusal, RunningRow, StartRun, StopRun
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import RecordedRuns, StepProgress
from lavenderstall.pools.pool import ANSWERED_S, SILENCE_S, STOP_RETRY_S, Pool
from lavenderstall.pools.recording import START_LEASE_MS, ProgressBatch
from lavenderstall.pools.work import Cause, Group, JobState, Settings, Task
from lavenderstall.pools.workers import WorkerState
from lavenderstall.resources import NOTHING
from tests.pools.builders import (
    ADVISED,
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


class EndTest(unittest.TestCase):
    """Ends that workers list."""

    def test_end_frees_room_and_completes(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job())
        (order,) = bench.start()
        bench.end(order, Cause.DONE, 1, FIRST)
        self.assertEqual(bench.pool.workers[order.worker].used, NOTHING)
        self.assertIs(bench.pool.jobs[JOB].state, JobState.COMPLETED)

    def test_a_final_state_is_told_only_when_durable(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job())
        (order,) = bench.start()
        bench.end(order, Cause.DONE, 1, FIRST)
        self.assertIs(bench.pool.get_state(JOB), JobState.RUNNING)
        bench.record()
        self.assertIs(bench.pool.get_state(JOB), JobState.COMPLETED)

    def test_ends_are_acknowledged_only_when_all_are_durable(self) -> None:
        bench = Bench(FIRST)
        for number in range(3):
            bench.pool.add_job(make_job(job=f"{number:016x}"))  # type: ignore[arg-type]
        for seq, order in enumerate(bench.start(), start=1):
            bench.end(order, Cause.DONE, seq, FIRST)
        worker = bench.pool.workers[WorkerKey("w1", 1)]
        bench.pool.recorder.note_recorded(bench.pool.recorder.take_batch(2))
        self.assertEqual(worker.committed_seq, 0)
        bench.pool.recorder.note_recorded(bench.pool.recorder.take_batch(2))
        self.assertEqual(worker.committed_seq, 3)

    def test_unknown_jobs_change_nothing(self) -> None:
        bench = Bench(FIRST)
        bench.look(FIRST, ended=[EndRow(1, TASK, 1, Cause.DONE)])
        self.assertEqual(bench.pool.jobs, {})


class DoubtTest(unittest.TestCase):
    """Orders that were not answered."""

    def start(self, bench: Bench) -> StartRun:
        """Order a start that is left unanswered."""
        (order,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
        bench.advance(0.1)
        bench.pool.note_unanswered(order.worker, order.task, order.number)
        return order

    def test_an_unanswered_start_keeps_its_room_and_is_not_repeated(self) -> None:
        bench = Bench(FIRST, SECOND)
        bench.pool.add_job(make_job())
        order = self.start(bench)
        self.assertEqual([e for e in bench.dispatch() if isinstance(e, StartRun)], [])
        self.assertNotEqual(bench.pool.workers[order.worker].used, NOTHING)

    def test_a_look_that_shows_the_run_settles_it(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job())
        order = self.start(bench)
        bench.advance(0.1)
        bench.look(FIRST, [RunningRow(order.task, order.number, "", 5.0)])
        run = bench.pool.workers[order.worker].runs[order.task, order.number]
        self.assertGreaterEqual(run.confirmed_at, 0)
        self.assertFalse(run.stopping)

    def test_a_look_without_the_run_makes_sure_that_it_never_starts(self) -> None:
        bench = Bench(FIRST, SECOND)
        bench.pool.add_job(make_job())
        order = self.start(bench)
        entry = FIRST if order.worker.id == "w1" else SECOND
        bench.advance(0.1)
        bench.look(entry)
        stops = [e for e in bench.pool.take_effects() if isinstance(e, StopRun)]
        self.assertEqual([(e.task, e.number) for e in stops], [(order.task, order.number)])
        bench.advance(0.01)
        bench.pool.note_stopped(order.worker, order.task, order.number, bench.clock_ms())
        bench.advance(0.01)
        bench.look(entry)
        (again,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
        self.assertGreater(again.number, order.number)

    def test_past_its_deadline_an_absent_run_is_over(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job())
        order = self.start(bench)
        bench.advance(2.6)
        bench.look(FIRST)
        self.assertNotIn((order.task, order.number), bench.pool.workers[order.worker].runs)

    def test_a_lease_that_must_have_lapsed_frees_the_task(self) -> None:
        bench = Bench(FIRST, SECOND)
        bench.pool.add_job(make_job())
        order = self.start(bench)
        entry = SECOND if order.worker.id == "w1" else FIRST
        bench.pool.set_workers([entry])
        bench.advance(4.0)
        self.assertEqual([e for e in bench.dispatch() if isinstance(e, StartRun)], [])
        bench.advance(3.0)
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

    def test_a_stop_is_repeated_until_the_run_has_ended(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job())
        (order,) = bench.start()
        bench.pool.cancel_job(JOB)
        self.assertEqual(len(bench.pool.take_effects()), 1)
        bench.advance(STOP_RETRY_S / 2)
        self.assertEqual(bench.pool.take_effects(), [])
        bench.advance(STOP_RETRY_S)
        self.assertEqual(len(bench.pool.take_effects()), 1)
        bench.end(order, Cause.STOPPED, 1, FIRST)
        bench.advance(STOP_RETRY_S * 2)
        self.assertEqual(bench.pool.take_effects(), [])


class IncarnationTest(unittest.TestCase):
    """Workers that come, go and come back."""

    def test_a_newer_life_frees_what_the_older_one_ran(self) -> None:
        for how in ("registered", "answered"):
            with self.subTest(how=how):
                bench = Bench(FIRST)
                bench.pool.add_job(make_job())
                (order,) = bench.start()
                bench.look(FIRST, [RunningRow(order.task, order.number, "", 5.0)])
                if how == "registered":
                    bench.pool.set_workers([make_entry("w1", incarnation=2)])
                else:
                    bench.look(FIRST, incarnation=2)
                self.assertEqual(list(bench.pool.workers), [WorkerKey("w1", 2)])
                self.assertEqual(bench.pool.jobs[JOB].get_step(0, 0).waiting, {0})

    def test_a_run_that_no_look_has_shown_stays_in_doubt_in_the_newer_life(self) -> None:
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
                bench.look(newer, [RunningRow(order.task, order.number, "", 1.0)])
                run = bench.pool.workers[WorkerKey(name, 2)].runs[order.task, order.number]
                self.assertGreaterEqual(run.confirmed_at, 0)

    def test_ends_are_acknowledged_only_to_a_life_that_is_certain(self) -> None:
        bench = Bench(FIRST)
        worker = bench.pool.workers[WorkerKey("w1", 1)]
        worker.committed_seq = 7
        for passed, seq in ((0.1, 7), (0.5, 0)):
            with self.subTest(passed=passed):
                self.assertEqual(worker.get_seen_seq(worker.looked_at + passed), seq)

    def test_an_adopted_run_is_given_its_whole_lease(self) -> None:
        bench = Bench(FIRST, SECOND)
        bench.pool.add_job(make_job())
        bench.look(FIRST, [RunningRow(TASK, 1, "", 40.0)])
        bench.advance(5.0)
        self.assertEqual([e for e in bench.dispatch() if isinstance(e, StartRun)], [])
        bench.advance(2.0)
        self.assertEqual(len([e for e in bench.dispatch() if isinstance(e, StartRun)]), 1)

    def test_a_worker_whose_address_another_process_has_is_gone_at_once(self) -> None:
        for how in ("look", "start"):
            with self.subTest(how=how):
                bench = Bench(FIRST)
                bench.pool.add_job(make_job())
                (order,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
                refusal = Refusal("instance")
                if how == "look":
                    bench.pool.note_look_refused(order.worker, refusal)
                else:
                    bench.pool.note_refused(order.worker, order.task, order.number, refusal)
                self.assertEqual(bench.pool.jobs[JOB].get_step(0, 0).waiting, {0})
                bench.pool.set_workers([FIRST])
                self.assertEqual(bench.pool.workers, {})

    def test_a_worker_that_refuses_a_look_counts_as_silent(self) -> None:
        bench = Bench(FIRST)
        bench.pool.note_look_refused(WorkerKey("w1", 1), Refusal("unhealthy"))
        self.assertGreaterEqual(bench.pool.workers[WorkerKey("w1", 1)].silent_since, 0)

    def test_a_worker_gets_nothing_before_it_was_looked_at(self) -> None:
        bench = Bench()
        bench.pool.set_workers([FIRST])
        bench.pool.add_job(make_job())
        self.assertEqual(bench.dispatch(), [])

    def test_a_silent_worker_is_looked_at_until_it_answers(self) -> None:
        bench = Bench(FIRST)
        worker = bench.pool.workers[WorkerKey("w1", 1)]
        self.assertFalse(bench.pool.needs_look(worker))
        bench.pool.note_silence(worker.key)
        bench.advance(30.0)
        self.assertTrue(bench.pool.needs_look(worker))
        bench.look(FIRST)
        self.assertFalse(bench.pool.needs_look(worker))
        bench.pool.add_job(make_job())
        self.assertEqual(len([e for e in bench.dispatch() if isinstance(e, StartRun)]), 1)

    def test_a_leaving_worker_gets_nothing(self) -> None:
        bench = Bench(FIRST)
        bench.pool.set_workers([make_entry("w1", state=WorkerState.DRAINING)])
        bench.pool.add_job(make_job())
        self.assertEqual(bench.dispatch(), [])

    def test_a_worker_that_vanished_from_the_list_gets_nothing(self) -> None:
        bench = Bench(FIRST)
        bench.pool.set_workers([])
        bench.pool.add_job(make_job())
        self.assertEqual(bench.dispatch(), [])


class ReachTest(unittest.TestCase):
    """Workers that may be cut off, and copies of what runs there."""

    def test_workers_of_a_silent_zone_get_nothing_unless_they_have_just_answered(self) -> None:
        rows = (
            (frozenset(), 5.0, True),
            (frozenset({"quito-1"}), ANSWERED_S - 0.1, True),
            (frozenset({"quito-1"}), ANSWERED_S + 0.1, False),
            (frozenset({"quito-2"}), 5.0, True),
        )
        for zones, passed, usable in rows:
            with self.subTest(zones=zones, passed=passed):
                bench = Bench(FIRST)
                bench.advance(passed)
                bench.pool.silent_zones = zones
                bench.pool.add_job(make_job())
                self.assertEqual(len(bench.dispatch()), usable)
                worker = bench.pool.workers[WorkerKey("w1", 1)]
                self.assertTrue(bench.pool.needs_look(worker))

    def test_a_speculative_task_on_a_silent_worker_starts_elsewhere_as_well(self) -> None:
        for speculative in (True, False):
            with self.subTest(speculative=speculative):
                bench = Bench(FIRST, SECOND)
                bench.pool.add_job(make_job(make_step(speculative=speculative)))
                (order,) = bench.start()
                bench.pool.note_silence(order.worker)
                bench.advance(SILENCE_S + 0.1)
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
        bench.pool.note_silence(order.worker)
        bench.advance(SILENCE_S + 0.1)
        (copy,) = bench.start()
        bench.end(copy, Cause.DONE, 1, FIRST if copy.worker.id == "w1" else SECOND)
        stops = [e for e in bench.pool.take_effects() if isinstance(e, StopRun)]
        self.assertEqual([(e.worker, e.number) for e in stops], [(order.worker, order.number)])
        self.assertIs(bench.pool.jobs[JOB].state, JobState.COMPLETED)

    def test_a_task_that_is_done_gets_no_further_copies(self) -> None:
        bench = Bench(FIRST, SECOND)
        bench.pool.add_job(make_job(make_step(2, speculative=True)))
        orders = bench.start()
        first = orders[0].worker
        bench.pool.note_silence(first)
        bench.advance(SILENCE_S + 0.1)
        copies = bench.start()
        other = FIRST if copies[0].worker.id == "w1" else SECOND
        bench.end(copies[0], Cause.DONE, 1, other)
        bench.advance(0.5)
        again = [e for e in bench.dispatch() if isinstance(e, StartRun)]
        self.assertNotIn(copies[0].task, {order.task for order in again})

    def test_copies_are_asked_for_no_more_once_a_task_has_ended(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job(make_step(2, speculative=True)))
        order, _ = bench.start()
        bench.pool.note_silence(order.worker)
        bench.advance(SILENCE_S + 0.1)
        state = bench.pool.jobs[JOB].get_step(0, 0)
        self.assertEqual(state.copies, {0, 1})
        bench.end(order, Cause.DONE, 1, FIRST)
        self.assertEqual(state.copies, {1})


class RecordTest(unittest.TestCase):
    """Orders to start wait until their runs are recorded."""

    def decide(self, bench: Bench, *, advised: bool = False) -> ProgressBatch:
        """Decide a start and return the batch that records it."""
        bench.pool.add_job(make_job())
        if advised:
            bench.dispatcher.dispatch(1, 1)
            allow(bench, bench.pool.take_effects(), "w1")
        bench.dispatcher.dispatch(1, 1)
        self.assertEqual(bench.pool.take_effects(), [])
        batch = bench.pool.recorder.take_batch(10)
        self.assertEqual(len(batch.starts), 1)
        return batch

    def test_a_start_is_ordered_once_its_run_is_recorded(self) -> None:
        bench = Bench(FIRST)
        batch = self.decide(bench)
        (recorded,) = batch.progress[JOB].steps["0.0"].runs
        self.assertEqual(recorded, RecordedRuns("w1", 1, [(0, 1)]))
        bench.advance(0.2)
        bench.pool.recorder.note_recorded(batch)
        (order,) = bench.pool.take_effects()
        assert isinstance(order, StartRun)
        self.assertEqual(order.deadline_ms, int(bench.clock_ms()) + START_LEASE_MS)

    def test_a_start_that_could_not_be_recorded_waits_for_the_next_commit(self) -> None:
        bench = Bench(FIRST)
        bench.pool.recorder.requeue(self.decide(bench))
        self.assertTrue(bench.pool.recorder.is_urgent())
        bench.record()
        self.assertEqual(len(bench.pool.take_effects()), 1)

    def test_what_is_not_wanted_any_more_is_not_ordered(self) -> None:
        def cancel(bench: Bench) -> None:
            bench.pool.cancel_job(JOB)

        def lose_worker(bench: Bench) -> None:
            bench.pool.set_workers([make_entry("w1", incarnation=2)])

        def let_ticket_expire(bench: Bench) -> None:
            bench.advance(2.1)

        for change in (cancel, lose_worker, let_ticket_expire):
            with self.subTest(change=change.__name__):
                bench = Bench(FIRST, queue=make_queue(advising=ADVISED))
                batch = self.decide(bench, advised=True)
                change(bench)
                bench.pool.recorder.note_recorded(batch)
                self.assertEqual(bench.pool.take_effects(), [])
                used = [worker.used for worker in bench.pool.workers.values()]
                self.assertEqual(used, [NOTHING])

    def test_a_look_does_not_miss_a_run_that_was_not_ordered_yet(self) -> None:
        bench = Bench(FIRST)
        batch = self.decide(bench)
        bench.advance(9.0)
        bench.look(FIRST)
        bench.pool.recorder.note_recorded(batch)
        self.assertEqual(len(bench.pool.take_effects()), 1)

    def test_an_ended_run_is_recorded_no_more(self) -> None:
        bench = Bench(FIRST)
        bench.pool.add_job(make_job(make_step(2)))
        first, second = bench.start()
        bench.end(first, Cause.DONE, 1, FIRST)
        (recorded,) = bench.pool.recorder.take_batch(10).progress[JOB].steps["0.0"].runs
        self.assertEqual(recorded.runs, [(second.task.number, second.number)])


class TakeoverTest(unittest.TestCase):
    """What a new owner does with the work of an earlier one."""

    def take_over(
        self, recorded: RecordedRuns | None = None, *, recorded_all: bool = True
    ) -> Bench:
        """Return a pool with two workers that were not heard yet and an inherited job."""
        bench = Bench()
        bench.pool = pool = Pool(POOL, 2, settle_at=bench.now + 10.0, recorded=recorded_all)
        bench.dispatcher = Dispatcher(pool)
        pool.set_settings(Settings(1, (make_queue(),), frozenset(), frozenset({POOL})))
        pool.advance(bench.now, 0.0)
        pool.takeover.add_workers([FIRST, SECOND])
        pool.set_workers([FIRST, SECOND])
        runs = [recorded] if recorded else []
        progress = JobProgress("running", {"0.0": StepProgress(runs=runs)})
        pool.add_job(make_job(), progress, inherited=True)
        return bench

    def test_a_recorded_run_is_waited_for_until_its_worker_was_heard(self) -> None:
        bench = self.take_over(RecordedRuns("w2", 1, [(0, 1)]))
        bench.look(FIRST)
        self.assertEqual(bench.dispatch(), [])
        bench.look(SECOND)
        self.assertEqual(len([e for e in bench.dispatch() if isinstance(e, StartRun)]), 1)

    def test_a_recorded_run_is_waited_for_until_its_lease_has_lapsed(self) -> None:
        for worker in ("w2", "w9"):
            with self.subTest(worker=worker):
                bench = self.take_over(RecordedRuns(worker, 1, [(0, 1)]))
                bench.look(FIRST)
                bench.advance(9.0)
                bench.look(FIRST)
                self.assertEqual([e for e in bench.dispatch() if isinstance(e, StartRun)], [])
                bench.advance(2.0)
                bench.look(FIRST)
                self.assertEqual(len([e for e in bench.dispatch() if isinstance(e, StartRun)]), 1)

    def test_a_recorded_run_may_still_reach_a_newer_incarnation(self) -> None:
        bench = self.take_over(RecordedRuns("w2", 1, [(0, 1)]))
        newer = make_entry("w2", incarnation=2)
        bench.pool.set_workers([FIRST, newer])
        bench.look(FIRST)
        self.assertEqual(bench.dispatch(), [])
        bench.look(newer, [RunningRow(TASK, 1, "", 1.0)])
        self.assertEqual(bench.dispatch(), [])
        self.assertEqual(len(bench.pool.workers[WorkerKey("w2", 2)].runs), 1)

    def test_all_inherited_work_waits_for_all_workers_if_some_runs_have_no_record(self) -> None:
        for heard in (True, False):
            with self.subTest(heard=heard):
                bench = self.take_over(recorded_all=False)
                bench.look(FIRST)
                self.assertEqual(bench.dispatch(), [])
                if heard:
                    bench.look(SECOND)
                else:
                    bench.advance(10.1)
                    bench.look(FIRST)
                self.assertEqual(len([e for e in bench.dispatch() if isinstance(e, StartRun)]), 1)

    def test_new_work_starts_at_once(self) -> None:
        bench = self.take_over(recorded_all=False)
        bench.look(FIRST)
        bench.pool.add_job(make_job(job="00000000000000b2"))  # type: ignore[arg-type]
        (order,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
        self.assertEqual(order.task.job, "00000000000000b2")

    def test_work_that_is_not_recorded_starts_at_once(self) -> None:
        bench = self.take_over()
        bench.look(FIRST)
        (order,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
        self.assertEqual(order.task, TASK)

    def test_a_recorded_run_takes_room(self) -> None:
        bench = self.take_over(RecordedRuns("w2", 1, [(0, 1)]))
        self.assertNotEqual(bench.pool.workers[WorkerKey("w2", 1)].used, NOTHING)

    def test_a_run_that_is_found_is_adopted(self) -> None:
        for recorded in (RecordedRuns("w1", 1, [(0, 1)]), None):
            with self.subTest(recorded=recorded):
                bench = self.take_over(recorded)
                bench.look(FIRST, [RunningRow(TASK, 1, "cp", 40.0)])
                bench.look(SECOND)
                self.assertEqual(bench.dispatch(), [])
                self.assertIs(bench.pool.jobs[JOB].state, JobState.RUNNING)
                self.assertEqual(bench.pool.jobs[JOB].get_checkpoint(TASK), "cp")
                self.assertTrue(bench.pool.takeover.settled)

    def test_a_second_copy_and_unknown_work_are_stopped(self) -> None:
        bench = self.take_over()
        bench.look(FIRST, [RunningRow(TASK, 1, "", 40.0)])
        stranger = Task("ffffffffffffffff", 0, 0, 0)  # type: ignore[arg-type]
        bench.look(SECOND, [RunningRow(TASK, 2, "", 10.0), RunningRow(stranger, 1, "", 1.0)])
        stops = {(e.task, e.number) for e in bench.pool.take_effects() if isinstance(e, StopRun)}
        self.assertEqual(stops, {(TASK, 2), (stranger, 1)})

    def test_what_advice_allows_is_handed_on(self) -> None:
        bench = Bench(FIRST, SECOND, queue=make_queue(advising=ADVISED))
        bench.pool.add_job(make_job(make_step(8)))
        allow(bench, bench.dispatch(), "w1")
        bench.dispatch()
        bench.pool.recorder.mark_changed(JOB)
        progress = bench.pool.recorder.take_batch(10).progress[JOB]
        heir = Bench(FIRST, SECOND, queue=make_queue(advising=ADVISED))
        heir.pool.add_job(make_job(make_step(8)), progress, inherited=True)
        advice = heir.pool.advice[Group(JOB, 0, 0)]
        self.assertEqual((advice.allowed, advice.denied), ({"w1"}, {"w2"}))

    def test_runs_of_a_new_term_are_numbered_above_older_ones(self) -> None:
        bench = self.take_over()
        bench.look(FIRST)
        bench.look(SECOND)
        (order,) = (e for e in bench.dispatch() if isinstance(e, StartRun))
        self.assertGreater(order.number, 1000)


class GangTest(unittest.TestCase):
    """Gangs that do not come together."""

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
        stopped = {e.task for e in bench.pool.take_effects() if isinstance(e, StopRun)}
        self.assertEqual(stopped, {order.task for order in orders[1:]})


class PaceTest(unittest.TestCase):
    """Filling work beside serving work."""

    def test_a_tail_over_its_target_stops_the_filling(self) -> None:
        rows = ((150.0, 0), (90.0, 50), (70.0, None), (20.0, None))
        for tail, pace in rows:
            with self.subTest(tail=tail):
                bench = Bench(FIRST)
                fill, serve = "00000000000000f1", "00000000000000f2"
                bench.pool.add_job(make_job(make_step(fills=True), job=fill))  # type: ignore[arg-type]
                bench.pool.add_job(
                    make_job(make_step(lasting=True, target_ms=100), job=serve)  # type: ignore[arg-type]
                )
                tasks = [Task(job, 0, 0, 0) for job in (fill, serve)]  # type: ignore[arg-type]
                bench.look(
                    FIRST,
                    [
                        RunningRow(tasks[0], 1, "", 10.0, 500.0),
                        RunningRow(tasks[1], 1, "", 100.0, tail),
                    ],
                )
                paces = [e for e in bench.pool.take_effects() if isinstance(e, PaceRun)]
                self.assertEqual([e.percent for e in paces], [] if pace is None else [pace])


if __name__ == "__main__":
    unittest.main()
