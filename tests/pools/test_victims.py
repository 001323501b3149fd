"""Tests of what jobs lose if they are preempted."""

import unittest

from lavenderstall.identifiers import JobId
from lavenderstall.pools.effects import RunStatus, StopRun
from lavenderstall.pools.preemption import MIN_PREEMPTION_WAIT_S
from lavenderstall.pools.victims import VictimLoss, rate_victim
from lavenderstall.pools.work import QueueName, Settings
from lavenderstall.resources import Resources
from tests.pools.builders import POOL, Bench, make_entry, make_job, make_queue, make_step

WORKER = make_entry("w1", capacity=Resources(4000, 16000))
URGENT = make_queue(name=QueueName("urgent"), priority=0)
# A task of 20 s may take 21 s in one queue, and a minute more in the other.
TIGHT = make_queue(name=QueueName("tight"), priority=2, slack=1.0, objective_ms=1_000.0)
SLACK = make_queue(name=QueueName("slack"), priority=2, slack=1.0, objective_ms=60_000.0)


class VictimLossTest(unittest.TestCase):
    """What is lost by a pause."""

    def test_a_pause_costs_what_can_no_longer_be_reached(self) -> None:
        """Fails if a job that would become late is taken for one that can wait."""
        rows = (
            ((9.0, 1.0, 5.0), VictimLoss.NOTHING),
            ((4.0, 9.0, 30.0), VictimLoss.TIME),
            ((4.0, 2.0, 9.0), VictimLoss.TIME),
            ((4.0, 2.0, 5.0), VictimLoss.LATE_RESULT),
            ((4.0, 5.0, 30.0), VictimLoss.RESULT_IN_TIME),
        )
        for times, expected in rows:
            with self.subTest(times=times):
                self.assertIs(rate_victim(*times), expected)

    def test_the_run_that_is_stopped_is_that_of_the_job_that_can_wait(self) -> None:
        """Fails if a job becomes late by a preemption, beside one that wouldn't."""
        jobs = {TIGHT.name: JobId("b" * 16), SLACK.name: JobId("c" * 16)}
        for orders_overload, expected in ((False, TIGHT.name), (True, SLACK.name)):
            with self.subTest(orders_overload=orders_overload):
                bench = Bench(WORKER)
                bench.pool.orders_overload = orders_overload
                bench.pool.set_settings(
                    Settings(2, (URGENT, TIGHT, SLACK), frozenset(), frozenset({POOL}))
                )
                step = make_step(2, expected_ms=20_000, checkpointing=True)
                for queue, job in jobs.items():
                    bench.pool.add_job(make_job(step, job=job, queue=queue))
                starts = bench.start()
                # So early the tasks of one queue have done less, and would else be preferred.
                bench.advance(9.0)
                percents = {jobs[TIGHT.name]: 30.0, jobs[SLACK.name]: 40.0}
                bench.poll(
                    WORKER,
                    [RunStatus(s.task, s.number, "", percents[s.task.job]) for s in starts],
                )
                bench.pool.add_job(make_job(make_step(2), job=JobId("a" * 16), queue=URGENT.name))
                bench.dispatch()
                bench.advance(MIN_PREEMPTION_WAIT_S + 0.05)
                stops = [effect for effect in bench.dispatch() if isinstance(effect, StopRun)]
                self.assertEqual({stop.task.job for stop in stops}, {jobs[expected]})


if __name__ == "__main__":
    unittest.main()
