"""Tests of pools that nobody claims, or that nobody serves, while an instance reaches the store."""

import unittest
from functools import partial
from itertools import combinations

from lavenderstall.pools.work import PoolName
from tests.platform.fake_platform import STORE
from tests.platform.simulated_cell import POOLS, SimulatedCell
from tests.platform.test_faults import measure_ownership_gaps

POOL = PoolName(POOLS[0])
JOB = f"{1:016x}"
LASTING = {"count": 2, "cpu": 1000, "taskMemoryMb": 500, "longRunning": True}
# Time from the acknowledgement of a cancellation until its tasks have to be gone.
CANCEL_S = 3.0 + 0.4
# Longest time without a renewal after a silent death: an expiry, a deferral and a claim.
LONGEST_GAP_S = 2.5


def start_cell() -> SimulatedCell:
    """Return a settled cell of three zones."""
    cell = SimulatedCell(6, 4, zones=3)
    assert cell.run_until(lambda: all(map(cell.find_owner, POOLS)), 4.0)
    cell.run(4.0)
    return cell


def get_owner(cell: SimulatedCell) -> str:
    """Return the owner of the pool."""
    owner = cell.find_owner(POOL)
    assert owner is not None
    return owner


def cut_off_zone(cell: SimulatedCell, zone: str) -> None:
    """Disconnect the instances of a zone from all others."""
    for first, second in combinations(cell.nodes, 2):
        if (cell.get_zone(first) == zone) != (cell.get_zone(second) == zone):
            cell.disconnect(first, second)


class IsolatedClaimTest(unittest.TestCase):
    """Instances that defer to others, which their rows call better placed, but can't claim."""

    def lose_store_but_in_one_zone(self, cell: SimulatedCell) -> str:
        """Cut a zone off that alone reaches the store, and return one of its instances."""
        zone = next(zone for zone in ("z0", "z1") if zone != cell.get_zone(get_owner(cell)))
        cut_off_zone(cell, zone)
        for name, node in cell.nodes.items():
            if cell.get_zone(name) != zone:
                node.http_client.unreachable.add(STORE)
        return next(name for name in cell.nodes if cell.get_zone(name) == zone)

    def test_a_job_cancelled_where_the_store_is_reached_stops(self) -> None:
        """Fails if a cancellation is stored while isolated instances leave the pool to others."""
        for wait_s in (0.2, 1.0, 3.0):
            with self.subTest(wait_s=wait_s):
                cell = start_cell()
                cell.submit("entry-0", POOL, JOB, [dict(LASTING)])
                cell.run(1.0)
                caller = self.lose_store_but_in_one_zone(cell)
                cell.run(wait_s)
                answers = cell.cancel(caller, POOL, JOB)
                self.assertTrue(cell.run_until(partial(bool, answers), 2.0))
                self.assertEqual(answers, [True])
                cell.run(CANCEL_S)
                for worker in cell.platform.workers.values():
                    worker.advance()
                    self.assertFalse(worker.running)

    def test_a_job_accepted_where_the_store_is_reached_starts(self) -> None:
        """Fails if a job is accepted and waits, as isolated instances leave its pool to others."""
        cell = start_cell()
        caller = self.lose_store_but_in_one_zone(cell)
        cell.run(1.0)
        outcomes = cell.submit(caller, POOL, JOB, [dict(LASTING)])
        self.assertTrue(cell.run_until(lambda: cell.platform.checker.starts, LONGEST_GAP_S))
        self.assertTrue(outcomes)

    def test_a_pool_does_not_wait_for_frozen_instances(self) -> None:
        """Fails if isolated instances wait for others that have frozen since they were heard."""
        cell = start_cell()
        owner = get_owner(cell)
        zones = sorted({"z0", "z1", "z2"} - {cell.get_zone(owner)})
        owners = {cell.find_owner(pool) for pool in POOLS}
        for zone in zones:
            cell.freeze(next(n for n in cell.nodes if cell.get_zone(n) == zone and n not in owners))
        for first, second in combinations(cell.nodes, 2):
            cell.disconnect(first, second)
        cell.run(4.0)
        gaps = measure_ownership_gaps(cell, POOL, partial(cell.kill, get_owner(cell)), 9.0)
        self.assertLess(max(gaps), LONGEST_GAP_S)


class LostCommitTest(unittest.TestCase):
    """Owners that hear the store but can't write to it."""

    def test_an_owner_whose_commits_are_lost_is_replaced(self) -> None:
        """Fails if an owner counts as active although it can't renew, as its reads are answered."""
        for number in range(3):
            with self.subTest(number=number):
                cell = start_cell()
                cell.run(0.3 * number)
                client = cell.nodes[get_owner(cell)].http_client
                inject = partial(setattr, client, "loses_commits", True)
                gaps = measure_ownership_gaps(cell, POOL, inject, 12.0)
                self.assertLess(max(gaps), LONGEST_GAP_S)


class CapacityTest(unittest.TestCase):
    """Pools that move to instances with more processor."""

    def test_each_pool_moves_once(self) -> None:
        """Fails if weak instances claim a pool that was released for a strong one, in turns."""
        for strong in combinations(("entry-0", "entry-3", "entry-5"), 2):
            with self.subTest(strong=strong):
                cell = SimulatedCell(6, 4, zones=3, capacities=dict.fromkeys(strong, 4.0))
                for name in strong:
                    cell.kill(name)
                cell.run(8.0)
                for name in strong:
                    cell.start(name)
                    cell.run(8.0)
                owners = {pool: cell.find_owner(pool) for pool in POOLS}
                self.assertLessEqual({*owners.values()}, {*strong})
                for _ in range(40):
                    cell.run(0.2)
                    self.assertEqual({pool: cell.find_owner(pool) for pool in POOLS}, owners)


if __name__ == "__main__":
    unittest.main()
