"""Tests of room that is kept or freed for steps that can't use it."""

import unittest

from lavenderstall.identifiers import JobId
from lavenderstall.pools.effects import RequestAdvice, RunStatus, StartRun, StopRun
from lavenderstall.pools.gang_reservations import MAX_UNUSED_S, MIN_PAUSE_S
from lavenderstall.pools.preemption import MIN_PREEMPTION_WAIT_S
from lavenderstall.pools.work import QueueName, Settings, Step, StepKey
from lavenderstall.resources import Resources
from tests.pools.builders import (
    ADVISED,
    CAPACITY,
    JOB,
    POOL,
    Bench,
    allow,
    make_entry,
    make_job,
    make_queue,
    make_step,
)

URGENT_JOB, OTHER_JOB = JobId("1" * 16), JobId("2" * 16)
WHOLE = Resources(CAPACITY.cores_milli, 1000)
# Whole workers, and the cores of whole workers for best-effort tasks, which reserve none.
FILLING = {"need": Resources(1000, 16000), "best_effort": True}
SERVING = make_step(2, need=Resources(), long_running=True, target_ms=100, max_per_worker=1)


def list_starts(bench: Bench) -> list[StartRun]:
    """Dispatch and return the starts."""
    return [effect for effect in bench.dispatch() if isinstance(effect, StartRun)]


def list_started(bench: Bench) -> set[JobId]:
    """Dispatch and return the jobs that started."""
    return {order.task.job for order in list_starts(bench)}


class GangTest(unittest.TestCase):
    """A gang that can't start, beside a job that can."""

    # What keeps a gang from starting, although each worker has room for its tasks.
    CONDITIONS: dict[str, Step] = {
        "label": make_step(2, need=WHOLE, gang=True, label="no such label"),
        "label of too few workers": make_step(2, need=WHOLE, gang=True, label="only w1"),
        "tasks per worker": make_step(8, gang=True, max_per_worker=1),
        "tasks that serve": make_step(2, gang=True, **FILLING),
    }

    def make_bench(self) -> Bench:
        """Return a pool of two workers with a task that serves on each."""
        entries = (make_entry("w1", labels=("only w1",)), make_entry("w2"))
        bench = Bench(*entries)
        bench.pool.add_job(make_job(SERVING, job=JOB))
        self.assertEqual(len(bench.start()), 2)
        return bench

    def test_a_gang_reserves_only_workers_that_it_may_start_on(self) -> None:
        """Fails if a gang that can start nowhere keeps workers idle."""
        for name, gang in self.CONDITIONS.items():
            with self.subTest(condition=name):
                bench = self.make_bench()
                bench.pool.add_job(make_job(gang, job=URGENT_JOB))
                bench.pool.jobs[URGENT_JOB].submitted_at -= 0.1
                bench.pool.add_job(make_job(make_step(), job=OTHER_JOB))
                self.assertEqual(list_started(bench), {OTHER_JOB})

    def test_a_gang_that_may_start_reserves_workers(self) -> None:
        """Fails if conditions that are met keep a gang from reserving the room that it needs."""
        entries = (make_entry("w1"), make_entry("w2"))
        bench = Bench(*entries)
        bench.pool.add_job(make_job(make_step(1, need=WHOLE, expected_ms=9000), job=JOB))
        (first,) = bench.start()
        gang = make_step(2, need=WHOLE, gang=True, label="a", max_per_worker=1)
        bench.pool.add_job(make_job(gang, job=URGENT_JOB))
        bench.pool.jobs[URGENT_JOB].submitted_at -= 0.1
        bench.pool.add_job(make_job(make_step(expected_ms=60_000), job=OTHER_JOB))
        self.assertEqual(list_started(bench), set())
        self.assertEqual(first.task.job, JOB)

    def test_room_that_stays_unused_is_reserved_for_a_short_time_only(self) -> None:
        """Fails if a gang keeps workers idle that for whatever reason doesn't start there."""
        entries = (make_entry("w1"), make_entry("w2"))
        bench = Bench(*entries, queue=make_queue(advising=ADVISED))
        gang = make_step(2, need=WHOLE, gang=True)
        bench.pool.add_job(make_job(gang, job=URGENT_JOB))
        bench.pool.jobs[URGENT_JOB].submitted_at -= 0.1
        bench.pool.add_job(make_job(make_step(), job=OTHER_JOB))
        started: set[JobId] = set()
        held_s = 0.0
        while not started and held_s < MAX_UNUSED_S + MIN_PAUSE_S:
            # The tickets of the gang have always expired, those of the other job never.
            for effect in bench.dispatch():
                if isinstance(effect, RequestAdvice):
                    valid_ms = 0.0 if effect.step_key.job == URGENT_JOB else 1e6
                    allow(bench, [effect], "w1", "w2", valid_ms=valid_ms)
                if isinstance(effect, StartRun):
                    started.add(effect.task.job)
            bench.advance(0.1)
            held_s += 0.1
            for entry in entries:
                bench.poll(entry)
        self.assertEqual(started, {OTHER_JOB})
        self.assertLessEqual(held_s, MAX_UNUSED_S + 0.5)


class AdvisedStepTest(unittest.TestCase):
    """Room that is kept for a step until its advice arrives."""

    def test_a_step_keeps_no_more_room_than_its_tasks_may_use(self) -> None:
        """Fails if a worker waits for tasks of which it may run only one."""
        entry = make_entry("w1")
        bench = Bench(entry, queue=make_queue(advising=ADVISED))
        bench.pool.add_job(make_job(make_step(2), job=OTHER_JOB))
        allow(bench, bench.dispatch(), "w1", valid_ms=1e6)
        bench.pool.jobs[OTHER_JOB].submitted_at += 0.1
        step = make_step(4, max_per_worker=1)
        bench.pool.add_job(make_job(step, job=URGENT_JOB))
        self.assertEqual(len([o for o in list_starts(bench) if o.task.job == OTHER_JOB]), 2)
        self.assertIn(StepKey(URGENT_JOB, 0, 0), bench.pool.advice)


class PreemptionTest(unittest.TestCase):
    """Runs that are stopped for a more urgent step."""

    def test_nothing_is_stopped_where_no_more_tasks_may_start(self) -> None:
        """Fails if work is stopped on a worker that has as many tasks of a step as it may."""
        urgent, batch = (
            make_queue(priority=0),
            make_queue(name=QueueName("batch"), priority=5, objective_ms=60_000.0),
        )
        for limit, stopped in ((0, 1), (1, 0)):
            with self.subTest(limit=limit):
                entry = make_entry("w1")
                bench = Bench(entry)
                settings = Settings(2, (urgent, batch), frozenset(), frozenset({POOL}))
                bench.pool.set_settings(settings)
                step = make_step(2, expected_ms=60_000, max_per_worker=limit)
                bench.pool.add_job(
                    make_job(make_step(3, expected_ms=10_000, checkpointing=True), queue=batch.name)
                )
                orders = bench.start()
                bench.pool.add_job(make_job(step, job=URGENT_JOB))
                orders += bench.start()
                bench.advance(MIN_PREEMPTION_WAIT_S + 0.05)
                bench.poll(entry, [RunStatus(o.task, o.number, "", 30.0) for o in orders])
                stops = [effect for effect in bench.dispatch() if isinstance(effect, StopRun)]
                self.assertEqual(len(stops), stopped)


if __name__ == "__main__":
    unittest.main()
