"""Tests that a stored configuration is in force in time at each instance."""

import json
import unittest
from base64 import b64decode
from collections.abc import Callable
from itertools import product
from types import SimpleNamespace
from typing import Any, NamedTuple
from unittest.mock import patch

import msgspec
from twisted.internet.defer import Deferred

from adapter import process
from adapter.http_api import JobsResource, make_site
from lavenderstall.pools.work import PoolName
from tests.callers import CallerConnection
from tests.platform.fake_platform import STORE
from tests.platform.loopback import Direction
from tests.platform.persistent_http_client import PersistentHttpClient
from tests.platform.simulated_cell import POOLS, SimulatedCell

FIRST, OTHER = POOLS
FEED, READ = "/v1/rows-feed", "/v1/rows-get"
# Time from a change's acknowledgement until it is in force where nothing is disturbed.
APPLY_S = 2.0
# An instance counts as undisturbed again so long after a fault of its connections.
SETTLED_S = 3.0
# For how long reads are behind after a lost history.
STALE_S = 3.0
STEP_S = 0.02
# As on a link of 10 Mbit/s.
LINK_BYTES_PER_S = 1_250_000.0
JOB = f"{1:016x}"


class PersistentCell(SimulatedCell):
    """A simulated cell whose instances keep connections to the store open."""

    http_client_type = PersistentHttpClient


def start_cell(kind: type[SimulatedCell] = SimulatedCell, nodes: int = 3) -> SimulatedCell:
    """Return a settled cell."""
    cell = kind(nodes, 4, advice=False)
    assert cell.run_until(lambda: all(map(cell.find_owner, POOLS)), 4.0)
    cell.run(1.5)
    return cell


def get_versions(cell: SimulatedCell) -> dict[str, int]:
    """Return the version in force at each instance."""
    return {name: node.instance.settings.version for name, node in cell.nodes.items()}


def is_in_force(cell: SimulatedCell, version: int) -> bool:
    """Tell whether all instances have a version."""
    return set(get_versions(cell).values()) == {version}


def put_large(cell: SimulatedCell, version: int, transfer_s: float) -> None:
    """Store a configuration that takes some time to arrive on a slow link."""
    (row,) = [row for key, row in cell.platform.rows.items() if key[0] == "op"]
    found = json.loads(b64decode(row["value"]))
    # A value takes a third more as base64.
    padding = "x" * round(LINK_BYTES_PER_S * transfer_s * 0.75)
    cell.platform.put("op", "", "config", {**found, "version": version, "padding": padding})


def lose_feeds(cell: SimulatedCell) -> None:
    """Let no call of any feed be answered any more."""
    cell.platform.lost_paths = {FEED}


def lose_own_feeds(cell: SimulatedCell) -> None:
    """Let no call of one instance's feeds be answered any more."""
    cell.nodes["entry-1"].http_client.lost_paths = {FEED}


def lose_own_feeds_and_reads(cell: SimulatedCell) -> None:
    """Let one instance learn nothing from the store any more, which takes its transactions."""
    cell.nodes["entry-1"].http_client.lost_paths = {FEED, READ}


def turn_away(cell: SimulatedCell) -> None:
    """Let the store reject all calls of one instance."""
    cell.nodes["entry-1"].http_client.turned_away = True


def cut_from_store(cell: SimulatedCell) -> None:
    """Cut one instance off from the store."""
    cell.nodes["entry-1"].http_client.unreachable.add(STORE)


class FeedTest(unittest.TestCase):
    """A change beside a feed that doesn't answer."""

    def test_a_change_is_in_force_in_time_beside_a_feed_without_answers(self) -> None:
        """Fails if an instance learns the configuration from its feed alone."""
        faults: tuple[Callable[[SimulatedCell], None], ...] = (
            lose_feeds,
            lose_own_feeds,
            lose_own_feeds_and_reads,
            turn_away,
            cut_from_store,
        )
        for inject, wait_s in product(faults, (0.0, 0.5, 1.0, 4.0)):
            with self.subTest(inject=inject.__name__, wait_s=wait_s):
                cell = start_cell()
                inject(cell)
                cell.run(wait_s)
                cell.put_settings(2, advice=False)
                self.assertTrue(cell.run_until(lambda cell=cell: is_in_force(cell, 2), APPLY_S))


class SilentConnectionsTest(unittest.TestCase):
    """All open connections to the store fall silent, of which an instance has many idle ones."""

    def test_a_change_is_in_force_in_time_after_connections_fell_silent(self) -> None:
        """Fails if the feed waits on one silent connection after another."""
        for direction, age_s, wait_s in product(Direction, (0.0, 0.4, 0.8), (0.0, 1.0, 3.1)):
            with self.subTest(direction=direction, age_s=age_s, wait_s=wait_s):
                cell = start_cell(PersistentCell)
                self.open_connections(cell)
                cell.run(age_s)
                for node in cell.nodes.values():
                    node.http_client.silence(direction, lambda address: address == STORE)
                cell.run(wait_s)
                cell.put_settings(2, advice=False)
                limit_s = max(APPLY_S, SETTLED_S - wait_s)
                self.assertTrue(cell.run_until(lambda cell=cell: is_in_force(cell, 2), limit_s))

    def open_connections(self, cell: SimulatedCell) -> None:
        """Let each instance use many connections to the store at once, and wait until all idle."""
        step = {"count": 1, "cpu": 100, "taskMemoryMb": 10, "estimatedDurationMs": 200}
        for number, name in product(range(12), cell.nodes):
            cell.submit(name, FIRST, f"{number:08x}{len(name):04x}{name[-1]:0>4}", [dict(step)])
        cell.run(2.0)


class SlowLinkTest(unittest.TestCase):
    """A large configuration that arrives slowly at one instance, and changes throughout."""

    # Time in which a change of a large cell has to be in force.
    APPLY_S = 3.0
    CHANGE_INTERVAL_S = 1.5

    def test_changes_are_in_force_in_time_beside_a_slow_link(self) -> None:
        """Fails if an answer that arrives slowly is cut off, or competes with a second one."""
        for lost_s in (0.0, 1.0, 3.0):
            with self.subTest(lost_s=lost_s):
                cell = start_cell(PersistentCell)
                client = cell.nodes["entry-1"].http_client
                client.link_bytes_per_s = LINK_BYTES_PER_S
                stored_at: dict[int, float] = {}
                late: list[str] = []
                for version in range(2, 14):
                    put_large(cell, version, transfer_s=1.0)
                    stored_at[version] = cell.clock.seconds()
                    if version == 5:
                        client.service.lost_paths = {FEED} if lost_s else set()
                        cell.clock.callLater(lost_s, client.service.lost_paths.clear)
                    for _ in range(round(self.CHANGE_INTERVAL_S / 0.1)):
                        cell.run(0.1)
                        known = cell.nodes["entry-1"].instance.settings.version
                        due = [
                            each
                            for each, at in stored_at.items()
                            if at < cell.clock.seconds() - self.APPLY_S
                        ]
                        if known < max(due, default=0):
                            late.append(f"{known} at {cell.clock.seconds():.1f}, due {max(due)}")
                self.assertEqual(late, [])


def end_interruption(cell: SimulatedCell) -> None:
    """Let one instance reach the store and its peers again."""
    client = cell.nodes["entry-1"].http_client
    client.service.turned_away = False
    client.service.lost_paths = set()
    client.unreachable = set()
    cell.disconnected_pairs.clear()
    cell.thaw("entry-1")


def cut_off(cell: SimulatedCell) -> None:
    """Cut one instance off from the store and its peers."""
    cut_from_store(cell)
    for name in cell.nodes.keys() - {"entry-1"}:
        cell.disconnect("entry-1", name)


def freeze(cell: SimulatedCell) -> None:
    """Freeze one instance."""
    cell.freeze("entry-1")


def turn_service_away(cell: SimulatedCell) -> None:
    """Let the store reject all calls of one instance."""
    cell.nodes["entry-1"].http_client.service.turned_away = True


def lose_calls_of_service(cell: SimulatedCell) -> None:
    """Let neither feeds nor reads of one instance be answered."""
    cell.nodes["entry-1"].http_client.service.lost_paths = {FEED, READ}


class Interruption(NamedTuple):
    """How long an instance is interrupted, versions stored meanwhile, and what feeds return."""

    seconds: float
    missed: int
    merges_changes: bool = False


class Delays:
    """When versions were stored, and when one instance had them; it is disturbed until a time."""

    def __init__(self, settled_at: float) -> None:
        self.settled_at = settled_at
        self.ended_at = 0.0
        self.stored_at: dict[int, float] = {}
        self.in_force_at: dict[int, float] = {}

    def note(self, now: float, known: int) -> None:
        """Note the version that the instance has now."""
        self.ended_at = now
        for version in range(known, max(self.in_force_at, default=1), -1):
            self.in_force_at[version] = now

    def get_delay(self, version: int) -> float:
        """Return for how long a version was stored and not in force, in seconds."""
        return self.in_force_at.get(version, self.ended_at) - self.stored_at[version]

    def list_late(self) -> list[str]:
        """Return the versions that were not in force in time."""
        return [
            f"{version}: {self.get_delay(version):.2f} s"
            for version, stored_at in self.stored_at.items()
            if self.get_delay(version) > max(APPLY_S, self.settled_at - stored_at)
        ]


class InterruptedSlowLinkTest(unittest.TestCase):
    """An instance with a slow link misses many large versions."""

    TRANSFER_S = 0.5
    CHANGE_INTERVAL_S = 1.5
    CHANGES_AFTER = 5
    INTERRUPTIONS = (
        Interruption(8.0, 20),
        Interruption(8.4, 40),
        Interruption(8.8, 40),
        Interruption(8.8, 40, merges_changes=True),
    )

    def play(self, interrupt: Callable[[SimulatedCell], None], case: Interruption) -> Delays:
        """Interrupt an instance, and return when it has each version."""
        cell = start_cell(PersistentCell, nodes=2)
        node, clock = cell.nodes["entry-1"], cell.clock
        cell.platform.merges_changes = case.merges_changes
        node.http_client.link_bytes_per_s = LINK_BYTES_PER_S
        interrupt(cell)
        clock.callLater(case.seconds, end_interruption, cell)
        delays = Delays(clock.seconds() + case.seconds + SETTLED_S)
        intervals = [case.seconds / case.missed] * case.missed
        intervals += [self.CHANGE_INTERVAL_S] * self.CHANGES_AFTER
        for version, interval_s in enumerate(intervals, 2):
            put_large(cell, version, self.TRANSFER_S)
            delays.stored_at[version] = clock.seconds()
            for _ in range(round(interval_s / STEP_S)):
                cell.run(STEP_S)
                delays.note(clock.seconds(), node.instance.settings.version)
        return delays

    def test_changes_are_in_force_in_time_after_an_interruption(self) -> None:
        """Fails if an instance waits for all versions that it missed before it has the newest."""
        interrupts: tuple[Callable[[SimulatedCell], None], ...] = (
            cut_off,
            cut_from_store,
            lose_calls_of_service,
            turn_service_away,
            freeze,
        )
        for interrupt, case in product(interrupts, self.INTERRUPTIONS):
            with self.subTest(interrupt=interrupt.__name__, case=case):
                self.assertEqual(self.play(interrupt, case).list_late(), [])


class FrequentChangesTest(unittest.TestCase):
    """Large versions that come faster than they arrive on a slow link."""

    CHANGES_S = 16.0

    def play(self, transfer_s: float, interval_s: float) -> Delays:
        """Store versions throughout, and return when an instance with a slow link has each."""
        cell = start_cell(PersistentCell, nodes=2)
        node, clock = cell.nodes["entry-1"], cell.clock
        node.http_client.link_bytes_per_s = LINK_BYTES_PER_S
        delays = Delays(clock.seconds())
        for version in range(2, round(self.CHANGES_S / interval_s) + 2):
            put_large(cell, version, transfer_s)
            delays.stored_at[version] = clock.seconds()
            for _ in range(round(interval_s / STEP_S)):
                cell.run(STEP_S)
                delays.note(clock.seconds(), node.instance.settings.version)
        return delays

    def test_the_delay_of_changes_does_not_grow(self) -> None:
        """Fails if all versions arrive one after another, each later than the one before."""
        for transfer_s, interval_s in ((0.5, 0.25), (0.75, 0.5), (1.0, 0.5), (1.5, 1.0)):
            with self.subTest(transfer_s=transfer_s, interval_s=interval_s):
                delays = self.play(transfer_s, interval_s)
                later = list(delays.stored_at)[len(delays.stored_at) // 2 :]
                # A version may be stored just after the one before it began to arrive.
                self.assertLess(max(map(delays.get_delay, later)), 2 * transfer_s + 0.2)


class LostHistoryTest(unittest.TestCase):
    """Reads are behind for some seconds after the store lost its history."""

    def test_a_change_is_in_force_once_reads_are_no_longer_behind(self) -> None:
        """Fails if rows that are behind are taken for the newest until the next change."""
        for hides_read_age in (False, True):
            with self.subTest(hides_read_age=hides_read_age):
                cell = start_cell()
                cell.platform.feeds_silent = True
                cell.platform.read_as_of = cell.platform.version
                cell.platform.hides_read_age = hides_read_age
                cell.run(0.1)
                cell.put_settings(2, advice=False)
                cell.run(0.5)
                cell.platform.drop_history()
                cell.run(STALE_S)
                cell.platform.read_as_of = None
                self.assertTrue(cell.run_until(lambda cell=cell: is_in_force(cell, 2), APPLY_S))

    def test_an_instance_that_starts_on_reads_that_are_behind_hears_of_a_newer_version(
        self,
    ) -> None:
        """Fails if an instance that others know to be behind stays so until the next change."""
        cell = start_cell()
        cell.platform.read_as_of = cell.platform.version
        cell.platform.hides_read_age = True
        cell.put_settings(2, advice=False)
        cell.run(1.0)
        cell.kill("entry-1")
        cell.start("entry-1")
        self.assertTrue(cell.run_until(lambda: is_in_force(cell, 2), SETTLED_S))

    def test_no_instance_returns_to_an_earlier_version(self) -> None:
        """Fails if rows that are behind replace newer ones."""
        cell = start_cell()
        as_of = cell.platform.version
        cell.put_settings(2, advice=False)
        cell.run(1.0)
        cell.platform.read_as_of = as_of
        cell.platform.hides_read_age = True
        cell.platform.drop_history()
        for _ in range(round(STALE_S / STEP_S)):
            cell.run(STEP_S)
            self.assertTrue(is_in_force(cell, 2))


class OwnerTest(unittest.TestCase):
    """Owners of pools are told of a change."""

    def test_an_error_at_one_owner_keeps_no_other_from_a_change(self) -> None:
        """Fails if a version counts as applied although not all owners have heard of it."""
        cell = start_cell(nodes=1)
        instance = cell.nodes["entry-0"].instance
        self.assertEqual(set(instance.owned_pools), set(POOLS))
        for pool in POOLS:
            odd = patch.object(
                instance.owned_pools[PoolName(pool)],
                "schedule_dispatch",
                side_effect=ZeroDivisionError("odd"),
            )
            with odd, self.assertLogs("lavenderstall.pools", "ERROR"):
                version = instance.settings.version + 1
                cell.put_settings(version, advice=False)
                cell.run(APPLY_S)
            found = {owner.pool.settings.version for owner in instance.owned_pools.values()}
            self.assertEqual(found, {version})


class LeavingTest(unittest.TestCase):
    """An instance that shuts down answers on open connections until its process ends."""

    def test_a_change_is_in_force_while_an_instance_leaves(self) -> None:
        """Fails if an instance stops following the configuration while it still answers."""
        cell = start_cell()
        node = cell.nodes["entry-1"]
        node.instance.requests_in_flight = 1
        stops: list[float] = []
        reactor: Any = SimpleNamespace(
            callLater=node.clock.callLater, stop=lambda: stops.append(cell.clock.seconds())
        )
        with patch.object(process, "read_uptime", cell.clock.seconds):
            Deferred.fromCoroutine(process.shut_down(node.instance, reactor))
            cell.run(process.BALANCER_DELAY_S + 0.2)
            cell.put_settings(2, advice=False)
            cell.run(process.DRAIN_TIMEOUT_S - 0.4)
            self.assertEqual(stops, [])
            self.assertTrue(is_in_force(cell, 2))
            cell.run(process.LINGER_S + 0.4)
        self.assertEqual(len(stops), 1)


class RefusalTest(unittest.TestCase):
    """What callers of a queue get that is not in the configuration."""

    def ask(self, cell: SimulatedCell, name: str, path: str) -> str:
        """Return the first lines of the answer to a GET request."""
        site = make_site(JobsResource(cell.nodes[name].instance))
        connection = CallerConnection(site, cell.clock, reading=True)
        connection.send(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        cell.run(0.1)
        return connection.read()

    def test_a_queue_is_unknown_only_to_an_instance_with_the_newest_configuration(self) -> None:
        """Fails if 404 is said of a queue that a version out of reach may have added."""
        cell = start_cell()
        self.assertIn(" 404 ", self.ask(cell, "entry-1", "/new/"))
        cut_from_store(cell)
        for name in cell.nodes.keys() - {"entry-1"}:
            cell.disconnect("entry-1", name)
        cell.run(APPLY_S)
        answer = self.ask(cell, "entry-1", "/new/")
        self.assertIn(" 503 ", answer)
        self.assertIn("retry-after: 1", answer.lower())
        self.assertNotIn(" 503 ", self.ask(cell, "entry-1", f"/{FIRST}/{JOB}"))
        cell.disconnected_pairs.clear()
        cell.run(1.0)
        self.assertIn(" 404 ", self.ask(cell, "entry-1", "/new/"))


class UnreadableQueueTest(unittest.TestCase):
    """A version of which one field of a queue can't be read."""

    def test_a_queue_that_can_not_be_read_in_part_stays(self) -> None:
        """Fails if callers of a queue get 404 since one of its fields can't be read."""
        for field in ("priority", "maxAttempts", "recommendation", "service", "prefix", "host"):
            with self.subTest(field=field):
                cell = start_cell()
                before = cell.nodes["entry-0"].instance.settings
                (row,) = [row for key, row in cell.platform.rows.items() if key[0] == "op"]
                found = json.loads(b64decode(row["value"]))
                found["version"] = 2
                found["routes"][0][field] = ["odd"]
                found["routes"][0]["slackFactor"] = 7.0
                cell.platform.put("op", "", "config", found)
                self.assertTrue(cell.run_until(lambda cell=cell: is_in_force(cell, 2), APPLY_S))
                after = cell.nodes["entry-0"].instance.settings
                known = before.find_queue("h", f"/{FIRST}/")
                assert known is not None
                expected = msgspec.structs.replace(known, slack=7.0)
                self.assertEqual(after.find_queue("h", f"/{FIRST}/"), expected)
                self.assertEqual(after.queues[1:], before.queues[1:])


if __name__ == "__main__":
    unittest.main()
