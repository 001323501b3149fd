"""Tests of when peers are asked for the configuration, and of what their answers change."""

import unittest
from types import SimpleNamespace
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from lavenderstall.decoding import UnreadableError
from lavenderstall.identifiers import EntryId
from lavenderstall.metrics import Metrics
from lavenderstall.pools.messages import Message, SettingsAnswer, SettingsRequest, decode_message
from lavenderstall.pools.ports import Page, Row
from lavenderstall.pools.settings_tracker import (
    MAX_UNCONFIRMED_S,
    OPERATOR_TABLE,
    PEER_LAG_S,
    PEER_REQUEST_INTERVAL_S,
    SETTINGS_KEY,
    UNCONFIRMED_S,
    SettingsTracker,
)
from lavenderstall.pools.table_watch import OVERDUE_S
from lavenderstall.pools.work import Settings

PEER, OTHER = EntryId("entry-1"), EntryId("entry-2")


def make_row(version: int, value: bytes | None = None) -> Row:
    """Return the row of a configuration."""
    encoded = str(version).encode() if value is None else value
    return Row(OPERATOR_TABLE, "", SETTINGS_KEY, encoded, version)


class Peers:
    """Peers whose answers are given by the test."""

    def __init__(self) -> None:
        self.asked: list[tuple[EntryId, int]] = []
        self.answers: list[Deferred[SettingsAnswer | None]] = []

    def choose_peer_with_store(self) -> EntryId:
        """Return a peer."""
        return OTHER

    def request_settings(self, peer: EntryId, version: int) -> "Deferred[SettingsAnswer | None]":
        """Ask a peer."""
        self.asked.append((peer, version))
        self.answers.append(Deferred())
        return self.answers[-1]


class PeerTest(unittest.TestCase):
    """A configuration that peers have and the feed doesn't return."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.peers = Peers()
        self.applied: list[int] = []
        self.receive_part: list[Any] = []
        # The store answers once, and is silent then.
        answers = iter([succeed(Page((make_row(3),), 3, 0.0))])
        store: Any = SimpleNamespace(
            read=lambda *_: next(answers, Deferred()), poll_changes=self.poll
        )
        self.make_tracker(store)

    def make_tracker(self, store: Any) -> None:
        """Start to follow the configuration of a store."""
        self.tracker = SettingsTracker(
            store,
            self.clock,
            self.clock.seconds,
            SimpleNamespace(decode=lambda value, before: Settings(int(value))),
            lambda settings: self.applied.append(settings.version),
            self.peers,  # type: ignore[arg-type]
            Metrics(),
        )
        self.tracker.start()

    def poll(self, table: str, version: int, wait_ms: int, on_progress: Any) -> "Deferred[Page]":
        """Wait for changes that never come."""
        self.receive_part.append(on_progress)
        return Deferred()

    def ask_after(self, seconds: float) -> list[tuple[EntryId, int]]:
        """Return which peer is asked after some time, if any."""
        self.clock.advance(seconds)
        self.peers.asked.clear()
        self.tracker.ask_if_behind()
        return list(self.peers.asked)

    def test_a_peer_is_asked_only_if_the_feed_is_late(self) -> None:
        """Fails if each change is fetched from peers, or none that the feed doesn't return."""
        rows = (
            ("the same version", 3, PEER_LAG_S, []),
            ("an older version", 2, PEER_LAG_S, []),
            ("a newer version, just now", 4, PEER_LAG_S / 2, []),
            ("a newer version", 4, PEER_LAG_S + 0.01, [(PEER, 3)]),
            ("nothing from the store for long", 3, UNCONFIRMED_S + 0.01, [(OTHER, 3)]),
        )
        for name, version, wait_s, expected in rows:
            with self.subTest(name=name):
                self.setUp()
                self.tracker.note_peer_version(PEER, version)
                self.assertEqual(self.ask_after(wait_s), expected)

    def test_no_peer_is_asked_while_an_answer_of_the_store_arrives(self) -> None:
        """Fails if an answer that arrives slowly has to share the link with a peer's."""
        self.tracker.note_peer_version(PEER, 4)
        self.clock.advance(PEER_LAG_S)
        self.receive_part[-1]()
        self.assertEqual(self.ask_after(OVERDUE_S / 2), [])
        self.assertEqual(self.ask_after(OVERDUE_S), [(PEER, 3)])

    def test_peers_are_asked_with_pauses(self) -> None:
        """Fails if a peer is asked with each heartbeat."""
        self.tracker.note_peer_version(PEER, 4)
        self.assertTrue(self.ask_after(PEER_LAG_S + 0.01))
        self.assertEqual(self.ask_after(PEER_REQUEST_INTERVAL_S - 0.01), [])
        self.assertTrue(self.ask_after(0.02))

    def test_another_peer_is_asked_after_one_that_does_not_help(self) -> None:
        """Fails if a peer that has gone, or has no newer version, is asked again and again."""
        for answer in (None, SettingsAnswer(1, 3, 0), SettingsAnswer(1, 2, 0)):
            with self.subTest(answer=answer):
                self.setUp()
                self.tracker.note_peer_version(PEER, 4)
                self.ask_after(PEER_LAG_S + 0.01)
                self.peers.answers[-1].callback(answer)
                self.tracker.note_peer_version(OTHER, 4)
                self.assertEqual(self.ask_after(PEER_REQUEST_INTERVAL_S), [(OTHER, 3)])

    def test_an_answer_applies_if_it_is_newer(self) -> None:
        """Fails if a peer's row is not applied, or if one that is no newer is."""
        rows: tuple[tuple[str, Row | None, list[int]], ...] = (
            ("newer", make_row(4), [3, 4]),
            ("the same", make_row(3), [3]),
            ("older", make_row(2), [3]),
            ("none", None, [3]),
            ("unreadable", make_row(4, b"odd"), [3]),
        )
        for name, row, expected in rows:
            with self.subTest(name=name):
                self.setUp()
                self.tracker.note_peer_version(PEER, 4)
                self.ask_after(PEER_LAG_S + 0.01)
                self.peers.answers[-1].callback(SettingsAnswer(1, 4, 0, row))
                self.assertEqual(self.applied, expected)

    def test_a_peer_confirms_the_version_that_it_has_too(self) -> None:
        """Fails if an answer confirms more than the peer knew when it was asked."""
        for version, unconfirmed_ms, expected_s in ((3, 200, 0.3), (2, 0, 2.1), (3, 9000, 2.1)):
            with self.subTest(version=version, unconfirmed_ms=unconfirmed_ms):
                self.setUp()
                self.ask_after(2.0)
                self.clock.advance(0.1)
                self.peers.answers[-1].callback(SettingsAnswer(1, version, unconfirmed_ms))
                self.assertAlmostEqual(self.tracker.get_unconfirmed_s(), expected_s)

    def test_a_start_confirms_nothing(self) -> None:
        """Fails if an instance that starts takes what a peer out of touch has for the newest."""
        for unconfirmed_ms, expected_s in ((200, 0.3), (9000, 9.1), (10**9, MAX_UNCONFIRMED_S)):
            with self.subTest(unconfirmed_ms=unconfirmed_ms):
                silent: Any = SimpleNamespace(read=lambda *_: Deferred(), poll_changes=self.poll)
                self.make_tracker(silent)
                self.assertEqual(self.tracker.get_unconfirmed_s(), MAX_UNCONFIRMED_S)
                self.tracker.note_peer_version(PEER, 4)
                self.ask_after(PEER_LAG_S + 0.01)
                self.clock.advance(0.1)
                answer = SettingsAnswer(1, 4, unconfirmed_ms, make_row(4))
                self.peers.answers[-1].callback(answer)
                self.assertEqual(self.tracker.settings.version, 4)
                self.assertAlmostEqual(self.tracker.get_unconfirmed_s(), expected_s)

    def test_an_answer_holds_the_row_only_for_an_older_version(self) -> None:
        """Fails if a configuration is sent to a peer that has it."""
        for version, expected in ((0, make_row(3)), (2, make_row(3)), (3, None), (4, None)):
            with self.subTest(version=version):
                found = self.tracker.answer(SettingsRequest(7, version))
                self.assertEqual((found.request_id, found.version), (7, 3))
                self.assertEqual(found.row, expected)


class MessageTest(unittest.TestCase):
    """Messages about the configuration on the wire."""

    def test_messages_can_be_read_again(self) -> None:
        messages: tuple[Message, ...] = (
            SettingsRequest(1, 5),
            SettingsAnswer(1, 6, 20, make_row(6)),
            SettingsAnswer(1, 5, 0),
        )
        for message in messages:
            with self.subTest(message=message):
                data = msgspec.Raw(msgspec.msgpack.encode(message))
                self.assertEqual(decode_message(data), message)

    def test_malformed_messages_are_rejected(self) -> None:
        """Fails if a message of another form is taken for one about the configuration."""
        rows: tuple[list[Any], ...] = (
            ["SettingsAsk", 1],
            ["SettingsAsk", 1, "5"],
            ["SettingsAnswer", 1, 5, -1],
            ["SettingsAnswer", 1, 5, 0, "row"],
        )
        for row in rows:
            with self.subTest(row=row), self.assertRaises(UnreadableError):
                decode_message(msgspec.Raw(msgspec.msgpack.encode(row)))


if __name__ == "__main__":
    unittest.main()
