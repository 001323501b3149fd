"""Tests of polls that are sent again once a worker should have answered them."""

import unittest
from typing import Any

from twisted.internet import task
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderstall.errors import (
    AnswerLostError,
    DisconnectedError,
    LavenderstallError,
    PeerClosedError,
    PeerUnavailableError,
)
from lavenderstall.pools.effects import Refusal
from lavenderstall.pools.hedged_polls import ANSWER_MARGIN_S, HedgedPoll, PollOutcome

WAIT_MS = 800
DUE_S = WAIT_MS / 1000 + ANSWER_MARGIN_S
ANSWER = Refusal("answer")


class HedgedPollTest(unittest.TestCase):
    """Two attempts of a poll, of which the first answer counts."""

    def setUp(self) -> None:
        """Send the first attempt."""
        self.clock = task.Clock()
        self.first: Deferred[Any] = Deferred()
        self.second: Deferred[Any] = Deferred()
        self.sent: list[float] = []
        self.outcome: list[Any] = []
        self.losses: list[float] = []
        poll = HedgedPoll(
            self.clock,
            self.clock.seconds,
            lambda: self.send(self.first),
            lambda: self.send(self.second),
            WAIT_MS,
            lambda: self.losses.append(self.clock.seconds()),
        )
        poll.run().addBoth(self.outcome.append)

    def send(self, answer: Deferred[Any]) -> Deferred[Any]:
        """Record when an attempt is sent."""
        self.sent.append(self.clock.seconds())
        return answer

    def test_an_answered_poll_is_not_repeated(self) -> None:
        self.clock.advance(DUE_S / 2)
        self.first.callback(ANSWER)
        self.clock.advance(DUE_S)
        self.assertEqual(self.sent, [0.0])
        self.assertEqual(self.outcome, [PollOutcome(ANSWER, 0.0)])

    def test_ends_do_not_wait_for_the_timeout_of_a_lost_poll(self) -> None:
        # Runs are compared with the report of the attempt that was answered.
        self.clock.advance(DUE_S)
        self.second.callback(ANSWER)
        self.assertEqual(self.outcome, [PollOutcome(ANSWER, DUE_S)])
        self.assertEqual(self.losses, [DUE_S])
        self.first.errback(AnswerLostError("late", step="look"))
        self.assertEqual(len(self.outcome), 1)

    def test_the_first_answer_counts(self) -> None:
        self.clock.advance(DUE_S)
        self.first.callback(ANSWER)
        self.second.callback(ANSWER)
        self.assertEqual(self.outcome, [PollOutcome(ANSWER, 0.0)])
        self.assertEqual(self.losses, [])

    def test_errors(self) -> None:
        # A silent worker is noticed no later, one without a process as soon as an attempt meets it.
        rows: tuple[tuple[type[LavenderstallError], bool, bool], ...] = (
            (AnswerLostError, False, True),
            (PeerUnavailableError, False, True),
            (AnswerLostError, True, False),
            (PeerUnavailableError, True, True),
            (PeerClosedError, True, True),
            (DisconnectedError, True, True),
        )
        for error, repeated, decides in rows:
            with self.subTest(error=error.__name__, repeated=repeated):
                self.setUp()
                if repeated:
                    self.clock.advance(DUE_S)
                attempt = self.second if repeated else self.first
                attempt.errback(error("lost", step="look"))
                self.assertEqual(len(self.outcome), int(decides))
                for found in self.outcome:
                    self.assertIsInstance(found, Failure)
                self.clock.advance(DUE_S)
                self.assertEqual(len(self.sent), 1 + repeated)


if __name__ == "__main__":
    unittest.main()
