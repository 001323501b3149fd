"""Tests of charges learnt from usage reports."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.identifiers import JobId, ServiceName, TaskId, TeamName
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.usage import (
    HEADROOM,
    PEAK_HALF_LIFE_S,
    SETTLE_S,
    THROTTLE_GRACE_S,
    TRUSTED_JOBS,
    TRUSTED_RATIO,
    ChargeReason,
    Correction,
    CorrectionReason,
    Move,
    Report,
    Shape,
    StartObstacle,
    Throttle,
    Usage,
    scale,
)

CAPACITY = Resources(16_000, 64_000)
DECLARED = Resources(1000, 2000, accelerators=1)
TEAM = TeamName("t")
SHAPE = Shape(TEAM, JobId("j"))
TASK = TaskId("j.0")
AMOUNTS = st.builds(Resources, st.integers(1, 16_000), st.integers(1, 64_000))


class ChargeTest(unittest.TestCase):
    """Guards against charges below what tasks use and beyond what an instance has."""

    def setUp(self) -> None:
        self.usage = Usage()

    def observe(self, used: Resources, now: float = 0.0, shape: Shape = SHAPE) -> None:
        """Let one task of a shape run until its use is known."""
        self.usage.record_start(TASK, shape, DECLARED, CAPACITY, now)
        for step in range(3):
            self.usage.record_report(TASK, used, now + step * SETTLE_S)

    def test_start_charges(self) -> None:
        sibling = Shape(TEAM, JobId("k"), ServiceName("s"))
        first = Shape(TEAM, JobId("j"), ServiceName("s"))
        for shape, used, reason, expected in [
            (SHAPE, None, ChargeReason.UNKNOWN, Resources(10_000, 20_000, 1)),
            (SHAPE, Resources(100, 100), ChargeReason.DECLARED, DECLARED),
            (SHAPE, Resources(900, 1900), ChargeReason.SIBLINGS, Resources(1125, 2375, 1)),
            (first, Resources(500, 4000), ChargeReason.SIBLINGS, Resources(1000, 5000, 1)),
            (first, Resources(15_000, 4000), ChargeReason.SIBLINGS, Resources(16_000, 5000, 1)),
        ]:
            with self.subTest(reason=reason):
                self.usage = Usage()
                if used is not None:
                    self.observe(used, shape=shape)
                later = sibling if shape is first else SHAPE
                charge = self.usage.compute_start_charge(later, DECLARED, CAPACITY)
                self.assertEqual((charge.reason, charge.resources), (reason, expected))

    def test_service_that_holds_its_declaration_is_charged_no_more(self) -> None:
        # Headroom on top charged a whole worker for a service that uses all it declares, so that
        # nothing else started beside it once its use had been reported.
        shape = Shape(TEAM, JobId("k"), ServiceName("s"))
        for used, expected in [
            (Resources(900, 1900), DECLARED),
            (DECLARED, DECLARED),
            (Resources(1001, 2000), Resources(1252, 2500, 1)),
        ]:
            with self.subTest(used=used):
                self.usage = Usage()
                self.observe(used, shape=shape)
                start = self.usage.compute_start_charge(shape, DECLARED, CAPACITY)
                self.assertEqual(start.resources, expected)
                self.assertEqual(self.usage.get_charge(TASK).resources, expected)

    def test_rising_use_does_not_count_as_known(self) -> None:
        self.usage.record_start(TASK, SHAPE, DECLARED, CAPACITY, 0.0)
        for step in range(1, 9):
            self.usage.record_report(TASK, Resources(100, 100 * step), step * SETTLE_S / 2)
        charge = self.usage.compute_start_charge(SHAPE, DECLARED, CAPACITY)
        self.assertIs(charge.reason, ChargeReason.UNKNOWN)

    def test_end_of_a_done_task_makes_its_shape_known(self) -> None:
        for done, reason in [(False, ChargeReason.UNKNOWN), (True, ChargeReason.SIBLINGS)]:
            self.usage.record_start(TASK, SHAPE, DECLARED, CAPACITY, 0.0)
            self.usage.record_report(TASK, Resources(100, 9000), 1.0)
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

    def test_accurate_teams_are_trusted_until_they_are_off_once(self) -> None:
        def charge_next() -> int:
            shape = Shape(TEAM, JobId("next"))
            return self.usage.compute_start_charge(shape, DECLARED, CAPACITY).resources.memory_mb

        for index in range(TRUSTED_JOBS):
            self.assertEqual(charge_next(), 20_000)
            self.observe(DECLARED, shape=Shape(TEAM, JobId(str(index))))
        self.assertEqual(charge_next(), 2000 * TRUSTED_RATIO)
        self.observe(scale(DECLARED, 2), shape=Shape(TEAM, JobId("off")))
        self.assertEqual(charge_next(), 20_000)

    def test_peak_decays_towards_present_use(self) -> None:
        self.observe(Resources(100, 10_000))
        end = 2 * SETTLE_S
        self.usage.record_report(TASK, Resources(100, 6000), end + PEAK_HALF_LIFE_S)
        charge = self.usage.get_charge(TASK).resources
        self.assertAlmostEqual(charge.memory_mb, 8000 * (1 + HEADROOM), delta=2)

    @given(AMOUNTS, st.lists(AMOUNTS, min_size=1, max_size=20))
    def test_charge_bounds(self, declared: Resources, reports: list[Resources]) -> None:
        usage = Usage()
        usage.record_start(TASK, SHAPE, declared, CAPACITY, 0.0)
        for step, used in enumerate(reports):
            usage.record_report(TASK, used, step * SETTLE_S)
            charge = usage.get_charge(TASK).resources
            self.assertTrue(declared.fits(charge))
            self.assertTrue(used.fits(charge))
            self.assertTrue(charge.fits(CAPACITY))
            left = declared.subtract(usage.estimate_reclaimable(TASK, step * SETTLE_S))
            kept = scale(used, 1 + HEADROOM)
            self.assertTrue(
                left == declared or min(kept.cores_milli, declared.cores_milli) <= left.cores_milli
            )
            self.assertGreaterEqual(left.memory_mb, min(kept.memory_mb, declared.memory_mb))


class CorrectionTest(unittest.TestCase):
    """Guards against moving tasks too early, needlessly, or when they may not be run again."""

    def setUp(self) -> None:
        self.usage = Usage(unknown_factor=1)
        for name, memory in [("big.0", 60_000), ("fair.0", 9000)]:
            task, declared = TaskId(name), Resources(1000, 10_000)
            shape = Shape(TEAM, JobId(name))
            self.usage.record_start(task, shape, declared, CAPACITY, 0.0)
            self.usage.record_report(task, Resources(900, memory), 1.0)

    def find(self, now: float, idempotent: tuple[str, ...] = ("big.0",)) -> list[Correction]:
        tasks = [TaskId("fair.0"), TaskId("big.0")]
        allowed = [TaskId(name) for name in idempotent]
        return self.usage.find_corrections(tasks, allowed, CAPACITY, now)

    def test_throttles_first_and_moves_later(self) -> None:
        (throttle,) = self.find(2.0)
        assert isinstance(throttle, Throttle)
        self.assertEqual((throttle.task, throttle.cores_milli), ("big.0", 1000))
        self.usage.apply(throttle, 2.0)
        self.assertEqual(self.find(3.0), [])
        (move,) = self.find(2.0 + THROTTLE_GRACE_S)
        assert isinstance(move, Move)
        self.assertEqual(move.reason, CorrectionReason.STILL_TOO_LARGE)
        (report,) = self.find(2.0 + THROTTLE_GRACE_S, ())
        self.assertIsInstance(report, Report)
        self.assertEqual(self.usage.undo(throttle).cores_milli, throttle.before_milli)
        self.assertIsInstance(self.find(4.0)[0], Throttle)

    def test_nothing_while_all_fit(self) -> None:
        only = [TaskId("big.0")]
        self.assertEqual(self.usage.find_corrections(only, only, CAPACITY, 2.0), [])
        self.assertEqual(self.usage.estimate_reclaimable(TaskId("big.0"), 2.0), NOTHING)


if __name__ == "__main__":
    unittest.main()
