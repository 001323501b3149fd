"""Tests of deadlines, leases and retry budgets."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.deadlines import Deadline, Lease, RetryBudget


class DeadlineTest(unittest.TestCase):
    """Guards against deadlines that grow in transit or depend on another process's clock."""

    @given(st.integers(0, 10**7), st.floats(0, 1e6), st.floats(0, 1e6), st.floats(0, 100))
    def test_remaining_time_never_grows_between_processes(
        self, remaining: int, here: float, there: float, transit: float
    ) -> None:
        first = Deadline.from_remaining(remaining, here)
        second = Deadline.from_remaining(first.get_remaining_ms(here + transit), there)
        self.assertLessEqual(second.get_remaining_ms(there), remaining)

    def test_allows_only_work_that_ends_in_time(self) -> None:
        deadline = Deadline.from_remaining(500, 10.0)
        for seconds, now, expected in [(0.5, 10.0, True), (0.6, 10.0, False), (0.1, 10.45, False)]:
            with self.subTest(seconds=seconds, now=now):
                self.assertEqual(deadline.allows(seconds, now), expected)
        self.assertTrue(deadline.is_expired(10.5))
        self.assertEqual(deadline.get_remaining_ms(11.0), 0)


class LeaseTest(unittest.TestCase):
    """Guards against restarting a task while its first worker may still run it."""

    def test_states(self) -> None:
        lease = Lease(100.0, 30.0)
        for now, valid, lapsed in [
            (100.0, True, False),
            (126.9, True, False),
            (130.0, False, False),
            (132.9, False, False),
            (133.1, False, True),
        ]:
            with self.subTest(now=now):
                self.assertEqual(
                    (lease.is_valid(now), lease.has_certainly_expired(now)), (valid, lapsed)
                )

    @given(st.floats(0, 1e6), st.floats(0.1, 100), st.floats(0, 0.5), st.floats(0, 1e6))
    def test_never_valid_and_lapsed(
        self, sent: float, duration: float, margin: float, now: float
    ) -> None:
        lease = Lease(sent, duration, margin)
        self.assertFalse(lease.is_valid(now) and lease.has_certainly_expired(now))

    def test_late_renewal_does_not_shorten(self) -> None:
        self.assertEqual(Lease(5.0, 3.0).renew(4.0).sent, 5.0)


class RetryBudgetTest(unittest.TestCase):
    """Guards against retries that multiply load during a failure."""

    @given(
        st.lists(st.tuples(st.booleans(), st.floats(0, 2)), max_size=300),
        st.floats(0, 0.5),
        st.floats(0, 2),
    )
    def test_never_exceeded(
        self, steps: list[tuple[bool, float]], ratio: float, floor: float
    ) -> None:
        budget = RetryBudget(0.0, ratio=ratio, floor_per_s=floor)
        now, calls, retries = 0.0, 0, 0
        for is_call, pause in steps:
            now += pause
            if is_call:
                calls += 1
                budget.record_call(now)
            else:
                retries += budget.spend_retry(now)
            self.assertLessEqual(retries, 1 + calls * ratio + now * floor + 1e-6)

    def test_grants_a_tenth_of_calls(self) -> None:
        budget = RetryBudget(0.0, floor_per_s=0.0)
        granted = 0
        for _ in range(1000):
            budget.record_call(0.0)
            granted += budget.spend_retry(0.0)
        self.assertGreaterEqual(granted, 99)


if __name__ == "__main__":
    unittest.main()
