"""Tests of load balancing of calls and of hedging decisions."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.balancing import (
    HEDGE_MIN_CALLS,
    MIN_FAILURE_LATENCY_S,
    CallObstacle,
    CallTarget,
    HedgePolicy,
    HedgeReason,
    choose_target,
    count_obstacles,
)
from lavenderstall.deadlines import Deadline, RetryBudget
from lavenderstall.identifiers import WorkerId

TARGETS = st.lists(
    st.builds(
        CallTarget,
        worker=st.text("abcdefgh", min_size=1, max_size=3).map(WorkerId),
        slots=st.just(8),
        free_slots=st.integers(0, 8),
        free_connections=st.integers(0, 2),
        has_replica=st.booleans(),
        is_leaving=st.booleans(),
        is_quarantined=st.booleans(),
    ),
    max_size=12,
    unique_by=lambda target: target.worker,
)


def make_target(name: str, free_slots: int = 8, **changes: bool) -> CallTarget:
    """Return a target with eight slots."""
    return CallTarget(WorkerId(name), 8, free_slots, 64, **changes)


class ChooseTargetTest(unittest.TestCase):
    """Guards against calls to workers that cannot run them."""

    @given(TARGETS, st.integers(0, 1000))
    def test_chooses_a_usable_worker_if_there_is_one(
        self, targets: list[CallTarget], seed: int
    ) -> None:
        chosen = choose_target(targets, Random(seed), 0.0)
        usable = [target for target in targets if target.find_obstacle() is None]
        self.assertEqual(chosen is None, not usable)
        if chosen is not None:
            self.assertIn(chosen, usable)
        self.assertEqual(sum(count_obstacles(targets).values()), len(targets) - len(usable))

    def test_obstacles(self) -> None:
        for target, expected in [
            (make_target("a", has_replica=False), CallObstacle.NO_REPLICA),
            (make_target("a", is_leaving=True), CallObstacle.LEAVING),
            (make_target("a", is_quarantined=True), CallObstacle.QUARANTINED),
            (make_target("a", 0), CallObstacle.NO_SLOT),
            (CallTarget(WorkerId("a"), 8, 8, 0), CallObstacle.NO_CONNECTION),
        ]:
            with self.subTest(expected=expected):
                self.assertIs(target.find_obstacle(), expected)

    def test_prefers_another_worker_for_a_retry(self) -> None:
        targets = [make_target("a"), make_target("b", 1)]
        chosen = choose_target(targets, Random(1), 0.0, avoid={WorkerId("a")})
        self.assertEqual(chosen, targets[1])
        chosen = choose_target(targets[:1], Random(1), 0.0, avoid={WorkerId("a")})
        self.assertEqual(chosen, targets[0])

    def test_fast_failures_do_not_attract_calls(self) -> None:
        targets = [make_target(str(index)) for index in range(10)]
        targets[0].latency.record_failure(0.001, 0.0)
        for target in targets[1:]:
            target.latency.record(0.1, 0.0)
        random = Random(1)
        chosen = [choose_target(targets, random, 0.1) for _ in range(200)]
        self.assertNotIn(targets[0], chosen)
        self.assertLess(targets[0].latency.estimate(60.0), MIN_FAILURE_LATENCY_S / 100)


class HedgeTest(unittest.TestCase):
    """Guards against hedged calls that repeat side effects or overload a slow service."""

    def setUp(self) -> None:
        self.policy = HedgePolicy(0.0)
        for index in range(HEDGE_MIN_CALLS):
            self.policy.record(0.1 if index % 10 else 0.5, 0.0)

    def test_decisions(self) -> None:
        self.assertAlmostEqual(self.policy.get_delay_s() or 0, 0.5, delta=0.02)
        for idempotent, attempts, now, deadline, tokens, expected in [
            (True, 1, 0.2, 9.0, 1.0, HedgeReason.TOO_EARLY),
            (True, 1, 0.6, 9.0, 1.0, HedgeReason.SLOW),
            (False, 1, 0.6, 9.0, 1.0, HedgeReason.NOT_IDEMPOTENT),
            (True, 2, 0.6, 9.0, 1.0, HedgeReason.ALREADY_HEDGED),
            (True, 1, 0.6, 0.9, 1.0, HedgeReason.DEADLINE),
            (True, 1, 0.6, 9.0, 0.0, HedgeReason.BUDGET),
        ]:
            with self.subTest(expected=expected):
                decision = self.policy.decide(
                    idempotent=idempotent,
                    attempts=attempts,
                    sent=0.0,
                    deadline=Deadline(deadline),
                    budget=RetryBudget(0.0, burst=tokens),
                    now=now,
                )
                self.assertIs(decision.reason, expected)
                self.assertEqual(decision.send, expected is HedgeReason.SLOW)


if __name__ == "__main__":
    unittest.main()
