"""Tests of starts that are sent again while they have no response."""

import unittest
from typing import Any

from twisted.internet import task
from twisted.internet.defer import Deferred

from lavenderstall.errors import AnswerLostError, DisconnectedError, PeerUnavailableError
from lavenderstall.pools.effects import FENCE, Refusal
from lavenderstall.pools.job import Copies
from lavenderstall.pools.repeated_starts import (
    MAX_ATTEMPTS,
    REPEAT_DELAY_S,
    START_TIMEOUT_S,
    Attempt,
    RepeatedStart,
    StartOutcome,
    find_outcome,
)

CLOCK_MS = 5000.0
LOST = AnswerLostError("late", step="start")
NOT_SENT = PeerUnavailableError("refused", step="start")
ROOM, OLD, FENCED = Refusal("room"), Refusal("old"), Refusal(FENCE)


class FindOutcomeTest(unittest.TestCase):
    """The outcome that follows from the responses to all attempts."""

    def test_a_refusal_counts_only_if_no_other_attempt_may_be_executed(self) -> None:
        # A run that is given up after a refusal starts elsewhere; a copy would run beside it.
        pending, lost = Attempt(1.0), Attempt(1.0, error=LOST)
        accepted = Attempt(2.0, response=CLOCK_MS)
        refused, old = Attempt(2.0, response=ROOM), Attempt(2.0, response=OLD)
        unsent = Attempt(2.0, error=NOT_SENT)
        fenced = Attempt(2.0, response=FENCED)
        unknown = StartOutcome(error=LOST, copies=Copies(1, 1.0))
        unknown_twice = StartOutcome(error=LOST, copies=Copies(2, 1.0))
        rows: tuple[tuple[list[Attempt], bool, StartOutcome | None], ...] = (
            ([accepted], False, StartOutcome(CLOCK_MS)),
            ([pending, accepted], False, StartOutcome(CLOCK_MS, copies=Copies(1, 1.0))),
            ([lost, accepted], False, StartOutcome(CLOCK_MS, copies=Copies(1, 1.0))),
            ([refused], False, StartOutcome(ROOM)),
            ([refused, unsent], False, StartOutcome(ROOM)),
            ([pending], False, None),
            ([pending, refused], False, None),
            ([lost, refused], False, unknown),
            ([lost, old], False, unknown),
            ([lost, unsent], False, unknown),
            ([unsent], False, StartOutcome(error=NOT_SENT)),
            ([pending, fenced], False, StartOutcome(FENCED, copies=Copies(1, 1.0))),
            ([lost, pending], True, unknown_twice),
        )
        for attempts, expired, expected in rows:
            with self.subTest(attempts=attempts, expired=expired):
                self.assertEqual(find_outcome(attempts, expired=expired), expected)


class RepeatedStartTest(unittest.TestCase):
    """The moments at which attempts are sent, and when a start is given up."""

    def setUp(self) -> None:
        """Send the first attempt of a start."""
        self.clock = task.Clock()
        self.answers: list[Deferred[Any]] = []
        self.may_repeat = True
        self.outcomes: list[StartOutcome] = []
        self.settled: list[StartOutcome] = []
        start = RepeatedStart(
            self.clock,
            self.clock.seconds,
            self.send,
            lambda: self.may_repeat,
            self.settled.append,
        )
        start.run().addCallback(self.outcomes.append)

    def send(self) -> Deferred[Any]:
        """Record an attempt until the test answers it."""
        self.answers.append(Deferred())
        return self.answers[-1]

    def test_attempts_follow_each_other_until_one_succeeds(self) -> None:
        for sent in range(1, MAX_ATTEMPTS):
            self.assertEqual(len(self.answers), sent)
            self.clock.advance(REPEAT_DELAY_S)
        self.assertEqual(len(self.answers), MAX_ATTEMPTS)
        self.answers[-1].callback(CLOCK_MS)
        unanswered_at = REPEAT_DELAY_S * (MAX_ATTEMPTS - 2)
        expected = StartOutcome(CLOCK_MS, copies=Copies(MAX_ATTEMPTS - 1, unanswered_at))
        self.assertEqual(self.outcomes, [expected])
        self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_a_lost_connection_is_replaced_at_once(self) -> None:
        self.answers[0].errback(DisconnectedError("reset", step="start"))
        self.assertEqual(len(self.answers), 2)
        self.answers[1].callback(CLOCK_MS)
        expected = StartOutcome(CLOCK_MS, copies=Copies(1, 0.0))
        self.assertEqual(self.outcomes, [expected])
        self.clock.advance(START_TIMEOUT_S)
        self.assertEqual(len(self.answers), 2)

    def test_a_silent_worker_is_given_up_in_time(self) -> None:
        self.clock.pump([START_TIMEOUT_S / 10] * 11)
        self.assertEqual(len(self.answers), MAX_ATTEMPTS)
        (outcome,) = self.outcomes
        self.assertIsInstance(outcome.error, AnswerLostError)
        for answer in self.answers:
            answer.callback(CLOCK_MS)
        self.assertEqual(len(self.outcomes), 1)

    def test_late_responses_tell_which_copies_are_left(self) -> None:
        """Fails if a copy that was answered late counts as one that may still be executed."""
        rows: tuple[tuple[tuple[Any, ...], int], ...] = (
            ((CLOCK_MS, CLOCK_MS), 0),
            ((CLOCK_MS, LOST), 1),
            ((LOST, LOST), 2),
        )
        for responses, left in rows:
            with self.subTest(responses=responses):
                self.setUp()
                self.clock.pump([REPEAT_DELAY_S] * (MAX_ATTEMPTS - 1))
                self.answers[-1].callback(CLOCK_MS)
                for answer, response in zip(self.answers, responses, strict=False):
                    self.assertEqual(self.settled, [])
                    answer.errback(response) if response is LOST else answer.callback(response)
                (settled,) = self.settled
                self.assertEqual((settled.accepted, settled.copies.left), (True, left))

    def test_an_answered_start_is_not_repeated(self) -> None:
        rows: tuple[tuple[Any, int], ...] = ((CLOCK_MS, 1), (ROOM, 1), (FENCED, 1))
        for response, attempts in rows:
            with self.subTest(response=response):
                self.setUp()
                self.answers[0].callback(response)
                self.clock.advance(START_TIMEOUT_S)
                self.assertEqual(len(self.answers), attempts)
                self.assertEqual(self.outcomes, [StartOutcome(response)])

    def test_a_start_that_is_not_wanted_any_more_is_not_repeated(self) -> None:
        self.may_repeat = False
        self.answers[0].errback(LOST)
        self.clock.advance(START_TIMEOUT_S)
        self.assertEqual(len(self.answers), 1)
        expected = StartOutcome(error=LOST, copies=Copies(1, 0.0))
        self.assertEqual(self.outcomes, [expected])


if __name__ == "__main__":
    unittest.main()
