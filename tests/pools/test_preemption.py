"""Tests of the preemption of runs for more urgent tasks."""

import unittest

from lavenderstall.identifiers import JobId
from lavenderstall.pools.effects import RunEnd, RunStatus, StartRun, StopRun
from lavenderstall.pools.preemption import (
    MAX_PREEMPTIONS,
    MIN_PREEMPTION_WAIT_S,
    NEARLY_DONE_PERCENT,
)
from lavenderstall.pools.work import EndCause, QueueName, Settings, Step
from lavenderstall.resources import Resources
from tests.pools.builders import POOL, Bench, make_entry, make_job, make_queue, make_step

WORKER = make_entry("w1", capacity=Resources(4000, 16000))
URGENT = make_queue(name=QueueName("urgent"), priority=0)
BATCH = make_queue(name=QueueName("batch"), priority=2, slack=4.0, objective_ms=60_000.0)
LONG = make_step(4, expected_ms=20_000, checkpointing=True)
SHORT = make_step(2)


def make_bench() -> Bench:
    """Return a pool with an urgent and a batch queue."""
    bench = Bench(WORKER)
    settings = Settings(2, (URGENT, BATCH), frozenset(), frozenset({POOL}))
    bench.pool.set_settings(settings)
    return bench


def add(bench: Bench, name: str, queue: QueueName, step: Step) -> None:
    """Add a job of one step."""
    bench.pool.add_job(make_job(step, job=JobId(name), queue=queue))


def fill(bench: Bench, step: Step = LONG, percent: float = 30.0) -> list[StartRun]:
    """Fill the worker with batch tasks that have reported progress."""
    add(bench, "b" * 16, BATCH.name, step)
    orders = bench.start()
    bench.advance(1.0)
    bench.poll(WORKER, [RunStatus(o.task, o.number, "", percent) for o in orders])
    return orders


def wait(bench: Bench, seconds: float = MIN_PREEMPTION_WAIT_S + 0.05) -> list[StopRun]:
    """Let an urgent step wait, and return the runs that are stopped."""
    bench.dispatch()
    bench.advance(seconds)
    return [effect for effect in bench.dispatch() if isinstance(effect, StopRun)]


class PreemptionTest(unittest.TestCase):
    """What is stopped for what."""

    def test_only_as_many_runs_are_stopped_as_needed(self) -> None:
        for count in (1, 2, 3):
            with self.subTest(count=count):
                bench = make_bench()
                fill(bench)
                add(bench, "a" * 16, URGENT.name, make_step(count))
                self.assertEqual(len(wait(bench)), count)
                self.assertEqual(wait(bench), [])

    def test_runs_that_would_lose_much_are_kept(self) -> None:
        rows = (
            ("without checkpoints", make_step(4, expected_ms=20_000), 30.0),
            ("a gang", make_step(4, expected_ms=20_000, checkpointing=True, gang=True), 30.0),
            ("long-running", make_step(4, checkpointing=True, long_running=True), 30.0),
            ("nearly done", LONG, NEARLY_DONE_PERCENT + 1),
        )
        for name, step, percent in rows:
            with self.subTest(name=name):
                bench = make_bench()
                fill(bench, step, percent)
                add(bench, "a" * 16, URGENT.name, SHORT)
                self.assertEqual(wait(bench), [])

    def test_nothing_is_stopped_for_equal_priority_or_a_short_wait(self) -> None:
        for queue, seconds in ((BATCH, 5.0), (URGENT, MIN_PREEMPTION_WAIT_S - 0.05)):
            with self.subTest(queue=queue.name):
                bench = make_bench()
                fill(bench)
                add(bench, "a" * 16, queue.name, SHORT)
                self.assertEqual(wait(bench, seconds), [])

    def test_nothing_is_stopped_for_expired_jobs(self) -> None:
        bench = make_bench()
        fill(bench)
        add(bench, "a" * 16, URGENT.name, SHORT)
        bench.pool.jobs["a" * 16].submitted_at -= 60.0  # type: ignore[index]
        self.assertEqual(wait(bench), [])

    def test_nothing_is_stopped_for_a_gang_that_will_not_fit(self) -> None:
        for count, stopped in ((4, 4), (5, 0)):
            with self.subTest(count=count):
                bench = make_bench()
                fill(bench)
                add(bench, "a" * 16, URGENT.name, make_step(count, gang=True))
                self.assertEqual(len(wait(bench)), stopped)

    def test_preempted_tasks_resume_from_checkpoints_and_preemptions_are_limited(self) -> None:
        bench = make_bench()
        orders = fill(bench)
        seq = 0
        for round_number in range(MAX_PREEMPTIONS + 1):
            name = f"{round_number:016x}"
            add(bench, name, URGENT.name, make_step(4))
            stops = wait(bench)
            if round_number == MAX_PREEMPTIONS:
                self.assertEqual(stops, [])
                return
            self.assertEqual(len(stops), 4)
            ends = [
                RunEnd(seq + n, o.task, o.number, EndCause.STOPPED, f"c{round_number}")
                for n, o in enumerate(orders, 1)
            ]
            bench.poll(WORKER, [], ends)
            urgent = bench.start()
            self.assertEqual({o.task.job for o in urgent}, {name})
            seq += 8
            done = [
                RunEnd(seq - 4 + n, o.task, o.number, EndCause.DONE)
                for n, o in enumerate(urgent, 1)
            ]
            bench.advance(0.1)
            bench.poll(WORKER, [], done)
            orders = bench.start()
            self.assertEqual({o.checkpoint for o in orders}, {f"c{round_number}"})
            bench.advance(0.5)
            bench.poll(WORKER, [RunStatus(o.task, o.number, "", 30.0) for o in orders])


if __name__ == "__main__":
    unittest.main()
