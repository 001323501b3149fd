"""Tests of how calls to the placement service are spread over instances."""

import unittest
from typing import Any

from twisted.internet.defer import Deferred

from lavenderstall.errors import AnswerLostError
from lavenderstall.identifiers import EntryId
from lavenderstall.metrics import Metrics
from lavenderstall.pools.advisers import PENALTY_S, SHORT_CALLS, Advisers
from lavenderstall.pools.advising import (
    LONG_BACKLOG_S,
    SHORT_BACKLOG_S,
    AdviceDesk,
    AdviceRequests,
    BusyError,
)
from lavenderstall.pools.effects import Advice, AskAdvice
from lavenderstall.pools.messages import AdviceAnswer
from lavenderstall.pools.tickets import SHORT_S
from lavenderstall.pools.work import Group
from tests.pools.builders import JOB

OWN = EntryId("e0")
PEERS = [EntryId(f"e{number}") for number in range(1, 6)]
GROUP = Group(JOB, 0, 0)
ADVICE = Advice((("w1", "t"),), 2000.0)
LONG_S = 0.6
BRIEF_S = 0.02


class Time:
    """Hold the time."""

    def __init__(self) -> None:
        self.now = 100.0

    def read(self) -> float:
        """Return the time."""
        return self.now


def make_advisers(time: Time, live: list[EntryId]) -> Advisers:
    """Return advisers of which those with even numbers are near."""
    return Advisers(OWN, lambda: live, lambda entry: int(entry[1:]) % 2 == 0, time.read)


class ChoiceTest(unittest.TestCase):
    """Which instance takes a call."""

    def test_long_calls_spare_the_instances_kept_for_short_ones(self) -> None:
        advisers = make_advisers(Time(), PEERS)
        taken = [advisers.choose(LONG_S) for _ in range(5)]
        self.assertEqual(sorted(e for e in taken if e), ["e2", "e3", "e4", "e5"])
        self.assertIsNone(taken[-1])
        self.assertIsNotNone(advisers.choose(BRIEF_S))

    def test_kept_instances_take_several_short_calls(self) -> None:
        advisers = make_advisers(Time(), PEERS)
        taken = [advisers.choose(BRIEF_S) for _ in range(20)]
        counts = {entry: taken.count(entry) for entry in [OWN, *PEERS]}
        self.assertEqual(counts, {e: SHORT_CALLS if e in ("e0", "e1") else 1 for e in counts})

    def test_near_ones_go_first(self) -> None:
        advisers = make_advisers(Time(), PEERS)
        self.assertEqual([advisers.choose(LONG_S) for _ in range(2)], ["e2", "e4"])

    def test_busy_ones_are_left_out_for_as_long_as_they_told(self) -> None:
        time = Time()
        advisers = make_advisers(time, [EntryId("e1"), EntryId("e2")])
        for busy_s in (0.3, PENALTY_S):
            with self.subTest(busy_s=busy_s):
                before = advisers.count_idle()
                advisers.note_busy(EntryId("e2"), busy_s)
                self.assertEqual(advisers.count_idle().long, before.long - 1)
                time.now += busy_s + 0.01
                self.assertEqual(advisers.count_idle(), before)

    def test_ended_calls_make_room(self) -> None:
        advisers = make_advisers(Time(), [])
        self.assertEqual(advisers.choose(LONG_S), OWN)
        self.assertIsNone(advisers.choose(LONG_S))
        advisers.free(OWN)
        self.assertEqual(advisers.choose(LONG_S), OWN)


class Service:
    """Keep calls until a test answers them."""

    def __init__(self) -> None:
        self.calls: list[Deferred[Advice]] = []

    def ask(self, step: Any, workers: Any, timeout_s: float) -> Deferred[Advice]:
        """Keep a call."""
        self.calls.append(Deferred())
        return self.calls[-1]


class DeskTest(unittest.TestCase):
    """Calls of one instance."""

    def setUp(self) -> None:
        """Make a desk."""
        self.time = Time()
        self.service = Service()
        self.desk = AdviceDesk(self.service, self.time.read, Metrics())
        self.outcomes: list[Any] = []

    def ask(self, expected_s: float) -> None:
        """Make a call."""
        call = Deferred.fromCoroutine(self.desk.ask(GROUP, ("w1",), expected_s))
        call.addBoth(self.outcomes.append)

    def test_calls_that_would_wait_too_long_are_turned_down(self) -> None:
        rows = (
            (0.0, BRIEF_S, True),
            (SHORT_BACKLOG_S - 0.01, BRIEF_S, True),
            (SHORT_BACKLOG_S + 0.05, BRIEF_S, False),
            (LONG_BACKLOG_S - 0.01, LONG_S, True),
            (LONG_BACKLOG_S + 0.05, LONG_S, False),
        )
        for backlog, expected_s, taken in rows:
            with self.subTest(backlog=backlog, expected_s=expected_s):
                self.setUp()
                if backlog:
                    self.ask(backlog)
                self.ask(expected_s)
                if taken:
                    self.assertEqual(self.outcomes, [])
                else:
                    self.assertIsInstance(self.outcomes[0].value, BusyError)
                    self.assertAlmostEqual(self.outcomes[0].value.busy_s, backlog)

    def test_an_answer_frees_the_desk(self) -> None:
        self.ask(LONG_S)
        self.service.calls[0].callback(ADVICE)
        self.assertEqual((self.outcomes, self.desk.get_backlog()), ([ADVICE], 0.0))


class FixedPeers:
    """Answer each request with the same message."""

    def __init__(self, answer: AdviceAnswer | None) -> None:
        self.answer = answer
        self.asked: list[EntryId] = []

    async def ask_advice(
        self, peer: EntryId, order: AskAdvice, timeout_s: float
    ) -> AdviceAnswer | None:
        """Answer."""
        self.asked.append(peer)
        return self.answer


class RequestTest(unittest.TestCase):
    """Advice through peers."""

    def test_what_peers_answer_decides_who_is_asked_next(self) -> None:
        rows = (
            (AdviceAnswer(1, available=True, allowed=(("w1", "t"),), valid_ms=2000.0), ADVICE, 0.0),
            (AdviceAnswer(1, available=False, busy_ms=300.0), None, 0.3),
            (AdviceAnswer(1, available=False), None, PENALTY_S),
            (None, None, PENALTY_S),
        )
        for answer, advice, barred_s in rows:
            with self.subTest(answer=answer):
                time = Time()
                advisers = make_advisers(time, [EntryId("e1"), EntryId("e2")])
                peers = FixedPeers(answer)
                desk = AdviceDesk(Service(), time.read, Metrics())
                requests = AdviceRequests(
                    OWN,
                    desk,
                    advisers,
                    peers,
                    time.read,
                    Metrics(),  # type: ignore[arg-type]
                )
                idle = advisers.count_idle().long
                outcome: list[Any] = []
                order = AskAdvice(GROUP, ("w1",), LONG_S * 1000)
                Deferred.fromCoroutine(requests.fetch(order)).addCallback(outcome.append)
                self.assertEqual((peers.asked, outcome), (["e2"], [advice]))
                time.now += barred_s - 0.01
                self.assertEqual(advisers.count_idle().long, idle - (barred_s > 0))
                time.now += 0.02
                self.assertEqual(advisers.count_idle().long, idle)

    def test_the_own_service_may_fail(self) -> None:
        time = Time()
        advisers = make_advisers(time, [])
        service = Service()
        desk = AdviceDesk(service, time.read, Metrics())
        requests = AdviceRequests(
            OWN,
            desk,
            advisers,
            FixedPeers(None),
            time.read,
            Metrics(),  # type: ignore[arg-type]
        )
        outcome: list[Any] = []
        order = AskAdvice(GROUP, ("w1",), BRIEF_S * 1000)
        Deferred.fromCoroutine(requests.fetch(order)).addCallback(outcome.append)
        service.calls[0].errback(AnswerLostError("reset", step="advise"))
        self.assertEqual((outcome, advisers.count_idle().short), ([None], 0))

    def test_a_call_counts_as_short_up_to_its_bound(self) -> None:
        self.assertLess(BRIEF_S, SHORT_S)
        self.assertGreater(LONG_S, SHORT_S)


if __name__ == "__main__":
    unittest.main()
