"""Tests of charges learnt from usage reports."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.identifiers import JobId, ServiceName, TaskId, TeamName
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.usage import (
    HEADROOM_RATIO,
    PEAK_HALF_LIFE_S,
    SETTLING_TIME_S,
    THROTTLE_GRACE_S,
    TRUSTED_JOBS,
    TRUSTED_USE_RATIO,
    ChargeReason,
    Correction,
    CorrectionReason,
    Move,
    OperatorNotice,
    StartObstacle,
    Throttle,
    UsageShape,
    UsageTracker,
    scale,
)

CAPACITY = Resources(16_000, 64_000)
DECLARED = Resources(1000, 2000, accelerators=1)
TEAM = TeamName("t")
SHAPE = UsageShape(TEAM, JobId("j"))
TASK = TaskId("j.0")
AMOUNTS = st.builds(Resources, st.integers(1, 16_000), st.integers(1, 64_000))


class ChargeTest(unittest.TestCase):
    """Guards against charges below what tasks use or above the capacity of a worker."""

    def setUp(self) -> None:
        self.usage = UsageTracker()

    def observe(self, used: Resources, now: float = 0.0, shape: UsageShape = SHAPE) -> None:
        """Run one task of a shape until its use has settled."""
        self.usage.record_start(TASK, shape, DECLARED, CAPACITY, now)
        for step in range(3):
            self.usage.record_usage(TASK, used, now + step * SETTLING_TIME_S)

    def test_start_charges(self) -> None:
        sibling = UsageShape(TEAM, JobId("k"), ServiceName("s"))
        first = UsageShape(TEAM, JobId("j"), ServiceName("s"))
        for shape, used, reason, expected in [
            (SHAPE, None, ChargeReason.UNOBSERVED, Resources(10_000, 20_000, 1)),
            (SHAPE, Resources(100, 100), ChargeReason.DECLARED, DECLARED),
            (
                SHAPE,
                Resources(900, 1900),
                ChargeReason.SIBLINGS_USED_MORE,
                Resources(1125, 2375, 1),
            ),
            (
                first,
                Resources(500, 4000),
                ChargeReason.SIBLINGS_USED_MORE,
                Resources(1000, 5000, 1),
            ),
            (
                first,
                Resources(15_000, 4000),
                ChargeReason.SIBLINGS_USED_MORE,
                Resources(16_000, 5000, 1),
            ),
        ]:
            with self.subTest(reason=reason):
                self.usage = UsageTracker()
                if used is not None:
                    self.observe(used, shape=shape)
                later = sibling if shape is first else SHAPE
                charge = self.usage.compute_start_charge(later, DECLARED, CAPACITY)
                self.assertEqual((charge.reason, charge.resources), (reason, expected))

    def test_service_within_its_declaration_is_charged_no_more(self) -> None:
        # With headroom on top, a service that used all it declared was charged a whole worker, and
        # nothing else could start there once its use had been reported.
        shape = UsageShape(TEAM, JobId("k"), ServiceName("s"))
        for used, expected in [
            (Resources(900, 1900), DECLARED),
            (DECLARED, DECLARED),
            (Resources(1001, 2000), Resources(1252, 2500, 1)),
        ]:
            with self.subTest(used=used):
                self.usage = UsageTracker()
                self.observe(used, shape=shape)
                start = self.usage.compute_start_charge(shape, DECLARED, CAPACITY)
                self.assertEqual(start.resources, expected)
                self.assertEqual(self.usage.get_charge(TASK).resources, expected)

    def test_rising_use_does_not_count_as_observed(self) -> None:
        self.usage.record_start(TASK, SHAPE, DECLARED, CAPACITY, 0.0)
        for step in range(1, 9):
            self.usage.record_usage(TASK, Resources(100, 100 * step), step * SETTLING_TIME_S / 2)
        charge = self.usage.compute_start_charge(SHAPE, DECLARED, CAPACITY)
        self.assertIs(charge.reason, ChargeReason.UNOBSERVED)

    def test_successful_task_makes_its_shape_observed(self) -> None:
        for done, reason in [
            (False, ChargeReason.UNOBSERVED),
            (True, ChargeReason.SIBLINGS_USED_MORE),
        ]:
            self.usage.record_start(TASK, SHAPE, DECLARED, CAPACITY, 0.0)
            self.usage.record_usage(TASK, Resources(100, 9000), 1.0)
            self.usage.record_end(TASK, done=done, now=2.0)
            charge = self.usage.compute_start_charge(SHAPE, DECLARED, CAPACITY)
            self.assertIs(charge.reason, reason)

    def test_siblings_wait_for_the_first_observation(self) -> None:
        self.assertIsNone(self.usage.find_start_obstacle(SHAPE))
        for ends in (True, False):
            self.usage.record_start(TASK, SHAPE, DECLARED, CAPACITY, 0.0)
            obstacle = self.usage.find_start_obstacle(SHAPE)
            self.assertIs(obstacle, StartObstacle.FIRST_TASK_UNOBSERVED)
            if ends:
                self.usage.record_end(TASK, done=False, now=1.0)
            else:
                self.observe(DECLARED)
            self.assertIsNone(self.usage.find_start_obstacle(SHAPE))

    def test_accurate_teams_are_trusted_until_the_first_deviation(self) -> None:
        def charge_next() -> int:
            shape = UsageShape(TEAM, JobId("next"))
            return self.usage.compute_start_charge(shape, DECLARED, CAPACITY).resources.memory_mb

        for index in range(TRUSTED_JOBS):
            self.assertEqual(charge_next(), 20_000)
            self.observe(DECLARED, shape=UsageShape(TEAM, JobId(str(index))))
        self.assertEqual(charge_next(), 2000 * TRUSTED_USE_RATIO)
        self.observe(scale(DECLARED, 2), shape=UsageShape(TEAM, JobId("off")))
        self.assertEqual(charge_next(), 20_000)

    def test_peak_decays_towards_present_use(self) -> None:
        self.observe(Resources(100, 10_000))
        end = 2 * SETTLING_TIME_S
        self.usage.record_usage(TASK, Resources(100, 6000), end + PEAK_HALF_LIFE_S)
        charge = self.usage.get_charge(TASK).resources
        self.assertAlmostEqual(charge.memory_mb, 8000 * (1 + HEADROOM_RATIO), delta=2)

    @given(AMOUNTS, st.lists(AMOUNTS, min_size=1, max_size=20))
    def test_charge_bounds(self, declared: Resources, reports: list[Resources]) -> None:
        usage = UsageTracker()
        usage.record_start(TASK, SHAPE, declared, CAPACITY, 0.0)
        for step, used in enumerate(reports):
            usage.record_usage(TASK, used, step * SETTLING_TIME_S)
            charge = usage.get_charge(TASK).resources
            self.assertTrue(declared.fits(charge))
            self.assertTrue(used.fits(charge))
            self.assertTrue(charge.fits(CAPACITY))
            left = declared.subtract(usage.estimate_reclaimable(TASK, step * SETTLING_TIME_S))
            kept = scale(used, 1 + HEADROOM_RATIO)
            self.assertTrue(
                left == declared or min(kept.cores_milli, declared.cores_milli) <= left.cores_milli
            )
            self.assertGreaterEqual(left.memory_mb, min(kept.memory_mb, declared.memory_mb))


class CorrectionTest(unittest.TestCase):
    """Guards against moving tasks too early, needlessly, or if they are not idempotent."""

    def setUp(self) -> None:
        self.usage = UsageTracker(unobserved_factor=1)
        for name, memory in [("big.0", 60_000), ("fair.0", 9000)]:
            task, declared = TaskId(name), Resources(1000, 10_000)
            shape = UsageShape(TEAM, JobId(name))
            self.usage.record_start(task, shape, declared, CAPACITY, 0.0)
            self.usage.record_usage(task, Resources(900, memory), 1.0)

    def find(self, now: float, idempotent: tuple[str, ...] = ("big.0",)) -> list[Correction]:
        tasks = [TaskId("fair.0"), TaskId("big.0")]
        allowed = [TaskId(name) for name in idempotent]
        return self.usage.find_corrections(tasks, allowed, CAPACITY, now)

    def test_throttles_first_and_moves_later(self) -> None:
        (throttle,) = self.find(2.0)
        assert isinstance(throttle, Throttle)
        self.assertEqual((throttle.task, throttle.cores_milli), ("big.0", 1000))
        self.usage.record_correction(throttle, 2.0)
        self.assertEqual(self.find(3.0), [])
        (move,) = self.find(2.0 + THROTTLE_GRACE_S)
        assert isinstance(move, Move)
        self.assertEqual(move.reason, CorrectionReason.STILL_TOO_LARGE)
        (report,) = self.find(2.0 + THROTTLE_GRACE_S, ())
        self.assertIsInstance(report, OperatorNotice)
        self.assertEqual(
            self.usage.undo_throttle(throttle).cores_milli, throttle.previous_cores_milli
        )
        self.assertIsInstance(self.find(4.0)[0], Throttle)

    def test_no_correction_while_all_fit(self) -> None:
        only = [TaskId("big.0")]
        self.assertEqual(self.usage.find_corrections(only, only, CAPACITY, 2.0), [])
        self.assertEqual(self.usage.estimate_reclaimable(TaskId("big.0"), 2.0), NOTHING)


if __name__ == "__main__":
    unittest.main()
