"""Tests of how an instance tracks its peers."""

import unittest
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from itertools import chain
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from lavenderstall.identifiers import EntryId, Incarnation, JobId
from lavenderstall.pools.claims import OwnerEvidence
from lavenderstall.pools.earlier_owners import OUTAGE_LEASES_DELAY_S
from lavenderstall.pools.effects import RequestAdvice
from lavenderstall.pools.heartbeat_ring import HEARTBEAT_PEERS
from lavenderstall.pools.messages import (
    AdviceAnswer,
    CommitAnswer,
    CommitOutcome,
    OwnerHeartbeat,
    SettingsAnswer,
    StateAnswer,
    WriteAnswer,
)
from lavenderstall.pools.peers import (
    ABSENCE_NOTICE_S,
    ABSENCE_S,
    CLAIMANT_TIMEOUT_S,
    ISOLATION_TIMEOUT_S,
    LIVENESS_TIMEOUT_S,
    OWNER_TIMEOUT_S,
    RECENT_HEARTBEAT_S,
    RECONNECT_TIMEOUT_S,
    STRONGER_CAPACITY_FACTOR,
    ZONE_TIMEOUT_S,
    PeerState,
    PeerTracker,
)
from lavenderstall.pools.ports import Transaction
from lavenderstall.pools.records import EarlierOwner, OwnerRow, Presence
from lavenderstall.pools.work import JobState, PoolName, StepKey

POOL = PoolName("routing")
ZONES = {"e1": "z1", "e2": "z2", "e3": "z2", "e4": "z3"}


class RecordingLinks:
    """Record sent messages."""

    def __init__(self) -> None:
        self.messages: list[Any] = []

    def send(self, peer: EntryId, message: Any) -> None:
        """Record one message."""
        self.messages.append((peer, message))

    def list_request_numbers(self) -> list[int]:
        """Return the numbers of the requests among the messages."""
        return [message.request_id for _, message in self.messages]


def make_tracker(
    name: str, incarnation: str, links: RecordingLinks, read_uptime: Callable[[], float]
) -> PeerTracker:
    """Return the tracker of a process of an instance in zone z1."""
    return PeerTracker(
        EntryId(name),
        Incarnation(incarnation),
        "z1",
        links,  # type: ignore[arg-type]
        Clock(),
        Random(1),
        read_uptime,
    )


class PeersTest(unittest.TestCase):
    """Conclusions from heartbeats and connections."""

    def setUp(self) -> None:
        """Make an instance in zone z1 that has heard all peers."""
        self.now = 100.0
        self.links = RecordingLinks()
        self.peers = make_tracker("e0", "i1", self.links, lambda: self.now)
        for name, zone in ZONES.items():
            self.peers.peers[EntryId(name)] = PeerState(zone)
        self.hear(*ZONES)

    def hear(self, *names: str, **fields: object) -> None:
        """Record that some peers were heard."""
        for name in names:
            state = self.peers.peers[EntryId(name)]
            values: Mapping[str, object] = {
                "last_contact_at": self.now,
                "store_reported_at": self.now,
                "reported_contact_age_ms": 50,
                "store_lost": False,
                **fields,
            }
            for field, value in values.items():
                setattr(state, field, value)

    def test_an_unknown_value_in_an_answer_is_no_answer(self) -> None:
        """Fails if the state or the outcome of a later release ends a caller's request."""
        self.peers.record_owner(EntryId("e1"), OwnerHeartbeat(POOL, 1, {}))
        found: list[Any] = []
        state = self.peers.request_state(POOL, JobId("a" * 16))
        write = self.peers.request_write(EntryId("e2"), "jobs", "p", "k", b"")
        for call in (state, write):
            Deferred.fromCoroutine(call).addBoth(found.append)
        numbers = self.links.list_request_numbers()
        answer = StateAnswer(numbers[0], owned=True, state="asleep")
        self.peers.handle_answer(EntryId("e1"), answer)
        self.peers.handle_answer(EntryId("e2"), WriteAnswer(numbers[1], "perhaps"))
        self.assertEqual(found, [None, Presence.UNKNOWN])

    def start(self, call: Coroutine[Any, Any, Any]) -> list[Any]:
        """Start a request, and return the list that its answer will be added to."""
        found: list[Any] = []
        Deferred.fromCoroutine(call).addBoth(found.append)
        return found

    def test_answers_to_a_former_process_are_dropped(self) -> None:
        """Fails if a restarted instance takes the state of another job for that of its own."""
        heartbeat = OwnerHeartbeat(POOL, 1, {})
        numbers: list[list[int]] = []
        for incarnation in ("i1", "i2", "i3"):
            links = RecordingLinks()
            peers = make_tracker("e0", incarnation, links, lambda: self.now)
            peers.peers[EntryId("e1")] = PeerState("z1", last_contact_at=self.now)
            peers.record_owner(EntryId("e1"), heartbeat)
            found = [self.start(peers.request_state(POOL, JobId(f"{n:016}"))) for n in range(50)]
            for number in chain.from_iterable(numbers):
                answer = StateAnswer(number, owned=True, state=JobState.COMPLETED.value)
                peers.handle_answer(EntryId("e1"), answer)
            self.assertEqual(found, [[]] * 50)
            numbers.append(links.list_request_numbers())
            for number in numbers[-1]:
                answer = StateAnswer(number, owned=True, state=JobState.RUNNING.value)
                peers.handle_answer(EntryId("e1"), answer)
            self.assertEqual(found, [[JobState.RUNNING]] * 50)

    def test_answers_of_another_peer_or_type_are_dropped(self) -> None:
        """Fails if a message with the number of a request ends it, whatever it says."""
        peer, other = EntryId("e1"), EntryId("e2")
        self.peers.record_owner(peer, OwnerHeartbeat(POOL, 1, {}))
        advice = RequestAdvice(StepKey(JobId("a" * 16), 0, 0), ("w1",), 100)
        rows = (
            (self.peers.request_state(POOL, JobId("a" * 16)), StateAnswer(0, owned=True)),
            (self.peers.request_write(peer, "jobs", "p", "k", b""), WriteAnswer(0, "present")),
            (self.peers.request_settings(peer, 3), SettingsAnswer(0, 3, 0)),
            (
                self.peers.request_commit(peer, Transaction("", (), ())),
                CommitAnswer(0, CommitOutcome.UNAVAILABLE),
            ),
            (self.peers.request_advice(peer, advice, 1.0), AdviceAnswer(0, available=False)),
        )
        answers = [answer for _, answer in rows]
        for call, answer in rows:
            with self.subTest(answer=type(answer).__name__):
                found = self.start(call)
                number = self.links.list_request_numbers()[-1]
                for wrong in (each for each in answers if type(each) is not type(answer)):
                    message = msgspec.structs.replace(wrong, request_id=number)
                    self.peers.handle_answer(peer, message)
                message = msgspec.structs.replace(answer, request_id=number)
                self.peers.handle_answer(other, message)
                self.assertEqual(found, [])
                self.peers.handle_answer(peer, message)
                self.assertEqual(len(found), 1)

    def test_zone_is_silent_if_no_instance_of_it_is_heard(self) -> None:
        self.now += ZONE_TIMEOUT_S + 0.1
        rows = (
            ((), {"z2", "z3"}),
            (("e2",), {"z3"}),
            (("e4",), {"z2"}),
            (("e3", "e4"), set()),
        )
        for heard, silent in rows:
            with self.subTest(heard=heard):
                for state in self.peers.peers.values():
                    state.last_contact_at = 100.0
                self.hear(*heard)
                self.assertEqual(self.peers.list_unresponsive_zones(), silent)

    def test_zone_that_was_never_heard_is_not_silent(self) -> None:
        self.peers.peers[EntryId("e9")] = PeerState("z9")
        self.assertEqual(self.peers.list_unresponsive_zones(), frozenset())

    def test_instance_that_hears_no_other_zone_is_isolated(self) -> None:
        self.now += ISOLATION_TIMEOUT_S + 0.1
        self.assertTrue(self.peers.is_isolated())
        self.hear("e1")
        self.assertTrue(self.peers.is_isolated())
        self.hear("e4")
        self.assertFalse(self.peers.is_isolated())

    def test_peer_is_disconnected_unless_its_connection_is_restored_in_time(self) -> None:
        state = self.peers.peers[EntryId("e2")]
        rows = (
            (-1.0, 9.0, 100.0, False),
            (100.0, RECONNECT_TIMEOUT_S - 0.05, 100.0, False),
            (100.0, RECONNECT_TIMEOUT_S + 0.05, 100.0, True),
            (100.0, 2.0, 100.0 + RECONNECT_TIMEOUT_S + 0.5, False),
        )
        for disconnected_at, passed, last_contact_at, disconnected in rows:
            with self.subTest(
                disconnected_at=disconnected_at, passed=passed, last_contact_at=last_contact_at
            ):
                self.now = 100.0 + passed
                state.disconnected_at, state.last_contact_at = disconnected_at, last_contact_at
                self.assertEqual(self.peers.is_disconnected(EntryId("e2")), disconnected)

    def test_owner_without_connection_or_store_is_not_active(self) -> None:
        rows = ((False, -1.0, True), (True, -1.0, False), (False, 99.0, False))
        for store_lost, disconnected_at, active in rows:
            with self.subTest(store_lost=store_lost, disconnected_at=disconnected_at):
                self.peers.peers[EntryId("e2")].disconnected_at = disconnected_at
                self.peers.peers[EntryId("e2")].last_contact_at = 99.0
                self.peers.record_owner(EntryId("e2"), OwnerHeartbeat(POOL, 3, {}, store_lost))
                self.assertEqual(self.peers.is_owner_active(POOL), active)

    def test_store_is_down_if_most_instances_miss_it_and_none_reaches_it(self) -> None:
        lost = {"store_lost": True}
        rows = (
            ({"e1": lost, "e2": lost, "e3": lost, "e4": lost}, True),
            ({"e1": lost, "e2": lost, "e3": lost, "e4": {"store_reported_at": 0.0}}, True),
            ({"e1": lost, "e2": lost, "e3": lost, "e4": {}}, False),
            (
                {
                    "e1": lost,
                    "e2": {"store_reported_at": 0.0},
                    "e3": {"store_reported_at": 0.0},
                    "e4": {"store_reported_at": 0.0},
                },
                False,
            ),
            (
                {
                    "e1": lost,
                    "e2": lost,
                    "e3": {**lost, "reported_contact_age_ms": 5000},
                    "e4": {"store_reported_at": 0.0},
                },
                True,
            ),
            (
                {
                    "e1": lost,
                    "e2": {**lost, "reported_contact_age_ms": 5000},
                    "e3": {"store_reported_at": 0.0},
                    "e4": {"store_reported_at": 0.0},
                },
                False,
            ),
        )
        for heartbeats, store_down in rows:
            with self.subTest(heartbeats=heartbeats):
                for name, fields in heartbeats.items():
                    self.hear(name, **fields)
                self.assertEqual(self.peers.is_store_down(), store_down)

    def test_the_store_is_down_everywhere_only_if_each_peer_says_so(self) -> None:
        """Fails if an owner takes an old answer of an instance for a present one, or none."""
        lost_at, asked_ms = 96.0, 99_900
        lost = {"loss_confirmed_ms": asked_ms}
        absent_at = lost_at - ABSENCE_S
        rows = (
            (lost, True),
            ({"loss_confirmed_ms": -1}, False),
            ({"loss_confirmed_ms": 100_000 - 1000 * LIVENESS_TIMEOUT_S}, False),
            ({"loss_confirmed_ms": 100_001}, False),
            ({"loss_confirmed_ms": -1, "last_contact_at": absent_at + 0.1}, False),
            ({"loss_confirmed_ms": -1, "last_contact_at": absent_at - 0.1}, True),
        )
        for fields, everywhere in rows:
            with self.subTest(fields=fields):
                self.setUp()
                self.hear("e1", "e2", "e3", "e4", **lost)
                self.hear("e2", **fields)
                self.assertEqual(self.peers.is_store_down_everywhere(lost_at), everywhere)

    def test_leases_in_an_outage_are_ruled_out_by_the_last_heartbeat_of_an_owner(self) -> None:
        """Fails if an instance counts on being asked that may be absent, or has answered late."""
        owner = EarlierOwner(EntryId("e2"), 4, 0.0)
        me, other = EntryId("e0"), EntryId("e9")
        last_answer_s = OUTAGE_LEASES_DELAY_S - LIVENESS_TIMEOUT_S
        rows = (
            # Term and absent instances in the heartbeat, when it was heard after the renewal.
            (4, {other}, 0.2, True),
            (3, {other}, 0.2, False),
            (4, {me, other}, 0.2, False),
            (4, {other}, 0.1 - RECENT_HEARTBEAT_S, True),
            (4, {other}, -0.1 - RECENT_HEARTBEAT_S, False),
            (4, {other}, last_answer_s - 0.1, True),
            (4, {other}, last_answer_s + 0.1, False),
        )
        self.assertLess(ABSENCE_NOTICE_S + RECENT_HEARTBEAT_S, ABSENCE_S)
        for term, absent, heard_s, ruled_out in rows:
            with self.subTest(term=term, absent=absent, heard_s=heard_s):
                self.setUp()
                heartbeat = OwnerHeartbeat(POOL, term, {}, absent=frozenset(absent))
                self.peers.record_owner(EntryId("e2"), heartbeat)
                renewed_at = self.now - heard_s
                found = self.peers.rules_out_outage_leases(POOL, owner, renewed_at, renewed_at)
                self.assertEqual(found, ruled_out)

    def test_leases_in_an_outage_are_ruled_out_by_a_process_that_has_started_since(self) -> None:
        """Fails if a former process, or this one, may have answered the owner, or isn't asked."""
        me, first, second = EntryId("e0"), EntryId("e2"), EntryId("e3")
        last_answer_s = OUTAGE_LEASES_DELAY_S - LIVENESS_TIMEOUT_S
        rows = (
            # Instances that the owner had heard, one that this process has heard as an owner, when
            # it has started after the renewal.
            ((me, second), None, -9.0, True),
            ((me, second), None, last_answer_s - 0.1, True),
            ((me, second), None, last_answer_s + 0.1, False),
            ((second,), None, 0.2, False),
            ((), None, 0.2, False),
            ((me,), first, 0.2, False),
            ((me,), second, 0.2, True),
        )
        for heard, known, started_s, ruled_out in rows:
            with self.subTest(heard=heard, known=known, started_s=started_s):
                self.setUp()
                if known is not None:
                    self.peers.record_owner(known, OwnerHeartbeat(PoolName("other"), 1, {}))
                owner = EarlierOwner(first, 4, 0.0, heard=heard)
                renewed_at = self.now - started_s
                found = self.peers.rules_out_outage_leases(POOL, owner, renewed_at, renewed_at)
                self.assertEqual(found, ruled_out)

    def test_an_owner_row_names_the_instances_that_were_heard_lately(self) -> None:
        self.now += ABSENCE_NOTICE_S + 0.1
        self.hear("e1", "e3")
        self.assertEqual(self.peers.list_heard(), ("e1", "e3"))

    def test_an_owner_tells_of_instances_that_it_has_not_heard_for_long(self) -> None:
        self.now += ABSENCE_NOTICE_S + 0.1
        self.hear("e1", "e3")
        self.assertEqual(self.peers.list_absent(), {"e2", "e4"})

    def test_only_live_peers_that_reach_the_store_are_asked_to_write(self) -> None:
        rows = (
            {"store_lost": True},
            {"draining": True},
            {"store_reported_at": 100.0 - LIVENESS_TIMEOUT_S - 0.1},
        )
        for fields in rows:
            with self.subTest(fields=fields):
                self.setUp()
                self.hear("e1", "e2", "e3", **fields)
                self.assertEqual(self.peers.choose_write_proxies(), ["e4"])

    def test_each_instance_receives_heartbeats_of_several_peers(self) -> None:
        names = [EntryId(f"entry-{number}") for number in range(31)]
        heartbeats: Counter[EntryId] = Counter()
        for name in names:
            peers = make_tracker(name, "i1", RecordingLinks(), lambda: 0.0)
            peers.peers = {other: PeerState("z2") for other in names if other != name}
            heartbeats.update(peers.list_heartbeat_recipients())
        self.assertEqual(set(heartbeats.values()), {HEARTBEAT_PEERS})
        self.assertEqual(len(heartbeats), len(names))

    def test_pool_moves_to_idle_instance_with_much_more_cpu_capacity(self) -> None:
        rows = (
            (1.0, False, False, False),
            (STRONGER_CAPACITY_FACTOR + 0.1, False, False, True),
            (9.0, True, False, False),
            (9.0, False, True, False),
        )
        for cpu_capacity, owns, isolated, moves in rows:
            with self.subTest(cpu_capacity=cpu_capacity, owns=owns, isolated=isolated):
                self.setUp()
                self.peers.peers[EntryId("e2")].cpu_capacity = cpu_capacity
                self.peers.peers[EntryId("e2")].isolated = isolated
                if owns:
                    self.peers.record_owner(EntryId("e2"), OwnerHeartbeat(POOL, 1, {}))
                self.assertEqual(self.peers.has_stronger_idle_peer(1.0), moves)
                self.assertFalse(self.peers.has_stronger_idle_peer(1.0, besides=1))

    def test_peers_not_heard_for_long_are_no_claimants(self) -> None:
        self.peers.peers[EntryId("e9")] = PeerState("z9")
        self.now += CLAIMANT_TIMEOUT_S + 0.1
        self.hear("e1")
        self.assertEqual(set(self.peers.get_claimant_capacities()), {"e1", "e9"})

    def test_an_owner_is_suspected_without_heartbeats_or_with_a_new_process(self) -> None:
        rows = (
            # Seconds since its heartbeat, incarnation in its entry row, evidence.
            (0.1, "i1", OwnerEvidence.NONE),
            (OWNER_TIMEOUT_S + 0.1, "i1", OwnerEvidence.SUSPECTED),
            (0.1, "i2", OwnerEvidence.SUSPECTED),
            (0.1, "", OwnerEvidence.NONE),
        )
        owner = OwnerRow(EntryId("e2"), Incarnation("i1"), 4)
        for passed_s, incarnation, evidence in rows:
            with self.subTest(passed_s=passed_s, incarnation=incarnation):
                self.setUp()
                self.peers.record_owner(EntryId("e2"), OwnerHeartbeat(POOL, 4, {}))
                self.peers.peers[EntryId("e2")].incarnation = Incarnation(incarnation)
                self.now += passed_s
                self.assertEqual(self.peers.find_owner_evidence(POOL, owner), evidence)

    def test_silence_of_an_earlier_owner_says_nothing_of_the_present_one(self) -> None:
        self.peers.record_owner(EntryId("e2"), OwnerHeartbeat(POOL, 4, {}))
        self.now += OWNER_TIMEOUT_S + 0.1
        owner = OwnerRow(EntryId("e3"), Incarnation("i1"), 5)
        self.assertEqual(self.peers.find_owner_evidence(POOL, owner), OwnerEvidence.NONE)

    def test_draining_instances_claim_no_pools(self) -> None:
        self.hear("e2", draining=True)
        self.assertNotIn("e2", self.peers.get_claimant_capacities())


if __name__ == "__main__":
    unittest.main()
