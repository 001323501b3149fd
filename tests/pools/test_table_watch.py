"""Tests of the local copy of a table."""

import unittest
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from lavenderstall.errors import StoreUnavailableError
from lavenderstall.pools.ports import HistoryLostError, Page, Row
from lavenderstall.pools.table_watch import (
    FALLBACK_POLL_INTERVAL_S,
    MAX_SUPERSEDED_BYTES,
    OVERDUE_S,
    READ_INTERVAL_S,
    RETRY_DELAY_S,
    VERIFICATION_PERIOD_S,
    TableWatch,
)

TABLE = "op"
WAIT_S = 1.0


def make_page(version: int, *rows: Row) -> Page:
    """Return a page as of a version."""
    return Page(rows, version, 0.0)


def make_row(key: str, version: int) -> Row:
    """Return a row with a version; version 0 is a deletion."""
    return Row(TABLE, "", key, f"{key}{version}".encode(), version)


class ScriptedStore:
    """A store whose polls are answered by the test; reads return `page`, or fail without one."""

    def __init__(self) -> None:
        self.page: Page | None = make_page(2, make_row("a", 1), make_row("b", 2))
        self.polls: list[Deferred[Page]] = []
        # Versions after which the polls ask for changes.
        self.versions: list[int] = []
        self.reads = 0

    def read(self, table: str, partition: str, *_: Any) -> "object":
        """Return all rows."""
        self.reads += 1
        if self.page is None:
            raise StoreUnavailableError("away", step="read")
        return succeed(self.page)

    def poll_changes(
        self, table: str, version: int, wait_ms: int, on_progress: Callable[[], None]
    ) -> "Deferred[Page]":
        """Wait for the test's answer."""
        self.receive_part = on_progress
        poll: Deferred[Page] = Deferred()
        self.polls.append(poll)
        self.versions.append(version)
        return poll


class TableWatchTest(unittest.TestCase):
    """Answers of the feed and of reads, in any order."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.store = ScriptedStore()
        self.seen: list[dict[str, int]] = []
        self.watch = TableWatch(
            self.store,  # type: ignore[arg-type]
            self.clock,
            self.clock.seconds,
            TABLE,
            self.note,
            round(WAIT_S * 1000),
        )
        self.watch.start()

    def note(self, rows: Mapping[str, Row]) -> None:
        """Note the versions of the rows."""
        self.seen.append({key: row.version for key, row in rows.items()})

    def advance(self, seconds: float) -> None:
        """Let time pass in small steps."""
        self.clock.pump([0.05] * round(seconds / 0.05))

    def test_answers_apply_by_their_versions(self) -> None:
        """Fails if a row returns to an older version, or a deleted row comes back."""
        rows: tuple[tuple[str, Page, dict[str, int]], ...] = (
            ("newer row", make_page(3, make_row("a", 3)), {"a": 3, "b": 2}),
            ("older row", make_page(3, make_row("b", 1)), {"a": 1, "b": 2}),
            ("new row", make_page(3, make_row("c", 3)), {"a": 1, "b": 2, "c": 3}),
            ("deletion", make_page(3, make_row("b", 0)), {"a": 1}),
            ("deletion before", make_page(1, make_row("b", 0)), {"a": 1, "b": 2}),
            (
                "deleted and added",
                make_page(4, make_row("b", 0), make_row("b", 4)),
                {"a": 1, "b": 4},
            ),
        )
        for name, page, expected in rows:
            with self.subTest(name=name):
                self.setUp()
                self.store.polls[-1].callback(page)
                self.assertEqual(self.seen[-1], expected)

    def test_rows_are_read_while_the_feed_is_overdue(self) -> None:
        """Fails if a feed without an answer hides changes."""
        self.store.page = make_page(5, make_row("a", 5))
        self.advance(WAIT_S + OVERDUE_S + 0.1)
        self.assertEqual(self.seen[-1], {"a": 5})
        self.assertEqual(len(self.store.polls), 1)
        reads = self.store.reads
        self.store.polls[-1].callback(make_page(4, make_row("b", 0), make_row("b", 4)))
        self.assertEqual(self.seen[-1], {"a": 5}, "a row came back that was gone")
        self.advance(WAIT_S)
        self.assertEqual(self.store.reads, reads)

    def test_no_rows_are_read_while_the_feed_is_answered_slowly(self) -> None:
        """Fails if an answer that arrives slowly has to share the link with a second one."""
        reads = self.store.reads
        self.advance(WAIT_S)
        for _ in range(20):
            self.store.receive_part()
            self.advance(OVERDUE_S / 2)
        self.assertEqual(self.store.reads, reads)
        self.assertTrue(self.watch.is_receiving())
        self.advance(WAIT_S + OVERDUE_S + 0.1)
        self.assertEqual(self.store.reads, reads + 1)

    def test_rows_are_read_first_after_a_failed_poll(self) -> None:
        """Fails if the feed is asked for all versions that were missed, one after another."""
        reads = self.store.reads
        self.store.page = make_page(9, make_row("a", 9))
        self.store.polls[-1].errback(StoreUnavailableError("away", step="poll"))
        self.advance(RETRY_DELAY_S + 0.1)
        self.assertEqual(self.store.reads, reads + 1)
        self.assertEqual(self.seen[-1], {"a": 9})
        self.assertEqual(self.store.versions, [2, 9])

    def test_rows_that_were_read_beside_a_failed_poll_are_not_read_again(self) -> None:
        """Fails if a feed without answers takes more reads than the one while it is overdue."""
        self.store.page = make_page(9, make_row("a", 9))
        self.advance(WAIT_S + OVERDUE_S + 0.1)
        reads = self.store.reads
        self.store.polls[-1].errback(StoreUnavailableError("away", step="poll"))
        self.advance(RETRY_DELAY_S + 0.1)
        self.assertEqual(self.store.reads, reads)
        self.assertEqual(self.store.versions, [2, 9])

    def test_rows_are_read_while_large_ones_change_faster_than_the_feed_arrives(self) -> None:
        """Fails if superseded versions arrive one after another, or if reads go on for good."""
        for size, expected in ((MAX_SUPERSEDED_BYTES + 1, [2, 5]), (10, [2, 4])):
            with self.subTest(size=size):
                self.setUp()
                self.store.page = make_page(5, make_row("a", 5))
                superseded = Row(TABLE, "", "a", b"x" * size, 3)
                reads = self.store.reads
                self.store.polls[-1].callback(make_page(4, superseded, make_row("a", 4)))
                self.assertEqual(self.store.versions, expected)
                # The last read brings nothing that is newer.
                self.assertEqual(self.store.reads - reads, 2 if expected == [2, 5] else 0)

    def test_the_feed_is_polled_now_and_then_while_reads_fail(self) -> None:
        """Fails if reads that fail alone hide changes for good, or if a poll follows each."""
        self.store.page = None
        self.store.polls[-1].errback(StoreUnavailableError("away", step="poll"))
        self.advance(FALLBACK_POLL_INTERVAL_S - 0.5)
        self.assertEqual(len(self.store.polls), 1)
        self.advance(1.0)
        self.assertEqual(len(self.store.polls), 2)
        self.store.polls[-1].callback(make_page(9, make_row("a", 9)))
        self.assertEqual(self.seen[-1], {"a": 9, "b": 2})
        self.advance(RETRY_DELAY_S)
        self.assertEqual(self.store.versions, [2, 2, 9])

    def test_rows_that_are_behind_replace_none(self) -> None:
        """Fails if an answer that is behind counts as the newest."""
        self.store.polls[-1].callback(make_page(7, make_row("a", 7)))
        confirmed_at = self.watch.confirmed_at
        self.store.page = make_page(3, make_row("a", 1))
        self.store.polls[-1].errback(HistoryLostError("lost", step="poll"))
        self.advance(0.5)
        self.assertEqual(self.seen[-1], {"a": 7, "b": 2})
        self.assertEqual(self.watch.confirmed_at, confirmed_at)

    def test_an_answer_with_changes_confirms_no_more_than_it_can_know(self) -> None:
        """Fails if a change counts as known that came while the answer was on its way."""
        rows = (
            # Seconds from the poll to its answer, the store's clock, rows, and seconds confirmed.
            (1.0, 101_000.0, 0, 1.0),
            (3.0, 101_000.0, 0, 1.0),
            (0.9, 0.0, 1, 0.0),
            (0.9, 100_200.0, 1, 0.19),
            (3.0, 100_200.0, 1, 0.19),
            (0.9, 900_000.0, 1, 0.9),
        )
        for arrived_s, clock_ms, changes, expected_s in rows:
            with self.subTest(arrived_s=arrived_s, clock_ms=clock_ms, changes=changes):
                self.setUp()
                self.clock.advance(WAIT_S)
                self.store.polls[-1].callback(Page((), 2, 100_000.0))
                asked_at = self.clock.seconds()
                self.assertEqual(self.watch.confirmed_at, asked_at)
                self.store.page = None
                self.clock.advance(arrived_s)
                changed = (make_row("a", 7),) * changes
                self.store.polls[-1].callback(Page(changed, 7, clock_ms))
                self.assertAlmostEqual(self.watch.confirmed_at - asked_at, expected_s)

    def test_rows_are_read_again_for_a_while_after_a_lost_history(self) -> None:
        """Fails if rows that were behind stay, or if reads go on for good."""
        self.store.polls[-1].errback(HistoryLostError("lost", step="poll"))
        self.advance(RETRY_DELAY_S + 0.1)
        self.store.page = make_page(2, make_row("a", 1), make_row("b", 2), make_row("c", 2))
        for _ in range(round(VERIFICATION_PERIOD_S)):
            self.store.polls[-1].callback(make_page(2))
            self.advance(WAIT_S)
        self.assertEqual(self.seen[-1], {"a": 1, "b": 2, "c": 2})
        reads = self.store.reads
        for _ in range(round(VERIFICATION_PERIOD_S)):
            self.store.polls[-1].callback(make_page(2))
            self.advance(WAIT_S)
        self.assertLessEqual(self.store.reads - reads, 1)

    def test_an_absent_store_is_not_flooded(self) -> None:
        """Fails if rows are read without a pause while the store is away."""
        self.store.page = None
        reads = self.store.reads
        self.advance(10.0)
        self.assertLessEqual(self.store.reads - reads, 10.0 / READ_INTERVAL_S)


if __name__ == "__main__":
    unittest.main()
