"""Tests of connections between instances that stay open and carry nothing any more."""

import unittest
from itertools import combinations, permutations
from random import Random

from twisted.internet.defer import Deferred

from lavenderstall.identifiers import EntryId
from lavenderstall.pools.link_supervision import PROBE_INTERVAL_S
from lavenderstall.pools.work import PoolName
from tests.platform.simulated_cell import POOLS, SimulatedCell
from tests.platform.test_faults import measure_ownership_gaps

POOL = PoolName(POOLS[0])
JOB = f"{1:016x}"
LASTING = {"count": 2, "cpu": 1000, "taskMemoryMb": 500, "longRunning": True}
# Time from the acknowledgement of a cancellation until its tasks have to be gone.
CANCEL_S = 3.0 + 0.4
# Silence is found within 1.5 s and ends within 1 s more, both ways one after the other.
RESTORED_S = 2 * (1.5 + 1.0)
# Time in which another instance takes a pool over.
TAKEOVER_S = 4.0


def start_cell(nodes: int = 6, zones: int = 3) -> SimulatedCell:
    """Return a settled cell of several zones."""
    cell = SimulatedCell(nodes, 4, zones=zones)
    assert cell.run_until(lambda: all(map(cell.find_owner, POOLS)), 4.0)
    cell.run(4.0)
    return cell


def cut_all(cell: SimulatedCell) -> None:
    """Disconnect all instances from each other for good; all reach the store."""
    for first, second in combinations(cell.nodes, 2):
        cell.disconnect(first, second)


class OwnerTest(unittest.TestCase):
    """Pools whose owner hears no instance of another zone."""

    def test_a_pool_keeps_its_owner_while_no_instance_is_better_placed(self) -> None:
        """Fails if an owner gives its pool up although all instances are as isolated as it is."""
        cell = start_cell()
        owner = cell.find_owner(POOL)
        gaps = measure_ownership_gaps(cell, POOL, lambda: cut_all(cell), 15.0)
        self.assertLess(max(gaps), 1.0)
        self.assertEqual(cell.find_owner(POOL), owner)

    def test_a_cancelled_job_stops_while_instances_do_not_hear_each_other(self) -> None:
        """Fails if a cancellation is accepted while nobody owns the pool."""
        for wait_s in (0.5, 1.5, 4.0, 7.0):
            with self.subTest(wait_s=wait_s):
                cell = start_cell()
                cell.submit("entry-0", POOL, JOB, [dict(LASTING)])
                cell.run(1.0)
                cut_all(cell)
                cell.run(wait_s)
                answers = cell.cancel("entry-1", POOL, JOB)
                cell.run_until(lambda answers=answers: answers, 2.0)
                self.assertEqual(answers, [True])
                cell.run(CANCEL_S)
                for worker in cell.platform.workers.values():
                    worker.advance()
                    self.assertFalse(worker.running)

    def test_a_killed_owner_is_replaced_while_all_are_isolated(self) -> None:
        """Fails if all instances wait for others that are better placed, of which none is."""
        cell = start_cell()
        owner = cell.find_owner(POOL)
        assert owner is not None
        cut_all(cell)
        cell.run(3.0)
        cell.kill(owner)
        found = cell.run_until(lambda: cell.find_owner(POOL), TAKEOVER_S)
        self.assertTrue(found)

    def test_an_owner_in_a_zone_that_is_cut_off_hands_its_pool_over(self) -> None:
        """Fails if a pool stays with an owner that others, who hear each other, can't ask."""
        cell = start_cell()
        owner = cell.find_owner(POOL)
        assert owner is not None
        zone = cell.get_zone(owner)
        for first, second in combinations(cell.nodes, 2):
            if zone in (cell.get_zone(first), cell.get_zone(second)) and (
                cell.get_zone(first) != cell.get_zone(second)
            ):
                cell.disconnect(first, second)

        def is_elsewhere() -> bool:
            found = cell.find_owner(POOL)
            return found is not None and cell.get_zone(found) != zone

        self.assertTrue(cell.run_until(is_elsewhere, TAKEOVER_S))


class RedialTest(unittest.TestCase):
    """Connections that are replaced."""

    def list_deaf(self, cell: SimulatedCell) -> list[tuple[str, str]]:
        """Return the pairs of instances of which the first doesn't hear the second."""
        return [
            (name, peer)
            for name, peer in permutations(cell.nodes, 2)
            if peer not in cell.nodes[name].instance.peers.list_live_peers()
        ]

    def test_silent_connections_are_replaced(self) -> None:
        """Fails if connections that were not reset stay silent for the rest of the day."""
        for share, seed in ((0.3, 1), (0.7, 2), (1.0, 3)):
            with self.subTest(share=share):
                cell = start_cell()
                # Some hear each other only if one of them owns a pool.
                before = self.list_deaf(cell)
                drawn = Random(seed)
                links = permutations(cell.nodes, 2)
                cell.silent_links = {link for link in links if drawn.random() < share}
                cell.run(RESTORED_S)
                self.assertLessEqual(set(self.list_deaf(cell)), set(before))

    def test_a_peer_that_is_gone_is_not_dialled_all_the_time(self) -> None:
        """Fails if a killed or frozen peer costs more than a connection each two seconds."""
        cell = start_cell()
        gone = next(name for name in cell.nodes if name != cell.find_owner(POOL))
        cell.freeze(gone)
        before = {name: node.instance.metrics.counters.copy() for name, node in cell.nodes.items()}
        cell.run(10.0)
        for name, node in cell.nodes.items():
            counters = node.instance.metrics.counters
            dialled = counters["silent_links_replaced"] - before[name]["silent_links_replaced"]
            self.assertLessEqual(dialled, 10.0 / 2.0)

    def test_a_silent_connection_that_is_used_is_replaced_in_a_large_cell(self) -> None:
        """Fails if a connection without heartbeats stays silent although requests are lost."""
        for silent in ({"outgoing"}, {"incoming"}, {"outgoing", "incoming"}):
            with self.subTest(silent=silent):
                cell = start_cell(nodes=14)
                name, peer = self.silence_idle_pair(cell, silent)
                peers = cell.nodes[name].instance.peers
                Deferred.fromCoroutine(peers.request_write(EntryId(peer), "t", "p", "k", b""))
                cell.run(1.5 + 1.0)
                self.assertEqual(cell.silent_links, set())

    def test_a_silent_connection_that_is_idle_is_replaced_in_a_large_cell(self) -> None:
        """Fails if a connection without heartbeats is silent until a message is lost on it."""
        for silent in ({"outgoing"}, {"incoming"}, {"outgoing", "incoming"}):
            with self.subTest(silent=silent):
                cell = start_cell(nodes=14)
                self.silence_idle_pair(cell, silent)
                cell.run(14 * PROBE_INTERVAL_S / 2 + RESTORED_S)
                self.assertEqual(cell.silent_links, set())

    def test_a_new_owner_is_heard_by_peers_that_it_has_never_heard(self) -> None:
        """Fails if connections that were silent from the first message on keep a peer cut off."""
        cell = start_cell(nodes=14)
        cell.silent_links = set(permutations(cell.nodes, 2))
        cell.run_until(lambda: not cell.silent_links, 10.0)
        owner = cell.find_owner(POOL)
        assert owner is not None
        cell.kill(owner)
        cell.silent_links = {
            (name, peer)
            for name, peer in permutations(cell.nodes, 2)
            if peer not in cell.nodes[name].instance.peers.list_live_peers()
        }
        cell.run(TAKEOVER_S + RESTORED_S)
        successor = cell.find_owner(POOL)
        assert successor is not None
        deaf = [
            name
            for name, node in cell.nodes.items()
            if node.instance.peers.get_live_owner(POOL) != successor
        ]
        self.assertEqual(deaf, [])

    def test_working_connections_are_left_alone_after_an_owner_was_away(self) -> None:
        """Fails if a peer that needs to hear nothing has its connections replaced for that."""
        cell = start_cell(nodes=14)
        owner = cell.find_owner(POOL)
        assert owner is not None
        cell.freeze(owner)
        cell.run(6.0)
        cell.thaw(owner)
        cell.run(6.0)
        cell.redials.clear()
        cell.run(10.0)
        self.assertEqual(dict(cell.redials), {})

    def silence_idle_pair(self, cell: SimulatedCell, silent: set[str]) -> tuple[str, str]:
        """Silence the connections of two idle instances in directions as seen by the first."""
        name, peer = self.find_idle_pair(cell)
        links = {"outgoing": (name, peer), "incoming": (peer, name)}
        cell.silent_links = {links[direction] for direction in silent}
        return name, peer

    def find_idle_pair(self, cell: SimulatedCell) -> tuple[str, str]:
        """Return two instances that send each other nothing, and own no pool."""
        owners = {cell.find_owner(pool) for pool in POOLS}
        return next(
            (name, peer)
            for name, peer in permutations(cell.nodes, 2)
            if not owners & {name, peer}
            and peer not in cell.nodes[name].instance.peers.list_heartbeat_recipients()
            and name not in cell.nodes[peer].instance.peers.list_heartbeat_recipients()
        )

    def test_few_connections_are_watched_in_a_large_cell(self) -> None:
        """Fails if an instance dials peers again that need not send it anything."""
        cell = start_cell(nodes=14)
        owners = {cell.find_owner(pool) for pool in POOLS}
        replaced = {
            name: node.instance.metrics.counters["silent_links_replaced"]
            for name, node in cell.nodes.items()
            if name not in owners
        }
        cell.run(6.0)
        for name, before in replaced.items():
            found = cell.nodes[name].instance.metrics.counters["silent_links_replaced"]
            self.assertEqual(found, before)


if __name__ == "__main__":
    unittest.main()
