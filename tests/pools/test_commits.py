"""Tests of transactions with lost, late or slow responses, and of store availability."""

import unittest
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from lavenderstall.errors import StoreOutcomeUnknownError, StoreUnavailableError
from lavenderstall.pools.commits import ABANDON_AFTER_S, QUICK_READ_S, commit_and_verify
from lavenderstall.pools.monitored_store import (
    LOSS_TIMEOUT_S,
    MIN_COMMIT_WAIT_S,
    OVERDUE_S,
    MonitoredStore,
)
from lavenderstall.pools.ports import Committed, Put, Transaction

TRANSACTION = Transaction("part", (), (Put("table", "key", b"value"),))
DONE = Committed(7, 1000.0)


class ScriptedStore:
    """Row store whose calls are answered by the test."""

    def __init__(self) -> None:
        self.commits: list[Deferred[Committed]] = []
        self.reads: list[Deferred[Any]] = []

    def commit(self, transaction: Transaction) -> Deferred[Committed]:
        """Record a transaction until the test answers it."""
        self.commits.append(Deferred())
        return self.commits[-1]

    def read(
        self, table: str, partition: str, start_key: str = "", limit: int = 0, *_: Any
    ) -> Deferred[Any]:
        """Record a read until the test answers it."""
        self.reads.append(Deferred())
        return self.reads[-1]

    def poll_changes(self, table: str, version: int, wait_ms: int, *_: Any) -> Deferred[Any]:
        """Record a read until the test answers it."""
        return self.read(table, "")


class CommitCase:
    """One transaction with its store and clock."""

    def __init__(self, look_up_s: float, found: Committed | None) -> None:
        self.clock = Clock()
        self.store = ScriptedStore()
        self.monitored_store = MonitoredStore(self.store, self.clock.seconds)  # type: ignore[arg-type]
        self.outcome: list[Any] = []
        self._look_up_s = look_up_s
        self._found = found

        async def commit() -> Committed:
            return await commit_and_verify(
                self.monitored_store, self.clock, TRANSACTION, self.look_up
            )

        Deferred.fromCoroutine(commit()).addBoth(self.outcome.append)

    async def look_up(self) -> Committed | None:
        """Return whether the transaction was applied, after a delay."""
        answer: Deferred[Committed | None] = Deferred()
        self.clock.callLater(self._look_up_s, answer.callback, self._found)
        return await answer

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)


class CommitTest(unittest.TestCase):
    """Outcome of one transaction."""

    def test_a_response_is_returned(self) -> None:
        case = CommitCase(0.01, None)
        case.store.commits[0].callback(DONE)
        self.assertEqual(case.outcome, [DONE])

    def test_a_commit_with_a_lost_response_is_found_by_reading(self) -> None:
        case = CommitCase(0.01, DONE)
        case.run(MIN_COMMIT_WAIT_S + 0.3)
        self.assertEqual(case.outcome, [DONE])

    def test_a_broken_connection_leads_to_one_read(self) -> None:
        error = StoreOutcomeUnknownError("lost", step="commit")
        for found in (DONE, None):
            with self.subTest(found=found):
                case = CommitCase(0.01, found)
                case.store.commits[0].errback(error)
                case.run(0.05)
                (outcome,) = case.outcome
                self.assertEqual(outcome if found else outcome.value, found or error)

    def test_other_errors_are_passed_on_at_once(self) -> None:
        case = CommitCase(0.01, DONE)
        error = StoreUnavailableError("busy", step="commit")
        case.store.commits[0].errback(error)
        self.assertIs(case.outcome[0].value, error)

    def test_a_fast_store_without_the_transaction_ends_the_wait(self) -> None:
        case = CommitCase(0.01, None)
        case.run(ABANDON_AFTER_S + 0.3)
        self.assertIsInstance(case.outcome[0].value, StoreOutcomeUnknownError)

    def test_a_slow_store_is_waited_for(self) -> None:
        case = CommitCase(QUICK_READ_S * 2, None)
        case.run(1.0)
        self.assertEqual(case.outcome, [])
        case.store.commits[0].callback(DONE)
        self.assertEqual(case.outcome, [DONE])


class MonitoredStoreTest(unittest.TestCase):
    """Detection of outages."""

    def test_an_overdue_call_marks_the_store_lost(self) -> None:
        for wait_ms in (0, 1000):
            with self.subTest(wait_ms=wait_ms):
                clock = Clock()
                store = MonitoredStore(ScriptedStore(), clock.seconds)  # type: ignore[arg-type]
                if wait_ms:
                    store.poll_changes("table", 1, wait_ms)
                else:
                    store.commit(TRANSACTION)
                clock.advance(wait_ms / 1000 + OVERDUE_S - 0.01)
                self.assertFalse(store.is_lost())
                clock.advance(0.02)
                self.assertTrue(store.is_lost())

    def test_an_answer_marks_the_store_available(self) -> None:
        clock = Clock()
        script = ScriptedStore()
        store = MonitoredStore(script, clock.seconds)  # type: ignore[arg-type]
        store.commit(TRANSACTION).addErrback(lambda _: None)
        clock.advance(LOSS_TIMEOUT_S + 0.01)
        script.commits[0].errback(StoreUnavailableError("busy", step="commit"))
        self.assertEqual((store.is_lost(), store.get_available_s()), (True, 0.0))
        store.commit(TRANSACTION)
        script.commits[1].callback(DONE)
        clock.advance(0.5)
        self.assertEqual((store.is_lost(), store.get_available_s()), (False, 0.5))

    def test_commit_wait_grows_with_the_mean_duration(self) -> None:
        clock = Clock()
        script = ScriptedStore()
        store = MonitoredStore(script, clock.seconds)  # type: ignore[arg-type]
        before = store.get_commit_wait_s()
        for number in range(10):
            store.commit(TRANSACTION)
            clock.advance(0.6)
            script.commits[number].callback(DONE)
        self.assertGreater(store.get_commit_wait_s(), max(before, 2.0))

    def test_calls_answered_at_once_leave_nothing_overdue(self) -> None:
        clock = Clock()

        class Ready(ScriptedStore):
            def commit(self, transaction: Transaction) -> Deferred[Committed]:
                return succeed(DONE) if clock.seconds() < 1 else fail(ValueError("bug"))

        store = MonitoredStore(Ready(), clock.seconds)  # type: ignore[arg-type]
        store.commit(TRANSACTION)
        clock.advance(9.0)
        self.assertFalse(store.is_lost())


if __name__ == "__main__":
    unittest.main()
