"""Tests of admission quotas and waiting limits."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.admission import Admission, AdmissionReason, Quota
from lavenderstall.errors import Outcome, RefusedError
from lavenderstall.identifiers import TeamName
from lavenderstall.protocol import Kind
from lavenderstall.resources import NOTHING, Resources

A, B, C = TeamName("a"), TeamName("b"), TeamName("c")
CORE = Resources(1000)
QUOTAS = {A: Quota(Resources(4000), 8), B: Quota(), C: Quota()}


class AdmissionTest(unittest.TestCase):
    """Guards against unbounded queues and refusals before a bound is reached."""

    def setUp(self) -> None:
        self.admission = Admission(QUOTAS, 0.0, kind_bound=20, team_bound=16)

    def assert_refused(self, team: TeamName, count: int, demand: Resources = CORE) -> RefusedError:
        with self.assertRaises(RefusedError) as caught:
            self.admission.admit(Kind.BATCH, team, count, demand, 10.0)
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
        return caught.exception

    def test_reasons(self) -> None:
        for team, count, demand, reason, detail in [
            (TeamName("x"), 1, CORE, AdmissionReason.UNKNOWN_TEAM, "x is not declared"),
            (
                A,
                1,
                Resources(4001),
                AdmissionReason.LARGER_THAN_QUOTA,
                "team a: cores_milli is 4001, at most 4000",
            ),
            (A, 9, CORE, AdmissionReason.TEAM_WAITING_QUOTA, "the waiting quota of the team by 1"),
            (B, 17, CORE, AdmissionReason.TEAM_QUEUE_FULL, "team and kind batch by 1"),
        ]:
            with self.subTest(reason=reason):
                refusal = self.assert_refused(team, count, demand)
                self.assertEqual(refusal.reason, reason.value)
                self.assertIn(detail, refusal.detail)
        self.assertEqual(self.admission.count_waiting(Kind.BATCH), 0)

    def test_flooding_team_leaves_queue_space_for_another(self) -> None:
        self.admission.admit(Kind.BATCH, B, 14, CORE, 0.0)
        self.assertEqual(self.assert_refused(B, 2).reason, AdmissionReason.KIND_QUEUE_FULL.value)
        self.admission.admit(Kind.BATCH, C, 5, CORE, 0.0)

    def test_retry_time_follows_the_drain_rate(self) -> None:
        self.admission.admit(Kind.BATCH, B, 15, CORE, 0.0)
        self.assertEqual(self.assert_refused(B, 4).retry_after_ms, 60_000)
        for step in range(10):
            self.admission.record_start(Kind.BATCH, B, CORE, float(step))
            self.admission.admit(Kind.BATCH, B, 1, CORE, float(step))
        self.assertAlmostEqual(self.assert_refused(B, 4).retry_after_ms, 3000, delta=1000)

    def test_running_quota_blocks_starts(self) -> None:
        self.admission.admit(Kind.BATCH, A, 5, CORE, 0.0)
        for _ in range(4):
            self.assertIsNone(self.admission.find_start_obstacle(A, CORE))
            self.admission.record_start(Kind.BATCH, A, CORE, 0.0)
        obstacle = self.admission.find_start_obstacle(A, CORE)
        self.assertIs(obstacle, AdmissionReason.TEAM_RUNNING_QUOTA)
        self.admission.change_charge(A, CORE, NOTHING)
        self.assertIsNone(self.admission.find_start_obstacle(A, CORE))

    @given(st.lists(st.tuples(st.sampled_from([A, B, C]), st.integers(1, 9), st.booleans())))
    def test_bounds_hold(self, steps: list[tuple[TeamName, int, bool]]) -> None:
        admission = Admission(QUOTAS, 0.0, kind_bound=20, team_bound=16)
        for team, count, cancels in steps:
            own = admission.count_waiting(Kind.GANG, team)
            if cancels:
                admission.record_cancel(Kind.GANG, team, min(own, count))
                continue
            total = admission.count_waiting(Kind.GANG)
            try:
                admission.admit(Kind.GANG, team, count, CORE, 0.0)
            except RefusedError:
                bound = 8 if team == A else 16
                self.assertTrue(own + count > bound or total + count > 15)
            self.assertLessEqual(admission.count_waiting(Kind.GANG), 20)
            self.assertLessEqual(admission.count_waiting(Kind.GANG, team), 16)


if __name__ == "__main__":
    unittest.main()
