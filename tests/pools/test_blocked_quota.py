"""Tests of the turns of blocked steps."""

import unittest

from lavenderstall.identifiers import JobId
from lavenderstall.pools.blocked_quota import MOST_BLOCKED, MOST_FURTHER_BLOCKED
from lavenderstall.pools.effects import Advice, RequestAdvice, StartRun
from lavenderstall.resources import Resources
from tests.pools.builders import ADVISED, Bench, allow, make_entry, make_job, make_queue, make_step

LAST = JobId("f" * 16)


def make_denied_steps(count: int) -> Bench:
    """Return steps in front of the last one, for which advice denies the only worker."""
    bench = Bench(make_entry("w1"), queue=make_queue(advising=ADVISED))
    for number in range(count):
        bench.pool.add_job(make_job(job=JobId(f"{number:016x}")))
        for effect in bench.dispatch():
            if isinstance(effect, RequestAdvice):
                bench.pool.note_advice(effect.step_key, Advice((), 2000.0), effect.workers)
    bench.pool.add_job(make_job(job=LAST))
    return bench


class TurnsTest(unittest.TestCase):
    """Steps behind others that wait for advice in vain."""

    def test_each_step_gets_its_turn(self) -> None:
        """Fails if the step behind many that no advice allows is never asked for."""
        for turns in (1, 2, 3):
            with self.subTest(turns=turns):
                bench = make_denied_steps(MOST_BLOCKED + turns * MOST_FURTHER_BLOCKED)
                asked = set()
                for _ in range(2 * (turns + 1)):
                    asked |= {
                        effect.step_key.job
                        for effect in bench.dispatch()
                        if isinstance(effect, RequestAdvice)
                    }
                self.assertIn(LAST, asked)

    def test_a_step_with_a_ticket_needs_no_turn(self) -> None:
        """Fails if a ticket is left to expire as others are blocked."""
        bench = make_denied_steps(0)
        effects = bench.dispatch()
        for number in range(MOST_BLOCKED + MOST_FURTHER_BLOCKED + 1):
            small = make_step(need=Resources(memory_mb=1))
            bench.pool.add_job(make_job(small, job=JobId(f"{number:016x}")))
        bench.dispatch()
        allow(bench, effects, "w1")
        started = [effect for effect in bench.dispatch() if isinstance(effect, StartRun)]
        self.assertEqual([order.task.job for order in started], [LAST])
