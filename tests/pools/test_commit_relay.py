"""Tests of commits through peers."""

import unittest
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from lavenderstall.errors import StoreOutcomeUnknownError, StoreUnavailableError
from lavenderstall.metrics import Metrics
from lavenderstall.pools.commit_relay import (
    RECENT_RELAY_S,
    RELAY_CHECK_INTERVAL_S,
    CommitRelay,
    HedgedCommit,
)
from lavenderstall.pools.ports import Committed, Condition, Put, RowConflictError, Transaction
from tests.pools.commit_peers import FakeCommitPeers
from tests.pools.rowstore import FakeRowStore

TRANSACTION = Transaction("p", (Condition("t", "k", 0),), (Put("t", "k", b"v"),))
DELAY_S = RELAY_CHECK_INTERVAL_S


class HedgedCommitTest(unittest.TestCase):
    """Outcomes of a commit whose direct attempt fails, is slow or gets no answer."""

    def setUp(self) -> None:
        """Make a store that two instances use."""
        self.clock = Clock()
        self.rows = FakeRowStore()
        self.peers = FakeCommitPeers(self.rows)
        self.peers.reached = True
        self.relay = CommitRelay(self.peers, self.clock.seconds, Metrics())
        self.direct: Deferred[Committed] = Deferred()
        self.outcomes: list[Any] = []
        self.may_relay = True

    def commit(self) -> None:
        """Commit, with a direct attempt that the test answers."""

        async def wait() -> Committed:
            return await self.direct

        hedged = HedgedCommit(self.clock, wait(), self.relay, TRANSACTION, lambda: self.may_relay)
        hedged.outcome.addCallbacks(
            self.outcomes.append, lambda failure: self.outcomes.append(failure.type)
        )

    def test_a_peer_commits_if_the_store_turns_the_instance_away_or_is_silent(self) -> None:
        for turned_away in (True, False):
            with self.subTest(turned_away=turned_away):
                self.setUp()
                self.commit()
                if turned_away:
                    self.direct.errback(StoreUnavailableError("busy", step="commit"))
                else:
                    self.clock.advance(DELAY_S)
                self.assertEqual([type(each) for each in self.outcomes], [Committed])
                self.assertEqual(len(self.rows.rows), 1)

    def test_a_quick_answer_costs_no_second_attempt(self) -> None:
        self.commit()
        self.direct.callback(Committed(3, 5.0))
        self.clock.advance(1.0)
        self.assertEqual((self.outcomes, self.peers.requests), ([Committed(3, 5.0)], 0))

    def test_failures_are_reported_as_the_worst_of_both_attempts(self) -> None:
        rows: tuple[tuple[bool, bool, type], ...] = (
            # Direct attempt unknown, answer of the peer lost, error.
            (False, False, StoreUnavailableError),
            (True, False, StoreOutcomeUnknownError),
            (False, True, StoreOutcomeUnknownError),
            (True, True, StoreOutcomeUnknownError),
        )
        for unknown, lost, error in rows:
            with self.subTest(unknown=unknown, lost=lost):
                self.setUp()
                self.rows.unavailable = True
                self.peers.answers = not lost
                self.commit()
                self.clock.advance(DELAY_S)
                self.assertEqual(self.outcomes, [])
                kind = StoreOutcomeUnknownError if unknown else StoreUnavailableError
                self.direct.errback(kind("failed", step="commit"))
                self.assertEqual(self.outcomes, [error])

    def test_the_second_attempt_conflicts_if_the_first_was_applied(self) -> None:
        self.rows.apply(TRANSACTION)
        self.commit()
        self.clock.advance(DELAY_S)
        self.assertEqual(self.outcomes, [RowConflictError])

    def test_a_peer_is_asked_as_soon_as_it_may_help(self) -> None:
        self.may_relay = False
        self.commit()
        self.clock.pump([DELAY_S] * 5)
        self.assertEqual(self.peers.requests, 0)
        self.may_relay = True
        self.clock.advance(DELAY_S)
        self.assertEqual((self.peers.requests, len(self.outcomes)), (1, 1))

    def test_a_peer_that_has_just_committed_is_asked_at_once(self) -> None:
        """Fails if each commit of an owner without the store waits for its own attempt again."""
        for name, passed_s, may_relay, asked in (
            ("just now", 0.0, True, True),
            ("long ago", RECENT_RELAY_S, True, False),
            ("the store is back", 0.0, False, False),
        ):
            with self.subTest(name=name):
                self.setUp()
                self.commit()
                self.clock.advance(DELAY_S)
                self.clock.advance(passed_s)
                self.may_relay, self.direct = may_relay, Deferred()
                self.commit()
                self.assertEqual(self.peers.requests, 1 + asked)

    def test_an_instance_without_peers_waits_for_its_own_attempt(self) -> None:
        self.peers.reached = False
        self.commit()
        self.clock.advance(DELAY_S)
        self.assertEqual(self.outcomes, [])
        self.direct.errback(StoreUnavailableError("busy", step="commit"))
        self.assertEqual(self.outcomes, [StoreUnavailableError])


if __name__ == "__main__":
    unittest.main()
