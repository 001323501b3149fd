"""Tests of what an instance believes of others."""

import unittest
from collections import Counter
from collections.abc import Mapping
from random import Random
from typing import Any

from twisted.internet.task import Clock

from lavenderstall.identifiers import EntryId
from lavenderstall.pools.messages import OwnerHeartbeat
from lavenderstall.pools.peers import (
    DOWN_S,
    GONE_S,
    ISOLATION_S,
    SILENCE_S,
    STRONGER_FACTOR,
    WATCHED_PEERS,
    ZONE_SILENCE_S,
    PeerRequests,
    PeerSight,
)
from lavenderstall.pools.work import PoolName

POOL = PoolName("routing")
ZONES = {"e1": "z1", "e2": "z2", "e3": "z2", "e4": "z3"}


class Sent:
    """Keep what is sent."""

    def __init__(self) -> None:
        self.messages: list[Any] = []

    def send(self, peer: EntryId, message: Any) -> None:
        """Keep one message."""
        self.messages.append((peer, message))


class PeersTest(unittest.TestCase):
    """What is made of beats and of connections."""

    def setUp(self) -> None:
        """Make an instance in the first zone that has heard all others."""
        self.now = 100.0
        self.peers = PeerRequests(
            EntryId("e0"),
            "z1",
            Sent(),
            Clock(),
            Random(1),
            lambda: self.now,  # type: ignore[arg-type]
        )
        for name, zone in ZONES.items():
            self.peers.peers[EntryId(name)] = PeerSight(zone)
        self.hear(*ZONES)

    def hear(self, *names: str, **fields: object) -> None:
        """Hear from some peers."""
        for name in names:
            sight = self.peers.peers[EntryId(name)]
            values: Mapping[str, object] = {
                "heard_at": self.now,
                "told_at": self.now,
                "deaf_ms": 50,
                "store_lost": False,
                **fields,
            }
            for field, value in values.items():
                setattr(sight, field, value)

    def test_a_zone_of_which_nobody_is_heard_is_silent(self) -> None:
        self.now += ZONE_SILENCE_S + 0.1
        rows = (
            ((), {"z2", "z3"}),
            (("e2",), {"z3"}),
            (("e4",), {"z2"}),
            (("e3", "e4"), set()),
        )
        for heard, silent in rows:
            with self.subTest(heard=heard):
                for sight in self.peers.peers.values():
                    sight.heard_at = 100.0
                self.hear(*heard)
                self.assertEqual(self.peers.list_silent_zones(), silent)

    def test_a_zone_that_was_never_heard_is_not_silent(self) -> None:
        self.peers.peers[EntryId("e9")] = PeerSight("z9")
        self.assertEqual(self.peers.list_silent_zones(), frozenset())

    def test_an_instance_that_hears_no_other_zone_is_isolated(self) -> None:
        self.now += ISOLATION_S + 0.1
        self.assertTrue(self.peers.is_isolated())
        self.hear("e1")
        self.assertTrue(self.peers.is_isolated())
        self.hear("e4")
        self.assertFalse(self.peers.is_isolated())

    def test_a_peer_is_down_if_its_connection_is_lost_for_good(self) -> None:
        sight = self.peers.peers[EntryId("e2")]
        rows = (
            (-1.0, 9.0, 100.0, False),
            (100.0, DOWN_S - 0.05, 100.0, False),
            (100.0, DOWN_S + 0.05, 100.0, True),
            (100.0, 2.0, 100.0 + DOWN_S + 0.5, False),
        )
        for down_at, passed, heard_at, down in rows:
            with self.subTest(down_at=down_at, passed=passed, heard_at=heard_at):
                self.now = 100.0 + passed
                sight.down_at, sight.heard_at = down_at, heard_at
                self.assertEqual(self.peers.is_down(EntryId("e2")), down)

    def test_an_owner_that_is_down_or_misses_the_store_is_not_at_work(self) -> None:
        rows = ((False, -1.0, True), (True, -1.0, False), (False, 99.0, False))
        for store_lost, down_at, at_work in rows:
            with self.subTest(store_lost=store_lost, down_at=down_at):
                self.peers.peers[EntryId("e2")].down_at = down_at
                self.peers.peers[EntryId("e2")].heard_at = 99.0
                self.peers.note_owner(EntryId("e2"), OwnerHeartbeat(POOL, 3, {}, store_lost))
                self.assertEqual(self.peers.is_owner_at_work(POOL), at_work)

    def test_the_store_is_away_if_most_instances_miss_it_and_none_reaches_it(self) -> None:
        lost = {"store_lost": True}
        rows = (
            ({"e1": lost, "e2": lost, "e3": lost, "e4": lost}, True),
            ({"e1": lost, "e2": lost, "e3": lost, "e4": {"told_at": 0.0}}, True),
            ({"e1": lost, "e2": lost, "e3": lost, "e4": {}}, False),
            (
                {
                    "e1": lost,
                    "e2": {"told_at": 0.0},
                    "e3": {"told_at": 0.0},
                    "e4": {"told_at": 0.0},
                },
                False,
            ),
            (
                {"e1": lost, "e2": lost, "e3": {**lost, "deaf_ms": 5000}, "e4": {"told_at": 0.0}},
                True,
            ),
            (
                {
                    "e1": lost,
                    "e2": {**lost, "deaf_ms": 5000},
                    "e3": {"told_at": 0.0},
                    "e4": {"told_at": 0.0},
                },
                False,
            ),
        )
        for told, away in rows:
            with self.subTest(told=told):
                for name, fields in told.items():
                    self.hear(name, **fields)
                self.assertEqual(self.peers.is_store_away(), away)

    def test_only_live_peers_that_reach_the_store_are_asked_to_write(self) -> None:
        rows = ({"store_lost": True}, {"draining": True}, {"told_at": 100.0 - SILENCE_S - 0.1})
        for fields in rows:
            with self.subTest(fields=fields):
                self.setUp()
                self.hear("e1", "e2", "e3", **fields)
                self.assertEqual(self.peers.choose_writers(), ["e4"])

    def test_each_instance_is_told_by_some_others_that_they_live(self) -> None:
        names = [EntryId(f"entry-{number}") for number in range(31)]
        told: Counter[EntryId] = Counter()
        for name in names:
            peers = PeerRequests(name, "z1", Sent(), Clock(), Random(1), lambda: 0.0)  # type: ignore[arg-type]
            peers.peers = {other: PeerSight("z2") for other in names if other != name}
            told.update(peers.list_watched())
        self.assertEqual(set(told.values()), {WATCHED_PEERS})
        self.assertEqual(len(told), len(names))

    def test_a_pool_moves_to_a_free_instance_of_much_more_power(self) -> None:
        rows = ((1.0, False, False), (STRONGER_FACTOR + 0.1, False, True), (9.0, True, False))
        for power, owns, moves in rows:
            with self.subTest(power=power, owns=owns):
                self.setUp()
                self.peers.peers[EntryId("e2")].power = power
                if owns:
                    self.peers.note_owner(EntryId("e2"), OwnerHeartbeat(POOL, 1, {}))
                self.assertEqual(self.peers.has_stronger(1.0), moves)

    def test_instances_that_were_heard_and_are_silent_now_claim_nothing(self) -> None:
        self.peers.peers[EntryId("e9")] = PeerSight("z9")
        self.now += GONE_S + 0.1
        self.hear("e1")
        self.assertEqual(set(self.peers.get_powers()), {"e1", "e9"})


if __name__ == "__main__":
    unittest.main()
