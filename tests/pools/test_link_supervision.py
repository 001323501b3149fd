"""Tests of which links count as silent and when they are replaced."""

import unittest
from itertools import pairwise
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from lavenderstall.identifiers import EntryId
from lavenderstall.pools.link_supervision import (
    MAX_REPLACEMENT_INTERVAL_S,
    MIN_REPLACEMENT_INTERVAL_S,
    REPLACEMENT_JITTER,
    Direction,
    LinkChange,
    LinkFellSilent,
    LinkReplaced,
    LinkRestored,
    LinkSupervisor,
)

PEER = EntryId("e1")
OTHER = EntryId("e2")
ROUND_S = 0.25
# Silence has to be found within this time.
FOUND_S = 1.5
# A link is replaced within this time after a peer is heard again.
RECOVERED_S = 1.0


class Bench:
    """One instance's supervisor on a clock of its own, with a round of checks each 0.25 s."""

    def __init__(self, senders: tuple[EntryId, ...], recipients: tuple[EntryId, ...]) -> None:
        self.now = 100.0
        self.senders = senders
        self.recipients = recipients
        self.supervisor = LinkSupervisor(Random(1))
        self.supervisor.retain([PEER, OTHER], self.now)
        self.changes: list[tuple[float, LinkChange]] = []
        # Whether messages of the peer arrive, and those to it.
        self.hears = True
        self.is_heard = True
        # Whether the peer reports when it heard this instance last.
        self.reports = True
        self.heard_at = self.now
        self.asked_rounds = 0

    def run(self, seconds: float) -> None:
        """Let rounds pass in which the peer sends and receives what it can."""
        for _ in range(round(seconds / ROUND_S)):
            self.run_round()

    def run_round(self) -> None:
        """Check the links, exchange heartbeats and let the interval pass."""
        found = self.supervisor.check(self.senders, self.recipients, [PEER], self.now)
        self.changes += [(self.now, change) for change in found if change.peer == PEER]
        asked = self.supervisor.wants_answer(PEER)
        self.asked_rounds += asked
        if asked or PEER in self.recipients:
            self.supervisor.note_sent([PEER], self.now)
            self.heard_at = self.now if self.is_heard else self.heard_at
        if self.hears and (PEER in self.senders or (asked and self.is_heard)):
            self.supervisor.note_received(PEER, self.now)
            if self.reports:
                self.supervisor.note_report(PEER, self.now - self.heard_at, self.now)
        self.supervisor.note_received(OTHER, self.now)
        self.supervisor.note_report(OTHER, 0.0, self.now)
        self.now += ROUND_S

    def list_times(self, kind: type[LinkChange], direction: Direction | None = None) -> list[float]:
        """Return the times of changes of one kind."""
        return [
            time
            for time, change in self.changes
            if isinstance(change, kind) and direction in (None, change.direction)
        ]


class SilenceTest(unittest.TestCase):
    """Links that fall silent."""

    def test_silence_is_found_in_each_direction(self) -> None:
        """Fails if a link of some kind stays silent unnoticed, or the wrong direction is named."""
        both = {Direction.INCOMING, Direction.OUTGOING}
        rows = (
            # Whether the peer sends and expects heartbeats; what still arrives; what is found.
            ("heartbeats both ways", True, True, False, True, {Direction.INCOMING}),
            ("heartbeats both ways", True, True, True, False, {Direction.OUTGOING}),
            ("heartbeats from the peer", True, False, False, True, {Direction.INCOMING}),
            ("used, answers lost", False, False, False, True, both),
            ("used, requests lost", False, False, True, False, both),
        )
        for name, sends, expects, hears, is_heard, directions in rows:
            with self.subTest(name=name, hears=hears, is_heard=is_heard):
                bench = Bench((PEER,) if sends else (), (PEER,) if expects else ())
                bench.run(3.0)
                bench.hears, bench.is_heard = hears, is_heard
                cut_at = bench.now
                if not sends:
                    bench.supervisor.note_sent([PEER], bench.now)
                    bench.supervisor.require_confirmation(PEER)
                bench.run(FOUND_S + ROUND_S)
                for direction in directions:
                    times = bench.list_times(LinkFellSilent, direction)
                    self.assertEqual(len(times), 1)
                    self.assertLessEqual(times[0] - cut_at, FOUND_S)
                found = {change.direction for _, change in bench.changes}
                self.assertEqual(found, directions)

    def test_a_peer_that_was_never_heard_is_watched(self) -> None:
        """Fails if a link that was silent from the first message on is never replaced."""
        bench = Bench((PEER,), (PEER,))
        bench.hears = False
        bench.run(FOUND_S + ROUND_S)
        self.assertTrue(bench.list_times(LinkReplaced))

    def test_an_idle_link_is_probed(self) -> None:
        """Fails if a link that nothing is sent on stays silent for good."""
        bench = Bench((), ())
        bench.hears = bench.is_heard = False
        bench.run(2 * ROUND_S + FOUND_S)
        self.assertTrue(bench.list_times(LinkReplaced))

    def test_a_working_link_is_left_alone(self) -> None:
        """Fails if a link is replaced because its peer need not send, or hasn't heard nothing."""
        for sends in (False, True):
            for expects in (False, True):
                with self.subTest(sends=sends, expects=expects):
                    bench = Bench((PEER,) if sends else (), (PEER,) if expects else ())
                    bench.run(20.0)
                    self.assertEqual(bench.changes, [])

    def test_a_pause_of_this_instance_is_no_silence(self) -> None:
        """Fails if an instance that was frozen replaces all its links when it goes on."""
        bench = Bench((PEER,), (PEER,))
        bench.run(3.0)
        bench.now += 5.0
        bench.run(3.0)
        self.assertEqual(bench.changes, [])

    def test_a_peer_that_left_is_forgotten(self) -> None:
        """Fails if an instance that left the registry is dialled on."""
        bench = Bench((PEER,), (PEER,))
        bench.hears = False
        bench.run(3.0)
        before = len(bench.changes)
        bench.supervisor.retain([OTHER], bench.now)
        bench.run(10.0)
        self.assertEqual(len(bench.changes), before)
        self.assertEqual(bench.supervisor.count_silent(Direction.INCOMING), 0)
        self.assertEqual(bench.supervisor.get_longest_silence_s(bench.now), 0.0)


class ReplacementTest(unittest.TestCase):
    """Replacements of links that stay silent."""

    def test_a_peer_that_is_gone_is_dialled_at_growing_intervals(self) -> None:
        """Fails if a dead peer costs more than a connection each two seconds, or is given up."""
        bench = Bench((PEER,), (PEER,))
        bench.run(3.0)
        bench.hears = bench.is_heard = False
        bench.run(60.0)
        gaps = [later - time for time, later in pairwise(bench.list_times(LinkReplaced))]
        self.assertGreaterEqual(min(gaps), MIN_REPLACEMENT_INTERVAL_S)
        longest_s = MAX_REPLACEMENT_INTERVAL_S * (1 + REPLACEMENT_JITTER)
        self.assertLessEqual(max(gaps), longest_s + ROUND_S)
        self.assertGreater(gaps[-1], gaps[0])
        self.assertGreater(len(set(gaps)), 2)

    def test_a_link_is_replaced_soon_after_its_peer_is_heard_again(self) -> None:
        """Fails if an interval is waited for although the path works again."""
        for away_s in (4.0, 7.25, 11.5, 30.0):
            with self.subTest(away_s=away_s):
                bench = Bench((PEER,), (PEER,))
                bench.run(3.0)
                bench.hears = bench.is_heard = False
                bench.run(away_s)
                bench.hears = True
                heard_at = bench.now
                bench.run(RECOVERED_S)
                self.assertTrue([t for t in bench.list_times(LinkReplaced) if t >= heard_at])

    def test_a_link_to_a_slow_peer_that_hears_this_instance_is_not_replaced_often(self) -> None:
        """Fails if each heartbeat of a peer that is slow to send them brings a replacement."""
        bench = Bench((PEER,), (PEER,))
        for _ in range(20):
            bench.hears = False
            bench.run(1.25)
            bench.hears = True
            bench.run(ROUND_S)
        times = bench.list_times(LinkReplaced)
        gaps = [later - time for time, later in pairwise(times)]
        self.assertGreaterEqual(min(gaps), MIN_REPLACEMENT_INTERVAL_S)

    def test_a_restored_link_is_reported_once(self) -> None:
        """Fails if the end of a silence isn't told, or the gauges go on counting it."""
        bench = Bench((PEER,), (PEER,))
        bench.run(3.0)
        bench.hears = bench.is_heard = False
        bench.run(5.0)
        bench.hears = True
        bench.run(2.0)
        bench.is_heard = True
        bench.run(5.0)
        for direction in Direction:
            with self.subTest(direction=direction):
                self.assertEqual(len(bench.list_times(LinkFellSilent, direction)), 1)
                self.assertEqual(len(bench.list_times(LinkRestored, direction)), 1)
                self.assertEqual(bench.supervisor.count_silent(direction), 0)

    @settings(max_examples=200, deadline=None)
    @given(
        st.booleans(),
        st.booleans(),
        st.lists(st.tuples(st.booleans(), st.booleans(), st.integers(1, 40)), max_size=8),
    )
    def test_any_series_of_silences(
        self, sends: bool, expects: bool, phases: list[tuple[bool, bool, int]]
    ) -> None:
        """Fails if links are dialled too often, or not until they work."""
        bench = Bench((PEER,) if sends else (), (PEER,) if expects else ())
        for hears, is_heard, rounds in phases:
            bench.hears, bench.is_heard = hears, is_heard
            bench.run(rounds * ROUND_S)
        bench.hears = bench.is_heard = True
        bench.run(FOUND_S + RECOVERED_S + ROUND_S)
        self.assertEqual([bench.supervisor.count_silent(way) for way in Direction], [0, 0])
        heard = bench.list_times(LinkRestored)
        for time, later in pairwise(bench.list_times(LinkReplaced)):
            if not any(time <= moment <= later for moment in heard):
                self.assertGreaterEqual(later - time, MIN_REPLACEMENT_INTERVAL_S)


if __name__ == "__main__":
    unittest.main()
