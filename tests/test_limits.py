"""Tests of concurrency limits and call queues."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.deadlines import Deadline
from lavenderstall.errors import RefusedError
from lavenderstall.identifiers import AttemptId, ServiceName, TeamName
from lavenderstall.limits import (
    WARM_UP_CALLS,
    Call,
    CallOutcome,
    ConcurrencyLimit,
    LimitReason,
    ServiceLimits,
    ServiceQueue,
)

ROUTING = ServiceName("routing")
VISION = ServiceName("vision")


def make_call(
    number: int, service: ServiceName = ROUTING, team: str = "t", deadline: float = 1e9
) -> Call:
    """Return a call with a unique attempt id."""
    return Call(AttemptId(str(number)), service, TeamName(team), Deadline(deadline))


class ConcurrencyLimitTest(unittest.TestCase):
    """Guards against limits outside their bounds and against changes in the wrong direction."""

    @given(
        st.lists(st.tuples(st.sampled_from(CallOutcome), st.floats(0.001, 10), st.integers(1, 99)))
    )
    def test_stays_within_bounds(self, steps: list[tuple[CallOutcome, float, int]]) -> None:
        limit = ConcurrencyLimit(initial=10, minimum=2, maximum=40)
        for now, (outcome, latency, in_flight) in enumerate(steps):
            limit.record(outcome, latency, in_flight, float(now))
            self.assertTrue(2 <= limit.limit <= 40)

    def test_direction_of_change(self) -> None:
        for outcome, latency, in_flight, expected in [
            (CallOutcome.COMPLETE, 0.1, 32, 1),
            (CallOutcome.COMPLETE, 0.1, 1, 0),
            (CallOutcome.COMPLETE, 9.0, 32, -1),
            (CallOutcome.REFUSED, 0.1, 32, -1),
            (CallOutcome.TIMED_OUT, 0.1, 32, -1),
            (CallOutcome.FAILED, 0.1, 32, 0),
        ]:
            with self.subTest(outcome=outcome, latency=latency):
                limit = ConcurrencyLimit(initial=32)
                for _ in range(WARM_UP_CALLS):
                    limit.record(CallOutcome.COMPLETE, 0.1, 1, 0.0)
                before = limit.limit
                for step in range(200):
                    limit.record(outcome, latency, in_flight, 1.0 + step / 100)
                change = limit.limit - before
                self.assertEqual((change > 0) - (change < 0), expected)

    def test_calls_of_different_duration_do_not_lower_the_limit(self) -> None:
        limit = ConcurrencyLimit(initial=32)
        for step in range(2000):
            limit.record(CallOutcome.COMPLETE, 0.05 + step % 11 / 100, 32, step / 100)
        self.assertGreaterEqual(limit.limit, 32)


class ServiceQueueTest(unittest.TestCase):
    """Guards against one team's calls delaying those of another."""

    def test_serves_teams_round_robin(self) -> None:
        queue = ServiceQueue(10)
        for number, team in enumerate("aaabab"):
            queue.append(make_call(number, team=team))
        queue.cancel(AttemptId("1"))
        order = [queue.pop().attempt for _ in range(len(queue))]
        self.assertEqual(order, ["0", "3", "2", "5", "4"])

    def test_displaces_the_newest_call_of_the_team_with_most_calls(self) -> None:
        queue = ServiceQueue(4)
        for number, team in enumerate("aaab"):
            queue.append(make_call(number, team=team))
        self.assertEqual(queue.displace().attempt, "2")


class ServiceLimitsTest(unittest.TestCase):
    """Guards against needless refusals and against floods that starve other services."""

    @given(
        st.lists(st.tuples(st.integers(0, 4), st.sampled_from("ab"), st.booleans()), max_size=200)
    )
    def test_counts_hold_and_no_refusal_before_a_bound(
        self, steps: list[tuple[int, str, bool]]
    ) -> None:
        limits = ServiceLimits(total=6, queue_bound=5)
        flying: list[ServiceName] = []
        for number, (action, team, is_routing) in enumerate(steps):
            service = ROUTING if is_routing else VISION
            if action and service in flying and action < 3:
                flying.remove(service)
                released = limits.finish(service, CallOutcome.FAILED, 0.1, float(number))
                flying.extend(call.service for call in released.started)
            else:
                waiting = limits.count_waiting(service)
                try:
                    admitted = limits.admit(make_call(number, service, team), float(number))
                except RefusedError as error:
                    self.assertEqual(error.reason, LimitReason.QUEUE_FULL.value)
                    self.assertEqual(waiting, 5)
                else:
                    self.assertFalse(admitted.displaced and waiting < 5)
                    flying.extend([service] if admitted.starts else [])
            self.assertLessEqual(len(flying), 6)
            for name in (ROUTING, VISION):
                self.assertEqual(limits.count_in_flight(name), flying.count(name))
                self.assertLessEqual(limits.count_in_flight(name), limits.get_limit(name))
                self.assertLessEqual(limits.count_waiting(name), 5)

    def test_call_that_cannot_meet_its_deadline_is_refused_at_once(self) -> None:
        limits = ServiceLimits(total=1)
        limits.admit(make_call(0), 0.0)
        limits.finish(ROUTING, CallOutcome.COMPLETE, 0.2, 0.2)
        limits.admit(make_call(1), 0.2)
        for number in range(2, 7):
            self.assertFalse(limits.admit(make_call(number, deadline=5.0), 0.2).starts)
        with self.assertRaises(RefusedError) as caught:
            limits.admit(make_call(7, deadline=1.0), 0.2)
        self.assertEqual(caught.exception.reason, LimitReason.DEADLINE.value)
        self.assertGreaterEqual(caught.exception.retry_after_ms, 1000)

    def test_expired_calls_are_not_started(self) -> None:
        limits = ServiceLimits(total=1)
        limits.admit(make_call(0), 0.0)
        limits.admit(make_call(1, deadline=1.0), 0.0)
        limits.admit(make_call(2, deadline=9.0), 0.0)
        dequeued = limits.finish(ROUTING, CallOutcome.COMPLETE, 2.0, 2.0)
        self.assertEqual([call.attempt for call in dequeued.started], ["2"])
        self.assertEqual([item.reason for item in dequeued.expired], [LimitReason.EXPIRED])

    def test_flood_leaves_concurrency_that_another_service_used(self) -> None:
        limits = ServiceLimits(total=20)
        for number in range(8):
            limits.admit(make_call(number, VISION), 0.0)
        for _ in range(8):
            limits.finish(VISION, CallOutcome.COMPLETE, 0.1, 0.1)
        for number in range(100, 200):
            limits.admit(make_call(number), 0.2)
        self.assertEqual(limits.count_in_flight(ROUTING), 12)
        self.assertTrue(limits.admit(make_call(300, VISION), 0.3).starts)

    def test_full_queue_admits_a_call_of_another_team(self) -> None:
        limits = ServiceLimits(total=1, queue_bound=4)
        for number in range(5):
            limits.admit(make_call(number, team="a"), 0.0)
        admitted = limits.admit(make_call(9, team="b"), 0.0)
        assert admitted.displaced is not None
        self.assertEqual(admitted.displaced.reason, LimitReason.DISPLACED)
        self.assertEqual(admitted.displaced.call.attempt, "4")


if __name__ == "__main__":
    unittest.main()
