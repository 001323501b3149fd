"""Tests of the balancing of calls to the placement service."""

import unittest
from typing import Any

from twisted.internet.defer import Deferred

from lavenderstall.errors import AnswerLostError
from lavenderstall.identifiers import EntryId
from lavenderstall.metrics import Metrics
from lavenderstall.pools.advice_balancer import MAX_SHORT_CALLS, NO_ANSWER_PENALTY_S, AdviceBalancer
from lavenderstall.pools.advice_client import (
    MAX_LONG_CALL_BACKLOG_S,
    MAX_SHORT_CALL_BACKLOG_S,
    AdviceClient,
    BusyError,
    LocalAdviceClient,
)
from lavenderstall.pools.effects import Advice, RequestAdvice
from lavenderstall.pools.messages import AdviceAnswer
from lavenderstall.pools.step_advice import SHORT_CALL_S
from lavenderstall.pools.work import StepKey
from tests.pools.builders import JOB

OWN = EntryId("e0")
PEERS = [EntryId(f"e{number}") for number in range(1, 6)]
STEP_KEY = StepKey(JOB, 0, 0)
ADVICE = Advice((("w1", "t"),), 2000.0)
LONG_CALL_DURATION_S = 0.6
SHORT_CALL_DURATION_S = 0.02


class ManualClock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.now = 100.0

    def read(self) -> float:
        """Return the set time."""
        return self.now


def make_balancer(clock: ManualClock, live: list[EntryId]) -> AdviceBalancer:
    """Return a balancer with even-numbered instances in its zone."""
    return AdviceBalancer(OWN, lambda: live, lambda entry: int(entry[1:]) % 2 == 0, clock.read)


class AdviceBalancerTest(unittest.TestCase):
    """Choice of the instance for a call."""

    def test_long_calls_avoid_instances_reserved_for_short_ones(self) -> None:
        balancer = make_balancer(ManualClock(), PEERS)
        acquired = [balancer.acquire(LONG_CALL_DURATION_S) for _ in range(5)]
        self.assertEqual(sorted(e for e in acquired if e), ["e2", "e3", "e4", "e5"])
        self.assertIsNone(acquired[-1])
        self.assertIsNotNone(balancer.acquire(SHORT_CALL_DURATION_S))

    def test_reserved_instances_accept_several_short_calls(self) -> None:
        balancer = make_balancer(ManualClock(), PEERS)
        acquired = [balancer.acquire(SHORT_CALL_DURATION_S) for _ in range(20)]
        counts = {entry: acquired.count(entry) for entry in [OWN, *PEERS]}
        self.assertEqual(counts, {e: MAX_SHORT_CALLS if e in ("e0", "e1") else 1 for e in counts})

    def test_instances_in_same_zone_go_first(self) -> None:
        balancer = make_balancer(ManualClock(), PEERS)
        self.assertEqual([balancer.acquire(LONG_CALL_DURATION_S) for _ in range(2)], ["e2", "e4"])

    def test_busy_instances_get_no_calls_for_reported_time(self) -> None:
        clock = ManualClock()
        balancer = make_balancer(clock, [EntryId("e1"), EntryId("e2")])
        for busy_s in (0.3, NO_ANSWER_PENALTY_S):
            with self.subTest(busy_s=busy_s):
                before = balancer.count_idle()
                balancer.mark_busy(EntryId("e2"), busy_s)
                self.assertEqual(balancer.count_idle().long, before.long - 1)
                clock.now += busy_s + 0.01
                self.assertEqual(balancer.count_idle(), before)

    def test_released_instance_accepts_another_call(self) -> None:
        balancer = make_balancer(ManualClock(), [])
        self.assertEqual(balancer.acquire(LONG_CALL_DURATION_S), OWN)
        self.assertIsNone(balancer.acquire(LONG_CALL_DURATION_S))
        balancer.release(OWN)
        self.assertEqual(balancer.acquire(LONG_CALL_DURATION_S), OWN)


class PlacementService:
    """Hold calls until a test answers them."""

    def __init__(self) -> None:
        self.calls: list[Deferred[Advice]] = []

    def request_advice(self, step: Any, workers: Any, timeout_s: float) -> Deferred[Advice]:
        """Hold one call."""
        self.calls.append(Deferred())
        return self.calls[-1]


class LocalAdviceClientTest(unittest.TestCase):
    """Backlog of the calls of one instance."""

    def setUp(self) -> None:
        """Make a client."""
        self.clock = ManualClock()
        self.service = PlacementService()
        self.local_client = LocalAdviceClient(self.service, self.clock.read, Metrics())
        self.outcomes: list[Any] = []

    def request_advice(self, expected_s: float) -> None:
        """Start a call."""
        call = Deferred.fromCoroutine(
            self.local_client.request_advice(STEP_KEY, ("w1",), expected_s)
        )
        call.addBoth(self.outcomes.append)

    def test_calls_behind_too_long_a_backlog_are_rejected(self) -> None:
        rows = (
            (0.0, SHORT_CALL_DURATION_S, True),
            (MAX_SHORT_CALL_BACKLOG_S - 0.01, SHORT_CALL_DURATION_S, True),
            (MAX_SHORT_CALL_BACKLOG_S + 0.05, SHORT_CALL_DURATION_S, False),
            (MAX_LONG_CALL_BACKLOG_S - 0.01, LONG_CALL_DURATION_S, True),
            (MAX_LONG_CALL_BACKLOG_S + 0.05, LONG_CALL_DURATION_S, False),
        )
        for backlog, expected_s, accepted in rows:
            with self.subTest(backlog=backlog, expected_s=expected_s):
                self.setUp()
                if backlog:
                    self.request_advice(backlog)
                self.request_advice(expected_s)
                if accepted:
                    self.assertEqual(self.outcomes, [])
                else:
                    self.assertIsInstance(self.outcomes[0].value, BusyError)
                    self.assertAlmostEqual(self.outcomes[0].value.busy_s, backlog)

    def test_answer_clears_backlog(self) -> None:
        self.request_advice(LONG_CALL_DURATION_S)
        self.service.calls[0].callback(ADVICE)
        self.assertEqual((self.outcomes, self.local_client.get_backlog_s()), ([ADVICE], 0.0))


class FixedAnswerPeers:
    """Answer every request with the same message."""

    def __init__(self, answer: AdviceAnswer | None) -> None:
        self.answer = answer
        self.requested_peers: list[EntryId] = []

    async def request_advice(
        self, peer: EntryId, request: RequestAdvice, timeout_s: float
    ) -> AdviceAnswer | None:
        """Return the answer."""
        self.requested_peers.append(peer)
        return self.answer


class AdviceRequestsTest(unittest.TestCase):
    """Advice through peers and this instance."""

    def test_peer_answer_decides_how_long_peer_is_busy(self) -> None:
        rows = (
            (AdviceAnswer(1, available=True, allowed=(("w1", "t"),), valid_ms=2000.0), ADVICE, 0.0),
            (AdviceAnswer(1, available=False, busy_ms=300.0), None, 0.3),
            (AdviceAnswer(1, available=False), None, NO_ANSWER_PENALTY_S),
            (None, None, NO_ANSWER_PENALTY_S),
        )
        for answer, advice, busy_s in rows:
            with self.subTest(answer=answer):
                clock = ManualClock()
                balancer = make_balancer(clock, [EntryId("e1"), EntryId("e2")])
                peers = FixedAnswerPeers(answer)
                local_client = LocalAdviceClient(PlacementService(), clock.read, Metrics())
                client = AdviceClient(
                    OWN,
                    local_client,
                    balancer,
                    peers,
                    clock.read,
                    Metrics(),  # type: ignore[arg-type]
                )
                idle = balancer.count_idle().long
                outcome: list[Any] = []
                request = RequestAdvice(STEP_KEY, ("w1",), LONG_CALL_DURATION_S * 1000)
                Deferred.fromCoroutine(client.fetch(request)).addCallback(outcome.append)
                self.assertEqual((peers.requested_peers, outcome), (["e2"], [advice]))
                clock.now += busy_s - 0.01
                self.assertEqual(balancer.count_idle().long, idle - (busy_s > 0))
                clock.now += 0.02
                self.assertEqual(balancer.count_idle().long, idle)

    def test_failed_local_call_returns_no_advice(self) -> None:
        clock = ManualClock()
        balancer = make_balancer(clock, [])
        service = PlacementService()
        local_client = LocalAdviceClient(service, clock.read, Metrics())
        client = AdviceClient(
            OWN,
            local_client,
            balancer,
            FixedAnswerPeers(None),
            clock.read,
            Metrics(),  # type: ignore[arg-type]
        )
        outcome: list[Any] = []
        request = RequestAdvice(STEP_KEY, ("w1",), SHORT_CALL_DURATION_S * 1000)
        Deferred.fromCoroutine(client.fetch(request)).addCallback(outcome.append)
        service.calls[0].errback(AnswerLostError("reset", step="advise"))
        self.assertEqual((outcome, balancer.count_idle().short), ([None], 0))

    def test_short_and_long_calls_are_on_either_side_of_limit(self) -> None:
        self.assertLess(SHORT_CALL_DURATION_S, SHORT_CALL_S)
        self.assertGreater(LONG_CALL_DURATION_S, SHORT_CALL_S)


if __name__ == "__main__":
    unittest.main()
