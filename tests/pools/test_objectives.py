"""Tests of objectives and of retry delays for rejected callers."""

import unittest

from lavenderstall.pools.objectives import (
    LONG_OUTAGE_S,
    LONG_RETRY_S,
    SHORT_RETRY_S,
    URGENT_OBJECTIVE_S,
    choose_retry_after_s,
    estimate_critical_path_ms,
    get_objective_s,
)
from lavenderstall.pools.work import JobSpec
from tests.pools.builders import make_queue, make_step


class ObjectiveTest(unittest.TestCase):
    """How long a job may take."""

    def test_the_longest_chain_counts(self) -> None:
        first, second = make_step(expected_ms=300), make_step(expected_ms=500)
        rows = (
            ((first,), 300),
            ((first, second), 500),
            ((first, make_step(expected_ms=400, after=(0,))), 700),
            ((first, second, make_step(expected_ms=400, after=(0, 1))), 900),
        )
        for steps, critical_path_ms in rows:
            with self.subTest(critical_path_ms=critical_path_ms):
                spec = JobSpec("", steps)
                self.assertEqual(estimate_critical_path_ms(spec), critical_path_ms)
                queue = make_queue(slack=2.0, objective_ms=250.0)
                self.assertAlmostEqual(
                    get_objective_s(spec, queue), (2 * critical_path_ms + 250) / 1000
                )


class RetryTest(unittest.TestCase):
    """Retry delays for callers."""

    def test_only_urgent_callers_retry_soon_and_not_during_long_outages(self) -> None:
        rows = (
            (1.0, 0.2, False, SHORT_RETRY_S),
            (URGENT_OBJECTIVE_S + 1, 0.2, False, LONG_RETRY_S),
            (1.0, LONG_OUTAGE_S + 0.1, False, LONG_RETRY_S),
            (1.0, 0.2, True, LONG_RETRY_S),
        )
        for objective_s, outage_s, cut_off, retry_s in rows:
            with self.subTest(objective_s=objective_s, outage_s=outage_s, cut_off=cut_off):
                self.assertEqual(
                    choose_retry_after_s(objective_s, outage_s, cut_off=cut_off), retry_s
                )


if __name__ == "__main__":
    unittest.main()
